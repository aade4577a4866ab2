#include "../relay/rollout-plan.h"
#include "test.h"

#include <stdio.h>

#define SERVERS 12
#define STEP_MS 50
#define LOAD_MS 570
/* With more concurrent loads than this, each takes longer in proportion. */
#define FULL_SPEED_LOADS_MAX 2
/* All servers must have the new weights within this time. */
#define ROLLOUT_MAX_MS 8000

static server_t *
server_add(servers_t *servers, int i)
{
    server_entry_t entry = {.slots = 64, .engine = true, .weights = 1};
    (void)snprintf(entry.id, sizeof(entry.id), "engine-%02d", i);
    (void)snprintf(entry.addr, sizeof(entry.addr), "127.0.0.1:%d", 9000 + i);
    (void)snprintf(entry.service, sizeof(entry.service), "llm");
    (void)snprintf(entry.model, sizeof(entry.model), "m");
    return servers_put(servers, &entry, 0);
}

/* A long answer for another host runs on a server.  The server is ordered to
 * load when that host reports that the answer has ended, or after
 * ROLLOUT_DRAIN_MS, so that a host that stops reporting does not block the
 * rollout. */
START_TEST(server_is_ordered_when_drained)
{
    servers_t *servers = servers_new();
    server_t *server = server_add(servers, 1);
    server_peer_load_t report = {
        .host_id = 7, .received_ms = 1000, .running = 1};
    server_apply_peer_load(server, &report);
    server_add_request(server, 0, 1000);
    ck_assert(!rollout_can_order(server, 1000, 1100));
    server_remove_request(server);
    ck_assert(!rollout_can_order(server, 1000, 1100));
    report.running = 0;
    report.received_ms = 1150;
    server_apply_peer_load(server, &report);
    ck_assert(rollout_can_order(server, 1000, 1150));
    report.running = 5;
    server_apply_peer_load(server, &report);
    ck_assert(!rollout_can_order(server, 1000, 1000 + ROLLOUT_DRAIN_MS - 1));
    ck_assert(rollout_can_order(server, 1000, 1000 + ROLLOUT_DRAIN_MS));
    servers_free(servers);
}
END_TEST

static const server_report_t unloaded = {
    .running = 4, .memory_used = 20000, .memory_total = 100000};

/* Asserts what is decided early and late in the drain of a server with 16
 * slots. */
static void
assert_decision(const server_report_t *report, rollout_decision_t early,
                rollout_decision_t late)
{
    ck_assert_int_eq(rollout_decide(report, 16, 48, ROLLOUT_DRAIN_MS), early);
    ck_assert_int_eq(rollout_decide(report, 16, 48, ROLLOUT_DRAIN_MAX_MS - 1),
                     early);
    ck_assert_int_eq(rollout_decide(report, 16, 48, ROLLOUT_DRAIN_MAX_MS),
                     late);
}

/* Guards against parts that newer weights make under the salt of older ones: a
 * load waits for requests of which some are preempted or may be. */
START_TEST(requests_go_on_only_where_none_is_preempted)
{
    server_report_t report = unloaded;
    assert_decision(&report, ROLLOUT_ORDER_KEEP, ROLLOUT_ORDER_KEEP);
    report.waiting = 1;
    assert_decision(&report, ROLLOUT_DRAIN, ROLLOUT_ORDER_WAIT);
    report = unloaded;
    report.memory_used = 80000;
    assert_decision(&report, ROLLOUT_DRAIN, ROLLOUT_ORDER_WAIT);
    report = unloaded;
    report.running = 16;
    assert_decision(&report, ROLLOUT_DRAIN, ROLLOUT_ORDER_WAIT);
}
END_TEST

/* Guards against preemption on engines that prefill faster than was assumed:
 * what is free has to suffice until the order arrives. */
