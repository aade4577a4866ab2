#ifndef CELERYSPOOL_RELAY_CONFIG_H
#define CELERYSPOOL_RELAY_CONFIG_H

/* The configuration of a relay: routes by host and path, services,
 * workspaces by key.  Decoded by platform/config-read.c, never changed once
 * it is in force, counted by reference. */

#include "../kernel/http-listener.h"

#include <ck_queue.h>

#define ROUTE_SPLIT_MAX 8
#define ROUTE_HOST_MAX 128
#define ROUTE_PREFIX_MAX 256
#define ACCESS_KEY_MAX 128

typedef enum {
    ROUTE_IDEMPOTENT, /* may run more than once */
    ROUTE_ONCE,       /* runs once at most */
    ROUTE_STREAM      /* runs once at most, unless it may be resumed */
} route_kind_t;

typedef struct {
    char service[CS_NAME_MAX];
    int weight;
} route_split_t;

typedef struct route {
    CK_SLIST_ENTRY(route) entry; /* of its host */
    char name[CS_NAME_MAX];
    char host[ROUTE_HOST_MAX];
    char prefix[ROUTE_PREFIX_MAX]; /* of the path, with both slashes */
    route_kind_t kind;
    bool resumable;
    bool open;      /* needs no key */
    int timeout_ms; /* the longest that a caller is kept waiting */
    int target_ms;  /* to the answer, of a stream to its first event */
    int gap_ms;     /* longest pause of a stream that is still in time */
    int attempts;   /* servers that one request may be sent to */
    int priority;   /* 0 is the most urgent */
    route_split_t split[ROUTE_SPLIT_MAX];
    unsigned split_count;
} route_t;

typedef struct relay_service {
    CK_SLIST_ENTRY(relay_service) entry;
    char name[CS_NAME_MAX];
    bool engine;   /* serves a model in batches, with a prefix cache */
    bool kv_store; /* keeps cached parts; takes no requests */
    char addr[CS_ADDR_MAX];   /* of a kv_store */
    char dc[CS_NAME_MAX];     /* of a kv_store */
    char health[CS_NAME_MAX]; /* path of the question whether it is well */
    int slots;                /* of each engine */
    int64_t cache_tokens;     /* memory of each engine or of a kv_store */
    int64_t token_bytes;      /* cached, of each token; 0: unknown */
    double link_bits_per_ms;  /* for cached parts; 0: unknown */
    int listeners;            /* event calls that a server bears at once */
    int connections;          /* that a server takes from all callers */
} relay_service_t;

/* What a workspace's limit counts. */
typedef enum { LIMIT_REQUESTS, LIMIT_TOKENS } limit_unit_t;

typedef struct workspace_entry {
    char name[CS_NAME_MAX];
    limit_unit_t limit_unit;
    double limit_rate;   /* units a second over all hosts; 0 for no limit */
    double limit_burst;  /* units at once */
    double plain_tokens; /* of a request that names none */
    bool isolated;       /* shares no cached part with another workspace */
    bool has_priority;   /* which then goes before the route's */
    int priority;
} workspace_entry_t;

typedef struct access_key {
    CK_SLIST_ENTRY(access_key) entry;
    char key[ACCESS_KEY_MAX];
    const workspace_entry_t *workspace;
} access_key_t;

#define CONFIG_BUCKETS 256

typedef CK_SLIST_HEAD(route_list, route) route_list_t;
typedef CK_SLIST_HEAD(key_list, access_key) key_list_t;
typedef CK_SLIST_HEAD(relay_services, relay_service) relay_services_t;

typedef struct relay_config {
    unsigned refs;
    int64_t version;  /* the operator's count */
    int64_t revision; /* the store's */
    bool keyed;       /* requests carry keys */
    http_limits_t limits;
    route_list_t routes[CONFIG_BUCKETS]; /* by host */
    key_list_t keys[CONFIG_BUCKETS];
    relay_services_t services;
    workspace_entry_t *workspaces;
    size_t workspace_count;
} relay_config_t;

relay_config_t *relay_config_new(void);
relay_config_t *relay_config_hold(relay_config_t *config);
void relay_config_release(relay_config_t *config);
void relay_config_add_route(relay_config_t *config, route_t *route);
void relay_config_add_key(relay_config_t *config, const char *key,
                          const workspace_entry_t *workspace);
const route_t *relay_config_route(const relay_config_t *config,
                                  const char *host, size_t host_len,
                                  const char *path, size_t path_len);
const workspace_entry_t *relay_config_workspace(const relay_config_t *config,
                                                const char *key);
const relay_service_t *relay_config_service(const relay_config_t *config,
                                            const char *name);
const char *route_service(const route_t *route, uint64_t draw);

#endif
