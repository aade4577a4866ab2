#include "lru.h"
#include "tables.h"

#include <stdlib.h>
#include <string.h>

/* A bounded map from prefix level keys to the backend servers that hold them.
 * An entry lists a few holders, each with the epoch of its server, so that all
 * entries of a restarted server are invalidated by one increment.  Eviction is
 * least recently used first. */

#define HOLDERS_MAX 8
/* A holder is announced to peers again after this time, ms.  It is well below
 * the time that servers keep unused entries. */
#define HOLDER_REFRESH_MS 2000
#define BUCKET_FACTOR 2

typedef struct {
    uint16_t backend;
    uint16_t epoch;
    int64_t confirmed_ms; /* when it was last known to hold the level */
} holder_t;

typedef struct cache_entry {
    CK_LIST_ENTRY(cache_entry) bucket;
    lru_link_t lru;
    uint64_t key;
    uint32_t tokens;
    uint32_t uses;
    uint8_t count;
    holder_t holders[HOLDERS_MAX];
} cache_entry_t;

typedef CK_LIST_HEAD(entry_list, cache_entry) entry_list_t;

struct cache_map {
    pthread_mutex_t lock;
    size_t max;
    size_t size;
    size_t bucket_count;
    entry_list_t *buckets;
    lru_t lru;
    uint16_t epochs[BACKENDS_MAX];
};

/* Creates a map for at most entries_max entries. */
cache_map_t *
cache_map_new(size_t entries_max)
{
    cache_map_t *map = mem_zalloc(sizeof(*map));
    (void)pthread_mutex_init(&map->lock, NULL);
    map->max = entries_max;
    map->bucket_count = entries_max * BUCKET_FACTOR + 1;
    map->buckets = mem_zalloc(map->bucket_count * sizeof(entry_list_t));
    return map;
}

static cache_entry_t *
entry_from_link(lru_link_t *link)
{
    return LRU_ENTRY(link, cache_entry_t, lru);
}

static void
entry_remove(cache_map_t *map, cache_entry_t *entry)
{
    lru_remove(&map->lru, &entry->lru);
    CK_LIST_REMOVE(entry, bucket);
    map->size--;
    free(entry);
}

/* Frees the map and all entries. */
void
cache_map_free(cache_map_t *map)
{
    while (map->lru.oldest != NULL) {
        entry_remove(map, entry_from_link(map->lru.oldest));
    }
    free(map->buckets);
    (void)pthread_mutex_destroy(&map->lock);
    free(map);
}

static cache_entry_t *
entry_find(cache_map_t *map, uint64_t key)
{
    cache_entry_t *entry;
    CK_LIST_FOREACH (entry, &map->buckets[key % map->bucket_count], bucket) {
        if (entry->key == key) {
            return entry;
        }
    }
    return NULL;
}

static cache_entry_t *
entry_add(cache_map_t *map, uint64_t key, uint32_t tokens)
{
    if (map->size >= map->max) {
        entry_remove(map, entry_from_link(map->lru.oldest));
    }
    cache_entry_t *entry = mem_zalloc(sizeof(*entry));
    entry->key = key;
    entry->tokens = tokens;
    CK_LIST_INSERT_HEAD(&map->buckets[key % map->bucket_count], entry, bucket);
    lru_add(&map->lru, &entry->lru);
    map->size++;
    return entry;
}

static bool
holder_is_valid(const cache_map_t *map, const holder_t *holder)
{
    return map->epochs[holder->backend] == holder->epoch;
}

static int
holder_find(const cache_map_t *map, const cache_entry_t *entry,
            uint16_t backend)
{
    for (int i = 0; i < entry->count; i++) {
        if (entry->holders[i].backend == backend &&
            holder_is_valid(map, &entry->holders[i])) {
            return i;
        }
    }
    return -1;
}

static void
holder_add(cache_map_t *map, cache_entry_t *entry, uint16_t backend,
           int64_t now_ms)
{
    int slot = 0;
    while (slot < entry->count &&
           holder_is_valid(map, &entry->holders[slot]) &&
           entry->holders[slot].backend != backend) {
        slot++;
    }
    if (slot == HOLDERS_MAX) {
        memmove(entry->holders, entry->holders + 1,
                (HOLDERS_MAX - 1) * sizeof(holder_t));
        slot = HOLDERS_MAX - 1;
    }
    entry->holders[slot] = (holder_t){backend, map->epochs[backend], now_ms};
    if (slot >= entry->count) {
        entry->count = (uint8_t)(slot + 1);
    }
}

/* Adds a backend server as a holder of a level; true if it was not listed. */
bool
cache_map_add_holder(cache_map_t *map, uint16_t backend, uint64_t key,
                     uint32_t tokens)
{
    return cache_map_add_holder_at(map, backend, key, tokens, 0);
}

/* The same with the time of the confirmation: servers evict prefixes that have
 * not been used for long, so a lookup can require holders confirmed since a
 * given time.  Also returns true if the last confirmation was
 * HOLDER_REFRESH_MS ago or more, so that peers are notified again. */
