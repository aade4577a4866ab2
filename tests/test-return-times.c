#include "wait-fleet.h"

static return_times_t times;

/* Starts at time 0 and admits requests of a class evenly until a moment. */
static void
start_with_rate(unsigned priority_class, double per_s, int64_t until_ms)
{
    return_times_init(&times, (rng_t){7}, 0);
    for (double at = 0; per_s > 0 && at < (double)until_ms;
         at += 1000 / per_s) {
        return_times_note_admitted(&times, priority_class, (int64_t)at);
    }
}

/* Guards against return times that callers don't honour, or that bring them
 * back while the same requests still occupy the servers. */
START_TEST(return_times_are_within_bounds)
{
    rng_t rng = {1};
    start_with_rate(2, 20, 2000);
    for (int i = 0; i < 20000; i++) {
        int64_t remaining = (int64_t)rng_below(&rng, i % 2 ? 200 : 20000);
        int64_t after = return_time_next(&times, (unsigned)rng_below(&rng, 5),
                                         (int64_t)rng_below(&rng, 1000),
                                         remaining, 2000 + i / 4);
        ck_assert_int_le(after, remaining / 3);
        if (remaining >= 3) {
            ck_assert_double_ge((double)after,
                                fmin(150, (double)remaining / 10) - 1);
        }
    }
    ck_assert_int_eq(return_time_next(&times, 0, 0, -5, 9000), 0);
}
END_TEST

START_TEST(promises_come_at_the_rate_of_admission)
{
    start_with_rate(1, 20, 3000);
    for (int i = 0; i < 40; i++) {
        int64_t after = return_time_next(&times, 1, 100, 12000, 3000);
        ck_assert_double_ge((double)after, 150 + i * 50 * 0.9);
        ck_assert_double_le((double)after, 150 + (i + 1) * 50 * 1.1);
    }
    ck_assert_uint_eq(return_times_outstanding(&times, 1, 3000), 40);
}
END_TEST

START_TEST(the_rate_follows_within_a_second)
{
    start_with_rate(1, 20, 4000);
    ck_assert_double_eq_tol(return_times_rate(&times, 1, 4000), 20, 2);
    for (int64_t at = 4000; at <= 5000; at += 200) {
        return_times_note_admitted(&times, 1, at);
    }
    ck_assert_double_le(return_times_rate(&times, 1, 5000), 10);
    ck_assert_double_le(return_times_rate(&times, 1, 9000), 0.2);
}
END_TEST

/* Callers that have waited long, or are more urgent, pass those that were
 * promised a time before. */
START_TEST(longer_waits_and_more_urgent_classes_return_earlier)
{
    start_with_rate(2, 20, 3000);
    return_times_note_admitted(&times, 0, 2999);
    for (int i = 0; i < 30; i++) {
        (void)return_time_next(&times, 2, 100, 12000, 3000);
    }
    int64_t fresh = return_time_next(&times, 2, 100, 12000, 3000);
    ck_assert_int_lt(return_time_next(&times, 2, 900, 12000, 3000), fresh / 2);
    ck_assert_int_lt(return_time_next(&times, 0, 100, 12000, 3000), fresh / 2);
}
END_TEST

START_TEST(a_return_settles_a_promise)
{
    start_with_rate(1, 20, 3000);
    for (int i = 0; i < 10; i++) {
        (void)return_time_next(&times, 1, 100, 12000, 3000);
    }
    for (int i = 0; i < 4; i++) {
        return_times_note_returned(&times, 1, 600, 3300);
    }
    ck_assert_uint_eq(return_times_outstanding(&times, 1, 3300), 6);
    ck_assert_uint_eq(return_times_outstanding(&times, 1, 6000), 0);
    return_times_note_returned(&times, 1, 600, 6000);
    ck_assert_uint_eq(times.classes[1].counters.returned, 5);
}
END_TEST

/* Guards against a host that admits nothing, or has promised more than it can
 * remember, and sends all callers back at one moment. */
START_TEST(without_capacity_callers_return_near_the_end)
{
    start_with_rate(1, 20, 1000);
    int64_t first = INT64_MAX;
    int64_t last = 0;
    for (int i = 0; i < 2000; i++) {
        int64_t after = return_time_next(&times, 1, 100, 3000, 1000);
        if (i > 1000) {
            first = after < first ? after : first;
            last = after > last ? after : last;
        }
    }
    ck_assert_int_ge(first, 750);
    ck_assert_int_ge(last - first, 180);
    ck_assert_uint_eq(return_times_outstanding(&times, 1, 1000),
                      RETURN_PROMISES_MAX);
}
END_TEST

/* Returns the largest number of returns in 100 ms relative to the mean, if
 * callers with 3 s left are rejected by several hosts in one moment. */
