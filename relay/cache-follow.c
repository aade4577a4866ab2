#include "cache-events.h"
#include "peers.h"

#include <stdlib.h>
#include <string.h>

/* Follows the contents of engines' caches and kv stores through their own
 * lists and events.  Each cache is followed by one daemon, which notifies its
 * peers of differences from the estimate.
 *
 * An engine's cache turns over within seconds, so an estimate from requests
 * alone is soon wrong, and parts that are held elsewhere would be prefilled
 * again.  After all daemons were lost, the lists restore the contents of the
 * caches of engines that kept running. */

/* Delay before a new daemon follows caches.  While it knows few peers, caches
 * that belong to others are assigned to it: when all daemons restart, each
 * would have every engine list its cache, which stalls the engine. */
#define START_DELAY_MS 2000
/* Interval at which a daemon recomputes which caches are assigned to it. */
#define ASSIGN_INTERVAL_MS 1000
/* Pause after an answer, so that the next one has all events of that time. */
#define POLL_PAUSE_MS 250
/* How long a cache may wait for events, and the margin for its answer. */
#define EVENTS_WAIT_MS 800
#define EVENTS_MARGIN_MS 400
#define LIST_TIMEOUT_MS 1500
#define CONNECT_TIMEOUT_MS 250
/* Pause after a failed call. */
#define RETRY_MS 1000
/* Maximum tokens of one cache's parts that are remembered while no known
 * request has them. */
#define UNREQUESTED_TOKENS_MAX (64 << 20)

typedef struct followed_cache {
    CK_LIST_ENTRY(followed_cache) entry;
    cache_follower_t *follower;
    char holder[CS_NAME_MAX]; /* a server's id or a kv store's name */
    char addr[CS_ADDR_MAX];
    cached_parts_t *unrequested; /* held parts that no known request has */
    bool listed;                 /* position is valid */
    cache_position_t position;
    int64_t next_ms; /* time of the next call */
    fetch_t *fetch;  /* NULL if no call is in flight */
    bool call_failed;
    unsigned round; /* of the last assignment that had this cache */
} followed_cache_t;

struct cache_follower {
    relay_t *relay;
    CK_LIST_HEAD(followed_caches, followed_cache) list;
    unsigned round;         /* number of assignments so far */
    int64_t next_assign_ms; /* time of the next assignment */
};

static void
followed_cache_free(followed_cache_t *cache)
{
    if (cache->fetch != NULL) {
        fetch_cancel(cache->fetch);
    }
    CK_LIST_REMOVE(cache, entry);
    cached_parts_free(cache->unrequested);
    free(cache);
}

static void
on_event(void *arg, const cache_event_t *event)
{
    const followed_cache_t *cache = arg;
    cache_event_apply(cache->follower->relay, cache->unrequested,
                      cache->holder, event);
}

/* Records that a request here or at another daemon has a part. */
void
cache_follower_note_request(cache_follower_t *follower, uint64_t key)
{
    const followed_cache_t *cache;
    if (follower == NULL) {
        return;
    }
    CK_LIST_FOREACH (cache, &follower->list, entry) {
        cache_event_note_request(follower->relay, cache->unrequested,
                                 cache->holder, key);
    }
}

static bool
apply_answer(followed_cache_t *cache, const fetch_result_t *result)
{
    err_t err = {0};
    cache_position_t position = {0};
    bool listing = !cache->listed;
    if (listing) {
        cached_parts_clear(cache->unrequested);
    }
    if (!result->complete || result->status != 200) {
        return false;
    }
    int status =
        listing
            ? platform_cache_list_read(&position, result->text, result->len,
                                       on_event, cache, &err)
            : platform_cache_events_read(&position, result->text, result->len,
                                         on_event, cache, &err);
    if (status != 0) {
        log_warn("cache", "Invalid cache answer from %s: %s.", cache->holder,
                 err.text);
        return false;
    }
    if (listing) {
        log_record(LOG_INFO, "cache", "listed",
                   "holder=%s epoch=%lld next=%lld", cache->holder,
                   (long long)position.epoch, (long long)position.next);
    }
    cache->listed =
        listing || (!position.gap && position.epoch == cache->position.epoch);
    cache->position = position;
    return true;
}

