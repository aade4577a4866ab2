#include "link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

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

/* A state that holds only for connections from one IP address. */
typedef struct {
    struct in_addr source; /* 0.0.0.0 for none */
    link_state_t state;
} link_override_t;

/* One connection through the link. */
typedef struct link_conn {
    CK_LIST_ENTRY(link_conn) entry;
    link_t *link;
    struct in_addr source;      /* the client's IP address */
    struct bufferevent *client; /* the side that connected to the link */
    struct bufferevent *target; /* the side that the link connected to */
    struct event *timer;
    bool client_ended;
    bool target_ended;
    bool stalled;  /* forwards no more data; new connections do */
    bool answered; /* the target has sent something */
} link_conn_t;

typedef CK_LIST_HEAD(link_conns, link_conn) link_conns_t;

struct link {
    struct event_base *base;
    struct evconnlistener *listener;
    struct sockaddr_in listen;
    struct sockaddr_in target;
    link_state_t state;
    link_override_t overrides[LINK_SOURCES_MAX];
    link_conns_t conns;
    char *extra_text; /* see link_extra_t; NULL for none */
    char *extra_before;
    int64_t extra_every;
    unsigned extra_requests; /* such requests so far */
    unsigned extra_count;    /* extras sent so far */
    char *rewrite_text;      /* see link_rewrite_t; NULL for none */
    char *rewrite_with;
};

/* Returns the state of the link for connections from an address. */
static link_state_t
state_for(const link_t *link, struct in_addr source)
{
    for (size_t i = 0; i < LINK_SOURCES_MAX; i++) {
        const link_override_t *override = &link->overrides[i];
        if (override->source.s_addr == source.s_addr &&
            override->state != LINK_OK) {
            return override->state;
        }
    }
    return link->state;
}

static void
conn_free(link_conn_t *conn)
{
    CK_LIST_REMOVE(conn, entry);
    event_free(conn->timer);
    bufferevent_free(conn->client);
    bufferevent_free(conn->target);
    free(conn);
}

