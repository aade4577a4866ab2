#include "service-state.h"

#include <string.h>

/* Returns a new state that is not in a list. */
service_state_t *
service_state_new(const char *name, rng_t *rng, int64_t now_ms)
{
    service_state_t *state = mem_zalloc(sizeof(*state));
    str_copy(state->name, sizeof(state->name), name);
    wait_queue_init(&state->queue);
    return_times_init(&state->return_times, (rng_t){rng_next(rng)}, now_ms);
    return state;
}

/* Returns the state of a service, or NULL. */
service_state_t *
service_states_find(const service_states_t *states, const char *name)
{
    service_state_t *state;
    CK_SLIST_FOREACH (state, states, entry) {
        if (strcmp(state->name, name) == 0) {
            return state;
        }
    }
    return NULL;
}

/* Returns the state of a service, which is added if it is new.  Names of
 * services are few and stay. */
service_state_t *
service_states_get(service_states_t *states, const char *name, rng_t *rng,
                   int64_t now_ms)
{
    service_state_t *state = service_states_find(states, name);
    if (state == NULL) {
        state = service_state_new(name, rng, now_ms);
        CK_SLIST_INSERT_HEAD(states, state, entry);
    }
    return state;
}

/* Observes the requests in flight. */
void
service_states_tick(service_states_t *states, int64_t now_ms)
{
    service_state_t *state;
    CK_SLIST_FOREACH (state, states, entry) {
        reserve_observe(&state->reserve, state->in_flight, now_ms);
    }
}

void
service_states_write_metrics(const service_states_t *states, buf_t *out)
{
    const service_state_t *state;
    CK_SLIST_FOREACH (state, states, entry) {
        const char *name = str_escape(state->name);
        for (unsigned i = 0; i < PRIORITY_CLASSES; i++) {
            if (state->sent[i] + state->waited[i] + state->rejected[i] == 0) {
                continue;
            }
            buf_fmt(out,
                    "celeryspool_admission{service=\"%s\",class=\"%u\","
                    "verdict=\"sent\"} %llu\n"
                    "celeryspool_admission{service=\"%s\",class=\"%u\","
                    "verdict=\"waited\"} %llu\n"
                    "celeryspool_admission{service=\"%s\",class=\"%u\","
                    "verdict=\"rejected\"} %llu\n",
                    name, i, (unsigned long long)state->sent[i], name, i,
                    (unsigned long long)state->waited[i], name, i,
                    (unsigned long long)state->rejected[i]);
            buf_fmt(out,
                    "celeryspool_admission_reserve{service=\"%s\","
                    "class=\"%u\"} %.1f\n",
                    name, i, state->kept_free[i]);
            buf_fmt(out,
                    "celeryspool_wait_ratio{service=\"%s\",class=\"%u\"} "
                    "%.2f\n"
                    "celeryspool_wait_error_ms{service=\"%s\",class=\"%u\"} "
                    "%.1f\n",
                    name, i,
                    wait_forecast_correct(&state->wait_forecasts[i], 1), name,
                    i, state->wait_forecasts[i].error_ms);
        }
    }
}
