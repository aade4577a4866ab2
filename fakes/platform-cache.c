#include "platform.h"

#include "../relay/wire.h"

#include <stdlib.h>
#include <string.h>

/* The cache of a stand-in engine or kv store, its list and its events.  An
 * engine holds the parts of all prompts executed since the last load of
 * weights.  The version of the weights that prefilled a part is known here
 * alone, as at the platform's servers.  A call for events is answered
 * immediately, also if there are none. */

#define EPOCH 1
#define MODEL "m1"
#define KEY_MAX 256

static void
add_event(platform_server_t *server, const char *sign, const json_t *part,
          int64_t tokens)
{
    if (server->cache_events == NULL) {
        server->cache_events = json_array();
    }
    (void)json_array_append_new(
        server->cache_events,
        json_pack("[I,s,O,O,I,s]", (json_int_t)++server->newest_cache_event,
                  sign, json_array_get(part, 0), json_array_get(part, 1),
                  (json_int_t)tokens, MODEL));
}

static void
format_key(char key[KEY_MAX], const char *salt, const char *id)
{
    (void)snprintf(key, KEY_MAX, "%s/%s", salt, id);
}

/* Adds a part that weights of a version have prefilled, unless it is held. */
static void
add_part(platform_server_t *server, const char *key, json_t *part,
         int64_t version)
{
    if (server->cached_parts == NULL) {
        server->cached_parts = json_object();
        server->part_versions = json_object();
    }
    if (json_object_get(server->cached_parts, key) != NULL) {
        return;
    }
    add_event(server, "+", part, json_integer_value(json_array_get(part, 2)));
    (void)json_object_set(server->cached_parts, key, part);
    (void)json_object_set_new(server->part_versions, key,
                              json_integer(version));
}

/* Returns the version that prefilled a part, 0 if the server lacks the part.
 */
static int64_t
part_version(const platform_server_t *server, const char *key)
{
    return server != NULL ? json_integer_value(
                                json_object_get(server->part_versions, key))
                          : 0;
}

/* Returns the cache that a header of a request names, or NULL. */
static platform_server_t *
find_cache(const run_t *run, wire_header_t header)
{
    const char *addr = find_header(run->req, wire_header_name(header));
    platform_server_t *server;
    CK_LIST_FOREACH (server, run->server->servers, entry) {
        if (addr != NULL && strcmp(server->addr, addr) == 0) {
            return server;
        }
    }
    return NULL;
}

static void
copy_part(platform_server_t *to, const platform_server_t *from,
          const char *key)
{
    int64_t version = part_version(from, key);
    if (version != 0 && to != NULL) {
        add_part(to, key, json_object_get(from->cached_parts, key), version);
    }
}

/* Records that an answer is made from a part of other weights. */
static void
record_stale(const run_t *run, const char *key, int64_t version)
{
    (void)fprintf(run->server->record,
                  "stale server=%s uri=%s part=%s made=%lld runs=%lld\n",
                  run->server->id, evhttp_request_get_uri(run->req), key,
                  (long long)version, (long long)run->server->version);
    (void)fflush(run->server->record);
}

/* Provides one part of a run's prompt: from the cache, from the source of a
 * run that starts, or by prefill.  After the first part that was prefilled,
 * all are. */
static void
provide_part(const run_t *run, const char *salt, const char *id,
             int64_t tokens, bool *cached)
{
    platform_server_t *server = run->server;
    char key[KEY_MAX];
    format_key(key, salt, id);
    if (*cached && !run->started && part_version(server, key) == 0) {
        copy_part(server, find_cache(run, HEADER_CACHE_FETCH_FROM), key);
    }
    int64_t version = part_version(server, key);
    *cached = *cached && version != 0;
    if (*cached && version != server->version && !run->started) {
        record_stale(run, key, version);
    }
    if (!*cached) {
        CLEAN_JSON json_t *part =
            json_pack("[s,s,I,s]", salt, id, (json_int_t)tokens, MODEL);
        add_part(server, key, part, server->version);
    }
    copy_part(find_cache(run, HEADER_CACHE_SAVE_TO), server, key);
}

/* Provides the prompt of a run that starts or that was preempted.  Only a run
 * that starts must not use parts of other weights. */
void
server_cache_provide_prompt(const run_t *run)
{
    const char *salt =
        find_header(run->req, wire_header_name(HEADER_CACHE_SALT));
    const char *prompt =
        find_header(run->req, wire_header_name(HEADER_PROMPT_PREFIX));
    bool cached = true;
    char copy[1024];
    char *rest = copy;
    char *word;
    str_copy(copy, sizeof(copy), prompt != NULL ? prompt : "");
    while ((word = strsep(&rest, ",")) != NULL) {
        char *colon = strchr(word, ':');
        if (colon != NULL) {
            *colon = '\0';
            provide_part(run, salt != NULL ? salt : "", word,
                         strtoll(colon + 1, NULL, 10), &cached);
        }
    }
}

/* Removes all parts, as when other weights are loaded. */
void
server_cache_clear(platform_server_t *server)
{
    const char *key;
    json_t *part;
    json_object_foreach (server->cached_parts, key, part) {
        add_event(server, "-", part, 0);
    }
    (void)json_object_clear(server->cached_parts);
    (void)json_object_clear(server->part_versions);
}

static void
answer_list(const platform_server_t *server, struct evhttp_request *req)
{
    json_t *held = json_array();
    const char *key;
    json_t *part;
    json_object_foreach (server->cached_parts, key, part) {
        (void)json_array_append(held, part);
    }
    CLEAN_JSON json_t *list =
        json_pack("{s:i,s:I,s:o}", "epoch", EPOCH, "next",
                  (json_int_t)server->newest_cache_event, "held", held);
    answer_json(req, 200, list);
}

static void
answer_events(const platform_server_t *server, struct evhttp_request *req,
              int64_t since)
{
    json_t *found = json_array();
    size_t index;
    json_t *event;
    json_array_foreach (server->cache_events, index, event) {
        if (json_integer_value(json_array_get(event, 0)) > since) {
            (void)json_array_append(found, event);
        }
    }
    CLEAN_JSON json_t *page = json_pack(
        "{s:i,s:I,s:b,s:o}", "epoch", EPOCH, "next",
        (json_int_t)server->newest_cache_event, "lost", 0, "events", found);
    answer_json(req, 200, page);
}

/* Answers a call for the cache's list or events; false for any other path. */
bool
server_cache_handle(const platform_server_t *server,
                    struct evhttp_request *req, const char *path)
{
    if (strcmp(path, "/kv-list") == 0) {
        answer_list(server, req);
        return true;
    }
    if (strcmp(path, "/kv-events") != 0) {
        return false;
    }
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
    const char *since = query != NULL ? strstr(query, "since=") : NULL;
    answer_events(server, req,
                  since != NULL ? strtoll(since + 6, NULL, 10) : 0);
    return true;
}
