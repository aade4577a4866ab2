#include "config.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define DURATION_MAX_DEFAULT_S 60
#define SHARE_MAX 1000
#define PRIORITY_MAX 100
#define CONCURRENT_LOADS_DEFAULT 2

/* The document before the first change, with generation 0. */
json_t *
config_empty(void)
{
    return json_pack("{s:i,s:s,s:s,s:{},s:{},s:{},s:{},s:{},s:{},s:[]}",
                     "generation", 0, "objective", "tail", "policy", "cost",
                     "workspaces", "models", "services", "backends", "windows",
                     "operators", "changes");
}

/* Hash a bearer key; the configuration holds only the hash. */
void
config_hash_key(const char *key, char out[KEY_HASH_LEN + 1])
{
    unsigned char raw[KEY_HASH_LEN / 2];
    (void)crypto_generichash(raw, sizeof(raw), (const unsigned char *)key,
                             strlen(key), NULL, 0);
    (void)sodium_bin2hex(out, KEY_HASH_LEN + 1, raw, sizeof(raw));
}

/* One object of a section while it is read; errors go to err. */
typedef struct {
    const char *section;
    const char *name;
    const json_t *fields;
    err_t *err;
} item_t;

static int
item_set_error(const item_t *item, const char *key, const char *allowed)
{
    return err_set(item->err, ERR_CONFIG, 400,
                   "%s %s: field %s is invalid; expected: %s", item->section,
                   item->name, key, allowed);
}

static int
item_read_text(const item_t *item, const char *key, bool required, char *out,
               size_t size)
{
    const json_t *value = json_object_get(item->fields, key);
    if (value == NULL && !required) {
        return 0;
    }
    const char *text = json_string_value(value);
    if (text == NULL || text[0] == '\0' || strlen(text) >= size) {
        return item_set_error(item, key,
                              "a non-empty text that is not too long");
    }
    str_copy(out, size, text);
    return 0;
}

static int
item_read_int(const item_t *item, const char *key, int fallback, int min,
              int max, int *out)
{
    const json_t *value = json_object_get(item->fields, key);
    *out = fallback;
    if (value == NULL) {
        return 0;
    }
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < min || number > max) {
        char allowed[64];
        (void)snprintf(allowed, sizeof(allowed), "an integer from %d to %d",
                       min, max);
        return item_set_error(item, key, allowed);
    }
    *out = (int)number;
    return 0;
}

static int
item_read_bool(const item_t *item, const char *key, bool *out)
{
    const json_t *value = json_object_get(item->fields, key);
    if (value != NULL && !json_is_boolean(value)) {
        return item_set_error(item, key, "true or false");
    }
    *out = json_is_true(value);
    return 0;
}

static int
item_read_time(const item_t *item, const char *key, int64_t *out)
{
    const json_t *value = json_object_get(item->fields, key);
    if (!json_is_integer(value) || json_integer_value(value) <= 0) {
        return item_set_error(item, key, "a time in milliseconds since 1970");
    }
    *out = json_integer_value(value);
    return 0;
}

static int
item_check_fields(const item_t *item, const char *const *allowed)
{
    const char *key;
    json_t *value;
    json_object_foreach ((json_t *)item->fields, key, value) {
        const char *const *known = allowed;
        while (*known != NULL && strcmp(*known, key) != 0) {
            known++;
        }
        if (*known == NULL) {
            CLEAN_BUF buf_t list = {0};
            for (known = allowed; *known != NULL; known++) {
                buf_fmt(&list, "%s%s", list.len > 0 ? ", " : "", *known);
            }
            return err_set(item->err, ERR_CONFIG, 400,
                           "%s %s: unknown field %s; allowed: %s",
                           item->section, item->name, key, buf_text(&list));
        }
    }
    return 0;
}

static int
read_workspace(const item_t *item, void *out)
{
    workspace_t *workspace = out;
    static const char *const keys[] = {"key_hash", "share", "priority", NULL};
    str_copy(workspace->name, sizeof(workspace->name), item->name);
    if (item_check_fields(item, keys) != 0 ||
        item_read_text(item, "key_hash", true, workspace->key_hash,
                       sizeof(workspace->key_hash)) != 0 ||
        item_read_int(item, "share", 1, 1, SHARE_MAX, &workspace->share) !=
            0) {
        return -1;
    }
    return item_read_int(item, "priority", 0, 0, PRIORITY_MAX,
                         &workspace->priority);
}

