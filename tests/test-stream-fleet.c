#include "../kernel/members-table.h"
#include "stream-fleet.h"

/* Checks a fleet; returns what happens when hosts are restarted in turn. */
static result_t
check_small_fleet(size_t count, double rate)
{
    const result_t alone = run_alone(count, rate);
    const result_t in_turn = run_in_turn(count, rate, 0);
    (void)run_in_turn(count, rate, 1000);
    (void)run_at_once(count, rate, most_of(count));
    (void)run_at_once(count, rate, count);
    check_known(&alone);
    return in_turn;
}

/* Guards against hosts that are asked but are not those that were told. */
START_TEST(the_ranks_are_those_of_the_table_of_members)
{
    const play_t play = {.rate = 1};
    fleet_t *fleet = fleet_new(31, &play, 1);
    member_t self = {.health = MEMBER_ALIVE, .intent = MEMBER_SERVING};
    str_copy(self.name, sizeof(self.name), fleet->hosts[0].name);
    members_t *members = members_new(&self, 1);
    for (size_t i = 1; i < fleet->count; i++) {
        member_node_t *node = mem_zalloc(sizeof(*node));
        node->member = self;
        str_copy(node->member.name, sizeof(self.name), fleet->hosts[i].name);
        CK_LIST_INSERT_HEAD(&members->list, node, entry);
    }
    for (uint64_t stream = 0; stream < 100; stream++) {
        size_t ranked[RANKED_MAX];
        member_t owners[STREAM_ORIGIN_ASKED_MAX + 1];
        char duty[32];
        (void)snprintf(duty, sizeof(duty), "stream-%016llx",
                       (unsigned long long)stream);
        ck_assert_uint_eq(rank_hosts(fleet, stream, ranked), RANKED_MAX);
        ck_assert_uint_eq(members_list_duty_owners(members, duty, owners, 7),
                          7);
        for (size_t i = 0; i < 7; i++) {
            ck_assert_str_eq(owners[i].name, fleet->hosts[ranked[i]].name);
        }
    }
    members_free(members);
    fleet_free(fleet);
}
END_TEST

/* Guards against streams that are lost with one of 4 hosts. */
START_TEST(four_hosts_expected_streams)
{
    const result_t in_turn = check_small_fleet(4, 3.3);
    check_known(&in_turn);
}
END_TEST

/* The same with 4 times as many streams. */
START_TEST(four_hosts_many_streams)
{
    /* In turn: see test-stream-fleet-limits. */
    (void)check_small_fleet(4, 13);
}
END_TEST

/* Guards against streams that are lost with one of 31 hosts. */
START_TEST(thirty_one_hosts_expected_streams)
{
    const result_t in_turn = check_small_fleet(31, 3.3);
    check_known(&in_turn);
}
END_TEST

/* The same with 4 times as many streams. */
START_TEST(thirty_one_hosts_many_streams)
{
    const result_t in_turn = check_small_fleet(31, 13);
    check_known(&in_turn);
}
END_TEST

/* Guards against lost streams and against traffic in a large fleet. */
START_TEST(three_hundred_and_fifty_hosts_expected_streams)
{
    const size_t count = 350;
    const result_t few = run_alone(count, 2);
    const result_t alone = run_alone(count, 3.3);
    const result_t in_turn = run_in_turn(count, 3.3, 0);
    const result_t most = run_at_once(count, 3.3, most_of(count));
    const result_t all = run_at_once(count, 3.3, count);
    check_known(&few);
    check_known(&alone);
    check_known(&in_turn);
    check_bytes(count, &few);
    check_bytes(count, &alone);
    check_bytes(count, &in_turn);
    check_records(&few);
    check_records(&alone);
    check_records(&most);
    check_records(&all);
}
END_TEST

/* The same with 4 times as many streams. */
START_TEST(three_hundred_and_fifty_hosts_many_streams)
{
    const size_t count = 350;
    const result_t alone = run_alone(count, 13);
    const result_t in_turn = run_in_turn(count, 13, 0);
    (void)run_at_once(count, 13, most_of(count));
    (void)run_at_once(count, 13, count);
    check_known(&alone);
    check_known(&in_turn);
}
END_TEST

TEST_MAIN("stream-fleet", the_ranks_are_those_of_the_table_of_members,
          four_hosts_expected_streams, four_hosts_many_streams,
          thirty_one_hosts_expected_streams, thirty_one_hosts_many_streams,
          three_hundred_and_fifty_hosts_expected_streams,
          three_hundred_and_fifty_hosts_many_streams)
