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

/* The watcher from which a daemon hears, or NULL if it watches itself.  One in
 * its own data centre is nearer and cheaper; among equals followers spread by
 * rendezvous. */
const member_t *
watch_duty_choose(const member_t *owners, size_t count, const char *self,
                  const char *dc)
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
        if (best == NULL || (near && !best_near) ||
            (near == best_near &&
             place_weight(key, owner->name) > place_weight(key, best->name))) {
            best = owner;
            best_near = near;
        }
    }
    return best;
}
