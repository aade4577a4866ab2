#ifndef CELERYSPOOL_CONFIG_H
#define CELERYSPOOL_CONFIG_H

/* The platform's configuration: one object with a generation, accepted by a
 * conditional update and adopted only upwards. */

#include "base.h"

#define CONFIG_OBJECT "config/main"
#define CONFIG_CHANGES_KEPT 64
#define KEY_HASH_LEN 32

typedef enum { BACKEND_ENGINE, BACKEND_SERVICE, BACKEND_KEPT } backend_kind_t;

typedef struct {
    char name[CS_NAME_MAX];
    char key_hash[KEY_HASH_LEN + 1];
    int share;    /* weight among workspaces past capacity */
    int priority; /* passed to the engines; higher goes first */
} workspace_t;

typedef struct {
    char name[CS_NAME_MAX];
    char version[CS_NAME_MAX];
    int longest_s; /* the longest stream that is allowed */
    int loads_max; /* replicas that load new weights at once */
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
    int longest_s;
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
typedef enum { OBJECTIVE_TAIL, OBJECTIVE_HITS } objective_t;

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
    OPEN_YES,
    OPEN_DRAINED,
    OPEN_WINDOW_NEAR,
    OPEN_WINDOW_NOW
} open_t;

json_t *config_empty(void);
config_t *config_parse(json_t *doc, err_t *err);
config_t *config_hold(config_t *config);
void config_release(config_t *config);
const workspace_t *config_workspace_by_key(const config_t *config,
                                           const char *hash);
const operator_t *config_operator_by_key(const config_t *config,
                                         const char *hash);
const model_t *config_model(const config_t *config, const char *name);
const service_t *config_service(const config_t *config, const char *name);
const backend_t *config_backend(const config_t *config, const char *name);
open_t config_backend_open(const config_t *config, const backend_t *backend,
                           int64_t now_ms);
bool config_host_open(const config_t *config, const char *host, const char *dc,
                      int64_t now_ms, int64_t lead_ms);
int config_longest_ms(const config_t *config);
const char *open_word(open_t open);
int config_lead_ms(const config_t *config, const backend_t *backend);

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
json_t *config_change_seal(json_t *doc, const char *id, const char *who,
                           const char *what);
bool config_has_change(const json_t *doc, const char *id, int64_t *generation);
void config_warnings(const config_t *config, int64_t now_ms, json_t *out);
const char *config_section_known(const char *word);
void config_key_hash(const char *key, char out[KEY_HASH_LEN + 1]);

#endif
