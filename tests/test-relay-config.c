#include "../platform/platform.h"
#include "../relay/prompt.h"
#include "test.h"

#include <string.h>

static const char full_spec[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"long\",\"host\":\"a.example\",\"path_prefix\":\"/x/y/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":900,\"service\":\"s1\"},"
    "{\"name\":\"short\",\"host\":\"a.example\",\"path_prefix\":\"/x/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":900,\"public\":true,"
    "\"traffic_split\":[{\"service\":\"s1\",\"weight\":90},"
    "{\"service\":\"s2\",\"weight\":10}]},"
    "{\"name\":\"st\",\"host\":\"b.example\",\"path_prefix\":\"/\","
    "\"kind\":\"streaming\",\"resumable\":true,\"timeout_ms\":15000,"
    "\"target_latency_ms\":1000,\"target_gap_ms\":800,\"attempts\":2,"
    "\"service\":\"llm\"}],"
    "\"services\":[{\"name\":\"s1\"},{\"name\":\"s2\"},"
    "{\"name\":\"llm\",\"engine\":{\"slots\":64,\"cache_capacity\":900,"
    "\"stride\":9}},"
    "{\"name\":\"kept\",\"cache_store_address\":\"10.0.0.9:80\","
    "\"zone\":\"z1\",\"cache_capacity\":5}],"
    "\"limits\":{\"max_header_bytes\":100,\"max_body_bytes\":200,"
    "\"header_timeout_ms\":300,\"idle_timeout_ms\":400},"
    "\"tenants\":[{\"name\":\"t1\",\"access_keys\":[\"k1\",\"k2\"],"
    "\"priority\":3,\"isolated\":true},{\"name\":\"t2\","
    "\"access_keys\":[\"k3\"]}]}";

static relay_config_t *
read_config(const char *spec, err_t *err)
{
    CLEAN_JSON json_t *doc = json_loads(spec, 0, NULL);
    store_object_t object = {.name = "main", .revision = 42, .spec = doc};
    return platform_config_read(&object, err);
}

static const char *
route_name(const relay_config_t *config, const char *host, const char *path)
{
    const route_t *route = relay_config_find_route(config, host, strlen(host),
                                                   path, strlen(path));
    return route == NULL ? "none" : route->name;
}

START_TEST(longest_prefix_of_host_matches)
{
    err_t err = {0};
    relay_config_t *config = read_config(full_spec, &err);
    ck_assert_ptr_nonnull(config);
    ck_assert_int_eq(config->version, 7);
    ck_assert_int_eq(config->revision, 42);
    ck_assert_str_eq(route_name(config, "a.example", "/x/y/z"), "long");
    ck_assert_str_eq(route_name(config, "A.Example", "/x/q"), "short");
    ck_assert_str_eq(route_name(config, "a.example", "/xy"), "none");
    ck_assert_str_eq(route_name(config, "c.example", "/x/"), "none");
    ck_assert_str_eq(route_name(config, "b.example", "/any"), "st");
    relay_config_release(config);
}
END_TEST

START_TEST(fields_are_read)
{
    err_t err = {0};
    relay_config_t *config = read_config(full_spec, &err);
    const route_t *route =
        relay_config_find_route(config, "b.example", 9, "/any", 4);
    ck_assert_int_eq(route->kind, ROUTE_STREAM);
    ck_assert(route->resumable);
    ck_assert_int_eq(route->attempts, 2);
    ck_assert_int_eq(route->target_gap_ms, 800);
    ck_assert(relay_config_find_service(config, "llm")->engine);
    ck_assert_int_eq(relay_config_find_service(config, "llm")->stride, 9);
    ck_assert(relay_config_find_service(config, "kept")->kv_store);
    ck_assert_str_eq(relay_config_find_service(config, "kept")->dc, "z1");
    ck_assert_int_eq(config->limits.idle_ms, 400);
    ck_assert_int_eq(config->longest_timeout_ms, 15000);
    ck_assert_str_eq(relay_config_find_workspace(config, "k2")->name, "t1");
    ck_assert(relay_config_find_workspace(config, "k2")->isolated);
    ck_assert_ptr_null(relay_config_find_workspace(config, "k9"));
    relay_config_release(config);
}
END_TEST

static const char limits_spec[] =
    "{\"version\":1,\"routes\":[],\"tenants\":["
    "{\"name\":\"t1\",\"unit\":\"tokens\",\"rate_per_s\":36000.5,"
    "\"burst\":40000,\"uncached_tokens\":200},"
    "{\"name\":\"t2\",\"rate_per_s\":20,\"burst\":30},"
    "{\"name\":\"t3\",\"rate_per_s\":0},"
    "{\"name\":\"t4\",\"rate_per_s\":null}]}";

START_TEST(workspace_limits_are_read)
{
    err_t err = {0};
    relay_config_t *config = read_config(limits_spec, &err);
    ck_assert_ptr_nonnull(config);
    const workspace_entry_t *workspaces = config->workspaces;
    ck_assert_int_eq(workspaces[0].limit_unit, LIMIT_TOKENS);
    ck_assert_double_eq(workspaces[0].limit_rate, 36000.5);
    ck_assert_double_eq(workspaces[0].limit_burst, 40000);
    ck_assert_double_eq(workspaces[0].default_tokens, 200);
    ck_assert_int_eq(workspaces[1].limit_unit, LIMIT_REQUESTS);
    ck_assert_double_eq(workspaces[1].limit_rate, 20);
    ck_assert_double_eq(workspaces[2].limit_rate, 0);
    ck_assert_double_eq(workspaces[3].limit_rate, 0);
    relay_config_release(config);
}
END_TEST

/* Guards against an invalid limit that is read as no limit. */
START_TEST(invalid_limits_are_rejected)
{
    static const char *const bad[][2] = {{"rate_per_s", "\"10\""},
                                         {"rate_per_s", "-1"},
                                         {"burst", "[]"},
                                         {"uncached_tokens", "true"}};
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        err_t err = {0};
        char spec[256];
        (void)snprintf(spec, sizeof(spec),
                       "{\"version\":1,\"routes\":[],\"tenants\":"
                       "[{\"name\":\"t1\",\"%s\":%s}]}",
                       bad[i][0], bad[i][1]);
        ck_assert_ptr_null(read_config(spec, &err));
        ck_assert_ptr_nonnull(strstr(err.text, "t1"));
        ck_assert_ptr_nonnull(strstr(err.text, bad[i][0]));
    }
}
END_TEST

