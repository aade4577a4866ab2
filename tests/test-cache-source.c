#include "../relay/cache-source.h"
#include "test.h"

#include <string.h>

static const relay_service_t store = {.kv_store = true, .addr = "127.0.0.1:9"};

/* Callers wait for a prompt to be read again though the store has it: the
 * server had dropped the part a moment before, the router believed that it
 * still held it, and so told it of no place to fetch it from. */
START_TEST(a_wrong_belief_does_not_cost_the_prompt)
{
    cache_view_t believed = {.here = 5000, .shared = 5000};
    ck_assert_str_eq(cache_fetch_from(&believed, &store), store.addr);
    ck_assert_ptr_null(cache_fetch_from(&believed, NULL));
}
END_TEST

/* A server that holds more goes before the store, and a prompt that shares
 * nothing is fetched nowhere. */
START_TEST(a_known_source_goes_first)
{
    cache_view_t view = {.here = 100, .shared = 5000, .found = true};
    str_copy(view.source.addr, sizeof(view.source.addr), "127.0.0.1:7");
    ck_assert_str_eq(cache_fetch_from(&view, &store), "127.0.0.1:7");
    ck_assert_str_eq(cache_fetch_from(&view, NULL), "127.0.0.1:7");
    cache_view_t own = {.shared = 0};
    ck_assert_ptr_null(cache_fetch_from(&own, &store));
}
END_TEST

/* The time to fetch is that of what is lacking, over the link that was told.
 */
START_TEST(a_fetch_takes_the_links_time)
{
    cache_view_t view = {.here = 1000, .shared = 5000, .found = true};
    view.source.tokens = 5000;
    view.source.ms_per_token = 0.013;
    double far = cache_fetch_ms(&view);
    view.here = 5000;
    double nothing = cache_fetch_ms(&view);
    ck_assert_double_eq_tol(far - nothing, 52, 0.001);
    view.found = false;
    ck_assert_double_eq(cache_fetch_ms(&view), 0);
}
END_TEST

static server_t *
put_engine(relay_t *relay, const char *id)
{
    server_entry_t entry = {.slots = 4, .engine = true, .weights = 1};
    str_copy(entry.id, sizeof(entry.id), id);
    str_copy(entry.service, sizeof(entry.service), "llm");
    (void)snprintf(entry.addr, sizeof(entry.addr), "127.0.0.1:%c", id[0]);
    return servers_put(relay->servers, &entry);
}

static void
put_part(relay_t *relay, server_t *server, uint64_t key)
{
    const cached_part_t part = {.key = key, .prompt_tokens = 1, .tokens = 1};
    cached_parts_use(server->held, &part);
    (void)cache_map_add_holder_at(relay->cache, server->number, key, 1,
                                  time_mono_ms());
    server_confirm_alive(server, time_mono_ms());
}

/* Guards against counting parts behind a missing one as held: a server reads
 * them again. */
START_TEST(parts_behind_a_gap_are_of_no_use)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    relay->servers = servers_new();
    relay->cache = cache_map_new(64);
    server_t *gap = put_engine(relay, "1");
    server_t *whole = put_engine(relay, "2");
    server_t *other = put_engine(relay, "3");
    const prefix_t prefix = {
        .levels = {{11, 100}, {12, 300}, {13, 900}, {14, 1000}},
        .count = 4,
        .tokens = 1000};
    cache_view_t view;
    put_part(relay, gap, 11);
    put_part(relay, gap, 13);
    cache_look(relay, &prefix, gap, &view);
    ck_assert_uint_eq(view.here, 100);
    cache_look(relay, &prefix, other, &view);
    ck_assert(view.found);
    ck_assert_uint_eq(view.source.tokens, 100);
    put_part(relay, whole, 11);
    put_part(relay, whole, 12);
    put_part(relay, whole, 13);
    cache_look(relay, &prefix, gap, &view);
    ck_assert(view.found);
    ck_assert_uint_eq(view.source.tokens, 900);
    ck_assert_str_eq(view.source.addr, "127.0.0.1:2");
    servers_free(relay->servers);
    cache_map_free(relay->cache);
    free(relay);
}
END_TEST

/* Guards against an answer made on other weights: a run that goes on beside a
 * load and is read in again leaves parts under the older weights' name that
 * the newer ones made, and its server must not be fetched from for these. */
START_TEST(a_server_on_other_weights_is_no_source)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    relay->servers = servers_new();
    relay->cache = cache_map_new(64);
    server_t *older = put_engine(relay, "1");
    server_t *source = put_engine(relay, "2");
    const prefix_t prefix = {
        .levels = {{11, 100}, {12, 300}}, .count = 2, .tokens = 300};
    cache_view_t view;
    put_part(relay, source, 11);
    cache_look(relay, &prefix, older, &view);
    ck_assert(view.found);
    source->info.weights = older->info.weights + 1;
    cache_look(relay, &prefix, older, &view);
    ck_assert(!view.found);
    servers_free(relay->servers);
    cache_map_free(relay->cache);
    free(relay);
}
END_TEST

TEST_MAIN("cache-source", a_wrong_belief_does_not_cost_the_prompt,
          a_known_source_goes_first, a_fetch_takes_the_links_time,
          parts_behind_a_gap_are_of_no_use,
          a_server_on_other_weights_is_no_source)
