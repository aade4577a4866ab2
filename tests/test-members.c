#include "../kernel/members-table.h"
#include "../kernel/peer-codec.h"
#include "test.h"

#include <string.h>

/* Many members in one process, in virtual time, over a network that loses
 * some of the datagrams. */

#define FLEET_MAX 350
#define LOSS_PERCENT 5

typedef struct {
    size_t count;
    rng_t rng;
    int64_t now_ms;
    members_t *tables[FLEET_MAX];
    bool stopped[FLEET_MAX];
    uint64_t datagrams;
    uint64_t bytes;
} fleet_t;

static const unsigned char secret[32] = {1, 2, 3};

static members_t *
member_start(size_t i, uint64_t incarnation)
{
    member_t self = {.incarnation = incarnation, .health = MEMBER_ALIVE};
    (void)snprintf(self.name, sizeof(self.name), "router-%zu", i);
    (void)snprintf(self.dc, sizeof(self.dc), "dc-%zu", i % 9);
    (void)snprintf(self.peer_addr, sizeof(self.peer_addr), "127.0.0.1:%zu",
                   i + 1);
    (void)snprintf(self.http_addr, sizeof(self.http_addr), "127.0.0.1:%zu",
                   i + 10001);
    return members_new(&self, i + 1);
}

static void
fleet_start(fleet_t *fleet, size_t count)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->count = count;
    fleet->rng.state = 42;
    for (size_t i = 0; i < count; i++) {
        fleet->tables[i] = member_start(i, 1000);
        for (size_t j = 0; j < 4; j++) {
            char seed[CS_ADDR_MAX];
            (void)snprintf(seed, sizeof(seed), "127.0.0.1:%zu", j + 1);
            members_add_seed(fleet->tables[i], seed);
        }
    }
}

static void
fleet_stop(fleet_t *fleet)
{
    for (size_t i = 0; i < fleet->count; i++) {
        members_free(fleet->tables[i]);
    }
}

/* Delivers messages, and the answers that they cause, over the network. */
static void
deliver(fleet_t *fleet, const member_outbox_t *out, int depth)
{
    static peer_datagram_t datagram;
    unsigned char data[PEER_DATAGRAM_MAX];
    for (size_t i = 0; i < out->count; i++) {
        size_t to = strtoul(strchr(out->addrs[i], ':') + 1, NULL, 10) - 1;
        datagram.kind = PEER_MEMBERS;
        datagram.members = out->messages[i];
        size_t len = peer_encode(&datagram, secret, data);
        ck_assert_uint_gt(len, 0);
        fleet->datagrams++;
        fleet->bytes += len;
        if (to >= fleet->count || fleet->stopped[to] ||
            rng_below(&fleet->rng, 100) < LOSS_PERCENT || depth > 6) {
            continue;
        }
        member_outbox_t *answer = mem_zalloc(sizeof(*answer));
        members_receive(fleet->tables[to], &out->messages[i], fleet->now_ms,
                        answer);
        deliver(fleet, answer, depth + 1);
        free(answer);
    }
}

static void
tick_member(fleet_t *fleet, size_t i, int64_t generation)
{
    member_outbox_t *out = mem_zalloc(sizeof(*out));
    members_tick(fleet->tables[i], fleet->now_ms, generation, MEMBER_SERVING,
                 out);
    deliver(fleet, out, 0);
    free(out);
}

static void
run_tick(fleet_t *fleet)
{
    fleet->now_ms += members_tick_interval_ms();
    for (size_t i = 0; i < fleet->count; i++) {
        if (!fleet->stopped[i]) {
            tick_member(fleet, i, 1);
        }
    }
}

static size_t
count_health(members_t *members, member_health_t health)
{
    static member_t list[FLEET_MAX + 1];
    size_t found = 0;
    size_t count = members_list(members, list, FLEET_MAX + 1);
    for (size_t i = 0; i < count; i++) {
        found += list[i].health == health;
    }
    return found;
}

/* Returns the ticks until the first table lists all members, or -1. */
static int
ticks_to_discover_all(fleet_t *fleet)
{
    for (int i = 1; i < 400; i++) {
        run_tick(fleet);
        if (count_health(fleet->tables[0], MEMBER_ALIVE) == fleet->count) {
            return i;
        }
    }
    return -1;
}

/* Stops a member; returns the ticks until every other table lists it as
 * dead, or -1. */
