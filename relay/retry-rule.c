#include "retry-rule.h"

/* Maximum number of sends of a request, whatever their results: five
 * rejections within milliseconds mean that the service is full. */
#define SENDS_MAX 5
/* A stream whose answer has started waits between sends until its time is up:
 * all servers may be loading weights or full for seconds, and aborting it
 * would waste what its caller has received.  With less time than this it does
 * not wait any more. */
#define REMAINING_WAIT_MIN_MS 500
/* With less time than this a retry can't bring an answer: it takes two network
 * transfers and the shortest processing time of a server. */
#define REMAINING_MIN_MS 20

/* Whether a request that may have run may be sent again. */
bool
retry_can_rerun(route_kind_t kind, bool resumable)
{
    switch (kind) {
        case ROUTE_IDEMPOTENT:
            return true;
        case ROUTE_STREAM:
            return resumable;
        case ROUTE_NON_IDEMPOTENT:
            break;
    }
    return false;
}

static bool
can_send_again(const retry_state_t *state, send_result_t result)
{
    return state->sends < SENDS_MAX &&
           state->remaining_ms >= REMAINING_MIN_MS &&
           (state->within_share || result == SEND_UNSENT);
}

/* Decides what to do after a send that failed.  A request is reported as not
 * run only if none of its sends may have run.  An answer that has started can
 * only be continued or aborted. */
retry_decision_t
retry_decide(const retry_state_t *state, send_result_t result)
{
    bool can_send = can_send_again(state, result);
    retry_decision_t failure =
        state->answer_started ? RETRY_ABORT : RETRY_FAIL;
    switch (result) {
        case SEND_UNSENT:
        case SEND_REJECTED:
            if (can_send && state->possible_runs < state->attempts_max) {
                return RETRY_NOW;
            }
            if (state->answer_started &&
                state->remaining_ms >= REMAINING_WAIT_MIN_MS &&
                state->possible_runs < state->attempts_max) {
                return RETRY_LATER;
            }
            return state->possible_runs == 0 && !state->answer_started
                       ? RETRY_REJECT
                       : failure;
        case SEND_UNKNOWN:
        case SEND_FAILED:
            break;
    }
    if (can_send && state->possible_runs < state->attempts_max &&
        retry_can_rerun(state->kind, state->resumable)) {
        return RETRY_NOW;
    }
    if (result == SEND_FAILED && !state->answer_started) {
        return RETRY_PASS;
    }
    return failure;
}

/* Returns the name used in logs. */
const char *
send_result_name(send_result_t result)
{
    switch (result) {
        case SEND_UNSENT:
            return "unsent";
        case SEND_REJECTED:
            return "refused";
        case SEND_UNKNOWN:
            return "may-have-run";
        case SEND_FAILED:
            break;
    }
    return "failed";
}

/* Returns the name used in logs. */
const char *
retry_decision_name(retry_decision_t decision)
{
    switch (decision) {
        case RETRY_NOW:
            return "again";
        case RETRY_LATER:
            return "wait";
        case RETRY_REJECT:
            return "refuse";
        case RETRY_FAIL:
            return "fail";
        case RETRY_PASS:
            return "pass";
        case RETRY_ABORT:
            break;
    }
    return "break";
}
