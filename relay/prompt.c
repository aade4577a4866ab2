#include "prompt.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The number by which a part's id is known here. */
uint64_t
prompt_part_hash(const char *id, size_t len)
{
    return XXH3_64bits(id, len);
}

/* Read a list of ID:TOKENS, separated by commas.  Parts beyond what is kept
 * count as one with the last, so that the tokens add up. */
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
            unsigned at = prompt->count < PREFIX_LEVELS_MAX
                              ? prompt->count++
                              : PREFIX_LEVELS_MAX - 1;
            prompt->parts[at] ^= part;
            prompt->tokens[at] += tokens;
        }
        text = stop + 1;
    }
}

/* Read "prompt,output". */
void
prompt_parse_tokens(prompt_t *prompt, const char *text, size_t len)
{
    char copy[64];
    char *rest;
    size_t room = len < sizeof(copy) - 1 ? len : sizeof(copy) - 1;
    memcpy(copy, text, room);
    copy[room] = '\0';
    prompt->prompt_tokens = (uint32_t)strtoul(copy, &rest, 10);
    if (*rest == ',') {
        prompt->output_tokens = (uint32_t)strtoul(rest + 1, NULL, 10);
    }
}

/* The name under which a server keeps parts.  Parts of older weights, or of
 * another workspace where one of the two is isolated, must never be used: a
 * server checks neither, so both are in the name.  workspace is empty for all
 * that share. */
void
prompt_format_salt(const char *model, int64_t weights, const char *workspace,
                   char out[CS_ID_LEN + 1])
{
    char text[CS_NAME_MAX * 3];
    int len = snprintf(text, sizeof(text), "%s/%lld/%s", model,
                       (long long)weights, workspace);
    XXH128_hash_t hash = XXH3_128bits(text, (size_t)len);
    (void)snprintf(out, CS_ID_LEN + 1, "%016llx%016llx",
                   (unsigned long long)hash.high64,
                   (unsigned long long)hash.low64);
}

/* The key of a part under a salt.  Servers list what they hold by salt and id
 * alone, so a part has the same key whatever comes before it. */
uint64_t
prompt_part_key(uint64_t part, const char *salt)
{
    return XXH3_64bits_withSeed(&part, sizeof(part),
                                XXH3_64bits(salt, strlen(salt)));
}

/* The levels of a prompt under a salt, for the cache map. */
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

/* The key of the prompt's home: of its deepest part that others share, under
 * no salt, so that the home stays when weights change. */
uint64_t
prompt_home_key(const prompt_t *prompt)
{
    unsigned shared = prompt->count > 1 ? prompt->count - 1 : prompt->count;
    uint64_t chain = 0;
    for (unsigned i = 0; i < shared; i++) {
        chain = XXH3_64bits_withSeed(&prompt->parts[i],
                                     sizeof(prompt->parts[i]), chain);
    }
    return chain;
}

/* Tokens of the parts that other requests may have too. */
uint32_t
prompt_shared_tokens(const prompt_t *prompt)
{
    uint32_t tokens = 0;
    for (unsigned i = 0; i + 1 < prompt->count; i++) {
        tokens += prompt->tokens[i];
    }
    return tokens;
}
