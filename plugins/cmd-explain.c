#include "../kernel/command.h"

#include <string.h>

/* explain request ID: the events of a request, which show its placement.
 * explain backend NAME: its availability and the requests running on it. */

#define EVENTS_MAX 200

static int
explain_request(command_context_t *context)
{
    json_t *rows = event_list_recent(context->words[2], NULL, EVENTS_MAX);
    if (json_array_size(rows) == 0) {
        json_decref(rows);
        return command_error(context, 2,
                             "no events of request %.40s on this daemon; ask "
                             "the daemon that served it",
                             context->words[2]);
    }
    context->result = json_pack("{s:o}", "rows", rows);
    return 0;
}

static int
explain_backend(command_context_t *context)
{
    celeryspoold_t *daemon = context->daemon;
    config_t *config = daemon_config(daemon);
    const backend_t *backend = config_find_backend(config, context->words[2]);
    if (backend == NULL) {
        config_release(config);
        return command_error(context, 2, "%.40s is not declared",
                             context->words[2]);
    }
    backend_state_t state = {0};
    (void)view_get(daemon->view, view_assign_id(daemon->view, backend->name),
                   &state);
    json_t *running = calls_to_json(daemon);
    for (size_t i = json_array_size(running); i > 0; i--) {
        const char *server =
            json_get_string(json_array_get(running, i - 1), "backend");
        if (server == NULL || strcmp(server, backend->name) != 0) {
            (void)json_array_remove(running, i - 1);
        }
    }
    context->result = json_pack(
        "{s:s,s:s,s:b,s:i,s:i,s:i,s:o}", "name", backend->name, "open",
        availability_name(
            config_backend_availability(config, backend, time_wall_ms())),
        "host_leaving", state.host_leaving, "running_there",
        state.load_report.running, "running_from_here", state.own_running,
        "failures", (int)state.consecutive_failures, "rows", running);
    config_release(config);
    return 0;
}

static int
run(command_context_t *context)
{
    if (context->word_count == 3 &&
        strcmp(context->words[1], "request") == 0) {
        return explain_request(context);
    }
    if (context->word_count == 3 &&
        strcmp(context->words[1], "backend") == 0) {
        return explain_backend(context);
    }
    return command_error(context, context->word_count > 1 ? 1 : 0,
                         "allowed: explain request ID, explain backend NAME");
}

static command_t command = {
    .name = "explain",
    .usage = "explain request ID | explain backend NAME",
    .about = "shows a request's events or a backend server's state",
    .run = run};

__attribute__((constructor)) static void
cmd_explain_register(void)
{
    command_register(&command);
}
