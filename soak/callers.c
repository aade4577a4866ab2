#include "streams.h"
#include "../relay/wire.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Callers send one request after the other over persistent connections and
 * check each answer when it arrives. */

/* Longest wait of a caller between two requests. */
#define THINK_MS_MAX 60
/* One in so many requests has the fatal part while there is one. */
#define FATAL_REQUEST_INTERVAL 40
#define SHORT_STREAM_EVENTS 8 /* events in a stream of the stand-in */
/* The answer to one in so many requests is read slowly: its caller pauses for
 * SLOW_PAUSE_MS after each piece.  Eight events then take a second, within the
 * time of every route for streams. */
#define SLOW_REQUEST_INTERVAL 15
#define SLOW_PAUSE_MS 120
/* A caller waits for a return time of up to this part of its remaining time.
 */
#define RETURN_DIVISOR 3
/* Shorter remaining times are not worth another attempt. */
#define RETURN_LEFT_MIN_MS 10

struct caller {
    callers_t *callers;
    exchange_t *exchange;
    struct event *timer;
    struct event *slow_timer; /* ends a pause within an answer */
    soak_request_t *request;
    int64_t began_ms; /* first attempt of the request */
    bool returns;     /* the next request is a further attempt of this one */
    int64_t retry_after_ms;   /* asked for by the answer; 0 if not */
    char server[CS_NAME_MAX]; /* named in the answer's signature */
    bool signature_valid;
    buf_t body;
};

static void send_next_request(caller_t *caller);

/* ---- answers ---- */

static head_action_t
on_head(void *arg, const http_head_t *head)
{
    caller_t *caller = arg;
    const header_t *after =
        http_head_find(head, wire_header_name(HEADER_RETRY_AFTER));
    char text[32] = "";
    if (after != NULL) {
        http_head_copy(head, after->value, text, sizeof(text));
        caller->retry_after_ms = (int64_t)(strtod(text, NULL) * 1000);
    }
    caller->request->status = head->status;
    caller->signature_valid = request_read_signature(
        caller->callers->soak, caller->request, head, caller->server);
    return HEAD_ACCEPT;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    static const struct timeval pause = {0, SLOW_PAUSE_MS * 1000};
    caller_t *caller = arg;
    buf_add(&caller->body, data, len);
    if (caller->request->number % SLOW_REQUEST_INTERVAL == 0) {
        exchange_pause(caller->exchange);
        (void)event_add(caller->slow_timer, &pause);
    }
}

static void
on_slow_timer(evutil_socket_t fd, short what, void *arg)
{
    const caller_t *caller = arg;
    (void)fd;
    (void)what;
    if (caller->exchange != NULL) {
        exchange_resume(caller->exchange);
    }
}

/* Copies the events of a stream without the line by which the first event on
 * newer weights names their version.  A version that does not increase, or a
 * line elsewhere than at the begin of an event, stays. */
static void
copy_without_versions(const char *events, buf_t *out)
{
    static const char key[] = "x-celeryspool-weight-versions: ";
    const size_t key_len = sizeof(key) - 1;
    long long last = 0;
    bool at_begin = true;
    while (*events != '\0') {
        size_t len = strcspn(events, "\n");
        len += events[len] == '\n' ? 1 : 0;
        long long version = 0;
        if (at_begin && strncmp(events, key, key_len) == 0) {
            char *end;
            version = strtoll(events + key_len, &end, 10);
            version = *end == '\n' ? version : 0;
        }
        if (version > last) {
            last = version;
            at_begin = false;
        }
        else {
            buf_add(out, events, len);
            at_begin = len == 1;
        }
        events += len;
    }
}

/* Returns whether the body is the complete answer to this request. */
static bool
body_is_valid(const caller_t *caller)
{
    CLEAN_BUF buf_t expected = {0};
    CLEAN_BUF buf_t events = {0};
    if (request_route(caller->request)->stream) {
        for (int i = 1; i <= SHORT_STREAM_EVENTS; i++) {
            buf_fmt(&expected, "id: %d\ndata: token-%d\n\n", i, i);
        }
        copy_without_versions(buf_text(&caller->body), &events);
    }
    else {
        buf_fmt(&expected, "answer of %s\n", caller->server);
        buf_add(&events, caller->body.data, caller->body.len);
    }
    return strcmp(buf_text(&expected), buf_text(&events)) == 0;
}

static void
check_response(caller_t *caller)
{
    soak_t *soak = caller->callers->soak;
    const soak_request_t *request = caller->request;
    char id[REQUEST_ID_MAX];
    request_format_id(soak, request->number, id);
    if (request->end == EXCHANGE_COMPLETE && request->status / 100 == 2 &&
        (!caller->signature_valid || !body_is_valid(caller))) {
        soak_report_violation(soak, "each caller gets its own complete answer",
                              "%s status %d signature valid %d: %.400s", id,
                              request->status, caller->signature_valid,
                              buf_text(&caller->body));
    }
}

