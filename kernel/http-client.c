#include "exchange.h"
#include "http.h"
#include "loop.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* HTTP client for multi-threaded programs: several worker threads, each with
 * its own event loop.  An exchange is assigned to one worker, and all of its
 * callbacks run on that thread. */

/* Hash slots for the running exchanges of a worker. */
#define XFER_SLOTS 1024
/* Interval at which expired idle connections are closed. */
#define SWEEP_INTERVAL_MS 500
/* Used for a request that sets no connect timeout. */
#define CONNECT_MS_DEFAULT 5000
#define URL_SCHEME "http://"

typedef struct worker worker_t;

/* An exchange with its callbacks.  After the worker has taken it off the
 * inbox, only the worker's thread accesses it. */
typedef struct xfer {
    CK_STAILQ_ENTRY(xfer) inbox;
    CK_LIST_ENTRY(xfer) running;
    uint64_t id;
    http_client_request_t request;
    char addr[CS_ADDR_MAX];
    buf_t head;
    char *body;
    exchange_t *exchange;
    int status;
    http_end_t end;
    bool done;
    worker_t *worker; /* NULL for http_fetch */
} xfer_t;

typedef CK_STAILQ_HEAD(xfer_inbox, xfer) xfer_inbox_t;
typedef CK_LIST_HEAD(xfer_list, xfer) xfer_list_t;

/* The lock guards inbox and cancels; no other lock is taken under it. */
struct worker {
    loop_t loop;
    pthread_mutex_t lock;
    exchanges_t *exchanges;
    struct event *sweep;
    xfer_inbox_t inbox;
    buf_t cancels; /* an array of uint64_t ids */
    xfer_list_t running[XFER_SLOTS];
};

struct http_client {
    unsigned threads;
    uint64_t last_id;
    pthread_mutex_t lock;
    worker_t *workers;
};

/* ---- one exchange ---- */

static bool
has_header(const http_client_request_t *request, const char *name)
{
    size_t len = strlen(name);
    for (int i = 0; i < HTTP_CLIENT_HEADERS_MAX && request->headers[i] != NULL;
         i++) {
        if (strncasecmp(request->headers[i], name, len) == 0 &&
            request->headers[i][len] == ':') {
            return true;
        }
    }
    return false;
}

/* Formats the request head and extracts the address from the URL. */
static void
xfer_write_head(xfer_t *xfer)
{
    const http_client_request_t *request = &xfer->request;
    const char *host = request->url;
    if (strncmp(host, URL_SCHEME, strlen(URL_SCHEME)) == 0) {
        host += strlen(URL_SCHEME);
    }
    size_t len = strcspn(host, "/?");
    const char *target = host + len;
    if (len < sizeof(xfer->addr)) {
        memcpy(xfer->addr, host, len);
    }
    buf_fmt(&xfer->head, "%s %s%s HTTP/1.1\r\nHost: %s\r\n", request->method,
            target[0] == '/' ? "" : "/", target, xfer->addr);
    for (int i = 0; i < HTTP_CLIENT_HEADERS_MAX && request->headers[i] != NULL;
         i++) {
        buf_fmt(&xfer->head, "%s\r\n", request->headers[i]);
    }
    if (request->body != NULL || strcmp(request->method, "GET") != 0) {
        buf_fmt(&xfer->head, "Content-Length: %zu\r\n", request->body_len);
    }
    if (request->body != NULL && !has_header(request, "Content-Type")) {
        buf_str(&xfer->head, "Content-Type: application/json\r\n");
    }
    buf_str(&xfer->head, "\r\n");
}

static xfer_t *
xfer_new(const http_client_request_t *request, uint64_t id)
{
    xfer_t *xfer = mem_zalloc(sizeof(*xfer));
    xfer->id = id;
    xfer->request = *request;
    xfer_write_head(xfer);
    if (request->body != NULL) {
        xfer->body = mem_zalloc(request->body_len + 1);
        memcpy(xfer->body, request->body, request->body_len);
    }
    return xfer;
}

static void
xfer_free(xfer_t *xfer)
{
    buf_free(&xfer->head);
    free(xfer->body);
    free(xfer);
}

static void
pass_header(const xfer_t *xfer, const http_head_t *head,
            const header_t *header)
{
    char name[128];
    char value[512];
    http_head_copy(head, header->name, name, sizeof(name));
    http_head_copy(head, header->value, value, sizeof(value));
    xfer->request.on_header(xfer->request.arg, name, value);
}

