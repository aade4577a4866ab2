#include "watch-duty.h"

#include <string.h>

/* Limits the load on the store: each call has a cost and counts against a rate
 * limit that grows more slowly than the fleet. */

/* Up to this many daemons all watch the store themselves: their calls cost
 * little, and no hop delays the changes. */
#define ALL_WATCH_MAX 8
/* In a larger fleet two daemons watch, so that one can fail, and one more for
 * every so many daemons: a watcher answers three long polls for each follower.
 */
#define FOLLOWERS_PER_WATCHER 32
#define WATCHERS_MIN 2

/* Returns how many daemons of a fleet watch the store; 0 for all. */
size_t
watch_duty_count(size_t daemons)
{
    if (daemons <= ALL_WATCH_MAX) {
        return 0;
    }
    size_t count = WATCHERS_MIN + daemons / FOLLOWERS_PER_WATCHER;
    return count < WATCHERS_MAX ? count : WATCHERS_MAX;
}

/* A watcher that failed to serve is avoided for this long, ms. */
#define AVOIDED_MS 2000

/* Avoids a watcher for AVOIDED_MS. */
void
watch_duty_avoid(watch_avoided_t *avoided, const char *name, int64_t now_ms)
{
    size_t slot = 0;
    for (size_t i = 0; i < WATCHERS_MAX; i++) {
        if (strcmp(avoided->all[i].name, name) == 0) {
            slot = i;
            break;
        }
        if (avoided->all[i].until_ms < avoided->all[slot].until_ms) {
            slot = i;
        }
    }
    str_copy(avoided->all[slot].name, CS_NAME_MAX, name);
    avoided->all[slot].until_ms = now_ms + AVOIDED_MS;
}

bool
watch_duty_is_avoided(const watch_avoided_t *avoided, const char *name,
                      int64_t now_ms)
{
    for (size_t i = 0; i < WATCHERS_MAX; i++) {
        if (now_ms < avoided->all[i].until_ms &&
            strcmp(avoided->all[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the watcher that a daemon follows, or NULL if it watches the store
 * itself: it is a watcher, or there is none that is not avoided.  A watcher in
 * its own data centre is preferred, since it is faster to reach and cheaper;
 * followers spread over equal ones by rendezvous hashing. */
const member_t *
watch_duty_choose(const member_t *owners, size_t count, const char *self,
                  const char *dc, const watch_avoided_t *avoided,
                  int64_t now_ms)
{
    const member_t *best = NULL;
    bool best_near = false;
    uint64_t key = str_hash(self, 0);
    for (size_t i = 0; i < count; i++) {
        const member_t *owner = &owners[i];
        bool near = strcmp(owner->dc, dc) == 0;
        if (strcmp(owner->name, self) == 0) {
            return NULL;
        }
        if (watch_duty_is_avoided(avoided, owner->name, now_ms)) {
            continue;
        }
        if (best == NULL || (near && !best_near) ||
            (near == best_near &&
             place_rendezvous_weight(key, owner->name) >
                 place_rendezvous_weight(key, best->name))) {
            best = owner;
            best_near = near;
        }
    }
    return best;
}
