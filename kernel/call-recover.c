#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* What is done when an answer breaks or falls silent: ask after it, go on
 * with it at the same server, or move it to another one. */

#define PROBE_MS 300
#define PROBE_FAILURES_MAX 2
#define RECOVER_MS 5000
#define RETRY_STEP_MS 100
#define REDIRECTS_MAX 4

/* No other server has the weights: a stream that has begun cannot change
 * them, so it ends with an error; one that has not begun did not answer. */
static void
give_up(call_t *call)
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

/* Move the call to another server, which goes on from the prompt and the
 * tokens that are there.  The call's lock is held. */
void
chat_move(call_t *call)
{
    const chat_t *chat = &call->u.chat;
    candidate_t candidate;
    int64_t now = time_mono_ms();
    /* A resumed stream whose server is gone: the text before the offset is
     * with the caller only, unless its body brought it along. */
    if (chat->gap || (chat->emitted > 0 && chat->text.len == 0)) {
        give_up(call);
        return;
    }
    if (call->recover_until_ms == 0) {
        call->recover_until_ms = now + RECOVER_MS;
    }
    call->retry_at_ms = 0;
    if (dispatch_place(call, &candidate)) {
        series_increment(call->series, METRIC_MOVED, 1);
        call_event(call, "moved", NULL);
        chat_leg_start(call, &candidate);
        return;
    }
    if (now >= call->recover_until_ms || now >= call->deadline_ms) {
        give_up(call);
        return;
    }
    /* All that are open have been tried: they may be tried again. */
    call->tried = 0;
    call->leg++;
    call->retry_at_ms = now + RETRY_STEP_MS;
}

/* A leg is over without the end.  First tries that failed before their first
 * token spend from the retry budget; a stream that is under way does not,
 * since its caller holds half an answer. */
void
chat_recover(call_t *call, bool same_server)
{
    const chat_t *chat = &call->u.chat;
    if (same_server) {
        chat_resume_leg(call);
        return;
    }
    call_note_tried(call);
    if (chat->emitted == 0 && !chat->resumed &&
        !retry_budget_spend(&call->daemon->retries)) {
        http_req_reply_header(call->req, "Retry-After", "2");
        call_fail(call, 503, "retries_spent", call_outcome_so_far(call),
                  "the backend server failed and too many retries are under "
                  "way");
        return;
    }
    chat_move(call);
}

/* A server refused the request before it began: place it anew. */
void
chat_redirect(call_t *call, bool same_server_too)
{
    if (!same_server_too || call->attempts > REDIRECTS_MAX) {
        call_note_tried(call);
    }
    chat_move(call);
}

/* Asking after a silent stream goes by a connection of its own, because the
 * one that is silent may be dead to both ends. */
typedef struct {
    call_t *call;
    unsigned leg;
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
abandon_leg(call_t *call)
{
    http_client_cancel(call->daemon->client, call->xfer);
    call_uncount(call);
    call->leg++;
}

/* What the answer means: the server has sent more than arrived here, so the
 * line is dead; it has nothing new, so it is only slow; it does not know the
 * stream or does not answer, so the stream is lost there. */
static void
probe_judge(call_t *call, const probe_t *probe, http_end_t end, int status)
{
    CLEAN_JSON json_t *reply =
        json_loadb(buf_text(&probe->body), probe->body.len, 0, NULL);
    bool told = end == HTTP_END_WHOLE && status == 200;
    if (told && (json_int(reply, "emitted", 0) > call->u.chat.emitted ||
                 json_flag(reply, "done"))) {
        call_event(call, "line-silent", NULL);
        abandon_leg(call);
        chat_recover(call, true);
        return;
    }
    if (told) {
        view_succeeded(call->daemon->view, call->backend_id);
        call->probe_failures = 0;
        call->last_us = time_mono_us();
        return;
    }
    call->probe_failures++;
    bool unknown_there = end == HTTP_END_WHOLE;
    /* Each probe without an answer counts, so that a few streams on a frozen
     * server open its circuit before more requests are sent there. */
    if (!unknown_there) {
        view_failed(call->daemon->view, call->backend_id, time_mono_ms());
    }
    if (unknown_there || call->probe_failures >= PROBE_FAILURES_MAX) {
        call_event(call, "server-silent", NULL);
        call->may_have_run = true;
        abandon_leg(call);
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
    if (probe->leg == call->leg && call->phase != CALL_ENDED) {
        probe_judge(call, probe, end, status);
    }
    (void)pthread_mutex_unlock(&call->lock);
    buf_free(&probe->body);
    free(probe);
    call_release(call);
}

static void
probe_start(call_t *call)
{
    char url[CS_ADDR_MAX + 128];
    probe_t *probe = mem_zalloc(sizeof(*probe));
    call_hold(call);
    call->probing = true;
    probe->call = call;
    probe->leg = call->leg;
    (void)snprintf(url, sizeof(url), "http://%s/v1/streams/%s?status=1",
                   call->addr, call->stream_id);
    http_call_t ask = {.method = "GET",
                       .url = url,
                       .connect_ms = PROBE_MS,
                       .total_ms = PROBE_MS,
                       .fresh = true,
                       .on_data = probe_on_data,
                       .on_end = probe_on_end,
                       .arg = probe};
    (void)http_client_start(call->daemon->client, &ask);
}

/* Called every few milliseconds for each chat that is with a server. */
void
chat_watch(call_t *call, int64_t now_us)
{
    LOCK_SCOPE(&call->lock);
    int64_t silence_us = (int64_t)call->daemon->settings.silence_ms * 1000;
    if (call->phase != CALL_SENT && call->phase != CALL_STREAMING) {
        return;
    }
    if (call->retry_at_ms != 0) {
        if (now_us / 1000 >= call->retry_at_ms) {
            chat_move(call);
        }
        return;
    }
    if (!call->probing && now_us - call->last_us > silence_us) {
        probe_start(call);
    }
}
