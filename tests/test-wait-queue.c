#include "wait-fleet.h"

#include <time.h>

#define DEADLINE_MS 1000000
/* AddressSanitizer makes the code several times slower. */
#ifdef __SANITIZE_ADDRESS__
#define PUSH_AND_TAKE_MAX_US 50
#else
#define PUSH_AND_TAKE_MAX_US 10
#endif
/* For small fleets results are summed over more seeds, as few callers are in
 * each run. */
static const struct {
    size_t hosts;
    uint64_t seeds;
} fleets[] = {{4, 24}, {35, 4}, {350, 1}};
#define FLEETS (sizeof(fleets) / sizeof(fleets[0]))

static wait_queue_t queue;
static wait_item_t pool[2 * WAIT_ITEMS_MAX];
static size_t pool_used;

static void
start(void)
{
    wait_queue_init(&queue);
    memset(pool, 0, sizeof(pool));
    pool_used = 0;
}

static wait_item_t *
make(unsigned priority_class, uint64_t workspace, double cost)
{
    ck_assert_uint_lt(pool_used, 2 * WAIT_ITEMS_MAX);
    wait_item_t *item = &pool[pool_used++];
    *item = (wait_item_t){.priority_class = priority_class,
                          .workspace = workspace,
                          .cost = cost,
                          .arrived_ms = (int64_t)pool_used,
                          .deadline_ms = DEADLINE_MS};
    return item;
}

static wait_item_t *
push(unsigned priority_class, uint64_t workspace, double cost)
{
    wait_item_t *evicted;
    wait_item_t *item = make(priority_class, workspace, cost);
    ck_assert(wait_queue_push(&queue, item, 0, &evicted));
    ck_assert_ptr_null(evicted);
    return item;
}

/* Places the first item and returns it. */
static wait_item_t *
take(void)
{
    wait_item_t *item = wait_queue_first(&queue);
    ck_assert_ptr_nonnull(item);
    wait_queue_remove(&queue, item, true);
    return item;
}

START_TEST(more_urgent_classes_go_first)
{
    start();
    wait_item_t *third = push(3, 1, 1);
    wait_item_t *second = push(2, 1, 1);
    wait_item_t *first = push(0, 2, 1000);
    ck_assert_uint_eq(wait_queue_count(&queue, 2), 1);
    ck_assert_ptr_eq(take(), first);
    ck_assert_ptr_eq(take(), second);
    ck_assert_ptr_eq(take(), third);
    ck_assert_uint_eq(wait_queue_total(&queue), 0);
    ck_assert_ptr_null(wait_queue_first(&queue));
}
END_TEST

/* Guards against a workspace that delays others by sending many requests, or
 * requests that cost more. */
START_TEST(a_flood_delays_only_its_own_workspace)
{
    start();
    int small = 0;
    for (int i = 0; i < 100; i++) {
        push(1, 1, 200);
    }
    for (int i = 0; i < 10; i++) {
        push(1, 2, 100);
    }
    for (int i = 0; i < 16; i++) {
        small += take()->workspace == 2;
    }
    ck_assert_int_eq(small, 10);
}
END_TEST

/* Guards against a workspace that comes back after an idle time and passes all
 * others for as long as it was idle. */
START_TEST(an_idle_workspace_gains_no_credit)
{
    start();
    push(1, 2, 100);
    (void)take();
    for (int i = 0; i < 50; i++) {
        push(1, 1, 100);
        (void)take();
    }
    int idle = 0;
    for (int i = 0; i < 20; i++) {
        push(1, 1, 100);
        push(1, 2, 100);
    }
    for (int i = 0; i < 20; i++) {
        idle += take()->workspace == 2;
    }
    ck_assert_int_ge(idle, 9);
    ck_assert_int_le(idle, 11);
}
END_TEST

/* Guards against losing the time that a caller has waited at another host. */
START_TEST(the_longest_total_wait_goes_first_in_a_workspace)
{
    start();
    wait_item_t *evicted;
    wait_item_t *fresh = push(1, 1, 100);
    wait_item_t *returned = make(1, 1, 100);
    returned->waited_ms = 500;
    ck_assert(wait_queue_push(&queue, returned, 0, &evicted));
    wait_item_t *other = push(1, 2, 100);
    ck_assert_ptr_eq(take(), returned);
    ck_assert_ptr_eq(take(), other);
    ck_assert_ptr_eq(take(), fresh);
}
END_TEST