/* Guards against paths and addresses that write lines of a call. */
START_TEST(paths_and_addresses_hold_no_lines)
{
    static const char *const paths[] = {
        "",
        "health",
        "/a b",
        "/a\\r\\nb: c",
        "/\xc3\xa9",
        "/\\u007f",
        "/0123456789012345678901234567890123456789012345678901234567890123"};
    static const char *const addresses[] = {
        "", "10.0.0.9", "10.0.0.9:80\\r\\na: b", "10.0.0.9:80 ", "a:80"};
    err_t err = {0};
    for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
        char spec[256];
        (void)snprintf(spec, sizeof(spec),
                       "{\"version\":1,\"routes\":[],\"services\":[{"
                       "\"name\":\"s\","
                       "\"health_check_path\":\"%s\"}]}",
                       paths[i]);
        relay_config_t *config = read_config(spec, &err);
        ck_assert_ptr_nonnull(config);
        ck_assert_str_eq(relay_config_find_service(config, "s")->health_path,
                         "/");
        relay_config_release(config);
    }
    for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
        char spec[256];
        (void)snprintf(spec, sizeof(spec),
                       "{\"version\":1,\"routes\":[],\"services\":[{"
                       "\"name\":\"s\","
                       "\"cache_store_address\":\"%s\"}]}",
                       addresses[i]);
        relay_config_t *config = read_config(spec, &err);
        ck_assert_ptr_nonnull(config);
        ck_assert(!relay_config_find_service(config, "s")->kv_store);
        relay_config_release(config);
    }
}
END_TEST

