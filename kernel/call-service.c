#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Calls to plain services.  A call that is not idempotent runs at most once.
 * With an idempotency key, only the host whose claim in the claim log was
 * granted sends it; without one, it is never sent a second time. */

#define CONNECT_TIMEOUT_MS 300
#define REPLY_BYTES_MAX (4 << 20)
#define CLAIM_TIMEOUT_MS 2000
#define RECORD_TIMEOUT_MS 600000
#define OUTCOME_HEADER "X-Celeryspool-Outcome"
#define SERVICES_PATH "/v1/services/"
#define IDEMPOTENCY_KEY_BYTES_MAX 255
#define JSON_TYPE "application/json"

/* One attempt: one exchange with a server of the service. */
typedef struct {
    call_t *call;
    unsigned number;
} attempt_t;

static void
on_data(void *arg, int status, const char *data, size_t len)
{
    (void)status;
    attempt_t *attempt = arg;
    call_t *call = attempt->call;
    LOCK_SCOPE(&call->lock);
    service_call_t *service = &call->u.service;
    if (attempt->number != call->attempt_number) {
        return;
    }
    if (service->reply.len + len > REPLY_BYTES_MAX) {
        service->reply_too_long = true;
        return;
    }
    buf_add(&service->reply, data, len);
}

static void
on_header(void *arg, const char *name, const char *value)
{
    attempt_t *attempt = arg;
    call_t *call = attempt->call;
    LOCK_SCOPE(&call->lock);
    if (attempt->number == call->attempt_number &&
        strcasecmp(name, "Content-Type") == 0) {
        str_copy(call->u.service.reply_content_type,
                 sizeof(call->u.service.reply_content_type), value);
    }
}

/* Record the outcome of a claimed call in the claim log.  The call's lock is
 * held. */
void
service_record_outcome(call_t *call, claim_op_kind_t kind, int status)
{
    service_call_t *service = &call->u.service;
    if (!service->claimed) {
        return;
    }
    service->claimed = false;
    claim_op_t *op =
        claim_op_new(kind, service->claim_key, service->claim_token);
    op->status = status;
    op->deadline_ms = time_mono_ms() + RECORD_TIMEOUT_MS;
    op->not_before_ms = time_mono_ms() + CLAIM_RECORD_DELAY_MS;
    if (kind == CLAIM_OP_DONE && !service->reply_too_long &&
        service->reply.len <= CLAIM_BODY_MAX &&
        utf8_is_valid(buf_text(&service->reply), service->reply.len)) {
        op->body = strdup(buf_text(&service->reply));
    }
    claim_log_submit(call->daemon->claims, op);
}

static void
send_reply(call_t *call, int status)
{
    const service_call_t *service = &call->u.service;
    http_req_reply_header(call->req, OUTCOME_HEADER,
                          outcome_name(OUTCOME_DONE));
    http_req_reply(call->req, status,
                   service->reply_content_type[0] == '\0'
                       ? JSON_TYPE
                       : service->reply_content_type,
                   buf_text(&service->reply), service->reply.len);
    call_end(call, OUTCOME_DONE);
}

/* The service ran, but its reply is too long to pass on. */
static void
fail_reply_too_long(call_t *call)
{
    call_fail(call, 502, "answer_too_long", OUTCOME_DONE,
              "the call ran; its answer is longer than the router passes on");
}

/* Try another server, which is allowed if no byte was sent or if the call is
 * idempotent. */
static void
try_another_server(call_t *call, bool sent)
{
    candidate_t candidate;
    call_mark_tried(call);
    if (call->sent_count < TRIED_MAX && time_mono_ms() < call->deadline_ms &&
        dispatch_place(call, &candidate) &&
        (!sent || retry_budget_try_spend(&call->daemon->retry_budget))) {
        service_attempt_start(call, &candidate);
        return;
    }
    if (call->may_have_run) {
        call_fail(call, 502, "service_failed", OUTCOME_UNKNOWN,
                  "the service broke the connection; it may have run");
        return;
    }
    call_reject(call, 503, "unreachable", 1,
                "no server of the service could be reached");
}

