#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* The backend server's side of a chat.  An attempt is one exchange with one
 * server.  Each callback carries its attempt; one that is not the current
 * attempt has been abandoned and changes nothing, so late bytes of an older
 * exchange cannot reach the caller. */

#define CONNECT_TIMEOUT_MS 300
#define ERROR_BODY_BYTES_MAX 2048
#define BACKLOG_BYTES_MAX (8 << 20)

typedef struct {
    call_t *call;
    unsigned number;
    char incarnation[CS_ID_LEN + 1];
    char version[CS_NAME_MAX];
    buf_t error;
    bool identity_checked;
    bool mismatch; /* the server has another version or incarnation */
    bool resume;
} attempt_t;

static attempt_t *
attempt_new(call_t *call, bool resume)
{
    attempt_t *attempt = mem_zalloc(sizeof(*attempt));
    call_ref(call);
    attempt->call = call;
    attempt->number = ++call->attempt_number;
    attempt->resume = resume;
    call->first_token_received = false;
    call->last_activity_us = time_mono_us();
    call->probe_failures = 0;
    buf_free(&call->u.chat.sse_pending);
    return attempt;
}

static void
attempt_free(attempt_t *attempt)
{
    call_unref(attempt->call);
    buf_free(&attempt->error);
    free(attempt);
}

static void
on_header(void *arg, const char *name, const char *value)
{
    attempt_t *attempt = arg;
    if (strcasecmp(name, "X-Engine-Incarnation") == 0) {
        str_copy(attempt->incarnation, sizeof(attempt->incarnation), value);
    }
    else if (strcasecmp(name, "X-Model-Version") == 0) {
        str_copy(attempt->version, sizeof(attempt->version), value);
    }
}

/* Check, before the first byte is used, that the engine has the weights
 * version of the call, if it reports one, and for a resume also the same
 * incarnation.  Otherwise all data of the attempt is discarded. */
static void
check_identity(call_t *call, attempt_t *attempt)
{
    attempt->identity_checked = true;
    bool other_version = attempt->version[0] != '\0' &&
                         strcmp(attempt->version, call->version) != 0;
    bool other_incarnation = attempt->resume && strcmp(attempt->incarnation,
                                                       call->incarnation) != 0;
    attempt->mismatch = other_version || other_incarnation;
    if (!attempt->mismatch) {
        str_copy(call->incarnation, sizeof(call->incarnation),
                 attempt->incarnation);
    }
}

static void
sign_resume_token(call_t *call)
{
    resume_t resume = {.prompt_hash = call->u.chat.prompt_hash};
    str_copy(resume.workspace, sizeof(resume.workspace), call->workspace);
    str_copy(resume.backend, sizeof(resume.backend), call->backend);
    str_copy(resume.incarnation, sizeof(resume.incarnation),
             call->incarnation);
    str_copy(resume.stream, sizeof(resume.stream), call->stream_id);
    str_copy(resume.version, sizeof(resume.version), call->version);
    resume_token_sign(&resume, call->daemon->settings.secret,
                      call->u.chat.resume_token);
}

/* Handle the first token of an attempt: report the time that it took to the
 * view, sign the resume token and open the caller's stream. */
static void
handle_first_token(call_t *call)
{
    chat_t *chat = &call->u.chat;
    int64_t now = time_mono_us();
    if (call->counted_in_view && !call->first_token_received) {
        view_record_first_token(call->daemon->view, call->backend_id,
                                call->uncached_tokens, call->expected_ttft_ms,
                                (double)(now - call->sent_us) / 1e3);
        view_record_success(call->daemon->view, call->backend_id);
    }
    call->first_token_received = true;
    sign_resume_token(call);
    if (call->phase != CALL_STREAMING) {
        call->phase = CALL_STREAMING;
        series_observe(call->series, METRIC_TTFT, now - call->received_us);
        call_emit_event(call, "first-token", NULL);
        if (chat->stream) {
            http_req_stream(call->req, 200, "text/event-stream");
        }
    }
}

/* Pass an event on to the caller with an id for Last-Event-ID.  It is written
 * in one piece, since each write may wake the caller's connection. */