static int
ticks_to_detect(fleet_t *fleet, size_t target)
{
    fleet->stopped[target] = true;
    for (int i = 1; i < 400; i++) {
        size_t detecting = 0;
        run_tick(fleet);
        for (size_t j = 0; j < fleet->count; j++) {
            detecting += !fleet->stopped[j] &&
                         count_health(fleet->tables[j], MEMBER_DEAD) > 0;
        }
        if (detecting == fleet->count - 1) {
            return i;
        }
    }
    return -1;
}

/* Guards against live daemons listed as dead, and dead ones listed as alive
 * for minutes, although datagrams are lost and gossip takes several rounds.
 * Over 120 ticks no live daemon may be declared dead, and after that a stopped
 * one must be detected by all within 20 s. */
static void
check_fleet(size_t count)
{
    static fleet_t fleet;
    fleet_start(&fleet, count);
    int discovered = ticks_to_discover_all(&fleet);
    ck_assert_int_gt(discovered, 0);
    /* Lets all tables discover all members before counting. */
    for (int i = 0; i < 60; i++) {
        run_tick(&fleet);
    }
    fleet.datagrams = 0;
    fleet.bytes = 0;
    size_t false_positives = 0;
    size_t suspicions = 0;
    const int ticks = 120;
    for (int i = 0; i < ticks; i++) {
        run_tick(&fleet);
        for (size_t j = 0; j < count; j++) {
            false_positives += count_health(fleet.tables[j], MEMBER_DEAD);
            suspicions += count_health(fleet.tables[j], MEMBER_SUSPECT);
        }
    }
    double seconds = ticks * members_tick_interval_ms() / 1000.0;
    double bytes = (double)fleet.bytes / (double)count / seconds;
    int detected = ticks_to_detect(&fleet, count / 2);
    (void)printf(
        "members: %zu daemons: discovered in %d ticks, dead detected by "
        "all in %.1f s, %zu false positives, %zu suspicions, %.0f B/s "
        "and %.1f datagrams/s sent by each\n",
        count, discovered, detected * members_tick_interval_ms() / 1000.0,
        false_positives, suspicions, bytes,
        (double)fleet.datagrams / (double)count / seconds);
    ck_assert_uint_eq(false_positives, 0);
    ck_assert_int_gt(detected, 0);
    ck_assert(detected * members_tick_interval_ms() < 20000);
    ck_assert(bytes < 8192);
    fleet_stop(&fleet);
}

START_TEST(four_daemons)
{
    check_fleet(4);
}
END_TEST

START_TEST(sixteen_daemons)
{
    check_fleet(16);
}
END_TEST

START_TEST(sixty_four_daemons)
{
    check_fleet(64);
}
END_TEST

START_TEST(three_hundred_and_fifty_daemons)
{
    check_fleet(350);
}
END_TEST

START_TEST(a_duty_has_one_live_owner_and_moves_when_it_dies)
{
    static fleet_t fleet;
    fleet_start(&fleet, 4);
    (void)ticks_to_discover_all(&fleet);
    for (int i = 0; i < 10; i++) {
        run_tick(&fleet);
    }
    for (int d = 0; d < 40; d++) {
        char duty[32];
        (void)snprintf(duty, sizeof(duty), "feed/engine-%d", d);
        int holders = 0;
        for (size_t i = 0; i < 4; i++) {
            holders += members_has_duty(fleet.tables[i], duty);
        }
        ck_assert_int_eq(holders, 1);
    }
    (void)ticks_to_detect(&fleet, 2);
    int holders = 0;
    for (size_t i = 0; i < 4; i++) {
        holders +=
            i != 2 && members_has_duty(fleet.tables[i], "feed/engine-1");
    }
    ck_assert_int_eq(holders, 1);
    fleet_stop(&fleet);
}
END_TEST

/* Guards against daemons that start together and discover each other only
 * after many seconds: until then they do not know how much load the others
 * put on the servers. */
START_TEST(members_that_start_at_once_discover_each_other_soon)
{
    static fleet_t fleet;
    const size_t count = 350;
    const int ticks = 10;
    fleet_start(&fleet, count);
    for (size_t i = 0; i < count; i++) {
        for (size_t j = 0; j < count; j++) {
            char seed[CS_ADDR_MAX];
            (void)snprintf(seed, sizeof(seed), "127.0.0.1:%zu", j + 1);
            members_add_seed(fleet.tables[i], seed);
        }
    }
    for (int i = 0; i < ticks; i++) {
        run_tick(&fleet);
    }
    size_t fewest_known = count;
    for (size_t i = 0; i < count; i++) {
        size_t discovered = count_health(fleet.tables[i], MEMBER_ALIVE);
        fewest_known = discovered < fewest_known ? discovered : fewest_known;
    }
    double bytes = (double)fleet.bytes / (double)count;
    (void)printf(
        "members: %zu start at once: all know at least %zu in %d ticks, %.0f "
        "bytes sent by each\n",
        count, fewest_known, ticks, bytes);
    ck_assert_uint_gt(fewest_known, count * 9 / 10);
    ck_assert(bytes < 4e6);
    fleet_stop(&fleet);
}
END_TEST

