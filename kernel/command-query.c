#include "command.h"

#include <stdlib.h>
#include <string.h>

/* The clauses of a query: where FIELD=VALUE …, sort [-]FIELD, limit N.  A
 * comparison is =, !=, < or >; numbers are compared as numbers. */

typedef enum {
    COMPARE_EQUAL,
    COMPARE_NOT_EQUAL,
    COMPARE_LESS,
    COMPARE_GREATER
} comparison_kind_t;

typedef struct {
    char field[CS_NAME_MAX];
    comparison_kind_t kind;
    const char *value;
} comparison_t;

static int
compare_values(const json_t *a, const json_t *b)
{
    if (json_is_number(a) && json_is_number(b)) {
        double x = json_number_value(a);
        double y = json_number_value(b);
        return (x > y) - (x < y);
    }
    const char *x = json_string_value(a);
    const char *y = json_string_value(b);
    return strcmp(x == NULL ? "" : x, y == NULL ? "" : y);
}

static int
compare_text(const json_t *value, const char *text)
{
    if (json_is_boolean(value)) {
        return strcmp(json_is_true(value) ? "true" : "false", text);
    }
    if (json_is_number(value)) {
        double x = json_number_value(value);
        double y = strtod(text, NULL);
        return (x > y) - (x < y);
    }
    const char *string = json_string_value(value);
    return strcmp(string == NULL ? "" : string, text);
}

static bool
row_matches(const comparison_t *comparison, const json_t *row)
{
    const json_t *value = json_object_get(row, comparison->field);
    int order = compare_text(value, comparison->value);
    switch (comparison->kind) {
        case COMPARE_EQUAL:
            return order == 0;
        case COMPARE_NOT_EQUAL:
            return order != 0;
        case COMPARE_LESS:
            return order < 0;
        case COMPARE_GREATER:
            return order > 0;
    }
    return false;
}

static int
parse_comparison(command_context_t *context, size_t word,
                 comparison_t *comparison)
{
    const char *text = context->words[word];
    size_t len = strcspn(text, "=<>!");
    if (len == 0 || len >= sizeof(comparison->field) || text[len] == '\0') {
        return command_error(context, word,
                             "%.60s is not a comparison; expected: FIELD=V, "
                             "FIELD!=V, FIELD<V, FIELD>V",
                             text);
    }
    memcpy(comparison->field, text, len);
    comparison->field[len] = '\0';
    bool not_equal = text[len] == '!';
    if (not_equal && text[len + 1] != '=') {
        return command_error(context, word, "! must be followed by =");
    }
    comparison->kind = not_equal          ? COMPARE_NOT_EQUAL
                       : text[len] == '=' ? COMPARE_EQUAL
                       : text[len] == '<' ? COMPARE_LESS
                                          : COMPARE_GREATER;
    comparison->value = text + len + (not_equal ? 2 : 1);
    return 0;
}

static int
check_field(command_context_t *context, size_t word, const char *field,
            const json_t *rows)
{
    const json_t *first = json_array_get(rows, 0);
    if (first == NULL || json_object_get(first, field) != NULL) {
        return 0;
    }
    CLEAN_BUF buf_t list = {0};
    const char *key;
    json_t *value;
    json_object_foreach ((json_t *)first, key, value) {
        buf_fmt(&list, "%s%s", list.len > 0 ? ", " : "", key);
    }
    return command_error(context, word, "unknown field %.40s; allowed: %.160s",
                         field, buf_text(&list));
}

static int
filter_rows(command_context_t *context, size_t word, json_t *rows)
{
    comparison_t comparison = {.value = ""};
    if (parse_comparison(context, word, &comparison) != 0 ||
        check_field(context, word, comparison.field, rows) != 0) {
        return -1;
    }
    for (size_t i = json_array_size(rows); i > 0; i--) {
        if (!row_matches(&comparison, json_array_get(rows, i - 1))) {
            (void)json_array_remove(rows, i - 1);
        }
    }
    return 0;
}

/* A stable insertion sort; lists are short. */
static void
sort_rows(json_t *rows, const char *field, bool descending)
{
    for (size_t i = 1; i < json_array_size(rows); i++) {
        json_t *row = json_incref(json_array_get(rows, i));
        const json_t *value = json_object_get(row, field);
        size_t position = i;
        while (position > 0) {
            const json_t *previous =
                json_object_get(json_array_get(rows, position - 1), field);
            int order = compare_values(previous, value);
            if (descending ? order >= 0 : order <= 0) {
                break;
            }
            position--;
        }
        (void)json_array_remove(rows, i);
        (void)json_array_insert_new(rows, position, row);
    }
}

static int
apply_sort(command_context_t *context, size_t word, json_t *rows)
{
    if (word >= context->word_count) {
        return command_error(context, word - 1, "sort needs a field");
    }
    const char *field = context->words[word];
    bool descending = field[0] == '-';
    if (check_field(context, word, field + descending, rows) != 0) {
        return -1;
    }
    sort_rows(rows, field + descending, descending);
    return 0;
}

static int
apply_limit(command_context_t *context, size_t word, json_t *rows)
{
    char *end;
    if (word >= context->word_count) {
        return command_error(context, word - 1, "limit needs a number");
    }
    unsigned long max = strtoul(context->words[word], &end, 10);
    if (*end != '\0' || end == context->words[word]) {
        return command_error(context, word, "%.40s is not a number",
                             context->words[word]);
    }
    while (json_array_size(rows) > max) {
        (void)json_array_remove(rows, json_array_size(rows) - 1);
    }
    return 0;
}

/* Apply the clauses from index first_word on to the rows, which become the
 * result.  On failure the rows are freed. */
int
command_query_apply(command_context_t *context, size_t first_word,
                    json_t **rows)
{
    bool where = false;
    for (size_t i = first_word; i < context->word_count; i++) {
        const char *word = context->words[i];
        int failed;
        if (strcmp(word, "where") == 0) {
            where = true;
            continue;
        }
        if (strcmp(word, "sort") == 0) {
            failed = apply_sort(context, ++i, *rows);
        }
        else if (strcmp(word, "limit") == 0) {
            failed = apply_limit(context, ++i, *rows);
        }
        else if (where) {
            failed = filter_rows(context, i, *rows);
        }
        else {
            failed =
                command_error(context, i,
                              "unknown clause %.40s; allowed: where, sort, "
                              "limit",
                              word);
        }
        if (failed != 0) {
            json_decref(*rows);
            return -1;
        }
    }
    context->result = json_pack("{s:o}", "rows", *rows);
    return 0;
}
