#include "../kernel/url.h"
#include "../platform/platform.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

/* Names of objects in calls to the store. */

#define ADDR "10.0.0.1:80"
#define FUZZ_RUNS 20000
#define FUZZ_BYTES_MAX 12

/* A name as JSON holds it, and as a call does. */
typedef struct {
    const char *json;
    const char *encoded;
} name_case_t;

static const name_case_t name_cases[] = {
    {"i-7f3a.91_c2~", "i-7f3a.91_c2~"},
    {"a&b+c#d%7A", "a%26b%2Bc%23d%257A"},
    {"a b?c/d=e;f", "a%20b%3Fc%2Fd%3De%3Bf"},
    {"a\\r\\nb\\tc\\\"\\\\\\u007f", "a%0D%0Ab%09c%22%5C%7F"},
    {"\\u00e9\xc3\xa9\\ud83d\\ude00", "%C3%A9%C3%A9%F0%9F%98%80"},
    {"e2\\u0000x", "e2%00x"},
    {"e2\\ud800", "e2%ED%A0%80"},
    {"e2\\udc00\\ud800x", "e2%ED%B0%80%ED%A0%80x"},
    {"e2\xff\xc3", "e2%FF%C3"},
    {"e2\\ud83d\\ude00\xff", "e2%F0%9F%98%80%FF"},
    {"e2\\q\\u12", "e2%5Cq%5Cu12"},
    {"a\nb", "a%0Ab"},
};

/* Reads a list of one object with this name. */
static void
read_name(store_page_t *page, const char *name, size_t len)
{
    CLEAN_BUF buf_t text = {0};
    err_t err = {0};
    buf_str(&text, "{\"items\":[{\"metadata\":{\"name\":\"");
    buf_add(&text, name, len);
    buf_str(&text,
            "\",\"revision\":4},\"specification\":{}}],"
            "\"has_more\":true,\"at\":12}");
    ck_assert_int_eq(platform_page_read(page, text.data, text.len, &err), 0);
    ck_assert_uint_eq(page->count, 1);
}

/* Guards against a list that goes on at another name than the last one, or not
 * at all. */
START_TEST(names_in_calls_are_those_of_the_store)
{
    log_setup("test", LOG_ERROR);
    for (size_t i = 0; i < sizeof(name_cases) / sizeof(name_cases[0]); i++) {
        const name_case_t *name = &name_cases[i];
        CLEAN_BUF buf_t call = {0};
        CLEAN_BUF buf_t expected = {0};
        store_page_t page;
        read_name(&page, name->json, strlen(name->json));
        platform_list_call(&call, ADDR, KIND_SERVERS, page.objects[0].name);
        buf_fmt(&expected,
                "GET /objects/servers?after=%s HTTP/1.1\r\nHost: " ADDR
                "\r\n\r\n",
                name->encoded);
        ck_assert_str_eq(buf_text(&call), buf_text(&expected));
        platform_page_free(&page);
    }
}
END_TEST

/* Guards against the same for names of any length. */
START_TEST(long_names_are_whole)
{
    CLEAN_BUF buf_t name = {0};
    CLEAN_BUF buf_t call = {0};
    for (int i = 0; i < 4000; i++) {
        buf_str(&name, "x");
    }
    platform_list_call(&call, ADDR, KIND_SERVERS, buf_text(&name));
    ck_assert_ptr_nonnull(strstr(buf_text(&call), buf_text(&name)));
}
END_TEST

/* Guards against names that write calls of their own. */
START_TEST(names_cannot_end_a_request_line)
{
    static const char name[] = "x HTTP/1.1\r\n\r\nDELETE /objects/config/main";
    static const char line[] =
        "x%20HTTP%2F1.1%0D%0A%0D%0ADELETE%20%2Fobjects"
        "%2Fconfig%2Fmain";
    CLEAN_JSON json_t *spec = json_object();
    CLEAN_BUF buf_t get = {0};
    CLEAN_BUF buf_t put = {0};
    CLEAN_BUF buf_t removal = {0};
    CLEAN_BUF buf_t expected = {0};
    platform_get_call(&get, ADDR, KIND_LEASES, name);
    platform_replace_call(&put, ADDR, KIND_PEERS, name, 3, spec);
    platform_delete_call(&removal, ADDR, KIND_ORIGINS, name, 3);
    buf_fmt(&expected, "GET /objects/celeryspool-leases/%s?serializable=1 ",
            line);
    ck_assert_int_eq(strncmp(get.data, expected.data, expected.len), 0);
    expected.len = 0;
    buf_fmt(&expected,
            "PUT /objects/celeryspool-daemons/%s HTTP/1.1\r\nHost:", line);
    ck_assert_int_eq(strncmp(put.data, expected.data, expected.len), 0);
    expected.len = 0;
    buf_fmt(&expected,
            "DELETE /objects/celeryspool-origins/%s?revision=3 HTTP/1.1\r\n"
            "Host: " ADDR "\r\n\r\n",
            line);
    ck_assert_str_eq(buf_text(&removal), buf_text(&expected));
}
END_TEST

/* Guards against an entry that is taken for another one, because its name goes
 * on behind a NUL. */
START_TEST(names_with_nul_are_not_cut)
{
    store_page_t page;
    log_setup("test", LOG_ERROR);
    read_name(&page, "e2\\u0000x", strlen("e2\\u0000x"));
    ck_assert_str_ne(page.objects[0].name, "e2");
    platform_page_free(&page);
}
END_TEST

static size_t
add_random_bytes(rng_t *rng, char name[FUZZ_BYTES_MAX])
{
    static const char likely[] = "ab%&+# \r\n\x7f\xc3\xa9\xff\xed\xa0\x80";
    size_t len = 1 + (size_t)rng_below(rng, FUZZ_BYTES_MAX - 1);
    for (size_t i = 0; i < len; i++) {
        do {
            name[i] = rng_below(rng, 2) == 0
                          ? (char)rng_below(rng, 256)
                          : likely[rng_below(rng, sizeof(likely) - 1)];
        } while (name[i] == '"' || name[i] == '\\' || name[i] == '\0');
    }
    return len;
}

/* Guards against the same for any bytes that the store can send. */
START_TEST(random_names_come_back_unchanged)
{
    rng_t rng = {7};
    log_setup("test", LOG_ERROR);
    for (int i = 0; i < FUZZ_RUNS; i++) {
        char name[FUZZ_BYTES_MAX];
        CLEAN_BUF buf_t encoded = {0};
        store_page_t page;
        size_t len = add_random_bytes(&rng, name);
        read_name(&page, name, len);
        platform_add_name(&encoded, page.objects[0].name);
        for (size_t at = 0; at < encoded.len; at++) {
            ck_assert_int_gt(encoded.data[at], ' ');
            ck_assert_int_lt(encoded.data[at], 0x7f);
        }
        CLEAN_TEXT char *decoded =
            url_unescape(encoded.data, encoded.len, true);
        ck_assert_uint_eq(strlen(decoded), len);
        ck_assert_mem_eq(decoded, name, len);
        platform_page_free(&page);
    }
}
END_TEST

TEST_MAIN("store-names", names_in_calls_are_those_of_the_store,
          long_names_are_whole, names_cannot_end_a_request_line,
          names_with_nul_are_not_cut, random_names_come_back_unchanged)
