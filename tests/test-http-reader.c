#include "../kernel/http-reader.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_MAX 2048

typedef struct {
    http_reader_t reader;
    struct evbuffer *in;
    buf_t body;
} feed_t;

static void
on_body(void *arg, const char *data, size_t len)
{
    feed_t *feed = arg;
    buf_add(&feed->body, data, len);
}

static void
feed_open(feed_t *feed, bool response)
{
    memset(feed, 0, sizeof(*feed));
    feed->in = evbuffer_new();
    http_reader_init(&feed->reader, response, HEAD_MAX, on_body, feed);
}

static void
feed_close(feed_t *feed)
{
    http_reader_free(&feed->reader);
    evbuffer_free(feed->in);
    buf_free(&feed->body);
}

/* Adds bytes and reads until there is no more progress. */
static reader_state_t
feed_bytes(feed_t *feed, const char *data, size_t len)
{
    (void)evbuffer_add(feed->in, data, len);
    size_t before;
    reader_state_t state;
    do {
        before = evbuffer_get_length(feed->in);
        state = http_reader_feed(&feed->reader, feed->in);
    } while (state == READER_BODY && evbuffer_get_length(feed->in) < before);
    return state;
}

static reader_state_t
read_request(const char *text, int *status)
{
    feed_t feed;
    feed_open(&feed, false);
    reader_state_t state = feed_bytes(&feed, text, strlen(text));
    *status = feed.reader.status;
    feed_close(&feed);
    return state;
}

/* Guards against request smuggling: a caller hides a second request in the
 * first, router and server disagree on where the first one ends, and the
 * server runs a request that no caller sent.  Such requests are rejected. */
START_TEST(ambiguous_requests_are_rejected)
{
    static const char *const texts[] = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        "Content-Length: 5\r\n\r\nabcde",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4, 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "zz\r\nabc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "FFFFFFFFFFFFFFFFF\r\nabc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX-One: 1\r\n two\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX-One : 1\r\n\r\n",
        "GET / HTTP/1.1\r\nX-One: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX-One: 1\001\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n"
        "Upgrade: websocket\r\n\r\n",
        "\001\002\003\r\n\r\n",
    };
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        int status = 0;
        reader_state_t state = read_request(texts[i], &status);
        ck_assert_msg(state == READER_INVALID, "text %zu was accepted", i);
        ck_assert_int_eq(status, 400);
    }
}
END_TEST

START_TEST(a_head_over_the_limit_gets_431)
{
    char text[HEAD_MAX * 2];
    int status = 0;
    int len = snprintf(text, sizeof(text), "GET / HTTP/1.1\r\nHost: a\r\nX: ");
    memset(text + len, 'x', sizeof(text) - (size_t)len);
    memcpy(text + sizeof(text) - 5, "\r\n\r\n", 5);
    ck_assert_int_eq(read_request(text, &status), READER_INVALID);
    ck_assert_int_eq(status, 431);
}
END_TEST

/* Bytes of the next request that arrive with the body of this one stay in the
 * buffer until this one is answered. */
START_TEST(the_next_request_stays_in_the_buffer)
{
    static const char text[] =
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n";
    feed_t feed;
    feed_open(&feed, false);
    ck_assert_int_eq(feed_bytes(&feed, text, strlen(text)), READER_COMPLETE);
    ck_assert_str_eq(buf_text(&feed.body), "abcde");
    ck_assert_uint_eq(evbuffer_get_length(feed.in), 28);
    http_reader_next(&feed.reader);
    ck_assert_int_eq(feed_bytes(&feed, "", 0), READER_COMPLETE);
    ck_assert(http_head_is(&feed.reader.head, feed.reader.head.target, "/b"));
    feed_close(&feed);
}
END_TEST

START_TEST(a_request_may_arrive_byte_by_byte)
{
    static const char text[] =
        "POST /p?q=1 HTTP/1.1\r\nHost: a\r\nX-A: 1\r\nx-a: 2 \r\n"
        "Content-Length: 3\r\n\r\nabc";
    feed_t feed;
    reader_state_t state = READER_HEAD;
    feed_open(&feed, false);
    for (size_t i = 0; i < sizeof(text) - 1; i++) {
        ck_assert_int_ne(state, READER_COMPLETE);
        state = feed_bytes(&feed, text + i, 1);
    }
    const http_head_t *head = &feed.reader.head;
    ck_assert_int_eq(state, READER_COMPLETE);
    ck_assert_str_eq(http_head_method(head), "POST");
    ck_assert(http_head_is(head, head->target, "/p?q=1"));
    ck_assert_uint_eq(head->count, 4);
    ck_assert(http_head_is(head, head->headers[2].value, "2"));
    ck_assert_str_eq(buf_text(&feed.body), "abc");
    feed_close(&feed);
}
END_TEST

