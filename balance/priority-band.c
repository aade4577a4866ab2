#include "priority-band.h"

#define BAND_WIDTH 3

/* Sets what is known of a server that this host has learned of.  One that
 * started after that has no older requests; at any other, requests of unknown
 * bands may have gone on through a load.  Other hosts may believe the latter
 * and send requests of the least urgency, so the next load is not quiet. */
void
priority_band_learn(priority_band_t *state, bool from_its_start,
                    int64_t now_ms)
{
    state->band = from_its_start ? 0 : PRIORITY_BANDS;
    state->load_ms = now_ms;
    state->quiet_ms = 0;
}

/* Records a load at a server and chooses the band of the requests after it.
 * changed_ms is when a host last started or changed its way of sending, as far
 * as this host knows; longest_ms is the longest timeout of a request.
 *
 * Of the requests of all hosts that go on through the load, none may be in
 * that band or a higher one, unless that is the least urgency:
 *
 * - After a host starts, after a load and after a start of the server,
 * requests of other bands than the first are sent for longest_ms, and run for
 * as long. If twice that time has passed, all requests are in the first band,
 * and those after the load get the second one.
 * - Another host may have noticed the quiet time to be shorter, and have
 * chosen the least urgency.  Only if it was longer by PRIORITY_SKEW_MS are all
 *   requests after that load known to be in the second band, so that those
 *   after the next one may get the third.
 * - In any other case the requests after the load are of the least urgency, as
 *   well as those after all further loads until the server has been quiet. */
void
priority_band_load(priority_band_t *state, int64_t changed_ms,
                   int64_t longest_ms, int64_t now_ms)
{
    int64_t quiet_min_ms = 2 * longest_ms + PRIORITY_SKEW_MS;
    bool changed = changed_ms >= state->load_ms;
    bool all_in_second = state->band == 1 && !changed &&
                         state->quiet_ms >= quiet_min_ms + PRIORITY_SKEW_MS;
    state->quiet_ms = now_ms - (changed ? changed_ms : state->load_ms);
    state->load_ms = now_ms;
    state->band = state->quiet_ms >= quiet_min_ms ? 1
                  : all_in_second                 ? 2
                                                  : PRIORITY_BANDS;
}

/* Returns the priority to send for a request of a priority, 0 for the most
 * urgent.  Once requests from before the last load have ended, the first band
 * is used again.
 *
 * Classes 2 and 3 share the last priority of a band: with one of its own,
 * class 3 would be as urgent as class 0 after a load. */
int
priority_band_choose(const priority_band_t *state, int priority,
                     int64_t longest_ms, int64_t now_ms)
{
    unsigned band = now_ms - state->load_ms >= longest_ms ? 0 : state->band;
    int place = priority < 0             ? 0
                : priority >= BAND_WIDTH ? BAND_WIDTH - 1
                                         : priority;
    return band >= PRIORITY_BANDS ? PRIORITY_LEAST_URGENT
                                  : (int)band * BAND_WIDTH + place;
}
