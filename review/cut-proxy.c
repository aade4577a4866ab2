/* A TCP path to one server that can be cut, as a partition cuts it.
 *
 *     cut-proxy LISTEN_PORT TARGET_PORT
 *
 * SIGUSR1 cuts the path: nothing passes, in either direction.  SIGUSR2 heals
 * it.  New connections and idle ones work at once then; bytes that were held
 * pass at the next retransmission of their sender, 0.2, 0.6, 1.4, 3.0, ... s
 * after the first of them was sent, as TCP backs off.  Bytes and ends of
 * connections are passed on in order, and none is lost. */

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNS_MAX 500
#define BUFFER_BYTES 65536
#define RTO_MIN_MS 200
#define POLL_MS 5

/* One direction of a connection. */
typedef struct {
    char *data;
    size_t len;
    bool ended;      /* its sender has closed */
    bool passed_end; /* and its receiver knows */
    int64_t held_ms; /* since when bytes or the end wait; 0 for not */
} flow_t;

typedef struct {
    int fds[2];      /* client, target */
    flow_t flows[2]; /* from the client, from the target */
} conn_t;

static conn_t conns[CONNS_MAX];
static int conn_count;
static volatile sig_atomic_t cut;

static int64_t
now_ms(void)
{
    struct timespec at;
    (void)clock_gettime(CLOCK_MONOTONIC, &at);
    return (int64_t)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

static void
on_signal(int number)
{
    cut = number == SIGUSR1;
}

static int
open_socket(int port, bool listens)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    int status = listens ? bind(fd, (struct sockaddr *)&at, sizeof(at))
                         : connect(fd, (struct sockaddr *)&at, sizeof(at));
    if (status != 0 || (listens && listen(fd, 512) != 0)) {
        (void)close(fd);
        return -1;
    }
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

static void
add_conn(int client, int target_port)
{
    int on = 1;
    int target = conn_count < CONNS_MAX ? open_socket(target_port, false) : -1;
    if (target < 0) {
        struct linger reset = {1, 0}; /* no listener: the port resets */
        (void)setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        (void)close(client);
        return;
    }
    (void)setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    conn_t *conn = &conns[conn_count++];
    *conn = (conn_t){.fds = {client, target}};
    for (int i = 0; i < 2; i++) {
        conn->flows[i].data = malloc(BUFFER_BYTES);
    }
}

/* Whether what a flow holds passes now. */
static bool
may_pass(flow_t *flow, int64_t now)
{
    if (flow->len == 0 && (!flow->ended || flow->passed_end)) {
        flow->held_ms = 0;
        return true;
    }
    if (cut) {
        flow->held_ms = flow->held_ms != 0 ? flow->held_ms : now;
        return false;
    }
    if (flow->held_ms == 0) {
        return true;
    }
    /* POLL_MS wide slots at 0.2, 0.6, 1.4, ... s: once one is reached while
     * the path works, everything passes. */
    int64_t age = now - flow->held_ms;
    for (int64_t at = RTO_MIN_MS, rto = RTO_MIN_MS; at <= age + POLL_MS;) {
        if (age >= at && age < at + 4 * POLL_MS) {
            flow->held_ms = 0;
            return true;
        }
        rto *= 2;
        at += rto;
    }
    return false;
}

static void
read_flow(conn_t *conn, int side)
{
    flow_t *flow = &conn->flows[side];
    ssize_t got = recv(conn->fds[side], flow->data + flow->len,
                       BUFFER_BYTES - flow->len, MSG_DONTWAIT);
    if (got > 0) {
        flow->len += (size_t)got;
    }
    else if (got == 0 || (errno != EAGAIN && errno != EINTR)) {
        flow->ended = true;
    }
}

static void
pass_flow(conn_t *conn, int side, int64_t now)
{
    flow_t *flow = &conn->flows[side];
    int to = conn->fds[1 - side];
    if (!may_pass(flow, now)) {
        return;
    }
    if (flow->len > 0) {
        ssize_t sent =
            send(to, flow->data, flow->len, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent > 0) {
            flow->len -= (size_t)sent;
            memmove(flow->data, flow->data + sent, flow->len);
        }
        else if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            flow->len = 0;
        }
    }
    if (flow->len == 0 && flow->ended && !flow->passed_end) {
        flow->passed_end = true;
        (void)shutdown(to, SHUT_WR);
    }
}

/* Whether both ends are done; a client that has closed needs no answer. */
static bool
is_over(const conn_t *conn)
{
    return conn->flows[1].passed_end || conn->flows[0].passed_end;
}

static void
remove_conn(int index)
{
    conn_t *conn = &conns[index];
    for (int i = 0; i < 2; i++) {
        (void)close(conn->fds[i]);
        free(conn->flows[i].data);
    }
    *conn = conns[--conn_count];
}

static void
step(int listener, int target_port)
{
    static struct pollfd polled[1 + 2 * CONNS_MAX];
    int count = conn_count;
    polled[0] = (struct pollfd){listener, POLLIN, 0};
    for (int i = 0; i < count; i++) {
        for (int side = 0; side < 2; side++) {
            const flow_t *flow = &conns[i].flows[side];
            bool reads = !flow->ended && flow->len < BUFFER_BYTES;
            polled[1 + 2 * i + side] =
                (struct pollfd){reads ? conns[i].fds[side] : -1, POLLIN, 0};
        }
    }
    (void)poll(polled, (nfds_t)(1 + 2 * count), POLL_MS);
    int64_t now = now_ms();
    for (int i = 0; i < count; i++) {
        for (int side = 0; side < 2; side++) {
            if (polled[1 + 2 * i + side].revents != 0) {
                read_flow(&conns[i], side);
            }
            pass_flow(&conns[i], side, now);
        }
    }
    for (int i = count - 1; i >= 0; i--) {
        if (is_over(&conns[i])) {
            remove_conn(i);
        }
    }
    if ((polled[0].revents & POLLIN) != 0) {
        int client = accept(listener, NULL, NULL);
        if (client >= 0) {
            add_conn(client, target_port);
        }
    }
}

int
main(int argc, char **argv)
{
    int listener = argc == 3 ? open_socket(atoi(argv[1]), true) : -1;
    if (listener < 0) {
        (void)fprintf(stderr, "usage: cut-proxy LISTEN_PORT TARGET_PORT\n");
        return 2;
    }
    (void)signal(SIGUSR1, on_signal);
    (void)signal(SIGUSR2, on_signal);
    for (;;) {
        step(listener, atoi(argv[2]));
    }
}
