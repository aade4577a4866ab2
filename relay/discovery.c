#include "cache-source.h"
#include "object-cache.h"
#include "peers.h"
#include "relay.h"

#include <stdlib.h>
#include <string.h>

/* What this host believes of the platform's configuration, servers and named
 * weights, and how it learns it. */

/* An entry that lapsed while the store was away is written again within two
 * seconds of its return if its server lives; one that is still missing behind
 * that and a margin is gone, ms. */
#define RETURN_MS 2300

/* ---- configuration ---- */

/* The limits of the workspaces that the configuration names. */
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

/* A daemon only ever goes up in revisions: lists and watches may tell an
 * older state behind a newer one. */
static void
on_config(void *arg, const store_object_t *object)
{
    relay_t *relay = arg;
    err_t err = {0};
    object_cache_put(relay->objects, KIND_CONFIG, object);
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
        log_warn("config", "Version %lld came behind %lld; it is not taken.",
                 (long long)config->version,
                 (long long)relay->config->version);
        relay_config_release(config);
        return;
    }
    log_record(LOG_INFO, "config", "adopted", "version=%lld revision=%lld",
               (long long)config->version, (long long)config->revision);
    relay_config_release(relay->config);
    relay->config = config;
    cache_rooms(relay);
    set_quotas(relay);
}

static void
on_config_list(void *arg)
{
    relay_t *relay = arg;
    object_cache_list(relay->objects, KIND_CONFIG);
}

static void
on_config_listed(void *arg, int64_t at)
{
    relay_t *relay = arg;
    object_cache_listed(relay->objects, KIND_CONFIG, at);
}

static void
on_config_settled(void *arg)
{
    relay_t *relay = arg;
    object_cache_notify(relay->objects, KIND_CONFIG);
}

/* A daemon to ask while the store does not answer. */
static bool
other_daemon(void *arg, char addr[CS_ADDR_MAX])
{
    relay_t *relay = arg;
    return relay->peers != NULL && peers_any(relay->peers, addr);
}

/* The daemon that watches the store for this one too. */
static bool
upstream_daemon(void *arg, char addr[CS_ADDR_MAX])
{
    relay_t *relay = arg;
    return relay->peers != NULL && relay->stopping_ms == 0 &&
           peers_upstream(relay->peers, addr);
}

static void
upstream_lost(void *arg, const char *addr, bool answered)
{
    relay_t *relay = arg;
    peers_upstream_lost(relay->peers, addr, answered);
}

/* ---- servers ---- */

static void
server_gone(relay_t *relay, server_t *server, const char *why)
{
    log_record(LOG_INFO, "servers", "gone", "server=%s service=%s why=%s",
               server->info.id, server->info.service, why);
    server->gone = true;
    cache_forget(relay, server);
    exchanges_drop(relay->exchanges, server->info.addr);
}

/* Whether entries may be missing only because the store was away. */
static bool
store_recovering(const relay_t *relay, int64_t now)
{
    int64_t back = watch_back_ms(relay->servers_watch);
    return back != 0 && now - back < RETURN_MS;
}

static void
server_missing(relay_t *relay, server_t *server)
{
    int64_t now = time_mono_ms();
    if (!store_recovering(relay, now)) {
        server_gone(relay, server, "removed");
        return;
    }
    if (server->missing_ms == 0) {
        log_record(LOG_INFO, "servers", "missing", "server=%s",
                   server->info.id);
        server->missing_ms = now;
    }
}

static void
on_server_list(void *arg)
{
    relay_t *relay = arg;
    relay->servers->lists++;
    object_cache_list(relay->objects, KIND_SERVERS);
}

