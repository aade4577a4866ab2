#include "../kernel/daemon.h"
#include "../relay/relay.h"

#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "celeryspoold " CS_VERSION;

typedef struct {
    const char *settings;
    bool check;
    bool describe;
} daemon_args_t;

#define SERVE_STEP_MS 50
/* Where no file is named, the platform's variable names it. */
#define SETTINGS_VARIABLE "CELERYSPOOL_CONFIG"

static volatile sig_atomic_t stop_signals;

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "settings file (INI)", 0},
    {"check", 'c', NULL, 0, "check the settings and exit", 0},
    {"help-settings", 'S', NULL, 0, "list all settings and exit", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    daemon_args_t *args = state->input;
    switch (key) {
        case 's':
            args->settings = arg;
            return 0;
        case 'c':
            args->check = true;
            return 0;
        case 'S':
            args->describe = true;
            return 0;
        case ARGP_KEY_END:
            if (args->settings == NULL) {
                args->settings = getenv(SETTINGS_VARIABLE);
            }
            if (args->settings == NULL && !args->describe) {
                argp_error(state, "--settings is needed");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options,
    parse_option,
    NULL,
    "A router for language-model traffic.\vExit status: 0 after a graceful "
    "stop, 3 for bad settings, 4 for an address that cannot be had.",
    NULL,
    NULL,
    NULL};

static void
on_signal(int number)
{
    (void)number;
    stop_signals++;
}

/* Serve until asked to stop; then leave: stay for the balancer's sake, close
 * the door, serve what is inside, go. */
static void
serve(celeryspoold_t *daemon)
{
    while (stop_signals == 0) {
        time_sleep_ms(SERVE_STEP_MS);
    }
    int seen = 1;
    daemon_leave(daemon);
    int64_t door = time_mono_ms() + daemon->settings.shutdown_grace_ms;
    bool closed = false;
    while (!closed || !daemon_left(daemon)) {
        time_sleep_ms(SERVE_STEP_MS);
        if (stop_signals > seen) {
            seen = stop_signals;
            daemon_leave(daemon);
        }
        if (!closed && time_mono_ms() >= door) {
            http_server_quiesce(daemon->server);
            closed = true;
        }
    }
    int64_t last = time_mono_ms() + daemon->settings.shutdown_grace_ms;
    while (http_server_connections(daemon->server) > 0 &&
           time_mono_ms() < last) {
        time_sleep_ms(SERVE_STEP_MS);
    }
}

/* The router on the users' platform: records go to standard output. */
static int
run_relay(const settings_t *settings, const char *path)
{
    err_t err = {0};
    log_setup_records();
    if (relay_run(settings, path, &err) != 0) {
        log_error("daemon", "%s.", err.text);
        log_flush();
        return EXIT_UNREACHABLE;
    }
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    daemon_args_t args = {0};
    settings_t settings;
    err_t err = {0};
    CLEAN_BUF buf_t problems = {0};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    if (args.describe) {
        settings_print_help(stdout);
        return EXIT_SUCCESS;
    }
    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    if (settings_read(&settings, args.settings, &problems) != 0) {
        (void)fputs(buf_text(&problems), stderr);
        return EXIT_SETTINGS;
    }
    if (args.check) {
        (void)printf("%s: good\n", args.settings);
        return EXIT_SUCCESS;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    log_setup(settings.name, (log_level_t)settings.log_level);
    if (settings.mode == MODE_RELAY) {
        return run_relay(&settings, args.settings);
    }
    if (event_setup(settings.name, settings.event_log) != 0) {
        log_error("daemon", "The event log %s cannot be opened.",
                  settings.event_log);
        return EXIT_SETTINGS;
    }
    celeryspoold_t *daemon = daemon_start(&settings, &err);
    if (daemon == NULL) {
        log_error("daemon", "%s.", err.text);
        return EXIT_UNREACHABLE;
    }
    serve(daemon);
    event_emit(&(event_t){.kind = "daemon-stopped"});
    daemon_stop(daemon);
    log_info("daemon", "Stopped; nothing was cut.");
    event_close();
    return EXIT_SUCCESS;
}
