#include "cache-source.h"
#include "peers.h"
#include "request.h"

#include <stdlib.h>
#include <string.h>

/* One send of a request to a server, and what comes back. */

/* A connection that is not there after this is given up, ms: hosts of one
 * region are within a few ms, and a full queue of connections answers
 * nothing. */
#define CONNECT_MS 250
/* Answer that is kept until it is whole, bytes at most. */
#define ANSWER_MAX (8u << 20)
/* A server that refuses is believed to be full for so long, ms: a few of its
 * steps. */
#define FULL_PAUSE_MS 150
/* A server's speed is taken from prompts that are long enough to show it and
 * had next to nothing ahead of them, ms; the first token itself takes so long
 * behind the prompt. */
#define SPEED_WAIT_MS 30.0
#define SPEED_READ_MS 60.0
#define FIRST_MS 15.0

static void
head_add(buf_t *out, wire_header_t header, const char *value)
{
    buf_fmt(out, "%s: %s\r\n", wire_header_name(header), value);
}

/* Whether a header is named in the caller's Connection header, and so
 * concerns that connection alone. */
static bool
is_named(const http_head_t *head, const header_t *header)
{
    for (unsigned i = 0; i < head->count; i++) {
        if (!http_head_is(head, head->headers[i].name, "Connection")) {
            continue;
        }
        char list[256];
        char *rest = list;
        char *word;
        http_head_copy(head, head->headers[i].value, list, sizeof(list));
        while ((word = strsep(&rest, ", \t")) != NULL) {
            if (word[0] != '\0' && http_head_is(head, header->name, word)) {
                return true;
            }
        }
    }
    return false;
}

/* Whether a caller's header is passed on as it is. */
static bool
is_passed_on(wire_header_t meaning, bool has_last)
{
    switch (meaning) {
        case HEADER_CONNECTION:
        case HEADER_LENGTH:
        case HEADER_EXPECT:
        case HEADER_DEADLINE:
        case HEADER_KEY:
        case HEADER_WORKSPACE:
        case HEADER_PRIORITY:
        case HEADER_EXPECT_SERVER:
        case HEADER_EXPECT_VERSION:
        case HEADER_CACHE_SALT:
        case HEADER_CACHE_FETCH:
        case HEADER_CACHE_SAVE:
        case HEADER_CACHE_PIN:
        case HEADER_CACHE_HOLD:
        case HEADER_CACHE_BACKUP:
        case HEADER_MEMORY_FROM:
            return false;
        case HEADER_LAST_EVENT:
            return !has_last;
        default:
            return true;
    }
}

static void
add_callers_headers(const request_t *request, buf_t *out)
{
    const http_head_t *head = request->head;
    bool has_last = request->stream.last[0] != '\0';
    bool named = http_head_find(head, "Connection") != NULL;
    for (unsigned i = 0; i < head->count; i++) {
        const header_t *header = &head->headers[i];
        wire_header_t meaning =
            wire_header(http_head_at(head, header->name), header->name.len);
        if (!is_passed_on(meaning, has_last) ||
            (named && is_named(head, header))) {
            continue;
        }
        buf_add(out, http_head_at(head, header->name), header->name.len);
        buf_str(out, ": ");
        buf_add(out, http_head_at(head, header->value), header->value.len);
        buf_str(out, "\r\n");
    }
    if (has_last) {
        head_add(out, HEADER_LAST_EVENT, request->stream.last);
    }
}

/* Where the server can fetch parts that it lacks, and whether it is to keep
 * what it reads in the kv store. */
