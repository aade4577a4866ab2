#include "tables.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Membership in the manner of SWIM (Das, Gupta, Motivala): each round a
 * daemon pings one other; without an answer it asks a few more to ping it;
 * without theirs the member is suspected, and taken for dead unless it denies
 * that in time.  News rides on the pings, each piece a bounded number of
 * times, so what a daemon sends does not grow with the fleet. */

#define TICK_MS 250 /* two ticks make a round */
#define HELPERS 3
#define SUSPECT_ROUNDS 4
#define NEWS_FACTOR 3
#define NEWS_A_MESSAGE 6
#define RELAYS_MAX 32
#define HEAL_EVERY 8 /* rounds between greetings of the dead and of seeds */
#define FORGET_MS 600000
#define SEEDS_MAX 16

typedef struct member_node {
    CK_LIST_ENTRY(member_node) entry;
    member_t member;
    unsigned news_left; /* how often this record is still passed on */
    uint64_t order;     /* place in the present turn of pings */
    bool verified;      /* a suspect that was asked by this daemon itself */
} member_node_t;

typedef CK_LIST_HEAD(member_list, member_node) member_list_t;

/* A ping that is made for another member. */
typedef struct {
    uint64_t sequence; /* of our ping */
    uint64_t wanted;   /* the sequence that the asker waits for */
    char asker[CS_ADDR_MAX];
} relay_t;

struct members {
    pthread_mutex_t lock;
    member_t self;
    unsigned self_news_left;
    member_list_t list;
    size_t count;
    rng_t rng;
    char seeds[SEEDS_MAX][CS_ADDR_MAX];
    size_t seed_count;
    uint64_t ticks;
    uint64_t sequence;
    uint64_t turn;
    char probed[CS_NAME_MAX]; /* whose answer is awaited */
    uint64_t probe;           /* its sequence */
    relay_t relays[RELAYS_MAX];
    size_t relay_next;
};

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
members_seed(members_t *members, const char *peer)
{
    LOCK_SCOPE(&members->lock);
    if (members->seed_count < SEEDS_MAX &&
        strcmp(peer, members->self.peer) != 0) {
        str_copy(members->seeds[members->seed_count++], CS_ADDR_MAX, peer);
    }
}

int
members_interval_ms(void)
{
    return TICK_MS;
}

static member_node_t *
node_find(members_t *members, const char *name)
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
static unsigned
news_times(const members_t *members)
{
    return (unsigned)(NEWS_FACTOR * ceil(log2((double)members->count + 2)));
}

static int64_t
suspect_ms(const members_t *members)
{
    double scale = log10((double)members->count + 1);
    return (int64_t)(SUSPECT_ROUNDS * 2 * TICK_MS * (scale < 1 ? 1 : scale));
}

/* ---- messages out ---- */

/* The record that has been passed on least; NULL where there is no news. */
static member_node_t *
next_news(members_t *members, const member_message_t *message)
{
    member_node_t *best = NULL;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        bool there = false;
        for (size_t i = 0; i < message->count && !there; i++) {
            there = strcmp(message->records[i].name, node->member.name) == 0;
        }
        if (node->news_left > 0 && !there &&
            (best == NULL || node->news_left > best->news_left)) {
            best = node;
        }
    }
    return best;
}

static void
add_news(members_t *members, member_message_t *message)
{
    member_node_t *node;
    while (message->count < NEWS_A_MESSAGE &&
           (node = next_news(members, message)) != NULL) {
        node->news_left--;
        message->records[message->count++] = node->member;
    }
}

static member_message_t *
add_message(members_t *members, member_out_t *out, const char *addr,
            member_message_kind_t kind, uint64_t sequence)
{
    if (out->count == MEMBER_OUT_MAX) {
        return NULL;
    }
    member_message_t *message = &out->messages[out->count];
    str_copy(out->addrs[out->count], CS_ADDR_MAX, addr);
    out->count++;
    message->kind = kind;
    message->sequence = sequence;
    message->target[0] = '\0';
    message->records[0] = members->self;
    message->count = 1;
    return message;
}

/* Whoever is not thought well is told so first, for only its own denial can
 * clear it (Dadgar, Phillips, Currey: Lifeguard). */
static void
add_accusation(member_message_t *message, const member_node_t *node)
{
    if (node != NULL && node->member.health != MEMBER_ALIVE) {
        message->records[message->count++] = node->member;
    }
}

static void
ping_addr(members_t *members, member_out_t *out, const char *addr,
          const member_node_t *node, uint64_t sequence)
{
    member_message_t *message =
        add_message(members, out, addr, MEMBER_PING, sequence);
    if (message != NULL) {
        add_accusation(message, node);
        add_news(members, message);
    }
}

