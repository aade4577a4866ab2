#include "../kernel/base.h"

#include <argp.h>
#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Entry point of a stand-in for other programs that hold what a daemon needs:
 * its local addresses, as listeners, for datagrams or as the local end of a
 * connection, or its descriptors, by idle connections that are opened again
 * when it closes them.  It prints a line once it holds all, and holds it until
 * it is killed. */

#define HOLD_SLEEP_MS 20
#define IDLE_MAX 4096

static const struct argp_option options[] = {
    {"tcp", 't', "IPV4:PORT", 0, "address to listen on", 0},
    {"udp", 'u', "IPV4:PORT", 0, "address for datagrams", 0},
    {"local", 'l', "IPV4:PORT", 0, "local address of a connection", 0},
    {"to", 'o', "IPV4:PORT", 0, "where it connects to", 0},
    {"idle", 'i', "COUNT", 0, "idle connections to --to", 0},
    {"send", 's', "TEXT", 0, "what each of these sends first", 0},
    {0},
};

typedef struct {
    const char *tcp;
    const char *udp;
    const char *local;
    const char *to;
    const char *send;
    int idle;
} holder_args_t;

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    holder_args_t *args = state->input;
    switch (key) {
        case 't':
            args->tcp = arg;
            return 0;
        case 'u':
            args->udp = arg;
            return 0;
        case 'l':
            args->local = arg;
            return 0;
        case 'o':
            args->to = arg;
            return 0;
        case 's':
            args->send = arg;
            return 0;
        case 'i':
            args->idle = (int)strtol(arg, NULL, 10);
            if (args->idle < 0 || args->idle > IDLE_MAX) {
                argp_error(state, "--idle is 0 to %d", IDLE_MAX);
            }
            return 0;
        case ARGP_KEY_END:
            if ((args->local != NULL || args->idle > 0) !=
                (args->to != NULL)) {
                argp_error(state, "--local and --idle need --to");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option, NULL, "Holds addresses and connections.",
    NULL,    NULL,         NULL};

static bool
parse_addr(const char *text, struct sockaddr_in *out)
{
    int len = (int)sizeof(*out);
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &len) == 0;
}

/* Binds a socket to an address and, with a destination, connects it. */
static bool
hold(const char *addr, int type, const char *to)
{
    struct sockaddr_in at;
    struct sockaddr_in dest;
    /* Leaves the address at once when it ends. */
    const struct linger reset = {.l_onoff = 1};
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    if (fd < 0 || !parse_addr(addr, &at) ||
        bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        return false;
    }
    if (to != NULL) {
        return parse_addr(to, &dest) &&
               connect(fd, (struct sockaddr *)&dest, sizeof(dest)) == 0;
    }
    return type == SOCK_DGRAM || listen(fd, 1) == 0;
}

/* Opens a connection that sends a text and no more. */
static int
connect_idle(const char *addr, const char *text)
{
    struct sockaddr_in to;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0 || !parse_addr(addr, &to)) {
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 ||
        (text != NULL && write(fd, text, strlen(text)) < 0)) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

/* Opens each connection that is not open, again after the other end has closed
 * it. */
static void
keep_connections(const holder_args_t *args, int *fds)
{
    char byte;
    for (int i = 0; i < args->idle; i++) {
        if (fds[i] >= 0 && recv(fds[i], &byte, 1, MSG_DONTWAIT) < 0 &&
            (errno == EAGAIN || errno == EWOULDBLOCK)) {
            continue;
        }
        if (fds[i] >= 0) {
            (void)close(fds[i]);
        }
        fds[i] = connect_idle(args->to, args->send);
    }
}

int
main(int argc, char **argv)
{
    static int fds[IDLE_MAX];
    holder_args_t args = {0};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    if ((args.tcp != NULL && !hold(args.tcp, SOCK_STREAM, NULL)) ||
        (args.udp != NULL && !hold(args.udp, SOCK_DGRAM, NULL)) ||
        (args.local != NULL && !hold(args.local, SOCK_STREAM, args.to))) {
        (void)fprintf(stderr, "fake-holder: %s\n", strerror(errno));
        return EXIT_UNREACHABLE;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    memset(fds, -1, sizeof(fds));
    keep_connections(&args, fds);
    (void)puts("holding");
    (void)fflush(stdout);
    for (;;) {
        time_sleep_ms(HOLD_SLEEP_MS);
        keep_connections(&args, fds);
    }
}