static void
add_cache_headers(request_t *request, const server_t *server, buf_t *out)
{
    relay_t *relay = request->relay;
    uint16_t number;
    const relay_service_t *store =
        cache_store_for(relay, &request->prefix, &number);
    cache_view_t view;
    cache_look(relay, &request->prefix, server, &view);
    request->cached = view.found ? view.source.tokens : view.here;
    request->saves = false;
    const char *from = cache_fetch_from(&view, store);
    if (from != NULL) {
        head_add(out, HEADER_CACHE_FETCH, from);
    }
    if (store != NULL && !cache_kept(relay, &request->prefix, number) &&
        cache_save(relay, &request->prefix, server, number)) {
        head_add(out, HEADER_CACHE_SAVE, store->addr);
        request->saves = true;
    }
}

/* The name under which servers on these weights keep parts of the prompt. */
void
request_salt(const request_t *request, int64_t weights,
             char out[CS_ID_LEN + 1])
{
    bool isolated = request->workspace != NULL && request->workspace->isolated;
    prompt_salt(request->prompt.model, weights,
                isolated ? request->workspace->name : "", out);
}

/* What only engines get: the name of the cache, the weights that it belongs
 * to, how urgent the request is among those that wait there. */
static void
add_engine_headers(request_t *request, const server_t *server, buf_t *out)
{
    char text[32];
    char salt[CS_ID_LEN + 1];
    request_salt(request, request->weights, salt);
    prompt_levels(&request->prompt, salt, &request->prefix);
    head_add(out, HEADER_CACHE_SALT, salt);
    (void)snprintf(text, sizeof(text), "%lld", (long long)request->weights);
    head_add(out, HEADER_EXPECT_VERSION, text);
    add_cache_headers(request, server, out);
    int priority = request->route->priority;
    if (request->workspace != NULL && request->workspace->has_priority) {
        priority = request->workspace->priority;
    }
    priority = priority < 0 ? 0 : priority > 9 ? 9 : priority;
    (void)snprintf(text, sizeof(text), "%d", priority);
    head_add(out, HEADER_PRIORITY, text);
}

static void
build_head(request_t *request, const server_t *server, buf_t *out)
{
    const http_head_t *head = request->head;
    char text[32];
    buf_fmt(out, "%s ", http_head_method(head));
    buf_add(out, http_head_at(head, head->target), head->target.len);
    buf_str(out, " HTTP/1.1\r\n");
    add_callers_headers(request, out);
    (void)snprintf(text, sizeof(text), "%lld",
                   (long long)(request->until_ms - request->sent_ms));
    head_add(out, HEADER_DEADLINE, text);
    head_add(out, HEADER_EXPECT_SERVER, server->info.id);
    if (request->workspace != NULL) {
        head_add(out, HEADER_WORKSPACE, request->workspace->name);
    }
    if (request->engine) {
        add_engine_headers(request, server, out);
    }
    if (request->body->len > 0 || head->method != HTTP_GET) {
        buf_fmt(out, "%s: %zu\r\n", wire_header_name(HEADER_LENGTH),
                request->body->len);
    }
    buf_str(out, "\r\n");
}

/* ---- the answer ---- */

static bool
is_other_answer(const request_t *request, const http_head_t *head)
{
    const header_t *id =
        http_head_find(head, wire_header_name(HEADER_REQUEST_ID));
    return id != NULL && !(strlen(request->id) == id->value.len &&
                           memcmp(request->id, http_head_at(head, id->value),
                                  id->value.len) == 0);
}

static void
note_load(const relay_t *relay, server_t *server, const http_head_t *head)
{
    const header_t *load = http_head_find(head, wire_header_name(HEADER_LOAD));
    char text[64];
    int running;
    int waiting;
    if (load == NULL) {
        return;
    }
    http_head_copy(head, load->value, text, sizeof(text));
    if (sscanf(text, "%d,%d,%*d", &running, &waiting) == 2) {
        int64_t now = time_mono_ms();
        server_load(server, running, waiting, now);
        if (server->info.engine && server_crowded_news(server, now)) {
            peers_notify_crowded(relay->peers, server);
        }
    }
}

