#include "exchange.h"
#include "local-socket.h"
#include "sent-ids.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes of a response head.  Common servers send less than 8 KB. */
#define RESPONSE_HEAD_MAX 32768
/* Bytes of an exchange besides the body that its owner accepts: heads, interim
 * responses, responses to other requests, and what frames chunks, which
 * may have as many bytes again as the body.  Sound servers send a few KB;
 * broken ones may send bytes without end. */
#define EXTRA_BYTES_MAX (1u << 20)
/* Responses to other requests in one exchange.  A sound server sends a few. */
#define STRAYS_MAX 16
/* The rest of a response that has no use is read, so that its connection can
 * be kept, unless it is longer or takes longer than this.  One that is skipped
 * may not take longer either: what follows it would never be read. */
#define DISCARD_BYTES_MAX 65536
#define DISCARD_MS 100
/* An idle connection expires this long before the timeout that its server
 * announced: the server's close may already be in transit. */
#define KEEP_ALIVE_MARGIN_MS 700
/* Used if a server announces no keep-alive timeout: shorter than the common
 * default of five seconds. */
#define KEEP_ALIVE_DEFAULT_MS 3000
/* Idle connections per address; more would only use up descriptors. */
#define IDLE_CONNECTIONS_MAX 64
/* A host that lost power or its network path sends nothing, and a connection
 * to it hangs.  TCP keep-alive probes and a limit for unacknowledged data
 * detect this within about three seconds, which leaves most requests time for
 * another server. */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define UNACKED_TIMEOUT_MS 2500
#define MS_PER_S 1000
/* Longest time for a response that arrives without a stall, ms. */
#define TRANSFER_MS_MAX 10000

typedef struct addr_pool addr_pool_t;

/* A connection to a server. */
typedef struct conn {
    CK_LIST_ENTRY(conn) entry;
    addr_pool_t *pool;
    struct bufferevent *bev;
    exchange_t *exchange; /* NULL while it is idle */
    uint64_t serial;      /* among the connections of its owner, from 1 */
    int64_t opened_us;    /* when it was made; 0 until then */
    int64_t idle_since_ms;
    int64_t expires_ms;
    unsigned exchanges; /* that it has carried */
    sent_ids_t sent_ids;
    int silence_ms; /* without acknowledgements after which it is given up */
} conn_t;

typedef CK_LIST_HEAD(conn_list, conn) conn_list_t;

/* The connections to one address; idle ones are listed most recent first. */
struct addr_pool {
    CK_LIST_ENTRY(addr_pool) entry;
    exchanges_t *owner;
    char addr[CS_ADDR_MAX];
    conn_list_t idle;
    unsigned idle_count;
    unsigned busy_count;
};

typedef CK_LIST_HEAD(addr_pools, addr_pool) addr_pools_t;

struct exchanges {
    struct event_base *base;
    addr_pools_t pools;
    struct sockaddr_in source; /* of new connections; any if 0.0.0.0 */
    uint64_t opened;
    void (*on_idle)(void *arg); /* NULL for none */
    void *on_idle_arg;
    int receive_bytes; /* of a socket; 0: the system chooses */
    int unsent_bytes;  /* that a socket takes in; 0: the system chooses */
};

struct exchange {
    exchanges_t *owner;
    conn_t *conn;
    exchange_hooks_t hooks;
    http_reader_t reader;
    buf_t out;             /* the request, until the connection is made */
    const void *kept_body; /* its body, if that is not in out */
    size_t kept_len;
    struct event *timer;
    int64_t deadline_ms;     /* 0 for none */
    int64_t transfer_end_ms; /* the deadline is never later; 0 for none */
    int stall_ms;            /* see exchange_request_t */
    int64_t sent_us;         /* when the request was sent; 0 until then */
    bool sent;
    bool reused;        /* its connection was open before */
    bool replaces_idle; /* a new connection is made since all idle ones have
                           carried its id */
    exchange_connection_t connection;
    bool in_hook;    /* a hook is running: do not free the exchange */
    bool cancelled;  /* cancelled by a hook: free the exchange after it */
    bool head_seen;  /* on_head was called for this response */
    bool skipping;   /* the owner rejected this response */
    bool discarding; /* the rest of this response has no use */
    bool stopped;    /* by a hook: end the exchange after it */
    unsigned strays; /* responses skipped */
    size_t extra;    /* bytes read besides the accepted body */
    size_t accepted; /* bytes of the accepted body read */
    int64_t keep_alive_ms;
};

