#include "stream-id.h"

#include <sodium.h>
#include <string.h>

/* Hashes a part of a stream's name together with the attempt.  The hash is
 * cryptographic, so that no id can be found that has the hash of another
 * caller's stream. */
static uint64_t
hash_part(const char *kind, const char *text, size_t len,
          const stream_name_t *name)
{
    crypto_generichash_state state;
    unsigned char digest[crypto_generichash_BYTES_MIN];
    uint64_t hash;
    const uint64_t text_len = len;
    (void)crypto_generichash_init(&state, NULL, 0, sizeof(digest));
    (void)crypto_generichash_update(&state, (const unsigned char *)kind,
                                    strlen(kind) + 1);
    /* With the length, so that the texts cannot run together. */
    (void)crypto_generichash_update(&state, (const unsigned char *)&text_len,
                                    sizeof(text_len));
    (void)crypto_generichash_update(&state, (const unsigned char *)text, len);
    (void)crypto_generichash_update(
        &state, (const unsigned char *)name->attempt, name->attempt_len);
    (void)crypto_generichash_final(&state, digest, sizeof(digest));
    memcpy(&hash, digest, sizeof(hash));
    return hash;
}

/* Returns a hash that is not 0. */
static uint16_t
make_tag(uint64_t hash)
{
    uint16_t tag = (uint16_t)hash;
    return tag == 0 ? 1 : tag;
}

stream_id_t
stream_id_make(const stream_name_t *name)
{
    stream_id_t id = {.attempt = hash_part("attempt", "", 0, name)};
    if (name->workspace != NULL) {
        id.workspace = make_tag(hash_part("workspace", name->workspace,
                                          strlen(name->workspace), name));
    }
    if (name->access_key_len > 0) {
        id.access_key = make_tag(
            hash_part("key", name->access_key, name->access_key_len, name));
    }
    return id;
}

/* Returns the hashes of the caller as one number. */
uint32_t
stream_id_caller(const stream_id_t *id)
{
    return (uint32_t)id->workspace << 16 | id->access_key;
}

/* Returns the id with the hash of an attempt and a number of
 * stream_id_caller. */
stream_id_t
stream_id_join(uint64_t attempt, uint32_t caller)
{
    return (stream_id_t){.attempt = attempt,
                         .workspace = (uint16_t)(caller >> 16),
                         .access_key = (uint16_t)caller};
}

bool
stream_id_equal(const stream_id_t *a, const stream_id_t *b)
{
    return a->attempt == b->attempt && a->workspace == b->workspace &&
           a->access_key == b->access_key;
}

/* Returns whether the caller of a stream may be the one that began it. */
stream_match_t
stream_id_match(const stream_id_t *origin, const stream_id_t *wanted)
{
    if (origin->attempt != wanted->attempt) {
        return STREAM_OTHER;
    }
    if (stream_id_equal(origin, wanted)) {
        return STREAM_SAME;
    }
    if ((origin->workspace != 0 && origin->workspace == wanted->workspace) ||
        (origin->access_key != 0 &&
         origin->access_key == wanted->access_key)) {
        return STREAM_SAME_CALLER;
    }
    return origin->workspace == 0 || wanted->workspace == 0 ? STREAM_POSSIBLE
                                                            : STREAM_OTHER;
}

/* Takes another origin into account. */
void
stream_pick_add(stream_pick_t *pick, const stream_pick_t *other)
{
    if (other->match > pick->match) {
        *pick = *other;
        return;
    }
    if (other->match == STREAM_OTHER || other->match < pick->match) {
        return;
    }
    if (other->software != pick->software) {
        pick->software = SOFTWARE_UNKNOWN;
    }
    if (other->expires_ms > pick->expires_ms) {
        pick->expires_ms = other->expires_ms;
        pick->service = other->service;
    }
}