static void
keep_headers(request_t *request, const http_head_t *head)
{
    request->headers.len = 0;
    for (unsigned i = 0; i < head->count; i++) {
        const header_t *header = &head->headers[i];
        switch (
            wire_header(http_head_at(head, header->name), header->name.len)) {
            case HEADER_CONNECTION:
            case HEADER_LENGTH:
            case HEADER_LOAD:
                continue;
            default:
                break;
        }
        buf_add(&request->headers, http_head_at(head, header->name),
                header->name.len);
        buf_str(&request->headers, ": ");
        buf_add(&request->headers, http_head_at(head, header->value),
                header->value.len);
        buf_str(&request->headers, "\r\n");
    }
}

/* What an answer is, by its head.  One without the server's signature or the
 * request's id, or with an encoding nobody asked for, is not the server's own
 * and is never passed on. */
static answer_t
classify(const request_t *request, const http_head_t *head)
{
    bool has_id =
        http_head_find(head, wire_header_name(HEADER_REQUEST_ID)) != NULL;
    bool is_signed =
        http_head_find(head, wire_header_name(HEADER_SIGNATURE)) != NULL;
    bool not_run =
        http_head_find(head, wire_header_name(HEADER_NOT_RUN)) != NULL;
    if (not_run || head->status == 421) {
        return ANSWER_REFUSED;
    }
    if (!has_id || !is_signed ||
        http_head_find(head, wire_header_name(HEADER_ENCODING)) != NULL) {
        return ANSWER_BAD;
    }
    if (head->status == 429 || head->status == 503 || head->status == 408) {
        /* Such a status would promise the caller that nothing ran, and the
         * server does not say so. */
        return ANSWER_BAD;
    }
    if (head->status >= 500) {
        return ANSWER_FAILED;
    }
    if (request->route->kind == ROUTE_STREAM && head->status == 200) {
        return ANSWER_STREAM;
    }
    return request->phase == REQUEST_STREAMING ? ANSWER_BAD : ANSWER_BUFFER;
}

static void
note_refusal(request_t *request, const http_head_t *head)
{
    server_t *server = request->server;
    int64_t now = time_mono_ms();
    if (head->status != 421) {
        server->full_ms = now + FULL_PAUSE_MS;
        return;
    }
    const header_t *id =
        http_head_find(head, wire_header_name(HEADER_SERVER_ID));
    if (id != NULL && !http_head_is(head, id->value, server->info.id)) {
        /* Another server has the address; its own entry tells where. */
        server->misplaced = true;
        exchanges_close_idle(request->relay->exchanges, server->info.addr);
        return;
    }
    server->full_ms = now + FULL_PAUSE_MS;
    probe_server(request->relay, server);
}

static head_verdict_t
on_head(void *arg, const http_head_t *head)
{
    request_t *request = arg;
    if (is_other_answer(request, head)) {
        log_record(LOG_WARN, "request", "stray-answer", "id=%s server=%s",
                   request->id, request->server->info.id);
        return HEAD_SKIP;
    }
    server_note_answer(request->server, time_mono_ms());
    note_load(request->relay, request->server, head);
    request->answer = classify(request, head);
    request->status = head->status;
    switch (request->answer) {
        case ANSWER_REFUSED:
            note_refusal(request, head);
            break;
        case ANSWER_BUFFER:
        case ANSWER_FAILED:
        case ANSWER_STREAM:
            if (request->phase != REQUEST_STREAMING) {
                keep_headers(request, head);
            }
            break;
        case ANSWER_NONE:
        case ANSWER_BAD:
            break;
    }
    return HEAD_ACCEPT;
}

/* The server had the kv store take what the prompt shares. */
static void
note_saved(request_t *request)
{
    uint16_t number;
    if (cache_store_for(request->relay, &request->prefix, &number) != NULL) {
        cache_note(request->relay, &request->prefix, number);
    }
}

/* Learns from how late the first answer is. */
static void
note_forecast(request_t *request, int64_t now)
{
    if (request->engine) {
        forecast_note(&request->relay->forecast,
                      request->wait_ms + request->read_ms,
                      (double)(now - request->sent_ms));
    }
}

