#include "url.h"

#include <ctype.h>
#include <stdlib.h>

/* The length of the first character: 3 for a percent-encoded byte, else 1. */
size_t
url_char_len(const char *text, size_t len)
{
    bool escaped = len > 2 && text[0] == '%' &&
                   isxdigit((unsigned char)text[1]) &&
                   isxdigit((unsigned char)text[2]);
    return escaped ? 3 : 1;
}

/* Percent-decodes a text; the result must be freed. */
char *
url_unescape(const char *text, size_t len, bool plus_is_space)
{
    char *out = mem_zalloc(len + 1);
    size_t out_len = 0;
    for (size_t at = 0; at < len;) {
        size_t char_len = url_char_len(text + at, len - at);
        char byte = text[at];
        if (char_len == 3) {
            const char digits[] = {text[at + 1], text[at + 2], '\0'};
            byte = (char)strtoul(digits, NULL, 16);
        }
        else if (byte == '+' && plus_is_space) {
            byte = ' ';
        }
        out[out_len++] = byte;
        at += char_len;
    }
    return out;
}
