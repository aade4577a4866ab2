#include "platform.h"

#include "../relay/wire.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Answers that a stand-in server sends as they are given, byte by byte, and
 * then ends with their connection: answers that are cut off anywhere. */

/* Stands for the id of the request. */
#define ID_PLACEHOLDER "{id}"
/* Stands for the id of the request that the connection carried before. */
#define EARLIER_PLACEHOLDER "{earlier}"
/* Ends a piece of an extra answer: what follows comes later. */
#define WAIT_PLACEHOLDER "{wait}"

/* A piece of an extra answer that is sent later. */
typedef struct {
    int fd; /* a duplicate: the connection may have ended by then */
    buf_t text;
} late_piece_t;

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
    (void)read_bytes(command, "extra_path", "extra_every", &server->extra_path,
                     &server->extra_every);
    server->extra_wait_ms =
        json_get_int(command, "extra_wait_ms", server->extra_wait_ms);
}

static void
replace_in(buf_t *out, const char *text, const char *placeholder,
           const char *value)
{
    const char *found;
    while ((found = strstr(text, placeholder)) != NULL) {
        buf_add(out, text, (size_t)(found - text));
        buf_str(out, value);
        text = found + strlen(placeholder);
    }
    buf_str(out, text);
}

static void
write_answer(struct evhttp_request *req, const char *text,
             struct evbuffer *out)
{
    const char *id = find_header(req, wire_header_name(HEADER_REQUEST_ID));
    CLEAN_BUF buf_t answer = {0};
    replace_in(&answer, text, ID_PLACEHOLDER, id != NULL ? id : "-");
    (void)evbuffer_add(out, answer.data, answer.len);
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
 * identified by the port of their client.  Copies the id of the last one that
 * had one, empty if none had, and keeps that of this one. */
static bool
is_kept(platform_server_t *server, struct evhttp_request *req,
        char earlier[CS_NAME_MAX])
{
    const char *id = find_header(req, wire_header_name(HEADER_REQUEST_ID));
    char *ip;
    uint16_t port;
    evhttp_connection_get_peer(evhttp_request_get_connection(req), &ip, &port);
    uint8_t bit = (uint8_t)(1 << port % 8);
    bool seen = (server->ports_seen[port / 8] & bit) != 0;
    server->ports_seen[port / 8] |= bit;
    str_copy(earlier, CS_NAME_MAX, server->ids_seen[port]);
    if (id != NULL) {
        free(server->ids_seen[port]);
        server->ids_seen[port] = strdup(id);
    }
    return seen;
}

static void
on_late_piece(evutil_socket_t fd, short what, void *arg)
{
    late_piece_t *piece = arg;
    (void)fd;
    (void)what;
    (void)send(piece->fd, piece->text.data, piece->text.len, MSG_NOSIGNAL);
    (void)close(piece->fd);
    buf_free(&piece->text);
    free(piece);
}

/* Sends the first piece of an extra answer at once, the others later. */
static void
send_pieces(const platform_server_t *server, struct evhttp_request *req,
            const char *text)
{
    struct evhttp_connection *connection = evhttp_request_get_connection(req);
    const char *end = strstr(text, WAIT_PLACEHOLDER);
    size_t len = end != NULL ? (size_t)(end - text) : strlen(text);
    int64_t after_ms = 0;
    (void)evbuffer_add(server_raw_output(req), text, len);
    while (end != NULL) {
        late_piece_t *piece = mem_zalloc(sizeof(*piece));
        const char *from = end + strlen(WAIT_PLACEHOLDER);
        end = strstr(from, WAIT_PLACEHOLDER);
        piece->fd = dup(
            bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
        buf_add(&piece->text, from,
                end != NULL ? (size_t)(end - from) : strlen(from));
        after_ms += server->extra_wait_ms;
        run_later(server->store->base, after_ms, on_late_piece, piece);
    }
}

/* Sends the extra answer if it is this request's turn: bytes that belong to no
 * request, or to the one before, and arrive where the answer to this one is
 * expected. */
void
server_send_extra(platform_server_t *server, struct evhttp_request *req)
{
    char earlier[CS_NAME_MAX];
    const char *id = find_header(req, wire_header_name(HEADER_REQUEST_ID));
    const char *uri = evhttp_request_get_uri(req);
    bool kept = is_kept(server, req, earlier);
    CLEAN_BUF buf_t named = {0};
    CLEAN_BUF buf_t text = {0};
    if (!kept || server->extra_answer == NULL ||
        (server->extra_path != NULL &&
         strncmp(uri, server->extra_path, strlen(server->extra_path)) != 0) ||
        (earlier[0] == '\0' &&
         strstr(server->extra_answer, EARLIER_PLACEHOLDER) != NULL) ||
        server->extra_count++ % server->extra_every != 0) {
        return;
    }
    replace_in(&named, server->extra_answer, ID_PLACEHOLDER,
               id != NULL ? id : "-");
    replace_in(&text, buf_text(&named), EARLIER_PLACEHOLDER, earlier);
    send_pieces(server, req, buf_text(&text));
    (void)fprintf(server->record, "extra server=%s uri=%s\n", server->id, uri);
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
