#include "test.h"

#include "../relay/helpers.h"

#include <string.h>

#define MEMBERS_MAX 512
#define SERVICE 1

static member_t members[MEMBERS_MAX];

/* Sets up hosts in data centres dc-0 to dc-(dcs - 1); the first is this one.
 */
static void
set_members(size_t count, size_t dcs)
{
    memset(members, 0, sizeof(members));
    for (size_t i = 0; i < count; i++) {
        (void)snprintf(members[i].name, CS_NAME_MAX, "host-%zu", i);
        (void)snprintf(members[i].dc, CS_NAME_MAX, "dc-%zu", i % dcs);
        (void)snprintf(members[i].peer_addr, CS_ADDR_MAX, "10.0.%zu.%zu:7000",
                       i / 200, i % 200);
    }
}

static const member_t *
choose(const helpers_t *helpers, size_t count, const helpers_tried_t *tried,
       int64_t now)
{
    static rng_t rng = {7};
    return helpers_choose(helpers, members, count, tried, SERVICE, &rng, now);
}

/* Guards against requests that go to hosts that are dead or stop. */
START_TEST(only_live_hosts_that_serve_are_chosen)
{
    helpers_t helpers = {0};
    helpers_tried_t tried = {0};
    set_members(4, 1);
    ck_assert_ptr_null(choose(&helpers, 1, &tried, 0));
    members[1].health = MEMBER_SUSPECT;
    members[2].intent = MEMBER_LEAVING;
    for (int i = 0; i < 20; i++) {
        ck_assert_ptr_eq(choose(&helpers, 4, &tried, 0), &members[3]);
    }
    helpers_avoid(&helpers, members[3].peer_addr, 0);
    ck_assert_ptr_null(choose(&helpers, 4, &tried, 999));
    ck_assert_ptr_eq(choose(&helpers, 4, &tried, 1000), &members[3]);
    helpers_tried_add(&tried, &members[3]);
    ck_assert_ptr_null(choose(&helpers, 4, &tried, 1000));
}
END_TEST

/* Guards against one host that bears the load of all that are cut off. */
START_TEST(requests_are_spread_over_hosts)
{
    helpers_t helpers = {0};
    const helpers_tried_t tried = {0};
    int most = 0;
    set_members(8, 2);
    for (int i = 0; i < 70; i++) {
        const member_t *member = choose(&helpers, 8, &tried, i);
        helpers_begin(&helpers, member->peer_addr, i);
        helpers_note_served(&helpers, member->peer_addr, i);
    }
    for (size_t i = 0; i < helpers.count; i++) {
        most = helpers.list[i].running > most ? helpers.list[i].running : most;
    }
    ck_assert_uint_eq(helpers.count, 7);
    ck_assert_int_le(most, 12);
}
END_TEST

/* Guards against traffic between data centres that is not needed. */
START_TEST(few_requests_stay_in_the_data_centre)
{
    helpers_t helpers = {0};
    const helpers_tried_t tried = {0};
    set_members(9, 3);
    for (int i = 0; i < 20; i++) {
        const member_t *member = choose(&helpers, 9, &tried, i);
        ck_assert_str_eq(member->dc, "dc-0");
        helpers_begin(&helpers, member->peer_addr, i);
        helpers_note_served(&helpers, member->peer_addr, i);
        helpers_end(&helpers, member->peer_addr);
    }
}
END_TEST

/* Plays requests of a host in a fleet of 350 of whose data centre all hosts
 * are cut off; returns how many attempts were refused. */
static int
play_cut_data_centre(int requests, int *unserved)
{
    helpers_t helpers = {0};
    int refused = 0;
    *unserved = 0;
    for (int i = 0; i < requests; i++) {
        int64_t now = i * 77;
        helpers_tried_t tried = {0};
        const member_t *member;
        while ((member = choose(&helpers, 350, &tried, now)) != NULL) {
            helpers_tried_add(&tried, member);
            if (strcmp(member->dc, "dc-0") != 0) {
                helpers_note_served(&helpers, member->peer_addr, now);
                break;
            }
            helpers_avoid(&helpers, member->peer_addr, now);
            refused++;
        }
        *unserved += member == NULL ? 1 : 0;
    }
    return refused;
}

/* Guards against requests that only ask hosts that are cut off as well. */
START_TEST(hosts_of_another_data_centre_are_found_in_a_large_fleet)
{
    int unserved;
    set_members(350, 9);
    int refused = play_cut_data_centre(300, &unserved);
    ck_assert_int_eq(unserved, 0);
    ck_assert_int_le(refused, 30);
}
END_TEST

/* Guards against records of hosts that grow without bound. */
START_TEST(records_are_bounded_and_those_in_use_stay)
{
    helpers_t helpers = {0};
    set_members(350, 1);
    helpers_begin(&helpers, members[1].peer_addr, 0);
    for (int i = 2; i < 350; i++) {
        helpers_avoid(&helpers, members[i].peer_addr, i);
    }
    ck_assert_uint_eq(helpers.count, HELPERS_MAX);
    ck_assert_int_eq(helpers.list[0].running, 1);
    helpers_end(&helpers, members[1].peer_addr);
    ck_assert_int_eq(helpers.list[0].running, 0);
}
END_TEST

