#ifndef CELERYSPOOL_METER_H
#define CELERYSPOOL_METER_H

/* The relay's counters and histograms, and their text form. */

#include "../kernel/metrics.h"

#include <ck_queue.h>

typedef enum {
    METER_ANSWERED,
    METER_SERVER_FAILURE, /* the server's own failure, passed on */
    METER_REFUSED,
    METER_FAILED,
    METER_CALLER_LEFT,
    METER_OUTCOME_COUNT
} meter_outcome_t;

/* One route's requests. */
typedef struct meter_route {
    CK_SLIST_ENTRY(meter_route) entry;
    char name[CS_NAME_MAX];
    uint64_t outcomes[METER_OUTCOME_COUNT];
    histogram_t first_answer; /* to the first event or the answer */
    histogram_t total;
    histogram_t overhead; /* by the router, before the send */
} meter_route_t;

typedef struct {
    CK_SLIST_HEAD(meter_routes, meter_route) routes;
    uint64_t sends;
    uint64_t retries;
    uint64_t not_admitted;
    uint64_t prompt_tokens;
    uint64_t cached_tokens;  /* that servers were believed to hold */
    uint64_t cache_events;   /* of the caches that this daemon follows */
    uint64_t cache_appeared; /* parts that were not known to be held */
    uint64_t cache_evicted;  /* parts that were still believed to be held */
} meter_t;

void meter_init(meter_t *meter);
meter_route_t *meter_route(meter_t *meter, const char *name);
void meter_write(const meter_t *meter, buf_t *out);
void meter_write_value(buf_t *out, const char *name, double value);

#endif
