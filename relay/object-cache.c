#include "object-cache.h"
#include "peers.h"
#include "watch-duty.h"

#include <stdlib.h>
#include <string.h>

/* Changes of a kind that are kept for followers; a follower that needs older
 * ones lists again.  The entries of 112 servers change about ten times a
 * second while weights load: this is about half a minute of them. */
#define CHANGES_MAX 256
/* Longest wait for changes that a follower can request, ms. */
#define WAIT_MS_MAX 5000

/* Changes that all followers together get at once may take up the link of this
 * host for this long, ms; beyond that they get them from the store. */
#define FANOUT_MS 50
/* The link of a host that is not known, and what each follower gets at least,
 * bytes: a few entries of servers. */
#define DEFAULT_LINK_MBPS 100
#define FANOUT_BYTES_MIN 16384
#define BYTES_PER_MS_OF_MBPS 125.0

/* A change, and its text, which is made when the first follower gets it. */
typedef struct object_change {
    CK_STAILQ_ENTRY(object_change) entry;
    int64_t revision;
    char name[CS_NAME_MAX * 2]; /* of the object */
    json_t *json;               /* until the text is made */
    char *text;
    size_t len;
} object_change_t;

typedef CK_STAILQ_HEAD(object_changes, object_change) object_changes_t;

typedef struct {
    json_t *objects; /* by name */
    json_t *listing; /* by name, while a list is received, else NULL */
    object_changes_t changes; /* the oldest first */
    size_t change_count;
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
        CK_STAILQ_INIT(&cache->kinds[i].changes);
    }
    return cache;
}

static void
drop_change(object_cache_kind_t *cached, object_change_t *change)
{
    CK_STAILQ_REMOVE(&cached->changes, change, object_change, entry);
    cached->change_count--;
    json_decref(change->json);
    free(change->text);
    free(change);
}

static void
drop_changes(object_cache_kind_t *cached)
{
    while (cached->change_count > 0) {
        drop_change(cached, CK_STAILQ_FIRST(&cached->changes));
    }
}

