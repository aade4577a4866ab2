#include "../balance/held-bytes.h"
#include "test.h"

#include <string.h>

#define MEMORY ((size_t)120 * 1000 * 1000)
#define STEP_MS 10
#define READERS_MAX 400
/* After this time without progress a server cuts off its answer, ms. */
#define SERVER_UNREAD_MS 3000
/* One read of a server's connection brings at most this many bytes. */
#define READ_BYTES 16384

/* A caller with its server, in virtual time. */
typedef struct {
    held_holder_t holder;
    size_t answer;         /* bytes of it still to come */
    size_t server_per_s;   /* rate at which the server produces it */
    size_t caller_per_s;   /* rate at which the caller reads */
    int64_t pause_ends_ms; /* the caller reads nothing before */
    size_t at_server;      /* produced and not read by the host */
    int64_t progress_ms;   /* when the host last read, or nothing was left */
    int64_t stopped_since_ms;
    int64_t longest_stop_ms;
    int64_t longest_wait_ms; /* of bytes at the server */
    int64_t done_ms;
    bool cut;
    bool ended;
} reader_t;

typedef struct {
    held_bytes_t held;
    reader_t readers[READERS_MAX];
    size_t count;
    size_t most_held;
    size_t most_stopped;
    int64_t now_ms;
} sim_t;

static sim_t *
sim_new(size_t memory)
{
    sim_t *sim = mem_zalloc(sizeof(*sim));
    held_bytes_init(&sim->held, memory);
    sim->now_ms = 1000;
    return sim;
}

static reader_t *
sim_add(sim_t *sim, size_t answer, size_t server_per_s, size_t caller_per_s)
{
    reader_t *reader = &sim->readers[sim->count++];
    held_bytes_add(&sim->held, &reader->holder);
    reader->answer = answer;
    reader->server_per_s = server_per_s;
    reader->caller_per_s = caller_per_s;
    reader->progress_ms = sim->now_ms;
    return reader;
}

static size_t
size_min(size_t a, size_t b)
{
    return a < b ? a : b;
}

/* The host reads what the server has sent, as the relay does: one read at a
 * time, and a decision after each. */
static void
read_server(sim_t *sim, reader_t *reader)
{
    held_bytes_t *held = &sim->held;
    held_holder_t *holder = &reader->holder;
    while (!holder->stopped && reader->at_server > 0) {
        size_t len = size_min(reader->at_server, READ_BYTES);
        reader->at_server -= len;
        reader->progress_ms = sim->now_ms;
        held_bytes_set(held, holder, holder->ready + len, 0, false,
                       sim->now_ms);
        if (held_bytes_should_stop(held, holder)) {
            ck_assert_uint_gt(holder->ready, HELD_FLOOR_BYTES);
            held_bytes_stop(held, holder, sim->now_ms);
            reader->stopped_since_ms = sim->now_ms;
        }
    }
}

static void
resume_if_due(sim_t *sim, reader_t *reader)
{
    if (held_bytes_should_resume(&sim->held, &reader->holder, sim->now_ms)) {
        int64_t stop_ms = sim->now_ms - reader->stopped_since_ms;
        held_bytes_resume(&sim->held, &reader->holder);
        reader->longest_stop_ms = stop_ms > reader->longest_stop_ms
                                      ? stop_ms
                                      : reader->longest_stop_ms;
    }
}

