#include "load.h"

#include <stdlib.h>
#include <string.h>

/* Which blocks of the prompts are new: the prefill that no placement could
 * have saved.  Whatever the engines prefill beyond that was computed before,
 * so it is the upper bound of wasted recomputation. */

#define TABLE_FIRST (1 << 16)

struct load_blocks {
    uint64_t *keys;
    size_t size;
    size_t used;
    uint64_t tokens_new;
    uint64_t tokens_all;
};

load_blocks_t *
load_blocks_new(void)
{
    load_blocks_t *blocks = mem_zalloc(sizeof(*blocks));
    blocks->size = TABLE_FIRST;
    blocks->keys = mem_zalloc(blocks->size * sizeof(uint64_t));
    return blocks;
}

void
load_blocks_free(load_blocks_t *blocks)
{
    free(blocks->keys);
    free(blocks);
}

/* Put a key in; false if it is there. */
static bool
put(load_blocks_t *blocks, uint64_t key)
{
    size_t at = key & (blocks->size - 1);
    while (blocks->keys[at] != 0) {
        if (blocks->keys[at] == key) {
            return false;
        }
        at = (at + 1) & (blocks->size - 1);
    }
    blocks->keys[at] = key;
    blocks->used++;
    return true;
}

static void
grow(load_blocks_t *blocks)
{
    load_blocks_t larger = {.size = blocks->size * 2};
    larger.keys = mem_zalloc(larger.size * sizeof(uint64_t));
    for (size_t i = 0; i < blocks->size; i++) {
        if (blocks->keys[i] != 0) {
            (void)put(&larger, blocks->keys[i]);
        }
    }
    free(blocks->keys);
    blocks->keys = larger.keys;
    blocks->size = larger.size;
}

/* Take a prompt in; with count it goes into the figures. */
void
load_blocks_add(load_blocks_t *blocks, unsigned workspace,
                const json_t *messages, bool count)
{
    CLEAN_BUF buf_t text = {0};
    uint64_t key = workspace + 1;
    uint64_t fresh = 0;
    size_t at = 0;
    prefix_render(messages, &text);
    for (; at + PREFIX_BLOCK_BYTES <= text.len; at += PREFIX_BLOCK_BYTES) {
        if (blocks->used * 2 > blocks->size) {
            grow(blocks);
        }
        key = prefix_block_key(key, text.data + at);
        fresh += put(blocks, key) ? PREFIX_BLOCK_TOKENS : 0;
    }
    fresh += (text.len - at) / PREFIX_TOKEN_BYTES;
    if (count) {
        blocks->tokens_new += fresh;
        blocks->tokens_all += text.len / PREFIX_TOKEN_BYTES;
    }
}

/* Tokens of all prompts, and of those that were there for the first time. */
json_t *
load_blocks_json(const load_blocks_t *blocks)
{
    return json_pack("{s:I,s:I}", "tokens_new", (json_int_t)blocks->tokens_new,
                     "tokens_all", (json_int_t)blocks->tokens_all);
}

/* The engines' own counts, added up. */
json_t *
load_engines_json(const load_opts_t *opts)
{
    static const char *const keys[] = {"tokens_prefilled", "tokens_cached",
                                       "requests"};
    json_t *sums = json_object();
    for (unsigned i = 0; i < opts->engine_count; i++) {
        char url[CS_ADDR_MAX + 16];
        CLEAN_BUF buf_t body = {0};
        int status;
        (void)snprintf(url, sizeof(url), "http://%s/truth", opts->engines[i]);
        http_call_t call = {
            .method = "GET", .url = url, .connect_ms = 1000, .total_ms = 2000};
        (void)http_fetch(&call, &status, &body);
        CLEAN_JSON json_t *truth =
            json_loadb(buf_text(&body), body.len, 0, NULL);
        for (size_t k = 0; k < sizeof(keys) / sizeof(keys[0]); k++) {
            (void)json_object_set_new(
                sums, keys[k],
                json_integer(json_int(sums, keys[k], 0) +
                             json_int(truth, keys[k], 0)));
        }
    }
    return sums;
}
