#include "../kernel/tables.h"
#include "../relay/servers.h"
#include "test.h"

#include <stdio.h>

static const server_entry_t on_old = {.id = "a",
                                      .service = "llm",
                                      .addr = "127.0.0.1:1",
                                      .engine = true,
                                      .model = "m",
                                      .weights = 1};

/* Callers wait at few servers while a third of the fleet stands idle: a host
 * was told that a server loads weights, the platform's list told both it and
 * the host that gives the orders that the load was over, so nobody report so,
 * and the server stayed unused until the word expired. */
START_TEST(a_server_that_has_loaded_is_used_at_once)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    server_t *server = servers_put(servers, &entry);
    server->loading_ms = 5000;
    (void)servers_put(servers, &entry);
    ck_assert_int_eq(server->loading_ms, 5000);
    entry.weights = 2;
    (void)servers_put(servers, &entry);
    ck_assert_int_eq(server->loading_ms, 0);
    servers_free(servers);
}
END_TEST

/* A host hears from a server too seldom to know that others have taken its
 * slots: what another host passes on of the server's word counts as well, and
 * counts no longer when it is old. */
START_TEST(taken_slots_cost_time)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    entry.slots = 4;
    server_t *server = servers_put(servers, &entry);
    ck_assert_double_eq(server_slot_wait_ms(server, 1000), 0);
    server_held_slot(server, 800);
    server_load(server, 3, 0, 1000);
    ck_assert_double_eq(server_slot_wait_ms(server, 1000), 0);
    server_load(server, 4, 0, 1000);
    ck_assert_double_eq(server_slot_wait_ms(server, 1000), 200);
    server_load(server, 4, 3, 1000);
    ck_assert_double_eq(server_slot_wait_ms(server, 1500), 800);
    ck_assert_double_eq(server_slot_wait_ms(server, 2500), 0);
    for (int i = 0; i < 5; i++) {
        server_sent(server, 0, 2500);
    }
    ck_assert_double_eq(server_slot_wait_ms(server, 2500), 400);
    servers_free(servers);
}
END_TEST

/* Only a server that is nearly full is news, and not with each answer. */
START_TEST(a_crowded_server_is_told_now_and_then)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    entry.slots = 16;
    server_t *server = servers_put(servers, &entry);
    server_load(server, 11, 0, 1000);
    ck_assert(!server_crowded_news(server, 1000));
    server_load(server, 10, 2, 1000);
    ck_assert(server_crowded_news(server, 1000));
    server_load(server, 16, 2, 1100);
    ck_assert(!server_crowded_news(server, 1100));
    server_load(server, 16, 2, 1300);
    ck_assert(server_crowded_news(server, 1300));
    servers_free(servers);
}
END_TEST

/* ---- what callers get ---- */

#define PLAY_SERVERS 6
#define PLAY_SLOTS 4
#define PLAY_HOLD_MS 500.0
#define PLAY_PER_SECOND 30
#define PLAY_SECONDS 60
#define PLAY_TARGET_MS 400.0
#define PLAY_SHARED_TOKENS 200

typedef struct {
    server_t *server;
    double free_ms[PLAY_SLOTS]; /* when each slot is free */
} play_server_t;

/* Take the slot that is free first; how long the request waits for it. */
static double
play_take(play_server_t *one, double now)
{
    int first = 0;
    for (int i = 1; i < PLAY_SLOTS; i++) {
        first = one->free_ms[i] < one->free_ms[first] ? i : first;
    }
    double begin = one->free_ms[first] > now ? one->free_ms[first] : now;
    one->free_ms[first] = begin + PLAY_HOLD_MS;
    return begin - now;
}

/* Servers say what they have, as with an answer. */
static void
play_say(play_server_t *one, double now)
{
    int taken = 0;
    for (int i = 0; i < PLAY_SLOTS; i++) {
        double left = one->free_ms[i] - now;
        taken += left > 0 ? (int)(left / PLAY_HOLD_MS) + 1 : 0;
    }
    server_load(one->server, taken, 0, (int64_t)now);
}

/* The load: short prompts that all share one part, so that all have the same
 * home, whose few slots are taken by answers that are being made while other
 * servers stand idle.  Callers must get their first token in time. */
START_TEST(a_hot_part_does_not_queue_at_its_home)
{
    servers_t *servers = servers_new();
    play_server_t all[PLAY_SERVERS] = {0};
    int in_time = 0;
    int asked = PLAY_PER_SECOND * PLAY_SECONDS;
    for (int i = 0; i < PLAY_SERVERS; i++) {
        server_entry_t entry = on_old;
        (void)snprintf(entry.id, sizeof(entry.id), "s%d", i);
        entry.slots = PLAY_SLOTS;
        all[i].server = servers_put(servers, &entry);
        server_held_slot(all[i].server, PLAY_HOLD_MS);
    }
    for (int n = 0; n < asked; n++) {
        double now = 1000 + n * 1000.0 / PLAY_PER_SECOND;
        candidate_t candidates[PLAY_SERVERS] = {0};
        prefix_t shared = {.tokens = PLAY_SHARED_TOKENS};
        for (int i = 0; i < PLAY_SERVERS; i++) {
            play_say(&all[i], now);
            candidates[i].wait_ms =
                server_slot_wait_ms(all[i].server, (int64_t)now);
            candidates[i].rate = 48000;
            candidates[i].cached = i == 0 ? PLAY_SHARED_TOKENS : 0;
            candidates[i].rank = place_weight(7, all[i].server->info.id);
        }
        place_ask_t ask = {.prefix = &shared,
                           .objective = OBJECTIVE_TAIL_LATENCY};
        size_t best =
            policy_find("cost")->choose(candidates, PLAY_SERVERS, &ask);
        in_time += play_take(&all[best], now) <= PLAY_TARGET_MS ? 1 : 0;
    }
    printf("in time: %d of %d\n", in_time, asked);
    ck_assert_int_ge(in_time * 100, asked * 95);
    servers_free(servers);
}
END_TEST

/* Callers wait half a second longer while servers are dark: others are told to
 * fetch from a dark one, which is believed to hold what it held, since nothing
 * pushes it out there.  A server is a source while somebody hears from it. */
START_TEST(nobody_fetches_from_a_dark_server)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    server_t *server = servers_put(servers, &entry);
    ck_assert(!server_is_source(server, 10000));
    server_note_answer(server, 10000);
    ck_assert(server_is_source(server, 11900));
    ck_assert(!server_is_source(server, 12000));
    server_confirm_alive(server, 12000);
    ck_assert(server_is_source(server, 12500));
    server->silent = true;
    ck_assert(!server_is_source(server, 12500));
    servers_free(servers);
}
END_TEST

TEST_MAIN("servers", a_server_that_has_loaded_is_used_at_once,
          taken_slots_cost_time, a_crowded_server_is_told_now_and_then,
          a_hot_part_does_not_queue_at_its_home,
          nobody_fetches_from_a_dark_server)
