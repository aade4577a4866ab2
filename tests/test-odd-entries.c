#include "../relay/object-cache.h"
#include "test.h"

#include <string.h>

/* Entries that another writer left in the store: each affects itself alone. */

#define ENTRY_HEAD                                                       \
    "{\"metadata\":{\"name\":\"odd\",\"revision\":4},\"specification\":" \
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","     \
    "\"state\":\"ready\",\"slots\":4,\"born\":1000,\"x\":"
#define SOUND_ENTRY                                                        \
    "{\"metadata\":{\"name\":\"i-1\",\"revision\":5},\"specification\":"   \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","       \
    "\"state\":\"ready\",\"slots\":4,\"born\":1000,\"models\":[{\"name\":" \
    "\"m\",\"version\":1}]}}"
#define MANY_ENTRIES 300

/* Values that JSON libraries reject, or bear up to a limit alone. */
static const char *const odd_values[] = {
    "99999999999999999999999999",
    "-99999999999999999999999999",
    "1e999",
    "-1e999",
    "1e99999999999999999999",
    "NaN",
    "Infinity",
    "-Infinity",
    "undefined",
    "01",
    "1.",
    "\"\xff\xfe\"",
    "\"\\ud800\"",
    "{\"\\u0000\":1}",
    "{\"a\\u0000b\":[\"}\",\"]\",\"\\\"\"]}",
};

static void
add_nested(buf_t *out, const char *open, const char *close, size_t depth)
{
    for (size_t i = 0; i < depth; i++) {
        buf_str(out, open);
    }
    buf_str(out, "1");
    for (size_t i = 0; i < depth; i++) {
        buf_str(out, close);
    }
}

/* Writes a list, or the answer to a watch, of an odd and a sound entry. */
static void
write_page(buf_t *out, bool events, const char *odd, size_t len, size_t count)
{
    const char *begin = events ? "{\"tombstone\":false,\"object\":" : "";
    const char *end = events ? "}" : "";
    buf_str(out, events ? "{\"events\":[" : "{\"items\":[");
    for (size_t i = 0; i < count; i++) {
        buf_str(out, begin);
        buf_add(out, odd, len);
        buf_fmt(out, "%s,", end);
    }
    buf_fmt(out, "%s%s%s],\"has_more\":false,\"at\":12}", begin, SOUND_ENTRY,
            end);
}

/* Checks that a page with this odd value in an entry shows the sound one. */
static void
check_value(const char *value, size_t len, bool events, size_t count)
{
    CLEAN_BUF buf_t odd = {0};
    CLEAN_BUF buf_t text = {0};
    store_page_t page;
    server_entry_t entry;
    err_t err = {0};
    buf_str(&odd, ENTRY_HEAD);
    buf_add(&odd, value, len);
    buf_str(&odd, "}}");
    write_page(&text, events, odd.data, odd.len, count);
    int status = platform_page_read(&page, text.data, text.len, &err);
    ck_assert_msg(status == 0, "%.80s: %s", value, err.text);
    ck_assert_uint_ge(page.count, 1);
    const store_object_t *last = &page.objects[page.count - 1];
    ck_assert_str_eq(last->name, "i-1");
    ck_assert_int_eq(platform_server_read(&entry, last, &err), 0);
    platform_page_free(&page);
}

/* Guards against a host that cannot read the list of servers any more. */
START_TEST(odd_values_affect_one_entry)
{
    log_setup("test", LOG_ERROR);
    for (size_t i = 0; i < sizeof(odd_values) / sizeof(odd_values[0]); i++) {
        const char *value = odd_values[i];
        check_value(value, strlen(value), false, 1);
        check_value(value, strlen(value), true, 1);
    }
}
END_TEST

/* Guards against the same, or the end of the process, if an entry is deeply
 * nested. */
START_TEST(nested_values_affect_one_entry)
{
    static const size_t depths[] = {100,  1500, 2040, 2045,
                                    2050, 3000, 5000, 100000};
    for (size_t i = 0; i < sizeof(depths) / sizeof(depths[0]); i++) {
        CLEAN_BUF buf_t arrays = {0};
        CLEAN_BUF buf_t objects = {0};
        add_nested(&arrays, "[", "]", depths[i]);
        add_nested(&objects, "{\"a\":", "}", depths[i]);
        check_value(arrays.data, arrays.len, false, 1);
        check_value(arrays.data, arrays.len, true, 1);
        check_value(objects.data, objects.len, false, 1);
        check_value(objects.data, objects.len, true, 1);
    }
}
END_TEST