static void
handle_end(call_t *call, http_end_t end, int status)
{
    const service_call_t *service = &call->u.service;
    call_remove_from_view(call);
    if (end == HTTP_END_COMPLETE) {
        view_record_success(call->daemon->view, call->backend_id);
        service_record_outcome(call, CLAIM_OP_DONE, status);
        if (service->reply_too_long) {
            fail_reply_too_long(call);
            return;
        }
        send_reply(call, status);
        return;
    }
    view_record_failure(call->daemon->view, call->backend_id, time_mono_ms());
    call->may_have_run = call->may_have_run || end != HTTP_END_UNSENT;
    if (end == HTTP_END_UNSENT || service->idempotent) {
        try_another_server(call, end != HTTP_END_UNSENT);
        return;
    }
    /* The call may have run.  Its claim keeps no outcome, so that a repeat
     * with this key is not sent but answered that the outcome is unknown. */
    call_fail(call, 502, "outcome_unknown", OUTCOME_UNKNOWN,
              "the connection broke after the call was sent; it may have run");
}

static void
on_end(void *arg, http_end_t end, int status)
{
    attempt_t *attempt = arg;
    call_t *call = attempt->call;
    celeryspoold_t *daemon = call->daemon;
    (void)pthread_mutex_lock(&call->lock);
    if (attempt->number == call->attempt_number && call->phase != CALL_ENDED) {
        handle_end(call, end, status);
    }
    (void)pthread_mutex_unlock(&call->lock);
    call_unref(call);
    free(attempt);
    dispatch_run(daemon);
}

/* Sends the call over a connection of its own: answers of services bear no id,
 * and what a kept connection brings for an earlier call must not be taken for
 * this one's. */
static void
send_request(call_t *call)
{
    CLEAN_BUF buf_t url = {0};
    char type[sizeof(call->u.service.content_type) + 16];
    service_call_t *service = &call->u.service;
    attempt_t *attempt = mem_zalloc(sizeof(*attempt));
    call_ref(call);
    attempt->call = call;
    attempt->number = ++call->attempt_number;
    int64_t remaining_ms = call->deadline_ms - time_mono_ms();
    buf_fmt(&url, "http://%s%s", call->addr,
            buf_text(&service->request_target));
    (void)snprintf(
        type, sizeof(type), "Content-Type: %s",
        service->content_type[0] == '\0' ? JSON_TYPE : service->content_type);
    http_client_request_t request = {
        .method = service->method,
        .url = buf_text(&url),
        .connect_ms = CONNECT_TIMEOUT_MS,
        .total_ms = (int)(remaining_ms < 1 ? 1 : remaining_ms),
        .new_connection = true,
        .on_header = on_header,
        .on_data = on_data,
        .on_end = on_end,
        .arg = attempt};
    if (service->body.len > 0) {
        request.body = buf_text(&service->body);
        request.body_len = service->body.len;
    }
    request.headers[0] = type;
    call->exchange_id = http_client_start(call->daemon->http_client, &request);
}

/* Send a service call to the chosen server.  The call's lock is held. */
void
service_attempt_start(call_t *call, const candidate_t *candidate)
{
    /* Checked right before the call is sent: the deadline may have passed if
     * the host was frozen since the claim. */
    if (time_mono_ms() >= call->deadline_ms) {
        call_reject(call, 504, "deadline", 1,
                    "the deadline passed before the call was sent");
        return;
    }
    call->backend_id = candidate->id;
    call->sent_count++;
    call->phase = CALL_SENT;
    call->sent_us = time_mono_us();
    call->uncached_tokens = 0;
    call->counted_in_view = true;
    call->first_token_received = false;
    buf_free(&call->u.service.reply);
    view_add_request(call->daemon->view, call->backend_id, 0);
    call_emit_event(call, "placed", call->placement_reason);
    event_emit(&(event_t){.kind = "sent",
                          .request = call->id,
                          .workspace = call->workspace,
                          .backend = call->backend,
                          .sent = call->u.service.claim_token});
    send_request(call);
}

static void
replay_outcome(call_t *call, const claim_op_t *op)
{
    http_req_reply_header(call->req, "Idempotent-Replayed", "true");
    http_req_reply_header(call->req, OUTCOME_HEADER,
                          outcome_name(OUTCOME_DONE));
    if (op->body != NULL) {
        http_req_reply(call->req, op->status, "application/json", op->body,
                       strlen(op->body));
    }
    else {
        CLEAN_JSON json_t *body =
            json_pack("{s:s,s:i,s:s}", "outcome", "done", "status", op->status,
                      "note", "the answer was too long to be kept");
        http_req_reply_json(call->req, 200, body);
    }
    call_end(call, OUTCOME_DONE);
}

