#include "explain-head.h"

#include "wire.h"

#include <string.h>
#include <strings.h>

#define METHOD_MAX 16

static bool
fail(explain_error_t *error, unsigned line, const char *field, size_t len,
     const char *message)
{
    size_t copied =
        len < sizeof(error->field) - 1 ? len : sizeof(error->field) - 1;
    error->line = line;
    memcpy(error->field, field, copied);
    error->field[copied] = '\0';
    str_copy(error->message, sizeof(error->message), message);
    return false;
}

/* ---- values ---- */

/* Skips a decimal number of 32 bits; NULL if there is none. */
static const char *
skip_number(const char *at, const char *end)
{
    uint64_t value = 0;
    const char *from = at;
    while (at < end && *at >= '0' && *at <= '9' && value <= UINT32_MAX) {
        value = value * 10 + (uint64_t)(*at++ - '0');
    }
    return at > from && value <= UINT32_MAX ? at : NULL;
}

static bool
is_number(const char *at, const char *end)
{
    return skip_number(at, end) == end;
}

/* Whether a value is PROMPT or PROMPT,OUTPUT. */
static bool
is_token_usage(const char *at, const char *end)
{
    const char *rest = skip_number(at, end);
    return rest == end ||
           (rest != NULL && *rest == ',' && is_number(rest + 1, end));
}

/* Whether a value is a list of ID:TOKENS. */
static bool
is_parts(const char *at, const char *end)
{
    while (at <= end) {
        const char *comma = memchr(at, ',', (size_t)(end - at));
        const char *stop = comma != NULL ? comma : end;
        const char *colon = memchr(at, ':', (size_t)(stop - at));
        while (at < stop && *at == ' ') {
            at++;
        }
        if (colon == NULL || colon <= at || !is_number(colon + 1, stop)) {
            return false;
        }
        at = stop + 1;
    }
    return true;
}

/* Returns what is wrong with the value of a header, or NULL. */
static const char *
find_value_fault(wire_header_t header, const char *at, const char *end)
{
    switch (header) {
        case HEADER_TOKEN_USAGE:
            return is_token_usage(at, end) ? NULL
                                           : "must be PROMPT,OUTPUT, numbers";
        case HEADER_PROMPT_PREFIX:
            return is_parts(at, end) ? NULL : "must be a list of ID:TOKENS";
        case HEADER_DEADLINE:
        case HEADER_LENGTH_HINT:
            return is_number(at, end) && *at != '0'
                       ? NULL
                       : "must be a positive number";
        default:
            return NULL;
    }
}

/* ---- lines ---- */

static bool
check_request_line(const char *at, const char *end, explain_error_t *error)
{
    const char *path = memchr(at, ' ', (size_t)(end - at));
    if (path == NULL || path == at || path - at > METHOD_MAX) {
        return fail(error, 1, "method", 6, "METHOD PATH HTTP/1.1 is expected");
    }
    path++;
    const char *version = memchr(path, ' ', (size_t)(end - path));
    if (version == NULL || *path != '/') {
        return fail(error, 1, "path", 4,
                    "a path that begins with / and HTTP/1.1 are expected");
    }
    version++;
    if (end - version != 8 || strncmp(version, "HTTP/1.1", 8) != 0) {
        return fail(error, 1, "version", 7, "must be HTTP/1.1");
    }
    return true;
}

static bool
check_header(const char *at, const char *end, unsigned line,
             explain_error_t *error)
{
    const char *colon = memchr(at, ':', (size_t)(end - at));
    if (colon == NULL || colon == at) {
        return fail(error, line, "name", 4, "NAME: VALUE is expected");
    }
    size_t len = (size_t)(colon - at);
    if (memchr(at, ' ', len) != NULL || memchr(at, '\t', len) != NULL) {
        return fail(error, line, "name", 4, "a blank in a header's name");
    }
    const char *value = colon + 1;
    while (value < end && (*value == ' ' || *value == '\t')) {
        value++;
    }
    while (end > value && (end[-1] == ' ' || end[-1] == '\t')) {
        end--;
    }
    const char *fault =
        find_value_fault(wire_header_find(at, len), value, end);
    return fault == NULL || fail(error, line, at, len, fault);
}

static bool
has_control_character(const char *at, const char *end)
{
    for (; at < end; at++) {
        if (((unsigned char)*at < ' ' && *at != '\t') || *at == 0x7f) {
            return true;
        }
    }
    return false;
}

