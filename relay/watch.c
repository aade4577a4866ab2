#include "watch.h"
#include "list-walk.h"

#include <stdlib.h>
#include <string.h>

/* How long the store holds a watch without changes, ms.  A store that has lost
 * its history may never answer a watch with the changes that it lost, so the
 * watch is renewed after this time, well within the time allowed for a change
 * of configuration. */
#define WATCH_WAIT_MS 2500
/* The wait of a daemon that others follow, or that has just lost its upstream,
 * perhaps because the store is unreachable, and the extra time for the answer,
 * ms: a silent path to the store must be detected within two seconds. */
#define SHORT_WAIT_MS 1000
#define SHORT_WAIT_SLACK_MS 600
/* A daemon counts as followed for this long after a follower's last call, ms.
 */
#define FOLLOWED_MS 5000
/* How long the upstream holds a follower's watch without changes, and the
 * extra time for the answer, ms. */
#define FOLLOW_WAIT_MS 900
#define FOLLOW_SLACK_MS 300
/* How long a watch uses SHORT_WAIT_MS after it has lost its upstream or all
 * were avoided, ms; the loss counts as recent for twice as long. */
#define UPSTREAM_LOST_MS 2000
/* After changes the next watch is delayed by this, ms, to get further changes
 * in one answer: each call has a cost and wakes the process, and entries of
 * servers change in bursts.  The departure of a server must be known within
 * two seconds. */
#define BATCH_DELAY_MS 400
/* How long the store holds a watch after a failed call, ms: its recovery is
 * detected within a second instead of three and a half. */
#define RECOVERY_WAIT_MS 50
/* The store confirms the objects of each daemon within this time, ms: the
 * interval of an upstream's watch, its delay for batches, and that of the
 * follower's own.  Older objects are stale. */
#define STALE_MS 2300
/* The extra time for the answer to a long watch before the objects are stale,
 * ms. */
#define STALE_SLACK_MS 300
/* Timeout of a check of stale objects, and its backoff, doubled each time, ms.
 */
#define CHECK_TIMEOUT_MS 700
#define CHECK_BACKOFF_MS_MIN 200
#define CHECK_BACKOFF_MS_MAX 1600
/* Extra time for the answer to a watch, ms: the store normally answers in 4
 * ms, and even at 400 ms it is better to wait than to call again. */
#define WATCH_SLACK_MS 1000
/* Timeout of a list, ms: the store answers in a few, a slow one in some
 * hundred.  After this the call goes to another daemon. */
#define LIST_TIMEOUT_MS 700
#define CONNECT_TIMEOUT_MS 300
/* An answer that has begun may take longer than these limits, which are for
 * the wait before it, as long as it does not stall for this time, ms. */
#define STALL_MS 700
/* Backoff after failed calls, ms, doubled each time. */
#define BACKOFF_MS_MIN 50
#define BACKOFF_MS_MAX 1200
/* Timeout of another daemon, which answers from memory, and the shortest delay
 * after its answer until the next call to the store, ms. */
#define PEER_TIMEOUT_MS 500
#define STORE_RETRY_MS_MIN 300
#define PEER_CALLS_MAX 4
/* The same once objects are known, so that the store's recovery is detected
 * within three seconds. */
#define PEER_CALLS_LISTED_MAX 2
/* A peer that the store has answered within this time, ms, shows that only
 * this daemon has lost it. */
#define PEER_AGE_MS_MAX 1500
/* The same holds for this long after, ms: the next peer is asked within it. */
#define PEER_EVIDENCE_MS 3500
/* How long after an outage of the store entries may still be missing, ms: if a
 * server is alive, an entry that expired while the store was unreachable is
 * written again within two seconds; the rest is a margin. */
#define STORE_RECOVERY_MS 2300
/* Peers that are asked whether there was an outage, and the pause between, ms.
 */
#define OUTAGE_CHECKS_MAX 3
#define OUTAGE_CHECK_PAUSE_MS 300
/* Pauses before a list that could not be read to its end is read again, ms,
 * doubled each time. */
#define RELIST_PAUSE_MS_MIN 1000
#define RELIST_PAUSE_MS_MAX 16000
#define STATUS_GONE 410

typedef enum { WATCH_LISTING, WATCH_WATCHING } watch_state_t;

