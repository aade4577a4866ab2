#include "history.h"

#include <stdlib.h>
#include <string.h>

/* Reads what processes wrote and checks it:
 *   get FILE a.b.c               print a value of a JSON file
 *   keys REPORT EFFECTS          keyed calls against a service's effects
 *   not-run EVENTS… -- TRUTHS…   refusals against what engines executed
 *   generations EVENTS…          generations grow in each process
 *   last-sent BACKEND EVENTS…    wall ms of the last new request to it */

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
executed_of(char **paths, int count)
{
    json_t *all = json_array();
    for (int i = 0; i < count; i++) {
        CLEAN_JSON json_t *truth = json_load_file(paths[i], 0, NULL);
        (void)json_array_extend(all, json_object_get(truth, "executed"));
    }
    return all;
}

static int
verdict(size_t broken, const buf_t *problems)
{
    if (broken > 0) {
        (void)fprintf(stderr, "%zu broken: %s\n", broken, buf_text(problems));
    }
    return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
check_get(char **args, int count)
{
    CLEAN_JSON json_t *root = json_load_file(args[0], 0, NULL);
    const json_t *at = root;
    char *rest = count > 1 ? args[1] : NULL;
    char *word;
    while (at != NULL && (word = strsep(&rest, ".")) != NULL) {
        at = json_is_array(at) ? json_array_get(at, strtoul(word, NULL, 10))
                               : json_object_get(at, word);
    }
    if (at == NULL) {
        return EXIT_FAILURE;
    }
    CLEAN_TEXT char *text =
        json_is_string(at) ? strdup(json_string_value(at))
                           : json_dumps(at, JSON_ENCODE_ANY | JSON_COMPACT |
                                                JSON_REAL_PRECISION(6));
    (void)printf("%s\n", text);
    return EXIT_SUCCESS;
}

static int
check_keys(char **args, int count)
{
    CLEAN_BUF buf_t problems = {0};
    CLEAN_JSON json_t *report = json_load_file(args[0], 0, NULL);
    CLEAN_JSON json_t *effects =
        count > 1 ? json_load_file(args[1], 0, NULL) : NULL;
    const json_t *keyed = json_object_get(report, "keyed");
    if (json_object_size(keyed) == 0 || effects == NULL) {
        (void)fprintf(stderr, "there is no history to check\n");
        return EXIT_FAILURE;
    }
    size_t broken = history_check_keys(keyed, effects, &problems);
    return verdict(broken, &problems);
}

static int
check_not_run(char **args, int count)
{
    CLEAN_BUF buf_t problems = {0};
    int split = 0;
    while (split < count && strcmp(args[split], "--") != 0) {
        split++;
    }
    if (split == count) {
        return EXIT_FAILURE;
    }
    CLEAN_JSON json_t *events = read_lines(args, split);
    CLEAN_JSON json_t *executed =
        executed_of(args + split + 1, count - split - 1);
    return verdict(history_check_not_run(events, executed, &problems),
                   &problems);
}

static int
check_generations(char **args, int count)
{
    CLEAN_BUF buf_t problems = {0};
    CLEAN_JSON json_t *events = read_lines(args, count);
    return verdict(history_check_generations(events, &problems), &problems);
}

static int
check_last_sent(char **args, int count)
{
    CLEAN_JSON json_t *events = read_lines(args + 1, count - 1);
    (void)printf("%lld\n", (long long)history_last_sent(events, args[0]));
    return EXIT_SUCCESS;
}

typedef struct {
    const char *name;
    int (*run)(char **args, int count);
} check_t;

static const check_t checks[] = {
    {"get", check_get},
    {"keys", check_keys},
    {"not-run", check_not_run},
    {"generations", check_generations},
    {"last-sent", check_last_sent},
};

int
main(int argc, char **argv)
{
    for (size_t i = 0; argc > 2 && i < sizeof(checks) / sizeof(checks[0]);
         i++) {
        if (strcmp(checks[i].name, argv[1]) == 0) {
            return checks[i].run(argv + 2, argc - 2);
        }
    }
    (void)fprintf(stderr,
                  "usage: fake-check get|keys|not-run|generations|"
                  "last-sent ARGUMENT…\n");
    return EXIT_FAILURE;
}
