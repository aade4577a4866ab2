#include "fakes.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* The platform's object API and host list: versions, conditional update,
 * watches by long poll, rates, outages, answers lost after their effect.  It
 * departs from a real one in that it has one process and keeps nothing. */

#define OBJECTS "/v1/objects/"
#define WATCH_SECONDS 20
#define TICK_MS 5
#define VALUE_MAX (1 << 20)

typedef struct waiter {
    CK_LIST_ENTRY(waiter) entry;
    http_req_t *req;
    char name[256];
    int64_t version; /* a newer one ends the watch */
    int64_t due_ms;
} waiter_t;

/* An answer that is sent later, because the store is slow. */
typedef struct delayed {
    CK_LIST_ENTRY(delayed) entry;
    http_req_t *req;
    int64_t due_ms;
} delayed_t;

typedef struct {
    pthread_mutex_t lock;
    json_t *objects; /* name -> {"version","value"} */
    int64_t version;
    CK_LIST_HEAD(waiters, waiter) waiters;
    CK_LIST_HEAD(delays, delayed) delays;
    json_t *hosts;
    bool outage;
    unsigned slow_ms;
    unsigned lose_answers;
    unsigned writes_max; /* a second */
    unsigned reads_max;
    int64_t second;
    unsigned writes_now;
    unsigned reads_now;
    unsigned writes_peak;
    unsigned reads_peak;
    uint64_t writes;
    uint64_t reads;
    uint64_t refused;
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
    return http_req_path(req) + strlen(OBJECTS);
}

/* Count a call against its rate; false where the rate is used up. */
static bool
rate_take(store_t *store, bool write)
{
    int64_t second = time_mono_ms() / 1000;
    if (second != store->second) {
        store->second = second;
        store->writes_now = 0;
        store->reads_now = 0;
    }
    unsigned *now = write ? &store->writes_now : &store->reads_now;
    unsigned *peak = write ? &store->writes_peak : &store->reads_peak;
    unsigned max = write ? store->writes_max : store->reads_max;
    *(write ? &store->writes : &store->reads) += 1;
    *now += 1;
    *peak = *now > *peak ? *now : *peak;
    store->refused += *now > max;
    return *now <= max;
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
    waiter_t *waiter;
    waiter_t *next;
    CK_LIST_FOREACH_SAFE (waiter, &store->waiters, entry, next) {
        if (strcmp(waiter->name, name) != 0) {
            continue;
        }
        reply_object(waiter->req, json_object_get(store->objects, name));
        http_req_release(waiter->req);
        CK_LIST_REMOVE(waiter, entry);
        free(waiter);
    }
}

static void
watch_add(store_t *store, http_req_t *req, const char *name, int64_t version)
{
    const char *wait = http_req_query(req, "timeout_ms");
    int64_t span =
        wait == NULL ? WATCH_SECONDS * 1000 : strtoll(wait, NULL, 10);
    waiter_t *waiter = mem_zalloc(sizeof(*waiter));
    http_req_hold(req);
    waiter->req = req;
    waiter->version = version;
    waiter->due_ms = time_mono_ms() + span;
    str_copy(waiter->name, sizeof(waiter->name), name);
    CK_LIST_INSERT_HEAD(&store->waiters, waiter, entry);
}

/* GET reads; with ?after=N it waits for a version above N. */
static void
handle_get(store_t *store, http_req_t *req)
{
    const char *name = object_name(req);
    const char *after = http_req_query(req, "after");
    const json_t *object = json_object_get(store->objects, name);
    int64_t have = object == NULL ? 0 : json_int(object, "version", 0);
    if (after != NULL && have <= strtoll(after, NULL, 10)) {
        watch_add(store, req, name, strtoll(after, NULL, 10));
        return;
    }
    reply_object(req, object);
}

