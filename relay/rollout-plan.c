#include "rollout-plan.h"

#include <string.h>

/* Share of a model's servers that may be updated at once.  The
 * platform's source of weights can serve about two ninths of them at full
 * speed.  A server drains before it loads, so only about half of the servers
 * being updated are loading at a time. */
#define ORDERED_SHARE 0.34
/* Longest time from the state that a report shows to the arrival of the order:
 * reports lag by some hundred ms. */
#define REPORT_AGE_MS 600
/* Share of a server's slots that may be taken if its requests are to go on.
 * The others are for requests that arrive before the order. */
#define SLOTS_SHARE 0.75

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

/* Whether a draining server can be ordered to load now, if the requests that
 * still run there may go on.  Draining keeps most answers from being generated
 * partly on one version and partly on another.  Longer answers are not waited
 * for: one of them would keep the server from all other requests, and the
 * fleet from the new weights. */
bool
rollout_can_order(const server_t *server, int64_t drain_started_ms,
                  int64_t now_ms)
{
    return now_ms - drain_started_ms >= ROLLOUT_DRAIN_MS ||
           server_count_running(server, now_ms) == 0;
}

/* Whether no request is preempted at a server, and none will be before an
 * order arrives there: the memory that is free suffices for all prompts that
 * can be prefilled until then. */
static bool
is_free_of_preemption(const server_report_t *report, int slots,
                      double rate_max)
{
    double free_tokens = (double)(report->memory_total - report->memory_used);
    return report->waiting == 0 && report->running <= SLOTS_SHARE * slots &&
           free_tokens >= rate_max * REPORT_AGE_MS;
}

/* Decides by a server's own report whether its running requests may go on
 * through a load.  rate_max is the highest rate at which it may prefill,
 * tokens/ms.
 *
 * A request that is preempted before the load and prefilled after it is
 * prefilled by the newer weights, but cached under the salt of the older ones.
 * Servers that are still on these fetch its parts, and no server or kv store
 * shows which weights made a part.  So requests go on only where none is
 * preempted; a load that waits for them is always safe, but may keep the
 * server from all requests for seconds. */
rollout_decision_t
rollout_decide(const server_report_t *report, int slots, double rate_max,
               int64_t drained_ms)
{
    if (is_free_of_preemption(report, slots, rate_max)) {
        return ROLLOUT_ORDER_KEEP;
    }
    return drained_ms >= ROLLOUT_DRAIN_MAX_MS ? ROLLOUT_ORDER_WAIT
                                              : ROLLOUT_DRAIN;
}
