#include "load.h"

#include <stdlib.h>
#include <string.h>

/* Counts the prompt blocks that occur for the first time: the prefill that no
 * placement could have avoided.  Any further token that the engines prefill
 * has been prefilled before, so the difference is an upper bound of the wasted
 * recomputation. */

#define TABLE_SIZE_INITIAL (1 << 16)

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
    blocks->size = TABLE_SIZE_INITIAL;
    blocks->keys = mem_zalloc(blocks->size * sizeof(uint64_t));
    return blocks;
}

void
load_blocks_free(load_blocks_t *blocks)
{
    free(blocks->keys);
    free(blocks);
}

/* Insert a key; false if it is already in the table. */
static bool
insert_key(load_blocks_t *blocks, uint64_t key)
{
    size_t slot = key & (blocks->size - 1);
    while (blocks->keys[slot] != 0) {
        if (blocks->keys[slot] == key) {
            return false;
        }
        slot = (slot + 1) & (blocks->size - 1);
    }
    blocks->keys[slot] = key;
    blocks->used++;
    return true;
}

static void
grow_table(load_blocks_t *blocks)
{
    load_blocks_t larger = {.size = blocks->size * 2};
    larger.keys = mem_zalloc(larger.size * sizeof(uint64_t));
    for (size_t i = 0; i < blocks->size; i++) {
        if (blocks->keys[i] != 0) {
            (void)insert_key(&larger, blocks->keys[i]);
        }
    }
    free(blocks->keys);
    blocks->keys = larger.keys;
    blocks->size = larger.size;
}

/* Record the blocks of a prompt; its tokens are added to the totals only if
 * counted is set. */
void
load_blocks_add(load_blocks_t *blocks, unsigned workspace,
                const json_t *messages, bool counted)
{
    CLEAN_BUF buf_t text = {0};
    uint64_t key = workspace + 1;
    uint64_t new_tokens = 0;
    size_t offset = 0;
    prefix_render(messages, &text);
    for (; offset + PREFIX_BLOCK_BYTES <= text.len;
         offset += PREFIX_BLOCK_BYTES) {
        if (blocks->used * 2 > blocks->size) {
            grow_table(blocks);
        }
        key = prefix_block_key(key, text.data + offset);
        new_tokens += insert_key(blocks, key) ? PREFIX_BLOCK_TOKENS : 0;
    }
    new_tokens += (text.len - offset) / PREFIX_TOKEN_BYTES;
    if (counted) {
        blocks->tokens_new += new_tokens;
        blocks->tokens_all += text.len / PREFIX_TOKEN_BYTES;
    }
}

/* The tokens of all counted prompts, and those of them that were new. */
json_t *
load_blocks_json(const load_blocks_t *blocks)
{
    return json_pack("{s:I,s:I}", "tokens_new", (json_int_t)blocks->tokens_new,
                     "tokens_all", (json_int_t)blocks->tokens_all);
}

/* The sums of the counters that the engines report at /truth. */
json_t *
load_blocks_engines_json(const load_opts_t *opts)
{
    static const char *const keys[] = {"tokens_prefilled", "tokens_cached",
                                       "requests"};
    json_t *sums = json_object();
    for (unsigned i = 0; i < opts->engine_count; i++) {
        char url[CS_ADDR_MAX + 16];
        CLEAN_BUF buf_t body = {0};
        int status;
        (void)snprintf(url, sizeof(url), "http://%s/truth", opts->engines[i]);
        http_client_request_t call = {
            .method = "GET", .url = url, .connect_ms = 1000, .total_ms = 2000};
        (void)http_fetch(&call, &status, &body);
        CLEAN_JSON json_t *truth =
            json_loadb(buf_text(&body), body.len, 0, NULL);
        for (size_t k = 0; k < sizeof(keys) / sizeof(keys[0]); k++) {
            (void)json_object_set_new(
                sums, keys[k],
                json_integer(json_get_int(sums, keys[k], 0) +
                             json_get_int(truth, keys[k], 0)));
        }
    }
    return sums;
}
