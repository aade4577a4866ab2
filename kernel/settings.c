#include "settings.h"

#include <ini.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

typedef enum {
    TYPE_NAME,
    TYPE_TEXT,
    TYPE_ADDR,
    TYPE_ADDRS,
    TYPE_SECRET,
    TYPE_LEVEL,
    TYPE_MODE,
    TYPE_OBJECTIVE,
    TYPE_REAL,
    TYPE_INT
} setting_type_t;

typedef struct {
    const char *section;
    const char *key;
    setting_type_t type;
    size_t offset;
    size_t size; /* of a text */
    int min;
    int max;
    unsigned modes; /* that it belongs to */
    bool required;
    const char *fallback;
    const char *about;
} setting_t;

#define AT(field) offsetof(settings_t, field)
#define ROOM(field) sizeof(((settings_t *)NULL)->field)

static const setting_t settings_table[] = {
    {"daemon", "name", TYPE_NAME, AT(name), ROOM(name), 0, 0, MODE_BOTH, true,
     NULL, "name of this daemon, unique in the deployment"},
    {"daemon", "dc", TYPE_NAME, AT(dc), ROOM(dc), 0, 0, MODE_BOTH, true, NULL,
     "data centre of this host"},
    {"daemon", "log_level", TYPE_LEVEL, AT(log_level), 0, 0, 0, MODE_BOTH,
     false, "info", "error, warn, info or debug"},
    {"daemon", "event_log", TYPE_TEXT, AT(event_log), ROOM(event_log), 0, 0,
     MODE_CHAT, false, "", "file for events; empty keeps them in memory only"},
    {"daemon", "grace_ms", TYPE_INT, AT(shutdown_grace_ms), 0, 0, 600000,
     MODE_CHAT, false, "2000",
     "how long a stop still takes requests while the balancer leaves"},
    {"listen", "http", TYPE_ADDR, AT(http_addr), ROOM(http_addr), 0, 0,
     MODE_BOTH, true, NULL, "callers and operators"},
    {"listen", "peer", TYPE_ADDR, AT(peer_addr), ROOM(peer_addr), 0, 0,
     MODE_BOTH, true, NULL, "other daemons, TCP and UDP"},
    {"listen", "http_threads", TYPE_INT, AT(http_threads), 0, 1, 64, MODE_CHAT,
     false, "2", "threads that serve callers"},
    {"listen", "connections", TYPE_INT, AT(connections_max), 0, 16, 100000,
     MODE_CHAT, false, "8000", "callers' connections at once"},
    {"listen", "body_kib", TYPE_INT, AT(body_max_kib), 0, 1, 65536, MODE_CHAT,
     false, "1024", "longest request body"},
    {"listen", "idle_seconds", TYPE_INT, AT(idle_timeout_s), 0, 1, 3600,
     MODE_CHAT, false, "30", "a caller that is silent for longer is cut"},
    {"relay", "threads", TYPE_INT, AT(relay_threads), 0, 1, 64, MODE_CHAT,
     false, "2", "threads that talk to backend servers"},
    {"relay", "silence_ms", TYPE_INT, AT(stream_silence_max_ms), 0, 50, 60000,
     MODE_CHAT, false, "500",
     "a stream that is silent for longer is asked after"},
    {"platform", "store", TYPE_ADDR, AT(store_addr), ROOM(store_addr), 0, 0,
     MODE_BOTH, true, NULL, "the platform's object API"},
    {"platform", "timeout_ms", TYPE_INT, AT(store_timeout_ms), 0, 10, 60000,
     MODE_CHAT, false, "500", "longest wait for one call to the platform"},
    {"peers", "seeds", TYPE_ADDRS, AT(seeds), 0, 0, 0, MODE_BOTH, false, "",
     "peer addresses to begin with, separated by commas"},
    {"keys", "secret", TYPE_SECRET, AT(secret), 0, 0, 0, MODE_CHAT, true, NULL,
     "64 hexadecimal digits, equal in the whole deployment"},
    {"keys", "operator", TYPE_TEXT, AT(operator_key), ROOM(operator_key), 0, 0,
     MODE_CHAT, true, NULL, "bearer key of the first operator"},
    {"daemon", "mode", TYPE_MODE, AT(mode), 0, 0, 0, MODE_BOTH, false, "chat",
     "chat: the own interface; relay: the router on the users' platform"},
    {"listen", "ready", TYPE_ADDR, AT(ready_addr), ROOM(ready_addr), 0, 0,
     MODE_RELAY, true, NULL,
     "the balancer's question whether this daemon is ready"},
    {"listen", "metrics", TYPE_ADDR, AT(metrics_addr), ROOM(metrics_addr), 0,
     0, MODE_RELAY, true, NULL, "counters and histograms, as text"},
    {"relay", "objective", TYPE_OBJECTIVE, AT(objective), 0, 0, 0, MODE_RELAY,
     false, "tail", "what placement weighs most: tail (time) or hits"},
    {"relay", "stop_s", TYPE_REAL, AT(stop_timeout_s), 0, 1, 3600, MODE_RELAY,
     true, NULL, "seconds from a stop's signal until the process is killed"},
    {"relay", "hosts", TYPE_INT, AT(hosts_min), 0, 1, 10000, MODE_RELAY, false,
     "4", "daemons that share the retries at least"},
    {"relay", "retry_ratio", TYPE_REAL, AT(retry_ratio), 0, 0, 1, MODE_RELAY,
     true, NULL, "retries for each request, as a fraction"},
    {"relay", "retry_slack", TYPE_REAL, AT(retry_slack), 0, 0, 1000000,
     MODE_RELAY, true, NULL, "retries of all daemons besides, in a window"},
    {"relay", "retry_window_s", TYPE_REAL, AT(retry_window_s), 0, 1, 3600,
     MODE_RELAY, true, NULL, "seconds that retries are counted over"},
    {"relay", "quota_window_s", TYPE_REAL, AT(quota_window_s), 0, 1, 3600,
     MODE_RELAY, false, "8",
     "seconds that workspaces' limits are judged over"},
    {"relay", "quota_overage", TYPE_REAL, AT(quota_overage), 0, 0, 10,
     MODE_RELAY, false, "0.1",
     "part by which all daemons together may exceed a limit in a window"},
    {"relay", "quota_slack", TYPE_REAL, AT(quota_slack), 0, 0, 100000000,
     MODE_RELAY, false, "0",
     "units of a limit that may be exceeded besides, in a window"},
    {"relay", "lease_ms", TYPE_REAL, AT(lease_ms), 0, 100, 600000, MODE_RELAY,
     true, NULL, "how long the lease on orders holds"},
    {"relay", "weights_ms", TYPE_REAL, AT(old_weights_max_ms), 0, 100, 3600000,
     MODE_RELAY, true, NULL,
     "older weights may begin an answer for so long after newer are named"},
};
#define SETTINGS_COUNT (sizeof(settings_table) / sizeof(settings_table[0]))

