#include "../kernel/peer-codec.h"
#include "../platform/platform.h"
#include "../relay/origin-records.h"
#include "../relay/stream-origins.h"
#include "test.h"

#include <string.h>

#define NOW 1000000
#define LATER (NOW + 5000)

static origin_record_t
make_record(uint64_t stream, uint64_t software)
{
    return (origin_record_t){.stream = {.attempt = stream,
                                        .workspace = (uint16_t)~stream,
                                        .access_key = UINT16_MAX},
                             .service = 7,
                             .software = software,
                             .expires_ms = LATER};
}

static bool
find(const origin_records_t *records, uint64_t stream, int64_t now,
     origin_record_t *out)
{
    const origin_record_t record = make_record(stream, 0);
    return origin_records_find(records, &record.stream, now, out);
}

static void
collect(void *arg, const origin_record_t *record)
{
    origin_records_add(arg, record, NOW);
}

START_TEST(records_are_found)
{
    origin_records_t records = {0};
    origin_record_t found;
    for (uint64_t stream = 1; stream <= 1000; stream++) {
        origin_record_t record = make_record(stream * 7919 % 1009, stream % 3);
        origin_records_add(&records, &record, NOW);
    }
    ck_assert(!find(&records, 7919 % 1009, NOW, &found));
    origin_records_complete(&records);
    for (uint64_t stream = 1; stream <= 1000; stream++) {
        ck_assert(find(&records, stream * 7919 % 1009, NOW, &found));
        ck_assert_uint_eq(found.software, stream % 3);
    }
    ck_assert(!find(&records, 2000, NOW, &found));
    ck_assert(!find(&records, 1, LATER, &found));
    origin_records_clear(&records);
}
END_TEST

/* Guards against a stream that goes on at another version, if a host recorded
 * its origin before it learned which process began it. */
START_TEST(records_that_differ_are_unknown)
{
    origin_records_t records = {0};
    origin_record_t found;
    const origin_record_t first = make_record(5, 1);
    const origin_record_t second = make_record(5, 2);
    const origin_record_t twice = make_record(6, 3);
    origin_records_add(&records, &second, NOW);
    origin_records_add(&records, &first, NOW);
    origin_records_add(&records, &twice, NOW);
    origin_records_add(&records, &twice, NOW);
    origin_records_complete(&records);
    ck_assert(find(&records, 5, NOW, &found));
    ck_assert_uint_eq(found.software, SOFTWARE_UNKNOWN);
    ck_assert(find(&records, 6, NOW, &found));
    ck_assert_uint_eq(found.software, 3);
    origin_records_clear(&records);
}
END_TEST

/* Guards against a stream that is not taken up after its route has moved to
 * another service. */
START_TEST(records_of_two_services_may_have_one_version)
{
    origin_records_t records = {0};
    origin_record_t found;
    origin_record_t record = make_record(5, 3);
    origin_records_add(&records, &record, NOW);
    record.service = 8;
    origin_records_add(&records, &record, NOW);
    origin_records_complete(&records);
    ck_assert(find(&records, 5, NOW, &found));
    ck_assert_uint_eq(found.software, 3);
    origin_records_clear(&records);
}
END_TEST

START_TEST(batch_keeps_the_newest)
{
    static origin_batch_t batch;
    for (uint64_t stream = 0; stream < ORIGIN_BATCH_MAX + 10; stream++) {
        const origin_record_t record = make_record(stream, 1);
        origin_batch_add(&batch, &record);
    }
    ck_assert_uint_eq(batch.count, ORIGIN_BATCH_MAX);
    ck_assert_uint_eq(batch.all[0].stream.attempt, 10);
    origin_batch_drop(&batch, 4);
    ck_assert_uint_eq(batch.all[0].stream.attempt, 14);
    batch.all[0].expires_ms = NOW;
    origin_batch_expire(&batch, NOW);
    ck_assert_uint_eq(batch.all[0].stream.attempt, 15);
    origin_batch_drop(&batch, SIZE_MAX);
    ck_assert_uint_eq(batch.count, 0);
}
END_TEST

