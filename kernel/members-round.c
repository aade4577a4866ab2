#include "members-table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Membership rounds: which members to ping, suspect, declare dead and
 * forget. */

#define INDIRECT_PINGS 3 /* requested for a member without an ACK */
#define SEED_PINGS_PER_TICK 3
#define SEEDS_COMPARED_MAX 8 /* with the members, in a round */
#define VERIFY_PINGS_MAX 3   /* to one suspect from each daemon */
#define SUSPICION_ROUNDS 4
#define HEAL_INTERVAL_ROUNDS 8 /* between pings to dead members and seeds */
#define DEAD_RETENTION_MS 600000

static int64_t
suspicion_timeout_ms(const members_t *members)
{
    double scale = log10((double)members->count + 1);
    return (int64_t)(SUSPICION_ROUNDS * 2 * TICK_MS * (scale < 1 ? 1 : scale));
}

static void
set_health(members_t *members, member_node_t *node, member_health_t health,
           int64_t now_ms)
{
    node->member.health = health;
    node->member.updated_ms = now_ms;
    node->verify_count = 0;
    node->gossip_left = members_gossip_limit(members);
}

/* A refutation may not have reached this daemon, since records are gossiped a
 * bounded number of times.  So each daemon pings a suspect itself before it
 * declares it dead, and repeatedly, since a ping or its ACK may be lost. */
static void
check_suspect(members_t *members, member_node_t *node, int64_t now_ms,
              member_outbox_t *out)
{
    int64_t age = now_ms - node->member.updated_ms;
    int64_t limit = suspicion_timeout_ms(members);
    if (age > limit) {
        set_health(members, node, MEMBER_DEAD, now_ms);
        return;
    }
    if (age * (VERIFY_PINGS_MAX + 1) > limit * (node->verify_count + 1)) {
        node->verify_count++;
        members_add_ping(members, out, node, ++members->last_sequence);
    }
}

static void
check_health(members_t *members, int64_t now_ms, member_outbox_t *out)
{
    member_node_t *node;
    member_node_t *next;
    CK_LIST_FOREACH_SAFE (node, &members->list, entry, next) {
        int64_t age = now_ms - node->member.updated_ms;
        if (node->member.health == MEMBER_SUSPECT) {
            check_suspect(members, node, now_ms, out);
        }
        else if (node->member.health == MEMBER_DEAD &&
                 age > DEAD_RETENTION_MS) {
            CK_LIST_REMOVE(node, entry);
            members->count--;
            free(node);
        }
    }
}

/* In each cycle every member that is not dead is pinged once, in a new random
 * order, so that the time until a stopped member is pinged is bounded. */
static member_node_t *
next_probe_target(members_t *members)
{
    member_node_t *best = NULL;
    member_node_t *node;
    for (int pass = 0; pass < 2 && best == NULL; pass++) {
        CK_LIST_FOREACH (node, &members->list, entry) {
            if (node->member.health != MEMBER_DEAD &&
                node->probe_order > members->last_probe_order &&
                (best == NULL || node->probe_order < best->probe_order)) {
                best = node;
            }
        }
        if (best == NULL) {
            members->last_probe_order = 0;
            CK_LIST_FOREACH (node, &members->list, entry) {
                node->probe_order = 1 + (rng_next(&members->rng) >> 1);
            }
        }
    }
    if (best != NULL) {
        members->last_probe_order = best->probe_order;
    }
    return best;
}

static void
start_probe(members_t *members, member_outbox_t *out)
{
    member_node_t *node = next_probe_target(members);
    members->probed_name[0] = '\0';
    if (node == NULL) {
        return;
    }
    members->probe_sequence = ++members->last_sequence;
    str_copy(members->probed_name, sizeof(members->probed_name),
             node->member.name);
    members_add_ping(members, out, node, members->probe_sequence);
}

static member_node_t *
random_node(members_t *members, member_health_t health)
{
    member_node_t *found = NULL;
    uint64_t candidate_count = 0;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (node->member.health == health &&
            rng_below(&members->rng, ++candidate_count) == 0) {
            found = node;
        }
    }
    return found;
}

