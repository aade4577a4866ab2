#include "peers.h"
#include "request.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

/* Forwards a request to another host while this one reaches no server of its
 * service, and passes on what that host answers.  A forwarded request is never
 * forwarded again.  The limit of its workspace is charged by the host that got
 * it from the caller; retries and limits of servers are counted by the host
 * that sends it to them. */

#define CONNECT_TIMEOUT_MS 250
/* A host that has not begun its answer after this time is looked up among the
 * live ones. */
#define HELPER_SILENCE_MS 1000
/* Retry-After of a rejection that states none, ms. */
#define RETRY_AFTER_DEFAULT_MS 250

/* ---- the request ---- */

static void
add_header(buf_t *out, wire_header_t header, const char *value)
{
    buf_fmt(out, "%s: %s\r\n", wire_header_name(header), value);
}

static void
build_head(const request_t *request, buf_t *out)
{
    const http_head_t *head = request->head;
    const header_t *key =
        http_head_find(head, wire_header_name(HEADER_ACCESS_KEY));
    char text[64];
    request_add_line(request, out);
    request_add_caller_headers(request, out);
    if (key != NULL) {
        buf_fmt(out, "%s: %.*s\r\n", wire_header_name(HEADER_ACCESS_KEY),
                (int)key->value.len, http_head_at(head, key->value));
    }
    (void)snprintf(text, sizeof(text), "%lld",
                   (long long)(request->deadline_ms - request->sent_ms));
    add_header(out, HEADER_DEADLINE, text);
    (void)snprintf(text, sizeof(text), "%d,%d,%u,%llx,%d,%llx",
                   request->possible_runs, request->shares_counted,
                   request->last_tried, (unsigned long long)request->software,
                   request_can_move(request),
                   (unsigned long long)str_hash(request->service, 0));
    add_header(out, HEADER_FORWARDED, text);
    request_end_head(request, out);
}

static bool
copy_forwarded_header(const http_head_t *head, char *text, size_t size)
{
    const header_t *header =
        http_head_find(head, wire_header_name(HEADER_FORWARDED));
    text[0] = '\0';
    if (header != NULL) {
        http_head_copy(head, header->value, text, size);
    }
    return header != NULL;
}

/* Excludes a server that another host has sent the request to. */
static void
note_tried_elsewhere(request_t *request, unsigned id_hash)
{
    const server_t *server =
        servers_find_by_id_hash(request->relay->servers, id_hash);
    if (server != NULL) {
        request_note_tried(request, server);
    }
}

/* Reads how often a request that another host forwards may have run, whether
 * its retry shares have counted it, which server it was last sent to, and the
 * service and software version at which its stream has to go on. */
void
request_read_forwarded(request_t *request)
{
    char text[64];
    int runs = 0;
    int counted = 0;
    unsigned last_tried = 0;
    unsigned long long software = SOFTWARE_ANY;
    unsigned long long service = 0;
    int can_move = 0;
    (void)copy_forwarded_header(request->head, text, sizeof(text));
    (void)sscanf(text, "%d,%d,%u,%llx,%d,%llx", &runs, &counted, &last_tried,
                 &software, &can_move, &service);
    note_tried_elsewhere(request, last_tried);
    request->from_host = true;
    request->software = software;
    request->first_host_can_move = can_move != 0;
    if (software != SOFTWARE_ANY) {
        request->origin_service = service;
        request_select_service(request);
    }
    request->runs_before = runs > 0 ? runs : 0;
    request->possible_runs = request->runs_before;
    request->sends = request->runs_before;
    request->shares_counted = counted != 0;
}

/* ---- the answer ---- */

/* Adds the server that the request was last sent to and its software version,
 * for the host that has forwarded the request. */
void
request_add_last_tried(const request_t *request, buf_t *headers)
{
    char text[64];
    (void)snprintf(text, sizeof(text), "%u,%llx", request->last_tried,
                   (unsigned long long)request->current_software);
    add_header(headers, HEADER_FORWARDED, text);
}

static void
read_last_tried(request_t *request, const http_head_t *head)
{
    char text[64];
    unsigned last_tried = 0;
    unsigned long long software = SOFTWARE_UNKNOWN;
    if (copy_forwarded_header(head, text, sizeof(text))) {
        (void)sscanf(text, "%u,%llx", &last_tried, &software);
        note_tried_elsewhere(request, last_tried);
        request->current_software = software;
    }
}

/* Returns what another host that has not taken the request refuses. */
static refusal_scope_t
read_refusal_scope(const http_head_t *head)
{
    char reason[64];
    if (head->status / 100 == 4 && head->status != 429) {
        return REFUSED_REQUEST;
    }
    (void)copy_forwarded_header(head, reason, sizeof(reason));
    if (strcmp(reason, REASON_SERVICE_UNREACHED) == 0) {
        return REFUSED_SERVICE;
    }
    return strcmp(reason, REASON_NOT_LET_IN) == 0 ? REFUSED_REQUEST
                                                  : REFUSED_ALL;
}

