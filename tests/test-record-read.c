#include "../relay/record-read.h"
#include "test.h"

/* Guards against streams that are refused after a start, or after the host's
 * lists have had a gap, since the record is not read. */
START_TEST(the_record_is_read_after_each_gap)
{
    record_read_t read = {0};
    software_seen_t seen = {0};
    ck_assert(record_read_is_due(&read, &seen, 100));
    record_read_sent(&read, true, 100, 50100);
    ck_assert(record_read_is_awaited(&read, &seen));
    record_read_done(&read, true, 110);
    software_seen_cover(&seen, 40000, 50100);
    ck_assert(!record_read_is_awaited(&read, &seen));
    software_seen_cover(&seen, 53000, 53000);
    ck_assert(!record_read_is_due(&read, &seen, 3000));
    software_seen_cover(&seen, 60000, 60000);
    ck_assert(record_read_is_due(&read, &seen, 10000));
}
END_TEST

/* Guards against a host that takes a read which may be old for the latest. */
START_TEST(other_calls_do_not_count)
{
    record_read_t read = {0};
    software_seen_t seen = {0};
    record_read_sent(&read, false, 100, 50100);
    record_read_done(&read, true, 110);
    ck_assert(record_read_is_awaited(&read, &seen));
    record_read_sent(&read, false, 200, 50200);
    record_read_done(&read, false, 210);
    ck_assert(record_read_is_due(&read, &seen, 220));
}
END_TEST

/* Guards against hosts that overload a store which does not answer, and
 * against requests that wait long for the next read. */
START_TEST(a_failed_read_is_repeated_soon_if_requests_wait)
{
    record_read_t read = {0};
    software_seen_t seen = {0};
    record_read_sent(&read, true, 1000, 51000);
    record_read_done(&read, false, 1100);
    ck_assert(record_read_is_awaited(&read, &seen));
    ck_assert(!record_read_is_due(&read, &seen, 1500));
    ck_assert(record_read_is_due(&read, &seen, 3200));
    record_read_request(&read);
    ck_assert(!record_read_is_due(&read, &seen, 1200));
    ck_assert(record_read_is_due(&read, &seen, 1500));
    record_read_sent(&read, false, 1510, 51510);
    record_read_done(&read, true, 1520);
    ck_assert(record_read_is_due(&read, &seen, 1530));
    record_read_sent(&read, true, 1540, 51540);
    record_read_done(&read, false, 1600);
    ck_assert(!record_read_is_due(&read, &seen, 2000));
}
END_TEST

/* Guards against ten linearizable reads a second from a host whose clock was
 * set back behind the time since which it knows the versions. */
START_TEST(a_clock_that_is_set_back_causes_few_reads)
{
    record_read_t read = {0};
    software_seen_t seen = {0};
    unsigned reads = 0;
    software_seen_cover(&seen, 90000, 90000);
    for (int64_t now = 1000; now < 11000; now += 100) {
        if (record_read_is_due(&read, &seen, now)) {
            record_read_sent(&read, true, now, 50000 + now);
            record_read_done(&read, true, now + 10);
            reads++;
        }
    }
    ck_assert_uint_ge(reads, 1);
    ck_assert_uint_le(reads, 6);
}
END_TEST

TEST_MAIN("record-read", the_record_is_read_after_each_gap,
          other_calls_do_not_count,
          a_failed_read_is_repeated_soon_if_requests_wait,
          a_clock_that_is_set_back_causes_few_reads)
