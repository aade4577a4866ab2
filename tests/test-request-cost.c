#include "../balance/request-cost.h"
#include "test.h"

#include <math.h>

/* A two-thousandth of the 256 MB that a host may use for control. */
#define STATE_BYTES_MAX (128 * 1024)
#define ROUTE 0x1234
#define OUTPUT_MAX 4000

static request_costs_t *
new_costs(void)
{
    return mem_zalloc(sizeof(request_costs_t));
}

static cost_query_t
make_query(uint64_t workspace, uint32_t hint)
{
    return (cost_query_t){.route = ROUTE,
                          .workspace = workspace,
                          .prompt_tokens = 1000,
                          .output_max = OUTPUT_MAX,
                          .length_hint = hint};
}

static double
expect_output(const request_costs_t *costs, uint64_t workspace, uint32_t hint)
{
    cost_query_t query = make_query(workspace, hint);
    return request_cost_output(costs, &query);
}

static void
observe(request_costs_t *costs, uint64_t workspace, uint32_t hint,
        double output)
{
    cost_query_t query = make_query(workspace, hint);
    request_cost_observe(costs, &query, output);
}

/* Returns a standard normal random number (Box-Muller). */
static double
draw_normal(rng_t *rng)
{
    double radius = sqrt(-2 * log(1 - rng_unit(rng)));
    return radius * cos(2 * 3.14159265358979 * rng_unit(rng));
}

/* Returns a length whose spread within a route is a factor of ten. */
static double
draw_output(rng_t *rng, double median)
{
    return fmax(1, floor(median * exp(0.7 * draw_normal(rng))));
}

static void
check_near(double value, double expected, double share)
{
    ck_assert_double_ge(value, expected * (1 - share));
    ck_assert_double_le(value, expected * (1 + share));
}

/* Guards against an estimate of nothing on a host that has just started. */
START_TEST(first_request_uses_the_hint_or_half_of_the_maximum)
{
    request_costs_t *costs = new_costs();
    ck_assert_double_eq(expect_output(costs, 7, 300), 300);
    ck_assert_double_eq(expect_output(costs, 7, 0), OUTPUT_MAX / 2.0);
    ck_assert_double_eq(expect_output(costs, 7, OUTPUT_MAX * 2), OUTPUT_MAX);
    cost_query_t unknown = {.route = ROUTE};
    ck_assert_double_eq(request_cost_output(costs, &unknown), 0);
    ck_assert_double_eq(request_cost_error(costs, ROUTE), 0);
    ck_assert_double_eq(request_cost_hold_ms(costs, ROUTE), 0);
    free(costs);
}
END_TEST

/* Guards against a learned mean that replaces hints which are right. */
START_TEST(hints_that_are_right_are_followed)
{
    request_costs_t *costs = new_costs();
    rng_t rng = {1};
    for (int i = 0; i < 200; i++) {
        double output = draw_output(&rng, 200);
        if (i > 0) {
            check_near(expect_output(costs, 1 + i % 5, (uint32_t)output),
                       fmin(output, OUTPUT_MAX), 0.01);
        }
        observe(costs, 1 + i % 5, (uint32_t)output, output);
    }
    ck_assert_double_le(request_cost_error(costs, ROUTE), 2);
    free(costs);
}
END_TEST

/* Guards against reserving ten times the capacity, or a tenth of it, because
 * callers state wrong lengths. */
START_TEST(hints_that_are_wrong_by_ten_times_are_ignored)
{
    static const double factors[] = {10, 0.1};
    for (size_t i = 0; i < 2; i++) {
        request_costs_t *costs = new_costs();
        rng_t rng = {2};
        for (int j = 0; j < 20; j++) {
            double output = draw_output(&rng, 200);
            observe(costs, 1, (uint32_t)fmax(1, output * factors[i]), output);
        }
        check_near(expect_output(costs, 1, (uint32_t)(200 * factors[i])), 250,
                   0.4);
        free(costs);
    }
}
END_TEST

