#include "fakes.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* The platform's object API and host list: versions, conditional updates,
 * watches by long poll, rate limits, outages, answers lost after the write was
 * applied.  It differs from a real one in that it is a single process and
 * stores nothing on disk. */

#define OBJECTS_PATH "/v1/objects/"
#define WATCH_TIMEOUT_S 20
#define TICK_INTERVAL_MS 5
#define VALUE_MAX (1 << 20)

typedef struct watcher {
    CK_LIST_ENTRY(watcher) entry;
    http_req_t *req;
    char name[256];
    int64_t version; /* the client waits for a newer one */
    int64_t due_ms;
} watcher_t;

/* A request that is handled after a delay, because the store is slow. */
typedef struct delayed_request {
    CK_LIST_ENTRY(delayed_request) entry;
    http_req_t *req;
    int64_t due_ms;
} delayed_request_t;

typedef struct {
    pthread_mutex_t lock;
    json_t *objects; /* name -> {"version","value"} */
    int64_t version;
    CK_LIST_HEAD(watchers, watcher) watchers;
    CK_LIST_HEAD(delayed_requests, delayed_request) delayed_requests;
    json_t *hosts;
    bool outage;
    unsigned delay_ms;
    unsigned answers_to_drop;
    unsigned writes_per_s_max;
    unsigned reads_per_s_max;
    int64_t current_second;
    unsigned writes_this_second;
    unsigned reads_this_second;
    unsigned writes_peak;
    unsigned reads_peak;
    uint64_t writes;
    uint64_t reads;
    uint64_t rejected;
} store_t;

static volatile sig_atomic_t fake_store_stop;

static void
on_signal(int number)
{
    (void)number;
    fake_store_stop = 1;
}

static const char *
object_name(const http_req_t *req)
{
    return http_req_path(req) + strlen(OBJECTS_PATH);
}

/* Counts a call against the rate limit of reads or writes; false if it is
 * exceeded. */
static bool
rate_limit_allows(store_t *store, bool write)
{
    int64_t current_second = time_mono_ms() / 1000;
    if (current_second != store->current_second) {
        store->current_second = current_second;
        store->writes_this_second = 0;
        store->reads_this_second = 0;
    }
    unsigned *count =
        write ? &store->writes_this_second : &store->reads_this_second;
    unsigned *peak = write ? &store->writes_peak : &store->reads_peak;
    unsigned max = write ? store->writes_per_s_max : store->reads_per_s_max;
    *(write ? &store->writes : &store->reads) += 1;
    *count += 1;
    *peak = *count > *peak ? *count : *peak;
    store->rejected += *count > max;
    return *count <= max;
}

static void
reply_object(http_req_t *req, const json_t *object)
{
    if (object == NULL) {
        http_req_reply_error(req, 404, "not_found", "no such object");
        return;
    }
    http_req_reply_json(req, 200, object);
}

static void
wake_watchers(store_t *store, const char *name)
{
    watcher_t *watcher;
    watcher_t *next;
    CK_LIST_FOREACH_SAFE (watcher, &store->watchers, entry, next) {
        if (strcmp(watcher->name, name) != 0) {
            continue;
        }
        reply_object(watcher->req, json_object_get(store->objects, name));
        http_req_unref(watcher->req);
        CK_LIST_REMOVE(watcher, entry);
        free(watcher);
    }
}

static void
watcher_add(store_t *store, http_req_t *req, const char *name, int64_t version)
{
    const char *timeout = http_req_query(req, "timeout_ms");
    int64_t timeout_ms =
        timeout == NULL ? WATCH_TIMEOUT_S * 1000 : strtoll(timeout, NULL, 10);
    watcher_t *watcher = mem_zalloc(sizeof(*watcher));
    http_req_ref(req);
    watcher->req = req;
    watcher->version = version;
    watcher->due_ms = time_mono_ms() + timeout_ms;
    str_copy(watcher->name, sizeof(watcher->name), name);
    CK_LIST_INSERT_HEAD(&store->watchers, watcher, entry);
}

