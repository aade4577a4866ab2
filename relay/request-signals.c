#include "peers.h"
#include "request.h"

/* Records what a server says of itself in the head of its answer: a rate limit
 * for all hosts, a time of rest for this one, that it leaves or is brittle. */

/* Whether an answer was made by the server itself for this request.  Another
 * server that uses its address now answers 421 with its own id. */
static bool
is_own_answer(const request_t *request, const http_head_t *head)
{
    const header_t *server_id =
        http_head_find(head, wire_header_name(HEADER_SERVER_ID));
    if (server_id != NULL &&
        !http_head_is(head, server_id->value, request->server->info.id)) {
        return false;
    }
    return request->answer == ANSWER_REJECTED ||
           (http_head_find(head, wire_header_name(HEADER_REQUEST_ID)) !=
                NULL &&
            http_head_find(head, wire_header_name(HEADER_SIGNATURE)) != NULL);
}

/* Records what the server says of its limit.  Only a success shows that a
 * limit has ended. */
static void
record_limit(const request_t *request, const server_signals_t *signals)
{
    server_t *server = request->server;
    bool changed = false;
    switch (signals->limit) {
        case SIGNAL_VALID:
            peers_set_limit_hosts(request->relay->peers, server);
            changed = server_limit_hear(&server->limit, signals->limit_per_s,
                                        time_mono_ms());
            break;
        case SIGNAL_ABSENT:
            changed = request->status / 100 == 2 &&
                      server_limit_hear_none(&server->limit, request->sent_ms);
            break;
        case SIGNAL_INVALID:
            break;
    }
    server_schedule_signals(server);
    if (changed) {
        server_log_limit(server, "answer");
    }
}

/* Records the rest that the server asks for, or that it takes requests. */
static void
record_rest(const request_t *request, const server_signals_t *signals)
{
    server_t *server = request->server;
    if (request->answer != ANSWER_REJECTED) {
        if (server_rest_end(&server->rest, request->sent_ms)) {
            log_record(LOG_INFO, "servers", "rest-ended", "server=%s",
                       server->info.id);
        }
        return;
    }
    if (signals->rest == SIGNAL_VALID && signals->rest_ms > 0 &&
        server_rest_begin(&server->rest, signals->rest_ms, time_mono_ms())) {
        log_record(LOG_INFO, "servers", "rest-asked", "server=%s ms=%lld",
                   server->info.id, (long long)signals->rest_ms);
    }
}

/* Records what the server says of the rejections that it bears, and what its
 * answer shows of its room.  Only a success shows that it is not brittle any
 * more. */
static void
record_brittle(const request_t *request, const server_signals_t *signals)
{
    server_t *server = request->server;
    server_brittle_t *brittle = &server->brittle;
    int64_t now = time_mono_ms();
    bool changed = false;
    switch (signals->brittle) {
        case SIGNAL_VALID:
            server_brittle_set_hosts(
                brittle, peers_count_sharing(request->relay->peers));
            changed = server_brittle_note_stated(
                brittle, signals->brittle_per_s, server->info.slots, now);
            break;
        case SIGNAL_ABSENT:
            changed = request->status / 100 == 2 &&
                      server_brittle_note_unstated(brittle, request->sent_ms);
            break;
        case SIGNAL_INVALID:
            break;
    }
    if (request->answer == ANSWER_REJECTED && request->status == 503) {
        server_brittle_reject(brittle, now);
    }
    server_schedule_signals(server);
    if (changed) {
        server_log_brittle(server, "answer");
    }
}

/* Records that the server leaves. */
static void
record_leaving(const request_t *request, const server_signals_t *signals)
{
    if (signals->leaving && server_set_leaving(request->server)) {
        log_record(LOG_INFO, "servers", "leaving", "server=%s source=answer",
                   request->server->info.id);
    }
}

/* Records what the answer to the current attempt says of its server, once the
 * answer is classified. */
void
request_record_signals(const request_t *request, const http_head_t *head)
{
    server_signals_t signals;
    if (!is_own_answer(request, head)) {
        return;
    }
    platform_signals_read(&signals, head);
    record_limit(request, &signals);
    record_rest(request, &signals);
    record_leaving(request, &signals);
    record_brittle(request, &signals);
}
