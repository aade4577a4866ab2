#include "peers.h"
#include "request.h"

#include <stddef.h>
#include <string.h>

/* Admission by priority: see balance/admission.c. */

static request_t *
request_from_item(wait_item_t *item)
{
    return (request_t *)((char *)item - offsetof(request_t, wait_item));
}

/* Returns the class in which the request waits: a workspace's priority takes
 * precedence over that of the route. */
static unsigned
request_queue_class(const request_t *request)
{
    return request->workspace != NULL && request->workspace->has_priority
               ? priority_class(request->workspace->priority)
               : request->priority_class;
}

/* Sets how the request's service admits it.  Slots are kept free by the
 * priority of the route, since that says how long such a request can wait; the
 * priority of a workspace orders the requests that wait. */
void
request_set_admission(request_t *request)
{
    const relay_service_t *service =
        relay_config_find_service(request->config, request->service);
    request->service_state = NULL;
    if (service == NULL || !service->priority_admission) {
        return;
    }
    request->priority_class = priority_class(request->route->priority);
    request->most_urgent =
        request->priority_class <= service->most_urgent_class;
    service_states_t *states = &request->relay->service_states;
    rng_t *rng = &request->relay->rng;
    int64_t now = time_mono_ms();
    request->service_state = service_states_find(states, request->service);
    if (request->service_state == NULL) {
        /* The state of an explained request is freed with it. */
        request->service_state =
            request->explained
                ? service_state_new(request->service, rng, now)
                : service_states_get(states, request->service, rng, now);
    }
}

/* Records how long the caller of a new request has waited before. */
void
request_note_caller_wait(request_t *request, int64_t stated_ms)
{
    service_state_t *state = request->service_state;
    if (state == NULL) {
        return;
    }
    request->waited_before_ms = caller_wait_observe(
        &state->caller_waits, str_hash(request->route->name, 0), stated_ms);
    if (request->waited_before_ms > 0) {
        return_times_note_returned(&state->return_times,
                                   request->priority_class,
                                   request->waited_before_ms, time_mono_ms());
    }
}

/* Counts the request among those that this host has at the service's engines.
 */
void
request_count_in_flight(request_t *request, bool in_flight)
{
    service_state_t *state = request->service_state;
    if (state == NULL || request->counted_in_flight == in_flight) {
        return;
    }
    request->counted_in_flight = in_flight;
    state->in_flight[request->priority_class] += in_flight ? 1 : -1U;
}

/* Returns the servers that new requests of the service may go to. */
static size_t
count_servers(const request_t *request, int64_t now)
{
    size_t count = 0;
    const server_t *server;
    CK_LIST_FOREACH (server, &request->relay->servers->list, entry) {
        if (strcmp(server->info.service, request->service) == 0 &&
            server_is_usable(server, now)) {
            count++;
        }
    }
    return count;
}

/* Returns what the decision to send the request to a server depends on. */
admission_input_t
request_admission_input(request_t *request, const server_t *server,
                        int64_t now)
{
    return (admission_input_t){
        .slots = server->info.slots,
        .in_flight = server_count_in_flight(server, now),
        .reserve = request->reserve,
        .class_share = reserve_class_share(request->service_state->in_flight,
                                           request->priority_class),
        .wait_ms = wait_forecast_correct(
            &request->service_state->wait_forecasts[request->priority_class],
            request->expected_wait_ms),
        .prefill_ms = request->expected_prefill_ms,
        .target_ms = request->route->target_latency_ms,
        .remaining_ms = request->deadline_ms - now,
        .waited_here_ms =
            request->waits_since_ms != 0 ? now - request->waits_since_ms : 0,
        .wait_max_ms =
            request->wait_item.deadline_ms - request->waits_since_ms,
        .over_share = request_is_queued(request) &&
                      wait_queue_over_share(&request->service_state->queue,
                                            &request->wait_item),
        .most_urgent = request->most_urgent};
}

/* Whether a server has room for the request besides the slots that are kept
 * for more urgent ones. */