/* Classifies an answer.  Rejections of the other host itself carry no
 * signature; those that another host may overcome are ANSWER_REJECTED, the
 * others ANSWER_NONE. */
static answer_class_t
classify(const request_t *request, const http_head_t *head)
{
    if (http_head_find(head, wire_header_name(HEADER_SIGNATURE)) == NULL) {
        if (head->status == 503 &&
            http_head_find(head, wire_header_name(HEADER_FORWARDED)) != NULL) {
            return ANSWER_REJECTED;
        }
        bool lags = head->status / 100 == 4 && head->status != 429;
        return lags ? ANSWER_REJECTED : ANSWER_NONE;
    }
    if (request->route->kind == ROUTE_STREAM && head->status == 200) {
        return ANSWER_STREAM;
    }
    if (request->phase == REQUEST_STREAMING) {
        return ANSWER_INVALID;
    }
    return head->status >= 500 ? ANSWER_FAILED : ANSWER_BUFFER;
}

static int64_t
read_retry_after(const http_head_t *head)
{
    const header_t *header =
        http_head_find(head, wire_header_name(HEADER_RETRY_AFTER));
    char text[32];
    if (header == NULL) {
        return RETRY_AFTER_DEFAULT_MS;
    }
    http_head_copy(head, header->value, text, sizeof(text));
    double ms = strtod(text, NULL) * 1000;
    return ms >= 1 ? (int64_t)ms : RETRY_AFTER_DEFAULT_MS;
}

static head_action_t
on_head(void *arg, const http_head_t *head)
{
    request_t *request = arg;
    switch (request_answer_id(request, head)) {
        case ANSWER_ID_OWN:
            break;
        case ANSWER_ID_NONE:
            request->answer = ANSWER_INVALID;
            exchange_stop(request->exchange);
            return HEAD_DISCARD;
        case ANSWER_ID_OTHER:
            return HEAD_SKIP;
    }
    request->answer = classify(request, head);
    request->status = head->status;
    request->helper_retry_after_ms = read_retry_after(head);
    request->refusal_scope = read_refusal_scope(head);
    read_last_tried(request, head);
    switch (request->answer) {
        case ANSWER_BUFFER:
        case ANSWER_FAILED:
        case ANSWER_STREAM:
            helpers_note_served(&request->relay->helpers, request->helper,
                                time_mono_ms());
            if (request->phase != REQUEST_STREAMING) {
                request_copy_answer_headers(request, head);
            }
            break;
        case ANSWER_NONE:
        case ANSWER_REJECTED:
        case ANSWER_INVALID:
            break;
    }
    return request_uses_body(request) ? HEAD_ACCEPT : HEAD_DISCARD;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    request_take_body(arg, data, len);
}

/* The other host did not take the request. */
static void
on_refused(request_t *request)
{
    helpers_t *helpers = &request->relay->helpers;
    int64_t now = time_mono_ms();
    request->relay->meter.forwards_refused++;
    switch (request->refusal_scope) {
        case REFUSED_ALL:
            helpers_avoid(helpers, request->helper, now);
            break;
        case REFUSED_SERVICE:
            helpers_avoid_service(helpers, request->helper,
                                  str_hash(request->service, 0), now);
            break;
        case REFUSED_REQUEST:
            break;
    }
    request->shares_counted = request->shares_counted_before;
    request_handle_failed_attempt(request, SEND_UNSENT);
}

/* The request may have run once at the other host, and its answer is not
 * complete. */
static void
on_possible_run(request_t *request)
{
    request->possible_runs++;
    request_handle_failed_attempt(request, SEND_UNKNOWN);
}

/* The answer broke off, or is none.  If it had begun, the other host may be
 * sound and its server have crashed. */
static void
on_broken(request_t *request)
{
    helpers_t *helpers = &request->relay->helpers;
    if (request->answer == ANSWER_STREAM || request->answer == ANSWER_BUFFER) {
        helpers_tried_set_broken(&request->helpers_tried, request->helper);
        helpers_note_broken(helpers, request->helper);
    }
    else {
        helpers_avoid(helpers, request->helper, time_mono_ms());
    }
    on_possible_run(request);
}

/* The other host answers for itself: 503 and 429 state that the request has
 * not run, 502 that it may have. */
static void
on_own_answer(request_t *request)
{
    bool not_run = request->status == 503 || request->status == 429;
    if (request->status == 502) {
        helpers_tried_remove(&request->helpers_tried, request->helper);
        on_possible_run(request);
        return;
    }
    if (!not_run) {
        request->possible_runs++;
        request_fail(request, request->status == 504 ? 504 : 502,
                     "failed-at-other-host");
        return;
    }
    if (request->possible_runs > 0) {
        request_handle_failed_attempt(request, SEND_UNSENT);
        return;
    }
    request_reject_with_status(request, request->status,
                               "rejected-by-other-host",
                               request->helper_retry_after_ms);
}

