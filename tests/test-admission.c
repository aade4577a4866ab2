#include "../balance/admission.h"
#include "../balance/caller-wait.h"
#include "../balance/reserve.h"
#include "../balance/wait-forecast.h"
#include "test.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Admission by priority at engines whose slots run out, in virtual time: two
 * classes share the engines, the long one in a burst.  The occupancy that is
 * known of an engine is some milliseconds old, and an engine serves its queue
 * by urgency. */

#define ENGINES 30
#define SLOTS 16
#define HOSTS 35
#define RUN_MS 20000
#define BURST_START_MS 4000
#define BURST_END_MS 12000
#define NEWS_AGE_MS 60
#define QUEUE_MAX 64
#define SAMPLED 4
#define CALLERS_WAITING_MAX 4096
#define SEEDS 5

typedef struct {
    int target_ms;
    int hold_ms;     /* mean time in a slot */
    double per_ms;   /* arrivals outside of the burst */
    double in_burst; /* factor */
} kind_t;

static const kind_t kinds[2] = {
    {250, 200, 0.725, 1.0},  /* class 0 */
    {800, 2600, 0.075, 2.4}, /* class 2 */
};

typedef struct {
    double came;
    double in_time;
    double rejected;
} sim_result_t;

typedef struct {
    int64_t arrived_ms;
    double expected_ms; /* its wait */
    unsigned kind;
} queued_t;

typedef struct {
    int running;
    unsigned in_flight[2];
    int known[NEWS_AGE_MS]; /* requests there, by time */
    queued_t queue[2][QUEUE_MAX];
    size_t queued[2];
    int ending[RUN_MS]; /* requests of each kind that end, 16 bits each */
} engine_t;

typedef struct {
    engine_t engines[ENGINES];
    reserve_t reserve;
    wait_forecast_t forecast;             /* of the urgent kind */
    unsigned in_flight[PRIORITY_CLASSES]; /* at all engines */
    bool by_priority;
    double urgent_load;
    int64_t waiting[CALLERS_WAITING_MAX]; /* arrivals of the long kind */
    size_t waiting_count;
    sim_result_t results[2];
    rng_t rng;
} sim_t;

static int
count_in_flight(const engine_t *engine)
{
    return (int)(engine->in_flight[0] + engine->in_flight[1]);
}

static void
start_request(sim_t *sim, engine_t *engine, unsigned kind, int64_t arrived,
              int64_t now)
{
    double hold = -log(1 - rng_unit(&sim->rng)) * kinds[kind].hold_ms;
    int64_t end = now + 1 + (int64_t)hold;
    engine->running++;
    if (end < RUN_MS) {
        engine->ending[end] += kind == 0 ? 1 : 1 << 16;
    }
    if (arrived >= BURST_START_MS && arrived < BURST_END_MS &&
        now - arrived <= kinds[kind].target_ms) {
        sim->results[kind].in_time++;
    }
}

static void
engine_step(sim_t *sim, engine_t *engine, int64_t now)
{
    int ended[2] = {engine->ending[now] & 0xffff, engine->ending[now] >> 16};
    for (unsigned kind = 0; kind < 2; kind++) {
        engine->running -= ended[kind];
        engine->in_flight[kind] -= (unsigned)ended[kind];
        sim->in_flight[kind == 0 ? 0 : 2] -= (unsigned)ended[kind];
    }
    for (unsigned kind = 0; kind < 2; kind++) {
        while (engine->running < SLOTS && engine->queued[kind] > 0) {
            queued_t first = engine->queue[kind][0];
            memmove(engine->queue[kind], engine->queue[kind] + 1,
                    --engine->queued[kind] * sizeof(first));
            if (first.kind == 0) {
                wait_forecast_observe(&sim->forecast, first.expected_ms,
                                      (double)(now - first.arrived_ms));
            }
            start_request(sim, engine, first.kind, first.arrived_ms, now);
        }
    }
    engine->known[now % NEWS_AGE_MS] = count_in_flight(engine);
}

/* Returns the least occupied of a few random engines, by delayed reports. */
static engine_t *
choose_engine(sim_t *sim, int64_t now, int *known)
{
    engine_t *best = NULL;
    for (int i = 0; i < SAMPLED; i++) {
        engine_t *engine = &sim->engines[rng_below(&sim->rng, ENGINES)];
        int in_flight = engine->known[(now + 1) % NEWS_AGE_MS];
        if (best == NULL || in_flight < *known) {
            best = engine;
            *known = in_flight;
        }
    }
    return best;
}

