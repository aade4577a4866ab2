#include "../relay/quota.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

/* Hosts that share the limits of workspaces, in virtual time: each announces
 * what it spends, datagrams take time and are lost, hosts are cut off and
 * start anew.  One bucket that sees everything judges them. */

#define HOSTS_MAX 96
#define FLIGHT_MAX 65536
#define WINDOW_MS 8000
#define OVERAGE 0.1
#define SLACK 140000.0
#define TICK_MS 100
#define RUN_MS 40000
#define SPACE "gleaner"

typedef struct {
    int64_t at_ms;
    size_t to;
    size_t from;
    uint64_t incarnation;
    uint64_t sequence;
    size_t usage_count; /* of the one workspace: none or one */
    peer_usage_t usage;
} flight_t;

typedef struct {
    size_t hosts;
    quotas_t quotas[HOSTS_MAX];
    bool down[HOSTS_MAX];
    int group[HOSTS_MAX]; /* only hosts of one group reach each other */
    flight_t flights[FLIGHT_MAX];
    size_t flight_count;
    quota_limit_t limit;
    double load;   /* units asked a ms, of all hosts */
    double skew;   /* part of the load that the first host gets */
    unsigned lost; /* datagrams of a hundred */
    double large;  /* units of the largest request */
    double run[RUN_MS];
    double exact; /* left in the bucket that sees everything */
    double asked;
    double owed;     /* that the exact bucket allows */
    double needless; /* of these, refused */
    rng_t rng;
} sim_t;

static const quota_bounds_t bounds = {8, OVERAGE, SLACK};

static void
sim_boot(sim_t *sim, size_t host, int64_t now)
{
    quotas_t *quotas = &sim->quotas[host];
    quotas_free(quotas);
    quotas_init(quotas, &bounds, (uint64_t)now + 1, now);
    quotas_config_begin(quotas);
    quotas_config_set(quotas, SPACE, &sim->limit, now);
    quotas_config_end(quotas);
    for (size_t i = 0; i < sim->hosts; i++) {
        if (i != host) {
            quotas_host_known(quotas, i + 1, now);
        }
    }
}

static sim_t *
sim_new(size_t hosts, double rate, uint64_t seed)
{
    sim_t *sim = mem_zalloc(sizeof(*sim));
    sim->hosts = hosts;
    sim->limit = (quota_limit_t){rate, rate};
    sim->exact = rate;
    sim->rng.state = seed;
    sim->lost = 1;
    sim->large = 12000;
    for (size_t i = 0; i < hosts; i++) {
        quotas_init(&sim->quotas[i], &bounds, 1, 0);
        sim_boot(sim, i, 0);
    }
    return sim;
}

static void
sim_free(sim_t *sim)
{
    for (size_t i = 0; i < sim->hosts; i++) {
        quotas_free(&sim->quotas[i]);
    }
    free(sim);
}

static void
sim_send(sim_t *sim, size_t from, const peer_datagram_t *datagram, int64_t now)
{
    for (size_t to = 0; to < sim->hosts; to++) {
        if (to == from || sim->group[to] != sim->group[from] ||
            rng_below(&sim->rng, 100) < sim->lost) {
            continue;
        }
        ck_assert_uint_lt(sim->flight_count, FLIGHT_MAX);
        flight_t *flight = &sim->flights[sim->flight_count++];
        *flight =
            (flight_t){.at_ms = now + 1 + (int64_t)rng_below(&sim->rng, 8),
                       .to = to,
                       .from = from,
                       .incarnation = datagram->incarnation,
                       .sequence = datagram->sequence,
                       .usage_count = datagram->usage_count,
                       .usage = datagram->usages[0]};
    }
}

static void
sim_deliver(sim_t *sim, int64_t now)
{
    static peer_datagram_t arrived = {.kind = PEER_USAGES};
    size_t kept = 0;
    for (size_t i = 0; i < sim->flight_count; i++) {
        flight_t *flight = &sim->flights[i];
        if (flight->at_ms > now) {
            sim->flights[kept++] = *flight;
            continue;
        }
        if (!sim->down[flight->to] &&
            sim->group[flight->to] == sim->group[flight->from]) {
            arrived.incarnation = flight->incarnation;
            arrived.sequence = flight->sequence;
            arrived.usage_count = flight->usage_count;
            arrived.usages[0] = flight->usage;
            quotas_apply(&sim->quotas[flight->to], flight->from + 1, &arrived,
                         now);
        }
    }
    sim->flight_count = kept;
}