static int
read_operator(const item_t *item, void *out)
{
    operator_t *op = out;
    static const char *const keys[] = {"key_hash", NULL};
    str_copy(op->name, sizeof(op->name), item->name);
    if (item_check_fields(item, keys) != 0) {
        return -1;
    }
    return item_read_text(item, "key_hash", true, op->key_hash,
                          sizeof(op->key_hash));
}

static int
read_model(const item_t *item, void *out)
{
    model_t *model = out;
    static const char *const keys[] = {"version", "longest_s", "loads_max",
                                       NULL};
    str_copy(model->name, sizeof(model->name), item->name);
    if (item_check_fields(item, keys) != 0 ||
        item_read_text(item, "version", true, model->version,
                       sizeof(model->version)) != 0 ||
        item_read_int(item, "longest_s", DURATION_MAX_DEFAULT_S, 1, 86400,
                      &model->duration_max_s) != 0) {
        return -1;
    }
    return item_read_int(item, "loads_max", CONCURRENT_LOADS_DEFAULT, 1, 100,
                         &model->concurrent_loads_max);
}

static int
read_service(const item_t *item, void *out)
{
    service_t *service = out;
    static const char *const keys[] = {"idempotent", "longest_s", NULL};
    str_copy(service->name, sizeof(service->name), item->name);
    if (item_check_fields(item, keys) != 0 ||
        item_read_bool(item, "idempotent", &service->idempotent) != 0) {
        return -1;
    }
    return item_read_int(item, "longest_s", DURATION_MAX_DEFAULT_S, 1, 86400,
                         &service->duration_max_s);
}

static int
read_backend_kind(const item_t *item, backend_t *backend)
{
    const char *kind = json_get_string(item->fields, "kind");
    if (kind != NULL && strcmp(kind, "engine") == 0) {
        backend->kind = BACKEND_ENGINE;
        return 0;
    }
    if (kind != NULL && strcmp(kind, "service") == 0) {
        backend->kind = BACKEND_SERVICE;
        return 0;
    }
    if (kind != NULL && strcmp(kind, "kept") == 0) {
        backend->kind = BACKEND_UNROUTED;
        return 0;
    }
    return item_set_error(item, "kind", "engine, service or kept");
}

static int
read_backend(const item_t *item, void *out)
{
    backend_t *backend = out;
    static const char *const keys[] = {
        "addr",          "dc",    "kind", "serves", "honours_fencing",
        "checks_issuer", "drain", NULL};
    str_copy(backend->name, sizeof(backend->name), item->name);
    if (item_check_fields(item, keys) != 0 ||
        item_read_text(item, "addr", true, backend->addr,
                       sizeof(backend->addr)) != 0 ||
        item_read_text(item, "dc", true, backend->dc, sizeof(backend->dc)) !=
            0 ||
        item_read_text(item, "serves", true, backend->serves,
                       sizeof(backend->serves)) != 0 ||
        read_backend_kind(item, backend) != 0 ||
        item_read_bool(item, "honours_fencing", &backend->honours_fencing) !=
            0 ||
        item_read_bool(item, "checks_issuer", &backend->checks_issuer) != 0 ||
        item_read_bool(item, "drain", &backend->drain) != 0) {
        return -1;
    }
    if (!addr_is_valid(backend->addr)) {
        return item_set_error(item, "addr", "IPV4:PORT");
    }
    return 0;
}

static int
read_window(const item_t *item, void *out)
{
    window_t *window = out;
    static const char *const keys[] = {"kind", "target", "begin_ms", "end_ms",
                                       NULL};
    static const char *const kinds[] = {"backend", "dc", "host"};
    const char *kind = json_get_string(item->fields, "kind");
    str_copy(window->name, sizeof(window->name), item->name);
    if (item_check_fields(item, keys) != 0 ||
        item_read_text(item, "target", true, window->target,
                       sizeof(window->target)) != 0 ||
        item_read_time(item, "begin_ms", &window->begin_ms) != 0 ||
        item_read_time(item, "end_ms", &window->end_ms) != 0) {
        return -1;
    }
    if (window->end_ms <= window->begin_ms) {
        return item_set_error(item, "end_ms", "a time after begin_ms");
    }
    for (int i = 0; i < 3; i++) {
        if (kind != NULL && strcmp(kind, kinds[i]) == 0) {
            window->kind = (window_kind_t)i;
            return 0;
        }
    }
    return item_set_error(item, "kind", "backend, dc or host");
}

typedef int (*item_reader_t)(const item_t *item, void *out);

