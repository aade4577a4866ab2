#include "prefix.h"

#include <string.h>
#include <xxhash.h>

/* Keys are computed as the engines compute those in their cache events: the
 * hash of a block covers its own tokens and the hash of the previous block.
 * The chain is seeded with the cache salt (workspace, model, adapter and a
 * secret of the deployment) and the weights version, so that a key of another
 * workspace or of older weights cannot match. */

/* Returns the parent key of the first block. */
uint64_t
prefix_root_key(const char *salt, const char *version)
{
    return str_hash(version, str_hash(salt, 0));
}

/* Computes the key of a block of PREFIX_BLOCK_BYTES bytes after its parent. */
uint64_t
prefix_block_key(uint64_t parent, const char *block)
{
    return XXH3_64bits_withSeed(block, PREFIX_BLOCK_BYTES, parent);
}

static void
render_message(const json_t *message, buf_t *text)
{
    const char *role = json_get_string(message, "role");
    const char *content = json_get_string(message, "content");
    buf_str(text, role == NULL ? "" : role);
    buf_str(text, "\n");
    buf_str(text, content == NULL ? "" : content);
    buf_str(text, "\n");
}

/* Appends the prompt text of a chat, as the engines' template renders it. */
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
hash_blocks(const buf_t *text, uint64_t key, size_t *hashed_bytes)
{
    while (*hashed_bytes + PREFIX_BLOCK_BYTES <= text->len) {
        key = prefix_block_key(key, text->data + *hashed_bytes);
        *hashed_bytes += PREFIX_BLOCK_BYTES;
    }
    return key;
}

static void
add_level(prefix_t *prefix, uint64_t key, size_t hashed_bytes)
{
    uint32_t tokens = (uint32_t)(hashed_bytes / PREFIX_TOKEN_BYTES);
    unsigned count = prefix->count;
    if (count > 0 && prefix->levels[count - 1].tokens == tokens) {
        return;
    }
    if (tokens == 0 || count == PREFIX_LEVELS_MAX) {
        return;
    }
    prefix->levels[count].key = key;
    prefix->levels[count].tokens = tokens;
    prefix->count++;
}

/* Computes the keys of all levels; each message of the chat is one level. */
void
prefix_compute(prefix_t *prefix, const json_t *messages, const char *salt,
               const char *version)
{
    CLEAN_BUF buf_t text = {0};
    uint64_t key = prefix_root_key(salt, version);
    size_t hashed_bytes = 0;
    size_t i;
    const json_t *message;
    memset(prefix, 0, sizeof(*prefix));
    json_array_foreach (messages, i, message) {
        render_message(message, &text);
        key = hash_blocks(&text, key, &hashed_bytes);
        add_level(prefix, key, hashed_bytes);
    }
    prefix->tokens = (uint32_t)(text.len / PREFIX_TOKEN_BYTES);
}

/* Returns how many tokens two prompts share, by their common levels. */
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