static void
write_event(call_t *call, const char *data, size_t len)
{
    chat_t *chat = &call->u.chat;
    buf_t *out = &chat->event_out;
    out->len = 0;
    buf_fmt(out, "id: %s.%u\n", chat->resume_token, chat->emitted);
    buf_add(out, data, len);
    buf_add(out, "\n\n", 2);
    http_req_write(call->req, buf_text(out), out->len);
}

static void
parse_usage(chat_t *chat, const json_t *usage)
{
    const json_t *details = json_object_get(usage, "prompt_tokens_details");
    if (usage == NULL || chat->prompt_tokens > 0) {
        return;
    }
    chat->prompt_tokens = (uint32_t)json_get_int(usage, "prompt_tokens", 0);
    chat->cached_tokens = (uint32_t)json_get_int(details, "cached_tokens", 0);
}

/* Handle an upstream event: a token, the usage at the end, or [DONE]. */
static void
handle_event(call_t *call, const char *event_line, size_t len)
{
    static const char data_prefix[] = "data: ";
    chat_t *chat = &call->u.chat;
    if (len < sizeof(data_prefix) - 1 ||
        memcmp(event_line, data_prefix, sizeof(data_prefix) - 1) != 0) {
        return;
    }
    const char *data = event_line + sizeof(data_prefix) - 1;
    size_t data_len = len - (sizeof(data_prefix) - 1);
    if (data_len == 6 && memcmp(data, "[DONE]", 6) == 0) {
        chat->finished = !chat->has_gap;
        return;
    }
    CLEAN_JSON json_t *event = json_loadb(data, data_len, 0, NULL);
    const json_t *choice =
        json_array_get(json_object_get(event, "choices"), 0);
    const char *content =
        json_get_string(json_object_get(choice, "delta"), "content");
    parse_usage(chat, json_object_get(event, "usage"));
    if (content == NULL) {
        return;
    }
    int64_t index = json_get_int(event, "token_index", chat->emitted);
    /* Tokens that the caller already has are skipped.  An index that is ahead
     * means that tokens are missing: the answer must not look complete. */
    chat->has_gap = chat->has_gap || index > (int64_t)chat->emitted;
    if (index != (int64_t)chat->emitted) {
        return;
    }
    if (!call->first_token_received) {
        handle_first_token(call);
    }
    else {
        series_observe(call->series, METRIC_TOKEN_GAP,
                       time_mono_us() - call->last_activity_us);
    }
    chat->emitted++;
    buf_str(&chat->text, content);
    if (chat->stream) {
        write_event(call, event_line, len);
    }
}

/* Feed in bytes from upstream; each complete event is handled. */
void
chat_feed(call_t *call, const char *data, size_t len)
{
    chat_t *chat = &call->u.chat;
    buf_add(&chat->sse_pending, data, len);
    size_t at = 0;
    for (;;) {
        char *from = chat->sse_pending.data + at;
        char *end = memmem(from, chat->sse_pending.len - at, "\n\n", 2);
        if (end == NULL) {
            break;
        }
        handle_event(call, from, (size_t)(end - from));
        at += (size_t)(end - from) + 2;
    }
    buf_consume(&chat->sse_pending, at);
    call->last_activity_us = time_mono_us();
}

static void
on_data(void *arg, int status, const char *data, size_t len)
{
    attempt_t *attempt = arg;
    call_t *call = attempt->call;
    LOCK_SCOPE(&call->lock);
    if (attempt->number != call->attempt_number || call->phase == CALL_ENDED) {
        return;
    }
    if (status != 200) {
        if (attempt->error.len + len < ERROR_BODY_BYTES_MAX) {
            buf_add(&attempt->error, data, len);
        }
        return;
    }
    if (!attempt->identity_checked) {
        check_identity(call, attempt);
    }
    if (attempt->mismatch) {
        return;
    }
    chat_feed(call, data, len);
    if (http_req_is_disconnected(call->req) ||
        http_req_backlog(call->req) > BACKLOG_BYTES_MAX) {
        call_emit_event(call, "caller-gone", NULL);
        http_client_cancel(call->daemon->http_client, call->exchange_id);
        call_fail(call, 499, "caller_gone", OUTCOME_UNKNOWN,
                  "the caller does not read");
    }
}

