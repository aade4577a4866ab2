#include "../kernel/command.h"

#include <string.h>

/* policy NAME and objective tail|hits change how requests are placed. */

static int
set_top(command_ask_t *ask, const char *key)
{
    CLEAN_JSON json_t *fields = json_pack("{s:s}", key, ask->words[1]);
    change_t order = {CHANGE_SET, "top", key, fields};
    return command_commit(ask, &order);
}

static int
run_policy(command_ask_t *ask)
{
    CLEAN_BUF buf_t list = {0};
    for (const policy_t *policy = policy_next(NULL); policy != NULL;
         policy = policy_next(policy)) {
        buf_fmt(&list, "%s%s", list.len > 0 ? ", " : "", policy->name);
    }
    if (ask->count != 2 || policy_find(ask->words[1]) == NULL) {
        return command_error(ask, ask->count > 1 ? 1 : 0,
                             "a policy is needed; allowed: %s",
                             buf_text(&list));
    }
    return set_top(ask, "policy");
}

static int
run_objective(command_ask_t *ask)
{
    if (ask->count != 2 || (strcmp(ask->words[1], "tail") != 0 &&
                            strcmp(ask->words[1], "hits") != 0)) {
        return command_error(ask, ask->count > 1 ? 1 : 0,
                             "an objective is needed; allowed: tail, hits");
    }
    return set_top(ask, "objective");
}

static command_t commands[] = {
    {.name = "policy",
     .usage = "policy NAME",
     .about = "chooses how requests are placed",
     .changes = true,
     .run = run_policy},
    {.name = "objective",
     .usage = "objective tail|hits",
     .about = "weighs time to first token, or hits and waste, first",
     .changes = true,
     .run = run_objective},
};

__attribute__((constructor)) static void
cmd_policy_register(void)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        command_register(&commands[i]);
    }
}
