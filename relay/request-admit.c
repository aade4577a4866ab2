#include "peers.h"
#include "request.h"

#include <string.h>

/* Admission by priority: see balance/admission.c. */

/* Retry-After of a less urgent request that found no room, ms: one of the
 * long answers that hold the slots ends within this time. */
#define RETRY_AFTER_MIN_MS 300
#define RETRY_AFTER_SPREAD_MS 2500
/* Callers wait for at most this part of the time that they have left. */
#define RETRY_AFTER_DIVISOR 3

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
    request->service_state =
        service_states_get(&request->relay->service_states, request->service);
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
request_admission_input(const request_t *request, const server_t *server,
                        int64_t now)
{
    return (admission_input_t){
        .slots = server->info.slots,
        .in_flight = server_count_in_flight(server, now),
        .reserve = request->reserve,
        .wait_ms = request->expected_wait_ms,
        .prefill_ms = request->expected_prefill_ms,
        .target_ms = request->route->target_latency_ms,
        .remaining_ms = request->deadline_ms - now,
        .waited_here_ms =
            request->waits_since_ms != 0 ? now - request->waits_since_ms : 0,
        .most_urgent = request->most_urgent};
}

/* Whether a server has room for the request besides the slots that are kept
 * for more urgent ones. */
bool
request_finds_room(const request_t *request, const server_t *server,
                   int64_t now)
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
    const service_state_t *state = request->service_state;
    const relay_service_t *service =
        relay_config_find_service(request->config, request->service);
    if (state != NULL && service != NULL) {
        request->reserve =
            reserve_slots(&state->reserve, request->priority_class,
                          peers_recent_count(request->relay->peers),
                          count_servers(request, now), service->slots);
    }
}

static int64_t
retry_after_ms(request_t *request, int64_t remaining_ms)
{
    int64_t ms =
        RETRY_AFTER_MIN_MS +
        (int64_t)rng_below(&request->relay->rng, RETRY_AFTER_SPREAD_MS);
    int64_t max_ms = remaining_ms / RETRY_AFTER_DIVISOR;
    return ms < max_ms ? ms : max_ms;
}

/* Sends the request to a server, rejects it or lets it wait for room; false if
 * it waits. */
bool
request_admit(request_t *request, server_t *server, int64_t now)
{
    service_state_t *state = request->service_state;
    const admission_input_t input =
        request_admission_input(request, server, now);
    admission_t admission = request->possible_runs > 0
                                ? (admission_t){ADMISSION_SEND, NULL}
                                : admission_decide(&input);
    switch (admission.verdict) {
        case ADMISSION_SEND:
            state->sent[request->priority_class]++;
            request_send(request, server);
            return true;
        case ADMISSION_WAIT:
            if (request->waits_since_ms == 0) {
                request->waits_since_ms = now;
                state->waited[request->priority_class]++;
                request->placement_deadline_ms =
                    now +
                    admission_wait_max_ms(input.target_ms,
                                          input.remaining_ms) +
                    RELAY_TICK_MS;
            }
            return false;
        case ADMISSION_REJECT:
            break;
    }
    state->rejected[request->priority_class]++;
    log_record(LOG_INFO, "place", "no-room",
               "id=%s why=%s class=%u server=%s in_flight=%d slots=%d "
               "reserve=%.1f wait_ms=%.0f read_ms=%.0f waited_ms=%lld",
               request->id, admission.reason, request->priority_class,
               server->info.id, input.in_flight, input.slots, input.reserve,
               input.wait_ms, input.prefill_ms,
               (long long)input.waited_here_ms);
    request_reject(request, admission.reason,
                   retry_after_ms(request, input.remaining_ms));
    return true;
}
