#include "soak.h"

#include <arpa/inet.h>
#include <ck_queue.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* How much later bytes come over a slow link, ms. */
#define SLOW_MS 120

/* One connection through the proxy. */
typedef struct pair {
    CK_LIST_ENTRY(pair) entry;
    proxy_t *proxy;
    struct bufferevent *near; /* whoever connected */
    struct bufferevent *far;  /* the target */
    struct event *timer;
    bool near_ended;
    bool far_ended;
    bool stalled; /* silent for good, while new connections work */
} pair_t;

typedef CK_LIST_HEAD(pairs, pair) pairs_t;

struct proxy {
    struct event_base *base;
    struct evconnlistener *listener;
    struct sockaddr_in target;
    link_state_t state;
    pairs_t pairs;
};

static void
pair_free(pair_t *pair)
{
    CK_LIST_REMOVE(pair, entry);
    event_free(pair->timer);
    bufferevent_free(pair->near);
    bufferevent_free(pair->far);
    free(pair);
}

static bool
passes(const pair_t *pair, bool up)
{
    link_state_t state = pair->proxy->state;
    if (pair->stalled || state == LINK_SILENT) {
        return false;
    }
    return state != (up ? LINK_MUTE_UP : LINK_MUTE_DOWN);
}

static void
pass(struct bufferevent *from, struct bufferevent *to)
{
    (void)evbuffer_add_buffer(bufferevent_get_output(to),
                              bufferevent_get_input(from));
}

/* Whether all that a side sent before its end has left at the other. */
static bool
is_over(struct bufferevent *from, struct bufferevent *to, bool ended)
{
    return ended && evbuffer_get_length(bufferevent_get_input(from)) == 0 &&
           evbuffer_get_length(bufferevent_get_output(to)) == 0;
}

/* Pass on what the link lets through; the pair may be gone behind it. */
static void
pair_pump(pair_t *pair)
{
    bool up = passes(pair, true);
    bool down = passes(pair, false);
    if (up) {
        pass(pair->near, pair->far);
    }
    if (down) {
        pass(pair->far, pair->near);
    }
    if ((up && is_over(pair->near, pair->far, pair->near_ended)) ||
        (down && is_over(pair->far, pair->near, pair->far_ended))) {
        pair_free(pair);
    }
}

static void
on_due(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    pair_pump(arg);
}

static void
pair_step(pair_t *pair)
{
    static const struct timeval late = {0, SLOW_MS * 1000};
    if (pair->proxy->state != LINK_SLOW) {
        pair_pump(pair);
    }
    else if (!event_pending(pair->timer, EV_TIMEOUT, NULL)) {
        (void)event_add(pair->timer, &late);
    }
}

static void
on_moved(struct bufferevent *bev, void *arg)
{
    (void)bev;
    pair_step(arg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    pair_t *pair = arg;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (bev == pair->near) {
        pair->near_ended = true;
    }
    else {
        pair->far_ended = true;
    }
    if ((what & BEV_EVENT_ERROR) != 0 && !pair->stalled &&
        pair->proxy->state != LINK_SILENT) {
        pair_free(pair);
        return;
    }
    pair_step(pair);
}

static void
reset(evutil_socket_t fd)
{
    struct linger now = {1, 0};
    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
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
    if (proxy->state == LINK_REFUSING) {
        reset(fd);
        (void)close(fd);
        return;
    }
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    pair_t *pair = mem_zalloc(sizeof(*pair));
    pair->proxy = proxy;
    pair->timer = evtimer_new(proxy->base, on_due, pair);
    pair->near =
        bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
    pair->far = bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
    CK_LIST_INSERT_HEAD(&proxy->pairs, pair, entry);
    bufferevent_setcb(pair->near, on_moved, on_moved, on_event, pair);
    bufferevent_setcb(pair->far, on_moved, on_moved, on_event, pair);
    (void)bufferevent_enable(pair->near, EV_READ | EV_WRITE);
    (void)bufferevent_enable(pair->far, EV_READ | EV_WRITE);
    (void)bufferevent_socket_connect(
        pair->far, (struct sockaddr *)&proxy->target, sizeof(proxy->target));
}

/* A link from one address of this host to another. */
proxy_t *
proxy_open(struct event_base *base, const char *listen, const char *target,
           err_t *err)
{
    proxy_t *proxy = mem_zalloc(sizeof(*proxy));
    struct sockaddr_in at;
    int len = (int)sizeof(at);
    proxy->base = base;
    CK_LIST_INIT(&proxy->pairs);
    (void)evutil_parse_sockaddr_port(target, (struct sockaddr *)&proxy->target,
                                     &len);
    len = (int)sizeof(at);
    (void)evutil_parse_sockaddr_port(listen, (struct sockaddr *)&at, &len);
    proxy->listener = evconnlistener_new_bind(
        base, on_accept, proxy,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        1024, (struct sockaddr *)&at, len);
    if (proxy->listener == NULL) {
        (void)err_set(err, ERR_HTTP, 1, "cannot listen at %s", listen);
        free(proxy);
        return NULL;
    }
    return proxy;
}

/* Change the link; what it held until now goes on if it may. */
void
proxy_set(proxy_t *proxy, link_state_t state)
{
    pair_t *pair;
    pair_t *next;
    proxy->state = state;
    CK_LIST_FOREACH_SAFE (pair, &proxy->pairs, entry, next) {
        pair_step(pair);
    }
}

/* Reset the connections that are open now. */
void
proxy_reset(proxy_t *proxy)
{
    pair_t *pair;
    pair_t *next;
    CK_LIST_FOREACH_SAFE (pair, &proxy->pairs, entry, next) {
        reset(bufferevent_getfd(pair->near));
        reset(bufferevent_getfd(pair->far));
        pair_free(pair);
    }
}

/* The connections that are open now go silent for good. */
void
proxy_stall(proxy_t *proxy)
{
    pair_t *pair;
    CK_LIST_FOREACH (pair, &proxy->pairs, entry) {
        pair->stalled = true;
    }
}