/* A response without a length is complete when the server closes the
 * connection.  One with a length is not if the connection ends early. */
START_TEST(a_response_without_a_length_ends_with_its_connection)
{
    static const char text[] = "HTTP/1.1 200 OK\r\nX: y\r\n\r\npart";
    feed_t feed;
    feed_open(&feed, true);
    ck_assert_int_eq(feed_bytes(&feed, text, strlen(text)), READER_BODY);
    ck_assert(feed.reader.head.until_close);
    ck_assert_int_eq(http_reader_eof(&feed.reader), READER_COMPLETE);
    feed_close(&feed);

    static const char with_length[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
    feed_open(&feed, true);
    (void)feed_bytes(&feed, with_length, strlen(with_length));
    ck_assert_int_ne(http_reader_eof(&feed.reader), READER_COMPLETE);
    feed_close(&feed);
}
END_TEST

/* Guards against bytes that are no response and are taken for the begin of a
 * long head. */
START_TEST(a_response_begins_with_its_version)
{
    static const char *const begins[] = {"H", "HTTP/1.", "\r\nHTT", "\n",
                                         "HTTP/1.1 200 OK\r\nX: y\r\n"};
    static const char *const others[] = {"x", "HTTX", "\r\nno", "H\r\nT",
                                         "no line end"};
    feed_t feed;
    for (size_t i = 0; i < sizeof(begins) / sizeof(begins[0]); i++) {
        feed_open(&feed, true);
        ck_assert_int_eq(feed_bytes(&feed, begins[i], strlen(begins[i])),
                         READER_HEAD);
        feed_close(&feed);
    }
    for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++) {
        feed_open(&feed, true);
        ck_assert_int_eq(feed_bytes(&feed, others[i], strlen(others[i])),
                         READER_INVALID);
        feed_close(&feed);
    }
}
END_TEST

static reader_state_t
read_response(const char *text)
{
    feed_t feed;
    feed_open(&feed, true);
    reader_state_t state = READER_HEAD;
    do {
        state = feed_bytes(&feed, text, strlen(text));
        text = "";
    } while (state == READER_BODY && evbuffer_get_length(feed.in) > 0);
    feed_close(&feed);
    return state;
}

/* Guards against a head that was begun and not ended, read as one with the
 * head of the next response. */
START_TEST(a_head_with_two_status_lines_is_no_response)
{
    static const char end[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    static const char *const begins[] = {"HTTP/1.1 503 Full\r\nX-Rest: ",
                                         "HTTP/1.1 503 Full\r\nX-Rest:",
                                         "HTTP/1.1 503 Full\r\nX-Rest: abc",
                                         "HTTP/1.1 503 Fu",
                                         "HTTP/1.1 503 ",
                                         "HTTP/1.1 50",
                                         "HTTP/1.1 503 Full\r\nX-Re",
                                         "HTTP/1.1 503 Full\r\n",
                                         "HTTP/1.1 503 Full\r",
                                         "HTTP/1.1 503 Full\r\nX-Rest: 1\r"};
    static const char *const others[] = {
        "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nUpgrade: HTTP/2.0\r\nContent-Length: 0\r\n\r\n"};
    for (size_t i = 0; i < sizeof(begins) / sizeof(begins[0]); i++) {
        char text[256];
        (void)snprintf(text, sizeof(text), "%s%s", begins[i], end);
        ck_assert_msg(read_response(text) == READER_INVALID, "begin %zu", i);
    }
    ck_assert_int_eq(read_response(end), READER_COMPLETE);
    for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++) {
        ck_assert_int_eq(read_response(others[i]), READER_COMPLETE);
    }
}
END_TEST

/* Guards against statuses that are taken for others, or for those of interim
 * responses. */