/* What the INI reader's callbacks share.  The lines are handed to inih one
 * by one, so that a problem can name its line. */
typedef struct {
    const char *file;
    const char *text;
    size_t at;
    int line;
    int lines[SETTINGS_COUNT]; /* where each was set, 0 if nowhere */
    settings_t *settings;
    buf_t *problems;
} reader_t;

static void
problem(reader_t *reader, int line, const char *fmt, ...)
{
    char text[256];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    buf_fmt(reader->problems, "%s:%d: %s\n", reader->file, line, text);
}

static const setting_t *
setting_find(const char *section, const char *key)
{
    for (size_t i = 0; i < SETTINGS_COUNT; i++) {
        if (strcmp(settings_table[i].section, section) == 0 &&
            strcmp(settings_table[i].key, key) == 0) {
            return &settings_table[i];
        }
    }
    return NULL;
}

static void
list_allowed(const char *section, buf_t *out)
{
    const char *last = "";
    for (size_t i = 0; i < SETTINGS_COUNT; i++) {
        const setting_t *entry = &settings_table[i];
        const char *word = section == NULL ? entry->section : entry->key;
        bool mine = section == NULL || strcmp(section, entry->section) == 0;
        if (mine && strcmp(word, last) != 0) {
            buf_fmt(out, "%s%s", out->len > 0 ? ", " : "", word);
            last = word;
        }
    }
}

static void
problem_unknown(reader_t *reader, const char *section, const char *key)
{
    CLEAN_BUF buf_t keys = {0};
    CLEAN_BUF buf_t sections = {0};
    list_allowed(section, &keys);
    list_allowed(NULL, &sections);
    if (keys.len == 0) {
        problem(reader, reader->line, "unknown section [%s]; allowed: %s",
                section, buf_text(&sections));
        return;
    }
    problem(reader, reader->line, "unknown key %s in [%s]; allowed: %s", key,
            section, buf_text(&keys));
}