exchanges_t *
exchanges_new(struct event_base *base)
{
    exchanges_t *exchanges = mem_zalloc(sizeof(*exchanges));
    exchanges->base = base;
    CK_LIST_INIT(&exchanges->pools);
    return exchanges;
}

/* Sets the local IP address of new connections. */
void
exchanges_set_source(exchanges_t *exchanges, const char *ip)
{
    exchanges->source.sin_family = AF_INET;
    (void)inet_pton(AF_INET, ip, &exchanges->source.sin_addr);
}

/* Sets a hook that is called when an exchange has ended and its connection is
 * idle. */
void
exchanges_set_on_idle(exchanges_t *exchanges, void (*on_idle)(void *arg),
                      void *arg)
{
    exchanges->on_idle = on_idle;
    exchanges->on_idle_arg = arg;
}

/* Bounds what the kernel holds of each new connection: bytes that it has
 * received, and bytes that it has not sent yet. */
void
exchanges_set_buffers(exchanges_t *exchanges, int receive_bytes,
                      int unsent_bytes)
{
    exchanges->receive_bytes = receive_bytes;
    exchanges->unsent_bytes = unsent_bytes;
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
    CK_LIST_INIT(&pool->idle);
    CK_LIST_INSERT_HEAD(&exchanges->pools, pool, entry);
    return pool;
}

static void
conn_free(conn_t *conn)
{
    if (conn->exchange == NULL) {
        CK_LIST_REMOVE(conn, entry);
        conn->pool->idle_count--;
    }
    else {
        conn->pool->busy_count--;
    }
    bufferevent_free(conn->bev);
    sent_ids_free(&conn->sent_ids);
    free(conn);
}

static void
pool_free(addr_pool_t *pool)
{
    conn_t *conn;
    conn_t *next;
    CK_LIST_FOREACH_SAFE (conn, &pool->idle, entry, next) {
        conn_free(conn);
    }
    CK_LIST_REMOVE(pool, entry);
    free(pool);
}

/* Frees the pools.  Running exchanges must be cancelled first. */
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

/* Closes expired idle connections and frees pools without connections. */
void
exchanges_sweep(exchanges_t *exchanges)
{
    int64_t now = time_mono_ms();
    addr_pool_t *pool;
    addr_pool_t *next_pool;
    CK_LIST_FOREACH_SAFE (pool, &exchanges->pools, entry, next_pool) {
        conn_t *conn;
        conn_t *next;
        CK_LIST_FOREACH_SAFE (conn, &pool->idle, entry, next) {
            if (now >= conn->expires_ms) {
                conn_free(conn);
            }
        }
        if (pool->idle_count == 0 && pool->busy_count == 0) {
            pool_free(pool);
        }
    }
}

/* An id that a connection must not have carried, as a hash. */
typedef struct {
    bool set;
    uint64_t hash;
} unsent_id_t;

/* Hashes an id, which may be NULL, once for all connections it is looked for
 * on. */
static unsent_id_t
unsent_id(const char *id)
{
    return (unsent_id_t){.set = id != NULL,
                         .hash = id != NULL ? sent_ids_hash(id) : 0};
}

/* Whether a connection has not carried a request of this id. */
static bool
conn_is_new_to(const conn_t *conn, unsent_id_t id)
{
    return !id.set || !sent_ids_has(&conn->sent_ids, id.hash);
}

