#include "lru.h"

/* Put an entry that is on no list in as the one used last. */
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

/* An entry of the list is used. */
void
lru_touch(lru_t *lru, lru_link_t *link)
{
    lru_remove(lru, link);
    lru_add(lru, link);
}
