#ifndef CELERYSPOOL_FORECAST_H
#define CELERYSPOOL_FORECAST_H

/* Statistics of how much later than expected first answers arrive.  No I/O and
 * no clock. */

#include "../kernel/base.h"

typedef struct {
    double error_ms;  /* observed minus expected time, moving average */
    double spread_ms; /* absolute deviation from error_ms, moving average */
} forecast_t;

void forecast_update(forecast_t *forecast, double expected_ms,
                     double observed_ms);
double forecast_margin_ms(const forecast_t *forecast);

#endif
