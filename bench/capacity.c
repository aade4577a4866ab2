#include "../fakes/fakes.h"
#include "../kernel/claim.h"
#include "../kernel/peer-codec.h"
#include "../kernel/tables.h"
#include "../relay/peer-loads.h"
#include "../relay/peers-internal.h"
#include "../relay/servers.h"
#include "../relay/software-listed.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Measures the figures in docs/CAPACITY.md: how a daemon's memory and
 * processor time grow with the number of cache map entries, workspaces,
 * backend servers, and so on.  Runs in one process, without I/O. */

static double
process_cpu_us(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
measure_cache_map(void)
{
    static const size_t sizes[] = {16384, 65536, 262144};
    for (size_t s = 0; s < 3; s++) {
        cache_map_t *map = cache_map_new(sizes[s]);
        rng_t rng = {1};
        double started_us = process_cpu_us();
        for (size_t i = 0; i < sizes[s]; i++) {
            (void)cache_map_add_holder(map, (uint16_t)(i % 600),
                                       rng_next(&rng), 512);
        }
        double insert_us = process_cpu_us() - started_us;
        started_us = process_cpu_us();
        size_t known = 0;
        for (size_t i = 0; i < sizes[s]; i++) {
            known += cache_map_has_key(map, rng_next(&rng));
        }
        double lookup_us = process_cpu_us() - started_us;
        (void)printf(
            "cache map, %zu entries: %.0f bytes each, %.2f us per "
            "insert, %.2f us per lookup (%zu known)\n",
            sizes[s], (double)cache_map_memory_bytes(map) / (double)sizes[s],
            insert_us / (double)sizes[s], lookup_us / (double)sizes[s], known);
        cache_map_free(map);
    }
}

static json_t *
config_doc(int workspaces, int backends)
{
    json_t *doc = config_empty();
    (void)json_object_set_new(json_object_get(doc, "models"), "m",
                              json_pack("{s:s}", "version", "v1"));
    for (int i = 0; i < workspaces; i++) {
        char name[32];
        char hash[KEY_HASH_LEN + 1];
        (void)snprintf(name, sizeof(name), "workspace-%d", i);
        config_hash_key(name, hash);
        (void)json_object_set_new(json_object_get(doc, "workspaces"), name,
                                  json_pack("{s:s,s:i,s:i}", "key_hash", hash,
                                            "share", 1, "priority", 0));
    }
    for (int i = 0; i < backends; i++) {
        char name[32];
        (void)snprintf(name, sizeof(name), "engine-%d", i);
        (void)json_object_set_new(
            json_object_get(doc, "backends"), name,
            json_pack("{s:s,s:s,s:s,s:s,s:b}", "addr", "127.0.0.1:9001", "dc",
                      "dc-1", "kind", "engine", "serves", "m",
                      "honours_fencing", true));
    }
    return doc;
}

static void
measure_config(void)
{
    static const int sizes[][2] = {{8, 12}, {2000, 60}, {20000, 600}};
    for (int s = 0; s < 3; s++) {
        CLEAN_JSON json_t *doc = config_doc(sizes[s][0], sizes[s][1]);
        CLEAN_TEXT char *text = json_dumps(doc, JSON_COMPACT);
        err_t err = {0};
        double started_us = process_cpu_us();
        CLEAN_JSON json_t *parsed = json_loads(text, 0, NULL);
        config_t *config = config_parse(parsed, &err);
        double elapsed_us = process_cpu_us() - started_us;
        (void)printf(
            "configuration, %d workspaces and %d backend servers: %zu bytes, "
            "%.1f ms to parse and validate\n",
            sizes[s][0], sizes[s][1], strlen(text), elapsed_us / 1000);
        config_release(config);
    }
}

static void
measure_placement(void)
{
    static const int sizes[] = {9, 60, 200};
    static candidate_t candidates[256];
    for (int s = 0; s < 3; s++) {
        CLEAN_JSON json_t *doc = config_doc(8, sizes[s]);
        err_t err = {0};
        config_t *config = config_parse(doc, &err);
        view_t *view = view_new();
        cache_map_t *cache = cache_map_new(65536);
        prefix_t prefix = {.tokens = 2500, .count = 4};
        for (unsigned i = 0; i < 4; i++) {
            prefix.levels[i] = (prefix_level_t){i + 1, 600 * (i + 1)};
        }
        place_context_t context = {
            .config = config, .view = view, .cache = cache, .dc = "dc-1"};
        place_query_t query = {.prefix = &prefix};
        const int rounds = 2000;
        double started_us = process_cpu_us();
        for (int i = 0; i < rounds; i++) {
            size_t count = place_list_candidates(&context, "m", &prefix, NULL,
                                                 candidates, 256);
            query.placement_count +=
                policy_find("cost")->choose(candidates, count, &query);
        }
        (void)printf("placement among %d backend servers: %.1f us\n", sizes[s],
                     (process_cpu_us() - started_us) / rounds);
        config_release(config);
        view_free(view);
        cache_map_free(cache);
    }
}

static void
measure_prefix_keys(void)
{
    static const size_t sizes[] = {4096, 16384, 65536};
    for (int s = 0; s < 3; s++) {
        CLEAN_TEXT char *text = mem_zalloc(sizes[s] + 1);
        prefix_t prefix;
        memset(text, 'x', sizes[s]);
        CLEAN_JSON json_t *messages =
            json_pack("[{s:s,s:s}]", "role", "user", "content", text);
        double started_us = process_cpu_us();
        for (int i = 0; i < 500; i++) {
            prefix_compute(&prefix, messages, "salt", "v1");
        }
        (void)printf("prefix keys of %zu bytes: %.1f us\n", sizes[s],
                     (process_cpu_us() - started_us) / 500);
    }
}

static void
measure_cache_events(void)
{
    engine_cache_t *engine = engine_cache_new(4096);
    rng_t rng = {1};
    for (int i = 0; i < 4000; i++) {
        engine_cache_store(engine, rng_next(&rng));
    }
    CLEAN_JSON json_t *events = engine_cache_list_events(engine, 0, 0, &rng);
    CLEAN_TEXT char *text = json_dumps(events, JSON_COMPACT);
    cache_map_t *cache = cache_map_new(65536);
    double started_us = process_cpu_us();
    CLEAN_JSON json_t *parsed = json_loads(text, 0, NULL);
    size_t i;
    const json_t *event;
    size_t known = 0;
    json_array_foreach (parsed, i, event) {
        uint64_t key = (uint64_t)json_integer_value(json_array_get(event, 2));
        known += cache_map_has_key(cache, key);
    }
    (void)printf("cache events: %.2f us and %.0f bytes each (%zu known)\n",
                 (process_cpu_us() - started_us) / (double)i,
                 (double)strlen(text) / (double)i, known);
    cache_map_free(cache);
    engine_cache_free(engine);
}

static void
measure_peer_facts(void)
{
    static peer_datagram_t datagram;
    unsigned char data[PEER_DATAGRAM_MAX];
    unsigned char secret[32] = {1};
    datagram = (peer_datagram_t){.kind = PEER_FACTS, .fact_count = 50};
    for (size_t i = 0; i < 50; i++) {
        peer_fact_t *fact = &datagram.facts[i];
        (void)snprintf(fact->backend, CS_NAME_MAX, "engine-%zu", i);
        fact->is_load = true;
        id_random(fact->load.incarnation);
        str_copy(fact->load.version, CS_NAME_MAX, "v1");
        fact->load.waiting_tokens = 12345;
        fact->load.prefill_rate = 20000;
    }
    size_t load_bytes = peer_encode(&datagram, secret, data);
    for (size_t i = 0; i < 50; i++) {
        datagram.facts[i].is_load = false;
        datagram.facts[i].key = 0xfedcba9876543210ULL;
        datagram.facts[i].prefix_tokens = 2000;
    }
    size_t level_bytes = peer_encode(&datagram, secret, data);
    (void)printf(
        "facts between daemons: %.0f bytes per load report, %.0f bytes "
        "per level\n",
        (double)load_bytes / 50, (double)level_bytes / 50);
}

static void
measure_claims(void)
{
    claim_shard_t *shard = claim_shard_new(0);
    json_t *head = NULL;
    int64_t version = 0;
    size_t puts = 0;
    size_t bytes_written = 0;
    const int rounds = 200;
    double started_us = process_cpu_us();
    for (int i = 0; i < rounds; i++) {
        char key[CLAIM_KEY_LEN + 1];
        (void)snprintf(key, sizeof(key), "%032d", i);
        claim_op_t *op = claim_op_new(CLAIM_OP_CLAIM, key,
                                      "0123456789abcdef0123456789abcdef");
        op->deadline_ms = 1 << 30;
        claim_shard_submit(shard, op);
        for (;;) {
            claim_action_t action = claim_shard_next_action(shard, i, 1);
            if (action.kind == CLAIM_ACTION_NONE) {
                break;
            }
            store_reply_t reply = {
                .result = STORE_OK, .version = version, .value = head};
            if (action.kind == CLAIM_ACTION_PUT) {
                CLEAN_TEXT char *text = json_dumps(action.value, JSON_COMPACT);
                bytes_written += strlen(text);
                puts++;
                json_decref(head);
                head = json_incref(action.value);
                reply.version = ++version;
                json_decref(action.value);
            }
            else if (head == NULL) {
                reply.result = STORE_ABSENT;
            }
            claim_shard_apply_reply(shard, &reply, i);
        }
        claim_op_t *completed;
        while ((completed = claim_shard_take_completed(shard)) != NULL) {
            claim_op_free(completed);
        }
    }
    (void)printf(
        "claims: %.0f us and %.0f bytes written per claim (head grows "
        "to %d entries, %zu puts)\n",
        (process_cpu_us() - started_us) / rounds,
        (double)bytes_written / (double)puts, rounds, puts);
    claim_shard_free(shard);
    json_decref(head);
}

/* Servers of the measured fleet; the table takes SERVER_NUMBERS_MAX of them,
 * and lookups of the others' ids find nothing. */
#define FLEET_SERVERS 3002
#define TABLE_ROUNDS 200

/* Fills the table.  Returns the number of servers that it took. */
static size_t
fill_table(servers_t *servers)
{
    size_t taken = 0;
    for (int i = 0; i < FLEET_SERVERS; i++) {
        server_entry_t entry = {.service = "s", .engine = true, .slots = 8};
        (void)snprintf(entry.id, sizeof(entry.id), "engine-%d", i);
        (void)snprintf(entry.addr, sizeof(entry.addr), "127.0.0.1:%d", i + 1);
        taken += servers_put(servers, &entry, 0) != NULL;
    }
    return taken;
}

/* Measures the lookups of all servers of the fleet, as each entry of a list
 * and each notice of a peer causes one. */
static void
measure_server_lookups(servers_t *servers)
{
    size_t found = 0;
    double started_us = process_cpu_us();
    for (int i = 0; i < TABLE_ROUNDS * FLEET_SERVERS; i++) {
        char id[CS_NAME_MAX];
        (void)snprintf(id, sizeof(id), "engine-%d", i % FLEET_SERVERS);
        found += servers_find(servers, id) != NULL;
    }
    double by_id_us = process_cpu_us() - started_us;
    started_us = process_cpu_us();
    for (int i = 0; i < TABLE_ROUNDS * FLEET_SERVERS; i++) {
        const server_t *server = servers_find_by_number(
            servers, (uint16_t)(i % SERVER_NUMBERS_MAX));
        found += servers_find_by_id_hash(servers, server->id_hash) != NULL;
    }
    double by_hash_us = process_cpu_us() - started_us;
    (void)printf(
        "server table, lookups: %.2f us by id, %.2f us by hash "
        "(%zu found)\n",
        by_id_us / (TABLE_ROUNDS * FLEET_SERVERS),
        by_hash_us / (TABLE_ROUNDS * FLEET_SERVERS), found);
}

/* Measures what the ticks cost while no server has anything to announce. */
static void
measure_server_ticks(servers_t *servers)
{
    static relay_t relay;
    static peers_t peers;
    size_t collected = 0;
    relay.servers = servers;
    peers.relay = &relay;
    const member_t self = {.name = "a"};
    peers.members = members_new(&self, 1);
    double started_us = process_cpu_us();
    for (int i = 0; i < TABLE_ROUNDS; i++) {
        peers_announce_signals(&peers);
    }
    double signals_us = process_cpu_us() - started_us;
    started_us = process_cpu_us();
    for (int i = 0; i < TABLE_ROUNDS; i++) {
        peers_announce_speeds(&peers, 1000000);
    }
    double speeds_us = process_cpu_us() - started_us;
    started_us = process_cpu_us();
    for (int i = 0; i < TABLE_ROUNDS; i++) {
        collected += peer_loads_collect(servers, &peers.scratch, 1000);
    }
    double loads_us = process_cpu_us() - started_us;
    started_us = process_cpu_us();
    for (int i = 0; i < TABLE_ROUNDS; i++) {
        servers_sweep(servers);
    }
    double sweep_us = process_cpu_us() - started_us;
    started_us = process_cpu_us();
    for (int i = 0; i < TABLE_ROUNDS; i++) {
        probes_tick(&relay);
    }
    double probes_us = process_cpu_us() - started_us;
    started_us = process_cpu_us();
    for (int i = 0; i < TABLE_ROUNDS; i++) {
        peers_update_limits(&peers, 1000);
    }
    double limits_us = process_cpu_us() - started_us;
    members_free(peers.members);
    (void)printf(
        "server table, a tick without changes: signals %.2f us, "
        "speeds %.2f us, loads %.2f us (%zu), sweep %.2f us, "
        "probes %.2f us, limits %.2f us\n",
        signals_us / TABLE_ROUNDS, speeds_us / TABLE_ROUNDS,
        loads_us / TABLE_ROUNDS, collected, sweep_us / TABLE_ROUNDS,
        probes_us / TABLE_ROUNDS, limits_us / TABLE_ROUNDS);
}

/* Measures the record of the listed versions, of which the fleet has one. */
static void
measure_software(servers_t *servers)
{
    static software_listed_t listed;
    static software_seen_t seen;
    double started_us = process_cpu_us();
    for (int i = 0; i < TABLE_ROUNDS; i++) {
        software_listed_update(&listed, servers);
        software_listed_note(&listed, &seen, i);
    }
    (void)printf("server table, versions: %.2f us a tick (%zu)\n",
                 (process_cpu_us() - started_us) / TABLE_ROUNDS, seen.count);
}

static void
measure_servers(void)
{
    servers_t *servers = servers_new();
    double started_us = process_cpu_us();
    size_t taken = fill_table(servers);
    double put_us = process_cpu_us() - started_us;
    (void)printf("server table, fleet of %d: %zu known, %.2f us per entry\n",
                 FLEET_SERVERS, taken, put_us / FLEET_SERVERS);
    measure_server_lookups(servers);
    measure_server_ticks(servers);
    measure_software(servers);
    servers_free(servers);
}

int
main(void)
{
    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    measure_cache_map();
    measure_config();
    measure_prefix_keys();
    measure_placement();
    measure_cache_events();
    measure_peer_facts();
    measure_claims();
    measure_servers();
    (void)printf(
        "fixed tables: %zu bytes per backend server, %zu bytes per member\n",
        sizeof(backend_state_t), sizeof(member_t));
    return EXIT_SUCCESS;
}
