#ifndef CELERYSPOOL_METER_H
#define CELERYSPOOL_METER_H

/* The relay's counters and histograms, and their output as text. */

#include "../kernel/metrics.h"

#include <ck_queue.h>

typedef enum {
    METER_ANSWERED,
    METER_SERVER_FAILURE, /* the server's error response, passed on */
    METER_REJECTED,
    METER_FAILED,
    METER_CALLER_DISCONNECTED,
    METER_OUTCOME_COUNT
} meter_outcome_t;

/* Counters and histograms of one route. */
typedef struct meter_route {
    CK_SLIST_ENTRY(meter_route) entry;
    char name[CS_NAME_MAX];
    uint64_t outcomes[METER_OUTCOME_COUNT];
    histogram_t first_answer; /* time to the first event or the answer */
    histogram_t total;        /* time until the request has ended */
    histogram_t overhead;     /* time in the router before the first send */
} meter_route_t;

typedef struct {
    CK_SLIST_HEAD(meter_routes, meter_route) routes;
    uint64_t sends;
    uint64_t retries;
    uint64_t forwards;         /* of requests to other hosts */
    uint64_t forwards_refused; /* by these */
    uint64_t taken;            /* requests that other hosts forwarded */
    uint64_t shares_counted;   /* requests that allow retries */
    uint64_t not_admitted;     /* rejected on receipt */
    uint64_t resumes;          /* streams that callers took up */
    uint64_t resumes_asked;    /* of these, other hosts were asked */
    uint64_t origin_reports;   /* requested for the origins of streams */
    uint64_t resumes_unknown;  /* of these, at an unknown version */
    uint64_t prompt_tokens;    /* of all requests */
    uint64_t cached_tokens;    /* of these, expected in the servers' caches */
    uint64_t answers_unnamed;  /* of servers, without the id of a request */
    uint64_t answers_stray;    /* of servers, with another request's id */
    uint64_t reads_stopped;    /* since callers did not read */
    uint64_t answers_dropped;  /* since no one read them, to free memory */
    uint64_t cache_events;     /* received from the followed caches */
    uint64_t cache_parts_appeared; /* cached parts that were not known yet */
    uint64_t cache_parts_evicted; /* evicted parts that were believed cached */
} meter_t;

void meter_init(meter_t *meter);
meter_route_t *meter_get_route(meter_t *meter, const char *name);
void meter_write(const meter_t *meter, buf_t *out);
void meter_write_value(buf_t *out, const char *name, double value);

#endif