static void
step_reader(sim_t *sim, reader_t *reader)
{
    held_holder_t *holder = &reader->holder;
    if (reader->cut || reader->ended) {
        return;
    }
    size_t made =
        size_min(reader->answer, reader->server_per_s * STEP_MS / 1000);
    reader->answer -= made;
    reader->at_server += made;
    read_server(sim, reader);
    if (reader->at_server == 0) {
        reader->progress_ms = sim->now_ms;
    }
    int64_t wait_ms = sim->now_ms - reader->progress_ms;
    reader->longest_wait_ms =
        wait_ms > reader->longest_wait_ms ? wait_ms : reader->longest_wait_ms;
    reader->cut = wait_ms >= SERVER_UNREAD_MS;
    size_t read =
        sim->now_ms < reader->pause_ends_ms
            ? 0
            : size_min(holder->ready, reader->caller_per_s * STEP_MS / 1000);
    if (read > 0) {
        held_bytes_set(&sim->held, holder, holder->ready - read, 0, true,
                       sim->now_ms);
    }
    resume_if_due(sim, reader);
    if (reader->done_ms == 0 && reader->answer == 0 &&
        reader->at_server == 0 && holder->ready == 0) {
        reader->done_ms = sim->now_ms;
    }
}

/* Runs the simulation for so long. */
static void
sim_run(sim_t *sim, int64_t ms)
{
    for (int64_t end = sim->now_ms + ms; sim->now_ms < end;
         sim->now_ms += STEP_MS) {
        for (size_t i = 0; i < sim->count; i++) {
            step_reader(sim, &sim->readers[i]);
        }
        size_t total = held_bytes_total(&sim->held);
        sim->most_held = total > sim->most_held ? total : sim->most_held;
        sim->most_stopped = sim->held.stopped > sim->most_stopped
                                ? sim->held.stopped
                                : sim->most_stopped;
        held_holder_t *holder;
        while ((holder = held_bytes_find_excess(&sim->held)) != NULL) {
            for (size_t i = 0; i < sim->count; i++) {
                if (&sim->readers[i].holder == holder) {
                    sim->readers[i].ended = true;
                    held_bytes_remove(&sim->held, holder);
                }
            }
        }
    }
}

/* Guards against a host that exceeds its memory over slow callers, cuts off
 * their answers, or delays the fast ones beside them. */
START_TEST(slow_readers_beside_fast_ones)
{
    sim_t *sim = sim_new(MEMORY);
    for (int i = 0; i < 150; i++) {
        (void)sim_add(sim, 6000000, 2000000, 300000);
    }
    for (int i = 0; i < 50; i++) {
        (void)sim_add(sim, 6000000, 2000000, 20000000);
    }
    sim_run(sim, 60000);
    /* A holder is stopped after the read that exceeds its part. */
    ck_assert_uint_le(sim->most_held, sim->held.budget + 150 * READ_BYTES);
    ck_assert_uint_ge(sim->most_stopped, 50);
    for (size_t i = 0; i < sim->count; i++) {
        const reader_t *reader = &sim->readers[i];
        ck_assert(!reader->cut && !reader->ended);
        ck_assert_int_gt(reader->done_ms, 0);
        ck_assert_int_lt(reader->longest_stop_ms, 2000);
    }
    for (size_t i = 150; i < sim->count; i++) {
        ck_assert_int_le(sim->readers[i].done_ms, 1000 + 3000 + 2 * STEP_MS);
        ck_assert_int_eq(sim->readers[i].longest_stop_ms, 0);
    }
    ck_assert_uint_eq(sim->held.caller_bytes, 0);
    ck_assert_uint_eq(sim->held.stopped, 0);
    free(sim);
}
END_TEST

/* Guards against answers that servers cut off while their callers read nothing
 * for seconds, and against callers that then wait for the rest. */
START_TEST(callers_that_pause_keep_their_answers)
{
    sim_t *sim = sim_new(MEMORY);
    for (int i = 0; i < 100; i++) {
        reader_t *reader = sim_add(sim, 6000000, 2000000, 4000000);
        reader->pause_ends_ms = 1000 + 9000;
    }
    sim_run(sim, 9000);
    ck_assert_uint_le(sim->most_held, sim->held.hard_max);
    for (size_t i = 0; i < sim->count; i++) {
        ck_assert_int_gt(sim->readers[i].longest_stop_ms, 0);
    }
    sim_run(sim, 30000);
    for (size_t i = 0; i < sim->count; i++) {
        const reader_t *reader = &sim->readers[i];
        ck_assert(!reader->cut && !reader->ended);
        ck_assert_int_lt(reader->longest_wait_ms, 2000);
        ck_assert_int_gt(reader->done_ms, 0);
        ck_assert_int_lt(reader->done_ms, 10000 + 8000);
    }
    free(sim);
}
END_TEST

