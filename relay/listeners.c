#include "object-cache.h"
#include "relay.h"

/* The three doors of a relay: callers, the balancer's question, metrics. */

/* In force for callers until a configuration says otherwise. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT 4194304
#define HEAD_MS_DEFAULT 3000
#define IDLE_MS_DEFAULT 15000
/* What the balancer and whoever gathers metrics may send; the balancer asks
 * every second or so, and a connection that is silent for longer is not its.
 */
#define QUESTION_HEAD_BYTES 8192
#define QUESTION_HEAD_MS 3000
#define QUESTION_IDLE_MS 30000

static edge_limits_t
callers_limits(void *arg)
{
    const relay_t *relay = arg;
    if (relay->config != NULL) {
        return relay->config->limits;
    }
    return (edge_limits_t){HEAD_BYTES_DEFAULT, BODY_BYTES_DEFAULT,
                           HEAD_MS_DEFAULT, IDLE_MS_DEFAULT};
}

static edge_limits_t
question_limits(void *arg)
{
    (void)arg;
    return (edge_limits_t){QUESTION_HEAD_BYTES, 0, QUESTION_HEAD_MS,
                           QUESTION_IDLE_MS};
}

static void
on_caller_request(void *arg, caller_t *caller, const http_head_t *head,
                  buf_t *body)
{
    request_begin(arg, caller, head, body);
}

static void
on_caller_left(void *owner)
{
    request_caller_left(owner);
}

/* The balancer is answered at once, so it does not leave before the answer. */
static void
on_question_left(void *owner)
{
    (void)owner;
}

/* The balancer's question is answered by the status alone. */
static void
on_ready_request(void *arg, caller_t *caller, const http_head_t *head,
                 buf_t *body)
{
    (void)head;
    (void)body;
    caller_answer(caller, relay_ready(arg) ? 200 : 503, NULL, "", 0);
}

/* Whoever gathers metrics asks by any path but those of what other daemons
 * ask for. */
static void
on_metrics_request(void *arg, caller_t *caller, const http_head_t *head,
                   buf_t *body)
{
    relay_t *relay = arg;
    char target[CS_ADDR_MAX * 4];
    (void)body;
    http_head_copy(head, head->target, target, sizeof(target));
    if (object_cache_answer(relay->objects, caller, target)) {
        return;
    }
    CLEAN_BUF buf_t headers = {0};
    CLEAN_BUF buf_t text = {0};
    buf_str(&headers, "Content-Type: text/plain\r\n");
    relay_metrics(relay, &text);
    caller_answer(caller, 200, &headers, buf_text(&text), text.len);
}

static http_door_t *
open_at(relay_t *relay, const char *addr, const door_hooks_t *hooks,
        err_t *err)
{
    door_ask_t ask = {.fd = http_listen(addr, err), .hooks = *hooks};
    ask.hooks.arg = relay;
    return ask.fd < 0 ? NULL : http_door_open(relay->base, &ask);
}

/* Listens for callers, the balancer, other daemons and metrics. */
int
listeners_open(relay_t *relay, err_t *err)
{
    static const door_hooks_t callers = {.limits = callers_limits,
                                         .on_request = on_caller_request,
                                         .on_left = on_caller_left};
    static const door_hooks_t ready = {.limits = question_limits,
                                       .on_request = on_ready_request,
                                       .on_left = on_question_left};
    static const door_hooks_t metrics = {.limits = question_limits,
                                         .on_request = on_metrics_request,
                                         .on_left = object_cache_caller_left};
    relay->ready_door =
        open_at(relay, relay->settings.ready_addr, &ready, err);
    relay->metrics_door =
        open_at(relay, relay->settings.metrics_addr, &metrics, err);
    relay->door = open_at(relay, relay->settings.http_addr, &callers, err);
    return relay->door != NULL && relay->ready_door != NULL &&
                   relay->metrics_door != NULL
               ? 0
               : -1;
}
