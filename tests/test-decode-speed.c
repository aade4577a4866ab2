#include "../balance/decode-speed.h"
#include "test.h"

#include <math.h>

/* A decode step of an engine, ms: a fixed part and one for each request. */
#define STEP_MS 2.6
#define STEP_MS_PER_REQUEST 0.12

static void
observe_answers(decode_speed_t *speed, int count, double noise, rng_t *rng)
{
    for (int i = 0; i < count; i++) {
        double requests = (double)rng_below(rng, 40);
        double tokens = 50 + 700 * rng_unit(rng);
        double step = STEP_MS + STEP_MS_PER_REQUEST * requests;
        double factor = 1 + noise * (2 * rng_unit(rng) - 1);
        decode_speed_observe(speed, requests, tokens, tokens * step * factor);
    }
}

/* Guards against a cost of long answers that fits one kind of engine only. */
START_TEST(the_slope_is_learned_from_answers)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        decode_speed_t speed = {0};
        rng_t rng = {seed};
        observe_answers(&speed, 100, 0.3, &rng);
        ck_assert_double_eq_tol(decode_speed_ms_per_request(&speed),
                                STEP_MS_PER_REQUEST,
                                STEP_MS_PER_REQUEST * 0.5);
    }
}
END_TEST

/* Guards against decisions by a slope that a few answers gave. */
START_TEST(an_unknown_slope_has_no_effect)
{
    decode_speed_t speed = {0};
    rng_t rng = {1};
    ck_assert_double_eq(decode_speed_extra_ms(&speed, 400, 10), 0);
    observe_answers(&speed, 10, 0, &rng);
    ck_assert_double_eq(decode_speed_extra_ms(&speed, 400, 10), 0);
    observe_answers(&speed, 90, 0, &rng);
    ck_assert_double_eq_tol(decode_speed_extra_ms(&speed, 400, 10), 480, 1);
}
END_TEST

/* Guards against a slope from engines that all have the same load, or whose
 * answers get faster with load by chance. */
START_TEST(the_slope_is_never_negative)
{
    decode_speed_t same = {0};
    decode_speed_t falling = {0};
    for (int i = 0; i < 100; i++) {
        decode_speed_observe(&same, 5, 400, 400 * (1 + i % 7));
        decode_speed_observe(&falling, i % 30, 400, 400 * (40 - i % 30));
    }
    ck_assert_double_eq(decode_speed_ms_per_request(&same), 0);
    ck_assert_double_eq(decode_speed_ms_per_request(&falling), 0);
}
END_TEST

/* Guards against answers that stalled or were too short to tell. */
START_TEST(short_and_stalled_answers_are_bounded)
{
    decode_speed_t speed = {0};
    rng_t rng = {3};
    observe_answers(&speed, 100, 0, &rng);
    for (int i = 0; i < 50; i++) {
        decode_speed_observe(&speed, 3, 10, 60000);
        decode_speed_observe(&speed, 3, 0, 100);
        decode_speed_observe(&speed, 3, 100, -1);
    }
    ck_assert_double_eq_tol(decode_speed_ms_per_request(&speed),
                            STEP_MS_PER_REQUEST, 1e-6);
    decode_speed_observe(&speed, 20, 100, 1e9);
    ck_assert_double_le(decode_speed_ms_per_request(&speed), 1);
}
END_TEST

/* Guards against prompts that go where they delay most running answers, since
 * only the wait of the prompt itself counts. */
START_TEST(a_prompt_costs_the_answers_that_it_delays)
{
    ck_assert_double_eq(decode_delay_cost_ms(0, 200), 0);
    ck_assert_double_gt(decode_delay_cost_ms(8, 200),
                        decode_delay_cost_ms(4, 200));
    /* The same prompt on an engine that takes 2.4 times as long. */
    ck_assert_double_gt(decode_delay_cost_ms(4, 480),
                        decode_delay_cost_ms(8, 200));
}
END_TEST

TEST_MAIN("decode-speed", a_prompt_costs_the_answers_that_it_delays,
          the_slope_is_learned_from_answers, an_unknown_slope_has_no_effect,
          the_slope_is_never_negative, short_and_stalled_answers_are_bounded)
