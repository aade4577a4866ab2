#ifndef CELERYSPOOL_HTTP_LINES_H
#define CELERYSPOOL_HTTP_LINES_H

/* Checks the lines of a head.  http-parser also ends a line at a bare LF or at
 * CR and any byte. */

#include "base.h"

typedef enum {
    LINES_TEXT, /* within a line that may hold any text */
    LINES_LF,   /* behind the CR of a line */
    LINES_BEGIN /* before a field or the empty line */
} http_lines_state_t;

typedef struct {
    http_lines_state_t state;
} http_lines_t;

void http_lines_begin_head(http_lines_t *lines);
const char *http_lines_check(http_lines_t *lines, const char *text,
                             size_t len);

#endif
