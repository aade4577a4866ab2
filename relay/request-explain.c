#include "request-explain.h"

#include "peers.h"

#include <stdlib.h>
#include <string.h>

/* An explanation is made in one call of the event loop.  The random generator
 * and the count of placements are put back afterwards, so that the request is
 * placed as the next one will be. */

typedef struct {
    relay_t *relay;
    request_t request;
    placement_t placement;
    quota_preview_t quota;
    size_t ahead; /* requests that wait and would be placed before */
    int64_t now;
    const server_t *choice;
} explanation_t;

typedef struct {
    server_t *server;
    server_outlook_t outlook;
} server_row_t;

static double
round_tenth(double value)
{
    return (double)(int64_t)(value * 10 + (value < 0 ? -0.5 : 0.5)) / 10;
}

/* ---- the verdict ---- */

static json_t *
verdict_new(const char *decision, const char *why)
{
    json_t *verdict = json_pack("{s:s}", "decision", decision);
    if (why != NULL) {
        (void)json_object_set_new(verdict, "why", json_string(why));
    }
    return verdict;
}

/* A Retry-After that is drawn from a distribution is left out: 0. */
static json_t *
verdict_reject(int status, const char *why, int64_t min_ms, int64_t max_ms)
{
    json_t *verdict = verdict_new("reject", why);
    (void)json_object_set_new(verdict, "status", json_integer(status));
    if (max_ms > 0) {
        (void)json_object_set_new(
            verdict, "retry_after_ms",
            json_pack("[I,I]", (json_int_t)min_ms, (json_int_t)max_ms));
    }
    return verdict;
}

static json_t *
verdict_wait(const char *why, int64_t max_ms)
{
    json_t *verdict = verdict_new("wait", why);
    (void)json_object_set_new(verdict, "wait_max_ms", json_integer(max_ms));
    return verdict;
}

static json_t *
verdict_send(const server_t *server, bool raised)
{
    json_t *verdict = verdict_new("send", NULL);
    (void)json_object_set_new(verdict, "server", json_string(server->info.id));
    (void)json_object_set_new(verdict, "raised", json_boolean(raised));
    return verdict;
}

/* Decides on a request that no server can take now. */
static json_t *
decide_without_server(explanation_t *explanation)
{
    request_t *request = &explanation->request;
    relay_t *relay = explanation->relay;
    int64_t now = explanation->now;
    int64_t after_ms;
    int64_t spread_ms;
    const char *reason;
    member_t member;
    if (request_is_unreached(request, now)) {
        if (peers_choose_helper(relay->peers, &request->helpers_tried,
                                request->service, &member)) {
            return verdict_new("forward", "no-server-reached");
        }
        if (reach_is_lost(&relay->reach)) {
            return verdict_reject(503, "no-server-reached",
                                  RETRY_AFTER_UNREACHED_MS,
                                  RETRY_AFTER_UNREACHED_MS);
        }
    }
    else if (request_find_exclusion(request, now, &reason, &after_ms,
                                    &spread_ms) != NULL) {
        return verdict_reject(503, reason, after_ms, after_ms + spread_ms - 1);
    }
    return verdict_wait("no-server", (request_is_queued(request)
                                          ? request->wait_item.deadline_ms
                                          : request->placement_deadline_ms) -
                                         now);
}

/* Decides on a request for a server whose service admits by priority. */
static json_t *
decide_admission(explanation_t *explanation, server_t *server)
{
    request_t *request = &explanation->request;
    const admission_input_t input =
        request_admission_input(request, server, explanation->now);
    const admission_t admission = request_decide_admission(request, &input);
    switch (admission.verdict) {
        case ADMISSION_SEND:
            return verdict_send(server, admission.raised);
        case ADMISSION_WAIT:
            return verdict_wait(admission.reason, input.wait_max_ms);
        case ADMISSION_REJECT:
            break;
    }
    return verdict_reject(503, admission.reason, 0, 0);
}

static json_t *
decide_for_server(explanation_t *explanation, server_t *server)
{
    request_t *request = &explanation->request;
    if (request->service_state != NULL) {
        return decide_admission(explanation, server);
    }
    const admit_input_t input = request_admit_input(request, explanation->now);
    int64_t after_ms = admit_retry_after_ms(&input);
    return after_ms > 0 ? verdict_reject(503, "too-busy", after_ms, after_ms)
                        : verdict_send(server, false);
}

/* Prepares the request for its place in the queue of its service.  Returns a
 * verdict if it would not be placed at once, else NULL. */
