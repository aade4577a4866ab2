#include "../kernel/http-listener.h"
#include "../kernel/http.h"
#include "test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/* The HTTP server and client against each other, and against raw sockets. */

/* BASE moves the port, so that runs do not meet. */
#define PORT 6391
#define BIG (16u << 20)

static char addr[CS_ADDR_MAX];
static http_req_t *held;
static unsigned handled;

static void
handle(http_req_t *req, void *arg)
{
    const char *path = http_req_path(req);
    (void)arg;
    __atomic_add_fetch(&handled, 1, __ATOMIC_RELAXED);
    if (strcmp(path, "/big") == 0) {
        char *text = mem_zalloc(BIG);
        memset(text, 'x', BIG);
        http_req_reply(req, 200, "text/plain", text, BIG);
        free(text);
    }
    else if (strcmp(path, "/later") == 0 || strcmp(path, "/stream") == 0) {
        http_req_hold(req);
        __atomic_store_n(&held, req, __ATOMIC_RELEASE);
    }
    else if (strcmp(path, "/cut") == 0) {
        http_req_abort(req);
    }
    else if (strcmp(path, "/broken") == 0) {
        http_req_stream(req, 200, "text/plain");
        http_req_write(req, "half", 4);
        http_req_end(req, false);
    }
    else {
        CLEAN_BUF buf_t text = {0};
        const char *word = http_req_query(req, "word");
        const char *agent = http_req_header(req, "x-agent");
        size_t len;
        const char *body = http_req_body(req, &len);
        buf_fmt(&text, "%s|%s|%s|%s|%.*s|", http_req_method(req), path,
                word != NULL ? word : "-", agent != NULL ? agent : "-",
                (int)len, body);
        http_req_target(req, 3, &text);
        http_req_reply(req, 200, "text/plain", buf_text(&text), text.len);
    }
}

static int
port(void)
{
    const char *base = getenv("BASE");
    return PORT + (base != NULL ? (int)strtol(base, NULL, 10) : 0);
}

/* A path's URL at the server, until the next is made. */
static const char *
url(const char *path)
{
    static char text[CS_ADDR_MAX * 2];
    (void)snprintf(text, sizeof(text), "http://%s%s", addr, path);
    return text;
}

static http_server_t *
start_idle(unsigned threads, unsigned idle_s)
{
    err_t err = {0};
    (void)snprintf(addr, sizeof(addr), "127.0.0.1:%d", port());
    http_server_opts_t opts = {.addr = addr,
                               .threads = threads,
                               .body_max = 65536,
                               .connections_max = 64,
                               .idle_seconds = idle_s,
                               .handler = handle};
    (void)signal(SIGPIPE, SIG_IGN);
    held = NULL;
    handled = 0;
    http_server_t *server = http_server_start(&opts, &err);
    ck_assert_msg(server != NULL, "%s", err.text);
    return server;
}

static http_server_t *
start(unsigned threads)
{
    return start_idle(threads, 30);
}

static int
dial(void)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port())};
    struct timeval patience = {5, 0};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    return fd;
}

static void
say(int fd, const char *text)
{
    ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
}

/* Read until the other end closes, or until so many bytes are there. */
static void
hear(int fd, buf_t *out, size_t enough)
{
    char data[16384];
    ssize_t len;
    while (out->len < enough && (len = read(fd, data, sizeof(data))) > 0) {
        buf_add(out, data, (size_t)len);
    }
}

static http_req_t *
wait_held(void)
{
    http_req_t *req;
    for (int i = 0; i < 2000; i++) {
        req = __atomic_load_n(&held, __ATOMIC_ACQUIRE);
        if (req != NULL) {
            return req;
        }
        time_sleep_ms(1);
    }
    ck_abort_msg("no request came");
    return NULL;
}

/* A caller on a slow line gets a part of its answer: the connection counts as
 * idle from the moment that the answer was written into memory, and is closed
 * while megabytes of it are still to leave. */
START_TEST(slow_reader_gets_its_whole_answer)
{
    http_server_t *server = start_idle(1, 1);
    CLEAN_BUF buf_t got = {0};
    int fd = dial();
    int small = 65536;
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    say(fd, "GET /big HTTP/1.1\r\nHost: a\r\n\r\n");
    hear(fd, &got, 1000);
    time_sleep_ms(1500);
    hear(fd, &got, BIG + 1);
    ck_assert_uint_ge(got.len, BIG);
    (void)close(fd);
    http_server_stop(server);
}
END_TEST

/* What was asked arrives as it was meant: escapes, query, header in any case,
 * body, and the target as it was on the wire. */
