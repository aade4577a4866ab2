#include "../platform/platform.h"
#include "test.h"

#include <string.h>

static server_signals_t
read_answer(int status, const char *headers)
{
    http_reader_t reader;
    server_signals_t signals;
    struct evbuffer *in = evbuffer_new();
    http_reader_init(&reader, true, 4096, NULL, NULL);
    (void)evbuffer_add_printf(
        in, "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, headers);
    (void)http_reader_feed(&reader, in);
    platform_signals_read(&signals, &reader.head);
    http_reader_free(&reader);
    evbuffer_free(in);
    return signals;
}

static server_signals_t
read_signals(const char *headers)
{
    return read_answer(200, headers);
}

static void
check_limit(const char *value, signal_state_t state, double per_s)
{
    char headers[256];
    (void)snprintf(headers, sizeof(headers), "Server-Limit: %s\r\n", value);
    server_signals_t signals = read_signals(headers);
    ck_assert_msg(signals.limit == state, "%s: state %d", value,
                  (int)signals.limit);
    ck_assert_msg(state != SIGNAL_VALID || signals.limit_per_s == per_s,
                  "%s: %f", value, signals.limit_per_s);
}

/* A value that is no number must neither set a limit nor end one. */
START_TEST(limits_that_are_no_number_are_invalid)
{
    check_limit("1.6", SIGNAL_VALID, 1.6);
    check_limit("0", SIGNAL_VALID, 0);
    check_limit("300", SIGNAL_VALID, 300);
    check_limit(".5", SIGNAL_VALID, 0.5);
    check_limit("-1", SIGNAL_INVALID, 0);
    check_limit("nan", SIGNAL_INVALID, 0);
    check_limit("inf", SIGNAL_INVALID, 0);
    check_limit("0x10", SIGNAL_INVALID, 0);
    check_limit("1e9", SIGNAL_INVALID, 0);
    check_limit("1.2.3", SIGNAL_INVALID, 0);
    check_limit("1,5", SIGNAL_INVALID, 0);
    check_limit(".", SIGNAL_INVALID, 0);
    check_limit("", SIGNAL_INVALID, 0);
    check_limit("1 2", SIGNAL_INVALID, 0);
    check_limit("11111111111111111111111111111111111111", SIGNAL_INVALID, 0);
    ck_assert_int_eq(read_signals("").limit, SIGNAL_ABSENT);
}
END_TEST

/* The pages write the name with and without their prefix. */
START_TEST(limit_is_read_under_both_names)
{
    ck_assert_double_eq(
        read_signals("X-Celeryspool-Server-Limit: 2\r\n").limit_per_s, 2);
    ck_assert_double_eq(read_signals("server-limit: 3\r\n").limit_per_s, 3);
}
END_TEST

/* Of several values the strictest one counts, and a garbled one beside a valid
 * one does not hide it. */
START_TEST(lowest_of_several_limits_counts)
{
    server_signals_t signals = read_signals(
        "Server-Limit: 5\r\nServer-Limit: 2\r\nServer-Limit: x\r\n");
    ck_assert_int_eq(signals.limit, SIGNAL_VALID);
    ck_assert_double_eq(signals.limit_per_s, 2);
}
END_TEST

static void
check_rest(const char *value, signal_state_t state, int64_t ms)
{
    char headers[256];
    (void)snprintf(headers, sizeof(headers), "Retry-After: %s\r\n", value);
    server_signals_t signals = read_answer(503, headers);
    ck_assert_msg(signals.rest == state, "%s: state %d", value,
                  (int)signals.rest);
    ck_assert_msg(state != SIGNAL_VALID || signals.rest_ms == ms, "%s: %lld",
                  value, (long long)signals.rest_ms);
}

/* Only seconds can be kept to: a date depends on two clocks. */
START_TEST(rest_is_read_as_seconds_alone)
{
    check_rest("3", SIGNAL_VALID, 3000);
    check_rest("0.25", SIGNAL_VALID, 250);
    check_rest("0", SIGNAL_VALID, 0);
    check_rest("600", SIGNAL_VALID, 600000);
    check_rest("99999999999999999999", SIGNAL_VALID, 1000000000);
    check_rest("-3", SIGNAL_INVALID, 0);
    check_rest("soon", SIGNAL_INVALID, 0);
    check_rest("Thu, 03 Dec 2026 19:00:00 GMT", SIGNAL_INVALID, 0);
    ck_assert_int_eq(read_answer(200, "Retry-After: 3\r\n").rest,
                     SIGNAL_ABSENT);
}
END_TEST

/* Any other value than 1 says nothing. */
START_TEST(only_1_says_that_a_server_leaves)
{
    ck_assert(read_answer(503, "Server-Leaving: 1\r\n").leaving);
    ck_assert(read_signals("X-Celeryspool-Server-Leaving: 1\r\n").leaving);
    ck_assert(!read_signals("Server-Leaving: 0\r\n").leaving);
    ck_assert(!read_signals("Server-Leaving: yes\r\n").leaving);
    ck_assert(!read_signals("").leaving);
}
END_TEST

/* Guards against a brittle server that is taken for a sound one. */
START_TEST(brittle_is_read_as_a_rate)
{
    ck_assert_int_eq(read_signals("").brittle, SIGNAL_ABSENT);
    server_signals_t signals = read_answer(503, "Server-Brittle: 5\r\n");
    ck_assert_int_eq(signals.brittle, SIGNAL_VALID);
    ck_assert_double_eq(signals.brittle_per_s, 5);
    signals = read_signals(
        "X-Celeryspool-Server-Brittle: 7\r\n"
        "Server-Brittle: 3\r\n");
    ck_assert_double_eq(signals.brittle_per_s, 3);
    signals = read_signals("Server-Brittle: yes\r\n");
    ck_assert_int_eq(signals.brittle, SIGNAL_INVALID);
}
END_TEST

static bool
read_load(const char *text, server_load_t *load)
{
    return platform_load_read(load, text, strlen(text));
}

static void
check_load(const char *text, int running, int waiting, int slots, int pace)
{
    server_load_t load;
    ck_assert_msg(read_load(text, &load), "%s", text);
    ck_assert_msg(load.running == running && load.waiting == waiting &&
                      load.slots == slots && load.pace == pace,
                  "%s: %d,%d,%d,%d", text, load.running, load.waiting,
                  load.slots, load.pace);
}

/* Guards against a pace that a header does not state: without the figure, or
 * with a malformed one, the other figures count alone. */
START_TEST(load_is_read_with_and_without_a_pace)
{
    check_load("3,1,16", 3, 1, 16, 0);
    check_load("0,0,0", 0, 0, 0, 0);
    check_load("3,1,16,100", 3, 1, 16, 100);
    check_load("3,1,16,250", 3, 1, 16, 250);
    check_load(" 3, 1 ,16 , 70 ", 3, 1, 16, 70);
    check_load("3,1,16,1", 3, 1, 16, 1);
    check_load("3,1,16,10000", 3, 1, 16, 10000);
    check_load("3,1,16,250,7", 3, 1, 16, 250);
    check_load("3,1,16,", 3, 1, 16, 0);
    check_load("3,1,16,0", 3, 1, 16, 0);
    check_load("3,1,16,-250", 3, 1, 16, 0);
    check_load("3,1,16,10001", 3, 1, 16, 0);
    check_load("3,1,16,99999999999999999999", 3, 1, 16, 0);
    check_load("3,1,16,2.5", 3, 1, 16, 0);
    check_load("3,1,16,slow", 3, 1, 16, 0);
    check_load("3,1,16,1e2", 3, 1, 16, 0);
    check_load("3,1,16,0x64", 3, 1, 16, 0);
}
END_TEST

/* A malformed report must not count as an idle or a full server. */
START_TEST(malformed_loads_are_ignored)
{
    const char *const malformed[] = {"",           ",",
                                     ",,",         "3",
                                     "3,1",        "3,1,",
                                     ",1,16",      "3,,16",
                                     "-3,1,16",    "3,-1,16",
                                     "3,1,-16",    "+3,1,16",
                                     "a,1,16",     "3,b,16",
                                     "3,1,c",      "3;1;16",
                                     "3 1 16",     "3.0,1,2",
                                     "100001,1,2", "3,100001,2",
                                     "3,1,999999", "9999999999,1,16",
                                     "3,1,1 6",    "nan,1,16",
                                     "3,1,0x10"};
    for (size_t i = 0; i < sizeof(malformed) / sizeof(*malformed); i++) {
        server_load_t load;
        ck_assert_msg(!read_load(malformed[i], &load), "%s", malformed[i]);
    }
    server_load_t load;
    /* The value of a header is not terminated. */
    ck_assert(platform_load_read(&load, "3,1,16,25099", 9));
    ck_assert_int_eq(load.pace, 25);
}
END_TEST

TEST_MAIN("server-signals", limits_that_are_no_number_are_invalid,
          limit_is_read_under_both_names, lowest_of_several_limits_counts,
          rest_is_read_as_seconds_alone, brittle_is_read_as_a_rate,
          only_1_says_that_a_server_leaves,
          load_is_read_with_and_without_a_pace, malformed_loads_are_ignored)