static bool
take_int(const setting_t *entry, const char *value, int *out)
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

/* A decimal number, with a fraction or without.  strtod() alone would also
 * take hexadecimal, infinity and what follows white space. */
static bool
take_real(const setting_t *entry, const char *value, double *out)
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

static bool
take_addrs(settings_t *settings, const char *value)
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
take_secret(const char *value, unsigned char *out)
{
    size_t len;
    return strlen(value) == SECRET_BYTES * 2 &&
           sodium_hex2bin(out, SECRET_BYTES, value, strlen(value), NULL, &len,
                          NULL) == 0 &&
           len == SECRET_BYTES;
}

static int
mode_parse(const char *word)
{
    if (strcmp(word, "chat") == 0) {
        return MODE_CHAT;
    }
    return strcmp(word, "relay") == 0 ? MODE_RELAY : 0;
}

/* Put a value where it belongs; on failure say what would be allowed. */
static const char *
setting_take(const setting_t *entry, settings_t *settings, const char *value)
{
    char *at = (char *)settings + entry->offset;
    bool fits = strlen(value) < entry->size;
    switch (entry->type) {
        case TYPE_NAME:
            if (!str_is_name(value)) {
                return "1 to 63 letters, digits, dashes, dots, underscores";
            }
            str_copy(at, entry->size, value);
            return NULL;
        case TYPE_TEXT:
            if (!fits || (entry->required && value[0] == '\0')) {
                return "a text that is not empty and not too long";
            }
            str_copy(at, entry->size, value);
            return NULL;
        case TYPE_ADDR:
            if (!addr_is_valid(value) || !fits) {
                return "IPV4:PORT";
            }
            str_copy(at, entry->size, value);
            return NULL;
        case TYPE_ADDRS:
            return take_addrs(settings, value)
                       ? NULL
                       : "up to 16 of IPV4:PORT, separated by commas";
        case TYPE_SECRET:
            return take_secret(value, (unsigned char *)at)
                       ? NULL
                       : "64 hexadecimal digits";
        case TYPE_LEVEL:
            settings->log_level = log_level_parse(value);
            return settings->log_level < 0 ? "error, warn, info or debug"
                                           : NULL;
        case TYPE_MODE:
            settings->mode = mode_parse(value);
            return settings->mode == 0 ? "chat or relay" : NULL;
        case TYPE_OBJECTIVE:
            settings->objective = strcmp(value, "hits") == 0;
            return settings->objective || strcmp(value, "tail") == 0
                       ? NULL
                       : "tail or hits";
        case TYPE_REAL:
            return take_real(entry, value, (double *)at) ? NULL : "a number";
        case TYPE_INT:
            return take_int(entry, value, (int *)at) ? NULL : "a whole number";
    }
    return "nothing";
}

static void
problem_value(reader_t *reader, const setting_t *entry, const char *value,
              const char *allowed)
{
    if (entry->type == TYPE_INT || entry->type == TYPE_REAL) {
        problem(reader, reader->line,
                "%s = %s is not allowed; allowed: %s from %d to %d",
                entry->key, value, allowed, entry->min, entry->max);
        return;
    }
    /* A secret is not repeated in a message that may be logged. */
    problem(reader, reader->line, "%s = %s is not allowed; allowed: %s",
            entry->key, entry->type == TYPE_SECRET ? "(hidden)" : value,
            allowed);
}

static int
on_value(void *arg, const char *section, const char *key, const char *value)
{
    reader_t *reader = arg;
    const setting_t *entry = setting_find(section, key);
    if (entry == NULL) {
        problem_unknown(reader, section, key);
        return 1;
    }
    size_t index = (size_t)(entry - settings_table);
    if (reader->lines[index] != 0) {
        problem(reader, reader->line,
                "%s is set twice, first in line %d; allowed: once", key,
                reader->lines[index]);
        return 1;
    }
    reader->lines[index] = reader->line;
    const char *allowed = setting_take(entry, reader->settings, value);
    if (allowed != NULL) {
        problem_value(reader, entry, value, allowed);
    }
    return 1;
}

