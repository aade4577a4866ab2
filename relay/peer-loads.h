#ifndef CELERYSPOOL_PEER_LOADS_H
#define CELERYSPOOL_PEER_LOADS_H

/* The daemons' announcements of their requests at servers.  No I/O. */

#include "../kernel/peer-codec.h"
#include "servers.h"

/* Fills a datagram with the loads that have changed enough; false if there is
 * none. */
bool peer_loads_collect(servers_t *servers, peer_datagram_t *out,
                        int64_t now_ms);
void peer_loads_apply(servers_t *servers, uint64_t host,
                      const peer_datagram_t *datagram, int64_t now_ms);

#endif
