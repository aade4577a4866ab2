#include "members-table.h"

#include <stdlib.h>
#include <string.h>

/* The messages of membership: what news rides on them, and what one that
 * arrives changes. */

#define NEWS_A_MESSAGE 6
#define YOUNG_MS 2500

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

member_message_t *
members_message_add(members_t *members, member_outbox_t *out, const char *addr,
                    member_message_kind_t kind, uint64_t sequence)
{
    if (out->count == MEMBER_OUTBOX_MAX) {
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

void
members_ping_addr(members_t *members, member_outbox_t *out, const char *addr,
                  const member_node_t *node, uint64_t sequence)
{
    member_message_t *message =
        members_message_add(members, out, addr, MEMBER_PING, sequence);
    if (message != NULL) {
        add_accusation(message, node);
        add_news(members, message);
    }
}

void
members_ping(members_t *members, member_outbox_t *out,
             const member_node_t *node, uint64_t sequence)
{
    members_ping_addr(members, out, node->member.peer_addr, node, sequence);
}

/* All records, in as many messages as they need, for one that is new. */
static void
sync_all(members_t *members, member_outbox_t *out, const char *addr)
{
    member_message_t *message = NULL;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (message == NULL || message->count == MEMBER_RECORDS_MAX) {
            message = members_message_add(members, out, addr, MEMBER_SYNC, 0);
        }
        if (message == NULL) {
            return;
        }
        message->records[message->count++] = node->member;
    }
}

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
    member_node_t *node = members_find(members, record->name);
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
    if (anew) {
        node->since_ms = now_ms;
    }
    node->member = *record;
    node->member.updated_ms = now_ms;
    node->verified = 0;
    node->news_left = members_news_times(members);
    return anew;
}

/* The sender speaks for itself, so it is alive, whatever was thought. */
static void
hear_sender(members_t *members, const member_t *record)
{
    member_node_t *node = members_find(members, record->name);
    if (node == NULL || record->incarnation != node->member.incarnation) {
        return;
    }
    if (record->config_generation > node->member.config_generation) {
        node->member.config_generation = record->config_generation;
    }
    /* It has to learn of the suspicion to deny it for all. */
    if (node->member.health != MEMBER_ALIVE &&
        record->version <= node->member.version) {
        node->news_left = node->news_left > 0 ? node->news_left : 1;
    }
}

static void
answer_ping(members_t *members, const member_message_t *message,
            member_outbox_t *out)
{
    const member_t *sender = &message->records[0];
    member_message_t *ack = members_message_add(
        members, out, sender->peer_addr, MEMBER_ACK, message->sequence);
    member_node_t *node = members_find(members, sender->name);
    if (ack == NULL) {
        return;
    }
    add_accusation(ack, node);
    add_news(members, ack);
}

static void
take_ack(members_t *members, uint64_t sequence, member_outbox_t *out)
{
    if (sequence == members->probe) {
        members->probed[0] = '\0';
    }
    for (size_t i = 0; i < RELAYS_MAX; i++) {
        relay_t *relay = &members->relays[i];
        if (relay->sequence == sequence && sequence != 0) {
            (void)members_message_add(members, out, relay->asker, MEMBER_ACK,
                                      relay->wanted);
            relay->sequence = 0;
        }
    }
}

static void
take_ask(members_t *members, const member_message_t *message,
         member_outbox_t *out)
{
    member_node_t *node = members_find(members, message->target);
    relay_t *relay = &members->relays[members->relay_next++ % RELAYS_MAX];
    if (node == NULL) {
        return;
    }
    relay->sequence = ++members->sequence;
    relay->wanted = message->sequence;
    str_copy(relay->asker, sizeof(relay->asker),
             message->records[0].peer_addr);
    members_ping(members, out, node, relay->sequence);
}

/* Whether a sender is told all: it is new here, or it is young and asks.  When
 * a whole fleet has just started, what the first answer could tell is little.
 */
static bool
wants_all(members_t *members, const member_message_t *message, bool anew,
          int64_t now_ms)
{
    const member_node_t *node =
        members_find(members, message->records[0].name);
    bool young = node != NULL && now_ms - node->since_ms < YOUNG_MS;
    return anew || (young && message->kind == MEMBER_PING);
}

/* Take in what a peer sent; fills what is to be sent in answer. */
void
members_receive(members_t *members, const member_message_t *message,
                int64_t now_ms, member_outbox_t *out)
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
        case MEMBER_PING_REQ:
            take_ask(members, message, out);
            break;
        case MEMBER_SYNC:
            return;
    }
    if (wants_all(members, message, anew, now_ms)) {
        sync_all(members, out, message->records[0].peer_addr);
    }
}
