#include "../relay/peers-apply.h"
#include "../relay/cache-source.h"
#include "test.h"

#include <string.h>

static relay_t *
relay_with(const char *id, server_t **server)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    server_entry_t entry = {.slots = 4, .engine = true, .weights = 1};
    str_copy(entry.id, sizeof(entry.id), id);
    str_copy(entry.service, sizeof(entry.service), "llm");
    str_copy(entry.addr, sizeof(entry.addr), "127.0.0.1:1");
    relay->servers = servers_new();
    relay->cache = cache_map_new(64);
    *server = servers_put(relay->servers, &entry);
    return relay;
}

static void
relay_without(relay_t *relay)
{
    servers_free(relay->servers);
    cache_map_free(relay->cache);
    kv_stores_free(&relay->stores);
    free(relay);
}

static peer_fact_t
load_of(const char *id)
{
    peer_fact_t fact = {.is_load = true};
    str_copy(fact.backend, sizeof(fact.backend), id);
    fact.load.at_server = -1;
    return fact;
}

/* A part that another host's request used is held; one that is only being
 * read cannot be fetched yet, and must not count as held. */
START_TEST(parts_that_others_use_are_held)
{
    server_t *server;
    relay_t *relay = relay_with("a", &server);
    peer_fact_t fact = {
        .key = 5, .prefix_tokens = 700, .part_tokens = 300, .held = true};
    str_copy(fact.backend, sizeof(fact.backend), "a");
    peers_apply(relay, 1, &fact);
    ck_assert(cached_parts_has(server->held, 5));
    fact.key = 6;
    fact.part_tokens = 0;
    peers_apply(relay, 1, &fact);
    ck_assert(!cached_parts_has(server->held, 6));
    ck_assert(cache_map_knows(relay->cache, 6));
    relay_without(relay);
}
END_TEST

/* A host that is new, or knows another configuration, speaks of servers and
 * stores that are not known here, or of nobody: nothing comes of it. */
START_TEST(words_about_strangers_do_nothing)
{
    server_t *server;
    relay_t *relay = relay_with("a", &server);
    peer_fact_t fact = {
        .key = 5, .prefix_tokens = 700, .part_tokens = 300, .held = true};
    peers_apply(relay, 1, &fact);
    str_copy(fact.backend, sizeof(fact.backend), "b");
    peers_apply(relay, 1, &fact);
    peer_fact_t load = load_of("b");
    peers_apply(relay, 1, &load);
    ck_assert(!cached_parts_has(server->held, 5));
    ck_assert(!cache_map_knows(relay->cache, 5));
    relay_without(relay);
}
END_TEST

/* A server is left alone while another host says that it loads weights, and
 * what it held is lost once it is on newer ones.  What the server says of its
 * slots is believed by the word of that host too. */
START_TEST(loads_and_weights_of_others_count)
{
    server_t *server;
    relay_t *relay = relay_with("a", &server);
    const cached_part_t part = {.key = 5, .prompt_tokens = 9, .tokens = 9};
    cached_parts_use(server->held, &part);
    peer_fact_t load = load_of("a");
    load.load.running = 2;
    load.load.at_server = 6;
    str_copy(load.load.version, sizeof(load.load.version), "1");
    str_copy(load.load.loading, sizeof(load.load.loading), "2");
    peers_apply(relay, 1, &load);
    ck_assert_int_gt(server->loading_ms, time_mono_ms());
    ck_assert_int_eq(server_running(server, time_mono_ms()), 2);
    ck_assert_int_eq(server_places_taken(server, time_mono_ms()), 6);
    ck_assert(cached_parts_has(server->held, 5));
    load = load_of("a");
    str_copy(load.load.version, sizeof(load.load.version), "2");
    peers_apply(relay, 1, &load);
    ck_assert_int_eq(server->loading_ms, 0);
    ck_assert_int_eq(server->info.weights, 2);
    ck_assert(!cached_parts_has(server->held, 5));
    relay_without(relay);
}
END_TEST

TEST_MAIN("peers-apply", parts_that_others_use_are_held,
          words_about_strangers_do_nothing, loads_and_weights_of_others_count)
