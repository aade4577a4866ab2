#ifndef CELERYSPOOL_SNAPSHOT_H
#define CELERYSPOOL_SNAPSHOT_H

/* A snapshot warms up a daemon that starts.  It has the configuration, the
 * loads and the most recently reused cache levels, and comes from a peer, or,
 * with fewer levels, from the platform's store. */

#include "daemon.h"

#define SNAPSHOT_OBJECT "snapshots/main"
#define SNAPSHOT_PEER_FACTS_MAX 4096
#define SNAPSHOT_STORE_FACTS_MAX 512

json_t *snapshot_make(celeryspoold_t *daemon, size_t facts_max);
void snapshot_apply(celeryspoold_t *daemon, json_t *snapshot,
                    const char *source);
void snapshot_save(celeryspoold_t *daemon);
void snapshot_warm_up(celeryspoold_t *daemon);

#endif
