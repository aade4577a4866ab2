#include "lru.h"
#include "tables.h"

#include <stdlib.h>
#include <string.h>

/* Learnt places of prompt levels.  An entry names a few holders; which
 * incarnation of a holder was meant is kept as an epoch, so that forgetting
 * a crashed server is one increment.  Entries unused for longest go first. */

#define HOLDERS_MAX 8
/* A note is worth passing on again after this, ms: well within the time that
 * servers keep what is not used. */
#define NOTE_STALE_MS 2000
#define BUCKET_FACTOR 2

typedef struct {
    uint16_t backend;
    uint16_t epoch;
    int64_t noted_ms; /* when it was last known to hold the level */
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

/* A map for so many entries. */
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
entry_of(lru_link_t *link)
{
    return LRU_ENTRY(link, cache_entry_t, lru);
}

static void
entry_free(cache_map_t *map, cache_entry_t *entry)
{
    lru_remove(&map->lru, &entry->lru);
    CK_LIST_REMOVE(entry, bucket);
    map->size--;
    free(entry);
}

/* Free the map and all entries. */
void
cache_map_free(cache_map_t *map)
{
    while (map->lru.oldest != NULL) {
        entry_free(map, entry_of(map->lru.oldest));
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
entry_make(cache_map_t *map, uint64_t key, uint32_t tokens)
{
    if (map->size >= map->max) {
        entry_free(map, entry_of(map->lru.oldest));
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
holder_valid(const cache_map_t *map, const holder_t *holder)
{
    return map->epochs[holder->backend] == holder->epoch;
}

static int
holder_find(const cache_map_t *map, const cache_entry_t *entry,
            uint16_t backend)
{
    for (int i = 0; i < entry->count; i++) {
        if (entry->holders[i].backend == backend &&
            holder_valid(map, &entry->holders[i])) {
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
    while (slot < entry->count && holder_valid(map, &entry->holders[slot]) &&
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

/* Remember that a backend server holds a level; true if that is news. */
bool
cache_map_add_holder(cache_map_t *map, uint16_t backend, uint64_t key,
                     uint32_t tokens)
{
    return cache_map_add_holder_at(map, backend, key, tokens, 0);
}

/* The same, with the time: a server forgets what is not used for long, so who
 * asks for holders may ask for those since a time.  It is also news that a
 * level which was not noted for a while is still there. */
bool
cache_map_add_holder_at(cache_map_t *map, uint16_t backend, uint64_t key,
                        uint32_t tokens, int64_t now_ms)
{
    LOCK_SCOPE(&map->lock);
    cache_entry_t *entry = entry_find(map, key);
    if (entry == NULL) {
        entry = entry_make(map, key, tokens);
    }
    entry->uses++;
    lru_touch(&map->lru, &entry->lru);
    int at = holder_find(map, entry, backend);
    if (at >= 0) {
        int64_t before_ms = entry->holders[at].noted_ms;
        entry->holders[at].noted_ms = now_ms;
        return now_ms - before_ms >= NOTE_STALE_MS;
    }
    holder_add(map, entry, backend, now_ms);
    return true;
}

/* Forget one holder of a level; true if it had been believed. */
bool
cache_map_remove_holder(cache_map_t *map, uint16_t backend, uint64_t key)
{
    LOCK_SCOPE(&map->lock);
    cache_entry_t *entry = entry_find(map, key);
    int at = entry == NULL ? -1 : holder_find(map, entry, backend);
    if (at < 0) {
        return false;
    }
    entry->holders[at] = entry->holders[entry->count - 1];
    entry->count--;
    return true;
}

/* Forget all that a backend server held: it came back empty, or with other
 * weights. */
void
cache_map_clear_backend(cache_map_t *map, uint16_t backend)
{
    LOCK_SCOPE(&map->lock);
    map->epochs[backend]++;
}

/* How many tokens of a prompt a backend server is believed to hold: those
 * of the deepest level that it is known for. */
uint32_t
cache_map_cached_tokens(cache_map_t *map, const prefix_t *prefix,
                        uint16_t backend)
{
    return cache_map_cached_tokens_since(map, prefix, backend, 0);
}

/* The same, counting only what was noted since a time. */
uint32_t
cache_map_cached_tokens_since(cache_map_t *map, const prefix_t *prefix,
                              uint16_t backend, int64_t since_ms)
{
    LOCK_SCOPE(&map->lock);
    for (unsigned i = prefix->count; i > 0; i--) {
        const prefix_level_t *level = &prefix->levels[i - 1];
        cache_entry_t *entry = entry_find(map, level->key);
        int at = entry == NULL ? -1 : holder_find(map, entry, backend);
        if (at >= 0 && entry->holders[at].noted_ms >= since_ms) {
            return level->tokens;
        }
    }
    return 0;
}

/* Who is believed to hold a level since a time, the last noted last. */
size_t
cache_map_list_holders(cache_map_t *map, uint64_t key, int64_t since_ms,
                       uint16_t *out, size_t max)
{
    LOCK_SCOPE(&map->lock);
    const cache_entry_t *entry = entry_find(map, key);
    size_t count = 0;
    for (int i = 0; entry != NULL && i < entry->count && count < max; i++) {
        if (holder_valid(map, &entry->holders[i]) &&
            entry->holders[i].noted_ms >= since_ms) {
            out[count++] = entry->holders[i].backend;
        }
    }
    return count;
}

/* Whether a key is a level that some prompt here had. */
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

/* The most recently used facts, for the snapshot that warms a peer.  A level
 * that was used once is most often a request's own and not worth its room. */
size_t
cache_map_list_reused(cache_map_t *map, cache_fact_t *facts, size_t max)
{
    size_t count = 0;
    LOCK_SCOPE(&map->lock);
    for (cache_entry_t *entry = entry_of(map->lru.newest); entry != NULL;
         entry = entry_of(entry->lru.older)) {
        for (int i = 0; i < entry->count && count < max; i++) {
            if (entry->uses > 1 && holder_valid(map, &entry->holders[i])) {
                facts[count++] = (cache_fact_t){entry->key, entry->tokens,
                                                entry->holders[i].backend};
            }
        }
    }
    return count;
}

/* Bytes that the map takes at its present size. */
size_t
cache_map_memory_bytes(cache_map_t *map)
{
    LOCK_SCOPE(&map->lock);
    return sizeof(*map) + map->bucket_count * sizeof(entry_list_t) +
           map->size * sizeof(cache_entry_t);
}