/* PUT with If-Match writes only over that version; 0 stands for none. */
static void
handle_put(store_t *store, http_req_t *req)
{
    const char *name = object_name(req);
    const char *match = http_req_header(req, "If-Match");
    size_t len;
    const char *text = http_req_body(req, &len);
    const json_t *object = json_object_get(store->objects, name);
    int64_t have = object == NULL ? 0 : json_int(object, "version", 0);
    if (len > VALUE_MAX) {
        http_req_reply_error(req, 413, "too_large", "over a megabyte");
        return;
    }
    if (match != NULL && strtoll(match, NULL, 10) != have) {
        http_req_reply_error(req, 412, "conflict", "version is %lld",
                             (long long)have);
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
    if (store->lose_answers > 0) {
        store->lose_answers--;
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
    if (!rate_take(store, write)) {
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
        store->outage = json_flag(body, "outage");
    }
    store->slow_ms = (unsigned)json_int(body, "slow_ms", store->slow_ms);
    store->lose_answers =
        (unsigned)json_int(body, "lose_answers", store->lose_answers);
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
        (json_int_t)store->refused, "writes_peak", (int)store->writes_peak,
        "reads_peak", (int)store->reads_peak, "objects", store->objects);
    http_req_reply_json(req, 200, body);
}

static void
handle_now(store_t *store, http_req_t *req)
{
    const char *path = http_req_path(req);
    if (strncmp(path, OBJECTS, strlen(OBJECTS)) == 0) {
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
handle(http_req_t *req, void *arg)
{
    store_t *store = arg;
    LOCK_SCOPE(&store->lock);
    if (store->slow_ms == 0 || strcmp(http_req_path(req), "/control") == 0) {
        handle_now(store, req);
        return;
    }
    /* Slow: the effect comes at once, the answer later, as when a network
     * holds it back.  Only writes can be told apart, so only they wait. */
    delayed_t *delay = mem_zalloc(sizeof(*delay));
    http_req_hold(req);
    delay->req = req;
    delay->due_ms = time_mono_ms() + store->slow_ms;
    CK_LIST_INSERT_HEAD(&store->delays, delay, entry);
}

static void
tick(store_t *store)
{
    LOCK_SCOPE(&store->lock);
    int64_t now = time_mono_ms();
    waiter_t *waiter;
    waiter_t *next;
    CK_LIST_FOREACH_SAFE (waiter, &store->waiters, entry, next) {
        if (now < waiter->due_ms && !fake_store_stop) {
            continue;
        }
        http_req_reply(waiter->req, 204, "text/plain", "", 0);
        http_req_release(waiter->req);
        CK_LIST_REMOVE(waiter, entry);
        free(waiter);
    }
    delayed_t *delay;
    delayed_t *after;
    CK_LIST_FOREACH_SAFE (delay, &store->delays, entry, after) {
        if (now < delay->due_ms && !fake_store_stop) {
            continue;
        }
        handle_now(store, delay->req);
        http_req_release(delay->req);
        CK_LIST_REMOVE(delay, entry);
        free(delay);
    }
}

static const struct argp_option options[] = {
    {"listen", 'l', "ADDR", 0, "IPV4:PORT to listen on", 0},
    {"writes", 'w', "N", 0, "writes a second", 0},
    {"reads", 'r', "N", 0, "reads a second", 0},
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
    store.writes_max = args.writes;
    store.reads_max = args.reads;
    http_server_opts_t opts = {.addr = args.listen,
                               .threads = 1,
                               .body_max = 2 << 20,
                               .connections_max = 4000,
                               .handler = handle,
                               .arg = &store};
    http_server_t *server = http_server_start(&opts, &err);
    if (server == NULL) {
        log_error("store", "%s", err.text);
        return EXIT_FAILURE;
    }
    while (!fake_store_stop) {
        time_sleep_ms(TICK_MS);
        tick(&store);
    }
    tick(&store);
    http_server_stop(server);
    json_decref(store.objects);
    json_decref(store.hosts);
    return EXIT_SUCCESS;
}
