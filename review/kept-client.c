/* Clients with kept connections.  Half of them send a request for a stream and
 * wait for its answer; the others pipeline a plain GET and a request for a
 * stream, as HTTP/1.1 allows, and wait for both answers.
 *
 *     kept-client SECONDS CLIENTS PIPELINING PORT...
 *
 * Prints a line for each request: its id, whether its connection had been used
 * before, how long it took, what is left of a stream's deadline, and what
 * came: a status, or "closed" for an answer that is missing or not complete.
 * A stream that is refused is asked for again when the answer says, over a new
 * connection, within the deadline of its first try. */

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define IN_MAX 65536
#define TIMEOUT_S 13
#define DEADLINE_MS 12000
/* A stream takes six seconds. */
#define RETRY_WITHIN_MS 4000

typedef struct {
    int number;
    bool pipelines;
    int fd;
    char in[IN_MAX];
    size_t len;
    unsigned requests;
    bool kept; /* the connection has carried an answer */
    unsigned rng;
    long long began_ms; /* the first try of the stream */
    long long sent_ms;  /* the latest requests */
    int tries;
    double retry_after_s; /* of the last answer */
} client_t;

static int ports[16];
static int port_count;
static time_t end;
static pthread_mutex_t out_lock = PTHREAD_MUTEX_INITIALIZER;