/* Guards against charging a workspace for a request that was not placed. */
START_TEST(an_item_that_leaves_is_not_charged)
{
    start();
    wait_item_t *leaves = push(1, 1, 1000);
    wait_item_t *stays = push(1, 1, 100);
    wait_item_t *other = push(1, 2, 100);
    wait_queue_remove(&queue, leaves, false);
    wait_queue_remove(&queue, leaves, false);
    ck_assert_uint_eq(wait_queue_total(&queue), 2);
    ck_assert_ptr_eq(take(), stays);
    ck_assert_ptr_eq(take(), other);
    ck_assert_uint_eq(queue.classes[1].counters.left, 1);
}
END_TEST

/* Guards against a workspace that gets more than its share because its small
 * requests are placed past a large one that does not fit yet. */
START_TEST(an_item_placed_out_of_order_is_charged)
{
    start();
    wait_item_t *large = push(1, 1, 1000);
    wait_item_t *passes = push(1, 1, 100);
    wait_item_t *other = push(1, 2, 50);
    ck_assert_ptr_eq(wait_queue_first(&queue), large);
    ck_assert_ptr_eq(wait_queue_next(&queue, large), other);
    ck_assert_ptr_eq(wait_queue_next(&queue, other), passes);
    wait_queue_remove(&queue, passes, true);
    ck_assert_ptr_eq(take(), other);
    ck_assert_ptr_eq(take(), large);
}
END_TEST

/* Random items are pushed, placed and leave.  The order shown by
 * wait_queue_next must be the one in which items are then placed. */
START_TEST(the_order_shown_is_the_order_of_placing)
{
    for (uint64_t seed = 1; seed <= 200; seed++) {
        rng_t rng = {seed};
        wait_item_t *shown[WAIT_ITEMS_MAX];
        size_t count = 0;
        start();
        for (int i = 0; i < 200; i++) {
            wait_item_t *evicted;
            wait_item_t *item =
                make((unsigned)rng_below(&rng, 4), rng_below(&rng, 6),
                     (double)rng_below(&rng, 1000));
            item->waited_ms = (int64_t)rng_below(&rng, 300);
            ck_assert(wait_queue_push(&queue, item, 0, &evicted));
            item = &pool[rng_below(&rng, pool_used)];
            if (rng_below(&rng, 3) == 0) {
                wait_queue_remove(&queue, item, rng_below(&rng, 2) == 0);
            }
        }
        for (wait_item_t *item = wait_queue_first(&queue); item != NULL;
             item = wait_queue_next(&queue, item)) {
            shown[count++] = item;
        }
        ck_assert_uint_eq(count, wait_queue_total(&queue));
        for (size_t i = 0; i < count; i++) {
            ck_assert_ptr_eq(take(), shown[i]);
        }
    }
}
END_TEST

static void
fill(unsigned priority_class, uint64_t workspace)
{
    while (wait_queue_total(&queue) < WAIT_ITEMS_MAX) {
        push(priority_class, workspace, 100);
    }
}

/* Guards against a full queue that rejects urgent requests or those of a
 * workspace with few, while a flood holds all places. */
START_TEST(a_full_queue_makes_room_for_more_urgent_or_fairer_items)
{
    start();
    wait_item_t *evicted;
    wait_item_t *small = push(2, 2, 100);
    fill(2, 1);
    wait_item_t *newest = &pool[pool_used - 1];
    ck_assert(!wait_queue_push(&queue, make(2, 1, 100), 0, &evicted));
    ck_assert(!wait_queue_push(&queue, make(3, 3, 100), 0, &evicted));
    ck_assert_ptr_null(evicted);
    ck_assert(wait_queue_push(&queue, make(0, 1, 100), 0, &evicted));
    ck_assert_ptr_eq(evicted, newest);
    ck_assert(wait_queue_push(&queue, make(2, 3, 100), 0, &evicted));
    ck_assert_ptr_eq(evicted, newest - 1);
    wait_item_t *returned = make(2, 1, 100);
    returned->waited_ms = 100000;
    ck_assert(wait_queue_push(&queue, returned, 0, &evicted));
    ck_assert_ptr_eq(evicted, newest - 2);
    small->deadline_ms = 10;
    ck_assert_ptr_null(wait_queue_expired(&queue, 9));
    ck_assert(wait_queue_push(&queue, make(3, 3, 100), 10, &evicted));
    ck_assert_ptr_eq(evicted, small);
    ck_assert_uint_eq(wait_queue_total(&queue), WAIT_ITEMS_MAX);
    ck_assert_uint_eq(queue.classes[2].counters.evicted, 4);
}
END_TEST

START_TEST(an_item_whose_wait_has_ended_is_rejected)
{
    start();
    wait_item_t *evicted;
    wait_item_t *late = make(0, 1, 1);
    late->deadline_ms = 50;
    ck_assert(!wait_queue_push(&queue, late, 50, &evicted));
    ck_assert_uint_eq(queue.classes[0].counters.rejected, 1);
}
END_TEST

