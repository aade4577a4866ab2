#include "http.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <microhttpd.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REPLY_HEADERS_MAX 8
#define CONNECTION_MEMORY (32 * 1024)
#define STREAM_BLOCK (16 * 1024)

struct http_server {
    struct MHD_Daemon *mhd;
    http_server_opts_t opts;
    bool closing;
};

/* Lock order: a request's lock is a leaf; nothing else is taken under it
 * but libmicrohttpd's own in suspend and resume. */
struct http_req {
    pthread_mutex_t lock;
    unsigned refs;
    http_server_t *server;
    struct MHD_Connection *conn; /* NULL once the connection has ended */
    char method[16];
    char *path;
    buf_t body;
    bool too_long;
    bool handed;    /* the handler has been called */
    bool ready;     /* status and headers are known */
    bool queued;    /* the response is libmicrohttpd's now */
    bool suspended; /* the connection sleeps until ready or data */
    bool streaming;
    bool ended;
    bool whole;
    int status;
    char *names[REPLY_HEADERS_MAX];
    char *values[REPLY_HEADERS_MAX];
    unsigned headers;
    buf_t out;
    size_t out_at;
};

static void
req_free(http_req_t *req)
{
    for (unsigned i = 0; i < req->headers; i++) {
        free(req->names[i]);
        free(req->values[i]);
    }
    buf_free(&req->body);
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

/* Wake the connection if it sleeps.  The caller holds the request's lock,
 * so the wake cannot fall between the sleeper's check and its sleep. */
static void
req_wake(http_req_t *req)
{
    if (req->suspended && req->conn != NULL) {
        req->suspended = false;
        MHD_resume_connection(req->conn);
    }
}

static void
req_suspend(http_req_t *req)
{
    req->suspended = true;
    MHD_suspend_connection(req->conn);
}

/* Feed libmicrohttpd from the buffer, or put the connection to sleep. */
static ssize_t
req_read(void *cls, uint64_t pos, char *out, size_t max)
{
    (void)pos;
    http_req_t *req = cls;
    LOCK_SCOPE(&req->lock);
    size_t have = req->out.len - req->out_at;
    if (have == 0 && req->ended) {
        return req->whole ? MHD_CONTENT_READER_END_OF_STREAM
                          : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (have == 0) {
        req_suspend(req);
        return 0;
    }
    size_t take = have < max ? have : max;
    memcpy(out, req->out.data + req->out_at, take);
    req->out_at += take;
    if (req->out_at == req->out.len) {
        req->out.len = 0;
        req->out_at = 0;
    }
    return (ssize_t)take;
}

/* Hand the response to libmicrohttpd.  Not under the request's lock, since
 * libmicrohttpd calls req_read under a lock of the response's own; once the
 * request is ready, what is read here does not change. */
static enum MHD_Result
req_queue(http_req_t *req)
{
    struct MHD_Response *response =
        req->streaming
            ? MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK,
                                                req_read, req, NULL)
            : MHD_create_response_from_buffer(req->out.len, req->out.data,
                                              MHD_RESPMEM_MUST_COPY);
    if (response == NULL) {
        return MHD_NO;
    }
    for (unsigned i = 0; i < req->headers; i++) {
        (void)MHD_add_response_header(response, req->names[i], req->values[i]);
    }
    if (__atomic_load_n(&req->server->closing, __ATOMIC_ACQUIRE)) {
        (void)MHD_add_response_header(response, "Connection", "close");
    }
    req->queued = true;
    enum MHD_Result result =
        MHD_queue_response(req->conn, (unsigned)req->status, response);
    MHD_destroy_response(response);
    return result;
}

static http_req_t *
req_new(http_server_t *server, struct MHD_Connection *conn, const char *method,
        const char *path)
{
    http_req_t *req = mem_zalloc(sizeof(*req));
    (void)pthread_mutex_init(&req->lock, NULL);
    req->refs = 1;
    req->server = server;
    req->conn = conn;
    str_copy(req->method, sizeof(req->method), method);
    req->path = strdup(path);
    return req;
}

static void
req_take_body(http_req_t *req, const char *data, size_t len)
{
    if (req->body.len + len > req->server->opts.body_max) {
        req->too_long = true;
        buf_free(&req->body);
    }
    if (!req->too_long) {
        buf_add(&req->body, data, len);
    }
}

static void
req_hand_over(http_req_t *req)
{
    if (req->too_long) {
        http_req_reply_error(req, 413, "body_too_large",
                             "the body may have at most %zu bytes",
                             req->server->opts.body_max);
        return;
    }
    req->server->opts.handler(req, req->server->opts.arg);
}

/* Called by libmicrohttpd for the head, each piece of the body, its end, and
 * again after each resume until a response is queued. */
static enum MHD_Result
server_access(void *cls, struct MHD_Connection *conn, const char *url,
              const char *method, const char *version, const char *data,
              size_t *data_len, void **slot)
{
    (void)version;
    http_req_t *req = *slot;
    if (req == NULL) {
        *slot = req_new(cls, conn, method, url);
        return MHD_YES;
    }
    if (*data_len > 0) {
        req_take_body(req, data, *data_len);
        *data_len = 0;
        return MHD_YES;
    }
    if (!req->handed) {
        req->handed = true;
        req_hand_over(req);
    }
    (void)pthread_mutex_lock(&req->lock);
    bool ready = req->ready;
    if (!ready) {
        req_suspend(req);
    }
    (void)pthread_mutex_unlock(&req->lock);
    return !ready || req->queued ? MHD_YES : req_queue(req);
}

static void
server_completed(void *cls, struct MHD_Connection *conn, void **slot,
                 enum MHD_RequestTerminationCode code)
{
    (void)cls;
    (void)conn;
    (void)code;
    http_req_t *req = *slot;
    if (req == NULL) {
        return;
    }
    (void)pthread_mutex_lock(&req->lock);
    req->conn = NULL;
    (void)pthread_mutex_unlock(&req->lock);
    http_req_release(req);
    *slot = NULL;
}

/* Start a server on an address of this host. */
http_server_t *
http_server_start(const http_server_opts_t *opts, err_t *err)
{
    http_server_t *server = mem_zalloc(sizeof(*server));
    server->opts = *opts;
    char host[CS_ADDR_MAX];
    str_copy(host, sizeof(host), opts->addr);
    char *colon = strrchr(host, ':');
    if (colon == NULL) {
        free(server);
        (void)err_set(err, ERR_HTTP, 0, "bad address %s", opts->addr);
        return NULL;
    }
    *colon = '\0';
    struct sockaddr_in at = {.sin_family = AF_INET};
    at.sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
    (void)inet_pton(AF_INET, host, &at.sin_addr);
    server->mhd = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        0, NULL, NULL, server_access, server, MHD_OPTION_SOCK_ADDR, &at,
        MHD_OPTION_THREAD_POOL_SIZE, opts->threads > 1 ? opts->threads : 0,
        MHD_OPTION_CONNECTION_LIMIT, opts->connections_max,
        MHD_OPTION_CONNECTION_TIMEOUT, opts->idle_seconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
        MHD_OPTION_NOTIFY_COMPLETED, server_completed, NULL, MHD_OPTION_END);
    if (server->mhd == NULL) {
        free(server);
        (void)err_set(err, ERR_HTTP, 0, "cannot listen on %s", opts->addr);
        return NULL;
    }
    return server;
}

