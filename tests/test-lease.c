#include "../relay/lease.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

/* Simulates a few daemons and a store in virtual time, from a seed: lost
 * answers, writes that take effect seconds later if their condition still
 * holds, stale reads, and daemons that freeze or restart. */

#define DAEMONS 4
#define LEASE_MS 3000
#define STEP_MS 20
#define RUN_MS 60000
#define LATE_WRITES_MAX 16

typedef struct {
    bool pending;
    int64_t due_ms;
    int64_t revision; /* condition of the write */
    char holder[LEASE_HOLDER_MAX];
    int64_t fence;
    int64_t writes;
} late_write_t;

typedef struct {
    rng_t rng;
    int64_t now_ms;
    bool exists;
    int64_t revision;
    int64_t fence;
    int64_t writes;
    char holder[LEASE_HOLDER_MAX];
    int64_t previous_revision; /* before the last write; returned by a stale
                                  read */
    int64_t previous_fence;
    int64_t previous_writes;
    char previous_holder[LEASE_HOLDER_MAX];
    late_write_t late[LATE_WRITES_MAX];
    lease_t leases[DAEMONS];
    int64_t frozen_until_ms[DAEMONS]; /* end of each daemon's freeze */
    unsigned starts;
    int last_holder; /* daemon that last held the lease, or -1 */
    int64_t highest_fence;
    unsigned held_steps;
} sim_t;

static void
write_now(sim_t *sim, const char *holder, int64_t fence, int64_t writes)
{
    sim->previous_revision = sim->revision;
    sim->previous_fence = sim->fence;
    sim->previous_writes = sim->writes;
    str_copy(sim->previous_holder, sizeof(sim->previous_holder), sim->holder);
    sim->exists = true;
    sim->revision++;
    sim->fence = fence;
    sim->writes = writes;
    str_copy(sim->holder, sizeof(sim->holder), holder);
}

static void
write_late(sim_t *sim, const lease_t *lease)
{
    for (size_t i = 0; i < LATE_WRITES_MAX; i++) {
        late_write_t *late = &sim->late[i];
        if (late->pending) {
            continue;
        }
        late->pending = true;
        late->due_ms = sim->now_ms + 500 + (int64_t)rng_below(&sim->rng, 5500);
        late->revision = lease->revision;
        late->fence = lease->requested_fence;
        late->writes = lease->writes;
        str_copy(late->holder, sizeof(late->holder),
                 lease_requested_holder(lease));
        return;
    }
}

static void
apply_late_writes(sim_t *sim)
{
    for (size_t i = 0; i < LATE_WRITES_MAX; i++) {
        late_write_t *late = &sim->late[i];
        if (!late->pending || sim->now_ms < late->due_ms) {
            continue;
        }
        late->pending = false;
        if (sim->exists && late->revision == sim->revision) {
            write_now(sim, late->holder, late->fence, late->writes);
        }
    }
}

static void
daemon_start(sim_t *sim, int daemon)
{
    char name[32];
    (void)snprintf(name, sizeof(name), "d%d/%u", daemon, sim->starts++);
    lease_init(&sim->leases[daemon], name, LEASE_MS);
    lease_set_rank(&sim->leases[daemon], (size_t)daemon);
}

static void
observe(const sim_t *sim, lease_t *lease)
{
    lease_record_t record = {.revision = sim->revision,
                             .holder = sim->holder,
                             .fence = sim->fence,
                             .writes = sim->writes};
    lease_observe(lease, &record, sim->now_ms);
}

static void
handle_write(sim_t *sim, lease_t *lease, bool create)
{
    bool condition_holds =
        create ? !sim->exists
               : sim->exists && lease->revision == sim->revision;
    uint64_t roll = rng_below(&sim->rng, 100);
    if (roll < 10 && !create) {
        write_late(sim, lease);
        lease_set_outcome_unknown(lease);
        return;
    }
    if (condition_holds) {
        write_now(sim, lease_requested_holder(lease), lease->requested_fence,
                  lease->writes);
    }
    if (roll < 25) {
        lease_set_outcome_unknown(lease);
        return;
    }
    observe(sim, lease);
}

static void
daemon_step(sim_t *sim, lease_t *lease)
{
    lease_step_t step = lease_next_step(lease, sim->now_ms);
    if (step == LEASE_IDLE) {
        return;
    }
    lease_step_sent(lease, step, sim->now_ms);
    if (rng_below(&sim->rng, 100) < 5) {
        return; /* the store rejected the call */
    }
    if (step != LEASE_READ) {
        handle_write(sim, lease, step == LEASE_CREATE);
    }
    else if (!sim->exists) {
        lease_observe_absent(lease);
    }
    else if (rng_below(&sim->rng, 100) < 20 && sim->previous_revision > 0) {
        lease_record_t record = {.revision = sim->previous_revision,
                                 .holder = sim->previous_holder,
                                 .fence = sim->previous_fence,
                                 .writes = sim->previous_writes};
        lease_observe(lease, &record, sim->now_ms);
    }
    else {
        observe(sim, lease);
    }
}

