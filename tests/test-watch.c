#include "../relay/watch.h"
#include "test.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <netinet/in.h>
#include <sys/socket.h>

/* Tests a watch against a store and an upstream that run in the same event
 * loop.  The store leaves watches unanswered, the upstream answers at once. */

/* The longest and the short wait that a watch asks the store for. */
#define LONG_WAIT_MS 2500
#define SHORT_WAIT_MS 1000
#define STEP_MS 20
#define STEPS_MAX 50
#define NO_CHANGES "{\"events\":[],\"at\":5}"
#define EMPTY_LIST "{\"items\":[],\"has_more\":false,\"at\":5}"

/* A listener that answers lists, and answers or holds watches. */
typedef struct {
    struct evhttp *http;
    char addr[CS_ADDR_MAX];
    bool holds_watches;
    unsigned watch_count;
    long wait_ms; /* requested by the last watch */
} listener_t;

typedef struct {
    struct event_base *base;
    exchanges_t *exchanges;
    listener_t store;
    listener_t upstream;
    upstream_t found;
    watch_t *watch;
} fixture_t;

static void
answer(struct evhttp_request *req, const char *text)
{
    struct evbuffer *body = evbuffer_new();
    (void)evbuffer_add(body, text, strlen(text));
    evhttp_send_reply(req, 200, NULL, body);
    evbuffer_free(body);
}

static void
handle(struct evhttp_request *req, void *arg)
{
    listener_t *listener = arg;
    struct evkeyvalq query = {0};
    const char *text =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
    (void)evhttp_parse_query_str(text != NULL ? text : "", &query);
    const char *wait = evhttp_find_header(&query, "wait_ms");
    bool is_watch = wait != NULL;
    if (is_watch) {
        listener->watch_count++;
        listener->wait_ms = strtol(wait, NULL, 10);
    }
    evhttp_clear_headers(&query);
    if (!is_watch || !listener->holds_watches) {
        answer(req, is_watch ? NO_CHANGES : EMPTY_LIST);
    }
}

static void
listener_open(listener_t *listener, struct event_base *base)
{
    struct sockaddr_in addr = {0};
    socklen_t len = sizeof(addr);
    listener->http = evhttp_new(base);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(listener->http, "127.0.0.1", 0);
    ck_assert_ptr_nonnull(bound);
    ck_assert_int_eq(getsockname(evhttp_bound_socket_get_fd(bound),
                                 (struct sockaddr *)&addr, &len),
                     0);
    (void)snprintf(listener->addr, sizeof(listener->addr), "127.0.0.1:%u",
                   ntohs(addr.sin_port));
    evhttp_set_gencb(listener->http, handle, listener);
}

static void
on_list_begin(void *arg)
{
    (void)arg;
}

static void
on_object(void *arg, const store_object_t *object)
{
    (void)arg;
    (void)object;
}

static void
on_list_end(void *arg, int64_t revision)
{
    (void)arg;
    (void)revision;
}

static upstream_t
find_upstream(void *arg, char addr[CS_ADDR_MAX])
{
    const fixture_t *fixture = arg;
    str_copy(addr, CS_ADDR_MAX, fixture->upstream.addr);
    return fixture->found;
}

static void
on_upstream_lost(void *arg, const char *addr, bool answered)
{
    (void)arg;
    (void)addr;
    (void)answered;
}

static void
on_update(void *arg)
{
    (void)arg;
}

static void
fixture_open(fixture_t *fixture, upstream_t found)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = event_base_new();
    fixture->exchanges = exchanges_new(fixture->base);
    fixture->found = found;
    listener_open(&fixture->store, fixture->base);
    listener_open(&fixture->upstream, fixture->base);
    fixture->store.holds_watches = true;
    watch_hooks_t hooks = {.on_list_begin = on_list_begin,
                           .on_object = on_object,
                           .on_list_end = on_list_end,
                           .find_upstream = find_upstream,
                           .on_upstream_lost = on_upstream_lost,
                           .on_update = on_update,
                           .arg = fixture};
    fixture->watch = watch_start(fixture->base, fixture->exchanges,
                                 fixture->store.addr, KIND_CONFIG, &hooks);
}

static void
fixture_close(fixture_t *fixture)
{
    watch_stop(fixture->watch);
    exchanges_free(fixture->exchanges);
    evhttp_free(fixture->store.http);
    evhttp_free(fixture->upstream.http);
    event_base_free(fixture->base);
}

/* Runs the event loop until a listener has got a number of watches, or for
 * STEPS_MAX steps. */
static void
await_watches(fixture_t *fixture, const listener_t *listener, unsigned count)
{
    struct timeval step = {0, STEP_MS * 1000};
    for (int i = 0; i < STEPS_MAX && listener->watch_count < count; i++) {
        (void)event_base_loopexit(fixture->base, &step);
        (void)event_base_dispatch(fixture->base);
    }
    ck_assert_uint_ge(listener->watch_count, count);
}

/* Guards against a draining server that is used for seconds after an outage of
 * the store: another watch of this daemon finds that the upstream has lost the
 * store, so this one goes to the store too, with its longest wait, and the
 * store does not answer the call. */
START_TEST(watch_after_upstream_uses_short_wait)
{
    fixture_t fixture;
    fixture_open(&fixture, UPSTREAM_FOUND);
    await_watches(&fixture, &fixture.upstream, 1);
    fixture.found = UPSTREAM_AVOIDED;
    await_watches(&fixture, &fixture.store, 1);
    ck_assert_int_eq(fixture.store.wait_ms, SHORT_WAIT_MS);
    fixture_close(&fixture);
}
END_TEST

/* Guards against the same when the loss was longer ago than this watch uses
 * short waits for it, but other watches of this daemon have met it since. */
START_TEST(watch_uses_short_wait_while_upstreams_are_avoided)
{
    fixture_t fixture;
    fixture_open(&fixture, UPSTREAM_AVOIDED);
    await_watches(&fixture, &fixture.store, 1);
    ck_assert_int_eq(fixture.store.wait_ms, SHORT_WAIT_MS);
    fixture_close(&fixture);
}
END_TEST

/* Guards against followers that get no changes for seconds after an outage of
 * the store: the daemon that they begin to follow has a call with its longest
 * wait under way, which the store does not answer. */
START_TEST(first_follower_renews_long_watch)
{
    fixture_t fixture;
    fixture_open(&fixture, UPSTREAM_NONE);
    await_watches(&fixture, &fixture.store, 1);
    ck_assert_int_eq(fixture.store.wait_ms, LONG_WAIT_MS);
    watch_note_follower(fixture.watch);
    await_watches(&fixture, &fixture.store, 2);
    ck_assert_int_eq(fixture.store.wait_ms, SHORT_WAIT_MS);
    /* A short one is kept: the list and two watches have been sent. */
    watch_note_follower(fixture.watch);
    ck_assert_uint_eq(watch_store_call_count(fixture.watch), 3);
    fixture_close(&fixture);
}
END_TEST

TEST_MAIN("watch", watch_after_upstream_uses_short_wait,
          watch_uses_short_wait_while_upstreams_are_avoided,
          first_follower_renews_long_watch)
