#include "../relay/stream.h"
#include "test.h"

#include <string.h>

static const char events[] =
    "id: 1\ndata: a\n\n"
    "x-weights: 2\nid: 2\ndata: b\n\n"
    "id: 3\r\ndata: c\r\n\r\n"
    "data: no id\n\n"
    "id: 10\ndata: d\n\n";

/* Guards against split events: each event is passed on complete, however the
 * stream is cut into pieces. */
START_TEST(split_events_are_joined)
{
    for (uint64_t seed = 0; seed < 500; seed++) {
        rng_t rng = {seed};
        stream_t stream;
        CLEAN_BUF buf_t out = {0};
        size_t offset = 0;
        size_t count = 0;
        stream_init(&stream, "");
        while (offset < sizeof(events) - 1) {
            size_t step = 1 + (size_t)rng_below(&rng, 9);
            step = step < sizeof(events) - 1 - offset
                       ? step
                       : sizeof(events) - 1 - offset;
            count += stream_feed(&stream, events + offset, step, &out);
            offset += step;
            ck_assert(out.len == 0 || out.data[out.len - 1] == '\n');
        }
        ck_assert_uint_eq(count, 5);
        ck_assert_str_eq(buf_text(&out), events);
        ck_assert_str_eq(stream.last_id, "10");
        ck_assert_uint_eq(stream.partial.len, 0);
        stream_free(&stream);
    }
}
END_TEST

/* A server fails in the middle of an event, and another resumes the stream one
 * event too early.  Guards against passing on the incomplete event or one that
 * the caller already has. */
START_TEST(resumed_stream_has_no_gap_or_repeat)
{
    stream_t stream;
    CLEAN_BUF buf_t out = {0};
    stream_init(&stream, "");
    (void)stream_feed(&stream, "id: 1\ndata: a\n\nid: 2\nda", 23, &out);
    ck_assert_str_eq(stream.last_id, "1");
    stream_restart(&stream);
    (void)stream_feed(&stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 30,
                      &out);
    ck_assert_str_eq(buf_text(&out), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    stream_free(&stream);
}
END_TEST

/* A broken server sends data endlessly without completing an event.  Guards
 * against buffering it without bound. */
START_TEST(endless_event_is_bounded)
{
    stream_t stream;
    CLEAN_BUF buf_t out = {0};
    char block[4096];
    memset(block, 'x', sizeof(block));
    stream_init(&stream, "");
    for (int i = 0; i < 100 && !stream.overflow; i++) {
        (void)stream_feed(&stream, block, sizeof(block), &out);
    }
    ck_assert(stream.overflow);
    stream_free(&stream);
}
END_TEST

/* Guards against a broken server that repeats what the caller has without end.
 */
START_TEST(endless_repeats_are_bounded)
{
    static const char event[] = "id: 1\ndata: a\n\n";
    stream_t stream;
    CLEAN_BUF buf_t out = {0};
    stream_init(&stream, "");
    (void)stream_feed(&stream, event, sizeof(event) - 1, &out);
    for (int i = 0; i < 100000; i++) {
        (void)stream_feed(&stream, event, sizeof(event) - 1, &out);
        ck_assert(!stream.overflow);
    }
    for (int i = 0; i < 200000 && !stream.overflow; i++) {
        (void)stream_feed(&stream, event, sizeof(event) - 1, &out);
    }
    ck_assert(stream.overflow);
    ck_assert_str_eq(buf_text(&out), event);
    stream_free(&stream);
}
END_TEST

/* Guards against taking the length of a part of a stream for the whole: events
 * that are dropped don't count, and a stream that began elsewhere is marked.
 */
START_TEST(events_of_whole_streams_are_counted)
{
    static const char two[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    stream_t stream;
    CLEAN_BUF buf_t out = {0};
    stream_init(&stream, "");
    stream_restart(&stream); /* an attempt without an event came before */
    (void)stream_feed(&stream, two, sizeof(two) - 1, &out);
    ck_assert_uint_eq(stream.events, 2);
    ck_assert(!stream.continued);
    stream_restart(&stream);
    (void)stream_feed(&stream, two, sizeof(two) - 1, &out);
    ck_assert_uint_eq(stream.events, 2);
    ck_assert(stream.continued);
    stream_free(&stream);
    stream_init(&stream, "1");
    ck_assert(stream.continued);
    stream_free(&stream);
}
END_TEST

TEST_MAIN("stream", split_events_are_joined,
          resumed_stream_has_no_gap_or_repeat, endless_event_is_bounded,
          endless_repeats_are_bounded, events_of_whole_streams_are_counted)
