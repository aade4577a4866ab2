#include "tables.h"

#include <stdlib.h>
#include <string.h>

/* Membership by gossiped heartbeat counters (van Renesse, Minsky, Hayden):
 * each tick a daemon raises its own counter and sends a bounded number of
 * records to a bounded number of peers, so the cost does not grow with the
 * fleet.  A counter that stands still makes a suspect first and a dead
 * member later; the bounds widen with the number of rounds that news needs. */

#define INTERVAL_MS 250
#define FANOUT 3
#define SUSPECT_BASE_MS 1200
#define DEAD_FACTOR 3
#define FORGET_MS 600000

typedef struct member_node {
    CK_LIST_ENTRY(member_node) entry;
    member_t member;
} member_node_t;

typedef CK_LIST_HEAD(member_list, member_node) member_list_t;

struct members {
    pthread_mutex_t lock;
    member_t self;
    member_list_t list;
    size_t count;
    rng_t rng;
    char seeds[16][CS_ADDR_MAX];
    size_t seed_count;
};

/* A table that knows only its own daemon. */
members_t *
members_new(const member_t *self, uint64_t seed)
{
    members_t *members = mem_zalloc(sizeof(*members));
    (void)pthread_mutex_init(&members->lock, NULL);
    members->self = *self;
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
members_seed(members_t *members, const char *peer)
{
    LOCK_SCOPE(&members->lock);
    if (members->seed_count < 16 && strcmp(peer, members->self.peer) != 0) {
        str_copy(members->seeds[members->seed_count++], CS_ADDR_MAX, peer);
    }
}

int
members_interval_ms(void)
{
    return INTERVAL_MS;
}

static member_node_t *
node_find(members_t *members, const char *name)
{
    member_node_t *node;
    CK_LIST_FOREACH(node, &members->list, entry)
    {
        if (strcmp(node->member.name, name) == 0) {
            return node;
        }
    }
    return NULL;
}

static int64_t
suspect_ms(const members_t *members)
{
    int64_t bound = SUSPECT_BASE_MS;
    for (size_t n = FANOUT + 1; n < members->count + 1; n *= 2) {
        bound += 2 * (int64_t)INTERVAL_MS;
    }
    return bound;
}

static void
judge(members_t *members, int64_t now_ms)
{
    int64_t bound = suspect_ms(members);
    member_node_t *node;
    member_node_t *next;
    CK_LIST_FOREACH_SAFE(node, &members->list, entry, next)
    {
        int64_t still = now_ms - node->member.advanced_ms;
        if (still > FORGET_MS) {
            CK_LIST_REMOVE(node, entry);
            members->count--;
            free(node);
            continue;
        }
        node->member.health = still > bound * DEAD_FACTOR ? MEMBER_DEAD
                              : still > bound             ? MEMBER_SUSPECT
                                                          : MEMBER_ALIVE;
    }
}

/* The node at a random place, so that all records and peers get their turn
 * without any order that daemons could share. */
static member_node_t *
node_random(members_t *members)
{
    if (members->count == 0) {
        return NULL;
    }
    uint64_t skip = rng_below(&members->rng, members->count);
    member_node_t *node = CK_LIST_FIRST(&members->list);
    while (skip-- > 0) {
        node = CK_LIST_NEXT(node, entry);
    }
    return node;
}

static bool
packet_has(const member_packet_t *packet, const char *name)
{
    for (size_t i = 0; i < packet->count; i++) {
        if (strcmp(packet->records[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

static void
fill_packet(members_t *members, member_packet_t *packet)
{
    size_t tries = MEMBER_PACKET_RECORDS * 2;
    packet->records[0] = members->self;
    packet->count = 1;
    while (packet->count < MEMBER_PACKET_RECORDS &&
           packet->count <= members->count && tries-- > 0) {
        member_node_t *node = node_random(members);
        if (node->member.health == MEMBER_DEAD ||
            packet_has(packet, node->member.name)) {
            continue;
        }
        packet->records[packet->count++] = node->member;
    }
}

static size_t
add_target(char targets[MEMBER_TARGETS_MAX][CS_ADDR_MAX], size_t count,
           const char *peer)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(targets[i], peer) == 0) {
            return count;
        }
    }
    str_copy(targets[count], CS_ADDR_MAX, peer);
    return count + 1;
}

/* Dead members are greeted now and then, so that a healed cut is noticed. */
static size_t
pick_targets(members_t *members, char targets[MEMBER_TARGETS_MAX][CS_ADDR_MAX])
{
    size_t count = 0;
    for (int tries = 0; tries < FANOUT * 3 && count < FANOUT; tries++) {
        member_node_t *node = node_random(members);
        if (node == NULL) {
            break;
        }
        if (node->member.health != MEMBER_DEAD ||
            rng_below(&members->rng, 4) == 0) {
            count = add_target(targets, count, node->member.peer);
        }
    }
    if (members->seed_count > 0 &&
        (count == 0 || rng_below(&members->rng, 8) == 0)) {
        size_t at = rng_below(&members->rng, members->seed_count);
        count = add_target(targets, count, members->seeds[at]);
    }
    return count;
}

/* One heartbeat: returns how many targets the packet goes to. */
size_t
members_tick(members_t *members, int64_t now_ms, int64_t generation,
             member_intent_t intent, member_packet_t *packet,
             char targets[MEMBER_TARGETS_MAX][CS_ADDR_MAX])
{
    LOCK_SCOPE(&members->lock);
    members->self.beat++;
    members->self.generation = generation;
    members->self.intent = intent;
    judge(members, now_ms);
    fill_packet(members, packet);
    return pick_targets(members, targets);
}

static bool
is_newer(const member_t *a, const member_t *b)
{
    return a->incarnation > b->incarnation ||
           (a->incarnation == b->incarnation && a->beat > b->beat);
}

static void
take_record(members_t *members, const member_t *record, int64_t now_ms)
{
    if (strcmp(record->name, members->self.name) == 0) {
        return;
    }
    member_node_t *node = node_find(members, record->name);
    if (node == NULL) {
        node = mem_zalloc(sizeof(*node));
        CK_LIST_INSERT_HEAD(&members->list, node, entry);
        members->count++;
    }
    else if (!is_newer(record, &node->member)) {
        return;
    }
    node->member = *record;
    node->member.health = MEMBER_ALIVE;
    node->member.advanced_ms = now_ms;
}

/* Take in what a peer sent; only counters that grew count as news, so a
 * record that goes round does not keep a dead daemon alive. */
void
members_receive(members_t *members, const member_packet_t *packet,
                int64_t now_ms)
{
    LOCK_SCOPE(&members->lock);
    for (size_t i = 0; i < packet->count; i++) {
        take_record(members, &packet->records[i], now_ms);
    }
}

/* All members, this daemon first. */
size_t
members_list(members_t *members, member_t *out, size_t max)
{
    LOCK_SCOPE(&members->lock);
    size_t count = 0;
    member_node_t *node;
    out[count++] = members->self;
    CK_LIST_FOREACH(node, &members->list, entry)
    {
        if (count < max) {
            out[count++] = node->member;
        }
    }
    return count;
}

static bool
takes_duties(const member_t *member)
{
    return member->health == MEMBER_ALIVE && member->intent == MEMBER_LIVE;
}

/* Whether a duty falls to this daemon by rendezvous over the live ones.  Two
 * daemons may think so at once; duties are an optimisation only. */
bool
members_duty(members_t *members, const char *duty)
{
    LOCK_SCOPE(&members->lock);
    uint64_t key = str_hash(duty, 0);
    uint64_t mine = place_weight(key, members->self.name);
    member_node_t *node;
    if (members->self.intent == MEMBER_LEAVING) {
        return false;
    }
    CK_LIST_FOREACH(node, &members->list, entry)
    {
        if (takes_duties(&node->member) &&
            place_weight(key, node->member.name) > mine) {
            return false;
        }
    }
    return true;
}

/* How many daemons serve, this one included. */
size_t
members_live(members_t *members)
{
    LOCK_SCOPE(&members->lock);
    size_t live = 1;
    member_node_t *node;
    CK_LIST_FOREACH(node, &members->list, entry)
    {
        live += takes_duties(&node->member);
    }
    return live;
}

/* The highest configuration generation among live peers, and who has it. */
int64_t
members_generation(members_t *members, char peer[CS_ADDR_MAX])
{
    LOCK_SCOPE(&members->lock);
    int64_t best = -1;
    member_node_t *node;
    CK_LIST_FOREACH(node, &members->list, entry)
    {
        if (node->member.health == MEMBER_ALIVE &&
            node->member.generation > best) {
            best = node->member.generation;
            str_copy(peer, CS_ADDR_MAX, node->member.peer);
        }
    }
    return best;
}
