#include "../relay/admit.h"
#include "test.h"

#include <stdlib.h>

/* Simulates one engine that prefills prompts one after the other, in virtual
 * time.  A rejected caller retries once, after its retry-after. */

#define PREFILL_TOKENS_PER_MS 55.0
#define TARGET_MS 1200
#define DEADLINE_MS 3000
#define CALLERS_MAX 20000
#define RUN_MS 30000

typedef struct {
    double at_ms;    /* arrival of the next attempt */
    double first_ms; /* arrival of the first attempt */
    double tokens;
    bool retried;
    bool done;
} sim_caller_t;

typedef struct {
    unsigned in_time;
    unsigned late;
    unsigned rejected;
    unsigned timed_out; /* prefilled, but answered after the deadline */
} result_t;

static int
by_time(const void *a, const void *b)
{
    const sim_caller_t *x = a;
    const sim_caller_t *y = b;
    return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static sim_caller_t *
next_caller(sim_caller_t *rows, size_t count)
{
    sim_caller_t *next = NULL;
    for (size_t i = 0; i < count; i++) {
        if (!rows[i].done && (next == NULL || rows[i].at_ms < next->at_ms)) {
            next = &rows[i];
        }
    }
    return next;
}

/* Serves or rejects an attempt of a caller. */
static void
serve(sim_caller_t *caller, double *free_at, bool admission, result_t *result)
{
    double wait = *free_at > caller->at_ms ? *free_at - caller->at_ms : 0;
    double remaining_ms = caller->first_ms + DEADLINE_MS - caller->at_ms;
    admit_input_t input = {
        .wait_ms = wait,
        .prefill_ms = caller->tokens / PREFILL_TOKENS_PER_MS,
        .target_ms = TARGET_MS,
        .remaining_ms = (int64_t)remaining_ms,
        .engine = true};
    int64_t retry_after_ms = admission ? admit_retry_after_ms(&input) : 0;
    if (retry_after_ms > 0) {
        caller->done = caller->retried;
        result->rejected += caller->retried ? 1 : 0;
        caller->retried = true;
        caller->at_ms += (double)retry_after_ms;
        return;
    }
    caller->done = true;
    *free_at = caller->at_ms + wait + input.prefill_ms;
    double total = *free_at - caller->first_ms;
    if (total <= TARGET_MS) {
        result->in_time++;
    }
    else if (total <= DEADLINE_MS) {
        result->late++;
    }
    else {
        result->timed_out++;
    }
}

static result_t
simulate(double load, bool admission)
{
    static sim_caller_t rows[CALLERS_MAX];
    rng_t rng = {7};
    size_t count = 0;
    double at = 0;
    double free_at = 0;
    result_t result = {0};
    while (at < RUN_MS && count < CALLERS_MAX) {
        double tokens = 400 + 3200 * rng_unit(&rng);
        rows[count++] = (sim_caller_t){at, at, tokens, false, false};
        at += 2000.0 / PREFILL_TOKENS_PER_MS / load * 2 * rng_unit(&rng);
    }
    qsort(rows, count, sizeof(rows[0]), by_time);
    sim_caller_t *caller;
    while ((caller = next_caller(rows, count)) != NULL) {
        serve(caller, &free_at, admission, &result);
    }
    return result;
}

/* Requests arrive 1.5 times as fast as the engine prefills them.  Without
 * admission control the queue grows until most answers miss their deadline;
 * with it most of the requests that the engine can prefill are in time. */
START_TEST(overload_does_not_make_all_answers_late)
{
    result_t without_admission = simulate(1.5, false);
    result_t with_admission = simulate(1.5, true);
    unsigned callers = without_admission.in_time + without_admission.late +
                       without_admission.rejected +
                       without_admission.timed_out;
    ck_assert_uint_gt(without_admission.timed_out, callers * 6 / 10);
    ck_assert_uint_gt(with_admission.in_time, callers * 6 / 10);
    ck_assert_uint_gt(with_admission.in_time, without_admission.in_time * 4);
    ck_assert_uint_eq(with_admission.timed_out, 0);
}
END_TEST

START_TEST(nothing_is_rejected_below_capacity)
{
    result_t result = simulate(0.6, true);
    ck_assert_uint_eq(result.rejected, 0);
    ck_assert_uint_eq(result.late, 0);
}
END_TEST

/* The largest prompts take longer than the target to prefill.  If they were
 * rejected for that, they would never be served. */
START_TEST(prompts_longer_than_the_target_are_served)
{
    admit_input_t input = {.wait_ms = 100,
                           .prefill_ms = 1300,
                           .target_ms = 1000,
                           .remaining_ms = 15000,
                           .engine = true};
    ck_assert_int_eq(admit_retry_after_ms(&input), 0);
    input.remaining_ms = 1200;
    ck_assert_int_gt(admit_retry_after_ms(&input), 0);
}
END_TEST

/* Fewer requests are admitted when recent answers were late. */
START_TEST(margin_of_late_answers_reduces_admission)
{
    admit_input_t input = {.wait_ms = 700,
                           .prefill_ms = 50,
                           .target_ms = 1000,
                           .remaining_ms = 15000,
                           .engine = true};
    ck_assert_int_eq(admit_retry_after_ms(&input), 0);
    input.margin_ms = 400;
    ck_assert_int_gt(admit_retry_after_ms(&input), 0);
}
END_TEST

/* The retry-after is at most a third of the remaining time. */
START_TEST(retry_after_is_bounded)
{
    admit_input_t input = {.wait_ms = 9000,
                           .prefill_ms = 30,
                           .target_ms = 1200,
                           .remaining_ms = 3000,
                           .engine = true};
    ck_assert_int_le(admit_retry_after_ms(&input), 1000);
    ck_assert_int_ge(admit_retry_after_ms(&input), 100);
}
END_TEST

TEST_MAIN("admit", overload_does_not_make_all_answers_late,
          nothing_is_rejected_below_capacity,
          prompts_longer_than_the_target_are_served,
          margin_of_late_answers_reduces_admission, retry_after_is_bounded)
