#include "prefix.h"

#include <string.h>
#include <xxhash.h>

/* The chain follows what engines publish in their cache events: the hash of
 * a block covers its own tokens and the hash of the block before.  It is
 * seeded by the cache salt (workspace, model, adapter and a secret of the
 * deployment) and the weights version, so that a key of another workspace or
 * of older weights cannot match. */

/* The parent of the first block. */
uint64_t
prefix_root_key(const char *salt, const char *version)
{
    return str_hash(version, str_hash(salt, 0));
}

/* The key of a block of PREFIX_BLOCK_BYTES bytes behind its parent. */
uint64_t
prefix_block_key(uint64_t parent, const char *block)
{
    return XXH3_64bits_withSeed(block, PREFIX_BLOCK_BYTES, parent);
}

static void
render_message(const json_t *message, buf_t *text)
{
    const char *role = json_text(message, "role");
    const char *content = json_text(message, "content");
    buf_str(text, role == NULL ? "" : role);
    buf_str(text, "\n");
    buf_str(text, content == NULL ? "" : content);
    buf_str(text, "\n");
}

/* Append the prompt text of a chat, as the engines' template renders it. */
void
prefix_render(const json_t *messages, buf_t *text)
{
    size_t i;
    const json_t *message;
    json_array_foreach (messages, i, message) {
        render_message(message, text);
    }
}

static uint64_t
chain_to(const buf_t *text, uint64_t key, size_t *done)
{
    while (*done + PREFIX_BLOCK_BYTES <= text->len) {
        key = prefix_block_key(key, text->data + *done);
        *done += PREFIX_BLOCK_BYTES;
    }
    return key;
}

static void
add_level(prefix_t *prefix, uint64_t key, size_t done)
{
    uint32_t tokens = (uint32_t)(done / PREFIX_TOKEN_BYTES);
    unsigned last = prefix->count;
    if (last > 0 && prefix->levels[last - 1].tokens == tokens) {
        return;
    }
    if (tokens == 0 || last == PREFIX_LEVELS_MAX) {
        return;
    }
    prefix->levels[last].key = key;
    prefix->levels[last].tokens = tokens;
    prefix->count++;
}

/* Compute the keys of all levels; each message of the chat is one level. */
void
prefix_compute(prefix_t *prefix, const json_t *messages, const char *salt,
               const char *version)
{
    CLEAN_BUF buf_t text = {0};
    uint64_t key = prefix_root_key(salt, version);
    size_t done = 0;
    size_t i;
    const json_t *message;
    memset(prefix, 0, sizeof(*prefix));
    json_array_foreach (messages, i, message) {
        render_message(message, &text);
        key = chain_to(&text, key, &done);
        add_level(prefix, key, done);
    }
    prefix->tokens = (uint32_t)(text.len / PREFIX_TOKEN_BYTES);
}

/* How many tokens two prompts share, by their common levels. */
uint32_t
prefix_shared_tokens(const prefix_t *a, const prefix_t *b)
{
    uint32_t shared = 0;
    for (unsigned i = 0; i < a->count && i < b->count; i++) {
        if (a->levels[i].key != b->levels[i].key) {
            break;
        }
        shared = a->levels[i].tokens;
    }
    return shared;
}