struct watch {
    struct event_base *base;
    exchanges_t *exchanges;
    struct event *timer;
    fetch_t *fetch;
    fetch_t *check;         /* of stale objects, beside the fetch; or NULL */
    fetch_t *outage_check;  /* of a peer, beside the others; or NULL */
    unsigned outage_checks; /* since the last outage */
    int64_t next_outage_check_ms;
    watch_hooks_t hooks;
    char addr[CS_ADDR_MAX];
    char upstream[CS_ADDR_MAX]; /* address of the last upstream */
    char source[CS_ADDR_MAX];   /* where the last watch went */
    object_kind_t kind;
    watch_state_t state;
    list_walk_t walk;      /* of the list that is being read */
    int64_t list_revision; /* revision of the list's first page */
    int64_t revision;      /* the watch continues after it */
    bool continuous;       /* no change up to the revision is missing */
    bool partial;          /* the last list could not be read to its end */
    int64_t relist_ms;     /* a partial list is read again after this time */
    int relist_pause_ms;
    int status; /* status of the last answer, or 0 */
    int backoff_ms;
    int64_t answered_ms;   /* last valid answer of the store or upstream */
    int64_t confirmed_ms;  /* the store has confirmed the objects of then */
    int64_t list_begun_ms; /* when the first page of the list came */
    int64_t known_ms;      /* all changes of the store up to then are known */
    int64_t check_sent_ms;
    int64_t stale_since_ms; /* when the objects became stale, or 0 */
    int64_t next_check_ms;  /* no check before this time */
    int check_backoff_ms;
    int64_t recovered_ms;     /* first valid answer after the last outage */
    int64_t peer_answered_ms; /* the store answered a peer then */
    int64_t called_ms;        /* when the current call was sent */
    int wait_ms;     /* of the current watch of the store, 0 for other calls */
    bool failed;     /* no valid answer since a failed call */
    bool calls_peer; /* the current call goes to a peer */
    bool calls_upstream;       /* the current call goes to the upstream */
    int64_t followed_until_ms; /* when the last follower counts as gone */
    bool fresh;                /* objects are current according to the store */
    bool asks_store; /* the upstream has changes that it does not pass on */
    bool batches;    /* the next call was delayed for further changes */
    int64_t short_wait_until_ms; /* use SHORT_WAIT_MS until then */
    unsigned peer_calls;         /* since the last call to the store */
    bool listed;                 /* a list has been received */
    uint64_t store_call_count;
};

static void watch_call(watch_t *watch);
static void cut_list(watch_t *watch);
static void note_confirmed(watch_t *watch, int64_t confirmed_ms);
static void on_done(void *arg, const fetch_result_t *result);

static const char *
kind_name(object_kind_t kind)
{
    switch (kind) {
        case KIND_CONFIG:
            return "configuration";
        case KIND_SERVERS:
            return "servers";
        case KIND_WEIGHTS:
            return "weights";
        case KIND_LEASES:
            return "leases";
        case KIND_PEERS:
        case KIND_ORIGINS:
            break;
    }
    return "daemons";
}

static void
schedule_call(watch_t *watch, int ms)
{
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    (void)event_add(watch->timer, &after);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    watch_call(arg);
}

/* Notes whether the known objects are current, and notifies followers if that
 * or the objects have changed. */
static void
update_fresh(watch_t *watch, bool fresh, bool has_changes)
{
    bool fresh_changed = watch->fresh != fresh;
    watch->fresh = fresh;
    if (fresh_changed || has_changes) {
        watch->hooks.on_update(watch->hooks.arg);
    }
}

/* Finds another daemon to list the objects from. */
static bool
find_peer(const watch_t *watch, char addr[CS_ADDR_MAX])
{
    return watch->hooks.find_peer != NULL &&
           watch->hooks.find_peer(watch->hooks.arg, addr);
}

static void
call_peer(watch_t *watch, const char *addr)
{
    CLEAN_BUF buf_t head = {0};
    platform_list_call(&head, addr, watch->kind, "");
    fetch_options_t call_options = {.addr = addr,
                                    .request = &head,
                                    .repeatable = true,
                                    .connect_ms = CONNECT_TIMEOUT_MS,
                                    .total_ms = PEER_TIMEOUT_MS,
                                    .stall_ms = STALL_MS,
                                    .on_done = on_done,
                                    .arg = watch};
    watch->calls_peer = true;
    watch->status = 0;
    watch->fetch = fetch_start(watch->exchanges, &call_options);
}

/* The delay before the next call; it grows, so that an overloaded store does
 * not get calls from all hosts at once. */
static int
next_backoff(watch_t *watch)
{
    int backoff_ms = watch->backoff_ms;
    watch->backoff_ms =
        backoff_ms * 2 < BACKOFF_MS_MAX ? backoff_ms * 2 : BACKOFF_MS_MAX;
    return backoff_ms;
}

/* Whether this daemon has recently lost an upstream. */
static bool
has_lost_upstream(const watch_t *watch)
{
    return watch->short_wait_until_ms != 0 &&
           time_mono_ms() < watch->short_wait_until_ms + UPSTREAM_LOST_MS;
}

