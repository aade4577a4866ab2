#include "../balance/priority-band.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

#define LONGEST_MS 12000
#define QUIET_MS (2 * LONGEST_MS + PRIORITY_SKEW_MS)

static void
assert_sent(const priority_band_t *state, int64_t now_ms, int first, int last)
{
    for (int priority = 0; priority <= 9; priority++) {
        int place = priority < 2 ? priority : 2;
        int wanted = first + place < last ? first + place : last;
        ck_assert_int_eq(
            priority_band_choose(state, priority, LONGEST_MS, now_ms), wanted);
    }
}

/* Guards against an engine without order among new requests: only a host that
 * has just learned of a running server has to send the least urgency. */
START_TEST(known_server_gets_first_band)
{
    priority_band_t state;
    priority_band_learn(&state, false, 1000);
    assert_sent(&state, 1000, 9, 9);
    assert_sent(&state, 1000 + LONGEST_MS - 1, 9, 9);
    assert_sent(&state, 1000 + LONGEST_MS, 0, 2);
    priority_band_learn(&state, true, 50000);
    assert_sent(&state, 50000, 0, 2);
}
END_TEST

/* Guards against requests behind a load that lose their order, or are as
 * urgent as those that go on through it. */
START_TEST(each_load_gets_next_band)
{
    priority_band_t state;
    int64_t now = 100000;
    priority_band_learn(&state, true, now - QUIET_MS - PRIORITY_SKEW_MS);
    priority_band_load(&state, 0, LONGEST_MS, now);
    assert_sent(&state, now, 3, 5);
    priority_band_load(&state, 0, LONGEST_MS, now + 3000);
    assert_sent(&state, now + 3000, 6, 8);
    priority_band_load(&state, 0, LONGEST_MS, now + 6000);
    assert_sent(&state, now + 6000, 9, 9);
    priority_band_load(&state, 0, LONGEST_MS, now + 9000);
    assert_sent(&state, now + 9000, 9, 9);
    assert_sent(&state, now + 9000 + LONGEST_MS - 1, 9, 9);
    assert_sent(&state, now + 9000 + LONGEST_MS, 0, 2);
}
END_TEST

/* Guards against a request of an earlier band that goes on through a load
 * after the first band is in use again, and is as urgent as those after it. */
START_TEST(load_before_requests_of_last_one_ended)
{
    priority_band_t state;
    priority_band_learn(&state, true, 0);
    priority_band_load(&state, 0, LONGEST_MS, 50000);
    assert_sent(&state, 50000 + LONGEST_MS - 1, 3, 5);
    assert_sent(&state, 50000 + LONGEST_MS, 0, 2);
    priority_band_load(&state, 0, LONGEST_MS, 50000 + LONGEST_MS);
    assert_sent(&state, 50000 + LONGEST_MS, 6, 8);
    priority_band_load(&state, 0, LONGEST_MS, 50000 + 2 * LONGEST_MS);
    assert_sent(&state, 50000 + 2 * LONGEST_MS, 9, 9);
    priority_band_load(&state, 0, LONGEST_MS, 50000 + 4 * LONGEST_MS);
    assert_sent(&state, 50000 + 4 * LONGEST_MS, 9, 9);
}
END_TEST

/* Guards against requests after a load that are more urgent than those which a
 * host that started before it has sent with the least urgency. */
START_TEST(load_after_host_started)
{
    priority_band_t state;
    priority_band_learn(&state, true, 0);
    priority_band_load(&state, 100000, LONGEST_MS, 100000 + QUIET_MS - 1);
    assert_sent(&state, 100000 + QUIET_MS - 1, 9, 9);
    priority_band_learn(&state, true, 0);
    priority_band_load(&state, 100000, LONGEST_MS, 100000 + QUIET_MS);
    assert_sent(&state, 100000 + QUIET_MS, 3, 5);
    priority_band_load(&state, 0, LONGEST_MS, 103000 + QUIET_MS);
    assert_sent(&state, 103000 + QUIET_MS, 9, 9); /* barely quiet before */
}
END_TEST

/* ---- several hosts at one server ---- */

#define HOSTS 4
#define ALIVE_MAX 256
#define STEP_MS 20
#define SIMULATED_MS 400000
/* What the hosts know differs by at most this, ms. */
#define LAG_MS 1400
/* A server drains before it loads, so that loads are further apart. */
#define LOAD_INTERVAL_MS_MIN (LAG_MS + 200)

typedef enum { NEWS_LOAD, NEWS_SERVER_START, NEWS_HOST_START } news_kind_t;

/* News that hosts learn of at different times. */
typedef struct {
    news_kind_t kind;
    int64_t learned_ms;
} news_t;

