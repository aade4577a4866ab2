#include "../relay/forecast.h"
#include "test.h"

/* Guards against admitting requests by estimates that recent answers have
 * proved too short. */
START_TEST(late_answers_widen_the_margin)
{
    forecast_t forecast = {0};
    for (int i = 0; i < 200; i++) {
        forecast_update(&forecast, 100, 500);
    }
    ck_assert_double_ge(forecast_margin_ms(&forecast), 350);
    ck_assert_double_le(forecast_margin_ms(&forecast), 700);
}
END_TEST

/* Guards against rejections that go on after an overload: answers that arrive
 * as expected shrink the margin again. */
START_TEST(answers_in_time_shrink_the_margin)
{
    forecast_t forecast = {0};
    for (int i = 0; i < 200; i++) {
        forecast_update(&forecast, 100, 1500);
    }
    for (int i = 0; i < 300; i++) {
        forecast_update(&forecast, 50, 50);
    }
    ck_assert_double_le(forecast_margin_ms(&forecast), 100);
}
END_TEST

/* Answers that arrive sooner than expected don't admit more than the target
 * allows. */
START_TEST(the_margin_is_never_negative)
{
    forecast_t forecast = {0};
    for (int i = 0; i < 200; i++) {
        forecast_update(&forecast, 900, 50);
    }
    ck_assert_double_ge(forecast_margin_ms(&forecast), 0);
}
END_TEST

/* The margin covers at least nine in ten answers where their times vary. */
START_TEST(most_answers_arrive_within_the_margin)
{
    forecast_t forecast = {0};
    rng_t rng = {3};
    unsigned within = 0;
    for (int i = 0; i < 5000; i++) {
        double late = 400 * rng_unit(&rng) * rng_unit(&rng);
        within += late <= forecast_margin_ms(&forecast);
        forecast_update(&forecast, 100, 100 + late);
    }
    ck_assert_uint_ge(within, 4500);
    ck_assert_double_le(forecast_margin_ms(&forecast), 500);
}
END_TEST

TEST_MAIN("forecast", late_answers_widen_the_margin,
          answers_in_time_shrink_the_margin, the_margin_is_never_negative,
          most_answers_arrive_within_the_margin)
