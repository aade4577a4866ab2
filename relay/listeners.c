#include "explain-head.h"
#include "object-cache.h"
#include "request-explain.h"

#include <string.h>
#include <sys/resource.h>

/* The listeners of a relay: callers, readiness checks of the load balancer,
 * metrics and other daemons, requests that other hosts forward. */

/* Limits for callers until a configuration was read. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT 4194304
#define HEAD_TIMEOUT_MS_DEFAULT 3000
#define IDLE_TIMEOUT_MS_DEFAULT 15000
/* Limits for the load balancer, metrics collectors and other daemons.  The
 * load balancer checks about every second, so a connection that is idle for
 * longer than this is not in use. */
#define INTERNAL_HEAD_BYTES_MAX 8192
#define INTERNAL_HEAD_TIMEOUT_MS 3000
#define INTERNAL_IDLE_TIMEOUT_MS 30000
/* Digits of a number in an explanation. */
#define JSON_DIGITS 9
/* The parts of all descriptors that connections of callers, and those of each
 * other listener, may take.  A request that runs needs one to its server. */
#define CALLER_SHARE 2
#define INTERNAL_SHARE 8
/* Room for the header that a forwarding host adds. */
#define FORWARDED_HEADER_BYTES 256

static http_limits_t
caller_limits(void *arg)
{
    const relay_t *relay = arg;
    if (relay->config != NULL) {
        return relay->config->limits;
    }
    return (http_limits_t){HEAD_BYTES_DEFAULT, BODY_BYTES_DEFAULT,
                           HEAD_TIMEOUT_MS_DEFAULT, IDLE_TIMEOUT_MS_DEFAULT};
}

static http_limits_t
internal_limits(void *arg)
{
    (void)arg;
    return (http_limits_t){INTERNAL_HEAD_BYTES_MAX, 0,
                           INTERNAL_HEAD_TIMEOUT_MS, INTERNAL_IDLE_TIMEOUT_MS};
}

/* Heads to explain are sent as bodies, and have the limits of callers' heads.
 */
static http_limits_t
metrics_limits(void *arg)
{
    http_limits_t limits = internal_limits(arg);
    limits.body_bytes = caller_limits(arg).head_bytes;
    return limits;
}

static http_limits_t
peer_limits(void *arg)
{
    http_limits_t limits = caller_limits(arg);
    limits.head_bytes += FORWARDED_HEADER_BYTES;
    limits.head_ms = INTERNAL_HEAD_TIMEOUT_MS;
    limits.idle_ms = INTERNAL_IDLE_TIMEOUT_MS;
    return limits;
}

static void
on_caller_request(void *arg, caller_t *caller, const http_head_t *head,
                  buf_t *body)
{
    request_begin(arg, caller, head, body, false);
}

/* A request that another host forwards, with one more header than callers may
 * send. */
static void
on_forwarded_request(void *arg, caller_t *caller, const http_head_t *head,
                     buf_t *body)
{
    request_begin(arg, caller, head, body, true);
}

static void
on_caller_disconnected(void *owner)
{
    request_caller_disconnected(owner);
}

static size_t
caller_body_bytes_max(void *arg, size_t len)
{
    relay_t *relay = arg;
    return relay_body_bytes_max(relay, relay->caller_listener, len);
}

static size_t
peer_body_bytes_max(void *arg, size_t len)
{
    relay_t *relay = arg;
    return relay_body_bytes_max(relay, relay->peer_listener, len);
}

static void
on_output(void *arg, caller_t *caller, bool written)
{
    relay_note_output(arg, caller, written);
}

static void
on_closed(void *arg, caller_t *caller)
{
    relay_note_closed(arg, caller);
}

/* A readiness check is answered at once, so the load balancer cannot
 * disconnect before the answer. */
static void
on_ready_disconnected(void *owner)
{
    (void)owner;
}

/* Answers a readiness check by the status alone. */
static void
on_ready_request(void *arg, caller_t *caller, const http_head_t *head,
                 buf_t *body)
{
    (void)head;
    (void)body;
    caller_answer(caller, relay_is_ready(arg) ? 200 : 503, NULL, "", 0);
}

static void
answer_json(caller_t *caller, int status, const json_t *value)
{
    CLEAN_BUF buf_t headers = {0};
    CLEAN_TEXT char *text =
        json_dumps(value, JSON_COMPACT | JSON_REAL_PRECISION(JSON_DIGITS));
    buf_str(&headers, "Content-Type: application/json\r\n");
    caller_answer(caller, text != NULL ? status : 500, &headers,
                  text != NULL ? text : "", text != NULL ? strlen(text) : 0);
}

static void
answer_explain_error(caller_t *caller, int status,
                     const explain_error_t *error)
{
    CLEAN_JSON json_t *value =
        json_pack("{s:{s:s,s:i,s:s}}", "error", "message", error->message,
                  "line", (int)error->line, "field", error->field);
    answer_json(caller, status, value);
}

/* Explains the request whose head is the body. */
static void
answer_explain(relay_t *relay, caller_t *caller, const http_head_t *head,
               const buf_t *body)
{
    explain_error_t error = {.field = "method",
                             .message = "a head to explain is sent by POST"};
    if (head->method != HTTP_POST) {
        answer_explain_error(caller, 405, &error);
        return;
    }
    explained_head_t explained;
    if (!explain_head_read(&explained, buf_text(body), body->len,
                           (size_t)caller_limits(relay).head_bytes, &error)) {
        answer_explain_error(caller, 400, &error);
    }
    else {
        CLEAN_JSON json_t *answer =
            request_explain(relay, &explained.reader.head);
        answer_json(caller, 200, answer);
    }
    explain_head_free(&explained);
}