static json_t *
decide_queue(explanation_t *explanation)
{
    request_t *request = &explanation->request;
    wait_queue_t *queue = &request->service_state->queue;
    int64_t now = explanation->now;
    request_prepare_wait(request, now);
    wait_item_t *item = &request->wait_item;
    explanation->ahead = wait_queue_count_ahead(queue, item);
    if (!wait_queue_would_accept(queue, item, now)) {
        return verdict_reject(503, "queue-full", 0, 0);
    }
    if (explanation->ahead >= REQUEST_QUEUE_FAILURES_MAX &&
        !request->most_urgent) {
        return verdict_wait("others-first", item->deadline_ms - now);
    }
    /* A workspace that is over its share is treated differently; one without
     * state is not over it. */
    item->flow = wait_queue_find_flow(queue, item);
    return NULL;
}

/* Decides on the request in the order in which request_begin and request_place
 * do. */
static json_t *
decide(explanation_t *explanation)
{
    relay_t *relay = explanation->relay;
    request_t *request = &explanation->request;
    int64_t now = explanation->now;
    explanation->quota = request_preview_quota(request);
    const quota_decision_t *quota = &explanation->quota.decision;
    if (!quota->allowed) {
        return verdict_reject(429, "quota", quota->retry_after_ms,
                              quota->retry_after_ms);
    }
    if (request->route->kind == ROUTE_STREAM &&
        (http_head_find(request->head,
                        wire_header_name(HEADER_LAST_EVENT_ID)) != NULL ||
         http_head_find(request->head, wire_header_name(HEADER_RESUMES)) !=
             NULL)) {
        return verdict_new("unknown", "stream-taken-up");
    }
    const fatal_part_t *part =
        fatal_parts_find_blocked(&relay->fatal_parts, &request->fatal);
    if (part != NULL && !request_may_try_part(request, part, now)) {
        int64_t after_ms = fatal_part_retry_after_ms(part, now);
        return verdict_reject(503, "fatal-part", after_ms, after_ms);
    }
    json_t *verdict =
        request->service_state != NULL ? decide_queue(explanation) : NULL;
    if (verdict != NULL) {
        return verdict;
    }
    server_t *server =
        request_decide_server(request, now, &explanation->placement);
    explanation->choice = server;
    return server != NULL ? decide_for_server(explanation, server)
                          : decide_without_server(explanation);
}

/* ---- servers ---- */

static bool
is_sampled(const placement_t *placement, const server_t *server)
{
    for (size_t i = 0; i < placement->sampled_count; i++) {
        if (placement->sampled[i] == server) {
            return true;
        }
    }
    return false;
}

static int
compare_costs(const void *a, const void *b)
{
    double x = ((const server_row_t *)a)->outlook.cost_ms;
    double y = ((const server_row_t *)b)->outlook.cost_ms;
    return (x > y) - (x < y);
}

static json_t *
server_to_json(explanation_t *explanation, const server_row_t *row)
{
    request_t *request = &explanation->request;
    const server_t *server = row->server;
    const server_outlook_t *outlook = &row->outlook;
    int64_t now = explanation->now;
    json_t *json =
        json_pack("{s:s,s:f,s:f,s:i,s:i,s:i,s:b}", "server", server->info.id,
                  "cost_ms", round_tenth(outlook->cost_ms), "wait_ms",
                  round_tenth(outlook->wait_ms), "in_flight",
                  server_count_in_flight(server, now), "slots",
                  server->info.slots, "pace_percent",
                  (int)(server_speed_pace(&server->speed, now) * 100 + 0.5),
                  "sampled", is_sampled(&explanation->placement, server));
    if (request->engine) {
        CLEAN_JSON json_t *engine =
            json_pack("{s:f,s:I,s:f,s:f,s:f,s:b,s:I}", "prefill_ms",
                      round_tenth(outlook->prefill_ms), "cached_tokens",
                      (json_int_t)outlook->cached_tokens, "reserve",
                      round_tenth(request->reserve), "tokens_per_ms",
                      round_tenth(outlook->prefill_rate), "speed_ratio",
                      server_work_ratio(server), "has_room",
                      request_finds_room(request, server, now), "weights",
                      (json_int_t)server->info.weights);
        (void)json_object_update(json, engine);
    }
    return json;
}

static json_t *
excluded_to_json(const server_t *server, const char *why, int64_t now)
{
    json_t *json =
        json_pack("{s:s,s:s}", "server", server->info.id, "why", why);
    int64_t wait_ms = server_request_wait_ms(server, now);
    if (strncmp(why, "server-", 7) == 0) {
        (void)json_object_set_new(json, "wait_ms", json_integer(wait_ms));
    }
    return json;
}

/* Lists the usable servers of the request's service, by expected cost, and the
 * others with what excludes them. */
