#include "../relay/cache-save.h"
#include "test.h"

#include <math.h>
#include <string.h>

#define HOSTS 78
#define THREADS 764
#define THREAD_TOKENS 5000
#define UNSHARED_TOKENS_MEAN 6600
#define PROMPTS_PER_S 155
#define LINK_TOKENS_PER_MS 576.0
#define TRANSFER_WAIT_MAX_MS 2000
#define IN_TIME_MS 300
#define EVICTED_OF_10 3 /* of 10 requested threads, evicted by the engine */
#define RUN_MS 20000

/* A store behind one link that makes its transfers one after the other. */
typedef struct {
    double free_ms; /* time when the link becomes free */
    bool has[THREADS];
    unsigned saves_requested;
    unsigned saves_completed;
    /* Of the evicted threads that were requested in the second half of the
     * run, the share fetched in time. */
    double fetched_share;
} store_t;

static uint32_t
random_unshared_tokens(rng_t *rng)
{
    double u = (double)(1 + rng_below(rng, 1000000)) / 1000001;
    return (uint32_t)(-log(u) * UNSHARED_TOKENS_MEAN);
}

/* Starts a transfer, which keeps the link busy until it ends.  Returns false
 * if it would have to wait too long for the link. */
static bool
transfer(store_t *store, double now, double tokens)
{
    double start = store->free_ms > now ? store->free_ms : now;
    if (start - now > TRANSFER_WAIT_MAX_MS) {
        return false;
    }
    store->free_ms = start + tokens / LINK_TOKENS_PER_MS;
    return true;
}

/* Simulates prompts of many threads at many hosts: an evicted thread is
 * fetched if the store has it, and one that it lacks may be saved. */
static store_t
simulate(bool limited)
{
    store_t store = {0};
    save_bucket_t buckets[HOSTS] = {0};
    rng_t rng = {11};
    unsigned requested = 0;
    unsigned fetched = 0;
    for (int64_t now = 1; now <= RUN_MS; now++) {
        if (rng_below(&rng, 1000) >= PROMPTS_PER_S) {
            continue;
        }
        size_t thread = rng_below(&rng, THREADS);
        bool same_dc = rng_below(&rng, 5) == 0;
        const save_params_t params = {
            .link_tokens_per_ms = LINK_TOKENS_PER_MS,
            .hosts = HOSTS,
            .same_dc = same_dc,
            .shared_tokens = THREAD_TOKENS,
            .unshared_tokens = random_unshared_tokens(&rng)};
        double cost = same_dc ? 1.0 : 2.0;
        bool is_second_half = now > RUN_MS / 2;
        if (rng_below(&rng, 10) < EVICTED_OF_10) {
            requested += is_second_half;
            fetched +=
                store.has[thread] && is_second_half &&
                transfer(&store, (double)now, params.shared_tokens * cost) &&
                store.free_ms - (double)now < IN_TIME_MS;
        }
        if (store.has[thread] ||
            (limited && !cache_save_allowed(&buckets[rng_below(&rng, HOSTS)],
                                            &params, now))) {
            continue;
        }
        store.saves_requested++;
        store.has[thread] =
            transfer(&store, (double)now,
                     (params.shared_tokens + params.unshared_tokens) * cost);
        store.saves_completed += store.has[thread];
    }
    store.fetched_share = (double)fetched / requested;
    return store;
}

/* Guards against a store's link overloaded with transfers that are mostly
 * given up, so that threads are prefilled again instead of fetched. */
START_TEST(limited_saves_are_not_given_up)
{
    store_t all = simulate(false);
    store_t limited = simulate(true);
    ck_assert_uint_eq(limited.saves_completed, limited.saves_requested);
    ck_assert_uint_lt(all.saves_completed, all.saves_requested);
    ck_assert_double_lt(all.fetched_share, 0.1);
    ck_assert_double_gt(limited.fetched_share, 0.3);
}
END_TEST

/* With idle links each prompt is saved as soon as it is prefilled. */
START_TEST(idle_link_takes_every_prompt)
{
    save_bucket_t bucket = {0};
    const save_params_t params = {.link_tokens_per_ms = LINK_TOKENS_PER_MS,
                                  .hosts = 4,
                                  .same_dc = false,
                                  .shared_tokens = 500,
                                  .unshared_tokens = 8000};
    for (int64_t now = 1000; now < 60000; now += 1000) {
        ck_assert(cache_save_allowed(&bucket, &params, now));
    }
}
END_TEST

START_TEST(saved_parts_are_not_saved_again_and_unknown_links_not_limited)
{
    save_bucket_t bucket = {0};
    save_params_t params = {
        .link_tokens_per_ms = 10, .hosts = 1, .unshared_tokens = 100};
    ck_assert(!cache_save_allowed(&bucket, &params, 1000));
    params.shared_tokens = 100000;
    params.link_tokens_per_ms = 0;
    ck_assert(cache_save_allowed(&bucket, &params, 1000));
    ck_assert(cache_save_allowed(&bucket, &params, 1000));
}
END_TEST

/* An overdrawn bucket refills before the next prompt is saved, however much of
 * it is shared. */
START_TEST(overdrawn_bucket_refills_first)
{
    save_bucket_t bucket = {0};
    save_params_t params = {.link_tokens_per_ms = 20,
                            .hosts = 1,
                            .same_dc = true,
                            .shared_tokens = 50000};
    ck_assert(cache_save_allowed(&bucket, &params, 1000));
    ck_assert(!cache_save_allowed(&bucket, &params, 1500));
    ck_assert(cache_save_allowed(&bucket, &params, 7000));
}
END_TEST

TEST_MAIN("cache-save", limited_saves_are_not_given_up,
          idle_link_takes_every_prompt,
          saved_parts_are_not_saved_again_and_unknown_links_not_limited,
          overdrawn_bucket_refills_first)
