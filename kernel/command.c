#include "command.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

static CK_SLIST_HEAD(commands,
                     command) commands = CK_SLIST_HEAD_INITIALIZER(commands);

/* Called by each command's constructor before main; the table is kept in
 * the order of names. */
void
command_register(command_t *command)
{
    command_t *before = NULL;
    command_t *at;
    CK_SLIST_FOREACH (at, &commands, entry) {
        if (strcmp(at->name, command->name) > 0) {
            break;
        }
        before = at;
    }
    if (before == NULL) {
        CK_SLIST_INSERT_HEAD(&commands, command, entry);
    }
    else {
        CK_SLIST_INSERT_AFTER(before, command, entry);
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

/* Walk all commands; NULL begins. */
const command_t *
command_next(const command_t *command)
{
    return command == NULL ? CK_SLIST_FIRST(&commands)
                           : CK_SLIST_NEXT(command, entry);
}

/* Fail, pointing at a word of the line. */
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
skip_blank(char *at)
{
    while (isspace((unsigned char)*at)) {
        at++;
    }
    return at;
}

/* The end of one word; quotes are taken away in place. */
static char *
take_word(char *at, bool *open)
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
    *open = quote != '\0';
    if (*at != '\0') {
        at++;
    }
    *out = '\0';
    return at;
}

/* Split a line into words, in place; quotes keep blanks together. */
size_t
command_split(char *line, char **words, size_t max, err_t *err)
{
    size_t count = 0;
    char *at = skip_blank(line);
    while (*at != '\0') {
        bool open;
        if (count == max) {
            (void)err_set(err, ERR_COMMAND, 400, "over %zu words", max);
            return 0;
        }
        words[count++] = at;
        at = take_word(at, &open);
        if (open) {
            (void)err_set(err, ERR_COMMAND, 400, "a quote is not closed");
            return 0;
        }
        at = skip_blank(at);
    }
    return count;
}

static json_t *
value_of(const char *text)
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
    const char *equals = strchr(text, '=');
    if (equals == NULL || equals == text ||
        (size_t)(equals - text) >= sizeof(key)) {
        return command_error(context, word, "%.60s is not FIELD=VALUE", text);
    }
    memcpy(key, text, (size_t)(equals - text));
    key[equals - text] = '\0';
    if (json_object_get(fields, key) != NULL) {
        return command_error(context, word, "%s is given twice", key);
    }
    /* A key is kept only as its hash. */
    if (strcmp(key, "key") == 0) {
        char hash[KEY_HASH_LEN + 1];
        config_hash_key(equals + 1, hash);
        return json_object_set_new(fields, "key_hash", json_string(hash));
    }
    bool word_value = strcmp(key, "version") == 0 ||
                      strcmp(key, "target") == 0 ||
                      strcmp(key, "serves") == 0 || strcmp(key, "dc") == 0;
    return json_object_set_new(
        fields, key,
        word_value ? json_string(equals + 1) : value_of(equals + 1));
}

/* The words from one on as FIELD=VALUE; NULL with an error. */
json_t *
command_fields(command_context_t *context, size_t from)
{
    json_t *fields = json_object();
    for (size_t i = from; i < context->word_count; i++) {
        if (add_field(context, fields, i) != 0) {
            json_decref(fields);
            return NULL;
        }
    }
    return fields;
}

/* Commit a change in the name of who asked. */
int
command_commit(command_context_t *context, const change_t *change)
{
    char what[200];
    (void)snprintf(what, sizeof(what), "%s %s %s", context->words[0],
                   change->section, change->name == NULL ? "" : change->name);
    return config_sync_commit(context->daemon, change, context->operator_name,
                              what, context->if_generation, &context->result,
                              &context->err);
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
run_words(command_context_t *context)
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

/* Run a line and give its reply and HTTP status.  May block. */
int
command_run(celeryspoold_t *daemon, const char *who, const char *line,
            int64_t if_generation, json_t **reply, int *status)
{
    CLEAN_TEXT char *copy = strdup(line);
    command_context_t context = {.daemon = daemon,
                                 .operator_name = who,
                                 .line = line,
                                 .if_generation = if_generation};
    context.word_count =
        command_split(copy, context.words, COMMAND_WORDS_MAX, &context.err);
    int failed = context.err.layer != ERR_NONE || run_words(&context) != 0;
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
