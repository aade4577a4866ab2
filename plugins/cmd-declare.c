#include "../kernel/command.h"

#include <string.h>

/* declare, set and remove: KIND NAME [FIELD=VALUE …]. */

static int
commit_change(command_context_t *context, change_kind_t kind)
{
    if (context->word_count < 3) {
        return command_error(context, context->word_count - 1,
                             "a kind and a name are required");
    }
    const char *section = config_find_section(context->words[1]);
    if (section == NULL) {
        return command_error(context, 1,
                             "unknown kind %.40s; allowed: workspace, model, "
                             "service, backend, window, operator",
                             context->words[1]);
    }
    if (!str_is_name(context->words[2])) {
        return command_error(context, 2,
                             "%.40s is not a valid name; allowed: letters, "
                             "digits, dashes, dots, underscores",
                             context->words[2]);
    }
    CLEAN_JSON json_t *fields = command_fields(context, 3);
    if (fields == NULL) {
        return -1;
    }
    change_t change = {kind, section, context->words[2], fields};
    return command_commit(context, &change);
}

static int
run_declare(command_context_t *context)
{
    return commit_change(context, CHANGE_DECLARE);
}

static int
run_set(command_context_t *context)
{
    return commit_change(context, CHANGE_SET);
}

static int
run_remove(command_context_t *context)
{
    return commit_change(context, CHANGE_REMOVE);
}

static command_t commands[] = {
    {.name = "declare",
     .usage = "declare KIND NAME FIELD=VALUE …",
     .about = "adds a workspace, model, service, backend, window or operator",
     .changes_config = true,
     .run = run_declare},
    {.name = "set",
     .usage = "set KIND NAME FIELD=VALUE …",
     .about = "changes fields of a declared object",
     .changes_config = true,
     .run = run_set},
    {.name = "remove",
     .usage = "remove KIND NAME",
     .about = "removes a declared object",
     .changes_config = true,
     .run = run_remove},
};

__attribute__((constructor)) static void
cmd_declare_register(void)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        command_register(&commands[i]);
    }
}
