#ifndef CELERYSPOOL_OBJECT_CACHE_H
#define CELERYSPOOL_OBJECT_CACHE_H

/* The platform's objects as its store gave them, kept for other daemons: for
 * those that cannot reach the store or start while it is away, as a list; for
 * those that hear from this daemon instead of the store, as watches. */

#include "relay.h"

object_cache_t *object_cache_new(relay_t *relay);
void object_cache_free(object_cache_t *cache);
void object_cache_put(object_cache_t *cache, kind_t kind,
                      const store_object_t *object);
void object_cache_list(object_cache_t *cache, kind_t kind);
void object_cache_listed(object_cache_t *cache, kind_t kind, int64_t at);
const json_t *object_cache_objects(const object_cache_t *cache, kind_t kind);
void object_cache_notify(object_cache_t *cache, kind_t kind);
bool object_cache_answer(object_cache_t *cache, caller_t *caller,
                         const char *target);
void object_cache_caller_left(void *waiter);

#endif
