#include "admit.h"

/* The load that this answers: requests for engines come faster than they can
 * be read, as when two of nine servers are dark and others load weights.  Let
 * in without bound, all of them would be late, and those with short deadlines
 * would be read in vain.  Refused at once and told when to come back, those
 * that are let in are in time. */

/* Part of the target within which an answer is expected to come: network and
 * hosts take the rest. */
#define TARGET_PART 0.9
/* A prompt that takes most of the target to read is late whatever is done.
 * It is let in while the wait is under this part of the target, or the largest
 * prompts would never be served. */
#define WAIT_PART 0.35
/* Part of the time left that the expected time may take: half of the answers
 * come later than expected, one in ten after twice the time. */
#define LEFT_PART 0.8
/* When to come back: when the work ahead has shrunk to half a target; not
 * before this, ms, and within a third of the time left, which is as long as
 * callers wait. */
#define AFTER_LEAST_MS 150
#define AFTER_PART 3

/* Whether the first answer would be late, as late as answers lately were. */
static bool
is_too_late(const admit_input_t *ask)
{
    double wait_max =
        ask->target_ms * TARGET_PART - ask->read_ms - ask->margin_ms;
    double wait_least = ask->target_ms * WAIT_PART;
    if (wait_max < wait_least) {
        wait_max = wait_least;
    }
    return ask->wait_ms > wait_max ||
           ask->wait_ms + ask->read_ms > ask->remaining_ms * LEFT_PART;
}

/* 0 to let a request in, else after how many ms it should come back. */
int64_t
admit_retry_after_ms(const admit_input_t *ask)
{
    if (!ask->engine || !is_too_late(ask)) {
        return 0;
    }
    int64_t after = (int64_t)(ask->wait_ms - ask->target_ms / 2.0);
    if (after > ask->remaining_ms / AFTER_PART) {
        after = ask->remaining_ms / AFTER_PART;
    }
    return after > AFTER_LEAST_MS ? after : AFTER_LEAST_MS;
}
