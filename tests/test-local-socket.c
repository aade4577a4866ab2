#include "../kernel/exchange.h"
#include "../kernel/local-socket.h"
#include "test.h"

#include <errno.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The environment variable BASE is added to the port, so that concurrent
 * runs do not conflict. */
#define PORT 6551
/* No other program's connections come from this address, which hold it too. */
#define SOURCE "127.65.51.1"

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

START_TEST(an_address_is_available_once_it_is_released)
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

/* The local address of the connection that has been accepted last. */
static void
accept_address(int listener, int *fd, char out[CS_ADDR_MAX])
{
    struct sockaddr_in from = {0};
    socklen_t len = sizeof(from);
    do {
        *fd = accept(listener, (struct sockaddr *)&from, &len);
    } while (*fd < 0 && errno == EAGAIN);
    ck_assert_int_ge(*fd, 0);
    (void)snprintf(out, CS_ADDR_MAX, SOURCE ":%d", ntohs(from.sin_port));
}

static void
check_is_available(const char *addr, const char *when)
{
    err_t err = {0};
    local_socket_t local = socket_on(addr, LOCAL_LISTENER);
    ck_assert_msg(local_socket_open(&local, &err) == 0, "%s: %s", when,
                  err.text);
    (void)close(local.fd);
}

START_TEST(outgoing_connections_do_not_hold_addresses_of_listeners)
{
    static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    int fd;
    char addr[CS_ADDR_MAX];
    err_t err = {0};
    const exchange_hooks_t hooks = {0};
    local_socket_t server = socket_on(address(3), LOCAL_LISTENER);
    const exchange_request_t request = {.addr = server.addr,
                                        .head = head,
                                        .head_len = sizeof(head) - 1,
                                        .connect_ms = 1000,
                                        .total_ms = 2000};
    ck_assert_int_eq(local_socket_open(&server, &err), 0);
    struct event_base *base = event_base_new();
    exchanges_t *exchanges = exchanges_new(base);
    exchanges_set_source(exchanges, SOURCE);
    exchange_t *exchange = exchange_start(exchanges, &request, &hooks);
    accept_address(server.fd, &fd, addr);
    check_is_available(addr, "during the connection");
    exchange_cancel(exchange);
    exchanges_free(exchanges);
    check_is_available(addr, "after its end");
    (void)close(fd);
    (void)close(server.fd);
    event_base_free(base);
}
END_TEST

TEST_MAIN("local-socket", an_address_is_available_once_it_is_released,
          an_address_of_another_host_may_come_later,
          errors_of_the_settings_do_not_pass, a_shortage_of_descriptors_passes,
          a_held_address_is_waited_for,
          a_stop_ends_the_wait_and_leaves_no_socket_open,
          outgoing_connections_do_not_hold_addresses_of_listeners)
