#ifndef CELERYSPOOL_RESERVE_H
#define CELERYSPOOL_RESERVE_H

/* How many slots of each engine of a service are kept free for more urgent
 * requests.  No I/O and no clock. */

#include "admission.h"

/* The mean number of this host's requests in flight at a service's engines,
 * by priority class. */
typedef struct {
    double in_flight[PRIORITY_CLASSES];
    int64_t started_ms; /* first observation; 0 for none */
    int64_t updated_ms; /* last observation */
} reserve_t;

void reserve_observe(reserve_t *reserve,
                     const unsigned in_flight[PRIORITY_CLASSES],
                     int64_t now_ms);
double reserve_class_share(const unsigned in_flight[PRIORITY_CLASSES],
                           unsigned class);
double reserve_slots(const reserve_t *reserve, unsigned class, size_t hosts,
                     size_t servers, int slots);

#endif
