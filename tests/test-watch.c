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
/* The longest pause between two checks of stale objects, and their time. */
#define CHECK_MS_MAX (1600 + 400)
#define STEP_MS 20
#define STEPS_MAX 50
#define NO_CHANGES "{\"events\":[],\"at\":5}"
#define OLD_NO_CHANGES "{\"events\":[],\"at\":5,\"age_ms\":60000}"
#define ASK_STORE "{\"events\":[],\"at\":5,\"age_ms\":5,\"ask_store\":true}"
#define CHANGE                                                     \
    "{\"events\":[{\"tombstone\":false,\"object\":{\"metadata\":{" \
    "\"name\":\"main\",\"revision\":7},\"specification\":{}}}],\"at\":7}"
#define EMPTY_LIST "{\"items\":[],\"has_more\":false,\"at\":5}"
#define OLDER_LIST "{\"items\":[],\"has_more\":false,\"at\":4,\"age_ms\":5}"
#define YOUNG_LIST "{\"items\":[],\"has_more\":false,\"at\":5,\"age_ms\":5}"
#define RECOVERING_LIST                                       \
    "{\"items\":[],\"has_more\":false,\"at\":5,\"age_ms\":5," \
    "\"recovering\":true}"
#define NAMELESS_LIST                                               \
    "{\"items\":[{\"metadata\":{},\"specification\":{}}],\"at\":5," \
    "\"has_more\":true}"
#define ONE_NAME_LIST                                            \
    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":4}," \
    "\"specification\":{}}],\"at\":5,\"has_more\":true}"
#define OLD_LIST "{\"items\":[],\"has_more\":false,\"at\":5,\"age_ms\":4000}"
/* The pieces of a slow answer, and the pause before each of them. */
#define PIECES 20
#define MANY_PIECES 60
#define PIECE_MS 100

/* A listener that answers lists, and answers or holds watches. */
typedef struct {
    struct evhttp *http;
    char addr[CS_ADDR_MAX];
    bool holds_watches;
    unsigned waits_from; /* from this watch on they are answered after the wait
                            that they ask for; 0 for never */
    bool slow_lists;     /* answers lists piece by piece */
    bool slow_watches;   /* and watches */
    bool rejects;        /* answers 503 */
    bool gone_lists;     /* answers lists with 410 */
    unsigned closes;     /* closes the connections of so many watches */
    unsigned dead_calls; /* leaves the first connection unanswered from here */
    unsigned calls;
    size_t pieces;      /* of slow answers */
    const char *answer; /* to a watch */
    const char *list;
    unsigned watch_count;
    long wait_ms; /* requested by the last watch */
    const struct evhttp_connection *first;
} listener_t;

/* An answer that is sent piece by piece. */
typedef struct slow_answer {
    CK_LIST_ENTRY(slow_answer) entry;
    struct event_base *base;
    struct evhttp_request *req;
    const char *text;
    size_t piece;
    size_t sent;
} slow_answer_t;

static CK_LIST_HEAD(slow_answers, slow_answer)
    slow_answers = CK_LIST_HEAD_INITIALIZER(slow_answers);

