#include "object-cache.h"

#include <stdlib.h>

/* Changes of a kind that are kept for followers; a follower that needs older
 * ones lists again.  The entries of 112 servers change about ten times a
 * second while weights load: this is about half a minute of them. */
#define CHANGES_MAX 256
/* Longest wait for changes that a follower can request, ms. */
#define WAIT_MS_MAX 5000

typedef struct {
    json_t *objects;       /* by name */
    json_t *listing;       /* by name, while a list is received, else NULL */
    json_t *changes;       /* the oldest first */
    int64_t changes_since; /* changes holds all changes after this revision */
} object_cache_kind_t;

/* A daemon that waits for changes. */
typedef struct waiter {
    CK_LIST_ENTRY(waiter) entry;
    object_cache_t *cache;
    caller_t *caller;
    struct event *timer;
    object_kind_t kind;
    int64_t after_revision;
} waiter_t;

typedef CK_LIST_HEAD(waiters, waiter) waiters_t;

struct object_cache {
    relay_t *relay;
    object_cache_kind_t kinds[CACHED_KIND_COUNT];
    waiters_t waiters;
};

object_cache_t *
object_cache_new(relay_t *relay)
{
    object_cache_t *cache = mem_zalloc(sizeof(*cache));
    cache->relay = relay;
    CK_LIST_INIT(&cache->waiters);
    for (size_t i = 0; i < CACHED_KIND_COUNT; i++) {
        cache->kinds[i].objects = json_object();
        cache->kinds[i].changes = json_array();
    }
    return cache;
}

/* Frees a cache, which must not have any waiters. */
void
object_cache_free(object_cache_t *cache)
{
    for (size_t i = 0; i < CACHED_KIND_COUNT; i++) {
        json_decref(cache->kinds[i].objects);
        json_decref(cache->kinds[i].listing);
        json_decref(cache->kinds[i].changes);
    }
    free(cache);
}

static watch_t *
watch_for(const object_cache_t *cache, object_kind_t kind)
{
    const relay_t *relay = cache->relay;
    watch_t *watches[CACHED_KIND_COUNT] = {
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
    if (old == NULL || platform_object_revision(old) <= object->revision) {
        (void)json_object_set_new(objects, object->name,
                                  platform_encode_object(object));
    }
}

/* Stores an object, or its removal, as the platform's store reported it. */
void
object_cache_put(object_cache_t *cache, object_kind_t kind,
                 const store_object_t *object)
{
    object_cache_kind_t *cached = &cache->kinds[kind];
    if (cached->listing != NULL) {
        put_object(cached->listing, object);
        return;
    }
    put_object(cached->objects, object);
    (void)json_array_append_new(cached->changes,
                                platform_encode_change(object));
    if (json_array_size(cached->changes) > CHANGES_MAX) {
        cached->changes_since =
            platform_change_revision(json_array_get(cached->changes, 0));
        (void)json_array_remove(cached->changes, 0);
    }
}

/* Begins a whole list: objects are added to it until it is complete. */
void
object_cache_list_begin(object_cache_t *cache, object_kind_t kind)
{
    object_cache_kind_t *cached = &cache->kinds[kind];
    json_decref(cached->listing);
    cached->listing = json_object();
}

/* Keeps the known objects that are newer than the list, or than their version
 * in it: lists of the store come in pages, and a list from another daemon can
 * be out of date.  If an entry were lost here, daemons that list the objects
 * from this one would treat a live server as removed. */
static void
merge_newer(object_cache_kind_t *cached, int64_t revision)
{
    const char *name;
    json_t *object;
    json_object_foreach (cached->objects, name, object) {
        const json_t *listed = json_object_get(cached->listing, name);
        int64_t listed_revision =
            listed != NULL ? platform_object_revision(listed) : revision;
        if (platform_object_revision(object) > listed_revision) {
            (void)json_object_set(cached->listing, name, object);
        }
    }
}

/* Ends a list: older objects that are not on it are dropped.  The single
 * changes before it are not known, so no watch can start before its revision.
 */
void
object_cache_list_end(object_cache_t *cache, object_kind_t kind,
                      int64_t revision)
{
    object_cache_kind_t *cached = &cache->kinds[kind];
    if (cached->listing == NULL) {
        return;
    }
    merge_newer(cached, revision);
    json_decref(cached->objects);
    cached->objects = cached->listing;
    cached->listing = NULL;
    cached->changes_since = revision;
    (void)json_array_clear(cached->changes);
}

/* Returns the objects of a kind by name. */
const json_t *
object_cache_objects(const object_cache_t *cache, object_kind_t kind)
{
    return cache->kinds[kind].objects;
}

/* ---- answers ---- */

static void
send_answer(caller_t *caller, int status, json_t *owned)
{
    CLEAN_JSON json_t *page = owned;
    CLEAN_TEXT char *text = json_dumps(page, JSON_COMPACT);
    CLEAN_BUF buf_t body = {0};
    CLEAN_BUF buf_t headers = {0};
    buf_str(&headers, "Content-Type: application/json\r\n");
    buf_str(&body, text != NULL ? text : "");
    caller_answer(caller, status, &headers, buf_text(&body), body.len);
}

/* Returns the changes after a revision. */
static json_t *
changes_after(const object_cache_kind_t *cached, int64_t after_revision)
{
    json_t *found = json_array();
    size_t index;
    json_t *change;
    json_array_foreach (cached->changes, index, change) {
        if (platform_change_revision(change) > after_revision) {
            (void)json_array_append(found, change);
        }
    }
    return found;
}

/* Returns the status of the answer to a watch, with a page for 200; 0 if there
 * are no changes yet and the wait has not timed out.  Only what the
 * store itself confirms is passed on: a daemon that is cut off from the store
 * would otherwise keep its followers on outdated objects. */
static int
poll_changes(const object_cache_t *cache, object_kind_t kind,
             int64_t after_revision, bool timed_out, json_t **page)
{
    const object_cache_kind_t *cached = &cache->kinds[kind];
    const watch_t *watch = watch_for(cache, kind);
    *page = NULL;
    if (!watch_is_fresh(watch) || cache->relay->stop_requested_ms != 0) {
        return 503;
    }
    if (after_revision < cached->changes_since) {
        return 410;
    }
    json_t *changes = changes_after(cached, after_revision);
    if (json_array_size(changes) == 0 && !timed_out) {
        json_decref(changes);
        return 0;
    }
    *page = platform_encode_changes(changes, watch_revision(watch),
                                    watch_age_ms(watch, time_mono_ms()));
    return 200;
}

static void
waiter_free(waiter_t *waiter)
{
    CK_LIST_REMOVE(waiter, entry);
    event_free(waiter->timer);
    free(waiter);
}

/* Drops a waiter whose connection has ended. */
void
object_cache_caller_disconnected(void *waiter)
{
    waiter_free(waiter);
}

/* Answers a waiter if there are changes or its wait has timed out.  The waiter
 * is freed before the answer is written, since the next request of its daemon
 * may follow at once. */
static void
try_answer(waiter_t *waiter, bool timed_out)
{
    caller_t *caller = waiter->caller;
    json_t *page;
    int status = poll_changes(waiter->cache, waiter->kind,
                              waiter->after_revision, timed_out, &page);
    if (status == 0) {
        return;
    }
    caller_set_owner(caller, NULL);
    waiter_free(waiter);
    send_answer(caller, status, page);
}

static void
on_wait_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    try_answer(arg, true);
}

