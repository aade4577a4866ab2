#include "../relay/stream-id.h"
#include "test.h"

#include <string.h>

#define LONG_ID_LEN 65536

static stream_id_t
make_id(const char *workspace, const char *key, const char *attempt)
{
    const stream_name_t name = {.workspace = workspace,
                                .access_key = key,
                                .access_key_len = strlen(key),
                                .attempt = attempt,
                                .attempt_len = strlen(attempt)};
    return stream_id_make(&name);
}

static stream_id_t
make_id_of_bytes(const char *bytes, size_t len)
{
    const stream_name_t name = {
        .workspace = "w", .attempt = bytes, .attempt_len = len};
    return stream_id_make(&name);
}

/* Checks that all ids of a list are of different attempts. */
static void
check_all_differ(const stream_id_t *ids, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        for (size_t j = 0; j < i; j++) {
            ck_assert_uint_ne(ids[i].attempt, ids[j].attempt);
        }
    }
}

/* Guards against a caller that takes up the stream of another workspace. */
START_TEST(ids_differ_by_each_part_of_the_name)
{
    const stream_id_t id = make_id("w", "k", "a");
    const stream_id_t workspace = make_id("v", "k", "a");
    const stream_id_t key = make_id("w", "l", "a");
    const stream_id_t attempt = make_id("w", "k", "b");
    const stream_id_t same = make_id("w", "k", "a");
    ck_assert(stream_id_equal(&id, &same));
    ck_assert_uint_eq(id.attempt, workspace.attempt);
    ck_assert_uint_ne(id.workspace, workspace.workspace);
    ck_assert_uint_eq(id.access_key, workspace.access_key);
    ck_assert_uint_eq(id.attempt, key.attempt);
    ck_assert_uint_eq(id.workspace, key.workspace);
    ck_assert_uint_ne(id.access_key, key.access_key);
    ck_assert_uint_ne(id.attempt, attempt.attempt);
    ck_assert_uint_ne(id.workspace, attempt.workspace);
    ck_assert_uint_ne(id.access_key, attempt.access_key);
    ck_assert(!stream_id_equal(&id, &workspace));
    ck_assert(!stream_id_equal(&id, &key));
    ck_assert(!stream_id_equal(&id, &attempt));
}
END_TEST

/* Guards against hashes that are lost on the way to another host. */
START_TEST(an_id_is_joined_as_it_was_split)
{
    const stream_id_t id = {
        .attempt = UINT64_MAX - 1, .workspace = 0xfedc, .access_key = 0x8001};
    const stream_id_t joined =
        stream_id_join(id.attempt, stream_id_caller(&id));
    ck_assert(stream_id_equal(&id, &joined));
}
END_TEST

/* Guards against a key that counts as a workspace, and against callers without
 * either that count as one. */
START_TEST(what_is_not_named_is_zero)
{
    const stream_id_t none = make_id(NULL, "", "a");
    const stream_id_t empty = make_id("", "", "a");
    const stream_id_t both = make_id("w", "w", "a");
    ck_assert_uint_ne(none.attempt, 0);
    ck_assert_uint_eq(none.workspace, 0);
    ck_assert_uint_eq(none.access_key, 0);
    ck_assert_uint_ne(empty.workspace, 0);
    ck_assert_uint_ne(both.workspace, both.access_key);
}
END_TEST

/* Guards against names whose parts, joined, are the same text. */
START_TEST(texts_of_a_name_cannot_run_together)
{
    const stream_id_t ids[] = {
        make_id("ab", "", "cde"),   make_id("a", "", "bcde"),
        make_id("abc", "", "de"),   make_id("abcde", "", ""),
        make_id("", "", "abcde"),   make_id_of_bytes("x\0y", 3),
        make_id_of_bytes("x", 1),   make_id_of_bytes("/p\0x", 4),
        make_id_of_bytes("\0x", 2), make_id_of_bytes("x\0", 2),
        make_id_of_bytes("\0", 1),  make_id_of_bytes("\0\0", 2)};
    check_all_differ(ids, sizeof(ids) / sizeof(ids[0]));
}
END_TEST

/* Guards against ids that are read past their end, or of which a part does not
 * count. */
START_TEST(ids_may_be_of_any_bytes_and_long)
{
    stream_id_t ids[256 + 3];
    char *id = mem_zalloc(LONG_ID_LEN);
    for (int i = 0; i < 256; i++) {
        const char byte = (char)i;
        ids[i] = make_id_of_bytes(&byte, 1);
    }
    for (size_t i = 0; i < LONG_ID_LEN; i++) {
        id[i] = (char)(i * 31 + i / 256);
    }
    ids[256] = make_id_of_bytes(id, LONG_ID_LEN);
    ids[257] = make_id_of_bytes(id, LONG_ID_LEN - 1);
    id[LONG_ID_LEN - 1] ^= 1;
    ids[258] = make_id_of_bytes(id, LONG_ID_LEN);
    check_all_differ(ids, sizeof(ids) / sizeof(ids[0]));
    id[LONG_ID_LEN - 1] ^= 1;
    const stream_id_t same = make_id_of_bytes(id, LONG_ID_LEN);
    ck_assert(stream_id_equal(&ids[256], &same));
    free(id);
}
END_TEST

static stream_match_t
match(uint16_t workspace, uint16_t key, uint16_t wanted_workspace,
      uint16_t wanted_key)
{
    const stream_id_t origin = {
        .attempt = 1, .workspace = workspace, .access_key = key};
    const stream_id_t wanted = {
        .attempt = 1, .workspace = wanted_workspace, .access_key = wanted_key};
    const stream_id_t other = {
        .attempt = 2, .workspace = wanted_workspace, .access_key = wanted_key};
    ck_assert_int_eq(stream_id_match(&origin, &other), STREAM_OTHER);
    ck_assert_int_eq(stream_id_match(&origin, &wanted),
                     stream_id_match(&wanted, &origin));
    return stream_id_match(&origin, &wanted);
}

/* Guards against a caller that is taken for another one, or not recognized. */
START_TEST(callers_match_by_workspace_or_key)
{
    ck_assert_int_eq(match(1, 2, 1, 2), STREAM_SAME);
    ck_assert_int_eq(match(0, 0, 0, 0), STREAM_SAME);
    ck_assert_int_eq(match(1, 2, 1, 3), STREAM_SAME_CALLER);
    ck_assert_int_eq(match(1, 2, 3, 2), STREAM_SAME_CALLER);
    ck_assert_int_eq(match(0, 2, 3, 2), STREAM_SAME_CALLER);
    ck_assert_int_eq(match(1, 0, 0, 0), STREAM_POSSIBLE);
    ck_assert_int_eq(match(1, 2, 0, 3), STREAM_POSSIBLE);
    ck_assert_int_eq(match(1, 2, 3, 4), STREAM_OTHER);
    ck_assert_int_eq(match(1, 0, 2, 0), STREAM_OTHER);
}
END_TEST

TEST_MAIN("stream-id", ids_differ_by_each_part_of_the_name,
          an_id_is_joined_as_it_was_split, what_is_not_named_is_zero,
          texts_of_a_name_cannot_run_together,
          ids_may_be_of_any_bytes_and_long, callers_match_by_workspace_or_key)
