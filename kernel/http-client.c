#include "http.h"

#include <ck_queue.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define POLL_MS 1000
#define EVENTS_MAX 128
#define SLOTS 1024
#define CONNECTIONS_KEPT 256

/* One exchange.  It belongs to its worker's thread from the moment that the
 * worker takes it off the inbox until on_end has returned. */
struct http_xfer {
    CK_STAILQ_ENTRY(http_xfer) inbox;
    CK_LIST_ENTRY(http_xfer) live;
    uint64_t id;
    CURL *easy;
    struct curl_slist *headers;
    char *body;
    http_call_t call;
    int status;
    bool cancelled;
};

typedef CK_STAILQ_HEAD(xfer_inbox, http_xfer) xfer_inbox_t;
typedef CK_LIST_HEAD(xfer_list, http_xfer) xfer_list_t;

/* A worker owns one multi handle, and an epoll set with its sockets: with
 * curl_multi_poll every wake would look at every exchange.  Its lock is a
 * leaf. */
typedef struct {
    pthread_t thread;
    pthread_mutex_t lock;
    CURLM *multi;
    int epoll;
    int wake;       /* an eventfd, in the epoll set too */
    int64_t due_ms; /* when libcurl wants to be called; -1 for never */
    xfer_inbox_t inbox;
    buf_t cancels; /* ids, one behind the other */
    xfer_list_t live[SLOTS];
    bool stop;
} worker_t;

struct http_client {
    unsigned threads;
    uint64_t next;
    pthread_mutex_t lock;
    worker_t *workers;
};

static void
xfer_free(http_xfer_t *xfer)
{
    curl_easy_cleanup(xfer->easy);
    curl_slist_free_all(xfer->headers);
    free(xfer->body);
    free(xfer);
}

static size_t
xfer_on_data(char *data, size_t size, size_t count, void *arg)
{
    http_xfer_t *xfer = arg;
    long status = 0;
    (void)curl_easy_getinfo(xfer->easy, CURLINFO_RESPONSE_CODE, &status);
    xfer->status = (int)status;
    if (xfer->call.on_data != NULL && !xfer->cancelled) {
        xfer->call.on_data(xfer->call.arg, xfer->status, data, size * count);
    }
    return size * count;
}

static size_t
xfer_on_header(char *data, size_t size, size_t count, void *arg)
{
    http_xfer_t *xfer = arg;
    size_t len = size * count;
    char line[512];
    char *colon;
    if (xfer->call.on_header == NULL || len >= sizeof(line)) {
        return len;
    }
    memcpy(line, data, len);
    line[len] = '\0';
    line[strcspn(line, "\r\n")] = '\0';
    colon = strchr(line, ':');
    if (colon != NULL) {
        *colon = '\0';
        const char *value = colon + 1 + strspn(colon + 1, " ");
        xfer->call.on_header(xfer->call.arg, line, value);
    }
    return len;
}

/* Fill an easy handle from a call.  Expect: 100-continue and libcurl's own
 * silent retry on a stale connection are kept away by `fresh`, which calls
 * that may not be repeated set. */
static CURL *
xfer_easy(http_xfer_t *xfer)
{
    const http_call_t *call = &xfer->call;
    CURL *easy = curl_easy_init();
    for (int i = 0; i < HTTP_HEADERS_MAX && call->headers[i] != NULL; i++) {
        xfer->headers = curl_slist_append(xfer->headers, call->headers[i]);
    }
    xfer->headers = curl_slist_append(xfer->headers, "Expect:");
    (void)curl_easy_setopt(easy, CURLOPT_URL, call->url);
    (void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
    (void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, xfer->headers);
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    (void)curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                           (long)call->connect_ms);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->total_ms);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, xfer_on_data);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, xfer);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, xfer_on_header);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, xfer);
    (void)curl_easy_setopt(easy, CURLOPT_PRIVATE, xfer);
    if (call->fresh) {
        (void)curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        (void)curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (call->body != NULL) {
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, xfer->body);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                               (curl_off_t)call->body_len);
    }
    return easy;
}

static http_xfer_t *
xfer_new(const http_call_t *call, uint64_t id)
{
    http_xfer_t *xfer = mem_zalloc(sizeof(*xfer));
    xfer->id = id;
    xfer->call = *call;
    if (call->body != NULL) {
        xfer->body = mem_zalloc(call->body_len + 1);
        memcpy(xfer->body, call->body, call->body_len);
    }
    xfer->easy = xfer_easy(xfer);
    return xfer;
}

