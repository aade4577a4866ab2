#include "../relay/retry-rule.h"
#include "test.h"

static retry_ask_t
ask_of(unsigned bits, int ran)
{
    return (retry_ask_t){.kind = (route_kind_t)(bits % 3),
                         .resumable = (bits / 3) % 2 == 1,
                         .attempts = 1 + (int)((bits / 6) % 3),
                         .ran = ran,
                         .sends = ran + (int)((bits / 18) % 4),
                         .begun = (bits / 72) % 2 == 1,
                         .share_left = (bits / 144) % 2 == 1,
                         .left_ms = (bits / 288) % 2 == 1 ? 500 : 5};
}

/* A takedown is sent, its server breaks, and the router sends it once more: it
 * runs twice.  Or it tells the caller "not run", the caller sends it again,
 * and it runs twice.  Over all cases: what may have run is repeated only if
 * its kind allows it, and "not run" is told only if no send may have run. */
START_TEST(nothing_that_may_have_run_is_repeated_or_called_not_run)
{
    for (unsigned bits = 0; bits < 576; bits++) {
        for (int ran = 0; ran < 4; ran++) {
            for (int fate = FATE_UNSENT; fate <= FATE_FAILED; fate++) {
                retry_ask_t ask = ask_of(bits, ran);
                if (fate >= FATE_UNKNOWN && ran == 0) {
                    continue; /* this send counts itself */
                }
                retry_verdict_t verdict =
                    retry_decide(&ask, (send_fate_t)fate);
                bool may = retry_may_repeat(ask.kind, ask.resumable);
                if (verdict == RETRY_AGAIN && ran > 0) {
                    ck_assert(may || fate < FATE_UNKNOWN);
                    ck_assert_int_lt(ran, ask.attempts);
                }
                if (verdict == RETRY_AGAIN && fate >= FATE_UNKNOWN) {
                    ck_assert(may);
                }
                if (verdict == RETRY_AGAIN && fate != FATE_UNSENT) {
                    ck_assert(ask.share_left);
                }
                if (verdict == RETRY_WAIT) {
                    ck_assert(ask.begun);
                    ck_assert_int_lt(fate, FATE_UNKNOWN);
                    ck_assert_int_lt(ran, ask.attempts);
                }
                if (verdict == RETRY_REFUSE) {
                    ck_assert_int_eq(ran, 0);
                    ck_assert(!ask.begun);
                }
                if (verdict == RETRY_BREAK) {
                    ck_assert(ask.begun);
                }
                if (ask.begun) {
                    ck_assert(verdict == RETRY_AGAIN ||
                              verdict == RETRY_WAIT || verdict == RETRY_BREAK);
                }
            }
        }
    }
}
END_TEST

/* A server refuses a request that may run once, proving that it did not run.
 * The caller need not hear of it: another server takes it. */
START_TEST(a_proven_refusal_goes_elsewhere)
{
    retry_ask_t ask = {.kind = ROUTE_NON_IDEMPOTENT,
                       .attempts = 1,
                       .sends = 1,
                       .share_left = true,
                       .left_ms = 1000};
    ck_assert_int_eq(retry_decide(&ask, FATE_REFUSED), RETRY_AGAIN);
    ask.share_left = false;
    ck_assert_int_eq(retry_decide(&ask, FATE_REFUSED), RETRY_REFUSE);
    ck_assert_int_eq(retry_decide(&ask, FATE_UNSENT), RETRY_AGAIN);
}
END_TEST

/* Five servers in a row refuse.  The sixth is not asked. */
START_TEST(sends_are_bounded)
{
    retry_ask_t ask = {.kind = ROUTE_IDEMPOTENT,
                       .attempts = 9,
                       .sends = 5,
                       .share_left = true,
                       .left_ms = 1000};
    ck_assert_int_eq(retry_decide(&ask, FATE_REFUSED), RETRY_REFUSE);
}
END_TEST

/* A stream's server dies and all others are loading weights: each refuses.
 * The stream waits for one of them instead of being broken off. */
START_TEST(a_begun_stream_outlasts_a_rollout)
{
    retry_ask_t ask = {.kind = ROUTE_STREAM,
                       .resumable = true,
                       .attempts = 2,
                       .ran = 1,
                       .sends = 5,
                       .begun = true,
                       .share_left = true,
                       .left_ms = 8000};
    ck_assert_int_eq(retry_decide(&ask, FATE_REFUSED), RETRY_WAIT);
    ask.left_ms = 100;
    ck_assert_int_eq(retry_decide(&ask, FATE_REFUSED), RETRY_BREAK);
}
END_TEST

TEST_MAIN("retry-rule", a_begun_stream_outlasts_a_rollout,
          nothing_that_may_have_run_is_repeated_or_called_not_run,
          a_proven_refusal_goes_elsewhere, sends_are_bounded)
