#include "peers-table.h"

#include <string.h>

/* Which daemon does what for all, and which one to ask. */

/* Daemons that are alive, this one included. */
size_t
peers_live(const peers_t *peers)
{
    return members_live_count(peers->members);
}

/* Whether a duty falls to this daemon: see members_has_duty. */
bool
peers_duty(const peers_t *peers, const char *duty)
{
    return members_has_duty(peers->members, duty);
}

/* How many other live daemons come before this one for a duty. */
size_t
peers_duty_rank(const peers_t *peers, const char *duty)
{
    return members_duty_rank(peers->members, duty);
}

/* The address at which a live daemon serves its objects, in turn; false if
 * there is none. */
bool
peers_any(peers_t *peers, char addr[CS_ADDR_MAX])
{
    member_t live[PEERS_DIRECT_MAX + 1];
    size_t count = members_list(peers->members, live, PEERS_DIRECT_MAX + 1);
    for (size_t i = 0; i < count; i++) {
        const member_t *member = &live[(peers->turn + i) % count];
        if (member->health == MEMBER_ALIVE &&
            strcmp(member->name, peers->relay->settings.name) != 0) {
            str_copy(addr, CS_ADDR_MAX, member->http_addr);
            peers->turn += i + 1;
            return true;
        }
    }
    return false;
}

static size_t
watchers(const peers_t *peers, member_t owners[WATCHERS_MAX])
{
    size_t want = watch_duty_count(peers_live(peers));
    return want == 0 ? 0
                     : members_list_duty_owners(peers->members, "store-watch",
                                                owners, want);
}

/* Whether this daemon follows another one's watches of the store, and which:
 * see watch_duty_choose. */
bool
peers_upstream(peers_t *peers, char addr[CS_ADDR_MAX])
{
    member_t owners[WATCHERS_MAX];
    const settings_t *settings = &peers->relay->settings;
    size_t count = watchers(peers, owners);
    const member_t *owner =
        watch_duty_choose(owners, count, settings->name, settings->dc,
                          &peers->avoided, time_mono_ms());
    if (owner == NULL) {
        return false;
    }
    str_copy(addr, CS_ADDR_MAX, owner->http_addr);
    return true;
}

/* The watcher at an address does not serve this daemon.  One that answered so
 * has lost the store, and another may have it; one that is silent may be cut
 * off as this daemon is, and waiting for the next would take too long. */
void
peers_upstream_lost(peers_t *peers, const char *addr, bool answered)
{
    member_t owners[WATCHERS_MAX];
    size_t count = watchers(peers, owners);
    for (size_t i = 0; i < count; i++) {
        if (!answered || strcmp(owners[i].http_addr, addr) == 0) {
            watch_duty_avoid(&peers->avoided, owners[i].name, time_mono_ms());
        }
    }
}
