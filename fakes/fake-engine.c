#include "fakes.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* A model replica: continuous batching, a block cache, cache events, a delayed
 * load report.  It differs from a real engine in that a token is four bytes of
 * text, answers depend only on the prompt and the weights version, and an
 * ended answer can be resumed for 30 s. */

typedef struct {
    const char *listen;
    const char *name;
    size_t blocks;
    unsigned step_ms;
    unsigned prefill_rate;
    unsigned slots;
} fake_engine_args_t;

static volatile sig_atomic_t fake_engine_stop;

static const struct argp_option options[] = {
    {"listen", 'l', "ADDR", 0, "IPV4:PORT to listen on", 0},
    {"name", 'n', "NAME", 0, "name of the backend server", 0},
    {"blocks", 'b', "N", 0, "cache size in blocks of 16 tokens", 0},
    {"step-ms", 's', "MS", 0, "duration of a decode step", 0},
    {"prefill-rate", 'p', "N", 0, "tokens prefilled per second", 0},
    {"slots", 'c', "N", 0, "sequences that run concurrently", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    fake_engine_args_t *args = state->input;
    switch (key) {
        case 'l':
            args->listen = arg;
            return 0;
        case 'n':
            args->name = arg;
            return 0;
        case 'b':
            args->blocks = strtoul(arg, NULL, 10);
            return 0;
        case 's':
            args->step_ms = (unsigned)strtoul(arg, NULL, 10);
            return 0;
        case 'p':
            args->prefill_rate = (unsigned)strtoul(arg, NULL, 10);
            return 0;
        case 'c':
            args->slots = (unsigned)strtoul(arg, NULL, 10);
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option, NULL, "A stand-in for a model engine.",
    NULL,    NULL,         NULL};

static void
on_signal(int number)
{
    (void)number;
    fake_engine_stop = 1;
}

static void
run(engine_t *engine)
{
    int64_t last = time_mono_us();
    while (!fake_engine_stop) {
        (void)pthread_mutex_lock(&engine->lock);
        unsigned slow = engine->settings.slow_factor;
        unsigned step_ms = engine->settings.step_ms * slow;
        (void)pthread_mutex_unlock(&engine->lock);
        time_sleep_ms((int)step_ms);
        int64_t now = time_mono_us();
        double seconds = (double)(now - last) / 1e6;
        LOCK_SCOPE(&engine->lock);
        engine_step(engine, seconds / slow);
        last = now;
    }
}

int
main(int argc, char **argv)
{
    fake_engine_args_t args = {.listen = "127.0.0.1:9101",
                               .name = "engine",
                               .blocks = 8192,
                               .step_ms = 5,
                               .prefill_rate = 40000,
                               .slots = 64};
    engine_t engine;
    err_t err = {0};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    (void)signal(SIGTERM, on_signal);
    (void)signal(SIGINT, on_signal);
    (void)signal(SIGPIPE, SIG_IGN);
    log_setup(args.name, LOG_INFO);
    engine_init(&engine, args.name, args.blocks);
    engine.settings.step_ms = args.step_ms;
    engine.settings.prefill_rate = args.prefill_rate;
    engine.settings.slots = args.slots;
    http_server_opts_t opts = {.addr = args.listen,
                               .threads = 1,
                               .body_max = 4 << 20,
                               .connections_max = 8000,
                               .handler = engine_handle,
                               .arg = &engine};
    http_server_t *server = http_server_start(&opts, &err);
    if (server == NULL) {
        log_error("engine", "%s", err.text);
        return EXIT_FAILURE;
    }
    run(&engine);
    (void)pthread_mutex_lock(&engine.lock);
    engine_restart_empty(&engine);
    (void)pthread_mutex_unlock(&engine.lock);
    http_server_stop(server);
    engine_free(&engine);
    return EXIT_SUCCESS;
}