static void
on_done(void *arg, const fetch_result_t *result)
{
    followed_cache_t *cache = arg;
    int64_t now = time_mono_ms();
    bool valid = apply_answer(cache, result);
    cache->fetch = NULL;
    if (cache->call_failed == valid) {
        log_record(valid ? LOG_INFO : LOG_WARN, "cache",
                   valid ? "followed-again" : "lost",
                   "holder=%s addr=%s status=%d", cache->holder, cache->addr,
                   result->status);
    }
    cache->call_failed = !valid;
    cache->next_ms = !valid          ? now + RETRY_MS
                     : cache->listed ? now + POLL_PAUSE_MS
                                     : now;
}

static void
start_call(followed_cache_t *cache)
{
    CLEAN_BUF buf_t head = {0};
    fetch_options_t params = {
        .addr = cache->addr,
        .request = &head,
        .other_header = wire_header_name(HEADER_REQUEST_ID),
        .connect_ms = CONNECT_TIMEOUT_MS,
        .total_ms = LIST_TIMEOUT_MS,
        .on_done = on_done,
        .arg = cache};
    if (cache->listed) {
        platform_cache_events_call(&head, cache->addr, cache->position.next,
                                   EVENTS_WAIT_MS);
        params.total_ms = EVENTS_WAIT_MS + EVENTS_MARGIN_MS;
    }
    else {
        platform_cache_list_call(&head, cache->addr);
    }
    cache->fetch = fetch_start(cache->follower->relay->exchanges, &params);
}

static followed_cache_t *
followed_cache_find(cache_follower_t *follower, const char *holder)
{
    followed_cache_t *cache;
    CK_LIST_FOREACH (cache, &follower->list, entry) {
        if (strcmp(cache->holder, holder) == 0) {
            return cache;
        }
    }
    return NULL;
}

/* Follows a holder if it is assigned to this daemon. */
static void
assign_holder(cache_follower_t *follower, const char *holder, const char *addr)
{
    if (!peers_has_duty(follower->relay->peers, holder)) {
        return;
    }
    followed_cache_t *cache = followed_cache_find(follower, holder);
    if (cache == NULL) {
        cache = mem_zalloc(sizeof(*cache));
        cache->follower = follower;
        cache->unrequested = cached_parts_new();
        cached_parts_set_capacity(cache->unrequested, UNREQUESTED_TOKENS_MAX);
        str_copy(cache->holder, sizeof(cache->holder), holder);
        CK_LIST_INSERT_HEAD(&follower->list, cache, entry);
    }
    if (strcmp(cache->addr, addr) != 0) {
        str_copy(cache->addr, sizeof(cache->addr), addr);
        cache->listed = false;
    }
    cache->round = follower->round;
}

/* Recomputes which caches this daemon follows. */
static void
assign_all(cache_follower_t *follower)
{
    const relay_t *relay = follower->relay;
    const server_t *server;
    const relay_service_t *service;
    followed_cache_t *cache;
    followed_cache_t *next;
    follower->round++;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (server->info.engine && !server->removed) {
            assign_holder(follower, server->info.id, server->info.addr);
        }
    }
    CK_SLIST_FOREACH (service, &relay->config->services, entry) {
        if (service->kv_store) {
            assign_holder(follower, service->name, service->addr);
        }
    }
    CK_LIST_FOREACH_SAFE (cache, &follower->list, entry, next) {
        if (cache->round != follower->round) {
            followed_cache_free(cache);
        }
    }
}

cache_follower_t *
cache_follower_new(relay_t *relay)
{
    cache_follower_t *follower = mem_zalloc(sizeof(*follower));
    follower->relay = relay;
    follower->next_assign_ms = time_mono_ms() + START_DELAY_MS;
    CK_LIST_INIT(&follower->list);
    return follower;
}

/* Returns the number of caches that this daemon follows. */
size_t
cache_follower_cache_count(const cache_follower_t *follower)
{
    const followed_cache_t *cache;
    size_t count = 0;
    CK_LIST_FOREACH (cache, &follower->list, entry) {
        count++;
    }
    return count;
}

/* Reassigns caches when that is due and starts the calls that are due. */
void
cache_follower_tick(cache_follower_t *follower)
{
    int64_t now = time_mono_ms();
    followed_cache_t *cache;
    if (!follower->relay->servers_listed || follower->relay->config == NULL) {
        return;
    }
    if (now >= follower->next_assign_ms) {
        follower->next_assign_ms = now + ASSIGN_INTERVAL_MS;
        assign_all(follower);
    }
    CK_LIST_FOREACH (cache, &follower->list, entry) {
        if (cache->fetch == NULL && now >= cache->next_ms) {
            start_call(cache);
        }
    }
}
