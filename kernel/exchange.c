#include "exchange.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Head of an answer at most, bytes: what common servers send is under 8 KB. */
#define ANSWER_HEAD_MAX 32768
/* A kept connection is not used in the last stretch of the time that its
 * server announced, ms: the server's close may already be on its way. */
#define KEEP_MARGIN_MS 700
/* Where a server announces no time, ms: shorter than the common default of
 * five seconds. */
#define KEEP_DEFAULT_MS 3000
/* Kept connections to one address at most; more only hold descriptors. */
#define KEEP_MAX 64
/* A host that lost power or its path answers nothing, and a connection to it
 * hangs for good.  Keep-alive probes show that within about three seconds,
 * which leaves most requests time for another server. */
#define SILENT_IDLE_S 1
#define SILENT_PROBE_S 1
#define SILENT_PROBES 2
#define SILENT_SEND_MS 2500

typedef struct addr_pool addr_pool_t;

/* A connection to a server. */
typedef struct upconn {
    CK_LIST_ENTRY(upconn) entry;
    addr_pool_t *pool;
    struct bufferevent *bev;
    exchange_t *exchange; /* NULL while it is kept */
    int64_t usable_until_ms;
} upconn_t;

typedef CK_LIST_HEAD(upconn_list, upconn) upconn_list_t;

/* The kept connections to one address, the last used first. */
struct addr_pool {
    CK_LIST_ENTRY(addr_pool) entry;
    exchanges_t *owner;
    char addr[CS_ADDR_MAX];
    upconn_list_t kept;
    unsigned kept_count;
    unsigned busy_count;
};

typedef CK_LIST_HEAD(addr_pools, addr_pool) addr_pools_t;

struct exchanges {
    struct event_base *base;
    addr_pools_t pools;
    uint64_t opened;
};

struct exchange {
    exchanges_t *owner;
    upconn_t *conn;
    exchange_hooks_t hooks;
    http_reader_t reader;
    buf_t out; /* until the connection stands */
    struct event *timer;
    int64_t until_ms; /* 0 for none */
    bool sent;
    bool in_hook;  /* an owner's hook runs: it may not be freed under it */
    bool dead;     /* cancelled within a hook */
    bool looked;   /* the owner has seen the head */
    bool skipping; /* this answer belongs to something else */
    int64_t keep_ms;
};

exchanges_t *
exchanges_new(struct event_base *base)
{
    exchanges_t *exchanges = mem_zalloc(sizeof(*exchanges));
    exchanges->base = base;
    CK_LIST_INIT(&exchanges->pools);
    return exchanges;
}

static addr_pool_t *
pool_find(exchanges_t *exchanges, const char *addr)
{
    addr_pool_t *pool;
    CK_LIST_FOREACH (pool, &exchanges->pools, entry) {
        if (strcmp(pool->addr, addr) == 0) {
            return pool;
        }
    }
    return NULL;
}

static addr_pool_t *
pool_get(exchanges_t *exchanges, const char *addr)
{
    addr_pool_t *pool = pool_find(exchanges, addr);
    if (pool != NULL) {
        return pool;
    }
    pool = mem_zalloc(sizeof(*pool));
    pool->owner = exchanges;
    str_copy(pool->addr, sizeof(pool->addr), addr);
    CK_LIST_INIT(&pool->kept);
    CK_LIST_INSERT_HEAD(&exchanges->pools, pool, entry);
    return pool;
}

static void
conn_free(upconn_t *conn)
{
    if (conn->exchange == NULL) {
        CK_LIST_REMOVE(conn, entry);
        conn->pool->kept_count--;
    }
    else {
        conn->pool->busy_count--;
    }
    bufferevent_free(conn->bev);
    free(conn);
}

static void
pool_free(addr_pool_t *pool)
{
    upconn_t *conn;
    upconn_t *next;
    CK_LIST_FOREACH_SAFE (conn, &pool->kept, entry, next) {
        conn_free(conn);
    }
    CK_LIST_REMOVE(pool, entry);
    free(pool);
}

