#include "../relay/software-seen.h"
#include "../relay/stream-origins.h"
#include "test.h"

#define SERVICE 7
#define OTHER_SERVICE 8

static void
note(software_seen_t *seen, uint64_t service, uint64_t software,
     int64_t seen_ms)
{
    const software_sighting_t sighting = {
        .service = service, .software = software, .seen_ms = seen_ms};
    software_seen_note(seen, &sighting);
}

/* A list that is read: one version of SERVICE. */
static void
list_version(software_seen_t *seen, uint64_t software, int64_t now)
{
    note(seen, SERVICE, software, now);
    software_seen_cover(seen, now, now);
}

/* Lists that are read each second. */
static void
list_each_second(software_seen_t *seen, uint64_t software, int64_t from,
                 int64_t to)
{
    for (int64_t now = from; now <= to; now += 1000) {
        list_version(seen, software, now);
    }
}

static uint64_t
only_of(const software_seen_t *seen, uint64_t service, int64_t since_ms,
        int64_t now)
{
    return software_seen_only(seen, &service, 1, since_ms, now);
}

static uint64_t
only(const software_seen_t *seen, int64_t since_ms, int64_t now)
{
    return only_of(seen, SERVICE, since_ms, now);
}

/* Guards against a stream that is lost although its version is certain, and
 * against a guess where nothing is known. */
