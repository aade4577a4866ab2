#include "fakes.h"

#include <string.h>
#include <xxhash.h>

/* The answers of the stand-in engine are a function of prompt and weights
 * version alone, so that a checker can tell from the answer whether it is
 * whole, in order, the caller's own, and of the right weights. */

/* What an answer's tokens are derived from. */
uint64_t
answer_seed(const char *prompt, size_t len, const char *version)
{
    return XXH3_64bits_withSeed(prompt, len, str_hash(version, 0));
}

/* Token number index: a space and six hexadecimal digits. */
void
answer_format_token(uint64_t seed, uint32_t index, char out[16])
{
    uint64_t value = XXH3_64bits_withSeed(&index, sizeof(index), seed);
    (void)snprintf(out, 16, " %06x", (unsigned)(value & 0xffffff));
}

/* How many tokens a piece of an answer has. */
uint32_t
answer_count(const char *text)
{
    uint32_t count = 0;
    for (; *text != '\0'; text++) {
        count += *text == ' ';
    }
    return count;
}
