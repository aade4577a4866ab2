#ifndef CELERYSPOOL_CALLER_WAIT_H
#define CELERYSPOOL_CALLER_WAIT_H

/* How long a caller has waited before an attempt, by the deadline that it
 * states.  No I/O and no clock. */

#include "../kernel/base.h"

#define CALLER_WAIT_ROUTES_MAX 64

/* The deadline that first attempts of a route state. */
typedef struct {
    uint64_t route; /* hash of its name; 0 for a free slot */
    int64_t usual_ms;
    int votes;     /* attempts that stated it, less those that did not */
    uint64_t used; /* for eviction */
} caller_deadline_t;

typedef struct {
    caller_deadline_t routes[CALLER_WAIT_ROUTES_MAX];
    uint64_t used;
} caller_wait_t;

int64_t caller_wait_observe(caller_wait_t *waits, uint64_t route,
                            int64_t deadline_ms);

#endif