typedef struct {
    struct event_base *base;
    exchanges_t *exchanges;
    listener_t store;
    listener_t upstream;
    object_kind_t kind;
    upstream_t found;
    bool has_peer; /* the upstream lists objects as a peer */
    watch_t *watch;
    unsigned object_count;
    unsigned lost_count; /* calls of on_upstream_lost */
    unsigned end_count;  /* of on_list_end */
    unsigned cut_count;  /* of on_list_cut */
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
send_piece(evutil_socket_t fd, short what, void *arg)
{
    slow_answer_t *slow = arg;
    size_t len = strlen(slow->text);
    size_t piece = slow->piece;
    struct evbuffer *out = evbuffer_new();
    (void)fd;
    (void)what;
    if (piece > len - slow->sent) {
        piece = len - slow->sent;
    }
    (void)evbuffer_add(out, slow->text + slow->sent, piece);
    evhttp_send_reply_chunk(slow->req, out);
    evbuffer_free(out);
    slow->sent += piece;
    if (slow->sent == len) {
        evhttp_send_reply_end(slow->req);
        CK_LIST_REMOVE(slow, entry);
        free(slow);
        return;
    }
    struct timeval pause = {0, PIECE_MS * 1000};
    (void)event_base_once(slow->base, -1, EV_TIMEOUT, send_piece, slow,
                          &pause);
}

static void
answer_slowly(const listener_t *listener, struct evhttp_request *req,
              const char *text)
{
    slow_answer_t *slow = mem_zalloc(sizeof(*slow));
    slow->base =
        evhttp_connection_get_base(evhttp_request_get_connection(req));
    slow->req = req;
    slow->text = text;
    slow->piece = strlen(text) / listener->pieces + 1;
    CK_LIST_INSERT_HEAD(&slow_answers, slow, entry);
    evhttp_send_reply_start(req, 200, NULL);
    send_piece(-1, 0, slow);
}

/* Whether a fault of the listener leaves a request without a proper answer. */
static bool
is_disturbed(listener_t *listener, struct evhttp_request *req, bool is_watch)
{
    struct evhttp_connection *conn = evhttp_request_get_connection(req);
    listener->calls++;
    if (listener->first == NULL) {
        listener->first = conn;
    }
    if (listener->rejects) {
        evhttp_send_error(req, 503, NULL);
        return true;
    }
    if (!is_watch && listener->gone_lists) {
        evhttp_send_error(req, 410, NULL);
        return true;
    }
    if (is_watch && listener->closes > 0) {
        listener->closes--;
        evhttp_connection_free(conn);
        return true;
    }
    return listener->dead_calls > 0 &&
           listener->calls >= listener->dead_calls && conn == listener->first;
}

static void
on_wait_over(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    answer(arg, NO_CHANGES);
}

static void
answer_later(struct evhttp_request *req, long ms)
{
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    (void)event_base_once(
        evhttp_connection_get_base(evhttp_request_get_connection(req)), -1,
        EV_TIMEOUT, on_wait_over, req, &after);
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
    if (is_disturbed(listener, req, is_watch) ||
        (is_watch && listener->holds_watches)) {
        return;
    }
    if (is_watch && listener->waits_from > 0 &&
        listener->watch_count >= listener->waits_from) {
        answer_later(req, listener->wait_ms);
        return;
    }
    const char *body = is_watch ? listener->answer : listener->list;
    if (is_watch ? listener->slow_watches : listener->slow_lists) {
        answer_slowly(listener, req, body);
        return;
    }
    answer(req, body);
}

static void
listener_open(listener_t *listener, struct event_base *base)
{
    struct sockaddr_in addr = {0};
    socklen_t len = sizeof(addr);
    listener->pieces = PIECES;
    listener->answer = NO_CHANGES;
    listener->list = EMPTY_LIST;
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
    fixture_t *fixture = arg;
    (void)object;
    fixture->object_count++;
}

static void
on_list_end(void *arg, int64_t revision)
{
    fixture_t *fixture = arg;
    (void)revision;
    fixture->end_count++;
}

static void
on_list_cut(void *arg, int64_t revision)
{
    fixture_t *fixture = arg;
    ck_assert_int_eq(revision, 5);
    fixture->cut_count++;
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
    fixture_t *fixture = arg;
    fixture->lost_count++;
    (void)addr;
    (void)answered;
}

static void
on_update(void *arg)
{
    (void)arg;
}

static bool
find_peer(void *arg, char addr[CS_ADDR_MAX])
{
    const fixture_t *fixture = arg;
    str_copy(addr, CS_ADDR_MAX, fixture->upstream.addr);
    return fixture->has_peer;
}

/* Opens the store and the upstream.  Their faults can be set before the watch
 * is started. */
static void
fixture_prepare(fixture_t *fixture, upstream_t found)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = event_base_new();
    fixture->exchanges = exchanges_new(fixture->base);
    fixture->found = found;
    fixture->kind = KIND_CONFIG;
    listener_open(&fixture->store, fixture->base);
    listener_open(&fixture->upstream, fixture->base);
    fixture->store.holds_watches = true;
}