START_TEST(request_is_shown_as_it_was)
{
    http_server_t *server = start(2);
    CLEAN_BUF buf_t reply = {0};
    int status;
    http_call_t call = {.method = "POST",
                        .url = url("/ab%20c/d?word=x%2By+z&q=1"),
                        .headers = {"X-Agent: me"},
                        .body = "hello",
                        .body_len = 5,
                        .connect_ms = 1000,
                        .total_ms = 2000};
    ck_assert_int_eq(http_fetch(&call, &status, &reply), HTTP_END_COMPLETE);
    ck_assert_int_eq(status, 200);
    ck_assert_str_eq(buf_text(&reply),
                     "POST|/ab c/d|x+y z|me|hello|%20c/d?word=x%2By+z&q=1");
    http_server_stop(server);
}
END_TEST

/* Several requests sent at once are answered in their order, the one that is
 * answered late included.  Again and again, since a thread that answers right
 * while the connection writes the answer before met the loop in the middle:
 * the request was answered twice and freed, and the connection hung. */
START_TEST(pipelined_requests_keep_their_order)
{
    http_server_t *server = start(1);
    for (int i = 0; i < 1000; i++) {
        CLEAN_BUF buf_t got = {0};
        int fd = dial();
        __atomic_store_n(&held, NULL, __ATOMIC_RELEASE);
        say(fd,
            "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
            "GET /later HTTP/1.1\r\nHost: a\r\n\r\n"
            "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        http_req_t *req = wait_held();
        ck_assert_uint_eq(__atomic_load_n(&handled, __ATOMIC_RELAXED) % 3, 2);
        http_req_reply(req, 200, "text/plain", "second", 6);
        http_req_release(req);
        hear(fd, &got, SIZE_MAX);
        const char *first = strstr(buf_text(&got), "/1|");
        const char *second = strstr(buf_text(&got), "second");
        const char *third = strstr(buf_text(&got), "/3|");
        ck_assert(first != NULL && second != NULL && third != NULL);
        ck_assert(first < second && second < third);
        ck_assert_ptr_null(strstr(second + 1, "second"));
        (void)close(fd);
    }
    http_server_stop(server);
}
END_TEST

/* A client must be able to tell an answer that was cut from a whole one, and
 * a request that never left from one that may have been acted on. */
START_TEST(ends_are_told_apart)
{
    http_server_t *server = start(2);
    CLEAN_BUF buf_t reply = {0};
    int status;
    http_call_t call = {.method = "GET",
                        .url = url("/cut"),
                        .connect_ms = 500,
                        .total_ms = 300};
    ck_assert_int_eq(http_fetch(&call, &status, &reply), HTTP_END_BROKEN);
    call.url = url("/broken");
    ck_assert_int_eq(http_fetch(&call, &status, &reply), HTTP_END_BROKEN);
    ck_assert_int_eq(status, 200);
    ck_assert_str_eq(buf_text(&reply), "half");
    call.url = url("/later");
    ck_assert_int_eq(http_fetch(&call, &status, &reply), HTTP_END_TIMEOUT);
    http_req_release(wait_held());
    call.url = "http://127.0.0.1:1/nobody";
    ck_assert_int_eq(http_fetch(&call, &status, &reply), HTTP_END_UNSENT);
    http_server_stop(server);
}
END_TEST

/* A streamed answer that its caller does not read waits where its backlog is
 * seen, and the caller's end is noticed. */
START_TEST(unread_stream_shows_as_backlog)
{
    http_server_t *server = start(1);
    static char piece[65536];
    int fd = dial();
    int small = 65536;
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    say(fd, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
    http_req_t *req = wait_held();
    http_req_stream(req, 200, "text/plain");
    for (int i = 0; i < 200; i++) {
        http_req_write(req, piece, sizeof(piece));
    }
    time_sleep_ms(100);
    ck_assert_uint_gt(http_req_backlog(req), sizeof(piece));
    ck_assert(!http_req_is_disconnected(req));
    (void)close(fd);
    for (int i = 0; i < 2000 && !http_req_is_disconnected(req); i++) {
        time_sleep_ms(1);
    }
    ck_assert(http_req_is_disconnected(req));
    http_req_release(req);
    http_server_stop(server);
}
END_TEST

typedef struct {
    unsigned ends;
    unsigned whole;
    unsigned cancelled;
    buf_t body;
} seen_t;

static void
on_data(void *arg, int status, const char *data, size_t len)
{
    seen_t *seen = arg;
    (void)status;
    buf_add(&seen->body, data, len);
}

static void
on_end(void *arg, http_end_t end, int status)
{
    seen_t *seen = arg;
    (void)status;
    seen->whole += end == HTTP_END_COMPLETE ? 1 : 0;
    seen->cancelled += end == HTTP_END_CANCELLED ? 1 : 0;
    __atomic_add_fetch(&seen->ends, 1, __ATOMIC_RELEASE);
}

static void
wait_ends(const seen_t *seen, unsigned ends)
{
    for (int i = 0; i < 3000; i++) {
        if (__atomic_load_n(&seen->ends, __ATOMIC_ACQUIRE) == ends) {
            return;
        }
        time_sleep_ms(1);
    }
    ck_abort_msg("an exchange did not end");
}

/* Each exchange ends exactly once: cancelled by its number, by the client's
 * own end, or whole. */
START_TEST(exchanges_end_once)
{
    http_server_t *server = start(2);
    http_client_t *client = http_client_new(2);
    seen_t seen = {0};
    http_call_t call = {.method = "GET",
                        .url = url("/later"),
                        .connect_ms = 1000,
                        .on_data = on_data,
                        .on_end = on_end,
                        .arg = &seen};
    uint64_t id = http_client_start(client, &call);
    http_req_release(wait_held());
    http_client_cancel(client, id);
    http_client_cancel(client, id);
    wait_ends(&seen, 1);
    ck_assert_uint_eq(seen.cancelled, 1);
    call.url = url("/stream");
    held = NULL;
    (void)http_client_start(client, &call);
    http_req_t *req = wait_held();
    http_req_stream(req, 200, "text/plain");
    http_req_write(req, "a", 1);
    http_req_write(req, "b", 1);
    http_req_end(req, true);
    http_req_release(req);
    wait_ends(&seen, 2);
    ck_assert_uint_eq(seen.whole, 1);
    ck_assert_str_eq(buf_text(&seen.body), "ab");
    held = NULL;
    call.url = url("/later");
    (void)http_client_start(client, &call);
    http_req_release(wait_held());
    http_client_free(client);
    ck_assert_uint_eq(seen.ends, 3);
    ck_assert_uint_eq(seen.cancelled, 2);
    buf_free(&seen.body);
    http_server_stop(server);
}
END_TEST

/* A stop takes nobody in and cuts nobody: a connection that is open gets its
 * answer, which says that it is the last. */
START_TEST(quiesced_server_answers_what_is_open)
{
    http_server_t *server = start(2);
    CLEAN_BUF buf_t got = {0};
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port())};
    int fd = dial();
    say(fd, "GET /later HTTP/1.1\r\nHost: a\r\n\r\n");
    http_req_t *req = wait_held();
    http_server_drain(server);
    time_sleep_ms(100);
    int other = socket(AF_INET, SOCK_STREAM, 0);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_ne(connect(other, (struct sockaddr *)&to, sizeof(to)), 0);
    http_req_reply(req, 200, "text/plain", "late", 4);
    http_req_release(req);
    hear(fd, &got, SIZE_MAX);
    ck_assert(strstr(buf_text(&got), "Connection: close") != NULL);
    ck_assert(strstr(buf_text(&got), "late") != NULL);
    (void)close(fd);
    (void)close(other);
    for (int i = 0; i < 2000 && http_server_connections(server) > 0; i++) {
        time_sleep_ms(1);
    }
    ck_assert_uint_eq(http_server_connections(server), 0);
    http_server_stop(server);
}
END_TEST