/* Returns the mean time in a slot of the requests that end. */
static double
mean_hold_ms(const sim_t *sim)
{
    double urgent = kinds[0].per_ms * sim->urgent_load;
    double other = kinds[1].per_ms;
    return (urgent * kinds[0].hold_ms + other * kinds[1].hold_ms) /
           (urgent + other);
}

/* Tries to send a request; returns the verdict. */
static verdict_t
try_send(sim_t *sim, unsigned kind, int64_t arrived, int64_t now)
{
    int known = 0;
    engine_t *engine = choose_engine(sim, now, &known);
    int over = known - SLOTS + 1;
    double expected_ms = over > 0 ? over * mean_hold_ms(sim) / SLOTS : 0;
    const admission_input_t input = {
        .slots = SLOTS,
        .in_flight = known,
        .wait_ms = wait_forecast_correct(&sim->forecast, expected_ms),
        .reserve = sim->by_priority
                       ? reserve_slots(&sim->reserve, kind == 0 ? 0 : 2, HOSTS,
                                       ENGINES, SLOTS)
                       : 0,
        .target_ms = kinds[kind].target_ms,
        .remaining_ms = 12000,
        .wait_max_ms = admission_wait_max_ms(kinds[kind].target_ms, 12000),
        .waited_here_ms = now - arrived,
        .class_share = reserve_class_share(sim->in_flight, kind == 0 ? 0 : 2),
        .most_urgent = kind == 0};
    admission_t admission = admission_decide(&input);
    unsigned queue = admission.raised ? 0 : kind;
    if (admission.verdict == ADMISSION_SEND &&
        engine->queued[queue] < QUEUE_MAX) {
        engine->in_flight[kind]++;
        sim->in_flight[kind == 0 ? 0 : 2]++;
        engine->queue[queue][engine->queued[queue]++] =
            (queued_t){arrived, expected_ms, kind};
    }
    return admission.verdict;
}

static void
place_waiting(sim_t *sim, int64_t now)
{
    size_t kept = 0;
    for (size_t i = 0; i < sim->waiting_count; i++) {
        verdict_t verdict = try_send(sim, 1, sim->waiting[i], now);
        if (verdict == ADMISSION_WAIT) {
            sim->waiting[kept++] = sim->waiting[i];
        }
        sim->results[1].rejected += verdict == ADMISSION_REJECT ? 1 : 0;
    }
    sim->waiting_count = kept;
}

static void
add_arrivals(sim_t *sim, int64_t now)
{
    bool burst = now >= BURST_START_MS && now < BURST_END_MS;
    for (unsigned kind = 0; kind < 2; kind++) {
        double due = kinds[kind].per_ms * (burst ? kinds[kind].in_burst : 1) *
                     (kind == 0 ? sim->urgent_load : 1);
        double at = -log(1 - rng_unit(&sim->rng));
        while (at < due) {
            at += -log(1 - rng_unit(&sim->rng));
            sim->results[kind].came += burst ? 1 : 0;
            if (try_send(sim, kind, now, now) == ADMISSION_WAIT) {
                ck_assert_uint_lt(sim->waiting_count, CALLERS_WAITING_MAX);
                sim->waiting[sim->waiting_count++] = now;
            }
        }
    }
}

/* Records what one of the hosts has in flight at all engines. */
static void
observe_reserve(sim_t *sim, int64_t now)
{
    unsigned in_flight[PRIORITY_CLASSES];
    for (size_t i = 0; i < PRIORITY_CLASSES; i++) {
        in_flight[i] = (sim->in_flight[i] + HOSTS / 2) / HOSTS;
    }
    reserve_observe(&sim->reserve, in_flight, now);
}

static void
run(bool by_priority, double urgent_load, sim_result_t results[2])
{
    memset(results, 0, 2 * sizeof(*results));
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        sim_t *sim = mem_zalloc(sizeof(*sim));
        sim->rng.state = seed;
        sim->by_priority = by_priority;
        sim->urgent_load = urgent_load;
        for (int64_t now = 0; now < RUN_MS; now++) {
            for (size_t i = 0; i < ENGINES; i++) {
                engine_step(sim, &sim->engines[i], now);
            }
            place_waiting(sim, now);
            add_arrivals(sim, now);
            if (now % 100 == 0) {
                observe_reserve(sim, now);
            }
        }
        for (unsigned kind = 0; kind < 2; kind++) {
            results[kind].came += sim->results[kind].came;
            results[kind].in_time += sim->results[kind].in_time;
            results[kind].rejected += sim->results[kind].rejected;
        }
        free(sim);
    }
}

static double
share_in_time(const sim_result_t *result)
{
    return result->in_time / result->came;
}

/* Guards against a burst of long answers that leaves no slot for short urgent
 * requests. */
