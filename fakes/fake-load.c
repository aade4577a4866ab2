#include "load.h"

#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Sends a planned load, waits for its end, and prints a report. */

#define END_WAIT_MS 30000

typedef struct {
    load_opts_t opts;
    const char *out;
} load_args_t;

static const struct argp_option options[] = {
    {"file", 'f', "FILE", 0, "experiment file (INI)", 0},
    {"set", 'o', "KEY=VALUE", 0, "set one option of it", 0},
    {"out", 'w', "FILE", 0, "write the report there", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    load_args_t *args = state->input;
    err_t err = {0};
    char *equals;
    switch (key) {
        case 'f':
            if (load_opts_read(&args->opts, arg, &err) != 0) {
                argp_failure(state, EXIT_SETTINGS, 0, "%s", err.text);
            }
            return 0;
        case 'o':
            equals = strchr(arg, '=');
            if (equals != NULL) {
                *equals = '\0';
            }
            if (equals == NULL ||
                load_opts_set(&args->opts, arg, equals + 1) != 0) {
                argp_failure(state, EXIT_SETTINGS, 0, "bad option %s", arg);
            }
            return 0;
        case 'w':
            args->out = arg;
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option, NULL, "Sends callers' load and checks the answers.",
    NULL,    NULL,         NULL};

static void
wait_until(int64_t began_us, double at_s)
{
    int64_t due = began_us + (int64_t)(at_s * 1e6);
    int64_t left = due - time_mono_us();
    if (left > 1000) {
        time_sleep_ms((int)(left / 1000));
    }
}

/* Measured against the time behind the warm-up only. */
typedef struct {
    load_blocks_t *blocks;
    json_t *engines; /* their truth when the warm-up ended */
} measure_t;

static void
measure(measure_t *mine, const load_opts_t *opts, const load_ask_t *ask)
{
    bool count = ask->at_s >= opts->warm_s;
    CLEAN_JSON json_t *messages = load_messages(opts, ask);
    if (count && mine->engines == NULL) {
        mine->engines = load_engines_json(opts);
    }
    load_blocks_add(mine->blocks, ask->workspace, messages, count);
}

static json_t *
measure_json(const measure_t *mine, const load_opts_t *opts)
{
    CLEAN_JSON json_t *now = load_engines_json(opts);
    json_t *out = load_blocks_json(mine->blocks);
    const char *key;
    json_t *value;
    json_object_foreach (now, key, value) {
        (void)json_object_set_new(
            out, key,
            json_integer(json_integer_value(value) -
                         json_int(mine->engines, key, 0)));
    }
    double cached = (double)json_int(out, "tokens_cached", 0);
    double filled = (double)json_int(out, "tokens_prefilled", 0);
    double first = (double)json_int(out, "tokens_new", 0);
    double all = cached + filled;
    (void)json_object_set_new(out, "hit_rate",
                              json_real(all > 0 ? cached / all : 0));
    (void)json_object_set_new(
        out, "recomputed_rate",
        json_real(all > 0 && filled > first ? (filled - first) / all : 0));
    return out;
}

static void
drive(load_client_t *client, const load_opts_t *opts, measure_t *mine)
{
    load_plan_t *plan = load_plan_new(opts);
    load_ask_t ask;
    int64_t began = time_mono_us();
    uint64_t keyed = 0;
    while (opts->rate > 0 && load_plan_next(plan, &ask)) {
        while (opts->keyed_rate > 0 &&
               (double)keyed / opts->keyed_rate < ask.at_s) {
            load_client_keyed(client, keyed++);
        }
        measure(mine, opts, &ask);
        wait_until(began, ask.at_s);
        load_client_chat(client, &ask);
    }
    while (opts->keyed_rate > 0 &&
           (double)keyed / opts->keyed_rate < opts->seconds) {
        wait_until(began, (double)keyed / opts->keyed_rate);
        load_client_keyed(client, keyed++);
    }
    load_plan_free(plan);
    int64_t last = time_mono_ms() + END_WAIT_MS;
    while (load_client_running(client) > 0 && time_mono_ms() < last) {
        time_sleep_ms(5);
    }
}

int
main(int argc, char **argv)
{
    load_args_t args = {0};
    load_opts_default(&args.opts);
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    (void)signal(SIGPIPE, SIG_IGN);
    if (args.opts.target_count == 0 || sodium_init() < 0) {
        (void)fprintf(stderr, "fake-load: no targets\n");
        return EXIT_SETTINGS;
    }
    size_t max = (size_t)(args.opts.rate * args.opts.seconds *
                          (1 + args.opts.burst_factor)) +
                 10000;
    load_report_out_t *report = load_report_new(max);
    load_client_t *client = load_client_new(&args.opts, report);
    measure_t mine = {.blocks = load_blocks_new()};
    drive(client, &args.opts, &mine);
    size_t left = load_client_running(client);
    json_t *out = load_report_json(report, &args.opts);
    (void)json_object_set_new(out, "unanswered",
                              json_integer((json_int_t)left));
    (void)json_object_set_new(out, "prompts", measure_json(&mine, &args.opts));
    (void)json_object_set_new(out, "keyed", load_client_keyed_json(client));
    FILE *file = args.out == NULL ? stdout : fopen(args.out, "we");
    if (file != NULL) {
        (void)json_dumpf(out, file, JSON_INDENT(1));
        (void)fputc('\n', file);
    }
    if (file != NULL && file != stdout) {
        (void)fclose(file);
    }
    json_decref(out);
    json_decref(mine.engines);
    load_blocks_free(mine.blocks);
    load_client_free(client);
    load_report_free(report);
    return EXIT_SUCCESS;
}
