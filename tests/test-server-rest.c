#include "../relay/server-rest.h"
#include "test.h"

/* Several requests may be rejected at once, each with a rest of its own; a
 * shorter one must not end the others early. */
START_TEST(longest_of_overlapping_rests_counts)
{
    server_rest_t rest = {0};
    ck_assert(server_rest_begin(&rest, 3000, 1000));
    ck_assert(!server_rest_begin(&rest, 500, 1100));
    ck_assert_int_eq(server_rest_wait_ms(&rest, 1100), 2900);
    ck_assert(!server_rest_allows(&rest, 3999));
    ck_assert(server_rest_allows(&rest, 4000));
    ck_assert(!server_rest_begin(&rest, 2500, 2000));
    ck_assert(!server_rest_allows(&rest, 4499));
}
END_TEST

/* An answer to a request of before the rest tells nothing of the time after.
 */
START_TEST(late_answer_does_not_end_a_rest)
{
    server_rest_t rest = {0};
    (void)server_rest_begin(&rest, 3000, 1000);
    ck_assert(!server_rest_end(&rest, 900));
    ck_assert(!server_rest_allows(&rest, 3000));
    server_rest_take(&rest, 4000);
    ck_assert(!server_rest_end(&rest, 3999));
    ck_assert(server_rest_end(&rest, 4000));
    ck_assert(server_rest_allows(&rest, 4001));
}
END_TEST

/* Requests that wait for the end of a rest must not all arrive then. */
START_TEST(rest_ends_with_single_requests)
{
    server_rest_t rest = {0};
    int sent = 0;
    (void)server_rest_begin(&rest, 3000, 0);
    for (int64_t now = 0; now < 4000; now++) {
        for (int i = 0; i < 10; i++) {
            if (server_rest_allows(&rest, now)) {
                server_rest_take(&rest, now);
                sent++;
            }
        }
    }
    ck_assert_int_ge(sent, 4);
    ck_assert_int_le(sent, 6);
    ck_assert(server_rest_begin(&rest, 1000, 4000));
    ck_assert(!server_rest_allows(&rest, 4999));
}
END_TEST

/* A rest of any length is kept without overflow. */
START_TEST(huge_rest_is_bounded)
{
    server_rest_t rest = {0};
    (void)server_rest_begin(&rest, INT64_MAX, 1000);
    ck_assert_int_eq(server_rest_wait_ms(&rest, 1000), 3600000);
}
END_TEST

TEST_MAIN("server-rest", longest_of_overlapping_rests_counts,
          late_answer_does_not_end_a_rest, rest_ends_with_single_requests,
          huge_rest_is_bounded)
