#ifndef CELERYSPOOL_PEER_DISCOVERY_H
#define CELERYSPOOL_PEER_DISCOVERY_H

/* Discovers other daemons: each writes an object with its address into the
 * platform's store, and lists the objects of the others. */

#include "../kernel/settings.h"
#include "../kernel/tables.h"
#include "../kernel/fetch.h"
#include "list-walk.h"

typedef enum {
    DISCOVERY_CREATE,  /* create this daemon's object */
    DISCOVERY_REPLACE, /* replace it, since it exists */
    DISCOVERY_LIST,    /* list all objects */
    DISCOVERY_DONE     /* listed; list again if no other daemon is known */
} discovery_step_t;

typedef struct {
    const settings_t *settings;
    exchanges_t *exchanges;
    members_t *members; /* gets the listed addresses as seeds */
    /* Called for each listed address, that of this daemon included. */
    void (*on_listed)(void *arg, const char *addr);
    void *arg;
    discovery_step_t step;
    list_walk_t walk; /* of the list that is being read */
    size_t listed;    /* daemons in the last list, this one included */
    int64_t next_ms;  /* no call before this time */
    fetch_t *fetch;
} peer_discovery_t;

void peer_discovery_tick(peer_discovery_t *discovery, int64_t now);

#endif
