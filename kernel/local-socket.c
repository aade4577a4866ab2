#include "local-socket.h"

#include <errno.h>
#include <event2/util.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections waiting to be accepted.  If many callers reconnect at once and
 * the queue overflows, their SYNs are dropped and retransmitted only after a
 * second. */
#define LISTEN_BACKLOG 4096
/* Descriptors that a start takes besides the sockets: event loops, their
 * signals and timers, first connections. */
#define START_DESCRIPTORS 32
/* Interval at which an unavailable address is tried again. */
#define RETRY_INTERVAL_MS 50

/* Whether an error of socket(), bind() or listen() may pass without a change
 * of the settings. */
bool
local_socket_error_passes(int error)
{
    switch (error) {
        case EADDRINUSE:
        case EADDRNOTAVAIL:
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
            return true;
        default:
            return false;
    }
}

/* Returns a bound socket, or -1 with errno set. */
static int
open_bound(const struct sockaddr_in *at, local_socket_kind_t kind)
{
    int on = 1;
    int type = kind == LOCAL_LISTENER ? SOCK_STREAM : SOCK_DGRAM;
    int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    /* Connections that a former process has closed do not hold the address.
     * Not for UDP, where two daemons could then bind the same address
     * unnoticed. */
    if (kind == LOCAL_LISTENER) {
        (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (bind(fd, (const struct sockaddr *)at, sizeof(*at)) != 0 ||
        (kind == LOCAL_LISTENER && listen(fd, LISTEN_BACKLOG) != 0)) {
        int error = errno;
        (void)close(fd);
        errno = error;
        return -1;
    }
    return fd;
}

static void
log_unavailable(local_socket_t *local, int error)
{
    if (local->unavailable_since_ms == 0) {
        local->unavailable_since_ms = time_mono_ms();
    }
    if (error != local->last_errno) {
        log_record(LOG_WARN, "daemon", "address-unavailable",
                   "for=%s addr=%s why=\"%s\"", local->use, local->addr,
                   strerror(error));
    }
    local->last_errno = error;
}

static void
log_available(local_socket_t *local)
{
    if (local->unavailable_since_ms != 0) {
        log_record(LOG_INFO, "daemon", "address-available",
                   "for=%s addr=%s after_ms=%lld", local->use, local->addr,
                   (long long)(time_mono_ms() - local->unavailable_since_ms));
    }
    local->unavailable_since_ms = 0;
    local->last_errno = 0;
}

/* Tries once to open a socket on a local address.  Returns -1 on failure, with
 * the system's error as the code; one that may pass is logged when it changes.
 */
int
local_socket_open(local_socket_t *local, err_t *err)
{
    struct sockaddr_in at;
    int len = (int)sizeof(at);
    local->fd = -1;
    if (evutil_parse_sockaddr_port(local->addr, (struct sockaddr *)&at,
                                   &len) != 0 ||
        at.sin_family != AF_INET) {
        return err_set(err, ERR_HTTP, EINVAL, "%s is not an IPV4:PORT address",
                       local->addr);
    }
    local->fd = open_bound(&at, local->kind);
    if (local->fd >= 0) {
        log_available(local);
        return 0;
    }
    int error = errno;
    if (local_socket_error_passes(error)) {
        log_unavailable(local, error);
    }
    return err_set(err, ERR_HTTP, error, "cannot listen on %s: %s",
                   local->addr, strerror(error));
}

/* Whether the process may open as many descriptors as a start takes.  The
 * event library ends the process if it cannot open its own. */
static int
check_descriptors(err_t *err)
{
    int fds[START_DESCRIPTORS];
    size_t count = 0;
    int error = 0;
    while (count < START_DESCRIPTORS && error == 0) {
        fds[count] = fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);
        error = fds[count] < 0 ? errno : 0;
        count += error == 0 ? 1 : 0;
    }
    while (count-- > 0) {
        (void)close(fds[count]);
    }
    return error == 0 || error == EBADF
               ? 0
               : err_set(err, ERR_HTTP, error,
                         "cannot open %d descriptors: %s", START_DESCRIPTORS,
                         strerror(error));
}

/* Waits before the next try.  Returns -1 for an error that does not pass, and
 * once the process is to stop. */
static int
wait_for_retry(const err_t *why, err_t *err)
{
    if (!local_socket_error_passes(why->code)) {
        *err = *why;
        return -1;
    }
    if (signals_stop_pending()) {
        return err_set(err, ERR_HTTP, ECANCELED,
                       "Stopped while waiting: %.250s", why->text);
    }
    log_flush();
    time_sleep_ms(RETRY_INTERVAL_MS);
    return 0;
}

static int
wait_for_descriptors(err_t *err)
{
    err_t why = {0};
    bool logged = false;
    while (check_descriptors(&why) != 0) {
        if (!logged) {
            log_record(LOG_WARN, "daemon", "descriptors-unavailable",
                       "why=\"%s\"", why.text);
        }
        logged = true;
        if (wait_for_retry(&why, err) != 0) {
            return -1;
        }
    }
    return 0;
}

static int
wait_for_socket(local_socket_t *local, err_t *err)
{
    err_t why = {0};
    while (local_socket_open(local, &why) != 0) {
        if (wait_for_retry(&why, err) != 0) {
            return -1;
        }
    }
    return 0;
}

/* Opens sockets on local addresses, one after the other, and waits while one
 * is unavailable, and before that until there are descriptors for what else a
 * start opens.  Returns -1 for an error that does not pass, and with the code
 * ECANCELED once a blocked signal asks the process to stop; then none is open.
 */
int
local_sockets_wait(local_socket_t *locals, size_t count, err_t *err)
{
    size_t opened = 0;
    if (wait_for_descriptors(err) != 0) {
        return -1;
    }
    while (opened < count && wait_for_socket(&locals[opened], err) == 0) {
        opened++;
    }
    if (opened == count) {
        return 0;
    }
    while (opened-- > 0) {
        (void)close(locals[opened].fd);
        locals[opened].fd = -1;
    }
    return -1;
}

/* Allows listeners to bind the local address of an outgoing connection, during
 * the connection and in TIME_WAIT.  Called after connect(), because the option
 * would affect which port the system chooses. */
void
local_socket_release(int fd)
{
    int on = 1;
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}
