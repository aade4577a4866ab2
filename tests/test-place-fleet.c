#include "../relay/admit.h"
#include "../relay/peer-loads.h"
#include "../relay/request.h"
#include "test.h"

#include <string.h>

/* Simulates many hosts that send prompts to the same engines, in virtual time.
 * Each host knows its own requests, and learns of the others' by their delayed
 * load reports. */

#define HOSTS 25
#define ENGINES 45
#define ENGINE_TOKENS_PER_MS 48.0
#define REPORT_INTERVAL_MS 50
#define RUN_MS 6000
#define WARM_MS 1000
/* Under overload the forecast margin of the hosts must settle first. */
#define OVERLOAD_RUN_MS 9000
#define OVERLOAD_WARM_MS 3000
#define TARGET_MS 1200
#define DEADLINE_MS 3000
#define REQUESTS_MAX 40000

typedef struct {
    size_t host;
    size_t engine;
    double tokens;
    double wait_ms;     /* for prompts queued ahead of it */
    double expected_ms; /* from its arrival until it is prefilled */
    int64_t received_ms;
    double prefilled_ms; /* end of the prefill of its prompt */
    bool finished;
} placed_t;

typedef struct {
    relay_t *hosts[HOSTS];
    server_t *servers[HOSTS][ENGINES];
    double free_ms[ENGINES]; /* when the engine's queue is empty */
    placed_t placed[REQUESTS_MAX];
    size_t count;
    relay_config_t *config;
    bool admission;
    int64_t run_ms;
    int64_t warm_ms;
    size_t rejected;
    double prefill_tokens; /* of prompts admitted after warm_ms */
    rng_t rng;
} fleet_t;

static relay_t *
host_new(fleet_t *fleet, size_t host)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    str_copy(relay->settings.dc, sizeof(relay->settings.dc), "dc-a");
    relay->rng.state = host + 1;
    relay->config = fleet->config;
    relay->servers = servers_new();
    relay->cache_map = cache_map_new(64);
    for (size_t i = 0; i < ENGINES; i++) {
        server_entry_t entry = {.slots = 64, .engine = true, .weights = 1};
        (void)snprintf(entry.id, sizeof(entry.id), "engine-%zu", i);
        str_copy(entry.service, sizeof(entry.service), "llm");
        str_copy(entry.dc, sizeof(entry.dc), "dc-a");
        str_copy(entry.model, sizeof(entry.model), "m");
        fleet->servers[host][i] = servers_put(relay->servers, &entry, 0);
    }
    return relay;
}

static fleet_t *
fleet_new(uint64_t seed)
{
    fleet_t *fleet = mem_zalloc(sizeof(*fleet));
    fleet->rng.state = seed;
    fleet->run_ms = RUN_MS;
    fleet->warm_ms = WARM_MS;
    fleet->config = relay_config_new();
    log_setup("test", LOG_ERROR);
    for (size_t i = 0; i < HOSTS; i++) {
        fleet->hosts[i] = host_new(fleet, i);
    }
    return fleet;
}

static void
fleet_free(fleet_t *fleet)
{
    for (size_t i = 0; i < HOSTS; i++) {
        servers_free(fleet->hosts[i]->servers);
        cache_map_free(fleet->hosts[i]->cache_map);
        free(fleet->hosts[i]);
    }
    relay_config_release(fleet->config);
    free(fleet);
}

static size_t
find_engine(const fleet_t *fleet, size_t host, const server_t *server)
{
    size_t index = 0;
    while (fleet->servers[host][index] != server) {
        index++;
    }
    return index;
}

