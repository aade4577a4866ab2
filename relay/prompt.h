#ifndef CELERYSPOOL_PROMPT_H
#define CELERYSPOOL_PROMPT_H

/* A prompt as described by its request: parts in order, all but the last one
 * shared with other requests.  No I/O. */

#include "../kernel/prefix.h"

typedef struct {
    char model[CS_NAME_MAX];
    uint64_t parts[PREFIX_LEVELS_MAX];  /* hashes of the parts' ids */
    uint32_t tokens[PREFIX_LEVELS_MAX]; /* of each part */
    unsigned count;
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* maximum */
    uint32_t length_hint;   /* output tokens that the caller expects, or 0 */
} prompt_t;

uint64_t prompt_part_hash(const char *id, size_t len);
uint64_t prompt_part_key(uint64_t part, const char *salt);
void prompt_parse_parts(prompt_t *prompt, const char *text, size_t len);
void prompt_parse_tokens(prompt_t *prompt, const char *text, size_t len);
void prompt_parse_hint(prompt_t *prompt, const char *text, size_t len);
void prompt_format_salt(const char *model, int64_t weights,
                        const char *workspace, char out[CS_ID_LEN + 1]);
uint32_t prompt_shared_tokens(const prompt_t *prompt);
uint64_t prompt_affinity_key(const prompt_t *prompt);
void prompt_to_levels(const prompt_t *prompt, const char *salt, prefix_t *out);

#endif
