#include "config-former.h"

#include <string.h>

/* Whether a route leads to a service now. */
static bool
leads_to(const route_t *route, uint64_t service)
{
    for (unsigned i = 0; i < route->split_count; i++) {
        if (str_hash(route->split[i].service, 0) == service) {
            return true;
        }
    }
    return false;
}

/* Adds a service to which paths of the route led. */
static void
add_former(route_t *route, uint64_t service, int64_t until_ms)
{
    if (leads_to(route, service)) {
        return;
    }
    for (unsigned i = 0; i < route->former_count; i++) {
        former_service_t *known = &route->former[i];
        if (known->service == service) {
            known->until_ms =
                until_ms > known->until_ms ? until_ms : known->until_ms;
            return;
        }
    }
    if (route->former_count < ROUTE_FORMER_MAX) {
        route->former[route->former_count++] =
            (former_service_t){.service = service, .until_ms = until_ms};
        return;
    }
    if (until_ms > route->former_omitted_until_ms) {
        route->former_omitted_until_ms = until_ms;
    }
}

/* Adds the services of an older route that had paths of this one. */
static void
add_older_route(route_t *route, const route_t *older, int64_t until_ms,
                int64_t now_ms)
{
    for (unsigned i = 0; i < older->split_count; i++) {
        add_former(route, str_hash(older->split[i].service, 0), until_ms);
    }
    for (unsigned i = 0; i < older->former_count; i++) {
        if (older->former[i].until_ms > now_ms) {
            add_former(route, older->former[i].service,
                       older->former[i].until_ms);
        }
    }
    if (older->former_omitted_until_ms > route->former_omitted_until_ms) {
        route->former_omitted_until_ms = older->former_omitted_until_ms;
    }
}

/* Returns the route of a configuration that gets the requests of another one's
 * prefix, or NULL. */
static const route_t *
find_same_paths(const relay_config_t *config, const route_t *route)
{
    return relay_config_find_route(config, route->host, strlen(route->host),
                                   route->prefix, strlen(route->prefix));
}

/* Records the longest timeout of requests that began before. */
static void
take_timeout(relay_config_t *config, const relay_config_t *older,
             int64_t now_ms)
{
    int64_t lasting_ms = config_former_timeout_ms(older, now_ms);
    int64_t until_ms =
        now_ms + older->longest_timeout_ms + REQUEST_BEGAN_MARGIN_MS;
    if (lasting_ms > config->longest_timeout_ms) {
        config->former_timeout_ms = lasting_ms;
        config->former_timeout_until_ms =
            until_ms > older->former_timeout_until_ms
                ? until_ms
                : older->former_timeout_until_ms;
    }
}

/* Takes over what a new configuration, which is not in force yet, has to
 * remember of the one that it replaces. */
void
config_former_take(relay_config_t *config, const relay_config_t *older,
                   int64_t now_ms)
{
    int64_t until_ms =
        now_ms + older->longest_timeout_ms + REQUEST_BEGAN_MARGIN_MS;
    take_timeout(config, older, now_ms);
    for (size_t i = 0; i < ROUTE_BUCKETS; i++) {
        route_t *route;
        const route_t *former;
        CK_SLIST_FOREACH (route, &config->routes[i], entry) {
            former = find_same_paths(older, route);
            if (former != NULL) {
                route->former_name = str_hash(former->name, 0);
                add_older_route(route, former, until_ms, now_ms);
            }
        }
        CK_SLIST_FOREACH (former, &older->routes[i], entry) {
            route = (route_t *)find_same_paths(config, former);
            if (route != NULL) {
                add_older_route(route, former, until_ms, now_ms);
            }
        }
    }
}

/* Returns the longest timeout of all requests that may be under way. */
int64_t
config_former_timeout_ms(const relay_config_t *config, int64_t now_ms)
{
    return now_ms < config->former_timeout_until_ms &&
                   config->former_timeout_ms > config->longest_timeout_ms
               ? config->former_timeout_ms
               : config->longest_timeout_ms;
}

/* Lists all services at which requests of the route that are under way may
 * have begun (hashes of their names).  Returns their number, or 0 if not all
 * of them are known. */
size_t
config_former_services(const route_t *route, int64_t now_ms,
                       uint64_t out[ROUTE_SERVICES_MAX])
{
    size_t count = 0;
    if (now_ms < route->former_omitted_until_ms) {
        return 0;
    }
    for (unsigned i = 0; i < route->split_count; i++) {
        out[count++] = str_hash(route->split[i].service, 0);
    }
    for (unsigned i = 0; i < route->former_count; i++) {
        if (now_ms < route->former[i].until_ms) {
            out[count++] = route->former[i].service;
        }
    }
    return count;
}
