#include "../balance/prefill-load.h"
#include "test.h"

#include <math.h>

/* Engines in virtual time: prompts arrive at random and are prefilled one
 * after the other.  The outstanding tokens are read each 100 ms, as hosts
 * announce them. */

#define ENGINES 30
#define RATE 48.0 /* tokens/ms of an engine with ratio 1 */
#define READ_MS 100
#define FIRST_TOKEN_MS 10.0
#define MEAN_TOKENS 3500.0
#define WAITING_MAX 4096

typedef struct {
    double ratio;
    double share;    /* of the arrivals */
    double ready_ms; /* when the last prompt will be prefilled */
    double done_ms[WAITING_MAX];
    double tokens[WAITING_MAX];
    size_t first;
    size_t count;
    prefill_load_t load;
} engine_t;

typedef struct {
    engine_t engines[ENGINES];
    prefill_load_t *loads[ENGINES];
    prefill_service_t service;
    rng_t rng;
} fleet_t;

static fleet_t *
fleet_new(uint64_t seed)
{
    fleet_t *fleet = mem_zalloc(sizeof(*fleet));
    fleet->rng.state = seed;
    fleet->service = (prefill_service_t){MEAN_TOKENS, FIRST_TOKEN_MS};
    for (size_t i = 0; i < ENGINES; i++) {
        fleet->engines[i].ratio = i % 3 == 2 ? 1.7 : 0.7;
        fleet->engines[i].share = 1;
        fleet->loads[i] = &fleet->engines[i].load;
    }
    return fleet;
}

/* Most prompts are short, a few ten times as long. */
static double
draw_tokens(rng_t *rng)
{
    double z = 0;
    for (int i = 0; i < 12; i++) {
        z += rng_unit(rng);
    }
    return fmin(30000, 1800 * exp(0.9 * (z - 6)) + 700);
}

static void
arrive(fleet_t *fleet, engine_t *engine, double now)
{
    double tokens = draw_tokens(&fleet->rng);
    double work = tokens / RATE * engine->ratio;
    double begin = fmax(now, engine->ready_ms);
    size_t slot = (engine->first + engine->count) % WAITING_MAX;
    if (engine->count == WAITING_MAX) {
        return;
    }
    engine->ready_ms = begin + work;
    engine->done_ms[slot] = engine->ready_ms + FIRST_TOKEN_MS;
    engine->tokens[slot] = tokens;
    engine->count++;
    prefill_load_add_sent(&engine->load, tokens);
}

static double
outstanding(engine_t *engine, double now)
{
    double sum = 0;
    while (engine->count > 0 && engine->done_ms[engine->first] <= now) {
        engine->first = (engine->first + 1) % WAITING_MAX;
        engine->count--;
    }
    for (size_t i = 0; i < engine->count; i++) {
        sum += engine->tokens[(engine->first + i) % WAITING_MAX];
    }
    return sum;
}

/* Runs for a time with a number of tokens/ms for each engine in the mean. */
static void
run(fleet_t *fleet, double tokens_per_ms, int64_t from_ms, int64_t until_ms)
{
    for (int64_t now = from_ms; now < until_ms; now++) {
        for (size_t i = 0; i < ENGINES; i++) {
            engine_t *engine = &fleet->engines[i];
            if (rng_unit(&fleet->rng) <
                engine->share * tokens_per_ms / MEAN_TOKENS) {
                arrive(fleet, engine, (double)now);
            }
            if (now % READ_MS == 0) {
                prefill_load_set(&engine->load,
                                 outstanding(engine, (double)now), now + 1);
            }
        }
    }
    prefill_loads_compare(fleet->loads, ENGINES, &fleet->service);
}

static double
mean_ratio(const fleet_t *fleet, bool slow)
{
    double sum = 0;
    for (size_t i = 0; i < ENGINES; i++) {
        if ((i % 3 == 2) == slow) {
            sum += fleet->loads[i]->log_ratio;
        }
    }
    return exp(sum / (slow ? ENGINES / 3 : ENGINES - ENGINES / 3));
}