START_TEST(segment_is_read_as_written)
{
    const origin_record_t written[] = {
        make_record(0xfedcba9876543210, UINT64_MAX - 1),
        make_record(1, 3),
        make_record(2, UINT64_MAX - 1),
    };
    size_t count = sizeof(written) / sizeof(written[0]);
    origin_records_t records = {0};
    origin_record_t found;
    CLEAN_JSON json_t *spec = platform_origins_spec(written, count);
    const store_object_t object = {.name = "a-1", .revision = 3, .spec = spec};
    platform_origins_read(&object, collect, &records);
    origin_records_complete(&records);
    ck_assert_uint_eq(records.count, count);
    for (size_t i = 0; i < count; i++) {
        ck_assert(
            origin_records_find(&records, &written[i].stream, NOW, &found));
        ck_assert_uint_eq(found.software, written[i].software);
        ck_assert_uint_eq(found.service, 7);
        ck_assert_int_eq(found.expires_ms, LATER);
    }
    origin_records_clear(&records);
}
END_TEST

/* Guards against odd objects of this kind that another writer left. */
START_TEST(odd_segments_are_skipped)
{
    static const char *const texts[] = {
        "{}",
        "[]",
        "{\"until\":1e300,\"origins\":[[1,2,\"00\"]]}",
        "{\"until\":1005000,\"origins\":{}}",
        "{\"until\":1005000,\"origins\":[3,[],[1],[1,2],[1,2,3]]}",
        "{\"until\":1005000,\"origins\":[[1,2,\"??AAAAAAAAAAAAAA\"]]}",
        "{\"until\":1005000,\"origins\":[[1,2,\"AAAAAAAAAAAAAAA/\"]]}",
        "{\"until\":1005000,\"groups\":[[1,2,\"AAAAAAAAAAAAAAAA\"]]}",
        "{\"until\":1005000,\"origins\":[[1,2,\"0000\"]]}",
    };
    origin_records_t records = {0};
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        CLEAN_JSON json_t *spec = json_loads(texts[i], 0, NULL);
        const store_object_t object = {.name = "a-1", .spec = spec};
        platform_origins_read(&object, collect, &records);
    }
    ck_assert_uint_eq(records.count, 0);
    origin_records_clear(&records);
}
END_TEST

/* Guards against an object that is written again while its streams may be
 * taken up, and against writes that grow with the fleet. */
START_TEST(slots_and_recorders_are_bounded)
{
    static const int64_t longest[] = {0, 3000, 15000, 60000, 600000};
    for (size_t i = 0; i < sizeof(longest) / sizeof(longest[0]); i++) {
        int64_t slot_ms = origin_slot_ms(longest[i]);
        ck_assert_int_ge(slot_ms, 250);
        ck_assert_int_ge(slot_ms * (ORIGIN_SLOTS - 1), longest[i] + 8000);
    }
    ck_assert_int_eq(origin_slot_ms(15000), 250);
    ck_assert_uint_eq(origin_recorder_count(4), 0);
    ck_assert_uint_eq(origin_recorder_count(8), 0);
    ck_assert_uint_eq(origin_recorder_count(63), 9);
    ck_assert_uint_eq(origin_recorder_count(350), 15);
    ck_assert_uint_le(origin_recorder_count(5000), ORIGIN_RECORDERS_MAX);
}
END_TEST

#define WRITES_MAX 1024

typedef struct {
    char name[64];
    int64_t needed_until_ms;
} written_t;

static written_t written[WRITES_MAX];
static size_t written_count;

/* Writes the object of a slot, which none may have whose origins are needed.
 */
