#include "../fakes/fakes.h"
#include "../kernel/claim.h"
#include "../kernel/peer-codec.h"
#include "../kernel/tables.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Slopes for docs/CAPACITY.md: what one more of each thing costs a daemon in
 * memory and processor time.  In one process, without I/O. */

static double
cpu_us(void)
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
        double begin = cpu_us();
        for (size_t i = 0; i < sizes[s]; i++) {
            (void)cache_map_add_holder(map, (uint16_t)(i % 600),
                                       rng_next(&rng), 512);
        }
        double notes = cpu_us() - begin;
        begin = cpu_us();
        size_t known = 0;
        for (size_t i = 0; i < sizes[s]; i++) {
            known += cache_map_has_key(map, rng_next(&rng));
        }
        double looks = cpu_us() - begin;
        (void)printf(
            "cache map, %zu entries: %.0f bytes each, %.2f us a "
            "note, %.2f us a look (%zu known)\n",
            sizes[s], (double)cache_map_memory_bytes(map) / (double)sizes[s],
            notes / (double)sizes[s], looks / (double)sizes[s], known);
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
        double begin = cpu_us();
        CLEAN_JSON json_t *back = json_loads(text, 0, NULL);
        config_t *config = config_parse(back, &err);
        double took = cpu_us() - begin;
        (void)printf(
            "configuration, %d workspaces and %d servers: %zu bytes, "
            "%.1f ms to read and check\n",
            sizes[s][0], sizes[s][1], strlen(text), took / 1000);
        config_release(config);
    }
}

static void
measure_place(void)
{
    static const int sizes[] = {9, 60, 200};
    static candidate_t all[256];
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
        place_context_t scene = {
            .config = config, .view = view, .cache = cache, .dc = "dc-1"};
        place_query_t ask = {.prefix = &prefix};
        const int rounds = 2000;
        double begin = cpu_us();
        for (int i = 0; i < rounds; i++) {
            size_t count =
                place_list_candidates(&scene, "m", &prefix, NULL, all, 256);
            ask.placement_count +=
                policy_find("cost")->choose(all, count, &ask);
        }
        (void)printf("placement among %d servers: %.1f us\n", sizes[s],
                     (cpu_us() - begin) / rounds);
        config_release(config);
        view_free(view);
        cache_map_free(cache);
    }
}

static void
measure_prefix(void)
{
    static const size_t sizes[] = {4096, 16384, 65536};
    for (int s = 0; s < 3; s++) {
        CLEAN_TEXT char *text = mem_zalloc(sizes[s] + 1);
        prefix_t prefix;
        memset(text, 'x', sizes[s]);
        CLEAN_JSON json_t *messages =
            json_pack("[{s:s,s:s}]", "role", "user", "content", text);
        double begin = cpu_us();
        for (int i = 0; i < 500; i++) {
            prefix_compute(&prefix, messages, "salt", "v1");
        }
        (void)printf("prefix keys of %zu bytes: %.1f us\n", sizes[s],
                     (cpu_us() - begin) / 500);
    }
}

static void
measure_events(void)
{
    engine_cache_t *engine = engine_cache_new(4096);
    rng_t rng = {1};
    for (int i = 0; i < 4000; i++) {
        engine_cache_store(engine, rng_next(&rng));
    }
    CLEAN_JSON json_t *events = engine_cache_list_events(engine, 0, 0, &rng);
    CLEAN_TEXT char *text = json_dumps(events, JSON_COMPACT);
    cache_map_t *cache = cache_map_new(65536);
    double begin = cpu_us();
    CLEAN_JSON json_t *back = json_loads(text, 0, NULL);
    size_t i;
    const json_t *event;
    size_t known = 0;
    json_array_foreach (back, i, event) {
        uint64_t key = (uint64_t)json_integer_value(json_array_get(event, 2));
        known += cache_map_has_key(cache, key);
    }
    (void)printf("cache events: %.2f us and %.0f bytes each (%zu known)\n",
                 (cpu_us() - begin) / (double)i,
                 (double)strlen(text) / (double)i, known);
    cache_map_free(cache);
    engine_cache_free(engine);
}

static void
measure_facts(void)
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
    size_t loads = peer_encode(&datagram, secret, data);
    for (size_t i = 0; i < 50; i++) {
        datagram.facts[i].is_load = false;
        datagram.facts[i].key = 0xfedcba9876543210ULL;
        datagram.facts[i].prefix_tokens = 2000;
    }
    size_t levels = peer_encode(&datagram, secret, data);
    (void)printf(
        "facts between daemons: %.0f bytes a load report, %.0f bytes "
        "a level\n",
        (double)loads / 50, (double)levels / 50);
}

static void
measure_claims(void)
{
    claim_shard_t *shard = claim_shard_new(0);
    json_t *head = NULL;
    int64_t version = 0;
    size_t puts = 0;
    size_t bytes = 0;
    const int rounds = 200;
    double begin = cpu_us();
    for (int i = 0; i < rounds; i++) {
        char key[CLAIM_KEY_LEN + 1];
        (void)snprintf(key, sizeof(key), "%032d", i);
        claim_op_t *op = claim_op_new(CLAIM_OP_CLAIM, key,
                                      "0123456789abcdef0123456789abcdef");
        op->deadline_ms = 1 << 30;
        claim_shard_submit(shard, op);
        for (;;) {
            claim_action_t act = claim_shard_next_action(shard, i, 1);
            if (act.kind == CLAIM_ACTION_NONE) {
                break;
            }
            store_reply_t reply = {
                .result = STORE_OK, .version = version, .value = head};
            if (act.kind == CLAIM_ACTION_PUT) {
                CLEAN_TEXT char *text = json_dumps(act.value, JSON_COMPACT);
                bytes += strlen(text);
                puts++;
                json_decref(head);
                head = json_incref(act.value);
                reply.version = ++version;
                json_decref(act.value);
            }
            else if (head == NULL) {
                reply.result = STORE_ABSENT;
            }
            claim_shard_apply_reply(shard, &reply, i);
        }
        claim_op_t *ended;
        while ((ended = claim_shard_take_completed(shard)) != NULL) {
            claim_op_free(ended);
        }
    }
    (void)printf(
        "claims: %.0f us and %.0f bytes written a claim (head grows "
        "to %d entries, %zu puts)\n",
        (cpu_us() - begin) / rounds, (double)bytes / (double)puts, rounds,
        puts);
    claim_shard_free(shard);
    json_decref(head);
}

int
main(void)
{
    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    measure_cache_map();
    measure_config();
    measure_prefix();
    measure_place();
    measure_events();
    measure_facts();
    measure_claims();
    (void)printf("fixed tables: view %zu bytes a server, member %zu bytes\n",
                 sizeof(backend_state_t), sizeof(member_t));
    return EXIT_SUCCESS;
}
