#include "platform.h"

#include "../relay/wire.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Answers that a stand-in server sends as they are given, byte by byte, and
 * then ends with their connection: answers that are cut off anywhere. */

/* Stands for the id of the request. */
#define ID_PLACEHOLDER "{id}"

/* Sets the answer, NULL or empty for none, and how its connection ends. */
void
server_set_raw(platform_server_t *server, const json_t *command)
{
    const char *text = json_get_string(command, "raw_answer");
    if (text == NULL) {
        return;
    }
    free(server->raw_answer);
    server->raw_answer = text[0] != '\0' ? strdup(text) : NULL;
    server->raw_reset = json_get_bool(command, "raw_reset");
    int64_t every = json_get_int(command, "raw_every", 1);
    server->raw_every = every > 0 ? every : 1;
}

static void
write_answer(const run_t *run, struct evbuffer *out)
{
    const char *id =
        find_header(run->req, wire_header_name(HEADER_REQUEST_ID));
    const char *text = run->server->raw_answer;
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
    write_answer(run, server_raw_output(run));
    (void)fprintf(server->record, "raw server=%s uri=%s\n", server->id,
                  evhttp_request_get_uri(run->req));
    (void)fflush(server->record);
    run_later(server->store->base, server->event_interval_ms, on_raw_end, run);
    return true;
}
