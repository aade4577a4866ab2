#include "../kernel/config.h"
#include "test.h"

#include <string.h>

static json_t *
apply(json_t *doc, change_kind_t kind, const char *section, const char *name,
      json_t *fields, err_t *err)
{
    change_t change = {kind, section, name, fields};
    json_t *next = config_change_apply(doc, &change, err);
    json_decref(fields);
    json_decref(doc);
    return next;
}

/* A document with a model, a workspace and two backend servers. */
static json_t *
sample(void)
{
    err_t err = {0};
    json_t *doc = config_empty();
    doc =
        apply(doc, CHANGE_DECLARE, "models", "m",
              json_pack("{s:s,s:i}", "version", "v1", "longest_s", 10), &err);
    doc = apply(doc, CHANGE_DECLARE, "workspaces", "w",
                json_pack("{s:s}", "key_hash", "abc"), &err);
    for (int i = 1; i <= 2; i++) {
        char name[16];
        (void)snprintf(name, sizeof(name), "b%d", i);
        doc = apply(doc, CHANGE_DECLARE, "backends", name,
                    json_pack("{s:s,s:s,s:s,s:s}", "addr", "127.0.0.1:9001",
                              "dc", i == 1 ? "dc-a" : "dc-b", "kind", "engine",
                              "serves", "m"),
                    &err);
    }
    ck_assert_ptr_nonnull(doc);
    return doc;
}

START_TEST(errors_name_section_object_and_field)
{
    err_t err = {0};
    json_t *doc = apply(sample(), CHANGE_SET, "backends", "b1",
                        json_pack("{s:s}", "addr", "nowhere"), &err);
    ck_assert_ptr_null(doc);
    ck_assert_ptr_nonnull(strstr(err.text, "backends b1: field addr"));
    (void)apply(sample(), CHANGE_SET, "models", "m",
                json_pack("{s:i}", "colour", 3), &err);
    ck_assert_ptr_nonnull(strstr(err.text, "unknown field colour"));
    (void)apply(sample(), CHANGE_REMOVE, "models", "m", json_object(), &err);
    ck_assert_ptr_nonnull(strstr(err.text, "serves m, which is not declared"));
    (void)apply(sample(), CHANGE_DECLARE, "models", "m",
                json_pack("{s:s}", "version", "v2"), &err);
    ck_assert_ptr_nonnull(strstr(err.text, "already declared"));
    (void)apply(sample(), CHANGE_SET, "models", "x", json_object(), &err);
    ck_assert_ptr_nonnull(strstr(err.text, "not declared"));
}
END_TEST

START_TEST(a_recorded_change_has_a_generation_and_is_found)
{
    int64_t generation = 0;
    json_t *doc = config_change_record(sample(), "id-1", "ann", "set model m");
    ck_assert_int_eq(json_get_int(doc, "generation", 0), 1);
    ck_assert(config_has_change(doc, "id-1", &generation));
    ck_assert_int_eq(generation, 1);
    ck_assert(!config_has_change(doc, "id-2", &generation));
    json_decref(doc);
}
END_TEST

/* Guards against a stream that is cut by a maintenance window: a server that
 * is given requests until the window begins may still run the longest of them
 * then.  New requests must stop before, by the longest stream allowed. */
START_TEST(a_window_stops_new_requests_one_longest_stream_before)
{
    err_t err = {0};
    json_t *doc =
        apply(sample(), CHANGE_DECLARE, "windows", "x",
              json_pack("{s:s,s:s,s:i,s:i}", "kind", "dc", "target", "dc-a",
                        "begin_ms", 100000, "end_ms", 200000),
              &err);
    config_t *config = config_parse(doc, &err);
    const backend_t *covered = config_find_backend(config, "b1");
    const backend_t *other = config_find_backend(config, "b2");
    ck_assert_int_eq(config_backend_availability(config, covered, 89999),
                     AVAILABILITY_OPEN);
    ck_assert_int_eq(config_backend_availability(config, covered, 90000),
                     AVAILABILITY_WINDOW_NEAR);
    ck_assert_int_eq(config_backend_availability(config, covered, 100000),
                     AVAILABILITY_IN_WINDOW);
    ck_assert_int_eq(config_backend_availability(config, covered, 200000),
                     AVAILABILITY_OPEN);
    ck_assert_int_eq(config_backend_availability(config, other, 150000),
                     AVAILABILITY_OPEN);
    ck_assert(!config_host_is_available(config, "h", "dc-a", 150000, 0));
    ck_assert(config_host_is_available(config, "h", "dc-b", 150000, 0));
    config_release(config);
    json_decref(doc);
}
END_TEST

/* Guards against windows that cut streams or leave a model without a server
 * and give no warning: they are declared with less notice than the longest
 * stream, or together cover every server.  The warnings must be given when
 * they are declared. */
START_TEST(a_window_that_would_lose_requests_gives_warnings)
{
    err_t err = {0};
    json_t *doc =
        apply(sample(), CHANGE_DECLARE, "windows", "short",
              json_pack("{s:s,s:s,s:i,s:i}", "kind", "backend", "target", "b1",
                        "begin_ms", 5000, "end_ms", 9000),
              &err);
    doc = apply(doc, CHANGE_DECLARE, "windows", "rest",
                json_pack("{s:s,s:s,s:i,s:i}", "kind", "backend", "target",
                          "b2", "begin_ms", 4000, "end_ms", 9000),
                &err);
    config_t *config = config_parse(doc, &err);
    CLEAN_JSON json_t *warnings = json_array();
    config_list_warnings(config, 1000, warnings);
    CLEAN_TEXT char *text = json_dumps(warnings, 0);
    ck_assert_ptr_nonnull(
        strstr(text, "window short: notice is 6000 ms shorter"));
    ck_assert_ptr_nonnull(strstr(text, "no server of m stays available"));
    config_release(config);
    json_decref(doc);
}
END_TEST

START_TEST(a_drained_server_is_unavailable)
{
    err_t err = {0};
    json_t *doc = apply(sample(), CHANGE_SET, "backends", "b1",
                        json_pack("{s:b}", "drain", true), &err);
    config_t *config = config_parse(doc, &err);
    ck_assert_int_eq(config_backend_availability(
                         config, config_find_backend(config, "b1"), 0),
                     AVAILABILITY_DRAINED);
    config_release(config);
    json_decref(doc);
}
END_TEST

TEST_MAIN("config", errors_name_section_object_and_field,
          a_recorded_change_has_a_generation_and_is_found,
          a_window_stops_new_requests_one_longest_stream_before,
          a_window_that_would_lose_requests_gives_warnings,
          a_drained_server_is_unavailable)