/* Tell whether any byte of the request can have reached the other end. */
static http_end_t
xfer_end(CURL *easy, CURLcode code)
{
    long sent = 0;
    (void)curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    if (code == CURLE_OK) {
        return HTTP_END_WHOLE;
    }
    if (sent == 0) {
        return HTTP_END_UNSENT;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? HTTP_END_TIMEOUT : HTTP_END_CUT;
}

static void
xfer_finish(worker_t *worker, http_xfer_t *xfer, http_end_t end)
{
    CK_LIST_REMOVE(xfer, live);
    (void)curl_multi_remove_handle(worker->multi, xfer->easy);
    long status = 0;
    (void)curl_easy_getinfo(xfer->easy, CURLINFO_RESPONSE_CODE, &status);
    if (xfer->call.on_end != NULL) {
        xfer->call.on_end(xfer->call.arg, end, (int)status);
    }
    xfer_free(xfer);
}

static void
worker_take_inbox(worker_t *worker)
{
    for (;;) {
        (void)pthread_mutex_lock(&worker->lock);
        http_xfer_t *xfer = CK_STAILQ_FIRST(&worker->inbox);
        if (xfer != NULL) {
            CK_STAILQ_REMOVE_HEAD(&worker->inbox, inbox);
        }
        (void)pthread_mutex_unlock(&worker->lock);
        if (xfer == NULL) {
            return;
        }
        CK_LIST_INSERT_HEAD(&worker->live[xfer->id % SLOTS], xfer, live);
        (void)curl_multi_add_handle(worker->multi, xfer->easy);
    }
}

static void
worker_cancel_one(worker_t *worker, uint64_t id)
{
    http_xfer_t *xfer;
    CK_LIST_FOREACH (xfer, &worker->live[id % SLOTS], live) {
        if (xfer->id == id) {
            xfer->cancelled = true;
            xfer_finish(worker, xfer, HTTP_END_CANCELLED);
            return;
        }
    }
}

static void
worker_take_cancels(worker_t *worker)
{
    (void)pthread_mutex_lock(&worker->lock);
    CLEAN_BUF buf_t cancels = worker->cancels;
    worker->cancels = (buf_t){0};
    (void)pthread_mutex_unlock(&worker->lock);
    for (size_t at = 0; at < cancels.len; at += sizeof(uint64_t)) {
        uint64_t id;
        memcpy(&id, cancels.data + at, sizeof(id));
        worker_cancel_one(worker, id);
    }
}

static void
worker_take_ended(worker_t *worker)
{
    int left;
    CURLMsg *msg;
    while ((msg = curl_multi_info_read(worker->multi, &left)) != NULL) {
        if (msg->msg != CURLMSG_DONE) {
            continue;
        }
        http_xfer_t *xfer = NULL;
        CURLcode code = msg->data.result;
        (void)curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &xfer);
        xfer_finish(worker, xfer, xfer_end(xfer->easy, code));
    }
}

static void
worker_end_all(worker_t *worker)
{
    worker_take_inbox(worker);
    for (size_t i = 0; i < SLOTS; i++) {
        http_xfer_t *xfer;
        while ((xfer = CK_LIST_FIRST(&worker->live[i])) != NULL) {
            xfer->cancelled = true;
            xfer_finish(worker, xfer, HTTP_END_CANCELLED);
        }
    }
}

/* libcurl tells which sockets it waits for. */
static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *known)
{
    (void)easy;
    worker_t *worker = arg;
    struct epoll_event event = {.data.fd = fd};
    if (what == CURL_POLL_REMOVE) {
        (void)epoll_ctl(worker->epoll, EPOLL_CTL_DEL, fd, NULL);
        return 0;
    }
    event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                   ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    if (known == NULL) {
        (void)epoll_ctl(worker->epoll, EPOLL_CTL_ADD, fd, &event);
        (void)curl_multi_assign(worker->multi, fd, worker);
    }
    else {
        (void)epoll_ctl(worker->epoll, EPOLL_CTL_MOD, fd, &event);
    }
    return 0;
}

/* libcurl tells when it wants to be called. */
static int
on_timer(CURLM *multi, long ms, void *arg)
{
    (void)multi;
    worker_t *worker = arg;
    worker->due_ms = ms < 0 ? -1 : time_mono_ms() + ms;
    return 0;
}

static void
worker_wake(worker_t *worker)
{
    uint64_t one = 1;
    ssize_t put = write(worker->wake, &one, sizeof(one));
    (void)put; /* a full counter wakes as well */
}

static int
wait_ms(const worker_t *worker)
{
    if (worker->due_ms < 0) {
        return POLL_MS;
    }
    int64_t left = worker->due_ms - time_mono_ms();
    return left < 0 ? 0 : left > POLL_MS ? POLL_MS : (int)left;
}