/* The errors of hints change: guards against a choice that is made once. */
START_TEST(hints_that_become_right_are_followed_again)
{
    request_costs_t *costs = new_costs();
    rng_t rng = {3};
    for (int i = 0; i < 500; i++) {
        double output = draw_output(&rng, 200);
        observe(costs, 1, (uint32_t)(output * 10), output);
    }
    ck_assert_double_le(expect_output(costs, 1, 2000), 400);
    for (int i = 0; i < 300; i++) {
        double output = draw_output(&rng, 200);
        observe(costs, 1, (uint32_t)output, output);
    }
    check_near(expect_output(costs, 1, 900), 900, 0.1);
    free(costs);
}
END_TEST

/* Guards against one estimate for workspaces of a route that differ. */
START_TEST(workspaces_of_a_route_have_their_own_lengths)
{
    request_costs_t *costs = new_costs();
    rng_t rng = {4};
    for (int i = 0; i < 200; i++) {
        observe(costs, 1, 0, draw_output(&rng, 60));
        observe(costs, 2, 0, draw_output(&rng, 600));
    }
    check_near(expect_output(costs, 1, 0), 60 * exp(0.245), 0.3);
    check_near(expect_output(costs, 2, 0), 600 * exp(0.245), 0.3);
    /* A workspace that is not known gets the estimate of the route. */
    ck_assert_double_gt(expect_output(costs, 3, 0), 120);
    ck_assert_double_lt(expect_output(costs, 3, 0), 400);
    free(costs);
}
END_TEST

/* Guards against lengths of one route that change those of another. */
START_TEST(routes_are_independent)
{
    request_costs_t *costs = new_costs();
    for (int i = 0; i < 50; i++) {
        cost_query_t other = {.route = 99, .workspace = 1};
        observe(costs, 1, 0, 100);
        request_cost_observe(costs, &other, 3000);
        request_cost_observe_hold(costs, 99, 700);
    }
    check_near(expect_output(costs, 1, 0), 100, 0.01);
    ck_assert_double_eq(request_cost_hold_ms(costs, ROUTE), 0);
    check_near(request_cost_hold_ms(costs, 99), 700, 0.01);
    free(costs);
}
END_TEST

/* Guards against requests that are taken for long ones, and rejected, once a
 * configuration has renamed or split their route. */
START_TEST(a_route_inherits_from_the_one_before_it)
{
    request_costs_t *costs = new_costs();
    cost_query_t query = make_query(7, 0);
    for (int i = 0; i < 100; i++) {
        observe(costs, 7, 0, 80);
        observe(costs, 8, 0, 20);
    }
    query.route = ROUTE + 1;
    ck_assert_double_eq(request_cost_output(costs, &query), OUTPUT_MAX / 2.0);
    request_cost_inherit(costs, ROUTE + 1, ROUTE);
    check_near(request_cost_output(costs, &query), expect_output(costs, 7, 0),
               0.01);
    query.workspace = 8;
    check_near(request_cost_output(costs, &query), expect_output(costs, 8, 0),
               0.01);
    /* What it has observed itself stays. */
    for (int i = 0; i < 100; i++) {
        request_cost_observe(costs, &query, 900);
    }
    request_cost_inherit(costs, ROUTE + 1, ROUTE);
    check_near(request_cost_output(costs, &query), 900, 0.2);
    request_cost_inherit(costs, ROUTE + 2, ROUTE + 3);
    query.route = ROUTE + 2;
    ck_assert_double_eq(request_cost_output(costs, &query), OUTPUT_MAX / 2.0);
    free(costs);
}
END_TEST

/* Guards against one response, or one hint, that spoils the estimates after
 * it, also if it is the first one of the route. */
START_TEST(outliers_have_little_effect)
{
    request_costs_t *costs = new_costs();
    observe(costs, 1, 0, 1e12);
    for (int i = 0; i < 100; i++) {
        observe(costs, 1, 0, 100);
    }
    check_near(expect_output(costs, 1, 0), 100, 0.35);
    for (int i = 0; i < 300; i++) {
        observe(costs, 1, 100, 100);
    }
    observe(costs, 1, UINT32_MAX, 100);
    check_near(expect_output(costs, 1, 100), 100, 0.1);
    observe(costs, 1, 1, 100);
    check_near(expect_output(costs, 1, 100), 100, 0.1);
    observe(costs, 1, 100, 1e12);
    check_near(expect_output(costs, 1, 0), 100, 0.2);
    check_near(expect_output(costs, 1, 100), 100, 0.1);
    free(costs);
}
END_TEST

