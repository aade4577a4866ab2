#include "daemon.h"

#include <string.h>

/* Which path is served by what. */

#define BEARER "Bearer "
#define CUT_OFF_MS 30000
#define OUTCOME_HEADER "X-Celeryspool-Outcome"

typedef void (*caller_handler_t)(celeryspoold_t *daemon, http_req_t *req,
                                 const workspace_t *workspace,
                                 const config_t *config);

/* Find the workspace of a caller's key and go on with it. */
static void
with_workspace(celeryspoold_t *daemon, http_req_t *req,
               caller_handler_t handler)
{
    const char *header = http_req_header(req, "Authorization");
    config_t *config = daemon_config(daemon);
    const workspace_t *workspace = NULL;
    if (header != NULL && strncmp(header, BEARER, strlen(BEARER)) == 0) {
        char hash[KEY_HASH_LEN + 1];
        config_key_hash(header + strlen(BEARER), hash);
        workspace = config_workspace_by_key(config, hash);
    }
    if (workspace == NULL) {
        http_req_reply_header(req, OUTCOME_HEADER,
                              outcome_word(OUTCOME_NOT_RUN));
        http_req_reply_error(req, 401, "no_workspace",
                             "a workspace's bearer key is needed");
    }
    else if (call_deadline_span(req) < 0) {
        http_req_reply_header(req, OUTCOME_HEADER,
                              outcome_word(OUTCOME_NOT_RUN));
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
    with_workspace(daemon, req, chat_handle);
}

static void
handle_service(celeryspoold_t *daemon, http_req_t *req)
{
    with_workspace(daemon, req, service_handle);
}

static void
handle_health(celeryspoold_t *daemon, http_req_t *req)
{
    (void)daemon;
    http_req_reply(req, 200, "text/plain", "ok\n", 3);
}

/* Why the balancer should leave this daemon out, or NULL. */
static const char *
not_ready(celeryspoold_t *daemon)
{
    LOCK_SCOPE(&daemon->config_lock);
    int64_t unheard = time_mono_ms() - daemon->config_heard_ms;
    switch (daemon_state(daemon)) {
        case STATE_WARMING:
            return "warming";
        case STATE_LEAVING:
            return "leaving";
        case STATE_READY:
            break;
    }
    return unheard > CUT_OFF_MS ? "cut off from the platform and all peers"
                                : NULL;
}

static void
handle_ready(celeryspoold_t *daemon, http_req_t *req)
{
    const char *why = not_ready(daemon);
    if (why != NULL) {
        http_req_reply_error(req, 503, "not_ready", "%s", why);
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
                        (double)daemon_running(daemon));
    metrics_write_gauge(&text, "calls_waiting",
                        (double)dispatch_waiting(daemon));
    metrics_write_gauge(&text, "members_live",
                        (double)members_live(daemon->members));
    metrics_write_gauge(&text, "cache_map_entries",
                        (double)cache_map_size(daemon->cache));
    metrics_write_gauge(&text, "store_calls",
                        (double)store_calls(daemon->store));
    peer_bytes(daemon->peer, &sent, &received);
    metrics_write_gauge(&text, "peer_bytes_sent", (double)sent);
    metrics_write_gauge(&text, "peer_bytes_received", (double)received);
    metrics_write_gauge(&text, "claim_writes",
                        (double)claim_log_writes(daemon->claims));
    config_release(config);
    http_req_reply(req, 200, "text/plain; version=0.0.4", buf_text(&text),
                   text.len);
}

typedef struct {
    const char *method; /* NULL for any */
    const char *path;
    bool below; /* whether paths below it are meant too */
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
    return route->below ? strncmp(path, route->path, strlen(route->path)) == 0
                        : strcmp(path, route->path) == 0;
}

/* Serve one request; called on a server thread and must not block. */
void
route_handle(http_req_t *req, void *arg)
{
    bool other_method = false;
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
        other_method = true;
    }
    if (other_method) {
        http_req_reply_error(req, 405, "bad_method",
                             "this path does not take %s",
                             http_req_method(req));
        return;
    }
    http_req_reply_error(req, 404, "not_found", "no such path: %.100s",
                         http_req_path(req));
}