static void
take_socket(worker_t *worker, const struct epoll_event *event)
{
    int running;
    int what =
        ((event->events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
        ((event->events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
        ((event->events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
    uint64_t count;
    if (event->data.fd == worker->wake) {
        ssize_t got = read(worker->wake, &count, sizeof(count));
        (void)got;
        return;
    }
    (void)curl_multi_socket_action(worker->multi, event->data.fd, what,
                                   &running);
}

static void
worker_wait(worker_t *worker)
{
    struct epoll_event events[EVENTS_MAX];
    int running;
    int count = epoll_wait(worker->epoll, events, EVENTS_MAX, wait_ms(worker));
    for (int i = 0; i < count; i++) {
        take_socket(worker, &events[i]);
    }
    if (worker->due_ms >= 0 && time_mono_ms() >= worker->due_ms) {
        worker->due_ms = -1;
        (void)curl_multi_socket_action(worker->multi, CURL_SOCKET_TIMEOUT, 0,
                                       &running);
    }
}

static void *
worker_run(void *arg)
{
    worker_t *worker = arg;
    while (!__atomic_load_n(&worker->stop, __ATOMIC_ACQUIRE)) {
        worker_take_inbox(worker);
        worker_take_cancels(worker);
        worker_wait(worker);
        worker_take_ended(worker);
    }
    worker_end_all(worker);
    return NULL;
}

static void
worker_start(worker_t *worker)
{
    struct epoll_event event = {.events = EPOLLIN};
    (void)pthread_mutex_init(&worker->lock, NULL);
    worker->due_ms = -1;
    worker->epoll = epoll_create1(EPOLL_CLOEXEC);
    worker->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    event.data.fd = worker->wake;
    (void)epoll_ctl(worker->epoll, EPOLL_CTL_ADD, worker->wake, &event);
    worker->multi = curl_multi_init();
    (void)curl_multi_setopt(worker->multi, CURLMOPT_MAXCONNECTS,
                            (long)CONNECTIONS_KEPT);
    (void)curl_multi_setopt(worker->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    (void)curl_multi_setopt(worker->multi, CURLMOPT_SOCKETDATA, worker);
    (void)curl_multi_setopt(worker->multi, CURLMOPT_TIMERFUNCTION, on_timer);
    (void)curl_multi_setopt(worker->multi, CURLMOPT_TIMERDATA, worker);
    CK_STAILQ_INIT(&worker->inbox);
    (void)pthread_create(&worker->thread, NULL, worker_run, worker);
}

static void
worker_stop(worker_t *worker)
{
    __atomic_store_n(&worker->stop, true, __ATOMIC_RELEASE);
    worker_wake(worker);
    (void)pthread_join(worker->thread, NULL);
    (void)curl_multi_cleanup(worker->multi);
    (void)close(worker->epoll);
    (void)close(worker->wake);
    buf_free(&worker->cancels);
    (void)pthread_mutex_destroy(&worker->lock);
}

/* Start a client with its own worker threads. */
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

/* End all exchanges as cancelled and join the workers. */
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

/* Start an exchange and return its number, by which it can be cancelled.
 * All callbacks come on one worker's thread, on_end last and exactly once. */
uint64_t
http_client_start(http_client_t *client, const http_call_t *call)
{
    (void)pthread_mutex_lock(&client->lock);
    uint64_t id = ++client->next;
    (void)pthread_mutex_unlock(&client->lock);
    http_xfer_t *xfer = xfer_new(call, id);
    worker_t *worker = &client->workers[id % client->threads];
    (void)pthread_mutex_lock(&worker->lock);
    CK_STAILQ_INSERT_TAIL(&worker->inbox, xfer, inbox);
    (void)pthread_mutex_unlock(&worker->lock);
    worker_wake(worker);
    return id;
}

/* Ask for an exchange to end as cancelled; one that has ended is left. */
void
http_client_cancel(http_client_t *client, uint64_t id)
{
    worker_t *worker = &client->workers[id % client->threads];
    (void)pthread_mutex_lock(&worker->lock);
    buf_add(&worker->cancels, &id, sizeof(id));
    (void)pthread_mutex_unlock(&worker->lock);
    worker_wake(worker);
}

static void
fetch_on_data(void *arg, int status, const char *data, size_t len)
{
    (void)status;
    buf_add(arg, data, len);
}

/* One exchange in the calling thread, for start-up, tools and the plain
 * loops that may wait. */
http_end_t
http_fetch(const http_call_t *call, int *status, buf_t *reply)
{
    http_call_t mine = *call;
    mine.on_data = fetch_on_data;
    mine.arg = reply;
    if (mine.on_header != NULL) {
        mine.on_header = NULL;
    }
    http_xfer_t *xfer = xfer_new(&mine, 0);
    CURLcode code = curl_easy_perform(xfer->easy);
    long answer = 0;
    (void)curl_easy_getinfo(xfer->easy, CURLINFO_RESPONSE_CODE, &answer);
    *status = (int)answer;
    http_end_t end = xfer_end(xfer->easy, code);
    xfer_free(xfer);
    return end;
}
