#include "store.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#define URL_MAX 384
#define CONNECT_MS 200

struct store {
    http_client_t *client;
    char addr[CS_ADDR_MAX];
    int timeout_ms;
    uint64_t calls;
};

/* A client of the object API at an address. */
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

/* Calls made so far, watches among them. */
uint64_t
store_call_count(const store_t *store)
{
    return ck_pr_load_64(&store->calls);
}

const char *
store_result_name(store_result_t result)
{
    static const char *const words[] = {"ok", "absent", "conflict", "refused",
                                        "lost"};
    return words[result];
}

/* Turn the end of an exchange into the store's terms.  A server error may
 * come from a layer before or behind the effect, so it counts as lost. */
static store_result_t
result_of(http_end_t end, int status)
{
    if (end == HTTP_END_UNSENT) {
        return STORE_REFUSED;
    }
    if (end != HTTP_END_WHOLE) {
        return STORE_LOST;
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
            return STORE_LOST;
    }
}

static store_reply_t
reply_of(http_end_t end, int status, const buf_t *body, json_t **owned)
{
    store_reply_t reply = {.result = result_of(end, status)};
    if (reply.result != STORE_OK) {
        return reply;
    }
    *owned = json_loadb(buf_text(body), body->len, 0, NULL);
    if (!json_is_integer(json_object_get(*owned, "version"))) {
        reply.result = STORE_LOST;
        return reply;
    }
    reply.version = json_int(*owned, "version", 0);
    reply.value = json_object_get(*owned, "value");
    return reply;
}

/* One asynchronous exchange. */
typedef struct {
    buf_t body;
    store_callback_t done;
    void *arg;
} ask_t;

static void
ask_on_data(void *arg, int status, const char *data, size_t len)
{
    (void)status;
    ask_t *ask = arg;
    buf_add(&ask->body, data, len);
}

static void
ask_on_end(void *arg, http_end_t end, int status)
{
    ask_t *ask = arg;
    CLEAN_JSON json_t *owned = NULL;
    store_reply_t reply = reply_of(end, status, &ask->body, &owned);
    ask->done(ask->arg, &reply);
    buf_free(&ask->body);
    free(ask);
}

static void
url_of(const store_t *store, const char *name, char out[URL_MAX])
{
    (void)snprintf(out, URL_MAX, "http://%s/v1/objects/%s", store->addr, name);
}

static http_call_t
call_of(store_t *store, const char *method, const char *url)
{
    ck_pr_inc_64(&store->calls);
    return (http_call_t){.method = method,
                         .url = url,
                         .connect_ms = CONNECT_MS,
                         .total_ms = store->timeout_ms};
}

static void
start(store_t *store, http_call_t *call, store_callback_t done, void *arg)
{
    ask_t *ask = mem_zalloc(sizeof(*ask));
    ask->done = done;
    ask->arg = arg;
    call->on_data = ask_on_data;
    call->on_end = ask_on_end;
    call->arg = ask;
    (void)http_client_start(store->client, call);
}

/* Read an object; done is called on a client thread. */
void
store_get(store_t *store, const char *name, store_callback_t done, void *arg)
{
    char url[URL_MAX];
    url_of(store, name, url);
    http_call_t call = call_of(store, "GET", url);
    start(store, &call, done, arg);
}

static void
fill_put(http_call_t *call, char match[48], const char *text, int64_t version)
{
    (void)snprintf(match, 48, "If-Match: %lld", (long long)version);
    call->headers[0] = match;
    call->body = text;
    call->body_len = strlen(text);
}

/* Write an object over a version, 0 for none.  The call goes out on its own
 * connection: a kept one may have died unseen, and then nobody could tell
 * whether the write was done. */
void
store_put(store_t *store, const char *name, int64_t version,
          const json_t *value, store_callback_t done, void *arg)
{
    char url[URL_MAX];
    char match[48];
    CLEAN_TEXT char *text = json_dumps(value, JSON_COMPACT);
    url_of(store, name, url);
    http_call_t call = call_of(store, "PUT", url);
    fill_put(&call, match, text, version);
    call.fresh = true;
    start(store, &call, done, arg);
}

static store_result_t
fetch(const http_call_t *call, int64_t *version, json_t **value)
{
    CLEAN_BUF buf_t body = {0};
    CLEAN_JSON json_t *owned = NULL;
    int status = 0;
    http_end_t end = http_fetch(call, &status, &body);
    store_reply_t reply = reply_of(end, status, &body, &owned);
    if (reply.result == STORE_OK) {
        *version = reply.version;
        if (value != NULL) {
            *value = json_incref(reply.value);
        }
    }
    return reply.result;
}

/* Read an object and wait for it. */
store_result_t
store_get_wait(store_t *store, const char *name, int64_t *version,
               json_t **value)
{
    char url[URL_MAX];
    url_of(store, name, url);
    http_call_t call = call_of(store, "GET", url);
    return fetch(&call, version, value);
}

/* Wait for a version above the given one, at most so long.  The exchange has
 * a bound of its own behind that, since a watch whose connection has gone
 * silent would otherwise wait for good. */
store_result_t
store_watch_wait(store_t *store, const char *name, int64_t after, int wait_ms,
                 int64_t *version, json_t **value)
{
    char url[URL_MAX];
    (void)snprintf(url, sizeof(url),
                   "http://%s/v1/objects/%s?after=%lld&timeout_ms=%d",
                   store->addr, name, (long long)after, wait_ms);
    http_call_t call = call_of(store, "GET", url);
    call.total_ms = wait_ms + store->timeout_ms;
    return fetch(&call, version, value);
}

/* Write an object over a version and wait for the answer. */
store_result_t
store_put_wait(store_t *store, const char *name, int64_t expected,
               const json_t *value, int64_t *version)
{
    char url[URL_MAX];
    char match[48];
    CLEAN_TEXT char *text = json_dumps(value, JSON_COMPACT);
    url_of(store, name, url);
    http_call_t call = call_of(store, "PUT", url);
    fill_put(&call, match, text, expected);
    return fetch(&call, version, NULL);
}

/* The platform's list of hosts, or NULL. */
json_t *
store_list_hosts_wait(store_t *store)
{
    char url[URL_MAX];
    CLEAN_BUF buf_t body = {0};
    int status = 0;
    (void)snprintf(url, sizeof(url), "http://%s/v1/hosts", store->addr);
    http_call_t call = call_of(store, "GET", url);
    if (http_fetch(&call, &status, &body) != HTTP_END_WHOLE || status != 200) {
        return NULL;
    }
    return json_loadb(buf_text(&body), body.len, 0, NULL);
}
