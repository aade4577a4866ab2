#include "caller-wait.h"

/* A rejected caller returns to another host, and its new attempt states only
 * the time that it still waits.  Callers of one route mostly begin with the
 * same deadline, so the difference to that is the time that they have waited.
 * The usual deadline is found by a majority vote: first attempts outnumber
 * retries, whose deadlines all differ. */

/* Votes that a usual deadline can gather, so that a change of the callers'
 * deadline is followed within that many attempts. */
#define VOTES_MAX 20
/* Deadlines that differ by less are taken to be equal: callers may subtract
 * the time that it took to connect. */
#define DEADLINE_TOLERANCE_MS 20

static caller_deadline_t *
find_or_replace(caller_wait_t *waits, uint64_t route)
{
    caller_deadline_t *oldest = &waits->routes[0];
    for (size_t i = 0; i < CALLER_WAIT_ROUTES_MAX; i++) {
        caller_deadline_t *entry = &waits->routes[i];
        if (entry->route == route) {
            return entry;
        }
        oldest = entry->used < oldest->used ? entry : oldest;
    }
    *oldest = (caller_deadline_t){.route = route};
    return oldest;
}

/* Records the deadline of an attempt; returns how long its caller has waited
 * before, 0 for a first attempt or if that is not known. */
int64_t
caller_wait_observe(caller_wait_t *waits, uint64_t route, int64_t deadline_ms)
{
    if (deadline_ms <= 0) {
        return 0;
    }
    caller_deadline_t *entry = find_or_replace(waits, route);
    int64_t waited_ms = entry->usual_ms - deadline_ms;
    entry->used = ++waits->used;
    if (waited_ms < DEADLINE_TOLERANCE_MS &&
        waited_ms > -DEADLINE_TOLERANCE_MS) {
        entry->votes += entry->votes < VOTES_MAX ? 1 : 0;
        return 0;
    }
    if (--entry->votes < 0) {
        entry->usual_ms = deadline_ms;
        entry->votes = 1;
        return 0;
    }
    return waited_ms > 0 ? waited_ms : 0;
}
