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

/* Guards against live servers that get no new weights: while the store is
 * unreachable, a daemon applies another daemon's outdated list and loses
 * entries that it knew at newer revisions.  Then it serves its own list to
 * the daemon that orders the loads, which treats their servers as removed. */
START_TEST(outdated_list_keeps_newer_objects)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    object_cache_t *cache = object_cache_new(relay);
    put(cache, "a", 10);
    put(cache, "b", 20);
    put(cache, "c", 30);
    put(cache, "d", 5);
    object_cache_list_begin(cache, KIND_SERVERS);
    put(cache, "a", 10);
    put(cache, "b", 15);
    object_cache_list_end(cache, KIND_SERVERS, 25);
    ck_assert_int_eq(revision_of(cache, "a"), 10);
    ck_assert_int_eq(revision_of(cache, "b"), 20);
    ck_assert_int_eq(revision_of(cache, "c"), 30);
    ck_assert_int_eq(revision_of(cache, "d"), 0);
    object_cache_free(cache);
    free(relay);
}
END_TEST

TEST_MAIN("object-cache", outdated_list_keeps_newer_objects)
