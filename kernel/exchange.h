#ifndef CELERYSPOOL_EXCHANGE_H
#define CELERYSPOOL_EXCHANGE_H

/* HTTP client on an event loop, with a pool of idle keep-alive connections per
 * address.  It never retries a request by itself, and it always reports
 * whether any byte of a request may have been sent.
 *
 * No two requests of one id are sent over the same connection: an answer to
 * the first, or a copy of it, may arrive where the second one's is expected.
 */

#include "http-reader.h"

#include <ck_queue.h>
#include <event2/event.h>

typedef struct exchanges exchanges_t;
typedef struct exchange exchange_t;

typedef enum {
    EXCHANGE_COMPLETE,  /* the complete response was read */
    EXCHANGE_UNSENT,    /* no connection was made; nothing was sent */
    EXCHANGE_NO_ANSWER, /* the connection failed before a response began */
    EXCHANGE_BROKEN,    /* the connection failed within the response */
    EXCHANGE_MALFORMED, /* the response is not valid HTTP, or has more bytes
                           than its length states, or too many besides its
                           body, or follows one to another request that does
                           not end */
    EXCHANGE_STOPPED,   /* the owner wanted no more of the response */
    EXCHANGE_TIMEOUT    /* total_ms passed, the request had been sent */
} exchange_end_t;

typedef enum {
    HEAD_ACCEPT, /* pass the body to on_body */
    HEAD_SKIP,   /* a response to another request: discard it */
    HEAD_DISCARD /* the response has no use: end with it, or without it if it
                    is long or slow */
} head_action_t;

typedef struct {
    /* The head of a response was read; returns whether it belongs to this
     * request.  If NULL, every response is accepted. */
    head_action_t (*on_head)(void *arg, const http_head_t *head);
    void (*on_body)(void *arg, const char *data, size_t len);
    /* The last callback; the exchange has been freed. */
    void (*on_end)(void *arg, exchange_end_t end);
    void *arg;
} exchange_hooks_t;

/* The connection of an exchange, as it was when the exchange began. */
typedef struct {
    uint64_t serial;  /* of the connection in its pools; 0 if none was made */
    unsigned earlier; /* exchanges that it had carried before */
    int64_t idle_ms;  /* since the last of them */
} exchange_connection_t;

typedef struct {
    const char *addr; /* IPV4:PORT */
    const void *head; /* request line and headers, with the final empty line */
    size_t head_len;
    const void *body;
    size_t body_len;
    const char *id;      /* that answers to the request bear; NULL for none */
    const char *next_id; /* of the request that is to use the connection
                            after this one; NULL for any */
    bool body_kept; /* the body stays valid until the exchange ends, and is
                       not copied */
    bool no_response_body; /* the request is a HEAD */
    bool new_connection;   /* not an idle one, which may be dead */
    int silence_ms; /* a peer may acknowledge nothing for so long, if that is
                       longer than the default */
    int connect_ms; /* time limit for a new connection */
    int total_ms;   /* for the whole exchange; 0: the owner has a timer */
    int stall_ms;   /* if not 0, total_ms ends when the response begins, which
                       then may arrive as long as it does not stall */
} exchange_request_t;

exchanges_t *exchanges_new(struct event_base *base);
void exchanges_free(exchanges_t *exchanges);
void exchanges_set_source(exchanges_t *exchanges, const char *ip);
void exchanges_set_on_idle(exchanges_t *exchanges, void (*on_idle)(void *arg),
                           void *arg);
void exchanges_set_buffers(exchanges_t *exchanges, int receive_bytes,
                           int unsent_bytes);
void exchanges_sweep(exchanges_t *exchanges);
bool exchanges_has_idle(exchanges_t *exchanges, const char *addr,
                        const char *id);
void exchanges_close_idle(exchanges_t *exchanges, const char *addr);
uint64_t exchanges_connections_opened(const exchanges_t *exchanges);
exchange_t *exchange_start(exchanges_t *exchanges,
                           const exchange_request_t *request,
                           const exchange_hooks_t *hooks);
void exchange_cancel(exchange_t *exchange);
void exchange_pause(exchange_t *exchange);
void exchange_resume(exchange_t *exchange);
void exchange_stop(exchange_t *exchange);
bool exchange_has_sent(const exchange_t *exchange);
bool exchange_is_reused(const exchange_t *exchange);
const exchange_connection_t *exchange_connection(const exchange_t *exchange);
int64_t exchange_opened_us(const exchange_t *exchange);
int64_t exchange_sent_us(const exchange_t *exchange);

#endif
