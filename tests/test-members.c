#include "../kernel/peer-codec.h"
#include "test.h"

#include <string.h>

/* Many members in one process, in virtual time, over a network that loses
 * datagrams. */

#define FLEET_MAX 350
#define LOSS_PERCENT 5

typedef struct {
    size_t count;
    rng_t rng;
    int64_t now;
    members_t *tables[FLEET_MAX];
    bool dead[FLEET_MAX];
    uint64_t datagrams;
    uint64_t bytes;
} fleet_t;

static const unsigned char secret[32] = {1, 2, 3};

static void
fleet_start(fleet_t *fleet, size_t count)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->count = count;
    fleet->rng.state = 42;
    for (size_t i = 0; i < count; i++) {
        member_t self = {.incarnation = 1, .health = MEMBER_ALIVE};
        (void)snprintf(self.name, sizeof(self.name), "router-%zu", i);
        (void)snprintf(self.dc, sizeof(self.dc), "dc-%zu", i % 9);
        (void)snprintf(self.peer, sizeof(self.peer), "127.0.0.1:%zu", i + 1);
        (void)snprintf(self.http, sizeof(self.http), "127.0.0.1:%zu",
                       i + 10001);
        fleet->tables[i] = members_new(&self, i + 1);
        for (size_t j = 0; j < 4; j++) {
            char seed[CS_ADDR_MAX];
            (void)snprintf(seed, sizeof(seed), "127.0.0.1:%zu", j + 1);
            members_seed(fleet->tables[i], seed);
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

/* Carry messages, and the answers that they bring about, over the network. */
static void
carry(fleet_t *fleet, const member_out_t *out, int depth)
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
        if (to >= fleet->count || fleet->dead[to] ||
            rng_below(&fleet->rng, 100) < LOSS_PERCENT || depth > 6) {
            continue;
        }
        member_out_t *answer = mem_zalloc(sizeof(*answer));
        members_receive(fleet->tables[to], &out->messages[i], fleet->now,
                        answer);
        carry(fleet, answer, depth + 1);
        free(answer);
    }
}

static void
beat(fleet_t *fleet, size_t i, int64_t generation)
{
    member_out_t *out = mem_zalloc(sizeof(*out));
    members_tick(fleet->tables[i], fleet->now, generation, MEMBER_LIVE, out);
    carry(fleet, out, 0);
    free(out);
}

