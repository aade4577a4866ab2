#include "http-lines.h"

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
    }
    return NULL;
}

/* Checks the next bytes, up to the end of a head at most.  Returns what is
 * wrong with them, or NULL. */
const char *
http_lines_check(http_lines_t *lines, const char *text, size_t len)
{
    const char *reason = NULL;
    for (size_t i = 0; i < len && reason == NULL; i++) {
        reason = check_byte(lines, text[i]);
    }
    return reason;
}
