#include "../relay/admit.h"
#include "test.h"

#include <stdlib.h>

/* Plays a load on one engine that reads prompts one after the other, in
 * virtual time, with callers that come back once when they are told to. */

#define READ_PER_MS 55.0
#define TARGET_MS 1200
#define DEADLINE_MS 3000
#define CALLERS_MAX 20000
#define RUN_MS 30000

typedef struct {
    double at_ms; /* when it comes, or comes back */
    double first_ms;
    double tokens;
    bool again;
    bool done;
} caller_row_t;

typedef struct {
    unsigned in_time;
    unsigned late;
    unsigned refused;
    unsigned in_vain; /* read, though nobody waited any more */
} result_t;

static int
by_time(const void *a, const void *b)
{
    const caller_row_t *x = a;
    const caller_row_t *y = b;
    return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static caller_row_t *
next_caller(caller_row_t *rows, size_t count)
{
    caller_row_t *next = NULL;
    for (size_t i = 0; i < count; i++) {
        if (!rows[i].done && (next == NULL || rows[i].at_ms < next->at_ms)) {
            next = &rows[i];
        }
    }
    return next;
}

/* One caller is served, refused, or told to come back. */
static void
serve(caller_row_t *row, double *free_at, bool admission, result_t *result)
{
    double wait = *free_at > row->at_ms ? *free_at - row->at_ms : 0;
    double left = row->first_ms + DEADLINE_MS - row->at_ms;
    admit_input_t ask = {.wait_ms = wait,
                         .read_ms = row->tokens / READ_PER_MS,
                         .target_ms = TARGET_MS,
                         .remaining_ms = (int64_t)left,
                         .engine = true};
    int64_t after = admission ? admit_retry_after_ms(&ask) : 0;
    if (after > 0) {
        row->done = row->again;
        result->refused += row->again ? 1 : 0;
        row->again = true;
        row->at_ms += (double)after;
        return;
    }
    row->done = true;
    *free_at = row->at_ms + wait + ask.read_ms;
    double total = *free_at - row->first_ms;
    if (total <= TARGET_MS) {
        result->in_time++;
    }
    else if (total <= DEADLINE_MS) {
        result->late++;
    }
    else {
        result->in_vain++;
    }
}

static result_t
play(double load, bool admission)
{
    static caller_row_t rows[CALLERS_MAX];
    rng_t rng = {7};
    size_t count = 0;
    double at = 0;
    double free_at = 0;
    result_t result = {0};
    while (at < RUN_MS && count < CALLERS_MAX) {
        double tokens = 400 + 3200 * rng_unit(&rng);
        rows[count++] = (caller_row_t){at, at, tokens, false, false};
        at += 2000.0 / READ_PER_MS / load * 2 * rng_unit(&rng);
    }
    qsort(rows, count, sizeof(rows[0]), by_time);
    caller_row_t *row;
    while ((row = next_caller(rows, count)) != NULL) {
        serve(row, &free_at, admission, &result);
    }
    return result;
}

/* Requests come half as fast again as they can be read.  Without admission
 * the queue grows until each answer comes when nobody waits for it; with it
 * most of those that can be read at all are in time. */
START_TEST(overload_does_not_make_everybody_late)
{
    result_t before = play(1.5, false);
    result_t after = play(1.5, true);
    unsigned callers =
        before.in_time + before.late + before.refused + before.in_vain;
    ck_assert_uint_gt(before.in_vain, callers * 6 / 10);
    ck_assert_uint_gt(after.in_time, callers * 6 / 10);
    ck_assert_uint_gt(after.in_time, before.in_time * 4);
    ck_assert_uint_eq(after.in_vain, 0);
}
END_TEST

/* With room for all, nobody is refused. */
START_TEST(nobody_is_refused_where_there_is_room)
{
    result_t result = play(0.6, true);
    ck_assert_uint_eq(result.refused, 0);
    ck_assert_uint_eq(result.late, 0);
}
END_TEST

/* The largest prompts take longer than the target to read.  Refusing them for
 * that would mean never to serve them. */
START_TEST(the_largest_prompts_are_served)
{
    admit_input_t ask = {.wait_ms = 100,
                         .read_ms = 1300,
                         .target_ms = 1000,
                         .remaining_ms = 15000,
                         .engine = true};
    ck_assert_int_eq(admit_retry_after_ms(&ask), 0);
    ask.remaining_ms = 1200;
    ck_assert_int_gt(admit_retry_after_ms(&ask), 0);
}
END_TEST

/* Where answers lately were late, fewer are let in. */
START_TEST(a_margin_is_kept_for_late_answers)
{
    admit_input_t ask = {.wait_ms = 700,
                         .read_ms = 50,
                         .target_ms = 1000,
                         .remaining_ms = 15000,
                         .engine = true};
    ck_assert_int_eq(admit_retry_after_ms(&ask), 0);
    ask.margin_ms = 400;
    ck_assert_int_gt(admit_retry_after_ms(&ask), 0);
}
END_TEST

/* Callers come back within a third of the time that they have. */
START_TEST(the_time_to_come_back_is_one_that_callers_keep)
{
    admit_input_t ask = {.wait_ms = 9000,
                         .read_ms = 30,
                         .target_ms = 1200,
                         .remaining_ms = 3000,
                         .engine = true};
    ck_assert_int_le(admit_retry_after_ms(&ask), 1000);
    ck_assert_int_ge(admit_retry_after_ms(&ask), 100);
}
END_TEST

TEST_MAIN("admit", overload_does_not_make_everybody_late,
          nobody_is_refused_where_there_is_room,
          the_largest_prompts_are_served, a_margin_is_kept_for_late_answers,
          the_time_to_come_back_is_one_that_callers_keep)
