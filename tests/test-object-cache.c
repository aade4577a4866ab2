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

/* Guards against servers that count as removed because a list did not reach
 * them. */
START_TEST(cut_list_drops_nothing)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    object_cache_t *cache = object_cache_new(relay);
    put(cache, "a", 10);
    put(cache, "b", 20);
    put(cache, "c", 5);
    object_cache_list_begin(cache, KIND_SERVERS);
    put(cache, "a", 24);
    put(cache, "b", 15);
    put(cache, "d", 12);
    object_cache_list_cut(cache, KIND_SERVERS, 25);
    ck_assert_int_eq(revision_of(cache, "a"), 24);
    ck_assert_int_eq(revision_of(cache, "b"), 20);
    ck_assert_int_eq(revision_of(cache, "c"), 5);
    ck_assert_int_eq(revision_of(cache, "d"), 12);
    object_cache_free(cache);
    free(relay);
}
END_TEST

static size_t
count_events(const buf_t *page, bool *asks_store, int64_t *revision)
{
    CLEAN_JSON json_t *doc = json_loadb(page->data, page->len, 0, NULL);
    ck_assert_ptr_nonnull(doc);
    *asks_store = json_get_bool(doc, "ask_store");
    *revision = json_get_int(doc, "at", 0);
    return json_array_size(json_object_get(doc, "events"));
}

/* Guards against a large change that all followers get from one host at once
 * and that holds up everything else on its link. */
START_TEST(large_changes_are_left_to_the_store)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    object_cache_t *cache = object_cache_new(relay);
    changes_answer_t answer = {
        .revision = 40, .age_ms = 5, .max_len = SIZE_MAX};
    bool asks_store;
    int64_t revision;
    CLEAN_BUF buf_t all = {0};
    CLEAN_BUF buf_t none = {0};
    CLEAN_BUF buf_t last = {0};
    put(cache, "a", 20);
    put(cache, "b", 30);
    put(cache, "c", 40);
    ck_assert(
        object_cache_write_changes(cache, KIND_SERVERS, 20, &answer, &all));
    ck_assert_uint_eq(count_events(&all, &asks_store, &revision), 2);
    ck_assert(!asks_store);
    ck_assert_int_eq(revision, 40);
    /* The follower stays at its revision, so that it misses none of them. */
    answer.max_len = 150;
    ck_assert(
        object_cache_write_changes(cache, KIND_SERVERS, 20, &answer, &none));
    ck_assert_uint_eq(count_events(&none, &asks_store, &revision), 0);
    ck_assert(asks_store);
    ck_assert_int_eq(revision, 20);
    ck_assert(
        object_cache_write_changes(cache, KIND_SERVERS, 30, &answer, &last));
    ck_assert_uint_eq(count_events(&last, &asks_store, &revision), 1);
    ck_assert(!asks_store);
    object_cache_free(cache);
    free(relay);
}
END_TEST

/* Guards against a host that keeps each of many large configurations in
 * memory. */
START_TEST(last_change_of_an_object_is_kept)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    object_cache_t *cache = object_cache_new(relay);
    const changes_answer_t answer = {
        .revision = 40, .age_ms = 5, .max_len = SIZE_MAX};
    bool asks_store;
    int64_t revision;
    CLEAN_BUF buf_t all = {0};
    CLEAN_BUF buf_t last = {0};
    put(cache, "a", 20);
    put(cache, "b", 30);
    put(cache, "a", 40);
    put(cache, "a", 25); /* comes late */
    ck_assert(
        object_cache_write_changes(cache, KIND_SERVERS, 10, &answer, &all));
    ck_assert_uint_eq(count_events(&all, &asks_store, &revision), 2);
    ck_assert(
        object_cache_write_changes(cache, KIND_SERVERS, 30, &answer, &last));
    ck_assert_uint_eq(count_events(&last, &asks_store, &revision), 1);
    object_cache_free(cache);
    free(relay);
}
END_TEST

TEST_MAIN("object-cache", outdated_list_keeps_newer_objects,
          cut_list_drops_nothing, large_changes_are_left_to_the_store,
          last_change_of_an_object_is_kept)
