#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ini.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Interval at which an incomplete file is read again. */
#define REREAD_INTERVAL_MS 100

typedef enum {
    SETTING_NAME,
    SETTING_TEXT,
    SETTING_ADDR,
    SETTING_ADDRS,
    SETTING_IP,
    SETTING_SECRET,
    SETTING_LEVEL,
    SETTING_MODE,
    SETTING_OBJECTIVE,
    SETTING_REAL,
    SETTING_INT
} setting_type_t;

typedef struct {
    const char *section;
    const char *key;
    setting_type_t type;
    size_t offset;
    size_t size; /* buffer size of a text */
    int min;
    int max;
    unsigned modes; /* modes that the setting applies to */
    bool required;
    const char *default_value;
    const char *about;
} setting_t;

#define OFFSET_OF(field) offsetof(settings_t, field)
#define SIZE_OF(field) sizeof(((settings_t *)NULL)->field)

static const setting_t setting_list[] = {
    {"daemon", "name", SETTING_NAME, OFFSET_OF(name), SIZE_OF(name), 0, 0,
     MODE_BOTH, true, NULL, "name of this daemon, unique in the deployment"},
    {"daemon", "dc", SETTING_NAME, OFFSET_OF(dc), SIZE_OF(dc), 0, 0, MODE_BOTH,
     true, NULL, "data centre of this host"},
    {"daemon", "log_level", SETTING_LEVEL, OFFSET_OF(log_level), 0, 0, 0,
     MODE_BOTH, false, "info", "error, warn, info or debug"},
    {"daemon", "event_log", SETTING_TEXT, OFFSET_OF(event_log),
     SIZE_OF(event_log), 0, 0, MODE_CHAT, false, "",
     "file for events; empty keeps them in memory only"},
    {"daemon", "grace_ms", SETTING_INT, OFFSET_OF(shutdown_grace_ms), 0, 0,
     600000, MODE_CHAT, false, "2000",
     "how long a stopping daemon still accepts requests, so that the "
     "balancer can remove it"},
    {"listen", "http", SETTING_ADDR, OFFSET_OF(http_addr), SIZE_OF(http_addr),
     0, 0, MODE_BOTH, true, NULL, "address for callers and operators"},
    {"listen", "peer", SETTING_ADDR, OFFSET_OF(peer_addr), SIZE_OF(peer_addr),
     0, 0, MODE_BOTH, true, NULL, "address for other daemons, TCP and UDP"},
    {"listen", "http_threads", SETTING_INT, OFFSET_OF(http_threads), 0, 1, 64,
     MODE_CHAT, false, "2", "threads that serve callers"},
    {"listen", "connections", SETTING_INT, OFFSET_OF(connections_max), 0, 16,
     100000, MODE_CHAT, false, "8000",
     "maximum number of open caller connections"},
    {"listen", "body_kib", SETTING_INT, OFFSET_OF(body_max_kib), 0, 1, 65536,
     MODE_CHAT, false, "1024", "maximum size of a request body"},
    {"listen", "idle_seconds", SETTING_INT, OFFSET_OF(idle_timeout_s), 0, 1,
     3600, MODE_CHAT, false, "30",
     "idle time after which a caller's connection is closed"},
    {"relay", "threads", SETTING_INT, OFFSET_OF(relay_threads), 0, 1, 64,
     MODE_CHAT, false, "2",
     "threads that handle connections to backend servers"},
    {"relay", "silence_ms", SETTING_INT, OFFSET_OF(stream_silence_max_ms), 0,
     50, 60000, MODE_CHAT, false, "500",
     "silence of a stream after which its backend server is probed"},
    {"platform", "store", SETTING_ADDR, OFFSET_OF(store_addr),
     SIZE_OF(store_addr), 0, 0, MODE_BOTH, true, NULL,
     "address of the platform's object API"},
    {"platform", "timeout_ms", SETTING_INT, OFFSET_OF(store_timeout_ms), 0, 10,
     60000, MODE_CHAT, false, "500", "timeout of one call to the platform"},
    {"peers", "seeds", SETTING_ADDRS, OFFSET_OF(seeds), 0, 0, 0, MODE_BOTH,
     false, "",
     "addresses of the first peers to contact, separated by commas"},
    {"keys", "secret", SETTING_SECRET, OFFSET_OF(secret), 0, 0, 0, MODE_CHAT,
     true, NULL, "64 hexadecimal digits, the same in the whole deployment"},
    {"keys", "operator", SETTING_TEXT, OFFSET_OF(operator_key),
     SIZE_OF(operator_key), 0, 0, MODE_CHAT, true, NULL,
     "bearer key of the first operator"},
    {"daemon", "mode", SETTING_MODE, OFFSET_OF(mode), 0, 0, 0, MODE_BOTH,
     false, "chat",
     "chat: the product's own interface; relay: the router on the users' "
     "platform"},
    {"listen", "ready", SETTING_ADDR, OFFSET_OF(ready_addr),
     SIZE_OF(ready_addr), 0, 0, MODE_RELAY, true, NULL,
     "address for the balancer's readiness check"},
    {"listen", "metrics", SETTING_ADDR, OFFSET_OF(metrics_addr),
     SIZE_OF(metrics_addr), 0, 0, MODE_RELAY, true, NULL,
     "address for counters and histograms, as text"},
    {"listen", "source", SETTING_IP, OFFSET_OF(source_ip), SIZE_OF(source_ip),
     0, 0, MODE_RELAY, false, "",
     "local address of connections to servers and daemons; empty lets the "
     "system choose"},
    {"relay", "objective", SETTING_OBJECTIVE, OFFSET_OF(objective), 0, 0, 0,
     MODE_RELAY, false, "tail",
     "what placement optimizes first: tail (latency) or hits (cache hits)"},
    {"relay", "stop_s", SETTING_REAL, OFFSET_OF(stop_timeout_s), 0, 1, 3600,
     MODE_RELAY, true, NULL,
     "seconds from the stop signal until the process is killed"},
    {"relay", "hosts", SETTING_INT, OFFSET_OF(hosts_min), 0, 1, 10000,
     MODE_RELAY, false, "4",
     "minimum number of daemons that retry_slack is divided by"},
    {"relay", "retry_ratio", SETTING_REAL, OFFSET_OF(retry_ratio), 0, 0, 1,
     MODE_RELAY, true, NULL, "retries allowed per request, as a fraction"},
    {"relay", "retry_slack", SETTING_REAL, OFFSET_OF(retry_slack), 0, 0,
     1000000, MODE_RELAY, true, NULL,
     "additional retries of all daemons together in a window"},
    {"relay", "retry_window_s", SETTING_REAL, OFFSET_OF(retry_window_s), 0, 1,
     3600, MODE_RELAY, true, NULL,
     "length of the window that retries are counted in, seconds"},
    {"relay", "quota_window_s", SETTING_REAL, OFFSET_OF(quota_window_s), 0, 1,
     3600, MODE_RELAY, false, "8",
     "length of the window that workspaces' limits are checked over, "
     "seconds"},
    {"relay", "quota_overage", SETTING_REAL, OFFSET_OF(quota_overage), 0, 0,
     10, MODE_RELAY, false, "0.1",
     "fraction by which all daemons together may exceed a limit in a window"},
    {"relay", "quota_slack", SETTING_REAL, OFFSET_OF(quota_slack), 0, 0,
     100000000, MODE_RELAY, false, "0",
     "additional units by which a limit may be exceeded in a window"},
    {"relay", "memory_mb", SETTING_REAL, OFFSET_OF(memory_mb), 0, 0, 16777216,
     MODE_RELAY, false, "0",
     "memory of this host, MB; bounds what is held for slow callers and "
     "servers; 0: not known"},
    {"relay", "link_mbps", SETTING_REAL, OFFSET_OF(link_mbps), 0, 0, 16777216,
     MODE_RELAY, false, "0",
     "speed of this host's network link, Mbit/s; bounds what is passed on to "
     "hosts that follow this one; 0: not known"},
    {"relay", "descriptors", SETTING_INT, OFFSET_OF(descriptors), 0, 0,
     1000000000, MODE_RELAY, false, "0",
     "descriptors that this daemon may have open; callers' connections take "
     "half of them; 0: as many as the system allows"},
    {"relay", "lease_ms", SETTING_REAL, OFFSET_OF(lease_ms), 0, 100, 600000,
     MODE_RELAY, true, NULL, "duration of the rollout leader's lease"},
    {"relay", "weights_ms", SETTING_REAL, OFFSET_OF(old_weights_max_ms), 0,
     100, 3600000, MODE_RELAY, true, NULL,
     "how long older weights may begin answers after newer are published"},
};
#define SETTINGS_COUNT (sizeof(setting_list) / sizeof(setting_list[0]))

