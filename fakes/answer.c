#include "fakes.h"

#include <string.h>
#include <xxhash.h>

/* The stand-in engine's answers depend on nothing but the prompt and the
 * weights version, so that a checker can verify that an answer is complete, in
 * order, for the caller's own prompt and from the right weights. */

/* Returns the seed from which an answer's tokens are derived. */
uint64_t
answer_seed(const char *prompt, size_t len, const char *version)
{
    return XXH3_64bits_withSeed(prompt, len, str_hash(version, 0));
}

/* Formats the token at an index: a space and six hexadecimal digits. */
void
answer_format_token(uint64_t seed, uint32_t index, char out[16])
{
    uint64_t value = XXH3_64bits_withSeed(&index, sizeof(index), seed);
    (void)snprintf(out, 16, " %06x", (unsigned)(value & 0xffffff));
}

/* Counts the tokens in a piece of an answer: each starts with a space. */
uint32_t
answer_count_tokens(const char *text)
{
    uint32_t count = 0;
    for (; *text != '\0'; text++) {
        count += *text == ' ';
    }
    return count;
}
