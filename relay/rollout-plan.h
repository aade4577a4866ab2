#ifndef CELERYSPOOL_ROLLOUT_PLAN_H
#define CELERYSPOOL_ROLLOUT_PLAN_H

/* Which servers load new weights next.  No I/O. */

#include "servers.h"

/* Longest time that a server is given to end what it runs before it is
 * ordered, ms: most answers are over by then, and the longest take several
 * times as long. */
#define ROLLOUT_DRAIN_MS 500

size_t rollout_limit(size_t servers);
server_t *rollout_pick(servers_t *servers, const char *model, int64_t version,
                       int64_t now_ms);
bool rollout_can_order(const server_t *server, int64_t quiet_ms,
                       int64_t now_ms);
size_t rollout_count(servers_t *servers, const char *model, size_t *loading);

#endif