#define NEWS_MAX 64

typedef struct {
    priority_band_t state;
    int64_t changed_ms;
    int64_t sends_from_ms;
    int loads; /* that the host knows of */
    news_t news[NEWS_MAX];
    size_t news_count;
} sim_host_t;

typedef struct {
    bool used;
    int priority;
    int loads; /* at the server when it was sent */
    int64_t ends_ms;
} sim_request_t;

typedef struct {
    rng_t rng;
    uint64_t seed;
    int64_t now;
    int64_t longest_ms;
    int loads;
    int64_t next_load_ms;
    int64_t next_server_start_ms;
    int64_t next_host_start_ms;
    sim_host_t hosts[HOSTS];
    sim_request_t requests[ALIVE_MAX];
    size_t sent[PRIORITY_LEAST_URGENT + 1];
    size_t pairs; /* of an older request and one after a load */
} sim_t;

static int64_t
sim_below(sim_t *sim, int64_t limit)
{
    return (int64_t)rng_below(&sim->rng, (uint64_t)limit);
}

/* Tells all hosts but one; none forgets the order of its news. */
static void
sim_tell(sim_t *sim, news_kind_t kind, size_t except)
{
    for (size_t i = 0; i < HOSTS; i++) {
        sim_host_t *host = &sim->hosts[i];
        int64_t learned_ms = sim->now + sim_below(sim, LAG_MS);
        if (i == except) {
            continue;
        }
        ck_assert_uint_lt(host->news_count, NEWS_MAX);
        if (host->news_count > 0 &&
            host->news[host->news_count - 1].learned_ms > learned_ms) {
            learned_ms = host->news[host->news_count - 1].learned_ms;
        }
        host->news[host->news_count++] = (news_t){kind, learned_ms};
    }
}

static void
sim_learn(sim_t *sim, sim_host_t *host)
{
    while (host->news_count > 0 && host->news[0].learned_ms <= sim->now) {
        switch (host->news[0].kind) {
            case NEWS_LOAD:
                host->loads++;
                priority_band_load(&host->state, host->changed_ms,
                                   sim->longest_ms, sim->now);
                break;
            case NEWS_SERVER_START:
                priority_band_learn(&host->state, true, sim->now);
                break;
            case NEWS_HOST_START:
                host->changed_ms = sim->now;
                break;
        }
        host->news_count--;
        memmove(host->news, host->news + 1,
                host->news_count * sizeof(host->news[0]));
    }
}

/* Returns the time until the next load: anything, and often the times at which
 * a decision changes. */
static int64_t
sim_load_interval(sim_t *sim)
{
    int64_t quiet_ms = 2 * sim->longest_ms + PRIORITY_SKEW_MS;
    int64_t ms;
    switch (sim_below(sim, 6)) {
        case 0:
            ms = quiet_ms - LAG_MS + sim_below(sim, 2 * LAG_MS);
            break;
        case 1:
            ms = quiet_ms + PRIORITY_SKEW_MS - LAG_MS +
                 sim_below(sim, 2 * LAG_MS);
            break;
        case 2:
            ms = sim->longest_ms - LAG_MS + sim_below(sim, 2 * LAG_MS);
            break;
        case 3:
            ms = sim_below(sim, 3 * quiet_ms);
            break;
        default:
            ms = sim_below(sim, sim->longest_ms);
            break;
    }
    return ms > LOAD_INTERVAL_MS_MIN ? ms : LOAD_INTERVAL_MS_MIN;
}

static void
sim_events(sim_t *sim)
{
    if (sim->now >= sim->next_load_ms) {
        sim->loads++;
        sim->next_load_ms = sim->now + sim_load_interval(sim);
        sim_tell(sim, NEWS_LOAD, HOSTS);
    }
    if (sim->now >= sim->next_server_start_ms) {
        memset(sim->requests, 0, sizeof(sim->requests));
        sim->next_server_start_ms =
            sim->now + sim_below(sim, 16 * sim->longest_ms);
        if (sim->next_load_ms < sim->now + LOAD_INTERVAL_MS_MIN) {
            sim->next_load_ms = sim->now + LOAD_INTERVAL_MS_MIN;
        }
        sim_tell(sim, NEWS_SERVER_START, HOSTS);
    }
    if (sim->now >= sim->next_host_start_ms) {
        size_t number = (size_t)sim_below(sim, HOSTS);
        sim_host_t *host = &sim->hosts[number];
        memset(host, 0, sizeof(*host));
        priority_band_learn(&host->state, false, sim->now);
        /* The others know it before callers do. */
        host->sends_from_ms = sim->now + LAG_MS;
        host->loads = sim->loads;
        sim->next_host_start_ms =
            sim->now + sim_below(sim, 8 * sim->longest_ms);
        sim_tell(sim, NEWS_HOST_START, number);
    }
}

