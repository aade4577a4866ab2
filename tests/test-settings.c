#include "../kernel/settings.h"
#include "test.h"

#include <string.h>

static const char valid[] =
    "[daemon]\nname = router-1\ndc = dc-a\n"
    "[listen]\nhttp = 127.0.0.1:8101\npeer = 127.0.0.1:8201\n"
    "[platform]\nstore = 127.0.0.1:9001\n"
    "[keys]\noperator = op\nsecret = "
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n";

/* The problems of a settings text, one per line. */
static const char *
problems_of(const char *text)
{
    static char out[4096];
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    (void)settings_parse(&settings, "f.ini", text, &problems);
    str_copy(out, sizeof(out), buf_text(&problems));
    return out;
}

static const char *
problems_with(const char *added_text)
{
    static char text[4096];
    (void)snprintf(text, sizeof(text), "%s%s", valid, added_text);
    return problems_of(text);
}

START_TEST(a_valid_file_is_read_with_defaults)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    int status = settings_parse(&settings, "f.ini", valid, &problems);
    ck_assert_str_eq(buf_text(&problems), "");
    ck_assert_int_eq(status, SETTINGS_VALID);
    ck_assert_str_eq(settings.name, "router-1");
    ck_assert_int_eq(settings.http_threads, 2);
    ck_assert_int_eq(settings.secret[31], 0x1f);
}
END_TEST

START_TEST(problems_name_file_line_and_allowed_values)
{
    ck_assert_ptr_nonnull(strstr(problems_with("[keys]\nfoo = 1\n"),
                                 "f.ini:13: unknown key foo in [keys]; "
                                 "allowed: secret, operator"));
    ck_assert_ptr_nonnull(strstr(problems_with("[nope]\na = 1\n"),
                                 "f.ini:13: unknown section [nope]"));
    ck_assert_ptr_nonnull(strstr(problems_with("[daemon]\nname = again\n"),
                                 "f.ini:13: name is set twice, first on "
                                 "line 2"));
    ck_assert_ptr_nonnull(strstr(problems_with("[listen]\nbody_kib = 12x\n"),
                                 "f.ini:13: body_kib = 12x is invalid; "
                                 "expected: an integer from 1 to 65536"));
    ck_assert_ptr_nonnull(strstr(problems_with("[peers]\nseeds = 1.2.3.4\n"),
                                 "f.ini:13: seeds = 1.2.3.4"));
    ck_assert_ptr_nonnull(
        strstr(problems_with("[daemon]\nmode = relay\n[listen]\n"
                             "source = 10.0.0.256\n"),
               "f.ini:15: source = 10.0.0.256 is invalid; expected: an IPv4 "
               "address"));
    ck_assert_ptr_nonnull(strstr(problems_with("[daemon]\nlog_level = loud\n"),
                                 "error, warn, info or debug"));
    ck_assert_ptr_nonnull(strstr(problems_with("what is this\n"),
                                 "f.ini:12: neither a section nor"));
}
END_TEST

START_TEST(all_problems_are_reported_at_once)
{
    const char *problems = problems_of("[listen]\nhttp = x\nthreads = 3\n");
    ck_assert_ptr_nonnull(strstr(problems, "http = x"));
    ck_assert_ptr_nonnull(strstr(problems, "unknown key threads"));
    ck_assert_ptr_nonnull(strstr(problems, "name is missing"));
    ck_assert_ptr_nonnull(strstr(problems, "secret is missing"));
}
END_TEST

START_TEST(conflicting_settings_are_problems)
{
    char text[1024];
    str_copy(text, sizeof(text), valid);
    strstr(text, "8201")[1] = '1';
    ck_assert_ptr_nonnull(strstr(problems_of(text),
                                 "f.ini:6: peer is the same address as http"));
    ck_assert_ptr_nonnull(
        strstr(problems_with("[peers]\nseeds = 127.0.0.1:8101\n"),
               "is an http address"));
}
END_TEST

