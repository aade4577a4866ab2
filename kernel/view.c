#include "tables.h"

#include <stdlib.h>
#include <string.h>

/* What this daemon believes of each backend server.  A load report lags, so
 * it is corrected by what this daemon has sent since. */

#define FAILURES_TO_BREAK 3
#define BREAK_MS 1000
#define BREAK_MAX_MS 8000
#define SLOWNESS_WEIGHT 0.1
#define SLOWNESS_MAX 20.0
#define RATE_UNKNOWN 20000.0
#define SLOTS_UNKNOWN 64
#define INDEX_SIZE (BACKENDS_MAX * 4)

struct view {
    pthread_mutex_t lock;
    size_t count;
    backend_state_t states[BACKENDS_MAX];
    uint16_t index[INDEX_SIZE]; /* number + 1 by hash of the name, 0 empty */
};

/* An empty view. */
view_t *
view_new(void)
{
    view_t *view = mem_zalloc(sizeof(*view));
    (void)pthread_mutex_init(&view->lock, NULL);
    return view;
}

void
view_free(view_t *view)
{
    (void)pthread_mutex_destroy(&view->lock);
    free(view);
}

/* Where a name stands in the index, or would stand. */
static size_t
index_of(const view_t *view, const char *name)
{
    size_t at = str_hash(name, 0) % INDEX_SIZE;
    while (view->index[at] != 0 &&
           strcmp(view->states[view->index[at] - 1].name, name) != 0) {
        at = (at + 1) % INDEX_SIZE;
    }
    return at;
}

/* The number under which a backend server stands in the tables of this
 * process, for its life.  Past BACKENDS_MAX names all share the last. */
uint16_t
view_assign_id(view_t *view, const char *name)
{
    LOCK_SCOPE(&view->lock);
    size_t at = index_of(view, name);
    if (view->index[at] != 0) {
        return view->index[at] - 1;
    }
    if (view->count == BACKENDS_MAX) {
        return BACKENDS_MAX - 1;
    }
    backend_state_t *state = &view->states[view->count++];
    str_copy(state->name, sizeof(state->name), name);
    state->slowness = 1;
    view->index[at] = (uint16_t)view->count;
    return (uint16_t)(view->count - 1);
}

size_t
view_count(view_t *view)
{
    LOCK_SCOPE(&view->lock);
    return view->count;
}

/* A copy of one server's state. */
bool
view_get(view_t *view, uint16_t id, backend_state_t *out)
{
    LOCK_SCOPE(&view->lock);
    if (id >= view->count) {
        return false;
    }
    *out = view->states[id];
    return true;
}

/* Take a load report in; true if it shows another incarnation or version
 * than the one before, so that what was cached there is gone. */
bool
view_apply_report(view_t *view, uint16_t id, const load_report_t *report,
                  int64_t now_ms)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    bool changed =
        state->reported &&
        (strcmp(state->load.incarnation, report->incarnation) != 0 ||
         strcmp(state->load.version, report->version) != 0);
    state->load = *report;
    state->reported = true;
    state->reported_ms = now_ms;
    state->sent_since_report = 0;
    return changed;
}

/* Note what peers have been told of a server's load. */
void
view_record_announced(view_t *view, uint16_t id, const load_report_t *report,
                      int64_t now_ms)
{
    LOCK_SCOPE(&view->lock);
    view->states[id].announced = *report;
    view->states[id].announced_ms = now_ms;
}

/* Note the weights that a server itself has just told of. */
void
view_set_version(view_t *view, uint16_t id, const char *version)
{
    LOCK_SCOPE(&view->lock);
    str_copy(view->states[id].load.version, CS_NAME_MAX, version);
}

/* Count a request that goes out, by its uncached tokens. */
void
view_add_request(view_t *view, uint16_t id, double tokens)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    state->sent_since_report += tokens;
    state->own_waiting_tokens += tokens;
    state->own_running++;
}

static void
waiting_less(backend_state_t *state, double tokens)
{
    state->own_waiting_tokens -= tokens;
    state->sent_since_report -= tokens;
    state->own_waiting_tokens =
        state->own_waiting_tokens < 0 ? 0 : state->own_waiting_tokens;
    state->sent_since_report =
        state->sent_since_report < 0 ? 0 : state->sent_since_report;
}

/* Count a first token.  How the time observed compares with the time that
 * was expected at sending shows a server that is slow, not dead. */
void
view_record_first_token(view_t *view, uint16_t id, double tokens,
                        double expected_ms, double observed_ms)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    double floor = 5.0;
    double ratio = (observed_ms + floor) / (expected_ms + floor);
    waiting_less(state, tokens);
    ratio = ratio > SLOWNESS_MAX ? SLOWNESS_MAX : ratio;
    state->slowness += SLOWNESS_WEIGHT * (ratio - state->slowness);
    state->slowness = state->slowness < 1 ? 1 : state->slowness;
}

/* Count the end of a request that had or had not brought a first token. */
void
view_remove_request(view_t *view, uint16_t id, bool started, double tokens)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    if (!started) {
        waiting_less(state, tokens);
    }
    state->own_running -= state->own_running > 0;
}

/* Count a failure; a few in a row open the circuit, each time for longer. */
void
view_record_failure(view_t *view, uint16_t id, int64_t now_ms)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    state->consecutive_failures++;
    if (state->consecutive_failures < FAILURES_TO_BREAK) {
        return;
    }
    unsigned times = state->consecutive_failures - FAILURES_TO_BREAK;
    int64_t span = BREAK_MS << (times > 3 ? 3 : times);
    state->circuit_open_until_ms =
        now_ms + (span > BREAK_MAX_MS ? BREAK_MAX_MS : span);
}

/* Count a success, which closes the circuit. */
void
view_record_success(view_t *view, uint16_t id)
{
    LOCK_SCOPE(&view->lock);
    view->states[id].consecutive_failures = 0;
    view->states[id].circuit_open_until_ms = 0;
}

/* Note what the platform's host list says. */
void
view_set_host_leaving(view_t *view, uint16_t id, bool leaving)
{
    LOCK_SCOPE(&view->lock);
    view->states[id].host_leaving = leaving;
}

/* Note up to which cache event a server's stream has been read. */
void
view_set_last_event(view_t *view, uint16_t id, const char *incarnation,
                    uint64_t after)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    state->last_event = after;
    str_copy(state->events_incarnation, sizeof(state->events_incarnation),
             incarnation);
}

/* Tokens a second that a server prefills, by its report and our timing. */
double
view_prefill_rate(const backend_state_t *state)
{
    double rate =
        state->load.prefill_rate > 0 ? state->load.prefill_rate : RATE_UNKNOWN;
    return rate / state->slowness;
}

/* Expected wait before a request that is sent now is begun, in ms. */
double
view_expected_wait_ms(const backend_state_t *state)
{
    double tokens = state->load.waiting_tokens + state->sent_since_report;
    int slots = state->load.slots > 0 ? state->load.slots : SLOTS_UNKNOWN;
    int running = state->load.running > state->own_running
                      ? state->load.running
                      : state->own_running;
    if (tokens < state->own_waiting_tokens) {
        tokens = state->own_waiting_tokens;
    }
    double wait = tokens * 1000.0 / view_prefill_rate(state);
    if (running >= slots) {
        wait += 20.0 * (running - slots + 1);
    }
    return wait;
}
