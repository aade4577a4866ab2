#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* The lifecycle of a call, from the request to its only final answer. */

#define DEADLINE_DEFAULT_MS 30000
#define OUTCOME_HEADER "X-Celeryspool-Outcome"
#define REQUEST_HEADER "X-Request-Id"

/* The name of an outcome in headers, events and final stream events. */
const char *
outcome_name(outcome_t outcome)
{
    static const char *const names[] = {"done", "not_run", "unknown"};
    return names[outcome];
}

/* The caller's timeout in ms; -1 if the header is not valid. */
long
call_timeout_ms(http_req_t *req)
{
    const char *header = http_req_header(req, "X-Deadline-Ms");
    char *end;
    if (header == NULL) {
        return DEADLINE_DEFAULT_MS;
    }
    long timeout_ms = strtol(header, &end, 10);
    bool is_valid = end != header && *end == '\0' && timeout_ms >= 1 &&
                    timeout_ms <= CALL_DEADLINE_MAX_MS;
    return is_valid ? timeout_ms : -1;
}

/* Create a call for a request and list it as running.  The creator and the
 * list hold one reference each; call_end takes the call off the list. */
call_t *
call_new(celeryspoold_t *daemon, http_req_t *req, call_kind_t kind,
         const workspace_t *workspace, const char *target)
{
    call_t *call = mem_zalloc(sizeof(*call));
    (void)pthread_mutex_init(&call->lock, NULL);
    call->refs = 1;
    call->daemon = daemon;
    call->req = req;
    call->kind = kind;
    call->priority = workspace->priority;
    call->received_us = time_mono_us();
    call->last_activity_us = call->received_us;
    call->deadline_ms = time_mono_ms() + call_timeout_ms(req);
    id_random(call->id);
    str_copy(call->workspace, sizeof(call->workspace), workspace->name);
    str_copy(call->target, sizeof(call->target), target);
    call->series =
        metrics_get_series(daemon->metrics, workspace->name, target);
    str_copy(call->queue_item.workspace, sizeof(call->queue_item.workspace),
             workspace->name);
    call->queue_item.share = workspace->share;
    call->queue_item.deadline_ms = call->deadline_ms;
    call->queue_item.owner = call;
    http_req_ref(req);
    http_req_reply_header(req, REQUEST_HEADER, call->id);
    LOCK_SCOPE(&daemon->calls_lock);
    call->refs++;
    CK_LIST_INSERT_HEAD(&daemon->calls, call, entry);
    daemon->call_count++;
    return call;
}

void
call_ref(call_t *call)
{
    (void)__atomic_add_fetch(&call->refs, 1, __ATOMIC_RELAXED);
}

static void
call_free(call_t *call)
{
    switch (call->kind) {
        case CALL_CHAT:
            json_decref(call->u.chat.body);
            buf_free(&call->u.chat.text);
            buf_free(&call->u.chat.sse_pending);
            buf_free(&call->u.chat.event_out);
            break;
        case CALL_SERVICE:
            free(call->u.service.method);
            buf_free(&call->u.service.request_target);
            buf_free(&call->u.service.body);
            buf_free(&call->u.service.reply);
            break;
    }
    http_req_unref(call->req);
    (void)pthread_mutex_destroy(&call->lock);
    free(call);
}

/* Drop a reference; the last one frees the call. */
void
call_unref(call_t *call)
{
    if (__atomic_sub_fetch(&call->refs, 1, __ATOMIC_ACQ_REL) == 0) {
        call_free(call);
    }
}

/* Write an event of this call. */
void
call_emit_event(call_t *call, const char *kind, const char *detail)
{
    event_emit(&(event_t){.kind = kind,
                          .request = call->id,
                          .workspace = call->workspace,
                          .backend = call->backend,
                          .detail = detail});
}

/* Remove the current attempt from the view's load. */
void
call_remove_from_view(call_t *call)
{
    if (call->counted_in_view) {
        call->counted_in_view = false;
        view_remove_request(call->daemon->view, call->backend_id,
                            call->first_token_received, call->uncached_tokens);
    }
}

