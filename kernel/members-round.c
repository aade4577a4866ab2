#include "members-table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The rounds of membership: whom to ping, whom to suspect, whom to give up. */

#define HELPERS 3
#define GREETINGS_A_TICK 3
#define VERIFY_PINGS 3 /* of one suspect by each daemon */
#define SUSPECT_ROUNDS 4
#define HEAL_EVERY 8 /* rounds between greetings of the dead and of seeds */
#define FORGET_MS 600000

static int64_t
suspect_ms(const members_t *members)
{
    double scale = log10((double)members->count + 1);
    return (int64_t)(SUSPECT_ROUNDS * 2 * TICK_MS * (scale < 1 ? 1 : scale));
}

static void
set_health(members_t *members, member_node_t *node, member_health_t health,
           int64_t now_ms)
{
    node->member.health = health;
    node->member.updated_ms = now_ms;
    node->verified = 0;
    node->news_left = members_news_times(members);
}

/* A suspect's denial may have passed this daemon by, since news is passed on
 * a bounded number of times; so each asks itself before it gives up, and
 * again, since that ping or its answer may be lost too. */
static void
judge_suspect(members_t *members, member_node_t *node, int64_t now_ms,
              member_outbox_t *out)
{
    int64_t age = now_ms - node->member.updated_ms;
    int64_t limit = suspect_ms(members);
    if (age > limit) {
        set_health(members, node, MEMBER_DEAD, now_ms);
        return;
    }
    if (age * (VERIFY_PINGS + 1) > limit * (node->verified + 1)) {
        node->verified++;
        members_ping(members, out, node, ++members->sequence);
    }
}

static void
judge(members_t *members, int64_t now_ms, member_outbox_t *out)
{
    member_node_t *node;
    member_node_t *next;
    CK_LIST_FOREACH_SAFE (node, &members->list, entry, next) {
        int64_t age = now_ms - node->member.updated_ms;
        if (node->member.health == MEMBER_SUSPECT) {
            judge_suspect(members, node, now_ms, out);
        }
        else if (node->member.health == MEMBER_DEAD && age > FORGET_MS) {
            CK_LIST_REMOVE(node, entry);
            members->count--;
            free(node);
        }
    }
}

/* A turn pings every member once, in an order of its own, so that the time
 * until a stopped one is pinged has a bound. */
static member_node_t *
next_probe(members_t *members)
{
    member_node_t *best = NULL;
    member_node_t *node;
    for (int again = 0; again < 2 && best == NULL; again++) {
        CK_LIST_FOREACH (node, &members->list, entry) {
            if (node->member.health != MEMBER_DEAD &&
                node->order > members->turn &&
                (best == NULL || node->order < best->order)) {
                best = node;
            }
        }
        if (best == NULL) {
            members->turn = 0;
            CK_LIST_FOREACH (node, &members->list, entry) {
                node->order = 1 + (rng_next(&members->rng) >> 1);
            }
        }
    }
    if (best != NULL) {
        members->turn = best->order;
    }
    return best;
}

static void
begin_round(members_t *members, member_outbox_t *out)
{
    member_node_t *node = next_probe(members);
    members->probed[0] = '\0';
    if (node == NULL) {
        return;
    }
    members->probe = ++members->sequence;
    str_copy(members->probed, sizeof(members->probed), node->member.name);
    members_ping(members, out, node, members->probe);
}

static member_node_t *
node_random(members_t *members, member_health_t health)
{
    member_node_t *found = NULL;
    uint64_t seen = 0;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (node->member.health == health &&
            rng_below(&members->rng, ++seen) == 0) {
            found = node;
        }
    }
    return found;
}

/* Half a round without an answer: a few others are asked to try. */
static void
ask_helpers(members_t *members, member_outbox_t *out)
{
    for (int i = 0; i < HELPERS && members->probed[0] != '\0'; i++) {
        member_node_t *helper = node_random(members, MEMBER_ALIVE);
        if (helper == NULL ||
            strcmp(helper->member.name, members->probed) == 0) {
            continue;
        }
        member_message_t *message =
            members_message_add(members, out, helper->member.peer_addr,
                                MEMBER_PING_REQ, members->probe);
        if (message != NULL) {
            str_copy(message->target, sizeof(message->target),
                     members->probed);
        }
    }
}

static void
end_round(members_t *members, int64_t now_ms, member_outbox_t *out)
{
    member_node_t *node = members->probed[0] == '\0'
                              ? NULL
                              : members_find(members, members->probed);
    if (node != NULL && node->member.health == MEMBER_ALIVE) {
        set_health(members, node, MEMBER_SUSPECT, now_ms);
        members_ping(members, out, node, ++members->sequence);
    }
}

/* Greet a random seed. */
static void
greet_seed(members_t *members, member_outbox_t *out)
{
    uint64_t at = rng_below(&members->rng, members->seed_count);
    members_ping_addr(members, out, members->seeds[at], NULL,
                      ++members->sequence);
}

/* After a loss of all daemons none of them knows another, and by one ping a
 * round news would take a minute to get about: a daemon that knows less than
 * three quarters of its seeds greets a few of them each tick. */
static void
greet_many(members_t *members, member_outbox_t *out)
{
    for (int i = 0;
         i < GREETINGS_A_TICK && members->count < members->seed_count * 3 / 4;
         i++) {
        greet_seed(members, out);
    }
}

/* Greet a seed while few are known, and now and then one of the dead, so
 * that a cut that has healed is noticed from either side. */
static void
greet(members_t *members, member_outbox_t *out)
{
    bool heal = members->ticks / 2 % HEAL_EVERY == 0;
    member_node_t *dead = heal ? node_random(members, MEMBER_DEAD) : NULL;
    if (dead != NULL) {
        members_ping(members, out, dead, ++members->sequence);
    }
    if (members->seed_count > 0 && (heal || members->count == 0)) {
        greet_seed(members, out);
    }
}

/* One tick of time; fills what is to be sent. */
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
    judge(members, now_ms, out);
    greet_many(members, out);
    if (members->ticks % 2 == 0) {
        ask_helpers(members, out);
        return;
    }
    end_round(members, now_ms, out);
    greet(members, out);
    begin_round(members, out);
}