/* Checks that at most one running daemon holds the lease, and that its fencing
 * token is at least the highest so far and was not used by another daemon. */
static void
check_holders(sim_t *sim, uint64_t seed)
{
    int holders = 0;
    for (int i = 0; i < DAEMONS; i++) {
        const lease_t *lease = &sim->leases[i];
        if (sim->now_ms < sim->frozen_until_ms[i] ||
            !lease_is_held(lease, sim->now_ms)) {
            continue;
        }
        holders++;
        ck_assert_msg(lease->fence >= sim->highest_fence,
                      "seed %llu: fence %lld below %lld",
                      (unsigned long long)seed, (long long)lease->fence,
                      (long long)sim->highest_fence);
        ck_assert_msg(
            lease->fence > sim->highest_fence || sim->last_holder == i,
            "seed %llu: two daemons under one fence",
            (unsigned long long)seed);
        sim->highest_fence = lease->fence;
        sim->last_holder = i;
        sim->held_steps++;
    }
    ck_assert_msg(holders <= 1, "seed %llu: %d holders at %lld ms",
                  (unsigned long long)seed, holders, (long long)sim->now_ms);
}

static void
inject_fault(sim_t *sim)
{
    int daemon = (int)rng_below(&sim->rng, DAEMONS);
    switch (rng_below(&sim->rng, 400)) {
        case 0:
            sim->frozen_until_ms[daemon] =
                sim->now_ms + (int64_t)rng_below(&sim->rng, 8000);
            return;
        case 1:
            daemon_start(sim, daemon);
            return;
        case 2:
            lease_release(&sim->leases[daemon]);
            return;
        case 3:
            lease_resume(&sim->leases[daemon]);
            return;
        default:
            return;
    }
}

static unsigned
run(uint64_t seed)
{
    sim_t *sim = mem_zalloc(sizeof(*sim));
    sim->rng.state = seed;
    sim->last_holder = -1;
    for (int i = 0; i < DAEMONS; i++) {
        daemon_start(sim, i);
    }
    for (sim->now_ms = 1; sim->now_ms < RUN_MS; sim->now_ms += STEP_MS) {
        apply_late_writes(sim);
        inject_fault(sim);
        for (int i = 0; i < DAEMONS; i++) {
            if (sim->now_ms >= sim->frozen_until_ms[i]) {
                daemon_step(sim, &sim->leases[i]);
            }
        }
        check_holders(sim, seed);
    }
    unsigned held_steps = sim->held_steps;
    free(sim);
    return held_steps;
}

/* Guards against two daemons that order one server at the same time, and
 * against an old holder that orders after a newer one.  The store loses
 * answers and applies writes late; daemons freeze while they hold the lease,
 * and restart. */
START_TEST(at_most_one_holder)
{
    unsigned held_steps = 0;
    for (uint64_t seed = 1; seed <= 1000; seed++) {
        held_steps += run(seed);
    }
    /* On average it is held in over 1,200 of the 3,000 steps of a run. */
    ck_assert_uint_gt(held_steps, 1000 * 1200);
}
END_TEST

/* A host that holds the lease shuts down.  Its successor need not wait until
 * the lease expires. */
