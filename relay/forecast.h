#ifndef CELERYSPOOL_FORECAST_H
#define CELERYSPOOL_FORECAST_H

/* How far forecasts of the first answer are off, learned from those that came
 * true.  No I/O and no clock. */

#include "../kernel/base.h"

typedef struct {
    double error_ms;  /* observed less expected, smoothed */
    double spread_ms; /* distance of the errors from that, smoothed */
} forecast_t;

void forecast_update(forecast_t *forecast, double expected_ms,
                     double observed_ms);
double forecast_margin_ms(const forecast_t *forecast);

#endif