START_TEST(a_response_has_a_status_of_three_digits)
{
    static const char *const valid[] = {"HTTP/1.1 100 Continue",
                                        "HTTP/1.1 200 OK", "HTTP/1.1 200",
                                        "HTTP/1.0 204 ", "HTTP/1.1 599 x"};
    static const char *const odd[] = {
        "HTTP/1.1 000 x",     "HTTP/1.1 007 x",  "HTTP/1.1 099 x",
        "HTTP/1.1 600 x",     "HTTP/1.1 999 x",  "HTTP/1.1 1000 x",
        "HTTP/1.1 0200 x",    "HTTP/1.1 20 x",   "HTTP/1.1 2 x",
        "HTTP/1.1 -20 x",     "HTTP/1.1 2x0 x",  "HTTP/1.1 x",
        "HTTP/1.1 ",          "HTTP/1.1  200 x", "HTTP/1.10 200 x",
        "\r\nHTTP/1.1 200 x", "HTTP/1.1 200x",   "HTTP/2.0 200 OK"};
    char text[256];
    for (size_t i = 0; i < sizeof(valid) / sizeof(valid[0]); i++) {
        (void)snprintf(text, sizeof(text), "%s\r\nContent-Length: 0\r\n\r\n",
                       valid[i]);
        ck_assert_msg(read_response(text) == READER_COMPLETE, "%s", valid[i]);
    }
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        (void)snprintf(text, sizeof(text), "%s\r\nContent-Length: 0\r\n\r\n",
                       odd[i]);
        ck_assert_msg(read_response(text) == READER_INVALID, "%s", odd[i]);
    }
}
END_TEST

/* Bytes of a message, which may hold NUL. */
typedef struct {
    const char *data;
    size_t len;
} text_t;

#define TEXT(literal)                \
    {                                \
        literal, sizeof(literal) - 1 \
    }
#define TEXTS(texts) (texts), sizeof(texts) / sizeof((texts)[0])
#define RESPONSE_LINE "HTTP/1.1 200 OK\r\n"
#define REQUEST_LINE "POST / HTTP/1.1\r\nHost: a\r\n"
#define CHUNKED_LINE "Transfer-Encoding: chunked\r\n\r\n"

/* Reads a message that begins with a line and goes on with a text, in pieces
 * of a length; what it has of the body goes to body. */
static reader_state_t
read_pieces(const char *line, text_t text, size_t step, buf_t *body)
{
    feed_t feed;
    CLEAN_BUF buf_t all = {0};
    reader_state_t state = READER_HEAD;
    feed_open(&feed, strncmp(line, "HTTP/", 5) == 0);
    buf_str(&all, line);
    buf_add(&all, text.data, text.len);
    for (size_t at = 0; at < all.len && state < READER_COMPLETE; at += step) {
        size_t left = all.len - at;
        state = feed_bytes(&feed, all.data + at, left < step ? left : step);
    }
    if (state == READER_INVALID) {
        ck_assert_int_eq(feed.reader.status, 400);
    }
    buf_add(body, feed.body.data, feed.body.len);
    feed_close(&feed);
    return state;
}

/* Checks that requests and responses that go on with a text are rejected as
 * they are read, at once and byte by byte. */
static void
expect_rejected(const text_t *texts, size_t count)
{
    static const char *const lines[] = {RESPONSE_LINE, REQUEST_LINE};
    static const size_t steps[] = {SIZE_MAX / 2, 1};
    for (size_t i = 0; i < count * 4; i++) {
        CLEAN_BUF buf_t body = {0};
        const char *line = lines[i % 2];
        ck_assert_msg(read_pieces(line, texts[i / 4], steps[i / 2 % 2],
                                  &body) == READER_INVALID,
                      "%.4s %zu was accepted: %s", line, i / 4,
                      texts[i / 4].data);
    }
}

/* Guards against coded messages whose framing is taken for their body. */
START_TEST(a_transfer_encoding_is_chunked_and_nothing_else)
{
    static const text_t texts[] = {
        TEXT("Transfer-Encoding: chunke\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: chunkedd\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding:\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: chunked, gzip\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: chunked, chunked\r\n\r\n3\r\nabc\r\n0\r\n"
             "\r\n"),
        TEXT("Transfer-Encoding: chunked,\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: chun ked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: chunked;a=b\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: \"chunked\"\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: \001chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: \013chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: identity\r\n\r\nabc"),
        TEXT("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"
             "\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n"
             "\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
             "\r\n3\r\nabc\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: chunke\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"),
    };
    expect_rejected(TEXTS(texts));
}
END_TEST

