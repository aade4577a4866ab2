#include "members-table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Membership by the SWIM protocol (Das, Gupta, Motivala).  Each round a daemon
 * pings one other member.  Without an ACK it requests indirect pings from a
 * few others; without an ACK to those too, the member becomes a suspect,
 * and dead unless it refutes the suspicion within the timeout.  Records are
 * gossiped on the pings, each a bounded number of times, so the traffic of a
 * daemon does not grow with the fleet. */

/* Creates a table that holds only this daemon. */
members_t *
members_new(const member_t *self, uint64_t seed)
{
    members_t *members = mem_zalloc(sizeof(*members));
    (void)pthread_mutex_init(&members->lock, NULL);
    members->self = *self;
    members->self.version = 1;
    members->self_gossip_left = GOSSIP_FACTOR;
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

/* Adds an address to ping for discovery. */
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

/* How many messages carry a record: grows with the logarithm of the member
 * count. */
unsigned
members_gossip_limit(const members_t *members)
{
    return (unsigned)(GOSSIP_FACTOR * ceil(log2((double)members->count + 2)));
}

/* Lists at most max members, this daemon first. */
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

/* A suspect keeps its duties until it is declared dead: most suspicions are
 * refuted, and moving a duty costs more than a short time without it. */
static bool
can_hold_duties(const member_t *member)
{
    return member->health != MEMBER_DEAD && member->intent == MEMBER_SERVING;
}

/* Whether this daemon owns a duty, by rendezvous hashing over the live
 * members.  Two daemons may own it at once while their tables differ; duties
 * are an optimisation only. */
bool
members_has_duty(members_t *members, const char *duty)
{
    LOCK_SCOPE(&members->lock);
    uint64_t key = str_hash(duty, 0);
    uint64_t own_weight = place_rendezvous_weight(key, members->self.name);
    member_node_t *node;
    if (members->self.intent == MEMBER_LEAVING) {
        return false;
    }
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (can_hold_duties(&node->member) &&
            place_rendezvous_weight(key, node->member.name) > own_weight) {
            return false;
        }
    }
    return true;
}

/* How many other live daemons rank before this one for a duty.  Counted over
 * all members, so that daemons with equal tables agree. */
size_t
members_duty_rank(members_t *members, const char *duty)
{
    LOCK_SCOPE(&members->lock);
    uint64_t key = str_hash(duty, 0);
    uint64_t own_weight = place_rendezvous_weight(key, members->self.name);
    size_t rank = 0;
    const member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        rank += can_hold_duties(&node->member) &&
                place_rendezvous_weight(key, node->member.name) > own_weight;
    }
    return rank;
}

/* Inserts a member into a list ordered by weight, highest first, that keeps
 * at most max members; returns the new count. */
static size_t
insert_owner(const member_t *member, uint64_t key, member_t *out, size_t count,
             size_t max)
{
    uint64_t weight = place_rendezvous_weight(key, member->name);
    size_t position = count;
    while (position > 0 &&
           place_rendezvous_weight(key, out[position - 1].name) < weight) {
        position--;
    }
    if (position == max) {
        return count;
    }
    size_t last = count < max ? count : max - 1;
    memmove(&out[position + 1], &out[position],
            (last - position) * sizeof(*out));
    out[position] = *member;
    return last + 1;
}

/* Lists the daemons that share a duty, at most max, by rendezvous hashing over
 * the live members and this one.  Other daemons may get another list while
 * their tables differ. */
size_t
members_list_duty_owners(members_t *members, const char *duty, member_t *out,
                         size_t max)
{
    LOCK_SCOPE(&members->lock);
    uint64_t key = str_hash(duty, 0);
    member_node_t *node;
    size_t count = 0;
    if (members->self.intent == MEMBER_SERVING) {
        count = insert_owner(&members->self, key, out, count, max);
    }
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (can_hold_duties(&node->member)) {
            count = insert_owner(&node->member, key, out, count, max);
        }
    }
    return count;
}

/* Counts the members that are neither dead nor leaving, and this daemon. */
size_t
members_live_count(members_t *members)
{
    LOCK_SCOPE(&members->lock);
    size_t live = 1;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        live += can_hold_duties(&node->member);
    }
    return live;
}

/* The highest configuration generation among live peers and the address of a
 * peer that has it; -1 if there is no live peer. */
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
