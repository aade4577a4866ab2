#ifndef CELERYSPOOL_CACHED_PARTS_H
#define CELERYSPOOL_CACHED_PARTS_H

/* Estimated contents of a prefix cache: prompt parts in the order of their
 * last use.  Like the cache, it evicts the least recently used parts when it
 * is full.  No I/O and no clock.  Not thread-safe. */

#include "../kernel/base.h"

typedef struct cached_parts cached_parts_t;

typedef struct {
    uint64_t key;
    uint32_t prompt_tokens; /* from the prompt's start to the part's end */
    uint32_t tokens;        /* in the part alone */
} cached_part_t;

cached_parts_t *cached_parts_new(void);
void cached_parts_free(cached_parts_t *parts);
void cached_parts_set_capacity(cached_parts_t *parts, int64_t tokens);
void cached_parts_clear(cached_parts_t *parts);
void cached_parts_remove(cached_parts_t *parts, uint64_t key);
void cached_parts_use(cached_parts_t *parts, const cached_part_t *part);
void cached_parts_add_unshared(cached_parts_t *parts, uint32_t tokens);
const cached_part_t *cached_parts_get(const cached_parts_t *parts,
                                      uint64_t key);
bool cached_parts_has(const cached_parts_t *parts, uint64_t key);
size_t cached_parts_list(const cached_parts_t *parts, cached_part_t *out,
                         size_t max);

#endif
