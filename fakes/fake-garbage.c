#include "../kernel/base.h"
#include "../relay/wire.h"

#include <argp.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Entry point of a stand-in for a broken backend server: it answers requests,
 * as soon as it has their head, with bytes of a chosen kind that come at a
 * chosen rate until the caller closes, or that end early.  GET /garbage/KIND
 * chooses another kind.  Health checks and reports get a sound answer, or with
 * --probes the same bytes.  A line to the standard output for each connection
 * that ends after such an answer. */

#define TICK_MS 5
/* Time from the answer to the end of a connection that the server ends. */
#define END_MS 30
#define HUNDRED_BYTES                                   \
    "0123456789012345678901234567890123456789012345678" \
    "9012345678901234567890123456789012345678901234567890"
/* Unsent bytes of a connection above which it waits for the peer. */
#define UNSENT_MAX (4u << 20)
#define REQUEST_MAX 16384
/* Of a request that it does not read: most of a long body stays unsent. */
#define RECEIVE_BYTES 32768
#define COMMAND "GET /garbage/"
#define RATE_DEFAULT_MB_S 40

typedef enum {
    HEAD_NONE,
    HEAD_OK,      /* 200 with the request's id and a signature, no length */
    HEAD_CHUNKED, /* the same with chunks */
    HEAD_EVENTS,  /* the same as a stream of events */
    HEAD_FAILURE, /* 500 with the request's id and a signature */
    HEAD_LENGTH,  /* 200 with them and a length of 5,000 */
    HEAD_STATUS,  /* what the kind begins with, then the same with 5 bytes */
    HEAD_FIELDS,  /* 200 with them, what the kind begins with ends the head */
    HEAD_REJECTED /* 503 that states that the request has not run */
} head_t;

/* How the connection ends; those that end do so after END_MS. */
typedef enum { END_NONE, END_RESET, END_CLOSE } end_t;

typedef struct {
    const char *name;
    head_t head;
    const char *begin; /* once after the head; the status if that lacks it */
    const char *more;  /* without end; NULL for nothing */
    end_t end;
} kind_t;

