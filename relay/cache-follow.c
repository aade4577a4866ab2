#include "cache-events.h"
#include "peers.h"

#include <stdlib.h>
#include <string.h>

/* Follows what engines' caches and the kv stores hold, by their own lists
 * and events.  Each cache is followed by one daemon, which notifies the others
 * of what differs from its own estimate.
 *
 * The load that this answers: an engine's memory turns over within seconds, so
 * an estimate from requests alone is soon wrong, and parts that are held
 * elsewhere would be read again.  After a loss of all daemons the lists
 * restore what the engines, which ran on, hold. */

/* A daemon that has just started knows few others, and would follow what falls
 * to them: after a loss of all daemons each would have every engine list its
 * cache, which stalls the engine.  It waits until the others are known, ms. */
#define KNOWN_MS 2000
/* How often each daemon works out which caches fall to it, ms. */
#define SHARE_MS 1000
/* Pause behind an answer, ms: the next one brings all events of that time. */
#define GATHER_MS 250
/* Longest wait for events, ms, and for an answer beyond that. */
#define EVENTS_WAIT_MS 800
#define SLACK_MS 400
#define LIST_MS 1500
#define CONNECT_MS 250
/* Behind a failed call, ms. */
#define AGAIN_MS 1000
/* Parts of one cache that are kept track of before any request asks for them,
 * tokens. */
#define UNASKED_TOKENS (64 << 20)

typedef struct follow {
    CK_LIST_ENTRY(follow) entry;
    cache_follows_t *follows;
    char holder[CS_NAME_MAX]; /* a server's id or a kv store's name */
    char addr[CS_ADDR_MAX];
    cached_parts_t
        *unasked; /* held, and no request is known to ask for them */
    bool listed;  /* place is known */
    cache_place_t place;
    int64_t next_ms;
    fetch_t *fetch;
    bool lost;     /* the last call brought nothing */
    unsigned seen; /* count of the sharing that it was last in */
} follow_t;

struct cache_follows {
    relay_t *relay;
    CK_LIST_HEAD(follow_list, follow) list;
    unsigned shares;
    int64_t share_ms;
};

static void
follow_free(follow_t *follow)
{
    if (follow->fetch != NULL) {
        fetch_cancel(follow->fetch);
    }
    CK_LIST_REMOVE(follow, entry);
    cached_parts_free(follow->unasked);
    free(follow);
}

static void
on_event(void *arg, const cache_event_t *event)
{
    const follow_t *follow = arg;
    cache_event_take(follow->follows->relay, follow->unasked, follow->holder,
                     event);
}

/* A request here or at another daemon asks for a part. */
void
cache_follows_asked(cache_follows_t *follows, uint64_t key)
{
    const follow_t *follow;
    if (follows == NULL) {
        return;
    }
    CK_LIST_FOREACH (follow, &follows->list, entry) {
        cache_event_asked(follows->relay, follow->unasked, follow->holder,
                          key);
    }
}

static bool
take_answer(follow_t *follow, const fetch_result_t *result)
{
    err_t err = {0};
    cache_place_t place = {0};
    bool listing = !follow->listed;
    if (listing) {
        cached_parts_forget(follow->unasked);
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
        log_warn("cache", "The answer of %s cannot be read: %s.",
                 follow->holder, err.text);
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
    bool good = take_answer(follow, result);
    follow->fetch = NULL;
    if (follow->lost == good) {
        log_record(good ? LOG_INFO : LOG_WARN, "cache",
                   good ? "followed-again" : "lost",
                   "holder=%s addr=%s status=%d", follow->holder, follow->addr,
                   result->status);
    }
    follow->lost = !good;
    follow->next_ms = !good            ? now + AGAIN_MS
                      : follow->listed ? now + GATHER_MS
                                       : now;
}

static void
follow_call(follow_t *follow)
{
    CLEAN_BUF buf_t head = {0};
    fetch_options_t ask = {.addr = follow->addr,
                           .request = &head,
                           .connect_ms = CONNECT_MS,
                           .total_ms = LIST_MS,
                           .on_done = on_done,
                           .arg = follow};
    if (follow->listed) {
        platform_cache_events_call(&head, follow->addr, follow->place.next,
                                   EVENTS_WAIT_MS);
        ask.total_ms = EVENTS_WAIT_MS + SLACK_MS;
    }
    else {
        platform_cache_list_call(&head, follow->addr);
    }
    follow->fetch = fetch_start(follow->follows->relay->exchanges, &ask);
}

static follow_t *
follow_find(cache_follows_t *follows, const char *holder)
{
    follow_t *follow;
    CK_LIST_FOREACH (follow, &follows->list, entry) {
        if (strcmp(follow->holder, holder) == 0) {
            return follow;
        }
    }
    return NULL;
}

/* Follow a holder if that falls to this daemon. */
static void
share_holder(cache_follows_t *follows, const char *holder, const char *addr)
{
    if (!peers_duty(follows->relay->peers, holder)) {
        return;
    }
    follow_t *follow = follow_find(follows, holder);
    if (follow == NULL) {
        follow = mem_zalloc(sizeof(*follow));
        follow->follows = follows;
        follow->unasked = cached_parts_new();
        cached_parts_room(follow->unasked, UNASKED_TOKENS);
        str_copy(follow->holder, sizeof(follow->holder), holder);
        CK_LIST_INSERT_HEAD(&follows->list, follow, entry);
    }
    if (strcmp(follow->addr, addr) != 0) {
        str_copy(follow->addr, sizeof(follow->addr), addr);
        follow->listed = false;
    }
    follow->seen = follows->shares;
}

static void
share_all(cache_follows_t *follows)
{
    const relay_t *relay = follows->relay;
    const server_t *server;
    const relay_service_t *service;
    follow_t *follow;
    follow_t *next;
    follows->shares++;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (server->info.engine && !server->gone) {
            share_holder(follows, server->info.id, server->info.addr);
        }
    }
    CK_SLIST_FOREACH (service, &relay->config->services, entry) {
        if (service->kv_store) {
            share_holder(follows, service->name, service->addr);
        }
    }
    CK_LIST_FOREACH_SAFE (follow, &follows->list, entry, next) {
        if (follow->seen != follows->shares) {
            follow_free(follow);
        }
    }
}

cache_follows_t *
cache_follows_new(relay_t *relay)
{
    cache_follows_t *follows = mem_zalloc(sizeof(*follows));
    follows->relay = relay;
    follows->share_ms = time_mono_ms() + KNOWN_MS;
    CK_LIST_INIT(&follows->list);
    return follows;
}

/* Caches that this daemon follows. */
size_t
cache_follows_count(const cache_follows_t *follows)
{
    const follow_t *follow;
    size_t count = 0;
    CK_LIST_FOREACH (follow, &follows->list, entry) {
        count++;
    }
    return count;
}

/* One step. */
void
cache_follows_tick(cache_follows_t *follows)
{
    int64_t now = time_mono_ms();
    follow_t *follow;
    if (!follows->relay->servers_listed || follows->relay->config == NULL) {
        return;
    }
    if (now >= follows->share_ms) {
        follows->share_ms = now + SHARE_MS;
        share_all(follows);
    }
    CK_LIST_FOREACH (follow, &follows->list, entry) {
        if (follow->fetch == NULL && now >= follow->next_ms) {
            follow_call(follow);
        }
    }
}