/* A random host receives a prompt without a shared part. */
static void
fleet_place(fleet_t *fleet, double tokens, int64_t now)
{
    size_t host = rng_below(&fleet->rng, HOSTS);
    request_t request = {
        .relay = fleet->hosts[host], .config = fleet->config, .engine = true};
    str_copy(request.service, sizeof(request.service), "llm");
    str_copy(request.prompt.model, sizeof(request.prompt.model), "m");
    request.prompt.count = 1;
    request.prompt.parts[0] = rng_next(&fleet->rng);
    request.prompt.tokens[0] = (uint32_t)tokens;
    request.prompt.prompt_tokens = (uint32_t)tokens;
    request.affinity_key = rng_next(&fleet->rng);
    server_t *server = request_choose_server(&request, now);
    ck_assert_ptr_nonnull(server);
    const admit_input_t input = {
        .wait_ms = request.expected_wait_ms,
        .prefill_ms = request.expected_prefill_ms,
        .margin_ms = forecast_margin_ms(&request.relay->forecast),
        .target_ms = TARGET_MS,
        .remaining_ms = DEADLINE_MS,
        .engine = true};
    if (fleet->admission && admit_retry_after_ms(&input) > 0) {
        fleet->rejected++;
        return;
    }
    fleet->prefill_tokens += now > fleet->warm_ms ? tokens : 0;
    size_t engine = find_engine(fleet, host, server);
    double begin = (double)now;
    begin = fleet->free_ms[engine] > begin ? fleet->free_ms[engine] : begin;
    fleet->free_ms[engine] = begin + tokens / ENGINE_TOKENS_PER_MS;
    server_add_request(server, tokens, now);
    ck_assert_uint_lt(fleet->count, REQUESTS_MAX);
    fleet->placed[fleet->count++] = (placed_t){
        .host = host,
        .engine = engine,
        .tokens = tokens,
        .wait_ms = begin - (double)now,
        .expected_ms = request.expected_wait_ms + request.expected_prefill_ms,
        .received_ms = now,
        .prefilled_ms = fleet->free_ms[engine]};
}

static void
fleet_finish(fleet_t *fleet, int64_t now)
{
    for (size_t i = 0; i < fleet->count; i++) {
        placed_t *placed = &fleet->placed[i];
        if (!placed->finished && placed->prefilled_ms <= (double)now) {
            server_t *server = fleet->servers[placed->host][placed->engine];
            server_subtract_prefill(server, placed->tokens, now);
            server_remove_request(server);
            forecast_update(
                &fleet->hosts[placed->host]->forecast, placed->expected_ms,
                placed->prefilled_ms - (double)placed->received_ms);
            placed->finished = true;
        }
    }
}

static void
fleet_announce(fleet_t *fleet, int64_t now)
{
    static peer_datagram_t datagram;
    for (size_t from = 0; from < HOSTS; from++) {
        if ((now + (int64_t)from * 2) % REPORT_INTERVAL_MS != 0 ||
            !peer_loads_collect(fleet->hosts[from]->servers, &datagram, now)) {
            continue;
        }
        for (size_t to = 0; to < HOSTS; to++) {
            if (to != from) {
                peer_loads_apply(fleet->hosts[to]->servers, from + 1,
                                 &datagram, now);
            }
        }
    }
}

static void
fleet_run(fleet_t *fleet, double utilisation, double tokens)
{
    double requests_per_ms =
        utilisation * ENGINES * ENGINE_TOKENS_PER_MS / tokens;
    for (int64_t now = 1; now <= fleet->run_ms; now++) {
        fleet_finish(fleet, now);
        fleet_announce(fleet, now);
        double due = requests_per_ms;
        while (due > 0) {
            if (rng_unit(&fleet->rng) < due) {
                fleet_place(fleet, tokens * (0.5 + rng_unit(&fleet->rng)),
                            now);
            }
            due -= 1;
        }
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Returns a quantile of the wait of requests prefilled after warm_ms, ms. */
static double
wait_quantile(const fleet_t *fleet, double quantile)
{
    static double waits[REQUESTS_MAX];
    size_t count = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const placed_t *placed = &fleet->placed[i];
        if (placed->prefilled_ms > (double)fleet->warm_ms) {
            waits[count++] = placed->wait_ms;
        }
    }
    ck_assert_uint_gt(count, 100);
    qsort(waits, count, sizeof(double), compare_doubles);
    return waits[(size_t)((double)(count - 1) * quantile)];
}

/* Callers of an interactive route expect the first token within a second.  A
 * tenth of that may be spent on queueing, a fifth where prompts take 140 ms to
 * prefill. */
#define SMALL_WAIT_MS 100
#define LARGE_WAIT_MS 200

/* Guards against a herd effect: all hosts choose the server that the last load
 * reports show idle. */
START_TEST(small_prompts_spread_over_servers)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        fleet_t *fleet = fleet_new(seed);
        fleet_run(fleet, 0.7, 1800);
        ck_assert_double_le(wait_quantile(fleet, 0.95), SMALL_WAIT_MS);
        fleet_free(fleet);
    }
}
END_TEST

