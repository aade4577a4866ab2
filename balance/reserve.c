#include "reserve.h"

#include <math.h>

/* Requests of one class at one of many engines are few and arrive
 * independently, so their number varies around its mean by about the mean's
 * square root.  The slots kept free cover such a variation above the mean;
 * the mean itself is in the server's count of requests in flight. */

/* Standard deviations that are kept free: one arrival in twenty finds more
 * urgent requests than that. */
#define RESERVE_SPREADS 2.0
/* Reserve before anything was observed, as a share of the slots. */
#define RESERVE_START_SHARE 0.125
/* Time constant of the mean, ms: long against a request, short against a
 * surge of demand. */
#define RESERVE_SMOOTHING_MS 2000.0
/* The mean is used after this time of observation. */
#define RESERVE_LEARNING_MS 1000

/* Requests in flight from which on the share of a class is known: with one
 * request more or less it changes by at most an eighth. */
#define SHARE_REQUESTS_MIN 8

/* Records the numbers of this host's requests in flight. */
void
reserve_observe(reserve_t *reserve, const unsigned in_flight[PRIORITY_CLASSES],
                int64_t now_ms)
{
    double weight = 1;
    if (reserve->started_ms == 0) {
        reserve->started_ms = now_ms;
    }
    else {
        double span = (double)(now_ms - reserve->updated_ms);
        weight = 1 - exp(-span / RESERVE_SMOOTHING_MS);
    }
    reserve->updated_ms = now_ms;
    for (unsigned i = 0; i < PRIORITY_CLASSES; i++) {
        reserve->in_flight[i] +=
            weight * (in_flight[i] - reserve->in_flight[i]);
    }
}

/* Returns the slots of an engine that a request of a class must leave free.
 * The balancer gives all hosts similar shares of the requests, so this host's
 * mean stands for that of the others. */
double
reserve_slots(const reserve_t *reserve, unsigned class, size_t hosts,
              size_t servers, int slots)
{
    double mean = 0;
    if (class == 0 || servers == 0) {
        return 0;
    }
    if (reserve->updated_ms - reserve->started_ms < RESERVE_LEARNING_MS) {
        return slots * RESERVE_START_SHARE;
    }
    for (unsigned i = 0; i < class; i++) {
        mean += reserve->in_flight[i];
    }
    mean *= (double)hosts / (double)servers;
    return RESERVE_SPREADS * sqrt(mean);
}

/* Returns which share of the requests in flight are of a class or less urgent;
 * 1 if there are too few to know. */
double
reserve_class_share(const unsigned in_flight[PRIORITY_CLASSES], unsigned class)
{
    unsigned all = 0;
    unsigned less_urgent = 0;
    for (unsigned i = 0; i < PRIORITY_CLASSES; i++) {
        all += in_flight[i];
        less_urgent += i >= class ? in_flight[i] : 0;
    }
    return all < SHARE_REQUESTS_MIN ? 1 : (double)less_urgent / all;
}
