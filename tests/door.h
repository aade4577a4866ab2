#ifndef CELERYSPOOL_TESTS_DOOR_H
#define CELERYSPOOL_TESTS_DOOR_H

/* A listener and callers in one process, for tests that run its event loop
 * themselves and so decide what happens between two turns. */

#include "../kernel/http-listener.h"
#include "../kernel/local-socket.h"
#include "test.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* More connections than one turn of the loop reports at first. */
#define MANY 80
#define IDLE_MS 800
#define HEAD_MS 400

typedef struct {
    struct event_base *base;
    http_listener_t *listener;
    http_limits_t limits;
    struct sockaddr_in addr;
    int callers[MANY];
    size_t count;
    unsigned requests;
    size_t connections_max;
    bool holds;     /* requests are not answered */
    caller_t *held; /* the caller of the last one */
} door_t;

static inline http_limits_t
get_limits(void *arg)
{
    const door_t *door = arg;
    return door->limits;
}

static inline void
on_request(void *arg, caller_t *caller, const http_head_t *head, buf_t *body)
{
    door_t *door = arg;
    (void)head;
    (void)body;
    door->requests++;
    if (door->holds) {
        door->held = caller;
        return;
    }
    caller_answer(caller, 200, NULL, "ok", 2);
}

static inline void
on_disconnect(void *owner)
{
    (void)owner;
}

static inline void
turn(const door_t *door, int64_t ms)
{
    int64_t end = time_mono_ms() + ms;
    do {
        (void)event_base_loop(door->base, EVLOOP_NONBLOCK);
        time_sleep_ms(1);
    } while (time_mono_ms() < end);
}

static inline void
open_door(door_t *door, int first_port)
{
    err_t err = {0};
    const char *base = getenv("BASE");
    static int opened;
    int port = first_port + opened++ +
               (base != NULL ? (int)strtol(base, NULL, 10) : 0);
    char addr[32];
    (void)snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
    door->addr = (struct sockaddr_in){.sin_family = AF_INET,
                                      .sin_port = htons((uint16_t)port)};
    door->addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)signal(SIGPIPE, SIG_IGN);
    door->base = event_base_new();
    door->limits = (http_limits_t){4096, 65536, HEAD_MS, IDLE_MS};
    local_socket_t local = {
        .use = "callers", .addr = addr, .kind = LOCAL_LISTENER};
    ck_assert_msg(local_socket_open(&local, &err) == 0, "%s", err.text);
    const http_listener_opts_t opts = {
        .fd = local.fd,
        .connections_max = door->connections_max,
        .hooks = {.limits = get_limits,
                  .on_request = on_request,
                  .on_disconnect = on_disconnect,
                  .arg = door}};
    door->listener = http_listener_open(door->base, &opts);
}

static inline void
close_door(door_t *door)
{
    for (size_t i = 0; i < door->count; i++) {
        (void)close(door->callers[i]);
    }
    http_listener_free(door->listener);
    event_base_free(door->base);
}

static inline void
connect_callers(door_t *door, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        ck_assert_int_eq(connect(fd, (const struct sockaddr *)&door->addr,
                                 sizeof(door->addr)),
                         0);
        door->callers[door->count++] = fd;
    }
}

static inline void
send_all(const door_t *door, const char *text)
{
    for (size_t i = 0; i < door->count; i++) {
        ck_assert_int_eq(write(door->callers[i], text, strlen(text)),
                         (ssize_t)strlen(text));
    }
}

/* Counts the callers that have got a status since the last call, and those
 * whose connections have ended without one. */
static inline unsigned
count_status(const door_t *door, const char *status, unsigned *ended)
{
    unsigned count = 0;
    *ended = 0;
    for (size_t i = 0; i < door->count; i++) {
        char text[512] = "";
        ssize_t len =
            recv(door->callers[i], text, sizeof(text) - 1, MSG_DONTWAIT);
        bool open = len > 0 || (len < 0 && errno == EAGAIN);
        count += len > 0 && strstr(text, status) != NULL;
        *ended += !open;
    }
    return count;
}

#endif
