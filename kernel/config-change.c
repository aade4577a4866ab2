#include "config.h"

#include <string.h>

/* Changes to the configuration document.  A change is applied to a copy, which
 * then gets the next generation and an audit entry. */

static const char *const sections[] = {"workspaces", "models",  "services",
                                       "backends",   "windows", "operators"};

/* Find a section by its name in the singular or plural; NULL if unknown. */
const char *
config_find_section(const char *name)
{
    for (size_t i = 0; i < sizeof(sections) / sizeof(sections[0]); i++) {
        size_t len = strlen(sections[i]);
        if (strcmp(name, sections[i]) == 0 ||
            (strlen(name) == len - 1 &&
             strncmp(name, sections[i], len - 1) == 0)) {
            return sections[i];
        }
    }
    return NULL;
}

static int
apply_to_section(json_t *section, const change_t *change, err_t *err)
{
    json_t *old = json_object_get(section, change->name);
    switch (change->kind) {
        case CHANGE_DECLARE:
            if (old != NULL) {
                return err_set(err, ERR_CONFIG, 409,
                               "%s %s is already declared; use set",
                               change->section, change->name);
            }
            return json_object_set(section, change->name, change->fields);
        case CHANGE_SET:
            if (old == NULL) {
                return err_set(err, ERR_CONFIG, 404, "%s %s is not declared",
                               change->section, change->name);
            }
            return json_object_update(old, change->fields);
        case CHANGE_REMOVE:
            if (old == NULL) {
                return err_set(err, ERR_CONFIG, 404, "%s %s is not declared",
                               change->section, change->name);
            }
            return json_object_del(section, change->name);
    }
    return -1;
}

/* Apply a change to a copy of the document and validate the result as a whole.
 * Returns NULL on failure. */
json_t *
config_change_apply(const json_t *doc, const change_t *change, err_t *err)
{
    json_t *copy = json_deep_copy(doc);
    if (strcmp(change->section, "top") == 0) {
        (void)json_object_update(copy, change->fields);
    }
    else if (apply_to_section(json_object_get(copy, change->section), change,
                              err) != 0) {
        json_decref(copy);
        return NULL;
    }
    config_t *parsed = config_parse(copy, err);
    if (parsed == NULL) {
        json_decref(copy);
        return NULL;
    }
    config_release(parsed);
    return copy;
}

/* Give a changed document its next generation and add an audit entry.  The
 * entry holds the change's id: when the store's answer to the write is lost,
 * the id shows whether the change was accepted. */
json_t *
config_change_record(json_t *doc, const char *id, const char *operator_name,
                     const char *description)
{
    int64_t generation = json_get_int(doc, "generation", 0);
    json_t *changes = json_object_get(doc, "changes");
    (void)json_object_set_new(doc, "generation", json_integer(generation + 1));
    (void)json_array_append_new(
        changes,
        json_pack("{s:s,s:s,s:s,s:I,s:I,s:I}", "id", id, "who", operator_name,
                  "what", description, "from", (json_int_t)generation, "to",
                  (json_int_t)(generation + 1), "at_ms",
                  (json_int_t)time_wall_ms()));
    while (json_array_size(changes) > CONFIG_CHANGES_MAX) {
        (void)json_array_remove(changes, 0);
    }
    return doc;
}

/* Whether the document contains a change; sets the generation it created. */
bool
config_has_change(const json_t *doc, const char *id, int64_t *generation)
{
    size_t i;
    const json_t *entry;
    json_array_foreach (json_object_get(doc, "changes"), i, entry) {
        const char *recorded_id = json_get_string(entry, "id");
        if (recorded_id != NULL && strcmp(recorded_id, id) == 0) {
            *generation = json_get_int(entry, "to", 0);
            return true;
        }
    }
    return false;
}

/* Count the backend servers of a model or service that would be available at a
 * wall time. */
static size_t
count_available(const config_t *config, const char *serves, int64_t at_ms)
{
    size_t count = 0;
    for (size_t i = 0; i < config->backend_count; i++) {
        const backend_t *backend = &config->backends[i];
        count += strcmp(backend->serves, serves) == 0 &&
                 config_backend_availability(config, backend, at_ms) ==
                     AVAILABILITY_OPEN;
    }
    return count;
}

static void
warn_window(const config_t *config, const window_t *window, int64_t now_ms,
            json_t *warnings)
{
    for (size_t i = 0; i < config->backend_count; i++) {
        const backend_t *backend = &config->backends[i];
        bool applies = window->kind == WINDOW_DC
                           ? strcmp(window->target, backend->dc) == 0
                           : strcmp(window->target, backend->name) == 0;
        int lead_ms = config_window_lead_ms(config, backend);
        if (!applies || window->kind == WINDOW_HOST) {
            continue;
        }
        if (now_ms > window->begin_ms - lead_ms && now_ms < window->begin_ms) {
            (void)json_array_append_new(
                warnings,
                json_sprintf("window %s: notice is %lld ms shorter than the "
                             "longest stream on %s; streams still running "
                             "then would be moved or cut",
                             window->name,
                             (long long)(now_ms - window->begin_ms + lead_ms),
                             backend->name));
        }
        if (count_available(config, backend->serves, window->begin_ms) == 0) {
            (void)json_array_append_new(
                warnings,
                json_sprintf("window %s: no server of %s stays available; "
                             "its requests would be rejected",
                             window->name, backend->serves));
            return;
        }
    }
}

/* Add a warning for each maintenance window that would interrupt running
 * requests or leave a model or service without an available server. */
void
config_list_warnings(const config_t *config, int64_t now_ms, json_t *warnings)
{
    for (size_t i = 0; i < config->window_count; i++) {
        if (config->windows[i].end_ms > now_ms) {
            warn_window(config, &config->windows[i], now_ms, warnings);
        }
    }
}
