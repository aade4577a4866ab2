#include "../kernel/local-socket.h"
#include "test.h"

#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The environment variable BASE is added to the port, so that concurrent
 * runs do not conflict. */
#define PORT 6551

static const char *
address(int offset)
{
    static char addr[4][CS_ADDR_MAX];
    const char *base = getenv("BASE");
    int port =
        PORT + offset + (base != NULL ? (int)strtol(base, NULL, 10) : 0);
    (void)snprintf(addr[offset], CS_ADDR_MAX, "127.0.0.1:%d", port);
    return addr[offset];
}

static local_socket_t
socket_on(const char *addr, local_socket_kind_t kind)
{
    return (local_socket_t){.use = "test", .addr = addr, .kind = kind};
}

static void
check_is_exclusive(local_socket_kind_t kind)
{
    err_t err = {0};
    local_socket_t first = socket_on(address(0), kind);
    local_socket_t second = first;
    ck_assert_int_eq(local_socket_open(&first, &err), 0);
    ck_assert_int_eq(local_socket_open(&second, &err), -1);
    ck_assert_int_eq(err.code, EADDRINUSE);
    ck_assert_ptr_nonnull(strstr(err.text, address(0)));
    ck_assert_ptr_nonnull(strstr(err.text, "Address already in use"));
    ck_assert_int_eq(second.fd, -1);
    ck_assert(local_socket_error_passes(err.code));
    (void)close(first.fd);
    ck_assert_int_eq(local_socket_open(&second, &err), 0);
    (void)close(second.fd);
}

START_TEST(an_address_can_be_had_once_it_is_free)
{
    check_is_exclusive(LOCAL_LISTENER);
    check_is_exclusive(LOCAL_DATAGRAMS);
}
END_TEST

START_TEST(an_address_of_another_host_may_come_later)
{
    err_t err = {0};
    local_socket_t local = socket_on("192.0.2.1:6551", LOCAL_LISTENER);
    ck_assert_int_eq(local_socket_open(&local, &err), -1);
    ck_assert_int_eq(err.code, EADDRNOTAVAIL);
    ck_assert(local_socket_error_passes(err.code));
}
END_TEST

START_TEST(errors_of_the_settings_do_not_pass)
{
    err_t err = {0};
    local_socket_t local = socket_on("nowhere", LOCAL_LISTENER);
    ck_assert_int_eq(local_sockets_wait(&local, 1, &err), -1);
    ck_assert_int_eq(err.code, EINVAL);
    ck_assert(!local_socket_error_passes(EACCES));
    ck_assert(!local_socket_error_passes(EINVAL));
    ck_assert(!local_socket_error_passes(EAFNOSUPPORT));
}
END_TEST

START_TEST(a_shortage_of_descriptors_passes)
{
    ck_assert(local_socket_error_passes(EMFILE));
    ck_assert(local_socket_error_passes(ENFILE));
    ck_assert(local_socket_error_passes(ENOBUFS));
    ck_assert(local_socket_error_passes(ENOMEM));
}
END_TEST

static void *
close_later(void *arg)
{
    time_sleep_ms(200);
    (void)close(*(int *)arg);
    return NULL;
}

START_TEST(a_held_address_is_waited_for)
{
    pthread_t thread;
    err_t err = {0};
    local_socket_t holder = socket_on(address(1), LOCAL_LISTENER);
    local_socket_t locals[] = {socket_on(address(0), LOCAL_DATAGRAMS),
                               socket_on(address(1), LOCAL_LISTENER),
                               socket_on(address(2), LOCAL_LISTENER)};
    ck_assert_int_eq(local_socket_open(&holder, &err), 0);
    (void)pthread_create(&thread, NULL, close_later, &holder.fd);
    int64_t begun_ms = time_mono_ms();
    ck_assert_int_eq(local_sockets_wait(locals, 3, &err), 0);
    int64_t took_ms = time_mono_ms() - begun_ms;
    ck_assert_int_ge(took_ms, 150);
    ck_assert_int_lt(took_ms, 1200);
    (void)pthread_join(thread, NULL);
    for (size_t i = 0; i < 3; i++) {
        (void)close(locals[i].fd);
    }
}
END_TEST

START_TEST(a_stop_ends_the_wait_and_leaves_no_socket_open)
{
    sigset_t set;
    int number;
    err_t err = {0};
    local_socket_t holder = socket_on(address(1), LOCAL_LISTENER);
    local_socket_t locals[] = {socket_on(address(0), LOCAL_LISTENER),
                               socket_on(address(1), LOCAL_LISTENER)};
    ck_assert_int_eq(local_socket_open(&holder, &err), 0);
    signals_block();
    ck_assert(!signals_stop_pending());
    (void)raise(SIGHUP);
    ck_assert(!signals_stop_pending());
    (void)raise(SIGTERM);
    ck_assert_int_eq(local_sockets_wait(locals, 2, &err), -1);
    ck_assert_int_eq(err.code, ECANCELED);
    ck_assert_ptr_nonnull(strstr(err.text, address(1)));
    (void)close(holder.fd);
    ck_assert_int_eq(local_socket_open(&locals[0], &err), 0);
    (void)close(locals[0].fd);
    (void)sigemptyset(&set);
    (void)sigaddset(&set, SIGHUP);
    (void)sigaddset(&set, SIGTERM);
    (void)sigwait(&set, &number);
    (void)sigwait(&set, &number);
    signals_unblock();
}
END_TEST

TEST_MAIN("local-socket", an_address_can_be_had_once_it_is_free,
          an_address_of_another_host_may_come_later,
          errors_of_the_settings_do_not_pass, a_shortage_of_descriptors_passes,
          a_held_address_is_waited_for,
          a_stop_ends_the_wait_and_leaves_no_socket_open)
