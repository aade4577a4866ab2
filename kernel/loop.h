#ifndef CELERYSPOOL_LOOP_H
#define CELERYSPOOL_LOOP_H

/* A thread that runs an event loop and can be woken by other threads.  What
 * belongs to the loop is accessed only on its thread. */

#include "base.h"

#include <event2/event.h>

typedef struct {
    struct event_base *base;
    struct event *wake_event;
    pthread_t thread;
    int fd; /* an eventfd */
    bool stopping;
    /* Called on the loop's thread after each wake, and once more before the
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