static bool
is_explain_path(const char *target)
{
    size_t len = strlen(EXPLAIN_PATH);
    return strncmp(target, EXPLAIN_PATH, len) == 0 &&
           (target[len] == '\0' || target[len] == '?');
}

/* Answers other daemons' requests for cached objects, operators' requests for
 * an explanation, and any other path with the metrics. */
static void
on_metrics_request(void *arg, caller_t *caller, const http_head_t *head,
                   buf_t *body)
{
    relay_t *relay = arg;
    char target[CS_ADDR_MAX * 4];
    http_head_copy(head, head->target, target, sizeof(target));
    if (object_cache_answer(relay->object_cache, caller, target)) {
        return;
    }
    if (is_explain_path(target)) {
        answer_explain(relay, caller, head, body);
        return;
    }
    CLEAN_BUF buf_t headers = {0};
    CLEAN_BUF buf_t text = {0};
    buf_str(&headers, "Content-Type: text/plain\r\n");
    relay_write_metrics(relay, &text);
    caller_answer(caller, 200, &headers, buf_text(&text), text.len);
}

/* Returns how many connections this host may have, of all kinds. */
static size_t
connections_max(const relay_t *relay)
{
    struct rlimit limit;
    rlim_t descriptors = (rlim_t)relay->settings.descriptors;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
        (descriptors == 0 || limit.rlim_cur < descriptors)) {
        descriptors = limit.rlim_cur;
    }
    return (size_t)descriptors;
}

static http_listener_t *
open_listener(relay_t *relay, const local_socket_t *socket,
              const http_listener_hooks_t *hooks, size_t connections_max)
{
    http_listener_opts_t opts = {
        .use = socket->use,
        .fd = socket->fd,
        .connections_max = connections_max,
        .body_bytes_max = BODY_BYTES_MAX,
        .unsent_bytes = relay->held.budget > 0 ? HELD_UNSENT_BYTES : 0,
        .hooks = *hooks};
    opts.hooks.arg = relay;
    return http_listener_open(relay->base, &opts);
}

/* Opens the sockets on the host's addresses that it cannot serve without,
 * before anything else is done under its name: a former process that still has
 * them may be working under it.  Callers and the load balancer come last, so
 * that they are refused until their requests are read. */
int
sockets_open(const settings_t *settings, local_socket_t sockets[RELAY_SOCKETS],
             err_t *err)
{
    sockets[RELAY_DATAGRAMS] = (local_socket_t){.use = "datagrams",
                                                .addr = settings->peer_addr,
                                                .kind = LOCAL_DATAGRAMS};
    sockets[RELAY_PEERS] = (local_socket_t){
        .use = "peers", .addr = settings->peer_addr, .kind = LOCAL_LISTENER};
    sockets[RELAY_READY] = (local_socket_t){.use = "readiness",
                                            .addr = settings->ready_addr,
                                            .kind = LOCAL_LISTENER};
    sockets[RELAY_CALLERS] = (local_socket_t){
        .use = "callers", .addr = settings->http_addr, .kind = LOCAL_LISTENER};
    return local_sockets_wait(sockets, RELAY_SOCKETS, err);
}

/* Tries to open the socket for metrics. */
static int
open_metrics(relay_t *relay, err_t *err)
{
    if (local_socket_open(&relay->metrics_socket, err) != 0) {
        return -1;
    }
    http_listener_accept(relay->metrics_listener, relay->metrics_socket.fd);
    return 0;
}

/* Opens the listeners.  That for metrics accepts connections once its address
 * is available: the host can serve without it. */
int
listeners_open(relay_t *relay, const local_socket_t sockets[RELAY_SOCKETS],
               err_t *err)
{
    static const http_listener_hooks_t callers = {
        .limits = caller_limits,
        .on_request = on_caller_request,
        .on_disconnect = on_caller_disconnected,
        .on_output = on_output,
        .on_closed = on_closed,
        .body_bytes_max = caller_body_bytes_max};
    static const http_listener_hooks_t ready = {
        .limits = internal_limits,
        .on_request = on_ready_request,
        .on_disconnect = on_ready_disconnected};
    static const http_listener_hooks_t metrics = {
        .limits = metrics_limits,
        .on_request = on_metrics_request,
        .on_disconnect = object_cache_caller_disconnected};
    static const http_listener_hooks_t peers = {
        .limits = peer_limits,
        .on_request = on_forwarded_request,
        .on_no_room = request_answer_no_room,
        .on_disconnect = on_caller_disconnected,
        .on_output = on_output,
        .on_closed = on_closed,
        .body_bytes_max = peer_body_bytes_max};
    size_t max = connections_max(relay);
    relay->peer_listener = open_listener(relay, &sockets[RELAY_PEERS], &peers,
                                         max / INTERNAL_SHARE);
    relay->ready_listener = open_listener(relay, &sockets[RELAY_READY], &ready,
                                          max / INTERNAL_SHARE);
    relay->caller_listener = open_listener(relay, &sockets[RELAY_CALLERS],
                                           &callers, max / CALLER_SHARE);
    relay->metrics_socket =
        (local_socket_t){.use = "metrics",
                         .addr = relay->settings.metrics_addr,
                         .kind = LOCAL_LISTENER,
                         .fd = -1};
    relay->metrics_listener = open_listener(relay, &relay->metrics_socket,
                                            &metrics, max / INTERNAL_SHARE);
    err_t why = {0};
    if (open_metrics(relay, &why) != 0 &&
        !local_socket_error_passes(why.code)) {
        *err = why;
        return -1;
    }
    return 0;
}

/* Opens the socket for metrics if its address was unavailable so far. */
void
listeners_tick(relay_t *relay)
{
    if (relay->metrics_socket.fd < 0) {
        (void)open_metrics(relay, NULL);
    }
}
