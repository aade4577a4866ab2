#include "store.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#define URL_MAX 384
#define CONNECT_TIMEOUT_MS 200

struct store {
    http_client_t *client;
    char addr[CS_ADDR_MAX];
    int timeout_ms;
    uint64_t calls;
};

/* Creates a client of the object API at an address. */
store_t *
store_new(http_client_t *client, const char *addr, int timeout_ms)
{
    store_t *store = mem_zalloc(sizeof(*store));
    store->client = client;
    str_copy(store->addr, sizeof(store->addr), addr);
    store->timeout_ms = timeout_ms;
    return store;
}

void
store_free(store_t *store)
{
    free(store);
}

/* Calls since the start, including watches. */
uint64_t
store_call_count(const store_t *store)
{
    return ck_pr_load_64(&store->calls);
}

const char *
store_result_name(store_result_t result)
{
    static const char *const names[] = {"ok", "absent", "conflict", "refused",
                                        "lost"};
    return names[result];
}

/* Maps the end of an exchange to a result.  A server error may have occurred
 * before or after the write took effect, so it is STORE_UNKNOWN. */
static store_result_t
map_result(http_end_t end, int status)
{
    if (end == HTTP_END_UNSENT) {
        return STORE_REFUSED;
    }
    if (end != HTTP_END_COMPLETE) {
        return STORE_UNKNOWN;
    }
    switch (status) {
        case 200:
            return STORE_OK;
        case 204:
        case 404:
            return STORE_ABSENT;
        case 412:
            return STORE_CONFLICT;
        case 400:
        case 413:
        case 429:
            return STORE_REFUSED;
        default:
            return STORE_UNKNOWN;
    }
}

static store_reply_t
parse_reply(http_end_t end, int status, const buf_t *body, json_t **owned)
{
    store_reply_t reply = {.result = map_result(end, status)};
    if (reply.result != STORE_OK) {
        return reply;
    }
    *owned = json_loadb(buf_text(body), body->len, 0, NULL);
    if (!json_is_integer(json_object_get(*owned, "version"))) {
        reply.result = STORE_UNKNOWN;
        return reply;
    }
    reply.version = json_get_int(*owned, "version", 0);
    reply.value = json_object_get(*owned, "value");
    return reply;
}

/* An asynchronous call. */
typedef struct {
    buf_t body;
    store_callback_t done;
    void *arg;
} pending_call_t;

static void
on_data_received(void *arg, int status, const char *data, size_t len)
{
    (void)status;
    pending_call_t *pending = arg;
    buf_add(&pending->body, data, len);
}

static void
on_exchange_end(void *arg, http_end_t end, int status)
{
    pending_call_t *pending = arg;
    CLEAN_JSON json_t *owned = NULL;
    store_reply_t reply = parse_reply(end, status, &pending->body, &owned);
    pending->done(pending->arg, &reply);
    buf_free(&pending->body);
    free(pending);
}

static void
format_url(const store_t *store, const char *name, char out[URL_MAX])
{
    (void)snprintf(out, URL_MAX, "http://%s/v1/objects/%s", store->addr, name);
}

static http_client_request_t
make_call(store_t *store, const char *method, const char *url)
{
    ck_pr_inc_64(&store->calls);
    return (http_client_request_t){.method = method,
                                   .url = url,
                                   .connect_ms = CONNECT_TIMEOUT_MS,
                                   .total_ms = store->timeout_ms};
}

static void
start_call(store_t *store, http_client_request_t *call, store_callback_t done,
           void *arg)
{
    pending_call_t *pending = mem_zalloc(sizeof(*pending));
    pending->done = done;
    pending->arg = arg;
    call->on_data = on_data_received;
    call->on_end = on_exchange_end;
    call->arg = pending;
    (void)http_client_start(store->client, call);
}

/* Reads an object; done is called on a client thread. */
void
store_get(store_t *store, const char *name, store_callback_t done, void *arg)
{
    char url[URL_MAX];
    format_url(store, name, url);
    http_client_request_t call = make_call(store, "GET", url);
    start_call(store, &call, done, arg);
}

static void
set_put_options(http_client_request_t *call, char if_match[48],
                const char *text, int64_t version)
{
    (void)snprintf(if_match, 48, "If-Match: %lld", (long long)version);
    call->headers[0] = if_match;
    call->body = text;
    call->body_len = strlen(text);
}

/* Writes an object if it has the given version, 0 for no object.  The call
 * uses a new connection: a kept-alive one may have been closed unnoticed, and
 * then it would be unknown whether the write took effect. */
void
store_put(store_t *store, const char *name, int64_t version,
          const json_t *value, store_callback_t done, void *arg)
{
    char url[URL_MAX];
    char if_match[48];
    CLEAN_TEXT char *text = json_dumps(value, JSON_COMPACT);
    format_url(store, name, url);
    http_client_request_t call = make_call(store, "PUT", url);
    set_put_options(&call, if_match, text, version);
    call.new_connection = true;
    start_call(store, &call, done, arg);
}

static store_result_t
fetch_object(const http_client_request_t *call, int64_t *version,
             json_t **value)
{
    CLEAN_BUF buf_t body = {0};
    CLEAN_JSON json_t *owned = NULL;
    int status = 0;
    http_end_t end = http_fetch(call, &status, &body);
    store_reply_t reply = parse_reply(end, status, &body, &owned);
    if (reply.result == STORE_OK) {
        *version = reply.version;
        if (value != NULL) {
            *value = json_incref(reply.value);
        }
    }
    return reply.result;
}

/* Reads an object and waits for the answer. */
store_result_t
store_get_wait(store_t *store, const char *name, int64_t *version,
               json_t **value)
{
    char url[URL_MAX];
    format_url(store, name, url);
    http_client_request_t call = make_call(store, "GET", url);
    return fetch_object(&call, version, value);
}

/* Waits at most wait_ms for a version above the given one.  The exchange has a
 * slightly longer timeout, since a watch on a connection that has gone dead
 * would otherwise wait forever. */
store_result_t
store_watch_wait(store_t *store, const char *name, int64_t after, int wait_ms,
                 int64_t *version, json_t **value)
{
    char url[URL_MAX];
    (void)snprintf(url, sizeof(url),
                   "http://%s/v1/objects/%s?after=%lld&timeout_ms=%d",
                   store->addr, name, (long long)after, wait_ms);
    http_client_request_t call = make_call(store, "GET", url);
    call.total_ms = wait_ms + store->timeout_ms;
    return fetch_object(&call, version, value);
}

/* Writes an object if it has the expected version, and waits for the answer.
 */
store_result_t
store_put_wait(store_t *store, const char *name, int64_t expected,
               const json_t *value, int64_t *version)
{
    char url[URL_MAX];
    char if_match[48];
    CLEAN_TEXT char *text = json_dumps(value, JSON_COMPACT);
    format_url(store, name, url);
    http_client_request_t call = make_call(store, "PUT", url);
    set_put_options(&call, if_match, text, expected);
    return fetch_object(&call, version, NULL);
}

/* The platform's list of hosts, or NULL. */
json_t *
store_list_hosts_wait(store_t *store)
{
    char url[URL_MAX];
    CLEAN_BUF buf_t body = {0};
    int status = 0;
    (void)snprintf(url, sizeof(url), "http://%s/v1/hosts", store->addr);
    http_client_request_t call = make_call(store, "GET", url);
    if (http_fetch(&call, &status, &body) != HTTP_END_COMPLETE ||
        status != 200) {
        return NULL;
    }
    return json_loadb(buf_text(&body), body.len, 0, NULL);
}