static size_t
pick_host(sim_t *sim)
{
    if (rng_unit(&sim->rng) < sim->skew) {
        return 0;
    }
    return rng_below(&sim->rng, sim->hosts);
}

static void
sim_ask(sim_t *sim, int64_t now)
{
    double cost = 200 + rng_unit(&sim->rng) * rng_unit(&sim->rng) * sim->large;
    size_t host = pick_host(sim);
    for (size_t i = 0; i < sim->hosts && sim->down[host]; i++) {
        host = (host + 1) % sim->hosts;
    }
    sim->asked += cost;
    if (sim->down[host]) {
        return;
    }
    quotas_t *quotas = &sim->quotas[host];
    bool owed = sim->exact >= cost;
    bool allowed =
        quota_ask(quotas, quotas_find(quotas, SPACE), cost, now).allowed;
    sim->exact -= owed ? cost : 0;
    sim->owed += owed ? cost : 0;
    sim->needless += owed && !allowed ? cost : 0;
    sim->run[now] += allowed ? cost : 0;
}

/* Plays the time from one moment to another. */
static void
sim_play(sim_t *sim, int64_t from, int64_t until)
{
    double mean = 200 + sim->large / 4;
    for (int64_t now = from; now < until; now++) {
        sim->exact += sim->limit.rate / 1000;
        sim->exact =
            sim->exact < sim->limit.burst ? sim->exact : sim->limit.burst;
        sim_deliver(sim, now);
        for (size_t i = 0; i < sim->hosts; i++) {
            static peer_datagram_t datagram;
            if (sim->down[i] || (now + (int64_t)i * 7) % TICK_MS != 0) {
                continue;
            }
            quotas_tick(&sim->quotas[i], now);
            if (quotas_announce(&sim->quotas[i], &datagram, now)) {
                sim_send(sim, i, &datagram, now);
            }
        }
        double expect = sim->load / mean;
        while (expect > 0) {
            if (rng_unit(&sim->rng) < expect) {
                sim_ask(sim, now);
            }
            expect -= 1;
        }
    }
}

/* The time before the load begins, in which the hosts find each other. */
static void
sim_lead(sim_t *sim)
{
    double load = sim->load;
    sim->load = 0;
    sim_play(sim, 0, 10000);
    sim->load = load;
}

/* A calm fleet, in which one workspace then sends nine times its usual for 14
 * s.
 */
static void
sim_flood(sim_t *sim, double skew)
{
    double rate = sim->limit.rate / 1000;
    sim->load = rate * 0.55;
    sim_lead(sim);
    sim_play(sim, 10000, 14000);
    sim->load = rate * 5;
    sim->skew = skew;
    sim_play(sim, 14000, 28000);
    sim->load = rate * 0.55;
    sim_play(sim, 28000, RUN_MS);
}

/* The largest sum over any window, as a part of what is allowed. */
static double
worst_window(const sim_t *sim)
{
    double allowed = (sim->limit.rate * WINDOW_MS / 1000 + sim->limit.burst) *
                         (1 + OVERAGE) +
                     SLACK;
    double sum = 0;
    double most = 0;
    for (int64_t ms = 0; ms < RUN_MS; ms++) {
        sum += sim->run[ms];
        sum -= ms >= WINDOW_MS ? sim->run[ms - WINDOW_MS] : 0;
        most = sum > most ? sum : most;
    }
    return most / allowed;
}

static double
needless_part(const sim_t *sim)
{
    return sim->owed > 0 ? sim->needless / sim->owed : 0;
}

/* Half of a limit is asked, unevenly: nobody is refused. */
START_TEST(nothing_below_a_limit_is_refused)
{
    static const size_t fleets[] = {1, 4, 25, 78};
    for (size_t i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
        for (uint64_t seed = 1; seed <= 3; seed++) {
            sim_t *sim = sim_new(fleets[i], 300000, seed);
            sim->load = 165;
            sim->skew = 0.3;
            sim_lead(sim);
            sim_play(sim, 10000, RUN_MS);
            ck_assert_double_eq(sim->needless, 0);
            ck_assert_double_le(worst_window(sim), 1);
            sim_free(sim);
        }
    }
}
END_TEST