/* Running exchanges must have been cancelled before. */
void
exchanges_free(exchanges_t *exchanges)
{
    addr_pool_t *pool;
    addr_pool_t *next;
    CK_LIST_FOREACH_SAFE (pool, &exchanges->pools, entry, next) {
        pool_free(pool);
    }
    free(exchanges);
}

uint64_t
exchanges_connections_opened(const exchanges_t *exchanges)
{
    return exchanges->opened;
}

/* Close kept connections whose time is up, and forget idle addresses. */
void
exchanges_sweep(exchanges_t *exchanges)
{
    int64_t now = time_mono_ms();
    addr_pool_t *pool;
    addr_pool_t *next_pool;
    CK_LIST_FOREACH_SAFE (pool, &exchanges->pools, entry, next_pool) {
        upconn_t *conn;
        upconn_t *next;
        CK_LIST_FOREACH_SAFE (conn, &pool->kept, entry, next) {
            if (now >= conn->usable_until_ms) {
                conn_free(conn);
            }
        }
        if (pool->kept_count == 0 && pool->busy_count == 0) {
            pool_free(pool);
        }
    }
}

/* Close what is kept to an address whose server is gone: the address may be
 * given to a server of another service. */
void
exchanges_close_idle(exchanges_t *exchanges, const char *addr)
{
    addr_pool_t *pool = pool_find(exchanges, addr);
    if (pool == NULL) {
        return;
    }
    upconn_t *conn;
    upconn_t *next;
    CK_LIST_FOREACH_SAFE (conn, &pool->kept, entry, next) {
        conn_free(conn);
    }
}

static void
exchange_free(exchange_t *exchange)
{
    if (exchange->timer != NULL) {
        event_free(exchange->timer);
    }
    http_reader_free(&exchange->reader);
    buf_free(&exchange->out);
    free(exchange);
}

static void
exchange_end(exchange_t *exchange, exchange_end_t end)
{
    exchange_hooks_t hooks = exchange->hooks;
    if (exchange->conn != NULL) {
        conn_free(exchange->conn);
    }
    exchange_free(exchange);
    hooks.on_end(hooks.arg, end);
}

/* Keep the connection for the next exchange if nothing speaks against it: the
 * server keeps it too, the request has left whole, and no byte has come that
 * belongs to no answer. */
static void
conn_keep(upconn_t *conn)
{
    exchange_t *exchange = conn->exchange;
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    struct evbuffer *out = bufferevent_get_output(conn->bev);
    bool clean = evbuffer_get_length(in) == 0 && evbuffer_get_length(out) == 0;
    if (!clean || !exchange->reader.head.keep_alive ||
        exchange->keep_ms <= 0 || conn->pool->kept_count >= KEEP_MAX) {
        conn_free(conn);
        return;
    }
    conn->exchange = NULL;
    conn->usable_until_ms = time_mono_ms() + exchange->keep_ms;
    conn->pool->busy_count--;
    conn->pool->kept_count++;
    CK_LIST_INSERT_HEAD(&conn->pool->kept, conn, entry);
}

static void
read_keep_time(exchange_t *exchange)
{
    const http_head_t *head = &exchange->reader.head;
    const header_t *header = http_head_find(head, "Keep-Alive");
    char text[64];
    exchange->keep_ms = KEEP_DEFAULT_MS;
    if (header == NULL) {
        return;
    }
    http_head_copy(head, header->value, text, sizeof(text));
    const char *at = strstr(text, "timeout=");
    if (at != NULL) {
        exchange->keep_ms =
            (int64_t)strtol(at + strlen("timeout="), NULL, 10) * 1000 -
            KEEP_MARGIN_MS;
    }
}

