#ifndef CELERYSPOOL_SERVICE_STATE_H
#define CELERYSPOOL_SERVICE_STATE_H

/* What this host has observed of a service whose engines admit requests by
 * priority.  It outlives the configuration. */

#include "../balance/caller-wait.h"
#include "../balance/reserve.h"
#include "../balance/return-times.h"
#include "../balance/wait-forecast.h"
#include "../balance/wait-queue.h"

#include <ck_queue.h>

typedef struct service_state {
    CK_SLIST_ENTRY(service_state) entry;
    char name[CS_NAME_MAX];
    unsigned in_flight[PRIORITY_CLASSES]; /* of this host, at all engines */
    reserve_t reserve;
    double kept_free[PRIORITY_CLASSES]; /* slots, when last computed */
    wait_queue_t queue;                 /* requests that wait for room */
    bool placing; /* a round of placing from the queue is under way */
    return_times_t return_times;
    caller_wait_t caller_waits;
    wait_forecast_t wait_forecasts[PRIORITY_CLASSES];
    uint64_t sent[PRIORITY_CLASSES];
    uint64_t waited[PRIORITY_CLASSES]; /* requests that waited for room */
    uint64_t rejected[PRIORITY_CLASSES];
} service_state_t;

typedef CK_SLIST_HEAD(service_states, service_state) service_states_t;

service_state_t *service_state_new(const char *name, rng_t *rng,
                                   int64_t now_ms);
service_state_t *service_states_find(const service_states_t *states,
                                     const char *name);
service_state_t *service_states_get(service_states_t *states, const char *name,
                                    rng_t *rng, int64_t now_ms);
void service_states_tick(service_states_t *states, int64_t now_ms);
void service_states_write_metrics(const service_states_t *states, buf_t *out);

#endif