START_TEST(problems_never_contain_a_secret)
{
    char text[1024];
    str_copy(text, sizeof(text), valid);
    char *at = strstr(text, "secret = ");
    at[9] = 'z';
    ck_assert_ptr_null(strstr(problems_of(text), "z00102"));
    ck_assert_ptr_nonnull(strstr(problems_of(text), "(hidden)"));
}
END_TEST

START_TEST(the_example_file_is_valid)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    (void)settings_read(&settings, "examples/router-1.ini", &problems);
    ck_assert_str_eq(buf_text(&problems), "");
}
END_TEST

/* A name of the settings template and the value that the platform sets. */
typedef struct {
    const char *name;
    const char *value;
} template_value_t;

/* The value of a name in the template, or NULL. */
static const char *
find_value(const template_value_t *values, size_t count, const char *name,
           size_t len)
{
    for (size_t i = 0; i < count; i++) {
        if (strlen(values[i].name) == len &&
            strncmp(values[i].name, name, len) == 0) {
            return values[i].value;
        }
    }
    return NULL;
}

/* Renders a section, the text between its two tags, if its name has a value;
 * returns what follows the section. */
static const char *
render_section(const template_value_t *values, size_t count, const char *open,
               buf_t *out)
{
    const char *close = strstr(open, "}}");
    size_t len = (size_t)(close - open) - 3;
    char tag[64];
    (void)snprintf(tag, sizeof(tag), "{{/%.*s}}", (int)len, open + 3);
    const char *end = strstr(close, tag);
    ck_assert_ptr_nonnull(end);
    const char *value = find_value(values, count, open + 3, len);
    const char *dot = strstr(close, "{{.}}");
    if (value != NULL && dot != NULL && dot < end) {
        buf_add(out, close + 2, (size_t)(dot - close) - 2);
        buf_str(out, value);
        buf_add(out, dot + 5, (size_t)(end - dot) - 5);
    }
    return end + strlen(tag);
}

/* The template with its names replaced by the given values.  Names without a
 * value are replaced by "1"; sections without one are left out. */
static const char *
render_template(const template_value_t *values, size_t count)
{
    static char out[4096];
    char text[4096];
    FILE *file = fopen("deploy/celeryspool.ini.template", "re");
    ck_assert_ptr_nonnull(file);
    text[fread(text, 1, sizeof(text) - 1, file)] = '\0';
    (void)fclose(file);
    CLEAN_BUF buf_t filled = {0};
    const char *at = text;
    const char *open;
    while ((open = strstr(at, "{{")) != NULL) {
        const char *close = strstr(open, "}}");
        ck_assert_ptr_nonnull(close);
        buf_add(&filled, at, (size_t)(open - at));
        at = close + 2;
        if (open[2] == '#') {
            at = render_section(values, count, open, &filled);
            continue;
        }
        const char *value =
            find_value(values, count, open + 2, (size_t)(close - open) - 2);
        buf_str(&filled, value != NULL ? value : "1");
    }
    buf_str(&filled, at);
    str_copy(out, sizeof(out), buf_text(&filled));
    return out;
}

static const template_value_t platform_values[] = {
    {"node_name", "edge-a-1"},
    {"zone", "dc-a"},
    {"listen_addresses.front", "127.0.0.1:8101"},
    {"listen_addresses.readiness", "127.0.0.1:8102"},
    {"ip_address", "127.0.0.1"},
    {"internal_port_range.0", "7340"},
    {"internal_port_range.1", "7341"},
    {"platform.address", "127.0.0.1:9001"},
    {"bounds.grace_s", "8.5"},
    {"bounds.retry_budget_ratio", "0.125"},
    {"bounds.retry_budget_slack", "35.833333333333336"},
    {"bounds.budget_window_s", "10.25"},
    {"bounds.quota_window_s", "8.5"},
    {"bounds.quota_overage", "0.1"},
    {"bounds.quota_slack", "140000"},
    {"bounds.lease_ms", "3000.5"},
    {"bounds.version_ms", "1e4"},
    {"limits.memory_mb", "120"},
    {"limits.link_mbps", "10.5"},
};
#define PLATFORM_VALUE_COUNT \
    (sizeof(platform_values) / sizeof(platform_values[0]))

