#include "../kernel/command.h"

#include <string.h>

/* policy NAME and objective tail|hits: change how requests are placed. */

static int
set_top_level(command_context_t *context, const char *key)
{
    CLEAN_JSON json_t *fields = json_pack("{s:s}", key, context->words[1]);
    change_t change = {CHANGE_SET, "top", key, fields};
    return command_commit(context, &change);
}

static int
run_policy(command_context_t *context)
{
    CLEAN_BUF buf_t list = {0};
    for (const policy_t *policy = policy_next(NULL); policy != NULL;
         policy = policy_next(policy)) {
        buf_fmt(&list, "%s%s", list.len > 0 ? ", " : "", policy->name);
    }
    if (context->word_count != 2 || policy_find(context->words[1]) == NULL) {
        return command_error(context, context->word_count > 1 ? 1 : 0,
                             "a policy is required; allowed: %s",
                             buf_text(&list));
    }
    return set_top_level(context, "policy");
}

static int
run_objective(command_context_t *context)
{
    if (context->word_count != 2 || (strcmp(context->words[1], "tail") != 0 &&
                                     strcmp(context->words[1], "hits") != 0)) {
        return command_error(context, context->word_count > 1 ? 1 : 0,
                             "an objective is required; allowed: tail, hits");
    }
    return set_top_level(context, "objective");
}

static command_t commands[] = {
    {.name = "policy",
     .usage = "policy NAME",
     .about = "sets the placement policy",
     .changes_config = true,
     .run = run_policy},
    {.name = "objective",
     .usage = "objective tail|hits",
     .about = "sets what placement optimizes first: latency or cache hits",
     .changes_config = true,
     .run = run_objective},
};

__attribute__((constructor)) static void
cmd_policy_register(void)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        command_register(&commands[i]);
    }
}
