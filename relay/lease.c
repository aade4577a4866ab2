#include "lease.h"

#include <string.h>

/* The holder renews this many times in a span, so that one lost answer does
 * not cost the lease. */
#define RENEWS 3
/* The holder acts only in this part of the span after a renewal was sent, and
 * a successor waits for the whole span and a margin: between the last act of
 * one and the first of the next there is time for whatever is on its way. */
#define ACT_PART 2
#define MARGIN_MS 300
/* Others look at the object this often, ms, by cheap reads. */
#define LOOK_MS 800
/* Hosts behind the first few, which will not be the next holder, look less
 * often, ms. */
#define LOOK_FAR_MS 2400
#define LOOK_NEAR_RANKS 3
/* A free lease is left to each host that stands before this one for so long,
 * ms, and to all of them together no longer than the second figure. */
#define TURN_MS 150
#define TURN_LAST_MS 1500
/* Behind a call that failed nothing is asked for so long, ms: a store that is
 * busy or away would else get ten calls a second of each host. */
#define FAILED_HOLDER_MS 250
#define FAILED_OTHER_MS 800

/* A lease that this process may hold under a name of its own. */
void
lease_init(lease_t *lease, const char *self, int64_t span_ms)
{
    memset(lease, 0, sizeof(*lease));
    str_copy(lease->self, sizeof(lease->self), self);
    lease->duration_ms = span_ms;
}

static bool
is_mine(const lease_t *lease)
{
    return lease->known && strcmp(lease->holder, lease->self) == 0;
}

static int64_t
look_ms(const lease_t *lease)
{
    return lease->takeover_delay_ms < LOOK_NEAR_RANKS * TURN_MS ? LOOK_MS
                                                                : LOOK_FAR_MS;
}

/* What to ask the store now.  A holder whose process was suspended finds its
 * span over by the clock, and takes the lease anew under a higher number if
 * nobody else has. */
lease_step_t
lease_next_step(const lease_t *lease, int64_t now_ms)
{
    if ((lease->releasing && !is_mine(lease)) ||
        now_ms < lease->backoff_until_ms) {
        return LEASE_IDLE;
    }
    bool look = lease->read_sent_ms == 0 ||
                now_ms - lease->read_sent_ms >= look_ms(lease);
    if (lease->outcome_unknown || !lease->known) {
        if (lease->absent && !lease->outcome_unknown) {
            return LEASE_CREATE;
        }
        return look ? LEASE_READ : LEASE_IDLE;
    }
    if (lease->releasing) {
        return LEASE_WRITE;
    }
    if (lease->holder[0] == '\0' &&
        now_ms - lease->unchanged_since_ms >= lease->takeover_delay_ms) {
        return LEASE_WRITE; /* it was given back */
    }
    if (is_mine(lease)) {
        return now_ms - lease->renewed_ms >= lease->duration_ms / RENEWS
                   ? LEASE_WRITE
                   : LEASE_IDLE;
    }
    if (now_ms - lease->unchanged_since_ms >=
        lease->duration_ms + MARGIN_MS + lease->takeover_delay_ms) {
        return LEASE_WRITE;
    }
    return look ? LEASE_READ : LEASE_IDLE;
}

/* How many live hosts stand before this one when the lease is free.  If all of
 * a large fleet took it at once, all but one write would be in vain, each with
 * its price, at the very moment at which the store is back from an outage. */
void
lease_set_rank(lease_t *lease, size_t rank)
{
    int64_t turn = (int64_t)rank * TURN_MS;
    lease->takeover_delay_ms = turn < TURN_LAST_MS ? turn : TURN_LAST_MS;
}

/* A call brought nothing. */
void
lease_call_failed(lease_t *lease, int64_t now_ms)
{
    lease->backoff_until_ms =
        now_ms + (is_mine(lease) ? FAILED_HOLDER_MS : FAILED_OTHER_MS);
}

/* A step is about to be sent.  A holder that renews in time keeps its fencing
 * number; everybody else takes the next. */
void
lease_step_sent(lease_t *lease, lease_step_t step, int64_t now_ms)
{
    if (step == LEASE_READ) {
        lease->read_sent_ms = now_ms;
        return;
    }
    bool in_time = is_mine(lease) && lease->renewed_ms != 0 &&
                   now_ms - lease->renewed_ms < lease->duration_ms;
    lease->write_sent_ms = now_ms;
    lease->writes++;
    lease->requested_fence = in_time ? lease->fence : lease->fence + 1;
}

/* The object as the store holds it, by whatever answer.  If it is what this
 * process last tried to write, that write has taken effect.  An earlier write
 * of its own, done late, is not: the lease would count from a later moment
 * than the successor's wait, and both would act for a while.  The count of
 * writes tells them apart. */
void
lease_observe(lease_t *lease, const lease_record_t *view, int64_t now_ms)
{
    lease->absent = false;
    if (lease->known && view->revision < lease->revision) {
        return; /* a read that is behind */
    }
    bool changed = !lease->known || view->revision != lease->revision;
    bool written = changed && lease->write_sent_ms != 0 &&
                   strcmp(view->holder, lease->self) == 0 &&
                   view->fence == lease->requested_fence &&
                   view->writes == lease->writes;
    lease->known = true;
    lease->outcome_unknown = false;
    lease->revision = view->revision;
    lease->fence = view->fence;
    str_copy(lease->holder, sizeof(lease->holder), view->holder);
    if (changed) {
        lease->unchanged_since_ms = now_ms;
    }
    if (written) {
        lease->renewed_ms = lease->write_sent_ms;
    }
}

void
lease_observe_absent(lease_t *lease)
{
    lease->absent = true;
    lease->outcome_unknown = false;
}

/* A write got no answer: it may have been done, or may be done later.  The
 * object tells. */
void
lease_set_outcome_unknown(lease_t *lease)
{
    lease->outcome_unknown = true;
    lease->read_sent_ms = 0;
}

/* The process stops: give the lease back, so that a successor need not wait
 * until it has run out.  It acts on it no more. */
void
lease_release(lease_t *lease)
{
    lease->releasing = true;
}

/* The holder that a write now names; nobody where the lease is given back. */
const char *
lease_requested_holder(const lease_t *lease)
{
    return lease->releasing ? "" : lease->self;
}

/* Whether this process may act on the lease now. */
bool
lease_is_held(const lease_t *lease, int64_t now_ms)
{
    return is_mine(lease) && !lease->releasing && lease->renewed_ms != 0 &&
           now_ms - lease->renewed_ms < lease->duration_ms / ACT_PART;
}