static int
read_section(const json_t *doc, const char *section, size_t size,
             item_reader_t read, void **items, size_t *count, err_t *err)
{
    json_t *object = json_object_get(doc, section);
    const char *name;
    json_t *fields;
    if (object != NULL && !json_is_object(object)) {
        return err_set(err, ERR_CONFIG, 400, "%s is not an object", section);
    }
    *items = mem_zalloc((json_object_size(object) + 1) * size);
    *count = 0;
    json_object_foreach (object, name, fields) {
        item_t item = {section, name, fields, err};
        if (!str_is_name(name)) {
            return err_set(err, ERR_CONFIG, 400,
                           "%s: %.70s is not a valid name; expected: 1 to 63 "
                           "letters, digits, dashes, dots, underscores",
                           section, name);
        }
        if (read(&item, (char *)*items + *count * size) != 0) {
            return -1;
        }
        (*count)++;
    }
    return 0;
}

static int
read_top_level(config_t *config, err_t *err)
{
    const char *objective = json_get_string(config->doc, "objective");
    const char *policy = json_get_string(config->doc, "policy");
    config->generation = json_get_int(config->doc, "generation", -1);
    if (config->generation < 0) {
        return err_set(err, ERR_CONFIG, 400, "generation is missing");
    }
    config->objective = objective != NULL && strcmp(objective, "hits") == 0
                            ? OBJECTIVE_CACHE_HITS
                            : OBJECTIVE_TAIL_LATENCY;
    str_copy(config->policy, sizeof(config->policy),
             policy == NULL ? "cost" : policy);
    return 0;
}

/* Check that every reference is to something declared, so that a change that
 * would break one is rejected. */
static int
check_references(const config_t *config, err_t *err)
{
    for (size_t i = 0; i < config->backend_count; i++) {
        const backend_t *backend = &config->backends[i];
        bool is_declared =
            backend->kind == BACKEND_UNROUTED ||
            (backend->kind == BACKEND_ENGINE
                 ? config_find_model(config, backend->serves) != NULL
                 : config_find_service(config, backend->serves) != NULL);
        if (!is_declared) {
            return err_set(err, ERR_CONFIG, 400,
                           "backends %s: serves %s, which is not declared",
                           backend->name, backend->serves);
        }
    }
    for (size_t i = 0; i < config->window_count; i++) {
        const window_t *window = &config->windows[i];
        if (window->kind == WINDOW_BACKEND &&
            config_find_backend(config, window->target) == NULL) {
            return err_set(err, ERR_CONFIG, 400,
                           "windows %s: target %s is not declared",
                           window->name, window->target);
        }
    }
    return 0;
}

#define READ_SECTION(section, field, count, type, reader)                     \
    read_section(doc, section, sizeof(type), reader, (void **)&config->field, \
                 &config->count, err)

/* Parse and validate a whole document.  Returns NULL on failure; the error
 * names the section, object and field. */
config_t *
config_parse(json_t *doc, err_t *err)
{
    config_t *config = mem_zalloc(sizeof(*config));
    config->refs = 1;
    config->doc = json_deep_copy(doc);
    if (read_top_level(config, err) != 0 ||
        READ_SECTION("workspaces", workspaces, workspace_count, workspace_t,
                     read_workspace) != 0 ||
        READ_SECTION("models", models, model_count, model_t, read_model) !=
            0 ||
        READ_SECTION("services", services, service_count, service_t,
                     read_service) != 0 ||
        READ_SECTION("backends", backends, backend_count, backend_t,
                     read_backend) != 0 ||
        READ_SECTION("windows", windows, window_count, window_t,
                     read_window) != 0 ||
        READ_SECTION("operators", operators, operator_count, operator_t,
                     read_operator) != 0 ||
        check_references(config, err) != 0) {
        config_release(config);
        return NULL;
    }
    return config;
}

/* Take a reference to a configuration. */
config_t *
config_hold(config_t *config)
{
    (void)__atomic_add_fetch(&config->refs, 1, __ATOMIC_RELAXED);
    return config;
}

/* Drop a reference; dropping the last one frees the configuration. */
void
config_release(config_t *config)
{
    if (config == NULL ||
        __atomic_sub_fetch(&config->refs, 1, __ATOMIC_ACQ_REL) > 0) {
        return;
    }
    free(config->workspaces);
    free(config->models);
    free(config->backends);
    free(config->services);
    free(config->windows);
    free(config->operators);
    json_decref(config->doc);
    free(config);
}

/* Find an item by name in an array of structs whose first member is their
 * name. */
