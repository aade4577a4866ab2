#ifndef CELERYSPOOL_COMMAND_H
#define CELERYSPOOL_COMMAND_H

/* The query and command language.  A command is a plug-in that registers
 * itself; the table of all of them also is the help. */

#include "daemon.h"

#define COMMAND_WORDS_MAX 64

typedef struct {
    celeryspoold_t *daemon;
    const char *who;
    const char *line;
    char *words[COMMAND_WORDS_MAX];
    size_t count;
    int64_t if_generation; /* -1 for whichever is in force */
    json_t *result;        /* rows or what was accepted */
    err_t err;
    size_t bad_word; /* the word that an error points at */
} command_ask_t;

typedef struct command {
    const char *name;
    const char *usage;
    const char *about;
    bool changes;
    int (*run)(command_ask_t *ask);
    CK_SLIST_ENTRY(command) entry;
} command_t;

void command_register(command_t *command);
const command_t *command_find(const char *name);
const command_t *command_next(const command_t *command);
int command_run(celeryspoold_t *daemon, const char *who, const char *line,
                int64_t if_generation, json_t **reply, int *status);
int command_error(command_ask_t *ask, size_t word, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
json_t *command_fields(command_ask_t *ask, size_t from);
int command_commit(command_ask_t *ask, const change_t *change);
size_t command_split(char *line, char **words, size_t max, err_t *err);
int query_apply(command_ask_t *ask, size_t from, json_t **rows);

#endif
