#include "../kernel/http-listener.h"
#include "test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Tests requests of a connection that do not wait for the answer before. */

#define REQUESTS 4
#define REQUEST "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
#define TURN_MS 50

typedef struct {
    struct event_base *base;
    http_listener_t *listener;
    int client;
    caller_t *waiting; /* whose request has no answer yet */
    unsigned requests;
    unsigned nested; /* requests that began within an answer */
    bool answering;
    bool answers_at_once;
} fixture_t;

static http_limits_t
get_limits(void *arg)
{
    (void)arg;
    return (http_limits_t){4096, 65536, 1000, 1000};
}

static void
on_request(void *arg, caller_t *caller, const http_head_t *head, buf_t *body)
{
    fixture_t *fixture = arg;
    (void)head;
    (void)body;
    fixture->requests++;
    fixture->nested += fixture->answering ? 1 : 0;
    if (fixture->answers_at_once) {
        caller_answer(caller, 200, NULL, "ok", 2);
        return;
    }
    fixture->waiting = caller;
}

static void
on_disconnect(void *owner)
{
    (void)owner;
}

static void
turn(const fixture_t *fixture)
{
    int64_t end = time_mono_ms() + TURN_MS;
    while (time_mono_ms() < end) {
        (void)event_base_loop(fixture->base, EVLOOP_NONBLOCK);
        time_sleep_ms(1);
    }
}

static void
fixture_open(fixture_t *fixture)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = event_base_new();
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, len), 0);
    ck_assert_int_eq(listen(fd, 1), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&at, &len), 0);
    const http_listener_opts_t opts = {
        .fd = fd,
        .hooks = {.limits = get_limits,
                  .on_request = on_request,
                  .on_disconnect = on_disconnect,
                  .arg = fixture}};
    fixture->listener = http_listener_open(fixture->base, &opts);
    fixture->client = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fixture->client, (struct sockaddr *)&at, len), 0);
    for (int i = 0; i < REQUESTS; i++) {
        ck_assert_int_eq(write(fixture->client, REQUEST, strlen(REQUEST)),
                         (ssize_t)strlen(REQUEST));
    }
    turn(fixture);
}

static void
fixture_close(fixture_t *fixture)
{
    (void)close(fixture->client);
    http_listener_free(fixture->listener);
    event_base_free(fixture->base);
}

/* Answers the request that waits, as a loop over all requests would. */
static void
answer_waiting(fixture_t *fixture)
{
    caller_t *caller = fixture->waiting;
    fixture->answering = true;
    caller_answer(caller, 200, NULL, "ok", 2);
    fixture->answering = false;
}

/* Guards against a request that begins within the answer to the one before it,
 * and frees requests that the code which answers still uses. */
START_TEST(pipelined_request_begins_in_the_event_loop)
{
    fixture_t fixture;
    fixture_open(&fixture);
    for (unsigned i = 1; i <= REQUESTS; i++) {
        ck_assert_uint_eq(fixture.requests, i);
        answer_waiting(&fixture);
        ck_assert_uint_eq(fixture.nested, 0);
        turn(&fixture);
    }
    ck_assert_uint_eq(fixture.requests, REQUESTS);
    fixture_close(&fixture);
}
END_TEST

/* Guards against pipelined requests that are left unread behind answers that
 * are given at once. */
START_TEST(pipelined_requests_are_all_answered)
{
    fixture_t fixture;
    char text[1024];
    size_t have = 0;
    fixture_open(&fixture);
    fixture.answers_at_once = true;
    answer_waiting(&fixture);
    turn(&fixture);
    ck_assert_uint_eq(fixture.requests, REQUESTS);
    ssize_t len;
    while ((len = recv(fixture.client, text + have, sizeof(text) - 1 - have,
                       MSG_DONTWAIT)) > 0) {
        have += (size_t)len;
    }
    text[have] = '\0';
    unsigned answers = 0;
    for (const char *at = text; (at = strstr(at, "HTTP/1.1 200")) != NULL;
         at++) {
        answers++;
    }
    ck_assert_uint_eq(answers, REQUESTS);
    fixture_close(&fixture);
}
END_TEST

/* Guards against the use of a connection that ends while its next request
 * waits for the event loop. */
START_TEST(connection_may_end_before_its_next_request)
{
    fixture_t fixture;
    fixture_open(&fixture);
    caller_t *caller = fixture.waiting;
    answer_waiting(&fixture);
    caller_drop(caller);
    turn(&fixture);
    ck_assert_uint_eq(fixture.requests, 1);
    fixture_close(&fixture);
}
END_TEST

TEST_MAIN("caller-pipelined", pipelined_request_begins_in_the_event_loop,
          pipelined_requests_are_all_answered,
          connection_may_end_before_its_next_request)