static bool
is_tried(const call_t *call, const char *name)
{
    for (unsigned i = 0; i < call->tried_count && i < TRIED_MAX; i++) {
        if (strcmp(call->tried_names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Mark the current server as tried, so that placement avoids it. */
void
call_mark_tried(call_t *call)
{
    if (call->backend[0] == '\0' || is_tried(call, call->backend)) {
        return;
    }
    str_copy(call->tried_names[call->tried_count % TRIED_MAX], CS_NAME_MAX,
             call->backend);
    if (call->tried_count < TRIED_MAX) {
        call->tried_count++;
    }
}

/* End an answered call: count its outcome and take it off the list.  The
 * call's lock is held.  A second end is ignored, so each request is answered
 * once. */
void
call_end(call_t *call, outcome_t outcome)
{
    static const metric_counter_t counters[] = {METRIC_DONE, METRIC_NOT_RUN,
                                                METRIC_UNKNOWN};
    celeryspoold_t *daemon = call->daemon;
    if (call->phase == CALL_ENDED) {
        return;
    }
    call_remove_from_view(call);
    call->phase = CALL_ENDED;
    call->attempt_number++;
    series_increment(call->series, counters[outcome], 1);
    call_emit_event(call, "ended", outcome_name(outcome));
    (void)pthread_mutex_lock(&daemon->calls_lock);
    CK_LIST_REMOVE(call, entry);
    daemon->call_count--;
    (void)pthread_mutex_unlock(&daemon->calls_lock);
    call_unref(call);
}

static json_t *
error_body(const call_t *call, const char *code, outcome_t outcome,
           const char *text)
{
    return json_pack("{s:{s:s,s:s},s:s,s:s}", "error", "code", code, "message",
                     text, "outcome", outcome_name(outcome), "request",
                     call->id);
}

/* End a stream with an error event and then break the connection, so that
 * the caller cannot mistake a partial answer for a complete one. */
static void
fail_stream(call_t *call, const json_t *body)
{
    CLEAN_TEXT char *text = json_dumps(body, JSON_COMPACT);
    CLEAN_BUF buf_t event = {0};
    buf_fmt(&event, "event: error\ndata: %s\n\n", text);
    http_req_write(call->req, buf_text(&event), event.len);
    http_req_end(call->req, false);
}

/* End a call with an error.  The call's lock is held. */
void
call_fail(call_t *call, int status, const char *code, outcome_t outcome,
          const char *text)
{
    if (call->phase == CALL_ENDED) {
        return;
    }
    CLEAN_JSON json_t *body = error_body(call, code, outcome, text);
    call_emit_event(call, "failed", text);
    http_req_reply_header(call->req, OUTCOME_HEADER, outcome_name(outcome));
    if (call->kind == CALL_CHAT && call->u.chat.stream &&
        call->phase == CALL_STREAMING) {
        fail_stream(call, body);
    }
    else {
        http_req_reply_json(call->req, status, body);
    }
    call_end(call, outcome);
}

/* The outcome of a call that fails before any answer. */
outcome_t
call_outcome_so_far(const call_t *call)
{
    return call->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

/* Reject a call with a Retry-After header.  The call's lock is held.  The
 * call did not run, unless an earlier attempt may have. */
void
call_reject(call_t *call, int status, const char *code, int retry_after_s,
            const char *text)
{
    char seconds[16];
    (void)snprintf(seconds, sizeof(seconds), "%d", retry_after_s);
    http_req_reply_header(call->req, "Retry-After", seconds);
    if (call->kind == CALL_SERVICE && !call->may_have_run) {
        service_record_outcome(call, CLAIM_OP_NOT_RUN, 0);
    }
    series_increment(call->series, METRIC_REJECTED, 1);
    call_fail(call, status, code, call_outcome_so_far(call), text);
}

static const char *
phase_name(call_phase_t phase)
{
    static const char *const names[] = {"queued", "sent", "streaming",
                                        "ended"};
    return names[phase];
}

/* A JSON array with one row per running call, for the query language. */
json_t *
calls_to_json(celeryspoold_t *daemon)
{
    int64_t now = time_mono_us();
    json_t *rows = json_array();
    LOCK_SCOPE(&daemon->calls_lock);
    call_t *call;
    CK_LIST_FOREACH (call, &daemon->calls, entry) {
        (void)json_array_append_new(
            rows,
            json_pack(
                "{s:s,s:s,s:s,s:s,s:s,s:I,s:I}", "request", call->id,
                "workspace", call->workspace, "target", call->target, "phase",
                phase_name(call->phase), "backend", call->backend, "age_ms",
                (json_int_t)((now - call->received_us) / 1000), "tokens",
                (json_int_t)(call->kind == CALL_CHAT ? call->u.chat.emitted
                                                     : 0)));
    }
    return rows;
}