static head_action_t
on_head(void *arg, const http_head_t *head)
{
    xfer_t *xfer = arg;
    xfer->status = head->status;
    for (unsigned i = 0; xfer->request.on_header != NULL && i < head->count;
         i++) {
        pass_header(xfer, head, &head->headers[i]);
    }
    return HEAD_ACCEPT;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    xfer_t *xfer = arg;
    if (xfer->request.on_data != NULL) {
        xfer->request.on_data(xfer->request.arg, xfer->status, data, len);
    }
}

static void
xfer_finish(xfer_t *xfer, http_end_t end)
{
    xfer->end = end;
    xfer->done = true;
    if (xfer->worker == NULL) {
        return; /* http_fetch polls done */
    }
    CK_LIST_REMOVE(xfer, running);
    if (xfer->request.on_end != NULL) {
        xfer->request.on_end(xfer->request.arg, end, xfer->status);
    }
    xfer_free(xfer);
}

static void
on_end(void *arg, exchange_end_t end)
{
    xfer_t *xfer = arg;
    xfer->exchange = NULL;
    switch (end) {
        case EXCHANGE_COMPLETE:
            xfer_finish(xfer, HTTP_END_COMPLETE);
            return;
        case EXCHANGE_UNSENT:
            xfer_finish(xfer, HTTP_END_UNSENT);
            return;
        case EXCHANGE_TIMEOUT:
            xfer_finish(xfer, HTTP_END_TIMEOUT);
            return;
        case EXCHANGE_NO_ANSWER:
        case EXCHANGE_BROKEN:
        case EXCHANGE_MALFORMED:
        case EXCHANGE_STOPPED:
            xfer_finish(xfer, HTTP_END_BROKEN);
            return;
    }
}

static void
xfer_start(xfer_t *xfer, exchanges_t *exchanges)
{
    const http_client_request_t *request = &xfer->request;
    exchange_hooks_t hooks = {on_head, on_body, on_end, xfer};
    exchange_request_t exchange_request = {
        .addr = xfer->addr,
        .head = xfer->head.data,
        .head_len = xfer->head.len,
        .body = xfer->body,
        .body_len = request->body_len,
        .no_response_body = strcmp(request->method, "HEAD") == 0,
        .new_connection = request->new_connection,
        .connect_ms =
            request->connect_ms > 0 ? request->connect_ms : CONNECT_MS_DEFAULT,
        .total_ms = request->total_ms};
    xfer->exchange = exchange_start(exchanges, &exchange_request, &hooks);
}

/* ---- on the worker's thread ---- */

static xfer_t *
inbox_take(worker_t *worker)
{
    LOCK_SCOPE(&worker->lock);
    xfer_t *xfer = CK_STAILQ_FIRST(&worker->inbox);
    if (xfer != NULL) {
        CK_STAILQ_REMOVE_HEAD(&worker->inbox, inbox);
    }
    return xfer;
}

static void
start_submitted(worker_t *worker)
{
    xfer_t *xfer;
    while ((xfer = inbox_take(worker)) != NULL) {
        CK_LIST_INSERT_HEAD(&worker->running[xfer->id % XFER_SLOTS], xfer,
                            running);
        xfer_start(xfer, worker->exchanges);
    }
}

static void
xfer_cancel(xfer_t *xfer)
{
    exchange_cancel(xfer->exchange);
    xfer_finish(xfer, HTTP_END_CANCELLED);
}

static void
cancel_one(worker_t *worker, uint64_t id)
{
    xfer_t *xfer;
    CK_LIST_FOREACH (xfer, &worker->running[id % XFER_SLOTS], running) {
        if (xfer->id == id) {
            xfer_cancel(xfer);
            return;
        }
    }
}

static void
process_cancels(worker_t *worker)
{
    (void)pthread_mutex_lock(&worker->lock);
    CLEAN_BUF buf_t cancels = worker->cancels;
    worker->cancels = (buf_t){0};
    (void)pthread_mutex_unlock(&worker->lock);
    for (size_t at = 0; at < cancels.len; at += sizeof(uint64_t)) {
        uint64_t id;
        memcpy(&id, cancels.data + at, sizeof(id));
        cancel_one(worker, id);
    }
}

static void
cancel_all(worker_t *worker)
{
    for (size_t i = 0; i < XFER_SLOTS; i++) {
        xfer_t *xfer;
        while ((xfer = CK_LIST_FIRST(&worker->running[i])) != NULL) {
            xfer_cancel(xfer);
        }
    }
}