START_TEST(a_fast_engine_needs_more_free_memory)
{
    server_report_t report = unloaded;
    ck_assert_int_eq(rollout_decide(&report, 16, 133, ROLLOUT_DRAIN_MS),
                     ROLLOUT_ORDER_KEEP);
    ck_assert_int_eq(rollout_decide(&report, 16, 134, ROLLOUT_DRAIN_MS),
                     ROLLOUT_DRAIN);
    ck_assert_int_eq(rollout_decide(&report, 16, 134, ROLLOUT_DRAIN_MAX_MS),
                     ROLLOUT_ORDER_WAIT);
}
END_TEST

/* A server that does not report its memory may have none left. */
START_TEST(unknown_memory_does_not_suffice)
{
    server_report_t report = unloaded;
    report.memory_used = 0;
    report.memory_total = 0;
    assert_decision(&report, ROLLOUT_DRAIN, ROLLOUT_ORDER_WAIT);
}
END_TEST

/* ---- a rollout under load ---- */

typedef struct {
    server_t *server;
    int64_t answer_ends_ms;   /* when its longest running answer ends */
    int64_t drain_started_ms; /* 0 until the plan picks the server */
    int64_t load_left_ms;
    bool loading;
} sim_server_t;

static void
order_picked(servers_t *servers, sim_server_t *all, int64_t now)
{
    size_t ordered;
    size_t count = rollout_count(servers, "m", &ordered);
    server_t *server;
    while (ordered < rollout_limit(count) &&
           (server = rollout_pick(servers, "m", 2, now)) != NULL) {
        server->updating = true;
        ordered++;
        for (int i = 0; i < SERVERS; i++) {
            if (all[i].server == server) {
                all[i].drain_started_ms = now;
            }
        }
    }
}

static void
step_server(sim_server_t *sim, int loading_count, int64_t now)
{
    if (sim->drain_started_ms == 0 || sim->server->info.weights == 2) {
        return;
    }
    if (now >= sim->answer_ends_ms && sim->server->own_running > 0) {
        server_remove_request(sim->server);
    }
    if (!sim->loading) {
        sim->loading =
            rollout_can_order(sim->server, sim->drain_started_ms, now);
        sim->load_left_ms = LOAD_MS;
        return;
    }
    sim->load_left_ms -= loading_count > FULL_SPEED_LOADS_MAX
                             ? STEP_MS * FULL_SPEED_LOADS_MAX / loading_count
                             : STEP_MS;
    if (sim->load_left_ms <= 0) {
        sim->server->info.weights = 2;
        sim->server->updating = false;
    }
}

/* Guards against answers on weights that were replaced seconds ago.  Each
 * engine runs an answer that takes three seconds; a rollout that waited for
 * them would take longer than allowed. */
START_TEST(long_answers_do_not_delay_rollout)
{
    servers_t *servers = servers_new();
    sim_server_t all[SERVERS] = {0};
    int64_t now = 1000;
    int pending = SERVERS;
    for (int i = 0; i < SERVERS; i++) {
        all[i].server = server_add(servers, i);
        server_add_request(all[i].server, 0, now);
    }
    while (pending > 0 && now < 60000) {
        int loading_count = 0;
        pending = 0;
        order_picked(servers, all, now);
        for (int i = 0; i < SERVERS; i++) {
            loading_count += all[i].loading && all[i].server->info.weights < 2;
            if (all[i].drain_started_ms == 0) {
                all[i].answer_ends_ms = now + 3000;
            }
        }
        for (int i = 0; i < SERVERS; i++) {
            step_server(&all[i], loading_count, now);
            pending += all[i].server->info.weights < 2;
        }
        now += STEP_MS;
    }
    printf("all on the new weights after %lld ms\n", (long long)(now - 1000));
    ck_assert_int_eq(pending, 0);
    ck_assert_int_le(now - 1000, ROLLOUT_MAX_MS);
    servers_free(servers);
}
END_TEST

TEST_MAIN("rollout-plan", server_is_ordered_when_drained,
          requests_go_on_only_where_none_is_preempted,
          a_fast_engine_needs_more_free_memory,
          unknown_memory_does_not_suffice, long_answers_do_not_delay_rollout)
