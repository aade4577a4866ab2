#include "watch-duty.h"

#include <string.h>

/* The load that this answers: every call to the store has its price and counts
 * against a rate that grows more slowly than the fleet. */

/* So many daemons all watch for themselves: their calls cost little, and no
 * hop stands between them and the store. */
#define ALL_WATCH 8
/* Of more, two watch, so that one can be lost, and one more for this many: a
 * watcher answers their long polls, three each. */
#define FOLLOWERS 32
#define WATCHERS_LEAST 2

/* How many of so many daemons watch; 0 for all. */
size_t
watch_duty_count(size_t daemons)
{
    if (daemons <= ALL_WATCH) {
        return 0;
    }
    size_t count = WATCHERS_LEAST + daemons / FOLLOWERS;
    return count < WATCHERS_MAX ? count : WATCHERS_MAX;
}

/* A watcher that does not serve is passed over for so long, ms. */
#define AVOIDED_MS 2000

/* Pass a watcher over for a while. */
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
watch_duty_avoids(const watch_avoided_t *avoided, const char *name,
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

/* The watcher that a daemon follows, or NULL if it watches itself: it has the
 * duty, or no watcher serves it now.  One in its own data centre is nearer and
 * cheaper; among equals followers spread by rendezvous. */
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
        if (watch_duty_avoids(avoided, owner->name, now_ms)) {
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
