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

/* Bytes buffered from a caller before reading from its socket pauses. */
#define READ_AHEAD_MAX 262144
/* A connection that is closed after a response keeps reading and discarding
 * input for this long.  Closing at once could reset the connection, and the
 * caller could lose the response. */
#define LINGER_MS 1000
/* A connection whose output makes no progress for this long is closed: twice
 * the longest deadline that callers are expected to set. */
#define WRITE_TIMEOUT_S 30

/* Memory of a body that a connection keeps for its next request. */
#define BODY_KEPT_BYTES 65536
/* A long body is buffered in pieces of this size. */
#define BODY_PIECE_BYTES 65536
/* In this time some of the other requests end. */
#define NO_ROOM_RETRY_AFTER_S "0.3"
/* Time in which the event loop reads input that has arrived. */
#define UNREAD_INPUT_MS 1
/* No connection is accepted for this long when there is no room or descriptor
 * for one; the system queues them meanwhile. */
#define ACCEPT_PAUSE_MS 20
/* When there are too many connections, this fraction of the maximum is closed
 * at once, if so many have waited for a request for some time.  The same
 * fraction is kept free of requests that run. */
#define ROOM_FRACTION 8
#define ROOM_WAITED_MS 50
#define ROOM_LOG_INTERVAL_MS 1000

typedef enum {
    CALLER_IDLE,    /* between requests */
    CALLER_READING, /* part of a request has been received */
    CALLER_WAITING, /* handed over, the response is not complete */
    CALLER_CLOSING  /* the output is written, then the connection closes */
} caller_state_t;

struct caller {
    CK_LIST_ENTRY(caller) entry;
    http_listener_t *listener;
    struct bufferevent *bev;
    http_reader_t reader;
    buf_t body;
    void *owner;    /* of the current request, passed to the hooks */
    void *attached; /* see caller_attach */
    caller_state_t state;
    bool close_after;   /* close the connection after this response */
    bool body_too_long; /* the body exceeds its limit */
    bool no_room;       /* the bodies of all callers exceed theirs */
    bool in_step;       /* caller_step is running; prevents recursion */
    bool running;       /* a request was handed over and has not ended */
    struct event *timer;
    int64_t timer_armed_ms;
};

typedef CK_LIST_HEAD(caller_list, caller) caller_list_t;

struct http_listener {
    struct event_base *base;
    struct evconnlistener *acceptor; /* NULL once it has stopped accepting */
    const char *use;
    struct event *pause_timer; /* the end of a pause in accepting */
    /* Since the last record of them. */
    size_t closed_for_room;
    size_t refused_for_room;
    int64_t room_logged_ms;
    http_listener_hooks_t hooks;
    size_t connections_max;
    size_t body_bytes_max;
    size_t body_bytes; /* of all callers */
    int unsent_bytes;
    caller_list_t callers;
    size_t caller_count; /* also read by other threads */
    size_t running;      /* requests that were handed over */
    bool draining;       /* each response closes its connection */
};

static http_limits_t
limits_of(const http_listener_t *listener)
{
    return listener->hooks.limits(listener->hooks.arg);
}

/* Empties the body, and frees its memory if it was long. */
static void
drop_body(caller_t *caller)
{
    caller->listener->body_bytes -= caller->body.len;
    caller->body.len = 0;
    if (caller->body.cap > BODY_KEPT_BYTES) {
        buf_free(&caller->body);
    }
}

static void
end_request(caller_t *caller)
{
    caller->owner = NULL;
    caller->listener->running -= caller->running ? 1 : 0;
    caller->running = false;
}

static void
caller_free(caller_t *caller)
{
    http_listener_t *listener = caller->listener;
    if (caller->owner != NULL) {
        listener->hooks.on_disconnect(caller->owner);
    }
    if (listener->hooks.on_closed != NULL) {
        listener->hooks.on_closed(listener->hooks.arg, caller);
    }
    end_request(caller);
    CK_LIST_REMOVE(caller, entry);
    __atomic_sub_fetch(&listener->caller_count, 1, __ATOMIC_RELAXED);
    event_free(caller->timer);
    bufferevent_free(caller->bev);
    http_reader_free(&caller->reader);
    drop_body(caller);
    buf_free(&caller->body);
    free(caller);
}

static void
caller_arm_timer(caller_t *caller, int64_t ms)
{
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    caller->timer_armed_ms = time_mono_ms();
    (void)event_add(caller->timer, &after);
}

