#ifndef CELERYSPOOL_HTTP_H
#define CELERYSPOOL_HTTP_H

/* HTTP server and client for multi-threaded programs.  The server, built on
 * http-listener.h, lets a handler respond later and from any thread; the
 * client is built on exchange.h.  A streaming request occupies no thread on
 * either side. */

#include "base.h"

typedef struct http_server http_server_t;
typedef struct http_req http_req_t;
typedef void (*http_handler_t)(http_req_t *req, void *arg);

typedef struct {
    const char *addr; /* IPV4:PORT */
    int fd; /* a socket that listens there; 0 if the server opens one */
    unsigned threads;
    size_t body_max; /* bytes; a longer body gets a 413 */
    unsigned connections_max;
    unsigned idle_seconds; /* idle connections close after this; 0: 60 */
    http_handler_t handler;
    void *arg;
} http_server_opts_t;

http_server_t *http_server_start(const http_server_opts_t *opts, err_t *err);
void http_server_drain(http_server_t *server);
unsigned http_server_connections(http_server_t *server);
void http_server_stop(http_server_t *server);

/* The request; pointers are valid until it is released. */
const char *http_req_method(const http_req_t *req);
const char *http_req_path(const http_req_t *req);
const char *http_req_query(http_req_t *req, const char *key);
const char *http_req_header(http_req_t *req, const char *name);
void http_req_target(http_req_t *req, size_t from, buf_t *out);
const char *http_req_body(const http_req_t *req, size_t *len);

/* The response.  A handler that responds after it has returned takes a
 * reference with http_req_ref and drops it with http_req_unref. */
void http_req_ref(http_req_t *req);
void http_req_unref(http_req_t *req);
void http_req_reply_header(http_req_t *req, const char *name,
                           const char *value);
void http_req_reply(http_req_t *req, int status, const char *type,
                    const char *body, size_t len);
void http_req_reply_json(http_req_t *req, int status, const json_t *body);
void http_req_reply_error(http_req_t *req, int status, const char *code,
                          const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
void http_req_stream(http_req_t *req, int status, const char *type);
void http_req_write(http_req_t *req, const char *data, size_t len);
void http_req_end(http_req_t *req, bool complete);
bool http_req_is_disconnected(http_req_t *req);
size_t http_req_backlog(http_req_t *req);
void http_req_abort(http_req_t *req);

typedef struct http_client http_client_t;

/* How an exchange ended. */
typedef enum {
    HTTP_END_COMPLETE,  /* a status and the complete body were read */
    HTTP_END_UNSENT,    /* no byte of the request was sent */
    HTTP_END_BROKEN,    /* it failed after bytes had been sent */
    HTTP_END_TIMEOUT,   /* it timed out after bytes had been sent */
    HTTP_END_CANCELLED, /* by http_client_cancel */
} http_end_t;

#define HTTP_CLIENT_HEADERS_MAX 12

typedef struct {
    const char *method;
    const char *url;
    /* Lines "Name: value"; NULL ends them if there are fewer. */
    const char *headers[HTTP_CLIENT_HEADERS_MAX];
    const char *body; /* copied */
    size_t body_len;
    int connect_ms;
    int total_ms;        /* 0 for none */
    bool new_connection; /* do not reuse an idle connection */
    void (*on_header)(void *arg, const char *name, const char *value);
    void (*on_data)(void *arg, int status, const char *data, size_t len);
    void (*on_end)(void *arg, http_end_t end, int status);
    void *arg;
} http_client_request_t;

http_client_t *http_client_new(unsigned threads);
void http_client_free(http_client_t *client);
uint64_t http_client_start(http_client_t *client,
                           const http_client_request_t *request);
void http_client_cancel(http_client_t *client, uint64_t id);

/* Runs one exchange and blocks until it ends; appends the body to reply. */
http_end_t http_fetch(const http_client_request_t *request, int *status,
                      buf_t *reply);

#endif
