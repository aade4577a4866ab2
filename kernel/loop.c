#include "loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

static void
on_woken(evutil_socket_t fd, short what, void *arg)
{
    loop_t *loop = arg;
    uint64_t count;
    ssize_t got = read(fd, &count, sizeof(count));
    (void)got; /* nothing to read: another wake took it */
    (void)what;
    loop->on_wake(loop->arg);
    if (loop_is_stopping(loop)) {
        (void)event_base_loopbreak(loop->base);
    }
}

/* Set a loop up; its owner adds its own events before it starts. */
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

/* Have on_wake called; from any thread. */
void
loop_wake(loop_t *loop)
{
    uint64_t one = 1;
    ssize_t put = write(loop->fd, &one, sizeof(one));
    (void)put; /* a full counter wakes as well */
}

bool
loop_is_stopping(const loop_t *loop)
{
    return __atomic_load_n(&loop->stopping, __ATOMIC_ACQUIRE);
}

/* End the thread.  What belongs to the loop may be touched from here on, until
 * it is closed. */
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
