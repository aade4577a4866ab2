#include "../relay/stream-origins.h"
#include "test.h"

#include <string.h>

#define ID(n) (&(stream_id_t){.attempt = (n)})

static stream_origins_t *
origins_new(void)
{
    stream_origins_t *origins = mem_zalloc(sizeof(*origins));
    stream_origins_init(origins);
    return origins;
}

static const stream_origin_t *
put(stream_origins_t *origins, uint64_t stream, uint64_t software,
    int64_t expires_ms, int64_t now)
{
    const stream_origin_t origin = {.stream = *ID(stream),
                                    .service = 7,
                                    .software = software,
                                    .expires_ms = expires_ms};
    return stream_origins_put(origins, &origin, now);
}

static const stream_origin_t *
find(stream_origins_t *origins, uint64_t stream, int64_t now)
{
    static stream_origin_t found;
    return stream_origins_find(origins, ID(stream), now, &found) ? &found
                                                                 : NULL;
}

/* The expiry of a stream in a shuffled order; all differ. */
static int64_t
shuffled_expiry(uint64_t stream)
{
    return 1000 + (int64_t)(stream * 2654435761U % (STREAM_ORIGINS_MAX * 3));
}

static size_t
count_found(stream_origins_t *origins, uint64_t streams, int64_t now)
{
    size_t found = 0;
    for (uint64_t stream = 0; stream < streams; stream++) {
        found += find(origins, stream, now) != NULL;
    }
    return found;
}

static int64_t
first_expiry(const stream_origins_t *origins)
{
    int64_t first = INT64_MAX;
    for (size_t i = 0; i < STREAM_ORIGINS_MAX; i++) {
        int64_t expires_ms = origins->all[i].expires_ms;
        first = expires_ms < first ? expires_ms : first;
    }
    return first;
}

/* Guards against a table that grows, or forgets what lasts longest. */
START_TEST(the_table_is_bounded_and_forgets_what_expires_first)
{
    stream_origins_t *origins = origins_new();
    const uint64_t streams = STREAM_ORIGINS_MAX * 3;
    for (uint64_t i = 0; i < STREAM_ORIGINS_MAX; i++) {
        (void)put(origins, i, 1, shuffled_expiry(i), 0);
    }
    for (uint64_t i = STREAM_ORIGINS_MAX; i < streams; i++) {
        int64_t first = first_expiry(origins);
        int64_t added = shuffled_expiry(i);
        (void)put(origins, i, 1, added, 0);
        ck_assert_ptr_nonnull(find(origins, i, 0));
        ck_assert_int_ge(first_expiry(origins),
                         added < first ? added : first + 1);
        ck_assert_uint_eq(origins->count, STREAM_ORIGINS_MAX);
    }
    ck_assert_uint_eq(count_found(origins, streams, 0), STREAM_ORIGINS_MAX);
    free(origins);
}
END_TEST