bool
cache_map_add_holder_at(cache_map_t *map, uint16_t backend, uint64_t key,
                        uint32_t tokens, int64_t now_ms)
{
    LOCK_SCOPE(&map->lock);
    cache_entry_t *entry = entry_find(map, key);
    if (entry == NULL) {
        entry = entry_add(map, key, tokens);
    }
    entry->uses++;
    lru_touch(&map->lru, &entry->lru);
    int slot = holder_find(map, entry, backend);
    if (slot >= 0) {
        int64_t previous_ms = entry->holders[slot].confirmed_ms;
        entry->holders[slot].confirmed_ms = now_ms;
        return now_ms - previous_ms >= HOLDER_REFRESH_MS;
    }
    holder_add(map, entry, backend, now_ms);
    return true;
}

/* Removes one holder of a level; true if it was listed. */
bool
cache_map_remove_holder(cache_map_t *map, uint16_t backend, uint64_t key)
{
    LOCK_SCOPE(&map->lock);
    cache_entry_t *entry = entry_find(map, key);
    int slot = entry == NULL ? -1 : holder_find(map, entry, backend);
    if (slot < 0) {
        return false;
    }
    entry->holders[slot] = entry->holders[entry->count - 1];
    entry->count--;
    return true;
}

/* Invalidates everything that a backend server held, after it has restarted
 * with an empty cache or loaded other weights. */
void
cache_map_clear_backend(cache_map_t *map, uint16_t backend)
{
    LOCK_SCOPE(&map->lock);
    map->epochs[backend]++;
}

/* Returns how many tokens of a prompt a backend server is believed to hold:
 * those of the deepest level that it is listed for. */
uint32_t
cache_map_cached_tokens(cache_map_t *map, const prefix_t *prefix,
                        uint16_t backend)
{
    return cache_map_cached_tokens_since(map, prefix, backend, 0);
}

/* The same, counting only holders confirmed since a given time. */
uint32_t
cache_map_cached_tokens_since(cache_map_t *map, const prefix_t *prefix,
                              uint16_t backend, int64_t since_ms)
{
    LOCK_SCOPE(&map->lock);
    for (unsigned i = prefix->count; i > 0; i--) {
        const prefix_level_t *level = &prefix->levels[i - 1];
        cache_entry_t *entry = entry_find(map, level->key);
        int slot = entry == NULL ? -1 : holder_find(map, entry, backend);
        if (slot >= 0 && entry->holders[slot].confirmed_ms >= since_ms) {
            return level->tokens;
        }
    }
    return 0;
}

/* Lists the holders of a level confirmed since a given time, mostly in the
 * order in which they were added. */
size_t
cache_map_list_holders(cache_map_t *map, uint64_t key, int64_t since_ms,
                       uint16_t *out, size_t max)
{
    LOCK_SCOPE(&map->lock);
    const cache_entry_t *entry = entry_find(map, key);
    size_t count = 0;
    for (int i = 0; entry != NULL && i < entry->count && count < max; i++) {
        if (holder_is_valid(map, &entry->holders[i]) &&
            entry->holders[i].confirmed_ms >= since_ms) {
            out[count++] = entry->holders[i].backend;
        }
    }
    return count;
}

/* Whether the map has an entry for a level key. */
bool
cache_map_has_key(cache_map_t *map, uint64_t key)
{
    LOCK_SCOPE(&map->lock);
    return entry_find(map, key) != NULL;
}

size_t
cache_map_size(cache_map_t *map)
{
    LOCK_SCOPE(&map->lock);
    return map->size;
}

/* Adds the levels that were used more than once, or only once, to a list,
 * the most recently used first; returns the new count. */
static size_t
list_levels(const cache_map_t *map, bool reused, cached_level_t *levels,
            size_t count, size_t max)
{
    for (const cache_entry_t *entry = entry_from_link(map->lru.newest);
         entry != NULL; entry = entry_from_link(entry->lru.older)) {
        if ((entry->uses > 1) != reused) {
            continue;
        }
        for (int i = 0; i < entry->count && count < max; i++) {
            if (holder_is_valid(map, &entry->holders[i])) {
                levels[count++] = (cached_level_t){entry->key, entry->tokens,
                                                   entry->holders[i].backend};
            }
        }
    }
    return count;
}

/* Lists levels with their holders, for the snapshot from which a peer warms
 * up.  A level used only once most often belongs to a single request, so these
 * come last.  They are not left out: a level that other daemons' requests
 * share counts here as used once, since it is announced only once. */
size_t
cache_map_list_levels(cache_map_t *map, cached_level_t *levels, size_t max)
{
    LOCK_SCOPE(&map->lock);
    size_t count = list_levels(map, true, levels, 0, max);
    return list_levels(map, false, levels, count, max);
}

/* Returns the memory that the map uses now, in bytes. */
size_t
cache_map_memory_bytes(cache_map_t *map)
{
    LOCK_SCOPE(&map->lock);
    return sizeof(*map) + map->bucket_count * sizeof(entry_list_t) +
           map->size * sizeof(cache_entry_t);
}