/* One workspace sends nine times its usual: the limit holds over all hosts,
 * and what is within it runs. */
START_TEST(flood_stays_within_the_limit_and_uses_it)
{
    static const double rates[] = {36000, 120000, 400000, 900000};
    for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
        for (uint64_t seed = 1; seed <= 3; seed++) {
            sim_t *sim = sim_new(25, rates[i], seed);
            sim_flood(sim, seed == 3 ? 0.5 : 0);
            ck_assert_double_le(worst_window(sim), 1);
            double ran = 0;
            for (int64_t ms = 16000; ms < 28000; ms++) {
                ran += sim->run[ms];
            }
            ck_assert_double_ge(ran, 0.95 * rates[i] * 12);
            sim_free(sim);
        }
    }
}
END_TEST

/* The same in a large fleet, whose hosts announce less often. */
START_TEST(flood_over_many_hosts_stays_within_the_limit)
{
    for (uint64_t seed = 1; seed <= 2; seed++) {
        sim_t *sim = sim_new(78, seed == 1 ? 120000 : 600000, seed);
        sim_flood(sim, 0);
        ck_assert_double_le(worst_window(sim), 1);
        sim_free(sim);
    }
}
END_TEST

/* All hosts are killed within a flood: none begins with a burst that the
 * others have spent before. */
START_TEST(a_started_fleet_does_not_spend_a_burst_again)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        sim_t *sim = sim_new(25, 120000, seed);
        sim->load = 120 * 5;
        sim_lead(sim);
        sim_play(sim, 10000, 17000);
        for (size_t i = 0; i < sim->hosts; i++) {
            sim->down[i] = true;
        }
        sim_play(sim, 17000, 18000);
        for (size_t i = 0; i < sim->hosts; i++) {
            sim->down[i] = false;
            sim_boot(sim, i, 18000);
        }
        sim_play(sim, 18000, RUN_MS);
        ck_assert_double_le(worst_window(sim), 1);
        sim_free(sim);
    }
}
END_TEST

/* All hosts are killed on a calm day: after half a second nobody within the
 * limit is refused. */
START_TEST(a_started_fleet_serves_what_is_usual)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        sim_t *sim = sim_new(25, 120000, seed);
        sim->load = 66;
        sim_lead(sim);
        sim_play(sim, 10000, 17000);
        ck_assert_double_eq(sim->needless, 0);
        for (size_t i = 0; i < sim->hosts; i++) {
            sim_boot(sim, i, 17000);
        }
        sim_play(sim, 17000, 17500);
        ck_assert_double_le(sim->needless, 66 * 300);
        double before = sim->needless;
        sim_play(sim, 17500, RUN_MS);
        ck_assert_double_eq(sim->needless, before);
        sim_free(sim);
    }
}
END_TEST

/* A third of the hosts is cut off, each alone, in a flood: they and the others
 * together stay within the limit. */
START_TEST(hosts_that_are_cut_off_keep_to_their_part)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        sim_t *sim = sim_new(25, 400000, seed);
        sim->load = 400 * 4;
        sim_lead(sim);
        sim_play(sim, 10000, 16000);
        for (int i = 0; i < 9; i++) {
            sim->group[i] = i + 1;
        }
        sim_play(sim, 16000, 26000);
        memset(sim->group, 0, sizeof(sim->group));
        sim_play(sim, 26000, RUN_MS);
        ck_assert_double_le(worst_window(sim), 1);
        sim_free(sim);
    }
}
END_TEST

/* Two halves of a fleet are cut off from each other on a calm day. */
START_TEST(halves_that_are_cut_off_serve_what_is_usual)
{
    sim_t *sim = sim_new(24, 400000, 1);
    sim->load = 400 * 0.4;
    sim_lead(sim);
    sim_play(sim, 10000, 16000);
    for (int i = 0; i < 12; i++) {
        sim->group[i] = 1;
    }
    sim_play(sim, 16000, 26000);
    memset(sim->group, 0, sizeof(sim->group));
    sim_play(sim, 26000, RUN_MS);
    ck_assert_double_le(needless_part(sim), 0.01);
    ck_assert_double_le(worst_window(sim), 1);
    sim_free(sim);
}
END_TEST

