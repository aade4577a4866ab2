#include "load.h"

#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Sends a planned load, waits for the answers and writes a report. */

#define COMPLETION_WAIT_MS 30000

typedef struct {
    load_opts_t opts;
    const char *out;
} load_args_t;

static const struct argp_option options[] = {
    {"file", 'f', "FILE", 0, "experiment file (INI)", 0},
    {"set", 'o', "KEY=VALUE", 0, "set one option of the experiment", 0},
    {"out", 'w', "FILE", 0, "write the report to this file", 0},
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
                argp_failure(state, EXIT_SETTINGS, 0,
                             "unknown option or bad value: %s", arg);
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
    options, parse_option,
    NULL,    "Generates client load and checks the answers.",
    NULL,    NULL,
    NULL};

static void
wait_until(int64_t started_us, double due_s)
{
    int64_t due_us = started_us + (int64_t)(due_s * 1e6);
    int64_t wait_us = due_us - time_mono_us();
    if (wait_us > 1000) {
        time_sleep_ms((int)(wait_us / 1000));
    }
}

/* Statistics of the prompts sent after the warm-up. */
typedef struct {
    load_blocks_t *blocks;
    json_t *engines_baseline; /* engine counters at the end of the warm-up */
} prompt_stats_t;

static void
add_prompt(prompt_stats_t *stats, const load_opts_t *opts,
           const load_chat_t *chat)
{
    bool counted = chat->due_s >= opts->warmup_s;
    CLEAN_JSON json_t *messages = load_plan_messages(opts, chat);
    if (counted && stats->engines_baseline == NULL) {
        stats->engines_baseline = load_blocks_engines_json(opts);
    }
    load_blocks_add(stats->blocks, chat->workspace, messages, counted);
}

static json_t *
prompt_stats_json(const prompt_stats_t *stats, const load_opts_t *opts)
{
    CLEAN_JSON json_t *engines_now = load_blocks_engines_json(opts);
    json_t *out = load_blocks_json(stats->blocks);
    const char *key;
    json_t *value;
    json_object_foreach (engines_now, key, value) {
        (void)json_object_set_new(
            out, key,
            json_integer(json_integer_value(value) -
                         json_get_int(stats->engines_baseline, key, 0)));
    }
    double cached = (double)json_get_int(out, "tokens_cached", 0);
    double prefilled = (double)json_get_int(out, "tokens_prefilled", 0);
    double new_tokens = (double)json_get_int(out, "tokens_new", 0);
    double prompt_tokens = cached + prefilled;
    (void)json_object_set_new(
        out, "hit_rate",
        json_real(prompt_tokens > 0 ? cached / prompt_tokens : 0));
    (void)json_object_set_new(
        out, "recomputed_rate",
        json_real(prompt_tokens > 0 && prefilled > new_tokens
                      ? (prefilled - new_tokens) / prompt_tokens
                      : 0));
    return out;
}

static void
run_load(load_client_t *client, const load_opts_t *opts, prompt_stats_t *stats)
{
    load_plan_t *plan = load_plan_new(opts);
    load_chat_t chat;
    int64_t started_us = time_mono_us();
    uint64_t keyed_sent = 0;
    while (opts->rate > 0 && load_plan_next(plan, &chat)) {
        while (opts->keyed_rate > 0 &&
               (double)keyed_sent / opts->keyed_rate < chat.due_s) {
            load_client_send_keyed(client, keyed_sent++);
        }
        add_prompt(stats, opts, &chat);
        wait_until(started_us, chat.due_s);
        load_client_send_chat(client, &chat);
    }
    while (opts->keyed_rate > 0 &&
           (double)keyed_sent / opts->keyed_rate < opts->seconds) {
        wait_until(started_us, (double)keyed_sent / opts->keyed_rate);
        load_client_send_keyed(client, keyed_sent++);
    }
    load_plan_free(plan);
    int64_t deadline_ms = time_mono_ms() + COMPLETION_WAIT_MS;
    while (load_client_running_count(client) > 0 &&
           time_mono_ms() < deadline_ms) {
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
    size_t results_max = (size_t)(args.opts.rate * args.opts.seconds *
                                  (1 + args.opts.burst_factor)) +
                         10000;
    load_test_report_t *report = load_report_new(results_max);
    load_client_t *client = load_client_new(&args.opts, report);
    prompt_stats_t stats = {.blocks = load_blocks_new()};
    run_load(client, &args.opts, &stats);
    size_t unanswered = load_client_running_count(client);
    json_t *out = load_report_json(report, &args.opts);
    (void)json_object_set_new(out, "unanswered",
                              json_integer((json_int_t)unanswered));
    (void)json_object_set_new(out, "prompts",
                              prompt_stats_json(&stats, &args.opts));
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
    json_decref(stats.engines_baseline);
    load_blocks_free(stats.blocks);
    load_client_free(client);
    load_report_free(report);
    return EXIT_SUCCESS;
}
