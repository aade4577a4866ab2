#include "base.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

/* Texts of str_escape that are valid at once, and their length. */
#define ESCAPED_COUNT 8
#define ESCAPED_LEN_MAX 512

static int64_t
time_read_us(clockid_t clock)
{
    struct timespec now;
    (void)clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Milliseconds of a clock that never steps back. */
int64_t
time_mono_ms(void)
{
    return time_read_us(CLOCK_MONOTONIC) / 1000;
}

/* Microseconds of a clock that never steps back. */
int64_t
time_mono_us(void)
{
    return time_read_us(CLOCK_MONOTONIC);
}

/* Milliseconds of a monotonic clock that also runs while the host is
 * suspended, for leases, which expire for other hosts meanwhile. */
int64_t
time_boot_ms(void)
{
    return time_read_us(CLOCK_BOOTTIME) / 1000;
}

/* Milliseconds since 1970, for logs and for dates set by operators. */
int64_t
time_wall_ms(void)
{
    return time_read_us(CLOCK_REALTIME) / 1000;
}

/* Sleep; a signal may end the sleep early. */
void
time_sleep_ms(int ms)
{
    struct timespec span = {ms / 1000, (long)(ms % 1000) * 1000000};
    (void)nanosleep(&span, NULL);
}

/* The next 64 bits of a seeded sequence (splitmix64, Steele et al.). */
uint64_t
rng_next(rng_t *rng)
{
    rng->state += 0x9e3779b97f4a7c15ULL;
    uint64_t z = rng->state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/* A number in [0, 1). */
double
rng_unit(rng_t *rng)
{
    return (double)(rng_next(rng) >> 11) / 9007199254740992.0;
}

/* A number in [0, bound). */
uint64_t
rng_below(rng_t *rng, uint64_t bound)
{
    return rng_next(rng) % bound;
}

/* A fresh random identifier of 128 bits in hexadecimal. */
void
id_random(char out[CS_ID_LEN + 1])
{
    unsigned char raw[CS_ID_LEN / 2];
    randombytes_buf(raw, sizeof(raw));
    (void)sodium_bin2hex(out, CS_ID_LEN + 1, raw, sizeof(raw));
}

/* Copy text into a fixed array, truncating it if it does not fit; NULL is
 * copied as an empty string. */
void
str_copy(char *dst, size_t size, const char *src)
{
    if (size == 0) {
        return;
    }
    size_t len = src == NULL ? 0 : strnlen(src, size - 1);
    if (src != NULL) {
        memcpy(dst, src, len);
    }
    dst[len] = '\0';
}

/* A hash of text that is the same in every process. */
uint64_t
str_hash(const char *text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text, strlen(text), seed);
}

/* Whether text can name an object: letters, digits, dash, dot, underscore,
 * from 1 to 63 characters. */
bool
str_is_name(const char *text)
{
    size_t len = text == NULL ? 0 : strlen(text);
    if (len == 0 || len >= CS_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("-._", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* Whether text is IPV4:PORT. */
bool
addr_is_valid(const char *addr)
{
    char host[CS_ADDR_MAX];
    const char *colon = addr == NULL ? NULL : strrchr(addr, ':');
    if (colon == NULL || (size_t)(colon - addr) >= sizeof(host)) {
        return false;
    }
    memcpy(host, addr, (size_t)(colon - addr));
    host[colon - addr] = '\0';
    struct in_addr ip;
    char *end;
    long port = strtol(colon + 1, &end, 10);
    return inet_pton(AF_INET, host, &ip) == 1 &&
           isdigit((unsigned char)colon[1]) && *end == '\0' && port > 0 &&
           port < 65536;
}

/* The length of the UTF-8 sequence at the start of data, 0 if invalid. */
static size_t
utf8_sequence_len(const unsigned char *data, size_t len)
{
    unsigned char lead = data[0];
    size_t sequence_len = lead < 0x80   ? 1
                          : lead < 0xc2 ? 0
                          : lead < 0xe0 ? 2
                          : lead < 0xf0 ? 3
                          : lead < 0xf5 ? 4
                                        : 0;
    if (sequence_len == 0 || sequence_len > len) {
        return 0;
    }
    for (size_t i = 1; i < sequence_len; i++) {
        if ((data[i] & 0xc0) != 0x80) {
            return 0;
        }
    }
    bool overlong =
        (lead == 0xe0 && data[1] < 0xa0) || (lead == 0xf0 && data[1] < 0x90);
    bool out_of_range =
        (lead == 0xed && data[1] > 0x9f) || (lead == 0xf4 && data[1] > 0x8f);
    return overlong || out_of_range ? 0 : sequence_len;
}

/* Whether the bytes are well-formed UTF-8 (RFC 3629). */
bool
utf8_is_valid(const char *data, size_t len)
{
    size_t at = 0;
    while (at < len) {
        size_t step =
            utf8_sequence_len((const unsigned char *)data + at, len - at);
        if (step == 0) {
            return false;
        }
        at += step;
    }
    return true;
}

/* Returns text from outside for a quoted label or field: quotes, backslashes
 * and line feeds are escaped, and other bytes that are no printable text are
 * replaced.  It is cut if it is too long, and valid until ESCAPED_COUNT more
 * calls of the thread. */
const char *
str_escape(const char *text)
{
    static _Thread_local char texts[ESCAPED_COUNT][ESCAPED_LEN_MAX];
    static _Thread_local unsigned next;
    char *out = texts[next++ % ESCAPED_COUNT];
    bool is_text = utf8_is_valid(text, strlen(text));
    size_t len = 0;
    for (; *text != '\0' && len < ESCAPED_LEN_MAX - 2; text++) {
        unsigned char c = (unsigned char)*text;
        if (c == '"' || c == '\\' || c == '\n') {
            out[len++] = '\\';
            out[len++] = c == '\n' ? 'n' : (char)c;
        }
        else {
            bool printable = c >= ' ' && c != 0x7f && (c < 0x80 || is_text);
            out[len++] = printable ? (char)c : '?';
        }
    }
    out[len] = '\0';
    return out;
}

/* Allocate zeroed memory; aborts the process if there is none. */
void *
mem_zalloc(size_t size)
{
    void *memory = calloc(1, size);
    if (memory == NULL) {
        abort();
    }
    return memory;
}

void
cleanup_json(json_t **value)
{
    json_decref(*value);
}

void
cleanup_text(char **text)
{
    free(*text);
}

void
cleanup_lock(pthread_mutex_t **lock)
{
    (void)pthread_mutex_unlock(*lock);
}

/* A member's string, or NULL if it is absent or not a string. */
const char *
json_get_string(const json_t *object, const char *key)
{
    return json_string_value(json_object_get(object, key));
}

/* Whether a member is a string equal to the expected one. */
bool
json_string_equals(const json_t *object, const char *key, const char *expected)
{
    const char *value = json_get_string(object, key);
    return value != NULL && strcmp(value, expected) == 0;
}

/* A member's integer, or the fallback if it is absent or not an integer. */
int64_t
json_get_int(const json_t *object, const char *key, int64_t fallback)
{
    const json_t *value = json_object_get(object, key);
    return json_is_integer(value) ? json_integer_value(value) : fallback;
}

/* Whether a member is present and true. */
bool
json_get_bool(const json_t *object, const char *key)
{
    return json_is_true(json_object_get(object, key));
}