static void
fixture_start(fixture_t *fixture)
{
    watch_hooks_t hooks = {.on_list_begin = on_list_begin,
                           .on_object = on_object,
                           .on_list_end = on_list_end,
                           .on_list_cut = on_list_cut,
                           .find_peer = find_peer,
                           .find_upstream = find_upstream,
                           .on_upstream_lost = on_upstream_lost,
                           .on_update = on_update,
                           .arg = fixture};
    fixture->watch = watch_start(fixture->base, fixture->exchanges,
                                 fixture->store.addr, fixture->kind, &hooks);
}

static void
fixture_open(fixture_t *fixture, upstream_t found)
{
    fixture_prepare(fixture, found);
    fixture_start(fixture);
}

static void
fixture_close(fixture_t *fixture)
{
    watch_stop(fixture->watch);
    exchanges_free(fixture->exchanges);
    slow_answer_t *slow;
    while ((slow = CK_LIST_FIRST(&slow_answers)) != NULL) {
        /* Requests without a connection are not freed with the listener. */
        if (evhttp_request_get_connection(slow->req) == NULL) {
            evhttp_request_free(slow->req);
        }
        CK_LIST_REMOVE(slow, entry);
        free(slow);
    }
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

static void
run_for(fixture_t *fixture, int ms)
{
    struct timeval step = {0, STEP_MS * 1000};
    int64_t end_ms = time_mono_ms() + ms;
    while (time_mono_ms() < end_ms) {
        (void)event_base_loopexit(fixture->base, &step);
        (void)event_base_dispatch(fixture->base);
        watch_tick(fixture->watch, time_mono_ms());
    }
}

/* Runs the event loop until objects have come, or for a time; returns how long
 * that took. */
static int64_t
await_objects(fixture_t *fixture, int most_ms)
{
    int64_t begin_ms = time_mono_ms();
    while (fixture->object_count == 0 && time_mono_ms() - begin_ms < most_ms) {
        run_for(fixture, STEP_MS);
    }
    return time_mono_ms() - begin_ms;
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

/* Guards against a large list that is never received over a slow link. */
START_TEST(list_may_take_long_while_it_arrives)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.store.slow_lists = true;
    fixture_start(&fixture);
    run_for(&fixture, PIECES * PIECE_MS * 2);
    ck_assert(watch_has_list(fixture.watch));
    fixture_close(&fixture);
}
END_TEST

/* Guards against a change that is received in part and dropped, each time. */
START_TEST(change_may_take_long_while_it_arrives)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_FOUND);
    fixture.upstream.slow_watches = true;
    fixture.upstream.answer = CHANGE;
    fixture_start(&fixture);
    (void)await_objects(&fixture, PIECES * PIECE_MS * 2);
    ck_assert_uint_eq(fixture.object_count, 1);
    ck_assert_uint_eq(fixture.lost_count, 0);
    fixture_close(&fixture);
}
END_TEST

/* Guards against a follower that stays behind with an upstream that does. */
START_TEST(stale_upstream_is_bypassed)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_FOUND);
    fixture.upstream.answer = OLD_NO_CHANGES;
    fixture.store.holds_watches = false;
    fixture.store.answer = CHANGE;
    fixture_start(&fixture);
    ck_assert_int_lt(await_objects(&fixture, 3500), 3000);
    ck_assert_uint_ge(fixture.lost_count, 1);
    fixture_close(&fixture);
}
END_TEST

/* Guards against a follower that gets a change only once an upstream with a
 * slow link has sent all of an earlier answer. */
START_TEST(slow_upstream_is_bypassed)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_FOUND);
    fixture.upstream.slow_watches = true;
    fixture.upstream.pieces = MANY_PIECES;
    fixture.store.holds_watches = false;
    fixture.store.answer = CHANGE;
    fixture_start(&fixture);
    ck_assert_int_lt(await_objects(&fixture, 3500), 3000);
    ck_assert_uint_ge(fixture.lost_count, 1);
    fixture_close(&fixture);
}
END_TEST

