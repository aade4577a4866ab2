#include "base.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Lines on standard error, or records on standard output.  Records are
 * gathered and written by log_flush, never blocking: a reader that stalls
 * costs lines, which are counted, and no request. */

/* Records that wait for a reader at most, bytes. */
#define RECORDS_MAX (256 * 1024)
/* Records a second at most, bytes: 20 requests a second write about 8 KB.
 * Under a burst the records of what went well are left out first. */
#define RECORDS_PER_S (96 * 1024)
/* Of that, only for warnings and errors. */
#define RECORDS_KEPT_PER_S (32 * 1024)

static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static char log_process[CS_NAME_MAX] = "celeryspool";
static log_level_t log_threshold = LOG_INFO;
static const char *const log_words[] = {"error", "warn", "info", "debug"};
static bool log_records;
static buf_t log_waiting;
static int64_t log_second;
static size_t log_second_bytes;
static uint64_t log_left_out; /* since the last line that told */
static uint64_t log_left_out_ever;

/* Name the process and the least urgent level that is written. */
void
log_setup(const char *process, log_level_t level)
{
    str_copy(log_process, sizeof(log_process), process);
    log_threshold = level;
}

/* From now on write records to standard output. */
void
log_setup_records(void)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    log_records = true;
}

/* The level for a word, or -1. */
int
log_level_parse(const char *word)
{
    for (int i = 0; i < 4; i++) {
        if (strcmp(word, log_words[i]) == 0) {
            return i;
        }
    }
    return -1;
}

/* Whether a record of this length fits into what may be written now. */
static bool
record_fits(log_level_t level, size_t len, int64_t now_ms)
{
    if (now_ms / 1000 != log_second) {
        log_second = now_ms / 1000;
        log_second_bytes = 0;
    }
    size_t room =
        level <= LOG_WARN ? RECORDS_PER_S : RECORDS_PER_S - RECORDS_KEPT_PER_S;
    if (log_second_bytes + len > room || log_waiting.len + len > RECORDS_MAX) {
        log_left_out++;
        log_left_out_ever++;
        return false;
    }
    log_second_bytes += len;
    return true;
}

static void
record_add(log_level_t level, const char *part, const char *event,
           const char *text)
{
    char line[1400];
    int64_t now = time_wall_ms();
    int len = snprintf(
        line, sizeof(line), "t=%lld level=%s host=%s part=%s event=%s %s\n",
        (long long)now, log_words[level], log_process, part, event, text);
    if (len >= (int)sizeof(line)) {
        len = (int)sizeof(line) - 1;
        line[len - 1] = '\n';
    }
    LOCK_SCOPE(&log_lock);
    if (record_fits(level, (size_t)len, now)) {
        buf_add(&log_waiting, line, (size_t)len);
    }
}

/* One record: time, level, host, part, event, then the fields of the event as
 * name=value. */
void
log_record(log_level_t level, const char *part, const char *event,
           const char *fmt, ...)
{
    if (level > log_threshold) {
        return;
    }
    char text[1024];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    record_add(level, part, event, text);
}

/* Records that were left out since the start. */
uint64_t
log_dropped_total(void)
{
    LOCK_SCOPE(&log_lock);
    return log_left_out_ever;
}

/* Write what waits, as much as the reader takes. */
void
log_flush(void)
{
    LOCK_SCOPE(&log_lock);
    if (log_left_out > 0 && log_waiting.len < RECORDS_MAX / 2) {
        buf_fmt(&log_waiting,
                "t=%lld level=warn host=%s part=log event=left-out "
                "lines=%llu\n",
                (long long)time_wall_ms(), log_process,
                (unsigned long long)log_left_out);
        log_left_out = 0;
    }
    while (log_waiting.len > 0) {
        ssize_t wrote =
            write(STDOUT_FILENO, log_waiting.data, log_waiting.len);
        if (wrote < 0 && errno == EINTR) {
            continue;
        }
        if (wrote <= 0) {
            return;
        }
        buf_consume(&log_waiting, (size_t)wrote);
    }
}

static void
line_write(log_level_t level, const char *part, const char *text)
{
    int64_t now = time_wall_ms();
    time_t seconds = (time_t)(now / 1000);
    struct tm parts;
    char stamp[32];
    (void)gmtime_r(&seconds, &parts);
    (void)strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);

    LOCK_SCOPE(&log_lock);
    (void)fprintf(stderr, "%s.%03dZ %s %s %s: %s\n", stamp, (int)(now % 1000),
                  log_words[level], log_process, part, text);
}

/* Write one line to standard error: time, level, process, part, sentence; or
 * a record that holds the sentence. */
void
log_msg(log_level_t level, const char *part, const char *fmt, ...)
{
    if (level > log_threshold) {
        return;
    }
    char text[1024];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    if (!log_records) {
        line_write(level, part, text);
        return;
    }
    char quoted[1100];
    (void)snprintf(quoted, sizeof(quoted), "text=\"%s\"", text);
    record_add(level, part, "note", quoted);
}