/* Schedules the next call to the store after a peer's answer.  Daemons that
 * others follow call it soon.  Followers that have lost their upstream back
 * off: they are many, and learn of the store's recovery from the former. */
static void
schedule_call_after_peer(watch_t *watch)
{
    int backoff_ms = has_lost_upstream(watch) ? next_backoff(watch) : 0;
    schedule_call(watch, backoff_ms > STORE_RETRY_MS_MIN ? backoff_ms
                                                         : STORE_RETRY_MS_MIN);
}

static void
handle_failure(watch_t *watch, const char *why)
{
    if (!watch->failed) {
        log_record(LOG_WARN, "store", "lost",
                   "kind=%s why=%s status=%d at=%lld after_ms=%lld",
                   kind_name(watch->kind), why, watch->status,
                   (long long)watch->revision,
                   (long long)(time_mono_ms() - watch->called_ms));
    }
    char peer[CS_ADDR_MAX];
    if (watch->state == WATCH_LISTING && !watch->calls_peer &&
        list_walk_fail(&watch->walk) == LIST_CUT) {
        cut_list(watch);
    }
    watch->failed = true;
    watch->asks_store = false;
    update_fresh(watch, false, false);
    /* A peer that has just started has no objects, so several are tried. */
    unsigned calls_max =
        watch->listed ? PEER_CALLS_LISTED_MAX : PEER_CALLS_MAX;
    if (watch->peer_calls < calls_max && find_peer(watch, peer)) {
        watch->peer_calls++;
        call_peer(watch, peer);
        return;
    }
    schedule_call(watch, next_backoff(watch));
}

static void
begin_list(watch_t *watch)
{
    watch->state = WATCH_LISTING;
    list_walk_reset(&watch->walk);
}

/* Begins another list after the store has lost the changes since the
 * revision. */
static void
restart_list(watch_t *watch)
{
    watch->continuous = false;
    begin_list(watch);
}

static void
end_list(watch_t *watch, int64_t revision)
{
    watch->revision = revision;
    watch->continuous = true;
    watch->state = WATCH_WATCHING;
    watch->listed = true;
    list_walk_reset(&watch->walk);
}

/* All objects are known. */
static void
complete_list(watch_t *watch)
{
    end_list(watch, watch->list_revision);
    watch->partial = false;
    watch->relist_pause_ms = RELIST_PAUSE_MS_MIN;
    watch->hooks.on_list_end(watch->hooks.arg, watch->revision);
    note_confirmed(watch, watch->list_begun_ms);
    log_record(LOG_INFO, "store", "listed", "kind=%s at=%lld",
               kind_name(watch->kind), (long long)watch->revision);
}

/* Goes on with what has been read of a list, which is read again later. */
static void
cut_list(watch_t *watch)
{
    log_record(LOG_WARN, "store", "list-cut",
               "kind=%s at=%lld names=%zu status=%d again_ms=%d",
               kind_name(watch->kind), (long long)watch->list_revision,
               watch->walk.name_count, watch->status, watch->relist_pause_ms);
    end_list(watch,
             watch->continuous ? watch->revision : watch->list_revision);
    watch->partial = true;
    watch->relist_ms = time_mono_ms() + watch->relist_pause_ms;
    watch->relist_pause_ms = watch->relist_pause_ms * 2 < RELIST_PAUSE_MS_MAX
                                 ? watch->relist_pause_ms * 2
                                 : RELIST_PAUSE_MS_MAX;
    watch->hooks.on_list_cut(watch->hooks.arg, watch->revision);
    note_confirmed(watch, watch->list_begun_ms);
}

/* Returns the age from which the objects are stale. */
static int64_t
stale_age_ms(const watch_t *watch)
{
    bool long_wait = watch->wait_ms > SHORT_WAIT_MS;
    return long_wait ? WATCH_WAIT_MS + STALE_SLACK_MS : STALE_MS;
}

/* Notes that the store confirmed the objects at a time. */
static void
note_confirmed(watch_t *watch, int64_t confirmed_ms)
{
    if (confirmed_ms <= watch->confirmed_ms) {
        return;
    }
    watch->confirmed_ms = confirmed_ms;
    int64_t now = time_mono_ms();
    if (watch->stale_since_ms == 0 ||
        now - confirmed_ms > stale_age_ms(watch)) {
        return;
    }
    log_record(LOG_INFO, "store", "current",
               "kind=%s through=%s at=%lld stale_ms=%lld",
               kind_name(watch->kind), watch->source,
               (long long)watch->revision,
               (long long)(now - watch->stale_since_ms));
    watch->stale_since_ms = 0;
}

/* Whether the store has answered other daemons while it failed this one: then
 * entries do not expire for want of the store. */
static bool
answers_others(const watch_t *watch, int64_t now)
{
    return watch->peer_answered_ms != 0 &&
           now - watch->peer_answered_ms < PEER_EVIDENCE_MS;
}

