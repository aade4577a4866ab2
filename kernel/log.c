#include "base.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Writes lines to standard error or records to standard output.  Records are
 * buffered and written by log_flush without blocking: if the reader stalls and
 * the buffer fills, records are dropped and counted, and no request waits. */

/* Bytes of records buffered for the reader. */
#define PENDING_BYTES_MAX (256 * 1024)
/* Bytes of records per second.  20 requests a second write about 8 KB.  In a
 * burst, info and debug records are dropped first. */
#define BYTES_PER_S_MAX (96 * 1024)
/* The part of BYTES_PER_S_MAX that is reserved for warnings and errors. */
#define RESERVED_BYTES_PER_S (32 * 1024)

static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static char log_process[CS_NAME_MAX] = "celeryspool";
static log_level_t log_threshold = LOG_INFO;
static const char *const log_level_names[] = {"error", "warn", "info",
                                              "debug"};
static bool log_records;
static buf_t log_pending;
static int64_t log_rate_second;
static size_t log_rate_bytes;
static uint64_t log_dropped; /* since the last "left-out" record */
static uint64_t log_dropped_since_start;

/* Set the process name and the least severe level that is written. */
void
log_setup(const char *process, log_level_t level)
{
    str_copy(log_process, sizeof(log_process), process);
    log_threshold = level;
}

/* Write records to standard output instead of lines to standard error. */
void
log_setup_records(void)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    log_records = true;
}

/* The level with this name, or -1. */
int
log_level_parse(const char *name)
{
    for (int i = 0; i < 4; i++) {
        if (strcmp(name, log_level_names[i]) == 0) {
            return i;
        }
    }
    return -1;
}

/* Whether a record of this length is within the rate limit and the buffer;
 * counts it as dropped if not. */
static bool
record_admit(log_level_t level, size_t len, int64_t now_ms)
{
    if (now_ms / 1000 != log_rate_second) {
        log_rate_second = now_ms / 1000;
        log_rate_bytes = 0;
    }
    size_t limit = level <= LOG_WARN ? BYTES_PER_S_MAX
                                     : BYTES_PER_S_MAX - RESERVED_BYTES_PER_S;
    if (log_rate_bytes + len > limit ||
        log_pending.len + len > PENDING_BYTES_MAX) {
        log_dropped++;
        log_dropped_since_start++;
        return false;
    }
    log_rate_bytes += len;
    return true;
}

static void
record_add(log_level_t level, const char *component, const char *event,
           const char *text)
{
    char line[1400];
    int64_t now = time_wall_ms();
    int len = snprintf(line, sizeof(line),
                       "t=%lld level=%s host=%s part=%s event=%s %s\n",
                       (long long)now, log_level_names[level], log_process,
                       component, event, text);
    if (len >= (int)sizeof(line)) {
        len = (int)sizeof(line) - 1;
        line[len - 1] = '\n';
    }
    LOCK_SCOPE(&log_lock);
    if (record_admit(level, (size_t)len, now)) {
        buf_add(&log_pending, line, (size_t)len);
    }
}

/* Replaces control characters, which names from outside may hold: a line break
 * would begin another record. */
static void
replace_controls(char *text)
{
    for (; *text != '\0'; text++) {
        unsigned char c = (unsigned char)*text;
        *text = c < ' ' || c == 0x7f ? '?' : *text;
    }
}

/* Replaces quotes in the text of a quoted field. */
static void
replace_quotes(char *text)
{
    for (; *text != '\0'; text++) {
        *text = *text == '"' ? '\'' : *text;
    }
}

/* Write one record: time, level, host, component and event, then the fields of
 * the event as name=value. */
void
log_record(log_level_t level, const char *component, const char *event,
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
    replace_controls(text);
    record_add(level, component, event, text);
}

/* The number of records dropped since the process started. */
uint64_t
log_dropped_total(void)
{
    LOCK_SCOPE(&log_lock);
    return log_dropped_since_start;
}

/* Write as many of the buffered records as the reader accepts. */
void
log_flush(void)
{
    LOCK_SCOPE(&log_lock);
    if (log_dropped > 0 && log_pending.len < PENDING_BYTES_MAX / 2) {
        buf_fmt(&log_pending,
                "t=%lld level=warn host=%s part=log event=left-out "
                "lines=%llu\n",
                (long long)time_wall_ms(), log_process,
                (unsigned long long)log_dropped);
        log_dropped = 0;
    }
    while (log_pending.len > 0) {
        ssize_t wrote =
            write(STDOUT_FILENO, log_pending.data, log_pending.len);
        if (wrote < 0 && errno == EINTR) {
            continue;
        }
        if (wrote <= 0) {
            return;
        }
        buf_consume(&log_pending, (size_t)wrote);
    }
}

static void
line_write(log_level_t level, const char *component, const char *text)
{
    int64_t now = time_wall_ms();
    time_t seconds = (time_t)(now / 1000);
    struct tm parts;
    char stamp[32];
    (void)gmtime_r(&seconds, &parts);
    (void)strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);

    LOCK_SCOPE(&log_lock);
    (void)fprintf(stderr, "%s.%03dZ %s %s %s: %s\n", stamp, (int)(now % 1000),
                  log_level_names[level], log_process, component, text);
}

/* Writes a message: one line on standard error with time, level, process and
 * part or, after log_setup_records, a record of event "note" with the message
 * as its text field. */
void
log_msg(log_level_t level, const char *component, const char *fmt, ...)
{
    if (level > log_threshold) {
        return;
    }
    char text[1024];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    replace_controls(text);
    if (!log_records) {
        line_write(level, component, text);
        return;
    }
    char quoted[1100];
    replace_quotes(text);
    (void)snprintf(quoted, sizeof(quoted), "text=\"%s\"", text);
    record_add(level, component, "note", quoted);
}
