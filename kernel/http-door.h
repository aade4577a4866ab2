#ifndef CELERYSPOOL_HTTP_DOOR_H
#define CELERYSPOOL_HTTP_DOOR_H

/* Callers' connections at one address: whole requests off them, answers onto
 * them, one request after the other.  All of it on one event loop. */

#include "http-reader.h"

#include <event2/event.h>

typedef struct http_door http_door_t;
typedef struct caller caller_t;

/* What a caller may send, and how long it may take. */
typedef struct {
    int head_bytes;
    int body_bytes;
    int head_ms; /* from the first byte of a head to its end */
    int idle_ms; /* between requests of a connection */
} edge_limits_t;

/* What the owner of a door does.  Those that may be NULL say so. */
typedef struct {
    edge_limits_t (*limits)(void *arg);
    /* A whole request was read; head and body are the connection's until it
     * is answered. */
    void (*on_request)(void *arg, caller_t *caller, const http_head_t *head,
                       buf_t *body);
    /* A request cannot be read to its end; the hook answers it.  NULL: by the
     * status alone. */
    void (*on_unreadable)(void *arg, caller_t *caller, int status,
                          const char *why);
    /* The caller left before its answer was complete; owner is what
     * caller_serves was given. */
    void (*on_left)(void *owner);
    /* All that was written so far has left.  May be NULL. */
    void (*on_drained)(void *owner);
    void *arg;
} door_hooks_t;

typedef struct {
    evutil_socket_t fd; /* that listens; the door closes it */
    size_t callers_max; /* 0 for no bound */
    door_hooks_t hooks;
} door_ask_t;

evutil_socket_t http_listen(const char *addr, err_t *err);
http_door_t *http_door_open(struct event_base *base, const door_ask_t *ask);
void http_door_leave(http_door_t *door);
void http_door_quiesce(http_door_t *door);
void http_door_shut(http_door_t *door);
void http_door_free(http_door_t *door);
size_t http_door_callers(const http_door_t *door);

void caller_serves(caller_t *caller, void *owner);
void caller_answer(caller_t *caller, int status, const buf_t *headers,
                   const char *body, size_t len);
void caller_stream_begin(caller_t *caller, int status, const buf_t *headers);
void caller_stream_data(caller_t *caller, const char *data, size_t len);
void caller_stream_end(caller_t *caller);
void caller_break(caller_t *caller);
size_t caller_unwritten(const caller_t *caller);

#endif
