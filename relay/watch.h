#ifndef CELERYSPOOL_WATCH_H
#define CELERYSPOOL_WATCH_H

/* Keeps up with all objects of one kind in the platform's store: first a whole
 * list, then long polls for the changes after its revision, and another list
 * if the store no longer has those changes, or if the list could not be read
 * to its end.  In a large fleet most daemons follow the watch of another
 * daemon, their upstream. */

#include "../platform/platform.h"
#include "../kernel/fetch.h"

typedef struct watch watch_t;

/* Through whom a daemon watches the store. */
typedef enum {
    UPSTREAM_NONE,   /* it watches the store itself */
    UPSTREAM_FOUND,  /* it follows another daemon */
    UPSTREAM_AVOIDED /* it would, but all have recently failed to serve it */
} upstream_t;

typedef struct {
    /* A whole list begins. */
    void (*on_list_begin)(void *arg);
    /* Passes an object of the list, or one that was changed or removed.  Older
     * revisions may arrive after newer ones. */
    void (*on_object)(void *arg, const store_object_t *object);
    /* The list is complete: objects that were not on it did not exist at this
     * revision of the store. */
    void (*on_list_end)(void *arg, int64_t revision);
    /* The list cannot be read further: there may be more objects, and what was
     * known before it still holds.  Changes after this revision follow. */
    void (*on_list_cut)(void *arg, int64_t revision);
    /* Finds the address of another daemon to list the objects from while the
     * store does not answer; false if there is none. */
    bool (*find_peer)(void *arg, char addr[CS_ADDR_MAX]);
    /* Finds the address of the daemon whose watches this one follows. */
    upstream_t (*find_upstream)(void *arg, char addr[CS_ADDR_MAX]);
    /* A call to the followed daemon failed.  answered is true if it sent an
     * error or an incomplete response, false if it sent none. */
    void (*on_upstream_lost)(void *arg, const char *addr, bool answered);
    /* Objects have changed, or watch_is_fresh() has changed.  Followers must
     * be notified. */
    void (*on_update)(void *arg);
    void *arg;
} watch_hooks_t;

watch_t *watch_start(struct event_base *base, exchanges_t *exchanges,
                     const char *addr, object_kind_t kind,
                     const watch_hooks_t *hooks);
void watch_stop(watch_t *watch);
void watch_tick(watch_t *watch, int64_t now);
int64_t watch_answered_ms(const watch_t *watch);
int64_t watch_age_ms(const watch_t *watch, int64_t now);
void watch_confirm(watch_t *watch);
int64_t watch_known_ms(const watch_t *watch);
int64_t watch_recovered_ms(const watch_t *watch);
bool watch_is_recovering(const watch_t *watch, int64_t now);
bool watch_has_list(const watch_t *watch);
bool watch_is_partial(const watch_t *watch);
bool watch_is_fresh(const watch_t *watch);
void watch_note_follower(watch_t *watch);
int64_t watch_revision(const watch_t *watch);
uint64_t watch_store_call_count(const watch_t *watch);

#endif
