#include "prompt.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Returns the hash of a part's id. */
uint64_t
prompt_part_hash(const char *id, size_t len)
{
    return XXH3_64bits(id, len);
}

/* Parses a comma-separated list of ID:TOKENS.  Parts beyond the maximum are
 * merged into the last one, so that the tokens add up. */
void
prompt_parse_parts(prompt_t *prompt, const char *text, size_t len)
{
    const char *end = text + len;
    while (text < end) {
        const char *comma = memchr(text, ',', (size_t)(end - text));
        const char *stop = comma != NULL ? comma : end;
        const char *colon = memchr(text, ':', (size_t)(stop - text));
        if (colon != NULL) {
            while (*text == ' ') {
                text++;
            }
            uint32_t tokens = (uint32_t)strtoul(colon + 1, NULL, 10);
            uint64_t part = prompt_part_hash(text, (size_t)(colon - text));
            unsigned index = prompt->count < PREFIX_LEVELS_MAX
                                 ? prompt->count++
                                 : PREFIX_LEVELS_MAX - 1;
            prompt->parts[index] ^= part;
            prompt->tokens[index] += tokens;
        }
        text = stop + 1;
    }
}

/* Parses "PROMPT,OUTPUT", the prompt's tokens and the maximum of the output's.
 */
void
prompt_parse_tokens(prompt_t *prompt, const char *text, size_t len)
{
    char copy[64];
    char *rest;
    size_t copied = len < sizeof(copy) - 1 ? len : sizeof(copy) - 1;
    memcpy(copy, text, copied);
    copy[copied] = '\0';
    prompt->prompt_tokens = (uint32_t)strtoul(copy, &rest, 10);
    if (*rest == ',') {
        prompt->output_tokens = (uint32_t)strtoul(rest + 1, NULL, 10);
    }
}

/* Parses the output tokens that the caller expects.  A hint that is not a
 * positive number of 32 bits is ignored. */
void
prompt_parse_hint(prompt_t *prompt, const char *text, size_t len)
{
    char copy[32];
    size_t copied = len < sizeof(copy) - 1 ? len : sizeof(copy) - 1;
    memcpy(copy, text, copied);
    copy[copied] = '\0';
    long long tokens = strtoll(copy, NULL, 10);
    prompt->length_hint =
        tokens > 0 && tokens <= UINT32_MAX ? (uint32_t)tokens : 0;
}

/* Writes the salt under which a server stores parts.  Parts of other weights,
 * or of another workspace if either is isolated, must never be used; a server
 * checks neither, so both are in the salt.  group names the workspaces that
 * share parts, see relay_config_sharing_group. */
void
prompt_format_salt(const char *model, int64_t weights, const char *group,
                   char out[CS_ID_LEN + 1])
{
    char text[CS_NAME_MAX * 3];
    int len = snprintf(text, sizeof(text), "%s/%lld/%s", model,
                       (long long)weights, group);
    XXH128_hash_t hash = XXH3_128bits(text, (size_t)len);
    (void)snprintf(out, CS_ID_LEN + 1, "%016llx%016llx",
                   (unsigned long long)hash.high64,
                   (unsigned long long)hash.low64);
}

/* Returns the key of a part under a salt.  Servers list what they hold by salt
 * and id alone, so the key does not depend on the parts before it. */
uint64_t
prompt_part_key(uint64_t part, const char *salt)
{
    return XXH3_64bits_withSeed(&part, sizeof(part),
                                XXH3_64bits(salt, strlen(salt)));
}

/* Converts a prompt to levels under a salt, for the cache map. */
void
prompt_to_levels(const prompt_t *prompt, const char *salt, prefix_t *out)
{
    uint32_t tokens = 0;
    memset(out, 0, sizeof(*out));
    for (unsigned i = 0; i < prompt->count; i++) {
        tokens += prompt->tokens[i];
        out->levels[out->count++] =
            (prefix_level_t){prompt_part_key(prompt->parts[i], salt), tokens};
    }
    out->tokens =
        tokens > prompt->prompt_tokens ? tokens : prompt->prompt_tokens;
}

/* Returns the key that selects the prompt's home server by rendezvous hashing:
 * a hash of its shared parts, or of its only part.  It has no salt, so that
 * the home does not move when weights change. */
uint64_t
prompt_affinity_key(const prompt_t *prompt)
{
    unsigned shared = prompt->count > 1 ? prompt->count - 1 : prompt->count;
    uint64_t chain = 0;
    for (unsigned i = 0; i < shared; i++) {
        chain = XXH3_64bits_withSeed(&prompt->parts[i],
                                     sizeof(prompt->parts[i]), chain);
    }
    return chain;
}

/* Returns the tokens of the parts that other requests can share. */
uint32_t
prompt_shared_tokens(const prompt_t *prompt)
{
    uint32_t tokens = 0;
    for (unsigned i = 0; i + 1 < prompt->count; i++) {
        tokens += prompt->tokens[i];
    }
    return tokens;
}
