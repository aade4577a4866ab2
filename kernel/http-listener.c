#include "http-listener.h"

#include <ck_queue.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that wait to be accepted: a herd of callers that comes back at
 * once must not be dropped, since a dropped opening is sent again only after
 * a second. */
#define DOOR_BACKLOG 4096
/* What a caller may send ahead of its turn, bytes.  Reading then stops. */
#define READ_AHEAD_MAX 262144
/* A connection that is closed behind an error takes what the caller still
 * sends for so long, ms: closing at once would reset it, and the caller could
 * lose the answer. */
#define LINGER_MS 1000
/* A caller that takes nothing of what is written to it for so long is gone, s:
 * twice the longest deadline that callers set. */
#define UNREAD_S 30

typedef enum {
    CALLER_IDLE,    /* between requests */
    CALLER_READING, /* a request has begun to arrive */
    CALLER_WAITING, /* its answer is being made */
    CALLER_CLOSING  /* the answer leaves, then the connection closes */
} caller_state_t;

struct caller {
    CK_LIST_ENTRY(caller) entry;
    http_listener_t *door;
    struct bufferevent *bev;
    http_reader_t reader;
    buf_t body;
    void *owner; /* of the request that is being answered */
    caller_state_t state;
    bool last;     /* close behind this answer */
    bool too_long; /* the body is over the limit */
    bool in_step;  /* caller_step runs; it goes on by itself */
    struct event *timer;
};

typedef CK_LIST_HEAD(caller_list, caller) caller_list_t;

struct http_listener {
    struct event_base *base;
    struct evconnlistener *listener; /* NULL once it takes no one in */
    http_listener_hooks_t hooks;
    size_t callers_max;
    caller_list_t callers;
    size_t caller_count; /* read by other threads too */
    bool leaving;        /* each answer is the last of its connection */
};

static void caller_step(caller_t *caller);

static http_limits_t
limits_of(const http_listener_t *door)
{
    return door->hooks.limits(door->hooks.arg);
}

static void
caller_free(caller_t *caller)
{
    http_listener_t *door = caller->door;
    if (caller->owner != NULL) {
        door->hooks.on_disconnect(caller->owner);
    }
    CK_LIST_REMOVE(caller, entry);
    __atomic_sub_fetch(&door->caller_count, 1, __ATOMIC_RELAXED);
    event_free(caller->timer);
    bufferevent_free(caller->bev);
    http_reader_free(&caller->reader);
    buf_free(&caller->body);
    free(caller);
}

static void
caller_timer(caller_t *caller, int64_t ms)
{
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    (void)event_add(caller->timer, &after);
}

/* A head that does not end, or a caller that stays idle, holds a connection
 * for nothing.  One that still takes its last answer is not idle: closed at
 * that moment it would get a part of it. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    caller_t *caller = arg;
    (void)fd;
    (void)what;
    if (caller->state == CALLER_READING) {
        caller->last = true;
        caller_answer(caller, 408, NULL, "", 0);
        return;
    }
    if (caller_unsent_bytes(caller) > 0) {
        int64_t idle_ms = limits_of(caller->door).idle_ms;
        caller_timer(caller, idle_ms > 0 ? idle_ms : LINGER_MS);
        return;
    }
    caller_free(caller);
}

static void
on_body(void *arg, const char *data, size_t len)
{
    caller_t *caller = arg;
    http_limits_t limits = limits_of(caller->door);
    if (caller->body.len + len > (size_t)limits.body_bytes) {
        caller->too_long = true;
        return;
    }
    buf_add(&caller->body, data, len);
}

static void
answer_unreadable(caller_t *caller, int status, const char *why)
{
    const http_listener_hooks_t *hooks = &caller->door->hooks;
    log_info("door", "A request was answered %d: %s.", status, why);
    caller->last = true;
    if (hooks->on_bad_request != NULL) {
        hooks->on_bad_request(hooks->arg, caller, status, why);
        return;
    }
    caller_answer(caller, status, NULL, "", 0);
}

static void
answer_too_long(caller_t *caller)
{
    answer_unreadable(caller, 413, "the body is longer than the limit");
}

/* Whether the length that a head names is over the limit: it is told before
 * the body has come. */
static bool
length_over(const caller_t *caller, size_t max)
{
    uint64_t length = caller->reader.parser.content_length;
    return length != UINT64_MAX && length > max;
}

static void
on_head(caller_t *caller)
{
    const http_head_t *head = &caller->reader.head;
    http_limits_t limits = limits_of(caller->door);
    caller->last = !head->keep_alive;
    if (caller->reader.state == READER_BODY &&
        length_over(caller, (size_t)limits.body_bytes)) {
        answer_too_long(caller);
        return;
    }
    if (http_head_find(head, "Expect") != NULL) {
        static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
        (void)bufferevent_write(caller->bev, go_on, sizeof(go_on) - 1);
    }
}

static void
hand_over(caller_t *caller)
{
    const http_listener_hooks_t *hooks = &caller->door->hooks;
    caller->state = CALLER_WAITING;
    (void)event_del(caller->timer);
    hooks->on_request(hooks->arg, caller, &caller->reader.head, &caller->body);
}