START_TEST(urgent_requests_find_slots_in_a_burst_of_long_ones)
{
    sim_result_t with[2];
    sim_result_t without[2];
    run(true, 1, with);
    run(false, 1, without);
    printf(
        "burst of long answers: urgent in time %.3f (%.3f without a "
        "reserve), long in time %.3f (%.3f)\n",
        share_in_time(&with[0]), share_in_time(&without[0]),
        share_in_time(&with[1]), share_in_time(&without[1]));
    ck_assert_double_ge(share_in_time(&with[0]), 0.95);
    ck_assert_double_ge(share_in_time(&with[0]), share_in_time(&with[1]));
    /* The slots besides the urgent load and the reserve serve this share. */
    double urgent = kinds[0].per_ms * kinds[0].hold_ms;
    double other = kinds[1].per_ms * kinds[1].in_burst * kinds[1].hold_ms;
    double reserve = 2 * sqrt(urgent / ENGINES) * ENGINES;
    ck_assert_double_ge(share_in_time(&with[1]),
                        (SLOTS * ENGINES - urgent - reserve) / other);
}
END_TEST

/* Guards against a lasting flood of urgent requests that starves the others.
 */
START_TEST(long_requests_keep_a_share_in_a_flood_of_urgent_ones)
{
    sim_result_t results[2];
    run(true, 3.5, results);
    printf(
        "flood of urgent requests: urgent in time %.3f, long in time "
        "%.3f\n",
        share_in_time(&results[0]), share_in_time(&results[1]));
    /* No class is served less than a quarter as often as all. */
    ck_assert_double_ge(share_in_time(&results[0]), 0.25);
    /* A quarter of all slots serves this share of the long requests; half of
     * it is asked, since those that are sent wait behind urgent ones. */
    double load = kinds[1].per_ms * kinds[1].in_burst * kinds[1].hold_ms;
    ck_assert_double_ge(share_in_time(&results[1]),
                        0.25 * SLOTS * ENGINES / load / 2);
}
END_TEST

static admission_input_t
less_urgent(int in_flight)
{
    return (admission_input_t){.slots = SLOTS,
                               .in_flight = in_flight,
                               .reserve = 4,
                               .class_share = 0.5,
                               .wait_max_ms = 400,
                               .target_ms = 800,
                               .remaining_ms = 12000};
}

/* Guards against less urgent requests in the last free slots. */
START_TEST(less_urgent_requests_leave_the_reserve_free)
{
    admission_input_t input = less_urgent(11);
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_SEND);
    input = less_urgent(12);
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_WAIT);
    input.waited_here_ms = 399;
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_WAIT);
    input.waited_here_ms = 400;
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_REJECT);
    input = less_urgent(11);
    input.over_share = true;
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_WAIT);
    input = less_urgent(16);
    input.most_urgent = true;
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_SEND);
}
END_TEST

/* Guards against requests that wait although they can't be answered in time.
 */
START_TEST(what_cannot_be_answered_is_rejected_at_once)
{
    admission_input_t input = less_urgent(0);
    input.wait_ms = 700;
    input.prefill_ms = 200;
    input.remaining_ms = 1000;
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_REJECT);
    input.most_urgent = true;
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_REJECT);
}
END_TEST

/* Guards against a workspace in excess that makes others late. */
START_TEST(a_workspace_over_its_share_is_rejected_first)
{
    admission_input_t input = {.slots = SLOTS,
                               .in_flight = SLOTS,
                               .wait_ms = 150,
                               .target_ms = 250,
                               .remaining_ms = 2500,
                               .most_urgent = true};
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_SEND);
    input.over_share = true;
    ck_assert_int_eq(admission_decide(&input).verdict, ADMISSION_REJECT);
}
END_TEST

/* Guards against a wait that takes more than a part of what a caller has left.
 */
START_TEST(the_wait_is_a_part_of_target_and_remaining_time)
{
    ck_assert_int_eq(admission_wait_max_ms(800, 12000), 400);
    ck_assert_int_eq(admission_wait_max_ms(800, 800), 100);
    ck_assert_int_eq(admission_wait_max_ms(800, 0), 0);
}
END_TEST

/* Guards against a host that keeps nothing free until it has observed
 * requests. */
START_TEST(a_host_that_has_just_started_keeps_some_slots_free)
{
    reserve_t reserve = {0};
    unsigned none[PRIORITY_CLASSES] = {0};
    ck_assert_double_eq(reserve_slots(&reserve, 2, 1, 40, 16), 2);
    ck_assert_double_eq(reserve_slots(&reserve, 0, 1, 40, 16), 0);
    reserve_observe(&reserve, none, 100);
    ck_assert_double_eq(reserve_slots(&reserve, 1, 35, 40, 16), 2);
}
END_TEST

