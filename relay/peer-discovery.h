#ifndef CELERYSPOOL_PEER_DISCOVERY_H
#define CELERYSPOOL_PEER_DISCOVERY_H

/* How daemons find each other: each writes an object into the platform's store
 * that says where it listens, and lists the others'. */

#include "../kernel/settings.h"
#include "../kernel/tables.h"
#include "../kernel/fetch.h"

typedef enum {
    DISCOVERY_CREATE,
    DISCOVERY_REPLACE,
    DISCOVERY_LIST,
    DISCOVERY_DONE
} discovery_step_t;

typedef struct {
    const settings_t *settings;
    exchanges_t *exchanges;
    members_t *members; /* what is found becomes a seed */
    /* Another daemon is listed at this address. */
    void (*on_listed)(void *arg, const char *addr);
    void *arg;
    discovery_step_t step;
    int64_t next_ms;
    fetch_t *fetch;
} peer_discovery_t;

void peer_discovery_tick(peer_discovery_t *look, int64_t now);

#endif
