#include "../kernel/lru.h"
#include "fakes.h"

#include <stdlib.h>

#define BUCKET_COUNT 16384
#define EVENTS_MAX 32768
#define EVENTS_PAGE_MAX 4096

typedef struct block {
    CK_LIST_ENTRY(block) bucket;
    lru_link_t lru;
    uint64_t key;
} block_t;

typedef CK_LIST_HEAD(block_list, block) block_list_t;

typedef struct {
    uint64_t key;
    bool stored;
} cache_event_t;

struct engine_cache {
    block_list_t buckets[BUCKET_COUNT];
    lru_t lru;
    size_t size;
    size_t max;
    uint64_t sequence; /* number of the newest event */
    cache_event_t events[EVENTS_MAX];
};

/* Creates a cache of at most blocks_max blocks. */
engine_cache_t *
engine_cache_new(size_t blocks_max)
{
    engine_cache_t *cache = mem_zalloc(sizeof(*cache));
    cache->max = blocks_max;
    return cache;
}

static void
cache_publish(engine_cache_t *cache, uint64_t key, bool stored)
{
    cache->sequence++;
    cache->events[cache->sequence % EVENTS_MAX] =
        (cache_event_t){.key = key, .stored = stored};
}

static void
cache_evict_oldest(engine_cache_t *cache)
{
    block_t *block = LRU_ENTRY(cache->lru.oldest, block_t, lru);
    lru_remove(&cache->lru, &block->lru);
    CK_LIST_REMOVE(block, bucket);
    cache_publish(cache, block->key, false);
    cache->size--;
    free(block);
}

/* Clears the cache as a crash does: no events are left, and their numbers
 * restart at 1. */
void
engine_cache_clear(engine_cache_t *cache)
{
    while (cache->lru.oldest != NULL) {
        cache_evict_oldest(cache);
    }
    cache->sequence = 0;
}

void
engine_cache_free(engine_cache_t *cache)
{
    engine_cache_clear(cache);
    free(cache);
}

static block_t *
cache_find(const engine_cache_t *cache, uint64_t key)
{
    block_t *block;
    CK_LIST_FOREACH (block, &cache->buckets[key % BUCKET_COUNT], bucket) {
        if (block->key == key) {
            return block;
        }
    }
    return NULL;
}

/* Tells whether a block is cached, and marks it as most recently used. */
bool
engine_cache_lookup(engine_cache_t *cache, uint64_t key)
{
    block_t *block = cache_find(cache, key);
    if (block == NULL) {
        return false;
    }
    lru_touch(&cache->lru, &block->lru);
    return true;
}

/* Tells whether a block is cached, without marking it as used. */
bool
engine_cache_contains(const engine_cache_t *cache, uint64_t key)
{
    return cache_find(cache, key) != NULL;
}

/* Caches a block; if the cache is full, the least recently used block is
 * evicted. */
void
engine_cache_store(engine_cache_t *cache, uint64_t key)
{
    if (engine_cache_lookup(cache, key)) {
        return;
    }
    if (cache->size >= cache->max) {
        cache_evict_oldest(cache);
    }
    block_t *block = mem_zalloc(sizeof(*block));
    block->key = key;
    CK_LIST_INSERT_HEAD(&cache->buckets[key % BUCKET_COUNT], block, bucket);
    lru_add(&cache->lru, &block->lru);
    cache->size++;
    cache_publish(cache, key, true);
}

size_t
engine_cache_size(const engine_cache_t *cache)
{
    return cache->size;
}

/* Returns one page of the events with numbers above after, oldest first. Each
 * is dropped with a probability of drop_percent, to simulate lost events. */
json_t *
engine_cache_list_events(engine_cache_t *cache, uint64_t after,
                         unsigned drop_percent, rng_t *rng)
{
    json_t *events = json_array();
    uint64_t first = after + 1;
    if (cache->sequence >= EVENTS_MAX &&
        first <= cache->sequence - EVENTS_MAX) {
        first = cache->sequence - EVENTS_MAX + 1;
    }
    for (uint64_t n = first;
         n <= cache->sequence && json_array_size(events) < EVENTS_PAGE_MAX;
         n++) {
        const cache_event_t *event = &cache->events[n % EVENTS_MAX];
        if (drop_percent > 0 && rng_below(rng, 100) < drop_percent) {
            continue;
        }
        (void)json_array_append_new(
            events, json_pack("[I,b,I]", (json_int_t)n, event->stored,
                              (json_int_t)event->key));
    }
    return events;
}