static void
clear_seeds(fleet_t *fleet)
{
    for (size_t i = 0; i < fleet->count; i++) {
        fleet->tables[i]->seed_count = 0;
    }
}

static void
run_tick_backwards(fleet_t *fleet)
{
    fleet->now_ms += members_tick_interval_ms();
    for (size_t i = fleet->count; i > 0; i--) {
        tick_member(fleet, i - 1, 1);
    }
}

/* Each daemon lists those that started before it. */
static void
add_earlier_seeds(fleet_t *fleet)
{
    for (size_t i = 0; i < fleet->count; i++) {
        for (size_t j = 0; j < i; j++) {
            char seed[CS_ADDR_MAX];
            (void)snprintf(seed, sizeof(seed), "127.0.0.1:%zu", j + 1);
            members_add_seed(fleet->tables[i], seed);
        }
    }
}

/* Guards against a first daemon, with an empty list of seeds, that the others
 * of a small fleet discover only after seconds. */
START_TEST(a_daemon_that_started_first_is_discovered_soon)
{
    static fleet_t fleet;
    const int ticks = 2000 / members_tick_interval_ms();
    int undiscovered = 0;
    for (size_t play = 0; play < 300; play++) {
        fleet_start(&fleet, 2 + play % 4);
        fleet.rng.state = play;
        for (size_t i = 0; i < fleet.count; i++) {
            fleet.tables[i]->rng.state = play * 8 + i;
        }
        clear_seeds(&fleet);
        run_tick_backwards(&fleet);
        run_tick_backwards(&fleet);
        add_earlier_seeds(&fleet);
        for (int tick = 0; tick < ticks; tick++) {
            run_tick_backwards(&fleet);
        }
        for (size_t i = 0; i < fleet.count; i++) {
            undiscovered += members_live_count(fleet.tables[i]) < fleet.count;
        }
        fleet_stop(&fleet);
    }
    ck_assert_int_eq(undiscovered, 0);
}
END_TEST

static size_t
count_tables_with(fleet_t *fleet, member_health_t health, size_t count)
{
    size_t tables = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        tables += count_health(fleet->tables[i], health) == count;
    }
    return tables;
}

/* Guards against hosts that stay dead for the others because their clock was
 * set back while they were down. */
START_TEST(a_daemon_whose_clock_was_set_back_is_discovered_again)
{
    static fleet_t fleet;
    static const uint64_t incarnations[] = {999, 1, 1000};
    fleet_start(&fleet, 6);
    ck_assert_int_gt(ticks_to_discover_all(&fleet), 0);
    for (size_t n = 0; n < 3; n++) {
        ck_assert_int_gt(ticks_to_detect(&fleet, 5), 0);
        members_free(fleet.tables[5]);
        fleet.tables[5] = member_start(5, incarnations[n]);
        members_add_seed(fleet.tables[5], "127.0.0.1:1");
        fleet.stopped[5] = false;
        int ticks = 0;
        while (count_tables_with(&fleet, MEMBER_ALIVE, 6) < 6 && ticks < 400) {
            run_tick(&fleet);
            ticks++;
        }
        ck_assert_msg(ticks < 400, "not discovered with incarnation %llu",
                      (unsigned long long)incarnations[n]);
        ck_assert_int_le(ticks * members_tick_interval_ms(), 12000);
    }
    fleet_stop(&fleet);
}
END_TEST

/* Guards against the traffic of a daemon that has listed hosts which are gone
 * for good. */
START_TEST(seeds_that_are_gone_cost_little)
{
    static fleet_t fleet;
    fleet_start(&fleet, 3);
    for (size_t j = 10; j < 13; j++) {
        char seed[CS_ADDR_MAX];
        (void)snprintf(seed, sizeof(seed), "127.0.0.1:%zu", j);
        members_add_seed(fleet.tables[0], seed);
    }
    for (int i = 0; i < 400; i++) {
        run_tick(&fleet);
    }
    double seconds = 400 * members_tick_interval_ms() / 1000.0;
    double bytes = (double)fleet.bytes / seconds / (double)fleet.count;
    ck_assert(bytes < 8192);
    ck_assert_uint_eq(count_health(fleet.tables[0], MEMBER_ALIVE), 3);
    fleet_stop(&fleet);
}
END_TEST