static void
ping(members_t *members, member_out_t *out, const member_node_t *node,
     uint64_t sequence)
{
    ping_addr(members, out, node->member.peer, node, sequence);
}

/* All records, in as many messages as they need, for one that is new. */
static void
sync_all(members_t *members, member_out_t *out, const char *addr)
{
    member_message_t *message = NULL;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (message == NULL || message->count == MEMBER_RECORDS_MAX) {
            message = add_message(members, out, addr, MEMBER_SYNC, 0);
        }
        if (message == NULL) {
            return;
        }
        message->records[message->count++] = node->member;
    }
}

/* ---- rounds ---- */

static void
set_health(members_t *members, member_node_t *node, member_health_t health,
           int64_t now_ms)
{
    node->member.health = health;
    node->member.changed_ms = now_ms;
    node->verified = false;
    node->news_left = news_times(members);
}

/* A suspect's denial may have passed this daemon by, since news is passed on
 * a bounded number of times; so each asks once itself before it gives up. */
static void
judge_suspect(members_t *members, member_node_t *node, int64_t now_ms,
              member_out_t *out)
{
    int64_t age = now_ms - node->member.changed_ms;
    if (age > suspect_ms(members)) {
        set_health(members, node, MEMBER_DEAD, now_ms);
    }
    else if (age > suspect_ms(members) / 2 && !node->verified) {
        node->verified = true;
        ping(members, out, node, ++members->sequence);
    }
}

