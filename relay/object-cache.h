#ifndef CELERYSPOOL_OBJECT_CACHE_H
#define CELERYSPOOL_OBJECT_CACHE_H

/* Caches the platform's objects and serves them to other daemons: as lists to
 * those that cannot reach the store, as watches to followers. */

#include "relay.h"

/* What an answer to a watch states besides the changes. */
typedef struct {
    int64_t revision; /* of the store, that the objects reflect */
    int64_t age_ms;   /* since the store confirmed it */
    size_t max_len;   /* of all changes; larger ones are not passed on */
} changes_answer_t;

object_cache_t *object_cache_new(relay_t *relay);
void object_cache_free(object_cache_t *cache);
void object_cache_put(object_cache_t *cache, object_kind_t kind,
                      const store_object_t *object);
void object_cache_list_begin(object_cache_t *cache, object_kind_t kind);
void object_cache_list_end(object_cache_t *cache, object_kind_t kind,
                           int64_t revision);
void object_cache_list_cut(object_cache_t *cache, object_kind_t kind,
                           int64_t revision);
const json_t *object_cache_objects(const object_cache_t *cache,
                                   object_kind_t kind);
bool object_cache_write_changes(object_cache_t *cache, object_kind_t kind,
                                int64_t after_revision,
                                const changes_answer_t *answer, buf_t *out);
void object_cache_notify(object_cache_t *cache, object_kind_t kind);
bool object_cache_answer(object_cache_t *cache, caller_t *caller,
                         const char *target);
void object_cache_caller_disconnected(void *waiter);

#endif
