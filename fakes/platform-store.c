#include "platform.h"

#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#define OBJECTS_PATH "/objects/"
#define PAGE_OBJECTS_MAX 50
#define OBJECT_PATH_MAX 2048

void
answer_json(struct evhttp_request *req, int status, const json_t *body)
{
    CLEAN_TEXT char *text = json_dumps(body, JSON_COMPACT);
    struct evbuffer *out = evbuffer_new();
    (void)evbuffer_add(out, text, strlen(text));
    (void)evhttp_add_header(evhttp_request_get_output_headers(req),
                            "Content-Type", "application/json");
    evhttp_send_reply(req, status, NULL, out);
    evbuffer_free(out);
}

static void
answer_text(struct evhttp_request *req, const char *text)
{
    struct evbuffer *out = evbuffer_new();
    (void)evbuffer_add(out, text, strlen(text));
    (void)evhttp_add_header(evhttp_request_get_output_headers(req),
                            "Content-Type", "application/json");
    evhttp_send_reply(req, 200, NULL, out);
    evbuffer_free(out);
}

/* Answers a list or a watch.  An odd entry is written as it is: no JSON
 * library holds it. */
void
answer_page(const platform_store_t *store, struct evhttp_request *req,
            const char *kind, const char *text)
{
    const char *list = strchr(text, '[') + 1;
    bool events = strncmp(text, "{\"events\"", strlen("{\"events\"")) == 0;
    if (store->faults.odd_spec == NULL || strcmp(kind, "servers") != 0) {
        answer_text(req, text);
        return;
    }
    CLEAN_BUF buf_t out = {0};
    buf_add(&out, text, (size_t)(list - text));
    buf_fmt(&out,
            "%s{\"metadata\":{\"name\":\"odd\",\"revision\":%lld},"
            "\"specification\":%s}%s%s",
            events ? "{\"tombstone\":false,\"object\":" : "",
            (long long)store->revision, store->faults.odd_spec,
            events ? "}" : "", *list == ']' ? "" : ",");
    buf_str(&out, list);
    answer_text(req, buf_text(&out));
}

json_t *
parse_body(struct evhttp_request *req)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);
    return json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
}

const char *
find_header(struct evhttp_request *req, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

/* Calls a function once, after a number of ms. */
void
run_later(struct event_base *base, int64_t ms,
          void (*run)(evutil_socket_t, short, void *), void *arg)
{
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    (void)event_base_once(base, -1, EV_TIMEOUT, run, arg, &after);
}

void
store_init(platform_store_t *store, struct event_base *base)
{
    memset(store, 0, sizeof(*store));
    store->base = base;
    store->kinds = json_object();
    store->events = json_array();
    store->list_calls = json_object();
    store->faults.page_objects = PAGE_OBJECTS_MAX;
    store->faults.cursor_mode = CURSOR_EMPTY;
    CK_LIST_INIT(&store->watchers);
    CK_LIST_INIT(&store->faults.odd_entries);
}

/* Returns the objects of a kind by name. */
json_t *
store_find_kind(platform_store_t *store, const char *kind)
{
    json_t *objects = json_object_get(store->kinds, kind);
    if (objects == NULL) {
        objects = json_object();
        (void)json_object_set_new(store->kinds, kind, objects);
    }
    return objects;
}

json_t *
store_find_object(platform_store_t *store, const char *kind, const char *name)
{
    return json_object_get(store_find_kind(store, kind), name);
}

static json_t *
events_since(platform_store_t *store, const char *kind, int64_t after_revision)
{
    json_t *out = json_array();
    size_t index;
    json_t *event;
    json_array_foreach (store->events, index, event) {
        if (json_get_int(event, "revision", 0) > after_revision &&
            json_string_equals(event, "kind", kind)) {
            (void)json_array_append(out, event);
        }
    }
    return out;
}

static void
watcher_free(watcher_t *watcher)
{
    CK_LIST_REMOVE(watcher, entry);
    event_free(watcher->timer);
    free(watcher);
}

static void
watcher_answer(watcher_t *watcher)
{
    platform_store_t *store = watcher->store;
    CLEAN_JSON json_t *body =
        json_pack("{s:o,s:I}", "events",
                  events_since(store, watcher->kind, watcher->after_revision),
                  "at", (json_int_t)store->revision);
    CLEAN_TEXT char *text = json_dumps(body, JSON_COMPACT);
    struct evhttp_request *req = watcher->req;
    answer_page(store, req, watcher->kind, text);
    watcher_free(watcher);
}

static void
on_watch_end(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    watcher_answer(arg);
}

static void
publish_event(platform_store_t *store, const char *kind, json_t *object,
              bool tombstone)
{
    watcher_t *watcher;
    watcher_t *next;
    (void)json_array_append_new(
        store->events,
        json_pack("{s:I,s:s,s:O,s:b}", "revision", (json_int_t)store->revision,
                  "kind", kind, "object", object, "tombstone", tombstone));
    CK_LIST_FOREACH_SAFE (watcher, &store->watchers, entry, next) {
        if (strcmp(watcher->kind, kind) == 0) {
            watcher_answer(watcher);
        }
    }
}

/* Sets an object's specification. An unchanged one makes no new revision. */
void
store_set(platform_store_t *store, const char *kind, const char *name,
          json_t *spec)
{
    json_t *old = store_find_object(store, kind, name);
    if (old != NULL &&
        json_equal(json_object_get(old, "specification"), spec)) {
        json_decref(spec);
        return;
    }
    store->revision++;
    json_t *object =
        json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:o,s:n}", "metadata", "name",
                  name, "revision", (json_int_t)store->revision, "created",
                  (json_int_t)store->revision, "finalizers",
                  "deletion_pending", 0, "specification", spec, "status");
    (void)json_object_set(store_find_kind(store, kind), name, object);
    publish_event(store, kind, object, false);
    json_decref(object);
}

