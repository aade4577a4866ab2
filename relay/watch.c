#include "watch.h"

#include <stdlib.h>
#include <string.h>

/* How long the store holds a watch that has nothing to tell, ms.  A store that
 * loses its history may leave a watch waiting that will never hear of what was
 * changed meanwhile, so it is asked anew in this time, well within that for
 * a change of configuration. */
#define WATCH_WAIT_MS 2500
/* A daemon that others hear from asks in this time, and so does one that has
 * just lost the daemon that it heard from, perhaps because the store is away:
 * if the path to the store goes silent, that is to show within two seconds,
 * ms. */
#define BRIEF_WAIT_MS 1000
#define BRIEF_SLACK_MS 600
/* Others count as followers for so long behind their last call, ms. */
#define SERVING_MS 5000
/* A daemon that follows another one waits so long for changes, ms, and so much
 * longer for the answer. */
#define FOLLOW_WAIT_MS 900
#define FOLLOW_SLACK_MS 300
/* A daemon that has lost the ones that it follows asks the store for brief
 * answers for so long, ms. */
#define ALONE_MS 2000
/* Behind news the next watch waits so long, ms, and brings all that has come
 * meanwhile: each call has its price and wakes the process, and entries of
 * servers change in bursts.  A leaving server must be known within two
 * seconds. */
#define GATHER_MS 400
/* The same for a store that did not answer the last time: its return shows
 * within a second instead of three and a half. */
#define RETURN_WAIT_MS 50
/* Longest time for an answer beyond that, ms: the store answers in 4, and up
 * to a hundred times as slow it is better heard late than asked again. */
#define WATCH_SLACK_MS 1000
/* A list is answered in a few ms, by a slow store in some hundred; without it
 * another daemon is asked. */
#define LIST_MS 700
#define CONNECT_MS 300
/* Pauses after a failed call, ms, doubled each time. */
#define PAUSE_FIRST_MS 50
#define PAUSE_LAST_MS 1600
/* Another daemon answers from memory; the store is asked again behind it
 * after this pause, ms. */
#define OTHER_MS 500
#define OTHER_PAUSE_MS 300
#define OTHERS_ASKED_MAX 4
#define STATUS_GONE 410

typedef enum { WATCH_LISTING, WATCH_WATCHING } watch_state_t;

struct watch {
    struct event_base *base;
    exchanges_t *exchanges;
    struct event *timer;
    fetch_t *fetch;
    watch_hooks_t hooks;
    char addr[CS_ADDR_MAX];
    char upstream[CS_ADDR_MAX]; /* that this daemon follows, if it does */
    kind_t kind;
    watch_state_t state;
    char after[CS_NAME_MAX * 2]; /* name that the list goes on behind */
    int64_t list_at;             /* revision of the list's first page */
    int64_t at;                  /* revision to watch from */
    int status;                  /* of the last answer */
    int pause_ms;
    int64_t heard_ms;      /* when the store last answered well */
    int64_t back_ms;       /* when it did so first after a failure */
    bool failed;           /* the last call did not bring an answer */
    bool asks_other;       /* this call goes to any other daemon */
    bool follows;          /* this call goes to one that watches for it */
    int64_t serving_ms;    /* others follow this daemon until then */
    bool fresh;            /* by the store's own word */
    int64_t alone_ms;      /* it asks the store itself until then */
    unsigned others_asked; /* since the store was last asked */
    bool listed;
    uint64_t calls;
};

static void watch_call(watch_t *watch);
static void on_done(void *arg, const fetch_result_t *result);

static const char *
kind_name(kind_t kind)
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
            break;
    }
    return "daemons";
}

static void
call_later(watch_t *watch, int ms)
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

/* Notes whether what is known is current, and notifies followers of that and
 * of changes. */
static void
settle(watch_t *watch, bool fresh, bool news)
{
    bool changed = watch->fresh != fresh;
    watch->fresh = fresh;
    if (changed || news) {
        watch->hooks.on_settled(watch->hooks.arg);
    }
}

static void
call_other(watch_t *watch, const char *addr)
{
    CLEAN_BUF buf_t head = {0};
    platform_list_call(&head, addr, watch->kind, "");
    fetch_options_t ask = {.addr = addr,
                           .request = &head,
                           .connect_ms = CONNECT_MS,
                           .total_ms = OTHER_MS,
                           .on_done = on_done,
                           .arg = watch};
    watch->asks_other = true;
    watch->status = 0;
    watch->fetch = fetch_start(watch->exchanges, &ask);
}

/* Time until the next call; it grows, so that a store in trouble is not asked
 * by all hosts at once. */
static int
pause_next(watch_t *watch)
{
    int pause_ms = watch->pause_ms;
    watch->pause_ms =
        pause_ms * 2 < PAUSE_LAST_MS ? pause_ms * 2 : PAUSE_LAST_MS;
    return pause_ms;
}

/* Whether this daemon follows others as a rule, and has lost them. */
static bool
has_lost_upstream(const watch_t *watch)
{
    return watch->alone_ms != 0 && time_mono_ms() < watch->alone_ms + ALONE_MS;
}