/* Guards against a reserve that does not follow demand. */
START_TEST(the_reserve_follows_the_more_urgent_classes)
{
    reserve_t reserve = {0};
    unsigned in_flight[PRIORITY_CLASSES] = {4, 3, 9, 0};
    for (int64_t now = 0; now < 20000; now += 100) {
        reserve_observe(&reserve, in_flight, now + 1);
    }
    ck_assert_double_eq_tol(reserve_slots(&reserve, 1, 40, 40, 16), 4, 0.01);
    ck_assert_double_eq_tol(reserve_slots(&reserve, 2, 40, 40, 16),
                            2 * sqrt(7), 0.01);
    in_flight[0] = 16;
    for (int64_t now = 20000; now < 24000; now += 100) {
        reserve_observe(&reserve, in_flight, now + 1);
    }
    ck_assert_double_ge(reserve_slots(&reserve, 1, 40, 40, 16), 7);
}
END_TEST

/* Guards against waits that are believed to be longer or shorter than they
 * are. */
START_TEST(the_wait_forecast_follows_what_is_observed)
{
    wait_forecast_t forecast = {0};
    ck_assert_double_eq(wait_forecast_correct(&forecast, 100), 100);
    for (int i = 0; i < 200; i++) {
        wait_forecast_observe(&forecast, 200, i % 2 == 0 ? 60 : 120);
        wait_forecast_observe(&forecast, 10, 5000);
    }
    ck_assert_double_eq_tol(wait_forecast_correct(&forecast, 200), 85, 5);
    for (int i = 0; i < 200; i++) {
        wait_forecast_observe(&forecast, 200, 10000);
    }
    ck_assert_double_eq_tol(wait_forecast_correct(&forecast, 200), 800, 10);
    for (int i = 0; i < 200; i++) {
        wait_forecast_observe(&forecast, 200, -5);
    }
    ck_assert_double_eq_tol(wait_forecast_correct(&forecast, 200), 50, 1);
}
END_TEST

/* Guards against callers that return and are taken for new ones. */
START_TEST(the_wait_of_a_returning_caller_follows_from_its_deadline)
{
    caller_wait_t waits = {0};
    for (int i = 0; i < 10; i++) {
        ck_assert_int_eq(caller_wait_observe(&waits, 7, 2500), 0);
        ck_assert_int_eq(caller_wait_observe(&waits, 8, 12000 - i % 3), 0);
    }
    ck_assert_int_eq(caller_wait_observe(&waits, 7, 1900), 600);
    ck_assert_int_eq(caller_wait_observe(&waits, 8, 9000), 3000);
    ck_assert_int_eq(caller_wait_observe(&waits, 7, 0), 0);
    ck_assert_int_eq(caller_wait_observe(&waits, 7, 9000), 0);
}
END_TEST

/* Guards against a deadline that callers no longer state. */
START_TEST(a_new_usual_deadline_is_learned)
{
    caller_wait_t waits = {0};
    for (int i = 0; i < 100; i++) {
        (void)caller_wait_observe(&waits, 7, 12000);
    }
    for (int i = 0; i < 30; i++) {
        (void)caller_wait_observe(&waits, 7, 8000);
    }
    ck_assert_int_eq(caller_wait_observe(&waits, 7, 8000), 0);
    ck_assert_int_eq(caller_wait_observe(&waits, 7, 7000), 1000);
}
END_TEST

/* Guards against a table that grows with the routes. */
START_TEST(the_routes_used_last_are_kept)
{
    caller_wait_t waits = {0};
    for (uint64_t route = 1; route <= 3 * CALLER_WAIT_ROUTES_MAX; route++) {
        (void)caller_wait_observe(&waits, route, 5000);
        (void)caller_wait_observe(&waits, 1, 2500);
    }
    ck_assert_int_eq(caller_wait_observe(&waits, 1, 2000), 500);
}
END_TEST

TEST_MAIN("admission", urgent_requests_find_slots_in_a_burst_of_long_ones,
          long_requests_keep_a_share_in_a_flood_of_urgent_ones,
          less_urgent_requests_leave_the_reserve_free,
          a_workspace_over_its_share_is_rejected_first,
          what_cannot_be_answered_is_rejected_at_once,
          the_wait_is_a_part_of_target_and_remaining_time,
          a_host_that_has_just_started_keeps_some_slots_free,
          the_reserve_follows_the_more_urgent_classes,
          the_wait_forecast_follows_what_is_observed,
          the_wait_of_a_returning_caller_follows_from_its_deadline,
          a_new_usual_deadline_is_learned, the_routes_used_last_are_kept)