static void
on_complete_answer(request_t *request)
{
    switch (request->answer) {
        case ANSWER_BUFFER:
            request_record_first_answer(request);
            request_deliver(request, METER_ANSWERED, "answered");
            return;
        case ANSWER_FAILED:
            request_deliver(request, METER_SERVER_FAILURE, "server-failure");
            return;
        case ANSWER_STREAM:
            if (request->stream.partial.len > 0) {
                on_broken(request);
                return;
            }
            request_finish_stream(request);
            return;
        case ANSWER_REJECTED:
            on_refused(request);
            return;
        case ANSWER_NONE:
            on_own_answer(request);
            return;
        case ANSWER_INVALID:
            on_broken(request);
            return;
    }
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
            on_refused(request);
            return;
        case EXCHANGE_NO_ANSWER:
        case EXCHANGE_BROKEN:
        case EXCHANGE_MALFORMED:
        case EXCHANGE_TIMEOUT:
            break;
    }
    if (request->answer == ANSWER_REJECTED) {
        on_refused(request);
        return;
    }
    on_broken(request);
}

/* ---- attempts ---- */

/* Whether the request waits for the answer of another host that no longer
 * answers its peers. */
bool
request_helper_is_lost(const request_t *request, int64_t now)
{
    return request->helper[0] != '\0' && request->answer == ANSWER_NONE &&
           now - request->sent_ms >= HELPER_SILENCE_MS &&
           !peers_is_alive(request->relay->peers, request->helper);
}

/* Whether a server or a further host could take a request whose host does not
 * answer. */
bool
request_can_leave_helper(const request_t *request)
{
    member_t member;
    return request_find_alternative(request) != ALTERNATIVE_NONE ||
           peers_choose_helper(request->relay->peers, &request->helpers_tried,
                               request->service, &member);
}

/* Ends an attempt at another host. */
void
request_release_helper(request_t *request)
{
    if (request->helper[0] != '\0') {
        helpers_end(&request->relay->helpers, request->helper);
        request->helper[0] = '\0';
    }
}

static void
begin_attempt(request_t *request, const member_t *member)
{
    relay_t *relay = request->relay;
    request->sent_ms = time_mono_ms();
    request->weights_version = 0;
    request->current_software = SOFTWARE_UNKNOWN;
    request_begin_answer(request);
    request->refusal_scope = REFUSED_ALL;
    str_copy(request->helper, sizeof(request->helper), member->peer_addr);
    helpers_tried_add(&request->helpers_tried, member);
    helpers_begin(&relay->helpers, request->helper, request->sent_ms);
    relay->meter.forwards++;
    log_record(LOG_INFO, "request", "forwarded",
               "id=%s to=%s dc=%s tried=%zu runs=%d reach=%s", request->id,
               member->name, member->dc, request->helpers_tried.count,
               request->possible_runs, reach_state_name(relay->reach.state));
}

/* Whether a stream that has started should be forwarded: other hosts serve
 * forwarded requests, or none is there that would show whether they do.  If
 * the servers are silent for all hosts, the others wait for them. */
bool
request_may_forward(const request_t *request, int64_t now)
{
    const relay_t *relay = request->relay;
    member_t member;
    return !request->from_host && helpers_may_serve(&relay->helpers, now) &&
           peers_choose_helper(relay->peers, &request->helpers_tried,
                               request->service, &member);
}

/* Forwards the request to another host; false if there is none, or if it comes
 * from another host itself. */
bool
request_forward(request_t *request)
{
    relay_t *relay = request->relay;
    CLEAN_BUF buf_t head = {0};
    member_t member;
    if (request->from_host ||
        !peers_choose_helper(relay->peers, &request->helpers_tried,
                             request->service, &member)) {
        return false;
    }
    begin_attempt(request, &member);
    build_head(request, &head);
    request->shares_counted_before = request->shares_counted;
    request->shares_counted = true; /* by the other host, if it takes it */
    exchange_request_t options = {
        .addr = request->helper,
        .head = head.data,
        .head_len = head.len,
        .body = request->body->data,
        .body_len = request->body->len,
        .id = request->id,
        .body_kept = true,
        .no_response_body = request->head->method == HTTP_HEAD,
        .new_connection = request->possible_runs > 0,
        .silence_ms = request_silence_ms(request),
        .connect_ms = CONNECT_TIMEOUT_MS};
    exchange_hooks_t hooks = {on_head, on_body, on_end, request};
    request->exchange = exchange_start(relay->exchanges, &options, &hooks);
    request->connection_reused = exchange_is_reused(request->exchange);
    request->connection = exchange_connection(request->exchange)->serial;
    return true;
}
