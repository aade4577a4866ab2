#ifndef CELERYSPOOL_WATCH_H
#define CELERYSPOOL_WATCH_H

/* Follows all objects of one kind in the platform's store: a whole list, then
 * a watch from its revision on, and a list again where the store no longer
 * has that history. */

#include "../platform/platform.h"
#include "../kernel/fetch.h"

typedef struct watch watch_t;

typedef struct {
    /* A whole list follows. */
    void (*on_list)(void *arg);
    /* An object of the list, or one that has changed or was removed.  Older
     * revisions may come behind newer ones. */
    void (*on_object)(void *arg, const store_object_t *object);
    /* The list is complete: what was not on it was not there at this revision
     * of the store. */
    void (*on_listed)(void *arg, int64_t at);
    /* The address of another daemon that may know the same objects while the
     * store does not answer; false if there is none. */
    bool (*other)(void *arg, char addr[CS_ADDR_MAX]);
    /* The address of a daemon that watches the store for this one too; false
     * if it watches for itself. */
    bool (*upstream)(void *arg, char addr[CS_ADDR_MAX]);
    /* That daemon does not serve; answered: it said so itself. */
    void (*upstream_lost)(void *arg, const char *addr, bool answered);
    /* Objects have changed, or what is known is no longer current: followers
     * are to be notified. */
    void (*on_settled)(void *arg);
    void *arg;
} watch_hooks_t;

watch_t *watch_start(struct event_base *base, exchanges_t *exchanges,
                     const char *addr, object_kind_t kind,
                     const watch_hooks_t *hooks);
void watch_stop(watch_t *watch);
int64_t watch_heard_ms(const watch_t *watch);
int64_t watch_back_ms(const watch_t *watch);
bool watch_listed(const watch_t *watch);
bool watch_fresh(const watch_t *watch);
void watch_serves(watch_t *watch);
int64_t watch_at(const watch_t *watch);
uint64_t watch_calls(const watch_t *watch);

#endif
