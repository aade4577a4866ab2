#ifndef CELERYSPOOL_CACHE_EVENTS_H
#define CELERYSPOOL_CACHE_EVENTS_H

/* Applies the events of a cache in the daemon that follows it.  No I/O. */

#include "cache-source.h"

void cache_event_apply(relay_t *relay, cached_parts_t *unrequested,
                       const char *holder, const cache_event_t *event);
void cache_event_note_request(relay_t *relay, cached_parts_t *unrequested,
                              const char *holder, uint64_t key);

#endif
