#include "../kernel/daemon.h"
#include "../relay/relay.h"

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "celeryspoold " CS_VERSION;

typedef struct {
    const char *settings;
    int descriptors; /* 0: not stated */
    bool check;
    bool help_settings;
} daemon_args_t;

#define POLL_INTERVAL_MS 50
#define DESCRIPTORS_MAX 1000000000
/* The platform's variable that names the settings file by default. */
#define SETTINGS_ENV "CELERYSPOOL_CONFIG"

static volatile sig_atomic_t stop_signal_count;

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "settings file (INI)", 0},
    {"descriptors", 'd', "COUNT", 0,
     "descriptors that the daemon may have open, unless the settings state "
     "them; empty: as many as the system allows",
     0},
    {"check", 'c', NULL, 0, "check the settings and exit", 0},
    {"help-settings", 'S', NULL, 0, "list all settings and exit", 0},
    {0},
};

/* Reads the value of --descriptors, which may be empty. */
static void
read_descriptors(daemon_args_t *args, const char *text,
                 struct argp_state *state)
{
    char *end;
    errno = 0;
    long count = strtol(text, &end, 10);
    if (errno != 0 || *end != '\0' || count < 0 || count > DESCRIPTORS_MAX) {
        argp_error(state, "--descriptors: \"%s\" is not a number from 0 to %d",
                   text, DESCRIPTORS_MAX);
    }
    args->descriptors = (int)count;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    daemon_args_t *args = state->input;
    switch (key) {
        case 's':
            args->settings = arg;
            return 0;
        case 'd':
            read_descriptors(args, arg, state);
            return 0;
        case 'c':
            args->check = true;
            return 0;
        case 'S':
            args->help_settings = true;
            return 0;
        case ARGP_KEY_END:
            if (args->settings == NULL) {
                args->settings = getenv(SETTINGS_ENV);
            }
            if (args->settings == NULL && !args->help_settings) {
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
    "stop, 3 for invalid settings, 4 for an address that cannot be used.  An "
    "address that another program holds, or that the host does not have yet, "
    "is waited for, and so is a settings file that is missing or ends too "
    "early.",
    NULL,
    NULL,
    NULL};

static void
on_signal(int number)
{
    (void)number;
    stop_signal_count++;
}

/* Serve until a stop is requested, then shut down gracefully: keep accepting
 * connections for the grace period, until the load balancer has noticed; stop
 * accepting and let all requests end; then wait for open connections to close,
 * at most for another grace period. */
static void
serve(celeryspoold_t *daemon)
{
    while (stop_signal_count == 0) {
        time_sleep_ms(POLL_INTERVAL_MS);
    }
    int handled_count = 1;
    daemon_drain(daemon);
    int64_t accept_until_ms =
        time_mono_ms() + daemon->settings.shutdown_grace_ms;
    bool stopped_accepting = false;
    while (!stopped_accepting || !daemon_is_drained(daemon)) {
        time_sleep_ms(POLL_INTERVAL_MS);
        if (stop_signal_count > handled_count) {
            handled_count = stop_signal_count;
            daemon_drain(daemon);
        }
        if (!stopped_accepting && time_mono_ms() >= accept_until_ms) {
            http_server_drain(daemon->http_server);
            stopped_accepting = true;
        }
    }
    int64_t close_deadline_ms =
        time_mono_ms() + daemon->settings.shutdown_grace_ms;
    while (http_server_connections(daemon->http_server) > 0 &&
           time_mono_ms() < close_deadline_ms) {
        time_sleep_ms(POLL_INTERVAL_MS);
    }
}

/* Reports why a daemon has not started; returns the exit status. */
static int
report_start(const err_t *err)
{
    bool stopped = err->code == ECANCELED;
    log_msg(stopped ? LOG_INFO : LOG_ERROR, "daemon", "%s.", err->text);
    log_flush();
    return stopped ? EXIT_SUCCESS : EXIT_UNREACHABLE;
}

/* Run in relay mode, as the router on the users' platform, with records on
 * standard output. */
static int
run_relay(const settings_t *settings, const char *path)
{
    err_t err = {0};
    log_setup_records();
    return relay_run(settings, path, &err) == 0 ? EXIT_SUCCESS
                                                : report_start(&err);
}

/* Report all problems of a settings file; returns the exit status. */
static int
check_settings(const char *path)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    if (settings_read(&settings, path, &problems) != SETTINGS_VALID) {
        (void)fputs(buf_text(&problems), stderr);
        return EXIT_SETTINGS;
    }
    (void)printf("%s: settings are valid\n", path);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    daemon_args_t args = {0};
    settings_t settings;
    err_t err = {0};
    signals_block();
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    if (args.help_settings) {
        settings_print_help(stdout);
        return EXIT_SUCCESS;
    }
    if (sodium_init() < 0) {
        return EXIT_FAILURE;
    }
    if (args.check) {
        return check_settings(args.settings);
    }
    switch (settings_wait(&settings, args.settings)) {
        case SETTINGS_VALID:
            break;
        case SETTINGS_INCOMPLETE:
            return EXIT_SUCCESS;
        case SETTINGS_INVALID:
            return EXIT_SETTINGS;
    }
    if (settings.descriptors == 0) {
        settings.descriptors = args.descriptors;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    log_setup(settings.name, (log_level_t)settings.log_level);
    if (settings.mode == MODE_RELAY) {
        return run_relay(&settings, args.settings);
    }
    if (event_setup(settings.name, settings.event_log) != 0) {
        log_error("daemon", "Cannot open the event log %s.",
                  settings.event_log);
        return EXIT_SETTINGS;
    }
    celeryspoold_t *daemon = daemon_start(&settings, &err);
    if (daemon == NULL) {
        return report_start(&err);
    }
    signals_unblock();
    serve(daemon);
    event_emit(&(event_t){.kind = "daemon-stopped"});
    daemon_stop(daemon);
    log_info("daemon", "Stopped after all requests had ended.");
    event_close();
    return EXIT_SUCCESS;
}
