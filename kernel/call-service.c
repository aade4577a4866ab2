#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Calls to plain services.  One that may not be repeated is sent at most
 * once: with a key, by a claim in the log that no other host can win too;
 * without one, simply by never being sent a second time. */

#define CONNECT_MS 300
#define REPLY_MAX (4 << 20)
#define CLAIM_WAIT_MS 2000
#define RECORD_WAIT_MS 600000
#define OUTCOME_HEADER "X-Celeryspool-Outcome"
#define SERVICES "/v1/services/"
#define KEY_MAX 255
#define JSON_TYPE "application/json"

/* One exchange with a service. */
typedef struct {
    call_t *call;
    unsigned number;
} exchange_t;

static void
on_data(void *arg, int status, const char *data, size_t len)
{
    (void)status;
    exchange_t *exchange = arg;
    call_t *call = exchange->call;
    LOCK_SCOPE(&call->lock);
    service_call_t *service = &call->u.service;
    if (exchange->number != call->leg) {
        return;
    }
    if (service->reply.len + len > REPLY_MAX) {
        service->overflow = true;
        return;
    }
    buf_add(&service->reply, data, len);
}

static void
on_header(void *arg, const char *name, const char *value)
{
    exchange_t *exchange = arg;
    call_t *call = exchange->call;
    LOCK_SCOPE(&call->lock);
    if (exchange->number == call->leg &&
        strcasecmp(name, "Content-Type") == 0) {
        str_copy(call->u.service.reply_type,
                 sizeof(call->u.service.reply_type), value);
    }
}

/* Note in the claim log what came of a claimed call.  The call's lock is
 * held. */
void
service_record(call_t *call, claim_kind_t kind, int status)
{
    service_call_t *service = &call->u.service;
    if (!service->claimed) {
        return;
    }
    service->claimed = false;
    claim_op_t *op = claim_op_new(kind, service->key, service->token);
    op->status = status;
    op->deadline_ms = time_mono_ms() + RECORD_WAIT_MS;
    op->ready_ms = time_mono_ms() + CLAIM_RECORD_DELAY_MS;
    if (kind == CLAIM_OP_DONE && !service->overflow &&
        service->reply.len <= CLAIM_BODY_KEPT &&
        utf8_is_valid(buf_text(&service->reply), service->reply.len)) {
        op->body = strdup(buf_text(&service->reply));
    }
    claim_log_submit(call->daemon->claims, op);
}

static void
answer(call_t *call, int status)
{
    const service_call_t *service = &call->u.service;
    http_req_reply_header(call->req, OUTCOME_HEADER,
                          outcome_word(OUTCOME_DONE));
    http_req_reply(
        call->req, status,
        service->reply_type[0] == '\0' ? JSON_TYPE : service->reply_type,
        buf_text(&service->reply), service->reply.len);
    call_ended(call, OUTCOME_DONE);
}

/* The service has run, but its answer cannot be passed on whole. */
static void
answer_too_long(call_t *call)
{
    call_fail(call, 502, "answer_too_long", OUTCOME_DONE,
              "the call ran; its answer is longer than the router passes on");
}

/* Try another server, which is allowed where no byte was sent or where the
 * service may be asked again. */
static void
try_elsewhere(call_t *call, bool sent)
{
    candidate_t candidate;
    call_note_tried(call);
    if (call->attempts < TRIED_MAX && time_mono_ms() < call->deadline_ms &&
        dispatch_place(call, &candidate) &&
        (!sent || retry_budget_spend(&call->daemon->retries))) {
        service_leg_start(call, &candidate);
        return;
    }
    if (call->may_have_run) {
        call_fail(call, 502, "service_failed", OUTCOME_UNKNOWN,
                  "the service broke the connection; it may have run");
        return;
    }
    call_refuse(call, 503, "unreachable", 1,
                "no server of the service could be reached");
}

static void
ended(call_t *call, http_end_t end, int status)
{
    const service_call_t *service = &call->u.service;
    call_uncount(call);
    if (end == HTTP_END_WHOLE) {
        view_succeeded(call->daemon->view, call->backend_id);
        service_record(call, CLAIM_OP_DONE, status);
        if (service->overflow) {
            answer_too_long(call);
            return;
        }
        answer(call, status);
        return;
    }
    view_failed(call->daemon->view, call->backend_id, time_mono_ms());
    call->may_have_run = call->may_have_run || end != HTTP_END_UNSENT;
    if (end == HTTP_END_UNSENT || service->idempotent) {
        try_elsewhere(call, end != HTTP_END_UNSENT);
        return;
    }
    /* It may have run.  The claim stays without outcome, so that every other
     * attempt with this key is told the same. */
    call_fail(call, 502, "outcome_unknown", OUTCOME_UNKNOWN,
              "the connection broke after the call was sent; it may have run");
}

static void
on_end(void *arg, http_end_t end, int status)
{
    exchange_t *exchange = arg;
    call_t *call = exchange->call;
    celeryspoold_t *daemon = call->daemon;
    (void)pthread_mutex_lock(&call->lock);
    if (exchange->number == call->leg && call->phase != CALL_ENDED) {
        ended(call, end, status);
    }
    (void)pthread_mutex_unlock(&call->lock);
    call_release(call);
    free(exchange);
    dispatch_run(daemon);
}

