#include "../relay/watch-duty.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

static const watch_avoided_t none_avoided;

static member_t
make_owner(const char *name, const char *dc)
{
    member_t member = {0};
    str_copy(member.name, sizeof(member.name), name);
    str_copy(member.dc, sizeof(member.dc), dc);
    return member;
}

/* The store's rate limit does not grow with the fleet: few daemons watch, and
 * none has more followers than it can answer. */
START_TEST(watchers_are_few_and_followers_bounded)
{
    ck_assert_uint_eq(watch_duty_count(1), 0);
    ck_assert_uint_eq(watch_duty_count(8), 0);
    ck_assert_uint_eq(watch_duty_count(9), 2);
    ck_assert_uint_eq(watch_duty_count(31), 2);
    for (size_t daemons = 9; daemons <= 350; daemons++) {
        size_t count = watch_duty_count(daemons);
        ck_assert_uint_ge(count, 2);
        ck_assert_uint_le(count, WATCHERS_MAX);
        ck_assert_uint_le(daemons / count, 32);
    }
}
END_TEST

/* A watcher watches the store itself; the others follow a watcher in their own
 * data centre if there is one. */
START_TEST(watcher_in_own_dc_is_preferred)
{
    member_t owners[] = {make_owner("a-1", "dc-a"), make_owner("b-1", "dc-b"),
                         make_owner("b-2", "dc-b")};
    ck_assert_ptr_null(
        watch_duty_choose(owners, 3, "b-1", "dc-b", &none_avoided, 0));
    ck_assert_ptr_null(
        watch_duty_choose(owners, 0, "x", "dc-a", &none_avoided, 0));
    ck_assert_str_eq(
        watch_duty_choose(owners, 3, "a-7", "dc-a", &none_avoided, 0)->name,
        "a-1");
    ck_assert_str_eq(
        watch_duty_choose(owners, 3, "b-7", "dc-b", &none_avoided, 0)->dc,
        "dc-b");
    ck_assert_ptr_nonnull(
        watch_duty_choose(owners, 3, "c-1", "dc-c", &none_avoided, 0));
}
END_TEST

/* Of equal watchers none gets nearly all followers. */
START_TEST(followers_spread_evenly)
{
    member_t owners[] = {make_owner("b-1", "dc-b"), make_owner("b-2", "dc-b")};
    int first = 0;
    for (int i = 0; i < 200; i++) {
        char name[32];
        (void)snprintf(name, sizeof(name), "b-%d", i + 10);
        first += watch_duty_choose(owners, 2, name, "dc-b", &none_avoided,
                                   0) == &owners[0];
    }
    ck_assert_int_gt(first, 60);
    ck_assert_int_lt(first, 140);
}
END_TEST

/* Guards against followers that all poll the store as soon as their watcher
 * cannot reach it: followers go to another watcher, and return later. */
START_TEST(failed_watcher_is_avoided)
{
    member_t owners[] = {make_owner("a-1", "dc-a"), make_owner("b-1", "dc-b"),
                         make_owner("b-2", "dc-b")};
    watch_avoided_t avoided = {0};
    int64_t now = 50000;
    watch_duty_avoid(&avoided, "a-1", now);
    const member_t *next =
        watch_duty_choose(owners, 3, "a-7", "dc-a", &avoided, now);
    ck_assert_ptr_nonnull(next);
    ck_assert_str_eq(next->dc, "dc-b");
    watch_duty_avoid(&avoided, "b-1", now);
    watch_duty_avoid(&avoided, "b-2", now);
    watch_duty_avoid(&avoided, "b-2", now);
    ck_assert_ptr_null(
        watch_duty_choose(owners, 3, "a-7", "dc-a", &avoided, now));
    next = watch_duty_choose(owners, 3, "a-7", "dc-a", &avoided, now + 2000);
    ck_assert_str_eq(next->name, "a-1");
}
END_TEST

TEST_MAIN("watch-duty", watchers_are_few_and_followers_bounded,
          watcher_in_own_dc_is_preferred, followers_spread_evenly,
          failed_watcher_is_avoided)