/* Guards against running out of state, and against forgetting the debt of a
 * workspace that others with a single request displace. */
START_TEST(many_workspaces_change_no_order)
{
    start();
    push(1, 1, 1000);
    push(1, 1, 1000);
    wait_item_t *third = push(1, 1, 1000);
    (void)take();
    (void)take();
    for (uint64_t workspace = 10; workspace < 20010; workspace++) {
        pool_used = 3;
        wait_item_t *item = push(1, workspace, 1);
        ck_assert_ptr_eq(take(), item);
    }
    pool_used = 3;
    wait_item_t *more = push(1, 1, 1000);
    wait_item_t *other = push(1, 2, 100);
    ck_assert_ptr_eq(take(), other);
    ck_assert_ptr_eq(take(), third);
    ck_assert_ptr_eq(take(), more);
}
END_TEST

/* Returns the time in us of a push and a take at a full queue of items of some
 * workspaces.  The best of some rounds counts, since other processes slow some
 * of them down. */
static double
push_and_take_us(uint64_t workspaces)
{
    enum { ROUNDS = 10, STEPS = 2000 };
    double best_us = INFINITY;
    rng_t rng = {1};
    start();
    while (wait_queue_total(&queue) < WAIT_ITEMS_MAX - 1) {
        push(1, rng_below(&rng, workspaces),
             100 + (double)rng_below(&rng, 900));
    }
    wait_item_t *item = make(1, 1, 100);
    for (int round = 0; round < ROUNDS; round++) {
        clock_t started = clock();
        for (int i = 0; i < STEPS; i++) {
            wait_item_t *evicted;
            item->workspace = rng_below(&rng, workspaces);
            item->waited_ms = (int64_t)rng_below(&rng, 1000);
            ck_assert(wait_queue_push(&queue, item, i, &evicted));
            item = take();
        }
        double us = (double)(clock() - started) * 1e6 / CLOCKS_PER_SEC / STEPS;
        best_us = fmin(best_us, us);
    }
    return best_us;
}

/* Guards against a queue whose work per request grows with its length beyond
 * what the control budget of a host allows. */
START_TEST(push_and_take_are_cheap)
{
    ck_assert_double_le(push_and_take_us(20000), PUSH_AND_TAKE_MAX_US);
    ck_assert_double_le(push_and_take_us(1), PUSH_AND_TAKE_MAX_US);
}
END_TEST

static void
push_and_remove(int times, uint64_t workspace, bool placed)
{
    for (int i = 0; i < times; i++) {
        wait_queue_remove(&queue, push(1, workspace, 100), placed);
        pool_used--;
    }
}

/* Guards against holding back a workspace while there is capacity for all, or
 * only its own requests are rejected, and against holding back those with
 * little demand. */
START_TEST(only_a_workspace_that_displaces_others_is_over_its_share)
{
    start();
    wait_item_t *heavy = push(1, 1, 100);
    wait_item_t *light = push(1, 2, 100);
    push_and_remove(80, 1, true);
    push_and_remove(20, 2, true);
    ck_assert(!wait_queue_over_share(&queue, heavy));
    ck_assert(!wait_queue_over_share(&queue, light));
    push_and_remove(50, 1, false);
    ck_assert(!wait_queue_over_share(&queue, heavy));
    push_and_remove(10, 2, false);
    ck_assert(wait_queue_over_share(&queue, heavy));
    ck_assert(!wait_queue_over_share(&queue, light));
}
END_TEST

/* Guards against weights of recent costs that overflow on a host that runs for
 * days. */
START_TEST(shares_hold_on_a_host_that_runs_for_days)
{
    start();
    for (int64_t now_ms = 0; now_ms < 200000000; now_ms += 50) {
        wait_item_t *evicted;
        wait_item_t *item = make(1, now_ms % 200 == 0 ? 2 : 1, 100);
        item->deadline_ms = now_ms + 1;
        ck_assert(wait_queue_push(&queue, item, now_ms, &evicted));
        wait_queue_remove(&queue, item, now_ms % 150 != 0);
        pool_used--;
    }
    wait_item_t *heavy = push(1, 1, 100);
    wait_item_t *light = push(1, 2, 100);
    ck_assert(wait_queue_over_share(&queue, heavy));
    ck_assert(!wait_queue_over_share(&queue, light));
}
END_TEST

/* Runs fleets with some load, and returns what callers of the workspaces other
 * than the heavy one got. */
