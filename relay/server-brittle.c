#include "server-brittle.h"

#include <math.h>

/* The capacity grows by this share, at least by STEP_MIN, as long as requests
 * wait for it and none is rejected.  Steps are to cause a fifth of the
 * rejections that the server tolerates; the time between them is doubled each
 * time a step is followed by a rejection.  Consecutive steps become larger. */
#define STEP_SHARE 0.125
#define STEP_MIN 0.5
#define STEPS_MAX 2
#define STEP_REJECTIONS_SHARE 0.2
#define DOUBLINGS_MAX 2
/* With more hosts than slots, most hosts have no request at the server at a
 * time, and the others need more than their share for all slots to be used. */
#define SPARSE_FACTOR 2
/* A notice reaches all hosts within this time, so that steps do not overlap.
 */
#define STEP_MS_MIN 500
#define STEP_MS_MAX 4000
/* After half of the rejections that the server tolerates in a second, this
 * share of the capacity is left. */
#define REJECTED_SHARE 0.5
/* Share of the capacity that is left after a restart. */
#define RESTARTED_SHARE 0.5
/* Time for which a rejection or a restart halves what this host sends. */
#define REDUCED_MS 500
/* Pause of a host after a rejection: the time for its share of the rejections
 * that the server tolerates, within these bounds.  In the longest pause all
 * hosts are notified of the reduced capacity. */
#define PAUSE_MS_MIN 500
#define PAUSE_MS_MAX 2000
/* Expected time until a request of this host ends. */
#define SLOT_WAIT_MS 100
/* Assumed duration of a request before one was observed, and weight of the
 * newest observation. */
#define HOLD_DEFAULT_MS 300.0
#define HOLD_WEIGHT 0.1
/* With fewer observations a host uses the value of other hosts. */
#define HOLD_COUNT_MIN 4
#define MS_PER_S 1000.0

void
server_brittle_init(server_brittle_t *brittle, uint64_t seed)
{
    *brittle = (server_brittle_t){
        .rng = {seed}, .hosts = 1, .hold_ms = HOLD_DEFAULT_MS};
}

/* Sets the number of hosts that share the capacity. */
void
server_brittle_set_hosts(server_brittle_t *brittle, size_t hosts)
{
    brittle->hosts = hosts > 0 ? hosts : 1;
}

/* Returns how long this host sends nothing after a rejection. */
static int64_t
pause_ms(const server_brittle_t *brittle)
{
    double per_s = brittle->current.rejections_per_s;
    double ms = MS_PER_S * (double)brittle->hosts / (per_s > 1 ? per_s : 1);
    return ms < PAUSE_MS_MIN   ? PAUSE_MS_MIN
           : ms > PAUSE_MS_MAX ? PAUSE_MS_MAX
                               : (int64_t)ms;
}

/* Returns this host's share of the capacity. */
static double
full_share(const server_brittle_t *brittle)
{
    return brittle->current.capacity / (double)brittle->hosts;
}

/* Returns the share that this host uses now. */
static double
share(const server_brittle_t *brittle, int64_t now_ms)
{
    double whole = full_share(brittle);
    return now_ms < brittle->reduced_until_ms ? whole / 2 : whole;
}

/* Returns the interval between requests of a host whose share is less than one
 * request. */
static double
spacing_ms(const server_brittle_t *brittle, int64_t now_ms)
{
    return brittle->hold_ms / share(brittle, now_ms);
}

/* Returns the time between two steps. */
static int64_t
step_interval_ms(const server_brittle_t *brittle)
{
    double per_s = brittle->current.rejections_per_s * STEP_REJECTIONS_SHARE;
    int64_t ms = per_s > 0 ? (int64_t)(MS_PER_S / per_s) : STEP_MS_MAX;
    ms = ms < STEP_MS_MIN ? STEP_MS_MIN : ms > STEP_MS_MAX ? STEP_MS_MAX : ms;
    return ms << brittle->doublings;
}

/* Delays the next request of a host whose share is less than one request by a
 * random time, so that not all hosts send theirs at once. */