/* Whether the owner wants the answer whose head was just read. */
static void
show_head(exchange_t *exchange)
{
    exchange->looked = true;
    read_keep_time(exchange);
    if (exchange->hooks.on_head == NULL) {
        return;
    }
    exchange->in_hook = true;
    exchange->skipping =
        exchange->hooks.on_head(exchange->hooks.arg, &exchange->reader.head) ==
        HEAD_SKIP;
    exchange->in_hook = false;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    exchange_t *exchange = arg;
    if (exchange->skipping || exchange->dead || !exchange->looked ||
        exchange->hooks.on_body == NULL) {
        return;
    }
    exchange->in_hook = true;
    exchange->hooks.on_body(exchange->hooks.arg, data, len);
    exchange->in_hook = false;
}

static void
answer_whole(exchange_t *exchange)
{
    upconn_t *conn = exchange->conn;
    conn_keep(conn);
    exchange->conn = NULL;
    exchange_end(exchange, EXCHANGE_COMPLETE);
}

/* Go on with what has come; false once the exchange is over or must wait. */
static bool
take_step(exchange_t *exchange, struct evbuffer *in)
{
    reader_state_t state = http_reader_feed(&exchange->reader, in);
    if (exchange->dead) {
        exchange_cancel(exchange);
        return false;
    }
    if (state == READER_INVALID) {
        exchange_end(exchange, EXCHANGE_MALFORMED);
        return false;
    }
    if (state == READER_HEAD) {
        return false;
    }
    bool interim = exchange->reader.head.status < 200;
    if (!exchange->looked && !interim) {
        show_head(exchange);
    }
    if (exchange->dead) {
        exchange_cancel(exchange);
        return false;
    }
    if (state == READER_BODY) {
        return evbuffer_get_length(in) > 0;
    }
    if (!interim && !exchange->skipping) {
        answer_whole(exchange);
        return false;
    }
    exchange->looked = false;
    exchange->skipping = false;
    http_reader_next(&exchange->reader);
    return evbuffer_get_length(in) > 0;
}

static void
take_input(upconn_t *conn)
{
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    exchange_t *exchange = conn->exchange;
    while (take_step(exchange, in)) {
    }
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    upconn_t *conn = arg;
    (void)bev;
    if (conn->exchange == NULL) {
        /* Bytes on a kept connection belong to no request. */
        conn_free(conn);
        return;
    }
    take_input(conn);
}

static exchange_end_t
end_of(const exchange_t *exchange)
{
    if (!exchange->sent) {
        return EXCHANGE_UNSENT;
    }
    return exchange->looked && !exchange->skipping ? EXCHANGE_BROKEN
                                                   : EXCHANGE_NO_ANSWER;
}

static void
send_out(exchange_t *exchange)
{
    struct bufferevent *bev = exchange->conn->bev;
    exchange->sent = true;
    (void)bufferevent_write(bev, exchange->out.data, exchange->out.len);
    buf_free(&exchange->out);
}

static void
timer_arm(exchange_t *exchange, int ms)
{
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    (void)event_add(exchange->timer, &after);
}

/* Wait for the end of the exchange's own time, if it has one. */
static void
timer_until(exchange_t *exchange)
{
    if (exchange->until_ms == 0) {
        (void)event_del(exchange->timer);
        return;
    }
    int64_t left = exchange->until_ms - time_mono_ms();
    timer_arm(exchange, left > 0 ? (int)left : 0);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    upconn_t *conn = arg;
    exchange_t *exchange = conn->exchange;
    (void)bev;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        send_out(exchange);
        timer_until(exchange);
        return;
    }
    if (exchange == NULL) {
        conn_free(conn);
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0 &&
        http_reader_eof(&exchange->reader) == READER_COMPLETE) {
        if (exchange->skipping) {
            exchange_end(exchange, EXCHANGE_NO_ANSWER);
            return;
        }
        answer_whole(exchange);
        return;
    }
    exchange_end(exchange, end_of(exchange));
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    exchange_t *exchange = arg;
    (void)fd;
    (void)what;
    exchange_end(exchange,
                 exchange->sent ? EXCHANGE_TIMEOUT : EXCHANGE_UNSENT);
}