START_TEST(one_version_is_certain_within_the_span)
{
    software_seen_t seen = {0};
    ck_assert_uint_eq(only(&seen, 0, 0), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(only(&seen, 5000, 9000), SOFTWARE_UNKNOWN);
    list_each_second(&seen, 1, 10000, 20000);
    ck_assert_uint_eq(only(&seen, 10000, 20000), 1);
    ck_assert_uint_eq(only(&seen, 9999, 20000), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(only(&seen, 15000, 20000), 1);
    ck_assert_uint_eq(seen.count, 1);
}
END_TEST

/* Guards against a version that is taken for certain without any list. */
START_TEST(a_version_without_a_span_is_not_certain)
{
    software_seen_t seen = {0};
    note(&seen, SERVICE, 1, 10000);
    ck_assert_uint_eq(only(&seen, 10000, 10000), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(only(&seen, 0, 10000), SOFTWARE_UNKNOWN);
}
END_TEST

/* Guards against a guess between versions. */
START_TEST(of_several_versions_none_is_certain)
{
    software_seen_t seen = {0};
    list_each_second(&seen, 1, 10000, 20000);
    list_each_second(&seen, 2, 10000, 20000);
    ck_assert_uint_eq(only(&seen, 10000, 20000), SOFTWARE_UNKNOWN);
    list_each_second(&seen, 3, 20000, 21000);
    ck_assert_uint_eq(only(&seen, 20000, 21000), SOFTWARE_UNKNOWN);
}
END_TEST

/* Guards against doubt, or a lack of it, by a version that has ended. */
START_TEST(an_old_version_counts_until_it_is_out_of_the_span)
{
    software_seen_t seen = {0};
    list_each_second(&seen, 1, 10000, 20000);
    list_each_second(&seen, 2, 20000, 40000);
    ck_assert_uint_eq(only(&seen, 20000, 40000), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(only(&seen, 20001, 40000), 2);
    software_seen_forget(&seen, 20000);
    ck_assert_uint_eq(seen.count, 2);
    software_seen_forget(&seen, 20001);
    ck_assert_uint_eq(seen.count, 1);
    ck_assert_uint_eq(only(&seen, 20001, 40000), 2);
}
END_TEST

/* Guards against versions of one service that count for another. */
START_TEST(another_service_does_not_count)
{
    software_seen_t seen = {0};
    list_each_second(&seen, 1, 10000, 20000);
    note(&seen, OTHER_SERVICE, 2, 20000);
    ck_assert_uint_eq(only(&seen, 10000, 20000), 1);
    ck_assert_uint_eq(only_of(&seen, OTHER_SERVICE, 10000, 20000), 2);
    ck_assert_uint_eq(only_of(&seen, 9, 10000, 20000), SOFTWARE_UNKNOWN);
}
END_TEST

/* Guards against a stream that began at another service of its path, whose
 * version is taken for that of the one where it is taken up. */
START_TEST(of_several_services_all_have_the_version)
{
    const uint64_t services[] = {SERVICE, OTHER_SERVICE};
    software_seen_t seen = {0};
    list_each_second(&seen, 1, 10000, 20000);
    ck_assert_uint_eq(software_seen_only(&seen, services, 2, 10000, 20000), 1);
    note(&seen, OTHER_SERVICE, 1, 20000);
    ck_assert_uint_eq(software_seen_only(&seen, services, 2, 10000, 20000), 1);
    note(&seen, OTHER_SERVICE, 2, 12000);
    ck_assert_uint_eq(software_seen_only(&seen, services, 2, 10000, 20000),
                      SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(software_seen_only(&seen, services, 2, 12001, 20000), 1);
    ck_assert_uint_eq(software_seen_only(&seen, services, 0, 10000, 20000),
                      SOFTWARE_UNKNOWN);
}
END_TEST

static void
list_many(software_seen_t *seen, uint64_t count, int64_t now)
{
    for (uint64_t i = 0; i < count; i++) {
        note(seen, OTHER_SERVICE, 100 + i, now);
    }
}

/* Guards against a version that is taken for the only one since the list had
 * no room for another. */
START_TEST(after_an_overflow_nothing_is_certain)
{
    software_seen_t seen = {0};
    list_version(&seen, 1, 10000);
    list_many(&seen, SOFTWARE_SEEN_MAX - 1, 10000);
    ck_assert_uint_eq(only(&seen, 10000, 10000), 1);
    note(&seen, SERVICE, 2, 10000);
    ck_assert_uint_eq(seen.count, SOFTWARE_SEEN_MAX);
    ck_assert_uint_eq(only(&seen, 10000, 10000), SOFTWARE_UNKNOWN);
    list_each_second(&seen, 1, 11000, 20000);
    software_seen_forget(&seen, 10000);
    ck_assert_uint_eq(only(&seen, 20000, 20000), SOFTWARE_UNKNOWN);
    software_seen_forget(&seen, 10001);
    ck_assert_uint_eq(seen.count, 1);
    ck_assert_uint_eq(only(&seen, 19999, 20000), SOFTWARE_UNKNOWN);
    list_each_second(&seen, 1, 21000, 30000);
    ck_assert_uint_eq(only(&seen, 20000, 30000), 1);
}
END_TEST

/* Guards against a host that has just started and loses streams, though
 * another one recorded the versions before it. */
START_TEST(own_lists_join_the_record_of_another_host)
{
    software_seen_t seen = {0};
    note(&seen, SERVICE, 1, 50000);
    software_seen_cover(&seen, 10000, 50000);
    list_each_second(&seen, 1, 54000, 60000);
    ck_assert_uint_eq(only(&seen, 10000, 60000), 1);
    software_seen_t late = {0};
    list_each_second(&late, 1, 54000, 60000);
    note(&late, SERVICE, 1, 50000);
    software_seen_cover(&late, 10000, 50000);
    ck_assert_uint_eq(only(&late, 10000, 60000), 1);
    software_seen_t inner = {0};
    list_each_second(&inner, 1, 54000, 60000);
    software_seen_cover(&inner, 55000, 56000);
    ck_assert_uint_eq(only(&inner, 54000, 60000), 1);
    ck_assert_uint_eq(only(&inner, 53999, 60000), SOFTWARE_UNKNOWN);
}
END_TEST

/* Guards against a record of another host that brings one more version. */
START_TEST(versions_of_a_joined_record_count)
{
    software_seen_t seen = {0};
    list_each_second(&seen, 1, 54000, 60000);
    note(&seen, SERVICE, 2, 50000);
    software_seen_cover(&seen, 10000, 53000);
    ck_assert_uint_eq(only(&seen, 10000, 60000), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(only(&seen, 50001, 60000), 1);
}
END_TEST

/* Guards against versions in a gap between two lists. */
START_TEST(spans_with_a_longer_gap_do_not_join)
{
    software_seen_t seen = {0};
    software_seen_cover(&seen, 10000, 50000);
    list_each_second(&seen, 1, 54001, 60001);
    ck_assert_uint_eq(only(&seen, 54000, 60001), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(only(&seen, 54001, 60001), 1);
    software_seen_t late = {0};
    list_each_second(&late, 1, 54001, 60001);
    software_seen_cover(&late, 10000, 50000);
    ck_assert_uint_eq(only(&late, 54000, 60001), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(only(&late, 54001, 60001), 1);
}
END_TEST

/* Guards against a host that was cut off and takes an old list for the
 * current one. */
START_TEST(a_list_that_is_no_longer_current_is_not_certain)
{
    software_seen_t seen = {0};
    list_each_second(&seen, 1, 10000, 20000);
    ck_assert_uint_eq(only(&seen, 10000, 24000), 1);
    ck_assert_uint_eq(only(&seen, 10000, 24001), SOFTWARE_UNKNOWN);
    list_version(&seen, 1, 24001);
    ck_assert_uint_eq(only(&seen, 24000, 24001), SOFTWARE_UNKNOWN);
    ck_assert_uint_eq(only(&seen, 24001, 24001), 1);
}
END_TEST

/* Guards against streams of a service with several versions whose origins the
 * store does not get, and against writes where there is one version alone. */
START_TEST(several_versions_are_those_of_one_service)
{
    software_seen_t seen = {0};
    list_version(&seen, 1, 10000);
    note(&seen, OTHER_SERVICE, 2, 10000);
    ck_assert(!software_seen_several(&seen, SERVICE, 0));
    list_version(&seen, 3, 11000);
    ck_assert(software_seen_several(&seen, SERVICE, 0));
    ck_assert(!software_seen_several(&seen, OTHER_SERVICE, 0));
    /* The older one was last listed before the span. */
    ck_assert(software_seen_several(&seen, SERVICE, 10000));
    ck_assert(!software_seen_several(&seen, SERVICE, 10001));
}
END_TEST

TEST_MAIN("software-seen", one_version_is_certain_within_the_span,
          a_version_without_a_span_is_not_certain,
          of_several_versions_none_is_certain,
          an_old_version_counts_until_it_is_out_of_the_span,
          another_service_does_not_count,
          of_several_services_all_have_the_version,
          after_an_overflow_nothing_is_certain,
          own_lists_join_the_record_of_another_host,
          versions_of_a_joined_record_count,
          spans_with_a_longer_gap_do_not_join,
          a_list_that_is_no_longer_current_is_not_certain,
          several_versions_are_those_of_one_service)