/* Guards against a stream that goes on at the wrong one of two versions. */
START_TEST(two_versions_under_one_key_are_unknown)
{
    stream_origins_t *origins = origins_new();
    (void)put(origins, 1, 10, 1000, 0);
    ck_assert_uint_eq(put(origins, 1, 10, 1000, 0)->software, 10);
    ck_assert_uint_eq(put(origins, 1, 11, 1000, 0)->software,
                      SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(put(origins, 1, 10, 1000, 0)->software,
                      SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(find(origins, 1, 0)->software, SOFTWARE_UNKNOWN);
    (void)put(origins, 2, 10, 1000, 0);
    ck_assert_uint_eq(put(origins, 2, SOFTWARE_UNKNOWN, 1000, 0)->software,
                      SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(origins->count, 2);
    free(origins);
}
END_TEST

/* Guards against a stream that is not taken up a second time after its route
 * has moved to another service, and against one whose version is guessed. */
START_TEST(a_stream_may_move_to_another_service_of_its_version)
{
    stream_origins_t *origins = origins_new();
    stream_origin_t other = {
        .stream = *ID(1), .service = 8, .software = 10, .expires_ms = 1000};
    (void)put(origins, 1, 10, 1000, 0);
    ck_assert_uint_eq(stream_origins_put(origins, &other, 0)->software, 10);
    ck_assert_uint_eq(find(origins, 1, 0)->service, 8);
    ck_assert_uint_eq(origins->count, 1);
    other.service = 9;
    other.software = 11;
    ck_assert_uint_eq(stream_origins_put(origins, &other, 0)->software,
                      SOFTWARE_UNKNOWN);
    free(origins);
}
END_TEST

/* Guards against an origin that is used after its time, or lost before. */
START_TEST(an_origin_expires_and_may_be_renewed)
{
    stream_origins_t *origins = origins_new();
    (void)put(origins, 1, 10, 1000, 0);
    ck_assert_ptr_nonnull(find(origins, 1, 999));
    ck_assert_ptr_null(find(origins, 1, 1000));
    ck_assert_ptr_null(find(origins, 2, 0));
    (void)put(origins, 1, 10, 3000, 999);
    (void)put(origins, 1, 10, 2000, 999);
    ck_assert_ptr_nonnull(find(origins, 1, 2999));
    ck_assert_ptr_null(find(origins, 1, 3000));
    ck_assert_uint_eq(put(origins, 1, 11, 4000, 3000)->software, 11);
    ck_assert_uint_eq(origins->count, 1);
    ck_assert_uint_eq(find(origins, 1, 3999)->software, 11);
    free(origins);
}
END_TEST

/* Guards against records that stay, and against live ones that are removed. */
START_TEST(a_sweep_removes_what_has_expired)
{
    stream_origins_t *origins = origins_new();
    for (uint64_t i = 0; i < STREAM_ORIGINS_MAX; i++) {
        (void)put(origins, i, 1, 1 + (int64_t)i, 0);
    }
    stream_origins_sweep(origins, 100);
    ck_assert_uint_eq(origins->count, STREAM_ORIGINS_MAX - 100);
    ck_assert_uint_eq(count_found(origins, STREAM_ORIGINS_MAX, 0),
                      STREAM_ORIGINS_MAX - 100);
    stream_origins_sweep(origins, STREAM_ORIGINS_MAX);
    ck_assert_uint_eq(origins->count, 0);
    for (uint64_t i = 0; i < STREAM_ORIGINS_MAX; i++) {
        (void)put(origins, i * STREAM_ORIGIN_BUCKETS, 1, 9000, 5000);
    }
    ck_assert_uint_eq(origins->count, STREAM_ORIGINS_MAX);
    free(origins);
}
END_TEST

static int
take_queries(stream_origins_t *origins, int asked, int64_t now)
{
    int taken = 0;
    for (int i = 0; i < asked; i++) {
        taken += stream_origins_take_query(origins, now);
    }
    return taken;
}

/* Guards against callers that make a host flood others with questions. */
START_TEST(questions_are_64_at_once_and_16_a_second)
{
    stream_origins_t *origins = origins_new();
    int taken = 0;
    ck_assert_int_eq(take_queries(origins, 1000, 5000), 64);
    ck_assert_int_eq(take_queries(origins, 10, 5062), 0);
    ck_assert_int_eq(take_queries(origins, 10, 5063), 1);
    for (int64_t now = 5064; now <= 15063; now++) {
        taken += take_queries(origins, 5, now);
    }
    ck_assert_int_ge(taken, 159);
    ck_assert_int_le(taken, 160);
    ck_assert_int_eq(take_queries(origins, 1000, 10000000), 64);
    free(origins);
}
END_TEST

/* Guards against a rejection for good before all hosts have said that they do
 * not know the stream. */
START_TEST(a_question_is_answered_once_all_hosts_answered)
{
    stream_query_t query = {.number = 7, .count = STREAM_ORIGIN_ASKED_MAX};
    for (size_t i = 0; i < query.count; i++) {
        query.hosts[i] = 100 + i;
    }
    stream_query_note_unknown(&query, 7, 1);
    for (size_t i = 0; i < query.count; i++) {
        ck_assert(!stream_query_is_answered(&query));
        stream_query_note_unknown(&query, 7, 100 + i);
        stream_query_note_unknown(&query, 7, 100 + i);
        stream_query_note_unknown(&query, 7, 99);
    }
    ck_assert(stream_query_is_answered(&query));
}
END_TEST

static uint64_t
correct(stream_origins_t *origins, uint64_t software, int64_t now)
{
    stream_origin_t origin;
    return stream_origins_correct(origins, ID(1), 5, software, now, &origin)
               ? origin.software
               : SOFTWARE_ANY;
}

/* Guards against a stream that goes on at the version of its server's older
 * entry, and against a correction that hides two streams under one key. */
START_TEST(an_origin_is_corrected_unless_it_is_ambiguous)
{
    stream_origins_t *origins = origins_new();
    ck_assert_uint_eq(correct(origins, 6, 0), SOFTWARE_ANY);
    (void)put(origins, 1, 5, 100, 0);
    ck_assert_uint_eq(correct(origins, 6, 0), 6);
    ck_assert_uint_eq(find(origins, 1, 0)->software, 6);
    ck_assert_uint_eq(correct(origins, 7, 0), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(correct(origins, 7, 0), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(find(origins, 1, 0)->software, SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(correct(origins, 6, 100), SOFTWARE_ANY);
    free(origins);
}
END_TEST

static void
put_of(stream_origins_t *origins, uint16_t workspace, uint16_t access_key,
       uint64_t software)
{
    const stream_origin_t origin = {.stream = {.attempt = 1,
                                               .workspace = workspace,
                                               .access_key = access_key},
                                    .service = 7,
                                    .software = software,
                                    .expires_ms = 1000};
    (void)stream_origins_put(origins, &origin, 0);
}

/* Returns the version at which a caller's stream goes on; SOFTWARE_ANY if the
 * stream is not known. */
static uint64_t
find_of(stream_origins_t *origins, uint16_t workspace, uint16_t access_key)
{
    const stream_id_t wanted = {
        .attempt = 1, .workspace = workspace, .access_key = access_key};
    stream_origin_t found;
    return stream_origins_find(origins, &wanted, 0, &found) ? found.software
                                                            : SOFTWARE_ANY;
}

/* Guards against a stream that is lost once a configuration has changed its
 * caller's key or workspace, or whether the route needs a key. */
START_TEST(a_caller_is_known_by_its_key_or_workspace)
{
    stream_origins_t *origins = origins_new();
    put_of(origins, 21, 31, 10);
    ck_assert_uint_eq(find_of(origins, 21, 31), 10);
    ck_assert_uint_eq(find_of(origins, 21, 32), 10);
    ck_assert_uint_eq(find_of(origins, 22, 31), 10);
    ck_assert_uint_eq(find_of(origins, 0, 31), 10);
    ck_assert_uint_eq(find_of(origins, 0, 0), 10);
    free(origins);
    origins = origins_new();
    put_of(origins, 0, 0, 10);
    ck_assert_uint_eq(find_of(origins, 21, 31), 10);
    free(origins);
}
END_TEST

/* Guards against a caller that takes up the stream of another workspace, or
 * keeps that from going on by an attempt with the same id. */
START_TEST(another_workspaces_attempt_does_not_count)
{
    stream_origins_t *origins = origins_new();
    put_of(origins, 21, 31, 10);
    ck_assert_uint_eq(find_of(origins, 22, 32), SOFTWARE_ANY);
    ck_assert_uint_eq(find_of(origins, 22, 0), SOFTWARE_ANY);
    put_of(origins, 22, 32, 11);
    put_of(origins, 0, 0, 12);
    ck_assert_uint_eq(find_of(origins, 21, 31), 10);
    ck_assert_uint_eq(find_of(origins, 21, 33), 10);
    ck_assert_uint_eq(find_of(origins, 22, 32), 11);
    ck_assert_uint_eq(find_of(origins, 0, 0), 12);
    ck_assert_uint_eq(find_of(origins, 23, 33), 12);
    free(origins);
}
END_TEST

/* Guards against a guess between streams that match alike. */
START_TEST(two_versions_that_match_alike_are_unknown)
{
    stream_origins_t *origins = origins_new();
    put_of(origins, 21, 31, 10);
    put_of(origins, 22, 32, 11);
    ck_assert_uint_eq(find_of(origins, 0, 0), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(find_of(origins, 21, 32), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(find_of(origins, 21, 31), 10);
    free(origins);
}
END_TEST

TEST_MAIN("stream-origins", an_origin_is_corrected_unless_it_is_ambiguous,
          a_caller_is_known_by_its_key_or_workspace,
          another_workspaces_attempt_does_not_count,
          two_versions_that_match_alike_are_unknown,
          the_table_is_bounded_and_forgets_what_expires_first,
          two_versions_under_one_key_are_unknown,
          a_stream_may_move_to_another_service_of_its_version,
          an_origin_expires_and_may_be_renewed,
          a_sweep_removes_what_has_expired,
          questions_are_64_at_once_and_16_a_second,
          a_question_is_answered_once_all_hosts_answered)