/* Behind another daemon's answer the store is asked again soon by those that
 * others follow. The rest take longer and longer: they are many, and hear of
 * the store's return from the former. */
static void
call_later_behind_other(watch_t *watch)
{
    int pause_ms = has_lost_upstream(watch) ? pause_next(watch) : 0;
    call_later(watch, pause_ms > OTHER_PAUSE_MS ? pause_ms : OTHER_PAUSE_MS);
}

static void
call_failed(watch_t *watch, const char *why)
{
    if (!watch->failed) {
        log_record(LOG_WARN, "store", "lost",
                   "kind=%s why=%s status=%d at=%lld", kind_name(watch->kind),
                   why, watch->status, (long long)watch->at);
    }
    char other[CS_ADDR_MAX];
    watch->failed = true;
    settle(watch, false, false);
    /* One that has just started itself knows nothing: ask the next. */
    if (watch->others_asked < OTHERS_ASKED_MAX && watch->hooks.other != NULL &&
        watch->hooks.other(watch->hooks.arg, other)) {
        watch->others_asked++;
        call_other(watch, other);
        return;
    }
    call_later(watch, pause_next(watch));
}

static void
list_again(watch_t *watch)
{
    watch->state = WATCH_LISTING;
    watch->after[0] = '\0';
}

/* The store answered, or a daemon that it answers. */
static void
note_heard(watch_t *watch)
{
    watch->heard_ms = time_mono_ms();
    watch->pause_ms = PAUSE_FIRST_MS;
    if (watch->failed) {
        watch->failed = false;
        watch->back_ms = watch->heard_ms;
        log_record(LOG_INFO, "store", "back", "kind=%s at=%lld followed=%d",
                   kind_name(watch->kind), (long long)watch->at,
                   watch->follows);
    }
}

static void
take_list_page(watch_t *watch, const store_page_t *page)
{
    if (watch->after[0] == '\0') {
        watch->list_at = page->at;
        watch->hooks.on_list(watch->hooks.arg);
    }
    for (size_t i = 0; i < page->count; i++) {
        watch->hooks.on_object(watch->hooks.arg, &page->objects[i]);
    }
    if (page->more && page->count > 0) {
        str_copy(watch->after, sizeof(watch->after),
                 page->objects[page->count - 1].name);
        return;
    }
    watch->at = watch->list_at;
    watch->state = WATCH_WATCHING;
    watch->listed = true;
    watch->hooks.on_listed(watch->hooks.arg, watch->at);
    log_record(LOG_INFO, "store", "listed", "kind=%s at=%lld",
               kind_name(watch->kind), (long long)watch->at);
}

/* Another daemon's list is taken like one of the store, which is still asked.
 * A host that is cut off from the store, or that starts while the store is
 * away, serves by what its peers know. */
static void
take_other(watch_t *watch, const fetch_result_t *result)
{
    store_page_t page;
    err_t err = {0};
    if (platform_page_read(&page, result->text, result->len, &err) != 0) {
        log_warn("store", "Another daemon's answer cannot be read: %s.",
                 err.text);
        call_failed(watch, "unreadable");
        return;
    }
    if (watch->listed && page.at < watch->at) {
        /* It is behind: what it lacks is not gone. */
        platform_page_free(&page);
        call_later_behind_other(watch);
        return;
    }
    watch->hooks.on_list(watch->hooks.arg);
    for (size_t i = 0; i < page.count; i++) {
        watch->hooks.on_object(watch->hooks.arg, &page.objects[i]);
    }
    watch->hooks.on_listed(watch->hooks.arg, page.at);
    if (!watch->listed || page.at > watch->at) {
        log_record(LOG_INFO, "store", "told-by-peer", "kind=%s at=%lld",
                   kind_name(watch->kind), (long long)page.at);
        watch->at = page.at;
    }
    watch->listed = true;
    watch->state = WATCH_WATCHING;
    platform_page_free(&page);
    call_later_behind_other(watch);
}

static void
take_answer(watch_t *watch, const fetch_result_t *result)
{
    store_page_t page;
    err_t err = {0};
    if (platform_page_read(&page, result->text, result->len, &err) != 0) {
        log_error("store", "An answer on %s cannot be read: %s.",
                  kind_name(watch->kind), err.text);
        call_failed(watch, "unreadable");
        return;
    }
    note_heard(watch);
    if (watch->state == WATCH_LISTING) {
        take_list_page(watch, &page);
    }
    else {
        for (size_t i = 0; i < page.count; i++) {
            watch->hooks.on_object(watch->hooks.arg, &page.objects[i]);
        }
        watch->at = page.at > watch->at ? page.at : watch->at;
    }
    /* One that is followed has gathered already. */
    bool gather = watch->kind == KIND_SERVERS && watch->listed &&
                  page.count > 0 && !watch->follows;
    bool news = page.count > 0;
    platform_page_free(&page);
    settle(watch, !watch->follows && watch->state == WATCH_WATCHING, news);
    if (gather) {
        call_later(watch, GATHER_MS);
        return;
    }
    watch_call(watch);
}

