#include "admit.h"

/* The load that this answers: requests for engines come faster than they can
 * be read, as when two of nine servers are dark and others load weights.  Let
 * in without bound, all of them would be late, and those with short deadlines
 * would be read in vain.  Refused at once and told when to come back, those
 * that are let in are in time. */

/* A request is refused when it would be later than this times its target.
 * Of the days with two of nine engines dark 0.57 and 0.63 of the worth came
 * about with 1.0, 0.47 and 0.52 with 2.5 (two seeds each); 0.7 refuses on calm
 * days what would have been in time. */
#define LATE_FACTOR 1.0
/* Part of the time left that the expected time may take: half of the answers
 * come later than expected, one in ten after twice the time. */
#define LEFT_PART 0.8
/* When to come back: when the work ahead has shrunk to half a target; not
 * before this, ms, and within a third of the time left, which is as long as
 * callers wait. */
#define AFTER_LEAST_MS 150
#define AFTER_PART 3

/* 0 to let a request in, else after how many ms it should come back. */
int64_t
admit_after_ms(const admit_ask_t *ask)
{
    double limit = ask->target_ms * LATE_FACTOR;
    if (limit > ask->left_ms * LEFT_PART) {
        limit = ask->left_ms * LEFT_PART;
    }
    if (!ask->engine || ask->expected_ms <= limit) {
        return 0;
    }
    int64_t after = (int64_t)(ask->expected_ms - ask->target_ms / 2.0);
    if (after > ask->left_ms / AFTER_PART) {
        after = ask->left_ms / AFTER_PART;
    }
    return after > AFTER_LEAST_MS ? after : AFTER_LEAST_MS;
}
