#include "../relay/peer-loads.h"
#include "../relay/servers.h"
#include "test.h"

#include <stdio.h>

#define SERVERS 40
#define STEPS 20000

static server_t *
add(servers_t *servers, const char *id, int64_t started_ms)
{
    server_entry_t entry = {.service = "llm",
                            .addr = "127.0.0.1:1",
                            .engine = true,
                            .model = "m",
                            .slots = 8,
                            .started_ms = started_ms};
    str_copy(entry.id, sizeof(entry.id), id);
    return servers_put(servers, &entry, 0);
}

/* Guards against a server that is queued twice, or lost when one before,
 * behind or beside it is removed. */
START_TEST(queue_keeps_order_and_each_server_once)
{
    server_queue_t queue;
    server_t *servers = mem_zalloc(4 * sizeof(*servers));
    server_queue_init(&queue);
    for (int i = 0; i < 4; i++) {
        servers[i].load_change.server = &servers[i];
        server_queue_add(&queue, &servers[i].load_change);
        server_queue_add(&queue, &servers[i].load_change);
    }
    ck_assert_uint_eq(queue.count, 4);
    server_queue_remove(&queue, &servers[0].load_change);
    server_queue_remove(&queue, &servers[0].load_change);
    server_queue_remove(&queue, &servers[2].load_change);
    ck_assert_ptr_eq(server_queue_take(&queue), &servers[1]);
    server_queue_remove(&queue, &servers[3].load_change);
    ck_assert_ptr_null(server_queue_take(&queue));
    ck_assert_uint_eq(queue.count, 0);
    server_queue_add(&queue, &servers[1].load_change);
    server_queue_add(&queue, &servers[0].load_change);
    ck_assert_ptr_eq(server_queue_take(&queue), &servers[1]);
    ck_assert_ptr_eq(server_queue_take(&queue), &servers[0]);
    ck_assert_ptr_null(server_queue_take(&queue));
    free(servers);
}
END_TEST

/* Guards against a signal that is announced twice or not at all: several of a
 * server's signals make one announcement, and a later one another. */
START_TEST(signals_are_announced_once)
{
    servers_t *servers = servers_new();
    server_t *server = add(servers, "a", 1);
    (void)add(servers, "b", 1);
    (void)server_limit_hear(&server->limit, 1, 100);
    server_schedule_signals(server);
    ck_assert(server_set_leaving(server));
    ck_assert_ptr_eq(servers_take_signals(servers), server);
    ck_assert_ptr_null(servers_take_signals(servers));
    server_schedule_signals(server);
    ck_assert_ptr_null(servers_take_signals(servers));
    server_brittle_set_hosts(&server->brittle, 1);
    (void)server_brittle_note_stated(&server->brittle, 1, 8, 200);
    server_schedule_signals(server);
    ck_assert_ptr_eq(servers_take_signals(servers), server);
    ck_assert_ptr_null(servers_take_signals(servers));
    servers_free(servers);
}
END_TEST

/* Guards against an announcement of an earlier start's signals, and against
 * one of the present start that is lost after it. */
START_TEST(a_restart_withdraws_its_signals)
{
    servers_t *servers = servers_new();
    server_t *server = add(servers, "a", 1);
    (void)server_set_leaving(server);
    ck_assert_ptr_eq(add(servers, "a", 2), server);
    ck_assert_ptr_null(servers_take_signals(servers));
    ck_assert(server_set_leaving(server));
    ck_assert_ptr_eq(servers_take_signals(servers), server);
    servers_free(servers);
}
END_TEST

/* Guards against a freed server that is announced: the sanitizers report its
 * use.  One that took its id is announced by itself. */
