#ifndef CELERYSPOOL_ROLLOUT_PLAN_H
#define CELERYSPOOL_ROLLOUT_PLAN_H

/* Selects the servers that load new weights next.  No I/O. */

#include "servers.h"

/* Longest time for which a server drains before it is ordered to load weights.
 * Most answers end within it; the longest take several times as long. */
#define ROLLOUT_DRAIN_MS 500

size_t rollout_limit(size_t servers);
server_t *rollout_pick(servers_t *servers, const char *model, int64_t version,
                       int64_t now_ms);
bool rollout_can_order(const server_t *server, int64_t drain_started_ms,
                       int64_t now_ms);
size_t rollout_count(servers_t *servers, const char *model, size_t *ordered);

#endif
