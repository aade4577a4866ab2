#ifndef CELERYSPOOL_RELAY_CONFIG_H
#define CELERYSPOOL_RELAY_CONFIG_H

/* The configuration of a relay: routes by host and path, services, workspaces
 * by access key.  Decoded by platform/config-read.c, immutable once in force,
 * reference-counted. */

#include "../balance/admission.h"
#include "../kernel/http-listener.h"

#include <ck_queue.h>

#define ROUTE_SPLIT_MAX 8
#define ROUTE_HOST_MAX 128
#define ROUTE_PREFIX_MAX 256
#define ACCESS_KEY_MAX 128

typedef enum {
    ROUTE_IDEMPOTENT,     /* may run more than once */
    ROUTE_NON_IDEMPOTENT, /* runs at most once */
    ROUTE_STREAM          /* runs at most once, unless it can be resumed */
} route_kind_t;

typedef struct {
    char service[CS_NAME_MAX];
    int weight;
} route_split_t;

/* A service to which paths of a route led before: requests that began there
 * may be under way until this time. */
typedef struct {
    uint64_t service; /* hash of its name */
    int64_t until_ms;
} former_service_t;

/* Former services that a route remembers. */
#define ROUTE_FORMER_MAX 4
#define ROUTE_SERVICES_MAX (ROUTE_SPLIT_MAX + ROUTE_FORMER_MAX)

typedef struct route {
    CK_SLIST_ENTRY(route) entry; /* in the bucket of its host and prefix */
    char name[CS_NAME_MAX];
    char host[ROUTE_HOST_MAX];
    char prefix[ROUTE_PREFIX_MAX]; /* with leading and trailing slash */
    route_kind_t kind;
    bool resumable;
    bool public;           /* needs no access key */
    int timeout_ms;        /* longest time that a caller waits */
    int target_latency_ms; /* target time to the answer or first event */
    int target_gap_ms;     /* longest acceptable pause in a stream */
    int attempts;          /* most attempts of a request that may run */
    int priority;          /* 0 is the most urgent */
    route_split_t split[ROUTE_SPLIT_MAX];
    unsigned split_count;
    former_service_t former[ROUTE_FORMER_MAX]; /* see config-former.h */
    unsigned former_count;
    int64_t former_omitted_until_ms; /* there are more of them; 0 if not */
    uint64_t former_name;            /* hash of the name under which the older
                                        configuration had the same paths */
} route_t;

typedef struct relay_service {
    CK_SLIST_ENTRY(relay_service) entry;
    char name[CS_NAME_MAX];
    bool engine;   /* serves a model in batches, with a prefix cache */
    bool kv_store; /* stores cached parts; serves no requests */
    char addr[CS_ADDR_MAX];        /* of a kv_store */
    char dc[CS_NAME_MAX];          /* of a kv_store */
    char health_path[CS_NAME_MAX]; /* of plain servers; / if not configured */
    int slots;                     /* of each engine */
    int stride;                    /* output tokens in an event of an engine */
    int64_t cache_tokens;    /* capacity of each engine or of a kv_store */
    int64_t bytes_per_token; /* of cached parts; 0: unknown */
    double link_bits_per_ms; /* for transfers of cached parts; 0: unknown */
    int max_event_calls;     /* concurrent, to a server; not enforced */
    int max_connections;     /* of a server; not enforced */
    /* Its engines admit requests by priority: see
     * relay_config_mark_priority_services. */
    bool priority_admission;
    unsigned most_urgent_class; /* of its routes */
    /* Requests keep their order behind a load of weights: see
     * priority-band.h. */
    bool priority_order;
} relay_service_t;

/* The unit of a workspace's limit. */
typedef enum { LIMIT_REQUESTS, LIMIT_TOKENS } limit_unit_t;

typedef struct workspace_entry {
    char name[CS_NAME_MAX];
    limit_unit_t limit_unit;
    double limit_rate;     /* units a second over all hosts; 0: no limit */
    double limit_burst;    /* most units at once */
    double default_tokens; /* charged if a request states none */
    bool isolated;         /* shares no cached parts with other workspaces */
    bool has_priority;     /* its priority replaces that of the route */
    int priority;
} workspace_entry_t;

typedef struct access_key {
    CK_SLIST_ENTRY(access_key) entry;
    char key[ACCESS_KEY_MAX];
    const workspace_entry_t *workspace;
} access_key_t;

#define CONFIG_BUCKETS 256
#define ROUTE_BUCKETS 1024

typedef CK_SLIST_HEAD(route_list, route) route_list_t;
typedef CK_SLIST_HEAD(key_list, access_key) key_list_t;
typedef CK_SLIST_HEAD(relay_services, relay_service) relay_services_t;

typedef struct relay_config {
    unsigned refs;
    int64_t version;    /* set by the operator */
    int64_t revision;   /* revision of the object in the store */
    bool keys_required; /* requests need an access key */
    http_limits_t limits;
    int longest_timeout_ms;          /* of all routes */
    int64_t former_timeout_ms;       /* a longer one of requests under way */
    int64_t former_timeout_until_ms; /* until then */
    route_list_t routes[ROUTE_BUCKETS]; /* by hash of host and prefix */
    size_t longest_prefix;              /* of all routes */
    key_list_t keys[CONFIG_BUCKETS];    /* by hash of the key */
    relay_services_t services;
    workspace_entry_t *workspaces;
    size_t workspace_count;
    uint64_t isolated_hash; /* of the names of the isolated workspaces; 0 if
                               there are none */
} relay_config_t;

/* Length of the name of a group of workspaces that share cached parts. */
#define SHARING_GROUP_MAX CS_NAME_MAX

relay_config_t *relay_config_new(void);
relay_config_t *relay_config_hold(relay_config_t *config);
void relay_config_release(relay_config_t *config);
void relay_config_add_route(relay_config_t *config, route_t *route);
void relay_config_mark_priority_services(relay_config_t *config);
void relay_config_set_sharing(relay_config_t *config);
void relay_config_sharing_group(const relay_config_t *config,
                                const workspace_entry_t *workspace,
                                char out[SHARING_GROUP_MAX]);
void relay_config_sharing_group_of(const relay_config_t *config,
                                   const char *workspace,
                                   char out[SHARING_GROUP_MAX]);
void relay_config_add_key(relay_config_t *config, const char *key,
                          const workspace_entry_t *workspace);
const route_t *relay_config_find_route(const relay_config_t *config,
                                       const char *host, size_t host_len,
                                       const char *path, size_t path_len);
const workspace_entry_t *relay_config_find_workspace(
    const relay_config_t *config, const char *key);
const relay_service_t *relay_config_find_service(const relay_config_t *config,
                                                 const char *name);
const char *route_pick_service(const route_t *route, uint64_t random);

#endif