/* Guards against a reserve of slots that follows single responses, or that
 * does not follow a lasting change. */
START_TEST(holds_follow_changes_but_not_outliers)
{
    request_costs_t *costs = new_costs();
    for (int i = 0; i < 100; i++) {
        request_cost_observe_hold(costs, ROUTE, 200);
    }
    request_cost_observe_hold(costs, ROUTE, 60000);
    check_near(request_cost_hold_ms(costs, ROUTE), 200, 0.15);
    for (int i = 0; i < 150; i++) {
        request_cost_observe_hold(costs, ROUTE, 3000);
    }
    check_near(request_cost_hold_ms(costs, ROUTE), 3000, 0.1);
    /* A route with holds alone has no output. */
    ck_assert_double_eq(expect_output(costs, 1, 0), OUTPUT_MAX / 2.0);
    free(costs);
}
END_TEST

/* Guards against state that grows with the number of routes, and against
 * routes in use that are evicted. */
START_TEST(least_recently_used_routes_are_evicted)
{
    request_costs_t *costs = new_costs();
    for (uint64_t route = 1; route <= COST_ROUTES_MAX; route++) {
        request_cost_observe_hold(costs, route, 100);
    }
    request_cost_observe_hold(costs, 1, 100);
    request_cost_observe_hold(costs, COST_ROUTES_MAX + 1, 100);
    ck_assert_double_gt(request_cost_hold_ms(costs, 1), 0);
    ck_assert_double_eq(request_cost_hold_ms(costs, 2), 0);
    for (uint64_t route = 3; route <= COST_ROUTES_MAX + 1; route++) {
        ck_assert_double_gt(request_cost_hold_ms(costs, route), 0);
    }
    free(costs);
}
END_TEST

/* 20,000 workspaces in turn: guards against memory that grows with their
 * number, and against a busy workspace that is evicted by many idle ones. */
START_TEST(memory_is_bounded_at_20000_workspaces)
{
    const uint64_t busy = str_hash("busy", 0);
    request_costs_t *costs = new_costs();
    rng_t rng = {5};
    ck_assert_uint_le(sizeof(*costs), STATE_BYTES_MAX);
    observe(costs, str_hash("idle", 0), 0, 20);
    for (int i = 0; i < 60000; i++) {
        char name[32];
        (void)snprintf(name, sizeof(name), "workspace-%d", i % 20000);
        observe(costs, str_hash(name, 0), 0, draw_output(&rng, 100));
        if (i % 50 == 0) {
            observe(costs, busy, 0, 1000);
        }
    }
    check_near(expect_output(costs, busy, 0), 1000 * exp(0.245), 0.3);
    check_near(expect_output(costs, str_hash("idle", 0), 0), 100 * exp(0.245),
               0.3);
    free(costs);
}
END_TEST

/* How hints are wrong in one run of the property test. */
typedef struct {
    double noise;        /* standard deviation of the logarithm */
    double wrong_share;  /* of hints that have that noise; others are exact */
    double hinted_share; /* of requests with a hint */
} hint_quality_t;

static uint32_t
draw_hint(rng_t *rng, const hint_quality_t *quality, double output)
{
    bool wrong = rng_unit(rng) < quality->wrong_share;
    double noise = wrong ? quality->noise * draw_normal(rng) : 0;
    return rng_unit(rng) < quality->hinted_share
               ? (uint32_t)fmax(1, output * exp(noise))
               : 0;
}

