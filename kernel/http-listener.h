#ifndef CELERYSPOOL_HTTP_LISTENER_H
#define CELERYSPOOL_HTTP_LISTENER_H

/* Callers' connections at one address: whole requests off them, answers onto
 * them, one request after the other.  All of it on one event loop. */

#include "http-reader.h"

#include <event2/event.h>

typedef struct http_listener http_listener_t;
typedef struct caller caller_t;

/* What a caller may send, and how long it may take. */
typedef struct {
    int head_bytes;
    int body_bytes;
    int head_ms; /* from the first byte of a head to its end */
    int idle_ms; /* between requests of a connection */
} http_limits_t;

/* What the owner of a door does.  Those that may be NULL say so. */
typedef struct {
    http_limits_t (*limits)(void *arg);
    /* A whole request was read; head and body are the connection's until it
     * is answered. */
    void (*on_request)(void *arg, caller_t *caller, const http_head_t *head,
                       buf_t *body);
    /* A request cannot be read to its end; the hook answers it.  NULL: by the
     * status alone. */
    void (*on_bad_request)(void *arg, caller_t *caller, int status,
                           const char *why);
    /* The caller left before its answer was complete; owner is what
     * caller_set_owner was given. */
    void (*on_disconnect)(void *owner);
    /* All that was written so far has left.  May be NULL. */
    void (*on_flushed)(void *owner);
    void *arg;
} http_listener_hooks_t;

typedef struct {
    evutil_socket_t fd;     /* that listens; the door closes it */
    size_t connections_max; /* 0 for no bound */
    http_listener_hooks_t hooks;
} http_listener_opts_t;

evutil_socket_t http_listen(const char *addr, err_t *err);
http_listener_t *http_listener_open(struct event_base *base,
                                    const http_listener_opts_t *ask);
void http_listener_drain(http_listener_t *door);
void http_listener_stop_accepting(http_listener_t *door);
void http_listener_close_idle(http_listener_t *door);
void http_listener_free(http_listener_t *door);
size_t http_listener_connections(const http_listener_t *door);

void caller_set_owner(caller_t *caller, void *owner);
void caller_answer(caller_t *caller, int status, const buf_t *headers,
                   const char *body, size_t len);
void caller_stream_begin(caller_t *caller, int status, const buf_t *headers);
void caller_stream_data(caller_t *caller, const char *data, size_t len);
void caller_stream_end(caller_t *caller);
void caller_abort(caller_t *caller);
size_t caller_unsent_bytes(const caller_t *caller);

#endif
