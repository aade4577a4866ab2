#include "forecast.h"

#include <math.h>

/* The load that this answers: a fleet where hosts know of each other's
 * requests late, and engines that slow down as they fill up.  How much later
 * than expected answers come differs between fleets and hours, so each host
 * learns it from its own. */

/* Weight of the newest answer: about the last fifty. */
#define WEIGHT 0.02
/* One odd answer moves no more than this, ms. */
#define ERROR_MOST_MS 2000.0
/* Spreads that are left for answers that come later than most. */
#define SPREADS 3.0

void
forecast_update(forecast_t *forecast, double expected_ms, double observed_ms)
{
    double error = observed_ms - expected_ms;
    error = fmax(-ERROR_MOST_MS, fmin(error, ERROR_MOST_MS));
    double off = fabs(error - forecast->error_ms);
    forecast->error_ms += WEIGHT * (error - forecast->error_ms);
    forecast->spread_ms += WEIGHT * (off - forecast->spread_ms);
}

/* Time behind the expected one by which most answers have come, ms. */
double
forecast_margin_ms(const forecast_t *forecast)
{
    return fmax(0, forecast->error_ms + SPREADS * forecast->spread_ms);
}