void
store_remove(platform_store_t *store, const char *kind, const char *name)
{
    json_t *object = store_find_object(store, kind, name);
    if (object == NULL) {
        return;
    }
    json_incref(object);
    store->revision++;
    (void)json_object_del(store_find_kind(store, kind), name);
    publish_event(store, kind, object, true);
    json_decref(object);
}

static void
answer_watch(platform_store_t *store, struct evhttp_request *req,
             const char *kind, const struct evkeyvalq *query)
{
    const char *after_revision = evhttp_find_header(query, "watch");
    const char *wait = evhttp_find_header(query, "wait_ms");
    watcher_t *watcher = mem_zalloc(sizeof(*watcher));
    watcher->store = store;
    watcher->req = req;
    watcher->after_revision = strtoll(after_revision, NULL, 10);
    str_copy(watcher->kind, sizeof(watcher->kind), kind);
    watcher->timer = evtimer_new(store->base, on_watch_end, watcher);
    CK_LIST_INSERT_HEAD(&store->watchers, watcher, entry);
    CLEAN_JSON json_t *events =
        events_since(store, kind, watcher->after_revision);
    if (watcher->after_revision < store->faults.history_start) {
        CLEAN_JSON json_t *error = json_pack("{s:s}", "error", "history gone");
        watcher_free(watcher);
        answer_json(req, 410, error);
        return;
    }
    if (json_array_size(events) > 0 || wait == NULL) {
        watcher_answer(watcher);
        return;
    }
    long ms = strtol(wait, NULL, 10);
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    (void)event_add(watcher->timer, &after);
}

static void
answer_get(platform_store_t *store, struct evhttp_request *req,
           const char *kind, const char *name)
{
    struct evkeyvalq query = {0};
    const char *text =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
    (void)evhttp_parse_query_str(text != NULL ? text : "", &query);
    if (name != NULL) {
        const json_t *object = store_find_object(store, kind, name);
        CLEAN_JSON json_t *none = json_pack("{s:s}", "error", "absent");
        answer_json(req, object != NULL ? 200 : 404,
                    object != NULL ? object : none);
    }
    else if (evhttp_find_header(&query, "watch") != NULL) {
        answer_watch(store, req, kind, &query);
    }
    else {
        store_answer_list(store, req, kind, text);
    }
    evhttp_clear_headers(&query);
}

