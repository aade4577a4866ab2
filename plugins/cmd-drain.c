#include "../kernel/command.h"

/* drain BACKEND and undrain BACKEND. */

static int
set_drain(command_context_t *context, bool drain)
{
    if (context->word_count != 2) {
        return command_error(context, context->word_count > 2 ? 2 : 0,
                             "the name of one backend server is required");
    }
    CLEAN_JSON json_t *fields = json_pack("{s:b}", "drain", drain);
    change_t change = {CHANGE_SET, "backends", context->words[1], fields};
    return command_commit(context, &change);
}

static int
run_drain(command_context_t *context)
{
    return set_drain(context, true);
}

static int
run_undrain(command_context_t *context)
{
    return set_drain(context, false);
}

static command_t commands[] = {
    {.name = "drain",
     .usage = "drain BACKEND",
     .about = "gives a backend server no new requests; running ones go on",
     .changes_config = true,
     .run = run_drain},
    {.name = "undrain",
     .usage = "undrain BACKEND",
     .about = "gives a backend server new requests again",
     .changes_config = true,
     .run = run_undrain},
};

__attribute__((constructor)) static void
cmd_drain_register(void)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        command_register(&commands[i]);
    }
}