static void
assert_older_more_urgent(sim_t *sim, const sim_request_t *newer)
{
    for (size_t i = 0; i < ALIVE_MAX; i++) {
        const sim_request_t *older = &sim->requests[i];
        if (!older->used || older->loads >= newer->loads) {
            continue;
        }
        sim->pairs++;
        if (older->priority >= newer->priority &&
            newer->priority != PRIORITY_LEAST_URGENT) {
            ck_abort_msg(
                "SEED=%llu at %lld ms: a request of priority %d goes "
                "on through load %d, then one of priority %d is sent",
                (unsigned long long)sim->seed, (long long)sim->now,
                older->priority, older->loads + 1, newer->priority);
        }
    }
}

/* A host sends a request.  The server rejects one that expects other weights,
 * so a host that does not know of the last load sends none. */
static void
sim_send(sim_t *sim, const sim_host_t *host)
{
    int64_t life_ms = sim_below(sim, 3) == 0
                          ? sim->longest_ms
                          : 1 + sim_below(sim, sim->longest_ms);
    sim_request_t request = {
        .used = true,
        .priority = priority_band_choose(&host->state, (int)sim_below(sim, 10),
                                         sim->longest_ms, sim->now),
        .loads = sim->loads,
        .ends_ms = sim->now + life_ms};
    if (host->loads != sim->loads || sim->now < host->sends_from_ms) {
        return;
    }
    sim->sent[request.priority]++;
    assert_older_more_urgent(sim, &request);
    for (size_t i = 0; i < ALIVE_MAX; i++) {
        if (!sim->requests[i].used) {
            sim->requests[i] = request;
            return;
        }
    }
}

static void
sim_step(sim_t *sim)
{
    sim->now += STEP_MS;
    for (size_t i = 0; i < ALIVE_MAX; i++) {
        if (sim->requests[i].used && sim->now >= sim->requests[i].ends_ms) {
            sim->requests[i].used = false;
        }
    }
    sim_events(sim);
    for (size_t i = 0; i < HOSTS; i++) {
        sim_learn(sim, &sim->hosts[i]);
        if (sim_below(sim, 12) == 0) {
            sim_send(sim, &sim->hosts[i]);
        }
    }
}

static void
sim_run(uint64_t seed, sim_t *sim)
{
    memset(sim, 0, sizeof(*sim));
    sim->seed = seed;
    sim->rng.state = seed;
    sim->longest_ms = 2000 + sim_below(sim, 14000);
    sim->next_load_ms = sim_below(sim, 3 * sim->longest_ms);
    sim->next_server_start_ms = sim_below(sim, 16 * sim->longest_ms);
    /* In half of the runs, hosts start too seldom to matter. */
    sim->next_host_start_ms = sim_below(sim, 2) == 0
                                  ? SIMULATED_MS
                                  : sim_below(sim, 8 * sim->longest_ms);
    for (size_t i = 0; i < HOSTS; i++) {
        priority_band_learn(&sim->hosts[i].state, false, 0);
    }
    while (sim->now < SIMULATED_MS) {
        sim_step(sim);
    }
}

/* Guards against a request that goes on through a load and is preempted before
 * a newer one, also where hosts learn of loads and starts at different times
 * and loads follow each other faster than requests end. */
START_TEST(requests_through_loads_stay_more_urgent)
{
    static sim_t sim;
    const char *text = getenv("SEED");
    uint64_t first = text != NULL ? strtoull(text, NULL, 10) : 1;
    uint64_t last = text != NULL ? first : 300;
    size_t sent[PRIORITY_LEAST_URGENT + 1] = {0};
    size_t pairs = 0;
    for (uint64_t seed = first; seed <= last; seed++) {
        sim_run(seed, &sim);
        pairs += sim.pairs;
        for (size_t i = 0; i <= PRIORITY_LEAST_URGENT; i++) {
            sent[i] += sim.sent[i];
        }
    }
    printf("%zu pairs across loads; sent by priority:", pairs);
    for (size_t i = 0; i <= PRIORITY_LEAST_URGENT; i++) {
        printf(" %zu", sent[i]);
    }
    printf("\n");
    for (size_t i = 0; text == NULL && i <= PRIORITY_LEAST_URGENT; i++) {
        ck_assert_uint_gt(sent[i], 1000);
    }
}
END_TEST

TEST_MAIN("priority-band", known_server_gets_first_band,
          each_load_gets_next_band, load_before_requests_of_last_one_ended,
          load_after_host_started, requests_through_loads_stay_more_urgent)