START_TEST(split_follows_weights)
{
    err_t err = {0};
    relay_config_t *config = read_config(full_spec, &err);
    const route_t *route =
        relay_config_find_route(config, "a.example", 9, "/x/", 3);
    unsigned second = 0;
    for (uint64_t random = 0; random < 1000; random++) {
        second += strcmp(route_pick_service(route, random), "s2") == 0;
    }
    ck_assert_uint_eq(second, 100);
    relay_config_release(config);
}
END_TEST

/* A configuration that is invalid in any part is rejected: half of one could
 * route requests to the wrong services. */
START_TEST(invalid_configurations_are_rejected)
{
    static const char *const bad[] = {
        "{}",
        "{\"version\":1}",
        "{\"version\":1,\"routes\":[{}]}",
        "{\"version\":1,\"routes\":[{\"host\":\"a\",\"path_prefix\":\"/\","
        "\"kind\":\"other\",\"timeout_ms\":5,\"service\":\"s\"}]}",
        "{\"version\":1,\"routes\":[{\"host\":\"a\",\"path_prefix\":\"/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":5}]}",
        "{\"version\":1,\"routes\":[],\"tenants\":[{}]}",
        "{\"version\":1,\"routes\":[],\"services\":[{}]}",
    };
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        err_t err = {0};
        ck_assert_ptr_null(read_config(bad[i], &err));
        ck_assert_int_gt((int)strlen(err.text), 0);
    }
}
END_TEST

static int
read_entry(const char *spec, server_entry_t *entry)
{
    err_t err = {0};
    CLEAN_JSON json_t *doc = json_loads(spec, 0, NULL);
    store_object_t object = {.name = "i-1", .spec = doc};
    return platform_server_read(entry, &object, &err);
}

/* An invalid entry from another writer is rejected. */
START_TEST(invalid_entries_are_rejected)
{
    static const char good[] =
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":4,\"state\":\"ready\",\"sequence\":9,\"born\":5,"
        "\"models\":[{\"name\":\"m\",\"version\":3}]}";
    static const char *const bad[] = {
        "{}",
        "[]",
        "\"text\"",
        "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
        "\"slots\":4,\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":4,\"state\":\"happy\"}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":\"4\",\"state\":\"ready\"}",
        "{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":4,\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":4,\"state\":\"ready\",\"born\":\"now\"}",
    };
    server_entry_t entry;
    ck_assert_int_eq(read_entry(good, &entry), 0);
    ck_assert(entry.engine);
    ck_assert_int_eq(entry.weights, 3);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        ck_assert_msg(read_entry(bad[i], &entry) != 0,
                      "entry %zu was accepted", i);
    }
}
END_TEST

/* An answer of the store is corrupted, or holds entries of other writers.  The
 * corruption comes from a seed; nothing is read out of bounds. */
START_TEST(corrupted_pages_are_read_safely)
{
    static const char page_text[] =
        "{\"items\":[{\"metadata\":{\"name\":\"i-1\",\"revision\":4},"
        "\"specification\":{\"service\":\"s\",\"address\":\"10.0.0.1:80\"}},"
        "{\"metadata\":{}},7],\"has_more\":false,\"at\":12}";
    log_setup("test", LOG_ERROR);
    for (uint64_t seed = 0; seed < 4000; seed++) {
        rng_t rng = {seed};
        char copy[sizeof(page_text)];
        store_page_t page;
        server_entry_t entry;
        err_t err = {0};
        memcpy(copy, page_text, sizeof(copy));
        for (uint64_t i = 0; i < seed % 5; i++) {
            copy[rng_below(&rng, sizeof(copy) - 1)] =
                (char)rng_below(&rng, 256);
        }
        if (platform_page_read(&page, copy, sizeof(copy) - 1, &err) != 0) {
            continue;
        }
        ck_assert_uint_le(page.count, 3);
        for (size_t i = 0; i < page.count; i++) {
            (void)platform_server_read(&entry, &page.objects[i], &err);
        }
        platform_page_free(&page);
    }
}
END_TEST