/* Guards against heads that end before their empty line, where the rest of the
 * head counts as body. */
START_TEST(lines_of_a_head_end_with_crlf)
{
    static const text_t texts[] = {
        TEXT("X-A: b\n\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A: b\nContent-Length: 3\r\n\r\nabc"),
        TEXT("Content-Length: 3\n\nX-B: c\r\n\r\nabc"),
        TEXT("Content-Length: 3\r\n\nX-B: c\r\n\r\nabc"),
        TEXT("Content-Length: 3\r\n\rxX-B: c\r\n\r\nabc"),
        TEXT("Content-Length: 3\r\n\r\rX-B: c\r\n\r\nabc"),
        TEXT("Content-Length: 3\r\nX-B: c\rx\r\n\r\nabc"),
        TEXT("Content-Length: 3\rX-B: c\r\n\r\nabc"),
        TEXT("Content-Length: 3\r\r\n\r\nabc"),
        TEXT("Content-Length: 3\n\r\n\r\nabc"),
        TEXT("Transfer-Encoding: chunked\n\nX-B: c\r\n\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: chunked\r\n\rxX-B: c\r\n\r\n0\r\n\r\n"),
    };
    expect_rejected(TEXTS(texts));
}
END_TEST

/* Guards against callers that are held until their time is over by heads that
 * can't end any more. */
START_TEST(a_bad_line_end_is_rejected_before_the_head_is_complete)
{
    static const char *const requests[] = {
        "GET / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.1\r\nHost: a\n",
        "GET / HTTP/1.1\r\nHost: a\rb", "GET / HTTP/1.1\r\nX: a\033"};
    static const char *const responses[] = {
        "HTTP/1.1 200 OK\nX: y\n\nabc", "HTTP/1.1 200 OK\r\nX: y\n",
        "HTTP/1.1 200 OK\r\nX: y\r\n z", "HTTP/1.1 200 OK\r\nX: y\r\r"};
    for (size_t i = 0; i < 4; i++) {
        int status = 0;
        ck_assert_int_eq(read_request(requests[i], &status), READER_INVALID);
        ck_assert_int_eq(status, 400);
        ck_assert_int_eq(read_response(responses[i]), READER_INVALID);
    }
}
END_TEST

/* Guards against control bytes that are passed on, and against values that
 * begin on the next line. */