/* Hosts are replaced one after the other in a flood. */
START_TEST(hosts_that_start_in_turn_keep_the_limit)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        sim_t *sim = sim_new(25, 120000, seed);
        sim->load = 120 * 4;
        sim_lead(sim);
        sim_play(sim, 10000, 14000);
        for (size_t i = 0; i < sim->hosts; i++) {
            int64_t at = 14000 + (int64_t)i * 800;
            sim_boot(sim, i, at);
            sim_play(sim, at, at + 800);
        }
        sim_play(sim, 34000, RUN_MS);
        ck_assert_double_le(worst_window(sim), 1);
        sim_free(sim);
    }
}
END_TEST

/* Announcements that are repeated or overtaken are not subtracted again. */
START_TEST(a_repeated_announcement_changes_nothing)
{
    quotas_t quotas;
    const quota_limit_t limit = {1000, 1000};
    const quota_bounds_t none = {8, 0, 0};
    quotas_init(&quotas, &none, 1, 0);
    quotas_host_known(&quotas, 7, 0);
    quotas_config_begin(&quotas);
    quotas_config_set(&quotas, SPACE, &limit, 20000);
    quotas_config_end(&quotas);
    quota_t *quota = quotas_find(&quotas, SPACE);
    static peer_datagram_t first = {
        .kind = PEER_USAGES, .incarnation = 5, .sequence = 1};
    quotas_apply(&quotas, 7, &first, 20000);
    (void)quota_available(&quotas, quota, 30000);
    static peer_datagram_t second = {.kind = PEER_USAGES,
                                     .incarnation = 5,
                                     .sequence = 3,
                                     .usage_count = 1};
    second.usages[0] = (peer_usage_t){quota->workspace, 400, 400};
    static peer_datagram_t late = {.kind = PEER_USAGES,
                                   .incarnation = 5,
                                   .sequence = 2,
                                   .usage_count = 1};
    late.usages[0] = (peer_usage_t){quota->workspace, 300, 300};
    double before = quota->level;
    quotas_apply(&quotas, 7, &second, 30000);
    quotas_apply(&quotas, 7, &second, 30000);
    quotas_apply(&quotas, 7, &late, 30000);
    ck_assert_double_eq_tol(quota->level, before - 400, 0.001);
    quotas_free(&quotas);
}
END_TEST

/* Guards against a host that restarts with its clock set back and is taken for
 * silent: what it spends would count for nobody.  Late datagrams of its
 * earlier life still change nothing. */
START_TEST(a_restart_with_an_earlier_clock_is_a_new_life)
{
    quotas_t quotas;
    const quota_limit_t limit = {1000, 1000};
    static peer_datagram_t datagram = {.kind = PEER_USAGES,
                                       .incarnation = 500,
                                       .sequence = 9,
                                       .usage_count = 1};
    quotas_init(&quotas, &bounds, 1, 0);
    quotas_config_begin(&quotas);
    quotas_config_set(&quotas, SPACE, &limit, 20000);
    quotas_config_end(&quotas);
    quota_t *quota = quotas_find(&quotas, SPACE);
    datagram.usages[0] = (peer_usage_t){quota->workspace, 10, 10};
    quotas_apply(&quotas, 7, &datagram, 20000);
    double before = quota->level;
    datagram.incarnation = 400;
    datagram.sequence = 1;
    datagram.usages[0] = (peer_usage_t){quota->workspace, 300, 300};
    quotas_apply(&quotas, 7, &datagram, 20000);
    ck_assert_double_eq_tol(quota->level, before - 300, 0.001);
    datagram.incarnation = 500;
    datagram.sequence = 10;
    quotas_apply(&quotas, 7, &datagram, 20000);
    ck_assert_double_eq_tol(quota->level, before - 300, 0.001);
    quotas_free(&quotas);
}
END_TEST

/* A request that did not run gives back what it was charged, also to the
 * other hosts. */