/* Take no more connections; those that are open are served on, each told to
 * close behind its next answer.  A caller that comes now is refused by the
 * host itself, so nothing of its request has run. */
void
http_server_quiesce(http_server_t *server)
{
    if (__atomic_exchange_n(&server->closing, true, __ATOMIC_ACQ_REL)) {
        return;
    }
    int fd = MHD_quiesce_daemon(server->mhd);
    if (fd >= 0) {
        (void)close(fd);
    }
}

/* Connections that are open now. */
unsigned
http_server_connections(http_server_t *server)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->mhd, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info == NULL ? 0 : info->num_connections;
}

/* Stop; every request has been answered before, or is cut. */
void
http_server_stop(http_server_t *server)
{
    if (server == NULL) {
        return;
    }
    MHD_stop_daemon(server->mhd);
    free(server);
}

const char *
http_req_method(const http_req_t *req)
{
    return req->method;
}

const char *
http_req_path(const http_req_t *req)
{
    return req->path;
}

/* A value of the query string; only within the handler. */
const char *
http_req_query(http_req_t *req, const char *key)
{
    return MHD_lookup_connection_value(req->conn, MHD_GET_ARGUMENT_KIND, key);
}

/* A header's value; only within the handler. */
const char *
http_req_header(http_req_t *req, const char *name)
{
    return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

static void
add_escaped(buf_t *out, const char *text, const char *keep)
{
    for (; *text != '\0'; text++) {
        unsigned char byte = (unsigned char)*text;
        if (isalnum(byte) || strchr(keep, byte) != NULL) {
            buf_add(out, text, 1);
        }
        else {
            buf_fmt(out, "%%%02X", byte);
        }
    }
}

static enum MHD_Result
add_argument(void *arg, enum MHD_ValueKind kind, const char *key,
             const char *value)
{
    (void)kind;
    buf_t *query = arg;
    buf_str(query, query->len == 0 ? "?" : "&");
    add_escaped(query, key, "-._~");
    if (value != NULL) {
        buf_str(query, "=");
        add_escaped(query, value, "-._~");
    }
    return MHD_YES;
}

/* Append the path from an offset on, and the query, escaped anew as a URL
 * needs them (RFC 3986); only within the handler. */
void
http_req_target(http_req_t *req, size_t from, buf_t *out)
{
    CLEAN_BUF buf_t query = {0};
    add_escaped(out, req->path + from, "-._~/:@!$&'()*+,;=");
    (void)MHD_get_connection_values(req->conn, MHD_GET_ARGUMENT_KIND,
                                    add_argument, &query);
    buf_add(out, buf_text(&query), query.len);
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
req_add_header(http_req_t *req, const char *name, const char *value)
{
    if (req->ready || req->headers == REPLY_HEADERS_MAX) {
        return;
    }
    req->names[req->headers] = strdup(name);
    req->values[req->headers] = strdup(value);
    req->headers++;
}

/* Add a header to the answer, before it is begun. */
void
http_req_reply_header(http_req_t *req, const char *name, const char *value)
{
    LOCK_SCOPE(&req->lock);
    req_add_header(req, name, value);
}

/* Answer whole; only the first answer to a request counts. */
void
http_req_reply(http_req_t *req, int status, const char *type, const char *body,
               size_t len)
{
    LOCK_SCOPE(&req->lock);
    if (req->ready) {
        return;
    }
    req_add_header(req, "Content-Type", type);
    buf_add(&req->out, body, len);
    req->status = status;
    req->ready = true;
    req_wake(req);
}

/* Answer with a JSON document. */
void
http_req_reply_json(http_req_t *req, int status, const json_t *body)
{
    CLEAN_TEXT char *text = json_dumps(body, JSON_COMPACT);
    if (text != NULL) {
        http_req_reply(req, status, "application/json", text, strlen(text));
    }
}

/* Answer with an error document: {"error":{"code","message"}}. */
void
http_req_reply_error(http_req_t *req, int status, const char *code,
                     const char *fmt, ...)
{
    char text[512];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    CLEAN_JSON json_t *body =
        json_pack("{s:{s:s,s:s}}", "error", "code", code, "message", text);
    http_req_reply_json(req, status, body);
}

/* Begin a streamed answer. */
void
http_req_stream(http_req_t *req, int status, const char *type)
{
    LOCK_SCOPE(&req->lock);
    if (req->ready) {
        return;
    }
    req_add_header(req, "Content-Type", type);
    req->status = status;
    req->streaming = true;
    req->ready = true;
    req_wake(req);
}

/* Append to a streamed answer; bytes for a caller that is gone are lost. */
void
http_req_write(http_req_t *req, const char *data, size_t len)
{
    LOCK_SCOPE(&req->lock);
    if (req->conn == NULL || req->ended) {
        return;
    }
    buf_add(&req->out, data, len);
    req_wake(req);
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
    req_wake(req);
}

/* Whether the caller has hung up. */
bool
http_req_gone(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    return req->conn == NULL;
}

/* Bytes that the caller has not read yet. */
size_t
http_req_backlog(http_req_t *req)
{
    LOCK_SCOPE(&req->lock);
    return req->out.len - req->out_at;
}

/* Cut the connection without any answer; fakes use it for their faults. */
void
http_req_cut(http_req_t *req)
{
    http_req_stream(req, 200, "application/octet-stream");
    http_req_end(req, false);
}
