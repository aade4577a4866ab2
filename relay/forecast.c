#include "forecast.h"

#include <math.h>

/* Expected times are too short where hosts learn of each other's requests with
 * a delay and engines slow down as they fill up.  By how much depends on the
 * fleet and the time of day, so each host measures it on its own requests. */

/* Weight of a new sample in the moving averages, which thus cover about the
 * last fifty answers. */
#define WEIGHT 0.02
/* Errors are clamped to this, so that one outlier has a bounded effect. */
#define ERROR_MAX_MS 2000.0
/* Spreads that the margin adds to the mean error, to cover most answers. */
#define MARGIN_SPREADS 3.0

/* Adds the expected and the observed time of one answer. */
void
forecast_update(forecast_t *forecast, double expected_ms, double observed_ms)
{
    double error = observed_ms - expected_ms;
    error = fmax(-ERROR_MAX_MS, fmin(error, ERROR_MAX_MS));
    double deviation = fabs(error - forecast->error_ms);
    forecast->error_ms += WEIGHT * (error - forecast->error_ms);
    forecast->spread_ms += WEIGHT * (deviation - forecast->spread_ms);
}

/* Returns an upper bound, in ms, on how late most answers are. */
double
forecast_margin_ms(const forecast_t *forecast)
{
    return fmax(0, forecast->error_ms + MARGIN_SPREADS * forecast->spread_ms);
}