/* State of the INI reader's callbacks.  inih is given the text line by line,
 * so that a problem can name its line. */
typedef struct {
    const char *file;
    const char *text;
    size_t offset;
    int line;
    int lines[SETTINGS_COUNT]; /* line that sets each setting, or 0 */
    int cut_line;              /* the last line if no newline ends it, or 0 */
    settings_status_t status;
    settings_t *settings;
    buf_t *problems;
} reader_t;

/* Sets the status unless a more severe one is set. */
static void
worsen_status(reader_t *reader, settings_status_t status)
{
    if (status > reader->status) {
        reader->status = status;
    }
}

static void
report_problem(reader_t *reader, int line, const char *fmt, ...)
{
    char text[256];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    buf_fmt(reader->problems, "%s:%d: %s\n", reader->file, line, text);
    worsen_status(reader, line == reader->cut_line ? SETTINGS_INCOMPLETE
                                                   : SETTINGS_INVALID);
}

/* Reports a required setting that is not set; more text may set it. */
static void
report_missing(reader_t *reader, const setting_t *entry)
{
    buf_fmt(reader->problems, "%s:%d: %s is missing from [%s]: %s\n",
            reader->file, reader->line, entry->key, entry->section,
            entry->about);
    worsen_status(reader, SETTINGS_INCOMPLETE);
}