/* Half a round has passed without an ACK: asks a few others to ping. */
static void
request_indirect_pings(members_t *members, member_outbox_t *out)
{
    for (int i = 0; i < INDIRECT_PINGS && members->probed_name[0] != '\0';
         i++) {
        member_node_t *relayer = random_node(members, MEMBER_ALIVE);
        if (relayer == NULL ||
            strcmp(relayer->member.name, members->probed_name) == 0) {
            continue;
        }
        member_message_t *message =
            members_add_message(members, out, relayer->member.peer_addr,
                                MEMBER_PING_REQ, members->probe_sequence);
        if (message != NULL) {
            str_copy(message->target, sizeof(message->target),
                     members->probed_name);
        }
    }
}

static void
finish_probe(members_t *members, int64_t now_ms, member_outbox_t *out)
{
    member_node_t *node = members->probed_name[0] == '\0'
                              ? NULL
                              : members_find(members, members->probed_name);
    if (node != NULL && node->member.health == MEMBER_ALIVE) {
        set_health(members, node, MEMBER_SUSPECT, now_ms);
        members_add_ping(members, out, node, ++members->last_sequence);
    }
}

static void
ping_random_seed(members_t *members, member_outbox_t *out)
{
    uint64_t index = rng_below(&members->rng, members->seed_count);
    members_add_ping_to(members, out, members->seeds[index], NULL,
                        ++members->last_sequence);
}

/* After a restart of all daemons none knows another, and with one ping a round
 * it would take a minute until each knows all the others.  So a daemon pings a
 * few seeds each tick while it knows fewer members than three quarters of its
 * seeds. */
static void
ping_seeds_for_discovery(members_t *members, member_outbox_t *out)
{
    for (int i = 0; i < SEED_PINGS_PER_TICK &&
                    members->count < members->seed_count * 3 / 4;
         i++) {
        ping_random_seed(members, out);
    }
}

static bool
is_known_addr(const members_t *members, const char *addr)
{
    const member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (strcmp(node->member.peer_addr, addr) == 0) {
            return true;
        }
    }
    return false;
}

/* Pings a seed that is not a member.  A daemon that knows most of its seeds
 * may be the only one that has listed the missing one. */
static void
ping_unknown_seed(members_t *members, member_outbox_t *out)
{
    if (members->seed_count == 0) {
        return;
    }
    uint64_t first = rng_below(&members->rng, members->seed_count);
    for (size_t i = 0; i < members->seed_count && i < SEEDS_COMPARED_MAX;
         i++) {
        const char *seed = members->seeds[(first + i) % members->seed_count];
        if (!is_known_addr(members, seed)) {
            members_add_ping_to(members, out, seed, NULL,
                                ++members->last_sequence);
            return;
        }
    }
}

/* Pings every few rounds a seed and a dead member, so that either side notices
 * the end of a network partition, and each round a seed that is not known. */
static void
ping_seeds_and_dead(members_t *members, member_outbox_t *out)
{
    bool is_heal_round = members->ticks / 2 % HEAL_INTERVAL_ROUNDS == 0;
    member_node_t *dead =
        is_heal_round ? random_node(members, MEMBER_DEAD) : NULL;
    if (dead != NULL) {
        members_add_ping(members, out, dead, ++members->last_sequence);
    }
    if (members->seed_count > 0 && is_heal_round) {
        ping_random_seed(members, out);
    }
    ping_unknown_seed(members, out);
}

/* Runs one tick and fills in the messages to send. */
void
members_tick(members_t *members, int64_t now_ms, int64_t generation,
             member_intent_t intent, member_outbox_t *out)
{
    LOCK_SCOPE(&members->lock);
    out->count = 0;
    if (members->self.intent != intent) {
        members->self.intent = intent;
        members->self.version++;
    }
    members->self.config_generation = generation;
    members->ticks++;
    check_health(members, now_ms, out);
    ping_seeds_for_discovery(members, out);
    if (members->ticks % 2 == 0) {
        request_indirect_pings(members, out);
        return;
    }
    finish_probe(members, now_ms, out);
    ping_seeds_and_dead(members, out);
    start_probe(members, out);
}
