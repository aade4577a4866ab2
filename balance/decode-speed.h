#ifndef CELERYSPOOL_DECODE_SPEED_H
#define CELERYSPOOL_DECODE_SPEED_H

/* How much longer an output token takes for each further request that runs at
 * its engine, and what a prompt costs those that run there.  No I/O and no
 * clock. */

#include "../kernel/base.h"

/* Regression of the time of an output token over the requests in flight, with
 * forgetting. */
typedef struct {
    double weight;
    double sum_requests;
    double sum_requests_squared;
    double sum_ms;
    double sum_requests_ms;
    unsigned observations; /* saturates */
} decode_speed_t;

void decode_speed_observe(decode_speed_t *speed, double requests,
                          double tokens, double ms);
double decode_speed_ms_per_request(const decode_speed_t *speed);
double decode_speed_extra_ms(const decode_speed_t *speed, double tokens,
                             double requests);
double decode_delay_cost_ms(double requests, double prefill_ms);

#endif