static const setting_t *
setting_find(const char *section, const char *key)
{
    for (size_t i = 0; i < SETTINGS_COUNT; i++) {
        if (strcmp(setting_list[i].section, section) == 0 &&
            strcmp(setting_list[i].key, key) == 0) {
            return &setting_list[i];
        }
    }
    return NULL;
}

static void
list_allowed(const char *section, buf_t *out)
{
    const char *previous = "";
    for (size_t i = 0; i < SETTINGS_COUNT; i++) {
        const setting_t *entry = &setting_list[i];
        const char *name = section == NULL ? entry->section : entry->key;
        bool matches = section == NULL || strcmp(section, entry->section) == 0;
        if (matches && strcmp(name, previous) != 0) {
            buf_fmt(out, "%s%s", out->len > 0 ? ", " : "", name);
            previous = name;
        }
    }
}

static void
report_unknown(reader_t *reader, const char *section, const char *key)
{
    CLEAN_BUF buf_t keys = {0};
    CLEAN_BUF buf_t sections = {0};
    list_allowed(section, &keys);
    list_allowed(NULL, &sections);
    if (keys.len == 0) {
        report_problem(reader, reader->line,
                       "unknown section [%s]; allowed: %s", section,
                       buf_text(&sections));
        return;
    }
    report_problem(reader, reader->line, "unknown key %s in [%s]; allowed: %s",
                   key, section, buf_text(&keys));
}

