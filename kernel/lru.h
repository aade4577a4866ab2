#ifndef CELERYSPOOL_LRU_H
#define CELERYSPOOL_LRU_H

/* An intrusive list in order of last use.  The owner of the list owns the
 * entries and locks both; an entry is on at most one such list. */

#include <stddef.h>

typedef struct lru_link {
    struct lru_link *newer;
    struct lru_link *older;
} lru_link_t;

typedef struct {
    lru_link_t *newest; /* NULL while the list is empty */
    lru_link_t *oldest;
} lru_t;

/* Returns the entry that contains a link, or NULL if the link is NULL. */
#define LRU_ENTRY(link, type, field) \
    ((link) == NULL ? NULL : (type *)((char *)(link)-offsetof(type, field)))

void lru_add(lru_t *lru, lru_link_t *link);
void lru_remove(lru_t *lru, lru_link_t *link);
void lru_touch(lru_t *lru, lru_link_t *link);

#endif
