#include "wait-forecast.h"

#include <math.h>

/* The expected wait takes all prompts that are ahead at an engine, by reports
 * that are some ten ms old.  A request of an urgent class overtakes others,
 * and what has ended meanwhile is not known, so that it waits less; where many
 * hosts choose the same engine at once, it waits longer.  The ratio of the two
 * is learned from the requests themselves. */

/* Weight of a new observation: the average covers about the last twenty that
 * are long enough, which are seconds in overload. */
#define WEIGHT 0.05
/* Shorter expected waits are ignored: the time of one batch step is as long.
 */
#define EXPECTED_MIN_MS 25.0
/* Bounds of a single ratio and of the average. */
#define RATIO_MIN 0.25
#define RATIO_MAX 4.0

static double
bounded_log(double ratio)
{
    return log(fmax(RATIO_MIN, fmin(ratio, RATIO_MAX)));
}

/* Adds the expected wait of a request and the time that it took to its first
 * answer besides its own prefill. */
void
wait_forecast_observe(wait_forecast_t *forecast, double expected_ms,
                      double observed_ms)
{
    if (expected_ms < EXPECTED_MIN_MS) {
        return;
    }
    double error =
        fabs(observed_ms - wait_forecast_correct(forecast, expected_ms));
    forecast->count++;
    forecast->error_ms += WEIGHT * (error - forecast->error_ms);
    forecast->log_ratio += WEIGHT * (bounded_log(observed_ms / expected_ms) -
                                     forecast->log_ratio);
}

/* Returns how long a request with an expected wait is likely to wait. */
double
wait_forecast_correct(const wait_forecast_t *forecast, double expected_ms)
{
    return expected_ms * exp(forecast->log_ratio);
}
