#include "cached-parts.h"
#include "../kernel/lru.h"

#include <ck_queue.h>
#include <stdlib.h>

/* A prompt's own part is never asked for again, but it pushes others out, so
 * it stands in the order of use as an entry without a key.  Neighbours of that
 * kind are made one, which bounds the entries by about two for each part. */

#define BUCKETS 256
/* Room of a cache of unknown size, tokens: a small engine's. */
#define ROOM_UNKNOWN_TOKENS 100000
/* Parts of no tokens cost no room, so the number of entries is bounded too. */
#define ENTRIES_MAX 16384

typedef struct cached_entry {
    CK_LIST_ENTRY(cached_entry) bucket;
    lru_link_t lru;
    bool keyed; /* else filling of no further use */
    cached_part_t part;
} cached_entry_t;

typedef CK_LIST_HEAD(cached_bucket, cached_entry) cached_bucket_t;

struct cached_parts {
    cached_bucket_t buckets[BUCKETS];
    lru_t lru;
    size_t count;
    int64_t tokens; /* of all entries */
    int64_t room;
};

cached_parts_t *
cached_parts_new(void)
{
    cached_parts_t *held = mem_zalloc(sizeof(*held));
    held->room = ROOM_UNKNOWN_TOKENS;
    return held;
}

static cached_entry_t *
entry_of(lru_link_t *link)
{
    return LRU_ENTRY(link, cached_entry_t, lru);
}

static void
entry_free(cached_parts_t *held, cached_entry_t *entry)
{
    lru_remove(&held->lru, &entry->lru);
    if (entry->keyed) {
        CK_LIST_REMOVE(entry, bucket);
    }
    held->tokens -= entry->part.tokens;
    held->count--;
    free(entry);
}

static cached_entry_t *
entry_find(const cached_parts_t *held, uint64_t key)
{
    cached_entry_t *entry;
    CK_LIST_FOREACH (entry, &held->buckets[key % BUCKETS], bucket) {
        if (entry->part.key == key) {
            return entry;
        }
    }
    return NULL;
}

/* Drop what the cache no longer has room for.  A part goes when all of it is
 * pushed out: of one that is partly there the rest is still of use. */
static void
drop_oldest(cached_parts_t *held)
{
    cached_entry_t *oldest;
    while ((oldest = entry_of(held->lru.oldest)) != NULL &&
           (held->tokens - oldest->part.tokens >= held->room ||
            held->count > ENTRIES_MAX)) {
        entry_free(held, oldest);
    }
}

/* How many tokens the cache holds at most; what is not above 0 says nothing
 * and is left out. */
void
cached_parts_room(cached_parts_t *held, int64_t tokens)
{
    if (tokens > 0 && tokens != held->room) {
        held->room = tokens;
        drop_oldest(held);
    }
}

/* The cache was emptied. */
void
cached_parts_forget(cached_parts_t *held)
{
    while (held->lru.oldest != NULL) {
        entry_free(held, entry_of(held->lru.oldest));
    }
}

void
cached_parts_free(cached_parts_t *held)
{
    if (held != NULL) {
        cached_parts_forget(held);
        free(held);
    }
}

/* A request used a part, which the cache has from now on if it had not. */
void
cached_parts_use(cached_parts_t *held, const cached_part_t *part)
{
    cached_entry_t *entry = entry_find(held, part->key);
    if (entry != NULL) {
        lru_touch(&held->lru, &entry->lru);
        return;
    }
    entry = mem_zalloc(sizeof(*entry));
    entry->keyed = true;
    entry->part = *part;
    CK_LIST_INSERT_HEAD(&held->buckets[part->key % BUCKETS], entry, bucket);
    lru_add(&held->lru, &entry->lru);
    held->tokens += part->tokens;
    held->count++;
    drop_oldest(held);
}

/* A part was evicted, whatever the order of use says. */
void
cached_parts_drop(cached_parts_t *held, uint64_t key)
{
    cached_entry_t *entry = entry_find(held, key);
    if (entry != NULL) {
        entry_free(held, entry);
    }
}

/* So many tokens went in that no other request will ask for. */
void
cached_parts_fill(cached_parts_t *held, uint32_t tokens)
{
    cached_entry_t *entry = entry_of(held->lru.newest);
    if (tokens == 0) {
        return;
    }
    if (entry == NULL || entry->keyed) {
        entry = mem_zalloc(sizeof(*entry));
        lru_add(&held->lru, &entry->lru);
        held->count++;
    }
    entry->part.tokens += tokens;
    held->tokens += tokens;
    drop_oldest(held);
}

/* A part that is believed to be there, or NULL. */
const cached_part_t *
cached_parts_get(const cached_parts_t *held, uint64_t key)
{
    const cached_entry_t *entry = entry_find(held, key);
    return entry != NULL ? &entry->part : NULL;
}

/* Whether a part is believed to be there. */
bool
cached_parts_has(const cached_parts_t *held, uint64_t key)
{
    return entry_find(held, key) != NULL;
}

/* The parts that are held, the one used last first; how many were written. */
size_t
cached_parts_list(const cached_parts_t *held, cached_part_t *out, size_t max)
{
    size_t count = 0;
    for (const cached_entry_t *entry = entry_of(held->lru.newest);
         entry != NULL && count < max; entry = entry_of(entry->lru.older)) {
        if (entry->keyed) {
            out[count++] = entry->part;
        }
    }
    return count;
}
