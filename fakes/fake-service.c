#include "fakes.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* A service without a model, whose calls must not be repeated: each POST
 * has an effect (a takedown, a strike, a sale), which is counted by the key in
 * the body.  The service itself does not detect repeated calls. */

#define TICK_INTERVAL_MS 2

typedef struct pending {
    CK_LIST_ENTRY(pending) entry;
    http_req_t *req;
    int64_t due_ms;
} pending_t;

typedef struct {
    pthread_mutex_t lock;
    json_t *effects; /* key -> number of effects */
    unsigned delay_ms;
    unsigned cuts_before_effect; /* next calls to cut off without effect */
    unsigned cuts_after_effect;  /* next calls to cut off after their effect */
    CK_LIST_HEAD(pendings, pending) pendings;
} service_t;

static volatile sig_atomic_t fake_service_stop;

static void
on_signal(int number)
{
    (void)number;
    fake_service_stop = 1;
}

static void
apply_effect(service_t *service, http_req_t *req)
{
    CLEAN_JSON json_t *body = json_loads(http_req_body(req, NULL), 0, NULL);
    const char *key = json_get_string(body, "key");
    key = key == NULL ? "none" : key;
    int64_t count = json_get_int(service->effects, key, 0) + 1;
    (void)json_object_set_new(service->effects, key, json_integer(count));
    if (service->cuts_after_effect > 0) {
        service->cuts_after_effect--;
        http_req_abort(req);
        return;
    }
    CLEAN_JSON json_t *reply =
        json_pack("{s:s,s:I}", "key", key, "count", (json_int_t)count);
    http_req_reply_json(req, 200, reply);
}

static void
handle_call(service_t *service, http_req_t *req)
{
    if (service->cuts_before_effect > 0) {
        service->cuts_before_effect--;
        http_req_abort(req);
        return;
    }
    if (service->delay_ms == 0) {
        apply_effect(service, req);
        return;
    }
    pending_t *pending = mem_zalloc(sizeof(*pending));
    http_req_ref(req);
    pending->req = req;
    pending->due_ms = time_mono_ms() + service->delay_ms;
    CK_LIST_INSERT_HEAD(&service->pendings, pending, entry);
}

static void
handle_control(service_t *service, http_req_t *req)
{
    CLEAN_JSON json_t *body = json_loads(http_req_body(req, NULL), 0, NULL);
    service->delay_ms =
        (unsigned)json_get_int(body, "delay_ms", service->delay_ms);
    service->cuts_before_effect = (unsigned)json_get_int(
        body, "cut_before", service->cuts_before_effect);
    service->cuts_after_effect =
        (unsigned)json_get_int(body, "cut_after", service->cuts_after_effect);
    http_req_reply(req, 200, "application/json", "{}", 2);
}

static void
handle_request(http_req_t *req, void *arg)
{
    service_t *service = arg;
    LOCK_SCOPE(&service->lock);
    const char *path = http_req_path(req);
    if (strcmp(path, "/control") == 0) {
        handle_control(service, req);
    }
    else if (strcmp(path, "/truth") == 0) {
        http_req_reply_json(req, 200, service->effects);
    }
    else if (strcmp(path, "/load") == 0) {
        http_req_reply(req, 200, "application/json", "{}", 2);
    }
    else if (strcmp(path, "/echo") == 0) {
        size_t len;
        const char *body = http_req_body(req, &len);
        http_req_reply(req, 200, "text/plain", body, len);
    }
    else if (strcmp(http_req_method(req), "POST") == 0) {
        handle_call(service, req);
    }
    else {
        const char *query = http_req_query(req, "q");
        CLEAN_JSON json_t *body =
            json_pack("{s:[],s:s,s:s}", "held", "path", path, "q",
                      query == NULL ? "" : query);
        http_req_reply_json(req, 200, body);
    }
}

static void
answer_due_calls(service_t *service)
{
    LOCK_SCOPE(&service->lock);
    int64_t now = time_mono_ms();
    pending_t *pending;
    pending_t *next;
    CK_LIST_FOREACH_SAFE (pending, &service->pendings, entry, next) {
        if (now < pending->due_ms && !fake_service_stop) {
            continue;
        }
        apply_effect(service, pending->req);
        http_req_unref(pending->req);
        CK_LIST_REMOVE(pending, entry);
        free(pending);
    }
}

static const struct argp_option options[] = {
    {"listen", 'l', "ADDR", 0, "IPV4:PORT to listen on", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    if (key != 'l') {
        return ARGP_ERR_UNKNOWN;
    }
    *(const char **)state->input = arg;
    return 0;
}

static const struct argp arguments = {
    options, parse_option, NULL, "A stand-in for a plain service.",
    NULL,    NULL,         NULL};

int
main(int argc, char **argv)
{
    const char *listen = "127.0.0.1:9201";
    service_t service = {.effects = json_object()};
    err_t err = {0};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, (void *)&listen);
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    (void)signal(SIGPIPE, SIG_IGN);
    log_setup("service", LOG_INFO);
    (void)pthread_mutex_init(&service.lock, NULL);
    http_server_opts_t opts = {.addr = listen,
                               .threads = 1,
                               .body_max = 1 << 20,
                               .connections_max = 4000,
                               .handler = handle_request,
                               .arg = &service};
    http_server_t *server = http_server_start(&opts, &err);
    if (server == NULL) {
        log_error("service", "%s", err.text);
        return EXIT_FAILURE;
    }
    while (!fake_service_stop) {
        time_sleep_ms(TICK_INTERVAL_MS);
        answer_due_calls(&service);
    }
    answer_due_calls(&service);
    http_server_stop(server);
    json_decref(service.effects);
    return EXIT_SUCCESS;
}