/* Guards against several daemons of a large fleet with the same rank: when a
 * lease is free they would all write to it at once, and all but one of the
 * writes would fail. */
START_TEST(all_members_agree_on_the_ranks_for_a_duty)
{
    static fleet_t fleet;
    const size_t count = 100;
    bool rank_assigned[100] = {false};
    fleet_start(&fleet, count);
    (void)ticks_to_discover_all(&fleet);
    for (int i = 0; i < 60; i++) {
        run_tick(&fleet);
    }
    for (size_t i = 0; i < count; i++) {
        size_t rank = members_duty_rank(fleet.tables[i], "orders");
        ck_assert_uint_lt(rank, count);
        ck_assert(!rank_assigned[rank]);
        rank_assigned[rank] = true;
    }
    fleet_stop(&fleet);
}
END_TEST

/* Datagrams with a changed byte, truncated ones and those of another key must
 * be rejected whole and never read past their end. */
START_TEST(forged_and_damaged_datagrams_are_rejected)
{
    static peer_datagram_t datagram;
    static peer_datagram_t out;
    unsigned char data[PEER_DATAGRAM_MAX];
    rng_t rng = {5};
    datagram = (peer_datagram_t){.kind = PEER_FACTS, .fact_count = 2};
    str_copy(datagram.facts[0].backend, CS_NAME_MAX, "engine-1");
    datagram.facts[0].is_load = true;
    datagram.facts[0].load.running = 7;
    str_copy(datagram.facts[1].backend, CS_NAME_MAX, "engine-2");
    datagram.facts[1].key = 0xfedcba9876543210ULL;
    size_t len = peer_encode(&datagram, secret, data);
    ck_assert_int_eq(peer_decode(&out, secret, data, len), 0);
    ck_assert_int_eq(out.facts[0].load.running, 7);
    ck_assert_uint_eq(out.facts[1].key, 0xfedcba9876543210ULL);
    unsigned char other[32] = {9};
    ck_assert_int_eq(peer_decode(&out, other, data, len), -1);
    for (int i = 0; i < 5000; i++) {
        unsigned char bad[PEER_DATAGRAM_MAX];
        memcpy(bad, data, len);
        bad[rng_below(&rng, len)] ^= (unsigned char)(1 + rng_below(&rng, 255));
        ck_assert_int_eq(peer_decode(&out, secret, bad, len), -1);
        (void)peer_decode(&out, secret, bad, rng_below(&rng, len));
    }
}
END_TEST

START_TEST(signals_are_decoded_as_encoded)
{
    static peer_datagram_t datagram;
    static peer_datagram_t out;
    unsigned char data[PEER_DATAGRAM_MAX];
    datagram.kind = PEER_SIGNALS;
    datagram.signal_count = PEER_SIGNALS_MAX;
    for (size_t i = 0; i < PEER_SIGNALS_MAX; i++) {
        datagram.signals[i] =
            (peer_signal_t){.server_hash = UINT32_MAX - (uint32_t)i,
                            .incarnation = UINT32_MAX,
                            .limit_revision = UINT32_MAX,
                            .limit_stated = i % 2 == 0,
                            .limit_milli_per_s = 1000000000ULL + i,
                            .leaving = i % 3 == 0};
    }
    size_t len = peer_encode(&datagram, secret, data);
    ck_assert_uint_gt(len, 0);
    ck_assert_int_eq(peer_decode(&out, secret, data, len), 0);
    ck_assert_uint_eq(out.signal_count, PEER_SIGNALS_MAX);
    for (size_t i = 0; i < PEER_SIGNALS_MAX; i++) {
        ck_assert_uint_eq(out.signals[i].server_hash,
                          UINT32_MAX - (uint32_t)i);
        ck_assert_uint_eq(out.signals[i].limit_revision, UINT32_MAX);
        ck_assert(out.signals[i].limit_stated == (i % 2 == 0));
        ck_assert(out.signals[i].leaving == (i % 3 == 0));
        ck_assert_uint_eq(out.signals[i].limit_milli_per_s, 1000000000ULL + i);
    }
}
END_TEST