/* An entry of a list contains invalid text.  The others must still be
 * read, or another writer could make all servers disappear. */
START_TEST(invalid_text_affects_one_entry)
{
    static const char page_text[] =
        "{\"items\":[{\"metadata\":{\"name\":\"bad\",\"revision\":4},"
        "\"specification\":{\"service\":\"\xff\xfe\"}},"
        "{\"metadata\":{\"name\":\"lone\",\"revision\":4},"
        "\"specification\":{\"service\":\"\\ud800\"}},"
        "{\"metadata\":{\"name\":\"i-1\",\"revision\":5},"
        "\"specification\":{\"service\":\"s\"}}],\"at\":12}";
    store_page_t page;
    err_t err = {0};
    ck_assert_int_eq(
        platform_page_read(&page, page_text, sizeof(page_text) - 1, &err), 0);
    ck_assert_uint_eq(page.count, 3);
    ck_assert_str_eq(page.objects[2].name, "i-1");
    platform_page_free(&page);
}
END_TEST

START_TEST(report_is_read)
{
    static const char text[] =
        "{\"models\":[{\"name\":\"m1\",\"version\":3,\"adapters\":[]}],"
        "\"busy\":true,\"sequence\":2,\"queued_requests\":1,"
        "\"active_requests\":12,\"cache_used\":41000,\"cache_total\":90000,"
        "\"born\":1000}";
    server_report_t report;
    err_t err = {0};
    ck_assert_int_eq(
        platform_report_read(&report, text, sizeof(text) - 1, &err), 0);
    ck_assert(report.busy);
    ck_assert_int_eq(report.weights, 3);
    ck_assert_int_eq(report.accepted_orders, 2);
    ck_assert_int_eq(report.waiting, 1);
    ck_assert_int_eq(report.running, 12);
    ck_assert_int_eq(report.memory_used, 41000);
    ck_assert_int_eq(report.memory_total, 90000);
    ck_assert_int_eq(report.started_ms, 1000);
}
END_TEST

/* Parts cached under older weights, or by another workspace if one of the two
 * is isolated, must not be found. */
START_TEST(salts_differ_by_weights_and_isolation)
{
    char shared[CS_ID_LEN + 1];
    char newer[CS_ID_LEN + 1];
    char workspace_a[CS_ID_LEN + 1];
    char workspace_b[CS_ID_LEN + 1];
    prompt_format_salt("m", 1, "", shared);
    prompt_format_salt("m", 2, "", newer);
    prompt_format_salt("m", 1, "a", workspace_a);
    prompt_format_salt("m", 1, "b", workspace_b);
    ck_assert_str_ne(shared, newer);
    ck_assert_str_ne(shared, workspace_a);
    ck_assert_str_ne(workspace_a, workspace_b);
}
END_TEST

static relay_config_t *
read_tenants(const char *tenants)
{
    char spec[512];
    err_t err = {0};
    (void)snprintf(spec, sizeof(spec),
                   "{\"version\":1,\"routes\":[],\"tenants\":[%s]}", tenants);
    relay_config_t *config = read_config(spec, &err);
    ck_assert_msg(config != NULL, "%s", err.text);
    return config;
}

/* Returns the salt of a workspace's key, or of a public route for NULL. */
static const char *
salt_of(const char *tenants, const char *key, char out[CS_ID_LEN + 1])
{
    char group[SHARING_GROUP_MAX];
    relay_config_t *config = read_tenants(tenants);
    relay_config_sharing_group(
        config, key != NULL ? relay_config_find_workspace(config, key) : NULL,
        group);
    prompt_format_salt("m", 1, group, out);
    relay_config_release(config);
    return out;
}

#define TENANT(name, isolated)                          \
    "{\"name\":\"" name "\",\"access_keys\":[\"k-" name \
    "\"],\"isolated\":" isolated "}"

/* Guards against parts that a workspace has cached among the others and that
 * stay in use once a configuration isolates it. */
