#include "../kernel/exchange.h"
#include "test.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Answers that are cut off after each of their bytes. */

typedef enum { CUT_CLOSE, CUT_RESET } cut_t;

typedef struct {
    const char *name;
    const char *text;
    /* It has no length and ends with its connection: a close behind its head
     * completes it, a reset does not. */
    bool until_close;
} answer_t;

static const answer_t answers[] = {
    {"length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello",
     false},
    {"length last",
     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Load: 1,2,3\r\nContent-Length: 12\r\n"
     "\r\nhello, world",
     false},
    {"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
    {"chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "10\r\n0123456789abcdef\r\n3;x=y\r\nabc\r\n0\r\n\r\n",
     false},
    {"chunks with a trailer",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "a\r\n0123456789\r\n0\r\nX-Sum: 12\r\n\r\n",
     false},
    {"interim heads",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n"
     "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
     false},
    {"interim head and chunks",
     "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n"
     "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     false},
    {"no content", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n", false},
    {"not modified", "HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\n\r\n", false},
    {"until close", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\ndata: 1\n\n", true},
    {"interim head, until close",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\ndata",
     true},
};

typedef struct {
    struct event_base *base;
    struct evconnlistener *listener;
    exchanges_t *exchanges;
    char addr[CS_ADDR_MAX];
    const answer_t *answer;
    size_t cut_at;
    cut_t how;
    exchange_end_t end;
    bool ended;
} fixture_t;

static void
cut_connection(struct bufferevent *bev, cut_t how)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    if (how == CUT_RESET) {
        (void)setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
                         sizeof(reset));
    }
    bufferevent_free(bev);
}

static void
on_written(struct bufferevent *bev, void *arg)
{
    const fixture_t *fixture = arg;
    cut_connection(bev, fixture->how);
}

static void
on_request(struct bufferevent *bev, void *arg)
{
    const fixture_t *fixture = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    (void)evbuffer_drain(in, evbuffer_get_length(in));
    if (fixture->cut_at == 0) {
        cut_connection(bev, fixture->how);
        return;
    }
    bufferevent_setcb(bev, NULL, on_written, NULL, arg);
    (void)bufferevent_write(bev, fixture->answer->text, fixture->cut_at);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *arg)
{
    fixture_t *fixture = arg;
    (void)listener;
    (void)from;
    (void)len;
    struct bufferevent *bev =
        bufferevent_socket_new(fixture->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, on_request, NULL, NULL, fixture);
    (void)bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void
on_end(void *arg, exchange_end_t end)
{
    fixture_t *fixture = arg;
    fixture->end = end;
    fixture->ended = true;
    (void)event_base_loopbreak(fixture->base);
}

static void
fixture_open(fixture_t *fixture)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = event_base_new();
    fixture->exchanges = exchanges_new(fixture->base);
    fixture->listener =
        evconnlistener_new_bind(fixture->base, on_accept, fixture,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
                                (struct sockaddr *)&at, sizeof(at));
    ck_assert_ptr_nonnull(fixture->listener);
    ck_assert_int_eq(getsockname(evconnlistener_get_fd(fixture->listener),
                                 (struct sockaddr *)&at, &len),
                     0);
    (void)snprintf(fixture->addr, sizeof(fixture->addr), "127.0.0.1:%u",
                   ntohs(at.sin_port));
}

static void
fixture_close(fixture_t *fixture)
{
    exchanges_free(fixture->exchanges);
    evconnlistener_free(fixture->listener);
    event_base_free(fixture->base);
}

/* Sends a request whose answer is cut off; returns how its exchange ended. */
static exchange_end_t
run(fixture_t *fixture, const answer_t *answer, size_t cut_at, cut_t how)
{
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const exchange_request_t request = {.addr = fixture->addr,
                                        .head = head,
                                        .head_len = sizeof(head) - 1,
                                        .new_connection = true,
                                        .connect_ms = 1000,
                                        .total_ms = 5000};
    const exchange_hooks_t hooks = {.on_end = on_end, .arg = fixture};
    fixture->answer = answer;
    fixture->cut_at = cut_at;
    fixture->how = how;
    fixture->ended = false;
    (void)exchange_start(fixture->exchanges, &request, &hooks);
    while (!fixture->ended) {
        (void)event_base_loop(fixture->base, EVLOOP_ONCE);
    }
    return fixture->end;
}

/* Returns the length of the heads, the interim ones too. */
static size_t
head_len(const answer_t *answer)
{
    const char *last = strstr(answer->text, "HTTP/1.1 200");
    return (size_t)(strstr(last, "\r\n\r\n") + 4 - answer->text);
}

/* Guards against a success with an empty or short body, framed as whole, after
 * a server has stopped in the middle of its answer. */
START_TEST(cut_answers_are_not_complete)
{
    fixture_t fixture;
    fixture_open(&fixture);
    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        const answer_t *answer = &answers[i];
        size_t len = strlen(answer->text);
        for (size_t cut_at = 0; cut_at < len; cut_at++) {
            exchange_end_t closed = run(&fixture, answer, cut_at, CUT_CLOSE);
            exchange_end_t reset = run(&fixture, answer, cut_at, CUT_RESET);
            bool whole = answer->until_close && cut_at >= head_len(answer);
            ck_assert_msg((closed == EXCHANGE_COMPLETE) == whole,
                          "%s, closed after %zu bytes: %d", answer->name,
                          cut_at, closed);
            ck_assert_msg(reset != EXCHANGE_COMPLETE,
                          "%s, reset after %zu bytes: %d", answer->name,
                          cut_at, reset);
        }
        ck_assert_int_eq(run(&fixture, answer, len, CUT_CLOSE),
                         EXCHANGE_COMPLETE);
    }
    fixture_close(&fixture);
}
END_TEST

TEST_MAIN("cut-answers", cut_answers_are_not_complete)