static void
write_object(int64_t slot_ms, int64_t longest_ms, int64_t now)
{
    written_t *next = &written[written_count++];
    ck_assert_uint_lt(written_count, WRITES_MAX);
    origin_segment_name("a-1", slot_ms, now / slot_ms, next->name,
                        sizeof(next->name));
    next->needed_until_ms = now + longest_ms;
    for (size_t i = 0; i + 1 < written_count; i++) {
        ck_assert_msg(strcmp(written[i].name, next->name) != 0 ||
                          written[i].needed_until_ms <= now,
                      "%s is written again %lld ms too early", next->name,
                      (long long)(written[i].needed_until_ms - now));
    }
}

/* Guards against an object that is written again while its streams may be
 * taken up, because the longest timeout has changed in between. */
START_TEST(objects_last_through_changes_of_the_longest_timeout)
{
    static const int64_t longest[] = {60000, 20000, 90000, 15000, 33000};
    int64_t now = 1700000000000;
    int64_t last_slot_ms = 0;
    int64_t last_slot = 0;
    for (int i = 0; i < 25; i++) {
        int64_t longest_ms = longest[i % 5];
        int64_t slot_ms = origin_slot_ms(longest_ms);
        if (slot_ms <= 0) {
            ck_abort_msg("a slot of %lld ms", (long long)slot_ms);
        }
        for (int64_t until_ms = now + 7000; now < until_ms; now += 100) {
            if (slot_ms != last_slot_ms || now / slot_ms != last_slot) {
                last_slot_ms = slot_ms;
                last_slot = now / slot_ms;
                write_object(slot_ms, longest_ms, now);
            }
        }
    }
}
END_TEST

#define FLEET 350
#define STREAMS_PER_S 3.3 /* at each host */
#define BYTES_PER_S_MAX 8000

/* Guards against bytes of a host that records for others beyond what control
 * may cost at letter 1's size. */
START_TEST(recorders_bytes_are_bounded)
{
    static origin_batch_t batch;
    static peer_datagram_t datagram;
    unsigned char data[PEER_DATAGRAM_MAX];
    const unsigned char secret[32] = {0};
    CLEAN_BUF buf_t call = {0};
    size_t recorders = origin_recorder_count(FLEET);
    double received_per_s = STREAMS_PER_S * FLEET / (double)recorders;
    double writes_per_s = 1000.0 / (double)origin_slot_ms(15000);
    size_t per_write = (size_t)(received_per_s / writes_per_s) + 1;
    for (size_t i = 0; i < per_write; i++) {
        const origin_record_t record =
            make_record(UINT64_MAX - i, UINT64_MAX / (i % 2 + 2));
        origin_batch_add(&batch, &record);
    }
    CLEAN_JSON json_t *spec = platform_origins_spec(batch.all, batch.count);
    platform_replace_call(&call, "10.200.1.7:8587", KIND_ORIGINS,
                          "edge-kgn-a-100-95", 0, spec);
    datagram.kind = PEER_ORIGIN_RECORDS;
    datagram.origin_count = 1;
    datagram.origins[0] = (peer_origin_t){.attempt = UINT64_MAX,
                                          .caller = UINT32_MAX,
                                          .service = UINT64_MAX,
                                          .software = UINT64_MAX,
                                          .lifetime_ms = 17000};
    size_t len = peer_encode(&datagram, secret, data);
    double bytes_per_s =
        (double)call.len * writes_per_s + (double)len * received_per_s;
    printf(
        "origins: %zu recorders of %d hosts, %.0f writes/s in all, "
        "%.0f B/s at each (%zu B a write of %zu origins, %zu B a "
        "datagram)\n",
        recorders, FLEET, writes_per_s * (double)recorders, bytes_per_s,
        call.len, per_write, len);
    ck_assert_double_le(bytes_per_s, BYTES_PER_S_MAX);
    ck_assert_double_le(writes_per_s * (double)recorders, 100);
}
END_TEST

TEST_MAIN("origin-records", records_are_found, records_that_differ_are_unknown,
          records_of_two_services_may_have_one_version, batch_keeps_the_newest,
          segment_is_read_as_written, odd_segments_are_skipped,
          slots_and_recorders_are_bounded,
          objects_last_through_changes_of_the_longest_timeout,
          recorders_bytes_are_bounded)
