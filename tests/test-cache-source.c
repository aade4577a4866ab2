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

TEST_MAIN("cache-source", a_wrong_belief_does_not_cost_the_prompt,
          a_known_source_goes_first, a_fetch_takes_the_links_time)
