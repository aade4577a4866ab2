#include "../relay/peer-loads.h"
#include "test.h"

#include <string.h>

static server_t *
put_engine(servers_t *servers, const char *id)
{
    server_entry_t entry = {.slots = 64, .engine = true, .weights = 1};
    str_copy(entry.id, sizeof(entry.id), id);
    str_copy(entry.service, sizeof(entry.service), "llm");
    return servers_put(servers, &entry);
}

/* The same engine as two hosts know it. */
typedef struct {
    servers_t *here;
    servers_t *there;
    server_t *mine;
    server_t *theirs;
} pair_t;

static void
pair_init(pair_t *pair)
{
    pair->here = servers_new();
    pair->there = servers_new();
    pair->mine = put_engine(pair->here, "e1");
    pair->theirs = put_engine(pair->there, "e1");
}

static void
pair_free(pair_t *pair)
{
    servers_free(pair->here);
    servers_free(pair->there);
}

/* Guards against a queue that is made of small prompts of many hosts, none of
 * which is worth an announcement by itself. */
START_TEST(small_prompts_are_announced)
{
    static peer_datagram_t datagram;
    pair_t pair;
    pair_init(&pair);
    server_sent(pair.mine, 600, 1000);
    ck_assert(peer_loads_collect(pair.here, &datagram, 1000));
    peer_loads_apply(pair.there, 1, &datagram, 1001);
    peer_loads_apply(pair.there, 2, &datagram, 1001);
    ck_assert_double_eq(server_others_unread(pair.theirs, 1001), 1200);
    ck_assert(!peer_loads_collect(pair.here, &datagram, 1050));
    pair_free(&pair);
}
END_TEST

/* Guards against a full server that looks idle: what waits there for long has
 * not changed, and an old announcement is not believed. */
START_TEST(what_goes_on_waiting_is_announced_again)
{
    static peer_datagram_t datagram;
    pair_t pair;
    pair_init(&pair);
    server_sent(pair.mine, 9000, 0);
    for (int64_t now = 0; now < 5000; now += 50) {
        if (peer_loads_collect(pair.here, &datagram, now)) {
            peer_loads_apply(pair.there, 1, &datagram, now);
        }
        ck_assert_double_eq(server_others_unread(pair.theirs, now), 9000);
    }
    server_read(pair.mine, 9000);
    ck_assert(peer_loads_collect(pair.here, &datagram, 5000));
    peer_loads_apply(pair.there, 1, &datagram, 5000);
    ck_assert_double_eq(server_others_unread(pair.theirs, 5000), 0);
    ck_assert(!peer_loads_collect(pair.here, &datagram, 9000));
    pair_free(&pair);
}
END_TEST

/* Guards against a server that looks idle as soon as it has caught up: what
 * others had it read is booked, and falls slower than it is read. */
START_TEST(what_others_send_is_booked)
{
    static peer_datagram_t datagram;
    pair_t pair;
    pair_init(&pair);
    server_sent(pair.mine, 1000, 0);
    ck_assert(peer_loads_collect(pair.here, &datagram, 0));
    peer_loads_apply(pair.there, 1, &datagram, 0);
    server_sent(pair.mine, 4800, 50);
    server_read(pair.mine, 5800);
    ck_assert(peer_loads_collect(pair.here, &datagram, 50));
    peer_loads_apply(pair.there, 1, &datagram, 50);
    ck_assert_double_eq(server_others_unread(pair.theirs, 50), 0);
    ck_assert_double_eq(server_booked(pair.theirs, 50), 4800);
    ck_assert_double_gt(server_booked(pair.theirs, 150), 0);
    ck_assert_double_eq(server_booked(pair.theirs, 250), 0);
    pair_free(&pair);
}
END_TEST

/* A host that has just started receives loads of servers it does not know. */
START_TEST(loads_of_unknown_servers_do_nothing)
{
    static peer_datagram_t datagram = {.kind = PEER_LOADS, .load_count = 1};
    servers_t *servers = servers_new();
    server_t *server = put_engine(servers, "e1");
    datagram.loads[0] =
        (peer_load_t){.server_hash = server->key + 1, .prefill_tokens = 5};
    peer_loads_apply(servers, 1, &datagram, 10);
    ck_assert_double_eq(server_others_unread(server, 10), 0);
    servers_free(servers);
}
END_TEST

TEST_MAIN("peer-loads", small_prompts_are_announced,
          what_goes_on_waiting_is_announced_again, what_others_send_is_booked,
          loads_of_unknown_servers_do_nothing)
