#include "claim.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Operations on the claim log, and the state that its entries result in. */

/* Creates an operation; its owner sets deadline_ms, on_done and arg. */
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

/* Derives the key of the log for a caller's idempotency key. */
void
claim_key_derive(const char *workspace, const char *service, const char *key,
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

/* Applies one entry.  The first claim of a key wins, and only its token can
 * add an outcome; a key whose claim did not run can be claimed again. */
static void
apply_entry(json_t *claims, const json_t *entry)
{
    const char *key = json_get_string(entry, "k");
    const char *token = json_get_string(entry, "t");
    if (key == NULL || token == NULL) {
        return;
    }
    json_t *current = json_object_get(claims, key);
    if (json_string_equals(entry, "s", "claim")) {
        if (current == NULL || json_string_equals(current, "s", "not_run")) {
            (void)json_object_set_new(claims, key, json_deep_copy(entry));
        }
    }
    else if (current != NULL && json_string_equals(current, "t", token) &&
             json_string_equals(current, "s", "claim")) {
        (void)json_object_set_new(claims, key, json_deep_copy(entry));
    }
}

/* Applies a list of entries, oldest first, to a map of key to entry. */
void
claim_apply_entries(json_t *claims, const json_t *entries)
{
    size_t i;
    const json_t *entry;
    json_array_foreach (entries, i, entry) {
        apply_entry(claims, entry);
    }
}
