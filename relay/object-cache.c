#include "object-cache.h"

#include <stdlib.h>

/* Changes of a kind that are kept for followers; one that is further behind
 * lists anew.  Entries of 112 servers change about ten
 * times a second while weights load: half a minute of them. */
#define CHANGES_MAX 256
/* Longest wait for news that is granted, ms. */
#define WAIT_MAX_MS 5000

typedef struct {
    json_t *objects; /* by name */
    json_t *listing; /* the same while a list comes in, else NULL */
    json_t *changes; /* the oldest first */
    int64_t since;   /* all changes behind this revision are there */
} object_cache_kind_t;

/* A daemon that waits for news. */
typedef struct waiter {
    CK_LIST_ENTRY(waiter) entry;
    object_cache_t *cache;
    caller_t *caller;
    struct event *timer;
    kind_t kind;
    int64_t from;
} waiter_t;

typedef CK_LIST_HEAD(waiters, waiter) waiters_t;

struct object_cache {
    relay_t *relay;
    object_cache_kind_t kinds[KINDS_CACHED];
    waiters_t waiters;
};

object_cache_t *
object_cache_new(relay_t *relay)
{
    object_cache_t *cache = mem_zalloc(sizeof(*cache));
    cache->relay = relay;
    CK_LIST_INIT(&cache->waiters);
    for (size_t i = 0; i < KINDS_CACHED; i++) {
        cache->kinds[i].objects = json_object();
        cache->kinds[i].changes = json_array();
    }
    return cache;
}

/* Nobody may wait any more. */
void
object_cache_free(object_cache_t *cache)
{
    for (size_t i = 0; i < KINDS_CACHED; i++) {
        json_decref(cache->kinds[i].objects);
        json_decref(cache->kinds[i].listing);
        json_decref(cache->kinds[i].changes);
    }
    free(cache);
}

static watch_t *
watch_of(const object_cache_t *cache, kind_t kind)
{
    const relay_t *relay = cache->relay;
    watch_t *watches[KINDS_CACHED] = {
        relay->config_watch, relay->servers_watch, relay->weights_watch};
    return watches[kind];
}

static void
put_object(json_t *objects, const store_object_t *object)
{
    if (object->removed) {
        (void)json_object_del(objects, object->name);
        return;
    }
    const json_t *old = json_object_get(objects, object->name);
    if (old == NULL || platform_revision(old) <= object->revision) {
        (void)json_object_set_new(objects, object->name,
                                  platform_object(object));
    }
}

/* Keep an object as the store gave it. */
void
object_cache_put(object_cache_t *cache, kind_t kind,
                 const store_object_t *object)
{
    object_cache_kind_t *own = &cache->kinds[kind];
    if (own->listing != NULL) {
        put_object(own->listing, object);
        return;
    }
    put_object(own->objects, object);
    (void)json_array_append_new(own->changes, platform_change(object));
    if (json_array_size(own->changes) > CHANGES_MAX) {
        own->since = platform_change_revision(json_array_get(own->changes, 0));
        (void)json_array_remove(own->changes, 0);
    }
}

/* A whole list comes in. */
void
object_cache_list(object_cache_t *cache, kind_t kind)
{
    object_cache_kind_t *own = &cache->kinds[kind];
    json_decref(own->listing);
    own->listing = json_object();
}

/* What is known of an object behind a list goes before what the list says of
 * it, or does not: lists of the store come in pages, and one that another
 * daemon tells can be behind.  An entry that is lost here is taken for a
 * server that is gone by whoever asks this daemon. */
static void
keep_newer(object_cache_kind_t *own, int64_t at)
{
    const char *name;
    json_t *object;
    json_object_foreach (own->objects, name, object) {
        const json_t *listed = json_object_get(own->listing, name);
        int64_t told = listed != NULL ? platform_revision(listed) : at;
        if (platform_revision(object) > told) {
            (void)json_object_set(own->listing, name, object);
        }
    }
}

/* It is complete: what was not on it is gone, and what changed on the way to
 * it is not known one by one. */
void
object_cache_listed(object_cache_t *cache, kind_t kind, int64_t at)
{
    object_cache_kind_t *own = &cache->kinds[kind];
    if (own->listing == NULL) {
        return;
    }
    keep_newer(own, at);
    json_decref(own->objects);
    own->objects = own->listing;
    own->listing = NULL;
    own->since = at;
    (void)json_array_clear(own->changes);
}

/* The objects of a kind by name. */
const json_t *
object_cache_objects(const object_cache_t *cache, kind_t kind)
{
    return cache->kinds[kind].objects;
}

