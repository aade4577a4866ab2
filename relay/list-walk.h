#ifndef CELERYSPOOL_LIST_WALK_H
#define CELERYSPOOL_LIST_WALK_H

/* Reads a list of the store page by page: decides after which name the next
 * page is asked for, and when the list cannot be read further.  Not known are
 * the order in which the store lists, and what it answers to a name that it
 * does not read as it was written, or whose object has been removed: an error,
 * an empty page, or one that was read before.  No I/O. */

#include "../platform/platform.h"

/* Names after which the next page may be asked for. */
#define LIST_CURSORS_MAX 3

typedef enum {
    LIST_NEXT,     /* ask for the next page */
    LIST_RETRY,    /* ask for the same page, after a pause */
    LIST_COMPLETE, /* the list has been read */
    LIST_CUT       /* it cannot be read further: there are more objects */
} list_step_t;

typedef struct {
    uint64_t *names; /* hash table of the names that were read; 0 is free */
    size_t name_count;
    size_t name_room;
    char *cursors[LIST_CURSORS_MAX]; /* names in the last page, best first */
    size_t cursor_count;             /* 0 before the second page */
    unsigned failures;               /* calls for the next page */
} list_walk_t;

void list_walk_reset(list_walk_t *walk);
const char *list_walk_cursor(const list_walk_t *walk);
bool list_walk_has_page(const list_walk_t *walk);
list_step_t list_walk_page(list_walk_t *walk, const store_page_t *page);
list_step_t list_walk_fail(list_walk_t *walk);

#endif
