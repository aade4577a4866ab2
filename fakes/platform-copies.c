#include "platform.h"

#include "../relay/wire.h"

#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* Copies of rejections, which a stand-in server sends in front of its answer
 * when the request that it has rejected comes again on the same connection. */

/* Rejections of which a copy may be sent; the oldest is forgotten first. */
#define REJECTIONS_KEPT_MAX 512

struct kept_rejection {
    CK_STAILQ_ENTRY(kept_rejection) entry;
    uint16_t port; /* of the client's end of the connection */
    char id[CS_NAME_MAX];
    buf_t text;
};

static uint16_t
client_port(struct evhttp_request *req)
{
    char *ip;
    uint16_t port;
    evhttp_connection_get_peer(evhttp_request_get_connection(req), &ip, &port);
    return port;
}

static void
kept_rejection_free(kept_rejection_t *kept)
{
    buf_free(&kept->text);
    free(kept);
}

static void
write_text(struct evhttp_request *req, int status, buf_t *out)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
    const struct evkeyval *header;
    buf_fmt(out, "HTTP/1.1 %d Rejected\r\n", status);
    TAILQ_FOREACH(header, headers, next)
    {
        buf_fmt(out, "%s: %s\r\n", header->key, header->value);
    }
    buf_str(out, "Content-Length: 0\r\n\r\n");
}

/* Sets whether copies are sent. */
void
server_set_copies(platform_server_t *server, const json_t *command)
{
    if (json_object_get(command, "copy_rejections") != NULL) {
        server->copy_rejections = json_get_bool(command, "copy_rejections");
    }
}

/* Keeps a rejection whose headers are set. */
void
server_keep_rejection(platform_server_t *server, struct evhttp_request *req,
                      int status)
{
    const char *id = find_header(req, wire_header_name(HEADER_REQUEST_ID));
    if (!server->copy_rejections || id == NULL) {
        return;
    }
    kept_rejection_t *kept = mem_zalloc(sizeof(*kept));
    kept->port = client_port(req);
    str_copy(kept->id, sizeof(kept->id), id);
    write_text(req, status, &kept->text);
    CK_STAILQ_INSERT_TAIL(&server->kept_rejections, kept, entry);
    if (++server->kept_rejection_count > REJECTIONS_KEPT_MAX) {
        kept = CK_STAILQ_FIRST(&server->kept_rejections);
        CK_STAILQ_REMOVE_HEAD(&server->kept_rejections, entry);
        server->kept_rejection_count--;
        kept_rejection_free(kept);
    }
}

/* Sends a copy of the rejection of this request on its connection, if there is
 * one. */
void
server_send_copy(platform_server_t *server, struct evhttp_request *req)
{
    const char *id = find_header(req, wire_header_name(HEADER_REQUEST_ID));
    uint16_t port = client_port(req);
    const kept_rejection_t *kept;
    if (!server->copy_rejections || id == NULL) {
        return;
    }
    CK_STAILQ_FOREACH (kept, &server->kept_rejections, entry) {
        if (kept->port == port && strcmp(kept->id, id) == 0) {
            (void)evbuffer_add(server_raw_output(req), kept->text.data,
                               kept->text.len);
            (void)fprintf(server->record, "copy server=%s id=%s\n", server->id,
                          id);
            (void)fflush(server->record);
            return;
        }
    }
}