/* Answers the followers that wait for a kind, after it has changed or the
 * store was lost or has recovered. */
void
object_cache_notify(object_cache_t *cache, object_kind_t kind)
{
    waiter_t *waiter;
    waiter_t *next;
    CK_LIST_FOREACH_SAFE (waiter, &cache->waiters, entry, next) {
        if (waiter->kind == kind) {
            try_answer(waiter, false);
        }
    }
}

static void
add_waiter(object_cache_t *cache, caller_t *caller, const store_query_t *query)
{
    int ms = query->wait_ms < WAIT_MS_MAX ? query->wait_ms : WAIT_MS_MAX;
    struct timeval wait = {ms / 1000, ms % 1000 * 1000};
    waiter_t *waiter = mem_zalloc(sizeof(*waiter));
    waiter->cache = cache;
    waiter->caller = caller;
    waiter->kind = query->kind;
    waiter->after_revision = query->after_revision;
    waiter->timer = evtimer_new(cache->relay->base, on_wait_timeout, waiter);
    (void)event_add(waiter->timer, &wait);
    CK_LIST_INSERT_HEAD(&cache->waiters, waiter, entry);
    caller_set_owner(caller, waiter);
}

/* Answers another daemon's request for objects, as the store would; false if
 * the target is not such a request. */
bool
object_cache_answer(object_cache_t *cache, caller_t *caller,
                    const char *target)
{
    store_query_t query;
    if (!platform_query_read(&query, target)) {
        return false;
    }
    if (query.kind >= CACHED_KIND_COUNT ||
        !watch_has_list(watch_for(cache, query.kind))) {
        send_answer(caller, 404, NULL);
        return true;
    }
    watch_t *watch = watch_for(cache, query.kind);
    int64_t now = time_mono_ms();
    if (!query.is_watch) {
        send_answer(caller, 200,
                    platform_encode_page(cache->kinds[query.kind].objects,
                                         watch_revision(watch),
                                         watch_age_ms(watch, now),
                                         watch_is_recovering(watch, now)));
        return true;
    }
    watch_note_follower(watch);
    json_t *page;
    int status = poll_changes(cache, query.kind, query.after_revision,
                              query.wait_ms <= 0, &page);
    if (status == 0) {
        add_waiter(cache, caller, &query);
        return true;
    }
    send_answer(caller, status, page);
    return true;
}
