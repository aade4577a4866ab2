#include "admission.h"

/* Answers overload in which slots, not prefill, run out: long answers hold
 * their slots for seconds, and a short urgent request that waits for one of
 * them to end is late.  Less urgent requests are therefore placed only while
 * enough slots stay free for the urgent ones that are likely to arrive (trunk
 * reservation).  Otherwise they wait at the host, where an urgent request
 * overtakes them, and not in the engine's queue, where a free slot would go
 * to them. */

/* A less urgent request waits at a host for this share of its target.  The
 * rest is left for its prefill, or for a second attempt in time. */
#define WAIT_TARGET_SHARE 0.5
/* Longest wait at a host as a share of the time that the caller has left. */
#define WAIT_REMAINING_SHARE 0.125
/* Share of the remaining time that the expected time may take: half of the
 * answers take longer than expected, one in ten twice as long. */
#define REMAINING_SHARE 0.8
/* Share of the target that the expected wait and the prefill may take.  What
 * a host knows of an engine is some ten ms old, and meanwhile others send
 * there too. */
#define TARGET_SHARE 0.9
/* A request is not rejected for its target while the wait is below this share
 * of it: prompts whose prefill takes most of the target would never be
 * served. */
#define ADMIT_WAIT_SHARE 0.35
/* Part of that wait for a request whose workspace has more than its share, so
 * that its requests are rejected before those of others. */
#define OVER_SHARE_FACTOR 0.5
/* Share of the slots in use that a less urgent class gets even in a lasting
 * flood of urgent requests, so that it is not starved. */
#define CLASS_SHARE_MIN 0.25

/* Returns the class of a priority, 0 for the most urgent. */
unsigned
priority_class(int priority)
{
    return priority <= 0                  ? 0
           : priority >= PRIORITY_CLASSES ? PRIORITY_CLASSES - 1
                                          : (unsigned)priority;
}

/* Returns how long a less urgent request may wait at a host for room. */
int64_t
admission_wait_max_ms(int target_ms, int64_t remaining_ms)
{
    double by_target = target_ms * WAIT_TARGET_SHARE;
    double by_remaining = (double)remaining_ms * WAIT_REMAINING_SHARE;
    return (int64_t)(by_target < by_remaining ? by_target : by_remaining);
}

/* Whether the server has a slot for the request besides those that are kept
 * for more urgent classes. */
bool
admission_has_room(const admission_input_t *input)
{
    if (input->slots <= 0 || input->most_urgent) {
        return true;
    }
    double reserve_max = input->slots * (1 - CLASS_SHARE_MIN);
    double reserve =
        input->reserve < reserve_max ? input->reserve : reserve_max;
    reserve += input->over_share ? 1 : 0;
    return input->in_flight + 1 + reserve <= input->slots;
}

static admission_t
wait_or_reject(const admission_input_t *input, const char *reason)
{
    bool may_wait = input->waited_here_ms < input->wait_max_ms;
    return (admission_t){may_wait ? ADMISSION_WAIT : ADMISSION_REJECT, false,
                         reason};
}

/* Whether the first answer would come after the target. */
static bool
is_too_late(const admission_input_t *input)
{
    double wait_max_ms = input->target_ms * TARGET_SHARE - input->prefill_ms;
    double least_ms = input->target_ms * ADMIT_WAIT_SHARE;
    double max_ms = wait_max_ms > least_ms ? wait_max_ms : least_ms;
    return input->wait_ms >
           (input->over_share ? max_ms * OVER_SHARE_FACTOR : max_ms);
}

/* Decides whether a request is sent to the chosen server, waits at this host
 * or is rejected.
 *
 * Requests of the most urgent class are sent while they are likely to be in
 * time.  Beyond that, if all were sent, the queues would grow until all are
 * late. */
admission_t
admission_decide(const admission_input_t *input)
{
    double expected_ms = input->wait_ms + input->prefill_ms;
    if (expected_ms > (double)input->remaining_ms * REMAINING_SHARE) {
        return (admission_t){ADMISSION_REJECT, false, "out-of-time"};
    }
    if (input->most_urgent && is_too_late(input)) {
        return (admission_t){ADMISSION_REJECT, false, "too-late"};
    }
    if (admission_has_room(input)) {
        return (admission_t){ADMISSION_SEND, false, NULL};
    }
    if (input->class_share < CLASS_SHARE_MIN) {
        return (admission_t){ADMISSION_SEND, true, NULL};
    }
    return wait_or_reject(input, "no-room");
}