/* Notes what a peer's list says of the store.  In an outage all lists grow
 * old, and a peer for which it has just ended says so. */
static void
note_peer_list(watch_t *watch, const store_page_t *page, int64_t answered_ms)
{
    if (page->age_ms < 0) {
        return;
    }
    note_confirmed(watch, answered_ms - page->age_ms);
    watch->peer_answered_ms =
        page->age_ms <= PEER_AGE_MS_MAX && !page->recovering
            ? answered_ms - page->age_ms
            : 0;
}

/* Notes a valid answer of the store or of an upstream. */
static void
note_answer(watch_t *watch)
{
    watch->answered_ms = time_mono_ms();
    watch->backoff_ms = BACKOFF_MS_MIN;
    if (!watch->failed) {
        return;
    }
    bool outage = !answers_others(watch, watch->answered_ms);
    watch->failed = false;
    if (outage) {
        watch->recovered_ms = watch->answered_ms;
        watch->outage_checks = 0;
        watch->next_outage_check_ms = 0;
    }
    log_record(LOG_INFO, "store", "back",
               "kind=%s at=%lld followed=%d outage=%d", kind_name(watch->kind),
               (long long)watch->revision, watch->calls_upstream, outage);
}

/* Applies a page of the store's list. */
static list_step_t
apply_list_page(watch_t *watch, const store_page_t *page)
{
    if (!list_walk_has_page(&watch->walk)) {
        watch->list_revision = page->revision;
        watch->list_begun_ms = time_mono_ms();
        watch->hooks.on_list_begin(watch->hooks.arg);
    }
    for (size_t i = 0; i < page->count; i++) {
        watch->hooks.on_object(watch->hooks.arg, &page->objects[i]);
    }
    list_step_t step = list_walk_page(&watch->walk, page);
    switch (step) {
        case LIST_NEXT:
        case LIST_RETRY:
            break;
        case LIST_COMPLETE:
            complete_list(watch);
            break;
        case LIST_CUT:
            cut_list(watch);
            break;
    }
    return step;
}

/* A peer has not sent its list.  It is also asked for one that the store sends
 * only in part, and then the store is called at once. */
static void
handle_peer_failure(watch_t *watch, const char *why)
{
    if (watch->failed) {
        handle_failure(watch, why);
        return;
    }
    watch_call(watch);
}

/* Applies a peer's list like one of the store, which is called again later.
 * With it a host that is cut off from the store, or that starts while the
 * store is unreachable, can serve requests. */
static void
apply_peer_list(watch_t *watch, const fetch_result_t *result)
{
    store_page_t page;
    err_t err = {0};
    if (platform_page_read(&page, result->text, result->len, &err) != 0) {
        log_warn("store", "Cannot parse the list of another daemon: %s.",
                 err.text);
        handle_peer_failure(watch, "unreadable");
        return;
    }
    if (watch->listed && !watch->partial && page.revision < watch->revision) {
        /* Out of date: objects that it lacks were not removed. */
        platform_page_free(&page);
        schedule_call_after_peer(watch);
        return;
    }
    note_peer_list(watch, &page, result->answered_ms);
    watch->hooks.on_list_begin(watch->hooks.arg);
    for (size_t i = 0; i < page.count; i++) {
        watch->hooks.on_object(watch->hooks.arg, &page.objects[i]);
    }
    watch->hooks.on_list_end(watch->hooks.arg, page.revision);
    if (!watch->listed || watch->partial || page.revision > watch->revision) {
        log_record(LOG_INFO, "store", "told-by-peer", "kind=%s at=%lld",
                   kind_name(watch->kind), (long long)page.revision);
    }
    /* If a partial list was newer, the changes up to it come again. */
    end_list(watch, page.revision);
    watch->partial = false;
    watch->relist_pause_ms = RELIST_PAUSE_MS_MIN;
    platform_page_free(&page);
    schedule_call_after_peer(watch);
}

/* Returns when the store confirmed an answer to a watch.  An upstream that
 * states no age is as old as a watch of the store takes. */
static int64_t
confirmed_at(const watch_t *watch, const fetch_result_t *result,
             const store_page_t *page)
{
    if (!watch->calls_upstream) {
        return result->answered_ms;
    }
    int64_t age_ms = page->age_ms >= 0 ? page->age_ms : SHORT_WAIT_MS;
    return result->answered_ms - age_ms;
}

/* Sends the next call after an answer of the store or of an upstream.  Another
 * daemon may know the rest of a list that is cut. */
