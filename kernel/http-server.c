#include "http.h"
#include "http-door.h"
#include "loop.h"
#include "url.h"

#include <ck_queue.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A server whose answers may come later and from any thread: a few loops, each
 * with a door at the same listening socket.  An answer is left with its
 * request, and the request with the loop that its connection belongs to. */

#define HEAD_BYTES 32768
/* A head that takes longer than this is given up, ms. */
#define HEAD_MS 10000
/* Where the owner names no time for idle connections, s. */
#define IDLE_S_DEFAULT 60
/* Bytes that a connection holds beyond what its caller takes; the rest waits
 * with the request, where its backlog is seen. */
#define UNWRITTEN_MAX 65536

typedef struct text {
    CK_SLIST_ENTRY(text) entry;
    char data[];
} text_t;

typedef CK_SLIST_HEAD(text_list, text) text_list_t;
typedef CK_STAILQ_HEAD(req_queue, http_req) req_queue_t;

/* Its lock is a leaf behind a request's. */
typedef struct {
    http_server_t *server;
    loop_t loop;
    http_door_t *door;
    pthread_mutex_t lock;
    req_queue_t answered; /* requests with something to write */
    bool writing;         /* the loop goes through them */
} worker_t;

struct http_server {
    http_server_opts_t opts;
    unsigned threads;
    bool closing;
    worker_t *workers;
};

/* How far an answer is. */
typedef enum {
    REPLY_NONE,
    REPLY_WHOLE,  /* status, headers and body are there */
    REPLY_STREAM, /* status and headers are there, the body comes by and by */
    REPLY_CUT     /* none will come */
} reply_t;

/* Lock order: a request's lock, then its worker's. */
struct http_req {
    CK_STAILQ_ENTRY(http_req) answered;
    pthread_mutex_t lock;
    unsigned refs;
    worker_t *worker;
    caller_t *caller; /* NULL once the connection has ended or is answered */
    http_head_t head; /* a copy: the connection's may go before it */
    char method[16];
    char *path;
    buf_t body;
    text_list_t texts; /* what the handler was shown */
    bool queued;       /* it is among the answered */
    reply_t reply;
    bool begun; /* the head of a stream was written */
    bool ended;
    bool whole;
    int status;
    buf_t headers; /* of the answer, as lines */
    buf_t out;
};

static void
req_free(http_req_t *req)
{
    text_t *text;
    while ((text = CK_SLIST_FIRST(&req->texts)) != NULL) {
        CK_SLIST_REMOVE_HEAD(&req->texts, entry);
        free(text);
    }
    buf_free(&req->head.text);
    buf_free(&req->body);
    buf_free(&req->headers);
    buf_free(&req->out);
    free(req->path);
    (void)pthread_mutex_destroy(&req->lock);
    free(req);
}

/* Keep a request alive beyond the handler's return. */
void
http_req_hold(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    req->refs++;
}

/* Give a request back; the last holder frees it. */
void
http_req_release(http_req_t *req)
{
    (void)pthread_mutex_lock(&req->lock);
    bool last = --req->refs == 0;
    (void)pthread_mutex_unlock(&req->lock);
    if (last) {
        req_free(req);
    }
}

/* ---- on the loop's thread ---- */

/* The connection has no more to do with the request, whose last hold on it
 * the caller of this gives back.  This goes before the answer is written: that
 * can begin the connection's next request, whose handler comes back to what is
 * answered and would find this request there a second time. */
static caller_t *
req_detach(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    caller_t *caller = req->caller;
    req->caller = NULL;
    return caller;
}

static void
on_left(void *owner)
{
    (void)req_detach(owner);
    http_req_release(owner);
}

/* Once the reply is whole nobody else changes what is read here. */
static void
write_whole(http_req_t *req)
{
    caller_t *caller = req_detach(req);
    caller_serves(caller, NULL);
    caller_answer(caller, req->status, &req->headers, buf_text(&req->out),
                  req->out.len);
    http_req_release(req);
}

