#include "../kernel/command.h"

/* drain and undrain BACKEND. */

static int
set_drain(command_ask_t *ask, bool drain)
{
    if (ask->count != 2) {
        return command_error(ask, ask->count > 2 ? 2 : 0,
                             "the name of one backend server is needed");
    }
    CLEAN_JSON json_t *fields = json_pack("{s:b}", "drain", drain);
    change_t order = {CHANGE_SET, "backends", ask->words[1], fields};
    return command_commit(ask, &order);
}

static int
run_drain(command_ask_t *ask)
{
    return set_drain(ask, true);
}

static int
run_undrain(command_ask_t *ask)
{
    return set_drain(ask, false);
}

static command_t commands[] = {
    {.name = "drain",
     .usage = "drain BACKEND",
     .about = "gives a backend server no new work; what runs there ends",
     .changes = true,
     .run = run_drain},
    {.name = "undrain",
     .usage = "undrain BACKEND",
     .about = "gives a backend server work again",
     .changes = true,
     .run = run_undrain},
};

__attribute__((constructor)) static void
cmd_drain_register(void)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        command_register(&commands[i]);
    }
}
