#include "../relay/lease.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

/* Seeded histories of a few daemons and a store in virtual time: answers that
 * are lost, writes that are done seconds later if their condition still
 * holds, reads that are behind, daemons that freeze and that are restarted. */

#define DAEMONS 4
#define SPAN_MS 3000
#define STEP_MS 20
#define RUN_MS 60000
#define LATE_MAX 16

typedef struct {
    bool used;
    int64_t due_ms;
    int64_t revision; /* that it must still have */
    char holder[LEASE_HOLDER_MAX];
    int64_t fence;
    int64_t writes;
} late_t;

typedef struct {
    rng_t rng;
    int64_t now_ms;
    bool exists;
    int64_t revision;
    int64_t fence;
    int64_t writes;
    char holder[LEASE_HOLDER_MAX];
    int64_t old_revision; /* what a read that is behind tells */
    int64_t old_fence;
    int64_t old_writes;
    char old_holder[LEASE_HOLDER_MAX];
    late_t late[LATE_MAX];
    lease_t leases[DAEMONS];
    int64_t frozen_ms[DAEMONS]; /* until then */
    unsigned starts;
    int acted; /* the daemon that acted last */
    int64_t highest_fence;
    unsigned acts;
} world_t;

static void
write_now(world_t *world, const char *holder, int64_t fence, int64_t writes)
{
    world->old_revision = world->revision;
    world->old_fence = world->fence;
    world->old_writes = world->writes;
    str_copy(world->old_holder, sizeof(world->old_holder), world->holder);
    world->exists = true;
    world->revision++;
    world->fence = fence;
    world->writes = writes;
    str_copy(world->holder, sizeof(world->holder), holder);
}

static void
write_late(world_t *world, const lease_t *lease)
{
    for (size_t i = 0; i < LATE_MAX; i++) {
        late_t *late = &world->late[i];
        if (late->used) {
            continue;
        }
        late->used = true;
        late->due_ms =
            world->now_ms + 500 + (int64_t)rng_below(&world->rng, 5500);
        late->revision = lease->revision;
        late->fence = lease->requested_fence;
        late->writes = lease->writes;
        str_copy(late->holder, sizeof(late->holder),
                 lease_requested_holder(lease));
        return;
    }
}

static void
do_late(world_t *world)
{
    for (size_t i = 0; i < LATE_MAX; i++) {
        late_t *late = &world->late[i];
        if (!late->used || world->now_ms < late->due_ms) {
            continue;
        }
        late->used = false;
        if (world->exists && late->revision == world->revision) {
            write_now(world, late->holder, late->fence, late->writes);
        }
    }
}

static void
daemon_start(world_t *world, int daemon)
{
    char name[32];
    (void)snprintf(name, sizeof(name), "d%d/%u", daemon, world->starts++);
    lease_init(&world->leases[daemon], name, SPAN_MS);
    lease_set_rank(&world->leases[daemon], (size_t)daemon);
}

static void
see(const world_t *world, lease_t *lease)
{
    lease_record_t view = {.revision = world->revision,
                           .holder = world->holder,
                           .fence = world->fence,
                           .writes = world->writes};
    lease_observe(lease, &view, world->now_ms);
}

static void
do_write(world_t *world, lease_t *lease, bool create)
{
    bool fits = create ? !world->exists
                       : world->exists && lease->revision == world->revision;
    uint64_t luck = rng_below(&world->rng, 100);
    if (luck < 10 && !create) {
        write_late(world, lease);
        lease_set_outcome_unknown(lease);
        return;
    }
    if (fits) {
        write_now(world, lease_requested_holder(lease), lease->requested_fence,
                  lease->writes);
    }
    if (luck < 25) {
        lease_set_outcome_unknown(lease);
        return;
    }
    see(world, lease);
}

static void
daemon_step(world_t *world, lease_t *lease)
{
    lease_step_t step = lease_next_step(lease, world->now_ms);
    if (step == LEASE_IDLE) {
        return;
    }
    lease_step_sent(lease, step, world->now_ms);
    if (rng_below(&world->rng, 100) < 5) {
        return; /* the store refused; nothing was done */
    }
    if (step != LEASE_READ) {
        do_write(world, lease, step == LEASE_CREATE);
    }
    else if (!world->exists) {
        lease_observe_absent(lease);
    }
    else if (rng_below(&world->rng, 100) < 20 && world->old_revision > 0) {
        lease_record_t view = {.revision = world->old_revision,
                               .holder = world->old_holder,
                               .fence = world->old_fence,
                               .writes = world->old_writes};
        lease_observe(lease, &view, world->now_ms);
    }
    else {
        see(world, lease);
    }
}

