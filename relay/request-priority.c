#include "peers.h"
#include "request.h"

#include <string.h>

/* The priority that a request carries at an engine, and what it needs: the
 * loads and starts of servers and the starts of hosts. */

/* Interval at which the list of hosts is compared, ms. */
#define HOSTS_INTERVAL_MS 300
/* A host that has done nothing for this long may have missed a load, ms.  Two
 * loads of one server are further apart. */
#define STALL_MS 1000

/* Whether the requests of the service keep their order behind a load of
 * weights; otherwise all of them are of the least urgency for a while. */
bool
request_keeps_priority_order(const request_t *request)
{
    const relay_service_t *service =
        relay_config_find_service(request->config, request->service);
    return service != NULL && service->priority_order;
}

static bool
has_ordered_service(const relay_config_t *config)
{
    const relay_service_t *service;
    CK_SLIST_FOREACH (service, &config->services, entry) {
        if (service->priority_order) {
            return true;
        }
    }
    return false;
}

/* ---- what is known of servers and hosts ---- */

static int64_t
latest_start_ms(const server_t *server)
{
    return server->reported_start_ms > server->info.started_ms
               ? server->reported_start_ms
               : server->info.started_ms;
}

/* Whether a server that is new to this host started since this host tracks
 * loads.  One that started long ago was listed before, and may have loaded
 * weights unnoticed. */
static bool
is_new(const priority_watch_t *watch, const server_t *server)
{
    int64_t started_ms = latest_start_ms(server);
    return started_ms > watch->since_wall_ms &&
           time_wall_ms() - started_ms < watch->longest_ms;
}

/* Applies loads and starts of a server since the last call. */
static void
track_server(const priority_watch_t *watch, server_t *server, int64_t now)
{
    int64_t started_ms = latest_start_ms(server);
    if (!server->loads_tracked) {
        priority_band_learn(&server->priority_band, is_new(watch, server),
                            now);
    }
    else if (started_ms != server->tracked_start_ms) {
        priority_band_learn(&server->priority_band,
                            started_ms > server->tracked_start_ms, now);
    }
    else if (server->info.weights != server->tracked_weights) {
        priority_band_load(&server->priority_band, watch->changed_ms,
                           watch->longest_ms, now);
    }
    server->loads_tracked = true;
    server->tracked_start_ms = started_ms;
    server->tracked_weights = server->info.weights;
}

static bool
knows_host(const priority_watch_t *watch, uint64_t host)
{
    for (size_t i = 0; i < watch->host_count; i++) {
        if (watch->hosts[i] == host) {
            return true;
        }
    }
    return false;
}

/* Whether a host has started since the last call: its requests are of the
 * least urgency at first. */
static bool
has_new_host(priority_watch_t *watch, peers_t *peers)
{
    uint64_t hosts[QUOTA_HOSTS_MAX];
    uint64_t digest = 0;
    bool new_host = false;
    size_t count = peers_list_processes(peers, hosts, QUOTA_HOSTS_MAX);
    for (size_t i = 0; i < count; i++) {
        digest += hosts[i];
    }
    if (digest == watch->hosts_digest && count == watch->host_count) {
        return false;
    }
    for (size_t i = 0; i < count && !new_host; i++) {
        new_host = !knows_host(watch, hosts[i]);
    }
    memcpy(watch->hosts, hosts, count * sizeof(hosts[0]));
    watch->host_count = count;
    watch->hosts_digest = digest;
    return new_host;
}

static void
begin_tracking(relay_t *relay, int64_t now)
{
    priority_watch_t *watch = &relay->priority_watch;
    server_t *server;
    watch->since_wall_ms = time_wall_ms();
    watch->changed_ms = now;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        server->loads_tracked = false;
    }
}

/* Applies what has changed since the last tick.  A longer timeout counts as a
 * change, since hosts adopt it at different times; after a shorter one the
 * requests with the longer one are still there. */
void
priorities_tick(relay_t *relay)
{
    priority_watch_t *watch = &relay->priority_watch;
    const relay_config_t *config = relay->config;
    int64_t now = time_mono_ms();
    server_t *server;
    bool tracks =
        config != NULL && relay->servers_listed && has_ordered_service(config);
    if (tracks && !watch->tracks) {
        begin_tracking(relay, now);
    }
    watch->tracks = tracks;
    if (!tracks) {
        return;
    }
    if (config->longest_timeout_ms > watch->longest_ms) {
        watch->longest_ms = config->longest_timeout_ms;
        watch->changed_ms = now;
    }
    if (now - watch->ticked_ms >= STALL_MS) {
        watch->changed_ms = now;
    }
    watch->ticked_ms = now;
    if (now - watch->hosts_compared_ms >= HOSTS_INTERVAL_MS) {
        watch->hosts_compared_ms = now;
        if (has_new_host(watch, relay->peers)) {
            watch->changed_ms = now;
        }
    }
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (server->info.engine) {
            track_server(watch, server, now);
        }
    }
}

/* ---- requests ---- */

/* Returns the priority where order is not kept: as long as requests that have
 * gone on through a load may run, all others are of the least urgency, so that
 * one of these, which are newer, is preempted instead. */
static int
choose_without_order(const request_t *request, server_t *server, int priority)
{
    if (server_use_weights(server, request->sent_ms) <
        request->config->longest_timeout_ms) {
        return PRIORITY_LEAST_URGENT;
    }
    return priority < 0                       ? 0
           : priority > PRIORITY_LEAST_URGENT ? PRIORITY_LEAST_URGENT
                                              : priority;
}

/* Returns the priority in an engine's queue, 0 for the most urgent; see
 * priority-band.h.  What other hosts know differs by some hundred ms, but a
 * host that does not know of a load yet expects the older weights, so that the
 * engine rejects its requests. */
int
request_engine_priority(const request_t *request, server_t *server)
{
    const priority_watch_t *watch = &request->relay->priority_watch;
    int priority = request->route->priority;
    if (request->workspace != NULL && request->workspace->has_priority) {
        priority = request->workspace->priority;
    }
    if (request->raised) {
        priority = 0;
    }
    if (!request_keeps_priority_order(request)) {
        return choose_without_order(request, server, priority);
    }
    if (!watch->tracks) {
        return PRIORITY_LEAST_URGENT;
    }
    track_server(watch, server, request->sent_ms);
    return priority_band_choose(&server->priority_band, priority,
                                watch->longest_ms, request->sent_ms);
}