static bool
parse_int(const setting_t *entry, const char *value, int *out)
{
    char *end;
    long number = strtol(value, &end, 10);
    if (end == value || *end != '\0' || number < entry->min ||
        number > entry->max) {
        return false;
    }
    *out = (int)number;
    return true;
}

/* Parse a decimal number, with or without a fraction.  strtod() alone would
 * also accept hexadecimal, infinity and leading white space. */
static bool
parse_real(const setting_t *entry, const char *value, double *out)
{
    char *end;
    if (strspn(value, "+-.0123456789eE") != strlen(value)) {
        return false;
    }
    double number = strtod(value, &end);
    if (end == value || *end != '\0' ||
        !(number >= entry->min && number <= entry->max)) {
        return false;
    }
    *out = number;
    return true;
}

/* Whether a text is an IPv4 address, or empty. */
static bool
ip_is_valid(const char *text)
{
    struct in_addr ip;
    return text[0] == '\0' || inet_pton(AF_INET, text, &ip) == 1;
}

static bool
parse_addrs(settings_t *settings, const char *value)
{
    char copy[1024];
    char *rest = copy;
    char *word;
    str_copy(copy, sizeof(copy), value);
    settings->seed_count = 0;
    while ((word = strsep(&rest, ", ")) != NULL) {
        if (word[0] == '\0') {
            continue;
        }
        if (!addr_is_valid(word) ||
            settings->seed_count == SETTINGS_SEEDS_MAX) {
            return false;
        }
        str_copy(settings->seeds[settings->seed_count++], CS_ADDR_MAX, word);
    }
    return true;
}

static bool
parse_secret(const char *value, unsigned char *out)
{
    size_t len;
    return strlen(value) == SECRET_BYTES * 2 &&
           sodium_hex2bin(out, SECRET_BYTES, value, strlen(value), NULL, &len,
                          NULL) == 0 &&
           len == SECRET_BYTES;
}

static int
parse_mode(const char *word)
{
    if (strcmp(word, "chat") == 0) {
        return MODE_CHAT;
    }
    return strcmp(word, "relay") == 0 ? MODE_RELAY : 0;
}

/* Parse a value and store it in the settings.  Returns NULL, or on failure a
 * description of the allowed values. */
static const char *
setting_parse(const setting_t *entry, settings_t *settings, const char *value)
{
    char *field = (char *)settings + entry->offset;
    bool fits = strlen(value) < entry->size;
    switch (entry->type) {
        case SETTING_NAME:
            if (!str_is_name(value)) {
                return "1 to 63 letters, digits, dashes, dots, underscores";
            }
            str_copy(field, entry->size, value);
            return NULL;
        case SETTING_TEXT:
            if (!fits || (entry->required && value[0] == '\0')) {
                return "a non-empty text that is not too long";
            }
            str_copy(field, entry->size, value);
            return NULL;
        case SETTING_ADDR:
            if (!addr_is_valid(value) || !fits) {
                return "IPV4:PORT";
            }
            str_copy(field, entry->size, value);
            return NULL;
        case SETTING_ADDRS:
            return parse_addrs(settings, value)
                       ? NULL
                       : "up to 16 of IPV4:PORT, separated by commas";
        case SETTING_IP:
            if (!ip_is_valid(value) || !fits) {
                return "an IPv4 address";
            }
            str_copy(field, entry->size, value);
            return NULL;
        case SETTING_SECRET:
            return parse_secret(value, (unsigned char *)field)
                       ? NULL
                       : "64 hexadecimal digits";
        case SETTING_LEVEL:
            settings->log_level = log_level_parse(value);
            return settings->log_level < 0 ? "error, warn, info or debug"
                                           : NULL;
        case SETTING_MODE:
            settings->mode = parse_mode(value);
            return settings->mode == 0 ? "chat or relay" : NULL;
        case SETTING_OBJECTIVE:
            settings->objective = strcmp(value, "hits") == 0;
            return settings->objective || strcmp(value, "tail") == 0
                       ? NULL
                       : "tail or hits";
        case SETTING_REAL:
            return parse_real(entry, value, (double *)field) ? NULL
                                                             : "a number";
        case SETTING_INT:
            return parse_int(entry, value, (int *)field) ? NULL : "an integer";
    }
    return "nothing";
}