/* The first event or the whole answer is there: the prompt is read, and the
 * server holds its parts. */
void
request_first_answer(request_t *request)
{
    server_t *server = request->server;
    int64_t now = time_mono_ms();
    if (request->first_ms == 0) {
        request->first_ms = now;
    }
    /* What read_ms holds was worked out with the slowness known then. */
    if (request->engine && request->wait_ms < SPEED_WAIT_MS &&
        request->read_ms > SPEED_READ_MS) {
        server_speed(server, request->read_ms / request->slowness,
                     (double)(now - request->sent_ms) - FIRST_MS);
    }
    request->began_ms = now;
    note_forecast(request, now);
    server_read(server, request->unread);
    request->unread = 0;
    if (request->engine) {
        cache_note(request->relay, &request->prefix, server->number);
        server_filled(
            server, request->prefix.tokens - prompt_shared(&request->prompt));
    }
    if (request->saves) {
        note_saved(request);
    }
}

static void
pass_events(request_t *request, const char *data, size_t len)
{
    CLEAN_BUF buf_t events = {0};
    size_t count = stream_take(&request->stream, data, len, &events);
    if (request->stream.overflow) {
        /* No server of ours makes such an event: nothing more is kept of it,
         * and the answer ends as one that cannot be passed on. */
        stream_restart(&request->stream);
        request->answer = ANSWER_BAD;
    }
    if (count == 0) {
        return;
    }
    if (request->unread > 0 || request->first_ms == 0) {
        request_first_answer(request);
    }
    if (request->phase != REQUEST_STREAMING) {
        request->phase = REQUEST_STREAMING;
        caller_stream_begin(request->caller, request->status,
                            &request->headers);
    }
    caller_stream_data(request->caller, events.data, events.len);
}

static void
on_body(void *arg, const char *data, size_t len)
{
    request_t *request = arg;
    server_note_answer(request->server, time_mono_ms());
    switch (request->answer) {
        case ANSWER_STREAM:
            pass_events(request, data, len);
            return;
        case ANSWER_BUFFER:
        case ANSWER_FAILED:
            if (request->answer_body.len + len > ANSWER_MAX) {
                request->answer = ANSWER_BAD;
                return;
            }
            buf_add(&request->answer_body, data, len);
            return;
        case ANSWER_NONE:
        case ANSWER_REFUSED:
        case ANSWER_BAD:
            return;
    }
}

/* The send is over: the server's counts no longer hold it. */
void
request_sent_over(request_t *request)
{
    if (request->server == NULL) {
        return;
    }
    server_read(request->server, request->unread);
    request->unread = 0;
    server_done(request->server);
    request->server = NULL;
}

/* Give the caller the whole answer that was read.  The request is gone before
 * the answer is written, since the caller's next one may begin at once. */
void
request_deliver(request_t *request, meter_outcome_t outcome, const char *word)
{
    caller_t *caller = request->caller;
    buf_t headers = request->headers;
    buf_t body = request->answer_body;
    int status = request->status;
    memset(&request->headers, 0, sizeof(headers));
    memset(&request->answer_body, 0, sizeof(body));
    request->outcome = outcome;
    request_end(request, word);
    caller_answer(caller, status, &headers, buf_text(&body), body.len);
    buf_free(&headers);
    buf_free(&body);
}

static void
finish_stream(request_t *request)
{
    caller_t *caller = request->caller;
    if (request->phase != REQUEST_STREAMING) {
        caller_stream_begin(caller, request->status, &request->headers);
    }
    request->outcome = METER_ANSWERED;
    request_end(request, "answered");
    caller_stream_end(caller);
}

