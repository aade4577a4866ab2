#include "../kernel/base.h"
#include "test.h"

#include <string.h>
#include <unistd.h>

/* Text from outside in records of the log, and in quoted labels and fields. */

/* Writes the buffered records to a pipe and reads them. */
static void
flush_records(char *out, size_t size)
{
    int ends[2];
    int saved = dup(STDOUT_FILENO);
    (void)fflush(stdout);
    ck_assert_int_eq(pipe(ends), 0);
    (void)dup2(ends[1], STDOUT_FILENO);
    log_flush();
    (void)dup2(saved, STDOUT_FILENO);
    (void)close(ends[1]);
    ssize_t len = read(ends[0], out, size - 1);
    (void)close(ends[0]);
    (void)close(saved);
    out[len > 0 ? len : 0] = '\0';
}

static size_t
count_lines(const char *text)
{
    size_t count = 0;
    for (; *text != '\0'; text++) {
        count += *text == '\n' ? 1 : 0;
    }
    return count;
}

/* Guards against records that an entry of another writer adds to the log. */
START_TEST(names_add_no_records)
{
    char lines[4096];
    log_setup("test", LOG_INFO);
    log_setup_records();
    log_record(LOG_WARN, "servers", "ready", "server=%s",
               "a\nt=1 level=info host=x part=y event=z\r\x1b[2J\x7f");
    log_warn("store", "Cannot parse %s.", "\"b\"\nt=2");
    flush_records(lines, sizeof(lines));
    ck_assert_uint_eq(count_lines(lines), 2);
    ck_assert_ptr_nonnull(strstr(lines,
                                 "server=a?t=1 level=info host=x "
                                 "part=y event=z??[2J?\n"));
    ck_assert_ptr_nonnull(strstr(lines, "text=\"Cannot parse 'b'?t=2.\"\n"));
}
END_TEST

/* Guards against lines that a name adds to the metrics, or breaks there. */
START_TEST(quoted_text_ends_at_its_quote)
{
    char longest[1200];
    memset(longest, '"', sizeof(longest));
    longest[sizeof(longest) - 1] = '\0';
    ck_assert_str_eq(str_escape("a-b.c"), "a-b.c");
    ck_assert_str_eq(str_escape("a\"b\\c\nd\te"), "a\\\"b\\\\c\\nd?e");
    ck_assert_str_eq(str_escape("\xc3\xa9"), "\xc3\xa9");
    ck_assert_str_eq(str_escape("\xc3"), "?");
    const char *escaped = str_escape(longest);
    ck_assert_uint_lt(strlen(escaped), sizeof(longest));
    ck_assert_uint_eq(strlen(escaped) % 2, 0);
}
END_TEST

TEST_MAIN("log", names_add_no_records, quoted_text_ends_at_its_quote)