/* Guards against delays of callers whose events are small, however much is
 * held for others. */
START_TEST(small_holders_are_never_stopped)
{
    sim_t *sim = sim_new(MEMORY);
    for (int i = 0; i < 200; i++) {
        reader_t *reader = sim_add(sim, 6000000, 2000000, 4000000);
        reader->pause_ends_ms = INT64_MAX;
    }
    for (int i = 0; i < 100; i++) {
        (void)sim_add(sim, 30000, 5000, 2000);
    }
    sim_run(sim, 8000);
    ck_assert_uint_gt(sim->most_held, sim->held.budget * 9 / 10);
    for (size_t i = 200; i < sim->count; i++) {
        ck_assert_int_eq(sim->readers[i].longest_stop_ms, 0);
        ck_assert(!sim->readers[i].holder.stopped);
        ck_assert(!sim->readers[i].ended);
    }
    free(sim);
}
END_TEST

/* The largest holder is stopped first, and smaller ones as less is free. */
START_TEST(largest_holder_is_stopped_first)
{
    held_bytes_t held;
    held_holder_t holders[20];
    held_bytes_init(&held, MEMORY);
    for (size_t i = 0; i < 20; i++) {
        held_bytes_add(&held, &holders[i]);
    }
    size_t smallest_stopped = SIZE_MAX;
    for (size_t mb = 0; mb < 5; mb++) {
        for (size_t i = 0; i < 20; i++) {
            held_bytes_set(&held, &holders[i], mb * 1000000 + i * 10000 + 1, 0,
                           false, 0);
        }
        for (size_t i = 20; i-- > 0;) {
            bool stop = held_bytes_should_stop(&held, &holders[i]);
            /* None is stopped while a larger one goes on. */
            ck_assert(!stop || i == 19 ||
                      held_bytes_should_stop(&held, &holders[i + 1]));
            if (stop && holders[i].ready < smallest_stopped) {
                smallest_stopped = holders[i].ready;
            }
        }
    }
    ck_assert_uint_lt(smallest_stopped, 4000000);
    /* Without a budget nothing is stopped. */
    held.budget = 0;
    ck_assert(!held_bytes_should_stop(&held, &holders[19]));
}
END_TEST

/* Guards against reading that is stopped and resumed for each event. */
START_TEST(resumes_well_below_where_it_stops)
{
    held_bytes_t held;
    held_holder_t holder;
    held_bytes_init(&held, MEMORY);
    held_bytes_add(&held, &holder);
    held_bytes_set(&held, &holder, HELD_HOLDER_BYTES_MAX + 1, 0, false, 0);
    ck_assert(held_bytes_should_stop(&held, &holder));
    held_bytes_stop(&held, &holder, 0);
    held_bytes_set(&held, &holder, HELD_HOLDER_BYTES_MAX - 100000, 0, true,
                   100);
    ck_assert(!held_bytes_should_resume(&held, &holder, 100));
    held_bytes_set(&held, &holder, HELD_HOLDER_BYTES_MAX / 2, 0, true, 200);
    ck_assert(held_bytes_should_resume(&held, &holder, 200));
    held_bytes_resume(&held, &holder);
    ck_assert_uint_eq(held.stopped, 0);
    ck_assert_uint_eq(holder.reopen_end, 0);
}
END_TEST

/* Guards against a host over its memory when a great many callers read nothing
 * at all: then those are ended that have not read for the longest time. */