/* ---- answers ---- */

static void
answer(caller_t *caller, int status, json_t *owned)
{
    CLEAN_JSON json_t *page = owned;
    CLEAN_TEXT char *text = json_dumps(page, JSON_COMPACT);
    CLEAN_BUF buf_t body = {0};
    CLEAN_BUF buf_t headers = {0};
    buf_str(&headers, "Content-Type: application/json\r\n");
    buf_str(&body, text != NULL ? text : "");
    caller_answer(caller, status, &headers, buf_text(&body), body.len);
}

/* Changes behind a revision. */
static json_t *
changes_behind(const object_cache_kind_t *own, int64_t from)
{
    json_t *found = json_array();
    size_t index;
    json_t *change;
    json_array_foreach (own->changes, index, change) {
        if (platform_change_revision(change) > from) {
            (void)json_array_append(found, change);
        }
    }
    return found;
}

/* What who watches from a revision is told: a status, with a page for 200, or
 * 0 while there is nothing to tell and its time is not over.  Only the store's
 * own word is passed on: a daemon that is cut off from the store would else
 * keep its followers on what it has. */
static int
look(const object_cache_t *cache, kind_t kind, int64_t from, bool over,
     json_t **page)
{
    const object_cache_kind_t *own = &cache->kinds[kind];
    const watch_t *watch = watch_of(cache, kind);
    *page = NULL;
    if (!watch_fresh(watch) || cache->relay->stopping_ms != 0) {
        return 503;
    }
    if (from < own->since) {
        return 410;
    }
    json_t *changes = changes_behind(own, from);
    if (json_array_size(changes) == 0 && !over) {
        json_decref(changes);
        return 0;
    }
    *page = platform_changes(changes, watch_at(watch));
    return 200;
}

static void
waiter_free(waiter_t *waiter)
{
    CK_LIST_REMOVE(waiter, entry);
    event_free(waiter->timer);
    free(waiter);
}

/* The connection of a waiting daemon has ended. */
void
object_cache_caller_left(void *waiter)
{
    waiter_free(waiter);
}

/* Answer a waiter; it is gone before its answer is written, since its next
 * question may follow at once. */
static void
waiter_try(waiter_t *waiter, bool over)
{
    caller_t *caller = waiter->caller;
    json_t *page;
    int status = look(waiter->cache, waiter->kind, waiter->from, over, &page);
    if (status == 0) {
        return;
    }
    caller_set_owner(caller, NULL);
    waiter_free(waiter);
    answer(caller, status, page);
}

static void
on_wait_over(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    waiter_try(arg, true);
}

/* Answers the followers that wait: a kind has changed, or the store was lost
 * or is back. */
void
object_cache_notify(object_cache_t *cache, kind_t kind)
{
    waiter_t *waiter;
    waiter_t *next;
    CK_LIST_FOREACH_SAFE (waiter, &cache->waiters, entry, next) {
        if (waiter->kind == kind) {
            waiter_try(waiter, false);
        }
    }
}

static void
wait_for_news(object_cache_t *cache, caller_t *caller,
              const store_query_t *query)
{
    int ms = query->wait_ms < WAIT_MAX_MS ? query->wait_ms : WAIT_MAX_MS;
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    waiter_t *waiter = mem_zalloc(sizeof(*waiter));
    waiter->cache = cache;
    waiter->caller = caller;
    waiter->kind = query->kind;
    waiter->from = query->from;
    waiter->timer = evtimer_new(cache->relay->base, on_wait_over, waiter);
    (void)event_add(waiter->timer, &after);
    CK_LIST_INSERT_HEAD(&cache->waiters, waiter, entry);
    caller_set_owner(caller, waiter);
}

/* Answer another daemon's question for objects, as the store would; false if
 * it is none. */
bool
object_cache_answer(object_cache_t *cache, caller_t *caller,
                    const char *target)
{
    store_query_t query;
    if (!platform_query_read(&query, target)) {
        return false;
    }
    if (query.kind >= KINDS_CACHED ||
        !watch_listed(watch_of(cache, query.kind))) {
        answer(caller, 404, NULL);
        return true;
    }
    watch_t *watch = watch_of(cache, query.kind);
    if (!query.watches) {
        answer(
            caller, 200,
            platform_page(cache->kinds[query.kind].objects, watch_at(watch)));
        return true;
    }
    watch_serves(watch);
    json_t *page;
    int status =
        look(cache, query.kind, query.from, query.wait_ms <= 0, &page);
    if (status == 0) {
        wait_for_news(cache, caller, &query);
        return true;
    }
    answer(caller, status, page);
    return true;
}
