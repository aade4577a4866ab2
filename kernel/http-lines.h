#ifndef CELERYSPOOL_HTTP_LINES_H
#define CELERYSPOOL_HTTP_LINES_H

/* Checks the lines of a message that frame its body: those of its head, the
 * sizes of its chunks, the line ends behind them and its trailer.  http-parser
 * also ends a line at a bare LF or at CR and any byte, and reads neither the
 * two bytes behind a chunk nor all that follows its size. */

#include "base.h"

typedef enum {
    LINES_TEXT,     /* within a line that may hold any text */
    LINES_LF,       /* behind the CR of a line */
    LINES_BEGIN,    /* before a field or the empty line */
    LINES_SIZE,     /* within the digits of a chunk's size */
    LINES_SIZE_END, /* behind them */
    LINES_DATA_CR,  /* behind the data of a chunk */
    LINES_DATA_LF
} http_lines_state_t;

typedef struct {
    http_lines_state_t state;
} http_lines_t;

void http_lines_begin_head(http_lines_t *lines);
void http_lines_begin_chunks(http_lines_t *lines);
void http_lines_skip_data(http_lines_t *lines);
const char *http_lines_check(http_lines_t *lines, const char *text,
                             size_t len);

#endif