/* Guards against the same if there are many such entries. */
START_TEST(many_odd_entries_affect_themselves)
{
    CLEAN_BUF buf_t nested = {0};
    add_nested(&nested, "[", "]", 3000);
    check_value(nested.data, nested.len, false, MANY_ENTRIES);
    check_value(odd_values[0], strlen(odd_values[0]), true, MANY_ENTRIES);
}
END_TEST

/* Guards against followers that cannot read what their upstream passes on. */
START_TEST(odd_entries_are_passed_on_readably)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    object_cache_t *cache = object_cache_new(relay);
    const changes_answer_t answer = {.revision = 12, .max_len = SIZE_MAX};
    CLEAN_BUF buf_t nested = {0};
    CLEAN_BUF buf_t odd = {0};
    CLEAN_BUF buf_t text = {0};
    CLEAN_BUF buf_t passed = {0};
    store_page_t page;
    err_t err = {0};
    add_nested(&nested, "[", "]", 2040);
    buf_str(&odd, ENTRY_HEAD);
    buf_add(&odd, nested.data, nested.len);
    buf_str(&odd, "}}");
    write_page(&text, false, odd.data, odd.len, 1);
    ck_assert_int_eq(platform_page_read(&page, text.data, text.len, &err), 0);
    for (size_t i = 0; i < page.count; i++) {
        object_cache_put(cache, KIND_SERVERS, &page.objects[i]);
    }
    platform_page_free(&page);
    ck_assert(
        object_cache_write_changes(cache, KIND_SERVERS, 0, &answer, &passed));
    ck_assert_int_eq(platform_page_read(&page, passed.data, passed.len, &err),
                     0);
    ck_assert_str_eq(page.objects[page.count - 1].name, "i-1");
    platform_page_free(&page);
    object_cache_free(cache);
    free(relay);
}
END_TEST

static int
read_entry(const char *field, const char *value, server_entry_t *entry)
{
    err_t err = {0};
    CLEAN_JSON json_t *doc = json_loads(
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
        "\"zone\":\"z\",\"state\":\"ready\",\"slots\":4,"
        "\"born\":1000,\"models\":[{\"name\":\"m\",\"version\":1}]}",
        0, NULL);
    json_error_t where;
    json_t *json = json_loads(value, JSON_DECODE_ANY, &where);
    ck_assert_msg(json != NULL, "%s", where.text);
    (void)json_object_set_new(doc, field, json);
    const store_object_t object = {.name = "i-1", .revision = 5, .spec = doc};
    return platform_server_read(entry, &object, &err);
}

/* Guards against a server that gets a wrong number of slots, or requests at
 * an address that is none. */
START_TEST(numbers_out_of_range_name_no_server)
{
    static const struct {
        const char *field;
        const char *value;
    } odd[] = {
        {"slots", "0"},
        {"slots", "-1"},
        {"slots", "4294967296"},
        {"slots", "4294967300"},
        {"slots", "9223372036854775807"},
        {"slots", "1.5"},
        {"slots", "\"4\""},
        {"born", "-1"},
        {"born", "9223372036854775807"},
        {"born", "1.5"},
        {"address", "\"10.0.0.1:99999\""},
        {"address", "\"10.0.0.1:65536\""},
        {"address", "\"10.0.0.1:0\""},
        {"address", "\"10.0.0.1:-5\""},
        {"address", "\"10.0.0.1:18446744073709551696\""},
        {"address", "\"10.0.0.1:+80\""},
        {"models", "[{\"name\":\"m\",\"version\":9223372036854775807}]"},
        {"models", "[{\"name\":\"m\",\"version\":-1}]"},
    };
    server_entry_t entry;
    ck_assert_int_eq(read_entry("slots", "8", &entry), 0);
    ck_assert_int_eq(entry.slots, 8);
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        ck_assert_msg(read_entry(odd[i].field, odd[i].value, &entry) != 0,
                      "%s %s", odd[i].field, odd[i].value);
    }
}
END_TEST