static void
round_of(fleet_t *fleet)
{
    fleet->now += members_interval_ms();
    for (size_t i = 0; i < fleet->count; i++) {
        if (!fleet->dead[i]) {
            beat(fleet, i, 1);
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

/* Rounds until the first table knows everybody. */
static int
rounds_to_know_all(fleet_t *fleet)
{
    for (int i = 1; i < 400; i++) {
        round_of(fleet);
        if (count_health(fleet->tables[0], MEMBER_ALIVE) == fleet->count) {
            return i;
        }
    }
    return -1;
}

/* Rounds until every table takes one that stopped for dead. */
static int
rounds_to_notice(fleet_t *fleet, size_t stopped)
{
    fleet->dead[stopped] = true;
    for (int i = 1; i < 400; i++) {
        size_t know = 0;
        round_of(fleet);
        for (size_t j = 0; j < fleet->count; j++) {
            know += !fleet->dead[j] &&
                    count_health(fleet->tables[j], MEMBER_DEAD) > 0;
        }
        if (know == fleet->count - 1) {
            return i;
        }
    }
    return -1;
}

/* An operator sees live daemons listed as dead, or a dead one as alive for
 * minutes.  Datagrams are lost and news takes rounds to get about.  Over
 * two virtual minutes no live daemon may be taken for dead, and a stopped
 * one must be noticed by all. */
static void
prove_fleet(size_t count)
{
    static fleet_t fleet;
    fleet_start(&fleet, count);
    int known = rounds_to_know_all(&fleet);
    ck_assert_int_gt(known, 0);
    /* Let all tables hear of everybody before false deaths are counted. */
    for (int i = 0; i < 60; i++) {
        round_of(&fleet);
    }
    fleet.datagrams = 0;
    fleet.bytes = 0;
    size_t false_deaths = 0;
    size_t suspicions = 0;
    const int rounds = 120;
    for (int i = 0; i < rounds; i++) {
        round_of(&fleet);
        for (size_t j = 0; j < count; j++) {
            false_deaths += count_health(fleet.tables[j], MEMBER_DEAD);
            suspicions += count_health(fleet.tables[j], MEMBER_SUSPECT);
        }
    }
    double seconds = rounds * members_interval_ms() / 1000.0;
    double bytes = (double)fleet.bytes / (double)count / seconds;
    int noticed = rounds_to_notice(&fleet, count / 2);
    (void)printf(
        "members: %zu daemons: known in %d rounds, dead noticed by "
        "all in %.1f s, %zu false deaths, %zu suspicions, %.0f B/s "
        "and %.1f datagrams/s sent by each\n",
        count, known, noticed * members_interval_ms() / 1000.0, false_deaths,
        suspicions, bytes, (double)fleet.datagrams / (double)count / seconds);
    ck_assert_uint_eq(false_deaths, 0);
    ck_assert_int_gt(noticed, 0);
    ck_assert(noticed * members_interval_ms() < 20000);
    ck_assert(bytes < 8192);
    fleet_stop(&fleet);
}

START_TEST(four_daemons)
{
    prove_fleet(4);
}
END_TEST

START_TEST(sixteen_daemons)
{
    prove_fleet(16);
}
END_TEST

START_TEST(sixty_four_daemons)
{
    prove_fleet(64);
}
END_TEST

START_TEST(three_hundred_and_fifty_daemons)
{
    prove_fleet(350);
}
END_TEST

START_TEST(a_duty_falls_to_one_live_member_and_moves_when_it_dies)
{
    static fleet_t fleet;
    fleet_start(&fleet, 4);
    (void)rounds_to_know_all(&fleet);
    for (int i = 0; i < 10; i++) {
        round_of(&fleet);
    }
    for (int d = 0; d < 40; d++) {
        char duty[32];
        (void)snprintf(duty, sizeof(duty), "feed/engine-%d", d);
        int holders = 0;
        for (size_t i = 0; i < 4; i++) {
            holders += members_duty(fleet.tables[i], duty);
        }
        ck_assert_int_eq(holders, 1);
    }
    (void)rounds_to_notice(&fleet, 2);
    int holders = 0;
    for (size_t i = 0; i < 4; i++) {
        holders += i != 2 && members_duty(fleet.tables[i], "feed/engine-1");
    }
    ck_assert_int_eq(holders, 1);
    fleet_stop(&fleet);
}
END_TEST

/* Guards against a herd that knows of each other only after many seconds, and
 * meanwhile does not share the load that each sends. */
START_TEST(a_herd_that_starts_at_once_knows_itself_soon)
{
    static fleet_t fleet;
    const size_t count = 350;
    const int rounds = 10;
    fleet_start(&fleet, count);
    for (size_t i = 0; i < count; i++) {
        for (size_t j = 0; j < count; j++) {
            char seed[CS_ADDR_MAX];
            (void)snprintf(seed, sizeof(seed), "127.0.0.1:%zu", j + 1);
            members_seed(fleet.tables[i], seed);
        }
    }
    for (int i = 0; i < rounds; i++) {
        round_of(&fleet);
    }
    size_t least = count;
    for (size_t i = 0; i < count; i++) {
        size_t known = count_health(fleet.tables[i], MEMBER_ALIVE);
        least = known < least ? known : least;
    }
    double bytes = (double)fleet.bytes / (double)count;
    (void)printf(
        "members: a herd of %zu: all know %zu in %d rounds, %.0f "
        "bytes sent by each\n",
        count, least, rounds, bytes);
    ck_assert_uint_gt(least, count * 9 / 10);
    ck_assert(bytes < 4e6);
    fleet_stop(&fleet);
}
END_TEST

/* Guards against many daemons of a large fleet that all take themselves for
 * the first in line: their writes to a free lease would all but one be in
 * vain. */
START_TEST(all_members_agree_on_the_order_for_a_duty)
{
    static fleet_t fleet;
    const size_t count = 100;
    bool taken[100] = {false};
    fleet_start(&fleet, count);
    (void)rounds_to_know_all(&fleet);
    for (int i = 0; i < 60; i++) {
        round_of(&fleet);
    }
    for (size_t i = 0; i < count; i++) {
        size_t rank = members_duty_rank(fleet.tables[i], "orders");
        ck_assert_uint_lt(rank, count);
        ck_assert(!taken[rank]);
        taken[rank] = true;
    }
    fleet_stop(&fleet);
}
END_TEST

/* Random bytes, and good datagrams with changed ones, must be refused whole
 * and never read past their end. */
START_TEST(forged_and_damaged_datagrams_are_refused)
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

START_TEST(announcements_of_quotas_arrive_as_sent)
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

START_TEST(announcements_of_loads_arrive_as_sent)
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
    /* Damaged ones are never read past their end. */
    rng_t rng = {7};
    for (int i = 0; i < 2000; i++) {
        (void)peer_decode(&out, secret, data, rng_below(&rng, len));
    }
}
END_TEST

TEST_MAIN("members", four_daemons, sixteen_daemons, sixty_four_daemons,
          three_hundred_and_fifty_daemons,
          a_duty_falls_to_one_live_member_and_moves_when_it_dies,
          a_herd_that_starts_at_once_knows_itself_soon,
          all_members_agree_on_the_order_for_a_duty,
          announcements_of_quotas_arrive_as_sent,
          announcements_of_loads_arrive_as_sent,
          forged_and_damaged_datagrams_are_refused)
