#ifndef CELERYSPOOL_HELD_PARTS_H
#define CELERYSPOOL_HELD_PARTS_H

/* What a prefix cache is believed to hold: the parts of prompts that went in,
 * in the order of their last use.  The cache drops the least recently used
 * parts when it is full, and so does this.  No I/O and no clock.  One thread
 * uses it. */

#include "../kernel/base.h"

typedef struct held_parts held_parts_t;

typedef struct {
    uint64_t key;
    uint32_t prompt_tokens; /* of the prompt up to this part's end */
    uint32_t tokens;        /* of this part alone */
} held_part_t;

held_parts_t *held_parts_new(void);
void held_parts_free(held_parts_t *held);
void held_parts_room(held_parts_t *held, int64_t tokens);
void held_parts_forget(held_parts_t *held);
void held_parts_drop(held_parts_t *held, uint64_t key);
void held_parts_use(held_parts_t *held, const held_part_t *part);
void held_parts_fill(held_parts_t *held, uint32_t tokens);
const held_part_t *held_parts_get(const held_parts_t *held, uint64_t key);
bool held_parts_has(const held_parts_t *held, uint64_t key);
size_t held_parts_list(const held_parts_t *held, held_part_t *out, size_t max);

#endif