bool
request_finds_room(request_t *request, const server_t *server, int64_t now)
{
    if (request->service_state == NULL) {
        return true;
    }
    const admission_input_t input =
        request_admission_input(request, server, now);
    return admission_has_room(&input);
}

/* Sets the slots that the request leaves free for more urgent ones. */
void
request_set_reserve(request_t *request, int64_t now)
{
    service_state_t *state = request->service_state;
    const relay_service_t *service =
        relay_config_find_service(request->config, request->service);
    if (state != NULL && service != NULL) {
        request->reserve =
            reserve_slots(&state->reserve, request->priority_class,
                          peers_recent_count(request->relay->peers),
                          count_servers(request, now), service->slots);
        state->kept_free[request->priority_class] = request->reserve;
    }
}

/* Rejects the request and states when its caller should return: in the order
 * of urgency and of the time that callers have waited. */
static void
reject(request_t *request, const char *reason, int64_t now)
{
    service_state_t *state = request->service_state;
    int64_t after_ms = return_time_next(
        &state->return_times, request->priority_class,
        request->waited_before_ms + now - request->received_ms,
        request->deadline_ms - now, now);
    state->rejected[request->priority_class]++;
    request_reject(request, reason, after_ms);
}

/* Rejects the requests whose wait has ended. */
static void
reject_expired(service_state_t *state, int64_t now)
{
    wait_item_t *item;
    while ((item = wait_queue_expired(&state->queue, now)) != NULL) {
        request_t *request = request_from_item(item);
        log_record(LOG_INFO, "place", "no-room",
                   "id=%s why=waited class=%u reserve=%.1f waited_ms=%lld "
                   "waited_before_ms=%lld",
                   request->id, request->priority_class, request->reserve,
                   (long long)(now - request->waits_since_ms),
                   (long long)request->waited_before_ms);
        reject(request, "no-room", now);
    }
}

/* Places requests that wait, in their order.  A send that fails at once may
 * come back here; it is placed by the round that is under way. */
static void
place_queued(relay_t *relay, service_state_t *state)
{
    unsigned failures = 0;
    wait_item_t *item = wait_queue_first(&state->queue);
    if (state->placing) {
        return;
    }
    state->placing = true;
    while (item != NULL) {
        request_t *request = request_from_item(item);
        if (failures >= REQUEST_QUEUE_FAILURES_MAX && !request->most_urgent) {
            item = wait_queue_next(&state->queue, item);
        }
        else if (request_place(request)) {
            /* The order may have changed. */
            item = wait_queue_first(&state->queue);
        }
        else {
            failures++;
            item = wait_queue_next(&state->queue, item);
        }
    }
    state->placing = false;
    if (wait_queue_total(&state->queue) > 0) {
        relay_schedule_queues(relay);
    }
}

/* Returns when the wait of a request for room ends.  One of the most urgent
 * class waits for a usable server only. */
static int64_t
wait_deadline_ms(const request_t *request, int64_t now)
{
    int64_t remaining_ms = request->deadline_ms - now;
    int64_t max_ms =
        admission_wait_max_ms(request->route->target_latency_ms, remaining_ms);
    if (request->most_urgent) {
        return request->placement_deadline_ms;
    }
    int64_t wait_ms = return_wait_ms(&request->service_state->return_times,
                                     request->priority_class, max_ms,
                                     request->waited_before_ms, remaining_ms);
    /* Without a wait it is tried once. */
    return now + (wait_ms > 0 ? wait_ms : 1);
}

/* Whether the request has to go through the queue of its service: all new ones
 * do, so that they do not overtake those that wait. */
bool
request_must_queue(const request_t *request)
{
    return request->service_state != NULL && !request_is_queued(request) &&
           request->sends == 0 && request->possible_runs == 0 &&
           request->software == SOFTWARE_ANY;
}

