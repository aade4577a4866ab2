#include "relay-config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

/* An urgent route whose target is at most this share of a less urgent one's
 * cannot wait until one of the less urgent requests has been prefilled. */
#define PRIORITY_TARGET_SHARE 0.5

relay_config_t *
relay_config_new(void)
{
    relay_config_t *config = mem_zalloc(sizeof(*config));
    config->refs = 1;
    return config;
}

relay_config_t *
relay_config_hold(relay_config_t *config)
{
    config->refs++;
    return config;
}

static void
config_free(relay_config_t *config)
{
    for (size_t i = 0; i < ROUTE_BUCKETS; i++) {
        route_t *route;
        while ((route = CK_SLIST_FIRST(&config->routes[i])) != NULL) {
            CK_SLIST_REMOVE_HEAD(&config->routes[i], entry);
            free(route);
        }
    }
    for (size_t i = 0; i < CONFIG_BUCKETS; i++) {
        access_key_t *key;
        while ((key = CK_SLIST_FIRST(&config->keys[i])) != NULL) {
            CK_SLIST_REMOVE_HEAD(&config->keys[i], entry);
            free(key);
        }
    }
    relay_service_t *service;
    while ((service = CK_SLIST_FIRST(&config->services)) != NULL) {
        CK_SLIST_REMOVE_HEAD(&config->services, entry);
        free(service);
    }
    free(config->workspaces);
    free(config);
}

/* Drops a reference.  Each request holds the configuration under which it
 * arrived, so the last one frees a replaced configuration. */
void
relay_config_release(relay_config_t *config)
{
    if (config != NULL && --config->refs == 0) {
        config_free(config);
    }
}

static bool
route_uses_service(const route_t *route, const char *service)
{
    for (unsigned i = 0; i < route->split_count; i++) {
        if (strcmp(route->split[i].service, service) == 0) {
            return true;
        }
    }
    return false;
}

/* Marks a service if its most urgent routes have a target of at most
 * PRIORITY_TARGET_SHARE of that of a less urgent route. */
static void
mark_priority_service(const relay_config_t *config, relay_service_t *service)
{
    int target_ms[PRIORITY_CLASSES] = {0};
    for (size_t i = 0; i < ROUTE_BUCKETS; i++) {
        const route_t *route;
        CK_SLIST_FOREACH (route, &config->routes[i], entry) {
            unsigned class = priority_class(route->priority);
            if (route->kind == ROUTE_STREAM && route->target_latency_ms > 0 &&
                route_uses_service(route, service->name) &&
                (target_ms[class] == 0 ||
                 route->target_latency_ms < target_ms[class])) {
                target_ms[class] = route->target_latency_ms;
            }
        }
    }
    unsigned first = 0;
    while (first < PRIORITY_CLASSES && target_ms[first] == 0) {
        first++;
    }
    service->most_urgent_class = first;
    for (unsigned i = first + 1; i < PRIORITY_CLASSES; i++) {
        if (target_ms[first] <= target_ms[i] * PRIORITY_TARGET_SHARE) {
            service->priority_admission = true;
            service->priority_order = true;
        }
    }
}

/* Marks the services whose engines admit requests by priority.
 *
 * Otherwise a request is rejected if its expected wait is too large a share of
 * its own target.  Where urgent requests have much shorter targets than the
 * others, that rejects the urgent ones first. */
void
relay_config_mark_priority_services(relay_config_t *config)
{
    relay_service_t *service;
    CK_SLIST_FOREACH (service, &config->services, entry) {
        if (service->engine) {
            mark_priority_service(config, service);
        }
    }
}

/* Sets which workspaces share cached parts.  The order of the workspaces makes
 * no difference. */
void
relay_config_set_sharing(relay_config_t *config)
{
    config->isolated_hash = 0;
    for (size_t i = 0; i < config->workspace_count; i++) {
        const workspace_entry_t *workspace = &config->workspaces[i];
        if (workspace->isolated) {
            config->isolated_hash +=
                XXH3_64bits(workspace->name, strlen(workspace->name)) | 1;
        }
    }
}

/* Writes the name of the group in which a workspace, or NULL, shares cached
 * parts.  An isolated one is a group of its own.  That of all others depends
 * on which are isolated: what a workspace has cached among them must be out of
 * their reach once it is isolated. */
void
relay_config_sharing_group(const relay_config_t *config,
                           const workspace_entry_t *workspace,
                           char out[SHARING_GROUP_MAX])
{
    if (workspace != NULL && workspace->isolated) {
        str_copy(out, SHARING_GROUP_MAX, workspace->name);
        return;
    }
    out[0] = '\0';
    if (config->isolated_hash != 0) {
        (void)snprintf(out, SHARING_GROUP_MAX, "/%016llx",
                       (unsigned long long)config->isolated_hash);
    }
}

static const workspace_entry_t *
find_workspace_named(const relay_config_t *config, const char *name)
{
    for (size_t i = 0; i < config->workspace_count; i++) {
        if (strcmp(config->workspaces[i].name, name) == 0) {
            return &config->workspaces[i];
        }
    }
    return NULL;
}

