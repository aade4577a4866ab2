#include "../kernel/exchange.h"
#include "../kernel/fetch.h"
#include "test.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

/* The environment variable BASE is added to the port, so that concurrent
 * runs do not conflict. */
#define PORT 6491
#define CONNECTIONS_MAX 4

typedef struct {
    struct event_base *base;
    struct evconnlistener *listener;
    char addr[CS_ADDR_MAX];
    char source[INET_ADDRSTRLEN]; /* of the last accepted connection */
    struct bufferevent *connections[CONNECTIONS_MAX];
    unsigned accepted;
    unsigned closed; /* by the client */
    unsigned answered;
    const char *answer; /* an empty 200 if NULL */
    const char *more;   /* again and again after the answer; NULL for none */
    size_t more_max;    /* bytes of it; 0: without end */
    size_t sent;        /* bytes of it so far */
} server_t;

/* What callers see of an exchange. */
typedef struct {
    server_t *server;
    exchange_t *exchange;
    head_action_t action;
    size_t body_max; /* the body is of no use beyond it; 0: has no limit */
    size_t body_len;
    exchange_end_t end;
    bool complete; /* of a fetch */
    int64_t ms;
} seen_t;

static void
send_more(struct bufferevent *bev, void *arg)
{
    server_t *server = arg;
    for (int i = 0; server->more != NULL && i < 100 &&
                    (server->more_max == 0 || server->sent < server->more_max);
         i++) {
        (void)bufferevent_write(bev, server->more, strlen(server->more));
        server->sent += strlen(server->more);
    }
}

static void
on_closed(struct bufferevent *bev, short what, void *arg)
{
    server_t *server = arg;
    (void)bev;
    server->closed += (what & BEV_EVENT_EOF) != 0 ? 1 : 0;
}

/* Answers each request on a connection. */
static void
on_read(struct bufferevent *bev, void *arg)
{
    static const char empty[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    server_t *server = arg;
    const char *answer = server->answer != NULL ? server->answer : empty;
    struct evbuffer *in = bufferevent_get_input(bev);
    (void)evbuffer_drain(in, evbuffer_get_length(in));
    (void)bufferevent_write(bev, answer, strlen(answer));
    bufferevent_setcb(bev, on_read, send_more, on_closed, server);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *arg)
{
    server_t *server = arg;
    const struct sockaddr_in *peer = (const struct sockaddr_in *)from;
    (void)listener;
    (void)len;
    (void)inet_ntop(AF_INET, &peer->sin_addr, server->source,
                    sizeof(server->source));
    struct bufferevent *bev =
        bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, on_read, NULL, on_closed, server);
    (void)bufferevent_enable(bev, EV_READ | EV_WRITE);
    ck_assert_uint_lt(server->accepted, CONNECTIONS_MAX);
    server->connections[server->accepted++] = bev;
}

static void
on_end(void *arg, exchange_end_t end)
{
    server_t *server = arg;
    ck_assert_int_eq(end, EXCHANGE_COMPLETE);
    server->answered++;
    (void)event_base_loopbreak(server->base);
}

static void
server_start(server_t *server)
{
    const char *base = getenv("BASE");
    struct sockaddr_in at = {.sin_family = AF_INET};
    int port = PORT + (base != NULL ? (int)strtol(base, NULL, 10) : 0);
    *server = (server_t){.base = event_base_new()};
    at.sin_port = htons((uint16_t)port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)snprintf(server->addr, sizeof(server->addr), "127.0.0.1:%d", port);
    server->listener =
        evconnlistener_new_bind(server->base, on_accept, server,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
                                (struct sockaddr *)&at, sizeof(at));
    ck_assert_ptr_nonnull(server->listener);
}

static void
server_stop(server_t *server)
{
    for (unsigned i = 0; i < server->accepted; i++) {
        bufferevent_free(server->connections[i]);
    }
    evconnlistener_free(server->listener);
    event_base_free(server->base);
}

