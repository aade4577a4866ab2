#include "../relay/retry-rule.h"
#include "test.h"

static retry_state_t
ask_of(unsigned bits, int ran)
{
    return (retry_state_t){.kind = (route_kind_t)(bits % 3),
                           .resumable = (bits / 3) % 2 == 1,
                           .attempts_max = 1 + (int)((bits / 6) % 3),
                           .ran = ran,
                           .sends = ran + (int)((bits / 18) % 4),
                           .answer_started = (bits / 72) % 2 == 1,
                           .within_share = (bits / 144) % 2 == 1,
                           .remaining_ms = (bits / 288) % 2 == 1 ? 500 : 5};
}

/* A takedown is sent, its server breaks, and the router sends it once more: it
 * runs twice.  Or it tells the caller "not run", the caller sends it again,
 * and it runs twice.  Over all cases: what may have run is repeated only if
 * its kind allows it, and "not run" is told only if no send may have run. */
START_TEST(nothing_that_may_have_run_is_repeated_or_called_not_run)
{
    for (unsigned bits = 0; bits < 576; bits++) {
        for (int ran = 0; ran < 4; ran++) {
            for (int fate = SEND_UNSENT; fate <= SEND_FAILED; fate++) {
                retry_state_t ask = ask_of(bits, ran);
                if (fate >= SEND_UNKNOWN && ran == 0) {
                    continue; /* this send counts itself */
                }
                retry_decision_t verdict =
                    retry_decide(&ask, (send_result_t)fate);
                bool may = retry_can_rerun(ask.kind, ask.resumable);
                if (verdict == RETRY_NOW && ran > 0) {
                    ck_assert(may || fate < SEND_UNKNOWN);
                    ck_assert_int_lt(ran, ask.attempts_max);
                }
                if (verdict == RETRY_NOW && fate >= SEND_UNKNOWN) {
                    ck_assert(may);
                }
                if (verdict == RETRY_NOW && fate != SEND_UNSENT) {
                    ck_assert(ask.within_share);
                }
                if (verdict == RETRY_LATER) {
                    ck_assert(ask.answer_started);
                    ck_assert_int_lt(fate, SEND_UNKNOWN);
                    ck_assert_int_lt(ran, ask.attempts_max);
                }
                if (verdict == RETRY_REJECT) {
                    ck_assert_int_eq(ran, 0);
                    ck_assert(!ask.answer_started);
                }
                if (verdict == RETRY_ABORT) {
                    ck_assert(ask.answer_started);
                }
                if (ask.answer_started) {
                    ck_assert(verdict == RETRY_NOW || verdict == RETRY_LATER ||
                              verdict == RETRY_ABORT);
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
    retry_state_t ask = {.kind = ROUTE_ONCE,
                         .attempts_max = 1,
                         .sends = 1,
                         .within_share = true,
                         .remaining_ms = 1000};
    ck_assert_int_eq(retry_decide(&ask, SEND_REJECTED), RETRY_NOW);
    ask.within_share = false;
    ck_assert_int_eq(retry_decide(&ask, SEND_REJECTED), RETRY_REJECT);
    ck_assert_int_eq(retry_decide(&ask, SEND_UNSENT), RETRY_NOW);
}
END_TEST

/* Five servers in a row refuse.  The sixth is not asked. */
START_TEST(sends_are_bounded)
{
    retry_state_t ask = {.kind = ROUTE_IDEMPOTENT,
                         .attempts_max = 9,
                         .sends = 5,
                         .within_share = true,
                         .remaining_ms = 1000};
    ck_assert_int_eq(retry_decide(&ask, SEND_REJECTED), RETRY_REJECT);
}
END_TEST

/* A stream's server dies and all others are loading weights: each refuses.
 * The stream waits for one of them instead of being broken off. */
START_TEST(a_begun_stream_outlasts_a_rollout)
{
    retry_state_t ask = {.kind = ROUTE_STREAM,
                         .resumable = true,
                         .attempts_max = 2,
                         .ran = 1,
                         .sends = 5,
                         .answer_started = true,
                         .within_share = true,
                         .remaining_ms = 8000};
    ck_assert_int_eq(retry_decide(&ask, SEND_REJECTED), RETRY_LATER);
    ask.remaining_ms = 100;
    ck_assert_int_eq(retry_decide(&ask, SEND_REJECTED), RETRY_ABORT);
}
END_TEST

TEST_MAIN("retry-rule", a_begun_stream_outlasts_a_rollout,
          nothing_that_may_have_run_is_repeated_or_called_not_run,
          a_proven_refusal_goes_elsewhere, sends_are_bounded)
