#include "server-rest.h"

/* Interval between the single requests after a rest.  All requests that wait
 * for its end, and all callers that return then, would otherwise arrive at
 * once. */
#define TRIAL_INTERVAL_MS 200
/* Longest rest that is kept. */
#define REST_MS_MAX 3600000

/* Begins a rest, or extends one.  Returns whether the server was not at rest
 * before. */
bool
server_rest_begin(server_rest_t *rest, int64_t rest_ms, int64_t now_ms)
{
    bool begins = rest->state != REST_RESTING || now_ms >= rest->until_ms;
    int64_t until_ms =
        now_ms + (rest_ms < REST_MS_MAX ? rest_ms : REST_MS_MAX);
    rest->until_ms = until_ms > rest->until_ms ? until_ms : rest->until_ms;
    rest->next_trial_ms = rest->until_ms;
    rest->state = REST_RESTING;
    return begins;
}

/* Applies an answer that was no rejection.  One to a request that was sent
 * before the end of the rest does not end the trial.  Returns whether the
 * server is used like any other from now on. */
bool
server_rest_end(server_rest_t *rest, int64_t sent_ms)
{
    if (rest->state == REST_NONE || sent_ms < rest->until_ms) {
        return false;
    }
    rest->state = REST_NONE;
    return true;
}

/* Returns the time until a request may be sent. */
int64_t
server_rest_wait_ms(const server_rest_t *rest, int64_t now_ms)
{
    if (rest->state == REST_NONE || now_ms >= rest->next_trial_ms) {
        return 0;
    }
    return rest->next_trial_ms - now_ms;
}

bool
server_rest_allows(const server_rest_t *rest, int64_t now_ms)
{
    return server_rest_wait_ms(rest, now_ms) == 0;
}

/* Records that a request is sent. */
void
server_rest_take(server_rest_t *rest, int64_t now_ms)
{
    if (rest->state != REST_NONE && now_ms >= rest->until_ms) {
        rest->state = REST_TRIAL;
        rest->next_trial_ms = now_ms + TRIAL_INTERVAL_MS;
    }
}
