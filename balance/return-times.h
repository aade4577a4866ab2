#ifndef CELERYSPOOL_RETURN_TIMES_H
#define CELERYSPOOL_RETURN_TIMES_H

/* When the callers of rejected requests are asked to come back.  One
 * return_times_t per service.  No I/O, no clock and no allocation. */

#include "../kernel/base.h"
#include "priority-class.h"

/* Promises that are outstanding at once, per class.  A host that rejects 200
 * requests a second of callers with 2.5 s has about 170. */
#define RETURN_PROMISES_MAX 512

/* A time at which a rejected caller was asked to come back. */
typedef struct {
    int64_t due_ms;
    int64_t wait_began_ms; /* of the caller's first attempt */
} return_promise_t;

typedef struct {
    uint64_t promised;
    uint64_t promised_last; /* at the end of the time that callers honour */
    uint64_t promised_unknown_rate;
    uint64_t returned;
} return_counters_t;

typedef struct {
    double rate; /* admitted requests per ms, decayed to rate_ms */
    int64_t rate_ms;
    size_t promise_count;
    return_promise_t promises[RETURN_PROMISES_MAX]; /* in no order */
    double promised_mean; /* recent return times, by the longest honoured */
    double promised_deviation; /* their mean absolute deviation */
    return_counters_t counters;
} return_class_t;

typedef struct {
    return_class_t classes[PRIORITY_CLASSES];
    int64_t started_ms;
    rng_t rng;
} return_times_t;

void return_times_init(return_times_t *times, rng_t rng, int64_t now_ms);
void return_times_note_admitted(return_times_t *times, unsigned priority_class,
                                int64_t now_ms);
void return_times_note_returned(return_times_t *times, unsigned priority_class,
                                int64_t waited_ms, int64_t now_ms);
int64_t return_time_next(return_times_t *times, unsigned priority_class,
                         int64_t waited_ms, int64_t remaining_ms,
                         int64_t now_ms);
int64_t return_wait_ms(const return_times_t *times, unsigned priority_class,
                       int64_t wait_max_ms, int64_t waited_ms,
                       int64_t remaining_ms);
double return_times_rate(const return_times_t *times, unsigned priority_class,
                         int64_t now_ms);
size_t return_times_outstanding(return_times_t *times, unsigned priority_class,
                                int64_t now_ms);

#endif