/* Whether there is an open connection to an address that no exchange uses and
 * that can carry a request of this id, which may be NULL. */
bool
exchanges_has_idle(exchanges_t *exchanges, const char *addr, const char *id)
{
    const addr_pool_t *pool = pool_find(exchanges, addr);
    const unsent_id_t wanted = unsent_id(id);
    const conn_t *conn;
    if (pool == NULL) {
        return false;
    }
    CK_LIST_FOREACH (conn, &pool->idle, entry) {
        if (conn_is_new_to(conn, wanted)) {
            return true;
        }
    }
    return false;
}

/* Closes the idle connections to an address whose server has left: the address
 * may be reused by a server of another service. */
void
exchanges_close_idle(exchanges_t *exchanges, const char *addr)
{
    addr_pool_t *pool = pool_find(exchanges, addr);
    if (pool == NULL) {
        return;
    }
    conn_t *conn;
    conn_t *next;
    CK_LIST_FOREACH_SAFE (conn, &pool->idle, entry, next) {
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

/* Keeps the connection for a later exchange, or closes it; false if it is
 * closed.  It can be reused if the server keeps it open, the request was sent
 * completely, there is no input beyond the response, it can carry a further
 * id, and not too many are idle. */
static bool
conn_keep(conn_t *conn)
{
    exchange_t *exchange = conn->exchange;
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    struct evbuffer *out = bufferevent_get_output(conn->bev);
    bool clean = evbuffer_get_length(in) == 0 && evbuffer_get_length(out) == 0;
    if (!clean || !exchange->reader.head.keep_alive ||
        exchange->keep_alive_ms <= 0 || sent_ids_is_full(&conn->sent_ids) ||
        conn->pool->idle_count >= IDLE_CONNECTIONS_MAX) {
        conn_free(conn);
        return false;
    }
    conn->exchange = NULL;
    (void)bufferevent_enable(conn->bev, EV_READ);
    conn->idle_since_ms = time_mono_ms();
    conn->expires_ms = conn->idle_since_ms + exchange->keep_alive_ms;
    conn->pool->busy_count--;
    conn->pool->idle_count++;
    CK_LIST_INSERT_HEAD(&conn->pool->idle, conn, entry);
    return true;
}

static void
read_keep_alive(exchange_t *exchange)
{
    const http_head_t *head = &exchange->reader.head;
    const header_t *header = http_head_find(head, "Keep-Alive");
    char text[64];
    exchange->keep_alive_ms = KEEP_ALIVE_DEFAULT_MS;
    if (header == NULL) {
        return;
    }
    http_head_copy(head, header->value, text, sizeof(text));
    const char *at = strstr(text, "timeout=");
    if (at != NULL) {
        exchange->keep_alive_ms =
            (int64_t)strtol(at + strlen("timeout="), NULL, 10) * 1000 -
            KEEP_ALIVE_MARGIN_MS;
    }
}

static void
timer_arm(exchange_t *exchange, int ms)
{
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    (void)event_add(exchange->timer, &after);
}

/* Arms the timer for the deadline of the exchange, if it has one. */
static void
timer_arm_deadline(exchange_t *exchange)
{
    if (exchange->deadline_ms == 0) {
        (void)event_del(exchange->timer);
        return;
    }
    int64_t left = exchange->deadline_ms - time_mono_ms();
    timer_arm(exchange, left > 0 ? (int)left : 0);
}

/* The response goes on to arrive, so its deadline moves. */
static void
note_progress(exchange_t *exchange)
{
    if (exchange->stall_ms == 0 || exchange->discarding) {
        return;
    }
    int64_t now = time_mono_ms();
    if (exchange->transfer_end_ms == 0) {
        exchange->transfer_end_ms = now + TRANSFER_MS_MAX;
    }
    int64_t deadline_ms = now + exchange->stall_ms;
    exchange->deadline_ms = deadline_ms < exchange->transfer_end_ms
                                ? deadline_ms
                                : exchange->transfer_end_ms;
    timer_arm_deadline(exchange);
}

/* Passes the head to the owner, who accepts, skips or discards the response.
 */
static void
pass_head(exchange_t *exchange)
{
    exchange->head_seen = true;
    read_keep_alive(exchange);
    note_progress(exchange);
    if (exchange->hooks.on_head == NULL) {
        return;
    }
    exchange->in_hook = true;
    head_action_t action =
        exchange->hooks.on_head(exchange->hooks.arg, &exchange->reader.head);
    exchange->in_hook = false;
    exchange->skipping = action == HEAD_SKIP;
    if (action == HEAD_DISCARD) {
        exchange->discarding = true;
        exchange->extra = 0;
    }
    if (action != HEAD_ACCEPT) {
        timer_arm(exchange, DISCARD_MS);
    }
}

static void
on_body(void *arg, const char *data, size_t len)
{
    exchange_t *exchange = arg;
    if (exchange->skipping || exchange->discarding || exchange->cancelled ||
        exchange->stopped || !exchange->head_seen) {
        return;
    }
    exchange->accepted += len;
    note_progress(exchange);
    if (exchange->hooks.on_body == NULL) {
        return;
    }
    exchange->in_hook = true;
    exchange->hooks.on_body(exchange->hooks.arg, data, len);
    exchange->in_hook = false;
}

static void
response_complete(exchange_t *exchange)
{
    exchanges_t *owner = exchange->owner;
    bool kept = conn_keep(exchange->conn);
    exchange->conn = NULL;
    exchange_end(exchange, EXCHANGE_COMPLETE);
    if (kept && owner->on_idle != NULL) {
        owner->on_idle(owner->on_idle_arg);
    }
}

/* Parses buffered input and counts what is not passed to the owner. */
static reader_state_t
feed_input(exchange_t *exchange, struct evbuffer *in)
{
    size_t before = evbuffer_get_length(in) + exchange->accepted;
    reader_state_t state = http_reader_feed(&exchange->reader, in);
    exchange->extra += before - evbuffer_get_length(in) - exchange->accepted;
    return state;
}

/* Ends the exchange if one of its hooks wants that. */
static bool
ended_by_hook(exchange_t *exchange)
{
    if (exchange->cancelled) {
        exchange_cancel(exchange);
        return true;
    }
    if (exchange->stopped) {
        exchange_end(exchange, EXCHANGE_STOPPED);
        return true;
    }
    return false;
}

/* Ends the exchange if it has read too much that is of no use. */
static bool
ended_by_extra_bytes(exchange_t *exchange)
{
    if (exchange->discarding && exchange->extra > DISCARD_BYTES_MAX) {
        exchange_end(exchange, EXCHANGE_STOPPED);
        return true;
    }
    if (exchange->extra > EXTRA_BYTES_MAX + exchange->accepted ||
        exchange->strays > STRAYS_MAX) {
        exchange_end(exchange, EXCHANGE_MALFORMED);
        return true;
    }
    return false;
}

/* A response that is not the request's was read: the next one follows. */
static void
begin_next_response(exchange_t *exchange)
{
    if (exchange->skipping) {
        exchange->strays++;
        timer_arm_deadline(exchange);
    }
    exchange->head_seen = false;
    exchange->skipping = false;
    http_reader_next(&exchange->reader);
}

/* Parses buffered input; false if the exchange has ended or needs more. */
static bool
read_step(exchange_t *exchange, struct evbuffer *in)
{
    reader_state_t state = feed_input(exchange, in);
    if (ended_by_hook(exchange)) {
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
    if (!exchange->head_seen && !interim) {
        pass_head(exchange);
    }
    if (ended_by_hook(exchange)) {
        return false;
    }
    if (state == READER_COMPLETE && !interim && !exchange->skipping) {
        if (!exchange->discarding &&
            http_reader_has_excess(&exchange->reader, in)) {
            exchange_end(exchange, EXCHANGE_MALFORMED);
            return false;
        }
        response_complete(exchange);
        return false;
    }
    if (state == READER_COMPLETE) {
        begin_next_response(exchange);
    }
    return !ended_by_extra_bytes(exchange) && evbuffer_get_length(in) > 0;
}

static void
read_input(conn_t *conn)
{
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    exchange_t *exchange = conn->exchange;
    while (read_step(exchange, in)) {
    }
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    conn_t *conn = arg;
    (void)bev;
    if (conn->exchange == NULL) {
        /* Input on an idle connection belongs to no request. */
        conn_free(conn);
        return;
    }
    read_input(conn);
}

static exchange_end_t
end_after_disconnect(const exchange_t *exchange)
{
    if (!exchange->sent) {
        return EXCHANGE_UNSENT;
    }
    return exchange->head_seen && !exchange->skipping ? EXCHANGE_BROKEN
                                                      : EXCHANGE_NO_ANSWER;
}

static void
send_request(exchange_t *exchange)
{
    struct bufferevent *bev = exchange->conn->bev;
    exchange->sent = true;
    exchange->sent_us = time_mono_us();
    (void)bufferevent_write(bev, exchange->out.data, exchange->out.len);
    buf_free(&exchange->out);
    if (exchange->kept_len > 0) {
        (void)evbuffer_add_reference(bufferevent_get_output(bev),
                                     exchange->kept_body, exchange->kept_len,
                                     NULL, NULL);
    }
}

/* Closes the idle connection that was used the longest ago. */
static void
pool_close_oldest(const addr_pool_t *pool)
{
    conn_t *conn;
    conn_t *oldest = NULL;
    CK_LIST_FOREACH (conn, &pool->idle, entry) {
        oldest = conn;
    }
    if (oldest != NULL) {
        conn_free(oldest);
    }
}

/* Whether the server has not received all that was sent to it. */
static bool
has_unsent_output(const conn_t *conn)
{
    int queued = 0;
    return evbuffer_get_length(bufferevent_get_output(conn->bev)) > 0 ||
           (ioctl(bufferevent_getfd(conn->bev), SIOCOUTQ, &queued) == 0 &&
            queued > 0);
}

/* Whether the end of the connection completes the response.  One without a
 * length may have been cut off if the server ends the connection before it has
 * the whole request. */
static bool
completes_response(exchange_t *exchange)
{
    bool until_close = exchange->reader.head.until_close;
    return http_reader_eof(&exchange->reader) == READER_COMPLETE &&
           !(until_close && has_unsent_output(exchange->conn));
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    conn_t *conn = arg;
    exchange_t *exchange = conn->exchange;
    (void)bev;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        conn->opened_us = time_mono_us();
        if (exchange->replaces_idle) {
            /* Callers that reuse ids must not use up a server's connections.
             */
            pool_close_oldest(conn->pool);
        }
        send_request(exchange);
        timer_arm_deadline(exchange);
        return;
    }
    if (exchange == NULL) {
        conn_free(conn);
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0 && completes_response(exchange)) {
        if (exchange->skipping) {
            exchange_end(exchange, EXCHANGE_NO_ANSWER);
            return;
        }
        response_complete(exchange);
        return;
    }
    exchange_end(exchange, end_after_disconnect(exchange));
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    exchange_t *exchange = arg;
    (void)fd;
    (void)what;
    if (exchange->discarding) {
        exchange_end(exchange, EXCHANGE_STOPPED);
        return;
    }
    if (exchange->skipping) {
        exchange_end(exchange, EXCHANGE_MALFORMED);
        return;
    }
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

/* Sets the time without acknowledgements after which a connection is given up.
 */
static void
socket_set_silence(evutil_socket_t fd, int silence_ms)
{
    unsigned timeout_ms = (unsigned)silence_ms;
    int probes = silence_ms / (PROBE_INTERVAL_S * MS_PER_S);
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                     sizeof(timeout_ms));
}

static void
socket_tune(evutil_socket_t fd)
{
    int on = 1;
    int idle = PROBE_IDLE_S;
    int probe = PROBE_INTERVAL_S;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe, sizeof(probe));
    socket_set_silence(fd, UNACKED_TIMEOUT_MS);
}

/* Sets the buffers of a socket that is not connected yet: the window that it
 * offers depends on them. */
static void
socket_set_buffers(evutil_socket_t fd, const exchanges_t *exchanges)
{
    if (exchanges->receive_bytes > 0) {
        (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &exchanges->receive_bytes,
                         sizeof(exchanges->receive_bytes));
    }
    if (exchanges->unsent_bytes > 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                         &exchanges->unsent_bytes,
                         sizeof(exchanges->unsent_bytes));
    }
}

