#include "../kernel/settings.h"
#include "test.h"

#include <string.h>

static const char good[] =
    "[daemon]\nname = router-1\ndc = dc-a\n"
    "[listen]\nhttp = 127.0.0.1:8101\npeer = 127.0.0.1:8201\n"
    "[platform]\nstore = 127.0.0.1:9001\n"
    "[keys]\noperator = op\nsecret = "
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n";

/* The problems that a text has, one line each. */
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
with(const char *extra)
{
    static char text[4096];
    (void)snprintf(text, sizeof(text), "%s%s", good, extra);
    return problems_of(text);
}

START_TEST(a_good_file_is_taken_with_its_defaults)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    int status = settings_parse(&settings, "f.ini", good, &problems);
    ck_assert_str_eq(buf_text(&problems), "");
    ck_assert_int_eq(status, 0);
    ck_assert_str_eq(settings.name, "router-1");
    ck_assert_int_eq(settings.http_threads, 2);
    ck_assert_int_eq(settings.secret[31], 0x1f);
}
END_TEST

START_TEST(each_fault_names_file_line_and_what_is_allowed)
{
    ck_assert_ptr_nonnull(strstr(with("[keys]\nfoo = 1\n"),
                                 "f.ini:13: unknown key foo in [keys]; "
                                 "allowed: secret, operator"));
    ck_assert_ptr_nonnull(
        strstr(with("[nope]\na = 1\n"), "f.ini:13: unknown section [nope]"));
    ck_assert_ptr_nonnull(strstr(with("[daemon]\nname = again\n"),
                                 "f.ini:13: name is set twice, first in "
                                 "line 2"));
    ck_assert_ptr_nonnull(strstr(with("[listen]\nbody_kib = 12x\n"),
                                 "f.ini:13: body_kib = 12x is not allowed; "
                                 "allowed: a whole number from 1 to 65536"));
    ck_assert_ptr_nonnull(strstr(with("[peers]\nseeds = 1.2.3.4\n"),
                                 "f.ini:13: seeds = 1.2.3.4"));
    ck_assert_ptr_nonnull(strstr(with("[daemon]\nlog_level = loud\n"),
                                 "error, warn, info or debug"));
    ck_assert_ptr_nonnull(
        strstr(with("what is this\n"), "f.ini:12: neither a section nor"));
}
END_TEST

START_TEST(all_faults_are_told_in_one_run)
{
    const char *told = problems_of("[listen]\nhttp = x\nthreads = 3\n");
    ck_assert_ptr_nonnull(strstr(told, "http = x"));
    ck_assert_ptr_nonnull(strstr(told, "unknown key threads"));
    ck_assert_ptr_nonnull(strstr(told, "name is missing"));
    ck_assert_ptr_nonnull(strstr(told, "secret is missing"));
}
END_TEST

START_TEST(contradictions_are_faults)
{
    char text[1024];
    str_copy(text, sizeof(text), good);
    strstr(text, "8201")[1] = '1';
    ck_assert_ptr_nonnull(
        strstr(problems_of(text), "f.ini:6: peer is the address of http"));
    ck_assert_ptr_nonnull(strstr(with("[peers]\nseeds = 127.0.0.1:8101\n"),
                                 "is an http address"));
}
END_TEST

START_TEST(a_secret_is_never_repeated)
{
    char text[1024];
    str_copy(text, sizeof(text), good);
    char *at = strstr(text, "secret = ");
    at[9] = 'z';
    ck_assert_ptr_null(strstr(problems_of(text), "z00102"));
    ck_assert_ptr_nonnull(strstr(problems_of(text), "(hidden)"));
}
END_TEST

START_TEST(the_example_file_is_good)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    (void)settings_read(&settings, "examples/router-1.ini", &problems);
    ck_assert_str_eq(buf_text(&problems), "");
}
END_TEST

/* A value that the platform fills into the settings' template. */
typedef struct {
    const char *name;
    const char *value;
} filled_t;

/* The value of a name of the template, or NULL. */
static const char *
value_of(const filled_t *values, size_t count, const char *name, size_t len)
{
    for (size_t i = 0; i < count; i++) {
        if (strlen(values[i].name) == len &&
            strncmp(values[i].name, name, len) == 0) {
            return values[i].value;
        }
    }
    return NULL;
}

/* Renders a section, whose text is between its two tags, if its name has a
 * value; returns what follows it. */
