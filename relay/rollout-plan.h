#ifndef CELERYSPOOL_ROLLOUT_PLAN_H
#define CELERYSPOOL_ROLLOUT_PLAN_H

/* Which servers load new weights next.  No I/O. */

#include "servers.h"

size_t rollout_limit(size_t servers);
server_t *rollout_pick(servers_t *servers, const char *model, int64_t version,
                       int64_t now_ms);
size_t rollout_count(servers_t *servers, const char *model, size_t *loading);

#endif
