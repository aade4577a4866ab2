#ifndef CELERYSPOOL_LOOP_H
#define CELERYSPOOL_LOOP_H

/* A thread that runs an event loop of its own and is woken by others.  All
 * that belongs to the loop is touched on its thread alone. */

#include "base.h"

#include <event2/event.h>

typedef struct {
    struct event_base *base;
    struct event *wake_event;
    pthread_t thread;
    int fd; /* an eventfd */
    bool stopping;
    /* Runs on the loop's thread after each wake, and a last time before the
     * thread ends. */
    void (*on_wake)(void *arg);
    void *arg;
} loop_t;

void loop_open(loop_t *loop, void (*on_wake)(void *arg), void *arg);
void loop_start(loop_t *loop);
void loop_wake(loop_t *loop);
bool loop_is_stopping(const loop_t *loop);
void loop_join(loop_t *loop);
void loop_close(loop_t *loop);

#endif
