#include "platform.h"

#include "../relay/wire.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Answers that a stand-in server sends as they are given, byte by byte, and
 * then ends with their connection: answers that are cut off anywhere. */

/* Stands for the id of the request. */
#define ID_PLACEHOLDER "{id}"

/* Reads bytes to send from a command, empty for none, and their interval;
 * false if it does not name them. */
static bool
read_bytes(const json_t *command, const char *name, const char *every_name,
           char **bytes, int64_t *every)
{
    const char *text = json_get_string(command, name);
    if (text == NULL) {
        return false;
    }
    free(*bytes);
    *bytes = text[0] != '\0' ? strdup(text) : NULL;
    *every = json_get_int(command, every_name, 1);
    *every = *every > 0 ? *every : 1;
    return true;
}

/* Sets the answer and how its connection ends, and the extra answer. */
void
server_set_raw(platform_server_t *server, const json_t *command)
{
    if (read_bytes(command, "raw_answer", "raw_every", &server->raw_answer,
                   &server->raw_every)) {
        server->raw_reset = json_get_bool(command, "raw_reset");
    }
    (void)read_bytes(command, "extra_answer", "extra_every",
                     &server->extra_answer, &server->extra_every);
}

static void
write_answer(struct evhttp_request *req, const char *text,
             struct evbuffer *out)
{
    const char *id = find_header(req, wire_header_name(HEADER_REQUEST_ID));
    const char *found;
    while ((found = strstr(text, ID_PLACEHOLDER)) != NULL) {
        (void)evbuffer_add(out, text, (size_t)(found - text));
        (void)evbuffer_add_printf(out, "%s", id != NULL ? id : "-");
        text = found + strlen(ID_PLACEHOLDER);
    }
    (void)evbuffer_add(out, text, strlen(text));
}

static void
on_raw_end(evutil_socket_t fd, short what, void *arg)
{
    static const struct linger reset = {1, 0};
    run_t *run = arg;
    (void)fd;
    (void)what;
    if (!run->closed) {
        struct evhttp_connection *connection =
            evhttp_request_get_connection(run->req);
        evhttp_connection_set_closecb(connection, NULL, NULL);
        if (run->server->raw_reset) {
            (void)setsockopt(
                bufferevent_getfd(
                    evhttp_connection_get_bufferevent(connection)),
                SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            evhttp_connection_free(connection);
        }
        else {
            server_shut_connection(run->req);
        }
    }
    server_free_run(run);
}

/* Whether the connection of a request has carried one before; connections are
 * identified by the port of their client. */
static bool
is_kept(platform_server_t *server, struct evhttp_request *req)
{
    char *ip;
    uint16_t port;
    evhttp_connection_get_peer(evhttp_request_get_connection(req), &ip, &port);
    uint8_t bit = (uint8_t)(1 << port % 8);
    bool seen = (server->ports_seen[port / 8] & bit) != 0;
    server->ports_seen[port / 8] |= bit;
    return seen;
}

/* Sends the extra answer if it is this request's turn: bytes that belong to no
 * request and arrive where the answer to this one is expected. */
void
server_send_extra(platform_server_t *server, struct evhttp_request *req)
{
    if (!is_kept(server, req) || server->extra_answer == NULL ||
        server->extra_count++ % server->extra_every != 0) {
        return;
    }
    write_answer(req, server->extra_answer, server_raw_output(req));
    (void)fprintf(server->record, "extra server=%s uri=%s\n", server->id,
                  evhttp_request_get_uri(req));
    (void)fflush(server->record);
}

/* Sends the answer in place of the server's own if it is this request's turn;
 * returns whether it did. */
bool
server_send_raw(run_t *run)
{
    platform_server_t *server = run->server;
    if (server->raw_answer == NULL ||
        server->raw_count++ % server->raw_every != 0) {
        return false;
    }
    write_answer(run->req, server->raw_answer, server_raw_output(run->req));
    (void)fprintf(server->record, "raw server=%s uri=%s\n", server->id,
                  evhttp_request_get_uri(run->req));
    (void)fflush(server->record);
    run_later(server->store->base, server->event_interval_ms, on_raw_end, run);
    return true;
}