/* Guards against a host that gets a change only once a peer with a slow link
 * has sent all of its list, though the store serves again. */
START_TEST(slow_list_of_a_peer_is_bypassed)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.has_peer = true;
    fixture.upstream.slow_lists = true;
    fixture.upstream.pieces = MANY_PIECES;
    fixture_start(&fixture);
    await_watches(&fixture, &fixture.store, 1);
    fixture.store.holds_watches = false;
    fixture.store.rejects = true;
    run_for(&fixture, LONG_WAIT_MS + 1500);
    ck_assert_uint_ge(fixture.upstream.calls, 1);
    fixture.store.rejects = false;
    fixture.store.answer = CHANGE;
    ck_assert_int_lt(await_objects(&fixture, 3500), CHECK_MS_MAX);
    fixture_close(&fixture);
}
END_TEST

/* Guards against a change that waits for the end of a watch on a connection
 * that the store no longer serves. */
START_TEST(dead_connection_is_bypassed)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.store.holds_watches = false;
    fixture.store.answer = CHANGE;
    fixture.store.dead_calls = 2;
    fixture_start(&fixture);
    ck_assert_int_lt(await_objects(&fixture, 3500), 3200);
    fixture_close(&fixture);
}
END_TEST

/* Guards against a further call of the store after each change of servers,
 * whose batch delay makes the next confirmation late. */
START_TEST(batched_change_is_not_checked)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.kind = KIND_SERVERS;
    fixture.store.holds_watches = false;
    fixture.store.answer = CHANGE;
    fixture.store.waits_from = 2;
    fixture_start(&fixture);
    run_for(&fixture, 4000);
    /* The change, and two that wait. */
    ck_assert_uint_eq(fixture.store.watch_count, 3);
    fixture_close(&fixture);
}
END_TEST

/* Guards against a follower that gets no change that its upstream leaves to
 * the store. */
START_TEST(change_left_to_the_store_is_fetched_there)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_FOUND);
    fixture.upstream.answer = ASK_STORE;
    fixture.store.holds_watches = false;
    fixture.store.answer = CHANGE;
    fixture_start(&fixture);
    ck_assert_int_lt(await_objects(&fixture, 2000), 1000);
    ck_assert_uint_eq(fixture.lost_count, 0);
    fixture_close(&fixture);
}
END_TEST

/* Guards against a removed server that stays in use because the store had
 * closed an idle connection. */
START_TEST(closed_connection_is_no_outage)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.store.closes = 1;
    fixture_start(&fixture);
    await_watches(&fixture, &fixture.store, 2);
    ck_assert_int_eq(watch_recovered_ms(fixture.watch), 0);
    fixture_close(&fixture);
}
END_TEST

/* Guards against a removed server that stays in use at a host that had lost
 * the store alone. */
START_TEST(failure_of_one_host_is_no_outage)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.has_peer = true;
    fixture.upstream.list = YOUNG_LIST;
    fixture.store.holds_watches = false;
    fixture_start(&fixture);
    await_watches(&fixture, &fixture.store, 1);
    fixture.store.rejects = true;
    run_for(&fixture, 500);
    ck_assert_uint_ge(fixture.upstream.calls, 1);
    ck_assert_int_eq(watch_recovered_ms(fixture.watch), 0);
    fixture.store.rejects = false;
    run_for(&fixture, 1000);
    ck_assert_int_eq(watch_recovered_ms(fixture.watch), 0);
    fixture_close(&fixture);
}
END_TEST