/* Sends one request; returns whether its connection was open before. */
static bool
call(server_t *server, exchanges_t *exchanges, bool new_connection)
{
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const exchange_request_t request = {.addr = server->addr,
                                        .head = head,
                                        .head_len = sizeof(head) - 1,
                                        .new_connection = new_connection,
                                        .connect_ms = 1000,
                                        .total_ms = 2000};
    const exchange_hooks_t hooks = {.on_end = on_end, .arg = server};
    const exchange_t *exchange = exchange_start(exchanges, &request, &hooks);
    bool reused = exchange_is_reused(exchange);
    (void)event_base_dispatch(server->base);
    return reused;
}

/* Guards against probes of a path that use a connection that was open before.
 */
START_TEST(reused_connections_are_told_from_new_ones)
{
    server_t server;
    server_start(&server);
    exchanges_t *exchanges = exchanges_new(server.base);
    ck_assert(!exchanges_has_idle(exchanges, server.addr, NULL));
    ck_assert(!call(&server, exchanges, false));
    ck_assert(exchanges_has_idle(exchanges, server.addr, NULL));
    ck_assert(call(&server, exchanges, false));
    ck_assert(!call(&server, exchanges, true));
    ck_assert_uint_eq(server.accepted, 2);
    ck_assert_uint_eq(server.answered, 3);
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

typedef struct {
    server_t *server;
    exchange_t *exchange;
    int64_t opened_us;
    int64_t sent_us;
} times_t;

static head_action_t
on_head_times(void *arg, const http_head_t *head)
{
    times_t *times = arg;
    (void)head;
    times->opened_us = exchange_opened_us(times->exchange);
    times->sent_us = exchange_sent_us(times->exchange);
    return HEAD_ACCEPT;
}

static void
on_end_times(void *arg, exchange_end_t end)
{
    times_t *times = arg;
    on_end(times->server, end);
}

static times_t
call_for_times(server_t *server, exchanges_t *exchanges)
{
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const exchange_request_t request = {.addr = server->addr,
                                        .head = head,
                                        .head_len = sizeof(head) - 1,
                                        .connect_ms = 1000,
                                        .total_ms = 2000};
    times_t times = {.server = server};
    const exchange_hooks_t hooks = {on_head_times, NULL, on_end_times, &times};
    times.exchange = exchange_start(exchanges, &request, &hooks);
    if (!exchange_is_reused(times.exchange)) {
        ck_assert_int_eq(exchange_opened_us(times.exchange), 0);
        ck_assert_int_eq(exchange_sent_us(times.exchange), 0);
    }
    (void)event_base_dispatch(server->base);
    return times;
}

/* Guards against a report that is taken for newer than its own connection or
 * one that was made after it, which would then prove the wrong process. */
START_TEST(a_request_is_sent_after_its_connection_is_made)
{
    server_t server;
    server_start(&server);
    exchanges_t *exchanges = exchanges_new(server.base);
    int64_t before_us = time_mono_us();
    const times_t first = call_for_times(&server, exchanges);
    ck_assert_int_ge(first.opened_us, before_us);
    ck_assert_int_ge(first.sent_us, first.opened_us);
    const times_t second = call_for_times(&server, exchanges);
    ck_assert_int_eq(second.opened_us, first.opened_us);
    ck_assert_int_gt(second.sent_us, first.sent_us);
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

/* Sends one request that bears an id; returns whether its connection was open
 * before. */
static bool
call_with_id(server_t *server, exchanges_t *exchanges, const char *id,
             const char *next_id)
{
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const exchange_request_t request = {.addr = server->addr,
                                        .head = head,
                                        .head_len = sizeof(head) - 1,
                                        .id = id,
                                        .next_id = next_id,
                                        .connect_ms = 1000,
                                        .total_ms = 2000};
    const exchange_hooks_t hooks = {.on_end = on_end, .arg = server};
    const exchange_t *exchange = exchange_start(exchanges, &request, &hooks);
    bool reused = exchange_is_reused(exchange);
    (void)event_base_dispatch(server->base);
    return reused;
}

/* Guards against an answer to an earlier request of the same id, taken for the
 * answer to a later one. */
START_TEST(an_id_is_sent_once_over_a_connection)
{
    server_t server;
    server_start(&server);
    exchanges_t *exchanges = exchanges_new(server.base);
    ck_assert(!call_with_id(&server, exchanges, "a", NULL));
    ck_assert(call_with_id(&server, exchanges, "b", NULL));
    ck_assert(call_with_id(&server, exchanges, NULL, NULL));
    ck_assert(call_with_id(&server, exchanges, NULL, "c"));
    ck_assert(!exchanges_has_idle(exchanges, server.addr, "a"));
    ck_assert(exchanges_has_idle(exchanges, server.addr, "c"));
    ck_assert(!call_with_id(&server, exchanges, "a", NULL));
    ck_assert_uint_eq(server.accepted, 2);
    ck_assert(exchanges_has_idle(exchanges, server.addr, "b"));
    ck_assert(call_with_id(&server, exchanges, "b", NULL));
    ck_assert(!exchanges_has_idle(exchanges, server.addr, "b"));
    ck_assert(!call_with_id(&server, exchanges, NULL, "a"));
    ck_assert_uint_eq(server.accepted, 3);
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

/* Guards against a connection that carries more ids than are kept, of which
 * one is then forgotten. */
START_TEST(a_connection_that_is_full_is_closed)
{
    server_t server;
    char id[32];
    int sent = 0;
    server_start(&server);
    exchanges_t *exchanges = exchanges_new(server.base);
    do {
        (void)snprintf(id, sizeof(id), "%d", sent++);
        (void)call_with_id(&server, exchanges, id, NULL);
        ck_assert_int_lt(sent, 100000);
    } while (exchanges_has_idle(exchanges, server.addr, "other"));
    ck_assert_int_ge(sent, 256);
    ck_assert(!call_with_id(&server, exchanges, "other", NULL));
    ck_assert_uint_eq(server.accepted, 2);
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

/* Guards against callers that reuse an id and use up a server's connections.
 */
START_TEST(requests_of_one_id_do_not_pile_up_connections)
{
    server_t server;
    server_start(&server);
    exchanges_t *exchanges = exchanges_new(server.base);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        ck_assert(!call_with_id(&server, exchanges, "a", NULL));
    }
    (void)event_base_loop(server.base, EVLOOP_NONBLOCK);
    ck_assert_uint_eq(server.closed, CONNECTIONS_MAX - 1);
    ck_assert(call_with_id(&server, exchanges, "b", NULL));
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

/* Guards against connections from another address than the one set. */
START_TEST(connections_come_from_the_set_address)
{
    server_t server;
    server_start(&server);
    exchanges_t *exchanges = exchanges_new(server.base);
    exchanges_set_source(exchanges, "127.0.0.9");
    (void)call(&server, exchanges, false);
    ck_assert_str_eq(server.source, "127.0.0.9");
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

static head_action_t
on_seen_head(void *arg, const http_head_t *head)
{
    const seen_t *seen = arg;
    return http_head_find(head, "Other") != NULL ? HEAD_SKIP : seen->action;
}

static void
on_seen_body(void *arg, const char *data, size_t len)
{
    seen_t *seen = arg;
    (void)data;
    seen->body_len += len;
    if (seen->body_max > 0 && seen->body_len > seen->body_max) {
        exchange_stop(seen->exchange);
    }
}

static void
on_seen_end(void *arg, exchange_end_t end)
{
    seen_t *seen = arg;
    seen->end = end;
    (void)event_base_loopbreak(seen->server->base);
}

/* Sends one request to a server with these bytes for an answer. */
static void
see_answer(server_t *server, exchanges_t *exchanges, seen_t *seen)
{
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const exchange_request_t request = {.addr = server->addr,
                                        .head = head,
                                        .head_len = sizeof(head) - 1,
                                        .connect_ms = 1000,
                                        .total_ms = 3000};
    const exchange_hooks_t hooks = {on_seen_head, on_seen_body, on_seen_end,
                                    seen};
    int64_t begun_ms = time_mono_ms();
    seen->server = server;
    seen->exchange = exchange_start(exchanges, &request, &hooks);
    (void)event_base_dispatch(server->base);
    seen->ms = time_mono_ms() - begun_ms;
}

static exchange_end_t
end_of_answer(const char *answer, const char *more, seen_t *seen)
{
    server_t server;
    server_start(&server);
    server.answer = answer;
    server.more = more;
    exchanges_t *exchanges = exchanges_new(server.base);
    see_answer(&server, exchanges, seen);
    ck_assert(!exchanges_has_idle(exchanges, server.addr, NULL));
    ck_assert_uint_lt(server.sent, 8u << 20);
    exchanges_free(exchanges);
    server_stop(&server);
    return seen->end;
}

/* Guards against bytes without end that are no answer and are read until the
 * exchange's time is over. */
START_TEST(endless_bytes_end_an_exchange)
{
    static const char *const answers[][2] = {
        {"no answer", ""},
        {"HTTP/1.1 200 ", "no answer"},
        {"\r\n", "\r\n"},
        {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
        {"HTTP/1.1 102 Wait\r\n\r\n", "HTTP/1.1 102 Wait\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nOther: 1\r\n\r\n", "body"},
        {"HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 1\r\n\r\nx",
         "HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 1\r\n\r\nx"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "1;a-long-extension-of-a-short-chunk\r\nx\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "more"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         "X-More: 1\r\n"},
    };
    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        seen_t seen = {.action = HEAD_ACCEPT};
        exchange_end_t end =
            end_of_answer(answers[i][0], answers[i][1], &seen);
        ck_assert_msg(end == EXCHANGE_MALFORMED, "answer %zu ends as %d", i,
                      (int)end);
        ck_assert_int_lt(seen.ms, 1500);
    }
}
END_TEST

/* Guards against a body of no use that is read without end, whether it comes
 * fast, slowly or not at all. */
START_TEST(a_body_of_no_use_ends_an_exchange)
{
    static const char head[] = "HTTP/1.1 503 Full\r\n\r\n";
    seen_t seen = {.action = HEAD_DISCARD};
    ck_assert_int_eq(end_of_answer(head, "body", &seen), EXCHANGE_STOPPED);
    ck_assert_int_lt(seen.ms, 1500);
    ck_assert_int_eq(end_of_answer(head, NULL, &seen), EXCHANGE_STOPPED);
    ck_assert_int_lt(seen.ms, 1500);
    ck_assert_uint_eq(seen.body_len, 0);
    seen.action = HEAD_ACCEPT;
    seen.body_max = 100000;
    ck_assert_int_eq(end_of_answer("HTTP/1.1 200 OK\r\n\r\n", "body", &seen),
                     EXCHANGE_STOPPED);
    ck_assert_int_lt(seen.ms, 1500);
}
END_TEST

/* Guards against connections that are closed over a short body of no use, and
 * against short interim and stray responses that end an exchange. */
START_TEST(short_bytes_of_no_use_keep_the_connection)
{
    server_t server;
    seen_t seen = {.action = HEAD_DISCARD};
    server_start(&server);
    exchanges_t *exchanges = exchanges_new(server.base);
    server.answer = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";
    see_answer(&server, exchanges, &seen);
    ck_assert_int_eq(seen.end, EXCHANGE_COMPLETE);
    server.answer =
        "HTTP/1.1 102 Wait\r\n\r\n"
        "HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 5\r\n\r\nother"
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";
    seen.action = HEAD_ACCEPT;
    see_answer(&server, exchanges, &seen);
    ck_assert_int_eq(seen.end, EXCHANGE_COMPLETE);
    ck_assert_uint_eq(seen.body_len, 4);
    ck_assert_uint_eq(server.accepted, 1);
    ck_assert(exchanges_has_idle(exchanges, server.addr, NULL));
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

static void
on_fetched(void *arg, const fetch_result_t *result)
{
    seen_t *seen = arg;
    seen->complete = result->complete;
    seen->body_len = result->len;
    (void)event_base_loopbreak(seen->server->base);
}

/* Guards against an answer of the store or to a probe that never ends. */
START_TEST(an_endless_answer_ends_a_fetch)
{
    server_t server;
    CLEAN_BUF buf_t request = {0};
    server_start(&server);
    server.answer = "HTTP/1.1 200 OK\r\n\r\n";
    server.more = "0123456789";
    exchanges_t *exchanges = exchanges_new(server.base);
    seen_t seen = {.server = &server, .complete = true};
    const fetch_options_t options = {.addr = server.addr,
                                     .request = &request,
                                     .connect_ms = 1000,
                                     .total_ms = 5000,
                                     .on_done = on_fetched,
                                     .arg = &seen};
    buf_str(&request, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    (void)fetch_start(exchanges, &options);
    (void)event_base_dispatch(server.base);
    ck_assert(!seen.complete);
    ck_assert_uint_le(seen.body_len, 4u << 20);
    ck_assert_uint_lt(server.sent, 16u << 20);
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

/* Longer than a silent peer is borne, ms. */
#define PAUSE_MS 3200
#define PAUSED_BODY_BYTES 3000000
#define RECEIVE_BYTES 32768

static void
on_paused_body(void *arg, const char *data, size_t len)
{
    seen_t *seen = arg;
    (void)data;
    if (seen->body_len == 0) {
        exchange_pause(seen->exchange);
    }
    seen->body_len += len;
}

static void
on_pause_end(evutil_socket_t fd, short what, void *arg)
{
    seen_t *seen = arg;
    (void)fd;
    (void)what;
    /* What arrived with the head, and no more. */
    ck_assert_uint_gt(seen->body_len, 0);
    ck_assert_uint_le(seen->body_len, 2 * RECEIVE_BYTES);
    exchange_resume(seen->exchange);
}

/* Guards against a paused response that is read on, is taken for that of a
 * silent server, or is not complete in the end; and against a kernel that
 * takes in what the host does not read. */
START_TEST(a_paused_exchange_goes_on_where_it_stopped)
{
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    static const struct timeval pause = {PAUSE_MS / 1000,
                                         PAUSE_MS % 1000 * 1000};
    char answer[128];
    server_t server;
    seen_t seen = {.server = &server};
    server_start(&server);
    (void)snprintf(answer, sizeof(answer),
                   "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
                   PAUSED_BODY_BYTES);
    server.answer = answer;
    server.more = "0123456789";
    server.more_max = PAUSED_BODY_BYTES;
    exchanges_t *exchanges = exchanges_new(server.base);
    exchanges_set_buffers(exchanges, RECEIVE_BYTES, RECEIVE_BYTES);
    const exchange_request_t request = {.addr = server.addr,
                                        .head = head,
                                        .head_len = sizeof(head) - 1,
                                        .connect_ms = 1000,
                                        .total_ms = 20000};
    const exchange_hooks_t hooks = {NULL, on_paused_body, on_seen_end, &seen};
    struct event *timer = evtimer_new(server.base, on_pause_end, &seen);
    (void)event_add(timer, &pause);
    int64_t begun_ms = time_mono_ms();
    seen.exchange = exchange_start(exchanges, &request, &hooks);
    (void)event_base_dispatch(server.base);
    ck_assert_int_eq(seen.end, EXCHANGE_COMPLETE);
    ck_assert_uint_eq(seen.body_len, PAUSED_BODY_BYTES);
    ck_assert_int_ge(time_mono_ms() - begun_ms, PAUSE_MS - 100);
    event_free(timer);
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

/* Sends bytes over the server's newest connection without a turn of the event
 * loop, as if the loop were late. */
static void
send_behind_loop(const server_t *server, const char *text)
{
    evutil_socket_t fd =
        bufferevent_getfd(server->connections[server->accepted - 1]);
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
    time_sleep_ms(20);
}

/* Guards against bytes of no request that wait on an idle connection and are
 * read as the answer to the next one. */
START_TEST(connection_with_waiting_input_is_not_used_again)
{
    server_t server;
    server_start(&server);
    exchanges_t *exchanges = exchanges_new(server.base);
    ck_assert(!call(&server, exchanges, false));
    send_behind_loop(&server,
                     "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    ck_assert(!call(&server, exchanges, false));
    ck_assert_uint_eq(server.accepted, 2);
    ck_assert(call(&server, exchanges, false));
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

/* Guards against a request that is sent over a connection which its server has
 * closed, since the event loop is late. */
START_TEST(connection_that_has_ended_is_not_used_again)
{
    server_t server;
    server_start(&server);
    exchanges_t *exchanges = exchanges_new(server.base);
    ck_assert(!call(&server, exchanges, false));
    (void)shutdown(bufferevent_getfd(server.connections[0]), SHUT_RDWR);
    time_sleep_ms(20);
    ck_assert(!call(&server, exchanges, false));
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

/* Guards against a request that waits until its deadline behind the answer to
 * another one, of which the rest never comes. */
START_TEST(unfinished_stray_ends_an_exchange)
{
    static const char *const answers[] = {
        "HTTP/1.1 200 OK\r\nOther: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 9\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nOther: 1\r\nTransfer-Encoding: chunked\r\n\r\n"};
    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        seen_t seen = {.action = HEAD_ACCEPT};
        ck_assert_int_eq(end_of_answer(answers[i], NULL, &seen),
                         EXCHANGE_MALFORMED);
        ck_assert_int_lt(seen.ms, 1500);
    }
}
END_TEST

/* Guards against a part of a body that is taken for all of it, because the
 * stated length is too small. */
START_TEST(bytes_behind_a_stated_length_end_an_exchange)
{
    static const char *const excess[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nwrong"};
    static const char *const sound[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
        "HTTP/1.1 500 Failed\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nown\r\n0\r\n\r\nmore"};
    for (size_t i = 0; i < sizeof(excess) / sizeof(excess[0]); i++) {
        seen_t seen = {.action = HEAD_ACCEPT};
        ck_assert_int_eq(end_of_answer(excess[i], NULL, &seen),
                         EXCHANGE_MALFORMED);
    }
    for (size_t i = 0; i < sizeof(sound) / sizeof(sound[0]); i++) {
        seen_t seen = {.action = HEAD_ACCEPT};
        ck_assert_int_eq(end_of_answer(sound[i], NULL, &seen),
                         EXCHANGE_COMPLETE);
        ck_assert_uint_eq(seen.body_len, 3);
    }
}
END_TEST

/* Guards against the answer to a request that is taken for a report. */
START_TEST(fetch_skips_the_answer_to_a_request)
{
    server_t server;
    seen_t seen = {.server = &server};
    CLEAN_BUF buf_t head = {0};
    server_start(&server);
    server.answer =
        "HTTP/1.1 503 Full\r\nOther: 1\r\nContent-Length: 0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    exchanges_t *exchanges = exchanges_new(server.base);
    buf_str(&head, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    const fetch_options_t options = {.addr = server.addr,
                                     .request = &head,
                                     .other_header = "Other",
                                     .connect_ms = 1000,
                                     .total_ms = 2000,
                                     .on_done = on_fetched,
                                     .arg = &seen};
    (void)fetch_start(exchanges, &options);
    (void)event_base_dispatch(server.base);
    ck_assert(seen.complete);
    ck_assert_uint_eq(seen.body_len, 3);
    exchanges_free(exchanges);
    server_stop(&server);
}
END_TEST

TEST_MAIN("exchange", unfinished_stray_ends_an_exchange,
          bytes_behind_a_stated_length_end_an_exchange,
          an_id_is_sent_once_over_a_connection,
          requests_of_one_id_do_not_pile_up_connections,
          a_connection_that_is_full_is_closed,
          connection_with_waiting_input_is_not_used_again,
          connection_that_has_ended_is_not_used_again,
          fetch_skips_the_answer_to_a_request,
          a_request_is_sent_after_its_connection_is_made,
          reused_connections_are_told_from_new_ones,
          connections_come_from_the_set_address, endless_bytes_end_an_exchange,
          a_body_of_no_use_ends_an_exchange,
          short_bytes_of_no_use_keep_the_connection,
          an_endless_answer_ends_a_fetch,
          a_paused_exchange_goes_on_where_it_stopped)
