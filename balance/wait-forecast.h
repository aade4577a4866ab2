#ifndef CELERYSPOOL_WAIT_FORECAST_H
#define CELERYSPOOL_WAIT_FORECAST_H

/* How long requests of a priority class really wait at engines, relative to
 * what is expected.  No I/O and no clock. */

#include "../kernel/base.h"

typedef struct {
    double log_ratio; /* of observed to expected waits, moving average */
    double error_ms;  /* mean absolute error of corrected waits */
    uint64_t count;
} wait_forecast_t;

void wait_forecast_observe(wait_forecast_t *forecast, double expected_ms,
                           double observed_ms);
double wait_forecast_correct(const wait_forecast_t *forecast,
                             double expected_ms);

#endif