/* Guards against decisions on a server's load that an odd report distorts. */
START_TEST(odd_reports_are_bounded)
{
    static const char text[] =
        "{\"models\":[{\"name\":\"m1\",\"version\":3}],\"busy\":true,"
        "\"sequence\":2,\"queued_requests\":4294967297,"
        "\"active_requests\":-3,\"cache_used\":-1,"
        "\"cache_total\":9223372036854775807,\"born\":1000}";
    server_report_t report;
    err_t err = {0};
    ck_assert_int_eq(
        platform_report_read(&report, text, sizeof(text) - 1, &err), 0);
    ck_assert_int_eq(report.waiting, 0);
    ck_assert_int_eq(report.running, 0);
    ck_assert_int_eq(report.memory_used, 0);
    ck_assert_int_eq(report.memory_total, 0);
}
END_TEST

/* Guards against weights that no server can have and that all hosts wait for.
 */
START_TEST(odd_weights_are_ignored)
{
    static const char *const versions[] = {"0", "-1", "9223372036854775807",
                                           "1.5", "\"2\""};
    for (size_t i = 0; i < sizeof(versions) / sizeof(versions[0]); i++) {
        char text[128];
        published_weights_t weights;
        err_t err = {0};
        (void)snprintf(text, sizeof(text), "{\"model\":\"m\",\"version\":%s}",
                       versions[i]);
        CLEAN_JSON json_t *doc = json_loads(text, 0, NULL);
        const store_object_t object = {.name = "m", .spec = doc};
        ck_assert_msg(platform_weights_read(&weights, &object, &err) != 0,
                      "%s", versions[i]);
    }
}
END_TEST

/* Guards against requests to a server that is none: its entry has sound
 * contents under a name of another writer, which would be written into their
 * heads. */
START_TEST(odd_names_name_no_server)
{
    static const char *const names[] = {
        "a&b",       "a=b",  "a b", "a%41", "a/b",      "a\"b",
        "a\r\nb: c", "a\tb", "a;b", "a?b",  "\xc3\xa9", "a\xf4\x8f\xbc\x80"};
    char longest[CS_NAME_MAX + 1];
    memset(longest, 'x', sizeof(longest));
    longest[CS_NAME_MAX] = '\0';
    CLEAN_JSON json_t *spec =
        json_pack("{s:s,s:s,s:s,s:s,s:i}", "service", "s", "address",
                  "10.0.0.1:80", "zone", "z", "state", "ready", "slots", 4);
    server_entry_t entry;
    err_t err = {0};
    store_object_t object = {.name = "i-7f3a.91_c2", .spec = spec};
    ck_assert_int_eq(platform_server_read(&entry, &object, &err), 0);
    object.name = longest + 1;
    ck_assert_int_eq(platform_server_read(&entry, &object, &err), 0);
    object.name = longest;
    ck_assert_int_ne(platform_server_read(&entry, &object, &err), 0);
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        object.name = names[i];
        ck_assert_msg(platform_server_read(&entry, &object, &err) != 0, "%s",
                      names[i]);
    }
}
END_TEST

/* Guards against weights that are ordered, and older ones that are given up,
 * because of an entry that is not named after their model. */
START_TEST(weights_are_named_after_their_model)
{
    CLEAN_JSON json_t *spec =
        json_pack("{s:s,s:i}", "model", "m", "version", 2);
    published_weights_t weights;
    err_t err = {0};
    store_object_t object = {.name = "m", .spec = spec};
    ck_assert_int_eq(platform_weights_read(&weights, &object, &err), 0);
    ck_assert_str_eq(weights.model, "m");
    object.name = "a&x";
    ck_assert_int_ne(platform_weights_read(&weights, &object, &err), 0);
}
END_TEST

TEST_MAIN("odd-entries", odd_values_affect_one_entry,
          nested_values_affect_one_entry, many_odd_entries_affect_themselves,
          odd_entries_are_passed_on_readably,
          numbers_out_of_range_name_no_server, odd_reports_are_bounded,
          odd_weights_are_ignored, odd_names_name_no_server,
          weights_are_named_after_their_model)
