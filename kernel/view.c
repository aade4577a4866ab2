#include "tables.h"

#include <stdlib.h>
#include <string.h>

/* The known state of each backend server.  A load report is always somewhat
 * out of date, so it is corrected by the requests that this daemon has sent
 * since it arrived. */

#define CIRCUIT_FAILURES_MIN 3
#define CIRCUIT_OPEN_MIN_MS 1000
#define CIRCUIT_OPEN_MAX_MS 8000
#define SLOWNESS_SMOOTHING 0.1
#define SLOWNESS_MAX 20.0
#define PREFILL_RATE_DEFAULT 20000.0
#define SLOTS_DEFAULT 64
#define INDEX_SIZE (BACKENDS_MAX * 4)

struct view {
    pthread_mutex_t lock;
    size_t count;
    backend_state_t states[BACKENDS_MAX];
    uint16_t index[INDEX_SIZE]; /* id + 1 by hash of the name; 0: empty slot */
};

/* Creates an empty view. */
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

/* Finds the index slot of a name, or the empty slot where it belongs. */
static size_t
find_slot(const view_t *view, const char *name)
{
    size_t slot = str_hash(name, 0) % INDEX_SIZE;
    while (view->index[slot] != 0 &&
           strcmp(view->states[view->index[slot] - 1].name, name) != 0) {
        slot = (slot + 1) % INDEX_SIZE;
    }
    return slot;
}

/* Returns the id of a backend server in the tables of this process, and
 * assigns one on first use.  Ids are never reused; when BACKENDS_MAX are
 * assigned, all further names share the last one. */
uint16_t
view_assign_id(view_t *view, const char *name)
{
    LOCK_SCOPE(&view->lock);
    size_t slot = find_slot(view, name);
    if (view->index[slot] != 0) {
        return view->index[slot] - 1;
    }
    if (view->count == BACKENDS_MAX) {
        return BACKENDS_MAX - 1;
    }
    backend_state_t *state = &view->states[view->count++];
    str_copy(state->name, sizeof(state->name), name);
    state->slowness = 1;
    view->index[slot] = (uint16_t)view->count;
    return (uint16_t)(view->count - 1);
}

size_t
view_count(view_t *view)
{
    LOCK_SCOPE(&view->lock);
    return view->count;
}

/* Copies the state of one server; false if the id is not assigned. */
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

/* Stores a load report.  Returns true if the incarnation or the weights
 * version differs from that of the previous report: the server's cache is then
 * empty. */
bool
view_apply_report(view_t *view, uint16_t id, const load_report_t *report,
                  int64_t now_ms)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    bool changed =
        state->reported &&
        (strcmp(state->load_report.incarnation, report->incarnation) != 0 ||
         strcmp(state->load_report.version, report->version) != 0);
    state->load_report = *report;
    state->reported = true;
    state->reported_ms = now_ms;
    state->sent_tokens_since_report = 0;
    return changed;
}

/* Records the load of a server that was last sent to peers. */
void
view_record_announced(view_t *view, uint16_t id, const load_report_t *report,
                      int64_t now_ms)
{
    LOCK_SCOPE(&view->lock);
    view->states[id].announced = *report;
    view->states[id].announced_ms = now_ms;
}

/* Records the weights version that a server has itself reported. */
void
view_set_version(view_t *view, uint16_t id, const char *version)
{
    LOCK_SCOPE(&view->lock);
    str_copy(view->states[id].load_report.version, CS_NAME_MAX, version);
}

/* Counts a request that is sent, with its uncached tokens. */
void
view_add_request(view_t *view, uint16_t id, double tokens)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    state->sent_tokens_since_report += tokens;
    state->own_waiting_tokens += tokens;
    state->own_running++;
}