static void
report_invalid(reader_t *reader, const setting_t *entry, const char *value,
               const char *allowed)
{
    if (entry->type == SETTING_INT || entry->type == SETTING_REAL) {
        report_problem(reader, reader->line,
                       "%s = %s is invalid; expected: %s from %d to %d",
                       entry->key, value, allowed, entry->min, entry->max);
        return;
    }
    /* The message may be logged, so it must not contain a secret. */
    report_problem(
        reader, reader->line, "%s = %s is invalid; expected: %s", entry->key,
        entry->type == SETTING_SECRET ? "(hidden)" : value, allowed);
}

static int
on_setting(void *arg, const char *section, const char *key, const char *value)
{
    reader_t *reader = arg;
    const setting_t *entry = setting_find(section, key);
    if (entry == NULL) {
        report_unknown(reader, section, key);
        return 1;
    }
    size_t index = (size_t)(entry - setting_list);
    if (reader->lines[index] != 0) {
        report_problem(reader, reader->line,
                       "%s is set twice, first on line %d", key,
                       reader->lines[index]);
        return 1;
    }
    reader->lines[index] = reader->line;
    const char *allowed = setting_parse(entry, reader->settings, value);
    if (allowed != NULL) {
        report_invalid(reader, entry, value, allowed);
    }
    return 1;
}

/* Give inih the next line; one that does not fit is reported and replaced by
 * an empty line. */
static char *
next_line(char *out, int size, void *arg)
{
    reader_t *reader = arg;
    const char *line = reader->text + reader->offset;
    if (*line == '\0') {
        return NULL;
    }
    size_t len = strcspn(line, "\n");
    size_t advance = line[len] == '\n' ? len + 1 : len;
    reader->line++;
    reader->offset += advance;
    if (len + 2 > (size_t)size) {
        report_problem(reader, reader->line,
                       "the line is too long; at most %d bytes are allowed",
                       size - 2);
        len = 0;
    }
    memcpy(out, line, len);
    out[len] = '\n';
    out[len + 1] = '\0';
    return out;
}

/* Give settings that are not set their defaults and report required ones that
 * are missing.  The mode is set first, since it decides which are required. */
static void
apply_defaults(reader_t *reader)
{
    if (reader->settings->mode == 0) {
        reader->settings->mode = MODE_CHAT;
    }
    for (size_t i = 0; i < SETTINGS_COUNT; i++) {
        const setting_t *entry = &setting_list[i];
        if (reader->lines[i] != 0) {
            continue;
        }
        if (entry->required &&
            (entry->modes & (unsigned)reader->settings->mode) == 0) {
            continue;
        }
        if (entry->required) {
            report_missing(reader, entry);
            continue;
        }
        (void)setting_parse(entry, reader->settings, entry->default_value);
    }
}

static int
line_of(const reader_t *reader, const char *section, const char *key)
{
    return reader->lines[setting_find(section, key) - setting_list];
}

static void
check_conflicts(reader_t *reader)
{
    const settings_t *settings = reader->settings;
    if (settings->http_addr[0] != '\0' &&
        strcmp(settings->http_addr, settings->peer_addr) == 0) {
        report_problem(
            reader, line_of(reader, "listen", "peer"),
            "peer is the same address as http on line %d; expected: another "
            "port",
            line_of(reader, "listen", "http"));
    }
    if (settings->store_addr[0] != '\0' &&
        strcmp(settings->http_addr, settings->store_addr) == 0) {
        report_problem(
            reader, line_of(reader, "platform", "store"),
            "store is this daemon's own http address; expected: the "
            "platform's");
    }
    for (unsigned i = 0; i < settings->seed_count; i++) {
        if (strcmp(settings->seeds[i], settings->http_addr) == 0) {
            report_problem(reader, line_of(reader, "peers", "seeds"),
                           "%s is an http address; expected: peer addresses",
                           settings->seeds[i]);
        }
    }
}

