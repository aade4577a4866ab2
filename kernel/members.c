#include "members-table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Membership in the manner of SWIM (Das, Gupta, Motivala): each round a
 * daemon pings one other; without an answer it asks a few more to ping it;
 * without theirs the member is suspected, and taken for dead unless it denies
 * that in time.  News rides on the pings, each piece a bounded number of
 * times, so what a daemon sends does not grow with the fleet. */

/* A table that knows only its own daemon. */
members_t *
members_new(const member_t *self, uint64_t seed)
{
    members_t *members = mem_zalloc(sizeof(*members));
    (void)pthread_mutex_init(&members->lock, NULL);
    members->self = *self;
    members->self.version = 1;
    members->self_news_left = NEWS_FACTOR;
    members->rng.state = seed;
    return members;
}

void
members_free(members_t *members)
{
    member_node_t *node;
    while ((node = CK_LIST_FIRST(&members->list)) != NULL) {
        CK_LIST_REMOVE(node, entry);
        free(node);
    }
    (void)pthread_mutex_destroy(&members->lock);
    free(members);
}

/* An address to greet until its daemon is known. */
void
members_add_seed(members_t *members, const char *peer)
{
    LOCK_SCOPE(&members->lock);
    if (members->seed_count < SEEDS_MAX &&
        strcmp(peer, members->self.peer_addr) != 0) {
        str_copy(members->seeds[members->seed_count++], CS_ADDR_MAX, peer);
    }
}

int
members_tick_interval_ms(void)
{
    return TICK_MS;
}

member_node_t *
members_find(members_t *members, const char *name)
{
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (strcmp(node->member.name, name) == 0) {
            return node;
        }
    }
    return NULL;
}

/* Rounds of news grow with the logarithm of the fleet. */
unsigned
members_news_times(const members_t *members)
{
    return (unsigned)(NEWS_FACTOR * ceil(log2((double)members->count + 2)));
}

/* All members, this daemon first. */
size_t
members_list(members_t *members, member_t *out, size_t max)
{
    LOCK_SCOPE(&members->lock);
    size_t count = 0;
    member_node_t *node;
    out[count++] = members->self;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (count < max) {
            out[count++] = node->member;
        }
    }
    return count;
}

/* A suspect keeps its duties until it is taken for dead: most suspicions are
 * denied, and moving a duty costs more than a moment without it. */
static bool
takes_duties(const member_t *member)
{
    return member->health != MEMBER_DEAD && member->intent == MEMBER_LIVE;
}

/* Whether a duty falls to this daemon by rendezvous over the live ones.  Two
 * daemons may think so at once; duties are an optimisation only. */
bool
members_has_duty(members_t *members, const char *duty)
{
    LOCK_SCOPE(&members->lock);
    uint64_t key = str_hash(duty, 0);
    uint64_t mine = place_rendezvous_weight(key, members->self.name);
    member_node_t *node;
    if (members->self.intent == MEMBER_LEAVING) {
        return false;
    }
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (takes_duties(&node->member) &&
            place_rendezvous_weight(key, node->member.name) > mine) {
            return false;
        }
    }
    return true;
}

/* How many other live daemons come before this one for a duty.  Counted over
 * all members, so that daemons that know the same ones agree. */
size_t
members_duty_rank(members_t *members, const char *duty)
{
    LOCK_SCOPE(&members->lock);
    uint64_t key = str_hash(duty, 0);
    uint64_t mine = place_rendezvous_weight(key, members->self.name);
    size_t before = 0;
    const member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        before += takes_duties(&node->member) &&
                  place_rendezvous_weight(key, node->member.name) > mine;
    }
    return before;
}

/* Put a member where its weight belongs among the heaviest. */
static size_t
owner_put(const member_t *member, uint64_t key, member_t *out, size_t count,
          size_t max)
{
    uint64_t weight = place_rendezvous_weight(key, member->name);
    size_t at = count;
    while (at > 0 && place_rendezvous_weight(key, out[at - 1].name) < weight) {
        at--;
    }
    if (at == max) {
        return count;
    }
    size_t last = count < max ? count : max - 1;
    memmove(&out[at + 1], &out[at], (last - at) * sizeof(*out));
    out[at] = *member;
    return last + 1;
}

/* The daemons that share a duty, at most max, by rendezvous over the live
 * ones, this one included.  Like members_has_duty, they may be seen
 * differently elsewhere for a while. */
size_t
members_list_duty_owners(members_t *members, const char *duty, member_t *out,
                         size_t max)
{
    LOCK_SCOPE(&members->lock);
    uint64_t key = str_hash(duty, 0);
    member_node_t *node;
    size_t count = 0;
    if (members->self.intent == MEMBER_LIVE) {
        count = owner_put(&members->self, key, out, count, max);
    }
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (takes_duties(&node->member)) {
            count = owner_put(&node->member, key, out, count, max);
        }
    }
    return count;
}

/* How many daemons serve, this one included. */
size_t
members_live_count(members_t *members)
{
    LOCK_SCOPE(&members->lock);
    size_t live = 1;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        live += takes_duties(&node->member);
    }
    return live;
}

/* The highest configuration generation among live peers, and who has it; -1
 * where there is none. */
int64_t
members_newest_generation(members_t *members, char peer[CS_ADDR_MAX])
{
    LOCK_SCOPE(&members->lock);
    int64_t best = -1;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (node->member.health == MEMBER_ALIVE &&
            node->member.config_generation > best) {
            best = node->member.config_generation;
            str_copy(peer, CS_ADDR_MAX, node->member.peer_addr);
        }
    }
    return best;
}
