#include "rollout-plan.h"

#include <string.h>

/* Share of a model's servers that load at once.  The platform's source of
 * weights bears about two ninths of them at full speed; a server first
 * finishes what it runs, so that of the servers that are ordered about half
 * are loading. */
#define LOADING_SHARE 0.34

/* How many of so many servers may be ordered at once. */
size_t
rollout_limit(size_t servers)
{
    size_t limit = (size_t)((double)servers * LOADING_SHARE + 0.5);
    return limit > 0 ? limit : 1;
}

static bool
serves(const server_t *server, const char *model)
{
    return !server->gone && server->info.engine &&
           strcmp(server->info.model, model) == 0;
}

/* How many servers have the model, and how many of them are being ordered. */
size_t
rollout_count(servers_t *servers, const char *model, size_t *loading)
{
    size_t count = 0;
    server_t *server;
    *loading = 0;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (serves(server, model)) {
            count++;
            *loading += server->ordered ? 1 : 0;
        }
    }
    return count;
}

static bool
comes_before(const server_t *a, const server_t *b)
{
    if (a->info.weights != b->info.weights) {
        return a->info.weights < b->info.weights;
    }
    int busy_a = a->load_running + a->load_waiting;
    int busy_b = b->load_running + b->load_waiting;
    if (busy_a != busy_b) {
        return busy_a < busy_b;
    }
    return strcmp(a->info.id, b->info.id) < 0;
}

/* The next server to load a version: the one on the oldest weights, among
 * equals the one that runs least. */
server_t *
rollout_pick(servers_t *servers, const char *model, int64_t version,
             int64_t now_ms)
{
    server_t *best = NULL;
    server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (!serves(server, model) || server->info.weights >= version ||
            server->ordered || !server_usable(server, now_ms) ||
            now_ms < server->order_after_ms) {
            continue;
        }
        if (best == NULL || comes_before(server, best)) {
            best = server;
        }
    }
    return best;
}

/* Whether a server to which nothing new goes since quiet_ms is ordered now.
 * It guards against answers that are made half on one version: most end in
 * this time.  The rest is not waited for, or one long answer would keep the
 * server from all others, and the fleet from the new weights. */
bool
rollout_can_order(const server_t *server, int64_t quiet_ms, int64_t now_ms)
{
    return now_ms - quiet_ms >= ROLLOUT_DRAIN_MS ||
           server_running(server, now_ms) == 0;
}