START_TEST(released_lease_is_free_at_once)
{
    lease_t lease;
    lease_init(&lease, "b/1", LEASE_MS);
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

/* Guards against a holder that acts again while its release may be carried out
 * late. */
START_TEST(release_that_may_be_in_flight_is_not_taken_back)
{
    lease_t lease;
    lease_init(&lease, "a/1", LEASE_MS);
    lease_step_sent(&lease, LEASE_READ, 5);
    lease_observe(&lease,
                  &(lease_record_t){
                      .revision = 6, .holder = "", .fence = 2, .writes = 0},
                  7);
    lease_step_sent(&lease, LEASE_WRITE, 10);
    lease_observe(&lease,
                  &(lease_record_t){
                      .revision = 7, .holder = "a/1", .fence = 3, .writes = 1},
                  12);
    ck_assert(lease_is_held(&lease, 13));
    lease_release(&lease);
    lease_step_sent(&lease, LEASE_WRITE, 20);
    lease_resume(&lease);
    ck_assert(!lease_is_held(&lease, 21));
    lease_observe(&lease,
                  &(lease_record_t){
                      .revision = 8, .holder = "", .fence = 3, .writes = 2},
                  25);
    ck_assert_int_eq(lease_next_step(&lease, 2000), LEASE_IDLE);
    lease_resume(&lease);
    ck_assert_int_eq(lease_next_step(&lease, 2000), LEASE_WRITE);
}
END_TEST

/* The holder's process is suspended past the end of its lease.  It must not
 * act when it resumes, and takes the lease again with a higher fencing token.
 */
START_TEST(suspended_holder_does_not_act)
{
    lease_t lease;
    lease_init(&lease, "a/1", LEASE_MS);
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

/* Guards against two hosts that order servers at once.  A host's write gets no
 * answer and takes effect late.  A stale read hides it, so the host writes
 * again, is rejected, and receives an object that names it as holder.  If it
 * took that for its last write, it would count its lease from the time of that
 * one, while its successor counts from when the first write took effect. */
START_TEST(late_earlier_write_does_not_count_as_last)
{
    lease_t lease;
    lease_record_t free = {.revision = 7, .holder = "", .fence = 3};
    lease_record_t first = {
        .revision = 8, .holder = "a/1", .fence = 4, .writes = 1};
    lease_init(&lease, "a/1", LEASE_MS);
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

/* Guards against 35 hosts that all write at once when the store recovers from
 * an outage and the lease is free: only one write can succeed, and the rest
 * load the store.  The delay grows with the rank; the first host does
 * not wait. */
START_TEST(free_lease_is_taken_by_rank)
{
    lease_record_t free = {.revision = 7, .holder = "", .fence = 3};
    unsigned at_once = 0;
    for (size_t rank = 0; rank < 35; rank++) {
        lease_t lease;
        lease_init(&lease, "a/1", LEASE_MS);
        lease_set_rank(&lease, rank);
        lease_observe(&lease, &free, 1000);
        lease_step_sent(&lease, LEASE_READ, 1000);
        at_once += lease_next_step(&lease, 1010) == LEASE_WRITE;
        ck_assert(rank > 0 || lease_next_step(&lease, 1010) == LEASE_WRITE);
        ck_assert_int_eq(lease_next_step(&lease, 1000 + LEASE_MS),
                         LEASE_WRITE);
    }
    ck_assert_uint_eq(at_once, 1);
}
END_TEST

/* Guards against ten calls a second from each host to an overloaded store: a
 * failed call starts a backoff. */
START_TEST(failed_call_backs_off)
{
    lease_t lease;
    lease_init(&lease, "a/1", LEASE_MS);
    lease_step_sent(&lease, LEASE_READ, 1000);
    lease_call_failed(&lease, 1010);
    ck_assert_int_eq(lease_next_step(&lease, 1700), LEASE_IDLE);
    ck_assert_int_eq(lease_next_step(&lease, 1900), LEASE_READ);
}
END_TEST

/* Guards against a renewal each tick, or one in a backoff, while the object
 * lacks what the holder has to add, and against hosts that read it late. */
START_TEST(content_is_updated_early_but_not_often)
{
    lease_record_t own = {
        .revision = 7, .holder = "a/1", .fence = 1, .writes = 1};
    lease_record_t other = {.revision = 9, .holder = "b/1", .fence = 2};
    lease_t lease;
    lease_init(&lease, "a/1", LEASE_MS);
    ck_assert_int_eq(lease_early_step(&lease, 900), LEASE_READ);
    lease_step_sent(&lease, LEASE_WRITE, 1000);
    lease_observe(&lease, &own, 1010);
    ck_assert(lease_is_held(&lease, 1010));
    ck_assert_int_eq(lease_early_step(&lease, 1300), LEASE_IDLE);
    ck_assert_int_eq(lease_early_step(&lease, 1400), LEASE_WRITE);
    lease_call_failed(&lease, 1300);
    ck_assert_int_eq(lease_early_step(&lease, 1400), LEASE_IDLE);
    ck_assert_int_eq(lease_early_step(&lease, 1600), LEASE_WRITE);
    lease_step_sent(&lease, LEASE_READ, 2000);
    lease_observe(&lease, &other, 2010);
    ck_assert_int_eq(lease_early_step(&lease, 2300), LEASE_IDLE);
    ck_assert_int_eq(lease_early_step(&lease, 2400), LEASE_READ);
    ck_assert_int_eq(lease_next_step(&lease, 2400), LEASE_IDLE);
}
END_TEST

/* Guards against a lease that is kept while it is to be released. */
START_TEST(released_content_is_not_updated)
{
    lease_record_t other = {.revision = 9, .holder = "b/1", .fence = 2};
    lease_t lease;
    lease_init(&lease, "a/1", LEASE_MS);
    lease_step_sent(&lease, LEASE_READ, 1000);
    lease_observe(&lease, &other, 1010);
    lease_release(&lease);
    ck_assert_int_eq(lease_early_step(&lease, 1600), LEASE_IDLE);
}
END_TEST

TEST_MAIN("lease", at_most_one_holder, released_lease_is_free_at_once,
          release_that_may_be_in_flight_is_not_taken_back,
          suspended_holder_does_not_act,
          late_earlier_write_does_not_count_as_last,
          free_lease_is_taken_by_rank, failed_call_backs_off,
          content_is_updated_early_but_not_often,
          released_content_is_not_updated)
