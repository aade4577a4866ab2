#include "load.h"

#include <ini.h>
#include <stdlib.h>
#include <string.h>

typedef enum { OPT_UNSIGNED, OPT_DOUBLE, OPT_SEED, OPT_FLAG, OPT_TEXT } type_t;

typedef struct {
    const char *key;
    type_t type;
    size_t offset;
    size_t size;
} option_t;

#define AT(field) offsetof(load_opts_t, field)
#define ROOM(field) sizeof(((load_opts_t *)NULL)->field)

static const option_t options[] = {
    {"model", OPT_TEXT, AT(model), ROOM(model)},
    {"service", OPT_TEXT, AT(service), ROOM(service)},
    {"history", OPT_TEXT, AT(history), ROOM(history)},
    {"seed", OPT_SEED, AT(seed), 0},
    {"rate", OPT_DOUBLE, AT(rate), 0},
    {"seconds", OPT_DOUBLE, AT(seconds), 0},
    {"warm_s", OPT_DOUBLE, AT(warm_s), 0},
    {"workspaces", OPT_UNSIGNED, AT(workspaces), 0},
    {"publishers", OPT_UNSIGNED, AT(publishers), 0},
    {"threads", OPT_UNSIGNED, AT(threads), 0},
    {"zipf", OPT_DOUBLE, AT(zipf), 0},
    {"tokens_rules", OPT_UNSIGNED, AT(tokens[0]), 0},
    {"tokens_guidance", OPT_UNSIGNED, AT(tokens[1]), 0},
    {"tokens_thread", OPT_UNSIGNED, AT(tokens[2]), 0},
    {"tokens_comment", OPT_UNSIGNED, AT(tokens[3]), 0},
    {"max_tokens", OPT_UNSIGNED, AT(max_tokens), 0},
    {"thread_life_s", OPT_DOUBLE, AT(thread_life_s), 0},
    {"hot_at_s", OPT_DOUBLE, AT(hot_at_s), 0},
    {"hot_share", OPT_DOUBLE, AT(hot_share), 0},
    {"burst_at_s", OPT_DOUBLE, AT(burst_at_s), 0},
    {"burst_s", OPT_DOUBLE, AT(burst_s), 0},
    {"burst_factor", OPT_DOUBLE, AT(burst_factor), 0},
    {"flood_factor", OPT_DOUBLE, AT(flood_factor), 0},
    {"keyed_rate", OPT_DOUBLE, AT(keyed_rate), 0},
    {"key_repeats", OPT_UNSIGNED, AT(key_repeats), 0},
    {"direct", OPT_FLAG, AT(direct), 0},
    {"whole", OPT_FLAG, AT(whole), 0},
    {"deadline_ms", OPT_UNSIGNED, AT(deadline_ms), 0},
    {"resumes_max", OPT_UNSIGNED, AT(resumes_max), 0},
};

/* A small load of moderation traffic. */
void
load_opts_default(load_opts_t *opts)
{
    *opts = (load_opts_t){.seed = 1,
                          .rate = 20,
                          .seconds = 5,
                          .workspaces = 8,
                          .publishers = 6,
                          .threads = 4,
                          .zipf = 1.0,
                          .tokens = {600, 1200, 500, 60},
                          .max_tokens = 16,
                          .thread_life_s = 10,
                          .burst_factor = 1,
                          .flood_factor = 1,
                          .key_repeats = 1,
                          .deadline_ms = 10000,
                          .resumes_max = 10};
    str_copy(opts->model, sizeof(opts->model), "moderation");
    str_copy(opts->service, sizeof(opts->service), "desk");
    str_copy(opts->versions[0], CS_NAME_MAX, "v1");
    opts->version_count = 1;
}

static unsigned
split_list(const char *value, char *out, size_t size, unsigned max)
{
    char copy[1024];
    char *rest = copy;
    char *word;
    unsigned count = 0;
    str_copy(copy, sizeof(copy), value);
    while ((word = strsep(&rest, ", ")) != NULL && count < max) {
        if (word[0] != '\0') {
            str_copy(out + size * count++, size, word);
        }
    }
    return count;
}

static int
set_value(load_opts_t *opts, const option_t *option, const char *value)
{
    char *at = (char *)opts + option->offset;
    char *end = NULL;
    switch (option->type) {
        case OPT_UNSIGNED:
            *(unsigned *)at = (unsigned)strtoul(value, &end, 10);
            break;
        case OPT_SEED:
            *(uint64_t *)at = strtoull(value, &end, 10);
            break;
        case OPT_DOUBLE:
            *(double *)at = strtod(value, &end);
            break;
        case OPT_FLAG:
            *(bool *)at = strcmp(value, "true") == 0;
            return 0;
        case OPT_TEXT:
            str_copy(at, option->size, value);
            return 0;
    }
    return end == value || *end != '\0' ? -1 : 0;
}

/* Set one option by its name; -1 for a name or value that is not known. */
int
load_opts_set(load_opts_t *opts, const char *key, const char *value)
{
    if (strcmp(key, "targets") == 0) {
        opts->target_count =
            split_list(value, opts->targets[0], CS_ADDR_MAX, LOAD_TARGETS_MAX);
        return opts->target_count > 0 ? 0 : -1;
    }
    if (strcmp(key, "engines") == 0) {
        opts->engine_count =
            split_list(value, opts->engines[0], CS_ADDR_MAX, LOAD_TARGETS_MAX);
        return 0;
    }
    if (strcmp(key, "versions") == 0) {
        opts->version_count = split_list(value, opts->versions[0], CS_NAME_MAX,
                                         LOAD_VERSIONS_MAX);
        return opts->version_count > 0 ? 0 : -1;
    }
    for (size_t i = 0; i < sizeof(options) / sizeof(options[0]); i++) {
        if (strcmp(options[i].key, key) == 0) {
            return set_value(opts, &options[i], value);
        }
    }
    return -1;
}

static int
on_value(void *arg, const char *section, const char *key, const char *value)
{
    (void)section;
    return load_opts_set(arg, key, value) == 0;
}

/* Read an experiment file. */
int
load_opts_read(load_opts_t *opts, const char *path, err_t *err)
{
    int line = ini_parse(path, on_value, opts);
    if (line != 0) {
        return err_set(err, ERR_SETTINGS, line,
                       line < 0 ? "%s: cannot be opened (%d)"
                                : "%s:%d: unknown key or bad value",
                       path, line);
    }
    return 0;
}