/* Frees a cache, which must not have any waiters. */
void
object_cache_free(object_cache_t *cache)
{
    for (size_t i = 0; i < CACHED_KIND_COUNT; i++) {
        json_decref(cache->kinds[i].objects);
        json_decref(cache->kinds[i].listing);
        drop_changes(&cache->kinds[i]);
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

static object_change_t *
find_change(const object_cache_kind_t *cached, const char *name)
{
    object_change_t *change;
    CK_STAILQ_FOREACH (change, &cached->changes, entry) {
        if (strcmp(change->name, name) == 0) {
            return change;
        }
    }
    return NULL;
}

/* Keeps the last change of each object for the followers, who need no earlier
 * one: otherwise each large configuration would be kept. */
static void
add_change(object_cache_kind_t *cached, const store_object_t *object)
{
    object_change_t *known = find_change(cached, object->name);
    if (known != NULL && known->revision > object->revision) {
        return;
    }
    if (known != NULL) {
        drop_change(cached, known);
    }
    object_change_t *change = mem_zalloc(sizeof(*change));
    change->revision = object->revision;
    str_copy(change->name, sizeof(change->name), object->name);
    change->json = platform_encode_change(object);
    CK_STAILQ_INSERT_TAIL(&cached->changes, change, entry);
    if (++cached->change_count > CHANGES_MAX) {
        object_change_t *oldest = CK_STAILQ_FIRST(&cached->changes);
        cached->changes_since = oldest->revision;
        drop_change(cached, oldest);
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
    add_change(cached, object);
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

/* Takes the list as the objects of a revision. */
static void
adopt_listing(object_cache_kind_t *cached, int64_t revision)
{
    json_decref(cached->objects);
    cached->objects = cached->listing;
    cached->listing = NULL;
    cached->changes_since = revision;
    drop_changes(cached);
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
    adopt_listing(cached, revision);
}

/* Ends a list that could not be read further: its objects are added to those
 * that are known. */
void
object_cache_list_cut(object_cache_t *cache, object_kind_t kind,
                      int64_t revision)
{
    object_cache_kind_t *cached = &cache->kinds[kind];
    if (cached->listing == NULL) {
        return;
    }
    merge_newer(cached, INT64_MIN);
    adopt_listing(cached, revision);
}

/* Returns the objects of a kind by name. */
const json_t *
object_cache_objects(const object_cache_t *cache, object_kind_t kind)
{
    return cache->kinds[kind].objects;
}

/* ---- answers ---- */

static void
send_text(caller_t *caller, int status, const buf_t *body)
{
    CLEAN_BUF buf_t headers = {0};
    buf_str(&headers, "Content-Type: application/json\r\n");
    caller_answer(caller, status, &headers, buf_text(body), body->len);
}

static void
send_page(caller_t *caller, json_t *owned)
{
    CLEAN_JSON json_t *page = owned;
    CLEAN_TEXT char *text = json_dumps(page, JSON_COMPACT);
    CLEAN_BUF buf_t body = {0};
    buf_str(&body, text != NULL ? text : "");
    send_text(caller, 200, &body);
}

static void
make_text(object_change_t *change)
{
    if (change->json == NULL) {
        return;
    }
    change->text = json_dumps(change->json, JSON_COMPACT);
    change->len = change->text != NULL ? strlen(change->text) : 0;
    json_decref(change->json);
    change->json = NULL;
}

/* Returns the length of the changes after a revision, whose texts it makes. */
static size_t
prepare_changes(object_cache_kind_t *cached, int64_t after_revision)
{
    size_t len = 0;
    object_change_t *change;
    CK_STAILQ_FOREACH (change, &cached->changes, entry) {
        if (change->revision > after_revision) {
            make_text(change);
            len += change->len + 1;
        }
    }
    return len;
}

/* Writes the changes after a revision as the answer to a watch.  If they are
 * larger than max_len, the answer names none, and its receiver gets them from
 * the store.  Returns whether there are any. */
bool
object_cache_write_changes(object_cache_t *cache, object_kind_t kind,
                           int64_t after_revision,
                           const changes_answer_t *answer, buf_t *out)
{
    object_cache_kind_t *cached = &cache->kinds[kind];
    size_t len = prepare_changes(cached, after_revision);
    bool too_large = len > answer->max_len;
    const char *separator = "";
    const object_change_t *change;
    platform_changes_begin(out);
    CK_STAILQ_FOREACH (change, &cached->changes, entry) {
        if (!too_large && change->len > 0 &&
            change->revision > after_revision) {
            buf_str(out, separator);
            buf_add(out, change->text, change->len);
            separator = ",";
        }
    }
    platform_changes_end(out, too_large ? after_revision : answer->revision,
                         answer->age_ms, too_large);
    return len > 0;
}

/* Returns the bytes of changes that each follower may get at once. */
static size_t
fanout_bytes(const relay_t *relay)
{
    double mbps = relay->settings.link_mbps > 0 ? relay->settings.link_mbps
                                                : DEFAULT_LINK_MBPS;
    size_t daemons = peers_live_count(relay->peers);
    size_t watchers = watch_duty_count(daemons);
    double followers =
        watchers > 0 ? (double)daemons / (double)watchers : (double)daemons;
    double bytes = mbps * BYTES_PER_MS_OF_MBPS * FANOUT_MS / followers;
    return bytes > FANOUT_BYTES_MIN ? (size_t)bytes : FANOUT_BYTES_MIN;
}

/* Returns the status of the answer to a watch, with a page for 200; 0 if there
 * are no changes yet and the wait has not timed out.  Only what the
 * store itself confirms is passed on: a daemon that is cut off from the store
 * would otherwise keep its followers on outdated objects. */
static int
poll_changes(object_cache_t *cache, object_kind_t kind, int64_t after_revision,
             bool timed_out, buf_t *page)
{
    const relay_t *relay = cache->relay;
    const watch_t *watch = watch_for(cache, kind);
    if (!watch_is_fresh(watch) || relay->stop_requested_ms != 0) {
        return 503;
    }
    if (after_revision < cache->kinds[kind].changes_since) {
        return 410;
    }
    const changes_answer_t answer = {
        .revision = watch_revision(watch),
        .age_ms = watch_age_ms(watch, time_mono_ms()),
        .max_len = fanout_bytes(relay)};
    bool any =
        object_cache_write_changes(cache, kind, after_revision, &answer, page);
    return any || timed_out ? 200 : 0;
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
    CLEAN_BUF buf_t page = {0};
    int status = poll_changes(waiter->cache, waiter->kind,
                              waiter->after_revision, timed_out, &page);
    if (status == 0) {
        return;
    }
    caller_set_owner(caller, NULL);
    waiter_free(waiter);
    send_text(caller, status, &page);
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
    watch_t *watch =
        query.kind < CACHED_KIND_COUNT ? watch_for(cache, query.kind) : NULL;
    if (watch == NULL || !watch_has_list(watch) ||
        (!query.is_watch && watch_is_partial(watch))) {
        static const buf_t none = {0};
        send_text(caller, 404, &none);
        return true;
    }
    int64_t now = time_mono_ms();
    if (!query.is_watch) {
        send_page(caller, platform_encode_page(
                              cache->kinds[query.kind].objects,
                              watch_revision(watch), watch_age_ms(watch, now),
                              watch_is_recovering(watch, now)));
        return true;
    }
    watch_note_follower(watch);
    CLEAN_BUF buf_t page = {0};
    int status = poll_changes(cache, query.kind, query.after_revision,
                              query.wait_ms <= 0, &page);
    if (status == 0) {
        add_waiter(cache, caller, &query);
        return true;
    }
    send_text(caller, status, &page);
    return true;
}