static bool
check_line(const char *at, const char *end, unsigned line,
           explain_error_t *error)
{
    if (has_control_character(at, end)) {
        return fail(error, line, "line", 4, "a control character");
    }
    return line == 1 ? check_request_line(at, end, error)
                     : check_header(at, end, line, error);
}

/* Checks the lines of a head and writes them with the line ends of the
 * protocol. */
static bool
convert_lines(const char *text, size_t len, buf_t *out, explain_error_t *error)
{
    const char *end = text + len;
    unsigned line = 0;
    while (text < end) {
        const char *next = memchr(text, '\n', (size_t)(end - text));
        const char *stop = next != NULL ? next : end;
        const char *line_end =
            stop > text && stop[-1] == '\r' ? stop - 1 : stop;
        if (line_end == text) {
            break;
        }
        line++;
        if (!check_line(text, line_end, line, error)) {
            return false;
        }
        buf_add(out, text, (size_t)(line_end - text));
        buf_str(out, "\r\n");
        text = stop < end ? stop + 1 : end;
    }
    for (const char *rest = text; rest < end; rest++) {
        if (*rest != '\r' && *rest != '\n') {
            return fail(error, line + 2, "line", 4, "text behind the head");
        }
    }
    if (line == 0) {
        return fail(error, 1, "method", 6, "the head is empty");
    }
    buf_str(out, "\r\n");
    return true;
}

static void
ignore_body(void *arg, const char *data, size_t len)
{
    (void)arg;
    (void)data;
    (void)len;
}

/* Reads a head as a connection of a caller does.  False if it is malformed or
 * longer than head_max; the error then says what is wrong.  In any case it is
 * freed with explain_head_free. */
bool
explain_head_read(explained_head_t *head, const char *text, size_t len,
                  size_t head_max, explain_error_t *error)
{
    CLEAN_BUF buf_t lines = {0};
    head->input = evbuffer_new();
    http_reader_init(&head->reader, false, head_max, ignore_body, NULL);
    if (!convert_lines(text, len, &lines, error)) {
        return false;
    }
    if (head->input == NULL ||
        evbuffer_add(head->input, lines.data, lines.len) != 0) {
        return fail(error, 0, "head", 4, "no memory");
    }
    reader_state_t state = http_reader_feed(&head->reader, head->input);
    if (state == READER_BODY || state == READER_COMPLETE) {
        return true;
    }
    return fail(error, 0, "head", 4,
                head->reader.reason != NULL ? head->reader.reason
                                            : "the head is not complete");
}

void
explain_head_free(explained_head_t *head)
{
    http_reader_free(&head->reader);
    if (head->input != NULL) {
        evbuffer_free(head->input);
    }
}

/* ---- building ---- */

static bool
add_header(buf_t *out, wire_header_t header, const char *prefix,
           const char *value, explain_error_t *error)
{
    const char *name = wire_header_name(header);
    if (value == NULL) {
        return true;
    }
    const char *end = value + strlen(value);
    if (has_control_character(value, end)) {
        return fail(error, 0, name, strlen(name), "a control character");
    }
    const char *fault = find_value_fault(header, value, end);
    if (fault != NULL) {
        return fail(error, 0, name, strlen(name), fault);
    }
    buf_fmt(out, "%s: %s%s\r\n", name, prefix, value);
    return true;
}

/* Builds the head of a request.  False if a value is malformed. */
bool
explain_head_build(const explain_query_t *query, buf_t *out,
                   explain_error_t *error)
{
    const char *path = query->path != NULL ? query->path : "/";
    if (query->host == NULL) {
        return fail(error, 0, "Host", 4, "is needed");
    }
    if (*path != '/' || strpbrk(path, " \t") != NULL ||
        has_control_character(path, path + strlen(path))) {
        return fail(error, 0, "path", 4,
                    "must begin with / and have no blank");
    }
    buf_fmt(out, "POST %s HTTP/1.1\r\n", path);
    return add_header(out, HEADER_HOST, "", query->host, error) &&
           add_header(out, HEADER_REQUEST_ID, "", "explained", error) &&
           add_header(out, HEADER_ACCESS_KEY, "Token ", query->key, error) &&
           add_header(out, HEADER_MODEL, "", query->model, error) &&
           add_header(out, HEADER_TOKEN_USAGE, "", query->tokens, error) &&
           add_header(out, HEADER_PROMPT_PREFIX, "", query->parts, error) &&
           add_header(out, HEADER_DEADLINE, "", query->deadline, error);
}
