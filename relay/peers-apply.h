#ifndef CELERYSPOOL_PEERS_APPLY_H
#define CELERYSPOOL_PEERS_APPLY_H

/* Applies the facts that other daemons send about servers. */

#include "../kernel/peer-codec.h"
#include "relay.h"

void peers_apply(relay_t *relay, uint64_t host, const peer_fact_t *fact);

#endif