/* The same for prompts that keep a server busy for longer than the interval of
 * load reports. */
START_TEST(large_prompts_spread_over_servers)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        fleet_t *fleet = fleet_new(seed);
        fleet_run(fleet, 0.7, 6600);
        ck_assert_double_le(wait_quantile(fleet, 0.95), LARGE_WAIT_MS);
        fleet_free(fleet);
    }
}
END_TEST

/* Returns the share of their time that the servers spend on prefill. */
static double
prefill_share(const fleet_t *fleet)
{
    return fleet->prefill_tokens / ENGINE_TOKENS_PER_MS /
           (double)(ENGINES * (fleet->run_ms - fleet->warm_ms));
}

/* Guards against servers that prefill without a pause: the answers that they
 * are generating then take so long that they miss their deadlines. */
START_TEST(overload_leaves_time_for_generation)
{
    static const double loads[] = {1.2, 1.5, 2.5, 5};
    for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
        fleet_t *fleet = fleet_new(i + 1);
        fleet->admission = true;
        fleet->run_ms = OVERLOAD_RUN_MS;
        fleet->warm_ms = OVERLOAD_WARM_MS;
        fleet_run(fleet, loads[i], 1800);
        ck_assert_double_le(prefill_share(fleet), 0.92);
        ck_assert_double_ge(prefill_share(fleet), 0.8);
        ck_assert_double_le(wait_quantile(fleet, 0.95), TARGET_MS / 2.0);
        fleet_free(fleet);
    }
}
END_TEST

/* Guards against rejecting requests while the servers have capacity left. */
START_TEST(no_request_is_rejected_below_capacity)
{
    fleet_t *fleet = fleet_new(1);
    fleet->admission = true;
    fleet_run(fleet, 0.7, 1800);
    ck_assert_uint_eq(fleet->rejected, 0);
    fleet_free(fleet);
}
END_TEST

/* Guards against rejecting requests although servers are idle: the cost of
 * older weights or of errors must not count as expected wait. */
START_TEST(penalties_do_not_count_as_wait)
{
    fleet_t *fleet = fleet_new(1);
    relay_t *relay = fleet->hosts[0];
    request_t request = {
        .relay = relay, .config = fleet->config, .engine = true};
    str_copy(request.service, sizeof(request.service), "llm");
    str_copy(request.prompt.model, sizeof(request.prompt.model), "m");
    request.prompt.count = 1;
    request.prompt.prompt_tokens = 100;
    relay->settings.old_weights_max_ms = 60000;
    weights_record(relay, "m", 2, time_wall_ms());
    for (size_t i = 0; i < ENGINES; i++) {
        fleet->servers[0][i]->error_share = 0.5;
    }
    ck_assert_ptr_nonnull(request_choose_server(&request, 1));
    ck_assert_double_eq(request.expected_wait_ms, 0);
    fleet_free(fleet);
}
END_TEST

TEST_MAIN("place-fleet", small_prompts_spread_over_servers,
          large_prompts_spread_over_servers,
          overload_leaves_time_for_generation,
          no_request_is_rejected_below_capacity,
          penalties_do_not_count_as_wait)