static void
record_cached_prefix(call_t *call)
{
    const chat_t *chat = &call->u.chat;
    celeryspoold_t *daemon = call->daemon;
    for (unsigned i = 0; i < chat->prefix.count; i++) {
        const prefix_level_t *level = &chat->prefix.levels[i];
        /* The last level is specific to this request.  Peers receive it only
         * when a later request has it as an inner level. */
        bool shared = i + 1 < chat->prefix.count;
        if (cache_map_add_holder(daemon->cache, call->backend_id, level->key,
                                 level->tokens) &&
            shared) {
            peer_announce_cached(daemon->peer, call->backend, level->key,
                                 level->tokens, true);
        }
    }
}

/* Whether the engine's answer means that no server would run the request.  409
 * and 429 are rejections by this server, see is_rejection(); after 404 and 408
 * the request is retried or resumed. */
static bool
is_final_client_error(int status)
{
    return status >= 400 && status < 500 && status != 404 && status != 408 &&
           status != 409 && status != 429;
}

/* Whether the engine rejected the request before running it: it has another
 * weights version than expected, is loading one, or is full. */
static bool
is_rejection(int status)
{
    return status == 409 || status == 429 || status == 503;
}

/* Place a rejected request again.  This spends nothing from the retry budget,
 * since nothing ran.  A server that only has another weights version may be
 * chosen again, by that version. */
static void
handle_rejection(call_t *call, const attempt_t *attempt, int status)
{
    celeryspoold_t *daemon = call->daemon;
    call_emit_event(call, "leg-refused", buf_text(&attempt->error));
    call_remove_from_view(call);
    bool other_weights = status == 409 && attempt->version[0] != '\0';
    if (other_weights) {
        view_set_version(daemon->view, call->backend_id, attempt->version);
        cache_map_clear_backend(daemon->cache, call->backend_id);
    }
    chat_place_again(call, other_weights);
}

/* Handle an attempt that ended before the answer was complete. */
static void
handle_failure(call_t *call, attempt_t *attempt, http_end_t end, int status)
{
    bool answered = end == HTTP_END_COMPLETE;
    if (answered && is_final_client_error(status)) {
        call_fail(call, status, "refused_by_engine", OUTCOME_NOT_RUN,
                  buf_text(&attempt->error));
        return;
    }
    if (answered && is_rejection(status) && !attempt->resume) {
        handle_rejection(call, attempt, status);
        return;
    }
    if (!answered) {
        view_record_failure(call->daemon->view, call->backend_id,
                            time_mono_ms());
    }
    call->may_have_run = call->may_have_run || end != HTTP_END_UNSENT;
    call_emit_event(call, "leg-broke",
                    end == HTTP_END_UNSENT ? "unreachable"
                    : answered             ? "refused"
                                           : "cut");
    call_remove_from_view(call);
    bool resumable = !attempt->resume && !attempt->mismatch &&
                     end == HTTP_END_BROKEN && call->first_token_received;
    chat_recover(call, resumable);
}

static void
on_end(void *arg, http_end_t end, int status)
{
    attempt_t *attempt = arg;
    call_t *call = attempt->call;
    celeryspoold_t *daemon = call->daemon;
    (void)pthread_mutex_lock(&call->lock);
    if (attempt->number == call->attempt_number && call->phase != CALL_ENDED) {
        if (call->u.chat.finished) {
            record_cached_prefix(call);
            chat_finish(call);
        }
        else {
            handle_failure(call, attempt, end, status);
        }
    }
    (void)pthread_mutex_unlock(&call->lock);
    attempt_free(attempt);
    dispatch_run(daemon);
}

/* The priority in the engine's queue, which must be fair too: among workspaces
 * of equal priority, one within its share, which has nothing queued here, goes
 * before one with a backlog. */
static int
engine_priority(const call_t *call)
{
    return call->priority * 2 + (call->queue_item.first_of_workspace ? 1 : 0);
}