/* A whole answer was read. */
static void
on_whole(request_t *request)
{
    server_t *server = request->server;
    switch (request->answer) {
        case ANSWER_BUFFER:
            server_good(server);
            request_first_answer(request);
            request_deliver(request, METER_ANSWERED, "answered");
            return;
        case ANSWER_STREAM:
            if (request->stream.part.len > 0) {
                break; /* it ends within an event */
            }
            server_good(server);
            server_held_slot(server,
                             (double)(time_mono_ms() - request->began_ms));
            finish_stream(request);
            return;
        case ANSWER_FAILED:
            request->ran++;
            server_fault(server, SERVER_FAULT_ERROR, time_mono_ms());
            request_failed(request, FATE_FAILED);
            return;
        case ANSWER_REFUSED:
            request_failed(request, FATE_REFUSED);
            return;
        case ANSWER_NONE:
        case ANSWER_BAD:
            break;
    }
    request->ran++;
    server_fault(server, SERVER_FAULT_BROKEN, time_mono_ms());
    request_failed(request, FATE_UNKNOWN);
}

static void
on_end(void *arg, exchange_end_t end)
{
    request_t *request = arg;
    request->exchange = NULL;
    switch (end) {
        case EXCHANGE_COMPLETE:
            on_whole(request);
            return;
        case EXCHANGE_UNSENT:
            server_fault(request->server, SERVER_FAULT_CONNECT,
                         time_mono_ms());
            request_failed(request, FATE_UNSENT);
            return;
        case EXCHANGE_NO_ANSWER:
        case EXCHANGE_BROKEN:
        case EXCHANGE_MALFORMED:
        case EXCHANGE_TIMEOUT:
            break;
    }
    /* A refusal whose body is cut has still been given. */
    if (request->answer == ANSWER_REFUSED) {
        request_failed(request, FATE_REFUSED);
        return;
    }
    request->ran++;
    server_fault(request->server, SERVER_FAULT_BROKEN, time_mono_ms());
    request_failed(request, FATE_UNKNOWN);
}

static const exchange_hooks_t hooks = {on_head, on_body, on_end, NULL};

static void
note_tried(request_t *request, const server_t *server)
{
    if (request->tried_count < REQUEST_TRIED_MAX) {
        request->tried[request->tried_count++] = server->number;
    }
}

/* Send a request to a server. */
void
request_send(request_t *request, server_t *server)
{
    relay_t *relay = request->relay;
    CLEAN_BUF buf_t head = {0};
    exchange_hooks_t own = hooks;
    own.arg = request;
    request->sent_ms = time_mono_ms();
    request->server = server;
    request->slowness = server->slowness;
    request->weights = server->info.weights;
    request->answer = ANSWER_NONE;
    request->headers.len =
        request->phase == REQUEST_STREAMING ? request->headers.len : 0;
    request->answer_body.len = 0;
    stream_restart(&request->stream);
    if (request->phase == REQUEST_WAITING) {
        request->phase = REQUEST_SENT;
    }
    build_head(request, server, &head);
    request->unread = request->prefix.tokens > request->cached
                          ? request->prefix.tokens - request->cached
                          : 0;
    server_sent(server, request->unread, request->sent_ms);
    if (request->cached < request->prefix.tokens) {
        cache_note_pending(relay, &request->prefix, server->number);
    }
    note_tried(request, server);
    if (request->ran > 0) {
        request_charge_again(request);
    }
    if (request->sends++ > 0) {
        relay->meter.retries++;
        retry_share_spend(&relay->retries, request->service, request->sent_ms);
    }
    relay->meter.sends++;
    exchange_request_t ask = {
        .addr = server->info.addr,
        .head = head.data,
        .head_len = head.len,
        .body = request->body->data,
        .body_len = request->body->len,
        .no_response_body = request->head->method == HTTP_HEAD,
        .connect_ms = CONNECT_MS};
    request->exchange = exchange_start(relay->exchanges, &ask, &own);
    if (request->sends == 1) {
        request->added_us = time_mono_us() - request->came_us;
    }
}