/* GET returns an object; with ?after=N it waits for a version above N. */
static void
handle_get(store_t *store, http_req_t *req)
{
    const char *name = object_name(req);
    const char *after = http_req_query(req, "after");
    const json_t *object = json_object_get(store->objects, name);
    int64_t current_version =
        object == NULL ? 0 : json_get_int(object, "version", 0);
    if (after != NULL && current_version <= strtoll(after, NULL, 10)) {
        watcher_add(store, req, name, strtoll(after, NULL, 10));
        return;
    }
    reply_object(req, object);
}

/* PUT writes an object. With If-Match it does so only if that is the object's
 * version; 0 means that the object does not exist. */
static void
handle_put(store_t *store, http_req_t *req)
{
    const char *name = object_name(req);
    const char *match = http_req_header(req, "If-Match");
    size_t len;
    const char *text = http_req_body(req, &len);
    const json_t *object = json_object_get(store->objects, name);
    int64_t current_version =
        object == NULL ? 0 : json_get_int(object, "version", 0);
    if (len > VALUE_MAX) {
        http_req_reply_error(req, 413, "too_large", "over a megabyte");
        return;
    }
    if (match != NULL && strtoll(match, NULL, 10) != current_version) {
        http_req_reply_error(req, 412, "conflict", "version is %lld",
                             (long long)current_version);
        return;
    }
    json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);
    if (value == NULL) {
        http_req_reply_error(req, 400, "bad_json", "not a JSON value");
        return;
    }
    store->version++;
    (void)json_object_set_new(
        store->objects, name,
        json_pack("{s:I,s:o}", "version", (json_int_t)store->version, "value",
                  value));
    wake_watchers(store, name);
    if (store->answers_to_drop > 0) {
        store->answers_to_drop--;
        http_req_abort(req);
        return;
    }
    CLEAN_JSON json_t *reply =
        json_pack("{s:I}", "version", (json_int_t)store->version);
    http_req_reply_json(req, 200, reply);
}

static void
handle_object(store_t *store, http_req_t *req)
{
    bool write = strcmp(http_req_method(req), "PUT") == 0;
    if (store->outage) {
        http_req_reply_error(req, 503, "outage", "the store is down");
        return;
    }
    if (!rate_limit_allows(store, write)) {
        http_req_reply_error(req, 429, "rate", "too many calls");
        return;
    }
    if (write) {
        handle_put(store, req);
        return;
    }
    handle_get(store, req);
}

static void
handle_control(store_t *store, http_req_t *req)
{
    CLEAN_JSON json_t *body = json_loads(http_req_body(req, NULL), 0, NULL);
    if (json_object_get(body, "outage") != NULL) {
        store->outage = json_get_bool(body, "outage");
    }
    store->delay_ms = (unsigned)json_get_int(body, "slow_ms", store->delay_ms);
    store->answers_to_drop =
        (unsigned)json_get_int(body, "lose_answers", store->answers_to_drop);
    if (json_object_get(body, "hosts") != NULL) {
        json_decref(store->hosts);
        store->hosts = json_incref(json_object_get(body, "hosts"));
    }
    http_req_reply(req, 200, "application/json", "{}", 2);
}

static void
handle_truth(store_t *store, http_req_t *req)
{
    CLEAN_JSON json_t *body = json_pack(
        "{s:I,s:I,s:I,s:i,s:i,s:O}", "writes", (json_int_t)store->writes,
        "reads", (json_int_t)store->reads, "refused",
        (json_int_t)store->rejected, "writes_peak", (int)store->writes_peak,
        "reads_peak", (int)store->reads_peak, "objects", store->objects);
    http_req_reply_json(req, 200, body);
}

