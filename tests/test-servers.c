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

/* Guards against a server that stays unused after its weights have loaded.
 * Peers are notified of the start of a load; if the ordering host learns of
 * its end from the platform's list, it notifies no peer, and only the entry
 * in the list can end the wait before the notice expires. */
START_TEST(server_is_used_once_listed_with_new_weights)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    server_t *server = servers_put(servers, &entry, 0);
    server->loading_until_ms = 5000;
    (void)servers_put(servers, &entry, 0);
    ck_assert_int_eq(server->loading_until_ms, 5000);
    entry.weights = 2;
    (void)servers_put(servers, &entry, 0);
    ck_assert_int_eq(server->loading_until_ms, 0);
    servers_free(servers);
}
END_TEST

/* A server's load report, which a peer may have passed on, adds to the wait
 * until it expires; this host's own requests always do. */
START_TEST(taken_slots_add_to_the_wait)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    entry.slots = 4;
    server_t *server = servers_put(servers, &entry, 0);
    ck_assert_double_eq(server_slot_wait_ms(server, 1000), 0);
    server_observe_slot_time(server, 800);
    server_set_load(server, 3, 0, 1000);
    ck_assert_double_eq(server_slot_wait_ms(server, 1000), 0);
    server_set_load(server, 4, 0, 1000);
    ck_assert_double_eq(server_slot_wait_ms(server, 1000), 200);
    server_set_load(server, 4, 3, 1000);
    ck_assert_double_eq(server_slot_wait_ms(server, 1500), 800);
    ck_assert_double_eq(server_slot_wait_ms(server, 2500), 0);
    for (int i = 0; i < 5; i++) {
        server_add_request(server, 0, 2500);
    }
    ck_assert_double_eq(server_slot_wait_ms(server, 2500), 400);
    servers_free(servers);
}
END_TEST

/* Only a nearly full server is announced, and not with each answer. */
START_TEST(nearly_full_server_is_announced_at_intervals)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    entry.slots = 16;
    server_t *server = servers_put(servers, &entry, 0);
    server_set_load(server, 11, 0, 1000);
    ck_assert(!server_should_announce_load(server, 1000));
    server_set_load(server, 10, 2, 1000);
    ck_assert(server_should_announce_load(server, 1000));
    server_set_load(server, 16, 2, 1100);
    ck_assert(!server_should_announce_load(server, 1100));
    server_set_load(server, 16, 2, 1300);
    ck_assert(server_should_announce_load(server, 1300));
    servers_free(servers);
}
END_TEST

/* What a server has said of itself ends with its next start, also if that has
 * the same id and address, and not with a new entry of the same start. */
START_TEST(signals_of_an_earlier_start_are_forgotten)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    entry.started_ms = 1000;
    server_t *server = servers_put(servers, &entry, 0);
    uint32_t incarnation = server_incarnation(server);
    ck_assert(server_set_leaving(server));
    ck_assert(!server_set_leaving(server));
    (void)server_limit_hear(&server->limit, 1, 100);
    (void)server_rest_begin(&server->rest, 5000, 100);
    (void)servers_put(servers, &entry, 0);
    ck_assert(!server_is_usable(server, 200));
    ck_assert(!server_allows_request(server, 200));
    entry.started_ms = 2000;
    (void)servers_put(servers, &entry, 0);
    ck_assert(server_is_usable(server, 200));
    ck_assert(server_allows_request(server, 200));
    ck_assert_uint_ne(server_incarnation(server), incarnation);
    servers_free(servers);
}
END_TEST

/* ---- simulated latency ---- */

#define SIM_SERVERS 6
#define SIM_SLOTS 4
#define SIM_SLOT_TIME_MS 500.0
#define SIM_REQUESTS_PER_S 30
#define SIM_SECONDS 60
#define SIM_TARGET_MS 400.0
#define SIM_SHARED_TOKENS 200

typedef struct {
    server_t *server;
    double free_ms[SIM_SLOTS]; /* time when each slot becomes free */
} sim_server_t;

/* Takes the slot that is free first and returns the wait for it. */
static double
sim_take_slot(sim_server_t *sim, double now)
{
    int first = 0;
    for (int i = 1; i < SIM_SLOTS; i++) {
        first = sim->free_ms[i] < sim->free_ms[first] ? i : first;
    }
    double begin = sim->free_ms[first] > now ? sim->free_ms[first] : now;
    sim->free_ms[first] = begin + SIM_SLOT_TIME_MS;
    return begin - now;
}

/* Sets the server's load report, as an answer would. */
static void
sim_report(sim_server_t *sim, double now)
{
    int taken = 0;
    for (int i = 0; i < SIM_SLOTS; i++) {
        double remaining_ms = sim->free_ms[i] - now;
        taken +=
            remaining_ms > 0 ? (int)(remaining_ms / SIM_SLOT_TIME_MS) + 1 : 0;
    }
    server_set_load(sim->server, taken, 0, (int64_t)now);
}

