#include "door.h"

/* Tests what the timers of callers' connections and a stop do to requests that
 * have arrived. */

/* The environment variable BASE is added to the port, so that concurrent
 * runs do not conflict. */
#define PORT 6397
/* One request at a time; the loop turns between them. */
#define REQUEST "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"

/* Callers with a kept connection, each of which has got one answer. */
static void
keep_callers(door_t *door, size_t count)
{
    unsigned ended;
    while (door->count < count) {
        connect_callers(door, 1);
        int fd = door->callers[door->count - 1];
        ck_assert_int_gt(write(fd, REQUEST, strlen(REQUEST)), 0);
        turn(door, 3);
    }
    ck_assert_uint_eq(count_status(door, " 200 ", &ended), count);
}

/* Guards against kept connections that the idle timer closes although their
 * next requests have arrived, since the loop was late. */
START_TEST(late_loop_reads_requests_before_idle_timers)
{
    door_t door = {0};
    unsigned ended;
    open_door(&door, PORT);
    keep_callers(&door, MANY);
    send_all(&door, REQUEST);
    time_sleep_ms(IDLE_MS + 50);
    turn(&door, 50);
    unsigned answered = count_status(&door, " 200 ", &ended);
    ck_assert_msg(answered == MANY, "%u of %d answered, %u ended without one",
                  answered, MANY, ended);
    close_door(&door);
}
END_TEST

/* Guards against new connections that are closed like that. */
START_TEST(late_loop_reads_first_requests_before_idle_timers)
{
    door_t door = {0};
    unsigned ended;
    open_door(&door, PORT);
    for (size_t i = 0; i < MANY; i++) {
        connect_callers(&door, 1);
        turn(&door, 2);
    }
    send_all(&door, REQUEST);
    time_sleep_ms(IDLE_MS + 50);
    turn(&door, 50);
    unsigned answered = count_status(&door, " 200 ", &ended);
    ck_assert_msg(answered == MANY, "%u of %d answered, %u ended without one",
                  answered, MANY, ended);
    close_door(&door);
}
END_TEST

/* Guards against a 408 for requests that have arrived whole, after a part of
 * them was read. */
START_TEST(late_loop_reads_the_rest_before_head_timers)
{
    static const char begin[] = "GET /a HTTP/1.1\r\n";
    door_t door = {0};
    unsigned ended;
    open_door(&door, PORT);
    for (size_t i = 0; i < MANY; i++) {
        connect_callers(&door, 1);
        ck_assert_int_eq(write(door.callers[i], begin, strlen(begin)),
                         (ssize_t)strlen(begin));
        turn(&door, 2);
    }
    send_all(&door, "Host: a\r\n\r\n");
    time_sleep_ms(HEAD_MS + 50);
    turn(&door, 50);
    unsigned answered = count_status(&door, " 200 ", &ended);
    ck_assert_msg(answered == MANY, "%u of %d answered, %u ended without one",
                  answered, MANY, ended);
    close_door(&door);
}
END_TEST

/* Guards against a stop that closes kept connections whose next requests have
 * arrived but are not read yet. */
START_TEST(stop_answers_requests_that_have_arrived)
{
    door_t door = {0};
    unsigned ended;
    open_door(&door, PORT);
    keep_callers(&door, 4);
    send_all(&door, REQUEST);
    http_listener_close_idle(door.listener);
    turn(&door, 50);
    unsigned answered = count_status(&door, " 200 ", &ended);
    ck_assert_msg(answered == 4, "%u of 4 answered, %u ended without one",
                  answered, ended);
    close_door(&door);
}
END_TEST

/* Guards against a longer idle time-out that does not hold for connections
 * that are open already. */
START_TEST(longer_idle_timeout_holds_for_open_connections)
{
    door_t door = {0};
    unsigned ended;
    open_door(&door, PORT);
    keep_callers(&door, 4);
    door.limits.idle_ms = 20 * IDLE_MS;
    turn(&door, IDLE_MS + 100);
    (void)count_status(&door, " 200 ", &ended);
    ck_assert_msg(ended == 0, "%u of 4 connections were closed", ended);
    close_door(&door);
}
END_TEST

/* Guards against a body whose next piece comes within the new, longer time-out
 * but not within the one before it. */
START_TEST(longer_idle_timeout_holds_for_begun_bodies)
{
    door_t door = {0};
    unsigned ended;
    open_door(&door, PORT);
    connect_callers(&door, 4);
    send_all(&door,
             "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
    turn(&door, 20);
    door.limits.idle_ms = 20 * IDLE_MS;
    turn(&door, IDLE_MS + 100);
    unsigned timed_out = count_status(&door, " 408 ", &ended);
    ck_assert_msg(timed_out == 0, "%u of 4 got a 408", timed_out);
    send_all(&door, "cd");
    turn(&door, 50);
    ck_assert_uint_eq(count_status(&door, " 200 ", &ended), 4);
    close_door(&door);
}
END_TEST

/* Guards against an unasked 408 on a kept connection after an empty line,
 * which some clients send behind a body. */
START_TEST(empty_line_is_no_request)
{
    door_t door = {0};
    unsigned ended;
    open_door(&door, PORT);
    keep_callers(&door, 4);
    send_all(&door, "\r\n");
    turn(&door, HEAD_MS + 20);
    unsigned timed_out = count_status(&door, " 408 ", &ended);
    ck_assert_msg(timed_out == 0, "%u of 4 got a 408", timed_out);
    close_door(&door);
}
END_TEST

TEST_MAIN("caller-timers", late_loop_reads_requests_before_idle_timers,
          late_loop_reads_first_requests_before_idle_timers,
          late_loop_reads_the_rest_before_head_timers,
          stop_answers_requests_that_have_arrived,
          longer_idle_timeout_holds_for_open_connections,
          longer_idle_timeout_holds_for_begun_bodies, empty_line_is_no_request)
