#include "cache-source.h"
#include "config-former.h"
#include "object-cache.h"
#include "peers.h"
#include "relay.h"

#include <stdlib.h>
#include <string.h>

/* Keeps this host's copy of the platform's configuration, servers and
 * published weights up to date. */

/* A list of servers is taken as current if the store has answered within this
 * time, ms: a watch waits a little less. */
#define LIST_AGE_MS_MAX 3000
/* How long software versions are remembered, ms: more than streams last. */
#define SOFTWARE_KEPT_MS 120000

/* ---- configuration ---- */

/* Applies the limits of the workspaces in the configuration. */
static void
set_quotas(relay_t *relay)
{
    const relay_config_t *config = relay->config;
    int64_t now = time_mono_ms();
    quotas_config_begin(&relay->quotas);
    for (size_t i = 0; i < config->workspace_count; i++) {
        const workspace_entry_t *workspace = &config->workspaces[i];
        const quota_limit_t limit = {workspace->limit_rate,
                                     workspace->limit_burst};
        quotas_config_set(&relay->quotas, workspace->name, &limit, now);
    }
    quotas_config_end(&relay->quotas);
}

/* Sets what a server's service calls for. */
static void
mark_server(const relay_t *relay, server_t *server)
{
    const relay_service_t *service =
        relay->config != NULL
            ? relay_config_find_service(relay->config, server->info.service)
            : NULL;
    server->by_priority = service != NULL && service->priority_admission;
    server->learned_speed = server->by_priority;
    server_schedule_speed(server);
}

static void
log_priority_services(const relay_config_t *config)
{
    const relay_service_t *service;
    CK_SLIST_FOREACH (service, &config->services, entry) {
        if (service->priority_admission) {
            log_record(LOG_INFO, "config", "priority-admission",
                       "service=%s most_urgent=%u", service->name,
                       service->most_urgent_class);
        }
    }
}

/* Starts the estimates of routes that the configuration has renamed or split
 * with those of the routes before them. */
static void
inherit_costs(relay_t *relay, const relay_config_t *config)
{
    for (size_t i = 0; i < ROUTE_BUCKETS; i++) {
        const route_t *route;
        CK_SLIST_FOREACH (route, &config->routes[i], entry) {
            if (route->former_name != 0) {
                request_cost_inherit(&relay->costs, str_hash(route->name, 0),
                                     route->former_name);
            }
        }
    }
}

/* Applies a configuration that is newer than the current one: lists and
 * watches may deliver an older state after a newer one. */
static void
on_config(void *arg, const store_object_t *object)
{
    relay_t *relay = arg;
    err_t err = {0};
    object_cache_put(relay->object_cache, KIND_CONFIG, object);
    if (strcmp(object->name, "main") != 0 || object->removed ||
        (relay->config != NULL &&
         object->revision <= relay->config->revision)) {
        return;
    }
    relay_config_t *config = platform_config_read(object, &err);
    if (config == NULL) {
        log_error("config", "Revision %lld cannot be read: %s.",
                  (long long)object->revision, err.text);
        return;
    }
    if (relay->config != NULL && config->version < relay->config->version) {
        log_warn("config",
                 "Ignored version %lld: older than the current version %lld.",
                 (long long)config->version,
                 (long long)relay->config->version);
        relay_config_release(config);
        return;
    }
    log_record(LOG_INFO, "config", "adopted", "version=%lld revision=%lld",
               (long long)config->version, (long long)config->revision);
    if (relay->config != NULL) {
        config_former_take(config, relay->config, time_mono_ms());
        inherit_costs(relay, config);
    }
    relay_config_release(relay->config);
    relay->config = config;
    relay->config_adopted_ms = time_mono_ms();
    cache_apply_config(relay);
    set_quotas(relay);
    log_priority_services(config);
    server_t *server;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        mark_server(relay, server);
    }
}

static void
on_config_list_begin(void *arg)
{
    relay_t *relay = arg;
    object_cache_list_begin(relay->object_cache, KIND_CONFIG);
}

static void
on_config_list_end(void *arg, int64_t revision)
{
    relay_t *relay = arg;
    object_cache_list_end(relay->object_cache, KIND_CONFIG, revision);
}

static void
on_config_list_cut(void *arg, int64_t revision)
{
    relay_t *relay = arg;
    object_cache_list_cut(relay->object_cache, KIND_CONFIG, revision);
}

static void
on_config_update(void *arg)
{
    relay_t *relay = arg;
    object_cache_notify(relay->object_cache, KIND_CONFIG);
}

/* Finds a daemon to list objects from while the store does not answer. */
static bool
find_peer_daemon(void *arg, char addr[CS_ADDR_MAX])
{
    relay_t *relay = arg;
    return relay->peers != NULL && peers_next_http_addr(relay->peers, addr);
}

/* Finds the daemon whose watches of the store this one follows. */
static upstream_t
find_upstream_daemon(void *arg, char addr[CS_ADDR_MAX])
{
    relay_t *relay = arg;
    if (relay->peers == NULL || relay->stop_requested_ms != 0) {
        return UPSTREAM_NONE;
    }
    return peers_find_upstream(relay->peers, addr);
}

