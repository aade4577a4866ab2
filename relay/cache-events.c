#include "cache-events.h"

#include <string.h>

/* Most parts that a cache stores belong to one request and are requested by no
 * other.  Announcing them to all daemons would cost more than all other
 * messages between daemons. */

/* Applies an event and notifies peers of a change that they do not know.  A
 * part that no request is known to have is only remembered as unrequested. */
void
cache_event_apply(relay_t *relay, cached_parts_t *unrequested,
                  const char *holder, const cache_event_t *event)
{
    uint64_t key = prompt_part_key(
        prompt_part_hash(event->id, strlen(event->id)), event->salt);
    const cached_part_t part = {
        .key = key, .prompt_tokens = event->tokens, .tokens = event->tokens};
    bool present = event->added && event->tokens > 0;
    relay->meter.cache_events++;
    if (!cache_map_has_key(relay->cache_map, key)) {
        if (present) {
            cached_parts_use(unrequested, &part);
        }
        else {
            cached_parts_remove(unrequested, key);
        }
        return;
    }
    if (present) {
        cache_note_appeared(relay, holder, &part);
    }
    else if (!event->added && cache_note_evicted(relay, holder, key)) {
        relay->meter.cache_parts_evicted++;
        relay->notify_part(relay->peers, holder, &part, false);
    }
}

/* Records that a request here or at another daemon has a part; peers are
 * notified if the cache holds it. */
void
cache_event_note_request(relay_t *relay, cached_parts_t *unrequested,
                         const char *holder, uint64_t key)
{
    const cached_part_t *known = cached_parts_get(unrequested, key);
    if (known != NULL) {
        const cached_part_t part = *known;
        cached_parts_remove(unrequested, key);
        cache_note_appeared(relay, holder, &part);
    }
}
