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

/* Keyed calls: at most one effect for a key; an answer "done" means that it
 * ran; where every attempt was told that it did not run, it did not. */
size_t
history_check_keys(const json_t *answers, const json_t *effects,
                   buf_t *problems)
{
    size_t broken = 0;
    const char *key;
    json_t *list;
    json_object_foreach ((json_t *)answers, key, list) {
        int64_t ran = json_int(effects, key, 0);
        size_t done = count_word(list, "done");
        size_t not_run =
            count_word(list, "not_run") + count_word(list, "refused");
        if (ran > 1) {
            buf_fmt(problems, "%s ran %lld times; ", key, (long long)ran);
            broken++;
        }
        if (done > 0 && ran == 0) {
            buf_fmt(problems, "%s was told done and did not run; ", key);
            broken++;
        }
        if (not_run == json_array_size(list) && ran > 0) {
            buf_fmt(problems, "%s was told not run and ran; ", key);
            broken++;
        }
    }
    return broken;
}

/* Requests that ended as not run: none of what was sent for them may be
 * among what the backend servers executed. */
size_t
history_check_not_run(const json_t *events, const json_t *executed,
                      buf_t *problems)
{
    size_t broken = 0;
    size_t i;
    const json_t *event;
    CLEAN_JSON json_t *ran = json_object();
    CLEAN_JSON json_t *refused = json_object();
    json_array_foreach (executed, i, event) {
        (void)json_object_set_new(ran, json_string_value(event), json_true());
    }
    json_array_foreach (events, i, event) {
        const char *detail = json_text(event, "detail");
        if (json_text_is(event, "kind", "ended") && detail != NULL &&
            strcmp(detail, "not_run") == 0) {
            (void)json_object_set_new(refused, json_text(event, "request"),
                                      json_true());
        }
    }
    json_array_foreach (events, i, event) {
        const char *request = json_text(event, "request");
        const char *sent = json_text(event, "sent");
        if (json_text_is(event, "kind", "sent") && request != NULL &&
            sent != NULL && json_object_get(refused, request) != NULL &&
            json_object_get(ran, sent) != NULL) {
            buf_fmt(problems, "%s was told not run and ran as %s; ", request,
                    sent);
            broken++;
        }
    }
    return broken;
}

/* Generations: within one life of a process they only grow. */
size_t
history_check_generations(const json_t *events, buf_t *problems)
{
    size_t broken = 0;
    size_t i;
    const json_t *event;
    CLEAN_JSON json_t *last = json_object();
    json_array_foreach (events, i, event) {
        const char *process = json_text(event, "p");
        const char *detail = json_text(event, "detail");
        if (json_text_is(event, "kind", "daemon-started")) {
            (void)json_object_del(last, process);
        }
        if (!json_text_is(event, "kind", "config-adopted") || detail == NULL) {
            continue;
        }
        int64_t now =
            strtoll(detail + strcspn(detail, "0123456789"), NULL, 10);
        if (now <= json_int(last, process, 0)) {
            buf_fmt(problems, "%s went from %lld to %lld; ", process,
                    (long long)json_int(last, process, 0), (long long)now);
            broken++;
        }
        (void)json_object_set_new(last, process, json_integer(now));
    }
    return broken;
}

/* When, by the wall clock in ms, a backend server was last sent anything
 * new; 0 for never. */
int64_t
history_last_sent(const json_t *events, const char *backend)
{
    int64_t last = 0;
    size_t i;
    const json_t *event;
    json_array_foreach (events, i, event) {
        const char *at = json_text(event, "backend");
        if (json_text_is(event, "kind", "sent") && at != NULL &&
            strcmp(at, backend) == 0 && json_int(event, "t", 0) > last) {
            last = json_int(event, "t", 0);
        }
    }
    return last;
}
