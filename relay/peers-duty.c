#include "peers-internal.h"

#include <string.h>

/* Which daemon has a duty for the whole fleet, and which daemon this one
 * queries or follows. */

/* Others that have not answered by this time after the start are taken to have
 * ended: their objects stay in the store. */
#define DISCOVERY_MS_MAX 1000
/* Share of the listed daemons that are live once most of them are known. */
#define KNOWN_SHARE 0.75

/* Returns the number of live daemons, this one included. */
size_t
peers_live_count(const peers_t *peers)
{
    return members_live_count(peers->members);
}

/* Whether this daemon knows enough of the others to ask them.  One that has
 * just started does not, until most of those in the store's list answer. */
bool
peers_are_known(const peers_t *peers, int64_t now)
{
    const peer_discovery_t *discovery = &peers->discovery;
    return now - peers->started_ms >= DISCOVERY_MS_MAX ||
           (discovery->step == DISCOVERY_DONE &&
            (double)peers_live_count(peers) >=
                (double)discovery->listed * KNOWN_SHARE);
}

/* Returns the recent maximum of live daemons: those that a partition hides for
 * a while still send requests. */
size_t
peers_recent_count(const peers_t *peers)
{
    size_t live = peers_live_count(peers);
    size_t peak = peers->retry_hosts.count.peak_live;
    return peak > live ? peak : live;
}

/* Whether this daemon has a duty: see members_has_duty. */
bool
peers_has_duty(const peers_t *peers, const char *duty)
{
    return members_has_duty(peers->members, duty);
}

/* Returns how many other live daemons rank before this one for a duty. */
size_t
peers_duty_rank(const peers_t *peers, const char *duty)
{
    return members_duty_rank(peers->members, duty);
}

/* Finds the address at which another live daemon serves its objects, a
 * different one on each call where possible; false if there is none. */
bool
peers_next_http_addr(peers_t *peers, char addr[CS_ADDR_MAX])
{
    member_t live[PEERS_DIRECT_MAX + 1];
    size_t count = members_list(peers->members, live, PEERS_DIRECT_MAX + 1);
    for (size_t i = 0; i < count; i++) {
        const member_t *member = &live[(peers->http_rotation + i) % count];
        if (member->health == MEMBER_ALIVE &&
            strcmp(member->name, peers->relay->settings.name) != 0) {
            str_copy(addr, CS_ADDR_MAX, member->http_addr);
            peers->http_rotation += i + 1;
            return true;
        }
    }
    return false;
}

/* Whether the daemon at an address answers the others. */
bool
peers_is_alive(peers_t *peers, const char *peer_addr)
{
    member_t members[QUOTA_HOSTS_MAX];
    size_t count = members_list(peers->members, members, QUOTA_HOSTS_MAX);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i].peer_addr, peer_addr) == 0) {
            return members[i].health == MEMBER_ALIVE;
        }
    }
    return false;
}

/* Lists the processes of the known daemons, this one included: a host that
 * starts again is another process. */
size_t
peers_list_processes(peers_t *peers, uint64_t *out, size_t max)
{
    member_t members[QUOTA_HOSTS_MAX];
    size_t wanted = max < QUOTA_HOSTS_MAX ? max : QUOTA_HOSTS_MAX;
    size_t count = members_list(peers->members, members, wanted);
    for (size_t i = 0; i < count; i++) {
        out[i] = str_hash(members[i].peer_addr, members[i].incarnation);
    }
    return count;
}

/* Chooses the host to forward a request to; false if there is none. */
bool
peers_choose_helper(peers_t *peers, const helpers_tried_t *tried,
                    const char *service, member_t *out)
{
    relay_t *relay = peers->relay;
    member_t members[QUOTA_HOSTS_MAX];
    size_t count = members_list(peers->members, members, QUOTA_HOSTS_MAX);
    const member_t *member =
        helpers_choose(&relay->helpers, members, count, tried,
                       str_hash(service, 0), &relay->rng, time_mono_ms());
    if (member == NULL) {
        return false;
    }
    *out = *member;
    return true;
}

static size_t
list_watchers(const peers_t *peers, member_t owners[WATCHERS_MAX])
{
    size_t wanted = watch_duty_count(peers_live_count(peers));
    return wanted == 0 ? 0
                       : members_list_duty_owners(
                             peers->members, "store-watch", owners, wanted);
}

static bool
is_listed(const member_t *owners, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(owners[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Finds the address of the daemon whose watches of the store this one follows.
 * See watch_duty_choose. */
upstream_t
peers_find_upstream(peers_t *peers, char addr[CS_ADDR_MAX])
{
    member_t owners[WATCHERS_MAX];
    const settings_t *settings = &peers->relay->settings;
    size_t count = list_watchers(peers, owners);
    const member_t *owner =
        watch_duty_choose(owners, count, settings->name, settings->dc,
                          &peers->avoided_watchers, time_mono_ms());
    if (owner != NULL) {
        str_copy(addr, CS_ADDR_MAX, owner->http_addr);
        return UPSTREAM_FOUND;
    }
    return count == 0 || is_listed(owners, count, settings->name)
               ? UPSTREAM_NONE
               : UPSTREAM_AVOIDED;
}

/* Avoids the watcher at an address, which does not serve this daemon.  A
 * watcher that answered with an error has usually lost the store, and another
 * one may still reach it.  If it did not answer, this daemon may be cut off
 * from all of them, and waiting for the next one would take too long: all are
 * avoided. */
void
peers_avoid_upstream(peers_t *peers, const char *addr, bool answered)
{
    member_t owners[WATCHERS_MAX];
    size_t count = list_watchers(peers, owners);
    for (size_t i = 0; i < count; i++) {
        if (!answered || strcmp(owners[i].http_addr, addr) == 0) {
            watch_duty_avoid(&peers->avoided_watchers, owners[i].name,
                             time_mono_ms());
        }
    }
}