START_TEST(values_hold_no_control_bytes_and_no_line_ends)
{
    static const text_t texts[] = {
        TEXT("X-A: \000b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A: \001b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A:\033b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A: \177b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A: b\000\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A: b\033c\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A:\r\n b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A:\r\n\tb\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A: \r\n b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A: b\r\n c\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("Content-Length:\r\n 3\r\n\r\nabc"),
        TEXT(" X-A: b\r\nContent-Length: 3\r\n\r\nabc"),
    };
    expect_rejected(TEXTS(texts));
}
END_TEST

/* Guards against bodies that lose or gain bytes where a chunk is not followed
 * by its line end. */
START_TEST(chunks_end_with_crlf)
{
    static const text_t texts[] = {
        TEXT(CHUNKED_LINE "3\r\nabcde\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabcde3\r\nfgh\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\n\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\rx0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabcx\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\r0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\rxabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3;a\rxabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\rx\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\n\rx"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\n\n"),
    };
    expect_rejected(TEXTS(texts));
}
END_TEST

/* Guards against sizes of chunks that two parsers may read differently, and
 * against control bytes behind them. */
START_TEST(sizes_of_chunks_are_hexadecimal_numbers)
{
    static const text_t texts[] = {
        TEXT(CHUNKED_LINE "g\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "+3\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "-3\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "0x3\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE " 3\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "fffffffffffffffff\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3 3\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "0 3\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\0013\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3;a\000b\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3;\033\r\nabc\r\n0\r\n\r\n"),
        TEXT(CHUNKED_LINE "3;a\nb\r\nabc\r\n0\r\n\r\n"),
    };
    expect_rejected(TEXTS(texts));
}
END_TEST

/* Guards against trailers that two parsers may end at different lines. */
START_TEST(lines_of_a_trailer_are_fields)
{
    static const text_t texts[] = {
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\nX-A: b\n\nX-B: c\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\nX-A: b\nX-B: c\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\nX-A: b\rxX-B: c\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\nX-A: b\r\n c\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\nX-A: \001b\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\nX A: b\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\nX-A : b\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\n X-A: b\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\nword\r\n\r\n"),
        TEXT(CHUNKED_LINE "3\r\nabc\r\n0\r\n: b\r\n\r\n"),
    };
    expect_rejected(TEXTS(texts));
}
END_TEST

/* Guards against lengths that are taken for others, and against lines that are
 * no fields. */
START_TEST(odd_lengths_and_lines_are_rejected)
{
    static const text_t texts[] = {
        TEXT("Content-Length:\r\n\r\nabc"),
        TEXT("Content-Length:  \r\n\r\nabc"),
        TEXT("Content-Length: abc\r\n\r\nabc"),
        TEXT("Content-Length: 3x\r\n\r\nabc"),
        TEXT("Content-Length: 3 x\r\n\r\nabc"),
        TEXT("Content-Length: 3 3\r\n\r\nabc"),
        TEXT("Content-Length: +3\r\n\r\nabc"),
        TEXT("Content-Length: -3\r\n\r\nabc"),
        TEXT("Content-Length: 0x3\r\n\r\nabc"),
        TEXT("Content-Length: 3.0\r\n\r\nabc"),
        TEXT("Content-Length: 3, 3\r\n\r\nabc"),
        TEXT("Content-Length: \"3\"\r\n\r\nabc"),
        TEXT("Content-Length: 3\000\r\n\r\nabc"),
        TEXT("Content-Length: \0013\r\n\r\nabc"),
        TEXT("Content-Length: 18446744073709551619\r\n\r\nabc"),
        TEXT("Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"),
        TEXT("Content-Length : 3\r\n\r\nabc"),
        TEXT("Content-Length\t: 3\r\n\r\nabc"),
        TEXT("Content-Length\001: 3\r\n\r\nabc"),
        TEXT("Content Length: 3\r\n\r\nabc"),
        TEXT("Content-Length 3\r\n\r\nabc"),
        TEXT("word\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("some words\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("{\"a\":1}\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT(": b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("\001\002\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X\000A: b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X\177A: b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X\033: b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X(A): b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X@A: b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X\344A: b\r\nContent-Length: 3\r\n\r\nabc"),
        TEXT("X-A\rx: b\r\nContent-Length: 3\r\n\r\nabc"),
    };
    expect_rejected(TEXTS(texts));
}
END_TEST

/* Guards against checks that reject sound messages. */
START_TEST(sound_heads_and_chunks_are_read)
{
    static const text_t texts[] = {
        TEXT("Content-Length: 8\r\n\r\nabcd\r\nef"),
        TEXT("content-length:8 \r\nX-A:\r\nX-B: b\tc\344\r\n\r\nabcd\r\nef"),
        TEXT(CHUNKED_LINE "8\r\nabcd\r\nef\r\n0\r\n\r\n"),
        TEXT("Transfer-Encoding: Chunked \r\n\r\n4 \r\nabcd\r\n"
             "4;a=b\t;c=\"\344\"\r\n\r\nef\r\n000\r\n\r\n"),
        TEXT("transfer-encoding:chunked\r\n\r\n00000008 ;a\r\nabcd\r\nef\r\n"
             "0;b\r\nX-A: b\r\nX-B:\r\nx-c:\t\344 d\r\n\r\n"),
    };
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]) * 6; i++) {
        CLEAN_BUF buf_t body = {0};
        static const size_t steps[] = {SIZE_MAX / 2, 1, 7};
        ck_assert_msg(read_pieces(i % 2 == 0 ? RESPONSE_LINE : REQUEST_LINE,
                                  texts[i / 6], steps[i / 2 % 3],
                                  &body) == READER_COMPLETE,
                      "text %zu was rejected", i / 6);
        ck_assert_str_eq(buf_text(&body), "abcd\r\nef");
    }
}
END_TEST

/* Guards against a trailer whose lines are taken for some of the head, which
 * no longer holds them. */
START_TEST(a_trailer_is_not_part_of_the_head)
{
    static const char text[] =
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\nX-Trailer: 1\r\nHost: b\r\n\r\n";
    feed_t feed;
    feed_open(&feed, false);
    ck_assert_int_eq(feed_bytes(&feed, text, strlen(text)), READER_COMPLETE);
    const http_head_t *head = &feed.reader.head;
    ck_assert_uint_eq(head->count, 2);
    ck_assert_ptr_null(http_head_find(head, "X-Trailer"));
    ck_assert(http_head_is(head, head->headers[0].value, "a"));
    feed_close(&feed);
}
END_TEST

/* For any input the reader terminates and stays within its bounds.  The input
 * is valid messages with seeded damage, split into pieces of random length. */
START_TEST(damaged_messages_stay_within_bounds)
{
    static const char text[] =
        "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "X-Long: aaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
    for (uint64_t seed = 0; seed < 4000; seed++) {
        rng_t rng = {seed};
        char copy[sizeof(text)];
        memcpy(copy, text, sizeof(text));
        uint64_t damages = rng_below(&rng, 6);
        for (uint64_t i = 0; i < damages; i++) {
            copy[rng_below(&rng, sizeof(text) - 1)] =
                (char)rng_below(&rng, 256);
        }
        feed_t feed;
        feed_open(&feed, seed % 2 == 0);
        size_t at = 0;
        while (at < sizeof(text) - 1) {
            size_t step = 1 + (size_t)rng_below(&rng, 20);
            step = step < sizeof(text) - 1 - at ? step : sizeof(text) - 1 - at;
            if (feed_bytes(&feed, copy + at, step) == READER_INVALID) {
                break;
            }
            at += step;
        }
        (void)http_reader_eof(&feed.reader);
        ck_assert_uint_le(feed.body.len, sizeof(text));
        feed_close(&feed);
    }
}
END_TEST

/* Guards against line ends and chunks that are read in another way when they
 * arrive in pieces. */
START_TEST(pieces_do_not_change_what_is_read)
{
    static const char text[] =
        "X-A: b\r\nTransfer-Encoding: chunked\r\nX-B: c\r\n\r\n"
        "5\r\nabcde\r\n2;x=y\r\nfg\r\n0\r\nX-C: d\r\n\r\n";
    static const char bytes[] = "\r\n\t ;:01f\001X";
    unsigned accepted = 0;
    for (uint64_t seed = 0; seed < 20000; seed++) {
        rng_t rng = {seed};
        CLEAN_BUF buf_t whole = {0};
        CLEAN_BUF buf_t pieces = {0};
        char copy[sizeof(text)];
        memcpy(copy, text, sizeof(text));
        for (uint64_t i = rng_below(&rng, 4); i > 0; i--) {
            copy[rng_below(&rng, sizeof(text) - 1)] =
                bytes[rng_below(&rng, sizeof(bytes) - 1)];
        }
        const text_t damaged = {copy, sizeof(text) - 1};
        const char *line = seed % 2 == 0 ? RESPONSE_LINE : REQUEST_LINE;
        reader_state_t state =
            read_pieces(line, damaged, SIZE_MAX / 2, &whole);
        ck_assert_int_eq(read_pieces(line, damaged,
                                     1 + (size_t)rng_below(&rng, 9), &pieces),
                         state);
        if (state != READER_INVALID) {
            ck_assert_str_eq(buf_text(&pieces), buf_text(&whole));
            accepted++;
        }
    }
    ck_assert_uint_gt(accepted, 4000);
}
END_TEST

TEST_MAIN("http-reader", ambiguous_requests_are_rejected,
          a_head_with_two_status_lines_is_no_response,
          a_response_has_a_status_of_three_digits,
          a_head_over_the_limit_gets_431, the_next_request_stays_in_the_buffer,
          a_request_may_arrive_byte_by_byte,
          a_response_without_a_length_ends_with_its_connection,
          a_response_begins_with_its_version,
          a_trailer_is_not_part_of_the_head,
          a_transfer_encoding_is_chunked_and_nothing_else,
          lines_of_a_head_end_with_crlf,
          a_bad_line_end_is_rejected_before_the_head_is_complete,
          values_hold_no_control_bytes_and_no_line_ends, chunks_end_with_crlf,
          sizes_of_chunks_are_hexadecimal_numbers,
          lines_of_a_trailer_are_fields, odd_lengths_and_lines_are_rejected,
          sound_heads_and_chunks_are_read, pieces_do_not_change_what_is_read,
          damaged_messages_stay_within_bounds)