static void
on_upstream_lost(void *arg, const char *addr, bool answered)
{
    relay_t *relay = arg;
    peers_avoid_upstream(relay->peers, addr, answered);
}

/* ---- servers ---- */

static void
mark_server_gone(relay_t *relay, server_t *server, const char *why)
{
    log_record(LOG_INFO, "servers", "gone", "server=%s service=%s why=%s",
               server->info.id, server->info.service, why);
    relay_apply_life(relay, server, SERVER_UNREACHED);
    servers_mark_removed(relay->servers, server);
    cache_clear(relay, server);
    exchanges_close_idle(relay->exchanges, server->info.addr);
}

static void
mark_server_missing(relay_t *relay, server_t *server)
{
    int64_t now = time_mono_ms();
    if (!watch_is_recovering(relay->servers_watch, now)) {
        mark_server_gone(relay, server, "removed");
        return;
    }
    if (server->missing_since_ms == 0) {
        log_record(LOG_INFO, "servers", "missing", "server=%s",
                   server->info.id);
        servers_mark_missing(relay->servers, server, now);
    }
}

static void
on_server_list_begin(void *arg)
{
    relay_t *relay = arg;
    relay->servers->list_generation++;
    object_cache_list_begin(relay->object_cache, KIND_SERVERS);
}

static void
on_servers_update(void *arg)
{
    relay_t *relay = arg;
    object_cache_notify(relay->object_cache, KIND_SERVERS);
}

static void
log_server(const server_t *server)
{
    log_record(LOG_INFO, "servers",
               server->info.draining ? "draining" : "ready",
               "server=%s service=%s addr=%s dc=%s weights=%lld",
               server->info.id, server->info.service, server->info.addr,
               server->info.dc, (long long)server->info.weights);
}

/* Clears what is known of a server's cache if the entry shows a restart or
 * other weights. */
static void
clear_stale_cache(relay_t *relay, const server_t *server,
                  const server_entry_t *entry)
{
    if (server->info.started_ms != entry->started_ms ||
        server->info.weights != entry->weights) {
        cache_clear(relay, server);
    }
}

/* Whether an entry differs from what is known of its server.  Only then is it
 * logged: while the store is unreachable, lists are read repeatedly and would
 * fill the log with unchanged entries. */
static bool
entry_has_changed(const server_t *server, const server_entry_t *entry)
{
    return server == NULL || server->missing_since_ms != 0 ||
           server->info.draining != entry->draining ||
           server->info.weights != entry->weights ||
           server->info.started_ms != entry->started_ms ||
           strcmp(server->info.addr, entry->addr) != 0 ||
           strcmp(server->info.service, entry->service) != 0;
}

static void
on_server(void *arg, const store_object_t *object)
{
    relay_t *relay = arg;
    server_entry_t entry;
    err_t err = {0};
    server_t *server = servers_find(relay->servers, object->name);
    object_cache_put(relay->object_cache, KIND_SERVERS, object);
    if (server != NULL && object->revision < server->revision) {
        return;
    }
    if (object->removed) {
        if (server != NULL) {
            mark_server_missing(relay, server);
        }
        return;
    }
    if (platform_server_read(&entry, object, &err) != 0) {
        log_record(LOG_WARN, "servers", "unreadable", "why=\"%s\"",
                   str_escape(err.text));
        if (server != NULL && !server->removed) {
            server->revision = object->revision;
            mark_server_missing(relay, server);
        }
        return;
    }
    if (server != NULL) {
        server_keep_weights(server, &entry);
        clear_stale_cache(relay, server, &entry);
    }
    bool has_changed = entry_has_changed(server, &entry);
    server = servers_put(relay->servers, &entry, time_mono_ms());
    if (server == NULL) {
        log_error("servers", "The table of servers is full: ignored %s.",
                  entry.id);
        return;
    }
    server->revision = object->revision;
    mark_server(relay, server);
    if (entry.engine) {
        weights_note_seen(relay, entry.model, entry.weights);
    }
    cache_set_capacity(relay, server);
    if (has_changed) {
        log_server(server);
    }
}

static void
on_server_list_end(void *arg, int64_t revision)
{
    relay_t *relay = arg;
    server_t *server;
    relay->servers_listed = true;
    object_cache_list_end(relay->object_cache, KIND_SERVERS, revision);
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        /* A list that is older than the entry does not prove it removed. */
        if (!server->removed &&
            server->list_generation != relay->servers->list_generation &&
            server->revision <= revision) {
            mark_server_missing(relay, server);
        }
    }
}

/* Servers that the list did not reach are not missing. */
static void
on_server_list_cut(void *arg, int64_t revision)
{
    relay_t *relay = arg;
    relay->servers_listed = true;
    object_cache_list_cut(relay->object_cache, KIND_SERVERS, revision);
}