static void
call_next(watch_t *watch, list_step_t step)
{
    char peer[CS_ADDR_MAX];
    if (step == LIST_RETRY) {
        schedule_call(watch, next_backoff(watch));
    }
    else if (step == LIST_CUT && find_peer(watch, peer)) {
        call_peer(watch, peer);
    }
    else if (watch->batches) {
        schedule_call(watch, BATCH_DELAY_MS);
    }
    else {
        watch_call(watch);
    }
}

static void
apply_answer(watch_t *watch, const fetch_result_t *result)
{
    store_page_t page;
    err_t err = {0};
    if (platform_page_read(&page, result->text, result->len, &err) != 0) {
        log_error("store", "Cannot parse an answer about %s: %s.",
                  kind_name(watch->kind), err.text);
        handle_failure(watch, "unreadable");
        return;
    }
    note_answer(watch);
    list_step_t step = LIST_COMPLETE;
    if (watch->state == WATCH_LISTING) {
        step = apply_list_page(watch, &page);
    }
    else {
        for (size_t i = 0; i < page.count; i++) {
            watch->hooks.on_object(watch->hooks.arg, &page.objects[i]);
        }
        watch->revision =
            page.revision > watch->revision ? page.revision : watch->revision;
        note_confirmed(watch, confirmed_at(watch, result, &page));
    }
    /* An upstream has batched the changes already. */
    bool batch = step != LIST_NEXT && watch->kind == KIND_SERVERS &&
                 watch->listed && page.count > 0 && !watch->calls_upstream;
    bool has_changes = page.count > 0;
    watch->asks_store = page.ask_store;
    platform_page_free(&page);
    update_fresh(watch, !watch->calls_upstream && watch->continuous,
                 has_changes);
    watch->batches = batch;
    call_next(watch, step);
}

/* Leaves an upstream that has stopped, is unreachable, lacks the changes since
 * the revision, or has lost the store itself: the next call goes to another
 * upstream or to the store. */
static void
unfollow(watch_t *watch)
{
    log_record(LOG_INFO, "store", "unfollowed", "kind=%s status=%d at=%lld",
               kind_name(watch->kind), watch->status,
               (long long)watch->revision);
    watch->short_wait_until_ms = time_mono_ms() + UPSTREAM_LOST_MS;
    watch->hooks.on_upstream_lost(watch->hooks.arg, watch->upstream,
                                  watch->status != 0);
    if (watch->status == STATUS_GONE) {
        restart_list(watch);
    }
    watch_call(watch);
}

static void
on_done(void *arg, const fetch_result_t *result)
{
    watch_t *watch = arg;
    watch->fetch = NULL;
    watch->wait_ms = 0;
    watch->status = result->status;
    if (watch->calls_peer && result->complete && watch->status == 200) {
        apply_peer_list(watch, result);
        return;
    }
    if (watch->calls_upstream && (!result->complete || watch->status != 200)) {
        unfollow(watch);
        return;
    }
    if (watch->calls_peer) {
        handle_peer_failure(watch, "no-list");
        return;
    }
    if (!result->complete) {
        handle_failure(watch, "no-answer");
        return;
    }
    if (watch->status == STATUS_GONE && watch->state == WATCH_WATCHING) {
        log_record(LOG_WARN, "store", "history-gone", "kind=%s at=%lld",
                   kind_name(watch->kind), (long long)watch->revision);
        restart_list(watch);
        watch_call(watch);
        return;
    }
    if (watch->status != 200) {
        handle_failure(watch, "refused");
        return;
    }
    apply_answer(watch, result);
}

/* Records a watch that goes to another address than the last one. */
static void
record_source(watch_t *watch, const char *addr)
{
    if (strcmp(watch->source, addr) == 0) {
        return;
    }
    str_copy(watch->source, sizeof(watch->source), addr);
    log_record(LOG_INFO, "store", "watching", "kind=%s through=%s at=%lld",
               kind_name(watch->kind), addr, (long long)watch->revision);
}

/* Finds the upstream of the next watch; false if the store is to be called.
 * While all upstreams are avoided, the store may be unreachable, whichever
 * watch of this daemon lost them: a silent store drops a call, which ends only
 * after its wait, so the waits are short. */
static bool
find_upstream(watch_t *watch)
{
    if (watch->state != WATCH_WATCHING || !watch->listed ||
        watch->asks_store) {
        return false;
    }
    switch (watch->hooks.find_upstream(watch->hooks.arg, watch->upstream)) {
        case UPSTREAM_FOUND:
            return true;
        case UPSTREAM_AVOIDED:
            watch->short_wait_until_ms = time_mono_ms() + UPSTREAM_LOST_MS;
            return false;
        case UPSTREAM_NONE:
            break;
    }
    return false;
}

/* Sends the watch to this daemon's upstream.  Returns false if it has none, or
 * has no list yet. */