/* Read on as far as a whole request; false once nothing more can be done. */
static bool
read_on(caller_t *caller)
{
    struct evbuffer *in = bufferevent_get_input(caller->bev);
    reader_state_t before = caller->reader.state;
    if (before == READER_HEAD && evbuffer_get_length(in) == 0) {
        return false;
    }
    if (caller->state == CALLER_IDLE) {
        caller->state = CALLER_READING;
        caller_timer(caller, limits_of(caller->door).head_ms);
    }
    reader_state_t state = http_reader_feed(&caller->reader, in);
    if (state == READER_INVALID) {
        answer_unreadable(caller, caller->reader.status,
                          caller->reader.reason);
        return false;
    }
    if (before == READER_HEAD && state != READER_HEAD) {
        on_head(caller);
    }
    if (caller->state != CALLER_READING) {
        return false;
    }
    if (caller->too_long) {
        answer_too_long(caller);
        return false;
    }
    if (state == READER_COMPLETE) {
        hand_over(caller);
        return false;
    }
    if (state == READER_BODY) {
        caller_timer(caller, limits_of(caller->door).idle_ms);
    }
    return state == READER_BODY && evbuffer_get_length(in) > 0;
}

/* Serve what has come.  An answer that is made at once lets the next request
 * begin, which is done in this loop rather than from within the answer. */
static void
caller_step(caller_t *caller)
{
    if (caller->in_step) {
        return;
    }
    caller->in_step = true;
    struct evbuffer *in = bufferevent_get_input(caller->bev);
    while (caller->state == CALLER_IDLE || caller->state == CALLER_READING) {
        bool more = read_on(caller);
        bool next =
            caller->state == CALLER_IDLE && evbuffer_get_length(in) > 0;
        if (!more && !next) {
            break;
        }
    }
    caller->in_step = false;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    caller_t *caller = arg;
    if (caller->state == CALLER_CLOSING) {
        struct evbuffer *in = bufferevent_get_input(bev);
        (void)evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    caller_step(caller);
}

/* All that was written has left: a closing connection ends its side, and
 * then waits a moment for the caller's. */
static void
on_written(struct bufferevent *bev, void *arg)
{
    caller_t *caller = arg;
    const http_listener_hooks_t *hooks = &caller->door->hooks;
    if (caller->state == CALLER_CLOSING) {
        (void)shutdown(bufferevent_getfd(bev), SHUT_WR);
        return;
    }
    if (caller->owner != NULL && hooks->on_flushed != NULL) {
        hooks->on_flushed(caller->owner);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
        caller_free(arg);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *arg)
{
    static const struct timeval unread = {UNREAD_S, 0};
    http_listener_t *door = arg;
    int on = 1;
    (void)listener;
    (void)from;
    (void)len;
    if (door->callers_max > 0 && door->caller_count >= door->callers_max) {
        log_warn("door", "A connection was closed: %zu are open.",
                 door->caller_count);
        (void)close(fd);
        return;
    }
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    http_limits_t limits = limits_of(door);
    caller_t *caller = mem_zalloc(sizeof(*caller));
    caller->door = door;
    caller->bev =
        bufferevent_socket_new(door->base, fd, BEV_OPT_CLOSE_ON_FREE);
    caller->timer = evtimer_new(door->base, on_timer, caller);
    http_reader_init(&caller->reader, false, (size_t)limits.head_bytes,
                     on_body, caller);
    bufferevent_setcb(caller->bev, on_read, on_written, on_event, caller);
    bufferevent_setwatermark(caller->bev, EV_READ, 0, READ_AHEAD_MAX);
    (void)bufferevent_set_timeouts(caller->bev, NULL, &unread);
    CK_LIST_INSERT_HEAD(&door->callers, caller, entry);
    __atomic_add_fetch(&door->caller_count, 1, __ATOMIC_RELAXED);
    caller_timer(caller, limits.idle_ms);
    (void)bufferevent_enable(caller->bev, EV_READ | EV_WRITE);
}

/* A socket that listens at an address of this host, or -1. */
evutil_socket_t
http_listen(const char *addr, err_t *err)
{
    struct sockaddr_in at;
    int len = (int)sizeof(at);
    int on = 1;
    if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&at, &len) != 0 ||
        at.sin_family != AF_INET) {
        (void)err_set(err, ERR_HTTP, 1, "%s is no IPV4:PORT", addr);
        return -1;
    }
    evutil_socket_t fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0) {
        (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(fd, DOOR_BACKLOG) != 0) {
        (void)err_set(err, ERR_HTTP, 1, "cannot listen at %s: %s", addr,
                      strerror(errno));
        if (fd >= 0) {
            (void)close(fd);
        }
        return -1;
    }
    return fd;
}

/* Serve callers that come to a listening socket. */
http_listener_t *
http_listener_open(struct event_base *base, const http_listener_opts_t *ask)
{
    http_listener_t *door = mem_zalloc(sizeof(*door));
    door->base = base;
    door->hooks = ask->hooks;
    door->callers_max = ask->connections_max;
    CK_LIST_INIT(&door->callers);
    door->listener = evconnlistener_new(
        base, on_accept, door, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
        0, ask->fd);
    return door;
}

