#include "http.h"
#include "http-listener.h"
#include "local-socket.h"
#include "loop.h"
#include "url.h"

#include <ck_queue.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* HTTP server whose handlers may respond later and from any thread: several
 * event loops, each with a listener on the same socket.  A response is stored
 * in its request, and the request is queued for the loop that owns the
 * connection. */

#define HEAD_BYTES_MAX 32768
/* A request head that takes longer to arrive is rejected. */
#define HEAD_TIMEOUT_MS 10000
/* Used if the options set no idle timeout. */
#define IDLE_S_DEFAULT 60
/* Bytes buffered for a connection that its client has not read yet; the rest
 * stays in the request and counts as its backlog. */
#define CALLER_OUTPUT_MAX 65536

typedef struct text {
    CK_SLIST_ENTRY(text) entry;
    char data[];
} text_t;

typedef CK_SLIST_HEAD(text_list, text) text_list_t;
typedef CK_STAILQ_HEAD(req_queue, http_req) req_queue_t;

/* A worker's lock is taken after a request's, and no other one under it. */
typedef struct {
    http_server_t *server;
    loop_t loop;
    http_listener_t *listener;
    pthread_mutex_t lock;
    req_queue_t pending; /* requests with output to write */
    bool writing;        /* write_pending is running */
} worker_t;

struct http_server {
    http_server_opts_t opts;
    unsigned threads;
    bool draining;
    worker_t *workers;
};

/* What kind of response a request has so far. */
typedef enum {
    REPLY_NONE,
    REPLY_COMPLETE, /* status, headers and body are set */
    REPLY_STREAM,   /* status and headers are set, the body is streamed */
    REPLY_ABORT     /* close the connection without a response */
} reply_t;

