#include "../relay/watch-duty.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

static const watch_avoided_t none;

static member_t
owner(const char *name, const char *dc)
{
    member_t member = {0};
    str_copy(member.name, sizeof(member.name), name);
    str_copy(member.dc, sizeof(member.dc), dc);
    return member;
}

/* The store's rate does not grow with the fleet: few watch, and none of them
 * is asked by more daemons than it can answer. */
START_TEST(few_watch_and_none_has_too_many_followers)
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

/* A daemon with the duty watches itself; others hear from one in their own
 * data centre where there is one. */
START_TEST(the_nearest_watcher_is_followed)
{
    member_t owners[] = {owner("a-1", "dc-a"), owner("b-1", "dc-b"),
                         owner("b-2", "dc-b")};
    ck_assert_ptr_null(watch_duty_choose(owners, 3, "b-1", "dc-b", &none, 0));
    ck_assert_ptr_null(watch_duty_choose(owners, 0, "x", "dc-a", &none, 0));
    ck_assert_str_eq(
        watch_duty_choose(owners, 3, "a-7", "dc-a", &none, 0)->name, "a-1");
    ck_assert_str_eq(watch_duty_choose(owners, 3, "b-7", "dc-b", &none, 0)->dc,
                     "dc-b");
    ck_assert_ptr_nonnull(
        watch_duty_choose(owners, 3, "c-1", "dc-c", &none, 0));
}
END_TEST

/* Of equal watchers none gets nearly all of the others. */
START_TEST(followers_spread)
{
    member_t owners[] = {owner("b-1", "dc-b"), owner("b-2", "dc-b")};
    int first = 0;
    for (int i = 0; i < 200; i++) {
        char name[32];
        (void)snprintf(name, sizeof(name), "b-%d", i + 10);
        first +=
            watch_duty_choose(owners, 2, name, "dc-b", &none, 0) == &owners[0];
    }
    ck_assert_int_gt(first, 60);
    ck_assert_int_lt(first, 140);
}
END_TEST

/* Guards against a fleet that asks a store which has turned one watcher away:
 * its followers go to the next watcher, and come back to it later. */
START_TEST(a_watcher_that_lost_the_store_is_passed_over)
{
    member_t owners[] = {owner("a-1", "dc-a"), owner("b-1", "dc-b"),
                         owner("b-2", "dc-b")};
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

TEST_MAIN("watch-duty", few_watch_and_none_has_too_many_followers,
          the_nearest_watcher_is_followed, followers_spread,
          a_watcher_that_lost_the_store_is_passed_over)