/* Guards against requests that queue at their home server while others are
 * idle: short prompts that all share one part have the same home, whose few
 * slots are taken by running answers. */
START_TEST(hot_part_does_not_queue_at_its_home)
{
    servers_t *servers = servers_new();
    sim_server_t all[SIM_SERVERS] = {0};
    int in_time = 0;
    int total = SIM_REQUESTS_PER_S * SIM_SECONDS;
    for (int i = 0; i < SIM_SERVERS; i++) {
        server_entry_t entry = on_old;
        (void)snprintf(entry.id, sizeof(entry.id), "s%d", i);
        entry.slots = SIM_SLOTS;
        all[i].server = servers_put(servers, &entry, 0);
        server_observe_slot_time(all[i].server, SIM_SLOT_TIME_MS);
    }
    for (int n = 0; n < total; n++) {
        double now = 1000 + n * 1000.0 / SIM_REQUESTS_PER_S;
        candidate_t candidates[SIM_SERVERS] = {0};
        prefix_t shared = {.tokens = SIM_SHARED_TOKENS};
        for (int i = 0; i < SIM_SERVERS; i++) {
            sim_report(&all[i], now);
            candidates[i].wait_ms =
                server_slot_wait_ms(all[i].server, (int64_t)now);
            candidates[i].prefill_rate = 48000;
            candidates[i].cached_tokens = i == 0 ? SIM_SHARED_TOKENS : 0;
            candidates[i].rendezvous_weight =
                place_rendezvous_weight(7, all[i].server->info.id);
        }
        place_query_t query = {.prefix = &shared,
                               .objective = OBJECTIVE_TAIL_LATENCY};
        size_t best =
            policy_find("cost")->choose(candidates, SIM_SERVERS, &query);
        in_time += sim_take_slot(&all[best], now) <= SIM_TARGET_MS ? 1 : 0;
    }
    printf("in time: %d of %d\n", in_time, total);
    ck_assert_int_ge(in_time * 100, total * 95);
    servers_free(servers);
}
END_TEST

/* Guards against fetches from an unreachable server, which cost half a second:
 * its estimated cache contents stay, since no request evicts them.  A server
 * is a source only while it answers some host. */
START_TEST(unreachable_server_is_no_fetch_source)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    server_t *server = servers_put(servers, &entry, 0);
    ck_assert(!server_is_fetch_source(server, 10000));
    server_note_answer(server, 10000);
    ck_assert(server_is_fetch_source(server, 11900));
    ck_assert(!server_is_fetch_source(server, 12000));
    server_confirm_alive(server, 12000);
    ck_assert(server_is_fetch_source(server, 12500));
    server->unresponsive = true;
    ck_assert(!server_is_fetch_source(server, 12500));
    servers_free(servers);
}
END_TEST

/* Guards against a late report that takes back newer weights: the server would
 * be named as a source of parts of the older ones. */
START_TEST(late_report_does_not_take_back_weights)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    entry.started_ms = 100;
    server_t *server = servers_put(servers, &entry, 0);
    entry.weights = 2;
    (void)servers_put(servers, &entry, 0);
    ck_assert(!server_update_weights(server, 1, 100));
    ck_assert_int_eq(server->info.weights, 2);
    ck_assert(!server_update_weights(server, 1, 0));
    ck_assert_int_eq(server->info.weights, 2);
    ck_assert(server_update_weights(server, 3, 100));
    ck_assert_int_eq(server->info.weights, 3);
    servers_free(servers);
}
END_TEST

/* Guards against a late entry that takes back newer weights, which a peer has
 * reported before the store's watch brought the entry. */
START_TEST(late_entry_does_not_take_back_weights)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    server_t *server = servers_put(servers, &entry, 0);
    ck_assert(server_update_weights(server, 2, 0));
    server_keep_weights(server, &entry);
    ck_assert_int_eq(entry.weights, 2);
    servers_free(servers);
}
END_TEST

/* A server that restarts may have older weights than before. */
START_TEST(restarted_server_may_have_older_weights)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    entry.started_ms = 100;
    entry.weights = 2;
    server_t *server = servers_put(servers, &entry, 0);
    ck_assert(server_update_weights(server, 1, 200));
    ck_assert_int_eq(server->info.weights, 1);
    entry.started_ms = 200;
    entry.weights = 0;
    server_keep_weights(server, &entry);
    ck_assert_int_eq(entry.weights, 0);
    servers_free(servers);
}
END_TEST

/* Guards against urgent requests that preempt one which has gone on through a
 * load: the time since a load counts anew for each version. */