static void
spread(server_brittle_t *brittle, int64_t now_ms)
{
    double spacing = brittle->hold_ms / full_share(brittle);
    brittle->sent_ms = now_ms - (int64_t)(rng_unit(&brittle->rng) * spacing);
}

static void
set_capacity(server_brittle_t *brittle, double capacity, bool grown,
             int64_t now_ms)
{
    int64_t interval_ms = step_interval_ms(brittle);
    bool was_sparse = full_share(brittle) < 1;
    brittle->capacity_before = brittle->current.capacity;
    brittle->current.capacity = fmax(capacity, 1);
    brittle->grown = grown;
    brittle->steps = !grown                       ? 0
                     : brittle->steps < STEPS_MAX ? brittle->steps + 1
                                                  : STEPS_MAX;
    /* Randomized, so that mostly one host takes the step and announces it. */
    brittle->step_due_ms =
        now_ms + interval_ms +
        (int64_t)rng_below(&brittle->rng, (uint64_t)interval_ms);
    if (!was_sparse && full_share(brittle) < 1) {
        spread(brittle, now_ms);
    }
}

static void
begin(server_brittle_t *brittle, double capacity, int64_t now_ms)
{
    brittle->doublings = 0;
    set_capacity(brittle, capacity, false, now_ms);
    brittle->paused_until_ms = 0;
    spread(brittle, now_ms);
}

static void
announce(server_brittle_t *brittle)
{
    brittle->current.hold_ms =
        brittle->hold_count >= HOLD_COUNT_MIN ? brittle->hold_ms : 0;
    brittle->current.revision++;
    brittle->unannounced = true;
}

/* Applies a statement of the server: the rejections a second that it
 * tolerates. Returns whether that is a change. */
bool
server_brittle_note_stated(server_brittle_t *brittle, double rejections_per_s,
                           int slots, int64_t now_ms)
{
    server_brittle_notice_t *current = &brittle->current;
    bool changed =
        !current->stated || current->rejections_per_s != rejections_per_s;
    brittle->stated_ms = now_ms;
    brittle->restarted = false;
    if (!current->stated) {
        bool sparse = brittle->hosts > (size_t)slots;
        begin(brittle, sparse ? SPARSE_FACTOR * slots : slots, now_ms);
    }
    if (changed) {
        current->stated = true;
        current->rejections_per_s = rejections_per_s;
        announce(brittle);
    }
    return changed;
}

/* Applies an answer without a statement to a request that was sent at a time.
 * Returns whether that ends the statement. */
bool
server_brittle_note_unstated(server_brittle_t *brittle, int64_t sent_ms)
{
    if (!brittle->current.stated || sent_ms < brittle->stated_ms) {
        return false;
    }
    brittle->current.stated = false;
    announce(brittle);
    return true;
}

/* Whether a notice is newer than what is known.  Of two changes that hosts
 * have made at the same time, the lower capacity wins. */
static bool
is_newer(const server_brittle_t *brittle,
         const server_brittle_notice_t *notice)
{
    const server_brittle_notice_t *current = &brittle->current;
    return notice->revision > current->revision ||
           (notice->revision == current->revision &&
            notice->capacity < current->capacity);
}

/* Applies a notice of another host; returns whether the server has begun or
 * ceased to state that it is brittle. */
bool
server_brittle_apply(server_brittle_t *brittle,
                     const server_brittle_notice_t *notice, int64_t now_ms)
{
    bool was_stated = brittle->current.stated;
    if (!is_newer(brittle, notice)) {
        return false;
    }
    if (notice->stated && !was_stated) {
        begin(brittle, notice->capacity, now_ms);
    }
    else if (notice->capacity != brittle->current.capacity) {
        bool grown = notice->capacity > brittle->current.capacity;
        if (!grown && brittle->grown && brittle->doublings < DOUBLINGS_MAX) {
            brittle->doublings++;
        }
        set_capacity(brittle, notice->capacity, grown, now_ms);
    }
    brittle->current = *notice;
    brittle->current.capacity = fmax(notice->capacity, 1);
    if (brittle->hold_count < HOLD_COUNT_MIN && notice->hold_ms > 0) {
        brittle->hold_ms = notice->hold_ms;
    }
    brittle->stated_ms = now_ms;
    brittle->unannounced = true;
    return notice->stated != was_stated;
}

