#ifndef CELERYSPOOL_MEMBERS_TABLE_H
#define CELERYSPOOL_MEMBERS_TABLE_H

/* What the parts of membership share: the table behind members_t. */

#include "tables.h"

#define TICK_MS 250 /* two ticks make a round */
#define NEWS_FACTOR 3
#define RELAYS_MAX 32
#define SEEDS_MAX 512 /* the rest is found by news */

typedef struct member_node {
    CK_LIST_ENTRY(member_node) entry;
    member_t member;
    int64_t since_ms;   /* when this life of it was first heard of here */
    unsigned news_left; /* how often this record is still passed on */
    uint64_t order;     /* place in the present turn of pings */
    int verified;       /* how often this daemon has asked a suspect itself */
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

/* These are called with the table's lock held. */
member_node_t *members_find(members_t *members, const char *name);
unsigned members_news_times(const members_t *members);
member_message_t *members_message_add(members_t *members, member_outbox_t *out,
                                      const char *addr,
                                      member_message_kind_t kind,
                                      uint64_t sequence);
void members_ping_addr(members_t *members, member_outbox_t *out,
                       const char *addr, const member_node_t *node,
                       uint64_t sequence);
void members_ping(members_t *members, member_outbox_t *out,
                  const member_node_t *node, uint64_t sequence);

#endif
