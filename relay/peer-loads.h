#ifndef CELERYSPOOL_PEER_LOADS_H
#define CELERYSPOOL_PEER_LOADS_H

/* Announcements of the load that each daemon has put on servers.  No I/O. */

#include "../kernel/peer-codec.h"
#include "servers.h"

/* Fills a datagram with the loads that must be announced; false if there are
 * none. */
bool peer_loads_collect(servers_t *servers, peer_datagram_t *out,
                        int64_t now_ms);
void peer_loads_apply(servers_t *servers, uint64_t host,
                      const peer_datagram_t *datagram, int64_t now_ms);

#endif
