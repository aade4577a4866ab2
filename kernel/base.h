#ifndef CELERYSPOOL_BASE_H
#define CELERYSPOOL_BASE_H

/* Shared utilities: errors, logs, events, buffers, clocks, text, JSON. */

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define CS_VERSION "0.1.0"
#define CS_NAME_MAX 64
#define CS_ADDR_MAX 64
#define CS_ID_LEN 32

/* Exit statuses common to all programs. */
#define EXIT_SETTINGS 3
#define EXIT_UNREACHABLE 4

/* The layer that reports an error; it wraps the errors of lower layers. */
typedef enum {
    ERR_NONE,
    ERR_SETTINGS,
    ERR_HTTP,
    ERR_STORE,
    ERR_CONFIG,
    ERR_CLAIM,
    ERR_PEER,
    ERR_CALL,
    ERR_COMMAND
} err_layer_t;

/* An error: the caller passes it in and the function that fails fills it. */
typedef struct {
    err_layer_t layer;
    int code;
    char text[320];
} err_t;

int err_set(err_t *err, err_layer_t layer, int code, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
int err_wrap(err_t *err, err_layer_t layer, int code, const char *text);
const char *err_layer_name(err_layer_t layer);

typedef enum { LOG_ERROR, LOG_WARN, LOG_INFO, LOG_DEBUG } log_level_t;

void log_setup(const char *process, log_level_t level);
void log_setup_records(void);
int log_level_parse(const char *name);
void log_record(log_level_t level, const char *component, const char *event,
                const char *fmt, ...) __attribute__((format(printf, 4, 5)));
void log_flush(void);
uint64_t log_dropped_total(void);
void log_msg(log_level_t level, const char *component, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
#define log_error(component, ...) log_msg(LOG_ERROR, component, __VA_ARGS__)
#define log_warn(component, ...) log_msg(LOG_WARN, component, __VA_ARGS__)
#define log_info(component, ...) log_msg(LOG_INFO, component, __VA_ARGS__)
#define log_debug(component, ...) log_msg(LOG_DEBUG, component, __VA_ARGS__)

/* One line of the event log; NULL and empty strings are omitted. */
typedef struct {
    const char *kind;
    const char *request;
    const char *workspace;
    const char *backend;
    const char *sent;     /* id of the message sent by this process */
    const char *received; /* id of the message received by this process */
    const char *detail;
} event_t;

int event_setup(const char *process, const char *path);
void event_emit(const event_t *event);
json_t *event_list_recent(const char *request, const char *backend,
                          size_t max);
void event_close(void);

/* A growable byte buffer; once it has memory, a NUL follows its content. */
typedef struct {
    char *data;
    size_t len;
    size_t cap;
} buf_t;

void buf_add(buf_t *buf, const void *data, size_t len);
void buf_str(buf_t *buf, const char *text);
void buf_fmt(buf_t *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void buf_consume(buf_t *buf, size_t len);
void buf_free(buf_t *buf);
const char *buf_text(const buf_t *buf);

int64_t time_mono_ms(void);
int64_t time_mono_us(void);
int64_t time_boot_ms(void);
int64_t time_wall_ms(void);
void time_sleep_ms(int ms);

void signals_block(void);
void signals_unblock(void);
bool signals_stop_pending(void);

/* A seeded random number generator (splitmix64), so that tests and load runs
 * are reproducible. */
typedef struct {
    uint64_t state;
} rng_t;

uint64_t rng_next(rng_t *rng);
double rng_unit(rng_t *rng);
uint64_t rng_below(rng_t *rng, uint64_t bound);

void id_random(char out[CS_ID_LEN + 1]);
void str_copy(char *dst, size_t size, const char *src);
uint64_t str_hash(const char *text, uint64_t seed);
bool str_is_name(const char *text);
const char *str_escape(const char *text);
bool addr_is_valid(const char *addr);
bool utf8_is_valid(const char *data, size_t len);
void *mem_zalloc(size_t size);

/* Cleanup attributes: a variable is freed at the end of its scope. */
void cleanup_json(json_t **value);
void cleanup_text(char **text);
void cleanup_lock(pthread_mutex_t **lock);
#define CLEAN_JSON __attribute__((cleanup(cleanup_json)))
#define CLEAN_TEXT __attribute__((cleanup(cleanup_text)))
#define CLEAN_BUF __attribute__((cleanup(buf_free)))
/* Holds a mutex until the end of the enclosing block. */
#define LOCK_SCOPE(mutex)                                                \
    pthread_mutex_t *scope_lock __attribute__((cleanup(cleanup_lock))) = \
        (pthread_mutex_lock(mutex), (mutex));                            \
    (void)scope_lock

const char *json_get_string(const json_t *object, const char *key);
bool json_string_equals(const json_t *object, const char *key,
                        const char *expected);
int64_t json_get_int(const json_t *object, const char *key, int64_t fallback);
bool json_get_bool(const json_t *object, const char *key);

#endif