static const void *
find_by_name(const void *items, size_t count, size_t size, const char *name)
{
    for (size_t i = 0; i < count && name != NULL; i++) {
        const char *item = (const char *)items + i * size;
        if (strcmp(item, name) == 0) {
            return item;
        }
    }
    return NULL;
}

const model_t *
config_find_model(const config_t *config, const char *name)
{
    return find_by_name(config->models, config->model_count, sizeof(model_t),
                        name);
}

const service_t *
config_find_service(const config_t *config, const char *name)
{
    return find_by_name(config->services, config->service_count,
                        sizeof(service_t), name);
}

const backend_t *
config_find_backend(const config_t *config, const char *name)
{
    return find_by_name(config->backends, config->backend_count,
                        sizeof(backend_t), name);
}

/* The workspace that a caller's key belongs to, or NULL. */
const workspace_t *
config_find_workspace_by_key(const config_t *config, const char *hash)
{
    for (size_t i = 0; i < config->workspace_count; i++) {
        if (strcmp(config->workspaces[i].key_hash, hash) == 0) {
            return &config->workspaces[i];
        }
    }
    return NULL;
}

/* The operator that a key belongs to, or NULL. */
const operator_t *
config_find_operator_by_key(const config_t *config, const char *hash)
{
    for (size_t i = 0; i < config->operator_count; i++) {
        if (strcmp(config->operators[i].key_hash, hash) == 0) {
            return &config->operators[i];
        }
    }
    return NULL;
}

/* How long before a maintenance window a backend server must stop taking new
 * requests: the longest stream that its model or service allows. */
int
config_window_lead_ms(const config_t *config, const backend_t *backend)
{
    const model_t *model = config_find_model(config, backend->serves);
    const service_t *service = config_find_service(config, backend->serves);
    if (backend->kind == BACKEND_ENGINE && model != NULL) {
        return model->duration_max_s * 1000;
    }
    return service == NULL ? 0 : service->duration_max_s * 1000;
}

static bool
window_covers(const window_t *window, const backend_t *backend)
{
    switch (window->kind) {
        case WINDOW_BACKEND:
            return strcmp(window->target, backend->name) == 0;
        case WINDOW_DC:
            return strcmp(window->target, backend->dc) == 0;
        case WINDOW_HOST:
            return false;
    }
    return false;
}

/* Whether a backend server may be given new requests at a wall time. */
availability_t
config_backend_availability(const config_t *config, const backend_t *backend,
                            int64_t now_ms)
{
    if (backend->drain) {
        return AVAILABILITY_DRAINED;
    }
    for (size_t i = 0; i < config->window_count; i++) {
        const window_t *window = &config->windows[i];
        int64_t lead_ms = config_window_lead_ms(config, backend);
        if (!window_covers(window, backend) || now_ms >= window->end_ms) {
            continue;
        }
        if (now_ms >= window->begin_ms) {
            return AVAILABILITY_IN_WINDOW;
        }
        if (now_ms >= window->begin_ms - lead_ms) {
            return AVAILABILITY_WINDOW_NEAR;
        }
    }
    return AVAILABILITY_OPEN;
}

/* The longest time that any model or service allows a request to run. */
int
config_duration_max_ms(const config_t *config)
{
    int max_ms = 0;
    for (size_t i = 0; i < config->model_count; i++) {
        int duration_ms = config->models[i].duration_max_s * 1000;
        max_ms = duration_ms > max_ms ? duration_ms : max_ms;
    }
    for (size_t i = 0; i < config->service_count; i++) {
        int duration_ms = config->services[i].duration_max_s * 1000;
        max_ms = duration_ms > max_ms ? duration_ms : max_ms;
    }
    return max_ms;
}

/* Whether no maintenance window of a router's host or its data centre is
 * active at a wall time or begins within lead_ms. */
bool
config_host_is_available(const config_t *config, const char *host,
                         const char *dc, int64_t now_ms, int64_t lead_ms)
{
    for (size_t i = 0; i < config->window_count; i++) {
        const window_t *window = &config->windows[i];
        bool applies =
            (window->kind == WINDOW_HOST &&
             strcmp(window->target, host) == 0) ||
            (window->kind == WINDOW_DC && strcmp(window->target, dc) == 0);
        if (applies && now_ms >= window->begin_ms - lead_ms &&
            now_ms < window->end_ms) {
            return false;
        }
    }
    return true;
}

const char *
availability_name(availability_t availability)
{
    static const char *const names[] = {"open", "drained", "window-near",
                                        "window"};
    return names[availability];
}
