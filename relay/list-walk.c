#include "list-walk.h"

#include <stdlib.h>
#include <string.h>

/* Calls for a page that bring nothing, after which the list counts as cut. */
#define PAGE_CALLS_MAX 4
#define NAME_ROOM_MIN 64

static void
drop_cursors(list_walk_t *walk)
{
    while (walk->cursor_count > 0) {
        free(walk->cursors[--walk->cursor_count]);
    }
}

/* Frees what is known of a list; another one can begin. */
void
list_walk_reset(list_walk_t *walk)
{
    drop_cursors(walk);
    free(walk->names);
    memset(walk, 0, sizeof(*walk));
}

/* Whether a page has been read that is not the last one. */
bool
list_walk_has_page(const list_walk_t *walk)
{
    return walk->cursor_count > 0;
}

/* Returns the name after which the next page is asked for; empty for the first
 * page. */
const char *
list_walk_cursor(const list_walk_t *walk)
{
    return list_walk_has_page(walk)
               ? walk->cursors[walk->failures % walk->cursor_count]
               : "";
}

/* Returns the place of a hash in the table, which has room. */
static uint64_t *
find_place(const list_walk_t *walk, uint64_t hash)
{
    size_t at = (size_t)hash & (walk->name_room - 1);
    while (walk->names[at] != 0 && walk->names[at] != hash) {
        at = (at + 1) & (walk->name_room - 1);
    }
    return &walk->names[at];
}

/* Makes room for one more name: half of the table stays free. */
static void
make_room(list_walk_t *walk)
{
    if (walk->name_count * 2 < walk->name_room) {
        return;
    }
    list_walk_t larger = {.name_room = walk->name_room > 0
                                           ? walk->name_room * 2
                                           : NAME_ROOM_MIN};
    larger.names = mem_zalloc(larger.name_room * sizeof(*larger.names));
    for (size_t i = 0; i < walk->name_room; i++) {
        if (walk->names[i] != 0) {
            *find_place(&larger, walk->names[i]) = walk->names[i];
        }
    }
    free(walk->names);
    walk->names = larger.names;
    walk->name_room = larger.name_room;
}

/* Notes a name; false if it has been read before. */
static bool
add_name(list_walk_t *walk, const char *name)
{
    uint64_t hash = str_hash(name, 0) | 1; /* 0 is a free place */
    make_room(walk);
    uint64_t *place = find_place(walk, hash);
    if (*place == hash) {
        return false;
    }
    *place = hash;
    walk->name_count++;
    return true;
}

static void
add_cursor(list_walk_t *walk, const char *name)
{
    if (name != NULL) {
        walk->cursors[walk->cursor_count++] = strdup(name);
    }
}

/* Notes the names of a page, and chooses those after which the next one may be
 * asked for.  A plain name comes first, which every store reads as it was
 * written: objects behind it are then listed again.  Returns whether any name
 * was new. */
static bool
read_names(list_walk_t *walk, const store_page_t *page)
{
    const char *plain = NULL;
    const char *plain_before = NULL;
    const char *last = NULL;
    for (size_t i = 0; i < page->count; i++) {
        const char *name = page->objects[i].name;
        if (!add_name(walk, name)) {
            continue;
        }
        last = name;
        if (str_is_name(name)) {
            plain_before = plain;
            plain = name;
        }
    }
    if (last == NULL) {
        return false;
    }
    drop_cursors(walk);
    add_cursor(walk, plain);
    add_cursor(walk, last != plain ? last : NULL);
    add_cursor(walk, plain_before);
    walk->failures = 0;
    return true;
}

/* Notes that a call for a page has brought nothing. */
list_step_t
list_walk_fail(list_walk_t *walk)
{
    if (!list_walk_has_page(walk)) {
        return LIST_RETRY;
    }
    walk->failures++;
    return walk->failures < PAGE_CALLS_MAX ? LIST_RETRY : LIST_CUT;
}

/* Notes a page. */
list_step_t
list_walk_page(list_walk_t *walk, const store_page_t *page)
{
    /* An empty page does not end a list of which there was more. */
    if (!page->has_more &&
        (page->item_count > 0 || !list_walk_has_page(walk))) {
        return LIST_COMPLETE;
    }
    if (page->has_more && read_names(walk, page)) {
        return LIST_NEXT;
    }
    return list_walk_has_page(walk) ? list_walk_fail(walk) : LIST_CUT;
}
