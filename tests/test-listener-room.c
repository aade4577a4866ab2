#include "door.h"

#include <sys/resource.h>

/* Tests what a listener does when it has as many connections as it may have,
 * or as the system allows. */

/* The environment variable BASE is added to the port, so that concurrent
 * runs do not conflict. */
#define PORT 6581
#define CONNECTIONS_MAX 16
#define REQUEST "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"

static bool
is_open(int fd)
{
    char byte;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

static size_t
count_open(const door_t *door, size_t from, size_t to)
{
    size_t count = 0;
    for (size_t i = from; i < to; i++) {
        count += is_open(door->callers[i]);
    }
    return count;
}

static void
send_request(const door_t *door, size_t caller)
{
    ck_assert_int_gt(write(door->callers[caller], REQUEST, strlen(REQUEST)),
                     0);
}

/* Guards against new callers that are turned away while connections that send
 * nothing take all the room. */
START_TEST(connections_that_wait_longest_make_room)
{
    door_t door = {.connections_max = CONNECTIONS_MAX};
    unsigned ended;
    open_door(&door, PORT);
    connect_callers(&door, CONNECTIONS_MAX - 1);
    turn(&door, 120);
    connect_callers(&door, 1);
    turn(&door, 20);
    ck_assert_uint_lt(count_open(&door, 0, CONNECTIONS_MAX - 1),
                      CONNECTIONS_MAX - 1);
    ck_assert_uint_eq(count_open(&door, CONNECTIONS_MAX - 1, CONNECTIONS_MAX),
                      1);
    send_request(&door, CONNECTIONS_MAX - 1);
    turn(&door, 20);
    ck_assert_uint_eq(count_status(&door, " 200 ", &ended), 1);
    close_door(&door);
}
END_TEST

/* Guards against requests that have arrived and are cut off to make room. */
START_TEST(connections_with_a_request_make_no_room)
{
    door_t door = {.connections_max = CONNECTIONS_MAX, .holds = true};
    open_door(&door, PORT);
    connect_callers(&door, CONNECTIONS_MAX - 1);
    send_all(&door, REQUEST);
    turn(&door, 50);
    ck_assert_uint_eq(door.requests, CONNECTIONS_MAX - 1);
    connect_callers(&door, 4);
    for (size_t i = CONNECTIONS_MAX - 1; i < door.count; i++) {
        send_request(&door, i);
    }
    turn(&door, 100);
    ck_assert_uint_eq(door.requests, CONNECTIONS_MAX);
    ck_assert_uint_eq(count_open(&door, 0, door.count), door.count);
    ck_assert_uint_eq(http_listener_connections(door.listener),
                      CONNECTIONS_MAX);

    /* One that ends lets another one in. */
    caller_drop(door.held);
    turn(&door, 100);
    ck_assert_uint_eq(door.requests, CONNECTIONS_MAX + 1);
    close_door(&door);
}
END_TEST

/* Guards against an event loop that does nothing but fail to accept. */
START_TEST(no_descriptor_is_no_busy_loop)
{
    door_t door = {0};
    struct rlimit before;
    unsigned ended;
    open_door(&door, PORT);
    connect_callers(&door, 4);
    turn(&door, 20);
    ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &before), 0);
    connect_callers(&door, 1);
    struct rlimit none = {.rlim_cur = 3, .rlim_max = before.rlim_max};
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
    int64_t begun_us = time_mono_us();
    unsigned turns = 0;
    while (time_mono_us() - begun_us < 200000) {
        (void)event_base_loop(door.base, EVLOOP_ONCE);
        turns++;
    }
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &before), 0);
    ck_assert_msg(turns < 100, "%u turns in 0.2 s", turns);
    send_request(&door, 4);
    turn(&door, 100);
    ck_assert_uint_eq(count_status(&door, " 200 ", &ended), 1);
    close_door(&door);
}
END_TEST

TEST_MAIN("listener-room", connections_that_wait_longest_make_room,
          connections_with_a_request_make_no_room,
          no_descriptor_is_no_busy_loop)