static fleet_result_t
run_others(size_t index, double load, size_t kind, double heavy_load)
{
    fleet_result_t sum = {0};
    for (uint64_t seed = 1; seed <= fleets[index].seeds; seed++) {
        fleet_t *fleet = fleet_new(fleets[index].hosts, seed);
        fleet->load = load;
        fleet->heavy_load[kind] = heavy_load;
        fleet_run(fleet);
        fleet_result_t others = fleet_sum(fleet, kind, 1, false);
        fleet_add(&sum, &others);
        free(fleet);
    }
    return sum;
}

/* Guards against a workspace with five times its usual load that displaces the
 * others, although hosts know nothing of each other's queues. */
START_TEST(others_are_served_as_with_the_heavy_workspace_at_its_usual_load)
{
    static const double loads[FLEET_KINDS] = {2, 1.25};
    for (size_t i = 0; i < FLEETS; i++) {
        for (size_t kind = 0; kind < FLEET_KINDS; kind++) {
            double usual =
                fleet_served_share(run_others(i, loads[kind], kind, 1));
            double heavy =
                fleet_served_share(run_others(i, loads[kind], kind, 5));
            ck_assert_double_ge(heavy, usual - 0.04);
        }
    }
}
END_TEST

/* The simulation checks on each placement that nobody waits past its deadline,
 * that no more urgent item waits and none of the same workspace for longer.
 * Here the most urgent class is served better, also while half of the hosts
 * die with their queues and their callers come back at once. */
START_TEST(order_and_bounds_hold_under_load_and_failure)
{
    for (size_t i = 0; i < FLEETS; i++) {
        for (int64_t down_ms = 0; down_ms <= 5000; down_ms += 5000) {
            fleet_t *fleet = fleet_new(fleets[i].hosts, 1);
            fleet->load = 1.5;
            fleet->heavy_load[0] = 5;
            fleet->heavy_load[1] = 5;
            fleet->down_ms = down_ms;
            fleet_run(fleet);
            fleet_result_t urgent = fleet_sum(fleet, 0, 0, false);
            fleet_result_t others = fleet_sum(fleet, 0, 1, false);
            fleet_result_t less_urgent = fleet_sum(fleet, 1, 0, false);
            ck_assert_double_gt(fleet_served_share(urgent), 0.9);
            ck_assert_double_gt(fleet_served_share(others), 0.99);
            ck_assert_double_lt(fleet_served_share(less_urgent),
                                fleet_served_share(urgent));
            ck_assert_uint_le(fleet->longest_queue, WAIT_ITEMS_MAX / 2);
            free(fleet);
        }
    }
}
END_TEST

/* Guards against an explanation of a place in the queue that differs from the
 * place that a request gets, or that changes the queue. */
START_TEST(the_place_foretold_is_the_place_given)
{
    rng_t rng = {7};
    start();
    for (int i = 0; i < 480; i++) {
        wait_item_t *item =
            make((unsigned)rng_below(&rng, 3), 1 + rng_below(&rng, 6),
                 1 + (double)rng_below(&rng, 500));
        item->waited_ms = (int64_t)rng_below(&rng, 2000);
        static wait_queue_t before;
        before = queue;
        size_t foretold = wait_queue_count_ahead(&queue, item);
        bool accepted = wait_queue_would_accept(&queue, item, 0);
        ck_assert_mem_eq(&before, &queue, sizeof(queue));
        wait_item_t *evicted;
        ck_assert(wait_queue_push(&queue, item, 0, &evicted) == accepted);
        if (!accepted) {
            continue;
        }
        size_t ahead = 0;
        const wait_item_t *other = wait_queue_first(&queue);
        for (; other != item;
             other = wait_queue_next(&queue, (wait_item_t *)other)) {
            ahead++;
        }
        if (evicted == NULL) {
            ck_assert_uint_eq(foretold, ahead);
        }
        if (rng_below(&rng, 4) == 0) {
            (void)take();
        }
    }
}
END_TEST

TEST_MAIN("wait-queue", the_place_foretold_is_the_place_given,
          more_urgent_classes_go_first, a_flood_delays_only_its_own_workspace,
          an_idle_workspace_gains_no_credit,
          the_longest_total_wait_goes_first_in_a_workspace,
          an_item_that_leaves_is_not_charged,
          an_item_placed_out_of_order_is_charged,
          the_order_shown_is_the_order_of_placing,
          a_full_queue_makes_room_for_more_urgent_or_fairer_items,
          an_item_whose_wait_has_ended_is_rejected,
          many_workspaces_change_no_order, push_and_take_are_cheap,
          only_a_workspace_that_displaces_others_is_over_its_share,
          shares_hold_on_a_host_that_runs_for_days,
          others_are_served_as_with_the_heavy_workspace_at_its_usual_load,
          order_and_bounds_hold_under_load_and_failure)
