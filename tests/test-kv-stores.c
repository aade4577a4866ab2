#include "../relay/kv-stores.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

#define STORE_TOKENS 300000
#define PARTS 150u
#define PART_TOKENS 4000u

static relay_config_t *
config_with_stores(unsigned count, unsigned skipped_index)
{
    relay_config_t *config = relay_config_new();
    for (unsigned i = 0; i < count; i++) {
        if (i == skipped_index) {
            continue;
        }
        relay_service_t *service = mem_zalloc(sizeof(*service));
        (void)snprintf(service->name, sizeof(service->name), "kept-%u", i);
        service->kv_store = true;
        service->cache_tokens = STORE_TOKENS;
        CK_SLIST_INSERT_HEAD(&config->services, service, entry);
    }
    relay_service_t *engines = mem_zalloc(sizeof(*engines));
    (void)snprintf(engines->name, sizeof(engines->name), "engines");
    engines->engine = true;
    CK_SLIST_INSERT_HEAD(&config->services, engines, entry);
    return config;
}

static uint64_t
part_key(unsigned i)
{
    rng_t rng = {.state = i + 1};
    return rng_next(&rng);
}

/* Saves all parts in turn, twice, and returns how many of them the stores
 * are estimated to hold then. */
static unsigned
save_and_count_parts(kv_stores_t *stores)
{
    unsigned held_count = 0;
    for (unsigned i = 0; i < 2 * PARTS; i++) {
        uint64_t key = part_key(i % PARTS);
        const cached_part_t part = {key, PART_TOKENS, PART_TOKENS};
        int index = kv_stores_choose(stores, key);
        cached_parts_use(stores->all[index].cached_parts, &part);
    }
    for (unsigned i = 0; i < PARTS; i++) {
        uint64_t key = part_key(i);
        held_count +=
            cached_parts_has(
                stores->all[kv_stores_choose(stores, key)].cached_parts, key)
                ? 1
                : 0;
    }
    return held_count;
}

/* Guards against using only one of several stores, so that parts are prefilled
 * again: each of three stores has half the size of all shared parts, and
 * together they hold everything. */
START_TEST(capacities_of_stores_add_up)
{
    kv_stores_t stores = {0};
    relay_config_t *one = config_with_stores(1, 9);
    relay_config_t *three = config_with_stores(3, 9);
    kv_stores_sync(&stores, one);
    ck_assert_uint_lt(save_and_count_parts(&stores), PARTS);
    kv_stores_sync(&stores, three);
    ck_assert_uint_eq(save_and_count_parts(&stores), PARTS);
    kv_stores_free(&stores);
    relay_config_release(one);
    relay_config_release(three);
}
END_TEST

/* A new configuration removes one of three stores: the estimated contents of
 * the others are kept, and only the removed one's parts move. */
START_TEST(removed_store_affects_only_its_own_parts)
{
    kv_stores_t stores = {0};
    relay_config_t *three = config_with_stores(3, 9);
    relay_config_t *two = config_with_stores(3, 1);
    char before[PARTS][CS_NAME_MAX];
    kv_stores_sync(&stores, three);
    (void)save_and_count_parts(&stores);
    for (unsigned i = 0; i < PARTS; i++) {
        int index = kv_stores_choose(&stores, part_key(i));
        str_copy(before[i], CS_NAME_MAX, stores.all[index].name);
    }
    kv_stores_sync(&stores, two);
    ck_assert_int_eq(kv_stores_find(&stores, "kept-1"), -1);
    for (unsigned i = 0; i < PARTS; i++) {
        const kv_store_t *store =
            &stores.all[kv_stores_choose(&stores, part_key(i))];
        if (strcmp(before[i], "kept-1") != 0) {
            ck_assert_str_eq(store->name, before[i]);
            ck_assert(cached_parts_has(store->cached_parts, part_key(i)));
        }
    }
    kv_stores_free(&stores);
    relay_config_release(three);
    relay_config_release(two);
}
END_TEST

/* A configuration with no store or with more than the maximum is handled. */
START_TEST(no_store_and_too_many_stores)
{
    kv_stores_t stores = {0};
    relay_config_t *none = config_with_stores(0, 9);
    relay_config_t *many = config_with_stores(KV_STORES_MAX + 3, 99);
    kv_stores_sync(&stores, none);
    ck_assert_int_eq(kv_stores_choose(&stores, 7), -1);
    kv_stores_sync(&stores, many);
    for (uint64_t key = 0; key < 100; key++) {
        ck_assert_int_ge(kv_stores_choose(&stores, key), 0);
    }
    kv_stores_sync(&stores, none);
    ck_assert_int_eq(kv_stores_choose(&stores, 7), -1);
    kv_stores_free(&stores);
    relay_config_release(none);
    relay_config_release(many);
}
END_TEST

TEST_MAIN("kv-stores", capacities_of_stores_add_up,
          removed_store_affects_only_its_own_parts,
          no_store_and_too_many_stores)