static const kind_t kinds[] = {
    {"bytes", HEAD_NONE, "", "no answer ", END_NONE},
    {"http-bytes", HEAD_NONE, "HTTP/1.1 200 ", "no answer ", END_NONE},
    {"empty-lines", HEAD_NONE, "", "\r\n", END_NONE},
    {"newlines", HEAD_NONE, "", "\n", END_NONE},
    {"head", HEAD_NONE, "HTTP/1.1 200 OK\r\n", "X-More: 0123456789\r\n",
     END_NONE},
    {"interim", HEAD_NONE, "", "HTTP/1.1 102 Processing\r\n\r\n", END_NONE},
    {"strays", HEAD_NONE, "",
     "HTTP/1.1 200 OK\r\nX-Celeryspool-Attempt-Id: someone-else\r\n"
     "X-Celeryspool-Server-Signature: sig.x\r\nContent-Length: 5\r\n\r\n"
     "wrong",
     END_NONE},
    {"stray-body", HEAD_NONE,
     "HTTP/1.1 200 OK\r\nX-Celeryspool-Attempt-Id: someone-else\r\n"
     "X-Celeryspool-Server-Signature: sig.x\r\n\r\n",
     "wrong", END_NONE},
    {"unsigned", HEAD_NONE, "HTTP/1.1 200 OK\r\n\r\n", "no answer ", END_NONE},
    {"body", HEAD_OK, "", "0123456789", END_NONE},
    {"chunks", HEAD_CHUNKED, "", "a\r\n0123456789\r\n", END_NONE},
    {"no-chunks", HEAD_CHUNKED, "a\r\n0123456789\r\n", "no chunk ", END_NONE},
    {"chunk-extension", HEAD_CHUNKED, "a;", "more", END_NONE},
    {"chunk-extensions", HEAD_CHUNKED, "",
     "1;0123456789012345678901234567890123456789\r\nx\r\n", END_NONE},
    {"trailer", HEAD_CHUNKED, "a\r\n0123456789\r\n0\r\n",
     "X-More: 0123456789\r\n", END_NONE},
    {"event", HEAD_EVENTS, "id: 1\ndata: token-1\n\n", "data: no end\n",
     END_NONE},
    {"repeats", HEAD_EVENTS, "id: 1\ndata: token-1\n\n",
     "id: 1\ndata: token-1\n\n", END_NONE},
    {"events", HEAD_EVENTS, "", "data: 0123456789\n\n", END_NONE},
    {"failure", HEAD_FAILURE, "", "0123456789", END_NONE},
    {"rejection", HEAD_REJECTED, "", "0123456789", END_NONE},
    {"part-reset", HEAD_OK, HUNDRED_BYTES, NULL, END_RESET},
    {"part-closed", HEAD_OK, HUNDRED_BYTES, NULL, END_CLOSE},
    {"length-reset", HEAD_LENGTH, HUNDRED_BYTES, NULL, END_RESET},
    {"length-closed", HEAD_LENGTH, HUNDRED_BYTES, NULL, END_CLOSE},
    {"chunks-reset", HEAD_CHUNKED, "5\r\nwrong\r\n", NULL, END_RESET},
    {"chunks-closed", HEAD_CHUNKED, "5\r\nwrong\r\n", NULL, END_CLOSE},
    {"events-reset", HEAD_EVENTS, "id: 1\ndata: token-1\n\n", NULL, END_RESET},
    {"status-000", HEAD_STATUS, "000 Odd", NULL, END_NONE},
    {"status-007", HEAD_STATUS, "007 Odd", NULL, END_NONE},
    {"status-099", HEAD_STATUS, "099 Odd", NULL, END_NONE},
    {"status-0200", HEAD_STATUS, "0200 Odd", NULL, END_NONE},
    {"status-20", HEAD_STATUS, "20 Odd", NULL, END_NONE},
    {"status-minus", HEAD_STATUS, "-20 Odd", NULL, END_NONE},
    {"status-2x0", HEAD_STATUS, "2x0 Odd", NULL, END_NONE},
    {"status-none", HEAD_STATUS, "", NULL, END_NONE},
    {"status-600", HEAD_STATUS, "600 Odd", NULL, END_NONE},
    {"status-999", HEAD_STATUS, "999 Odd", NULL, END_NONE},
    {"status-1000", HEAD_STATUS, "1000 Odd", NULL, END_NONE},
    {"coding-less", HEAD_FIELDS,
     "Transfer-Encoding: chunke\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", NULL,
     END_CLOSE},
    {"coding-more", HEAD_FIELDS,
     "Transfer-Encoding: chunkedd\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", NULL,
     END_CLOSE},
    {"coding-empty", HEAD_FIELDS,
     "Transfer-Encoding:\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", NULL, END_CLOSE},
    {"coding-list", HEAD_FIELDS,
     "Transfer-Encoding: chunked, gzip\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", NULL,
     END_CLOSE},
    {"coding-twice", HEAD_FIELDS,
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
     "5\r\nwrong\r\n0\r\n\r\n",
     NULL, END_CLOSE},
    {"coding-control", HEAD_FIELDS,
     "Transfer-Encoding: \013chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", NULL,
     END_CLOSE},
    {"coding-half", HEAD_FIELDS,
     "Transfer-Encoding: chunke\r\n\r\n14\r\nwrong", NULL, END_CLOSE},
    {"coding-events", HEAD_FIELDS,
     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunke\r\n\r\n"
     "14\r\nid: 1\ndata: wrong-1\n\n\r\n0\r\n\r\n",
     NULL, END_CLOSE},
    {"line-lf", HEAD_FIELDS,
     "X-A: b\n\nX-B: c\r\nContent-Length: 5\r\n\r\nwrong", NULL, END_CLOSE},
    {"line-lf-length", HEAD_FIELDS, "Content-Length: 5\n\nX-B: c\r\n\r\nwrong",
     NULL, END_CLOSE},
    {"line-lf-chunked", HEAD_FIELDS,
     "Transfer-Encoding: chunked\n\nX-B: c\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
     NULL, END_CLOSE},
    {"line-cr", HEAD_FIELDS, "Content-Length: 5\r\n\rxX-B: c\r\n\r\nwrong",
     NULL, END_CLOSE},
    {"line-lf-last", HEAD_FIELDS, "Content-Length: 5\n\nwrong", NULL,
     END_NONE},
    {"value-control", HEAD_FIELDS,
     "X-A: \033b\r\nContent-Length: 5\r\n\r\nwrong", NULL, END_CLOSE},
    {"value-delete", HEAD_FIELDS,
     "X-A: \177b\r\nContent-Length: 5\r\n\r\nwrong", NULL, END_CLOSE},
    {"value-folded", HEAD_FIELDS,
     "X-A:\r\n b\r\nContent-Length: 5\r\n\r\nwrong", NULL, END_CLOSE},
    {"length-folded", HEAD_FIELDS, "Content-Length:\r\n 5\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"chunk-short", HEAD_FIELDS,
     "Transfer-Encoding: chunked\r\n\r\n3\r\nwrong0\r\n\r\n", NULL, END_CLOSE},
    {"chunk-cr", HEAD_FIELDS,
     "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\rx0\r\n\r\n", NULL,
     END_CLOSE},
    {"chunk-size-cr", HEAD_FIELDS,
     "Transfer-Encoding: chunked\r\n\r\n5\rxwrong\r\n0\r\n\r\n", NULL,
     END_CLOSE},
    {"chunk-size-two", HEAD_FIELDS,
     "Transfer-Encoding: chunked\r\n\r\n5 5\r\nwrong\r\n0\r\n\r\n", NULL,
     END_CLOSE},
    {"trailer-lf", HEAD_FIELDS,
     "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\nX-A: b\n\nX-B: c"
     "\r\n\r\n",
     NULL, END_CLOSE},
    {"length-short", HEAD_FIELDS, "Content-Length: 3\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"length-zero", HEAD_FIELDS, "Content-Length: 0\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"length-empty", HEAD_FIELDS, "Content-Length:\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"length-letter", HEAD_FIELDS, "Content-Length: 5x\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"length-sign", HEAD_FIELDS, "Content-Length: +5\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"length-list", HEAD_FIELDS, "Content-Length: 5, 5\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"length-twice", HEAD_FIELDS,
     "Content-Length: 5\r\nContent-Length: 4\r\n\r\nwrong", NULL, END_CLOSE},
    {"length-name", HEAD_FIELDS, "Content-Length : 5\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"length-coded", HEAD_FIELDS,
     "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"field-word", HEAD_FIELDS, "word\r\nContent-Length: 5\r\n\r\nwrong", NULL,
     END_CLOSE},
    {"field-json", HEAD_FIELDS, "{\"a\":1}\r\nContent-Length: 5\r\n\r\nwrong",
     NULL, END_CLOSE},
    {"name-blank", HEAD_FIELDS, "X A: b\r\nContent-Length: 5\r\n\r\nwrong",
     NULL, END_CLOSE},
    {"name-control", HEAD_FIELDS,
     "X\001A: b\r\nContent-Length: 5\r\n\r\nwrong", NULL, END_CLOSE},
};

