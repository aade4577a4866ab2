#ifndef CELERYSPOOL_CONFIG_H
#define CELERYSPOOL_CONFIG_H

/* The configuration of a deployment: one versioned object in the platform's
 * store.  Changes are written with a conditional update, and a daemon adopts a
 * document only if its generation is higher than the current one. */

#include "base.h"

#define CONFIG_OBJECT "config/main"
#define CONFIG_CHANGES_MAX 64
#define KEY_HASH_LEN 32

typedef enum {
    BACKEND_ENGINE,
    BACKEND_SERVICE,
    BACKEND_UNROUTED /* declared, but never given a request */
} backend_kind_t;

typedef struct {
    char name[CS_NAME_MAX];
    char key_hash[KEY_HASH_LEN + 1];
    int share;    /* weight in fair queueing when capacity is short */
    int priority; /* passed to the engines; higher runs first */
} workspace_t;

typedef struct {
    char name[CS_NAME_MAX];
    char version[CS_NAME_MAX];
    int duration_max_s;       /* longest stream allowed, in seconds */
    int concurrent_loads_max; /* servers that may load new weights at once */
} model_t;

typedef struct {
    char name[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
    char dc[CS_NAME_MAX];
    char serves[CS_NAME_MAX]; /* name of the model or service */
    backend_kind_t kind;
    bool honours_fencing;
    bool checks_issuer;
    bool drain;
} backend_t;

typedef struct {
    char name[CS_NAME_MAX];
    bool idempotent;
    int duration_max_s;
} service_t;

/* The kind of target that a maintenance window takes out of service. */
typedef enum { WINDOW_BACKEND, WINDOW_DC, WINDOW_HOST } window_kind_t;

typedef struct {
    char name[CS_NAME_MAX];
    window_kind_t kind;
    char target[CS_NAME_MAX];
    int64_t begin_ms; /* wall time, ms since 1970 */
    int64_t end_ms;   /* wall time, ms since 1970 */
} window_t;

typedef struct {
    char name[CS_NAME_MAX];
    char key_hash[KEY_HASH_LEN + 1];
} operator_t;

/* What placement optimizes first: the tail of the time to first token, or
 * prefix cache hits. */
typedef enum { OBJECTIVE_TAIL_LATENCY, OBJECTIVE_CACHE_HITS } objective_t;

/* A parsed configuration: immutable and reference counted. */
typedef struct {
    unsigned refs;
    int64_t generation;
    json_t *doc;
    objective_t objective;
    char policy[CS_NAME_MAX];
    workspace_t *workspaces;
    size_t workspace_count;
    model_t *models;
    size_t model_count;
    backend_t *backends;
    size_t backend_count;
    service_t *services;
    size_t service_count;
    window_t *windows;
    size_t window_count;
    operator_t *operators;
    size_t operator_count;
} config_t;

/* Whether a backend server may be given new requests, or why not. */
typedef enum {
    AVAILABILITY_OPEN,
    AVAILABILITY_DRAINED,
    AVAILABILITY_WINDOW_NEAR, /* a request could still run when it begins */
    AVAILABILITY_IN_WINDOW
} availability_t;

json_t *config_empty(void);
config_t *config_parse(json_t *doc, err_t *err);
config_t *config_hold(config_t *config);
void config_release(config_t *config);
const workspace_t *config_find_workspace_by_key(const config_t *config,
                                                const char *hash);
const operator_t *config_find_operator_by_key(const config_t *config,
                                              const char *hash);
const model_t *config_find_model(const config_t *config, const char *name);
const service_t *config_find_service(const config_t *config, const char *name);
const backend_t *config_find_backend(const config_t *config, const char *name);
availability_t config_backend_availability(const config_t *config,
                                           const backend_t *backend,
                                           int64_t now_ms);
bool config_host_is_available(const config_t *config, const char *host,
                              const char *dc, int64_t now_ms, int64_t lead_ms);
int config_duration_max_ms(const config_t *config);
const char *availability_name(availability_t availability);
int config_window_lead_ms(const config_t *config, const backend_t *backend);

/* One change to the configuration, made by an operator. */
typedef enum { CHANGE_DECLARE, CHANGE_SET, CHANGE_REMOVE } change_kind_t;

typedef struct {
    change_kind_t kind;
    const char *section; /* "models", …; "top" for top-level fields */
    const char *name;
    json_t *fields;
} change_t;

json_t *config_change_apply(const json_t *doc, const change_t *change,
                            err_t *err);
json_t *config_change_record(json_t *doc, const char *id,
                             const char *operator_name,
                             const char *description);
bool config_has_change(const json_t *doc, const char *id, int64_t *generation);
void config_list_warnings(const config_t *config, int64_t now_ms,
                          json_t *warnings);
const char *config_find_section(const char *name);
void config_hash_key(const char *key, char out[KEY_HASH_LEN + 1]);

#endif
