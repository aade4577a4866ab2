#include "base.h"

#include <stdarg.h>
#include <string.h>
#include <time.h>

static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static char log_process[CS_NAME_MAX] = "celeryspool";
static log_level_t log_threshold = LOG_INFO;
static const char *const log_words[] = {"error", "warn", "info", "debug"};

/* Name the process and the least urgent level that is written. */
void
log_setup(const char *process, log_level_t level)
{
    str_copy(log_process, sizeof(log_process), process);
    log_threshold = level;
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

/* Write one line to standard error: time, level, process, part, sentence. */
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