/* Give inih the next line, cut to its room. */
static char *
next_line(char *out, int room, void *arg)
{
    reader_t *reader = arg;
    const char *from = reader->text + reader->at;
    if (*from == '\0') {
        return NULL;
    }
    size_t len = strcspn(from, "\n");
    size_t step = from[len] == '\n' ? len + 1 : len;
    reader->line++;
    reader->at += step;
    if (len + 2 > (size_t)room) {
        problem(reader, reader->line,
                "the line is too long; allowed: %d bytes", room - 2);
        len = 0;
    }
    memcpy(out, from, len);
    out[len] = '\n';
    out[len + 1] = '\0';
    return out;
}

/* What is not set gets its fallback.  The mode comes first: it tells which
 * settings are needed. */
static void
take_fallbacks(reader_t *reader)
{
    if (reader->settings->mode == 0) {
        reader->settings->mode = MODE_CHAT;
    }
    for (size_t i = 0; i < SETTINGS_COUNT; i++) {
        const setting_t *entry = &settings_table[i];
        if (reader->lines[i] != 0) {
            continue;
        }
        if (entry->required &&
            (entry->modes & (unsigned)reader->settings->mode) == 0) {
            continue;
        }
        if (entry->required) {
            problem(reader, reader->line, "%s is missing from [%s]; it is: %s",
                    entry->key, entry->section, entry->about);
            continue;
        }
        (void)setting_take(entry, reader->settings, entry->fallback);
    }
}

static int
line_of(const reader_t *reader, const char *section, const char *key)
{
    return reader->lines[setting_find(section, key) - settings_table];
}

static void
check_contradictions(reader_t *reader)
{
    const settings_t *settings = reader->settings;
    if (settings->http_addr[0] != '\0' &&
        strcmp(settings->http_addr, settings->peer_addr) == 0) {
        problem(reader, line_of(reader, "listen", "peer"),
                "peer is the address of http in line %d; allowed: another "
                "port",
                line_of(reader, "listen", "http"));
    }
    if (settings->store_addr[0] != '\0' &&
        strcmp(settings->http_addr, settings->store_addr) == 0) {
        problem(reader, line_of(reader, "platform", "store"),
                "store is this daemon's own http address; allowed: the "
                "platform's");
    }
    for (unsigned i = 0; i < settings->seed_count; i++) {
        if (strcmp(settings->seeds[i], settings->http_addr) == 0) {
            problem(reader, line_of(reader, "peers", "seeds"),
                    "%s is an http address; allowed: peer addresses",
                    settings->seeds[i]);
        }
    }
}

/* Read settings from text; problems get the given file name. */
int
settings_parse(settings_t *settings, const char *name, const char *text,
               buf_t *problems)
{
    reader_t reader = {.file = name,
                       .text = text,
                       .settings = settings,
                       .problems = problems};
    size_t before = problems->len;
    memset(settings, 0, sizeof(*settings));
    int bad = ini_parse_stream(next_line, &reader, on_value, &reader);
    if (bad > 0) {
        problem(&reader, bad,
                "neither a section nor key = value; allowed: [section], "
                "key = value, ; comment");
    }
    take_fallbacks(&reader);
    check_contradictions(&reader);
    return problems->len == before ? 0 : -1;
}

/* Read a settings file whole and check it whole. */
int
settings_read(settings_t *settings, const char *path, buf_t *problems)
{
    CLEAN_BUF buf_t text = {0};
    char block[4096];
    size_t got;
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        buf_fmt(problems, "%s:0: cannot be opened\n", path);
        return -1;
    }
    while ((got = fread(block, 1, sizeof(block), file)) > 0) {
        buf_add(&text, block, got);
    }
    (void)fclose(file);
    if (strlen(buf_text(&text)) != text.len) {
        buf_fmt(problems, "%s:0: holds a NUL byte\n", path);
        return -1;
    }
    return settings_parse(settings, path, buf_text(&text), problems);
}

/* Print every setting with its fallback, for --help-settings. */
void
settings_print_help(FILE *out)
{
    for (size_t i = 0; i < SETTINGS_COUNT; i++) {
        const setting_t *entry = &settings_table[i];
        (void)fprintf(out, "[%s] %s: %s%s%s\n", entry->section, entry->key,
                      entry->about,
                      entry->required ? " (required)" : "; default ",
                      entry->required ? "" : entry->fallback);
    }
}
