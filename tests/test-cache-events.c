#include "../platform/platform.h"
#include "../relay/cache-events.h"
#include "../relay/peers-apply.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

#define TAKEN_MAX 8

typedef struct {
    size_t count;
    char ids[TAKEN_MAX][32];
    uint32_t tokens[TAKEN_MAX];
    bool grew[TAKEN_MAX];
} taken_t;

static void
take(void *arg, const cache_event_t *event)
{
    taken_t *taken = arg;
    ck_assert_uint_lt(taken->count, TAKEN_MAX);
    str_copy(taken->ids[taken->count], sizeof(taken->ids[0]), event->id);
    taken->tokens[taken->count] = event->tokens;
    taken->grew[taken->count++] = event->grew;
}

START_TEST(a_list_gives_its_parts_and_its_place)
{
    static const char text[] =
        "{\"epoch\":77120,\"next\":120,\"held\":[[\"s1\",\"5c1e\",800,\"m\"],"
        "[\"s1\",\"x\",\"odd\",3,\"m\"],[\"s2\",\"91bd\",128,\"m\"],7]}";
    taken_t taken = {0};
    cache_place_t place;
    err_t err = {0};
    ck_assert_int_eq(platform_cache_list_read(&place, text, strlen(text), take,
                                              &taken, &err),
                     0);
    ck_assert_int_eq(place.epoch, 77120);
    ck_assert_int_eq(place.next, 120);
    ck_assert_uint_eq(taken.count, 2);
    ck_assert_str_eq(taken.ids[1], "91bd");
    ck_assert_uint_eq(taken.tokens[0], 800);
}
END_TEST

START_TEST(events_give_changes_and_gaps)
{
    static const char text[] =
        "{\"epoch\":5,\"next\":9,\"lost\":true,\"events\":["
        "[7,\"+\",\"s1\",\"5c1e\",800,\"m\"],[8,\"-\",\"s1\",\"91bd\",0,\"m\"]"
        ","
        "[8,\"-\",\"s1\"],[9,\"+\",4,\"5c1e\",800,\"m\"],\"no\"]}";
    taken_t taken = {0};
    cache_place_t place;
    err_t err = {0};
    ck_assert_int_eq(platform_cache_events_read(&place, text, strlen(text),
                                                take, &taken, &err),
                     0);
    ck_assert(place.gap);
    ck_assert_uint_eq(taken.count, 2);
    ck_assert(taken.grew[0]);
    ck_assert(!taken.grew[1]);
}
END_TEST

START_TEST(what_is_no_answer_is_an_error)
{
    static const char *const bad[] = {
        "",
        "[]",
        "{\"events\":[],\"held\":[]}",
        "{\"epoch\":1,\"next\":2}",
        "{\"epoch\":\"1\",\"next\":2,\"events\":[],\"held\":[]}",
        "{\"epoch\":1,\"next\":2,\"events\":{},\"held\":{}}",
        "{\"epoch\":1,\"next\":2,\"events\":[",
    };
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        taken_t taken = {0};
        cache_place_t place;
        err_t err = {0};
        ck_assert_int_ne(
            platform_cache_list_read(&place, bad[i], strlen(bad[i]), take,
                                     &taken, &err),
            0);
        ck_assert_int_ne(
            platform_cache_events_read(&place, bad[i], strlen(bad[i]), take,
                                       &taken, &err),
            0);
        ck_assert_uint_eq(taken.count, 0);
    }
}
END_TEST

/* ---- what daemons do with them ---- */

static unsigned notified;

static void
count_notice(peers_t *peers, const char *holder, const cached_part_t *part,
             bool held)
{
    (void)peers;
    (void)holder;
    (void)part;
    (void)held;
    notified++;
}

static relay_t *
relay_with(const char *id, server_t **server)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    server_entry_t entry = {.slots = 4, .engine = true, .weights = 1};
    str_copy(entry.id, sizeof(entry.id), id);
    str_copy(entry.addr, sizeof(entry.addr), "127.0.0.1:1");
    relay->servers = servers_new();
    relay->cache = cache_map_new(4096);
    relay->notify_part = count_notice;
    *server = servers_put(relay->servers, &entry);
    notified = 0;
    return relay;
}

static void
relay_without(relay_t *relay)
{
    servers_free(relay->servers);
    cache_map_free(relay->cache);
    free(relay);
}

START_TEST(others_are_notified_of_changes_only)
{
    server_t *server;
    relay_t *relay = relay_with("a", &server);
    const cached_part_t part = {.key = 5, .prompt_tokens = 70, .tokens = 70};
    cache_appeared(relay, "a", &part);
    cache_appeared(relay, "a", &part);
    cache_appeared(relay, "stranger", &part);
    ck_assert_uint_eq(notified, 1);
    ck_assert(cached_parts_has(server->held, 5));
    ck_assert(cache_evicted(relay, "a", 5));
    ck_assert(!cache_evicted(relay, "a", 5));
    ck_assert(!cache_evicted(relay, "stranger", 5));
    ck_assert(!cached_parts_has(server->held, 5));
    relay_without(relay);
}
END_TEST

/* Guards against a part that another daemon saw evicted being believed on. */
START_TEST(a_notice_of_an_eviction_is_taken)
{
    server_t *server;
    relay_t *relay = relay_with("a", &server);
    peer_fact_t fact = {
        .key = 5, .prefix_tokens = 700, .part_tokens = 300, .held = true};
    str_copy(fact.backend, sizeof(fact.backend), "a");
    peers_apply(relay, 1, &fact);
    ck_assert(cached_parts_has(server->held, 5));
    fact.held = false;
    peers_apply(relay, 1, &fact);
    ck_assert(!cached_parts_has(server->held, 5));
    relay_without(relay);
}
END_TEST