static bool
call_upstream(watch_t *watch)
{
    char *addr = watch->upstream;
    CLEAN_BUF buf_t head = {0};
    watch->calls_upstream = find_upstream(watch);
    if (!watch->calls_upstream) {
        return false;
    }
    platform_watch_call(&head, addr, watch->kind, watch->revision,
                        FOLLOW_WAIT_MS);
    fetch_options_t call_options = {
        .addr = addr,
        .request = &head,
        .repeatable = true,
        .connect_ms = CONNECT_TIMEOUT_MS,
        .total_ms = FOLLOW_WAIT_MS + FOLLOW_SLACK_MS,
        .stall_ms = STALL_MS,
        .on_done = on_done,
        .arg = watch};
    record_source(watch, addr);
    update_fresh(watch, false, false);
    watch->fetch = fetch_start(watch->exchanges, &call_options);
    return true;
}

/* Returns how long the store is to hold the next watch.  A long wait is
 * shortened by the batch delay before it, so that it ends before the objects
 * are stale. */
static int
store_wait_ms(const watch_t *watch, bool short_wait)
{
    if (watch->failed) {
        return RECOVERY_WAIT_MS;
    }
    if (short_wait) {
        return SHORT_WAIT_MS;
    }
    return WATCH_WAIT_MS - (watch->batches ? BATCH_DELAY_MS : 0);
}

static void
call_store(watch_t *watch)
{
    CLEAN_BUF buf_t head = {0};
    fetch_options_t call_options = {.addr = watch->addr,
                                    .request = &head,
                                    .repeatable = true,
                                    .new_connection = watch->failed,
                                    .connect_ms = CONNECT_TIMEOUT_MS,
                                    .stall_ms = STALL_MS,
                                    .on_done = on_done,
                                    .arg = watch};
    watch->store_call_count++;
    if (watch->state == WATCH_LISTING) {
        platform_list_call(&head, watch->addr, watch->kind,
                           list_walk_cursor(&watch->walk));
        call_options.total_ms = LIST_TIMEOUT_MS;
    }
    else {
        int64_t now = time_mono_ms();
        bool short_wait = now < watch->followed_until_ms ||
                          now < watch->short_wait_until_ms || watch->partial;
        record_source(watch, watch->addr);
        watch->wait_ms = store_wait_ms(watch, short_wait);
        platform_watch_call(&head, watch->addr, watch->kind, watch->revision,
                            watch->wait_ms);
        bool short_slack = short_wait || watch->failed;
        call_options.total_ms =
            watch->wait_ms +
            (short_slack ? SHORT_WAIT_SLACK_MS : WATCH_SLACK_MS);
    }
    watch->fetch = fetch_start(watch->exchanges, &call_options);
}

static void
watch_call(watch_t *watch)
{
    watch->calls_peer = false;
    watch->peer_calls = 0;
    watch->status = 0;
    watch->called_ms = time_mono_ms();
    if (watch->partial && !watch->failed && watch->state == WATCH_WATCHING &&
        watch->called_ms >= watch->relist_ms) {
        begin_list(watch);
    }
    if (!call_upstream(watch)) {
        call_store(watch);
    }
}

/* Starts to follow all objects of a kind. */
watch_t *
watch_start(struct event_base *base, exchanges_t *exchanges, const char *addr,
            object_kind_t kind, const watch_hooks_t *hooks)
{
    watch_t *watch = mem_zalloc(sizeof(*watch));
    watch->base = base;
    watch->exchanges = exchanges;
    watch->hooks = *hooks;
    watch->kind = kind;
    watch->backoff_ms = BACKOFF_MS_MIN;
    watch->relist_pause_ms = RELIST_PAUSE_MS_MIN;
    watch->check_backoff_ms = CHECK_BACKOFF_MS_MIN;
    str_copy(watch->addr, sizeof(watch->addr), addr);
    watch->timer = evtimer_new(base, on_timer, watch);
    watch_call(watch);
    return watch;
}

void
watch_stop(watch_t *watch)
{
    if (watch->fetch != NULL) {
        fetch_cancel(watch->fetch);
    }
    if (watch->check != NULL) {
        fetch_cancel(watch->check);
    }
    if (watch->outage_check != NULL) {
        fetch_cancel(watch->outage_check);
    }
    event_free(watch->timer);
    list_walk_reset(&watch->walk);
    free(watch);
}

/* ---- stale objects ---- */

/* Whether an answer is arriving from the store itself, or from another
 * daemon. */
static bool
answer_arrives(const watch_t *watch, bool from_store)
{
    bool calls_store = !watch->calls_upstream && !watch->calls_peer;
    return watch->fetch != NULL && fetch_is_answered(watch->fetch) &&
           calls_store == from_store;
}

/* Applies the store's answer to a check, and leaves the call that has not
 * delivered the same: its upstream is behind, its connection is dead, or
 * another daemon's link is slow. */
