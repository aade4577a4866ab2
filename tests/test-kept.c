#include "../relay/kept.h"
#include "test.h"

static void
put(kept_t *kept, const char *name, int64_t revision)
{
    CLEAN_JSON json_t *spec = json_object();
    store_object_t object = {.name = name, .revision = revision, .spec = spec};
    kept_put(kept, KIND_SERVERS, &object);
}

static int64_t
revision_of(const kept_t *kept, const char *name)
{
    const json_t *object =
        json_object_get(kept_objects(kept, KIND_SERVERS), name);
    return object != NULL ? platform_revision(object) : 0;
}

/* Servers that live get no new weights: while the store was away a daemon took
 * a list of another one that was behind, lost the entries that it knew in a
 * newer form, and told its own list on to the daemon that gives the orders,
 * which took them for gone. */
START_TEST(a_list_that_is_behind_loses_nothing)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    kept_t *kept = kept_new(relay);
    put(kept, "a", 10);
    put(kept, "b", 20);
    put(kept, "c", 30);
    put(kept, "d", 5);
    kept_list(kept, KIND_SERVERS);
    put(kept, "a", 10);
    put(kept, "b", 15);
    kept_listed(kept, KIND_SERVERS, 25);
    ck_assert_int_eq(revision_of(kept, "a"), 10);
    ck_assert_int_eq(revision_of(kept, "b"), 20);
    ck_assert_int_eq(revision_of(kept, "c"), 30);
    ck_assert_int_eq(revision_of(kept, "d"), 0);
    kept_free(kept);
    free(relay);
}
END_TEST

TEST_MAIN("kept", a_list_that_is_behind_loses_nothing)