/* Act on the result of a claim: send the call, replay the recorded outcome,
 * answer that the outcome is unknown, or reject the call if the store did not
 * answer. */
static void
on_claim(claim_op_t *op, void *arg)
{
    call_t *call = arg;
    (void)pthread_mutex_lock(&call->lock);
    switch (op->state) {
        case CLAIM_WON:
            call->u.service.claimed = true;
            call_emit_event(call, "claimed", NULL);
            (void)pthread_mutex_unlock(&call->lock);
            dispatch_submit(call);
            call_unref(call);
            return;
        case CLAIM_DONE:
            replay_outcome(call, op);
            break;
        case CLAIM_TAKEN:
            http_req_reply_header(call->req, "Retry-After", "1");
            call_fail(call, 409, "in_progress", OUTCOME_UNKNOWN,
                      "another attempt with this key has been sent and its "
                      "outcome is not known yet");
            break;
        case CLAIM_UNAVAILABLE:
        case CLAIM_PENDING:
        case CLAIM_RECORDED:
            call_reject(call, 503, "claims_unavailable", 2,
                        "the platform's store cannot be asked now");
            break;
    }
    (void)pthread_mutex_unlock(&call->lock);
    call_unref(call);
}

static void
submit_claim(call_t *call)
{
    service_call_t *service = &call->u.service;
    int64_t now = time_mono_ms();
    claim_op_t *op =
        claim_op_new(CLAIM_OP_CLAIM, service->claim_key, service->claim_token);
    op->deadline_ms = now + CLAIM_TIMEOUT_MS;
    if (op->deadline_ms > call->deadline_ms) {
        op->deadline_ms = call->deadline_ms;
    }
    op->on_done = on_claim;
    op->arg = call;
    call_ref(call);
    claim_log_submit(call->daemon->claims, op);
}

static bool
is_idempotent(const service_t *service, const char *method)
{
    return service->idempotent || strcmp(method, "GET") == 0;
}

/* Serve /v1/services/NAME/REST. */
void
service_handle(celeryspoold_t *daemon, http_req_t *req,
               const workspace_t *workspace, const config_t *config)
{
    char name[CS_NAME_MAX];
    const char *path = http_req_path(req) + strlen(SERVICES_PATH);
    size_t len = strcspn(path, "/");
    const char *key = http_req_header(req, "Idempotency-Key");
    size_t body_len;
    const char *body = http_req_body(req, &body_len);
    str_copy(name, len + 1 < sizeof(name) ? len + 1 : sizeof(name), path);
    const service_t *service = config_find_service(config, name);
    http_req_reply_header(req, "X-Celeryspool-Service", name);
    if (service == NULL ||
        (key != NULL && strlen(key) > IDEMPOTENCY_KEY_BYTES_MAX)) {
        http_req_reply_header(req, OUTCOME_HEADER,
                              outcome_name(OUTCOME_NOT_RUN));
        http_req_reply_error(
            req, service == NULL ? 404 : 400,
            service == NULL ? "unknown_service" : "bad_key",
            service == NULL ? "service %.64s is not declared"
                            : "Idempotency-Key of %.64s is over 255 bytes",
            name);
        return;
    }
    call_t *call = call_new(daemon, req, CALL_SERVICE, workspace, name);
    service_call_t *service_call = &call->u.service;
    service_call->method = strdup(http_req_method(req));
    buf_str(&service_call->request_target, path[len] == '\0' ? "/" : "");
    http_req_target(req, strlen(SERVICES_PATH) + len,
                    &service_call->request_target);
    str_copy(service_call->content_type, sizeof(service_call->content_type),
             http_req_header(req, "Content-Type"));
    buf_add(&service_call->body, body, body_len);
    service_call->idempotent = is_idempotent(service, service_call->method);
    call->queue_item.cost = 1;
    id_random(service_call->claim_token);
    retry_budget_earn(&daemon->retry_budget);
    call_emit_event(call, "received", key);
    if (key != NULL && !service_call->idempotent) {
        claim_key_derive(workspace->name, name, key, service_call->claim_key);
        submit_claim(call);
    }
    else {
        dispatch_submit(call);
    }
    call_unref(call);
}
