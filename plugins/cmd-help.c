#include "../kernel/command.h"

/* help: lists the commands. */
static int
run(command_context_t *context)
{
    json_t *rows = json_array();
    for (const command_t *command = command_next(NULL); command != NULL;
         command = command_next(command)) {
        (void)json_array_append_new(
            rows, json_pack("{s:s,s:s,s:s,s:b}", "name", command->name,
                            "usage", command->usage, "about", command->about,
                            "changes", command->changes_config));
    }
    return command_query_apply(context, 1, &rows);
}

static command_t command = {.name = "help",
                            .usage = "help",
                            .about = "lists the commands",
                            .run = run};

__attribute__((constructor)) static void
cmd_help_register(void)
{
    command_register(&command);
}