/* Returns the engines whose ratio is on the wrong side of the mean. */
static size_t
count_confused(const fleet_t *fleet)
{
    size_t count = 0;
    for (size_t i = 0; i < ENGINES; i++) {
        count += (i % 3 == 2) != (fleet->loads[i]->log_ratio > 0);
    }
    return count;
}

/* Guards against slow engines that are taken for fast ones since they are
 * never idle: at a load at which these are busy for 85 % of their time, more
 * than half of the difference is known within ten seconds. */
START_TEST(slow_engines_are_told_from_fast_ones_under_load)
{
    double log_factor = 0;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        fleet_t *fleet = fleet_new(seed);
        run(fleet, 24, 0, 10000);
        log_factor +=
            log(mean_ratio(fleet, true) / mean_ratio(fleet, false)) / 20;
        ck_assert_uint_le(count_confused(fleet), ENGINES / 10);
        free(fleet);
    }
    ck_assert_double_gt(log_factor, log(1.7 / 0.7) / 2);
}
END_TEST

/* Guards against an estimate that holds at one load only. */
START_TEST(slow_engines_are_told_from_fast_ones_with_few_prompts)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        fleet_t *fleet = fleet_new(seed);
        run(fleet, 8, 0, 15000);
        ck_assert_double_gt(mean_ratio(fleet, true) / mean_ratio(fleet, false),
                            1.4);
        ck_assert_uint_le(count_confused(fleet), ENGINES / 5);
        free(fleet);
    }
}
END_TEST

/* Guards against an engine that is taken to be slow since more is sent to it:
 * what counts is its speed, not its queue. */
START_TEST(a_busy_engine_is_not_a_slow_one)
{
    double busy = 0;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        fleet_t *fleet = fleet_new(seed);
        fleet->engines[0].share = 2.5;
        run(fleet, 22, 0, 15000);
        busy += fleet->loads[0]->log_ratio / 20;
        free(fleet);
    }
    ck_assert_double_lt(exp(busy), 1);
}
END_TEST

/* Guards against an engine that is avoided for ever after it was slow, and one
 * that has just started and counts as slow or fast before anything is known.
 */
START_TEST(an_engine_without_prompts_counts_as_usual)
{
    fleet_t *fleet = fleet_new(1);
    fleet->engines[2].share = 0;
    run(fleet, 24, 0, 10000);
    ck_assert_double_eq_tol(exp(fleet->loads[2]->log_ratio), 1, 0.15);
    fleet->engines[5].share = 0;
    run(fleet, 24, 10000, 70000);
    ck_assert_double_eq_tol(exp(fleet->loads[5]->log_ratio), 1, 0.15);
    free(fleet);
}
END_TEST

/* Guards against an engine that counts as slow for as long as it did not
 * answer. */
START_TEST(silence_says_nothing_of_the_speed)
{
    prefill_load_t loads[2] = {{0}};
    prefill_load_t *both[] = {&loads[0], &loads[1]};
    const prefill_service_t service = {MEAN_TOKENS, 0};
    for (int64_t now = 1; now < 10000; now += 100) {
        for (size_t i = 0; i < 2; i++) {
            prefill_load_add_sent(both[i], 1000);
            prefill_load_set(both[i], 500, now);
        }
    }
    prefill_load_set(both[0], 90000, 10000);
    prefill_load_set(both[1], 0, 10000);
    prefill_load_skip(both[0], 12000);
    prefill_load_set(both[0], 0, 12000);
    prefill_load_set(both[1], 0, 10001);
    prefill_loads_compare(both, 2, &service);
    ck_assert_double_eq_tol(loads[0].log_ratio, loads[1].log_ratio, 0.01);
}
END_TEST

/* Guards against decisions by what is not known. */
START_TEST(nothing_known_makes_no_difference)
{
    prefill_load_t loads[2] = {{0}};
    prefill_load_t *both[] = {&loads[0], &loads[1]};
    const prefill_service_t unknown = {0};
    const prefill_service_t service = {MEAN_TOKENS, FIRST_TOKEN_MS};
    prefill_loads_compare(both, 0, &unknown);
    prefill_loads_compare(both, 2, &unknown);
    ck_assert_double_eq(loads[0].log_ratio, 0);
    prefill_load_set(both[0], 0, 1000);
    prefill_load_set(both[0], 0, 1000);
    prefill_loads_compare(both, 2, &service);
    ck_assert_double_eq(loads[0].log_ratio, 0);
    ck_assert_double_eq(prefill_load_observations(both[0], &unknown), 0);
}
END_TEST