static bool
is_platform_value(const char *name, size_t len)
{
    return find_value(platform_values, PLATFORM_VALUE_COUNT, name, len) !=
               NULL ||
           strncmp(name, "seeds", len) == 0;
}

/* Guards against hosts that cannot start since the template asks for fields
 * that the scripts of earlier releases do not fill in. */
START_TEST(the_template_asks_for_no_further_fields)
{
    char text[4096];
    FILE *file = fopen("deploy/celeryspool.ini.template", "re");
    ck_assert_ptr_nonnull(file);
    text[fread(text, 1, sizeof(text) - 1, file)] = '\0';
    (void)fclose(file);
    const char *at = text;
    while ((at = strstr(at, "{{")) != NULL) {
        const char *name = at + 2 + strspn(at + 2, "#^/");
        size_t len = strcspn(name, "}");
        ck_assert_msg(len == 1 || is_platform_value(name, len), "{{%.*s}}",
                      (int)len, name);
        at = name + len;
    }
}
END_TEST

/* Guards against a daemon that exits at startup because a bound set by the
 * platform is a fraction. */
START_TEST(bounds_may_be_fractions_and_keep_their_precision)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    (void)settings_parse(
        &settings, "f", render_template(platform_values, PLATFORM_VALUE_COUNT),
        &problems);
    ck_assert_str_eq(buf_text(&problems), "");
    ck_assert_double_eq(settings.stop_timeout_s, 8.5);
    ck_assert_double_eq(settings.retry_ratio, 0.125);
    ck_assert_double_eq(settings.retry_slack, 35.833333333333336);
    ck_assert_double_eq(settings.retry_window_s, 10.25);
    ck_assert_double_eq(settings.lease_ms, 3000.5);
    ck_assert_double_eq(settings.old_weights_max_ms, 10000);
    ck_assert_double_eq(settings.quota_window_s, 8.5);
    ck_assert_double_eq(settings.quota_overage, 0.1);
    ck_assert_double_eq(settings.quota_slack, 140000);
    ck_assert_double_eq(settings.memory_mb, 120);
    ck_assert_double_eq(settings.link_mbps, 10.5);
}
END_TEST

/* Guards against a daemon that exits at startup on a platform that sets no
 * bounds for quotas, or does not state the host's memory and link. */
START_TEST(quota_bounds_and_memory_may_be_missing)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    template_value_t values[PLATFORM_VALUE_COUNT];
    size_t count = 0;
    for (size_t i = 0; i < PLATFORM_VALUE_COUNT; i++) {
        if (strstr(platform_values[i].name, "quota") == NULL &&
            strstr(platform_values[i].name, "limits.") == NULL) {
            values[count++] = platform_values[i];
        }
    }
    (void)settings_parse(&settings, "f", render_template(values, count),
                         &problems);
    ck_assert_str_eq(buf_text(&problems), "");
    ck_assert_double_eq(settings.quota_slack, 0);
    ck_assert_double_eq(settings.memory_mb, 0);
    ck_assert_double_eq(settings.link_mbps, 0);
}
END_TEST

START_TEST(invalid_bounds_are_problems)
{
    static const char *const invalid[] = {
        "",     "x",     "-1",  "1e9", "inf", "nan", "0x10",
        "1.5x", "1 000", "1,5", "--3", "1e",  ".",   "99999999999999999999",
    };
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        template_value_t values[PLATFORM_VALUE_COUNT];
        settings_t settings;
        CLEAN_BUF buf_t problems = {0};
        memcpy(values, platform_values, sizeof(values));
        for (size_t at = 0; at < PLATFORM_VALUE_COUNT; at++) {
            if (strncmp(values[at].name, "bounds.", 7) == 0 ||
                strncmp(values[at].name, "limits.", 7) == 0) {
                values[at].value = invalid[i];
            }
        }
        (void)settings_parse(&settings, "f.ini",
                             render_template(values, PLATFORM_VALUE_COUNT),
                             &problems);
        static const char *const keys[] = {
            "stop_s",      "retry_ratio", "retry_slack",    "retry_window_s",
            "lease_ms",    "weights_ms",  "quota_window_s", "quota_overage",
            "quota_slack", "memory_mb",   "link_mbps"};
        for (size_t key = 0; key < sizeof(keys) / sizeof(keys[0]); key++) {
            char expected[128];
            (void)snprintf(expected, sizeof(expected),
                           "%s = %s is invalid; expected: a number from ",
                           keys[key], invalid[i]);
            ck_assert_msg(strstr(buf_text(&problems), expected) != NULL,
                          "%s is missing in: %s", expected,
                          buf_text(&problems));
        }
    }
}
END_TEST