/* ---- published weights ---- */

static void
on_weights(void *arg, const store_object_t *object)
{
    relay_t *relay = arg;
    published_weights_t weights;
    err_t err = {0};
    object_cache_put(relay->object_cache, KIND_WEIGHTS, object);
    if (object->removed) {
        return;
    }
    if (platform_weights_read(&weights, object, &err) != 0) {
        log_record(LOG_WARN, "weights", "unreadable", "why=\"%s\"",
                   str_escape(err.text));
        return;
    }
    weights_record_from_store(relay, weights.model, weights.version,
                              time_wall_ms());
}

static void
on_weights_list_begin(void *arg)
{
    relay_t *relay = arg;
    object_cache_list_begin(relay->object_cache, KIND_WEIGHTS);
}

static void
on_weights_list_end(void *arg, int64_t revision)
{
    relay_t *relay = arg;
    relay->weights_listed = true;
    relay->weights_partial = false;
    object_cache_list_end(relay->object_cache, KIND_WEIGHTS, revision);
}

static void
on_weights_list_cut(void *arg, int64_t revision)
{
    relay_t *relay = arg;
    relay->weights_listed = true;
    relay->weights_partial = true;
    object_cache_list_cut(relay->object_cache, KIND_WEIGHTS, revision);
}

static void
on_weights_update(void *arg)
{
    relay_t *relay = arg;
    object_cache_notify(relay->object_cache, KIND_WEIGHTS);
}

/* ---- watches ---- */

void
discovery_start(relay_t *relay)
{
    const char *store = relay->settings.store_addr;
    const watch_hooks_t shared = {.find_peer = find_peer_daemon,
                                  .find_upstream = find_upstream_daemon,
                                  .on_upstream_lost = on_upstream_lost,
                                  .arg = relay};
    watch_hooks_t config = shared;
    config.on_list_begin = on_config_list_begin;
    config.on_object = on_config;
    config.on_list_end = on_config_list_end;
    config.on_list_cut = on_config_list_cut;
    config.on_update = on_config_update;
    watch_hooks_t servers = shared;
    servers.on_list_begin = on_server_list_begin;
    servers.on_object = on_server;
    servers.on_list_end = on_server_list_end;
    servers.on_list_cut = on_server_list_cut;
    servers.on_update = on_servers_update;
    watch_hooks_t weights = shared;
    weights.on_list_begin = on_weights_list_begin;
    weights.on_object = on_weights;
    weights.on_list_end = on_weights_list_end;
    weights.on_list_cut = on_weights_list_cut;
    weights.on_update = on_weights_update;
    relay->object_cache = object_cache_new(relay);
    relay->config_watch = watch_start(relay->base, relay->exchanges, store,
                                      KIND_CONFIG, &config);
    relay->servers_watch = watch_start(relay->base, relay->exchanges, store,
                                       KIND_SERVERS, &servers);
    relay->weights_watch = watch_start(relay->base, relay->exchanges, store,
                                       KIND_WEIGHTS, &weights);
}

void
discovery_stop(relay_t *relay)
{
    watch_stop(relay->config_watch);
    watch_stop(relay->servers_watch);
    watch_stop(relay->weights_watch);
}

/* Records which software versions are listed.  All of them are known up to the
 * time at which the store confirmed the list, if it is whole. */
void
relay_note_software(relay_t *relay)
{
    int64_t wall = time_wall_ms();
    int64_t known = wall - watch_age_ms(relay->servers_watch, time_mono_ms());
    software_listed_update(&relay->software_listed, relay->servers);
    software_listed_note(&relay->software_listed, &relay->software_seen, wall);
    if (!watch_is_partial(relay->servers_watch)) {
        software_seen_cover(&relay->software_seen, known, known);
    }
    software_seen_forget(&relay->software_seen, wall - SOFTWARE_KEPT_MS);
}

/* Removes servers whose entries have not been written again after the store's
 * recovery. */
static void
remove_missing(relay_t *relay, int64_t now)
{
    server_t *server;
    if (!relay->servers->any_missing ||
        watch_is_recovering(relay->servers_watch, now)) {
        return;
    }
    relay->servers->any_missing = false;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (!server->removed && server->missing_since_ms != 0) {
            mark_server_gone(relay, server, "not-back");
        }
    }
}

/* Removes servers that stay missing, sends the probes that are due and frees
 * unused servers. */
void
discovery_tick(relay_t *relay)
{
    int64_t now = time_mono_ms();
    watch_tick(relay->config_watch, now);
    watch_tick(relay->servers_watch, now);
    watch_tick(relay->weights_watch, now);
    remove_missing(relay, now);
    if (relay->servers_listed &&
        now - watch_answered_ms(relay->servers_watch) < LIST_AGE_MS_MAX) {
        relay_note_software(relay);
    }
    software_record_compare(&relay->software_record, &relay->software_listed,
                            now);
    stream_origins_sweep(&relay->stream_origins, now);
    probes_tick(relay);
    servers_sweep(relay->servers);
}