static void
judge(members_t *members, int64_t now_ms, member_out_t *out)
{
    member_node_t *node;
    member_node_t *next;
    CK_LIST_FOREACH_SAFE (node, &members->list, entry, next) {
        int64_t age = now_ms - node->member.changed_ms;
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
begin_round(members_t *members, member_out_t *out)
{
    member_node_t *node = next_probe(members);
    members->probed[0] = '\0';
    if (node == NULL) {
        return;
    }
    members->probe = ++members->sequence;
    str_copy(members->probed, sizeof(members->probed), node->member.name);
    ping(members, out, node, members->probe);
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
ask_helpers(members_t *members, member_out_t *out)
{
    for (int i = 0; i < HELPERS && members->probed[0] != '\0'; i++) {
        member_node_t *helper = node_random(members, MEMBER_ALIVE);
        if (helper == NULL ||
            strcmp(helper->member.name, members->probed) == 0) {
            continue;
        }
        member_message_t *message = add_message(
            members, out, helper->member.peer, MEMBER_ASK, members->probe);
        if (message != NULL) {
            str_copy(message->target, sizeof(message->target),
                     members->probed);
        }
    }
}

static void
end_round(members_t *members, int64_t now_ms, member_out_t *out)
{
    member_node_t *node = members->probed[0] == '\0'
                              ? NULL
                              : node_find(members, members->probed);
    if (node != NULL && node->member.health == MEMBER_ALIVE) {
        set_health(members, node, MEMBER_SUSPECT, now_ms);
        ping(members, out, node, ++members->sequence);
    }
}

/* Greet a seed while few are known, and now and then one of the dead, so
 * that a cut that has healed is noticed from either side. */
static void
greet(members_t *members, member_out_t *out)
{
    bool heal = members->ticks / 2 % HEAL_EVERY == 0;
    member_node_t *dead = heal ? node_random(members, MEMBER_DEAD) : NULL;
    if (dead != NULL) {
        ping(members, out, dead, ++members->sequence);
    }
    if (members->seed_count > 0 && (heal || members->count == 0)) {
        uint64_t at = rng_below(&members->rng, members->seed_count);
        ping_addr(members, out, members->seeds[at], NULL, ++members->sequence);
    }
}

/* One tick of time; fills what is to be sent. */
void
members_tick(members_t *members, int64_t now_ms, int64_t generation,
             member_intent_t intent, member_out_t *out)
{
    LOCK_SCOPE(&members->lock);
    out->count = 0;
    if (members->self.intent != intent) {
        members->self.intent = intent;
        members->self.version++;
    }
    members->self.generation = generation;
    members->ticks++;
    judge(members, now_ms, out);
    if (members->ticks % 2 == 0) {
        ask_helpers(members, out);
        return;
    }
    end_round(members, now_ms, out);
    greet(members, out);
    begin_round(members, out);
}

/* ---- messages in ---- */

/* Whether a record is newer: a later life, a higher version by its subject,
 * or, at the same version, a worse health. */
static bool
is_newer(const member_t *a, const member_t *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation;
    }
    if (a->version != b->version) {
        return a->version > b->version;
    }
    return a->health > b->health;
}

/* Others say that this daemon is not well: deny it by a higher version. */
static void
deny(members_t *members, const member_t *record)
{
    if (record->incarnation == members->self.incarnation &&
        record->version >= members->self.version &&
        record->health != MEMBER_ALIVE) {
        members->self.version = record->version + 1;
    }
}

/* Take a record in; true if its subject is new here, or lives anew. */
static bool
take_record(members_t *members, const member_t *record, int64_t now_ms)
{
    if (strcmp(record->name, members->self.name) == 0) {
        deny(members, record);
        return false;
    }
    member_node_t *node = node_find(members, record->name);
    bool anew = node == NULL || record->incarnation > node->member.incarnation;
    if (node == NULL) {
        node = mem_zalloc(sizeof(*node));
        node->order = 1 + (rng_next(&members->rng) >> 1);
        CK_LIST_INSERT_HEAD(&members->list, node, entry);
        members->count++;
    }
    else if (!is_newer(record, &node->member)) {
        return false;
    }
    node->member = *record;
    node->member.changed_ms = now_ms;
    node->verified = false;
    node->news_left = news_times(members);
    return anew;
}

/* The sender speaks for itself, so it is alive, whatever was thought. */
static void
hear_sender(members_t *members, const member_t *record)
{
    member_node_t *node = node_find(members, record->name);
    if (node == NULL || record->incarnation != node->member.incarnation) {
        return;
    }
    if (record->generation > node->member.generation) {
        node->member.generation = record->generation;
    }
    /* It has to learn of the suspicion to deny it for all. */
    if (node->member.health != MEMBER_ALIVE &&
        record->version <= node->member.version) {
        node->news_left = node->news_left > 0 ? node->news_left : 1;
    }
}

static void
answer_ping(members_t *members, const member_message_t *message,
            member_out_t *out)
{
    const member_t *sender = &message->records[0];
    member_message_t *ack =
        add_message(members, out, sender->peer, MEMBER_ACK, message->sequence);
    member_node_t *node = node_find(members, sender->name);
    if (ack == NULL) {
        return;
    }
    add_accusation(ack, node);
    add_news(members, ack);
}

static void
take_ack(members_t *members, uint64_t sequence, member_out_t *out)
{
    if (sequence == members->probe) {
        members->probed[0] = '\0';
    }
    for (size_t i = 0; i < RELAYS_MAX; i++) {
        relay_t *relay = &members->relays[i];
        if (relay->sequence == sequence && sequence != 0) {
            (void)add_message(members, out, relay->asker, MEMBER_ACK,
                              relay->wanted);
            relay->sequence = 0;
        }
    }
}

static void
take_ask(members_t *members, const member_message_t *message,
         member_out_t *out)
{
    member_node_t *node = node_find(members, message->target);
    relay_t *relay = &members->relays[members->relay_next++ % RELAYS_MAX];
    if (node == NULL) {
        return;
    }
    relay->sequence = ++members->sequence;
    relay->wanted = message->sequence;
    str_copy(relay->asker, sizeof(relay->asker), message->records[0].peer);
    ping(members, out, node, relay->sequence);
}

/* Take in what a peer sent; fills what is to be sent in answer. */
void
members_receive(members_t *members, const member_message_t *message,
                int64_t now_ms, member_out_t *out)
{
    LOCK_SCOPE(&members->lock);
    out->count = 0;
    if (message->count == 0) {
        return;
    }
    bool anew = take_record(members, &message->records[0], now_ms);
    hear_sender(members, &message->records[0]);
    for (size_t i = 1; i < message->count; i++) {
        (void)take_record(members, &message->records[i], now_ms);
    }
    switch (message->kind) {
        case MEMBER_PING:
            answer_ping(members, message, out);
            break;
        case MEMBER_ACK:
            take_ack(members, message->sequence, out);
            break;
        case MEMBER_ASK:
            take_ask(members, message, out);
            break;
        case MEMBER_SYNC:
            return;
    }
    if (anew) {
        sync_all(members, out, message->records[0].peer);
    }
}

/* ---- questions ---- */

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
members_duty(members_t *members, const char *duty)
{
    LOCK_SCOPE(&members->lock);
    uint64_t key = str_hash(duty, 0);
    uint64_t mine = place_weight(key, members->self.name);
    member_node_t *node;
    if (members->self.intent == MEMBER_LEAVING) {
        return false;
    }
    CK_LIST_FOREACH (node, &members->list, entry) {
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
    CK_LIST_FOREACH (node, &members->list, entry) {
        live += takes_duties(&node->member);
    }
    return live;
}

/* The highest configuration generation among live peers, and who has it; -1
 * where there is none. */
int64_t
members_generation(members_t *members, char peer[CS_ADDR_MAX])
{
    LOCK_SCOPE(&members->lock);
    int64_t best = -1;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (node->member.health == MEMBER_ALIVE &&
            node->member.generation > best) {
            best = node->member.generation;
            str_copy(peer, CS_ADDR_MAX, node->member.peer);
        }
    }
    return best;
}
