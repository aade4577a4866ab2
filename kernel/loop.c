#include "loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

static void
on_woken(evutil_socket_t fd, short what, void *arg)
{
    loop_t *loop = arg;
    uint64_t count;
    ssize_t got = read(fd, &count, sizeof(count));
    (void)got; /* EAGAIN: an earlier read consumed this wake */
    (void)what;
    loop->on_wake(loop->arg);
    if (loop_is_stopping(loop)) {
        (void)event_base_loopbreak(loop->base);
    }
}

/* Initializes a loop; the owner then adds its events before loop_start. */
void
loop_open(loop_t *loop, void (*on_wake)(void *arg), void *arg)
{
    struct event_config *config = event_config_new();
    (void)event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
    loop->base = event_base_new_with_config(config);
    event_config_free(config);
    loop->fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    loop->on_wake = on_wake;
    loop->arg = arg;
    loop->stopping = false;
    loop->wake_event =
        event_new(loop->base, loop->fd, EV_READ | EV_PERSIST, on_woken, loop);
    (void)event_add(loop->wake_event, NULL);
}

static void *
loop_run(void *arg)
{
    loop_t *loop = arg;
    (void)event_base_dispatch(loop->base);
    return NULL;
}

void
loop_start(loop_t *loop)
{
    (void)pthread_create(&loop->thread, NULL, loop_run, loop);
}

/* Causes on_wake to be called; callable from any thread. */
void
loop_wake(loop_t *loop)
{
    uint64_t one = 1;
    ssize_t put = write(loop->fd, &one, sizeof(one));
    (void)put; /* fails only if the counter is full, which also wakes */
}

bool
loop_is_stopping(const loop_t *loop)
{
    return __atomic_load_n(&loop->stopping, __ATOMIC_ACQUIRE);
}

/* Stops the thread and waits for it.  After this, what belongs to the loop may
 * be accessed by the calling thread until loop_close. */
void
loop_join(loop_t *loop)
{
    __atomic_store_n(&loop->stopping, true, __ATOMIC_RELEASE);
    loop_wake(loop);
    (void)pthread_join(loop->thread, NULL);
}

void
loop_close(loop_t *loop)
{
    event_free(loop->wake_event);
    event_base_free(loop->base);
    (void)close(loop->fd);
}
