#include "admit.h"

/* Handles overload: requests for engines arrive faster than engines can
 * prefill their prompts, for example while two of nine servers are unreachable
 * and others load weights.  If all were admitted, all would be late, and
 * prompts with a short timeout would be prefilled for nothing.  Rejecting some
 * at once with a retry-after keeps the admitted ones within their target. */

/* Share of the target within which the first answer must be expected.  The
 * rest is left for the network and the hosts. */
#define TARGET_SHARE 0.9
/* A request is not rejected for its target while the wait is below this share
 * of it.  Without this, prompts whose prefill takes most of the target would
 * never be served. */
#define ADMIT_WAIT_SHARE 0.35
/* Share of the remaining time that the expected time may take: half of the
 * answers take longer than expected, one in ten twice as long. */
#define REMAINING_SHARE 0.8
/* The retry-after is the time until the queue has shrunk to half the target,
 * at most a third of the remaining time, as callers don't wait longer, and at
 * least RETRY_AFTER_MIN_MS. */
#define RETRY_AFTER_MIN_MS 150
#define RETRY_AFTER_DIVISOR 3

/* Whether the first answer would be late if it took as much longer than
 * expected as recent answers did. */
static bool
is_too_late(const admit_input_t *input)
{
    double wait_max =
        input->target_ms * TARGET_SHARE - input->prefill_ms - input->margin_ms;
    double admit_wait = input->target_ms * ADMIT_WAIT_SHARE;
    if (wait_max < admit_wait) {
        wait_max = admit_wait;
    }
    return input->wait_ms > wait_max ||
           input->wait_ms + input->prefill_ms >
               input->remaining_ms * REMAINING_SHARE;
}

/* Returns 0 to admit a request, or the time in ms after which the caller
 * should retry. */
int64_t
admit_retry_after_ms(const admit_input_t *input)
{
    if (!input->engine || !is_too_late(input)) {
        return 0;
    }
    int64_t after = (int64_t)(input->wait_ms - input->target_ms / 2.0);
    if (after > input->remaining_ms / RETRY_AFTER_DIVISOR) {
        after = input->remaining_ms / RETRY_AFTER_DIVISOR;
    }
    return after > RETRY_AFTER_MIN_MS ? after : RETRY_AFTER_MIN_MS;
}