typedef struct {
    const char *addr;
    const char *id;
    const kind_t *kind;
    double rate_mb_s;
    bool probes;
    struct event_base *base;
} garbage_t;

typedef struct {
    garbage_t *server;
    struct bufferevent *bev;
    struct event *timer;
    const kind_t *kind; /* NULL before the first garbage */
    size_t sent;
    size_t next; /* byte of what is repeated */
    double due;  /* bytes */
    int ticks;   /* since the answer */
    int64_t begun_ms;
} peer_t;

static const kind_t *
find_kind(const char *name)
{
    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (strcmp(kinds[i].name, name) == 0) {
            return &kinds[i];
        }
    }
    return NULL;
}

static const struct argp_option options[] = {
    {"listen", 'l', "IPV4:PORT", 0, "address", 0},
    {"id", 'i', "ID", 0, "of the server", 0},
    {"kind", 'k', "KIND", 0, "of the bytes", 0},
    {"rate", 'r', "MB/S", 0, "at which a connection gets them", 0},
    {"probes", 'p', NULL, 0, "health checks and reports get them too", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    garbage_t *server = state->input;
    switch (key) {
        case 'l':
            server->addr = arg;
            return 0;
        case 'i':
            server->id = arg;
            return 0;
        case 'k':
            server->kind = find_kind(arg);
            if (server->kind == NULL) {
                argp_error(state, "no kind %s", arg);
            }
            return 0;
        case 'r':
            server->rate_mb_s = strtod(arg, NULL);
            return 0;
        case 'p':
            server->probes = true;
            return 0;
        case ARGP_KEY_END:
            if (server->addr == NULL || server->id == NULL) {
                argp_error(state, "--listen and --id are required");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option, NULL, "Stand-in for a server that sends garbage.",
    NULL,    NULL,         NULL};

static void
peer_free(peer_t *peer)
{
    if (peer->kind != NULL) {
        (void)printf("closed kind=%s sent=%zu ms=%lld\n", peer->kind->name,
                     peer->sent, (long long)(time_mono_ms() - peer->begun_ms));
        (void)fflush(stdout);
    }
    event_free(peer->timer);
    bufferevent_free(peer->bev);
    free(peer);
}

/* Adds bytes of what is repeated, beginning where the last ones ended. */
static void
add_more(peer_t *peer, size_t len)
{
    struct evbuffer *out = bufferevent_get_output(peer->bev);
    const char *more = peer->kind->more;
    size_t more_len = strlen(more);
    char block[4096];
    while (len > 0) {
        size_t step = len < sizeof(block) ? len : sizeof(block);
        for (size_t i = 0; i < step; i++) {
            block[i] = more[peer->next];
            peer->next = peer->next + 1 < more_len ? peer->next + 1 : 0;
        }
        (void)evbuffer_add(out, block, step);
        peer->sent += step;
        len -= step;
    }
}

/* Ends a connection of which the rest of the request is not read. */
static void
end_connection(peer_t *peer)
{
    static const struct linger reset = {1, 0};
    evutil_socket_t fd = bufferevent_getfd(peer->bev);
    switch (peer->kind->end) {
        case END_NONE:
            return;
        case END_RESET:
            (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            peer_free(peer);
            return;
        case END_CLOSE:
            (void)event_del(peer->timer);
            (void)shutdown(fd, SHUT_WR);
            return;
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    peer_t *peer = arg;
    (void)fd;
    (void)what;
    if (peer->kind->more == NULL) {
        peer->ticks++;
        if (peer->ticks * TICK_MS >= END_MS) {
            end_connection(peer);
        }
        return;
    }
    if (evbuffer_get_length(bufferevent_get_output(peer->bev)) > UNSENT_MAX) {
        return;
    }
    peer->due += peer->server->rate_mb_s * 1e6 * TICK_MS / 1000;
    size_t len = (size_t)peer->due;
    peer->due -= (double)len;
    add_more(peer, len);
}

/* Copies a header's value from a request; empty if it has none. */
static void
copy_header(const char *request, wire_header_t header, char *out, size_t size)
{
    char name[128];
    (void)snprintf(name, sizeof(name), "\r\n%s: ", wire_header_name(header));
    const char *at = strcasestr(request, name);
    out[0] = '\0';
    if (at != NULL) {
        at += strlen(name);
        (void)snprintf(out, size, "%.*s", (int)strcspn(at, "\r"), at);
    }
}

/* Adds the head of the answer and what follows it once. */
static void
add_answer(const peer_t *peer, const char *request)
{
    static const char *const first[] = {
        [HEAD_OK] = "200 OK",
        [HEAD_CHUNKED] = "200 OK\r\nTransfer-Encoding: chunked",
        [HEAD_EVENTS] = "200 OK\r\nContent-Type: text/event-stream",
        [HEAD_FAILURE] = "500 Failed",
        [HEAD_LENGTH] = "200 OK\r\nContent-Length: 5000",
        [HEAD_FIELDS] = "200 OK",
        [HEAD_REJECTED] = "503 Full"};
    struct evbuffer *out = bufferevent_get_output(peer->bev);
    char id[128];
    if (peer->kind->head == HEAD_NONE) {
        (void)evbuffer_add_printf(out, "%s", peer->kind->begin);
        return;
    }
    copy_header(request, HEADER_REQUEST_ID, id, sizeof(id));
    const char *status = peer->kind->head == HEAD_STATUS
                             ? peer->kind->begin
                             : first[peer->kind->head];
    (void)evbuffer_add_printf(out, "HTTP/1.1 %s\r\n%s: %s\r\n", status,
                              wire_header_name(HEADER_REQUEST_ID), id);
    if (peer->kind->head == HEAD_REJECTED) {
        (void)evbuffer_add_printf(out, "%s: 1\r\n\r\n%s",
                                  wire_header_name(HEADER_NOT_EXECUTED),
                                  peer->kind->begin);
        return;
    }
    (void)evbuffer_add_printf(out, "%s: sig.%s.%s\r\n",
                              wire_header_name(HEADER_SIGNATURE),
                              peer->server->id, id);
    if (peer->kind->head == HEAD_STATUS) {
        (void)evbuffer_add_printf(out, "Content-Length: 5\r\n\r\nwrong");
        return;
    }
    (void)evbuffer_add_printf(out, "%s%s",
                              peer->kind->head == HEAD_FIELDS ? "" : "\r\n",
                              peer->kind->begin);
}

static void
begin_garbage(peer_t *peer, const char *request)
{
    static const struct timeval tick = {0, TICK_MS * 1000};
    peer->kind = peer->server->kind;
    peer->begun_ms = time_mono_ms();
    add_answer(peer, request);
    if (peer->kind->end != END_NONE) {
        (void)bufferevent_disable(peer->bev, EV_READ);
    }
    (void)event_add(peer->timer, &tick);
}

static void
answer_probe(const peer_t *peer)
{
    static const char report[] =
        "{\"stage\":\"both\",\"models\":[{\"name\":\"m1\",\"version\":1,"
        "\"adapters\":[]}],\"busy\":false,\"sequence\":1,"
        "\"queued_requests\":0,\"active_requests\":0,\"cache_used\":0,"
        "\"cache_total\":90000,\"born\":1}";
    (void)evbuffer_add_printf(
        bufferevent_get_output(peer->bev),
        "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %zu\r\n\r\n%s",
        wire_header_name(HEADER_SERVER_ID), peer->server->id,
        sizeof(report) - 1, report);
}

/* Chooses the kind that a command names. */
static void
take_command(const peer_t *peer, const char *request)
{
    char name[64];
    const char *at = request + strlen(COMMAND);
    (void)snprintf(name, sizeof(name), "%.*s", (int)strcspn(at, " "), at);
    const kind_t *kind = find_kind(name);
    peer->server->kind = kind != NULL ? kind : peer->server->kind;
    (void)evbuffer_add_printf(bufferevent_get_output(peer->bev),
                              "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n",
                              kind != NULL ? "200 OK" : "404 No such kind");
}

static bool
is_probe(const char *request)
{
    return strncmp(request, "GET /health ", 12) == 0 ||
           strncmp(request, "GET /report ", 12) == 0;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
    peer_t *peer = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    char request[REQUEST_MAX];
    if (peer->kind == NULL &&
        evbuffer_search(in, "\r\n\r\n", 4, NULL).pos < 0) {
        return;
    }
    ev_ssize_t len = evbuffer_copyout(in, request, sizeof(request) - 1);
    (void)evbuffer_drain(in, evbuffer_get_length(in));
    if (peer->kind != NULL || len < 0) {
        return;
    }
    request[len] = '\0';
    if (strncmp(request, COMMAND, strlen(COMMAND)) == 0) {
        take_command(peer, request);
    }
    else if (is_probe(request) && !peer->server->probes) {
        answer_probe(peer);
    }
    else {
        begin_garbage(peer, request);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        peer_free(arg);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int len, void *arg)
{
    const int receive_bytes = RECEIVE_BYTES;
    peer_t *peer = mem_zalloc(sizeof(*peer));
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                     sizeof(receive_bytes));
    (void)listener;
    (void)from;
    (void)len;
    peer->server = arg;
    peer->bev =
        bufferevent_socket_new(peer->server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    peer->timer = event_new(peer->server->base, -1, EV_PERSIST, on_tick, peer);
    bufferevent_setcb(peer->bev, on_read, NULL, on_event, peer);
    (void)bufferevent_enable(peer->bev, EV_READ | EV_WRITE);
}

int
main(int argc, char **argv)
{
    garbage_t server = {.kind = &kinds[0], .rate_mb_s = RATE_DEFAULT_MB_S};
    struct sockaddr_in at;
    int len = (int)sizeof(at);
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &server);
    (void)signal(SIGPIPE, SIG_IGN);
    server.base = event_base_new();
    if (evutil_parse_sockaddr_port(server.addr, (struct sockaddr *)&at,
                                   &len) != 0 ||
        evconnlistener_new_bind(server.base, on_accept, &server,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
                                (struct sockaddr *)&at, sizeof(at)) == NULL) {
        (void)fprintf(stderr, "fake-garbage: cannot use %s\n", server.addr);
        return EXIT_UNREACHABLE;
    }
    (void)event_base_dispatch(server.base);
    _Exit(EXIT_SUCCESS);
}
