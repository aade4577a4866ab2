#include "daemon.h"

#include <string.h>

/* Routes HTTP requests to their handlers by path and method. */

#define BEARER "Bearer "
#define CONTACT_TIMEOUT_MS 30000
#define OUTCOME_HEADER "X-Celeryspool-Outcome"

typedef void (*workspace_handler_t)(celeryspoold_t *daemon, http_req_t *req,
                                    const workspace_t *workspace,
                                    const config_t *config);

/* Authenticates the caller, checks its deadline, and calls the handler with
 * its workspace. */
static void
handle_for_workspace(celeryspoold_t *daemon, http_req_t *req,
                     workspace_handler_t handler)
{
    const char *header = http_req_header(req, "Authorization");
    config_t *config = daemon_config(daemon);
    const workspace_t *workspace = NULL;
    if (header != NULL && strncmp(header, BEARER, strlen(BEARER)) == 0) {
        char hash[KEY_HASH_LEN + 1];
        config_hash_key(header + strlen(BEARER), hash);
        workspace = config_find_workspace_by_key(config, hash);
    }
    if (workspace == NULL) {
        http_req_reply_header(req, OUTCOME_HEADER,
                              outcome_name(OUTCOME_NOT_RUN));
        http_req_reply_error(req, 401, "no_workspace",
                             "a workspace's bearer key is needed");
    }
    else if (call_timeout_ms(req) < 0) {
        http_req_reply_header(req, OUTCOME_HEADER,
                              outcome_name(OUTCOME_NOT_RUN));
        http_req_reply_error(req, 400, "bad_request",
                             "X-Deadline-Ms is not a whole number from 1 to "
                             "%d",
                             CALL_DEADLINE_MAX_MS);
    }
    else {
        handler(daemon, req, workspace, config);
    }
    config_release(config);
}

static void
handle_chat(celeryspoold_t *daemon, http_req_t *req)
{
    handle_for_workspace(daemon, req, chat_handle);
}

static void
handle_service(celeryspoold_t *daemon, http_req_t *req)
{
    handle_for_workspace(daemon, req, service_handle);
}

static void
handle_health(celeryspoold_t *daemon, http_req_t *req)
{
    (void)daemon;
    http_req_reply(req, 200, "text/plain", "ok\n", 3);
}

/* Returns why the load balancer should send nothing to this daemon, or NULL
 * if it is ready. */
static const char *
not_ready_reason(celeryspoold_t *daemon)
{
    LOCK_SCOPE(&daemon->config_lock);
    int64_t since_confirmed_ms = time_mono_ms() - daemon->config_confirmed_ms;
    switch (daemon_state(daemon)) {
        case STATE_WARMING:
            return "warming";
        case STATE_DRAINING:
            return "leaving";
        case STATE_READY:
            break;
    }
    return since_confirmed_ms > CONTACT_TIMEOUT_MS
               ? "cut off from the platform and all peers"
               : NULL;
}

static void
handle_ready(celeryspoold_t *daemon, http_req_t *req)
{
    const char *reason = not_ready_reason(daemon);
    if (reason != NULL) {
        http_req_reply_error(req, 503, "not_ready", "%s", reason);
        return;
    }
    http_req_reply(req, 200, "text/plain", "ready\n", 6);
}

static void
handle_metrics(celeryspoold_t *daemon, http_req_t *req)
{
    CLEAN_BUF buf_t text = {0};
    uint64_t sent;
    uint64_t received;
    config_t *config = daemon_config(daemon);
    metrics_write(daemon->metrics, &text);
    metrics_write_gauge(&text, "config_generation",
                        (double)config->generation);
    metrics_write_gauge(&text, "calls_running",
                        (double)daemon_call_count(daemon));
    metrics_write_gauge(&text, "calls_waiting",
                        (double)dispatch_waiting_count(daemon));
    metrics_write_gauge(&text, "members_live",
                        (double)members_live_count(daemon->members));
    metrics_write_gauge(&text, "cache_map_entries",
                        (double)cache_map_size(daemon->cache));
    metrics_write_gauge(&text, "store_calls",
                        (double)store_call_count(daemon->store));
    peer_byte_counts(daemon->peer, &sent, &received);
    metrics_write_gauge(&text, "peer_bytes_sent", (double)sent);
    metrics_write_gauge(&text, "peer_bytes_received", (double)received);
    metrics_write_gauge(&text, "claim_writes",
                        (double)claim_log_write_count(daemon->claims));
    config_release(config);
    http_req_reply(req, 200, "text/plain; version=0.0.4", buf_text(&text),
                   text.len);
}

typedef struct {
    const char *method; /* NULL for any */
    const char *path;
    bool is_prefix; /* also matches longer paths */
    void (*handle)(celeryspoold_t *daemon, http_req_t *req);
} route_t;

static const route_t routes[] = {
    {"POST", "/v1/chat/completions", false, handle_chat},
    {NULL, "/v1/services/", true, handle_service},
    {"GET", "/healthz", false, handle_health},
    {"GET", "/readyz", false, handle_ready},
    {"GET", "/metrics", false, handle_metrics},
    {NULL, "/admin/v1/", true, admin_handle},
};

static bool
path_matches(const route_t *route, const char *path)
{
    return route->is_prefix
               ? strncmp(path, route->path, strlen(route->path)) == 0
               : strcmp(path, route->path) == 0;
}

/* Handles one request.  Called on a server thread; must not block. */
void
route_handle(http_req_t *req, void *arg)
{
    bool path_exists = false;
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        const route_t *route = &routes[i];
        if (!path_matches(route, http_req_path(req))) {
            continue;
        }
        if (route->method == NULL ||
            strcmp(route->method, http_req_method(req)) == 0) {
            route->handle(arg, req);
            return;
        }
        path_exists = true;
    }
    if (path_exists) {
        http_req_reply_error(req, 405, "bad_method",
                             "this path does not take %s",
                             http_req_method(req));
        return;
    }
    http_req_reply_error(req, 404, "not_found", "no such path: %.100s",
                         http_req_path(req));
}
