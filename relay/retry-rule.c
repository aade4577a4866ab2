#include "retry-rule.h"

/* Sends of one request at most, whatever they came to: five servers that
 * refuse within milliseconds say that the service is full. */
#define SENDS_MAX 5
/* A stream that has begun is worth more patience: all servers may be loading
 * weights or full for a second, and breaking it off throws away what its
 * caller has. */
#define SENDS_BEGUN_MAX 12
#define LEFT_WAIT_MS 500
/* A retry with less time than this cannot bring an answer, ms: two ways to a
 * server and its shortest work. */
#define LEFT_LEAST_MS 20

/* Whether a request may run a second time after it may have run once. */
bool
retry_can_rerun(route_kind_t kind, bool resumable)
{
    switch (kind) {
        case ROUTE_IDEMPOTENT:
            return true;
        case ROUTE_STREAM:
            return resumable;
        case ROUTE_ONCE:
            break;
    }
    return false;
}

static bool
has_room(const retry_state_t *ask, send_result_t fate)
{
    return ask->sends < SENDS_MAX && ask->remaining_ms >= LEFT_LEAST_MS &&
           (ask->within_share || fate == SEND_UNSENT);
}

/* What to do next.  "Not run" is told only where no send at all may have run;
 * an answer that has begun can only go on or be broken off. */
retry_decision_t
retry_decide(const retry_state_t *ask, send_result_t fate)
{
    bool room = has_room(ask, fate);
    retry_decision_t over = ask->answer_started ? RETRY_ABORT : RETRY_FAIL;
    switch (fate) {
        case SEND_UNSENT:
        case SEND_REJECTED:
            if (room && ask->ran < ask->attempts_max) {
                return RETRY_NOW;
            }
            if (ask->answer_started && ask->remaining_ms >= LEFT_WAIT_MS &&
                ask->sends < SENDS_BEGUN_MAX && ask->ran < ask->attempts_max) {
                return RETRY_LATER;
            }
            return ask->ran == 0 && !ask->answer_started ? RETRY_REJECT : over;
        case SEND_UNKNOWN:
        case SEND_FAILED:
            break;
    }
    if (room && ask->ran < ask->attempts_max &&
        retry_can_rerun(ask->kind, ask->resumable)) {
        return RETRY_NOW;
    }
    if (fate == SEND_FAILED && !ask->answer_started) {
        return RETRY_PASS;
    }
    return over;
}

/* The word for logs. */
const char *
send_result_name(send_result_t fate)
{
    switch (fate) {
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

/* The word for logs. */
const char *
retry_decision_name(retry_decision_t verdict)
{
    switch (verdict) {
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
