#include "platform.h"

#include <stdlib.h>
#include <string.h>

/* Orders to load weights, as a stand-in server carries them out.  An order
 * either waits for the running requests or lets them go on; in both cases the
 * server rejects new ones until the load is complete. */

#define WEIGHTS_LOAD_MS 300

static void
on_weights_loaded(evutil_socket_t fd, short what, void *arg)
{
    platform_server_t *server = arg;
    (void)fd;
    (void)what;
    server->version = server->loads_version;
    server_cache_clear(server);
    server->loading = false;
    server->load_started = false;
    (void)fprintf(server->record, "loaded server=%s version=%lld\n",
                  server->id, (long long)server->version);
    (void)fflush(server->record);
}

static void
start_load(platform_server_t *server)
{
    server->load_started = true;
    run_later(server->store->base, WEIGHTS_LOAD_MS, on_weights_loaded, server);
}

/* Starts a load that has waited for the requests that have just ended. */
void
server_order_check(platform_server_t *server)
{
    if (server->loading && !server->load_started && server->running == 0) {
        start_load(server);
    }
}

/* Carries out an order; returns the status of the answer. */
static int
apply_order(platform_server_t *server, const json_t *order)
{
    int64_t fencing_token = json_get_int(order, "fencing_token", 0);
    int64_t version = json_get_int(order, "version", 0);
    const char *mode = json_get_string(order, "drain_mode");
    if (json_get_string(order, "holder") == NULL || fencing_token == 0) {
        return 400;
    }
    if (fencing_token < server->fencing_token) {
        return 412;
    }
    server->fencing_token = fencing_token;
    if (version == server->version) {
        return 200;
    }
    if (server->loading || server->refuse_orders ||
        json_get_int(order, "expect", server->order_count) !=
            server->order_count) {
        return 409;
    }
    server->order_count++;
    server->loading = true;
    server->loads_version = version;
    if (server->running == 0 || mode == NULL || strcmp(mode, "keep") == 0) {
        start_load(server);
    }
    return 202;
}

static int
apply_and_record(platform_server_t *server, const json_t *order)
{
    CLEAN_TEXT char *text = json_dumps(order, JSON_COMPACT);
    int status = apply_order(server, order);
    (void)fprintf(server->record, "order server=%s status=%d %s\n", server->id,
                  status, text);
    (void)fflush(server->record);
    return status;
}

typedef struct {
    platform_server_t *server;
    json_t *order;
} late_order_t;

static void
on_late_order(evutil_socket_t fd, short what, void *arg)
{
    late_order_t *late = arg;
    (void)fd;
    (void)what;
    (void)apply_and_record(late->server, late->order);
    json_decref(late->order);
    free(late);
}

void
server_order_handle(platform_server_t *server, struct evhttp_request *req)
{
    json_t *order = parse_body(req);
    if (server->late_order_ms > 0) {
        late_order_t *late = mem_zalloc(sizeof(*late));
        *late = (late_order_t){server, order};
        run_later(server->store->base, server->late_order_ms, on_late_order,
                  late);
        return;
    }
    int status = apply_and_record(server, order);
    json_decref(order);
    evhttp_send_reply(req, status, NULL, NULL);
}