/* Pass on what has gathered; true once the stream is over. */
static bool
write_stream(http_req_t *req)
{
    caller_t *caller = req->caller;
    if (!req->begun) {
        req->begun = true;
        caller_stream_begin(caller, req->status, &req->headers);
    }
    if (caller_unwritten(caller) >= UNWRITTEN_MAX) {
        return false; /* goes on when that has left */
    }
    LOCK_SCOPE(&req->lock);
    size_t len = req->out.len < UNWRITTEN_MAX ? req->out.len : UNWRITTEN_MAX;
    caller_stream_data(caller, buf_text(&req->out), len);
    buf_consume(&req->out, len);
    return req->ended && req->out.len == 0;
}

static void
write_end(http_req_t *req, bool whole)
{
    caller_t *caller = req_detach(req);
    caller_serves(caller, NULL);
    http_req_release(req);
    if (whole) {
        caller_stream_end(caller);
    }
    else {
        caller_break(caller);
    }
}

static void
req_write(http_req_t *req)
{
    (void)pthread_mutex_lock(&req->lock);
    reply_t reply = req->caller == NULL ? REPLY_NONE : req->reply;
    (void)pthread_mutex_unlock(&req->lock);
    switch (reply) {
        case REPLY_NONE:
            return;
        case REPLY_WHOLE:
            write_whole(req);
            return;
        case REPLY_STREAM:
            if (write_stream(req)) {
                write_end(req, req->whole);
            }
            return;
        case REPLY_CUT:
            write_end(req, false);
            return;
    }
}

static http_req_t *
take_answered(worker_t *worker)
{
    LOCK_SCOPE(&worker->lock);
    http_req_t *req = CK_STAILQ_FIRST(&worker->answered);
    if (req != NULL) {
        CK_STAILQ_REMOVE_HEAD(&worker->answered, answered);
        req->queued = false;
    }
    return req;
}

/* Write what has been answered.  An answer can let its connection's next
 * request begin, whose handler comes back here; the outer turn goes on. */
static void
write_answered(worker_t *worker)
{
    http_req_t *req;
    if (worker->writing) {
        return;
    }
    worker->writing = true;
    while ((req = take_answered(worker)) != NULL) {
        req_write(req);
        http_req_release(req);
    }
    worker->writing = false;
}

static void
on_wake(void *arg)
{
    worker_t *worker = arg;
    if (__atomic_load_n(&worker->server->closing, __ATOMIC_ACQUIRE)) {
        http_door_leave(worker->door);
        http_door_quiesce(worker->door);
    }
    write_answered(worker);
}

static void
on_drained(void *owner)
{
    req_write(owner);
}

static edge_limits_t
limits(void *arg)
{
    const worker_t *worker = arg;
    const http_server_opts_t *opts = &worker->server->opts;
    unsigned idle_s =
        opts->idle_seconds > 0 ? opts->idle_seconds : IDLE_S_DEFAULT;
    return (edge_limits_t){HEAD_BYTES, (int)opts->body_max, HEAD_MS,
                           (int)idle_s * 1000};
}

static http_req_t *
req_new(worker_t *worker, caller_t *caller, const http_head_t *head,
        buf_t *body)
{
    http_req_t *req = mem_zalloc(sizeof(*req));
    const char *target = http_head_at(head, head->target);
    const char *query = memchr(target, '?', head->target.len);
    size_t path_len =
        query != NULL ? (size_t)(query - target) : head->target.len;
    (void)pthread_mutex_init(&req->lock, NULL);
    CK_SLIST_INIT(&req->texts);
    req->refs = 1;
    req->worker = worker;
    req->caller = caller;
    req->head = *head;
    req->head.text = (buf_t){0};
    buf_add(&req->head.text, head->text.data, head->text.len);
    req->body = *body;
    *body = (buf_t){0};
    req->path = url_unescape(target, path_len, false);
    str_copy(req->method, sizeof(req->method), http_head_method(head));
    return req;
}

static void
on_request(void *arg, caller_t *caller, const http_head_t *head, buf_t *body)
{
    worker_t *worker = arg;
    http_req_t *req = req_new(worker, caller, head, body);
    caller_serves(caller, req);
    http_req_hold(req);
    worker->server->opts.handler(req, worker->server->opts.arg);
    http_req_release(req);
    write_answered(worker);
}

