#include "../relay/retry-share.h"
#include "test.h"

#define WINDOW_MS 10000
#define RATIO 0.2
#define SLACK 10.0
#define RUN_MS 60000

/* A service is in trouble and everything could be retried.  Over any window
 * the retries of a host stay within its share, however the load comes. */
START_TEST(no_window_holds_more_than_the_share)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        rng_t rng = {seed};
        static int firsts[RUN_MS];
        static int again[RUN_MS];
        retry_shares_t shares;
        retry_shares_init(&shares, RATIO, SLACK, WINDOW_MS);
        for (int ms = 0; ms < RUN_MS; ms++) {
            bool busy = ms / 7000 % 2 == 0;
            firsts[ms] = rng_below(&rng, 100) < (busy ? 10 : 1);
            again[ms] = 0;
            if (firsts[ms] > 0) {
                retry_share_earn(&shares, "s", ms);
            }
            if (rng_below(&rng, 100) < 10 &&
                retry_share_left(&shares, "s", ms)) {
                retry_share_spend(&shares, "s", ms);
                again[ms] = 1;
            }
        }
        retry_shares_free(&shares);
        int first_sum = 0;
        int again_sum = 0;
        for (int ms = 0; ms < RUN_MS; ms++) {
            first_sum += firsts[ms];
            again_sum += again[ms];
            if (ms >= WINDOW_MS) {
                first_sum -= firsts[ms - WINDOW_MS];
                again_sum -= again[ms - WINDOW_MS];
            }
            /* What the ratio earned in the slice that has just left the
             * window may still have been spent: one slice of 20. */
            ck_assert_double_le(again_sum,
                                RATIO * first_sum + SLACK + 0.2 * 100);
        }
    }
}
END_TEST

START_TEST(services_have_shares_of_their_own)
{
    retry_shares_t shares;
    retry_shares_init(&shares, 0, 1, WINDOW_MS);
    ck_assert(retry_share_left(&shares, "a", 5));
    retry_share_spend(&shares, "a", 5);
    ck_assert(!retry_share_left(&shares, "a", 6));
    ck_assert(retry_share_left(&shares, "b", 6));
    ck_assert(retry_share_left(&shares, "a", 6 + WINDOW_MS + 500));
    retry_shares_free(&shares);
}
END_TEST

TEST_MAIN("retry-share", no_window_holds_more_than_the_share,
          services_have_shares_of_their_own)
