#include "history.h"

#include <stdlib.h>
#include <string.h>

/* Checks event logs and reports:
 *   get FILE a.b.c               print a value of a JSON file
 *   keys REPORT EFFECTS          idempotent calls against a service's effects
 *   not-run EVENTS… -- TRUTHS…   calls ended as not run against executions
 *   generations EVENTS…          generations only grow in each process
 *   last-sent BACKEND EVENTS…    wall-clock ms of the last attempt sent to it
 */

static json_t *
read_lines(char **paths, int count)
{
    json_t *events = json_array();
    for (int i = 0; i < count; i++) {
        char line[8192];
        FILE *file = fopen(paths[i], "re");
        while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
            json_t *event = json_loads(line, 0, NULL);
            if (event != NULL) {
                (void)json_array_append_new(events, event);
            }
        }
        if (file != NULL) {
            (void)fclose(file);
        }
    }
    return events;
}

static json_t *
read_executed(char **paths, int count)
{
    json_t *executed = json_array();
    for (int i = 0; i < count; i++) {
        CLEAN_JSON json_t *truth = json_load_file(paths[i], 0, NULL);
        (void)json_array_extend(executed, json_object_get(truth, "executed"));
    }
    return executed;
}

static int
report_problems(size_t violations, const buf_t *problems)
{
    if (violations > 0) {
        (void)fprintf(stderr, "%zu violations: %s\n", violations,
                      buf_text(problems));
    }
    return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
run_get(char **args, int count)
{
    CLEAN_JSON json_t *root = json_load_file(args[0], 0, NULL);
    const json_t *value = root;
    char *path = count > 1 ? args[1] : NULL;
    char *segment;
    while (value != NULL && (segment = strsep(&path, ".")) != NULL) {
        value = json_is_array(value)
                    ? json_array_get(value, strtoul(segment, NULL, 10))
                    : json_object_get(value, segment);
    }
    if (value == NULL) {
        return EXIT_FAILURE;
    }
    CLEAN_TEXT char *text =
        json_is_string(value)
            ? strdup(json_string_value(value))
            : json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
                                    JSON_REAL_PRECISION(6));
    (void)printf("%s\n", text);
    return EXIT_SUCCESS;
}

static int
run_keys(char **args, int count)
{
    CLEAN_BUF buf_t problems = {0};
    CLEAN_JSON json_t *report = json_load_file(args[0], 0, NULL);
    CLEAN_JSON json_t *effects =
        count > 1 ? json_load_file(args[1], 0, NULL) : NULL;
    const json_t *answers = json_object_get(report, "keyed");
    if (json_object_size(answers) == 0 || effects == NULL) {
        (void)fprintf(stderr, "there is no history to check\n");
        return EXIT_FAILURE;
    }
    size_t violations = history_check_keys(answers, effects, &problems);
    return report_problems(violations, &problems);
}

static int
run_not_run(char **args, int count)
{
    CLEAN_BUF buf_t problems = {0};
    int separator = 0;
    while (separator < count && strcmp(args[separator], "--") != 0) {
        separator++;
    }
    if (separator == count) {
        return EXIT_FAILURE;
    }
    CLEAN_JSON json_t *events = read_lines(args, separator);
    CLEAN_JSON json_t *executed =
        read_executed(args + separator + 1, count - separator - 1);
    return report_problems(history_check_not_run(events, executed, &problems),
                           &problems);
}

static int
run_generations(char **args, int count)
{
    CLEAN_BUF buf_t problems = {0};
    CLEAN_JSON json_t *events = read_lines(args, count);
    return report_problems(history_check_generations(events, &problems),
                           &problems);
}

static int
run_last_sent(char **args, int count)
{
    CLEAN_JSON json_t *events = read_lines(args + 1, count - 1);
    (void)printf("%lld\n", (long long)history_last_sent_ms(events, args[0]));
    return EXIT_SUCCESS;
}

typedef struct {
    const char *name;
    int (*run)(char **args, int count);
} command_t;

static const command_t commands[] = {
    {"get", run_get},
    {"keys", run_keys},
    {"not-run", run_not_run},
    {"generations", run_generations},
    {"last-sent", run_last_sent},
};

int
main(int argc, char **argv)
{
    for (size_t i = 0; argc > 2 && i < sizeof(commands) / sizeof(commands[0]);
         i++) {
        if (strcmp(commands[i].name, argv[1]) == 0) {
            return commands[i].run(argv + 2, argc - 2);
        }
    }
    (void)fprintf(stderr,
                  "usage: fake-check get|keys|not-run|generations|"
                  "last-sent ARGUMENT…\n");
    return EXIT_FAILURE;
}