/* Guards against a stream that is forwarded again to a host that was killed,
 * before its connections show that, and so uses up its attempts. */
START_TEST(a_host_whose_answer_broke_off_is_chosen_last)
{
    helpers_t helpers = {0};
    helpers_tried_t tried = {0};
    set_members(3, 1);
    for (int i = 0; i < 10; i++) {
        helpers_begin(&helpers, members[2].peer_addr, 0);
    }
    helpers_note_served(&helpers, members[1].peer_addr, 0);
    ck_assert_ptr_eq(choose(&helpers, 3, &tried, 0), &members[1]);
    helpers_tried_add(&tried, &members[1]);
    helpers_tried_set_broken(&tried, members[1].peer_addr);
    for (int i = 0; i < 20; i++) {
        ck_assert_ptr_eq(choose(&helpers, 3, &tried, 0), &members[2]);
    }
    helpers_tried_add(&tried, &members[2]);
    ck_assert_ptr_eq(choose(&helpers, 3, &tried, 0), &members[1]);
}
END_TEST

/* Guards against a request that has nowhere to go since the server of the
 * only other host crashed. */
START_TEST(a_host_whose_server_failed_may_be_chosen_again)
{
    helpers_t helpers = {0};
    helpers_tried_t tried = {0};
    set_members(3, 1);
    helpers_note_served(&helpers, members[1].peer_addr, 1);
    ck_assert_ptr_eq(choose(&helpers, 2, &tried, 1), &members[1]);
    helpers_tried_add(&tried, &members[1]);
    helpers_tried_remove(&tried, members[1].peer_addr);
    helpers_note_broken(&helpers, members[1].peer_addr);
    ck_assert_ptr_eq(choose(&helpers, 2, &tried, 1), &members[1]);
    helpers_note_served(&helpers, members[2].peer_addr, 1);
    ck_assert_ptr_eq(choose(&helpers, 3, &tried, 1), &members[2]);
}
END_TEST

/* Guards against streams that are taken from silent servers for the sake of
 * hosts that wait for the same servers. */
START_TEST(streams_move_only_to_hosts_that_may_serve)
{
    helpers_t helpers = {0};
    set_members(3, 1);
    ck_assert(helpers_may_serve(&helpers, 0));
    helpers_begin(&helpers, members[1].peer_addr, 0);
    ck_assert(!helpers_may_serve(&helpers, 100));
    helpers_note_served(&helpers, members[1].peer_addr, 200);
    ck_assert(helpers_may_serve(&helpers, 200));
    helpers_end(&helpers, members[1].peer_addr);
    helpers_avoid(&helpers, members[1].peer_addr, 300);
    ck_assert(!helpers_may_serve(&helpers, 1299));
    ck_assert(helpers_may_serve(&helpers, 1300));
}
END_TEST

/* Guards against requests that are rejected because the other hosts reach no
 * server of another service. */
START_TEST(a_host_without_one_service_serves_the_others)
{
    helpers_t helpers = {0};
    const helpers_tried_t tried = {0};
    const char *addr;
    set_members(2, 1);
    addr = members[1].peer_addr;
    helpers_avoid_service(&helpers, addr, SERVICE + 1, 0);
    ck_assert_ptr_eq(choose(&helpers, 2, &tried, 1), &members[1]);
    helpers_avoid_service(&helpers, addr, SERVICE, 100);
    ck_assert_ptr_null(choose(&helpers, 2, &tried, 1099));
    ck_assert_ptr_eq(choose(&helpers, 2, &tried, 1100), &members[1]);
    /* Of more services than are remembered, the last ones are. */
    helpers_avoid_service(&helpers, addr, SERVICE, 2000);
    for (uint64_t i = 1; i <= HELPER_SERVICES_MAX; i++) {
        helpers_avoid_service(&helpers, addr, SERVICE + i, 2000 + (int64_t)i);
    }
    ck_assert_ptr_eq(choose(&helpers, 2, &tried, 2010), &members[1]);
    helpers_avoid_service(&helpers, addr, SERVICE, 2010);
    ck_assert_ptr_null(choose(&helpers, 2, &tried, 2020));
    ck_assert(helpers_may_serve(&helpers, 2020));
}
END_TEST

TEST_MAIN("helpers", a_host_without_one_service_serves_the_others,
          a_host_whose_answer_broke_off_is_chosen_last,
          only_live_hosts_that_serve_are_chosen,
          requests_are_spread_over_hosts, few_requests_stay_in_the_data_centre,
          hosts_of_another_data_centre_are_found_in_a_large_fleet,
          records_are_bounded_and_those_in_use_stay,
          a_host_whose_server_failed_may_be_chosen_again,
          streams_move_only_to_hosts_that_may_serve)