static double
herd(size_t hosts, size_t callers, double per_s)
{
    unsigned bins[10] = {0};
    unsigned largest = 0;
    for (size_t i = 0; i < hosts; i++) {
        start_with_rate(1, per_s, 2000);
        times.rng.state = i;
        if (per_s == 0) {
            return_times_init(&times, (rng_t){i}, 2000);
        }
        for (size_t j = 0; j < callers; j++) {
            int64_t after = return_time_next(&times, 1, 100, 3000, 2000);
            bins[after >= 1000 ? 9 : after / 100]++;
        }
    }
    for (size_t i = 0; i < 10; i++) {
        largest = bins[i] > largest ? bins[i] : largest;
    }
    return (double)largest / ((double)(hosts * callers) / 8.5);
}

/* Guards against callers that were rejected in one moment, as by the loss of
 * many servers, and return in one moment.  With more of them than there is
 * capacity for, the rest return over the last quarter of the time. */
START_TEST(callers_rejected_in_one_moment_return_spread_out)
{
    ck_assert_double_le(herd(35, 15, 20), 1.5);
    ck_assert_double_le(herd(35, 30, 20), 3);
    ck_assert_double_le(herd(35, 100, 20), 4);
    ck_assert_double_le(herd(350, 5, 0), 1.3);
}
END_TEST

START_TEST(an_early_return_gets_no_other_wait)
{
    start_with_rate(1, 20, 1000);
    for (int i = 0; i < 500; i++) {
        (void)return_time_next(&times, 1, 100, 2900, 1000);
    }
    ck_assert_int_eq(return_wait_ms(&times, 1, 100, 0, 3000), 100);
    ck_assert_int_eq(return_wait_ms(&times, 1, 100, 40, 2960), 60);
    ck_assert_int_eq(return_wait_ms(&times, 1, 100, 101, 2899), 0);
    ck_assert_int_eq(return_wait_ms(&times, 1, 100, 600, 2400), 0);
    ck_assert_int_eq(return_wait_ms(&times, 1, 100, 1000, 2000), 100);
}
END_TEST

/* The largest 100 ms of returns over hosts that are overloaded for 5 s is
 * bounded against the mean of those in which any returned. */
START_TEST(overload_makes_no_herd_of_returns)
{
    static const size_t fleets[] = {4, 35, 350};
    for (size_t i = 0; i < 3; i++) {
        fleet_t *fleet = fleet_new(fleets[i], 1);
        fleet->load = 1.5;
        fleet->heavy_load[0] = 5;
        fleet->heavy_load[1] = 5;
        fleet_run(fleet);
        for (size_t kind = 0; kind < FLEET_KINDS; kind++) {
            double largest = 0;
            double sum = 0;
            double used = 0;
            for (size_t bin = 0; bin < FLEET_BINS; bin++) {
                largest = fmax(largest, fleet->returns[kind][bin]);
                sum += fleet->returns[kind][bin];
                used += fleet->returns[kind][bin] > 0;
            }
            ck_assert_double_gt(sum, 100);
            ck_assert_double_le(largest, 3.5 * sum / used + 10);
        }
        free(fleet);
    }
}
END_TEST

/* A fifth of the callers come back at once, up to three times, the others once
 * after their retry-after.  The hasty ones must be served no more often and no
 * earlier; who is not served counts with its timeout. */
START_TEST(callers_that_return_at_once_gain_nothing)
{
    static const size_t hosts[] = {4, 35, 350};
    static const uint64_t seeds[] = {20, 3, 1};
    static const double loads[] = {2.5, 4};
    for (size_t i = 0; i < 6; i++) {
        fleet_result_t sums[FLEET_KINDS][2] = {0};
        for (uint64_t seed = 1; seed <= seeds[i / 2]; seed++) {
            fleet_t *fleet = fleet_new(hosts[i / 2], seed);
            fleet->load = loads[i % 2];
            fleet->hasty_share = 0.2;
            fleet_run(fleet);
            for (size_t j = 0; j < FLEET_KINDS * 2; j++) {
                fleet_result_t result = fleet_sum(fleet, j / 2, 0, j % 2 == 1);
                fleet_add(&sums[j / 2][j % 2], &result);
            }
            free(fleet);
        }
        for (size_t kind = 0; kind < FLEET_KINDS; kind++) {
            fleet_result_t patient = sums[kind][0];
            fleet_result_t hasty = sums[kind][1];
            ck_assert_double_gt(hasty.callers, 100);
            ck_assert_double_le(fleet_served_share(hasty),
                                fleet_served_share(patient) + 0.005);
            ck_assert_double_ge(hasty.delay_ms / hasty.callers,
                                patient.delay_ms / patient.callers - 2);
        }
    }
}
END_TEST

TEST_MAIN("return-times", return_times_are_within_bounds,
          promises_come_at_the_rate_of_admission,
          the_rate_follows_within_a_second,
          longer_waits_and_more_urgent_classes_return_earlier,
          a_return_settles_a_promise,
          without_capacity_callers_return_near_the_end,
          callers_rejected_in_one_moment_return_spread_out,
          an_early_return_gets_no_other_wait,
          overload_makes_no_herd_of_returns,
          callers_that_return_at_once_gain_nothing)
