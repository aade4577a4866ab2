#include "../relay/peer-loads.h"
#include "test.h"

#include <string.h>

static server_t *
add_engine(servers_t *servers, const char *id)
{
    server_entry_t entry = {.slots = 64, .engine = true, .weights = 1};
    str_copy(entry.id, sizeof(entry.id), id);
    str_copy(entry.service, sizeof(entry.service), "llm");
    return servers_put(servers, &entry, 0);
}

/* The same engine in the tables of two hosts. */
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
    pair->mine = add_engine(pair->here, "e1");
    pair->theirs = add_engine(pair->there, "e1");
}

static void
pair_free(pair_t *pair)
{
    servers_free(pair->here);
    servers_free(pair->there);
}

/* Guards against a queue of small prompts of many hosts that goes unannounced
 * because each host's part is small. */
START_TEST(small_prompts_are_announced)
{
    static peer_datagram_t datagram;
    pair_t pair;
    pair_init(&pair);
    server_add_request(pair.mine, 600, 1000);
    ck_assert(peer_loads_collect(pair.here, &datagram, 1000));
    peer_loads_apply(pair.there, 1, &datagram, 1001);
    peer_loads_apply(pair.there, 2, &datagram, 1001);
    ck_assert_double_eq(server_sum_peer_prefill(pair.theirs, 1001), 1200);
    ck_assert(!peer_loads_collect(pair.here, &datagram, 1050));
    pair_free(&pair);
}
END_TEST

/* Guards against a full server that looks idle: its load has not changed for
 * some time, and peers discard an old announcement. */
START_TEST(unchanged_load_is_announced_again)
{
    static peer_datagram_t datagram;
    pair_t pair;
    pair_init(&pair);
    server_add_request(pair.mine, 9000, 0);
    for (int64_t now = 0; now < 5000; now += 50) {
        if (peer_loads_collect(pair.here, &datagram, now)) {
            peer_loads_apply(pair.there, 1, &datagram, now);
        }
        ck_assert_double_eq(server_sum_peer_prefill(pair.theirs, now), 9000);
    }
    server_subtract_prefill(pair.mine, 9000, 5000);
    ck_assert(peer_loads_collect(pair.here, &datagram, 5000));
    peer_loads_apply(pair.there, 1, &datagram, 5000);
    ck_assert_double_eq(server_sum_peer_prefill(pair.theirs, 5000), 0);
    ck_assert(!peer_loads_collect(pair.here, &datagram, 9000));
    pair_free(&pair);
}
END_TEST

/* Guards against a server that looks idle as soon as it has caught up: tokens
 * that other hosts sent to it stay in its backlog for longer than it takes to
 * prefill them. */
START_TEST(tokens_of_other_hosts_stay_in_the_backlog)
{
    static peer_datagram_t datagram;
    pair_t pair;
    pair_init(&pair);
    server_add_request(pair.mine, 1000, 0);
    ck_assert(peer_loads_collect(pair.here, &datagram, 0));
    peer_loads_apply(pair.there, 1, &datagram, 0);
    server_add_request(pair.mine, 4800, 50);
    server_subtract_prefill(pair.mine, 5800, 50);
    ck_assert(peer_loads_collect(pair.here, &datagram, 50));
    peer_loads_apply(pair.there, 1, &datagram, 50);
    ck_assert_double_eq(server_sum_peer_prefill(pair.theirs, 50), 0);
    ck_assert_double_eq(server_update_backlog(pair.theirs, 50), 4800);
    ck_assert_double_gt(server_update_backlog(pair.theirs, 150), 0);
    ck_assert_double_eq(server_update_backlog(pair.theirs, 250), 0);
    pair_free(&pair);
}
END_TEST

/* A host that has just started receives loads of servers it does not know. */
START_TEST(loads_of_unknown_servers_are_ignored)
{
    static peer_datagram_t datagram = {.kind = PEER_LOADS, .load_count = 1};
    servers_t *servers = servers_new();
    server_t *server = add_engine(servers, "e1");
    datagram.loads[0] =
        (peer_load_t){.server_hash = server->id_hash + 1, .prefill_tokens = 5};
    peer_loads_apply(servers, 1, &datagram, 10);
    ck_assert_double_eq(server_sum_peer_prefill(server, 10), 0);
    servers_free(servers);
}
END_TEST

/* Guards against an engine that counts as slow after a host has died: what the
 * host had announced there is never announced as prefilled. */
START_TEST(a_dead_host_does_not_make_an_engine_slow)
{
    static peer_datagram_t datagram;
    pair_t pair;
    pair_init(&pair);
    server_state_pace(pair.theirs, 100, 0);
    server_add_request(pair.mine, 9000, 0);
    ck_assert(peer_loads_collect(pair.here, &datagram, 0));
    peer_loads_apply(pair.there, 1, &datagram, 1);
    ck_assert_double_eq(pair.theirs->prefill_load.outstanding, 9000);
    servers_compare_prefill(pair.there, 500);
    ck_assert_double_eq(pair.theirs->prefill_load.outstanding, 9000);
    servers_compare_prefill(pair.there, 1500);
    ck_assert_double_eq(pair.theirs->prefill_load.outstanding, 0);
    /* It was cut off only. */
    ck_assert(peer_loads_collect(pair.here, &datagram, 1600));
    peer_loads_apply(pair.there, 1, &datagram, 1601);
    ck_assert_double_eq(pair.theirs->prefill_load.outstanding, 9000);
    pair_free(&pair);
}
END_TEST

/* Guards against a host that ignores the loads of others since all its own
 * prompts came before a pace was stated. */
START_TEST(one_prompt_before_the_pace_is_enough)
{
    pair_t pair;
    pair_init(&pair);
    server_add_request(pair.theirs, 3000, 0);
    server_state_pace(pair.theirs, 100, 10);
    server_count_prefill(pair.theirs, 6000);
    ck_assert_double_gt(
        prefill_load_observations(&pair.theirs->prefill_load,
                                  &pair.theirs->service_speed->prefill),
        1.5);
    pair_free(&pair);
}
END_TEST

/* Guards against engines of earlier deployments that are compared by loads:
 * only a stated pace says that machines may differ. */
START_TEST(loads_decide_speeds_only_where_a_pace_is_stated)
{
    static peer_datagram_t datagram;
    pair_t pair;
    pair_init(&pair);
    server_add_request(pair.mine, 9000, 0);
    ck_assert(peer_loads_collect(pair.here, &datagram, 0));
    peer_loads_apply(pair.there, 1, &datagram, 1);
    servers_compare_prefill(pair.there, 500);
    ck_assert_double_eq(pair.theirs->prefill_load.outstanding, 0);
    ck_assert_double_eq(pair.theirs->prefill_load.sent, 0);
    ck_assert_double_eq(server_delay_cost_ms(pair.theirs, 200, 500), 0);
    pair_free(&pair);
}
END_TEST

TEST_MAIN("peer-loads", one_prompt_before_the_pace_is_enough,
          a_dead_host_does_not_make_an_engine_slow,
          loads_decide_speeds_only_where_a_pace_is_stated,
          small_prompts_are_announced, unchanged_load_is_announced_again,
          tokens_of_other_hosts_stay_in_the_backlog,
          loads_of_unknown_servers_are_ignored)
