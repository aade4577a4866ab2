#include "../kernel/command.h"

#include <string.h>

/* show TOPIC [where …] [sort …] [limit N] */

static json_t *
show_backends(celeryspoold_t *daemon)
{
    json_t *rows = json_array();
    config_t *config = daemon_config(daemon);
    int64_t now = time_mono_ms();
    for (size_t i = 0; i < config->backend_count; i++) {
        const backend_t *backend = &config->backends[i];
        backend_state_t state = {0};
        (void)view_get(daemon->view,
                       view_assign_id(daemon->view, backend->name), &state);
        const char *availability = availability_name(
            config_backend_availability(config, backend, time_wall_ms()));
        const char *health =
            state.host_leaving                                  ? "leaving"
            : now < state.circuit_open_until_ms                 ? "broken"
            : state.consecutive_failures > 0                    ? "failing"
            : backend->kind != BACKEND_ENGINE || state.reported ? "good"
                                                                : "unheard";
        (void)json_array_append_new(
            rows,
            json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:f,s:f,s:s}", "name",
                      backend->name, "serves", backend->serves, "dc",
                      backend->dc, "open", availability, "health", health,
                      "version", state.load_report.version, "running",
                      state.load_report.running, "ours", state.own_running,
                      "wait_ms", view_expected_wait_ms(&state), "slowness",
                      state.slowness, "addr", backend->addr));
    }
    config_release(config);
    return rows;
}

static json_t *
section_rows(celeryspoold_t *daemon, const char *section)
{
    json_t *rows = json_array();
    const char *name;
    json_t *fields;
    config_t *config = daemon_config(daemon);
    json_object_foreach (json_object_get(config->doc, section), name, fields) {
        json_t *row = json_pack("{s:s}", "name", name);
        (void)json_object_update(row, fields);
        (void)json_array_append_new(rows, row);
    }
    config_release(config);
    return rows;
}

static json_t *
show_workspaces(celeryspoold_t *daemon)
{
    return section_rows(daemon, "workspaces");
}

static json_t *
show_models(celeryspoold_t *daemon)
{
    return section_rows(daemon, "models");
}

static json_t *
show_services(celeryspoold_t *daemon)
{
    return section_rows(daemon, "services");
}

static json_t *
show_windows(celeryspoold_t *daemon)
{
    return section_rows(daemon, "windows");
}

static json_t *
show_operators(celeryspoold_t *daemon)
{
    return section_rows(daemon, "operators");
}

static json_t *
show_changes(celeryspoold_t *daemon)
{
    config_t *config = daemon_config(daemon);
    json_t *rows = json_deep_copy(json_object_get(config->doc, "changes"));
    config_release(config);
    return rows;
}

static json_t *
show_members(celeryspoold_t *daemon)
{
    static const char *const health[] = {"alive", "suspect", "dead"};
    member_t list[512];
    json_t *rows = json_array();
    size_t count = members_list(daemon->members, list, 512);
    for (size_t i = 0; i < count; i++) {
        (void)json_array_append_new(
            rows,
            json_pack("{s:s,s:s,s:s,s:s,s:I,s:s}", "name", list[i].name, "dc",
                      list[i].dc, "health", health[list[i].health], "intent",
                      list[i].intent == MEMBER_LEAVING ? "leaving" : "live",
                      "generation", (json_int_t)list[i].config_generation,
                      "http", list[i].http_addr));
    }
    return rows;
}

#define CACHE_ROWS_MAX 1000

static json_t *
show_cached(celeryspoold_t *daemon)
{
    cached_level_t facts[CACHE_ROWS_MAX];
    json_t *rows = json_array();
    size_t count = cache_map_list_levels(daemon->cache, facts, CACHE_ROWS_MAX);
    for (size_t i = 0; i < count; i++) {
        char key[20];
        backend_state_t state = {0};
        (void)view_get(daemon->view, facts[i].backend, &state);
        (void)snprintf(key, sizeof(key), "%016llx",
                       (unsigned long long)facts[i].key);
        (void)json_array_append_new(
            rows, json_pack("{s:s,s:s,s:i}", "prefix", key, "backend",
                            state.name, "tokens", (int)facts[i].tokens));
    }
    return rows;
}

static json_t *
show_traffic(celeryspoold_t *daemon)
{
    return metrics_to_json(daemon->metrics);
}

static json_t *
show_policies(celeryspoold_t *daemon)
{
    (void)daemon;
    json_t *rows = json_array();
    for (const policy_t *policy = policy_next(NULL); policy != NULL;
         policy = policy_next(policy)) {
        (void)json_array_append_new(
            rows, json_pack("{s:s,s:s}", "name", policy->name, "about",
                            policy->about));
    }
    return rows;
}

typedef struct {
    const char *topic;
    json_t *(*rows)(celeryspoold_t *daemon);
} show_topic_t;

static const show_topic_t topics[] = {
    {"backends", show_backends}, {"cached", show_cached},
    {"changes", show_changes},   {"members", show_members},
    {"models", show_models},     {"operators", show_operators},
    {"policies", show_policies}, {"requests", calls_to_json},
    {"services", show_services}, {"traffic", show_traffic},
    {"windows", show_windows},   {"workspaces", show_workspaces},
};

static int
run(command_context_t *context)
{
    CLEAN_BUF buf_t list = {0};
    for (size_t i = 0; i < sizeof(topics) / sizeof(topics[0]); i++) {
        if (context->word_count > 1 &&
            strcmp(topics[i].topic, context->words[1]) == 0) {
            json_t *rows = topics[i].rows(context->daemon);
            return command_query_apply(context, 2, &rows);
        }
        buf_fmt(&list, "%s%s", i > 0 ? ", " : "", topics[i].topic);
    }
    return command_error(context, context->word_count > 1 ? 1 : 0,
                         "show needs a topic; allowed: %s", buf_text(&list));
}

static command_t command = {
    .name = "show",
    .usage = "show TOPIC [where FIELD=VALUE …] [sort [-]FIELD] [limit N]",
    .about = "lists running requests, cached prefixes and declared objects",
    .run = run};

__attribute__((constructor)) static void
cmd_show_register(void)
{
    command_register(&command);
}