/* The request body for an engine: the caller's with the router's own fields,
 * and the answer so far as the last message, to be continued. */
static char *
build_upstream_body(call_t *call)
{
    chat_t *chat = &call->u.chat;
    CLEAN_JSON json_t *body = json_copy(chat->body);
    (void)json_object_set_new(body, "cache_salt", json_string(chat->salt));
    (void)json_object_set_new(body, "priority",
                              json_integer(engine_priority(call)));
    (void)json_object_set_new(body, "request_id",
                              json_string(call->stream_id));
    (void)json_object_set_new(body, "version", json_string(call->version));
    (void)json_object_set_new(body, "stream", json_true());
    if (chat->text.len > 0) {
        json_t *messages = json_copy(json_object_get(body, "messages"));
        (void)json_array_append_new(
            messages, json_pack("{s:s,s:s}", "role", "assistant", "content",
                                buf_text(&chat->text)));
        (void)json_object_set_new(body, "messages", messages);
        (void)json_object_set_new(body, "continue_final_message", json_true());
    }
    return json_dumps(body, JSON_COMPACT);
}

/* Sends an attempt over a connection of its own: answers of engines bear no
 * id, and what a kept connection brings for an earlier chat must not be taken
 * for this one's. */
static void
attempt_send(call_t *call, attempt_t *attempt, const char *method,
             const char *url, const char *body)
{
    http_client_request_t request = {
        .method = method,
        .url = url,
        .body = body,
        .body_len = body == NULL ? 0 : strlen(body),
        .connect_ms = CONNECT_TIMEOUT_MS,
        .new_connection = true,
        .on_header = on_header,
        .on_data = on_data,
        .on_end = on_end,
        .arg = attempt};
    request.headers[0] = "Content-Type: application/json";
    request.headers[1] = "Accept: text/event-stream";
    call->exchange_id = http_client_start(call->daemon->http_client, &request);
}

/* Send a chat to the chosen server.  The call's lock is held. */
void
chat_attempt_start(call_t *call, const candidate_t *candidate)
{
    char url[CS_ADDR_MAX + 64];
    const chat_t *chat = &call->u.chat;
    attempt_t *attempt = attempt_new(call, false);
    call->backend_id = candidate->id;
    call->sent_count++;
    call->sent_us = time_mono_us();
    call->uncached_tokens =
        chat->prefix.tokens > candidate->cached_tokens
            ? chat->prefix.tokens - candidate->cached_tokens
            : 0;
    call->expected_ttft_ms =
        candidate->wait_ms + place_prefill_ms(candidate, &chat->prefix);
    call->phase = chat->emitted > 0 ? call->phase : CALL_SENT;
    call->counted_in_view = true;
    view_add_request(call->daemon->view, call->backend_id,
                     call->uncached_tokens);
    /* The server will cache these levels once it has started, so requests that
     * follow immediately should already go there. */
    record_cached_prefix(call);
    id_random(call->stream_id);
    call_emit_event(call, "placed", call->placement_reason);
    event_emit(&(event_t){.kind = "sent",
                          .request = call->id,
                          .workspace = call->workspace,
                          .backend = call->backend,
                          .sent = call->stream_id});
    CLEAN_TEXT char *body = build_upstream_body(call);
    (void)snprintf(url, sizeof(url), "http://%s/v1/chat/completions",
                   call->addr);
    attempt_send(call, attempt, "POST", url, body);
}

/* Resume the stream at the same server, on a new connection.  The call's lock
 * is held. */
void
chat_attempt_resume(call_t *call)
{
    char url[CS_ADDR_MAX + 128];
    attempt_t *attempt = attempt_new(call, true);
    /* In this phase chat_tick probes the stream, also if its server hangs. */
    call->phase = call->phase == CALL_QUEUED ? CALL_SENT : call->phase;
    series_increment(call->series, METRIC_RESUMED, 1);
    call_emit_event(call, "resumed", NULL);
    (void)snprintf(url, sizeof(url), "http://%s/v1/streams/%s?offset=%u",
                   call->addr, call->stream_id, call->u.chat.emitted);
    attempt_send(call, attempt, "GET", url, NULL);
}
