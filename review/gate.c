/* Forwards each connection to one of several addresses in turn, as the
 * platform's balancer does.  Usage: gate LISTEN_PORT IPV4:PORT...
 * All addresses are loopback addresses. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct pump {
    int from;
    int to;
};

static int
parse_addr(const char *text, struct sockaddr_in *out)
{
    char ip[64];
    const char *colon = strrchr(text, ':');
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return -1;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    out->sin_port = htons((uint16_t)atoi(colon + 1));
    return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -1;
}

/* Copies bytes until one side ends, then ends both. */
static void *
pump_run(void *arg)
{
    struct pump pump = *(struct pump *)arg;
    char bytes[16384];
    ssize_t len;
    free(arg);
    while ((len = read(pump.from, bytes, sizeof(bytes))) > 0) {
        if (send(pump.to, bytes, (size_t)len, MSG_NOSIGNAL) != len) {
            break;
        }
    }
    (void)shutdown(pump.to, SHUT_WR);
    (void)shutdown(pump.from, SHUT_RD);
    return NULL;
}

static void
pump_start(int from, int to, pthread_t *thread)
{
    struct pump *pump = malloc(sizeof(*pump));
    *pump = (struct pump){from, to};
    (void)pthread_create(thread, NULL, pump_run, pump);
}

struct connection {
    int client;
    struct sockaddr_in to;
};

static void *
connection_run(void *arg)
{
    struct connection connection = *(struct connection *)arg;
    pthread_t up;
    pthread_t down;
    free(arg);
    int server = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(server, (struct sockaddr *)&connection.to,
                sizeof(connection.to)) == 0) {
        pump_start(connection.client, server, &up);
        pump_start(server, connection.client, &down);
        (void)pthread_join(up, NULL);
        (void)pthread_join(down, NULL);
    }
    (void)close(server);
    (void)close(connection.client);
    return NULL;
}

int
main(int argc, char **argv)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    int on = 1;
    unsigned next = 0;
    if (argc < 3) {
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    (void)setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons((uint16_t)atoi(argv[1]));
    if (bind(listener, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(listener, 256) != 0) {
        return 2;
    }
    for (;;) {
        struct connection *connection = malloc(sizeof(*connection));
        pthread_t thread;
        connection->client = accept(listener, NULL, NULL);
        if (connection->client < 0 ||
            parse_addr(argv[2 + next++ % (unsigned)(argc - 2)],
                       &connection->to) != 0) {
            return 2;
        }
        (void)pthread_create(&thread, NULL, connection_run, connection);
        (void)pthread_detach(thread);
    }
}