/* A valid text is corrupted and truncated at random, with a fixed seed: it
 * must be read or rejected with a problem, without a sanitizer error. */
START_TEST(corrupted_files_are_read_or_rejected)
{
    rng_t rng = {7};
    for (int i = 0; i < 3000; i++) {
        char text[1024];
        settings_t settings;
        CLEAN_BUF buf_t problems = {0};
        size_t len = strlen(valid);
        memcpy(text, valid, len + 1);
        for (uint64_t n = rng_below(&rng, 8); n > 0; n--) {
            text[rng_below(&rng, len)] = (char)(1 + rng_below(&rng, 255));
        }
        text[rng_below(&rng, len) + 1] = '\0';
        int status = settings_parse(&settings, "f", text, &problems);
        ck_assert_int_eq(status == 0, problems.len == 0);
    }
}
END_TEST

static settings_status_t
status_of(const char *text)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    settings_status_t status =
        settings_parse(&settings, "f.ini", text, &problems);
    ck_assert_int_eq(status == SETTINGS_VALID, problems.len == 0);
    return status;
}

START_TEST(every_beginning_of_a_valid_file_is_incomplete)
{
    char text[4096];
    size_t len = strlen(valid);
    for (size_t i = 0; i + 1 < len; i++) {
        str_copy(text, i + 1, valid);
        ck_assert_msg(status_of(text) == SETTINGS_INCOMPLETE, "%zu bytes", i);
    }
    ck_assert_int_eq(status_of(valid), SETTINGS_VALID);
    str_copy(text, len, valid);
    ck_assert_int_eq(status_of(text), SETTINGS_VALID);
}
END_TEST

START_TEST(a_fault_on_a_complete_line_is_invalid)
{
    char text[4096];
    ck_assert_int_eq(status_of("[daemon]\nname = a b\n"), SETTINGS_INVALID);
    ck_assert_int_eq(status_of("[daemon]\nname = a b"), SETTINGS_INCOMPLETE);
    ck_assert_int_eq(status_of("[nope]\nname = a\n"), SETTINGS_INVALID);
    ck_assert_int_eq(status_of("what is this\n[daemon"), SETTINGS_INVALID);
    str_copy(text, sizeof(text), valid);
    strstr(text, "8201")[1] = '1';
    ck_assert_int_eq(status_of(text), SETTINGS_INVALID);
}
END_TEST

START_TEST(a_missing_file_is_incomplete)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    ck_assert_int_eq(settings_read(&settings, "no-such-file", &problems),
                     SETTINGS_INCOMPLETE);
    ck_assert_str_eq(buf_text(&problems),
                     "no-such-file:0: cannot be opened: No such file or "
                     "directory\n");
    problems.len = 0;
    ck_assert_int_eq(settings_read(&settings, "tests", &problems),
                     SETTINGS_INVALID);
}
END_TEST

TEST_MAIN("settings", a_valid_file_is_read_with_defaults,
          problems_name_file_line_and_allowed_values,
          all_problems_are_reported_at_once, conflicting_settings_are_problems,
          problems_never_contain_a_secret, the_example_file_is_valid,
          bounds_may_be_fractions_and_keep_their_precision,
          quota_bounds_and_memory_may_be_missing, invalid_bounds_are_problems,
          corrupted_files_are_read_or_rejected,
          every_beginning_of_a_valid_file_is_incomplete,
          a_fault_on_a_complete_line_is_invalid, a_missing_file_is_incomplete,
          the_template_asks_for_no_further_fields)
