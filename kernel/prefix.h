#ifndef CELERYSPOOL_PREFIX_H
#define CELERYSPOOL_PREFIX_H

/* Prompt prefixes: a chat is split into blocks of tokens, and the end of each
 * message is a level with a key. */

#include "base.h"

#define PREFIX_TOKEN_BYTES 4
#define PREFIX_BLOCK_TOKENS 16
#define PREFIX_BLOCK_BYTES (PREFIX_TOKEN_BYTES * PREFIX_BLOCK_TOKENS)
#define PREFIX_LEVELS_MAX 8

/* The key of the last whole block of a level, and the number of prompt tokens
 * up to the end of that block. */
typedef struct {
    uint64_t key;
    uint32_t tokens;
} prefix_level_t;

typedef struct {
    prefix_level_t levels[PREFIX_LEVELS_MAX];
    unsigned count;
    uint32_t tokens; /* of the whole prompt */
} prefix_t;

uint64_t prefix_root_key(const char *salt, const char *version);
uint64_t prefix_block_key(uint64_t parent, const char *block);
void prefix_render(const json_t *messages, buf_t *text);
void prefix_compute(prefix_t *prefix, const json_t *messages, const char *salt,
                    const char *version);
uint32_t prefix_shared_tokens(const prefix_t *a, const prefix_t *b);

#endif