/* Runs one workload and checks the estimates of its second half. */
static void
check_quality(const hint_quality_t *quality, uint64_t seed)
{
    request_costs_t *costs = new_costs();
    rng_t rng = {seed};
    double medians[8];
    double error = 0;
    double hint_error = 0;
    double mean_error = 0;
    double estimated = 0;
    double stated_sum = 0;
    double observed = 0;
    for (size_t i = 0; i < 8; i++) {
        medians[i] = draw_output(&rng, 150);
    }
    for (int i = 0; i < 4000; i++) {
        uint64_t workspace = rng_below(&rng, 8);
        double output =
            fmin(draw_output(&rng, medians[workspace]), OUTPUT_MAX);
        uint32_t hint = draw_hint(&rng, quality, output);
        double estimate = expect_output(costs, workspace + 1, hint);
        if (i >= 2000) {
            double mean = medians[workspace];
            double stated = hint > 0 ? fmin(hint, OUTPUT_MAX) : mean;
            error += fabs(log(estimate / output));
            hint_error += fabs(log(stated / output));
            mean_error += fabs(log(mean / output));
            estimated += estimate;
            stated_sum += stated;
            observed += output;
        }
        observe(costs, workspace + 1, hint, output);
    }
    /* The scaling to the mean costs some of the median's accuracy. */
    ck_assert_msg(error <= 1.15 * fmin(hint_error, mean_error) + 10,
                  "seed %llu: %g, by hints %g, by the true medians %g",
                  (unsigned long long)seed, error, hint_error, mean_error);
    /* Hints that are mostly exact are followed, so the total may be as much
     * too high as theirs is. */
    double highest = fmax(1.15 * observed, stated_sum);
    ck_assert_msg(estimated >= 0.85 * observed && estimated <= highest,
                  "seed %llu: %g expected, %g seen", (unsigned long long)seed,
                  estimated, observed);
    free(costs);
}

/* Guards against estimates that are worse than either the hint or the true
 * medians of the workspaces alone, or that are too low or too high in total,
 * however good the hints are. */
START_TEST(estimates_are_as_good_as_the_better_source)
{
    static const hint_quality_t qualities[] = {
        {0, 0, 1},       {0.3, 1, 1},   {0.7, 1, 1},   {1.5, 1, 1},
        {2.3, 1, 1},     {1.2, 0.3, 1}, {1.2, 0.5, 1}, {0.3, 1, 0.5},
        {1.2, 0.5, 0.5}, {0, 0, 0}};
    for (size_t i = 0; i < sizeof(qualities) / sizeof(qualities[0]); i++) {
        for (uint64_t seed = 1; seed <= 40; seed++) {
            check_quality(&qualities[i], seed * 100 + i);
        }
    }
}
END_TEST

static const double odd_values[] = {0, -5, 0.5, 1, 9, 1e6, 1e300};

/* Random observations of any size, also of impossible ones: guards against an
 * estimate that is not a number, or beyond the stated maximum. */
START_TEST(estimates_stay_in_range)
{
    for (uint64_t seed = 0; seed < 50; seed++) {
        request_costs_t *costs = new_costs();
        rng_t rng = {seed};
        for (int i = 0; i < 2000; i++) {
            cost_query_t query = {
                .route = rng_below(&rng, 100),
                .workspace = rng_below(&rng, 3000),
                .output_max = rng_below(&rng, 2) ? 0 : rng_below(&rng, 9000),
                .length_hint = rng_below(&rng, 2) ? 0 : rng_next(&rng) >> 32};
            double estimate = request_cost_output(costs, &query);
            ck_assert(isfinite(estimate) && estimate >= 0);
            ck_assert(query.output_max == 0 || estimate <= query.output_max);
            double value = i % 97 == 0 ? NAN : odd_values[rng_below(&rng, 7)];
            request_cost_observe(costs, &query, value);
            request_cost_observe_hold(costs, query.route, value);
            double hold = request_cost_hold_ms(costs, query.route);
            ck_assert(isfinite(hold) && hold > 0);
            ck_assert(isfinite(request_cost_error(costs, query.route)));
        }
        free(costs);
    }
}
END_TEST

TEST_MAIN("request-cost", first_request_uses_the_hint_or_half_of_the_maximum,
          hints_that_are_right_are_followed,
          hints_that_are_wrong_by_ten_times_are_ignored,
          hints_that_become_right_are_followed_again,
          workspaces_of_a_route_have_their_own_lengths, routes_are_independent,
          a_route_inherits_from_the_one_before_it, outliers_have_little_effect,
          holds_follow_changes_but_not_outliers,
          least_recently_used_routes_are_evicted,
          memory_is_bounded_at_20000_workspaces,
          estimates_are_as_good_as_the_better_source, estimates_stay_in_range)