/* Guards against a fleet whose daemons tell each other of every request's own
 * parts, and against shared ones that stay unknown behind a restart. */
START_TEST(a_part_is_announced_once_a_request_asks_for_it)
{
    server_t *server;
    relay_t *relay = relay_with("a", &server);
    cached_parts_t *unasked = cached_parts_new();
    cache_event_t event = {
        .salt = "s1", .id = "5c1e", .tokens = 700, .grew = true};
    uint64_t key = prompt_part_key(prompt_part("5c1e", 4), "s1");
    cache_event_take(relay, unasked, "a", &event);
    ck_assert_uint_eq(notified, 0);
    ck_assert(!cached_parts_has(server->held, key));
    cache_event_asked(relay, unasked, "a", key + 1);
    ck_assert_uint_eq(notified, 0);
    cache_event_asked(relay, unasked, "a", key);
    ck_assert_uint_eq(notified, 1);
    ck_assert(cached_parts_has(server->held, key));
    cache_event_asked(relay, unasked, "a", key);
    cache_event_take(relay, unasked, "a", &event);
    ck_assert_uint_eq(notified, 1);
    event.grew = false;
    event.tokens = 0;
    cache_event_take(relay, unasked, "a", &event);
    ck_assert_uint_eq(notified, 2);
    ck_assert(!cached_parts_has(server->held, key));
    cached_parts_free(unasked);
    relay_without(relay);
}
END_TEST

/* A part that is evicted before anybody asks for it is forgotten. */
START_TEST(an_eviction_before_any_request_is_kept_track_of)
{
    server_t *server;
    relay_t *relay = relay_with("a", &server);
    cached_parts_t *unasked = cached_parts_new();
    cache_event_t event = {
        .salt = "s1", .id = "5c1e", .tokens = 700, .grew = true};
    cache_event_take(relay, unasked, "a", &event);
    event.grew = false;
    cache_event_take(relay, unasked, "a", &event);
    cache_event_asked(relay, unasked, "a",
                      prompt_part_key(prompt_part("5c1e", 4), "s1"));
    ck_assert_uint_eq(notified, 0);
    cached_parts_free(unasked);
    relay_without(relay);
}
END_TEST

/* Guards against a herd that has every engine list its cache to each daemon,
 * which stalls the engines: a daemon that knows no other yet follows nothing.
 */
START_TEST(a_daemon_that_has_just_started_follows_nothing)
{
    server_t *server;
    relay_t *relay = relay_with("a", &server);
    relay_config_t config = {0};
    cache_follows_t *follows = cache_follows_new(relay);
    relay->servers_listed = true;
    relay->config = &config;
    cache_follows_tick(follows);
    ck_assert_uint_eq(cache_follows_count(follows), 0);
    free(follows);
    relay_without(relay);
}
END_TEST

/* ---- the load ---- */

#define PARTS 400
#define PART_TOKENS 500
#define ROOM_TOKENS 100000
#define UNSEEN_TOKENS 700 /* of each request's own part */
#define STEPS 4000

/* Plays requests for shared parts at an engine, three of four of which come
 * from hosts whose fillings this daemon does not see.  Returns how many of the
 * parts that it counts on are no longer there. */
static unsigned
play(bool follows)
{
    server_t *server;
    relay_t *relay = relay_with("a", &server);
    cached_parts_t *truth = cached_parts_new();
    rng_t rng = {5};
    unsigned wrong = 0;
    cached_parts_room(truth, ROOM_TOKENS);
    cached_parts_room(server->held, ROOM_TOKENS);
    for (unsigned step = 0; step < STEPS; step++) {
        uint64_t key = 1 + rng_below(&rng, PARTS);
        const cached_part_t part = {key, PART_TOKENS, PART_TOKENS};
        bool own = rng_below(&rng, 4) == 0;
        wrong += own && cached_parts_has(server->held, key) &&
                 !cached_parts_has(truth, key);
        cached_parts_use(truth, &part);
        cached_parts_fill(truth, UNSEEN_TOKENS);
        if (own) {
            cached_parts_use(server->held, &part);
            cached_parts_fill(server->held, UNSEEN_TOKENS);
        }
        for (uint64_t at = 1; follows && at <= PARTS; at++) {
            const cached_part_t seen = {at, PART_TOKENS, PART_TOKENS};
            if (cached_parts_has(truth, at)) {
                cache_appeared(relay, "a", &seen);
            }
            else {
                (void)cache_evicted(relay, "a", at);
            }
        }
    }
    cached_parts_free(truth);
    relay_without(relay);
    return wrong;
}

/* Guards against requests sent to an engine that has evicted their parts. */
START_TEST(events_correct_what_requests_alone_do_not_show)
{
    unsigned alone = play(false);
    unsigned followed = play(true);
    ck_assert_uint_gt(alone, STEPS / 4 / 20); /* of this daemon's requests */
    ck_assert_uint_eq(followed, 0);
}
END_TEST

TEST_MAIN("cache-events", a_list_gives_its_parts_and_its_place,
          events_give_changes_and_gaps, what_is_no_answer_is_an_error,
          others_are_notified_of_changes_only,
          a_notice_of_an_eviction_is_taken,
          a_part_is_announced_once_a_request_asks_for_it,
          an_eviction_before_any_request_is_kept_track_of,
          a_daemon_that_has_just_started_follows_nothing,
          events_correct_what_requests_alone_do_not_show)