static long long
now_ms(void)
{
    struct timespec at;
    (void)clock_gettime(CLOCK_REALTIME, &at);
    return (long long)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

static void
report(const client_t *client, const char *id, int status)
{
    char what[16] = "closed";
    if (status > 0) {
        (void)snprintf(what, sizeof(what), "%d", status);
    }
    (void)pthread_mutex_lock(&out_lock);
    (void)printf("%lld got id=%s kept=%d after_ms=%lld left_ms=%lld %s\n",
                 now_ms(), id, client->kept, now_ms() - client->sent_ms,
                 client->began_ms + DEADLINE_MS - now_ms(), what);
    (void)fflush(stdout);
    (void)pthread_mutex_unlock(&out_lock);
}

static bool
connect_client(client_t *client)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    struct timeval timeout = {TIMEOUT_S, 0};
    int on = 1;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port =
        htons((uint16_t)ports[rand_r(&client->rng) % (unsigned)port_count]);
    client->fd = socket(AF_INET, SOCK_STREAM, 0);
    client->len = 0;
    client->kept = false;
    (void)setsockopt(client->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
                     sizeof(timeout));
    (void)setsockopt(client->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return connect(client->fd, (struct sockaddr *)&to, sizeof(to)) == 0;
}

/* Reads more; false if the connection has ended. */
static bool
fill(client_t *client)
{
    ssize_t got = recv(client->fd, client->in + client->len,
                       IN_MAX - 1 - client->len, 0);
    if (got <= 0) {
        return false;
    }
    client->len += (size_t)got;
    client->in[client->len] = '\0';
    return true;
}

static void
drop(client_t *client, size_t len)
{
    memmove(client->in, client->in + len, client->len - len + 1);
    client->len -= len;
}

/* Drops this many bytes of the input, which are read if they are missing. */
static bool
take(client_t *client, size_t len)
{
    while (client->len < len) {
        size_t part = client->len;
        drop(client, part);
        len -= part;
        if (len > 0 && !fill(client)) {
            return false;
        }
    }
    drop(client, len);
    return true;
}

/* Reads up to and including a text; the length, or 0. */
static size_t
find(client_t *client, const char *text)
{
    for (;;) {
        client->in[client->len] = '\0';
        const char *at = strstr(client->in, text);
        if (at != NULL) {
            return (size_t)(at - client->in) + strlen(text);
        }
        if (client->len == IN_MAX - 1 || !fill(client)) {
            return 0;
        }
    }
}

/* Reads one answer; its status, or 0 if it is missing or not complete. */
static int
read_answer(client_t *client, bool *closes)
{
    size_t head_len = find(client, "\r\n\r\n");
    if (head_len == 0) {
        return 0;
    }
    char head[8192];
    size_t copied = head_len < sizeof(head) - 1 ? head_len : sizeof(head) - 1;
    memcpy(head, client->in, copied);
    head[copied] = '\0';
    drop(client, head_len);
    int status = atoi(head + 9);
    const char *length = strcasestr(head, "\r\nContent-Length:");
    const char *after = strcasestr(head, "\r\nRetry-After:");
    client->retry_after_s = after != NULL ? strtod(after + 14, NULL) : 0;
    *closes = strcasestr(head, "\r\nConnection: close") != NULL;
    if (strcasestr(head, "\r\nTransfer-Encoding: chunked") == NULL) {
        size_t len = length != NULL ? strtoul(length + 17, NULL, 10) : 0;
        return take(client, len) ? status : 0;
    }
    for (;;) {
        size_t line = find(client, "\r\n");
        if (line == 0) {
            return 0;
        }
        size_t len = strtoul(client->in, NULL, 16);
        drop(client, line);
        if (!take(client, len + 2)) {
            return 0;
        }
        if (len == 0) {
            return status;
        }
    }
}

static size_t
add_request(client_t *client, char *out, bool stream, char id[64])
{
    (void)snprintf(id, 64, "%s%d-%u", stream ? "s" : "g", client->number,
                   client->requests++);
    if (!stream) {
        return (size_t)sprintf(
            out,
            "GET /read/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token "
            "key1\r\nX-Celeryspool-Attempt-Id: %s\r\n"
            "X-Celeryspool-Deadline-Milliseconds: 1500\r\n\r\n",
            id);
    }
    return (size_t)sprintf(
        out,
        "POST /review/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token "
        "key1\r\nX-Celeryspool-Attempt-Id: %s\r\n"
        "X-Celeryspool-Deadline-Milliseconds: %lld\r\n"
        "X-Celeryspool-Model: m1\r\nX-Celeryspool-Token-Usage: 1460,80\r\n"
        "X-Celeryspool-Prompt-Prefix: aa:800,b%u:410,%s:250\r\n"
        "Content-Length: 1\r\n\r\nx",
        id, DEADLINE_MS - (now_ms() - client->began_ms),
        rand_r(&client->rng) % 6, id);
}

/* Sends one or two requests and reads their answers; false if the connection
 * has ended. */
static bool
play_once(client_t *client)
{
    char text[4096];
    char ids[2][64];
    size_t len = 0;
    int count = 0;
    bool closes = false;
    if (client->tries == 0) {
        client->began_ms = now_ms();
    }
    if (client->pipelines) {
        len = add_request(client, text, false, ids[count++]);
    }
    len += add_request(client, text + len, true, ids[count++]);
    client->sent_ms = now_ms();
    if (send(client->fd, text, len, MSG_NOSIGNAL) != (ssize_t)len) {
        return false; /* not read by a daemon */
    }
    for (int i = 0; i < count; i++) {
        int status = closes ? 0 : read_answer(client, &closes);
        report(client, ids[i], status);
        if (status == 0) {
            return false;
        }
        client->kept = true;
        client->tries = status == 503 && i == count - 1 &&
                                !client->pipelines &&
                                now_ms() - client->began_ms < RETRY_WITHIN_MS
                            ? client->tries + 1
                            : 0;
    }
    if (client->tries > 0) {
        (void)usleep((useconds_t)(client->retry_after_s * 1e6));
        return false; /* the next try goes over a new connection */
    }
    return !closes;
}

static void *
play(void *arg)
{
    client_t *client = arg;
    while (time(NULL) < end) {
        if (connect_client(client)) {
            while (time(NULL) < end && play_once(client)) {
                (void)usleep(rand_r(&client->rng) % 200000);
            }
        }
        (void)close(client->fd);
        (void)usleep(client->tries > 0 ? 0 : 100000);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    if (argc < 5) {
        (void)fprintf(
            stderr, "usage: kept-client SECONDS CLIENTS PIPELINING PORT...\n");
        return 2;
    }
    int count = atoi(argv[2]);
    end = time(NULL) + atoi(argv[1]);
    for (int i = 4; i < argc && port_count < 16; i++) {
        ports[port_count++] = atoi(argv[i]);
    }
    pthread_t *threads = calloc((size_t)count, sizeof(*threads));
    for (int i = 0; i < count; i++) {
        client_t *client = calloc(1, sizeof(*client));
        client->number = i;
        client->pipelines = i < atoi(argv[3]);
        client->rng = (unsigned)i + 1;
        (void)pthread_create(&threads[i], NULL, play, client);
    }
    for (int i = 0; i < count; i++) {
        (void)pthread_join(threads[i], NULL);
    }
    return 0;
}
