#include "../relay/prompt.h"
#include "test.h"

#include <string.h>

static prompt_t
prompt_of(const char *parts)
{
    prompt_t prompt = {0};
    prompt_parse_parts(&prompt, parts, strlen(parts));
    return prompt;
}

/* A server lists the salt and id of a part, not the parts before it. */
START_TEST(part_key_depends_on_salt_and_id_only)
{
    const prompt_t prompt = prompt_of("5c1e07a2:800,91bd3f06:410,e4402b7d:9");
    prefix_t levels;
    prompt_to_levels(&prompt, "s1", &levels);
    ck_assert_uint_eq(levels.count, 3);
    ck_assert_uint_eq(levels.levels[1].tokens, 1210);
    ck_assert_uint_eq(levels.levels[1].key,
                      prompt_part_key(prompt_part_hash("91bd3f06", 8), "s1"));
}
END_TEST

/* Guards against using parts of other weights or of another workspace for a
 * prompt. */
START_TEST(part_key_differs_by_salt)
{
    uint64_t part = prompt_part_hash("91bd3f06", 8);
    ck_assert_uint_ne(prompt_part_key(part, "s1"),
                      prompt_part_key(part, "s2"));
    ck_assert_uint_ne(prompt_part_key(part, "s1"),
                      prompt_part_key(prompt_part_hash("91bd3f07", 8), "s1"));
}
END_TEST

/* Guards against a malformed hint that is read as a length. */
START_TEST(only_positive_hints_are_read)
{
    static const struct {
        const char *text;
        uint32_t tokens;
    } hints[] = {{"420", 420},      {" 7", 7}, {"0", 0},   {"-3", 0},
                 {"4294967296", 0}, {"", 0},   {"long", 0}};
    for (size_t i = 0; i < sizeof(hints) / sizeof(hints[0]); i++) {
        prompt_t prompt = {0};
        prompt_parse_hint(&prompt, hints[i].text, strlen(hints[i].text));
        ck_assert_uint_eq(prompt.length_hint, hints[i].tokens);
    }
}
END_TEST

TEST_MAIN("prompt", part_key_depends_on_salt_and_id_only,
          part_key_differs_by_salt, only_positive_hints_are_read)
