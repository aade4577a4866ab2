#include "../relay/rollout-plan.h"
#include "test.h"

#include <stdio.h>

#define SERVERS 12
#define STEP_MS 50
#define LOAD_MS 570
/* Of loads beyond this many at once each takes so much longer. */
#define LOADS_FULL_SPEED 2
/* Weights must be in force within this time, ms. */
#define FORCE_MS 8000

static server_t *
server_add(servers_t *servers, int i)
{
    server_entry_t entry = {.slots = 64, .engine = true, .weights = 1};
    (void)snprintf(entry.id, sizeof(entry.id), "engine-%02d", i);
    (void)snprintf(entry.addr, sizeof(entry.addr), "127.0.0.1:%d", 9000 + i);
    (void)snprintf(entry.service, sizeof(entry.service), "llm");
    (void)snprintf(entry.model, sizeof(entry.model), "m");
    return servers_put(servers, &entry);
}

/* Another host's long answer runs at a server; the server is ordered when that
 * host says that it is over, or when the time for it has passed.  A host that
 * falls silent does not hold the rollout up. */
START_TEST(a_server_is_ordered_when_it_is_quiet)
{
    servers_t *servers = servers_new();
    server_t *server = server_add(servers, 1);
    other_load_t report = {.host = 7, .received_ms = 1000, .running = 1};
    server_peer_load(server, &report);
    server_sent(server, 0, 1000);
    ck_assert(!rollout_can_order(server, 1000, 1100));
    server_done(server);
    ck_assert(!rollout_can_order(server, 1000, 1100));
    report.running = 0;
    report.received_ms = 1150;
    server_peer_load(server, &report);
    ck_assert(rollout_can_order(server, 1000, 1150));
    report.running = 5;
    server_peer_load(server, &report);
    ck_assert(!rollout_can_order(server, 1000, 1000 + ROLLOUT_DRAIN_MS - 1));
    ck_assert(rollout_can_order(server, 1000, 1000 + ROLLOUT_DRAIN_MS));
    servers_free(servers);
}
END_TEST

/* ---- a rollout under load ---- */

typedef struct {
    server_t *server;
    int64_t ends_ms;  /* of the longest answer that it runs */
    int64_t quiet_ms; /* 0 until it is picked */
    int64_t load_left_ms;
    bool loading;
} play_server_t;

static void
begin_picked(servers_t *servers, play_server_t *all, int64_t now)
{
    size_t ordered;
    size_t count = rollout_count(servers, "m", &ordered);
    server_t *server;
    while (ordered < rollout_limit(count) &&
           (server = rollout_pick(servers, "m", 2, now)) != NULL) {
        server->ordered = true;
        ordered++;
        for (int i = 0; i < SERVERS; i++) {
            if (all[i].server == server) {
                all[i].quiet_ms = now;
            }
        }
    }
}

static void
step_one(play_server_t *one, int loading, int64_t now)
{
    if (one->quiet_ms == 0 || one->server->info.weights == 2) {
        return;
    }
    if (now >= one->ends_ms && one->server->own_running > 0) {
        server_done(one->server);
    }
    if (!one->loading) {
        one->loading = rollout_can_order(one->server, one->quiet_ms, now);
        one->load_left_ms = LOAD_MS;
        return;
    }
    one->load_left_ms -= loading > LOADS_FULL_SPEED
                             ? STEP_MS * LOADS_FULL_SPEED / loading
                             : STEP_MS;
    if (one->load_left_ms <= 0) {
        one->server->info.weights = 2;
        one->server->ordered = false;
    }
}

/* Callers get answers on weights that were replaced seconds ago: each engine
 * runs an answer that takes three seconds, and a rollout that waits for them
 * takes longer than new weights may take.  All engines must be on the new ones
 * in time. */
START_TEST(long_answers_do_not_hold_a_rollout_up)
{
    servers_t *servers = servers_new();
    play_server_t all[SERVERS] = {0};
    int64_t now = 1000;
    int left = SERVERS;
    for (int i = 0; i < SERVERS; i++) {
        all[i].server = server_add(servers, i);
        server_sent(all[i].server, 0, now);
    }
    while (left > 0 && now < 60000) {
        int loading = 0;
        left = 0;
        begin_picked(servers, all, now);
        for (int i = 0; i < SERVERS; i++) {
            loading += all[i].loading && all[i].server->info.weights < 2;
            if (all[i].quiet_ms == 0) {
                all[i].ends_ms = now + 3000;
            }
        }
        for (int i = 0; i < SERVERS; i++) {
            step_one(&all[i], loading, now);
            left += all[i].server->info.weights < 2;
        }
        now += STEP_MS;
    }
    printf("all on the new weights after %lld ms\n", (long long)(now - 1000));
    ck_assert_int_eq(left, 0);
    ck_assert_int_le(now - 1000, FORCE_MS);
    servers_free(servers);
}
END_TEST

TEST_MAIN("rollout-plan", a_server_is_ordered_when_it_is_quiet,
          long_answers_do_not_hold_a_rollout_up)
