#include "../kernel/command.h"

#include <string.h>

/* explain request ID: why it went where it went.
 * explain backend NAME: why it is not empty yet, or takes no work. */

#define EVENTS_MAX 200

static int
explain_request(command_ask_t *ask)
{
    json_t *rows = event_list_recent(ask->words[2], NULL, EVENTS_MAX);
    if (json_array_size(rows) == 0) {
        json_decref(rows);
        return command_error(ask, 2,
                             "this daemon knows no request %.40s; ask the one "
                             "that served it",
                             ask->words[2]);
    }
    ask->result = json_pack("{s:o}", "rows", rows);
    return 0;
}

static int
explain_backend(command_ask_t *ask)
{
    celeryspoold_t *daemon = ask->daemon;
    config_t *config = daemon_config(daemon);
    const backend_t *backend = config_backend(config, ask->words[2]);
    if (backend == NULL) {
        config_release(config);
        return command_error(ask, 2, "%.40s is not declared", ask->words[2]);
    }
    backend_state_t state = {0};
    (void)view_get(daemon->view, view_id(daemon->view, backend->name), &state);
    json_t *running = calls_rows(daemon);
    for (size_t i = json_array_size(running); i > 0; i--) {
        const char *at = json_text(json_array_get(running, i - 1), "backend");
        if (at == NULL || strcmp(at, backend->name) != 0) {
            (void)json_array_remove(running, i - 1);
        }
    }
    ask->result = json_pack(
        "{s:s,s:s,s:b,s:i,s:i,s:i,s:o}", "name", backend->name, "open",
        open_word(config_backend_open(config, backend, time_wall_ms())),
        "host_leaving", state.host_leaving, "running_there",
        state.load.running, "running_from_here", state.own_running, "failures",
        (int)state.failures, "rows", running);
    config_release(config);
    return 0;
}

static int
run(command_ask_t *ask)
{
    if (ask->count == 3 && strcmp(ask->words[1], "request") == 0) {
        return explain_request(ask);
    }
    if (ask->count == 3 && strcmp(ask->words[1], "backend") == 0) {
        return explain_backend(ask);
    }
    return command_error(ask, ask->count > 1 ? 1 : 0,
                         "allowed: explain request ID, explain backend NAME");
}

static command_t command = {
    .name = "explain",
    .usage = "explain request ID | explain backend NAME",
    .about = "tells why a request was placed so, or a server is not empty",
    .run = run};

__attribute__((constructor)) static void
cmd_explain_register(void)
{
    command_register(&command);
}
