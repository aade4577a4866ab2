#include "../kernel/base.h"

#include <argp.h>
#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Entry point of a stand-in for another program that holds local addresses:
 * as a listener, for datagrams, or as the local end of a connection.  It
 * prints a line once it holds all of them, and holds them until it is killed.
 */

#define HOLD_SLEEP_MS 1000

static const struct argp_option options[] = {
    {"tcp", 't', "IPV4:PORT", 0, "address to listen on", 0},
    {"udp", 'u', "IPV4:PORT", 0, "address for datagrams", 0},
    {"local", 'l', "IPV4:PORT", 0, "local address of a connection", 0},
    {"to", 'o', "IPV4:PORT", 0, "where it connects to", 0},
    {0},
};

typedef struct {
    const char *tcp;
    const char *udp;
    const char *local;
    const char *to;
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
        case ARGP_KEY_END:
            if ((args->local == NULL) != (args->to == NULL)) {
                argp_error(state, "--local and --to go together");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option, NULL, "Holds local addresses.", NULL, NULL, NULL};

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

int
main(int argc, char **argv)
{
    holder_args_t args = {0};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    if ((args.tcp != NULL && !hold(args.tcp, SOCK_STREAM, NULL)) ||
        (args.udp != NULL && !hold(args.udp, SOCK_DGRAM, NULL)) ||
        (args.local != NULL && !hold(args.local, SOCK_STREAM, args.to))) {
        (void)fprintf(stderr, "fake-holder: %s\n", strerror(errno));
        return EXIT_UNREACHABLE;
    }
    (void)puts("holding");
    (void)fflush(stdout);
    for (;;) {
        time_sleep_ms(HOLD_SLEEP_MS);
    }
}
