#include "../relay/object-cache.h"
#include "test.h"

static void
put(object_cache_t *cache, const char *name, int64_t revision)
{
    CLEAN_JSON json_t *spec = json_object();
    store_object_t object = {.name = name, .revision = revision, .spec = spec};
    object_cache_put(cache, KIND_SERVERS, &object);
}

static int64_t
revision_of(const object_cache_t *cache, const char *name)
{
    const json_t *object =
        json_object_get(object_cache_objects(cache, KIND_SERVERS), name);
    return object != NULL ? platform_object_revision(object) : 0;
}

/* Servers that live get no new weights: while the store was away a daemon took
 * a list of another one that was behind, lost the entries that it knew in a
 * newer form, and told its own list on to the daemon that gives the orders,
 * which took them for gone. */
START_TEST(a_list_that_is_behind_loses_nothing)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    object_cache_t *cache = object_cache_new(relay);
    put(cache, "a", 10);
    put(cache, "b", 20);
    put(cache, "c", 30);
    put(cache, "d", 5);
    object_cache_list(cache, KIND_SERVERS);
    put(cache, "a", 10);
    put(cache, "b", 15);
    object_cache_listed(cache, KIND_SERVERS, 25);
    ck_assert_int_eq(revision_of(cache, "a"), 10);
    ck_assert_int_eq(revision_of(cache, "b"), 20);
    ck_assert_int_eq(revision_of(cache, "c"), 30);
    ck_assert_int_eq(revision_of(cache, "d"), 0);
    object_cache_free(cache);
    free(relay);
}
END_TEST

TEST_MAIN("object-cache", a_list_that_is_behind_loses_nothing)
