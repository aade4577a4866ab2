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
/* Tokens of one cache's parts that are remembered before any request has
 * them. */
#define UNREQUESTED_TOKENS_MAX (64 << 20)

typedef struct follow {
    CK_LIST_ENTRY(follow) entry;
    cache_follower_t *follower;
    char holder[CS_NAME_MAX]; /* a server's id or a kv store's name */
    char addr[CS_ADDR_MAX];
    cached_parts_t *unrequested; /* held parts that no known request has */
    bool listed;                 /* place is valid */
    cache_position_t place;
    int64_t next_ms; /* time of the next call */
    fetch_t *fetch;  /* NULL if no call is in flight */
    bool lost;       /* the last call failed */
    unsigned round;  /* of the assignment that last had this cache */
} follow_t;

struct cache_follower {
    relay_t *relay;
    CK_LIST_HEAD(follow_list, follow) list;
    unsigned round;         /* number of assignments so far */
    int64_t next_assign_ms; /* time of the next assignment */
};

static void
follow_free(follow_t *follow)
{
    if (follow->fetch != NULL) {
        fetch_cancel(follow->fetch);
    }
    CK_LIST_REMOVE(follow, entry);
    cached_parts_free(follow->unrequested);
    free(follow);
}

static void
on_event(void *arg, const cache_event_t *event)
{
    const follow_t *follow = arg;
    cache_event_apply(follow->follower->relay, follow->unrequested,
                      follow->holder, event);
}

/* Records that a request here or at another daemon has a part. */
void
cache_follower_part_requested(cache_follower_t *follower, uint64_t key)
{
    const follow_t *follow;
    if (follower == NULL) {
        return;
    }
    CK_LIST_FOREACH (follow, &follower->list, entry) {
        cache_event_note_request(follower->relay, follow->unrequested,
                                 follow->holder, key);
    }
}

static bool
apply_answer(follow_t *follow, const fetch_result_t *result)
{
    err_t err = {0};
    cache_position_t place = {0};
    bool listing = !follow->listed;
    if (listing) {
        cached_parts_clear(follow->unrequested);
    }
    if (!result->complete || result->status != 200) {
        return false;
    }
    int status =
        listing ? platform_cache_list_read(&place, result->text, result->len,
                                           on_event, follow, &err)
                : platform_cache_events_read(&place, result->text, result->len,
                                             on_event, follow, &err);
    if (status != 0) {
        log_warn("cache", "Invalid cache answer from %s: %s.", follow->holder,
                 err.text);
        return false;
    }
    if (listing) {
        log_record(LOG_INFO, "cache", "listed",
                   "holder=%s epoch=%lld next=%lld", follow->holder,
                   (long long)place.epoch, (long long)place.next);
    }
    follow->listed =
        listing || (!place.gap && place.epoch == follow->place.epoch);
    follow->place = place;
    return true;
}

static void
on_done(void *arg, const fetch_result_t *result)
{
    follow_t *follow = arg;
    int64_t now = time_mono_ms();
    bool valid = apply_answer(follow, result);
    follow->fetch = NULL;
    if (follow->lost == valid) {
        log_record(valid ? LOG_INFO : LOG_WARN, "cache",
                   valid ? "followed-again" : "lost",
                   "holder=%s addr=%s status=%d", follow->holder, follow->addr,
                   result->status);
    }
    follow->lost = !valid;
    follow->next_ms = !valid           ? now + RETRY_MS
                      : follow->listed ? now + POLL_PAUSE_MS
                                       : now;
}

static void
start_call(follow_t *follow)
{
    CLEAN_BUF buf_t head = {0};
    fetch_options_t params = {.addr = follow->addr,
                              .request = &head,
                              .connect_ms = CONNECT_TIMEOUT_MS,
                              .total_ms = LIST_TIMEOUT_MS,
                              .on_done = on_done,
                              .arg = follow};
    if (follow->listed) {
        platform_cache_events_call(&head, follow->addr, follow->place.next,
                                   EVENTS_WAIT_MS);
        params.total_ms = EVENTS_WAIT_MS + EVENTS_MARGIN_MS;
    }
    else {
        platform_cache_list_call(&head, follow->addr);
    }
    follow->fetch = fetch_start(follow->follower->relay->exchanges, &params);
}

static follow_t *
follow_find(cache_follower_t *follower, const char *holder)
{
    follow_t *follow;
    CK_LIST_FOREACH (follow, &follower->list, entry) {
        if (strcmp(follow->holder, holder) == 0) {
            return follow;
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
    follow_t *follow = follow_find(follower, holder);
    if (follow == NULL) {
        follow = mem_zalloc(sizeof(*follow));
        follow->follower = follower;
        follow->unrequested = cached_parts_new();
        cached_parts_set_capacity(follow->unrequested, UNREQUESTED_TOKENS_MAX);
        str_copy(follow->holder, sizeof(follow->holder), holder);
        CK_LIST_INSERT_HEAD(&follower->list, follow, entry);
    }
    if (strcmp(follow->addr, addr) != 0) {
        str_copy(follow->addr, sizeof(follow->addr), addr);
        follow->listed = false;
    }
    follow->round = follower->round;
}

/* Recomputes which caches this daemon follows. */
static void
assign_all(cache_follower_t *follower)
{
    const relay_t *relay = follower->relay;
    const server_t *server;
    const relay_service_t *service;
    follow_t *follow;
    follow_t *next;
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
    CK_LIST_FOREACH_SAFE (follow, &follower->list, entry, next) {
        if (follow->round != follower->round) {
            follow_free(follow);
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
    const follow_t *follow;
    size_t count = 0;
    CK_LIST_FOREACH (follow, &follower->list, entry) {
        count++;
    }
    return count;
}

/* Reassigns caches when that is due and starts the calls that are due. */
void
cache_follower_tick(cache_follower_t *follower)
{
    int64_t now = time_mono_ms();
    follow_t *follow;
    if (!follower->relay->servers_listed || follower->relay->config == NULL) {
        return;
    }
    if (now >= follower->next_assign_ms) {
        follower->next_assign_ms = now + ASSIGN_INTERVAL_MS;
        assign_all(follower);
    }
    CK_LIST_FOREACH (follow, &follower->list, entry) {
        if (follow->fetch == NULL && now >= follow->next_ms) {
            start_call(follow);
        }
    }
}