static bool
can_forward(const link_conn_t *conn, bool to_target)
{
    link_state_t state = state_for(conn->link, conn->source);
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

/* Sends the extra bytes if what the client sends is a request whose answer
 * they precede. */
static void
insert_extra(link_conn_t *conn)
{
    link_t *link = conn->link;
    struct evbuffer *in = bufferevent_get_input(conn->client);
    char begin[256];
    if (link->extra_text == NULL || !conn->answered) {
        return;
    }
    ev_ssize_t len = evbuffer_copyout(in, begin, sizeof(begin));
    size_t wanted = strlen(link->extra_before);
    if (len < (ev_ssize_t)wanted || wanted > sizeof(begin) ||
        memcmp(begin, link->extra_before, wanted) != 0 ||
        link->extra_requests++ % (unsigned)link->extra_every != 0) {
        return;
    }
    link->extra_count++;
    (void)bufferevent_write(conn->client, link->extra_text,
                            strlen(link->extra_text));
}

/* Moves bytes to the client and replaces the text where it first occurs in
 * them: targets write a head in one piece. */
static void
move_rewritten(link_conn_t *conn)
{
    const link_t *link = conn->link;
    struct evbuffer *in = bufferevent_get_input(conn->target);
    struct evbuffer *out = bufferevent_get_output(conn->client);
    struct evbuffer_ptr found = evbuffer_search(
        in, link->rewrite_text, strlen(link->rewrite_text), NULL);
    if (found.pos >= 0) {
        (void)evbuffer_remove_buffer(in, out, (size_t)found.pos);
        (void)evbuffer_drain(in, strlen(link->rewrite_text));
        (void)evbuffer_add(out, link->rewrite_with,
                           strlen(link->rewrite_with));
    }
    move_bytes(conn->target, conn->client);
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
conn_forward(link_conn_t *conn)
{
    bool to_target = can_forward(conn, true);
    bool from_target = can_forward(conn, false);
    if (to_target) {
        insert_extra(conn);
        move_bytes(conn->client, conn->target);
    }
    if (from_target) {
        conn->answered =
            conn->answered ||
            evbuffer_get_length(bufferevent_get_input(conn->target)) > 0;
        if (conn->link->rewrite_text != NULL) {
            move_rewritten(conn);
        }
        else {
            move_bytes(conn->target, conn->client);
        }
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
conn_process(link_conn_t *conn)
{
    static const struct timeval delay = {0, DELAY_MS * 1000};
    if (state_for(conn->link, conn->source) != LINK_DELAYED) {
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

/* Makes the close of a socket send a reset. */
static void
reset_on_close(evutil_socket_t fd)
{
    struct linger reset = {1, 0};
    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    link_conn_t *conn = arg;
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
        state_for(conn->link, conn->source) != LINK_HOLD_BOTH) {
        /* The other side must not take it for an orderly end. */
        reset_on_close(bufferevent_getfd(conn->client));
        reset_on_close(bufferevent_getfd(conn->target));
        conn_free(conn);
        return;
    }
    conn_process(conn);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *arg)
{
    link_t *link = arg;
    int on = 1;
    struct in_addr source = ((const struct sockaddr_in *)from)->sin_addr;
    (void)listener;
    (void)len;
    if (state_for(link, source) == LINK_RESET_NEW) {
        reset_on_close(fd);
        (void)close(fd);
        return;
    }
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    link_conn_t *conn = mem_zalloc(sizeof(*conn));
    conn->link = link;
    conn->source = source;
    conn->timer = evtimer_new(link->base, on_delay_over, conn);
    conn->client =
        bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
    conn->target =
        bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);
    CK_LIST_INSERT_HEAD(&link->conns, conn, entry);
    bufferevent_setcb(conn->client, on_data, on_data, on_event, conn);
    bufferevent_setcb(conn->target, on_data, on_data, on_event, conn);
    (void)bufferevent_enable(conn->client, EV_READ | EV_WRITE);
    (void)bufferevent_enable(conn->target, EV_READ | EV_WRITE);
    (void)bufferevent_socket_connect(
        conn->target, (struct sockaddr *)&link->target, sizeof(link->target));
}

static int
start_listening(link_t *link)
{
    link->listener = evconnlistener_new_bind(
        link->base, on_accept, link,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        1024, (struct sockaddr *)&link->listen, (int)sizeof(link->listen));
    return link->listener == NULL ? -1 : 0;
}

/* Opens a link from a listening address to a target address. */
link_t *
link_open(struct event_base *base, const char *listen, const char *target,
          err_t *err)
{
    link_t *link = mem_zalloc(sizeof(*link));
    int len = (int)sizeof(link->listen);
    link->base = base;
    CK_LIST_INIT(&link->conns);
    (void)evutil_parse_sockaddr_port(target, (struct sockaddr *)&link->target,
                                     &len);
    len = (int)sizeof(link->listen);
    (void)evutil_parse_sockaddr_port(listen, (struct sockaddr *)&link->listen,
                                     &len);
    if (start_listening(link) != 0) {
        (void)err_set(err, ERR_HTTP, 1, "cannot listen at %s", listen);
        free(link);
        return NULL;
    }
    return link;
}

/* Stops or resumes listening; open connections live on.  Without a listener
 * the kernel refuses a connection before its client can send a request, which
 * a connection that is reset after it was accepted does not ensure. */
int
link_set_listening(link_t *link, bool listening)
{
    if (listening && link->listener == NULL) {
        return start_listening(link);
    }
    if (!listening && link->listener != NULL) {
        evconnlistener_free(link->listener);
        link->listener = NULL;
    }
    return 0;
}

/* Sets the state of the link; bytes held back so far are forwarded if the new
 * state allows it. */
void
link_set_state(link_t *link, link_state_t state)
{
    link_conn_t *conn;
    link_conn_t *next;
    link->state = state;
    CK_LIST_FOREACH_SAFE (conn, &link->conns, entry, next) {
        conn_process(conn);
    }
}

/* Sets the state for connections from one IP address; LINK_OK makes them
 * like all others again. */
void
link_set_source_state(link_t *link, struct in_addr source, link_state_t state)
{
    link_override_t *slot = &link->overrides[0];
    link_conn_t *conn;
    link_conn_t *next;
    for (size_t i = 0; i < LINK_SOURCES_MAX; i++) {
        if (link->overrides[i].source.s_addr == source.s_addr) {
            slot = &link->overrides[i];
            break;
        }
        if (slot->source.s_addr != 0) {
            slot = &link->overrides[i];
        }
    }
    *slot = (link_override_t){source, state};
    CK_LIST_FOREACH_SAFE (conn, &link->conns, entry, next) {
        conn_process(conn);
    }
}

/* Resets the open connections from one IP address; new ones work. */
void
link_reset_source(link_t *link, struct in_addr source)
{
    link_conn_t *conn;
    link_conn_t *next;
    CK_LIST_FOREACH_SAFE (conn, &link->conns, entry, next) {
        if (conn->source.s_addr == source.s_addr) {
            reset_on_close(bufferevent_getfd(conn->client));
            reset_on_close(bufferevent_getfd(conn->target));
            conn_free(conn);
        }
    }
}

/* Resets all open connections; new ones work. */
void
link_reset(link_t *link)
{
    link_conn_t *conn;
    link_conn_t *next;
    CK_LIST_FOREACH_SAFE (conn, &link->conns, entry, next) {
        reset_on_close(bufferevent_getfd(conn->client));
        reset_on_close(bufferevent_getfd(conn->target));
        conn_free(conn);
    }
}

/* Stops forwarding on all open connections until they close; new ones work. */
void
link_stall(link_t *link)
{
    link_conn_t *conn;
    CK_LIST_FOREACH (conn, &link->conns, entry) {
        conn->stalled = true;
    }
}

/* Sets the extra bytes of the link. */
void
link_set_extra(link_t *link, const link_extra_t *extra)
{
    free(link->extra_text);
    free(link->extra_before);
    link->extra_text = extra->text[0] != '\0' ? strdup(extra->text) : NULL;
    link->extra_before = strdup(extra->before);
    link->extra_every = extra->every > 0 ? extra->every : 1;
}

/* Sets what the link replaces. */
void
link_set_rewrite(link_t *link, const link_rewrite_t *rewrite)
{
    free(link->rewrite_text);
    free(link->rewrite_with);
    link->rewrite_text =
        rewrite->text[0] != '\0' ? strdup(rewrite->text) : NULL;
    link->rewrite_with = strdup(rewrite->with);
}

/* Returns how often extra bytes were sent. */
unsigned
link_extra_count(const link_t *link)
{
    return link->extra_count;
}
