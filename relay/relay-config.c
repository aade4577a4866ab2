#include "relay-config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

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
    for (size_t i = 0; i < CONFIG_BUCKETS; i++) {
        route_t *route;
        access_key_t *key;
        while ((route = CK_SLIST_FIRST(&config->routes[i])) != NULL) {
            CK_SLIST_REMOVE_HEAD(&config->routes[i], entry);
            free(route);
        }
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

/* Host names are compared without regard to case, so they are hashed in lower
 * case. */
static size_t
host_bucket(const char *host, size_t len)
{
    char lower[ROUTE_HOST_MAX];
    size_t hashed_len = len < sizeof(lower) ? len : sizeof(lower);
    for (size_t i = 0; i < hashed_len; i++) {
        char c = host[i];
        lower[i] = c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
    }
    return (size_t)(XXH3_64bits(lower, hashed_len) % CONFIG_BUCKETS);
}

static size_t
key_bucket(const char *key)
{
    return (size_t)(XXH3_64bits(key, strlen(key)) % CONFIG_BUCKETS);
}

/* Adds a route and takes ownership.  Routes with longer path prefixes come
 * first. */
void
relay_config_add_route(relay_config_t *config, route_t *route)
{
    route_list_t *list =
        &config->routes[host_bucket(route->host, strlen(route->host))];
    route_t *before = NULL;
    route_t *other;
    if (route->timeout_ms > config->longest_timeout_ms) {
        config->longest_timeout_ms = route->timeout_ms;
    }
    CK_SLIST_FOREACH (other, list, entry) {
        if (strlen(other->prefix) < strlen(route->prefix)) {
            break;
        }
        before = other;
    }
    if (before == NULL) {
        CK_SLIST_INSERT_HEAD(list, route, entry);
    }
    else {
        CK_SLIST_INSERT_AFTER(before, route, entry);
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

/* Returns the host's route with the longest prefix of the path, or NULL. */
const route_t *
relay_config_find_route(const relay_config_t *config, const char *host,
                        size_t host_len, const char *path, size_t path_len)
{
    const route_t *route;
    CK_SLIST_FOREACH (route, &config->routes[host_bucket(host, host_len)],
                      entry) {
        size_t prefix_len = strlen(route->prefix);
        if (strlen(route->host) == host_len &&
            strncasecmp(route->host, host, host_len) == 0 &&
            prefix_len <= path_len &&
            memcmp(route->prefix, path, prefix_len) == 0) {
            return route;
        }
    }
    return NULL;
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
