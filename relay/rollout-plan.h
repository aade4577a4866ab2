#ifndef CELERYSPOOL_ROLLOUT_PLAN_H
#define CELERYSPOOL_ROLLOUT_PLAN_H

/* Selects the servers that load new weights next, and decides when they are
 * ordered to and how.  No I/O. */

#include "../platform/platform.h"

/* Longest time for which a server drains before it is ordered to load weights.
 * Most answers end within it; the longest take several times as long. */
#define ROLLOUT_DRAIN_MS 500

/* Longest time for which a server drains until its running requests may go on
 * through the load.  After it the load waits for them. */
#define ROLLOUT_DRAIN_MAX_MS 3000

/* What to do with a server that drains. */
typedef enum {
    ROLLOUT_DRAIN,      /* decide again with a later report */
    ROLLOUT_ORDER_KEEP, /* order it to load; its requests go on */
    ROLLOUT_ORDER_WAIT  /* order it to load when its requests have ended */
} rollout_decision_t;

size_t rollout_limit(size_t servers);
server_t *rollout_pick(servers_t *servers, const char *model, int64_t version,
                       int64_t now_ms);
bool rollout_can_order(const server_t *server, int64_t drain_started_ms,
                       int64_t now_ms);
rollout_decision_t rollout_decide(const server_report_t *report, int slots,
                                  double rate_max, int64_t drained_ms);
size_t rollout_count(servers_t *servers, const char *model, size_t *ordered);

#endif