/* What cannot be read is answered like any other error of a caller's. */
static void
on_unreadable(void *arg, caller_t *caller, int status, const char *why)
{
    const char *code = status == 413 ? "body_too_large" : "bad_request";
    CLEAN_BUF buf_t headers = {0};
    CLEAN_JSON json_t *body =
        json_pack("{s:{s:s,s:s}}", "error", "code", code, "message", why);
    CLEAN_TEXT char *text = json_dumps(body, JSON_COMPACT);
    (void)arg;
    buf_str(&headers, "Content-Type: application/json\r\n");
    caller_answer(caller, status, &headers, text, strlen(text));
}

/* ---- from any thread ---- */

static void
worker_open(worker_t *worker, http_server_t *server, evutil_socket_t fd)
{
    door_ask_t ask = {
        .fd = fd,
        .callers_max = server->opts.connections_max / server->threads,
        .hooks = {.limits = limits,
                  .on_request = on_request,
                  .on_unreadable = on_unreadable,
                  .on_left = on_left,
                  .on_drained = on_drained,
                  .arg = worker}};
    worker->server = server;
    (void)pthread_mutex_init(&worker->lock, NULL);
    CK_STAILQ_INIT(&worker->answered);
    loop_open(&worker->loop, on_wake, worker);
    worker->door = http_door_open(worker->loop.base, &ask);
}

/* Start a server on an address of this host. */
http_server_t *
http_server_start(const http_server_opts_t *opts, err_t *err)
{
    evutil_socket_t fd = http_listen(opts->addr, err);
    if (fd < 0) {
        return NULL;
    }
    http_server_t *server = mem_zalloc(sizeof(*server));
    server->opts = *opts;
    server->threads = opts->threads > 0 ? opts->threads : 1;
    server->workers = mem_zalloc(server->threads * sizeof(worker_t));
    for (unsigned i = 0; i < server->threads; i++) {
        worker_open(&server->workers[i], server, i == 0 ? fd : dup(fd));
    }
    for (unsigned i = 0; i < server->threads; i++) {
        loop_start(&server->workers[i].loop);
    }
    return server;
}

/* Take no more connections; those that are open are served on, each told to
 * close behind its next answer. */
void
http_server_quiesce(http_server_t *server)
{
    __atomic_store_n(&server->closing, true, __ATOMIC_RELEASE);
    for (unsigned i = 0; i < server->threads; i++) {
        loop_wake(&server->workers[i].loop);
    }
}

/* Connections that are open now. */
unsigned
http_server_connections(http_server_t *server)
{
    size_t count = 0;
    for (unsigned i = 0; i < server->threads; i++) {
        count += http_door_callers(server->workers[i].door);
    }
    return (unsigned)count;
}

/* Stop; every request has been answered before, or is cut. */
void
http_server_stop(http_server_t *server)
{
    if (server == NULL) {
        return;
    }
    for (unsigned i = 0; i < server->threads; i++) {
        worker_t *worker = &server->workers[i];
        loop_join(&worker->loop);
        http_door_free(worker->door);
        loop_close(&worker->loop);
        (void)pthread_mutex_destroy(&worker->lock);
    }
    free(server->workers);
    free(server);
}

const char *
http_req_method(const http_req_t *req)
{
    return req->method;
}

/* The path without its escapes. */
const char *
http_req_path(const http_req_t *req)
{
    return req->path;
}

/* Keep a text as long as the request. */
static const char *
req_keep(http_req_t *req, const char *data, size_t len)
{
    text_t *text = mem_zalloc(sizeof(*text) + len + 1);
    memcpy(text->data, data, len);
    CK_SLIST_INSERT_HEAD(&req->texts, text, entry);
    return text->data;
}

/* A value of the query string without its escapes, or NULL. */
const char *
http_req_query(http_req_t *req, const char *key)
{
    const char *target = http_head_at(&req->head, req->head.target);
    const char *end = target + req->head.target.len;
    const char *at = memchr(target, '?', req->head.target.len);
    size_t key_len = strlen(key);
    while (at != NULL && ++at < end) {
        const char *next = memchr(at, '&', (size_t)(end - at));
        size_t len = (size_t)((next != NULL ? next : end) - at);
        if (len > key_len && memcmp(at, key, key_len) == 0 &&
            at[key_len] == '=') {
            CLEAN_TEXT char *value =
                url_unescape(at + key_len + 1, len - key_len - 1, true);
            return req_keep(req, value, strlen(value));
        }
        at = next;
    }
    return NULL;
}

