#include "stream-fleet.h"

/* The limits of origins where hosts restart or end together. */

/* Guards against streams that are lost when 4 hosts with many of them are
 * restarted within 4 s. */
START_TEST(four_hosts_in_turn_know_many_streams)
{
    const result_t result = run_in_turn(4, 13, 0);
    check_known(&result);
}
END_TEST

/* Guards against records that a restarted host is told and does not need. */
START_TEST(restarted_hosts_keep_few_records)
{
    const result_t result = run_in_turn(350, 3.3, 0);
    check_records(&result);
}
END_TEST

/* Guards against a flood of questions in the 3 s after most hosts ended. */
START_TEST(take_ups_after_most_hosts_ended_cost_few_bytes)
{
    const result_t result = run_at_once(350, 3.3, most_of(350));
    check_bytes(350, &result);
}
END_TEST

/* Guards against a flood of questions in the 3 s after all hosts ended. */
START_TEST(take_ups_after_all_hosts_ended_cost_few_bytes)
{
    const result_t result = run_at_once(350, 3.3, 350);
    check_bytes(350, &result);
}
END_TEST

TEST_MAIN("stream-fleet-limits", four_hosts_in_turn_know_many_streams,
          restarted_hosts_keep_few_records,
          take_ups_after_most_hosts_ended_cost_few_bytes,
          take_ups_after_all_hosts_ended_cost_few_bytes)
