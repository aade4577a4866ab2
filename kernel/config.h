#ifndef CELERYSPOOL_CONFIG_H
#define CELERYSPOOL_CONFIG_H

/* The platform's configuration: one object with a generation, accepted by a
 * conditional update and adopted only upwards. */

#include "base.h"

#define CONFIG_OBJECT "config/main"
#define CONFIG_CHANGES_MAX 64
#define KEY_HASH_LEN 32

typedef enum {
    BACKEND_ENGINE,
    BACKEND_SERVICE,
    BACKEND_UNROUTED
} backend_kind_t;

typedef struct {
    char name[CS_NAME_MAX];
    char key_hash[KEY_HASH_LEN + 1];
    int share;    /* weight among workspaces past capacity */
    int priority; /* passed to the engines; higher goes first */
} workspace_t;

typedef struct {
    char name[CS_NAME_MAX];
    char version[CS_NAME_MAX];
    int duration_max_s;       /* the longest stream that is allowed */
    int concurrent_loads_max; /* replicas that load new weights at once */
} model_t;

typedef struct {
    char name[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
    char dc[CS_NAME_MAX];
    char serves[CS_NAME_MAX]; /* the model or the service */
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

typedef enum { WINDOW_BACKEND, WINDOW_DC, WINDOW_HOST } window_kind_t;

typedef struct {
    char name[CS_NAME_MAX];
    window_kind_t kind;
    char target[CS_NAME_MAX];
    int64_t begin_ms; /* wall time */
    int64_t end_ms;
} window_t;

typedef struct {
    char name[CS_NAME_MAX];
    char key_hash[KEY_HASH_LEN + 1];
} operator_t;

/* How a deployment weighs waiting against recomputing. */
typedef enum { OBJECTIVE_TAIL_LATENCY, OBJECTIVE_CACHE_HITS } objective_t;

/* Immutable once parsed; shared by count. */
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

/* Why a backend server takes no new work. */
typedef enum {
    AVAILABILITY_OPEN,
    AVAILABILITY_DRAINED,
    AVAILABILITY_WINDOW_NEAR,
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
const char *availability_name(availability_t open);
int config_window_lead_ms(const config_t *config, const backend_t *backend);

/* One change that an operator orders. */
typedef enum { CHANGE_DECLARE, CHANGE_SET, CHANGE_REMOVE } change_kind_t;

typedef struct {
    change_kind_t kind;
    const char *section; /* "workspaces", "models", … */
    const char *name;
    json_t *fields;
} change_t;

json_t *config_change_apply(const json_t *doc, const change_t *change,
                            err_t *err);
json_t *config_change_record(json_t *doc, const char *id, const char *who,
                             const char *what);
bool config_has_change(const json_t *doc, const char *id, int64_t *generation);
void config_list_warnings(const config_t *config, int64_t now_ms, json_t *out);
const char *config_find_section(const char *word);
void config_hash_key(const char *key, char out[KEY_HASH_LEN + 1]);

#endif
