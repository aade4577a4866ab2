#include "../relay/explain-head.h"
#include "../relay/quota.h"
#include "../relay/request-explain.h"
#include "test.h"

#include <string.h>

#define HEAD_MAX 4096

static explain_error_t error;

/* Reads a head; returns whether that succeeded. */
static bool
reads(const char *text)
{
    explained_head_t head;
    memset(&error, 0, sizeof(error));
    bool read = explain_head_read(&head, text, strlen(text), HEAD_MAX, &error);
    explain_head_free(&head);
    return read;
}

/* Asserts that a head is rejected with an error that names line and field. */
static void
assert_fault(const char *text, unsigned line, const char *field)
{
    ck_assert_msg(!reads(text), "accepted: %s", text);
    ck_assert_str_eq(error.field, field);
    ck_assert_uint_eq(error.line, line);
    ck_assert_uint_gt(strlen(error.message), 0);
}

START_TEST(heads_are_read_with_either_line_end)
{
    explained_head_t head;
    const char *text =
        "POST /read/x HTTP/1.1\nHost: a.example\r\n"
        "X-Celeryspool-Model:  m1 \n";
    ck_assert(explain_head_read(&head, text, strlen(text), HEAD_MAX, &error));
    const http_head_t *read = &head.reader.head;
    const header_t *model = http_head_find(read, "X-Celeryspool-Model");
    ck_assert_ptr_nonnull(model);
    ck_assert(http_head_is(read, model->value, "m1"));
    ck_assert(http_head_is(read, read->target, "/read/x"));
    explain_head_free(&head);
}
END_TEST

/* Guards against heads that are rejected because they announce a body. */
START_TEST(a_head_that_announces_a_body_is_read)
{
    ck_assert(
        reads("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"));
    ck_assert(reads("POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n"));
}
END_TEST

/* Guards against errors that do not say where a head is wrong. */
START_TEST(faults_name_line_and_field)
{
    assert_fault("", 1, "method");
    assert_fault("POST\n", 1, "method");
    assert_fault("POST read HTTP/1.1\nHost: a\n", 1, "path");
    assert_fault("POST / HTTP/1.0\nHost: a\n", 1, "version");
    assert_fault("POST / HTTP/1.1\nHost: a\nno colon\n", 3, "name");
    assert_fault("POST / HTTP/1.1\nHost: a\n folded: 1\n", 3, "name");
    assert_fault("POST / HTTP/1.1\nHost: a\x01\n", 2, "line");
    assert_fault("POST / HTTP/1.1\nHost: a\n\nbody\n", 4, "line");
    assert_fault("POST / HTTP/1.1\nAccept: a\n", 0, "head");
    assert_fault("POST / HTTP/1.1\nHost: a\nHost: b\n", 0, "head");
}
END_TEST

/* Guards against values that the router reads as 0 without a notice. */
START_TEST(malformed_values_name_their_header)
{
    static const char *const heads[][2] = {
        {"X-Celeryspool-Token-Usage", "many"},
        {"X-Celeryspool-Token-Usage", "10,"},
        {"X-Celeryspool-Token-Usage", "-10,5"},
        {"X-Celeryspool-Token-Usage", "4294967296,5"},
        {"X-Celeryspool-Prompt-Prefix", "aa"},
        {"X-Celeryspool-Prompt-Prefix", "aa:1,"},
        {"X-Celeryspool-Prompt-Prefix", ":1"},
        {"X-Celeryspool-Prompt-Prefix", "aa:1,bb:x"},
        {"X-Celeryspool-Length-Hint", "0"},
        {"X-Celeryspool-Deadline-Milliseconds", ""},
        {"X-Celeryspool-Deadline-Milliseconds", "1s"},
    };
    for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
        char text[256];
        (void)snprintf(text, sizeof(text),
                       "POST / HTTP/1.1\nHost: a\n%s: %s\n", heads[i][0],
                       heads[i][1]);
        assert_fault(text, 3, heads[i][0]);
    }
    ck_assert(
        reads("POST / HTTP/1.1\nHost: a\n"
              "X-Celeryspool-Token-Usage: 10,5\n"
              "X-Celeryspool-Prompt-Prefix: aa:1, bb:2\n"
              "X-Celeryspool-Deadline-Milliseconds: 5000\n"));
}
END_TEST

/* Guards against an error that shows an access key. */
START_TEST(faults_show_no_value)
{
    ck_assert(
        !reads("POST / HTTP/1.1\nHost: a\n"
               "Authorization: Token secret\x01\n"));
    ck_assert_ptr_null(strstr(error.message, "secret"));
    ck_assert_ptr_null(strstr(error.field, "secret"));
}
END_TEST