/* Sets how and until when the request would wait in the queue. */
void
request_prepare_wait(request_t *request, int64_t now)
{
    request->wait_item =
        (wait_item_t){.priority_class = request_queue_class(request),
                      .workspace = request->workspace != NULL
                                       ? str_hash(request->workspace->name, 0)
                                       : 0,
                      .cost = (double)request->prompt.prompt_tokens,
                      .waited_ms = request->waited_before_ms,
                      .arrived_ms = request->received_ms,
                      .deadline_ms = wait_deadline_ms(request, now)};
    request->waits_since_ms = now;
}

/* Puts the request into the queue of its service and places what has room; it
 * is rejected if the queue is full. */
void
request_enqueue(request_t *request, int64_t now)
{
    service_state_t *state = request->service_state;
    wait_item_t *evicted;
    request_prepare_wait(request, now);
    bool queued =
        wait_queue_push(&state->queue, &request->wait_item, now, &evicted);
    if (evicted != NULL) {
        reject(request_from_item(evicted), "queue-full", now);
    }
    if (!queued) {
        reject(request, "queue-full", now);
        return;
    }
    place_queued(request->relay, state);
}

/* Removes the request from the queue of its service. */
void
request_leave_queue(request_t *request, bool placed)
{
    if (request->service_state != NULL && request->wait_item.flow != NULL) {
        wait_queue_remove(&request->service_state->queue, &request->wait_item,
                          placed);
    }
}

/* Whether the request waits for room at an engine. */
bool
request_is_queued(const request_t *request)
{
    return request->wait_item.flow != NULL;
}

static void
log_rejection(const request_t *request, const server_t *server,
              const admission_input_t *input, const char *reason)
{
    log_record(LOG_INFO, "place", "no-room",
               "id=%s why=%s class=%u server=%s in_flight=%d slots=%d "
               "reserve=%.1f wait_ms=%.0f read_ms=%.0f waited_ms=%lld "
               "waited_before_ms=%lld",
               request->id, reason, request->priority_class, server->info.id,
               input->in_flight, input->slots, input->reserve, input->wait_ms,
               input->prefill_ms, (long long)input->waited_here_ms,
               (long long)request->waited_before_ms);
}

/* Decides whether the request is sent to the chosen server, waits or is
 * rejected. */
admission_t
request_decide_admission(const request_t *request,
                         const admission_input_t *input)
{
    return request->possible_runs > 0
               ? (admission_t){ADMISSION_SEND, false, NULL}
               : admission_decide(input);
}

/* Sends the request to a server, rejects it or lets it wait for room; false if
 * it waits. */
bool
request_admit(request_t *request, server_t *server, int64_t now)
{
    service_state_t *state = request->service_state;
    const admission_input_t input =
        request_admission_input(request, server, now);
    admission_t admission = request_decide_admission(request, &input);
    switch (admission.verdict) {
        case ADMISSION_SEND:
            state->sent[request->priority_class]++;
            return_times_note_admitted(&state->return_times,
                                       request->priority_class, now);
            request->raised = admission.raised;
            request_send(request, server);
            return true;
        case ADMISSION_WAIT:
            state->waited[request->priority_class] +=
                request->found_no_room ? 0 : 1;
            request->found_no_room = true;
            return false;
        case ADMISSION_REJECT:
            break;
    }
    log_rejection(request, server, &input, admission.reason);
    reject(request, admission.reason, now);
    return true;
}

/* Places what waits in the queues of all services, and rejects those whose
 * wait has ended. */
void
requests_place_queued(relay_t *relay)
{
    service_state_t *state;
    int64_t now = time_mono_ms();
    CK_SLIST_FOREACH (state, &relay->service_states, entry) {
        reject_expired(state, now);
        place_queued(relay, state);
    }
}

/* Learns how long the request waited at its engine. */
void
request_note_engine_wait(const request_t *request, double first_ms)
{
    service_state_t *state = request->service_state;
    if (state != NULL && request->possible_runs == 0) {
        wait_forecast_observe(&state->wait_forecasts[request->priority_class],
                              request->expected_wait_ms,
                              first_ms - request->expected_prefill_ms -
                                  server_first_token_ms(request->server));
    }
}