START_TEST(use_of_weights_counts_from_their_first_request)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    server_t *server = servers_put(servers, &entry, 0);
    ck_assert_int_eq(server_use_weights(server, 1000), 0);
    ck_assert_int_eq(server_use_weights(server, 9000), 8000);
    ck_assert(server_update_weights(server, 2, 0));
    ck_assert_int_eq(server_use_weights(server, 9500), 0);
    ck_assert_int_eq(server_use_weights(server, 9700), 200);
    servers_free(servers);
}
END_TEST

/* Guards against a server that started again with other software and is taken
 * to have that of its older entry. */
START_TEST(a_restarted_server_has_not_the_software_of_its_old_entry)
{
    servers_t *servers = servers_new();
    server_entry_t entry = {.id = "e1",
                            .addr = "10.0.0.1:1",
                            .started_ms = 1000,
                            .software = software_from_name("v1")};
    server_t *server = servers_put(servers, &entry, 0);
    server_confirm_software(server, 1000);
    ck_assert_uint_eq(server->info.software, entry.software);
    server_confirm_software(server, 2000);
    uint64_t restarted = server->info.software;
    ck_assert_uint_ne(restarted, entry.software);
    (void)servers_put(servers, &entry, 0);
    ck_assert_uint_eq(server->info.software, restarted);
    entry.started_ms = 2000;
    entry.software = software_from_name("v2");
    (void)servers_put(servers, &entry, 0);
    ck_assert_uint_eq(server->info.software, entry.software);
    servers_free(servers);
}
END_TEST

/* Guards against a stream that began at a restarted server and ends, or goes
 * on at another version, once an entry names the version of that start. */
START_TEST(an_entry_names_the_software_of_its_start_alone)
{
    servers_t *servers = servers_new();
    server_entry_t entry = {.id = "e1",
                            .addr = "10.0.0.1:1",
                            .started_ms = 1000,
                            .software = software_from_name("v1")};
    server_t *server = servers_put(servers, &entry, 0);
    uint64_t first = server_software_of_start(server, 1000);
    uint64_t second = server_software_of_start(server, 2000);
    server_confirm_software(server, 2000);
    ck_assert_int_eq(server_process_start_ms(server), 2000);
    ck_assert_uint_eq(server->info.software, second);
    ck_assert_uint_eq(servers_name_software(servers, second), second);
    ck_assert_uint_eq(servers_name_software(servers, first), first);
    entry.started_ms = 2000;
    entry.software = software_from_name("v2");
    (void)servers_put(servers, &entry, 0);
    ck_assert_uint_eq(servers_name_software(servers, second), entry.software);
    ck_assert_uint_eq(servers_name_software(servers, first), first);
    ck_assert_uint_eq(servers_name_software(servers, SOFTWARE_UNKNOWN),
                      SOFTWARE_UNKNOWN);
    servers_free(servers);
}
END_TEST

/* Deployments whose servers report no pace must be placed as before, whatever
 * has been learned. */
START_TEST(learned_speed_is_unused_without_a_pace)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    server_t *server = servers_put(servers, &entry, 0);
    server->slowness = 1.5;
    for (int i = 0; i < 200; i++) {
        server_observe_prefill(server, 6000, 60, i);
    }
    servers_centre_speeds(servers);
    ck_assert(!server_uses_learned_speed(server));
    ck_assert_double_eq(server_prefill_rate(server, 300), 32);
    ck_assert_double_eq(server_mean_prefill_rate(server), 48);
    ck_assert_double_eq(server_plain_extra_ms(server, 300), 0);
    server->backlog_tokens = 32000;
    server->backlog_updated_ms = 300;
    ck_assert_double_eq_tol(server_update_backlog(server, 400),
                            32000 - 100 * 32 * 0.85, 1e-9);
    server->learned_speed = true;
    ck_assert(server_uses_learned_speed(server));
    ck_assert_double_gt(server_prefill_rate(server, 300), 100);
    ck_assert_double_gt(server_prefill_rate_max(server), 200);
    server->learned_speed = false;
    ck_assert_double_eq(server_prefill_rate_max(server), 48);
    servers_free(servers);
}
END_TEST

/* One server's pace shows that its service reports paces; it holds for that
 * server alone, and not for other services. */
