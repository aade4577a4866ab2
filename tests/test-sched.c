#include "../kernel/tables.h"
#include "test.h"

#include <string.h>

#define ITEMS_MAX 400

static sched_item_t *
item_new(const char *workspace, int share, double cost)
{
    sched_item_t *item = mem_zalloc(sizeof(*item));
    str_copy(item->workspace, sizeof(item->workspace), workspace);
    item->share = share;
    item->cost = cost;
    item->deadline_ms = 1000000;
    return item;
}

static void
drain(sched_t *sched)
{
    sched_item_t *item;
    while ((item = sched_pop(sched)) != NULL) {
        free(item);
    }
    sched_free(sched);
}

/* Guards against a workspace that gets no answers while a larger one floods
 * the queue.  The flood is queued first, the small workspace's few requests
 * behind it.  Fair queueing must serve the small workspace at its share. */
START_TEST(a_flooding_workspace_does_not_starve_a_small_one)
{
    sched_t *sched = sched_new(&(sched_opts_t){.total_max = ITEMS_MAX});
    sched_item_t *evicted;
    for (int i = 0; i < ITEMS_MAX - 20; i++) {
        ck_assert(sched_push(sched, item_new("big", 1, 100), &evicted));
    }
    for (int i = 0; i < 10; i++) {
        ck_assert(sched_push(sched, item_new("small", 1, 100), &evicted));
    }
    int small = 0;
    for (int i = 0; i < 21; i++) {
        sched_item_t *item = sched_pop(sched);
        small += strcmp(item->workspace, "small") == 0;
        free(item);
    }
    ck_assert_int_eq(small, 10);
    drain(sched);
}
END_TEST

START_TEST(workspaces_are_served_by_their_shares)
{
    sched_t *sched = sched_new(&(sched_opts_t){.total_max = ITEMS_MAX});
    sched_item_t *evicted;
    for (int i = 0; i < 90; i++) {
        ck_assert(sched_push(sched, item_new("three", 3, 10), &evicted));
        ck_assert(sched_push(sched, item_new("one", 1, 10), &evicted));
    }
    int three = 0;
    for (int i = 0; i < 80; i++) {
        sched_item_t *item = sched_pop(sched);
        three += strcmp(item->workspace, "three") == 0;
        free(item);
    }
    ck_assert_int_ge(three, 58);
    ck_assert_int_le(three, 62);
    drain(sched);
}
END_TEST

/* Guards against rejecting a workspace with little load because others have
 * filled the queue.  When the queue is full, the newest request of the
 * workspace with the largest backlog must be evicted instead. */
START_TEST(a_full_queue_evicts_the_newest_of_the_largest_backlog)
{
    sched_t *sched = sched_new(&(sched_opts_t){.total_max = 10});
    sched_item_t *evicted;
    sched_item_t *last = NULL;
    for (int i = 0; i < 10; i++) {
        last = item_new("big", 1, 100);
        ck_assert(sched_push(sched, last, &evicted));
    }
    sched_item_t *more = item_new("big", 1, 100);
    ck_assert(!sched_push(sched, more, &evicted));
    free(more);
    ck_assert(sched_push(sched, item_new("small", 1, 100), &evicted));
    ck_assert_ptr_eq(evicted, last);
    free(evicted);
    ck_assert_uint_eq(sched_waiting_count(sched), 10);
    drain(sched);
}
END_TEST

/* Guards against a request that waits for seconds although its turn is next:
 * it is repeatedly taken to be placed again and put back, and its workspace is
 * charged as if served each time.  Taking and putting back must leave the
 * order unchanged. */
START_TEST(placing_an_item_again_keeps_its_turn)
{
    sched_t *sched = sched_new(&(sched_opts_t){.total_max = 10});
    sched_item_t *evicted;
    sched_item_t *first = NULL;
    ck_assert(sched_push(sched, item_new("small", 1, 10), &evicted));
    ck_assert(sched_push(sched, item_new("small", 1, 10), &evicted));
    ck_assert(sched_push(sched, item_new("big", 1, 15), &evicted));
    ck_assert(sched_push(sched, item_new("big", 1, 15), &evicted));
    for (int i = 1; i < 50; i++) {
        sched_item_t *item = sched_take_stale(sched, i);
        first = first == NULL ? item : first;
        ck_assert_ptr_eq(item, first);
        item->placed_ms = i;
        sched_put_back(sched, item);
        ck_assert_ptr_null(sched_take_stale(sched, i - 1));
    }
    ck_assert_ptr_eq(sched_pop(sched), first);
    free(first);
    drain(sched);
}
END_TEST

START_TEST(expired_items_are_found_at_any_position)
{
    sched_t *sched = sched_new(&(sched_opts_t){.total_max = 10});
    sched_item_t *evicted;
    sched_item_t *expired = item_new("w", 1, 10);
    ck_assert(sched_push(sched, item_new("w", 1, 10), &evicted));
    expired->deadline_ms = 5;
    ck_assert(sched_push(sched, expired, &evicted));
    ck_assert_ptr_null(sched_take_expired(sched, 4));
    ck_assert_ptr_eq(sched_take_expired(sched, 5), expired);
    free(expired);
    ck_assert(sched_retry_after_s(sched, 10) >= 1);
    drain(sched);
}
END_TEST

/* Guards against a retry budget that one failed server exhausts.  With one of
 * nine servers frozen, a ninth of all requests need a retry; a budget that
 * started empty and earned a tenth per request ran out, and callers got the
 * outcome "unknown" although eight servers were free.  The budget starts with
 * enough for one failed server, then limits retries to a fifth of first
 * attempts. */
START_TEST(retries_are_a_burst_then_a_fifth_of_first_attempts)
{
    retry_budget_t budget;
    int granted = 0;
    retry_budget_init(&budget);
    for (int i = 0; i < 60; i++) {
        granted += retry_budget_try_spend(&budget);
    }
    ck_assert_int_eq(granted, 50);
    granted = 0;
    for (int i = 0; i < 1000; i++) {
        retry_budget_earn(&budget);
        granted += retry_budget_try_spend(&budget);
    }
    ck_assert_int_ge(granted, 195);
    ck_assert_int_le(granted, 200);
}
END_TEST

TEST_MAIN("sched", a_flooding_workspace_does_not_starve_a_small_one,
          workspaces_are_served_by_their_shares,
          a_full_queue_evicts_the_newest_of_the_largest_backlog,
          placing_an_item_again_keeps_its_turn,
          expired_items_are_found_at_any_position,
          retries_are_a_burst_then_a_fifth_of_first_attempts)