static void
on_servers_settled(void *arg)
{
    relay_t *relay = arg;
    object_cache_notify(relay->objects, KIND_SERVERS);
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

/* What was kept at a server is lost with a start or with other weights. */
static void
forget_if_renewed(relay_t *relay, const server_t *server,
                  const server_entry_t *entry)
{
    if (server->info.born_ms != entry->born_ms ||
        server->info.weights != entry->weights) {
        cache_forget(relay, server);
    }
}

/* Whether an entry says anything that was not known.  Lists that are read
 * again and again, as from another daemon while the store is away, would else
 * fill the records with what has not changed. */
static bool
is_news(const server_t *server, const server_entry_t *entry)
{
    return server == NULL || server->missing_ms != 0 ||
           server->info.draining != entry->draining ||
           server->info.weights != entry->weights ||
           server->info.born_ms != entry->born_ms ||
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
    object_cache_put(relay->objects, KIND_SERVERS, object);
    if (server != NULL && object->revision < server->revision) {
        return;
    }
    if (object->removed) {
        if (server != NULL) {
            server_missing(relay, server);
        }
        return;
    }
    if (platform_server_read(&entry, object, &err) != 0) {
        log_record(LOG_WARN, "servers", "unreadable", "why=\"%s\"", err.text);
        return;
    }
    if (server != NULL) {
        forget_if_renewed(relay, server, &entry);
    }
    bool news = is_news(server, &entry);
    server = servers_put(relay->servers, &entry);
    if (server == NULL) {
        log_error("servers", "There is no room for %s.", entry.id);
        return;
    }
    server->revision = object->revision;
    cache_room(relay, server);
    if (news) {
        log_server(server);
    }
}

static void
on_servers_listed(void *arg, int64_t at)
{
    relay_t *relay = arg;
    server_t *server;
    relay->servers_listed = true;
    object_cache_listed(relay->objects, KIND_SERVERS, at);
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        /* A list that is older than the entry says nothing of it. */
        if (!server->gone && server->seen != relay->servers->lists &&
            server->revision <= at) {
            server_missing(relay, server);
        }
    }
}

/* ---- named weights ---- */

static void
on_weights(void *arg, const store_object_t *object)
{
    relay_t *relay = arg;
    weights_name_t name;
    err_t err = {0};
    object_cache_put(relay->objects, KIND_WEIGHTS, object);
    if (object->removed) {
        return;
    }
    if (platform_weights_read(&name, object, &err) != 0) {
        log_record(LOG_WARN, "weights", "unreadable", "why=\"%s\"", err.text);
        return;
    }
    weights_observe(relay, name.model, name.version, time_wall_ms());
}

static void
on_weights_list(void *arg)
{
    relay_t *relay = arg;
    object_cache_list(relay->objects, KIND_WEIGHTS);
}

static void
on_weights_listed(void *arg, int64_t at)
{
    relay_t *relay = arg;
    relay->weights_listed = true;
    object_cache_listed(relay->objects, KIND_WEIGHTS, at);
}

static void
on_weights_settled(void *arg)
{
    relay_t *relay = arg;
    object_cache_notify(relay->objects, KIND_WEIGHTS);
}

/* ---- all of it ---- */

void
discovery_start(relay_t *relay)
{
    const char *store = relay->settings.store_addr;
    const watch_hooks_t shared = {.other = other_daemon,
                                  .upstream = upstream_daemon,
                                  .upstream_lost = upstream_lost,
                                  .arg = relay};
    watch_hooks_t config = shared;
    config.on_list = on_config_list;
    config.on_object = on_config;
    config.on_listed = on_config_listed;
    config.on_settled = on_config_settled;
    watch_hooks_t servers = shared;
    servers.on_list = on_server_list;
    servers.on_object = on_server;
    servers.on_listed = on_servers_listed;
    servers.on_settled = on_servers_settled;
    watch_hooks_t weights = shared;
    weights.on_list = on_weights_list;
    weights.on_object = on_weights;
    weights.on_listed = on_weights_listed;
    weights.on_settled = on_weights_settled;
    relay->objects = object_cache_new(relay);
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

/* Entries that were missing when the store came back and have not come back
 * themselves are gone. */
void
discovery_tick(relay_t *relay)
{
    int64_t now = time_mono_ms();
    server_t *server;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (!server->gone && server->missing_ms != 0 &&
            !store_recovering(relay, now)) {
            server_gone(relay, server, "not-back");
        }
    }
    probes_tick(relay);
    servers_sweep(relay->servers);
}