static const char *
render_section(const filled_t *values, size_t count, const char *open,
               buf_t *out)
{
    const char *close = strstr(open, "}}");
    size_t len = (size_t)(close - open) - 3;
    char tag[64];
    (void)snprintf(tag, sizeof(tag), "{{/%.*s}}", (int)len, open + 3);
    const char *end = strstr(close, tag);
    ck_assert_ptr_nonnull(end);
    const char *value = value_of(values, count, open + 3, len);
    const char *dot = strstr(close, "{{.}}");
    if (value != NULL && dot != NULL && dot < end) {
        buf_add(out, close + 2, (size_t)(dot - close) - 2);
        buf_str(out, value);
        buf_add(out, dot + 5, (size_t)(end - dot) - 5);
    }
    return end + strlen(tag);
}

/* The template with the given values in place of its names; a section of a
 * name that is not listed is empty.  Other such names get "1". */
static const char *
template_with(const filled_t *values, size_t count)
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
            value_of(values, count, open + 2, (size_t)(close - open) - 2);
        buf_str(&filled, value != NULL ? value : "1");
    }
    buf_str(&filled, at);
    str_copy(out, sizeof(out), buf_text(&filled));
    return out;
}

static const filled_t platform_values[] = {
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
};
#define PLATFORM_VALUES (sizeof(platform_values) / sizeof(platform_values[0]))

/* Guards against a daemon that exits at its start because a bound of the
 * platform is a fraction. */
START_TEST(bounds_may_be_fractions_and_keep_their_precision)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    (void)settings_parse(&settings, "f",
                         template_with(platform_values, PLATFORM_VALUES),
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
}
END_TEST

/* Guards against a daemon that exits at its start on a platform that names no
 * bounds of quotas. */
START_TEST(bounds_of_quotas_may_be_missing)
{
    settings_t settings;
    CLEAN_BUF buf_t problems = {0};
    filled_t values[PLATFORM_VALUES];
    size_t count = 0;
    for (size_t i = 0; i < PLATFORM_VALUES; i++) {
        if (strstr(platform_values[i].name, "quota") == NULL) {
            values[count++] = platform_values[i];
        }
    }
    (void)settings_parse(&settings, "f", template_with(values, count),
                         &problems);
    ck_assert_str_eq(buf_text(&problems), "");
    ck_assert_double_eq(settings.quota_slack, 0);
}
END_TEST

START_TEST(bounds_out_of_range_or_no_numbers_are_faults)
{
    static const char *const bad[] = {
        "",     "x",     "-1",  "1e9", "inf", "nan", "0x10",
        "1.5x", "1 000", "1,5", "--3", "1e",  ".",   "99999999999999999999",
    };
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        filled_t values[PLATFORM_VALUES];
        settings_t settings;
        CLEAN_BUF buf_t problems = {0};
        memcpy(values, platform_values, sizeof(values));
        for (size_t at = 0; at < PLATFORM_VALUES; at++) {
            if (strncmp(values[at].name, "bounds.", 7) == 0) {
                values[at].value = bad[i];
            }
        }
        (void)settings_parse(&settings, "f.ini",
                             template_with(values, PLATFORM_VALUES),
                             &problems);
        static const char *const keys[] = {
            "stop_s",         "retry_ratio",   "retry_slack",
            "retry_window_s", "lease_ms",      "weights_ms",
            "quota_window_s", "quota_overage", "quota_slack"};
        for (size_t key = 0; key < sizeof(keys) / sizeof(keys[0]); key++) {
            char want[128];
            (void)snprintf(want, sizeof(want),
                           "%s = %s is not allowed; allowed: a number from ",
                           keys[key], bad[i]);
            ck_assert_msg(strstr(buf_text(&problems), want) != NULL,
                          "%s is missing in: %s", want, buf_text(&problems));
        }
    }
}
END_TEST

/* Bytes of a good file are changed, dropped and doubled at random, with a
 * fixed seed: the reader must end with a verdict, under the sanitizers. */
START_TEST(damaged_files_get_a_verdict)
{
    rng_t rng = {7};
    for (int i = 0; i < 3000; i++) {
        char text[1024];
        settings_t settings;
        CLEAN_BUF buf_t problems = {0};
        size_t len = strlen(good);
        memcpy(text, good, len + 1);
        for (uint64_t n = rng_below(&rng, 8); n > 0; n--) {
            text[rng_below(&rng, len)] = (char)(1 + rng_below(&rng, 255));
        }
        text[rng_below(&rng, len) + 1] = '\0';
        int status = settings_parse(&settings, "f", text, &problems);
        ck_assert_int_eq(status == 0, problems.len == 0);
    }
}
END_TEST

TEST_MAIN("settings", a_good_file_is_taken_with_its_defaults,
          each_fault_names_file_line_and_what_is_allowed,
          all_faults_are_told_in_one_run, contradictions_are_faults,
          a_secret_is_never_repeated, the_example_file_is_good,
          bounds_may_be_fractions_and_keep_their_precision,
          bounds_of_quotas_may_be_missing,
          bounds_out_of_range_or_no_numbers_are_faults,
          damaged_files_get_a_verdict)