/* A header's value, or NULL. */
const char *
http_req_header(http_req_t *req, const char *name)
{
    const header_t *header = http_head_find(&req->head, name);
    if (header == NULL) {
        return NULL;
    }
    return req_keep(req, http_head_at(&req->head, header->value),
                    header->value.len);
}

/* Append what the caller asked for behind so many characters of the path, as
 * it was on the wire, the query included. */
void
http_req_target(http_req_t *req, size_t from, buf_t *out)
{
    const char *target = http_head_at(&req->head, req->head.target);
    size_t len = req->head.target.len;
    size_t at = 0;
    for (size_t i = 0; i < from && at < len; i++) {
        at += url_unit(target + at, len - at);
    }
    buf_add(out, target + at, len - at);
}

/* The whole body, NUL-ended. */
const char *
http_req_body(const http_req_t *req, size_t *len)
{
    if (len != NULL) {
        *len = req->body.len;
    }
    return buf_text(&req->body);
}

static void
add_header(http_req_t *req, const char *name, const char *value)
{
    if (req->reply == REPLY_NONE) {
        buf_fmt(&req->headers, "%s: %s\r\n", name, value);
    }
}

/* Add a header to the answer, before it is begun. */
void
http_req_reply_header(http_req_t *req, const char *name, const char *value)
{
    LOCK_SCOPE(&req->lock);
    add_header(req, name, value);
}

/* There is something to write.  The caller holds the request's lock. */
static void
req_answered(http_req_t *req)
{
    worker_t *worker = req->worker;
    if (req->caller == NULL) {
        return;
    }
    LOCK_SCOPE(&worker->lock);
    if (req->queued) {
        return;
    }
    bool first = CK_STAILQ_EMPTY(&worker->answered);
    req->queued = true;
    req->refs++;
    CK_STAILQ_INSERT_TAIL(&worker->answered, req, answered);
    if (first) {
        loop_wake(&worker->loop);
    }
}

static void
req_begin(http_req_t *req, reply_t reply, int status, const char *type)
{
    add_header(req, "Content-Type", type);
    req->status = status;
    req->reply = reply;
}

/* Answer whole; only the first answer to a request counts. */
void
http_req_reply(http_req_t *req, int status, const char *type, const char *body,
               size_t len)
{
    LOCK_SCOPE(&req->lock);
    if (req->reply != REPLY_NONE) {
        return;
    }
    buf_add(&req->out, body, len);
    req_begin(req, REPLY_WHOLE, status, type);
    req_answered(req);
}

/* Begin a streamed answer. */
void
http_req_stream(http_req_t *req, int status, const char *type)
{
    LOCK_SCOPE(&req->lock);
    if (req->reply != REPLY_NONE) {
        return;
    }
    req_begin(req, REPLY_STREAM, status, type);
    req_answered(req);
}

/* Append to a streamed answer; bytes for a caller that is gone are lost. */
void
http_req_write(http_req_t *req, const char *data, size_t len)
{
    LOCK_SCOPE(&req->lock);
    if (req->caller == NULL || req->reply != REPLY_STREAM || req->ended) {
        return;
    }
    buf_add(&req->out, data, len);
    req_answered(req);
}

/* End a streamed answer.  One that is not whole breaks the connection before
 * the last chunk, so that no client can take it for the end. */
void
http_req_end(http_req_t *req, bool whole)
{
    LOCK_SCOPE(&req->lock);
    if (req->ended) {
        return;
    }
    req->ended = true;
    req->whole = whole;
    req_answered(req);
}

/* Whether the caller has hung up. */
bool
http_req_gone(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    return req->caller == NULL;
}

/* Bytes that wait because the caller does not read. */
size_t
http_req_backlog(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    return req->out.len;
}

/* Cut the connection without any answer; fakes use it for their faults. */
void
http_req_cut(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    if (req->reply == REPLY_NONE) {
        req->reply = REPLY_CUT;
        req_answered(req);
    }
}
