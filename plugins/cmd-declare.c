#include "../kernel/command.h"

#include <string.h>

/* declare, set and remove share their form: KIND NAME [FIELD=VALUE …]. */

static int
change(command_ask_t *ask, change_kind_t kind)
{
    if (ask->count < 3) {
        return command_error(ask, ask->count - 1,
                             "a kind and a name are needed");
    }
    const char *section = config_find_section(ask->words[1]);
    if (section == NULL) {
        return command_error(ask, 1,
                             "unknown kind %.40s; allowed: workspace, model, "
                             "service, backend, window, operator",
                             ask->words[1]);
    }
    if (!str_is_name(ask->words[2])) {
        return command_error(ask, 2,
                             "%.40s cannot be a name; allowed: letters, "
                             "digits, dashes, dots, underscores",
                             ask->words[2]);
    }
    CLEAN_JSON json_t *fields = command_fields(ask, 3);
    if (fields == NULL) {
        return -1;
    }
    change_t order = {kind, section, ask->words[2], fields};
    return command_commit(ask, &order);
}

static int
run_declare(command_ask_t *ask)
{
    return change(ask, CHANGE_DECLARE);
}

static int
run_set(command_ask_t *ask)
{
    return change(ask, CHANGE_SET);
}

static int
run_remove(command_ask_t *ask)
{
    return change(ask, CHANGE_REMOVE);
}

static command_t commands[] = {
    {.name = "declare",
     .usage = "declare KIND NAME FIELD=VALUE …",
     .about = "adds a workspace, model, service, backend, window or operator",
     .changes = true,
     .run = run_declare},
    {.name = "set",
     .usage = "set KIND NAME FIELD=VALUE …",
     .about = "changes fields of what is declared",
     .changes = true,
     .run = run_set},
    {.name = "remove",
     .usage = "remove KIND NAME",
     .about = "takes a declaration back",
     .changes = true,
     .run = run_remove},
};

__attribute__((constructor)) static void
cmd_declare_register(void)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        command_register(&commands[i]);
    }
}
