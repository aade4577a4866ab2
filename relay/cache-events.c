#include "cache-events.h"

#include <string.h>

/* The load that this answers: most parts that a cache takes in belong to one
 * request and are asked for by no other.  Announced to all daemons they would
 * cost more than all other messages between them. */

/* Notifies the other daemons of a change that they do not know.  A part that
 * no request is known to ask for is only kept track of. */
void
cache_event_take(relay_t *relay, cached_parts_t *unasked, const char *holder,
                 const cache_event_t *event)
{
    uint64_t key = prompt_part_key(prompt_part(event->id, strlen(event->id)),
                                   event->salt);
    const cached_part_t part = {
        .key = key, .prompt_tokens = event->tokens, .tokens = event->tokens};
    bool there = event->grew && event->tokens > 0;
    relay->meter.cache_events++;
    if (!cache_map_has_key(relay->cache, key)) {
        if (there) {
            cached_parts_use(unasked, &part);
        }
        else {
            cached_parts_drop(unasked, key);
        }
        return;
    }
    if (there) {
        cache_appeared(relay, holder, &part);
    }
    else if (!event->grew && cache_evicted(relay, holder, key)) {
        relay->meter.cache_evicted++;
        relay->notify_part(relay->peers, holder, &part, false);
    }
}

/* A request here or at another daemon asks for a part: the others are notified
 * if the cache holds it. */
void
cache_event_asked(relay_t *relay, cached_parts_t *unasked, const char *holder,
                  uint64_t key)
{
    const cached_part_t *known = cached_parts_get(unasked, key);
    if (known != NULL) {
        const cached_part_t part = *known;
        cached_parts_drop(unasked, key);
        cache_appeared(relay, holder, &part);
    }
}
