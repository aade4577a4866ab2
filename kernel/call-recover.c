#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* Recovery of a chat whose stream breaks or stops sending: probe its state,
 * resume it at the same server, or fail over to another one. */

#define PROBE_TIMEOUT_MS 300
#define PROBE_FAILURES_MAX 2
#define RECOVERY_MAX_MS 5000
#define RETRY_INTERVAL_MS 100
#define SAME_SERVER_SENDS_MAX 4

/* End a call that no server can continue.  A stream that has begun cannot
 * change its weights version, so it is lost; any other call may be retried. */
static void
fail_unrecoverable(call_t *call)
{
    const chat_t *chat = &call->u.chat;
    if (chat->emitted > 0 || chat->resumed) {
        call_fail(call, 502, "stream_lost", OUTCOME_UNKNOWN,
                  "the stream broke and no backend server can go on with it");
        return;
    }
    http_req_reply_header(call->req, "Retry-After", "1");
    call_fail(call, 503, "no_backend", call_outcome_so_far(call),
              "the backend server failed and no other takes the request");
}

/* Fail over to another server, which continues from the prompt and the tokens
 * so far.  The call's lock is held. */
void
chat_fail_over(call_t *call)
{
    const chat_t *chat = &call->u.chat;
    candidate_t candidate;
    int64_t now = time_mono_ms();
    /* Without the text so far no other server can continue: of a resumed
     * stream only the caller has it, unless its request included it. */
    if (chat->has_gap || (chat->emitted > 0 && chat->text.len == 0)) {
        fail_unrecoverable(call);
        return;
    }
    if (call->recovery_deadline_ms == 0) {
        call->recovery_deadline_ms = now + RECOVERY_MAX_MS;
    }
    call->retry_at_ms = 0;
    if (dispatch_place(call, &candidate)) {
        series_increment(call->series, METRIC_MOVED, 1);
        call_emit_event(call, "moved", NULL);
        chat_attempt_start(call, &candidate);
        return;
    }
    if (now >= call->recovery_deadline_ms || now >= call->deadline_ms) {
        fail_unrecoverable(call);
        return;
    }
    /* All available servers have been tried; allow them again. */
    call->tried_count = 0;
    call->attempt_number++;
    call->retry_at_ms = now + RETRY_INTERVAL_MS;
}

/* Recover from an attempt that ended before the answer was complete.  A retry
 * before the first token spends from the retry budget.  A stream with tokens
 * or a resumed one does not, since its caller has part of an answer. */
void
chat_recover(call_t *call, bool same_server)
{
    const chat_t *chat = &call->u.chat;
    if (same_server) {
        chat_attempt_resume(call);
        return;
    }
    call_mark_tried(call);
    if (chat->emitted == 0 && !chat->resumed &&
        !retry_budget_try_spend(&call->daemon->retry_budget)) {
        http_req_reply_header(call->req, "Retry-After", "2");
        call_fail(call, 503, "retries_spent", call_outcome_so_far(call),
                  "the backend server failed and too many retries are under "
                  "way");
        return;
    }
    chat_fail_over(call);
}

/* Place a request again that a server rejected before it ran. */
void
chat_place_again(call_t *call, bool may_use_same_server)
{
    if (!may_use_same_server || call->sent_count > SAME_SERVER_SENDS_MAX) {
        call_mark_tried(call);
    }
    chat_fail_over(call);
}

/* A request for the state of a silent stream.  It uses a new connection,
 * because the stream's own may be broken without either end noticing. */
typedef struct {
    call_t *call;
    unsigned attempt_number;
    buf_t body;
} probe_t;

static void
probe_on_data(void *arg, int status, const char *data, size_t len)
{
    (void)status;
    probe_t *probe = arg;
    buf_add(&probe->body, data, len);
}

static void
abandon_attempt(call_t *call)
{
    http_client_cancel(call->daemon->http_client, call->exchange_id);
    call_remove_from_view(call);
    call->attempt_number++;
}

/* Act on the result of a probe.  If the server has sent more than arrived
 * here or has finished, the connection is broken: resume the stream.  If it
 * has nothing new, it is only slow: wait.  If it does not know the stream, or
 * several probes in a row fail, the stream is lost there: fail over. */
static void
probe_handle_result(call_t *call, const probe_t *probe, http_end_t end,
                    int status)
{
    CLEAN_JSON json_t *reply =
        json_loadb(buf_text(&probe->body), probe->body.len, 0, NULL);
    bool known = end == HTTP_END_COMPLETE && status == 200;
    if (known && (json_get_int(reply, "emitted", 0) > call->u.chat.emitted ||
                  json_get_bool(reply, "done"))) {
        call_emit_event(call, "line-silent", NULL);
        abandon_attempt(call);
        chat_recover(call, true);
        return;
    }
    if (known) {
        view_record_success(call->daemon->view, call->backend_id);
        call->probe_failures = 0;
        call->last_activity_us = time_mono_us();
        return;
    }
    call->probe_failures++;
    bool stream_unknown = end == HTTP_END_COMPLETE;
    /* Each failed probe counts as a failure, so that a few streams on a frozen
     * server open its circuit breaker before more requests are sent there. */
    if (!stream_unknown) {
        view_record_failure(call->daemon->view, call->backend_id,
                            time_mono_ms());
    }
    if (stream_unknown || call->probe_failures >= PROBE_FAILURES_MAX) {
        call_emit_event(call, "server-silent", NULL);
        call->may_have_run = true;
        abandon_attempt(call);
        chat_recover(call, false);
    }
}

static void
probe_on_end(void *arg, http_end_t end, int status)
{
    probe_t *probe = arg;
    call_t *call = probe->call;
    (void)pthread_mutex_lock(&call->lock);
    call->probing = false;
    if (probe->attempt_number == call->attempt_number &&
        call->phase != CALL_ENDED) {
        probe_handle_result(call, probe, end, status);
    }
    (void)pthread_mutex_unlock(&call->lock);
    buf_free(&probe->body);
    free(probe);
    call_unref(call);
}

static void
probe_start(call_t *call)
{
    char url[CS_ADDR_MAX + 128];
    probe_t *probe = mem_zalloc(sizeof(*probe));
    call_ref(call);
    call->probing = true;
    probe->call = call;
    probe->attempt_number = call->attempt_number;
    (void)snprintf(url, sizeof(url), "http://%s/v1/streams/%s?status=1",
                   call->addr, call->stream_id);
    http_client_request_t request = {.method = "GET",
                                     .url = url,
                                     .connect_ms = PROBE_TIMEOUT_MS,
                                     .total_ms = PROBE_TIMEOUT_MS,
                                     .new_connection = true,
                                     .on_data = probe_on_data,
                                     .on_end = probe_on_end,
                                     .arg = probe};
    (void)http_client_start(call->daemon->http_client, &request);
}

/* Retry a pending failover, or probe the stream if it has been silent for too
 * long.  Called periodically for each chat. */
void
chat_tick(call_t *call, int64_t now_us)
{
    LOCK_SCOPE(&call->lock);
    int64_t silence_us =
        (int64_t)call->daemon->settings.stream_silence_max_ms * 1000;
    if (call->phase != CALL_SENT && call->phase != CALL_STREAMING) {
        return;
    }
    if (call->retry_at_ms != 0) {
        if (now_us / 1000 >= call->retry_at_ms) {
            chat_fail_over(call);
        }
        return;
    }
    if (!call->probing && now_us - call->last_activity_us > silence_us) {
        probe_start(call);
    }
}