/* All that hold the lease now; one may act, and only under a number that no
 * other has acted under, and none higher. */
static void
check_holders(world_t *world, uint64_t seed)
{
    int holders = 0;
    for (int i = 0; i < DAEMONS; i++) {
        const lease_t *lease = &world->leases[i];
        if (world->now_ms < world->frozen_ms[i] ||
            !lease_is_held(lease, world->now_ms)) {
            continue;
        }
        holders++;
        ck_assert_msg(lease->fence >= world->highest_fence,
                      "seed %llu: fence %lld behind %lld",
                      (unsigned long long)seed, (long long)lease->fence,
                      (long long)world->highest_fence);
        ck_assert_msg(lease->fence > world->highest_fence || world->acted == i,
                      "seed %llu: two under one fence",
                      (unsigned long long)seed);
        world->highest_fence = lease->fence;
        world->acted = i;
        world->acts++;
    }
    ck_assert_msg(holders <= 1, "seed %llu: %d holders at %lld ms",
                  (unsigned long long)seed, holders, (long long)world->now_ms);
}

static void
trouble(world_t *world)
{
    int daemon = (int)rng_below(&world->rng, DAEMONS);
    switch (rng_below(&world->rng, 400)) {
        case 0:
            world->frozen_ms[daemon] =
                world->now_ms + (int64_t)rng_below(&world->rng, 8000);
            return;
        case 1:
            daemon_start(world, daemon);
            return;
        case 2:
            lease_release(&world->leases[daemon]);
            return;
        default:
            return;
    }
}

static unsigned
run(uint64_t seed)
{
    world_t *world = mem_zalloc(sizeof(*world));
    world->rng.state = seed;
    world->acted = -1;
    for (int i = 0; i < DAEMONS; i++) {
        daemon_start(world, i);
    }
    for (world->now_ms = 1; world->now_ms < RUN_MS; world->now_ms += STEP_MS) {
        do_late(world);
        trouble(world);
        for (int i = 0; i < DAEMONS; i++) {
            if (world->now_ms >= world->frozen_ms[i]) {
                daemon_step(world, &world->leases[i]);
            }
        }
        check_holders(world, seed);
    }
    unsigned acts = world->acts;
    free(world);
    return acts;
}

/* Two daemons order one server at the same time, or an older holder orders
 * behind a newer one.  The store loses answers and does writes late, daemons
 * freeze with the lease in hand and are restarted. */
START_TEST(one_holder_at_a_time)
{
    unsigned acts = 0;
    for (uint64_t seed = 1; seed <= 1000; seed++) {
        acts += run(seed);
    }
    /* It must be held most of the time: 3,000 steps a run. */
    ck_assert_uint_gt(acts, 1000 * 1200);
}
END_TEST

/* A host is stopped on purpose while it holds the lease.  Its successor need
 * not wait until the lease has run out. */
START_TEST(a_lease_that_is_given_back_is_free_at_once)
{
    lease_t lease;
    lease_init(&lease, "b/1", SPAN_MS);
    lease_step_sent(&lease, LEASE_READ, 10);
    lease_observe(&lease,
                  &(lease_record_t){
                      .revision = 7, .holder = "a/1", .fence = 3, .writes = 1},
                  12);
    ck_assert_int_eq(lease_next_step(&lease, 100), LEASE_IDLE);
    lease_observe(&lease,
                  &(lease_record_t){
                      .revision = 8, .holder = "", .fence = 3, .writes = 1},
                  900);
    ck_assert_int_eq(lease_next_step(&lease, 901), LEASE_WRITE);
    lease_step_sent(&lease, LEASE_WRITE, 901);
    ck_assert_int_eq(lease.requested_fence, 4);
    lease_observe(&lease,
                  &(lease_record_t){
                      .revision = 9, .holder = "b/1", .fence = 4, .writes = 1},
                  905);
    ck_assert(lease_is_held(&lease, 906));
}
END_TEST