/* The same for a workspace of another configuration.  One that this
 * configuration does not have shares with no other. */
void
relay_config_sharing_group_of(const relay_config_t *config,
                              const char *workspace,
                              char out[SHARING_GROUP_MAX])
{
    const workspace_entry_t *entry = find_workspace_named(config, workspace);
    if (entry == NULL) {
        str_copy(out, SHARING_GROUP_MAX, workspace);
        return;
    }
    relay_config_sharing_group(config, entry, out);
}

/* Returns the bucket of the routes with a host and a prefix.  Host names are
 * compared without regard to case, so they are hashed in lower case. */
static size_t
route_bucket(const char *host, size_t host_len, const char *prefix,
             size_t prefix_len)
{
    char lower[ROUTE_HOST_MAX];
    size_t hashed_len = host_len < sizeof(lower) ? host_len : sizeof(lower);
    for (size_t i = 0; i < hashed_len; i++) {
        char c = host[i];
        lower[i] = c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
    }
    XXH64_hash_t seed = XXH3_64bits(lower, hashed_len);
    return (size_t)(XXH3_64bits_withSeed(prefix, prefix_len, seed) %
                    ROUTE_BUCKETS);
}

static size_t
key_bucket(const char *key)
{
    return (size_t)(XXH3_64bits(key, strlen(key)) % CONFIG_BUCKETS);
}

/* Adds a route and takes ownership.  Of two with the same host and prefix the
 * first one is used. */
void
relay_config_add_route(relay_config_t *config, route_t *route)
{
    size_t host_len = strlen(route->host);
    size_t prefix_len = strlen(route->prefix);
    route_list_t *list = &config->routes[route_bucket(
        route->host, host_len, route->prefix, prefix_len)];
    route_t *last = NULL;
    route_t *other;
    if (route->timeout_ms > config->longest_timeout_ms) {
        config->longest_timeout_ms = route->timeout_ms;
    }
    if (prefix_len > config->longest_prefix) {
        config->longest_prefix = prefix_len;
    }
    CK_SLIST_FOREACH (other, list, entry) {
        last = other;
    }
    if (last == NULL) {
        CK_SLIST_INSERT_HEAD(list, route, entry);
    }
    else {
        CK_SLIST_INSERT_AFTER(last, route, entry);
    }
}

void
relay_config_add_key(relay_config_t *config, const char *key,
                     const workspace_entry_t *workspace)
{
    access_key_t *entry = mem_zalloc(sizeof(*entry));
    str_copy(entry->key, sizeof(entry->key), key);
    entry->workspace = workspace;
    CK_SLIST_INSERT_HEAD(&config->keys[key_bucket(key)], entry, entry);
}

static const route_t *
find_route_with_prefix(const relay_config_t *config, const char *host,
                       size_t host_len, const char *prefix, size_t prefix_len)
{
    const route_t *route;
    size_t bucket = route_bucket(host, host_len, prefix, prefix_len);
    CK_SLIST_FOREACH (route, &config->routes[bucket], entry) {
        if (strlen(route->prefix) == prefix_len &&
            memcmp(route->prefix, prefix, prefix_len) == 0 &&
            strlen(route->host) == host_len &&
            strncasecmp(route->host, host, host_len) == 0) {
            return route;
        }
    }
    return NULL;
}

/* Returns the host's route with the longest prefix of the path, or NULL. */
const route_t *
relay_config_find_route(const relay_config_t *config, const char *host,
                        size_t host_len, const char *path, size_t path_len)
{
    size_t len =
        path_len < config->longest_prefix ? path_len : config->longest_prefix;
    for (;; len--) {
        const route_t *route =
            find_route_with_prefix(config, host, host_len, path, len);
        if (route != NULL || len == 0) {
            return route;
        }
    }
}

/* Returns the workspace of an access key, or NULL. */
const workspace_entry_t *
relay_config_find_workspace(const relay_config_t *config, const char *key)
{
    const access_key_t *entry;
    CK_SLIST_FOREACH (entry, &config->keys[key_bucket(key)], entry) {
        if (strcmp(entry->key, key) == 0) {
            return entry->workspace;
        }
    }
    return NULL;
}

const relay_service_t *
relay_config_find_service(const relay_config_t *config, const char *name)
{
    const relay_service_t *service;
    CK_SLIST_FOREACH (service, &config->services, entry) {
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

/* Chooses a service by the weights of the route's traffic split.  The same
 * random number gives the same service while the split does not change. */
const char *
route_pick_service(const route_t *route, uint64_t random)
{
    uint64_t total = 0;
    for (unsigned i = 0; i < route->split_count; i++) {
        total += (uint64_t)route->split[i].weight;
    }
    if (total == 0) {
        return route->split_count > 0 ? route->split[0].service : "";
    }
    uint64_t remainder = random % total;
    for (unsigned i = 0; i < route->split_count; i++) {
        if (remainder < (uint64_t)route->split[i].weight) {
            return route->split[i].service;
        }
        remainder -= (uint64_t)route->split[i].weight;
    }
    return route->split[0].service;
}