/* Returns the number of the last line if no newline ends it, or 0. */
static int
find_cut_line(const char *text)
{
    int lines = 1;
    const char *at = text;
    const char *newline;
    while ((newline = strchr(at, '\n')) != NULL) {
        lines++;
        at = newline + 1;
    }
    return *at != '\0' ? lines : 0;
}

/* Parse settings from text; problems are reported under the given file
 * name. */
settings_status_t
settings_parse(settings_t *settings, const char *name, const char *text,
               buf_t *problems)
{
    reader_t reader = {.file = name,
                       .text = text,
                       .cut_line = find_cut_line(text),
                       .settings = settings,
                       .problems = problems};
    memset(settings, 0, sizeof(*settings));
    int bad_line = ini_parse_stream(next_line, &reader, on_setting, &reader);
    if (bad_line > 0) {
        report_problem(
            &reader, bad_line,
            "neither a section nor key = value; expected: [section], "
            "key = value, ; comment");
    }
    apply_defaults(&reader);
    check_conflicts(&reader);
    return reader.status;
}

/* Read a settings file and check all of it. */
settings_status_t
settings_read(settings_t *settings, const char *path, buf_t *problems)
{
    CLEAN_BUF buf_t text = {0};
    char block[4096];
    size_t len;
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        int error = errno;
        buf_fmt(problems, "%s:0: cannot be opened: %s\n", path,
                strerror(error));
        return error == EACCES ? SETTINGS_INVALID : SETTINGS_INCOMPLETE;
    }
    while ((len = fread(block, 1, sizeof(block), file)) > 0) {
        buf_add(&text, block, len);
    }
    bool failed = ferror(file) != 0;
    (void)fclose(file);
    if (failed) {
        buf_fmt(problems, "%s:0: cannot be read\n", path);
        return SETTINGS_INVALID;
    }
    if (strlen(buf_text(&text)) != text.len) {
        buf_fmt(problems, "%s:0: contains a NUL byte\n", path);
        return SETTINGS_INVALID;
    }
    return settings_parse(settings, path, buf_text(&text), problems);
}

/* Read a settings file, and wait while it is incomplete: it may be written at
 * this moment.  Its problems go to standard error when they change.  Returns
 * SETTINGS_INCOMPLETE once a blocked signal asks the process to stop. */
settings_status_t
settings_wait(settings_t *settings, const char *path)
{
    CLEAN_BUF buf_t printed = {0};
    for (;;) {
        CLEAN_BUF buf_t problems = {0};
        settings_status_t status = settings_read(settings, path, &problems);
        bool changed = strcmp(buf_text(&problems), buf_text(&printed)) != 0;
        if (changed) {
            (void)fputs(buf_text(&problems), stderr);
        }
        if (status != SETTINGS_INCOMPLETE || signals_stop_pending()) {
            return status;
        }
        if (changed) {
            (void)fprintf(stderr, "%s: waiting until it is complete\n", path);
            buf_free(&printed);
            buf_str(&printed, buf_text(&problems));
        }
        time_sleep_ms(REREAD_INTERVAL_MS);
    }
}

/* Print every setting with its default, for --help-settings. */
void
settings_print_help(FILE *out)
{
    for (size_t i = 0; i < SETTINGS_COUNT; i++) {
        const setting_t *entry = &setting_list[i];
        (void)fprintf(out, "[%s] %s: %s%s%s\n", entry->section, entry->key,
                      entry->about,
                      entry->required ? " (required)" : "; default ",
                      entry->required ? "" : entry->default_value);
    }
}
