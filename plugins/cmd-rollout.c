#include "../kernel/command.h"

/* rollout MODEL VERSION: changes the weights version of a model.  The daemons
 * then have its backend servers load the version, a few at a time. */
static int
run(command_context_t *context)
{
    if (context->word_count != 3) {
        return command_error(
            context, context->word_count > 3 ? 3 : context->word_count - 1,
            "a model and a version are required");
    }
    CLEAN_JSON json_t *fields =
        json_pack("{s:s}", "version", context->words[2]);
    change_t change = {CHANGE_SET, "models", context->words[1], fields};
    return command_commit(context, &change);
}

static command_t command = {
    .name = "rollout",
    .usage = "rollout MODEL VERSION",
    .about = "rolls out a weights version to all servers of a model",
    .changes_config = true,
    .run = run};

__attribute__((constructor)) static void
cmd_rollout_register(void)
{
    command_register(&command);
}
