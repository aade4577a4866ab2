#include "http-lines.h"

#include <ctype.h>

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

static bool
is_control(char c)
{
    unsigned char byte = (unsigned char)c;
    return (byte < ' ' && c != '\t') || byte == 0x7f;
}

/* Begins with the first line of a head. */
void
http_lines_begin_head(http_lines_t *lines)
{
    lines->state = LINES_TEXT;
}

/* Begins with the size of the first chunk of a body. */
void
http_lines_begin_chunks(http_lines_t *lines)
{
    lines->state = LINES_SIZE;
}

/* The data of a chunk, or a piece of it, lies between the text checked so far
 * and what follows. */
void
http_lines_skip_data(http_lines_t *lines)
{
    lines->state = LINES_DATA_CR;
}

static const char *
check_text(http_lines_t *lines, char c)
{
    if (c == '\r') {
        lines->state = LINES_LF;
        return NULL;
    }
    lines->state = LINES_TEXT;
    if (c == '\n') {
        return "a line that ends without CR";
    }
    return is_control(c) ? "a control byte" : NULL;
}

/* Only an extension follows a size: "0 5" may be taken for either number. */
static const char *
check_size(http_lines_t *lines, char c)
{
    if (lines->state == LINES_SIZE && isxdigit((unsigned char)c) != 0) {
        return NULL;
    }
    if (is_blank(c)) {
        lines->state = LINES_SIZE_END;
        return NULL;
    }
    return c == ';' || c == '\r' ? check_text(lines, c)
                                 : "an invalid size of a chunk";
}

static const char *
check_byte(http_lines_t *lines, char c)
{
    switch (lines->state) {
        case LINES_TEXT:
            return check_text(lines, c);
        case LINES_LF:
            lines->state = LINES_BEGIN;
            return c == '\n' ? NULL : "a CR within a line";
        case LINES_BEGIN:
            return is_blank(c) ? "a folded header" : check_text(lines, c);
        case LINES_SIZE:
        case LINES_SIZE_END:
            return check_size(lines, c);
        case LINES_DATA_CR:
            lines->state = LINES_DATA_LF;
            return c == '\r' ? NULL : "a chunk longer than its size";
        case LINES_DATA_LF:
            lines->state = LINES_SIZE;
            return c == '\n' ? NULL : "a chunk longer than its size";
    }
    return NULL;
}

/* Checks the next bytes, up to the end of a head, a trailer or a chunk's size
 * at most.  Returns what is wrong with them, or NULL. */
const char *
http_lines_check(http_lines_t *lines, const char *text, size_t len)
{
    const char *reason = NULL;
    for (size_t i = 0; i < len && reason == NULL; i++) {
        reason = check_byte(lines, text[i]);
    }
    return reason;
}