/* Guards against the same decision while the store is lost to all hosts. */
START_TEST(failure_of_all_hosts_is_an_outage)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.has_peer = true;
    fixture.upstream.list = EMPTY_LIST;
    fixture.store.holds_watches = false;
    fixture_start(&fixture);
    await_watches(&fixture, &fixture.store, 1);
    fixture.store.rejects = true;
    run_for(&fixture, 500);
    ck_assert_int_gt(watch_recovered_ms(fixture.watch), 0);
    fixture.store.rejects = false;
    run_for(&fixture, 1000);
    ck_assert_int_gt(watch_recovered_ms(fixture.watch), 0);
    fixture_close(&fixture);
}
END_TEST

/* Loses the store and all peers, which then come back at once; returns when
 * the store recovered as far as the watch knows, 0 for no outage. */
static int64_t
recover_from_cut(const char *peer_list)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.kind = KIND_SERVERS;
    fixture.upstream.list = peer_list;
    fixture.store.holds_watches = false;
    fixture_start(&fixture);
    await_watches(&fixture, &fixture.store, 1);
    fixture.store.rejects = true;
    run_for(&fixture, 500);
    ck_assert_int_gt(watch_recovered_ms(fixture.watch), 0);
    fixture.store.rejects = false;
    fixture.has_peer = true;
    run_for(&fixture, 1000);
    ck_assert_uint_ge(fixture.upstream.calls, 1);
    ck_assert_uint_le(fixture.upstream.calls, 3);
    int64_t recovered_ms = watch_recovered_ms(fixture.watch);
    fixture_close(&fixture);
    return recovered_ms;
}

/* Guards against removed servers that stay in use at a host that was cut off
 * from the store and its peers at once, and takes that for an outage. */
START_TEST(cut_from_store_and_peers_is_no_outage)
{
    ck_assert_int_eq(recover_from_cut(YOUNG_LIST), 0);
}
END_TEST

/* Guards against servers that are removed behind an outage, since another host
 * is asked which has lost the store itself. */
START_TEST(outage_is_confirmed_by_peers_that_recover)
{
    ck_assert_int_gt(recover_from_cut(RECOVERING_LIST), 0);
    ck_assert_int_gt(recover_from_cut(OLD_LIST), 0);
    ck_assert_int_gt(recover_from_cut(EMPTY_LIST), 0);
}
END_TEST

/* Answers all lists alike, and watches after their wait. */
static void
open_with_lists(fixture_t *fixture, const char *list)
{
    fixture_prepare(fixture, UPSTREAM_NONE);
    fixture->store.holds_watches = false;
    fixture->store.waits_from = 1;
    fixture->store.list = list;
    fixture_start(fixture);
}

/* Guards against a list that ends as if it were whole, or is asked for without
 * end, because no name is known after which it goes on. */
START_TEST(list_without_names_is_cut)
{
    fixture_t fixture;
    open_with_lists(&fixture, NAMELESS_LIST);
    run_for(&fixture, 500);
    ck_assert(watch_is_partial(fixture.watch));
    ck_assert(watch_has_list(fixture.watch));
    ck_assert_uint_eq(fixture.cut_count, 1);
    ck_assert_uint_eq(fixture.end_count, 0);
    ck_assert_uint_eq(fixture.store.watch_count, 1);
    ck_assert_uint_eq(fixture.store.calls, 2);
    fixture_close(&fixture);
}
END_TEST

/* Guards against the same if the store answers with the same page again. */
START_TEST(list_that_repeats_itself_is_cut)
{
    fixture_t fixture;
    open_with_lists(&fixture, ONE_NAME_LIST);
    run_for(&fixture, 800);
    ck_assert(watch_is_partial(fixture.watch));
    ck_assert_uint_eq(fixture.cut_count, 1);
    ck_assert_uint_ge(fixture.object_count, 1);
    ck_assert_uint_le(fixture.store.calls, 7);
    fixture_close(&fixture);
}
END_TEST

/* Guards against objects that stay unknown once the list can be read. */
START_TEST(cut_list_is_read_again)
{
    fixture_t fixture;
    open_with_lists(&fixture, NAMELESS_LIST);
    run_for(&fixture, 500);
    fixture.store.list = EMPTY_LIST;
    run_for(&fixture, 2500);
    ck_assert(!watch_is_partial(fixture.watch));
    ck_assert_uint_eq(fixture.end_count, 1);
    fixture_close(&fixture);
}
END_TEST