static void
handle_request(store_t *store, http_req_t *req)
{
    const char *path = http_req_path(req);
    if (strncmp(path, OBJECTS_PATH, strlen(OBJECTS_PATH)) == 0) {
        handle_object(store, req);
    }
    else if (strcmp(path, "/v1/hosts") == 0) {
        http_req_reply_json(req, 200, store->hosts);
    }
    else if (strcmp(path, "/control") == 0) {
        handle_control(store, req);
    }
    else if (strcmp(path, "/truth") == 0) {
        handle_truth(store, req);
    }
    else {
        http_req_reply_error(req, 404, "not_found", "no such path");
    }
}

static void
handle_or_delay(http_req_t *req, void *arg)
{
    store_t *store = arg;
    LOCK_SCOPE(&store->lock);
    if (store->delay_ms == 0 || strcmp(http_req_path(req), "/control") == 0) {
        handle_request(store, req);
        return;
    }
    /* When slow, each request but /control waits here and is handled, with
     * its effect, when the delay is over. */
    delayed_request_t *delayed = mem_zalloc(sizeof(*delayed));
    http_req_ref(req);
    delayed->req = req;
    delayed->due_ms = time_mono_ms() + store->delay_ms;
    CK_LIST_INSERT_HEAD(&store->delayed_requests, delayed, entry);
}

static void
answer_due_requests(store_t *store)
{
    LOCK_SCOPE(&store->lock);
    int64_t now = time_mono_ms();
    watcher_t *watcher;
    watcher_t *next;
    CK_LIST_FOREACH_SAFE (watcher, &store->watchers, entry, next) {
        if (now < watcher->due_ms && !fake_store_stop) {
            continue;
        }
        http_req_reply(watcher->req, 204, "text/plain", "", 0);
        http_req_unref(watcher->req);
        CK_LIST_REMOVE(watcher, entry);
        free(watcher);
    }
    delayed_request_t *delayed;
    delayed_request_t *next_delayed;
    CK_LIST_FOREACH_SAFE (delayed, &store->delayed_requests, entry,
                          next_delayed) {
        if (now < delayed->due_ms && !fake_store_stop) {
            continue;
        }
        handle_request(store, delayed->req);
        http_req_unref(delayed->req);
        CK_LIST_REMOVE(delayed, entry);
        free(delayed);
    }
}

static const struct argp_option options[] = {
    {"listen", 'l', "ADDR", 0, "IPV4:PORT to listen on", 0},
    {"writes", 'w', "N", 0, "writes per second", 0},
    {"reads", 'r', "N", 0, "reads per second", 0},
    {0},
};

typedef struct {
    const char *listen;
    unsigned writes;
    unsigned reads;
} fake_store_args_t;

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    fake_store_args_t *args = state->input;
    switch (key) {
        case 'l':
            args->listen = arg;
            return 0;
        case 'w':
            args->writes = (unsigned)strtoul(arg, NULL, 10);
            return 0;
        case 'r':
            args->reads = (unsigned)strtoul(arg, NULL, 10);
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option, NULL, "A stand-in for the platform's object API.",
    NULL,    NULL,         NULL};

int
main(int argc, char **argv)
{
    fake_store_args_t args = {"127.0.0.1:9001", 300, 2000};
    store_t store = {.objects = json_object(), .hosts = json_array()};
    err_t err = {0};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    (void)signal(SIGPIPE, SIG_IGN);
    log_setup("store", LOG_INFO);
    (void)pthread_mutex_init(&store.lock, NULL);
    store.writes_per_s_max = args.writes;
    store.reads_per_s_max = args.reads;
    http_server_opts_t opts = {.addr = args.listen,
                               .threads = 1,
                               .body_max = 2 << 20,
                               .connections_max = 4000,
                               .handler = handle_or_delay,
                               .arg = &store};
    http_server_t *server = http_server_start(&opts, &err);
    if (server == NULL) {
        log_error("store", "%s", err.text);
        return EXIT_FAILURE;
    }
    while (!fake_store_stop) {
        time_sleep_ms(TICK_INTERVAL_MS);
        answer_due_requests(&store);
    }
    answer_due_requests(&store);
    http_server_stop(server);
    json_decref(store.objects);
    json_decref(store.hosts);
    return EXIT_SUCCESS;
}