static void
subtract_prefill(backend_state_t *state, double tokens)
{
    state->own_waiting_tokens -= tokens;
    state->sent_tokens_since_report -= tokens;
    state->own_waiting_tokens =
        state->own_waiting_tokens < 0 ? 0 : state->own_waiting_tokens;
    state->sent_tokens_since_report = state->sent_tokens_since_report < 0
                                          ? 0
                                          : state->sent_tokens_since_report;
}

/* Records the first token of a request.  The ratio of the observed time to
 * the time expected at sending detects a server that is slow but still
 * answers. */
void
view_record_first_token(view_t *view, uint16_t id, double tokens,
                        double expected_ms, double observed_ms)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    double floor_ms = 5.0;
    double ratio = (observed_ms + floor_ms) / (expected_ms + floor_ms);
    subtract_prefill(state, tokens);
    ratio = ratio > SLOWNESS_MAX ? SLOWNESS_MAX : ratio;
    state->slowness += SLOWNESS_SMOOTHING * (ratio - state->slowness);
    state->slowness = state->slowness < 1 ? 1 : state->slowness;
}

/* Counts the end of a request; started says whether it had a first token. */
void
view_remove_request(view_t *view, uint16_t id, bool started, double tokens)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    if (!started) {
        subtract_prefill(state, tokens);
    }
    state->own_running -= state->own_running > 0;
}

/* Records a failure.  CIRCUIT_FAILURES_MIN in a row open the circuit, and each
 * further one doubles the time that it stays open, up to a maximum. */
void
view_record_failure(view_t *view, uint16_t id, int64_t now_ms)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    state->consecutive_failures++;
    if (state->consecutive_failures < CIRCUIT_FAILURES_MIN) {
        return;
    }
    unsigned reopened = state->consecutive_failures - CIRCUIT_FAILURES_MIN;
    int64_t open_ms = CIRCUIT_OPEN_MIN_MS << (reopened > 3 ? 3 : reopened);
    state->circuit_open_until_ms =
        now_ms +
        (open_ms > CIRCUIT_OPEN_MAX_MS ? CIRCUIT_OPEN_MAX_MS : open_ms);
}

/* Records a success, which closes the circuit. */
void
view_record_success(view_t *view, uint16_t id)
{
    LOCK_SCOPE(&view->lock);
    view->states[id].consecutive_failures = 0;
    view->states[id].circuit_open_until_ms = 0;
}

/* Records whether the platform's host list says that the host is leaving. */
void
view_set_host_leaving(view_t *view, uint16_t id, bool leaving)
{
    LOCK_SCOPE(&view->lock);
    view->states[id].host_leaving = leaving;
}

/* Records the last cache event that was read from a server. */
void
view_set_last_event(view_t *view, uint16_t id, const char *incarnation,
                    uint64_t last_event)
{
    LOCK_SCOPE(&view->lock);
    backend_state_t *state = &view->states[id];
    state->last_event = last_event;
    str_copy(state->events_incarnation, sizeof(state->events_incarnation),
             incarnation);
}

/* Estimates how many tokens per second a server prefills: the reported rate
 * divided by the observed slowness. */
double
view_prefill_rate(const backend_state_t *state)
{
    double prefill_rate = state->load_report.prefill_rate > 0
                              ? state->load_report.prefill_rate
                              : PREFILL_RATE_DEFAULT;
    return prefill_rate / state->slowness;
}

/* Estimates how long a request sent now would wait before its prefill starts,
 * in ms. */
double
view_expected_wait_ms(const backend_state_t *state)
{
    double tokens =
        state->load_report.waiting_tokens + state->sent_tokens_since_report;
    int slots = state->load_report.slots > 0 ? state->load_report.slots
                                             : SLOTS_DEFAULT;
    int running = state->load_report.running > state->own_running
                      ? state->load_report.running
                      : state->own_running;
    if (tokens < state->own_waiting_tokens) {
        tokens = state->own_waiting_tokens;
    }
    double wait_ms = tokens * 1000.0 / view_prefill_rate(state);
    if (running >= slots) {
        wait_ms += 20.0 * (running - slots + 1);
    }
    return wait_ms;
}