static void
launch(call_t *call)
{
    CLEAN_BUF buf_t url = {0};
    char type[sizeof(call->u.service.type) + 16];
    service_call_t *service = &call->u.service;
    exchange_t *exchange = mem_zalloc(sizeof(*exchange));
    call_hold(call);
    exchange->call = call;
    exchange->number = ++call->leg;
    int64_t left = call->deadline_ms - time_mono_ms();
    buf_fmt(&url, "http://%s%s", call->addr, buf_text(&service->target));
    (void)snprintf(type, sizeof(type), "Content-Type: %s",
                   service->type[0] == '\0' ? JSON_TYPE : service->type);
    http_call_t ask = {.method = service->method,
                       .url = buf_text(&url),
                       .connect_ms = CONNECT_MS,
                       .total_ms = (int)(left < 1 ? 1 : left),
                       .fresh = !service->idempotent,
                       .on_header = on_header,
                       .on_data = on_data,
                       .on_end = on_end,
                       .arg = exchange};
    if (service->body.len > 0) {
        ask.body = buf_text(&service->body);
        ask.body_len = service->body.len;
    }
    ask.headers[0] = type;
    call->xfer = http_client_start(call->daemon->client, &ask);
}

/* Send a service call to the chosen server.  The call's lock is held. */
void
service_leg_start(call_t *call, const candidate_t *candidate)
{
    /* The last step before the call leaves: a host that was frozen since the
     * claim may find that its caller's time is over. */
    if (time_mono_ms() >= call->deadline_ms) {
        call_refuse(call, 504, "deadline", 1,
                    "the deadline passed before the call was sent");
        return;
    }
    call->backend_id = candidate->id;
    call->attempts++;
    call->phase = CALL_SENT;
    call->sent_us = time_mono_us();
    call->uncached = 0;
    call->counted = true;
    call->started = false;
    buf_free(&call->u.service.reply);
    view_sent(call->daemon->view, call->backend_id, 0);
    call_event(call, "placed", call->why);
    event_emit(&(event_t){.kind = "sent",
                          .request = call->id,
                          .workspace = call->workspace,
                          .backend = call->backend,
                          .sent = call->u.service.token});
    launch(call);
}

static void
replay(call_t *call, const claim_op_t *op)
{
    http_req_reply_header(call->req, "Idempotent-Replayed", "true");
    http_req_reply_header(call->req, OUTCOME_HEADER,
                          outcome_word(OUTCOME_DONE));
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
    call_ended(call, OUTCOME_DONE);
}

/* What the claim log says decides: send, repeat what came of it, or tell
 * that it is not known. */
static void
on_claim(claim_op_t *op, void *arg)
{
    call_t *call = arg;
    (void)pthread_mutex_lock(&call->lock);
    switch (op->state) {
        case CLAIM_WON:
            call->u.service.claimed = true;
            call_event(call, "claimed", NULL);
            (void)pthread_mutex_unlock(&call->lock);
            dispatch_push(call);
            call_release(call);
            return;
        case CLAIM_DONE:
            replay(call, op);
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
            call_refuse(call, 503, "claims_unavailable", 2,
                        "the platform's store cannot be asked now");
            break;
    }
    (void)pthread_mutex_unlock(&call->lock);
    call_release(call);
}

static void
claim(call_t *call)
{
    service_call_t *service = &call->u.service;
    int64_t now = time_mono_ms();
    claim_op_t *op =
        claim_op_new(CLAIM_OP_CLAIM, service->key, service->token);
    op->deadline_ms = now + CLAIM_WAIT_MS;
    if (op->deadline_ms > call->deadline_ms) {
        op->deadline_ms = call->deadline_ms;
    }
    op->done = on_claim;
    op->arg = call;
    call_hold(call);
    claim_log_submit(call->daemon->claims, op);
}

static bool
may_repeat(const service_t *service, const char *method)
{
    return service->idempotent || strcmp(method, "GET") == 0;
}

/* Serve /v1/services/NAME/REST. */
void
service_handle(celeryspoold_t *daemon, http_req_t *req,
               const workspace_t *workspace, const config_t *config)
{
    char name[CS_NAME_MAX];
    const char *from = http_req_path(req) + strlen(SERVICES);
    size_t len = strcspn(from, "/");
    const char *key = http_req_header(req, "Idempotency-Key");
    size_t body_len;
    const char *body = http_req_body(req, &body_len);
    str_copy(name, len + 1 < sizeof(name) ? len + 1 : sizeof(name), from);
    const service_t *service = config_find_service(config, name);
    http_req_reply_header(req, "X-Celeryspool-Service", name);
    if (service == NULL || (key != NULL && strlen(key) > KEY_MAX)) {
        http_req_reply_header(req, OUTCOME_HEADER,
                              outcome_word(OUTCOME_NOT_RUN));
        http_req_reply_error(
            req, service == NULL ? 404 : 400,
            service == NULL ? "unknown_service" : "bad_key",
            service == NULL ? "service %.64s is not declared"
                            : "Idempotency-Key of %.64s is over 255 bytes",
            name);
        return;
    }
    call_t *call = call_new(daemon, req, CALL_SERVICE, workspace, name);
    service_call_t *mine = &call->u.service;
    mine->method = strdup(http_req_method(req));
    buf_str(&mine->target, from[len] == '\0' ? "/" : "");
    http_req_target(req, strlen(SERVICES) + len, &mine->target);
    str_copy(mine->type, sizeof(mine->type),
             http_req_header(req, "Content-Type"));
    buf_add(&mine->body, body, body_len);
    mine->idempotent = may_repeat(service, mine->method);
    call->item.cost = 1;
    id_random(mine->token);
    retry_budget_earn(&daemon->retries);
    call_event(call, "received", key);
    if (key != NULL && !mine->idempotent) {
        claim_key(workspace->name, name, key, mine->key);
        claim(call);
    }
    else {
        dispatch_push(call);
    }
    call_release(call);
}