/* A body over the limit, in length or in chunks, is told before it is in. */
START_TEST(long_bodies_are_refused)
{
    http_server_t *server = start(1);
    CLEAN_BUF buf_t got = {0};
    CLEAN_BUF buf_t again = {0};
    static char chunk[66000];
    int fd = dial();
    say(fd, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 65537\r\n\r\n");
    hear(fd, &got, SIZE_MAX);
    ck_assert(strstr(buf_text(&got), " 413 ") != NULL);
    ck_assert(strstr(buf_text(&got), "body_too_large") != NULL);
    (void)close(fd);
    fd = dial();
    memset(chunk, 'a', sizeof(chunk) - 1);
    say(fd,
        "POST /a HTTP/1.1\r\nHost: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n101cf\r\n");
    say(fd, chunk);
    hear(fd, &again, SIZE_MAX);
    ck_assert(strstr(buf_text(&again), " 413 ") != NULL);
    ck_assert_uint_eq(__atomic_load_n(&handled, __ATOMIC_RELAXED), 0);
    (void)close(fd);
    http_server_stop(server);
}
END_TEST

TEST_MAIN("http-edges", slow_reader_gets_its_whole_answer,
          request_is_shown_as_it_was, pipelined_requests_keep_their_order,
          ends_are_told_apart, unread_stream_shows_as_backlog,
          exchanges_end_once, quiesced_server_answers_what_is_open,
          long_bodies_are_refused)
