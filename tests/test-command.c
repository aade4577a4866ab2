#include "../kernel/command.h"
#include "test.h"

#include <string.h>

static command_context_t
split_line(char *line)
{
    command_context_t context = {.line = line, .if_generation = -1};
    context.word_count =
        command_split(line, context.words, COMMAND_WORDS_MAX, &context.err);
    return context;
}

static json_t *
rows(void)
{
    return json_pack("[{s:s,s:i},{s:s,s:i},{s:s,s:i}]", "name", "b", "n", 10,
                     "name", "a", "n", 9, "name", "c", "n", 10);
}

/* The names of the rows that a query returns, in order, or its error. */
static const char *
query(const char *text)
{
    static char out[512];
    char line[128];
    size_t i;
    const json_t *row;
    str_copy(line, sizeof(line), text);
    command_context_t context = split_line(line);
    json_t *list = rows();
    if (command_query_apply(&context, 0, &list) != 0) {
        (void)snprintf(out, sizeof(out), "%zu: %s", context.error_word,
                       context.err.text);
        return out;
    }
    out[0] = '\0';
    json_array_foreach (json_object_get(context.result, "rows"), i, row) {
        size_t len = strlen(out);
        (void)snprintf(out + len, sizeof(out) - len, "%s",
                       json_get_string(row, "name"));
    }
    json_decref(context.result);
    return out;
}

START_TEST(queries_filter_sort_and_limit)
{
    ck_assert_str_eq(query(""), "bac");
    ck_assert_str_eq(query("where n=10"), "bc");
    ck_assert_str_eq(query("where n<10"), "a");
    ck_assert_str_eq(query("where name!=a n>9"), "bc");
    ck_assert_str_eq(query("sort name"), "abc");
    ck_assert_str_eq(query("sort -n"), "bca");
    ck_assert_str_eq(query("sort n limit 2"), "ab");
}
END_TEST

START_TEST(errors_name_the_word)
{
    ck_assert_ptr_nonnull(strstr(query("where x=1"), "1: unknown field x;"));
    ck_assert_ptr_nonnull(strstr(query("limit many"), "1: many is not"));
    ck_assert_ptr_nonnull(strstr(query("n=1"), "0: unknown clause n=1"));
    ck_assert_ptr_nonnull(strstr(query("where n10"), "1: n10 is not a"));
    ck_assert_ptr_nonnull(strstr(query("sort"), "0: sort needs a field"));
}
END_TEST

START_TEST(quotes_preserve_blanks)
{
    char line[] = "set  model 'a b' x=\"1 2\"";
    command_context_t context = split_line(line);
    ck_assert_uint_eq(context.word_count, 4);
    ck_assert_str_eq(context.words[2], "a b");
    ck_assert_str_eq(context.words[3], "x=1 2");
    char open[] = "say 'a b";
    command_context_t invalid = split_line(open);
    ck_assert_int_eq(invalid.err.layer, ERR_COMMAND);
}
END_TEST

START_TEST(fields_are_typed_and_keys_are_hashed)
{
    char line[] = "a=1 b=true c=x version=2 key=geheim";
    command_context_t context = split_line(line);
    CLEAN_JSON json_t *fields = command_fields(&context, 0);
    ck_assert(json_is_integer(json_object_get(fields, "a")));
    ck_assert(json_is_true(json_object_get(fields, "b")));
    ck_assert_str_eq(json_get_string(fields, "c"), "x");
    ck_assert_str_eq(json_get_string(fields, "version"), "2");
    ck_assert_ptr_null(json_object_get(fields, "key"));
    ck_assert_uint_eq(strlen(json_get_string(fields, "key_hash")),
                      KEY_HASH_LEN);
    char twice[] = "a=1 a=2";
    command_context_t invalid = split_line(twice);
    ck_assert_ptr_null(command_fields(&invalid, 0));
    ck_assert_uint_eq(invalid.error_word, 1);
}
END_TEST

START_TEST(commands_are_sorted_by_name)
{
    const char *previous = "";
    size_t count = 0;
    for (const command_t *command = command_next(NULL); command != NULL;
         command = command_next(command)) {
        ck_assert_int_gt(strcmp(command->name, previous), 0);
        previous = command->name;
        count++;
    }
    ck_assert_uint_ge(count, 11);
    ck_assert_ptr_nonnull(command_find("explain"));
    ck_assert_ptr_null(command_find("nonsense"));
}
END_TEST

static const char *
body_error(const char *text)
{
    static char out[400];
    err_t err = {0};
    json_t *body = chat_body_parse(text, strlen(text), &err);
    str_copy(out, sizeof(out), body == NULL ? err.text : "good");
    json_decref(body);
    return out;
}

START_TEST(errors_of_bodies_name_the_field)
{
    ck_assert_str_eq(
        body_error("{\"messages\":[{\"role\":\"u\",\"content\":\"c\"}]}"),
        "good");
    ck_assert_ptr_nonnull(strstr(body_error("{}"), "messages"));
    ck_assert_ptr_nonnull(strstr(body_error("[]"), "not a JSON object"));
    ck_assert_ptr_nonnull(strstr(body_error("{\"a\":"), "at byte"));
    ck_assert_ptr_nonnull(strstr(body_error("{\"messages\":[{\"role\":1}]}"),
                                 "messages[0].role"));
    ck_assert_ptr_nonnull(
        strstr(body_error("{\"messages\":[{\"role\":\"u\",\"content\":\"c\"}],"
                          "\"max_tokens\":0}"),
               "max_tokens"));
    ck_assert_ptr_nonnull(strstr(body_error("\xff{}"), "UTF-8"));
    ck_assert_ptr_nonnull(strstr(body_error("\xed\xa0\x80"), "UTF-8"));
}
END_TEST

/* Bodies corrupted at random, with a fixed seed, are parsed or rejected with
 * an error. */
START_TEST(corrupted_bodies_are_parsed_or_rejected)
{
    static const char good[] =
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":"
        "\"h\\u00e9 "
        "\"},{\"role\":\"user\",\"content\":\"x\"}],\"stream\":true}";
    rng_t rng = {11};
    for (int i = 0; i < 20000; i++) {
        char text[sizeof(good)];
        err_t err = {0};
        memcpy(text, good, sizeof(good));
        for (uint64_t n = 1 + rng_below(&rng, 4); n > 0; n--) {
            text[rng_below(&rng, sizeof(good) - 1)] =
                (char)rng_below(&rng, 256);
        }
        json_t *body =
            chat_body_parse(text, rng_below(&rng, sizeof(good)), &err);
        ck_assert(body != NULL || err.text[0] != '\0');
        json_decref(body);
    }
}
END_TEST

TEST_MAIN("command", queries_filter_sort_and_limit, errors_name_the_word,
          quotes_preserve_blanks, fields_are_typed_and_keys_are_hashed,
          commands_are_sorted_by_name, errors_of_bodies_name_the_field,
          corrupted_bodies_are_parsed_or_rejected)