/* From now on each answer is the last of its connection. */
void
http_listener_drain(http_listener_t *door)
{
    door->leaving = true;
}

/* Take no new connection; those that are open are served on.  A caller that
 * comes now is refused by the host itself, so nothing of its request has run.
 */
void
http_listener_stop_accepting(http_listener_t *door)
{
    if (door->listener != NULL) {
        evconnlistener_free(door->listener);
        door->listener = NULL;
    }
}

/* Nothing has come that is not served and nothing is left to leave.  The end
 * of an answer may still wait to be written when its connection is idle
 * again; closing then would cut the answer. */
static bool
is_quiet(const caller_t *caller)
{
    return caller->state == CALLER_IDLE &&
           evbuffer_get_length(bufferevent_get_input(caller->bev)) == 0 &&
           evbuffer_get_length(bufferevent_get_output(caller->bev)) == 0;
}

/* Take no new connection, and close those between two requests.  Called again
 * until all are closed. */
void
http_listener_close_idle(http_listener_t *door)
{
    caller_t *caller;
    caller_t *next;
    http_listener_stop_accepting(door);
    CK_LIST_FOREACH_SAFE (caller, &door->callers, entry, next) {
        if (is_quiet(caller)) {
            caller_free(caller);
        }
    }
}

/* Cut what is still open and free the door. */
void
http_listener_free(http_listener_t *door)
{
    caller_t *caller;
    http_listener_stop_accepting(door);
    while ((caller = CK_LIST_FIRST(&door->callers)) != NULL) {
        caller_free(caller);
    }
    free(door);
}

/* Connections that are open now; from any thread. */
size_t
http_listener_connections(const http_listener_t *door)
{
    return __atomic_load_n(&door->caller_count, __ATOMIC_RELAXED);
}

static void
write_head(caller_t *caller, int status, const buf_t *headers,
           const char *framing)
{
    struct evbuffer *out = bufferevent_get_output(caller->bev);
    if (caller->door->leaving) {
        caller->last = true;
    }
    (void)evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                              http_status_str((enum http_status)status));
    if (headers != NULL) {
        (void)evbuffer_add(out, headers->data, headers->len);
    }
    (void)evbuffer_add_printf(
        out, "%s%s\r\n", caller->last ? "Connection: close\r\n" : "", framing);
}

/* End the connection once all has left. */
static void
caller_close(caller_t *caller)
{
    caller->state = CALLER_CLOSING;
    caller_timer(caller, LINGER_MS);
    if (evbuffer_get_length(bufferevent_get_output(caller->bev)) == 0) {
        (void)shutdown(bufferevent_getfd(caller->bev), SHUT_WR);
    }
}

/* The answer is complete: the connection waits for the next request, or
 * closes. */
static void
caller_done(caller_t *caller)
{
    caller->owner = NULL;
    caller->body.len = 0;
    caller->too_long = false;
    if (caller->last) {
        caller_close(caller);
        return;
    }
    http_reader_next(&caller->reader);
    caller->state = CALLER_IDLE;
    caller_timer(caller, limits_of(caller->door).idle_ms);
    caller_step(caller);
}

/* Answer whole; headers are lines that end by CRLF each, or NULL. */
void
caller_answer(caller_t *caller, int status, const buf_t *headers,
              const char *body, size_t len)
{
    char framing[64];
    bool bodiless = status == 204 || status == 304 || status < 200;
    bool head_only = caller->reader.head.method == HTTP_HEAD;
    (void)snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", len);
    write_head(caller, status, headers, bodiless ? "" : framing);
    if (!bodiless && !head_only && len > 0) {
        (void)bufferevent_write(caller->bev, body, len);
    }
    caller_done(caller);
}

/* Begin an answer whose length is not known yet. */
void
caller_stream_begin(caller_t *caller, int status, const buf_t *headers)
{
    write_head(caller, status, headers, "Transfer-Encoding: chunked\r\n");
}

void
caller_stream_data(caller_t *caller, const char *data, size_t len)
{
    struct evbuffer *out = bufferevent_get_output(caller->bev);
    if (len == 0) {
        return;
    }
    (void)evbuffer_add_printf(out, "%zx\r\n", len);
    (void)evbuffer_add(out, data, len);
    (void)evbuffer_add(out, "\r\n", 2);
}

void
caller_stream_end(caller_t *caller)
{
    (void)bufferevent_write(caller->bev, "0\r\n\r\n", 5);
    caller_done(caller);
}

/* End an answer that cannot be made whole: the connection closes without the
 * last chunk, so that it does not look complete. */
void
caller_abort(caller_t *caller)
{
    caller->owner = NULL;
    caller->last = true;
    caller_close(caller);
}

/* What the connection answers now; its owner is told when the caller leaves.
 */
void
caller_set_owner(caller_t *caller, void *owner)
{
    caller->owner = owner;
}

/* Bytes that were written and have not left. */
size_t
caller_unsent_bytes(const caller_t *caller)
{
    return evbuffer_get_length(bufferevent_get_output(caller->bev));
}
