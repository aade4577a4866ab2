#ifndef CELERYSPOOL_FETCH_H
#define CELERYSPOOL_FETCH_H

/* A small HTTP request whose answer is delivered complete: to the store, to a
 * server's own interface or to another daemon. */

#include "exchange.h"

typedef struct fetch fetch_t;

typedef struct {
    bool complete;       /* the whole answer was read */
    bool sent;           /* may have been executed, answered or not */
    int64_t sent_us;     /* when the request was sent, if an answer began */
    int64_t answered_ms; /* when the answer began */
    int status;
    const char *text; /* NUL-terminated */
    size_t len;
} fetch_result_t;

typedef struct {
    const char *addr;
    const buf_t *request; /* head and body as sent */
    bool new_connection;  /* not an idle one, which may be dead */
    const char *next_id;  /* see exchange_request_t */
    /* May be sent twice: if an idle connection turns out to be closed, the
     * request is sent again over a new one. */
    bool repeatable;
    /* Only answers to other requests of the connection's peer have this
     * header; they are skipped.  NULL if there are none. */
    const char *other_header;
    int connect_ms;
    int total_ms;
    int stall_ms; /* see exchange_request_t */
    /* Called once at the end; the fetch is freed when it returns. */
    void (*on_done)(void *arg, const fetch_result_t *result);
    void *arg;
} fetch_options_t;

fetch_t *fetch_start(exchanges_t *exchanges, const fetch_options_t *options);
bool fetch_is_answered(const fetch_t *fetch);
void fetch_cancel(fetch_t *fetch);

#endif
