#ifndef CELERYSPOOL_COMMAND_H
#define CELERYSPOOL_COMMAND_H

/* The query and command language.  Each command is a plug-in that registers
 * itself in the list of commands, which help prints. */

#include "daemon.h"

#define COMMAND_WORDS_MAX 64

typedef struct {
    celeryspoold_t *daemon;
    const char *operator_name;
    const char *line;
    char *words[COMMAND_WORDS_MAX];
    size_t word_count;
    int64_t if_generation; /* generation to change; -1 for any */
    json_t *result;        /* rows, or the outcome of a change */
    err_t err;
    size_t error_word; /* index of the word that the error is about */
} command_context_t;

typedef struct command {
    const char *name;
    const char *usage;
    const char *about;
    bool changes_config;
    int (*run)(command_context_t *context);
    CK_SLIST_ENTRY(command) entry;
} command_t;

void command_register(command_t *command);
const command_t *command_find(const char *name);
const command_t *command_next(const command_t *command);
int command_run(celeryspoold_t *daemon, const char *operator_name,
                const char *line, int64_t if_generation, json_t **reply,
                int *status);
int command_error(command_context_t *context, size_t word, const char *fmt,
                  ...) __attribute__((format(printf, 3, 4)));
json_t *command_fields(command_context_t *context, size_t first_word);
int command_commit(command_context_t *context, const change_t *change);
size_t command_split(char *line, char **words, size_t max, err_t *err);
int command_query_apply(command_context_t *context, size_t first_word,
                        json_t **rows);

#endif