static int
apply_write(platform_store_t *store, enum evhttp_cmd_type method,
            const char *kind, const char *name, const json_t *body)
{
    const json_t *metadata = json_object_get(body, "metadata");
    const char *object_name =
        name != NULL ? name : json_get_string(metadata, "name");
    json_t *spec = json_object_get(body, "specification");
    const json_t *old = object_name != NULL
                            ? store_find_object(store, kind, object_name)
                            : NULL;
    if (object_name == NULL || spec == NULL) {
        return 400;
    }
    if (method == EVHTTP_REQ_POST && old != NULL) {
        return 409;
    }
    if (method == EVHTTP_REQ_PUT && old == NULL) {
        return 404;
    }
    int64_t expected_revision = json_get_int(metadata, "revision", 0);
    if (expected_revision != 0 &&
        expected_revision !=
            json_get_int(json_object_get(old, "metadata"), "revision", 0)) {
        return 409;
    }
    store_set(store, kind, object_name, json_incref(spec));
    return method == EVHTTP_REQ_POST ? 201 : 200;
}

static void
answer_write(platform_store_t *store, struct evhttp_request *req,
             const char *kind, const char *name)
{
    CLEAN_JSON json_t *body = parse_body(req);
    int status =
        apply_write(store, evhttp_request_get_command(req), kind, name, body);
    const char *object_name =
        name != NULL
            ? name
            : json_get_string(json_object_get(body, "metadata"), "name");
    if (status < 300 && store->faults.answers_to_drop > 0) {
        store->faults.answers_to_drop--;
        return; /* applied, but never answered */
    }
    const json_t *object = object_name != NULL
                               ? store_find_object(store, kind, object_name)
                               : NULL;
    CLEAN_JSON json_t *none = json_pack("{s:s}", "error", "refused");
    answer_json(req, status, object != NULL ? object : none);
}

static void
answer_delete(platform_store_t *store, struct evhttp_request *req,
              const char *kind, const char *name)
{
    const json_t *object =
        name != NULL ? store_find_object(store, kind, name) : NULL;
    CLEAN_JSON json_t *none = json_pack("{s:s}", "error", "absent");
    store->removals++;
    if (object == NULL) {
        answer_json(req, 404, none);
        return;
    }
    store_remove(store, kind, name);
    answer_json(req, 200, none);
}

/* Whether a request target holds only what a URI may hold. */
static bool
is_valid_target(const char *target)
{
    for (; *target != '\0'; target++) {
        if (*target <= ' ' || *target > '~') {
            return false;
        }
    }
    return true;
}

/* Handles a call to the store. */
void
store_handle(struct evhttp_request *req, void *arg)
{
    platform_store_t *store = arg;
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    char kind[OBJECT_PATH_MAX];
    CLEAN_TEXT char *name = NULL;
    CLEAN_JSON json_t *error = json_pack("{s:s}", "error", "not now");
    if (store->faults.silent) {
        return;
    }
    if (!is_valid_target(evhttp_request_get_uri(req))) {
        answer_json(req, 400, error);
        return;
    }
    if (store->faults.down) {
        answer_json(req, 503, error);
        return;
    }
    if (path == NULL ||
        strncmp(path, OBJECTS_PATH, strlen(OBJECTS_PATH)) != 0) {
        answer_json(req, 404, error);
        return;
    }
    str_copy(kind, sizeof(kind), path + strlen(OBJECTS_PATH));
    char *slash = strchr(kind, '/');
    if (slash != NULL) {
        *slash = '\0';
        name = evhttp_uridecode(slash + 1, 0, NULL);
    }
    switch (evhttp_request_get_command(req)) {
        case EVHTTP_REQ_GET:
            answer_get(store, req, kind, name);
            return;
        case EVHTTP_REQ_POST:
        case EVHTTP_REQ_PUT:
            answer_write(store, req, kind, name);
            return;
        case EVHTTP_REQ_DELETE:
            answer_delete(store, req, kind, name);
            return;
        default:
            answer_json(req, 400, error);
            return;
    }
}
