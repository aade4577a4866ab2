#include "cache-source.h"
#include "peers.h"
#include "request-held.h"

#include <stdlib.h>
#include <string.h>

/* Sends a request to a server and handles the answer. */

/* Connect timeout, ms: hosts of one region are a few ms apart, and a server
 * whose listen backlog is full does not answer at all. */
#define CONNECT_TIMEOUT_MS 250
/* A body that is longer may exceed what the server's kernel takes in while the
 * server does not read. */
#define SLOW_BODY_BYTES 65536
#define MS_PER_S 1000
/* Largest answer that is buffered until it is complete, bytes. */
#define ANSWER_BYTES_MAX (8u << 20)
/* How long a server is suspected after an answer beyond that, ms.  Then an
 * answer may be so many times as long as its longest complete one, or as this,
 * bytes. */
#define OVERSIZED_MS 10000
#define OVERSIZED_FACTOR 4
#define USUAL_ANSWER_BYTES_MIN 16384
/* Events that a caller has not read yet, bytes.  A model produces far fewer
 * within a request's time. */
#define CALLER_UNSENT_MAX (8u << 20)
/* A server that rejects a request is believed to be full for this long, ms: a
 * few of its batch steps. */
#define FULL_AFTER_REFUSAL_MS 150
/* A server's prefill speed is measured with prompts that take long enough to
 * prefill and have almost nothing queued ahead of them.  The first token takes
 * FIRST_TOKEN_MS after the prefill. */
#define SPEED_WAIT_MS_MAX 30.0
#define SPEED_PREFILL_MS_MIN 60.0
#define FIRST_TOKEN_MS 15.0
/* Shorter prompts say little of the prefill rate: their time to the first
 * token is nearly constant. */
#define SPEED_TOKENS_MIN 256

/* ---- the answer ---- */

/* Returns whose id an answer carries.  Only one with the request's own says
 * anything of the request: a faulty server may send more than one answer, and
 * what belongs to an earlier request of the connection arrives where the
 * answer to this one is expected. */
answer_id_t
request_answer_id(const request_t *request, const http_head_t *head)
{
    const header_t *id =
        http_head_find(head, wire_header_name(HEADER_REQUEST_ID));
    if (id == NULL) {
        return ANSWER_ID_NONE;
    }
    return strlen(request->id) == id->value.len &&
                   memcmp(request->id, http_head_at(head, id->value),
                          id->value.len) == 0
               ? ANSWER_ID_OWN
               : ANSWER_ID_OTHER;
}

static void
record_load(const relay_t *relay, server_t *server, const http_head_t *head)
{
    const header_t *load = http_head_find(head, wire_header_name(HEADER_LOAD));
    server_load_t report;
    if (load == NULL ||
        !platform_load_read(&report, http_head_at(head, load->value),
                            load->value.len)) {
        return;
    }
    int64_t now = time_mono_ms();
    server_set_load(server, report.running, report.waiting, now);
    server->reported_slots = report.slots;
    if (report.pace != 0) {
        server_state_pace(server, report.pace, now);
    }
    if (server->info.engine && server_should_announce_load(server, now)) {
        peers_notify_reported_load(relay->peers, server);
    }
}