/* Guards against an engine that seems fast since it rejects prompts. */
START_TEST(rejected_prompts_do_not_make_an_engine_fast)
{
    double rejecting = 0;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        fleet_t *fleet = fleet_new(seed);
        run(fleet, 22, 0, 10000);
        for (int i = 0; i < 100; i++) {
            prefill_load_add_sent(&fleet->engines[2].load, MEAN_TOKENS);
            prefill_load_cancel(&fleet->engines[2].load, MEAN_TOKENS, 0);
        }
        prefill_loads_compare(fleet->loads, ENGINES, &fleet->service);
        rejecting += fleet->loads[2]->log_ratio / 20;
        free(fleet);
    }
    ck_assert_double_gt(exp(rejecting), 1.2);
}
END_TEST

/* Guards against an engine that seems fast or slow since many hosts send to it
 * just after its start. */
START_TEST(a_burst_after_a_start_makes_no_difference)
{
    fleet_t *fleet = fleet_new(1);
    run(fleet, 22, 0, 10000);
    prefill_load_t *load = fleet->loads[3];
    *load = (prefill_load_t){0};
    prefill_load_set(load, 0, 10000);
    prefill_load_add_sent(load, 20 * MEAN_TOKENS);
    prefill_load_set(load, 20 * MEAN_TOKENS, 10000);
    prefill_loads_compare(fleet->loads, ENGINES, &fleet->service);
    ck_assert_double_eq_tol(exp(load->log_ratio), 1, 0.15);
    prefill_load_set(load, 18 * MEAN_TOKENS, 10400);
    prefill_loads_compare(fleet->loads, ENGINES, &fleet->service);
    ck_assert_double_eq_tol(exp(load->log_ratio), 1, 0.15);
    free(fleet);
}
END_TEST

/* Guards against an engine that counts as slow since its prompts are always
 * done when hosts announce. */
START_TEST(an_engine_never_seen_at_work_is_fast)
{
    fleet_t *fleet = fleet_new(1);
    run(fleet, 22, 0, 10000);
    prefill_load_t *load = fleet->loads[2];
    *load = (prefill_load_t){0};
    for (int64_t now = 1; now < 10000; now += 100) {
        prefill_load_add_sent(load, MEAN_TOKENS);
        prefill_load_set(load, 0, now);
    }
    prefill_loads_compare(fleet->loads, ENGINES, &fleet->service);
    ck_assert_double_lt(exp(load->log_ratio), 0.7);
    free(fleet);
}
END_TEST

/* Guards against sums that grow without bound over a long time without news,
 * or by a clock reading that comes late. */
START_TEST(time_counts_once)
{
    prefill_load_t load = {0};
    prefill_load_set(&load, 100, 1000);
    prefill_load_set(&load, 100, 1010);
    prefill_load_set(&load, 100, 1000);
    prefill_load_set(&load, 100, 1010);
    ck_assert_double_eq_tol(load.span_ms, 10, 0.1);
    prefill_load_set(&load, 0, 3600000);
    ck_assert_double_le(load.span_ms, 15000);
    ck_assert_double_le(load.token_ms, 100 * 15000);
}
END_TEST

TEST_MAIN("prefill-load", rejected_prompts_do_not_make_an_engine_fast,
          a_burst_after_a_start_makes_no_difference,
          an_engine_never_seen_at_work_is_fast, time_counts_once,
          slow_engines_are_told_from_fast_ones_under_load,
          slow_engines_are_told_from_fast_ones_with_few_prompts,
          a_busy_engine_is_not_a_slow_one,
          an_engine_without_prompts_counts_as_usual,
          silence_says_nothing_of_the_speed, nothing_known_makes_no_difference)