/* Guards against calls that grow while the list stays cut. */
START_TEST(cut_list_is_read_again_with_growing_pauses)
{
    fixture_t fixture;
    open_with_lists(&fixture, NAMELESS_LIST);
    run_for(&fixture, 8500);
    ck_assert_uint_ge(fixture.cut_count, 3);
    ck_assert_uint_le(fixture.cut_count, 4);
    ck_assert(watch_is_fresh(fixture.watch));
    fixture_close(&fixture);
}
END_TEST

/* Guards against objects that stay unknown although another host knows them.
 */
START_TEST(cut_list_is_completed_by_a_peer)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.has_peer = true;
    fixture.store.list = NAMELESS_LIST;
    fixture.upstream.list = YOUNG_LIST;
    fixture_start(&fixture);
    run_for(&fixture, 500);
    ck_assert(!watch_is_partial(fixture.watch));
    ck_assert_uint_eq(fixture.end_count, 1);
    ck_assert_uint_eq(fixture.store.watch_count, 1);
    fixture_close(&fixture);
}
END_TEST

/* Guards against the same while the other host has not got the last changes,
 * and against changes that are left out. */
START_TEST(cut_list_is_completed_by_an_older_one)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.has_peer = true;
    fixture.store.list = NAMELESS_LIST;
    fixture.upstream.list = OLDER_LIST;
    fixture_start(&fixture);
    run_for(&fixture, 500);
    ck_assert(!watch_is_partial(fixture.watch));
    ck_assert_int_eq(watch_revision(fixture.watch), 4);
    fixture_close(&fixture);
}
END_TEST

/* Guards against a store that counts as lost because a peer, which is asked
 * for the rest of a list, has none either. */
START_TEST(peer_without_list_is_no_outage)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.has_peer = true;
    fixture.store.list = NAMELESS_LIST;
    fixture.upstream.rejects = true;
    fixture_start(&fixture);
    run_for(&fixture, 500);
    ck_assert(watch_is_partial(fixture.watch));
    ck_assert(watch_is_fresh(fixture.watch));
    ck_assert_int_eq(watch_recovered_ms(fixture.watch), 0);
    ck_assert_uint_eq(fixture.store.watch_count, 1);
    fixture_close(&fixture);
}
END_TEST

/* Guards against lists without pause from a store that rejects them as too
 * old. */
START_TEST(list_that_is_gone_is_asked_for_with_pauses)
{
    fixture_t fixture;
    fixture_prepare(&fixture, UPSTREAM_NONE);
    fixture.store.gone_lists = true;
    fixture_start(&fixture);
    run_for(&fixture, 1000);
    ck_assert_uint_le(fixture.store.calls, 7);
    fixture_close(&fixture);
}
END_TEST

TEST_MAIN(
    "watch", list_without_names_is_cut, list_that_repeats_itself_is_cut,
    cut_list_is_read_again, cut_list_is_read_again_with_growing_pauses,
    cut_list_is_completed_by_a_peer, cut_list_is_completed_by_an_older_one,
    peer_without_list_is_no_outage, list_that_is_gone_is_asked_for_with_pauses,
    cut_from_store_and_peers_is_no_outage,
    outage_is_confirmed_by_peers_that_recover,
    watch_after_upstream_uses_short_wait,
    watch_uses_short_wait_while_upstreams_are_avoided,
    first_follower_renews_long_watch, list_may_take_long_while_it_arrives,
    change_may_take_long_while_it_arrives, stale_upstream_is_bypassed,
    slow_upstream_is_bypassed, slow_list_of_a_peer_is_bypassed,
    batched_change_is_not_checked, dead_connection_is_bypassed,
    change_left_to_the_store_is_fetched_there, closed_connection_is_no_outage,
    failure_of_one_host_is_no_outage, failure_of_all_hosts_is_an_outage)
