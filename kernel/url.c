#include "url.h"

#include <ctype.h>
#include <stdlib.h>

/* The length of the escaped or plain byte that a text begins with. */
size_t
url_char_len(const char *text, size_t len)
{
    bool escaped = len > 2 && text[0] == '%' &&
                   isxdigit((unsigned char)text[1]) &&
                   isxdigit((unsigned char)text[2]);
    return escaped ? 3 : 1;
}

/* A text without its escapes, to be freed. */
char *
url_unescape(const char *text, size_t len, bool plus_is_blank)
{
    char *out = mem_zalloc(len + 1);
    size_t put = 0;
    for (size_t at = 0; at < len;) {
        size_t unit = url_char_len(text + at, len - at);
        char byte = text[at];
        if (unit == 3) {
            const char digits[] = {text[at + 1], text[at + 2], '\0'};
            byte = (char)strtoul(digits, NULL, 16);
        }
        else if (byte == '+' && plus_is_blank) {
            byte = ' ';
        }
        out[put++] = byte;
        at += unit;
    }
    return out;
}
