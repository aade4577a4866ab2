#include "history.h"

#include <stdlib.h>
#include <string.h>

static size_t
count_word(const json_t *list, const char *word)
{
    size_t count = 0;
    size_t i;
    const json_t *item;
    json_array_foreach (list, i, item) {
        count += strcmp(json_string_value(item), word) == 0;
    }
    return count;
}

/* Calls with idempotency keys: a key has at most one execution; a "done"
 * answer implies an execution; if every attempt was answered as not run, there
 * is none. */
size_t
history_check_keys(const json_t *answers, const json_t *effects,
                   buf_t *problems)
{
    size_t violations = 0;
    const char *key;
    json_t *list;
    json_object_foreach ((json_t *)answers, key, list) {
        int64_t executions = json_get_int(effects, key, 0);
        size_t done = count_word(list, "done");
        size_t not_run =
            count_word(list, "not_run") + count_word(list, "refused");
        if (executions > 1) {
            buf_fmt(problems, "%s was executed %lld times; ", key,
                    (long long)executions);
            violations++;
        }
        if (done > 0 && executions == 0) {
            buf_fmt(problems, "%s was answered done but was not executed; ",
                    key);
            violations++;
        }
        if (not_run == json_array_size(list) && executions > 0) {
            buf_fmt(problems, "%s was answered not run but was executed; ",
                    key);
            violations++;
        }
    }
    return violations;
}

/* No attempt of a request that ended as not run may be among the executions
 * that the backend servers recorded. */
size_t
history_check_not_run(const json_t *events, const json_t *executed,
                      buf_t *problems)
{
    size_t violations = 0;
    size_t i;
    const json_t *event;
    CLEAN_JSON json_t *executed_ids = json_object();
    CLEAN_JSON json_t *not_run = json_object();
    json_array_foreach (executed, i, event) {
        (void)json_object_set_new(executed_ids, json_string_value(event),
                                  json_true());
    }
    json_array_foreach (events, i, event) {
        const char *detail = json_get_string(event, "detail");
        if (json_string_equals(event, "kind", "ended") && detail != NULL &&
            strcmp(detail, "not_run") == 0) {
            (void)json_object_set_new(
                not_run, json_get_string(event, "request"), json_true());
        }
    }
    json_array_foreach (events, i, event) {
        const char *request = json_get_string(event, "request");
        const char *sent_id = json_get_string(event, "sent");
        if (json_string_equals(event, "kind", "sent") && request != NULL &&
            sent_id != NULL && json_object_get(not_run, request) != NULL &&
            json_object_get(executed_ids, sent_id) != NULL) {
            buf_fmt(problems,
                    "%s was answered not run but was executed as %s; ",
                    request, sent_id);
            violations++;
        }
    }
    return violations;
}

/* The configuration generation only grows until the process restarts. */
size_t
history_check_generations(const json_t *events, buf_t *problems)
{
    size_t violations = 0;
    size_t i;
    const json_t *event;
    CLEAN_JSON json_t *generations = json_object();
    json_array_foreach (events, i, event) {
        const char *process = json_get_string(event, "p");
        const char *detail = json_get_string(event, "detail");
        if (json_string_equals(event, "kind", "daemon-started")) {
            (void)json_object_del(generations, process);
        }
        if (!json_string_equals(event, "kind", "config-adopted") ||
            detail == NULL) {
            continue;
        }
        int64_t generation =
            strtoll(detail + strcspn(detail, "0123456789"), NULL, 10);
        if (generation <= json_get_int(generations, process, 0)) {
            buf_fmt(problems, "%s: generation went from %lld to %lld; ",
                    process, (long long)json_get_int(generations, process, 0),
                    (long long)generation);
            violations++;
        }
        (void)json_object_set_new(generations, process,
                                  json_integer(generation));
    }
    return violations;
}

/* The wall-clock time, in ms, of the last attempt sent to a backend server; 0
 * if there is none. */
int64_t
history_last_sent_ms(const json_t *events, const char *backend)
{
    int64_t last_ms = 0;
    size_t i;
    const json_t *event;
    json_array_foreach (events, i, event) {
        const char *sent_to = json_get_string(event, "backend");
        if (json_string_equals(event, "kind", "sent") && sent_to != NULL &&
            strcmp(sent_to, backend) == 0 &&
            json_get_int(event, "t", 0) > last_ms) {
            last_ms = json_get_int(event, "t", 0);
        }
    }
    return last_ms;
}