static int
addr_parse(const char *addr, struct sockaddr_in *out)
{
    int len = (int)sizeof(*out);
    memset(out, 0, sizeof(*out));
    return evutil_parse_sockaddr_port(addr, (struct sockaddr *)out, &len) ==
                       0 &&
                   out->sin_family == AF_INET && out->sin_port != 0
               ? 0
               : -1;
}

static void
socket_tune(evutil_socket_t fd)
{
    int on = 1;
    int idle = SILENT_IDLE_S;
    int probe = SILENT_PROBE_S;
    int probes = SILENT_PROBES;
    unsigned send_ms = SILENT_SEND_MS;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe, sizeof(probe));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &send_ms,
                     sizeof(send_ms));
}

static upconn_t *
conn_open(addr_pool_t *pool)
{
    struct sockaddr_in to;
    if (addr_parse(pool->addr, &to) != 0) {
        return NULL;
    }
    evutil_socket_t fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    socket_tune(fd);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
        errno != EINPROGRESS) {
        (void)close(fd);
        return NULL;
    }
    upconn_t *conn = mem_zalloc(sizeof(*conn));
    conn->pool = pool;
    conn->bev =
        bufferevent_socket_new(pool->owner->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
    (void)bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
    (void)bufferevent_socket_connect(conn->bev, NULL, 0);
    pool->busy_count++;
    pool->owner->opened++;
    return conn;
}

static upconn_t *
conn_take_kept(addr_pool_t *pool)
{
    int64_t now = time_mono_ms();
    upconn_t *conn;
    while ((conn = CK_LIST_FIRST(&pool->kept)) != NULL) {
        if (now < conn->usable_until_ms) {
            CK_LIST_REMOVE(conn, entry);
            pool->kept_count--;
            pool->busy_count++;
            return conn;
        }
        conn_free(conn);
    }
    return NULL;
}

/* Start an exchange.  No hook is called before this returns; an address that
 * cannot be used ends as unsent from the loop. */
exchange_t *
exchange_start(exchanges_t *exchanges, const exchange_request_t *ask,
               const exchange_hooks_t *hooks)
{
    addr_pool_t *pool = pool_get(exchanges, ask->addr);
    exchange_t *exchange = mem_zalloc(sizeof(*exchange));
    exchange->owner = exchanges;
    exchange->hooks = *hooks;
    exchange->timer = evtimer_new(exchanges->base, on_timer, exchange);
    http_reader_init(&exchange->reader, true, ANSWER_HEAD_MAX, on_body,
                     exchange);
    exchange->reader.no_body = ask->no_response_body;
    buf_add(&exchange->out, ask->head, ask->head_len);
    if (ask->body_len > 0) {
        buf_add(&exchange->out, ask->body, ask->body_len);
    }
    upconn_t *conn = ask->new_connection ? NULL : conn_take_kept(pool);
    bool kept = conn != NULL;
    if (!kept) {
        conn = conn_open(pool);
    }
    if (conn == NULL) {
        timer_arm(exchange, 0);
        return exchange;
    }
    exchange->conn = conn;
    conn->exchange = exchange;
    if (ask->total_ms > 0) {
        exchange->until_ms = time_mono_ms() + ask->total_ms;
    }
    if (kept) {
        send_out(exchange);
        timer_until(exchange);
        return exchange;
    }
    bool short_of_time = ask->total_ms > 0 && ask->total_ms < ask->connect_ms;
    timer_arm(exchange, short_of_time ? ask->total_ms : ask->connect_ms);
    return exchange;
}

/* Give an exchange up; no hook is called any more. */
void
exchange_cancel(exchange_t *exchange)
{
    if (exchange->in_hook) {
        exchange->dead = true;
        return;
    }
    if (exchange->conn != NULL) {
        conn_free(exchange->conn);
    }
    exchange_free(exchange);
}

bool
exchange_has_sent(const exchange_t *exchange)
{
    return exchange->sent;
}
