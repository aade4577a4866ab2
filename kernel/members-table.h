#ifndef CELERYSPOOL_MEMBERS_TABLE_H
#define CELERYSPOOL_MEMBERS_TABLE_H

/* The membership table behind members_t, shared by the members-*.c files. */

#include "tables.h"

#define TICK_MS 250     /* two ticks make a round */
#define GOSSIP_FACTOR 3 /* a record is sent 3 * log2(member count) times */
#define RELAYED_PINGS_MAX 32
#define SEEDS_MAX 512 /* further members are found by gossip */

typedef struct member_node {
    CK_LIST_ENTRY(member_node) entry;
    member_t member;
    int64_t incarnation_received_ms; /* first record of this incarnation */
    unsigned gossip_left; /* messages that will still carry this record */
    uint64_t probe_order; /* random position in the current probe cycle */
    int verify_count;     /* verification pings sent to this suspect */
} member_node_t;

typedef CK_LIST_HEAD(member_list, member_node) member_list_t;

/* A ping that was sent on behalf of another member. */
typedef struct {
    uint64_t sequence; /* of the relayed ping; 0 once it is acknowledged */
    uint64_t requester_sequence; /* of the ping that the requester waits for */
    char requester_addr[CS_ADDR_MAX];
} relayed_ping_t;

struct members {
    pthread_mutex_t lock;
    member_t self;
    unsigned self_gossip_left; /* only written: every message carries self */
    member_list_t list;
    size_t count;
    rng_t rng;
    char seeds[SEEDS_MAX][CS_ADDR_MAX];
    size_t seed_count;
    uint64_t ticks;
    uint64_t last_sequence;
    uint64_t last_probe_order; /* of the last member probed in this cycle */
    char probed_name[CS_NAME_MAX]; /* its ACK is awaited; empty for none */
    uint64_t probe_sequence;       /* sequence of the ping to probed_name */
    relayed_ping_t relayed_pings[RELAYED_PINGS_MAX];
    size_t relayed_ping_count;
};

/* The caller holds the table's lock. */
member_node_t *members_find(members_t *members, const char *name);
unsigned members_gossip_limit(const members_t *members);
member_message_t *members_add_message(members_t *members, member_outbox_t *out,
                                      const char *addr,
                                      member_message_kind_t kind,
                                      uint64_t sequence);
void members_add_ping_to(members_t *members, member_outbox_t *out,
                         const char *addr, const member_node_t *node,
                         uint64_t sequence);
void members_add_ping(members_t *members, member_outbox_t *out,
                      const member_node_t *node, uint64_t sequence);

#endif