/* Whether the caller comes back with a request that was rejected: if it is
 * asked to in no more than a third of the time that it has left. */
static bool
may_return(const caller_t *caller)
{
    const soak_request_t *request = caller->request;
    int64_t left_ms = caller->began_ms + DEADLINE_MS - time_mono_ms();
    return caller->callers->soak->priorities &&
           request->end == EXCHANGE_COMPLETE &&
           (request->status == 503 || request->status == 429) &&
           caller->retry_after_ms > 0 &&
           caller->retry_after_ms <= left_ms / RETURN_DIVISOR;
}

static void
schedule_next_request(caller_t *caller)
{
    caller->returns = may_return(caller);
    int64_t ms =
        caller->returns
            ? caller->retry_after_ms
            : (int64_t)rng_below(&caller->callers->soak->rng, THINK_MS_MAX) +
                  1;
    struct timeval delay = {0, ms * 1000};
    (void)event_add(caller->timer, &delay);
}

static void
on_end(void *arg, exchange_end_t end)
{
    caller_t *caller = arg;
    soak_request_t *request = caller->request;
    caller->exchange = NULL;
    (void)event_del(caller->slow_timer);
    request_note_end(caller->callers->soak, request, end);
    check_response(caller);
    schedule_next_request(caller);
}

/* ---- requests ---- */

static void
choose_request(caller_t *caller, soak_request_t *request)
{
    soak_t *soak = caller->callers->soak;
    uint64_t draw = rng_below(&soak->rng, 10);
    /* With versions, others ask for streams. */
    request->kind = (request_kind_t)rng_below(
        &soak->rng, soak->versions ? REQUEST_REVIEW : REQUEST_KINDS);
    request->relay = (size_t)rng_below(&soak->rng, soak->relay_count);
    if (soak->one_relay > 0) {
        request->relay = soak->used_relay;
    }
    request->fatal =
        soak->fatal_parts > 0 && request->number % FATAL_REQUEST_INTERVAL == 0;
    request->key = draw == 0 ? "old-key" : draw < 6 ? "key1" : "key2";
    request->workspace = draw < 6 ? "ws1" : "ws2";
}

/* Chooses a further attempt at a request that was rejected, at any relay. */
static void
choose_return(const caller_t *caller, const soak_request_t *rejected,
              soak_request_t *request)
{
    soak_t *soak = caller->callers->soak;
    request->subject = rejected->subject;
    request->kind = rejected->kind;
    request->fatal = rejected->fatal;
    request->key = rejected->key;
    request->workspace = rejected->workspace;
    request->relay = (size_t)rng_below(&soak->rng, soak->relay_count);
    request->deadline_ms =
        (int)(caller->began_ms + DEADLINE_MS - time_mono_ms());
}

static void
send_next_request(caller_t *caller)
{
    static const exchange_hooks_t hooks = {on_head, on_body, on_end, NULL};
    callers_t *callers = caller->callers;
    soak_t *soak = callers->soak;
    if (callers->stopping) {
        return;
    }
    soak_request_t *request = request_new(callers);
    /* A delayed caller may be past its deadline; 0 would state none. */
    if (caller->returns &&
        time_mono_ms() + RETURN_LEFT_MIN_MS < caller->began_ms + DEADLINE_MS) {
        choose_return(caller, caller->request, request);
        callers->returned++;
    }
    else {
        choose_request(caller, request);
        caller->began_ms = time_mono_ms();
    }
    caller->request = request;
    caller->retry_after_ms = 0;
    caller->body.len = 0;
    caller->server[0] = '\0';
    request_note_sent(soak, request);
    CLEAN_BUF buf_t head = {0};
    request_write(soak, request, "", &head);
    exchange_request_t call = {
        .addr = soak->relays[request->relay].caller_addr,
        .head = head.data,
        .head_len = head.len,
        .connect_ms = 1000,
        .total_ms = DEADLINE_MS + 2000};
    exchange_hooks_t caller_hooks = hooks;
    caller_hooks.arg = caller;
    caller->exchange = exchange_start(soak->exchanges, &call, &caller_hooks);
}

static void
on_think_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    send_next_request(arg);
}

callers_t *
callers_start(soak_t *soak, size_t count)
{
    callers_t *callers = mem_zalloc(sizeof(*callers));
    callers->soak = soak;
    callers->count = count;
    callers->items = mem_zalloc(count * sizeof(caller_t));
    CK_STAILQ_INIT(&callers->requests);
    for (size_t i = 0; i < count; i++) {
        caller_t *caller = &callers->items[i];
        caller->callers = callers;
        caller->timer = evtimer_new(soak->base, on_think_timer, caller);
        caller->slow_timer = evtimer_new(soak->base, on_slow_timer, caller);
        send_next_request(caller);
    }
    if (soak->versions) {
        callers->streams = streams_start(callers, 2 * count);
    }
    return callers;
}

/* Sends no new requests; those in flight are not cancelled. */
void
callers_stop(callers_t *callers)
{
    callers->stopping = true;
}