START_TEST(what_did_not_run_is_given_back)
{
    sim_t *sim = sim_new(2, 10000, 1);
    sim->lost = 0;
    sim_play(sim, 0, 21000);
    quota_t *here = quotas_find(&sim->quotas[0], SPACE);
    quota_t *there = quotas_find(&sim->quotas[1], SPACE);
    double full = quota_available(&sim->quotas[1], there, 21000);
    ck_assert(quota_ask(&sim->quotas[0], here, 9000, 21000).allowed);
    sim_play(sim, 21000, 21250);
    ck_assert_double_lt(there->level, full);
    quota_return(&sim->quotas[0], here, 9000, 21250);
    sim_play(sim, 21250, 23000);
    ck_assert_double_eq_tol(quota_available(&sim->quotas[1], there, 23000),
                            full, 1);
    ck_assert_uint_eq(here->spent, 0);
    sim_free(sim);
}
END_TEST

/* A request larger than any bucket gets a final refusal, with no time to come
 * back at; one a little larger than the burst runs. */
START_TEST(a_request_beyond_any_limit_is_told_so)
{
    sim_t *sim = sim_new(1, 36000, 1);
    sim_play(sim, 0, 21000);
    quota_t *quota = quotas_find(&sim->quotas[0], SPACE);
    quota_verdict_t verdict =
        quota_ask(&sim->quotas[0], quota, 1000000, 21000);
    ck_assert(!verdict.allowed);
    ck_assert_int_eq(verdict.after_ms, 0);
    ck_assert(quota_ask(&sim->quotas[0], quota, 60000, 21000).allowed);
    sim_free(sim);
}
END_TEST

/* Callers that are refused are given different times, so that they do not come
 * back at once for what only one of them can have. */
START_TEST(refused_callers_come_back_in_order)
{
    sim_t *sim = sim_new(1, 10000, 1);
    sim_play(sim, 0, 21000);
    quota_t *quota = quotas_find(&sim->quotas[0], SPACE);
    while (quota_ask(&sim->quotas[0], quota, 5000, 21000).allowed) {
    }
    int64_t last = 0;
    for (int i = 0; i < 5; i++) {
        quota_verdict_t verdict =
            quota_ask(&sim->quotas[0], quota, 5000, 21000);
        ck_assert(!verdict.allowed);
        ck_assert_int_gt(verdict.after_ms, last);
        last = verdict.after_ms;
    }
    sim_free(sim);
}
END_TEST

/* A limit is raised, lowered, removed and set again. */
START_TEST(limits_change_at_run_time)
{
    quotas_t quotas;
    quota_limit_t limit = {1000, 1000};
    quotas_init(&quotas, &bounds, 1, 0);
    quotas_config_begin(&quotas);
    quotas_config_set(&quotas, SPACE, &limit, 20000);
    quotas_config_set(&quotas, "other", &limit, 20000);
    quotas_config_end(&quotas);
    ck_assert_uint_eq(quotas.count, 2);
    quota_t *quota = quotas_find(&quotas, SPACE);
    quotas_config_begin(&quotas);
    limit.rate = 500;
    quotas_config_set(&quotas, SPACE, &limit, 21000);
    quotas_config_end(&quotas);
    ck_assert_ptr_eq(quotas_find(&quotas, SPACE), quota);
    ck_assert_double_eq(quota->limit.rate, 500);
    ck_assert_ptr_null(quotas_find(&quotas, "other"));
    quotas_config_begin(&quotas);
    limit.rate = 0;
    quotas_config_set(&quotas, SPACE, &limit, 22000);
    quotas_config_end(&quotas);
    ck_assert_ptr_null(quotas_find(&quotas, SPACE));
    quotas_free(&quotas);
}
END_TEST

TEST_MAIN("quota", nothing_below_a_limit_is_refused,
          flood_stays_within_the_limit_and_uses_it,
          flood_over_many_hosts_stays_within_the_limit,
          a_started_fleet_does_not_spend_a_burst_again,
          a_started_fleet_serves_what_is_usual,
          hosts_that_are_cut_off_keep_to_their_part,
          halves_that_are_cut_off_serve_what_is_usual,
          hosts_that_start_in_turn_keep_the_limit,
          a_repeated_announcement_changes_nothing,
          a_restart_with_an_earlier_clock_is_a_new_life,
          what_did_not_run_is_given_back,
          a_request_beyond_any_limit_is_told_so,
          refused_callers_come_back_in_order, limits_change_at_run_time)