static conn_t *
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
    socket_set_buffers(fd, pool->owner);
    const struct sockaddr_in *source = &pool->owner->source;
    if (source->sin_addr.s_addr != 0 &&
        bind(fd, (const struct sockaddr *)source, sizeof(*source)) != 0) {
        (void)close(fd);
        return NULL;
    }
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
        errno != EINPROGRESS) {
        (void)close(fd);
        return NULL;
    }
    local_socket_release(fd);
    conn_t *conn = mem_zalloc(sizeof(*conn));
    conn->pool = pool;
    conn->silence_ms = UNACKED_TIMEOUT_MS;
    conn->bev =
        bufferevent_socket_new(pool->owner->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
    (void)bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
    (void)bufferevent_socket_connect(conn->bev, NULL, 0);
    pool->busy_count++;
    conn->serial = ++pool->owner->opened;
    return conn;
}

/* Whether an idle connection can carry a request: it is open, and no input is
 * waiting that belongs to none.  The event loop may be too late to have seen
 * either. */
static bool
conn_is_clean(const conn_t *conn)
{
    char byte;
    return evbuffer_get_length(bufferevent_get_input(conn->bev)) == 0 &&
           recv(bufferevent_getfd(conn->bev), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

static exchange_connection_t
conn_describe(const conn_t *conn)
{
    bool used = conn->exchanges > 0;
    return (exchange_connection_t){
        .serial = conn->serial,
        .earlier = conn->exchanges,
        .idle_ms = used ? time_mono_ms() - conn->idle_since_ms : 0};
}

/* Takes the idle connection that was used last of those that can carry the
 * request, and closes those before it that can carry none any more. */
static conn_t *
conn_take_idle(addr_pool_t *pool, const exchange_request_t *request)
{
    int64_t now = time_mono_ms();
    const unsent_id_t id = unsent_id(request->id);
    const unsent_id_t next_id = unsent_id(request->next_id);
    conn_t *conn;
    conn_t *next;
    CK_LIST_FOREACH_SAFE (conn, &pool->idle, entry, next) {
        if (now >= conn->expires_ms || !conn_is_clean(conn)) {
            conn_free(conn);
            continue;
        }
        if (conn_is_new_to(conn, id) && conn_is_new_to(conn, next_id)) {
            CK_LIST_REMOVE(conn, entry);
            pool->idle_count--;
            pool->busy_count++;
            return conn;
        }
    }
    return NULL;
}

/* Sets how long the exchange of a connection bears a silent peer. */
static void
conn_set_silence(conn_t *conn, int silence_ms)
{
    int wanted_ms =
        silence_ms > UNACKED_TIMEOUT_MS ? silence_ms : UNACKED_TIMEOUT_MS;
    if (conn->silence_ms != wanted_ms) {
        conn->silence_ms = wanted_ms;
        socket_set_silence(bufferevent_getfd(conn->bev), wanted_ms);
    }
}

/* Starts an exchange.  No hook is called before this returns; an unusable
 * address ends it as unsent from the event loop. */
exchange_t *
exchange_start(exchanges_t *exchanges, const exchange_request_t *request,
               const exchange_hooks_t *hooks)
{
    addr_pool_t *pool = pool_get(exchanges, request->addr);
    exchange_t *exchange = mem_zalloc(sizeof(*exchange));
    exchange->owner = exchanges;
    exchange->hooks = *hooks;
    exchange->timer = evtimer_new(exchanges->base, on_timer, exchange);
    http_reader_init(&exchange->reader, true, RESPONSE_HEAD_MAX, on_body,
                     exchange);
    exchange->reader.no_body = request->no_response_body;
    buf_add(&exchange->out, request->head, request->head_len);
    if (request->body_kept) {
        exchange->kept_body = request->body;
        exchange->kept_len = request->body_len;
    }
    else if (request->body_len > 0) {
        buf_add(&exchange->out, request->body, request->body_len);
    }
    conn_t *conn =
        request->new_connection ? NULL : conn_take_idle(pool, request);
    exchange->reused = conn != NULL;
    if (!exchange->reused) {
        exchange->replaces_idle =
            !request->new_connection && pool->idle_count > 0;
        conn = conn_open(pool);
    }
    if (conn == NULL) {
        timer_arm(exchange, 0);
        return exchange;
    }
    exchange->connection = conn_describe(conn);
    exchange->conn = conn;
    conn->exchange = exchange;
    conn->exchanges++;
    if (request->id != NULL) {
        sent_ids_add(&conn->sent_ids, sent_ids_hash(request->id));
    }
    conn_set_silence(conn, request->silence_ms);
    exchange->stall_ms = request->stall_ms;
    if (request->total_ms > 0) {
        exchange->deadline_ms = time_mono_ms() + request->total_ms;
    }
    if (exchange->reused) {
        send_request(exchange);
        timer_arm_deadline(exchange);
        return exchange;
    }
    bool total_is_shorter =
        request->total_ms > 0 && request->total_ms < request->connect_ms;
    timer_arm(exchange,
              total_is_shorter ? request->total_ms : request->connect_ms);
    return exchange;
}

/* Cancels and frees an exchange without calling any further hook. */
void
exchange_cancel(exchange_t *exchange)
{
    if (exchange->in_hook) {
        exchange->cancelled = true;
        return;
    }
    if (exchange->conn != NULL) {
        conn_free(exchange->conn);
    }
    exchange_free(exchange);
}

/* Reads no more of the response until exchange_resume.  What one read has
 * brought is still passed to on_body.  The peer's kernel goes on to answer
 * keep-alive probes, so a peer that is gone is still detected. */
void
exchange_pause(exchange_t *exchange)
{
    if (exchange->conn != NULL) {
        (void)bufferevent_disable(exchange->conn->bev, EV_READ);
    }
}

/* Reads on after exchange_pause. */
void
exchange_resume(exchange_t *exchange)
{
    if (exchange->conn != NULL) {
        (void)bufferevent_enable(exchange->conn->bev, EV_READ);
    }
}

/* To be called by on_head or on_body if the response is of no use: the
 * exchange ends as stopped after the hook and closes its connection. */
void
exchange_stop(exchange_t *exchange)
{
    exchange->stopped = true;
}

/* Whether the exchange uses a connection that was open before. */
bool
exchange_is_reused(const exchange_t *exchange)
{
    return exchange->reused;
}

/* Returns the state of the connection when the exchange began. */
const exchange_connection_t *
exchange_connection(const exchange_t *exchange)
{
    return &exchange->connection;
}

/* Returns when the connection of the exchange was made, or 0 if it was not. */
int64_t
exchange_opened_us(const exchange_t *exchange)
{
    return exchange->conn != NULL ? exchange->conn->opened_us : 0;
}

/* Returns when the request was sent: not before its connection was made.  0 if
 * it was not. */
int64_t
exchange_sent_us(const exchange_t *exchange)
{
    return exchange->sent_us;
}

bool
exchange_has_sent(const exchange_t *exchange)
{
    return exchange->sent;
}