START_TEST(a_freed_server_is_not_announced)
{
    servers_t *servers = servers_new();
    peer_datagram_t *datagram = mem_zalloc(sizeof(*datagram));
    const speed_notice_t notice = {2000, 5};
    server_t *old = add(servers, "a", 1);
    old->learned_speed = true;
    (void)server_set_leaving(old);
    server_apply_speed(old, &notice);
    server_add_request(old, 1000, 0);
    server_remove_request(old);
    servers_mark_removed(servers, old);
    server_t *new = add(servers, "a", 2);
    (void)server_set_leaving(new);
    servers_sweep(servers);
    ck_assert_uint_eq(servers->count, 1);
    ck_assert_uint_eq(servers->signal_changes.count, 1);
    ck_assert_uint_eq(servers->speed_changes.count, 0);
    ck_assert_ptr_eq(servers_take_signals(servers), new);
    ck_assert_ptr_null(servers_take_signals(servers));
    ck_assert_ptr_null(servers_take_speed(servers));
    ck_assert(!peer_loads_collect(servers, datagram, 100));
    ck_assert_uint_eq(servers->load_changes.count, 0);
    free(datagram);
    servers_free(servers);
}
END_TEST

/* Guards against a speed that is never announced because it was learned before
 * the learned speed applied to its service. */
START_TEST(speeds_are_announced_once_they_apply)
{
    servers_t *servers = servers_new();
    const speed_notice_t notice = {2000, 5};
    server_t *first = add(servers, "a", 1);
    server_t *second = add(servers, "b", 1);
    server_apply_speed(first, &notice);
    server_apply_speed(second, &notice);
    ck_assert_ptr_null(servers_take_speed(servers));
    second->learned_speed = true;
    server_schedule_speed(second);
    ck_assert_ptr_eq(servers_take_speed(servers), second);
    (void)server_speed_take_notice(&second->speed);
    ck_assert_ptr_null(servers_take_speed(servers));
    server_state_pace(second, 100, 0);
    ck_assert_ptr_eq(servers_take_speed(servers), first);
    (void)server_speed_take_notice(&first->speed);
    ck_assert_ptr_null(servers_take_speed(servers));
    servers_free(servers);
}
END_TEST

/* ---- comparison with a scan ---- */

typedef struct {
    servers_t *servers;
    peer_datagram_t datagram;
    rng_t rng;
    int64_t now_ms;
} fleet_t;

/* Changes a server's limit, or whether it is brittle. */
static void
change_statement(fleet_t *fleet, server_t *server)
{
    switch (rng_below(&fleet->rng, 4)) {
        case 0:
            (void)server_limit_hear(&server->limit, 5, fleet->now_ms);
            break;
        case 1:
            (void)server_limit_hear_none(&server->limit, fleet->now_ms);
            break;
        case 2:
            (void)server_brittle_note_stated(&server->brittle, 5, 8,
                                             fleet->now_ms);
            break;
        default:
            (void)server_brittle_note_unstated(&server->brittle,
                                               fleet->now_ms);
            break;
    }
    server_schedule_signals(server);
}

/* Changes something at a random server. */
static void
change_any(fleet_t *fleet)
{
    char id[CS_NAME_MAX];
    (void)snprintf(id, sizeof(id), "e%d",
                   (int)rng_below(&fleet->rng, SERVERS));
    server_t *server = servers_find(fleet->servers, id);
    const speed_notice_t notice = {
        (uint32_t)(800 + rng_below(&fleet->rng, 400)),
        (uint32_t)(1 + rng_below(&fleet->rng, 30))};
    uint64_t change = rng_below(&fleet->rng, 17);
    if (server == NULL || change == 0) {
        server = add(fleet->servers, id, fleet->now_ms);
        server->by_priority = rng_below(&fleet->rng, 2) == 0;
        return;
    }
    switch (change) {
        case 1:
            if (rng_below(&fleet->rng, 10) == 0) {
                servers_mark_removed(fleet->servers, server);
            }
            break;
        case 2:
        case 3:
            server_add_request(server, (double)rng_below(&fleet->rng, 400),
                               fleet->now_ms);
            break;
        case 4:
        case 5:
            if (server->own_running > 0) {
                server_subtract_prefill(server, server->own_prefill_tokens,
                                        fleet->now_ms);
                server_remove_request(server);
            }
            break;
        case 6:
            server_add_unshared(server,
                                (uint32_t)rng_below(&fleet->rng, 3000));
            break;
        case 7:
            server_apply_speed(server, &notice);
            break;
        case 8:
            server_observe_prefill(server, 4000, 90, fleet->now_ms);
            break;
        case 9:
            server_state_pace(server, 100, fleet->now_ms);
            break;
        case 10:
            (void)server_set_leaving(server);
            break;
        case 11:
            server_mark_unresponsive(server);
            break;
        case 12:
            server_doubt_software(server);
            break;
        case 13:
            server_note_answer(server, fleet->now_ms);
            server_confirm_software(server, server->info.started_ms);
            break;
        case 14:
        case 15:
            change_statement(fleet, server);
            break;
        default:
            server->loading_until_ms = fleet->now_ms + 300;
            break;
    }
}