START_TEST(shared_salt_changes_once_a_workspace_is_isolated)
{
    static const char open_all[] =
        TENANT("a", "false") "," TENANT("b", "false") "," TENANT("c", "false");
    static const char a_isolated[] =
        TENANT("a", "true") "," TENANT("b", "false") "," TENANT("c", "false");
    static const char ab_isolated[] =
        TENANT("b", "true") "," TENANT("a", "true") "," TENANT("c", "false");
    static const char ab_in_other_order[] =
        TENANT("a", "true") "," TENANT("c", "false") "," TENANT("b", "true");
    char first[CS_ID_LEN + 1];
    char second[CS_ID_LEN + 1];
    /* Those that are not isolated share, with public routes too. */
    ck_assert_str_eq(salt_of(open_all, "k-a", first),
                     salt_of(open_all, "k-b", second));
    ck_assert_str_eq(salt_of(a_isolated, "k-b", first),
                     salt_of(a_isolated, NULL, second));
    /* What the isolated one had shared is out of reach, for itself too. */
    ck_assert_str_ne(salt_of(open_all, "k-b", first),
                     salt_of(a_isolated, "k-b", second));
    ck_assert_str_ne(salt_of(open_all, "k-a", first),
                     salt_of(a_isolated, "k-a", second));
    ck_assert_str_ne(salt_of(a_isolated, "k-c", first),
                     salt_of(ab_isolated, "k-c", second));
    ck_assert_str_ne(salt_of(ab_isolated, "k-a", first),
                     salt_of(ab_isolated, "k-b", second));
    /* All hosts agree, whatever the order. */
    ck_assert_str_eq(salt_of(ab_isolated, "k-c", first),
                     salt_of(ab_in_other_order, "k-c", second));
}
END_TEST

/* Guards against requests that are sent again, after a configuration isolated
 * or removed their workspace or another one, under the salt of before. */
START_TEST(another_configuration_says_who_shares)
{
    static const char open_all[] =
        TENANT("a", "false") "," TENANT("b", "false") "," TENANT("c", "false");
    static const char a_isolated[] =
        TENANT("a", "true") "," TENANT("b", "false");
    char named[SHARING_GROUP_MAX];
    char shared[SHARING_GROUP_MAX];
    relay_config_t *before = read_tenants(open_all);
    relay_config_t *after = read_tenants(a_isolated);
    relay_config_sharing_group_of(after, "b", named);
    relay_config_sharing_group(after, NULL, shared);
    ck_assert_str_eq(named, shared);
    relay_config_sharing_group(before, NULL, shared);
    ck_assert_str_ne(named, shared);
    relay_config_sharing_group_of(after, "a", named);
    ck_assert_str_eq(named, "a");
    relay_config_sharing_group_of(after, "c", named);
    ck_assert_str_eq(named, "c");
    relay_config_release(before);
    relay_config_release(after);
}
END_TEST

START_TEST(prompt_parts_are_read)
{
    prompt_t prompt = {0};
    prefix_t prefix;
    static const char parts[] = "5c1e07a2:800,91bd3f06:410, e4402b7d:250";
    prompt_parse_parts(&prompt, parts, strlen(parts));
    prompt_parse_tokens(&prompt, "1460,80", 7);
    ck_assert_uint_eq(prompt.count, 3);
    ck_assert_uint_eq(prompt.output_tokens, 80);
    prompt_to_levels(&prompt, "salt", &prefix);
    ck_assert_uint_eq(prefix.levels[1].tokens, 1210);
    ck_assert_uint_eq(prefix.tokens, 1460);
}
END_TEST

TEST_MAIN("relay-config", longest_prefix_of_host_matches, fields_are_read,
          workspace_limits_are_read, invalid_limits_are_rejected,
          paths_and_addresses_hold_no_lines, split_follows_weights,
          invalid_configurations_are_rejected, invalid_entries_are_rejected,
          corrupted_pages_are_read_safely, invalid_text_affects_one_entry,
          report_is_read, salts_differ_by_weights_and_isolation,
          shared_salt_changes_once_a_workspace_is_isolated,
          another_configuration_says_who_shares, prompt_parts_are_read)