/* Copies the state of another server of the service to one that has just
 * started, until its own answers state something. */
void
server_brittle_inherit(server_brittle_t *brittle,
                       const server_brittle_t *other, int64_t now_ms)
{
    brittle->current = other->current;
    brittle->current.revision = 0;
    brittle->hosts = other->hosts;
    brittle->hold_ms = other->hold_ms;
    brittle->stated_ms = now_ms;
    begin(brittle, other->current.capacity, now_ms);
    server_brittle_restart(brittle, now_ms);
}

/* The server has crashed or restarted: reduces the load, so that the requests
 * that hosts held back do not crash it again. */
void
server_brittle_restart(server_brittle_t *brittle, int64_t now_ms)
{
    if (!brittle->current.stated) {
        return;
    }
    if (!brittle->restarted) {
        brittle->restarted = true;
        brittle->doublings = 0;
        set_capacity(brittle, brittle->current.capacity * RESTARTED_SHARE,
                     false, now_ms);
    }
    spread(brittle, now_ms);
    brittle->reduced_until_ms = now_ms + REDUCED_MS;
}

/* Applies a rejection: the capacity is lower than estimated. */
void
server_brittle_reject(server_brittle_t *brittle, int64_t now_ms)
{
    if (!brittle->current.stated) {
        return;
    }
    int64_t pause = pause_ms(brittle);
    double half = brittle->current.rejections_per_s / 2;
    double capacity = brittle->current.capacity *
                      pow(REJECTED_SHARE, half > 1 ? 1 / half : 1);
    if (brittle->grown) {
        capacity = brittle->capacity_before;
        brittle->doublings += brittle->doublings < DOUBLINGS_MAX ? 1 : 0;
    }
    set_capacity(brittle, capacity, false, now_ms);
    announce(brittle);
    brittle->reduced_until_ms = now_ms + pause + REDUCED_MS;
    brittle->paused_until_ms = now_ms + pause;
}

/* Records the duration of a request at the server. */
void
server_brittle_observe_hold(server_brittle_t *brittle, double ms)
{
    brittle->hold_count++;
    brittle->hold_ms +=
        (brittle->hold_count <= HOLD_COUNT_MIN ? 1.0 / brittle->hold_count
                                               : HOLD_WEIGHT) *
        (ms - brittle->hold_ms);
}

/* Records that a request is sent. */
void
server_brittle_take(server_brittle_t *brittle, int64_t now_ms)
{
    brittle->rounding = rng_unit(&brittle->rng);
    brittle->sent_ms = now_ms;
}

/* Records that a request has to wait: the capacity grows by a step if nothing
 * was rejected for some time. */
void
server_brittle_block(server_brittle_t *brittle, int64_t now_ms)
{
    brittle->rounding = rng_unit(&brittle->rng);
    if (!brittle->current.stated || now_ms < brittle->step_due_ms ||
        now_ms < brittle->reduced_until_ms) {
        return;
    }
    double capacity = brittle->current.capacity;
    double step = capacity * STEP_SHARE * (1 << brittle->steps);
    if (brittle->grown && brittle->doublings > 0) {
        brittle->doublings--;
    }
    set_capacity(brittle, capacity + fmax(step, STEP_MIN), true, now_ms);
    announce(brittle);
}

/* Returns the time until another request may be sent, given the number of this
 * host's requests at the server. */
int64_t
server_brittle_wait_ms(const server_brittle_t *brittle, int running,
                       int64_t now_ms)
{
    if (!brittle->current.stated) {
        return 0;
    }
    if (now_ms < brittle->paused_until_ms) {
        return brittle->paused_until_ms - now_ms;
    }
    double own = share(brittle, now_ms);
    if (own < 1) {
        int64_t left_ms =
            brittle->sent_ms + (int64_t)spacing_ms(brittle, now_ms) - now_ms;
        return left_ms > 0 ? left_ms : running > 0 ? SLOT_WAIT_MS : 0;
    }
    return running + 1 > floor(own + brittle->rounding) ? SLOT_WAIT_MS : 0;
}
