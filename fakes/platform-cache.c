#include "platform.h"

#include "../relay/wire.h"

#include <stdlib.h>
#include <string.h>

/* The list and the events of a stand-in engine's cache.  It holds the parts of
 * all prompts executed since the last load of weights.  A call for events is
 * answered immediately, also if there are none. */

#define EPOCH 1
#define MODEL "m1"

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
add_part(platform_server_t *server, const char *salt, const char *id,
         int64_t tokens)
{
    char key[256];
    (void)snprintf(key, sizeof(key), "%s/%s", salt, id);
    if (server->cached_parts == NULL) {
        server->cached_parts = json_object();
    }
    if (json_object_get(server->cached_parts, key) != NULL) {
        return;
    }
    json_t *part = json_pack("[s,s,I,s]", salt, id, (json_int_t)tokens, MODEL);
    add_event(server, "+", part, tokens);
    (void)json_object_set_new(server->cached_parts, key, part);
}

/* Adds the parts of a request's prompt to the cache. */
void
server_cache_add_prompt(platform_server_t *server, struct evhttp_request *req)
{
    const char *salt = find_header(req, wire_header_name(HEADER_CACHE_SALT));
    const char *prompt =
        find_header(req, wire_header_name(HEADER_PROMPT_PREFIX));
    char copy[1024];
    char *rest = copy;
    char *word;
    if (prompt == NULL) {
        return;
    }
    str_copy(copy, sizeof(copy), prompt);
    while ((word = strsep(&rest, ",")) != NULL) {
        char *colon = strchr(word, ':');
        if (colon != NULL) {
            *colon = '\0';
            add_part(server, salt != NULL ? salt : "", word,
                     strtoll(colon + 1, NULL, 10));
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
