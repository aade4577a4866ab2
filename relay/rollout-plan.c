#include "rollout-plan.h"

#include <string.h>

/* Share of a model's servers that may be updated at once.  The
 * platform's source of weights can serve about two ninths of them at full
 * speed.  A server drains before it loads, so only about half of the servers
 * being updated are loading at a time. */
#define ORDERED_SHARE 0.34

/* Returns how many of a model's servers may be updated at once. */
size_t
rollout_limit(size_t servers)
{
    size_t limit = (size_t)((double)servers * ORDERED_SHARE + 0.5);
    return limit > 0 ? limit : 1;
}

static bool
serves_model(const server_t *server, const char *model)
{
    return !server->removed && server->info.engine &&
           strcmp(server->info.model, model) == 0;
}

/* Counts the servers of a model and those of them that are being updated. */
size_t
rollout_count(servers_t *servers, const char *model, size_t *ordered)
{
    size_t count = 0;
    server_t *server;
    *ordered = 0;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (serves_model(server, model)) {
            count++;
            *ordered += server->updating ? 1 : 0;
        }
    }
    return count;
}

/* The order of updates: oldest weights, then fewest running and waiting
 * requests, then the id. */
static bool
is_updated_before(const server_t *a, const server_t *b)
{
    if (a->info.weights != b->info.weights) {
        return a->info.weights < b->info.weights;
    }
    int busy_a = a->reported_running + a->reported_waiting;
    int busy_b = b->reported_running + b->reported_waiting;
    if (busy_a != busy_b) {
        return busy_a < busy_b;
    }
    return strcmp(a->info.id, b->info.id) < 0;
}

/* Returns the next server to load a version: one on the oldest weights, and
 * of those the one with the fewest running and waiting requests. */
server_t *
rollout_pick(servers_t *servers, const char *model, int64_t version,
             int64_t now_ms)
{
    server_t *best = NULL;
    server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (!serves_model(server, model) || server->info.weights >= version ||
            server->updating || !server_is_usable(server, now_ms) ||
            now_ms < server->order_not_before_ms) {
            continue;
        }
        if (best == NULL || is_updated_before(server, best)) {
            best = server;
        }
    }
    return best;
}

/* Whether a draining server can be ordered to load now.  Draining keeps most
 * answers from being generated partly on one version and partly on another.
 * Longer answers are not waited for: one of them would keep the server from
 * all other requests, and the fleet from the new weights. */
bool
rollout_can_order(const server_t *server, int64_t drain_started_ms,
                  int64_t now_ms)
{
    return now_ms - drain_started_ms >= ROLLOUT_DRAIN_MS ||
           server_count_running(server, now_ms) == 0;
}
