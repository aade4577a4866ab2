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
    const size_t last = CONNECTIONS_MAX - 1;
    door_t door = {.connections_max = CONNECTIONS_MAX};
    unsigned ended;
    open_door(&door, PORT);
    connect_callers(&door, last);
    turn(&door, 120);
    connect_callers(&door, 1);
    turn(&door, 20);
    ck_assert_uint_lt(count_open(&door, 0, last), last);
    ck_assert_uint_eq(count_open(&door, last, door.count), 1);
    send_request(&door, last);
    turn(&door, 20);
    ck_assert_uint_eq(count_status(&door, " 200 ", &ended), 1);
    close_door(&door);
}
END_TEST

/* Guards against requests that are cut off to make room, and against callers
 * that get no response while requests run on all connections. */
START_TEST(requests_beyond_the_maximum_are_rejected_at_once)
{
    const size_t most = CONNECTIONS_MAX - CONNECTIONS_MAX / 8;
    door_t door = {.connections_max = CONNECTIONS_MAX, .holds = true};
    unsigned ended;
    open_door(&door, PORT);
    connect_callers(&door, most + 8);
    send_all(&door, REQUEST);
    turn(&door, 500);
    ck_assert_uint_eq(door.requests, most);
    ck_assert_uint_eq(count_open(&door, 0, most), most);
    ck_assert_uint_eq(count_status(&door, " 503 ", &ended), 8);

    /* Once one has ended the next one is served. */
    caller_drop(door.held);
    turn(&door, 100);
    connect_callers(&door, 1);
    send_request(&door, door.count - 1);
    turn(&door, 100);
    ck_assert_uint_eq(door.requests, most + 1);
    close_door(&door);
}
END_TEST

/* Guards against an event loop that retries a failed accept() without end. */
START_TEST(accept_without_descriptors_does_not_spin)
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
          requests_beyond_the_maximum_are_rejected_at_once,
          accept_without_descriptors_does_not_spin)
