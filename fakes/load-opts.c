#include "load.h"

#include <ini.h>
#include <stdlib.h>
#include <string.h>

typedef enum {
    OPT_UNSIGNED,
    OPT_DOUBLE,
    OPT_SEED,
    OPT_FLAG,
    OPT_TEXT
} option_type_t;

typedef struct {
    const char *key;
    option_type_t type;
    size_t offset;
    size_t size;
} option_t;

#define FIELD_OFFSET(field) offsetof(load_opts_t, field)
#define FIELD_SIZE(field) sizeof(((load_opts_t *)NULL)->field)

static const option_t options[] = {
    {"model", OPT_TEXT, FIELD_OFFSET(model), FIELD_SIZE(model)},
    {"service", OPT_TEXT, FIELD_OFFSET(service), FIELD_SIZE(service)},
    {"history", OPT_TEXT, FIELD_OFFSET(history), FIELD_SIZE(history)},
    {"seed", OPT_SEED, FIELD_OFFSET(seed), 0},
    {"rate", OPT_DOUBLE, FIELD_OFFSET(rate), 0},
    {"seconds", OPT_DOUBLE, FIELD_OFFSET(seconds), 0},
    {"warm_s", OPT_DOUBLE, FIELD_OFFSET(warmup_s), 0},
    {"workspaces", OPT_UNSIGNED, FIELD_OFFSET(workspaces), 0},
    {"publishers", OPT_UNSIGNED, FIELD_OFFSET(publishers), 0},
    {"threads", OPT_UNSIGNED, FIELD_OFFSET(live_threads), 0},
    {"zipf", OPT_DOUBLE, FIELD_OFFSET(zipf), 0},
    {"tokens_rules", OPT_UNSIGNED, FIELD_OFFSET(level_tokens[0]), 0},
    {"tokens_guidance", OPT_UNSIGNED, FIELD_OFFSET(level_tokens[1]), 0},
    {"tokens_thread", OPT_UNSIGNED, FIELD_OFFSET(level_tokens[2]), 0},
    {"tokens_comment", OPT_UNSIGNED, FIELD_OFFSET(level_tokens[3]), 0},
    {"max_tokens", OPT_UNSIGNED, FIELD_OFFSET(max_tokens), 0},
    {"thread_life_s", OPT_DOUBLE, FIELD_OFFSET(thread_life_s), 0},
    {"hot_at_s", OPT_DOUBLE, FIELD_OFFSET(hot_at_s), 0},
    {"hot_share", OPT_DOUBLE, FIELD_OFFSET(hot_share), 0},
    {"burst_at_s", OPT_DOUBLE, FIELD_OFFSET(burst_at_s), 0},
    {"burst_s", OPT_DOUBLE, FIELD_OFFSET(burst_s), 0},
    {"burst_factor", OPT_DOUBLE, FIELD_OFFSET(burst_factor), 0},
    {"flood_factor", OPT_DOUBLE, FIELD_OFFSET(flood_factor), 0},
    {"keyed_rate", OPT_DOUBLE, FIELD_OFFSET(keyed_rate), 0},
    {"key_repeats", OPT_UNSIGNED, FIELD_OFFSET(key_attempts), 0},
    {"direct", OPT_FLAG, FIELD_OFFSET(bypass_router), 0},
    {"whole", OPT_FLAG, FIELD_OFFSET(unstreamed), 0},
    {"deadline_ms", OPT_UNSIGNED, FIELD_OFFSET(deadline_ms), 0},
    {"resumes_max", OPT_UNSIGNED, FIELD_OFFSET(resumes_max), 0},
};

/* Set the defaults: a small load of moderation traffic. */
void
load_opts_default(load_opts_t *opts)
{
    *opts = (load_opts_t){.seed = 1,
                          .rate = 20,
                          .seconds = 5,
                          .workspaces = 8,
                          .publishers = 6,
                          .live_threads = 4,
                          .zipf = 1.0,
                          .level_tokens = {600, 1200, 500, 60},
                          .max_tokens = 16,
                          .thread_life_s = 10,
                          .burst_factor = 1,
                          .flood_factor = 1,
                          .key_attempts = 1,
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
    char *field = (char *)opts + option->offset;
    char *end = NULL;
    switch (option->type) {
        case OPT_UNSIGNED:
            *(unsigned *)field = (unsigned)strtoul(value, &end, 10);
            break;
        case OPT_SEED:
            *(uint64_t *)field = strtoull(value, &end, 10);
            break;
        case OPT_DOUBLE:
            *(double *)field = strtod(value, &end);
            break;
        case OPT_FLAG:
            *(bool *)field = strcmp(value, "true") == 0;
            return 0;
        case OPT_TEXT:
            str_copy(field, option->size, value);
            return 0;
    }
    return end == value || *end != '\0' ? -1 : 0;
}

/* Set one option by name; -1 for an unknown name or a bad value. */
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

/* Read options from an experiment file (INI). */
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