static void
add_servers(explanation_t *explanation, json_t *out)
{
    request_t *request = &explanation->request;
    const servers_t *servers = explanation->relay->servers;
    json_t *usable = json_array();
    json_t *excluded = json_array();
    server_row_t *rows = mem_zalloc((servers->count + 1) * sizeof(*rows));
    size_t count = 0;
    server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (strcmp(server->info.service, request->service) != 0) {
            continue;
        }
        const char *why =
            request_server_obstacle(request, server, explanation->now);
        if (why != NULL) {
            (void)json_array_append_new(
                excluded, excluded_to_json(server, why, explanation->now));
            continue;
        }
        rows[count++] = (server_row_t){
            server, request_server_outlook(request, server, explanation->now)};
    }
    qsort(rows, count, sizeof(*rows), compare_costs);
    for (size_t i = 0; i < count; i++) {
        (void)json_array_append_new(usable,
                                    server_to_json(explanation, &rows[i]));
    }
    free(rows);
    (void)json_object_set_new(out, "servers", usable);
    (void)json_object_set_new(out, "excluded", excluded);
}

/* ---- the answer ---- */

static json_t *
quota_to_json(const explanation_t *explanation)
{
    const quota_preview_t *quota = &explanation->quota;
    const workspace_entry_t *workspace = explanation->request.workspace;
    if (!quota->limited || workspace == NULL) {
        return json_null();
    }
    return json_pack(
        "{s:s,s:f,s:f,s:b}", "unit",
        workspace->limit_unit == LIMIT_TOKENS ? "tokens" : "requests", "cost",
        quota->cost, "left", round_tenth(quota->left), "allowed",
        quota->decision.allowed);
}

/* Describes a request that was let in. */
static void
add_request(explanation_t *explanation, json_t *out)
{
    const request_t *request = &explanation->request;
    const workspace_entry_t *workspace = request->workspace;
    CLEAN_JSON json_t *facts = json_pack(
        "{s:s,s:s,s:s?,s:i,s:i,s:b,s:I,s:o}", "route", request->route->name,
        "service", request->service, "workspace",
        workspace != NULL ? workspace->name : NULL, "priority",
        workspace != NULL && workspace->has_priority
            ? workspace->priority
            : request->route->priority,
        "priority_class", (int)priority_class(request->route->priority),
        "admission_by_priority", request->service_state != NULL,
        "remaining_ms", (json_int_t)(request->deadline_ms - explanation->now),
        "limit", quota_to_json(explanation));
    (void)json_object_update(out, facts);
    if (request->engine) {
        CLEAN_JSON json_t *engine = json_pack(
            "{s:s,s:I,s:f}", "model", request->prompt.model, "prompt_tokens",
            (json_int_t)request->prompt.prompt_tokens,
            "expected_output_tokens",
            round_tenth(request_cost_output(&request->relay->costs,
                                            &request->cost_query)));
        (void)json_object_update(out, engine);
    }
    if (request->service_state != NULL) {
        (void)json_object_set_new(
            out, "waiting_ahead",
            json_integer((json_int_t)explanation->ahead));
        (void)json_object_set_new(
            out, "waited_before_ms",
            json_integer((json_int_t)request->waited_before_ms));
    }
}

static const char *
status_reason(int status)
{
    switch (status) {
        case 400:
            return "no-request-id";
        case 401:
            return "unknown-key";
        case 404:
            return "no-route";
        default:
            return "not-serving";
    }
}

static json_t *
explain(explanation_t *explanation, const http_head_t *head)
{
    relay_t *relay = explanation->relay;
    json_t *out = json_pack(
        "{s:s,s:I}", "host", relay->settings.name, "config",
        (json_int_t)(relay->config != NULL ? relay->config->version : 0));
    int status = request_begin_explained(&explanation->request, relay, head);
    if (status != 0) {
        (void)json_object_set_new(
            out, "verdict",
            verdict_reject(status, status_reason(status), 0, 0));
        return out;
    }
    explanation->now = time_mono_ms();
    json_t *verdict = decide(explanation);
    add_request(explanation, out);
    add_servers(explanation, out);
    (void)json_object_set_new(
        out, "compared",
        json_integer((json_int_t)explanation->placement.compared_count));
    (void)json_object_set_new(out, "choice",
                              explanation->choice != NULL
                                  ? json_string(explanation->choice->info.id)
                                  : json_null());
    (void)json_object_set_new(out, "verdict", verdict);
    return out;
}

/* Explains where a request with this head would go now. */
json_t *
request_explain(relay_t *relay, const http_head_t *head)
{
    const rng_t rng = relay->rng;
    uint64_t placement_count = relay->placement_count;
    explanation_t *explanation = mem_zalloc(sizeof(*explanation));
    explanation->relay = relay;
    json_t *out = explain(explanation, head);
    service_state_t *state = explanation->request.service_state;
    if (state != NULL &&
        service_states_find(&relay->service_states, state->name) != state) {
        free(state);
    }
    free(explanation);
    relay->rng = rng;
    relay->placement_count = placement_count;
    return out;
}
