#ifndef CELERYSPOOL_CACHE_EVENTS_H
#define CELERYSPOOL_CACHE_EVENTS_H

/* What the daemon that follows a cache does with the cache's events. No I/O.
 */

#include "cache-source.h"

void cache_event_apply(relay_t *relay, cached_parts_t *unasked,
                       const char *holder, const cache_event_t *event);
void cache_event_note_request(relay_t *relay, cached_parts_t *unasked,
                              const char *holder, uint64_t key);

#endif
