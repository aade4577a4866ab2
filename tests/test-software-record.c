#include "../relay/software-record.h"
#include "test.h"

#define SERVICE 7
#define OTHER_SERVICE 8
#define UNTIL 50000

static void
add(software_record_t *record, uint64_t service, uint64_t software,
    int64_t seen_ms)
{
    const software_sighting_t sighting = {
        .service = service, .software = software, .seen_ms = seen_ms};
    software_record_add(record, &sighting, UNTIL);
}

/* Guards against origins that are recorded nowhere as a record that has not
 * been read is taken for one that lists their version. */
START_TEST(nothing_is_listed_before_the_first_read)
{
    software_record_t record = {0};
    ck_assert(!software_record_lists(&record, SERVICE, 1, 100));
    software_record_begin(&record, 100);
    ck_assert(!software_record_lists(&record, SERVICE, 1, 100));
}
END_TEST

/* Guards against origins that are recorded nowhere as another service has
 * their version, or as theirs had it once. */
START_TEST(only_current_versions_of_a_service_are_listed)
{
    software_record_t record = {0};
    software_record_begin(&record, 100);
    add(&record, SERVICE, 1, UNTIL - 1);
    add(&record, SERVICE, 2, UNTIL);
    add(&record, OTHER_SERVICE, 3, UNTIL + 20);
    ck_assert(!software_record_lists(&record, SERVICE, 1, 200));
    ck_assert(software_record_lists(&record, SERVICE, 2, 200));
    ck_assert(!software_record_lists(&record, SERVICE, 3, 200));
    ck_assert(software_record_lists(&record, OTHER_SERVICE, 3, 200));
}
END_TEST

/* Guards against reliance on versions that a later record does not list. */
START_TEST(a_later_read_replaces_the_record)
{
    software_record_t record = {0};
    software_record_begin(&record, 100);
    add(&record, SERVICE, 1, UNTIL);
    software_record_begin(&record, 1100);
    add(&record, SERVICE, 2, UNTIL);
    ck_assert(!software_record_lists(&record, SERVICE, 1, 1200));
    ck_assert(software_record_lists(&record, SERVICE, 2, 1200));
}
END_TEST

/* Guards against reliance on a record that a host which is cut off from the
 * store read long ago. */
START_TEST(an_old_record_is_not_relied_on)
{
    software_record_t record = {0};
    software_record_begin(&record, 1000);
    add(&record, SERVICE, 1, UNTIL);
    ck_assert(software_record_lists(&record, SERVICE, 1, 6000));
    ck_assert(!software_record_lists(&record, SERVICE, 1, 20000));
}
END_TEST

/* Guards against versions beyond the room for them that are taken for listed
 * ones. */
START_TEST(versions_beyond_the_room_are_not_listed)
{
    software_record_t record = {0};
    software_record_begin(&record, 100);
    for (uint64_t software = 1; software <= SOFTWARE_SEEN_MAX + 1;
         software++) {
        add(&record, SERVICE, software, UNTIL);
    }
    ck_assert(software_record_lists(&record, SERVICE, SOFTWARE_SEEN_MAX, 200));
    ck_assert(
        !software_record_lists(&record, SERVICE, SOFTWARE_SEEN_MAX + 1, 200));
}
END_TEST

/* Lists one version of a service besides those that are listed. */
static void
list_version(software_listed_t *listed, uint64_t service, uint64_t software)
{
    listed->list[listed->count++] =
        (software_sighting_t){.service = service, .software = software};
}

/* Guards against streams that begin at a version which joined right before
 * all hosts end, and that go on at another one. */
START_TEST(a_new_version_is_avoided_until_it_is_recorded)
{
    software_record_t record = {0};
    software_listed_t listed = {0};
    list_version(&listed, SERVICE, 1);
    list_version(&listed, SERVICE, 2);
    list_version(&listed, OTHER_SERVICE, 2);
    software_record_begin(&record, 100);
    add(&record, SERVICE, 1, UNTIL);
    software_record_compare(&record, &listed, 200);
    ck_assert(software_record_lacks(&record, 200));
    ck_assert(software_record_avoids(&record, SERVICE, 2));
    ck_assert(!software_record_avoids(&record, SERVICE, 1));
    add(&record, SERVICE, 2, UNTIL);
    add(&record, OTHER_SERVICE, 2, UNTIL);
    software_record_compare(&record, &listed, 300);
    ck_assert(!software_record_lacks(&record, 300));
    ck_assert(!software_record_avoids(&record, SERVICE, 2));
}
END_TEST

/* Guards against streams that wait although no server of their service has a
 * recorded version: a new service, and a record that was not read. */
START_TEST(the_only_versions_of_a_service_are_not_avoided)
{
    software_record_t record = {0};
    software_listed_t listed = {0};
    list_version(&listed, SERVICE, 2);
    list_version(&listed, SERVICE, 3);
    software_record_compare(&record, &listed, 100);
    ck_assert(!software_record_avoids(&record, SERVICE, 2));
    software_record_begin(&record, 100);
    add(&record, SERVICE, 1, UNTIL);
    add(&record, OTHER_SERVICE, 4, UNTIL);
    software_record_compare(&record, &listed, 200);
    ck_assert(!software_record_avoids(&record, SERVICE, 2));
    ck_assert(!software_record_avoids(&record, SERVICE, 3));
}
END_TEST

/* Guards against streams that wait for a version to be recorded while the
 * store takes no writes. */
START_TEST(a_version_that_stays_unrecorded_is_used)
{
    software_record_t record = {0};
    software_listed_t listed = {0};
    list_version(&listed, SERVICE, 1);
    list_version(&listed, SERVICE, 2);
    for (int64_t now = 1000; now <= 8000; now += 100) {
        software_record_begin(&record, now);
        add(&record, SERVICE, 1, UNTIL);
        software_record_compare(&record, &listed, now);
        ck_assert(now >= 3000 || software_record_avoids(&record, SERVICE, 2));
        ck_assert(now < 8000 || !software_record_avoids(&record, SERVICE, 2));
        ck_assert(now < 8000 || !software_record_lacks(&record, now));
    }
}
END_TEST

TEST_MAIN("software-record", nothing_is_listed_before_the_first_read,
          only_current_versions_of_a_service_are_listed,
          a_later_read_replaces_the_record, an_old_record_is_not_relied_on,
          versions_beyond_the_room_are_not_listed,
          a_new_version_is_avoided_until_it_is_recorded,
          the_only_versions_of_a_service_are_not_avoided,
          a_version_that_stays_unrecorded_is_used)
