#include "claim.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Operations on the claim log, and what its entries add up to. */

/* A new operation; its owner sets deadline, done and arg. */
claim_op_t *
claim_op_new(claim_op_kind_t kind, const char *key, const char *token)
{
    claim_op_t *op = mem_zalloc(sizeof(*op));
    op->kind = kind;
    str_copy(op->key, sizeof(op->key), key);
    str_copy(op->token, sizeof(op->token), token);
    return op;
}

void
claim_op_free(claim_op_t *op)
{
    free(op->body);
    free(op);
}

/* The key under which a caller's idempotency key stands in the log. */
void
claim_key(const char *workspace, const char *service, const char *key,
          char out[CLAIM_KEY_LEN + 1])
{
    unsigned char raw[CLAIM_KEY_LEN / 2];
    CLEAN_BUF buf_t text = {0};
    buf_fmt(&text, "%s\n%s\n%s", workspace, service, key);
    (void)crypto_generichash(raw, sizeof(raw),
                             (const unsigned char *)buf_text(&text), text.len,
                             NULL, 0);
    (void)sodium_bin2hex(out, CLAIM_KEY_LEN + 1, raw, sizeof(raw));
}

/* Fold one entry in: the first claim of a key stands; its own token may add
 * an outcome; a key whose claim did not run may be claimed again. */
static void
fold_entry(json_t *fold, const json_t *entry)
{
    const char *key = json_text(entry, "k");
    const char *token = json_text(entry, "t");
    if (key == NULL || token == NULL) {
        return;
    }
    json_t *have = json_object_get(fold, key);
    if (json_text_is(entry, "s", "claim")) {
        if (have == NULL || json_text_is(have, "s", "not_run")) {
            (void)json_object_set_new(fold, key, json_deep_copy(entry));
        }
    }
    else if (have != NULL && json_text_is(have, "t", token) &&
             json_text_is(have, "s", "claim")) {
        (void)json_object_set_new(fold, key, json_deep_copy(entry));
    }
}

/* Fold a list of entries in, oldest first. */
void
claim_apply_entries(json_t *fold, const json_t *entries)
{
    size_t i;
    const json_t *entry;
    json_array_foreach (entries, i, entry) {
        fold_entry(fold, entry);
    }
}
