#include "command.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

static CK_SLIST_HEAD(commands,
                     command) commands = CK_SLIST_HEAD_INITIALIZER(commands);

/* Add a command to the list, which is sorted by name.  Called before main by
 * each command's constructor. */
void
command_register(command_t *command)
{
    command_t *previous = NULL;
    command_t *next;
    CK_SLIST_FOREACH (next, &commands, entry) {
        if (strcmp(next->name, command->name) > 0) {
            break;
        }
        previous = next;
    }
    if (previous == NULL) {
        CK_SLIST_INSERT_HEAD(&commands, command, entry);
    }
    else {
        CK_SLIST_INSERT_AFTER(previous, command, entry);
    }
}

const command_t *
command_find(const char *name)
{
    command_t *command;
    CK_SLIST_FOREACH (command, &commands, entry) {
        if (strcmp(command->name, name) == 0) {
            return command;
        }
    }
    return NULL;
}

/* The command after the given one, or the first command if that is NULL. */
const command_t *
command_next(const command_t *command)
{
    return command == NULL ? CK_SLIST_FIRST(&commands)
                           : CK_SLIST_NEXT(command, entry);
}

/* Set an error about one word of the line; returns -1. */
int
command_error(command_context_t *context, size_t word, const char *fmt, ...)
{
    char text[256];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    context->error_word = word;
    return err_set(&context->err, ERR_COMMAND, 400, "%s", text);
}

static char *
skip_blanks(char *at)
{
    while (isspace((unsigned char)*at)) {
        at++;
    }
    return at;
}

/* Remove the quotes of one word in place and return what follows it; sets
 * unclosed if a quote is not closed. */
static char *
unquote_word(char *at, bool *unclosed)
{
    char *out = at;
    char quote = '\0';
    while (*at != '\0' && (quote != '\0' || !isspace((unsigned char)*at))) {
        if (quote == '\0' && (*at == '"' || *at == '\'')) {
            quote = *at++;
        }
        else if (quote != '\0' && *at == quote) {
            quote = '\0';
            at++;
        }
        else {
            *out++ = *at++;
        }
    }
    *unclosed = quote != '\0';
    if (*at != '\0') {
        at++;
    }
    *out = '\0';
    return at;
}

/* Split a line into words in place; blanks within quotes do not separate
 * words.  Returns 0 with an error on failure. */
size_t
command_split(char *line, char **words, size_t max, err_t *err)
{
    size_t count = 0;
    char *at = skip_blanks(line);
    while (*at != '\0') {
        bool unclosed;
        if (count == max) {
            (void)err_set(err, ERR_COMMAND, 400, "more than %zu words", max);
            return 0;
        }
        words[count++] = at;
        at = unquote_word(at, &unclosed);
        if (unclosed) {
            (void)err_set(err, ERR_COMMAND, 400, "a quote is not closed");
            return 0;
        }
        at = skip_blanks(at);
    }
    return count;
}

static json_t *
parse_value(const char *text)
{
    char *end;
    if (strcmp(text, "true") == 0 || strcmp(text, "yes") == 0) {
        return json_true();
    }
    if (strcmp(text, "false") == 0 || strcmp(text, "no") == 0) {
        return json_false();
    }
    long long number = strtoll(text, &end, 10);
    if (*text != '\0' && *end == '\0') {
        return json_integer(number);
    }
    return json_string(text);
}

static int
add_field(command_context_t *context, json_t *fields, size_t word)
{
    char key[CS_NAME_MAX];
    const char *text = context->words[word];
    const char *separator = strchr(text, '=');
    if (separator == NULL || separator == text ||
        (size_t)(separator - text) >= sizeof(key)) {
        return command_error(context, word, "%.60s is not FIELD=VALUE", text);
    }
    memcpy(key, text, (size_t)(separator - text));
    key[separator - text] = '\0';
    if (json_object_get(fields, key) != NULL) {
        return command_error(context, word, "%s is given twice", key);
    }
    /* The configuration holds only the hash of a key. */
    if (strcmp(key, "key") == 0) {
        char hash[KEY_HASH_LEN + 1];
        config_hash_key(separator + 1, hash);
        return json_object_set_new(fields, "key_hash", json_string(hash));
    }
    bool is_text = strcmp(key, "version") == 0 || strcmp(key, "target") == 0 ||
                   strcmp(key, "serves") == 0 || strcmp(key, "dc") == 0;
    return json_object_set_new(
        fields, key,
        is_text ? json_string(separator + 1) : parse_value(separator + 1));
}

/* Parses the words from index first_word on as FIELD=VALUE.  Returns NULL with
 * an error on failure. */
json_t *
command_fields(command_context_t *context, size_t first_word)
{
    json_t *fields = json_object();
    for (size_t i = first_word; i < context->word_count; i++) {
        if (add_field(context, fields, i) != 0) {
            json_decref(fields);
            return NULL;
        }
    }
    return fields;
}

/* Commit a change on behalf of the operator. */
int
command_commit(command_context_t *context, const change_t *change)
{
    char description[200];
    (void)snprintf(description, sizeof(description), "%s %s %s",
                   context->words[0], change->section,
                   change->name == NULL ? "" : change->name);
    return config_sync_commit(context->daemon, change, context->operator_name,
                              description, context->if_generation,
                              &context->result, &context->err);
}

static json_t *
error_reply(const command_context_t *context)
{
    json_t *reply = json_pack(
        "{s:{s:s,s:s,s:i}}", "error", "layer",
        err_layer_name(context->err.layer), "message", context->err.text,
        "word",
        context->err.layer == ERR_COMMAND ? (int)context->error_word : -1);
    if (context->result != NULL) {
        (void)json_object_update(reply, context->result);
    }
    return reply;
}

static int
run_command(command_context_t *context)
{
    if (context->word_count == 0) {
        return command_error(context, 0, "no command; try help");
    }
    const command_t *command = command_find(context->words[0]);
    if (command == NULL) {
        return command_error(context, 0, "unknown command %.60s; try help",
                             context->words[0]);
    }
    return command->run(context);
}

/* Run a command line and set its reply and HTTP status.  May block. */
int
command_run(celeryspoold_t *daemon, const char *operator_name,
            const char *line, int64_t if_generation, json_t **reply,
            int *status)
{
    CLEAN_TEXT char *copy = strdup(line);
    command_context_t context = {.daemon = daemon,
                                 .operator_name = operator_name,
                                 .line = line,
                                 .if_generation = if_generation};
    context.word_count =
        command_split(copy, context.words, COMMAND_WORDS_MAX, &context.err);
    int failed = context.err.layer != ERR_NONE || run_command(&context) != 0;
    if (failed) {
        *status = context.err.code >= 400 ? context.err.code : 500;
        *reply = error_reply(&context);
        json_decref(context.result);
        return -1;
    }
    *status = 200;
    *reply = context.result != NULL ? context.result : json_object();
    return 0;
}