/* The holder's process was suspended over the end of its lease.  It may not
 * act when it wakes, and takes the lease anew under a higher number. */
START_TEST(a_holder_that_slept_does_not_act)
{
    lease_t lease;
    lease_init(&lease, "a/1", SPAN_MS);
    lease_observe_absent(&lease);
    ck_assert_int_eq(lease_next_step(&lease, 1), LEASE_CREATE);
    lease_step_sent(&lease, LEASE_CREATE, 1);
    lease_observe(&lease,
                  &(lease_record_t){
                      .revision = 1, .holder = "a/1", .fence = 1, .writes = 1},
                  5);
    ck_assert(lease_is_held(&lease, 100));
    ck_assert(!lease_is_held(&lease, 5000));
    ck_assert_int_eq(lease_next_step(&lease, 5000), LEASE_WRITE);
    lease_step_sent(&lease, LEASE_WRITE, 5000);
    ck_assert_int_eq(lease.requested_fence, 2);
}
END_TEST

/* Two hosts order servers at once.  A host's write gets no answer and is done
 * late; a read that is behind hides it, so the host writes once more, is
 * refused, and is shown an object that names it.  It takes that for its last
 * write and counts its lease from there, while its successor counts from when
 * the first one was done. */
START_TEST(an_earlier_write_is_not_taken_for_the_last)
{
    lease_t lease;
    lease_record_t free = {.revision = 7, .holder = "", .fence = 3};
    lease_record_t first = {
        .revision = 8, .holder = "a/1", .fence = 4, .writes = 1};
    lease_init(&lease, "a/1", SPAN_MS);
    lease_observe(&lease, &free, 10);
    lease_step_sent(&lease, LEASE_WRITE, 1000);
    lease_set_outcome_unknown(&lease);
    lease_step_sent(&lease, LEASE_READ, 2000);
    lease_observe(&lease, &free, 2010);
    lease_step_sent(&lease, LEASE_WRITE, 3500);
    lease_observe(&lease, &first, 3510);
    ck_assert(!lease_is_held(&lease, 3520));
    ck_assert_int_eq(lease_next_step(&lease, 3520), LEASE_WRITE);
    lease_step_sent(&lease, LEASE_WRITE, 3520);
    ck_assert_int_eq(lease.requested_fence, 5);
}
END_TEST

/* The store is back from an outage and the lease is free: all 35 hosts of a
 * fleet write at once, one of them in earnest, and the store is busy with the
 * rest.  They take turns, and the first does not wait. */
START_TEST(a_fleet_takes_a_free_lease_in_turn)
{
    lease_record_t free = {.revision = 7, .holder = "", .fence = 3};
    unsigned at_once = 0;
    for (size_t rank = 0; rank < 35; rank++) {
        lease_t lease;
        lease_init(&lease, "a/1", SPAN_MS);
        lease_set_rank(&lease, rank);
        lease_observe(&lease, &free, 1000);
        lease_step_sent(&lease, LEASE_READ, 1000);
        at_once += lease_next_step(&lease, 1010) == LEASE_WRITE;
        ck_assert(rank > 0 || lease_next_step(&lease, 1010) == LEASE_WRITE);
        ck_assert_int_eq(lease_next_step(&lease, 1000 + SPAN_MS), LEASE_WRITE);
    }
    ck_assert_uint_eq(at_once, 1);
}
END_TEST

/* A store that is busy gets ten calls a second of each host for as long as it
 * is: behind a call that failed a host waits. */
START_TEST(a_failed_call_is_not_repeated_at_once)
{
    lease_t lease;
    lease_init(&lease, "a/1", SPAN_MS);
    lease_step_sent(&lease, LEASE_READ, 1000);
    lease_call_failed(&lease, 1010);
    ck_assert_int_eq(lease_next_step(&lease, 1700), LEASE_IDLE);
    ck_assert_int_eq(lease_next_step(&lease, 1900), LEASE_READ);
}
END_TEST

TEST_MAIN("lease", one_holder_at_a_time,
          a_lease_that_is_given_back_is_free_at_once,
          a_holder_that_slept_does_not_act,
          an_earlier_write_is_not_taken_for_the_last,
          a_fleet_takes_a_free_lease_in_turn,
          a_failed_call_is_not_repeated_at_once)
