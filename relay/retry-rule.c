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
retry_may_repeat(route_kind_t kind, bool resumable)
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
has_room(const retry_ask_t *ask, send_fate_t fate)
{
    return ask->sends < SENDS_MAX && ask->left_ms >= LEFT_LEAST_MS &&
           (ask->share_left || fate == FATE_UNSENT);
}

/* What to do next.  "Not run" is told only where no send at all may have run;
 * an answer that has begun can only go on or be broken off. */
retry_verdict_t
retry_decide(const retry_ask_t *ask, send_fate_t fate)
{
    bool room = has_room(ask, fate);
    retry_verdict_t over = ask->begun ? RETRY_BREAK : RETRY_FAIL;
    switch (fate) {
        case FATE_UNSENT:
        case FATE_REFUSED:
            if (room && ask->ran < ask->attempts) {
                return RETRY_AGAIN;
            }
            if (ask->begun && ask->left_ms >= LEFT_WAIT_MS &&
                ask->sends < SENDS_BEGUN_MAX && ask->ran < ask->attempts) {
                return RETRY_WAIT;
            }
            return ask->ran == 0 && !ask->begun ? RETRY_REFUSE : over;
        case FATE_UNKNOWN:
        case FATE_FAILED:
            break;
    }
    if (room && ask->ran < ask->attempts &&
        retry_may_repeat(ask->kind, ask->resumable)) {
        return RETRY_AGAIN;
    }
    if (fate == FATE_FAILED && !ask->begun) {
        return RETRY_PASS;
    }
    return over;
}

/* The word for logs. */
const char *
send_fate_word(send_fate_t fate)
{
    switch (fate) {
        case FATE_UNSENT:
            return "unsent";
        case FATE_REFUSED:
            return "refused";
        case FATE_UNKNOWN:
            return "may-have-run";
        case FATE_FAILED:
            break;
    }
    return "failed";
}

/* The word for logs. */
const char *
retry_verdict_word(retry_verdict_t verdict)
{
    switch (verdict) {
        case RETRY_AGAIN:
            return "again";
        case RETRY_WAIT:
            return "wait";
        case RETRY_REFUSE:
            return "refuse";
        case RETRY_FAIL:
            return "fail";
        case RETRY_PASS:
            return "pass";
        case RETRY_BREAK:
            break;
    }
    return "break";
}
