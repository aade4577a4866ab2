#ifndef CELERYSPOOL_LRU_H
#define CELERYSPOOL_LRU_H

/* An intrusive list in the order of last use.  The owner of the list owns its
 * entries and guards both; an entry is on one such list at most. */

#include <stddef.h>

typedef struct lru_link {
    struct lru_link *newer;
    struct lru_link *older;
} lru_link_t;

typedef struct {
    lru_link_t *newest; /* NULL while the list is empty */
    lru_link_t *oldest;
} lru_t;

/* The entry of a type around its link, or NULL for none. */
#define LRU_ENTRY(link, type, field) \
    ((link) == NULL ? NULL : (type *)((char *)(link)-offsetof(type, field)))

void lru_add(lru_t *lru, lru_link_t *link);
void lru_remove(lru_t *lru, lru_link_t *link);
void lru_touch(lru_t *lru, lru_link_t *link);

#endif
