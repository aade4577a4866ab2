#include "../relay/software-seen.h"
#include "../relay/stream-origins.h"
#include "test.h"

static void
note(software_seen_t *seen, uint64_t service, uint64_t software,
     int64_t seen_ms)
{
    const software_sighting_t sighting = {
        .service = service, .software = software, .seen_ms = seen_ms};
    software_seen_note(seen, &sighting);
}

static uint64_t
only(const software_seen_t *seen, int64_t since_ms, int64_t now)
{
    const uint64_t service = 7;
    return software_seen_only(seen, &service, 1, since_ms, now);
}

/* Guards against the only version left where an older one was forgotten that
 * is still in the span that is asked for. */
START_TEST(a_forgotten_version_is_not_certain_not_to_have_been)
{
    software_seen_t seen = {0};
    for (int64_t now = 1000; now <= 300000; now += 1000) {
        note(&seen, 7, now <= 100000 ? 1 : 2, now);
        software_seen_cover(&seen, now, now);
        software_seen_forget(&seen, now - 120000);
    }
    ck_assert_uint_eq(only(&seen, 180000, 300000), 2);
    ck_assert_uint_eq(only(&seen, 50000, 300000), SOFTWARE_UNKNOWN);
}
END_TEST

/* Guards against a span that joins across the time of a version for which
 * there was no room. */
START_TEST(a_record_from_before_an_overflow_does_not_cover_it)
{
    software_seen_t seen = {0};
    for (uint64_t i = 0; i < SOFTWARE_SEEN_MAX - 1; i++) {
        note(&seen, 8, i, 1000);
    }
    note(&seen, 7, 1, 100000);
    note(&seen, 7, 2, 100000);
    software_seen_cover(&seen, 100000, 100000);
    software_seen_forget(&seen, 2000);
    note(&seen, 7, 1, 101000);
    software_seen_cover(&seen, 101000, 101000);
    software_seen_cover(&seen, 50000, 99000);
    ck_assert_uint_eq(only(&seen, 60000, 101000), SOFTWARE_UNKNOWN);
}
END_TEST

TEST_MAIN("software-forgotten",
          a_forgotten_version_is_not_certain_not_to_have_been,
          a_record_from_before_an_overflow_does_not_cover_it)
