#include "lru.h"

/* Adds an entry that is on no list as the most recently used one. */
void
lru_add(lru_t *lru, lru_link_t *link)
{
    link->newer = NULL;
    link->older = lru->newest;
    if (lru->newest != NULL) {
        lru->newest->newer = link;
    }
    lru->newest = link;
    if (lru->oldest == NULL) {
        lru->oldest = link;
    }
}

void
lru_remove(lru_t *lru, lru_link_t *link)
{
    if (link->newer != NULL) {
        link->newer->older = link->older;
    }
    else {
        lru->newest = link->older;
    }
    if (link->older != NULL) {
        link->older->newer = link->newer;
    }
    else {
        lru->oldest = link->newer;
    }
}

/* Makes an entry of the list the most recently used one. */
void
lru_touch(lru_t *lru, lru_link_t *link)
{
    lru_remove(lru, link);
    lru_add(lru, link);
}