START_TEST(speeds_are_decoded_as_encoded)
{
    static peer_datagram_t datagram;
    static peer_datagram_t out;
    unsigned char data[PEER_DATAGRAM_MAX];
    datagram.kind = PEER_SPEEDS;
    datagram.speed_count = PEER_SPEEDS_MAX;
    for (size_t i = 0; i < PEER_SPEEDS_MAX; i++) {
        datagram.speeds[i] =
            (peer_speed_t){.server_hash = UINT32_MAX - (uint32_t)i,
                           .incarnation = UINT32_MAX,
                           .ratio_milli = 700 + (uint32_t)i,
                           .observations = (uint32_t)i};
    }
    size_t len = peer_encode(&datagram, secret, data);
    ck_assert_uint_gt(len, 0);
    ck_assert_int_eq(peer_decode(&out, secret, data, len), 0);
    ck_assert_uint_eq(out.speed_count, PEER_SPEEDS_MAX);
    for (size_t i = 0; i < PEER_SPEEDS_MAX; i++) {
        ck_assert_uint_eq(out.speeds[i].server_hash, UINT32_MAX - (uint32_t)i);
        ck_assert_uint_eq(out.speeds[i].incarnation, UINT32_MAX);
        ck_assert_uint_eq(out.speeds[i].ratio_milli, 700 + (uint32_t)i);
        ck_assert_uint_eq(out.speeds[i].observations, (uint32_t)i);
    }
}
END_TEST

START_TEST(usages_are_decoded_as_encoded)
{
    static peer_datagram_t datagram;
    static peer_datagram_t out;
    unsigned char data[PEER_DATAGRAM_MAX];
    datagram = (peer_datagram_t){
        .kind = PEER_USAGES, .incarnation = 1ULL << 40, .sequence = 3};
    for (size_t i = 0; i < PEER_USAGES_MAX; i++) {
        datagram.usages[i] = (peer_usage_t){
            UINT64_MAX - i, UINT32_MAX - (uint32_t)i, (uint32_t)-5};
    }
    datagram.usage_count = PEER_USAGES_MAX;
    size_t len = peer_encode(&datagram, secret, data);
    ck_assert_uint_gt(len, 0);
    ck_assert_int_eq(peer_decode(&out, secret, data, len), 0);
    ck_assert_int_eq(out.kind, PEER_USAGES);
    ck_assert_uint_eq(out.incarnation, datagram.incarnation);
    ck_assert_uint_eq(out.sequence, 3);
    ck_assert_uint_eq(out.usage_count, PEER_USAGES_MAX);
    ck_assert_int_eq(memcmp(out.usages, datagram.usages, sizeof(out.usages)),
                     0);
}
END_TEST

START_TEST(loads_are_decoded_as_encoded)
{
    static peer_datagram_t datagram;
    static peer_datagram_t out;
    unsigned char data[PEER_DATAGRAM_MAX];
    datagram = (peer_datagram_t){.kind = PEER_LOADS};
    for (uint32_t i = 0; i < PEER_LOADS_MAX; i++) {
        datagram.loads[i] =
            (peer_load_t){UINT32_MAX - i, i * 100000, i, UINT32_MAX, i << 20};
    }
    datagram.load_count = PEER_LOADS_MAX;
    size_t len = peer_encode(&datagram, secret, data);
    ck_assert_uint_gt(len, 0);
    ck_assert_int_eq(peer_decode(&out, secret, data, len), 0);
    ck_assert_uint_eq(out.load_count, PEER_LOADS_MAX);
    ck_assert_int_eq(memcmp(out.loads, datagram.loads, sizeof(out.loads)), 0);
    /* Truncated datagrams are never read past their end. */
    rng_t rng = {7};
    for (int i = 0; i < 2000; i++) {
        (void)peer_decode(&out, secret, data, rng_below(&rng, len));
    }
}
END_TEST

TEST_MAIN("members", four_daemons, sixteen_daemons, sixty_four_daemons,
          three_hundred_and_fifty_daemons,
          a_duty_has_one_live_owner_and_moves_when_it_dies,
          members_that_start_at_once_discover_each_other_soon,
          a_daemon_that_started_first_is_discovered_soon,
          a_daemon_whose_clock_was_set_back_is_discovered_again,
          seeds_that_are_gone_cost_little,
          all_members_agree_on_the_ranks_for_a_duty,
          signals_are_decoded_as_encoded, speeds_are_decoded_as_encoded,
          usages_are_decoded_as_encoded, loads_are_decoded_as_encoded,
          forged_and_damaged_datagrams_are_rejected)
