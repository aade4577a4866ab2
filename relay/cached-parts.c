#include "cached-parts.h"
#include "../kernel/lru.h"

#include <ck_queue.h>
#include <stdlib.h>

/* The unshared part of a prompt is never requested again, but it takes up
 * memory and evicts others, so it has an entry without a key.  Adjacent
 * entries without a key are merged, so there are about two entries for each
 * part at most. */

#define BUCKETS 256
/* Assumed capacity of a cache of unknown size: that of a small engine. */
#define CAPACITY_DEFAULT_TOKENS 100000
/* Parts of 0 tokens take up no capacity, so the number of entries is bounded
 * too. */
#define ENTRIES_MAX 16384

typedef struct cached_entry {
    CK_LIST_ENTRY(cached_entry) bucket;
    lru_link_t lru;
    bool keyed; /* a shared part; false for merged unshared tokens */
    cached_part_t part;
} cached_entry_t;

typedef CK_LIST_HEAD(cached_bucket, cached_entry) cached_bucket_t;

struct cached_parts {
    cached_bucket_t buckets[BUCKETS];
    lru_t lru;
    size_t count;
    int64_t tokens;   /* in all entries */
    int64_t capacity; /* tokens */
};

cached_parts_t *
cached_parts_new(void)
{
    cached_parts_t *parts = mem_zalloc(sizeof(*parts));
    parts->capacity = CAPACITY_DEFAULT_TOKENS;
    return parts;
}

static cached_entry_t *
entry_of(lru_link_t *link)
{
    return LRU_ENTRY(link, cached_entry_t, lru);
}

static void
entry_free(cached_parts_t *parts, cached_entry_t *entry)
{
    lru_remove(&parts->lru, &entry->lru);
    if (entry->keyed) {
        CK_LIST_REMOVE(entry, bucket);
    }
    parts->tokens -= entry->part.tokens;
    parts->count--;
    free(entry);
}

static cached_entry_t *
entry_find(const cached_parts_t *parts, uint64_t key)
{
    cached_entry_t *entry;
    CK_LIST_FOREACH (entry, &parts->buckets[key % BUCKETS], bucket) {
        if (entry->part.key == key) {
            return entry;
        }
    }
    return NULL;
}

/* Evicts the oldest entries while the cache exceeds its capacity.  A part is
 * removed only when all of its tokens are evicted: the rest of one that is
 * partly evicted can still be used. */
static void
evict_oldest(cached_parts_t *parts)
{
    cached_entry_t *oldest;
    while ((oldest = entry_of(parts->lru.oldest)) != NULL &&
           (parts->tokens - oldest->part.tokens >= parts->capacity ||
            parts->count > ENTRIES_MAX)) {
        entry_free(parts, oldest);
    }
}

/* Sets the capacity of the cache in tokens; values that are not positive are
 * ignored. */
void
cached_parts_set_capacity(cached_parts_t *parts, int64_t tokens)
{
    if (tokens > 0 && tokens != parts->capacity) {
        parts->capacity = tokens;
        evict_oldest(parts);
    }
}

/* Removes all entries. */
void
cached_parts_clear(cached_parts_t *parts)
{
    while (parts->lru.oldest != NULL) {
        entry_free(parts, entry_of(parts->lru.oldest));
    }
}

void
cached_parts_free(cached_parts_t *parts)
{
    if (parts != NULL) {
        cached_parts_clear(parts);
        free(parts);
    }
}

/* Marks a part as the most recently used one, adding it if it is missing. */
void
cached_parts_use(cached_parts_t *parts, const cached_part_t *part)
{
    cached_entry_t *entry = entry_find(parts, part->key);
    if (entry != NULL) {
        lru_touch(&parts->lru, &entry->lru);
        return;
    }
    entry = mem_zalloc(sizeof(*entry));
    entry->keyed = true;
    entry->part = *part;
    CK_LIST_INSERT_HEAD(&parts->buckets[part->key % BUCKETS], entry, bucket);
    lru_add(&parts->lru, &entry->lru);
    parts->tokens += part->tokens;
    parts->count++;
    evict_oldest(parts);
}

/* Removes a part, whatever its place in the order of use. */
void
cached_parts_remove(cached_parts_t *parts, uint64_t key)
{
    cached_entry_t *entry = entry_find(parts, key);
    if (entry != NULL) {
        entry_free(parts, entry);
    }
}

/* Adds tokens that no other request shares. */
void
cached_parts_add_unshared(cached_parts_t *parts, uint32_t tokens)
{
    cached_entry_t *entry = entry_of(parts->lru.newest);
    if (tokens == 0) {
        return;
    }
    if (entry == NULL || entry->keyed) {
        entry = mem_zalloc(sizeof(*entry));
        lru_add(&parts->lru, &entry->lru);
        parts->count++;
    }
    entry->part.tokens += tokens;
    parts->tokens += tokens;
    evict_oldest(parts);
}

/* Returns a part, or NULL if it is not cached. */
const cached_part_t *
cached_parts_get(const cached_parts_t *parts, uint64_t key)
{
    const cached_entry_t *entry = entry_find(parts, key);
    return entry != NULL ? &entry->part : NULL;
}

/* Returns whether a part is cached. */
bool
cached_parts_has(const cached_parts_t *parts, uint64_t key)
{
    return entry_find(parts, key) != NULL;
}

/* Lists the cached parts, most recently used first, and returns their number,
 * at most max. */
size_t
cached_parts_list(const cached_parts_t *parts, cached_part_t *out, size_t max)
{
    size_t count = 0;
    for (const cached_entry_t *entry = entry_of(parts->lru.newest);
         entry != NULL && count < max; entry = entry_of(entry->lru.older)) {
        if (entry->keyed) {
            out[count++] = entry->part;
        }
    }
    return count;
}