static void
on_wake(void *arg)
{
    worker_t *worker = arg;
    start_submitted(worker);
    process_cancels(worker);
    if (loop_is_stopping(&worker->loop)) {
        cancel_all(worker);
    }
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
    worker_t *worker = arg;
    (void)fd;
    (void)what;
    exchanges_sweep(worker->exchanges);
}

/* ---- from any thread ---- */

static void
worker_start(worker_t *worker)
{
    static const struct timeval sweep = {0, SWEEP_INTERVAL_MS * 1000};
    (void)pthread_mutex_init(&worker->lock, NULL);
    CK_STAILQ_INIT(&worker->inbox);
    loop_open(&worker->loop, on_wake, worker);
    worker->exchanges = exchanges_new(worker->loop.base);
    worker->sweep =
        event_new(worker->loop.base, -1, EV_PERSIST, on_sweep, worker);
    (void)event_add(worker->sweep, &sweep);
    loop_start(&worker->loop);
}

static void
worker_stop(worker_t *worker)
{
    loop_join(&worker->loop);
    on_wake(worker); /* requests made after the last on_wake */
    exchanges_free(worker->exchanges);
    event_free(worker->sweep);
    loop_close(&worker->loop);
    buf_free(&worker->cancels);
    (void)pthread_mutex_destroy(&worker->lock);
}

/* Creates a client and starts its worker threads. */
http_client_t *
http_client_new(unsigned threads)
{
    http_client_t *client = mem_zalloc(sizeof(*client));
    (void)pthread_mutex_init(&client->lock, NULL);
    client->threads = threads;
    client->workers = mem_zalloc(threads * sizeof(worker_t));
    for (unsigned i = 0; i < threads; i++) {
        worker_start(&client->workers[i]);
    }
    return client;
}

/* Ends all exchanges as cancelled, joins the workers and frees the client. */
void
http_client_free(http_client_t *client)
{
    for (unsigned i = 0; i < client->threads; i++) {
        worker_stop(&client->workers[i]);
    }
    (void)pthread_mutex_destroy(&client->lock);
    free(client->workers);
    free(client);
}

/* Starts an exchange and returns its id for http_client_cancel.  All callbacks
 * run on one worker's thread; on_end is the last, called exactly
 * once. */
uint64_t
http_client_start(http_client_t *client, const http_client_request_t *request)
{
    (void)pthread_mutex_lock(&client->lock);
    uint64_t id = ++client->last_id;
    (void)pthread_mutex_unlock(&client->lock);
    xfer_t *xfer = xfer_new(request, id);
    worker_t *worker = &client->workers[id % client->threads];
    xfer->worker = worker;
    (void)pthread_mutex_lock(&worker->lock);
    CK_STAILQ_INSERT_TAIL(&worker->inbox, xfer, inbox);
    (void)pthread_mutex_unlock(&worker->lock);
    loop_wake(&worker->loop);
    return id;
}

/* Requests that an exchange ends as cancelled; no effect once it has ended. */
void
http_client_cancel(http_client_t *client, uint64_t id)
{
    worker_t *worker = &client->workers[id % client->threads];
    (void)pthread_mutex_lock(&worker->lock);
    buf_add(&worker->cancels, &id, sizeof(id));
    (void)pthread_mutex_unlock(&worker->lock);
    loop_wake(&worker->loop);
}

static void
fetch_on_data(void *arg, int status, const char *data, size_t len)
{
    (void)status;
    buf_add(arg, data, len);
}

/* Runs one exchange in the calling thread, for start-up, command-line tools
 * and threads that may block. */
http_end_t
http_fetch(const http_client_request_t *request, int *status, buf_t *reply)
{
    http_client_request_t copy = *request;
    copy.on_header = NULL;
    copy.on_data = fetch_on_data;
    copy.arg = reply;
    struct event_base *base = event_base_new();
    exchanges_t *exchanges = exchanges_new(base);
    xfer_t *xfer = xfer_new(&copy, 0);
    xfer_start(xfer, exchanges);
    while (!xfer->done) {
        (void)event_base_loop(base, EVLOOP_ONCE);
    }
    http_end_t end = xfer->end;
    *status = xfer->status;
    xfer_free(xfer);
    exchanges_free(exchanges);
    event_base_free(base);
    return end;
}
