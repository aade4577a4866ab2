#ifndef CELERYSPOOL_EXCHANGE_H
#define CELERYSPOOL_EXCHANGE_H

/* The one HTTP client: exchanges with backend servers and with the platform's
 * store over kept connections.  It never sends anything twice by itself, and
 * it always tells whether a byte of a request can have left. */

#include "http-reader.h"

#include <ck_queue.h>
#include <event2/event.h>

typedef struct exchanges exchanges_t;
typedef struct exchange exchange_t;

typedef enum {
    EXCHANGE_COMPLETE,  /* the whole answer was read */
    EXCHANGE_UNSENT,    /* no connection came about; nothing has left */
    EXCHANGE_NO_ANSWER, /* it broke before an answer began */
    EXCHANGE_BROKEN,    /* it broke within the answer */
    EXCHANGE_MALFORMED, /* what came is no answer in the protocol */
    EXCHANGE_TIMEOUT    /* the time of the exchange was up */
} exchange_end_t;

typedef enum {
    HEAD_ACCEPT, /* the body goes to the owner */
    HEAD_SKIP    /* an answer to something else: drop it, await the next */
} head_verdict_t;

typedef struct {
    /* The head of an answer; the owner says whether it is the one that it
     * waits for.  May be NULL: each answer is taken. */
    head_verdict_t (*on_head)(void *arg, const http_head_t *head);
    void (*on_body)(void *arg, const char *data, size_t len);
    /* The last call; the exchange is gone behind it. */
    void (*on_end)(void *arg, exchange_end_t end);
    void *arg;
} exchange_hooks_t;

typedef struct {
    const char *addr; /* IPV4:PORT */
    const void *head; /* request line and headers, ended by an empty line */
    size_t head_len;
    const void *body;
    size_t body_len;
    bool no_response_body; /* the answer has no body: HEAD */
    bool new_connection; /* over a new connection, which can't have died unseen
                          */
    int connect_ms;      /* a connection that takes longer is given up */
    int total_ms;        /* 0: the owner has a timer of its own */
} exchange_request_t;

exchanges_t *exchanges_new(struct event_base *base);
void exchanges_free(exchanges_t *exchanges);
void exchanges_sweep(exchanges_t *exchanges);
void exchanges_close_idle(exchanges_t *exchanges, const char *addr);
uint64_t exchanges_connections_opened(const exchanges_t *exchanges);
exchange_t *exchange_start(exchanges_t *exchanges,
                           const exchange_request_t *ask,
                           const exchange_hooks_t *hooks);
void exchange_cancel(exchange_t *exchange);
bool exchange_has_sent(const exchange_t *exchange);

#endif