START_TEST(reported_pace_applies_to_its_server)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    server_t *server = servers_put(servers, &entry, 0);
    str_copy(entry.id, sizeof(entry.id), "b");
    server_t *second = servers_put(servers, &entry, 0);
    str_copy(entry.id, sizeof(entry.id), "c");
    str_copy(entry.service, sizeof(entry.service), "other");
    server_t *foreign = servers_put(servers, &entry, 0);
    server_state_pace(server, 250, 1000);
    ck_assert(server_uses_learned_speed(server));
    ck_assert(server_uses_learned_speed(second));
    ck_assert(!server_uses_learned_speed(foreign));
    ck_assert_double_eq_tol(server_prefill_rate(server, 1000), 48 / 2.5, 1e-9);
    ck_assert_double_eq_tol(server_prefill_rate(second, 1000), 48, 1e-9);
    ck_assert_double_eq_tol(server_prefill_rate(server, 2000), 48, 1e-9);
    server_observe_plain_work(server, 100, 1000);
    ck_assert_double_eq_tol(server_plain_extra_ms(server, 1000), 60, 1e-9);
    ck_assert_double_eq(server_plain_extra_ms(second, 1000), 0);
    servers_free(servers);
}
END_TEST

/* A machine that starts again under its id may be another one. */
START_TEST(restart_forgets_ratio_and_pace)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    const speed_notice_t notice = {1700, 12};
    entry.started_ms = 1;
    server_t *server = servers_put(servers, &entry, 0);
    ck_assert(server_speed_apply(&server->speed, &notice));
    server_state_pace(server, 250, 1000);
    uint32_t incarnation = server_incarnation(server);
    (void)servers_put(servers, &entry, 1000);
    ck_assert_double_gt(server_speed_ratio(&server->speed), 1.5);
    entry.started_ms = 2;
    (void)servers_put(servers, &entry, 1000);
    ck_assert(server_incarnation(server) != incarnation);
    ck_assert_double_eq(server_speed_ratio(&server->speed), 1);
    ck_assert_double_eq(server_speed_pace(&server->speed, 1000), 1);
    servers_free(servers);
}
END_TEST

/* Guards against a sound server that is taken for a silent one since the host
 * itself does not read its answers, and against one that has fallen silent
 * meanwhile and is not noticed. */
START_TEST(answers_that_are_not_read_do_not_make_a_server_silent)
{
    servers_t *servers = servers_new();
    server_t *server = servers_put(servers, &on_old, 0);
    server_add_request(server, 0, 1000);
    ck_assert(server_needs_probe(server, 1300));
    server_note_answer(server, 1300);
    server_stop_reading(server);
    ck_assert(!server_needs_probe(server, 3000));
    server_resume_reading(server, 3000);
    ck_assert(!server_needs_probe(server, 3200));
    ck_assert(server_needs_probe(server, 3300));
    /* Another request is read on. */
    server_stop_reading(server);
    server_add_request(server, 0, 3300);
    ck_assert(server_needs_probe(server, 3600));
    servers_free(servers);
}
END_TEST

/* Guards against each host losing a request to a silent server that another
 * one has noticed already. */
START_TEST(a_silent_server_is_suspected_by_other_hosts)
{
    servers_t *servers = servers_new();
    server_t *server = servers_put(servers, &on_old, 0);
    server_apply_silence(server, 1000);
    ck_assert(!server_is_suspected(server, 1001));
    server->learned_speed = true;
    server_apply_silence(server, 1000);
    ck_assert(server_is_suspected(server, 1001));
    ck_assert(server_is_usable(server, 1001));
    ck_assert(!server_is_suspected(server, 2200));
    server_apply_silence(server, 3000);
    server_note_answer(server, 3100);
    ck_assert(!server_is_suspected(server, 3100));
    servers_free(servers);
}
END_TEST

/* Guards against one host with a broken path that keeps others from a server
 * that answers them. */
START_TEST(a_server_that_has_just_answered_is_not_suspected)
{
    servers_t *servers = servers_new();
    server_t *server = servers_put(servers, &on_old, 0);
    server->learned_speed = true;
    server_note_answer(server, 900);
    server_apply_silence(server, 1000);
    ck_assert(!server_is_suspected(server, 1001));
    servers_free(servers);
}
END_TEST

TEST_MAIN("servers", a_restarted_server_has_not_the_software_of_its_old_entry,
          signals_of_an_earlier_start_are_forgotten,
          server_is_used_once_listed_with_new_weights,
          answers_that_are_not_read_do_not_make_a_server_silent,
          taken_slots_add_to_the_wait,
          nearly_full_server_is_announced_at_intervals,
          hot_part_does_not_queue_at_its_home,
          unreachable_server_is_no_fetch_source,
          late_report_does_not_take_back_weights,
          late_entry_does_not_take_back_weights,
          restarted_server_may_have_older_weights,
          use_of_weights_counts_from_their_first_request,
          an_entry_names_the_software_of_its_start_alone,
          learned_speed_is_unused_without_a_pace,
          reported_pace_applies_to_its_server,
          a_silent_server_is_suspected_by_other_hosts,
          a_server_that_has_just_answered_is_not_suspected,
          restart_forgets_ratio_and_pace)
