#include "decode-speed.h"

#include <math.h>

/* An engine produces one token of each running answer in a step, and a step
 * takes longer the more requests run.  A long answer therefore costs least
 * where few requests run, while for a short one the wait before it matters. */

/* Answers with fewer tokens are not observed: the time of their few steps
 * depends on when they began. */
#define TOKENS_MIN 30.0
/* Time of an output token, ms, to which observations are bounded. */
#define TOKEN_MS_MAX 200.0
/* Share of earlier observations that each new one replaces: a host of a large
 * fleet has some tens of long answers in a minute. */
#define FORGETTING 0.02
/* Observations before the slope is used. */
#define OBSERVATIONS_MIN 20
/* Variance of the number of requests from which on the slope is known. */
#define VARIANCE_MIN 1.0

/* Share of the running answers whose callers notice a delay by a prompt: those
 * that are between two events for longer than their callers expect. */
#define DELAYED_SHARE 0.3

/* Adds a complete answer: the requests in flight when it began, its tokens and
 * the time from the first to the last of them. */
void
decode_speed_observe(decode_speed_t *speed, double requests, double tokens,
                     double ms)
{
    if (tokens < TOKENS_MIN || ms <= 0 || requests < 0) {
        return;
    }
    double token_ms = fmin(ms / tokens, TOKEN_MS_MAX);
    double keep = 1 - FORGETTING;
    speed->weight = keep * speed->weight + 1;
    speed->sum_requests = keep * speed->sum_requests + requests;
    speed->sum_requests_squared =
        keep * speed->sum_requests_squared + requests * requests;
    speed->sum_ms = keep * speed->sum_ms + token_ms;
    speed->sum_requests_ms =
        keep * speed->sum_requests_ms + requests * token_ms;
    if (speed->observations < OBSERVATIONS_MIN) {
        speed->observations++;
    }
}

/* Returns the time that each request in flight adds to an output token, ms; 0
 * if it is not known. */
double
decode_speed_ms_per_request(const decode_speed_t *speed)
{
    if (speed->observations < OBSERVATIONS_MIN) {
        return 0;
    }
    double mean = speed->sum_requests / speed->weight;
    double variance =
        speed->sum_requests_squared / speed->weight - mean * mean;
    if (variance < VARIANCE_MIN) {
        return 0;
    }
    double covariance = speed->sum_requests_ms / speed->weight -
                        mean * speed->sum_ms / speed->weight;
    return fmax(0, covariance / variance);
}

/* Returns how much longer an answer of so many tokens takes beside other
 * requests than alone, ms. */
double
decode_speed_extra_ms(const decode_speed_t *speed, double tokens,
                      double requests)
{
    return tokens * requests * decode_speed_ms_per_request(speed);
}

/* Returns what a prompt costs the callers of the answers that run at its
 * engine, ms: each of them pauses while the engine prefills it. */
double
decode_delay_cost_ms(double requests, double prefill_ms)
{
    return requests * prefill_ms * DELAYED_SHARE;
}
