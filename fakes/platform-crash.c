#include "platform.h"

#include "../relay/wire.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Servers that end and start again: brittle ones, which end when they have to
 * reject too many requests, those that a part of a prompt ends, and those that
 * are restarted on command. */

/* Time from the end of a server to its next start. */
#define RESTART_MS 4000
#define REJECTION_WINDOW_MS 1000

/* Opens the server's port.  Returns 0, or -1 if it cannot be bound. */
int
server_listen(platform_server_t *server)
{
    server->socket = evhttp_bind_socket_with_handle(server->http, "127.0.0.1",
                                                    server->port);
    return server->socket != NULL ? 0 : -1;
}

static void
on_restart(evutil_socket_t fd, short what, void *arg)
{
    platform_server_t *server = arg;
    (void)fd;
    (void)what;
    server->crashed = false;
    server->started_ms++;
    server_cache_clear(server);
    (void)server_listen(server);
    (void)fprintf(server->record, "restart server=%s at_ms=%lld\n", server->id,
                  (long long)time_wall_ms());
    (void)fflush(server->record);
}

/* Its entry is written at once, as by any server that starts. */
static void
on_commanded_restart(evutil_socket_t fd, short what, void *arg)
{
    platform_server_t *server = arg;
    on_restart(fd, what, arg);
    server->draining = false;
    server->leaving = false;
    server->removed = false;
    server_write_entry(server);
}

/* Ends a stream that has no length within an event. */
static void
tear_event(const run_t *run)
{
    static const char piece[] = "id: ";
    evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(run->req)));
    (void)send(fd, piece, sizeof(piece) - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
}

/* Breaks off a run in the middle of its answer. */
static void
break_off(const run_t *run)
{
    if (run->closed) {
        return; /* its client has gone, and its connection with it */
    }
    if (run->unframed) {
        tear_event(run);
    }
    server_shut_connection(run->req);
}

static bool
is_connection_to(int fd, uint16_t port)
{
    struct sockaddr_in own = {0};
    socklen_t len = sizeof(own);
    return getsockname(fd, (struct sockaddr *)&own, &len) == 0 &&
           own.sin_family == AF_INET && ntohs(own.sin_port) == port;
}

/* Closes all connections to the server, idle ones too: a connection stays with
 * one process.  The HTTP library lists none that are idle. */
static void
shut_connections(const platform_server_t *server)
{
    DIR *dir = opendir("/proc/self/fd");
    const struct dirent *file;
    while (dir != NULL && (file = readdir(dir)) != NULL) {
        int fd = (int)strtol(file->d_name, NULL, 10);
        if (is_connection_to(fd, server->port)) {
            (void)shutdown(fd, SHUT_RDWR);
        }
    }
    if (dir != NULL) {
        (void)closedir(dir);
    }
}

/* Ends the server with all that runs there. */
static void
end_server(platform_server_t *server)
{
    run_t *run;
    run_t *next;
    server->crashed = true;
    server->rejection_count = 0;
    (void)fprintf(server->record, "crash server=%s at_ms=%lld\n", server->id,
                  (long long)time_wall_ms());
    (void)fflush(server->record);
    evhttp_del_accept_socket(server->http, server->socket);
    server->socket = NULL;
    CK_LIST_FOREACH_SAFE (run, &server->runs, entry, next) {
        break_off(run);
    }
    shut_connections(server);
}

/* Ends the server; it starts again later. */
void
server_crash(platform_server_t *server)
{
    if (!server->crashed) {
        end_server(server);
        run_later(server->store->base, RESTART_MS, on_restart, server);
    }
}

/* Ends the server, and starts it again under its id after the time. */
void
server_restart(platform_server_t *server, int64_t down_ms)
{
    if (!server->crashed) {
        end_server(server);
        run_later(server->store->base, down_ms, on_commanded_restart, server);
    }
}

/* Breaks off a share of the streams that run, old and new ones alike; the
 * server goes on. */
void
server_end_streams(platform_server_t *server, double share)
{
    run_t *run;
    run_t *next;
    double due = 0;
    CK_LIST_FOREACH_SAFE (run, &server->runs, entry, next) {
        if (!run->started || run->closed) {
            continue;
        }
        due += share;
        if (due >= 1) {
            due -= 1;
            break_off(run);
        }
    }
}

/* Whether a request has the part in its prompt that ends the server. */
bool
server_has_fatal_part(const platform_server_t *server,
                      struct evhttp_request *req)
{
    const char *parts =
        find_header(req, wire_header_name(HEADER_PROMPT_PREFIX));
    size_t len = strlen(server->fatal_part);
    while (len > 0 && parts != NULL) {
        if (strncmp(parts, server->fatal_part, len) == 0 &&
            parts[len] == ':') {
            return true;
        }
        parts = strchr(parts, ',');
        parts = parts != NULL ? parts + 1 : NULL;
    }
    return false;
}

/* Records a rejection for want of room.  Returns whether the server, which is
 * brittle, ends over it. */
bool
server_note_rejection(platform_server_t *server)
{
    int64_t now = time_mono_ms();
    size_t kept = 0;
    (void)fprintf(server->record, "rejection server=%s at_ms=%lld\n",
                  server->id, (long long)time_wall_ms());
    (void)fflush(server->record);
    if (server->brittle < 0) {
        return false;
    }
    for (size_t i = 0; i < server->rejection_count; i++) {
        if (now - server->rejections_ms[i] < REJECTION_WINDOW_MS) {
            server->rejections_ms[kept++] = server->rejections_ms[i];
        }
    }
    if (kept < REJECTIONS_MAX) {
        server->rejections_ms[kept++] = now;
    }
    server->rejection_count = kept;
    if ((int64_t)kept <= server->brittle) {
        return false;
    }
    server_crash(server);
    return true;
}
