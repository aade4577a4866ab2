#ifndef CELERYSPOOL_KEPT_H
#define CELERYSPOOL_KEPT_H

/* The platform's objects as its store gave them, kept for other daemons: for
 * those that cannot reach the store or start while it is away, as a list; for
 * those that hear from this daemon instead of the store, as watches. */

#include "relay.h"

kept_t *kept_new(relay_t *relay);
void kept_free(kept_t *kept);
void kept_put(kept_t *kept, kind_t kind, const store_object_t *object);
void kept_list(kept_t *kept, kind_t kind);
void kept_listed(kept_t *kept, kind_t kind, int64_t at);
const json_t *kept_objects(const kept_t *kept, kind_t kind);
void kept_settled(kept_t *kept, kind_t kind);
bool kept_answer(kept_t *kept, caller_t *caller, const char *target);
void kept_caller_left(void *waiter);

#endif