/* Guards against a head that is longer than callers may send. */
START_TEST(a_head_over_the_limit_is_rejected)
{
    explained_head_t head;
    const char *text = "POST / HTTP/1.1\nHost: a.example\n";
    ck_assert(!explain_head_read(&head, text, strlen(text), 20, &error));
    ck_assert_str_eq(error.field, "head");
    explain_head_free(&head);
}
END_TEST

START_TEST(a_head_is_built_from_values)
{
    CLEAN_BUF buf_t text = {0};
    const explain_query_t query = {.key = "k",
                                   .host = "a.example",
                                   .path = "/read/x",
                                   .tokens = "10,5",
                                   .deadline = "100"};
    ck_assert(explain_head_build(&query, &text, &error));
    ck_assert_str_eq(buf_text(&text),
                     "POST /read/x HTTP/1.1\r\nHost: a.example\r\n"
                     "X-Celeryspool-Attempt-Id: explained\r\n"
                     "Authorization: Token k\r\n"
                     "X-Celeryspool-Token-Usage: 10,5\r\n"
                     "X-Celeryspool-Deadline-Milliseconds: 100\r\n");
    ck_assert(reads(buf_text(&text)));
}
END_TEST

/* Guards against a value that adds headers of its own. */
START_TEST(values_with_line_ends_are_rejected)
{
    CLEAN_BUF buf_t text = {0};
    explain_query_t query = {.host = "a\r\nHost: b"};
    ck_assert(!explain_head_build(&query, &text, &error));
    ck_assert_str_eq(error.field, "Host");
    query = (explain_query_t){.host = "a", .path = "/x HTTP/1.1\r\nA: b"};
    ck_assert(!explain_head_build(&query, &text, &error));
    ck_assert_str_eq(error.field, "path");
    query = (explain_query_t){.path = "/"};
    ck_assert(!explain_head_build(&query, &text, &error));
    ck_assert_str_eq(error.field, "Host");
}
END_TEST

/* Guards against an explanation that spends a workspace's limit, and against
 * one that decides otherwise than a charge does. */
START_TEST(a_preview_of_a_limit_changes_nothing)
{
    static relay_t relay;
    static request_t request;
    static const http_head_t no_headers;
    const workspace_entry_t workspace = {.name = "ws"};
    const quota_limit_t limit = {.rate = 10, .burst = 5};
    int64_t now = time_mono_ms();
    quotas_init(&relay.quotas, &(quota_bounds_t){.window_s = 1}, 1,
                now - 60000);
    quotas_tick(&relay.quotas, now); /* the host is alone: its share is 1 */
    quotas_config_begin(&relay.quotas);
    quotas_config_set(&relay.quotas, "ws", &limit, now);
    quotas_config_end(&relay.quotas);
    request.relay = &relay;
    request.head = &no_headers;
    request.workspace = &workspace;
    quota_t *quota = quotas_find(&relay.quotas, "ws");
    quota->level = 1.5;
    const quota_t before = *quota;
    const quotas_t all_before = relay.quotas;
    for (int i = 0; i < 50; i++) {
        const quota_preview_t preview = request_preview_quota(&request);
        ck_assert(preview.limited);
        ck_assert(preview.decision.allowed);
        ck_assert_double_eq(preview.cost, 1);
        ck_assert_double_ge(preview.left, 1.5);
    }
    quota->level = -1;
    const quota_preview_t preview = request_preview_quota(&request);
    ck_assert(!preview.decision.allowed);
    ck_assert_int_gt(preview.decision.retry_after_ms, 0);
    quota->level = 1.5;
    ck_assert_mem_eq(&before, quota, sizeof(before));
    ck_assert_mem_eq(&all_before, &relay.quotas, sizeof(all_before));
    quotas_free(&relay.quotas);
}
END_TEST

/* Guards against an estimate of the backlog that moves it forward. */
START_TEST(the_backlog_is_read_without_a_change)
{
    static server_t server;
    server.slowness = 1;
    server.backlog_tokens = 4800;
    server.backlog_updated_ms = 100;
    const server_t before = server;
    double read = server_backlog(&server, 110);
    ck_assert_double_lt(read, 4800);
    ck_assert_mem_eq(&before, &server, sizeof(server));
    ck_assert_double_eq(server_update_backlog(&server, 110), read);
}
END_TEST

TEST_MAIN("explain", heads_are_read_with_either_line_end,
          a_head_that_announces_a_body_is_read, faults_name_line_and_field,
          malformed_values_name_their_header, faults_show_no_value,
          a_head_over_the_limit_is_rejected, a_head_is_built_from_values,
          values_with_line_ends_are_rejected,
          a_preview_of_a_limit_changes_nothing,
          the_backlog_is_read_without_a_change)
