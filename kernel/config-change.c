#include "config.h"

#include <string.h>

/* Changes to the configuration as functions from document to document. */

static const char *const sections[] = {"workspaces", "models",  "services",
                                       "backends",   "windows", "operators"};

/* The section that a word names, in the singular or plural, or NULL. */
const char *
config_find_section(const char *word)
{
    for (size_t i = 0; i < sizeof(sections) / sizeof(sections[0]); i++) {
        size_t len = strlen(sections[i]);
        if (strcmp(word, sections[i]) == 0 ||
            (strlen(word) == len - 1 &&
             strncmp(word, sections[i], len - 1) == 0)) {
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
                               "%s %s is declared already; use set",
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

/* A copy of the document with one change, checked whole. */
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

/* Give a changed document its next generation and its audit line.  The
 * change's id tells its author, when the store's answer was lost, whether
 * the change was accepted. */
json_t *
config_change_record(json_t *doc, const char *id, const char *who,
                     const char *what)
{
    int64_t from = json_int(doc, "generation", 0);
    json_t *changes = json_object_get(doc, "changes");
    (void)json_object_set_new(doc, "generation", json_integer(from + 1));
    (void)json_array_append_new(
        changes,
        json_pack("{s:s,s:s,s:s,s:I,s:I,s:I}", "id", id, "who", who, "what",
                  what, "from", (json_int_t)from, "to", (json_int_t)(from + 1),
                  "at_ms", (json_int_t)time_wall_ms()));
    while (json_array_size(changes) > CONFIG_CHANGES_MAX) {
        (void)json_array_remove(changes, 0);
    }
    return doc;
}

/* Whether a change is in the document, and the generation that it made. */
bool
config_has_change(const json_t *doc, const char *id, int64_t *generation)
{
    size_t i;
    const json_t *change;
    json_array_foreach (json_object_get(doc, "changes"), i, change) {
        const char *have = json_text(change, "id");
        if (have != NULL && strcmp(have, id) == 0) {
            *generation = json_int(change, "to", 0);
            return true;
        }
    }
    return false;
}

/* Replicas of a model or service that would be open at a wall time. */
static size_t
open_at(const config_t *config, const char *serves, int64_t when_ms)
{
    size_t open = 0;
    for (size_t i = 0; i < config->backend_count; i++) {
        const backend_t *backend = &config->backends[i];
        open += strcmp(backend->serves, serves) == 0 &&
                config_backend_availability(config, backend, when_ms) ==
                    AVAILABILITY_OPEN;
    }
    return open;
}

static void
warn_window(const config_t *config, const window_t *window, int64_t now_ms,
            json_t *out)
{
    for (size_t i = 0; i < config->backend_count; i++) {
        const backend_t *backend = &config->backends[i];
        bool covered = window->kind == WINDOW_DC
                           ? strcmp(window->target, backend->dc) == 0
                           : strcmp(window->target, backend->name) == 0;
        int lead = config_window_lead_ms(config, backend);
        if (!covered || window->kind == WINDOW_HOST) {
            continue;
        }
        if (now_ms > window->begin_ms - lead && now_ms < window->begin_ms) {
            (void)json_array_append_new(
                out,
                json_sprintf("window %s: notice is %lld ms short of the "
                             "longest stream on %s; streams that are longer "
                             "would be moved or cut",
                             window->name,
                             (long long)(now_ms - window->begin_ms + lead),
                             backend->name));
        }
        if (open_at(config, backend->serves, window->begin_ms) == 0) {
            (void)json_array_append_new(
                out, json_sprintf("window %s: no server of %s is left open; "
                                  "its requests would be refused",
                                  window->name, backend->serves));
            return;
        }
    }
}

/* What the windows of a configuration would lose, for the operator who
 * declares them. */
void
config_list_warnings(const config_t *config, int64_t now_ms, json_t *out)
{
    for (size_t i = 0; i < config->window_count; i++) {
        if (config->windows[i].end_ms > now_ms) {
            warn_window(config, &config->windows[i], now_ms, out);
        }
    }
}
