#include "members-table.h"

#include <stdlib.h>
#include <string.h>

/* Membership messages: which records they carry, and how a received one
 * changes the table. */

#define GOSSIP_RECORDS_MAX 6 /* of one message, the sender's among them */
#define SYNC_WINDOW_MS 2500  /* how long a new member gets full syncs */

/* The record that has been gossiped least and is not in the message yet; NULL
 * if there is none left to gossip. */
static member_node_t *
next_gossip(members_t *members, const member_message_t *message)
{
    member_node_t *best = NULL;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        bool included = false;
        for (size_t i = 0; i < message->count && !included; i++) {
            included =
                strcmp(message->records[i].name, node->member.name) == 0;
        }
        if (node->gossip_left > 0 && !included &&
            (best == NULL || node->gossip_left > best->gossip_left)) {
            best = node;
        }
    }
    return best;
}

static void
add_gossip(members_t *members, member_message_t *message)
{
    member_node_t *node;
    while (message->count < GOSSIP_RECORDS_MAX &&
           (node = next_gossip(members, message)) != NULL) {
        node->gossip_left--;
        message->records[message->count++] = node->member;
    }
}

member_message_t *
members_add_message(members_t *members, member_outbox_t *out, const char *addr,
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

/* Puts the record of a suspected or dead recipient first, because only the
 * recipient can refute it (Dadgar, Phillips, Currey: Lifeguard). */
static void
add_suspicion(member_message_t *message, const member_node_t *node)
{
    if (node != NULL && node->member.health != MEMBER_ALIVE) {
        message->records[message->count++] = node->member;
    }
}

void
members_add_ping_to(members_t *members, member_outbox_t *out, const char *addr,
                    const member_node_t *node, uint64_t sequence)
{
    member_message_t *message =
        members_add_message(members, out, addr, MEMBER_PING, sequence);
    if (message != NULL) {
        add_suspicion(message, node);
        add_gossip(members, message);
    }
}

void
members_add_ping(members_t *members, member_outbox_t *out,
                 const member_node_t *node, uint64_t sequence)
{
    members_add_ping_to(members, out, node->member.peer_addr, node, sequence);
}

/* Adds all records, in as many messages as they need, for a new member. */
static void
add_full_sync(members_t *members, member_outbox_t *out, const char *addr)
{
    member_message_t *message = NULL;
    member_node_t *node;
    CK_LIST_FOREACH (node, &members->list, entry) {
        if (message == NULL || message->count == MEMBER_RECORDS_MAX) {
            message = members_add_message(members, out, addr, MEMBER_SYNC, 0);
        }
        if (message == NULL) {
            return;
        }
        message->records[message->count++] = node->member;
    }
}

/* Whether record a is newer than b: a later incarnation, a higher version set
 * by its subject or, at the same version, a worse health. */
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

/* If a record reports this daemon as suspect or dead, raises the version of
 * its own record above it, which overrides the report.  A record of a later
 * incarnation is of a former process, which started before the clock was set
 * back: this one's incarnation must be later. */
static void
refute(members_t *members, const member_t *record)
{
    if (record->incarnation > members->self.incarnation) {
        members->self.incarnation = record->incarnation + 1;
        return;
    }
    if (record->incarnation == members->self.incarnation &&
        record->version >= members->self.version &&
        record->health != MEMBER_ALIVE) {
        members->self.version = record->version + 1;
    }
}

/* Applies a record; true if its subject is new to this table or has a new
 * incarnation. */
static bool
apply_record(members_t *members, const member_t *record, int64_t now_ms)
{
    if (strcmp(record->name, members->self.name) == 0) {
        refute(members, record);
        return false;
    }
    member_node_t *node = members_find(members, record->name);
    bool is_new =
        node == NULL || record->incarnation > node->member.incarnation;
    if (node == NULL) {
        node = mem_zalloc(sizeof(*node));
        node->probe_order = 1 + (rng_next(&members->rng) >> 1);
        CK_LIST_INSERT_HEAD(&members->list, node, entry);
        members->count++;
    }
    else if (!is_newer(record, &node->member)) {
        return false;
    }
    if (is_new) {
        node->incarnation_received_ms = now_ms;
    }
    node->member = *record;
    node->member.updated_ms = now_ms;
    node->verify_count = 0;
    node->gossip_left = members_gossip_limit(members);
    return is_new;
}

/* Updates the sender's generation, and schedules gossip of a suspicion that
 * the sender has not refuted yet. */
static void
update_sender(members_t *members, const member_t *record)
{
    member_node_t *node = members_find(members, record->name);
    if (node == NULL || record->incarnation != node->member.incarnation) {
        return;
    }
    if (record->config_generation > node->member.config_generation) {
        node->member.config_generation = record->config_generation;
    }
    /* The sender has to receive the suspicion to refute it. */
    if (node->member.health != MEMBER_ALIVE &&
        record->version <= node->member.version) {
        node->gossip_left = node->gossip_left > 0 ? node->gossip_left : 1;
    }
}

static void
handle_ping(members_t *members, const member_message_t *message,
            member_outbox_t *out)
{
    const member_t *sender = &message->records[0];
    member_message_t *ack = members_add_message(
        members, out, sender->peer_addr, MEMBER_ACK, message->sequence);
    member_node_t *node = members_find(members, sender->name);
    if (ack == NULL) {
        return;
    }
    add_suspicion(ack, node);
    add_gossip(members, ack);
}

static void
handle_ack(members_t *members, uint64_t sequence, member_outbox_t *out)
{
    if (sequence == members->probe_sequence) {
        members->probed_name[0] = '\0';
    }
    for (size_t i = 0; i < RELAYED_PINGS_MAX; i++) {
        relayed_ping_t *relay = &members->relayed_pings[i];
        if (relay->sequence == sequence && sequence != 0) {
            (void)members_add_message(members, out, relay->requester_addr,
                                      MEMBER_ACK, relay->requester_sequence);
            relay->sequence = 0;
        }
    }
}

static void
handle_ping_req(members_t *members, const member_message_t *message,
                member_outbox_t *out)
{
    member_node_t *node = members_find(members, message->target);
    relayed_ping_t *relay =
        &members->relayed_pings[members->relayed_ping_count++ %
                                RELAYED_PINGS_MAX];
    if (node == NULL) {
        return;
    }
    relay->sequence = ++members->last_sequence;
    relay->requester_sequence = message->sequence;
    str_copy(relay->requester_addr, sizeof(relay->requester_addr),
             message->records[0].peer_addr);
    members_add_ping(members, out, node, relay->sequence);
}

/* Whether a sender gets all records: it is new to this table, or has been for
 * a short time and pings.  One full sync is not enough: while a whole fleet
 * starts, the first one can list only a few members. */
static bool
needs_full_sync(members_t *members, const member_message_t *message,
                bool is_new, int64_t now_ms)
{
    const member_node_t *node =
        members_find(members, message->records[0].name);
    bool is_recent = node != NULL &&
                     now_ms - node->incarnation_received_ms < SYNC_WINDOW_MS;
    return is_new || (is_recent && message->kind == MEMBER_PING);
}

/* Applies a message from a peer and fills in the messages to send. */
void
members_receive(members_t *members, const member_message_t *message,
                int64_t now_ms, member_outbox_t *out)
{
    LOCK_SCOPE(&members->lock);
    out->count = 0;
    if (message->count == 0) {
        return;
    }
    bool is_new = apply_record(members, &message->records[0], now_ms);
    update_sender(members, &message->records[0]);
    for (size_t i = 1; i < message->count; i++) {
        (void)apply_record(members, &message->records[i], now_ms);
    }
    switch (message->kind) {
        case MEMBER_PING:
            handle_ping(members, message, out);
            break;
        case MEMBER_ACK:
            handle_ack(members, message->sequence, out);
            break;
        case MEMBER_PING_REQ:
            handle_ping_req(members, message, out);
            break;
        case MEMBER_SYNC:
            return;
    }
    if (needs_full_sync(members, message, is_new, now_ms)) {
        add_full_sync(members, out, message->records[0].peer_addr);
    }
}
