#include "../kernel/command.h"

/* rollout MODEL VERSION: the wanted weights change; the daemons bring the
 * servers to them, a few at a time. */
static int
run(command_context_t *context)
{
    if (context->word_count != 3) {
        return command_error(
            context, context->word_count > 3 ? 3 : context->word_count - 1,
            "a model and a version are needed");
    }
    CLEAN_JSON json_t *fields =
        json_pack("{s:s}", "version", context->words[2]);
    change_t order = {CHANGE_SET, "models", context->words[1], fields};
    return command_commit(context, &order);
}

static command_t command = {
    .name = "rollout",
    .usage = "rollout MODEL VERSION",
    .about = "brings all servers of a model to weights",
    .changes_config = true,
    .run = run};

__attribute__((constructor)) static void
cmd_rollout_register(void)
{
    command_register(&command);
}