static void
apply_check(watch_t *watch, const fetch_result_t *result,
            const store_page_t *page)
{
    for (size_t i = 0; i < page->count; i++) {
        watch->hooks.on_object(watch->hooks.arg, &page->objects[i]);
    }
    watch->revision =
        page->revision > watch->revision ? page->revision : watch->revision;
    watch->check_backoff_ms = CHECK_BACKOFF_MS_MIN;
    note_answer(watch);
    note_confirmed(watch, result->answered_ms);
    watch->known_ms = watch->check_sent_ms;
    update_fresh(watch, watch->fresh, page->count > 0);
    if (watch->fetch == NULL || answer_arrives(watch, true)) {
        return;
    }
    fetch_cancel(watch->fetch);
    watch->fetch = NULL;
    watch->wait_ms = 0;
    if (watch->calls_upstream) {
        watch->status = result->status;
        unfollow(watch);
        return;
    }
    watch_call(watch);
}

static void
on_check_done(void *arg, const fetch_result_t *result)
{
    watch_t *watch = arg;
    store_page_t page;
    err_t err = {0};
    watch->check = NULL;
    watch->next_check_ms = time_mono_ms() + watch->check_backoff_ms;
    watch->check_backoff_ms =
        watch->check_backoff_ms * 2 < CHECK_BACKOFF_MS_MAX
            ? watch->check_backoff_ms * 2
            : CHECK_BACKOFF_MS_MAX;
    if (!result->complete || watch->state != WATCH_WATCHING) {
        return;
    }
    if (result->status == STATUS_GONE && watch->fetch != NULL) {
        fetch_cancel(watch->fetch);
        watch->fetch = NULL;
        watch->wait_ms = 0;
        restart_list(watch);
        watch_call(watch);
        return;
    }
    if (result->status == 200 &&
        platform_page_read(&page, result->text, result->len, &err) == 0) {
        apply_check(watch, result, &page);
        platform_page_free(&page);
    }
}

/* Asks the store itself for the changes, over a new connection. */
static void
check_store(watch_t *watch)
{
    CLEAN_BUF buf_t head = {0};
    platform_watch_call(&head, watch->addr, watch->kind, watch->revision,
                        RECOVERY_WAIT_MS);
    fetch_options_t call_options = {.addr = watch->addr,
                                    .request = &head,
                                    .new_connection = true,
                                    .connect_ms = CONNECT_TIMEOUT_MS,
                                    .total_ms = CHECK_TIMEOUT_MS,
                                    .stall_ms = STALL_MS,
                                    .on_done = on_check_done,
                                    .arg = watch};
    watch->store_call_count++;
    watch->check_sent_ms = time_mono_ms();
    watch->check = fetch_start(watch->exchanges, &call_options);
}

/* Has the store say what has changed, unless it is being asked already. */
void
watch_confirm(watch_t *watch)
{
    if (watch->check == NULL && watch->state == WATCH_WATCHING) {
        check_store(watch);
    }
}

/* Returns up to when all changes of the store are known, as far as
 * watch_confirm has brought them; 0 if not all objects are. */
int64_t
watch_known_ms(const watch_t *watch)
{
    return watch->partial ? 0 : watch->known_ms;
}

/* Records that the objects have become stale. */
static void
record_stale(watch_t *watch, int64_t now)
{
    watch->stale_since_ms = now;
    log_record(LOG_WARN, "store", "stale",
               "kind=%s through=%s at=%lld age_ms=%lld called_ms_ago=%lld "
               "failed=%d",
               kind_name(watch->kind), watch->source,
               (long long)watch->revision, (long long)watch_age_ms(watch, now),
               (long long)(now - watch->called_ms), watch->failed);
}

/* Whether the call that is under way will show the store's state soon.  A
 * watch that has failed tries again by itself, unless it waits for the list of
 * another daemon; an answer that arrives from the store is up to date, but one
 * from another daemon takes as long as the link of that daemon needs. */
static bool
is_confirmed_soon(const watch_t *watch)
{
    return answer_arrives(watch, true) ||
           (watch->failed && !answer_arrives(watch, false));
}

/* ---- outages ---- */

/* A daemon that was cut off from the store and its peers at once takes that
 * for an outage of the store.  A peer that the store answers, and for which no
 * outage has just ended, shows that there was none, or that its end is long
 * enough ago. */