/* Copies the headers of an answer that are passed to the caller. */
void
request_copy_answer_headers(request_t *request, const http_head_t *head)
{
    request->headers.len = 0;
    for (unsigned i = 0; i < head->count; i++) {
        const header_t *header = &head->headers[i];
        switch (wire_header_find(http_head_at(head, header->name),
                                 header->name.len)) {
            case HEADER_CONNECTION:
            case HEADER_CONTENT_LENGTH:
            case HEADER_LOAD:
            case HEADER_SERVER_LIMIT:
            case HEADER_SERVER_LEAVING:
            case HEADER_SERVER_BRITTLE:
            case HEADER_FORWARDED:
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
    if (request->from_host) {
        request_add_last_tried(request, &request->headers);
    }
}

/* Classifies an answer that carries the request's id.  One without the
 * server's signature, or with an unrequested content encoding, does not come
 * from the server itself and is never passed on. */
static answer_class_t
classify(const request_t *request, const http_head_t *head)
{
    bool is_signed =
        http_head_find(head, wire_header_name(HEADER_SIGNATURE)) != NULL;
    bool not_executed =
        http_head_find(head, wire_header_name(HEADER_NOT_EXECUTED)) != NULL;
    if (not_executed || head->status == 421) {
        /* A server signs what it has run: then one of the two is wrong. */
        return is_signed ? ANSWER_INVALID : ANSWER_REJECTED;
    }
    if (!is_signed ||
        http_head_find(head, wire_header_name(HEADER_CONTENT_ENCODING)) !=
            NULL) {
        return ANSWER_INVALID;
    }
    if (head->status == 429 || head->status == 503 || head->status == 408) {
        /* The caller would take such a status to mean that the request has
         * not run, but the server has not stated that. */
        return ANSWER_INVALID;
    }
    if (head->status >= 500) {
        return ANSWER_FAILED;
    }
    if (request->route->kind == ROUTE_STREAM && head->status == 200) {
        return ANSWER_STREAM;
    }
    return request->phase == REQUEST_STREAMING ? ANSWER_INVALID
                                               : ANSWER_BUFFER;
}

static void
record_rejection(request_t *request, const http_head_t *head)
{
    server_t *server = request->server;
    int64_t now = time_mono_ms();
    server->rejected_ms = now;
    if (head->status != 421) {
        server->full_until_ms = now + FULL_AFTER_REFUSAL_MS;
        return;
    }
    const header_t *id =
        http_head_find(head, wire_header_name(HEADER_SERVER_ID));
    if (id != NULL && !http_head_is(head, id->value, server->info.id)) {
        /* Another server uses this address now and has an entry of its own.
         */
        server->address_taken = true;
        exchanges_close_idle(request->relay->exchanges, server->info.addr);
        return;
    }
    server->full_until_ms = now + FULL_AFTER_REFUSAL_MS;
    probe_server(request->relay, server);
}

/* Whether the body of the answer may be passed on. */
bool
request_uses_body(const request_t *request)
{
    return request->answer == ANSWER_BUFFER ||
           request->answer == ANSWER_FAILED ||
           request->answer == ANSWER_STREAM;
}

/* Logs an answer that does not bear the id of the request, and whether its
 * connection may have brought it for an earlier one. */
static void
log_unidentified(const request_t *request, const http_head_t *head,
                 const char *event)
{
    const exchange_connection_t *connection =
        exchange_connection(request->exchange);
    log_record(
        LOG_WARN, "request", event,
        "id=%s server=%s status=%d not_executed=%d signed=%d "
        "connection=%llu earlier=%u idle_ms=%lld after_ms=%lld",
        request->id, request->server->info.id, head->status,
        http_head_find(head, wire_header_name(HEADER_NOT_EXECUTED)) != NULL,
        http_head_find(head, wire_header_name(HEADER_SIGNATURE)) != NULL,
        (unsigned long long)connection->serial, connection->earlier,
        (long long)connection->idle_ms,
        (long long)(time_mono_ms() - request->sent_ms));
}

/* An answer without an id: on a connection that was open before it may belong
 * to an earlier request, and the request's own may follow.  Otherwise it is
 * the answer of a server that names no ids; whether the request ran is
 * unknown, and the connection is not used again. */
static head_action_t
take_unnamed(request_t *request, const http_head_t *head)
{
    request->relay->meter.answers_unnamed++;
    log_unidentified(request, head, "unnamed-answer");
    if (exchange_connection(request->exchange)->earlier > 0) {
        return HEAD_SKIP;
    }
    request->answer = ANSWER_INVALID;
    exchange_stop(request->exchange);
    return HEAD_DISCARD;
}

static head_action_t
on_head(void *arg, const http_head_t *head)
{
    request_t *request = arg;
    switch (request_answer_id(request, head)) {
        case ANSWER_ID_OWN:
            break;
        case ANSWER_ID_NONE:
            return take_unnamed(request, head);
        case ANSWER_ID_OTHER:
            request->relay->meter.answers_stray++;
            log_unidentified(request, head, "stray-answer");
            return HEAD_SKIP;
    }
    relay_note_answer(request->relay, request->server,
                      !request->connection_reused);
    record_load(request->relay, request->server, head);
    request->answer = classify(request, head);
    request->status = head->status;
    request_record_signals(request, head);
    request_begin_proof(request);
    switch (request->answer) {
        case ANSWER_REJECTED:
            record_rejection(request, head);
            break;
        case ANSWER_BUFFER:
        case ANSWER_FAILED:
        case ANSWER_STREAM:
            request->server->rejected_ms = 0;
            if (request->phase != REQUEST_STREAMING) {
                request_copy_answer_headers(request, head);
            }
            break;
        case ANSWER_NONE:
        case ANSWER_INVALID:
            break;
    }
    return request_uses_body(request) ? HEAD_ACCEPT : HEAD_DISCARD;
}

/* The server has saved the shared parts of the prompt to the kv store. */
static void
record_saved_parts(request_t *request)
{
    uint16_t number;
    if (cache_find_store(request->relay, &request->prefix, &number) != NULL) {
        cache_note_held(request->relay, &request->prefix, number);
    }
}

/* Updates the forecast with the observed time to the first answer. */
static void
record_forecast(request_t *request, int64_t now)
{
    if (request->engine) {
        forecast_update(
            &request->relay->forecast,
            request->expected_wait_ms + request->expected_prefill_ms,
            (double)(now - request->sent_ms));
    }
}

/* Learns the speed of an engine that had little queued ahead of a prompt. */
static void
observe_speed(const request_t *request, server_t *server, int64_t now)
{
    double ms = (double)(now - request->sent_ms);
    /* Without the extra time of a slow server: it would hardly be observed. */
    if (request->answer == ANSWER_STREAM && request->server_was_idle &&
        request->expected_queue_ms < SPEED_WAIT_MS_MAX &&
        request->expected_prefill_tokens >= SPEED_TOKENS_MIN) {
        server_observe_prefill(server, request->expected_prefill_tokens, ms,
                               now);
    }
    /* expected_prefill_ms includes the slowness known when it was sent, or is
     * the learned one, which needs no slowness. */
    if (!server_uses_learned_speed(server) &&
        request->expected_wait_ms < SPEED_WAIT_MS_MAX &&
        request->expected_prefill_ms > SPEED_PREFILL_MS_MIN) {
        server_update_slowness(
            server, request->expected_prefill_ms / request->server_slowness,
            ms - FIRST_TOKEN_MS);
    }
}

/* The first event or the whole answer was received: the prompt is prefilled
 * and the server has cached its parts. */
void
request_record_first_answer(request_t *request)
{
    server_t *server = request->server;
    int64_t now = time_mono_ms();
    if (request->first_answer_ms == 0) {
        request->first_answer_ms = now;
    }
    if (server == NULL) {
        return; /* another host observes the server */
    }
    if (request->engine) {
        observe_speed(request, server, now);
    }
    request->answer_started_ms = now;
    record_forecast(request, now);
    request_note_engine_wait(request, (double)(now - request->sent_ms));
    server_subtract_prefill(server, request->prefill_tokens, time_mono_ms());
    request->prefill_tokens = 0;
    if (request->engine) {
        cache_note_held(request->relay, &request->prefix, server->number);
        server_add_unshared(
            server,
            request->prefix.tokens - prompt_shared_tokens(&request->prompt));
    }
    if (request->saves_to_kv_store) {
        record_saved_parts(request);
    }
}

/* The answer turns out to be none. */
static void
stop_invalid_answer(request_t *request)
{
    stream_restart(&request->stream);
    request->answer = ANSWER_INVALID;
    exchange_stop(request->exchange);
}

/* Passes the complete events of a stream to the caller. */
void
request_pass_events(request_t *request, const char *data, size_t len)
{
    CLEAN_BUF buf_t events = {0};
    size_t count = stream_feed(&request->stream, data, len, &events);
    if (request->stream.overflow ||
        caller_unsent_bytes(request->caller) > CALLER_UNSENT_MAX) {
        /* No valid event is that long, no valid stream that fast. */
        stop_invalid_answer(request);
    }
    if (count == 0) {
        return;
    }
    if (request->prefill_tokens > 0 || request->first_answer_ms == 0) {
        request_record_first_answer(request);
    }
    if (request->phase != REQUEST_STREAMING) {
        request->phase = REQUEST_STREAMING;
        request_note_first_event(request);
        caller_stream_begin(request->caller, request->status,
                            &request->headers);
    }
    caller_stream_data(request->caller, events.data, events.len);
}

/* Whether a buffered answer of this length cannot be one.  After one that was
 * longer than any may be, the answers of its server that are far longer than
 * its complete ones are not waited for: many of them would take all memory. */
static bool
is_too_long(const request_t *request, size_t len)
{
    int64_t now = time_mono_ms();
    server_t *server = request->server;
    if (len > ANSWER_BYTES_MAX) {
        if (server != NULL) {
            server->oversized_until_ms = now + OVERSIZED_MS;
        }
        return true;
    }
    if (server == NULL || now >= server->oversized_until_ms) {
        return false;
    }
    size_t usual = server->longest_answer > USUAL_ANSWER_BYTES_MIN
                       ? server->longest_answer
                       : USUAL_ANSWER_BYTES_MIN;
    return len > OVERSIZED_FACTOR * usual;
}

/* Takes a piece of the answer's body according to its class. */
static void
take_piece(request_t *request, const char *data, size_t len)
{
    switch (request->answer) {
        case ANSWER_STREAM:
            request_pass_events(request, data, len);
            return;
        case ANSWER_BUFFER:
        case ANSWER_FAILED:
            if (is_too_long(request, request->answer_body.len + len)) {
                stop_invalid_answer(request);
                return;
            }
            buf_add(&request->answer_body, data, len);
            return;
        case ANSWER_NONE:
        case ANSWER_REJECTED:
        case ANSWER_INVALID:
            return;
    }
}

/* Takes a piece of the answer's body. */
void
request_take_body(request_t *request, const char *data, size_t len)
{
    take_piece(request, data, len);
    request_hold_update(request);
}

static void
on_body(void *arg, const char *data, size_t len)
{
    request_t *request = arg;
    relay_note_answer(request->relay, request->server,
                      !request->connection_reused);
    request_continue_proof(request);
    request_take_body(request, data, len);
}

/* Ends the current attempt: removes the request from the counts of its server
 * or of the host that it was forwarded to. */
void
request_release_server(request_t *request)
{
    request_hold_end_attempt(request);
    request_release_helper(request);
    if (request->server == NULL) {
        return;
    }
    if (request->answer != ANSWER_NONE && request->answer != ANSWER_REJECTED) {
        server_brittle_observe_hold(
            &request->server->brittle,
            (double)(time_mono_ms() - request->sent_ms));
    }
    server_cancel_prefill(request->server, request->prefill_tokens,
                          request->sent_ms, time_mono_ms());
    request->prefill_tokens = 0;
    server_remove_request(request->server);
    request_count_in_flight(request, false);
    request->server = NULL;
}

/* Answers the caller with the buffered answer.  The request is freed first,
 * since the caller's next request may start as soon as this one is answered.
 */
void
request_deliver(request_t *request, meter_outcome_t outcome,
                const char *outcome_name)
{
    caller_t *caller = request->caller;
    buf_t headers = request->headers;
    buf_t body = request->answer_body;
    int status = request->status;
    memset(&request->headers, 0, sizeof(headers));
    memset(&request->answer_body, 0, sizeof(body));
    request->outcome = outcome;
    request_end(request, outcome_name);
    caller_answer(caller, status, &headers, buf_text(&body), body.len);
    buf_free(&headers);
    buf_free(&body);
}

/* Ends the answer to the caller after a complete stream. */
void
request_finish_stream(request_t *request)
{
    caller_t *caller = request->caller;
    if (request->phase != REQUEST_STREAMING) {
        caller_stream_begin(caller, request->status, &request->headers);
    }
    request->outcome = METER_ANSWERED;
    request_end(request, "answered");
    caller_stream_end(caller);
}

/* Learns from a complete answer of a server.  A stream that began elsewhere
 * shows neither its length nor how long it holds a slot. */
static void
observe_cost(const request_t *request)
{
    request_costs_t *costs = &request->relay->costs;
    const stream_t *stream = &request->stream;
    bool streams = request->answer == ANSWER_STREAM;
    int64_t since_ms = streams && request->engine ? request->answer_started_ms
                                                  : request->sent_ms;
    if (request->status / 100 != 2 ||
        (streams &&
         (stream->events == 0 || stream->continued ||
          request_names_stream(request) || request->runs_before > 0))) {
        return;
    }
    request_cost_observe_hold(costs, request->cost_query.route,
                              (double)(time_mono_ms() - since_ms));
    if (streams && request->engine) {
        double tokens = (double)stream->events * request->stride;
        request_cost_observe(costs, &request->cost_query, tokens);
        if (!request->read_stopped) {
            server_observe_decode(request->server, request->in_flight_at_send,
                                  tokens, (double)(time_mono_ms() - since_ms));
        }
    }
}

/* A complete answer was read. */
static void
on_complete_answer(request_t *request)
{
    server_t *server = request->server;
    switch (request->answer) {
        case ANSWER_BUFFER:
            server_record_success(server);
            server_note_answer_length(server, request->answer_body.len);
            request_record_first_answer(request);
            if (!request->engine) {
                server_observe_plain_work(
                    server, (double)(time_mono_ms() - request->sent_ms),
                    time_mono_ms());
            }
            request_note_answered(request);
            observe_cost(request);
            request_deliver(request, METER_ANSWERED, "answered");
            return;
        case ANSWER_STREAM:
            if (request->stream.partial.len > 0) {
                break; /* it ends in the middle of an event */
            }
            server_record_success(server);
            request_note_answered(request);
            if (!request->read_stopped) {
                server_observe_slot_time(
                    server,
                    (double)(time_mono_ms() - request->answer_started_ms));
            }
            observe_cost(request);
            request_finish_stream(request);
            return;
        case ANSWER_FAILED:
            request->possible_runs++;
            server_record_fault(server, SERVER_FAULT_ERROR, time_mono_ms());
            request_handle_failed_attempt(request, SEND_FAILED);
            return;
        case ANSWER_REJECTED:
            request_handle_failed_attempt(request, SEND_REJECTED);
            return;
        case ANSWER_NONE:
        case ANSWER_INVALID:
            break;
    }
    request->possible_runs++;
    server_record_fault(server, SERVER_FAULT_BROKEN, time_mono_ms());
    request_handle_failed_attempt(request, SEND_UNKNOWN);
}

static void
on_end(void *arg, exchange_end_t end)
{
    request_t *request = arg;
    request->exchange = NULL;
    switch (end) {
        case EXCHANGE_COMPLETE:
        case EXCHANGE_STOPPED: /* only if the answer is of no use */
            on_complete_answer(request);
            return;
        case EXCHANGE_UNSENT:
            relay_note_fault(request->relay, request->server, true);
            server_record_fault(request->server, SERVER_FAULT_CONNECT,
                                time_mono_ms());
            server_brittle_restart(&request->server->brittle, time_mono_ms());
            relay_doubt_software(request->relay, request->server);
            request_handle_failed_attempt(request, SEND_UNSENT);
            return;
        case EXCHANGE_NO_ANSWER:
        case EXCHANGE_BROKEN:
        case EXCHANGE_MALFORMED:
        case EXCHANGE_TIMEOUT:
            break;
    }
    /* A refusal counts even if its body was cut off. */
    if (request->answer == ANSWER_REJECTED) {
        request_handle_failed_attempt(request, SEND_REJECTED);
        return;
    }
    /* A server closes idle connections at any time, so the end of one that was
     * open before says nothing of the path unless that is in doubt. */
    if (!request->connection_reused ||
        request->relay->reach.state != REACH_OK) {
        relay_note_fault(request->relay, request->server,
                         !request->connection_reused);
    }
    request_note_lost(request);
    relay_doubt_software(request->relay, request->server);
    request->possible_runs++;
    server_record_fault(request->server, SERVER_FAULT_BROKEN, time_mono_ms());
    request_handle_failed_attempt(request, SEND_UNKNOWN);
}

static const exchange_hooks_t hooks = {on_head, on_body, on_end, NULL};

/* Records a server that the request was sent to, by this host or another. */
void
request_note_tried(request_t *request, const server_t *server)
{
    request->last_tried = server->id_hash;
    if (request->tried_count < REQUEST_TRIED_MAX) {
        request->tried[request->tried_count++] = server->number;
    }
}

/* Prepares for the answer to a new attempt. */
void
request_begin_answer(request_t *request)
{
    request_leave_queue(request, true);
    request->answer = ANSWER_NONE;
    request->proof.pending = false;
    request->headers.len =
        request->phase == REQUEST_STREAMING ? request->headers.len : 0;
    request->answer_body.len = 0;
    request->read_stopped = false;
    stream_restart(&request->stream);
    if (request->phase == REQUEST_WAITING) {
        request->phase = REQUEST_SENT;
    }
}

/* Returns how long the server may acknowledge nothing.  Silence ends an answer
 * only if the request may run elsewhere.  A server that reads a long body
 * slowly acknowledges as little as one that is gone. */
int
request_silence_ms(const request_t *request)
{
    bool may_move =
        request_can_move(request) && request->body->len <= SLOW_BODY_BYTES;
    int64_t left_ms = request->deadline_ms - request->sent_ms;
    /* In whole seconds, so that kept connections are seldom set anew. */
    return may_move ? 0 : (int)((left_ms / MS_PER_S + 1) * MS_PER_S);
}

/* Starts an attempt at a server. */
void
request_send(request_t *request, server_t *server)
{
    relay_t *relay = request->relay;
    CLEAN_BUF buf_t head = {0};
    exchange_hooks_t request_hooks = hooks;
    request_hooks.arg = request;
    request->sent_ms = time_mono_ms();
    request->server = server;
    request->server_slowness = server->slowness;
    request->server_was_sound =
        server->consecutive_faults == 0 && !server->unresponsive;
    request->weights_version = server->info.weights;
    request->current_software = server->info.software;
    request->proof =
        (proof_state_t){.server = server->id_hash,
                        .entry_start_ms = server_process_start_ms(server)};
    request->newest_weights =
        request->engine ? weights_newest_seen(relay, request->prompt.model)
                        : 0;
    request->servers_age_ms =
        request->sent_ms - watch_answered_ms(relay->servers_watch);
    request_begin_answer(request);
    request_build_head(request, server, &head);
    request->prefill_tokens =
        request->prefix.tokens > request->cached_tokens
            ? request->prefix.tokens - request->cached_tokens
            : 0;
    request->in_flight_at_send =
        server_count_in_flight(server, request->sent_ms);
    request->server_was_idle = server_is_mostly_idle(server, request->sent_ms);
    server_add_request(server, request->prefill_tokens, request->sent_ms);
    request_count_in_flight(request, true);
    server_take_request(server, request->sent_ms);
    if (request->cached_tokens < request->prefix.tokens) {
        cache_note_pending(relay, &request->prefix, server->number);
    }
    request_note_tried(request, server);
    if (request->possible_runs > 0) {
        request_recharge_quota(request);
    }
    if (request->sends++ > 0) {
        relay->meter.retries++;
        retry_share_count_retry(&relay->retry_shares, request->service,
                                request->sent_ms);
    }
    request_count_in_shares(request);
    relay->meter.sends++;
    exchange_request_t options = {
        .addr = server->info.addr,
        .head = head.data,
        .head_len = head.len,
        .body = request->body->data,
        .body_len = request->body->len,
        .id = request->id,
        .body_kept = true,
        .no_response_body = request->head->method == HTTP_HEAD,
        .new_connection = !request->connection_checked &&
                          request_needs_new_connection(request),
        .silence_ms = request_silence_ms(request),
        .connect_ms = CONNECT_TIMEOUT_MS};
    request->exchange =
        exchange_start(relay->exchanges, &options, &request_hooks);
    request->connection_reused = exchange_is_reused(request->exchange);
    request->connection = exchange_connection(request->exchange)->serial;
    request->connection_checked = false;
    if (request->sends == 1) {
        request->overhead_us = time_mono_us() - request->received_us;
    }
}