START_TEST(hard_maximum_ends_the_longest_unread)
{
    sim_t *sim = sim_new(MEMORY);
    for (int i = 0; i < 200; i++) {
        reader_t *reader = sim_add(sim, 60000000, 2000000, 1000000);
        reader->pause_ends_ms = i < 150 ? INT64_MAX : 0;
    }
    sim_run(sim, 120000);
    size_t ended = 0;
    /* Between two checks each holder may get what is read after a stop. */
    ck_assert_uint_le(sim->most_held,
                      sim->held.hard_max + 200 * HELD_REOPEN_BYTES);
    for (size_t i = 0; i < sim->count; i++) {
        ended += sim->readers[i].ended;
        ck_assert(i < 150 || !sim->readers[i].ended);
        ck_assert(!sim->readers[i].cut);
    }
    ck_assert_uint_gt(ended, 0);
    ck_assert_uint_lt(ended, 150);
    free(sim);
}
END_TEST

/* Guards against answers that all wait for each other: those that are passed
 * on as a whole can be read by no one before their end, so one of them must
 * always go on. */
START_TEST(incomplete_answers_are_finished_in_turn)
{
    held_bytes_t held;
    held_holder_t holders[20];
    held_bytes_init(&held, MEMORY);
    for (size_t i = 0; i < 20; i++) {
        held_bytes_add(&held, &holders[i]);
        held_bytes_set(&held, &holders[i], 0, 3000000 + i, false, 0);
    }
    /* 60 MB are held, which is the budget. */
    for (size_t i = 0; i < 19; i++) {
        ck_assert(held_bytes_should_stop(&held, &holders[i]));
        held_bytes_stop(&held, &holders[i], 0);
    }
    ck_assert(!held_bytes_should_stop(&held, &holders[19]));
    ck_assert(!held_bytes_should_resume(&held, &holders[18], 100));
    held_bytes_remove(&held, &holders[19]);
    ck_assert(held_bytes_should_resume(&held, &holders[18], 100));
    /* Bytes of an event that is not complete do not stop its stream. */
    held_bytes_init(&held, MEMORY);
    held_bytes_add(&held, &holders[0]);
    held_bytes_set(&held, &holders[0], HELD_FLOOR_BYTES, 5000000, false, 0);
    ck_assert(!held_bytes_should_stop(&held, &holders[0]));
}
END_TEST

/* Guards against bodies that crowd out answers or the other way round, and
 * against large bodies at slow servers for which small ones are rejected. */
START_TEST(bodies_and_answers_share_the_budget)
{
    held_bytes_t held;
    held_holder_t holder;
    held_bytes_init(&held, MEMORY);
    held_bytes_add(&held, &holder);
    size_t most = held_bytes_body_max(&held, true);
    ck_assert_uint_le(most, held.budget * 2 / 3);
    ck_assert_uint_ge(most, held.budget / 2);
    ck_assert_uint_lt(held_bytes_body_max(&held, false), most);
    held_bytes_set_servers(&held, most);
    size_t beside_bodies = held_bytes_holder_max(&held);
    ck_assert_uint_ge(beside_bodies, HELD_FLOOR_BYTES);
    ck_assert_uint_le(held_bytes_total(&held) + beside_bodies, held.budget);
    ck_assert_uint_eq(held_bytes_body_max(&held, true), most);
    held_bytes_set_servers(&held, 0);
    held_bytes_set(&held, &holder, held.budget, 0, false, 0);
    ck_assert_uint_ge(held_bytes_body_max(&held, true), held.budget / 4);
    ck_assert_uint_le(held.budget + held_bytes_body_max(&held, true),
                      MEMORY * 2 / 3);
}
END_TEST

TEST_MAIN("held-bytes", slow_readers_beside_fast_ones,
          callers_that_pause_keep_their_answers,
          small_holders_are_never_stopped, largest_holder_is_stopped_first,
          resumes_well_below_where_it_stops,
          hard_maximum_ends_the_longest_unread,
          incomplete_answers_are_finished_in_turn,
          bodies_and_answers_share_the_budget)