/* Looks at the candidates for a probe as a tick does. */
static void
look_at_candidates(fleet_t *fleet)
{
    server_queue_t *candidates = &fleet->servers->probe_candidates;
    ck_assert_uint_le(candidates->count, fleet->servers->count);
    for (size_t left = candidates->count; left > 0; left--) {
        server_schedule_probe(server_queue_take(candidates));
    }
}

/* Announces everything that is queued, at most one announcement a server. */
static void
announce_all(fleet_t *fleet)
{
    server_t *server;
    size_t taken = 0;
    while (servers_take_signals(fleet->servers) != NULL) {
        ck_assert_uint_le(++taken, fleet->servers->count);
    }
    taken = 0;
    while ((server = servers_take_speed(fleet->servers)) != NULL) {
        (void)server_speed_take_notice(&server->speed);
        ck_assert_uint_le(++taken, fleet->servers->count);
    }
    (void)peer_loads_collect(fleet->servers, &fleet->datagram, fleet->now_ms);
    ck_assert_uint_lt(fleet->datagram.load_count, PEER_LOADS_MAX);
}

/* Checks each server for something that should have been announced. */
static void
check_nothing_left(fleet_t *fleet)
{
    server_t *server;
    CK_LIST_FOREACH (server, &fleet->servers->list, entry) {
        ck_assert(!server->leaving_unannounced && !server->limit.unannounced &&
                  !server->brittle.unannounced);
        ck_assert(server->stated_signal.queued ||
                  !server_states_signals(server));
        ck_assert(server->probe_candidate.queued ==
                  server_may_need_probe(server));
        ck_assert(server->probe_candidate.queued ||
                  !server_needs_probe(server, fleet->now_ms + 100000));
        ck_assert(server->removed || !server->speed.unannounced ||
                  !server_uses_learned_speed(server));
        server_schedule_load(server);
    }
    ck_assert(
        !peer_loads_collect(fleet->servers, &fleet->datagram, fleet->now_ms));
}

/* Guards against a change that a scan of all servers would announce, or a
 * probe that it would send, and the queues leave out, whatever happens to the
 * servers meanwhile. */
START_TEST(queues_hold_what_a_scan_would_find)
{
    fleet_t *fleet = mem_zalloc(sizeof(*fleet));
    fleet->servers = servers_new();
    fleet->rng = (rng_t){1};
    for (int i = 0; i < STEPS; i++) {
        change_any(fleet);
        fleet->now_ms += (int64_t)rng_below(&fleet->rng, 20);
        if (rng_below(&fleet->rng, 10) == 0) {
            announce_all(fleet);
            look_at_candidates(fleet);
            check_nothing_left(fleet);
            servers_sweep(fleet->servers);
        }
    }
    servers_free(fleet->servers);
    free(fleet);
}
END_TEST

TEST_MAIN("server-queue", queue_keeps_order_and_each_server_once,
          signals_are_announced_once, a_restart_withdraws_its_signals,
          a_freed_server_is_not_announced,
          speeds_are_announced_once_they_apply,
          queues_hold_what_a_scan_would_find)
