#include "soak.h"

#include <arpa/inet.h>
#include <ck_queue.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Delay of bytes over a delayed link. */
#define DELAY_MS 120

/* One connection through the proxy. */
typedef struct proxy_conn {
    CK_LIST_ENTRY(proxy_conn) entry;
    proxy_t *proxy;
    struct bufferevent *client; /* the side that connected to the proxy */
    struct bufferevent *target; /* the side that the proxy connected to */
    struct event *timer;
    bool client_ended;
    bool target_ended;
    bool stalled; /* forwards no more data; new connections do */
} proxy_conn_t;

typedef CK_LIST_HEAD(proxy_conns, proxy_conn) proxy_conns_t;

struct proxy {
    struct event_base *base;
    struct evconnlistener *listener;
    struct sockaddr_in target;
    link_state_t state;
    proxy_conns_t conns;
};

static void
conn_free(proxy_conn_t *conn)
{
    CK_LIST_REMOVE(conn, entry);
    event_free(conn->timer);
    bufferevent_free(conn->client);
    bufferevent_free(conn->target);
    free(conn);
}

static bool
can_forward(const proxy_conn_t *conn, bool to_target)
{
    link_state_t state = conn->proxy->state;
    if (conn->stalled || state == LINK_HOLD_BOTH) {
        return false;
    }
    return state != (to_target ? LINK_HOLD_TO_TARGET : LINK_HOLD_FROM_TARGET);
}

static void
move_bytes(struct bufferevent *from, struct bufferevent *to)
{
    (void)evbuffer_add_buffer(bufferevent_get_output(to),
                              bufferevent_get_input(from));
}

/* Returns whether one side has ended and all its bytes were written to the
 * other side. */
static bool
is_drained(struct bufferevent *from, struct bufferevent *to, bool ended)
{
    return ended && evbuffer_get_length(bufferevent_get_input(from)) == 0 &&
           evbuffer_get_length(bufferevent_get_output(to)) == 0;
}

/* Forwards the bytes that the link lets through.  May free the connection. */
static void
conn_forward(proxy_conn_t *conn)
{
    bool to_target = can_forward(conn, true);
    bool from_target = can_forward(conn, false);
    if (to_target) {
        move_bytes(conn->client, conn->target);
    }
    if (from_target) {
        move_bytes(conn->target, conn->client);
    }
    if ((to_target &&
         is_drained(conn->client, conn->target, conn->client_ended)) ||
        (from_target &&
         is_drained(conn->target, conn->client, conn->target_ended))) {
        conn_free(conn);
    }
}

static void
on_delay_over(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    conn_forward(arg);
}

static void
conn_process(proxy_conn_t *conn)
{
    static const struct timeval delay = {0, DELAY_MS * 1000};
    if (conn->proxy->state != LINK_DELAYED) {
        conn_forward(conn);
    }
    else if (!event_pending(conn->timer, EV_TIMEOUT, NULL)) {
        (void)event_add(conn->timer, &delay);
    }
}

static void
on_data(struct bufferevent *bev, void *arg)
{
    (void)bev;
    conn_process(arg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    proxy_conn_t *conn = arg;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (bev == conn->client) {
        conn->client_ended = true;
    }
    else {
        conn->target_ended = true;
    }
    if ((what & BEV_EVENT_ERROR) != 0 && !conn->stalled &&
        conn->proxy->state != LINK_HOLD_BOTH) {
        conn_free(conn);
        return;
    }
    conn_process(conn);
}

/* Makes the close of a socket send a reset. */
static void
reset_on_close(evutil_socket_t fd)
{
    struct linger reset = {1, 0};
    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *arg)
{
    proxy_t *proxy = arg;
    int on = 1;
    (void)listener;
    (void)from;
    (void)len;
    if (proxy->state == LINK_RESET_NEW) {
        reset_on_close(fd);
        (void)close(fd);
        return;
    }
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    proxy_conn_t *conn = mem_zalloc(sizeof(*conn));
    conn->proxy = proxy;
    conn->timer = evtimer_new(proxy->base, on_delay_over, conn);
    conn->client =
        bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
    conn->target =
        bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
    CK_LIST_INSERT_HEAD(&proxy->conns, conn, entry);
    bufferevent_setcb(conn->client, on_data, on_data, on_event, conn);
    bufferevent_setcb(conn->target, on_data, on_data, on_event, conn);
    (void)bufferevent_enable(conn->client, EV_READ | EV_WRITE);
    (void)bufferevent_enable(conn->target, EV_READ | EV_WRITE);
    (void)bufferevent_socket_connect(conn->target,
                                     (struct sockaddr *)&proxy->target,
                                     sizeof(proxy->target));
}

/* Opens a link from a listening address to a target address. */
proxy_t *
proxy_open(struct event_base *base, const char *listen, const char *target,
           err_t *err)
{
    proxy_t *proxy = mem_zalloc(sizeof(*proxy));
    struct sockaddr_in listen_addr;
    int len = (int)sizeof(listen_addr);
    proxy->base = base;
    CK_LIST_INIT(&proxy->conns);
    (void)evutil_parse_sockaddr_port(target, (struct sockaddr *)&proxy->target,
                                     &len);
    len = (int)sizeof(listen_addr);
    (void)evutil_parse_sockaddr_port(listen, (struct sockaddr *)&listen_addr,
                                     &len);
    proxy->listener = evconnlistener_new_bind(
        base, on_accept, proxy,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        1024, (struct sockaddr *)&listen_addr, len);
    if (proxy->listener == NULL) {
        (void)err_set(err, ERR_HTTP, 1, "cannot listen at %s", listen);
        free(proxy);
        return NULL;
    }
    return proxy;
}

/* Sets the state of the link; bytes held back so far are forwarded if the new
 * state allows it. */
void
proxy_set_state(proxy_t *proxy, link_state_t state)
{
    proxy_conn_t *conn;
    proxy_conn_t *next;
    proxy->state = state;
    CK_LIST_FOREACH_SAFE (conn, &proxy->conns, entry, next) {
        conn_process(conn);
    }
}

/* Resets all open connections; new ones work. */
void
proxy_reset(proxy_t *proxy)
{
    proxy_conn_t *conn;
    proxy_conn_t *next;
    CK_LIST_FOREACH_SAFE (conn, &proxy->conns, entry, next) {
        reset_on_close(bufferevent_getfd(conn->client));
        reset_on_close(bufferevent_getfd(conn->target));
        conn_free(conn);
    }
}

/* Stops forwarding on all open connections until they close; new ones work. */
void
proxy_stall(proxy_t *proxy)
{
    proxy_conn_t *conn;
    CK_LIST_FOREACH (conn, &proxy->conns, entry) {
        conn->stalled = true;
    }
}