/* Whether bytes of the caller have arrived that are not read yet. */
static bool
has_unread_input(const caller_t *caller)
{
    char byte;
    return recv(bufferevent_getfd(caller->bev), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Returns the time left until the timeout for a request or for its next part,
 * by the limits of now: they may have grown since the timer was armed. */
static int64_t
timeout_left_ms(const caller_t *caller)
{
    http_limits_t limits = limits_of(caller->listener);
    bool in_head =
        caller->state == CALLER_READING && caller->reader.state == READER_HEAD;
    int64_t limit_ms = in_head ? limits.head_ms : limits.idle_ms;
    return caller->timer_armed_ms + limit_ms - time_mono_ms();
}

/* Waits on if the connection has not timed out yet, or if input has arrived:
 * after a delay of the event loop timers run before all input is read. */
static bool
timer_waits(caller_t *caller)
{
    int64_t left_ms = timeout_left_ms(caller);
    if (left_ms <= 0 && !has_unread_input(caller)) {
        return false;
    }
    int64_t armed_ms = caller->timer_armed_ms;
    caller_arm_timer(caller, left_ms > 0 ? left_ms : UNREAD_INPUT_MS);
    caller->timer_armed_ms = armed_ms;
    return true;
}

/* Times out a request that arrives too slowly (408) and closes an idle or
 * closing connection, which would only use up a descriptor.  A connection
 * whose output is not written yet is kept: closing it would truncate a
 * response. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    caller_t *caller = arg;
    (void)fd;
    (void)what;
    if ((caller->state == CALLER_READING || caller->state == CALLER_IDLE) &&
        timer_waits(caller)) {
        return;
    }
    if (caller->state == CALLER_READING) {
        caller->close_after = true;
        caller_answer(caller, 408, NULL, "", 0);
        return;
    }
    if (caller_unsent_bytes(caller) > 0) {
        int64_t idle_ms = limits_of(caller->listener).idle_ms;
        caller_arm_timer(caller, idle_ms > 0 ? idle_ms : LINGER_MS);
        return;
    }
    caller_free(caller);
}

/* Whether the bodies of all callers have room for more bytes of one. */
static bool
has_room(const caller_t *caller, size_t len)
{
    const http_listener_t *listener = caller->listener;
    const http_listener_hooks_t *hooks = &listener->hooks;
    size_t max =
        hooks->body_bytes_max != NULL
            ? hooks->body_bytes_max(hooks->arg, caller->body.len + len)
            : listener->body_bytes_max;
    return max == 0 || listener->body_bytes + len <= max;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    caller_t *caller = arg;
    http_limits_t limits = limits_of(caller->listener);
    if (caller->body.len + len > (size_t)limits.body_bytes) {
        caller->body_too_long = true;
        return;
    }
    if (!has_room(caller, len)) {
        caller->no_room = true;
        return;
    }
    caller->listener->body_bytes += len;
    buf_add(&caller->body, data, len);
}

static void
answer_bad_request(caller_t *caller, int status, const char *reason)
{
    const http_listener_hooks_t *hooks = &caller->listener->hooks;
    log_info("door", "Rejected a request with status %d: %s.", status, reason);
    caller->close_after = true;
    if (hooks->on_bad_request != NULL) {
        hooks->on_bad_request(hooks->arg, caller, status, reason);
        return;
    }
    caller_answer(caller, status, NULL, "", 0);
}

static void
answer_body_too_long(caller_t *caller)
{
    answer_bad_request(caller, 413, "the body is longer than the limit");
}

/* Rejects a request that has not run. */
static void
refuse_request(caller_t *caller)
{
    CLEAN_BUF buf_t headers = {0};
    buf_str(&headers, "Retry-After: " NO_ROOM_RETRY_AFTER_S "\r\n");
    caller->close_after = true;
    if (caller->listener->hooks.on_no_room != NULL) {
        caller->listener->hooks.on_no_room(caller);
        return;
    }
    caller_answer(caller, 503, &headers, "", 0);
}

/* Whether the Content-Length exceeds a limit, so that the request can be
 * rejected before its body arrives. */
static bool
length_exceeds(const caller_t *caller, size_t max)
{
    uint64_t length = caller->reader.parser.content_length;
    return length != UINT64_MAX && length > max;
}

static void
on_head(caller_t *caller)
{
    const http_head_t *head = &caller->reader.head;
    http_limits_t limits = limits_of(caller->listener);
    caller->close_after = !head->keep_alive;
    if (caller->reader.state == READER_BODY &&
        length_exceeds(caller, (size_t)limits.body_bytes)) {
        answer_body_too_long(caller);
        return;
    }
    if (http_head_find(head, "Expect") != NULL) {
        static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";
        (void)bufferevent_write(caller->bev, continue_line,
                                sizeof(continue_line) - 1);
    }
}

/* Logs the connections closed and the requests rejected at the limits, at most
 * once per interval. */
static void
log_room(http_listener_t *listener)
{
    int64_t now = time_mono_ms();
    if (listener->closed_for_room + listener->refused_for_room == 0 ||
        now - listener->room_logged_ms < ROOM_LOG_INTERVAL_MS) {
        return;
    }
    log_record(LOG_WARN, "connections", "no-room",
               "for=%s closed=%zu refused=%zu open=%zu running=%zu max=%zu",
               listener->use, listener->closed_for_room,
               listener->refused_for_room, listener->caller_count,
               listener->running, listener->connections_max);
    listener->closed_for_room = 0;
    listener->refused_for_room = 0;
    listener->room_logged_ms = now;
}

/* Whether requests run on so many connections that a further one is rejected.
 * The remaining connections are reserved for sending these rejections. */
static bool
is_at_request_limit(const http_listener_t *listener)
{
    size_t max = listener->connections_max;
    return max > 0 && listener->running >= max - max / ROOM_FRACTION;
}

static void
hand_over_request(caller_t *caller)
{
    const http_listener_hooks_t *hooks = &caller->listener->hooks;
    http_listener_t *listener = caller->listener;
    if (is_at_request_limit(listener)) {
        listener->refused_for_room++;
        log_room(listener);
        refuse_request(caller);
        return;
    }
    caller->running = true;
    listener->running++;
    caller->state = CALLER_WAITING;
    (void)event_del(caller->timer);
    hooks->on_request(hooks->arg, caller, &caller->reader.head, &caller->body);
}

/* Reads more of a request; false if there is nothing more to do now. */
static bool
read_request(caller_t *caller)
{
    struct evbuffer *in = bufferevent_get_input(caller->bev);
    reader_state_t before = caller->reader.state;
    if (caller->state == CALLER_IDLE) {
        http_reader_skip_empty_lines(in);
    }
    if (before == READER_HEAD && evbuffer_get_length(in) == 0) {
        return false;
    }
    if (caller->state == CALLER_IDLE) {
        caller->state = CALLER_READING;
        caller_arm_timer(caller, limits_of(caller->listener).head_ms);
    }
    reader_state_t state = http_reader_feed(&caller->reader, in);
    if (state == READER_INVALID) {
        answer_bad_request(caller, caller->reader.status,
                           caller->reader.reason);
        return false;
    }
    if (before == READER_HEAD && state != READER_HEAD) {
        on_head(caller);
    }
    if (caller->state != CALLER_READING) {
        return false;
    }
    if (caller->body_too_long) {
        answer_body_too_long(caller);
        return false;
    }
    if (caller->no_room) {
        log_info("door", "Rejected a request: %zu bytes of bodies are held.",
                 caller->listener->body_bytes);
        refuse_request(caller);
        return false;
    }
    if (state == READER_COMPLETE) {
        hand_over_request(caller);
        return false;
    }
    if (state == READER_BODY) {
        caller_arm_timer(caller, limits_of(caller->listener).idle_ms);
    }
    return state == READER_BODY && evbuffer_get_length(in) > 0;
}

/* Processes the buffered input.  If on_request responds before it returns, the
 * next request can begin; this loop reads it. */
static void
caller_step(caller_t *caller)
{
    if (caller->in_step) {
        return;
    }
    caller->in_step = true;
    struct evbuffer *in = bufferevent_get_input(caller->bev);
    while (caller->state == CALLER_IDLE || caller->state == CALLER_READING) {
        bool more = read_request(caller);
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

/* The output has been written: a closing connection shuts down its side and
 * waits for the caller to close. */
static void
on_written(struct bufferevent *bev, void *arg)
{
    caller_t *caller = arg;
    const http_listener_hooks_t *hooks = &caller->listener->hooks;
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

/* The output buffer of a caller has changed. */
static void
on_output(struct evbuffer *out, const struct evbuffer_cb_info *info, void *arg)
{
    caller_t *caller = arg;
    const http_listener_hooks_t *hooks = &caller->listener->hooks;
    (void)out;
    hooks->on_output(hooks->arg, caller, info->n_deleted > 0);
}

/* Whether the connection has no request, no input and no buffered output.  The
 * end of a response may still be buffered when its connection is idle again;
 * closing it then would truncate the response. */
static bool
is_idle(const caller_t *caller)
{
    return caller->state == CALLER_IDLE &&
           evbuffer_get_length(bufferevent_get_input(caller->bev)) == 0 &&
           evbuffer_get_length(bufferevent_get_output(caller->bev)) == 0 &&
           !has_unread_input(caller);
}

/* Whether closing the connection cuts off neither a request that has arrived
 * nor a response. */
static bool
is_closable(const caller_t *caller)
{
    bool in_head =
        caller->state == CALLER_READING && caller->reader.state == READER_HEAD;
    if (caller->state != CALLER_CLOSING && !in_head) {
        return is_idle(caller);
    }
    return evbuffer_get_length(bufferevent_get_output(caller->bev)) == 0 &&
           !has_unread_input(caller);
}

/* Closes up to count connections that have waited for a request for some time.
 * Returns how many. */
static size_t
close_waiting(http_listener_t *listener, size_t count, int64_t waited_ms)
{
    caller_t *caller;
    caller_t *next;
    size_t closed = 0;
    int64_t now = time_mono_ms();
    CK_LIST_FOREACH_SAFE (caller, &listener->callers, entry, next) {
        if (closed == count) {
            break;
        }
        if (now - caller->timer_armed_ms >= waited_ms && is_closable(caller)) {
            caller_free(caller);
            closed++;
        }
    }
    return closed;
}

/* Closes connections that wait for a request, first those that have waited
 * longest. */
static void
make_room(http_listener_t *listener)
{
    size_t wanted = listener->connections_max / ROOM_FRACTION + 1;
    size_t closed = 0;
    int64_t waited_ms = limits_of(listener).idle_ms;
    while (closed < wanted && waited_ms > ROOM_WAITED_MS) {
        waited_ms =
            waited_ms / 2 > ROOM_WAITED_MS ? waited_ms / 2 : ROOM_WAITED_MS;
        closed += close_waiting(listener, wanted - closed, waited_ms);
    }
    listener->closed_for_room += closed;
    log_room(listener);
}

static bool
is_full(const http_listener_t *listener)
{
    return listener->connections_max > 0 &&
           listener->caller_count >= listener->connections_max;
}

/* Makes room if there are too many connections; false if there is none. */
static bool
has_room_for_caller(http_listener_t *listener)
{
    if (is_full(listener)) {
        make_room(listener);
    }
    return !is_full(listener);
}

static void
pause_accepting(http_listener_t *listener)
{
    static const struct timeval pause = {0, ACCEPT_PAUSE_MS * 1000};
    (void)evconnlistener_disable(listener->acceptor);
    (void)event_add(listener->pause_timer, &pause);
}

static void
on_pause_end(evutil_socket_t fd, short what, void *arg)
{
    http_listener_t *listener = arg;
    (void)fd;
    (void)what;
    if (listener->acceptor == NULL) {
        return;
    }
    if (!has_room_for_caller(listener)) {
        pause_accepting(listener);
        return;
    }
    (void)evconnlistener_enable(listener->acceptor);
}

/* Pauses after accept() has failed, usually because the process has no
 * descriptor left.  The event loop would otherwise retry without end. */
static void
on_accept_error(struct evconnlistener *acceptor, void *arg)
{
    http_listener_t *listener = arg;
    int error = EVUTIL_SOCKET_ERROR();
    int64_t now = time_mono_ms();
    (void)acceptor;
    if (now - listener->room_logged_ms >= ROOM_LOG_INTERVAL_MS) {
        log_record(LOG_WARN, "connections", "accept-failed",
                   "for=%s why=\"%s\" open=%zu", listener->use,
                   strerror(error), listener->caller_count);
        listener->room_logged_ms = now;
    }
    make_room(listener);
    pause_accepting(listener);
}

static void
on_accept(struct evconnlistener *acceptor, evutil_socket_t fd,
          struct sockaddr *from, int len, void *arg)
{
    static const struct timeval write_timeout = {WRITE_TIMEOUT_S, 0};
    http_listener_t *listener = arg;
    int on = 1;
    (void)acceptor;
    (void)from;
    (void)len;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (listener->unsent_bytes > 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                         &listener->unsent_bytes,
                         sizeof(listener->unsent_bytes));
    }
    http_limits_t limits = limits_of(listener);
    caller_t *caller = mem_zalloc(sizeof(*caller));
    caller->listener = listener;
    caller->bev =
        bufferevent_socket_new(listener->base, fd, BEV_OPT_CLOSE_ON_FREE);
    caller->timer = evtimer_new(listener->base, on_timer, caller);
    http_reader_init(&caller->reader, false, (size_t)limits.head_bytes,
                     on_body, caller);
    bufferevent_setcb(caller->bev, on_read, on_written, on_event, caller);
    bufferevent_setwatermark(caller->bev, EV_READ, 0, READ_AHEAD_MAX);
    if (listener->hooks.on_output != NULL) {
        (void)evbuffer_add_cb(bufferevent_get_output(caller->bev), on_output,
                              caller);
    }
    (void)bufferevent_set_timeouts(caller->bev, NULL, &write_timeout);
    CK_LIST_INSERT_HEAD(&listener->callers, caller, entry);
    __atomic_add_fetch(&listener->caller_count, 1, __ATOMIC_RELAXED);
    caller_arm_timer(caller, limits.idle_ms);
    (void)bufferevent_enable(caller->bev, EV_READ | EV_WRITE);
    if (!has_room_for_caller(listener)) {
        pause_accepting(listener);
    }
}

/* Starts accepting connections on a listening socket, which the listener
 * closes. */
void
http_listener_accept(http_listener_t *listener, evutil_socket_t fd)
{
    listener->acceptor = evconnlistener_new(
        listener->base, on_accept, listener,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, fd);
    evconnlistener_set_error_cb(listener->acceptor, on_accept_error);
}

/* Opens a listener.  Without a socket it accepts no connections yet. */
http_listener_t *
http_listener_open(struct event_base *base, const http_listener_opts_t *opts)
{
    http_listener_t *listener = mem_zalloc(sizeof(*listener));
    listener->base = base;
    listener->use = opts->use != NULL ? opts->use : "callers";
    listener->hooks = opts->hooks;
    listener->connections_max = opts->connections_max;
    listener->body_bytes_max = opts->body_bytes_max;
    listener->unsent_bytes = opts->unsent_bytes;
    CK_LIST_INIT(&listener->callers);
    listener->pause_timer = evtimer_new(base, on_pause_end, listener);
    if (opts->fd >= 0) {
        http_listener_accept(listener, opts->fd);
    }
    return listener;
}

/* Closes each connection after its next response. */
void
http_listener_drain(http_listener_t *listener)
{
    listener->draining = true;
}

/* Stops accepting connections; open ones are still served.  The kernel refuses
 * later connections, so a caller knows that its request was not executed. */
void
http_listener_stop_accepting(http_listener_t *listener)
{
    if (listener->acceptor != NULL) {
        evconnlistener_free(listener->acceptor);
        listener->acceptor = NULL;
    }
}

/* Stops accepting connections and closes the idle ones.  Called repeatedly
 * until all are closed. */
void
http_listener_close_idle(http_listener_t *listener)
{
    caller_t *caller;
    caller_t *next;
    http_listener_stop_accepting(listener);
    CK_LIST_FOREACH_SAFE (caller, &listener->callers, entry, next) {
        if (is_idle(caller)) {
            caller_free(caller);
        }
    }
}

/* Rejects the requests of which only a part has been read. */
void
http_listener_refuse_incomplete(http_listener_t *listener)
{
    caller_t *caller;
    caller_t *next;
    CK_LIST_FOREACH_SAFE (caller, &listener->callers, entry, next) {
        if (caller->state == CALLER_READING) {
            refuse_request(caller);
        }
    }
}

/* Closes all connections and frees the listener. */
void
http_listener_free(http_listener_t *listener)
{
    caller_t *caller;
    http_listener_stop_accepting(listener);
    while ((caller = CK_LIST_FIRST(&listener->callers)) != NULL) {
        caller_free(caller);
    }
    event_free(listener->pause_timer);
    free(listener);
}

/* The bytes of all requests' bodies, complete or not. */
size_t
http_listener_body_bytes(const http_listener_t *listener)
{
    return listener->body_bytes;
}

/* The number of open connections; callable from any thread. */
size_t
http_listener_connections(const http_listener_t *listener)
{
    return __atomic_load_n(&listener->caller_count, __ATOMIC_RELAXED);
}

static void
write_head(caller_t *caller, int status, const buf_t *headers,
           const char *framing)
{
    struct evbuffer *out = bufferevent_get_output(caller->bev);
    if (caller->listener->draining) {
        caller->close_after = true;
    }
    (void)evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                              http_status_str((enum http_status)status));
    if (headers != NULL) {
        (void)evbuffer_add(out, headers->data, headers->len);
    }
    (void)evbuffer_add_printf(
        out, "%s%s\r\n", caller->close_after ? "Connection: close\r\n" : "",
        framing);
}

/* Closes the connection once its output is written. */
static void
caller_close(caller_t *caller)
{
    caller->state = CALLER_CLOSING;
    caller_arm_timer(caller, LINGER_MS);
    if (evbuffer_get_length(bufferevent_get_output(caller->bev)) == 0) {
        (void)shutdown(bufferevent_getfd(caller->bev), SHUT_WR);
    }
}

/* Lets the event loop handle input that is buffered already: its request must
 * not begin before the caller of this has finished with the last one. */
static void
defer_step(caller_t *caller)
{
    if (!caller->in_step &&
        evbuffer_get_length(bufferevent_get_input(caller->bev)) > 0) {
        bufferevent_trigger(
            caller->bev, EV_READ,
            BEV_TRIG_IGNORE_WATERMARKS | BEV_OPT_DEFER_CALLBACKS);
    }
}

/* The response is complete: the connection goes on to the next request, or
 * closes. */
static void
caller_answer_done(caller_t *caller)
{
    end_request(caller);
    drop_body(caller);
    caller->body_too_long = false;
    caller->no_room = false;
    if (caller->close_after) {
        caller_close(caller);
        return;
    }
    http_reader_next(&caller->reader);
    caller->state = CALLER_IDLE;
    caller_arm_timer(caller, limits_of(caller->listener).idle_ms);
    defer_step(caller);
}

/* Writes a body in pieces, each in memory of its own that is freed when it is
 * written. */
static void
write_body(caller_t *caller, const char *body, size_t len)
{
    while (len > 0) {
        size_t piece = len < BODY_PIECE_BYTES ? len : BODY_PIECE_BYTES;
        (void)bufferevent_write(caller->bev, body, piece);
        body += piece;
        len -= piece;
    }
}

/* Writes a complete response; headers are CRLF-ended lines, or NULL. */
void
caller_answer(caller_t *caller, int status, const buf_t *headers,
              const char *body, size_t len)
{
    char framing[64];
    bool no_body = status == 204 || status == 304 || status < 200;
    bool head_only = caller->reader.head.method == HTTP_HEAD;
    (void)snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", len);
    write_head(caller, status, headers, no_body ? "" : framing);
    if (!no_body && !head_only) {
        write_body(caller, body, len);
    }
    caller_answer_done(caller);
}

/* Begins a chunked response. */
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
    caller_answer_done(caller);
}

/* Ends a response that cannot be completed: closes the connection without the
 * last chunk, so that the response does not look complete. */
void
caller_abort(caller_t *caller)
{
    end_request(caller);
    caller->close_after = true;
    caller_close(caller);
}

/* Returns the head of the current request. */
const http_head_t *
caller_head(const caller_t *caller)
{
    return &caller->reader.head;
}

/* Sets the owner of the current request, or NULL for none.  It is passed to
 * on_disconnect and on_flushed. */
void
caller_set_owner(caller_t *caller, void *owner)
{
    caller->owner = owner;
}

/* Bytes in the output buffer that are not written to the socket yet. */
size_t
caller_unsent_bytes(const caller_t *caller)
{
    return evbuffer_get_length(bufferevent_get_output(caller->bev));
}

/* Closes the connection at once and frees what is buffered for it. */
void
caller_drop(caller_t *caller)
{
    caller_free(caller);
}

/* Attaches data of the listener's owner to the connection, which on_closed has
 * to free. */
void
caller_attach(caller_t *caller, void *data)
{
    caller->attached = data;
}

void *
caller_attached(const caller_t *caller)
{
    return caller->attached;
}
