#ifndef CELERYSPOOL_FETCH_H
#define CELERYSPOOL_FETCH_H

/* A small call whose whole answer is wanted at once: to the store, to a
 * server's own interface, to another daemon. */

#include "exchange.h"

typedef struct fetch fetch_t;

typedef struct {
    bool complete; /* status and text are there */
    bool sent;     /* it may have been acted on, answered or not */
    int status;
    const char *text; /* ended by a NUL */
    size_t len;
} fetch_result_t;

typedef struct {
    const char *addr;
    const buf_t *request; /* head and body as they are sent */
    int connect_ms;
    int total_ms;
    /* The last call; the fetch is gone behind it. */
    void (*on_done)(void *arg, const fetch_result_t *result);
    void *arg;
} fetch_options_t;

fetch_t *fetch_start(exchanges_t *exchanges, const fetch_options_t *ask);
void fetch_cancel(fetch_t *fetch);

#endif