/* The daemon that was followed is gone, cut off, behind, or has lost the store
 * itself: another one is followed, or the store is asked. */
static void
unfollow(watch_t *watch)
{
    log_record(LOG_INFO, "store", "unfollowed", "kind=%s status=%d at=%lld",
               kind_name(watch->kind), watch->status, (long long)watch->at);
    watch->alone_ms = time_mono_ms() + ALONE_MS;
    watch->hooks.upstream_lost(watch->hooks.arg, watch->upstream,
                               watch->status != 0);
    if (watch->status == STATUS_GONE) {
        list_again(watch);
    }
    watch_call(watch);
}

static void
on_done(void *arg, const fetch_result_t *result)
{
    watch_t *watch = arg;
    watch->fetch = NULL;
    watch->status = result->status;
    if (watch->asks_other && result->complete && watch->status == 200) {
        take_other(watch, result);
        return;
    }
    if (watch->follows && (!result->complete || watch->status != 200)) {
        unfollow(watch);
        return;
    }
    if (!result->complete) {
        call_failed(watch, "no-answer");
        return;
    }
    if (watch->status == STATUS_GONE) {
        log_record(LOG_WARN, "store", "history-gone", "kind=%s at=%lld",
                   kind_name(watch->kind), (long long)watch->at);
        list_again(watch);
        watch_call(watch);
        return;
    }
    if (watch->status != 200) {
        call_failed(watch, "refused");
        return;
    }
    take_answer(watch, result);
}

/* Watch through the daemon that watches for this one, if there is one. */
static bool
call_upstream(watch_t *watch)
{
    char *addr = watch->upstream;
    CLEAN_BUF buf_t head = {0};
    watch->follows = watch->state == WATCH_WATCHING && watch->listed &&
                     watch->hooks.upstream(watch->hooks.arg, addr);
    if (!watch->follows) {
        return false;
    }
    platform_watch_call(&head, addr, watch->kind, watch->at, FOLLOW_WAIT_MS);
    fetch_options_t ask = {.addr = addr,
                           .request = &head,
                           .connect_ms = CONNECT_MS,
                           .total_ms = FOLLOW_WAIT_MS + FOLLOW_SLACK_MS,
                           .on_done = on_done,
                           .arg = watch};
    settle(watch, false, false);
    watch->fetch = fetch_start(watch->exchanges, &ask);
    return true;
}

static void
call_store(watch_t *watch)
{
    CLEAN_BUF buf_t head = {0};
    fetch_options_t ask = {.addr = watch->addr,
                           .request = &head,
                           .connect_ms = CONNECT_MS,
                           .on_done = on_done,
                           .arg = watch};
    watch->calls++;
    if (watch->state == WATCH_LISTING) {
        platform_list_call(&head, watch->addr, watch->kind, watch->after);
        ask.total_ms = LIST_MS;
    }
    else {
        int64_t now = time_mono_ms();
        bool brief = now < watch->serving_ms || now < watch->alone_ms;
        int wait_ms = watch->failed ? RETURN_WAIT_MS
                      : brief       ? BRIEF_WAIT_MS
                                    : WATCH_WAIT_MS;
        platform_watch_call(&head, watch->addr, watch->kind, watch->at,
                            wait_ms);
        ask.total_ms = wait_ms + (brief ? BRIEF_SLACK_MS : WATCH_SLACK_MS);
    }
    watch->fetch = fetch_start(watch->exchanges, &ask);
}

static void
watch_call(watch_t *watch)
{
    watch->asks_other = false;
    watch->others_asked = 0;
    watch->status = 0;
    if (!call_upstream(watch)) {
        call_store(watch);
    }
}

/* Begin with a whole list. */
watch_t *
watch_start(struct event_base *base, exchanges_t *exchanges, const char *addr,
            kind_t kind, const watch_hooks_t *hooks)
{
    watch_t *watch = mem_zalloc(sizeof(*watch));
    watch->base = base;
    watch->exchanges = exchanges;
    watch->hooks = *hooks;
    watch->kind = kind;
    watch->pause_ms = PAUSE_FIRST_MS;
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
    event_free(watch->timer);
    free(watch);
}

int64_t
watch_heard_ms(const watch_t *watch)
{
    return watch->heard_ms;
}

/* When the store answered again after it had not; 0 if it always did, and the
 * time now while it does not. */
int64_t
watch_back_ms(const watch_t *watch)
{
    return watch->failed ? time_mono_ms() : watch->back_ms;
}

bool
watch_listed(const watch_t *watch)
{
    return watch->listed;
}

/* Whether what is known is the store's own word, no older than an answer
 * takes. */
bool
watch_fresh(const watch_t *watch)
{
    return watch->fresh;
}

/* Others follow this daemon: it checks its path to the store more often. */
void
watch_serves(watch_t *watch)
{
    watch->serving_ms = time_mono_ms() + SERVING_MS;
}

uint64_t
watch_calls(const watch_t *watch)
{
    return watch->calls;
}

/* The revision up to which the objects are known. */
int64_t
watch_at(const watch_t *watch)
{
    return watch->at;
}