/* Lock order: a request's lock, then its worker's. */
struct http_req {
    CK_STAILQ_ENTRY(http_req) pending;
    pthread_mutex_t lock;
    unsigned refs;
    worker_t *worker;
    caller_t *caller; /* NULL once disconnected or the response is complete */
    http_head_t head; /* a copy: the connection may be freed first */
    char method[16];
    char *path;
    buf_t body;
    text_list_t texts; /* copies returned to the handler */
    bool queued;       /* it is in the worker's pending queue */
    reply_t reply;
    bool head_written; /* of a streamed response */
    bool ended;
    bool complete;
    int status;
    buf_t headers; /* of the response, as CRLF-ended lines */
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

/* Takes a reference, so that the request outlives the handler's return. */
void
http_req_ref(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    req->refs++;
}

/* Drops a reference; the last one frees the request. */
void
http_req_unref(http_req_t *req)
{
    (void)pthread_mutex_lock(&req->lock);
    bool last = --req->refs == 0;
    (void)pthread_mutex_unlock(&req->lock);
    if (last) {
        req_free(req);
    }
}

/* ---- on the loop's thread ---- */

/* Separates the request from its connection; the calling function then drops
 * the connection's reference.  Must happen before the response is completed:
 * completing it can start the connection's next request, whose on_request
 * calls write_pending, which could find this request in the queue and write it
 * a second time. */
static caller_t *
req_detach(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    caller_t *caller = req->caller;
    req->caller = NULL;
    return caller;
}

static void
on_disconnect(void *owner)
{
    (void)req_detach(owner);
    http_req_unref(owner);
}

/* A complete reply is not modified any more, so no lock is needed. */
static void
write_complete(http_req_t *req)
{
    caller_t *caller = req_detach(req);
    caller_set_owner(caller, NULL);
    caller_answer(caller, req->status, &req->headers, buf_text(&req->out),
                  req->out.len);
    http_req_unref(req);
}

/* Writes the buffered part of a stream; true once all of it is written. */
static bool
write_stream(http_req_t *req)
{
    caller_t *caller = req->caller;
    if (!req->head_written) {
        req->head_written = true;
        caller_stream_begin(caller, req->status, &req->headers);
    }
    if (caller_unsent_bytes(caller) >= CALLER_OUTPUT_MAX) {
        return false; /* continues in on_flushed */
    }
    LOCK_SCOPE(&req->lock);
    size_t len =
        req->out.len < CALLER_OUTPUT_MAX ? req->out.len : CALLER_OUTPUT_MAX;
    caller_stream_data(caller, buf_text(&req->out), len);
    buf_consume(&req->out, len);
    return req->ended && req->out.len == 0;
}

static void
write_end(http_req_t *req, bool complete)
{
    caller_t *caller = req_detach(req);
    caller_set_owner(caller, NULL);
    http_req_unref(req);
    if (complete) {
        caller_stream_end(caller);
    }
    else {
        caller_abort(caller);
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
        case REPLY_COMPLETE:
            write_complete(req);
            return;
        case REPLY_STREAM:
            if (write_stream(req)) {
                write_end(req, req->complete);
            }
            return;
        case REPLY_ABORT:
            write_end(req, false);
            return;
    }
}

static http_req_t *
take_pending(worker_t *worker)
{
    LOCK_SCOPE(&worker->lock);
    http_req_t *req = CK_STAILQ_FIRST(&worker->pending);
    if (req != NULL) {
        CK_STAILQ_REMOVE_HEAD(&worker->pending, pending);
        req->queued = false;
    }
    return req;
}

/* Writes the output of all pending requests.  A response can start its
 * connection's next request, whose handler may get here again; the inner call
 * returns and the outer loop continues. */
static void
write_pending(worker_t *worker)
{
    http_req_t *req;
    if (worker->writing) {
        return;
    }
    worker->writing = true;
    while ((req = take_pending(worker)) != NULL) {
        req_write(req);
        http_req_unref(req);
    }
    worker->writing = false;
}

static void
on_wake(void *arg)
{
    worker_t *worker = arg;
    if (__atomic_load_n(&worker->server->draining, __ATOMIC_ACQUIRE)) {
        http_listener_drain(worker->listener);
        http_listener_stop_accepting(worker->listener);
    }
    write_pending(worker);
}

static void
on_flushed(void *owner)
{
    req_write(owner);
}

static http_limits_t
limits(void *arg)
{
    const worker_t *worker = arg;
    const http_server_opts_t *opts = &worker->server->opts;
    unsigned idle_s =
        opts->idle_seconds > 0 ? opts->idle_seconds : IDLE_S_DEFAULT;
    return (http_limits_t){HEAD_BYTES_MAX, (int)opts->body_max,
                           HEAD_TIMEOUT_MS, (int)idle_s * 1000};
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
    caller_set_owner(caller, req);
    http_req_ref(req);
    worker->server->opts.handler(req, worker->server->opts.arg);
    http_req_unref(req);
    write_pending(worker);
}

/* Responds to a malformed request with an error document. */
static void
on_bad_request(void *arg, caller_t *caller, int status, const char *reason)
{
    const char *code = status == 413 ? "body_too_large" : "bad_request";
    CLEAN_BUF buf_t headers = {0};
    CLEAN_JSON json_t *body =
        json_pack("{s:{s:s,s:s}}", "error", "code", code, "message", reason);
    CLEAN_TEXT char *text = json_dumps(body, JSON_COMPACT);
    (void)arg;
    buf_str(&headers, "Content-Type: application/json\r\n");
    caller_answer(caller, status, &headers, text, strlen(text));
}

/* ---- from any thread ---- */

static void
worker_open(worker_t *worker, http_server_t *server, evutil_socket_t fd)
{
    http_listener_opts_t listener_opts = {
        .fd = fd,
        .connections_max = server->opts.connections_max / server->threads,
        .hooks = {.limits = limits,
                  .on_request = on_request,
                  .on_bad_request = on_bad_request,
                  .on_disconnect = on_disconnect,
                  .on_flushed = on_flushed,
                  .arg = worker}};
    worker->server = server;
    (void)pthread_mutex_init(&worker->lock, NULL);
    CK_STAILQ_INIT(&worker->pending);
    loop_open(&worker->loop, on_wake, worker);
    worker->listener = http_listener_open(worker->loop.base, &listener_opts);
}

/* Starts a server on a local address. */
http_server_t *
http_server_start(const http_server_opts_t *opts, err_t *err)
{
    local_socket_t local = {
        .use = "callers", .addr = opts->addr, .kind = LOCAL_LISTENER};
    int fd = opts->fd;
    if (fd == 0) {
        if (local_socket_open(&local, err) != 0) {
            return NULL;
        }
        fd = local.fd;
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

/* Stops accepting connections.  Open ones are still served, and each is closed
 * after its next response. */
void
http_server_drain(http_server_t *server)
{
    __atomic_store_n(&server->draining, true, __ATOMIC_RELEASE);
    for (unsigned i = 0; i < server->threads; i++) {
        loop_wake(&server->workers[i].loop);
    }
}

/* The number of open connections. */
unsigned
http_server_connections(http_server_t *server)
{
    size_t count = 0;
    for (unsigned i = 0; i < server->threads; i++) {
        count += http_listener_connections(server->workers[i].listener);
    }
    return (unsigned)count;
}

/* Stops and frees the server; requests without a response are aborted. */
void
http_server_stop(http_server_t *server)
{
    if (server == NULL) {
        return;
    }
    for (unsigned i = 0; i < server->threads; i++) {
        worker_t *worker = &server->workers[i];
        loop_join(&worker->loop);
        http_listener_free(worker->listener);
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

/* The path, percent-decoded. */
const char *
http_req_path(const http_req_t *req)
{
    return req->path;
}

/* Copies a text into memory that lives as long as the request. */
static const char *
req_keep_text(http_req_t *req, const char *data, size_t len)
{
    text_t *text = mem_zalloc(sizeof(*text) + len + 1);
    memcpy(text->data, data, len);
    CK_SLIST_INSERT_HEAD(&req->texts, text, entry);
    return text->data;
}

/* The decoded value of a query parameter, or NULL. */
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
            return req_keep_text(req, value, strlen(value));
        }
        at = next;
    }
    return NULL;
}

/* The value of a header, or NULL. */
const char *
http_req_header(http_req_t *req, const char *name)
{
    const header_t *header = http_head_find(&req->head, name);
    if (header == NULL) {
        return NULL;
    }
    return req_keep_text(req, http_head_at(&req->head, header->value),
                         header->value.len);
}

/* Appends the request target without the first FROM characters of the path (an
 * escape counts as one), as received, including the query. */
void
http_req_target(http_req_t *req, size_t from, buf_t *out)
{
    const char *target = http_head_at(&req->head, req->head.target);
    size_t len = req->head.target.len;
    size_t at = 0;
    for (size_t i = 0; i < from && at < len; i++) {
        at += url_char_len(target + at, len - at);
    }
    buf_add(out, target + at, len - at);
}

/* The body, NUL-terminated. */
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

/* Adds a response header; ignored once the response has begun. */
void
http_req_reply_header(http_req_t *req, const char *name, const char *value)
{
    LOCK_SCOPE(&req->lock);
    add_header(req, name, value);
}

/* Queues the request for its loop to write its output.  The request's lock
 * must be held. */
static void
req_queue_output(http_req_t *req)
{
    worker_t *worker = req->worker;
    if (req->caller == NULL) {
        return;
    }
    LOCK_SCOPE(&worker->lock);
    if (req->queued) {
        return;
    }
    bool first = CK_STAILQ_EMPTY(&worker->pending);
    req->queued = true;
    req->refs++;
    CK_STAILQ_INSERT_TAIL(&worker->pending, req, pending);
    if (first) {
        loop_wake(&worker->loop);
    }
}

static void
req_begin_reply(http_req_t *req, reply_t reply, int status, const char *type)
{
    add_header(req, "Content-Type", type);
    req->status = status;
    req->reply = reply;
}

/* Sets the complete response; any but the first response is ignored. */
void
http_req_reply(http_req_t *req, int status, const char *type, const char *body,
               size_t len)
{
    LOCK_SCOPE(&req->lock);
    if (req->reply != REPLY_NONE) {
        return;
    }
    buf_add(&req->out, body, len);
    req_begin_reply(req, REPLY_COMPLETE, status, type);
    req_queue_output(req);
}

/* Begins a streamed response. */
void
http_req_stream(http_req_t *req, int status, const char *type)
{
    LOCK_SCOPE(&req->lock);
    if (req->reply != REPLY_NONE) {
        return;
    }
    req_begin_reply(req, REPLY_STREAM, status, type);
    req_queue_output(req);
}

/* Appends to a streamed response; dropped if the client has disconnected. */
void
http_req_write(http_req_t *req, const char *data, size_t len)
{
    LOCK_SCOPE(&req->lock);
    if (req->caller == NULL || req->reply != REPLY_STREAM || req->ended) {
        return;
    }
    buf_add(&req->out, data, len);
    req_queue_output(req);
}

/* Ends a streamed response.  An incomplete one closes the connection without
 * the last chunk, so that no client can take it for a complete one. */
void
http_req_end(http_req_t *req, bool complete)
{
    LOCK_SCOPE(&req->lock);
    if (req->ended) {
        return;
    }
    req->ended = true;
    req->complete = complete;
    req_queue_output(req);
}

/* Whether the client has disconnected or its response is complete. */
bool
http_req_is_disconnected(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    return req->caller == NULL;
}

/* Bytes not yet handed to the connection because the client reads slowly. */
size_t
http_req_backlog(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    return req->out.len;
}

/* Closes the connection without a response; used for fault injection. */
void
http_req_abort(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    if (req->reply == REPLY_NONE) {
        req->reply = REPLY_ABORT;
        req_queue_output(req);
    }
}