static void
on_outage_checked(void *arg, const fetch_result_t *result)
{
    watch_t *watch = arg;
    store_page_t page;
    err_t err = {0};
    watch->outage_check = NULL;
    if (!result->complete || result->status != 200 || watch->failed ||
        platform_page_read(&page, result->text, result->len, &err) != 0) {
        return;
    }
    bool sound =
        page.age_ms >= 0 && page.age_ms <= PEER_AGE_MS_MAX && !page.recovering;
    platform_page_free(&page);
    if (!sound || watch->recovered_ms == 0) {
        return;
    }
    log_record(LOG_INFO, "store", "no-outage", "kind=%s at=%lld after_ms=%lld",
               kind_name(watch->kind), (long long)watch->revision,
               (long long)(time_mono_ms() - watch->recovered_ms));
    watch->recovered_ms = 0;
}

/* Asks a peer whether there was an outage. */
static void
check_outage(watch_t *watch, int64_t now)
{
    CLEAN_BUF buf_t head = {0};
    char peer[CS_ADDR_MAX];
    if (!find_peer(watch, peer)) {
        return;
    }
    platform_list_call(&head, peer, watch->kind, "");
    fetch_options_t call_options = {.addr = peer,
                                    .request = &head,
                                    .repeatable = true,
                                    .connect_ms = CONNECT_TIMEOUT_MS,
                                    .total_ms = PEER_TIMEOUT_MS,
                                    .stall_ms = STALL_MS,
                                    .on_done = on_outage_checked,
                                    .arg = watch};
    watch->outage_checks++;
    watch->next_outage_check_ms = now + OUTAGE_CHECK_PAUSE_MS;
    watch->outage_check = fetch_start(watch->exchanges, &call_options);
}

/* Whether it is worth asking: entries of servers expire in an outage. */
static bool
doubts_outage(const watch_t *watch, int64_t now)
{
    return watch->kind == KIND_SERVERS && !watch->failed &&
           watch->recovered_ms != 0 &&
           now - watch->recovered_ms < STORE_RECOVERY_MS &&
           watch->outage_check == NULL &&
           watch->outage_checks < OUTAGE_CHECKS_MAX &&
           now >= watch->next_outage_check_ms;
}

/* Bounds the age of the objects, whichever way their confirmation is late: the
 * limits of the calls that are under way are not waited for. */
void
watch_tick(watch_t *watch, int64_t now)
{
    if (doubts_outage(watch, now)) {
        check_outage(watch, now);
    }
    if (!watch->listed || watch_age_ms(watch, now) <= stale_age_ms(watch)) {
        return;
    }
    if (watch->stale_since_ms == 0) {
        record_stale(watch, now);
    }
    if (watch->check == NULL && !is_confirmed_soon(watch) &&
        watch->state == WATCH_WATCHING && now >= watch->next_check_ms) {
        check_store(watch);
    }
}

/* Returns how long ago the store itself confirmed the objects, ms, also if
 * this daemon has its word from another one. */
int64_t
watch_age_ms(const watch_t *watch, int64_t now)
{
    return now - watch->confirmed_ms;
}

int64_t
watch_answered_ms(const watch_t *watch)
{
    return watch->answered_ms;
}

/* When the store or an upstream first answered after the last outage of the
 * store; 0 if there was none, and the current time during one.  Failures of
 * this daemon's calls alone are none. */
int64_t
watch_recovered_ms(const watch_t *watch)
{
    int64_t now = time_mono_ms();
    return watch->failed && !answers_others(watch, now) ? now
                                                        : watch->recovered_ms;
}

/* Whether entries may be missing only because the store is or was unreachable.
 */
bool
watch_is_recovering(const watch_t *watch, int64_t now)
{
    int64_t recovered_ms = watch_recovered_ms(watch);
    return recovered_ms != 0 && now - recovered_ms < STORE_RECOVERY_MS;
}

bool
watch_has_list(const watch_t *watch)
{
    return watch->listed;
}

/* Whether there may be objects that the last list did not reach. */
bool
watch_is_partial(const watch_t *watch)
{
    return watch->partial;
}

/* Whether the known objects are current according to the store's own answers,
 * not those of an upstream or a peer. */
bool
watch_is_fresh(const watch_t *watch)
{
    return watch->fresh;
}

/* Records that another daemon follows this one.  While followed, this daemon
 * uses short watches, so it detects sooner that the store is unreachable.  A
 * long one that is under way is replaced: if the store has dropped it, the
 * followers would take the silence for "no changes" until it ends. */
void
watch_note_follower(watch_t *watch)
{
    watch->followed_until_ms = time_mono_ms() + FOLLOWED_MS;
    if (watch->wait_ms <= SHORT_WAIT_MS) {
        return;
    }
    fetch_cancel(watch->fetch);
    watch->fetch = NULL;
    watch->wait_ms = 0;
    watch_call(watch);
}

uint64_t
watch_store_call_count(const watch_t *watch)
{
    return watch->store_call_count;
}

/* Returns the revision of the store up to which the objects are known. */
int64_t
watch_revision(const watch_t *watch)
{
    return watch->revision;
}
