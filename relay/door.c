#include "relay.h"

#include <errno.h>
#include <event2/buffer.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

/* The callers' side: connections, whole requests off them, answers onto
 * them.  A connection serves one request after the other. */

/* Connections that wait to be accepted: a herd of callers that comes back at
 * once must not be dropped, since a dropped opening is sent again only after
 * a second. */
#define DOOR_BACKLOG 4096
/* What a caller may send ahead of its turn, bytes.  Reading then stops. */
#define READ_AHEAD_MAX 262144
/* Heads of a readiness question, bytes. */
#define READY_HEAD_MAX 8192
/* A connection that is closed behind an error takes what the caller still
 * sends for so long, ms: closing at once would reset it, and the caller could
 * lose the answer. */
#define LINGER_MS 1000
/* In force until a configuration says otherwise. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT 4194304
#define HEAD_MS_DEFAULT 3000
#define IDLE_MS_DEFAULT 15000

typedef enum {
    CALLER_IDLE,    /* between requests */
    CALLER_READING, /* a request has begun to arrive */
    CALLER_WAITING, /* its answer is being made */
    CALLER_CLOSING  /* the answer leaves, then the connection closes */
} caller_state_t;

struct caller {
    CK_LIST_ENTRY(caller) entry;
    relay_t *relay;
    struct bufferevent *bev;
    http_reader_t reader;
    buf_t body;
    request_t *request;
    caller_state_t state;
    bool last;     /* close behind this answer */
    bool too_long; /* the body is over the limit */
    bool streaming;
    bool in_step; /* caller_step runs; it goes on by itself */
    struct event *timer;
};

static void caller_step(caller_t *caller);

static edge_limits_t
limits_of(const relay_t *relay)
{
    if (relay->config != NULL) {
        return relay->config->limits;
    }
    return (edge_limits_t){HEAD_BYTES_DEFAULT, BODY_BYTES_DEFAULT,
                           HEAD_MS_DEFAULT, IDLE_MS_DEFAULT};
}

static void
caller_free(caller_t *caller)
{
    relay_t *relay = caller->relay;
    if (caller->request != NULL) {
        request_caller_left(caller->request);
    }
    CK_LIST_REMOVE(caller, entry);
    relay->caller_count--;
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
 * for nothing. */
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
    caller_free(caller);
}

static void
on_body(void *arg, const char *data, size_t len)
{
    caller_t *caller = arg;
    edge_limits_t limits = limits_of(caller->relay);
    if (caller->body.len + len > (size_t)limits.body_bytes) {
        caller->too_long = true;
        return;
    }
    buf_add(&caller->body, data, len);
}

static void
answer_bad(caller_t *caller, int status, const char *why)
{
    log_info("door", "A request was answered %d: %s.", status, why);
    caller->last = true;
    caller_answer(caller, status, NULL, "", 0);
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
    edge_limits_t limits = limits_of(caller->relay);
    caller->last = !head->keep_alive;
    if (caller->reader.state == READER_BODY &&
        length_over(caller, (size_t)limits.body_bytes)) {
        answer_bad(caller, 413, "the body is longer than the limit");
        return;
    }
    if (http_head_find(head, wire_header_name(HEADER_EXPECT)) != NULL) {
        static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
        (void)bufferevent_write(caller->bev, go_on, sizeof(go_on) - 1);
    }
}

