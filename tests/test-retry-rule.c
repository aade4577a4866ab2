#include "../relay/retry-rule.h"
#include "test.h"

static retry_state_t
make_state(unsigned bits, int possible_runs)
{
    return (retry_state_t){.kind = (route_kind_t)(bits % 3),
                           .resumable = (bits / 3) % 2 == 1,
                           .attempts_max = 1 + (int)((bits / 6) % 3),
                           .possible_runs = possible_runs,
                           .sends = possible_runs + (int)((bits / 18) % 4),
                           .answer_started = (bits / 72) % 2 == 1,
                           .within_share = (bits / 144) % 2 == 1,
                           .remaining_ms = (bits / 288) % 2 == 1 ? 500 : 5};
}

/* Guards against running a request twice: its server fails and the router
 * sends it again, or the router answers "not run" and the caller sends it
 * again.  In all cases, a request that may have run is repeated only if its
 * kind allows it, and rejected only if none of its sends may have run. */
START_TEST(a_request_runs_twice_only_if_its_kind_allows_it)
{
    for (unsigned bits = 0; bits < 576; bits++) {
        for (int possible_runs = 0; possible_runs < 4; possible_runs++) {
            for (int result = SEND_UNSENT; result <= SEND_FAILED; result++) {
                retry_state_t state = make_state(bits, possible_runs);
                if (result >= SEND_UNKNOWN && possible_runs == 0) {
                    continue; /* possible_runs includes this send */
                }
                retry_decision_t decision =
                    retry_decide(&state, (send_result_t)result);
                bool can_rerun = retry_can_rerun(state.kind, state.resumable);
                if (decision == RETRY_NOW && possible_runs > 0) {
                    ck_assert(can_rerun || result < SEND_UNKNOWN);
                    ck_assert_int_lt(possible_runs, state.attempts_max);
                }
                if (decision == RETRY_NOW && result >= SEND_UNKNOWN) {
                    ck_assert(can_rerun);
                }
                if (decision == RETRY_NOW && result != SEND_UNSENT) {
                    ck_assert(state.within_share);
                }
                if (decision == RETRY_LATER) {
                    ck_assert(state.answer_started);
                    ck_assert_int_lt(result, SEND_UNKNOWN);
                    ck_assert_int_lt(possible_runs, state.attempts_max);
                }
                if (decision == RETRY_REJECT) {
                    ck_assert_int_eq(possible_runs, 0);
                    ck_assert(!state.answer_started);
                }
                if (decision == RETRY_ABORT) {
                    ck_assert(state.answer_started);
                }
                if (state.answer_started) {
                    ck_assert(decision == RETRY_NOW ||
                              decision == RETRY_LATER ||
                              decision == RETRY_ABORT);
                }
            }
        }
    }
}
END_TEST

/* A server rejects a request that may run only once and states that it has not
 * run: it is sent to another server instead of being rejected. */
START_TEST(a_rejected_send_goes_to_another_server)
{
    retry_state_t state = {.kind = ROUTE_NON_IDEMPOTENT,
                           .attempts_max = 1,
                           .sends = 1,
                           .within_share = true,
                           .remaining_ms = 1000};
    ck_assert_int_eq(retry_decide(&state, SEND_REJECTED), RETRY_NOW);
    state.within_share = false;
    ck_assert_int_eq(retry_decide(&state, SEND_REJECTED), RETRY_REJECT);
    ck_assert_int_eq(retry_decide(&state, SEND_UNSENT), RETRY_NOW);
}
END_TEST

/* After rejections by five servers the request is not sent to a sixth. */
START_TEST(sends_are_bounded)
{
    retry_state_t state = {.kind = ROUTE_IDEMPOTENT,
                           .attempts_max = 9,
                           .sends = 5,
                           .within_share = true,
                           .remaining_ms = 1000};
    ck_assert_int_eq(retry_decide(&state, SEND_REJECTED), RETRY_REJECT);
}
END_TEST

/* The server of a stream fails while all others are loading weights and reject
 * it.  The stream waits for one of them instead of being aborted. */
START_TEST(a_started_stream_waits_during_a_rollout)
{
    retry_state_t state = {.kind = ROUTE_STREAM,
                           .resumable = true,
                           .attempts_max = 2,
                           .possible_runs = 1,
                           .sends = 5,
                           .answer_started = true,
                           .within_share = true,
                           .remaining_ms = 8000};
    ck_assert_int_eq(retry_decide(&state, SEND_REJECTED), RETRY_LATER);
    state.remaining_ms = 100;
    ck_assert_int_eq(retry_decide(&state, SEND_REJECTED), RETRY_ABORT);
}
END_TEST

TEST_MAIN("retry-rule", a_started_stream_waits_during_a_rollout,
          a_request_runs_twice_only_if_its_kind_allows_it,
          a_rejected_send_goes_to_another_server, sends_are_bounded)