static void
hand_over(caller_t *caller)
{
    caller->state = CALLER_WAITING;
    (void)event_del(caller->timer);
    request_begin(caller->relay, caller, &caller->reader.head, &caller->body);
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
        caller_timer(caller, limits_of(caller->relay).head_ms);
    }
    reader_state_t state = http_reader_feed(&caller->reader, in);
    if (state == READER_BAD) {
        answer_bad(caller, caller->reader.status, caller->reader.why);
        return false;
    }
    if (before == READER_HEAD && state != READER_HEAD) {
        on_head(caller);
    }
    if (caller->state != CALLER_READING) {
        return false;
    }
    if (caller->too_long) {
        answer_bad(caller, 413, "the body is longer than the limit");
        return false;
    }
    if (state == READER_WHOLE) {
        hand_over(caller);
        return false;
    }
    if (state == READER_BODY) {
        caller_timer(caller, limits_of(caller->relay).idle_ms);
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
    while (caller->state == CALLER_IDLE || caller->state == CALLER_READING) {
        caller_state_t before = caller->state;
        if (!read_on(caller) && caller->state != CALLER_IDLE) {
            break;
        }
        if (before == CALLER_IDLE && caller->state == CALLER_IDLE) {
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
    if (caller->state == CALLER_CLOSING) {
        (void)shutdown(bufferevent_getfd(bev), SHUT_WR);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        caller_free(arg);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *arg)
{
    relay_t *relay = arg;
    int on = 1;
    (void)listener;
    (void)from;
    (void)len;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    edge_limits_t limits = limits_of(relay);
    caller_t *caller = mem_zalloc(sizeof(*caller));
    caller->relay = relay;
    caller->bev =
        bufferevent_socket_new(relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
    caller->timer = evtimer_new(relay->base, on_timer, caller);
    http_reader_init(&caller->reader, false, (size_t)limits.head_bytes,
                     on_body, caller);
    bufferevent_setcb(caller->bev, on_read, on_written, on_event, caller);
    bufferevent_setwatermark(caller->bev, EV_READ, 0, READ_AHEAD_MAX);
    CK_LIST_INSERT_HEAD(&relay->callers, caller, entry);
    relay->caller_count++;
    caller_timer(caller, limits.idle_ms);
    (void)bufferevent_enable(caller->bev, EV_READ | EV_WRITE);
}

/* The balancer's question is answered on its own address, by the status
 * alone. */
static void
on_ready_read(struct bufferevent *bev, void *arg)
{
    relay_t *relay = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    if (end.pos < 0) {
        if (evbuffer_get_length(in) > READY_HEAD_MAX) {
            bufferevent_free(bev);
        }
        return;
    }
    (void)evbuffer_drain(in, (size_t)end.pos + 4);
    int status = relay_ready(relay) ? 200 : 503;
    (void)evbuffer_add_printf(bufferevent_get_output(bev),
                              "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n",
                              status, http_status_str(status));
}

/* Whoever gathers metrics asks on their own address, by any path but those of
 * what other daemons ask for. */
static void
on_metrics_read(struct bufferevent *bev, void *arg)
{
    struct evbuffer *in = bufferevent_get_input(bev);
    struct evbuffer *out = bufferevent_get_output(bev);
    struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    CLEAN_BUF buf_t text = {0};
    if (end.pos < 0) {
        if (evbuffer_get_length(in) > READY_HEAD_MAX) {
            bufferevent_free(bev);
        }
        return;
    }
    char line[CS_ADDR_MAX * 4] = "";
    char path[CS_ADDR_MAX * 4] = "";
    (void)evbuffer_copyout(in, line, sizeof(line) - 1);
    (void)sscanf(line, "GET %255[^ ?]", path);
    (void)evbuffer_drain(in, (size_t)end.pos + 4);
    kind_t kind;
    int status = 200;
    if (!platform_kind_of(path, &kind)) {
        relay_metrics(arg, &text);
    }
    else if (!kept_page(arg, kind, &text)) {
        status = 404;
    }
    (void)evbuffer_add_printf(out,
                              "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
                              "Content-Length: %zu\r\n\r\n",
                              status, http_status_str(status), text.len);
    (void)evbuffer_add(out, text.data, text.len);
}

static void
on_ready_event(struct bufferevent *bev, short what, void *arg)
{
    (void)arg;
    (void)what;
    bufferevent_free(bev);
}

/* A connection of the balancer or of whoever gathers metrics. */
static void
accept_small(relay_t *relay, evutil_socket_t fd, bufferevent_data_cb on_asked)
{
    /* The balancer asks every second or so; a connection that is silent for
     * longer is not its. */
    static const struct timeval silent = {30, 0};
    struct bufferevent *bev =
        bufferevent_socket_new(relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, on_asked, NULL, on_ready_event, relay);
    (void)bufferevent_set_timeouts(bev, &silent, NULL);
    (void)bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void
on_ready_accept(struct evconnlistener *listener, evutil_socket_t fd,
                struct sockaddr *from, int len, void *arg)
{
    (void)listener;
    (void)from;
    (void)len;
    accept_small(arg, fd, on_ready_read);
}

static void
on_metrics_accept(struct evconnlistener *listener, evutil_socket_t fd,
                  struct sockaddr *from, int len, void *arg)
{
    (void)listener;
    (void)from;
    (void)len;
    accept_small(arg, fd, on_metrics_read);
}

static struct evconnlistener *
listen_at(relay_t *relay, const char *addr, evconnlistener_cb accepted,
          err_t *err)
{
    struct sockaddr_in at;
    int len = (int)sizeof(at);
    if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&at, &len) != 0) {
        (void)err_set(err, ERR_HTTP, 1, "%s is no IPV4:PORT", addr);
        return NULL;
    }
    struct evconnlistener *listener = evconnlistener_new_bind(
        relay->base, accepted, relay,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        DOOR_BACKLOG, (struct sockaddr *)&at, len);
    if (listener == NULL) {
        (void)err_set(err, ERR_HTTP, 1, "cannot listen at %s: %s", addr,
                      strerror(errno));
    }
    return listener;
}

/* Listen for callers, the balancer and whoever gathers metrics. */
int
door_open(relay_t *relay, err_t *err)
{
    relay->ready_door =
        listen_at(relay, relay->settings.ready, on_ready_accept, err);
    relay->metrics_door =
        listen_at(relay, relay->settings.metrics, on_metrics_accept, err);
    relay->door = listen_at(relay, relay->settings.http, on_accept, err);
    return relay->door != NULL && relay->ready_door != NULL &&
                   relay->metrics_door != NULL
               ? 0
               : -1;
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
door_shut(relay_t *relay)
{
    caller_t *caller;
    caller_t *next;
    if (relay->door != NULL) {
        evconnlistener_free(relay->door);
        relay->door = NULL;
    }
    CK_LIST_FOREACH_SAFE (caller, &relay->callers, entry, next) {
        if (is_quiet(caller)) {
            caller_free(caller);
        }
    }
}

static void
write_head(caller_t *caller, int status, const buf_t *headers,
           const char *framing)
{
    struct evbuffer *out = bufferevent_get_output(caller->bev);
    if (caller->relay->stopping_ms != 0) {
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

/* The answer is complete: the connection waits for the next request, or
 * closes when all has left. */
static void
caller_done(caller_t *caller)
{
    caller->request = NULL;
    caller->streaming = false;
    caller->body.len = 0;
    caller->too_long = false;
    if (caller->last) {
        caller->state = CALLER_CLOSING;
        caller_timer(caller, LINGER_MS);
        if (evbuffer_get_length(bufferevent_get_output(caller->bev)) == 0) {
            (void)shutdown(bufferevent_getfd(caller->bev), SHUT_WR);
        }
        return;
    }
    http_reader_next(&caller->reader);
    caller->state = CALLER_IDLE;
    caller_timer(caller, limits_of(caller->relay).idle_ms);
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
    caller->streaming = true;
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
caller_break(caller_t *caller)
{
    caller->request = NULL;
    caller->last = true;
    caller->state = CALLER_CLOSING;
    caller_timer(caller, LINGER_MS);
    if (evbuffer_get_length(bufferevent_get_output(caller->bev)) == 0) {
        (void)shutdown(bufferevent_getfd(caller->bev), SHUT_WR);
    }
}

/* The request that the connection waits for; it is told when the caller
 * leaves. */
void
caller_serves(caller_t *caller, request_t *request)
{
    caller->request = request;
}
