#include "../kernel/tables.h"

#include <stdlib.h>

/* The default policy: the lowest cost of waiting plus recomputation.
 * Recomputed tokens also delay all later requests in the queue, by a factor of
 * 1/(1 - utilisation).  The factor is estimated from the waits, since a wait
 * divided by the service time is utilisation/(1 - utilisation).  The busier
 * the servers are, the less likely a request goes to one without its prefix.
 * If the objective is cache hits, recomputation weighs more.  The server with
 * the highest rendezvous weight gets a discount while it holds nothing of the
 * prompt, so that daemons without cache information choose the same one. */

#define RECOMPUTE_WEIGHT_TAIL 1.0
#define RECOMPUTE_WEIGHT_HITS 3.0
#define PREFERRED_COST_RATIO 0.5
#define REMOTE_DC_COST_MS 1.0
#define SERVICE_TIME_MIN_MS 10.0
#define FACTOR_MAX 12.0
#define CANDIDATES_SORTED_MAX 256

static size_t
find_preferred(const candidate_t *candidates, size_t count)
{
    size_t preferred = 0;
    for (size_t i = 1; i < count; i++) {
        if (candidates[i].rendezvous_weight >
            candidates[preferred].rendezvous_weight) {
            preferred = i;
        }
    }
    return preferred;
}

static int
compare_waits(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Estimates 1/(1 - utilisation).  Uses the median wait: with the mean, one
 * overloaded server would raise the cost of recomputation everywhere, and a
 * popular prefix would never be placed on a second server. */
static double
utilisation_factor(const candidate_t *candidates, size_t count,
                   const prefix_t *prefix)
{
    double waits[CANDIDATES_SORTED_MAX];
    double service_ms = 1e9;
    size_t sampled =
        count < CANDIDATES_SORTED_MAX ? count : CANDIDATES_SORTED_MAX;
    for (size_t i = 0; i < sampled; i++) {
        double prefill_ms = place_prefill_ms(&candidates[i], prefix);
        waits[i] = candidates[i].wait_ms;
        service_ms = prefill_ms < service_ms ? prefill_ms : service_ms;
    }
    service_ms =
        service_ms < SERVICE_TIME_MIN_MS ? SERVICE_TIME_MIN_MS : service_ms;
    qsort(waits, sampled, sizeof(double), compare_waits);
    double factor = 1.0 + waits[(sampled - 1) / 2] / service_ms;
    return factor > FACTOR_MAX ? FACTOR_MAX : factor;
}

static double
estimate_cost(const candidate_t *candidate, const place_query_t *query,
              bool is_preferred, double factor)
{
    double weight = query->objective == OBJECTIVE_CACHE_HITS
                        ? RECOMPUTE_WEIGHT_HITS
                        : RECOMPUTE_WEIGHT_TAIL;
    double prefill_ms = place_prefill_ms(candidate, query->prefix);
    if (is_preferred && candidate->cached_tokens == 0) {
        prefill_ms *= PREFERRED_COST_RATIO;
    }
    return candidate->wait_ms + weight * factor * prefill_ms +
           (candidate->same_dc ? 0 : REMOTE_DC_COST_MS);
}

static size_t
choose(const candidate_t *candidates, size_t count, const place_query_t *query)
{
    size_t preferred = find_preferred(candidates, count);
    size_t best = preferred;
    double factor = utilisation_factor(candidates, count, query->prefix);
    double best_cost =
        estimate_cost(&candidates[preferred], query, true, factor);
    for (size_t i = 0; i < count; i++) {
        double cost =
            estimate_cost(&candidates[i], query, i == preferred, factor);
        if (cost < best_cost) {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

static policy_t policy = {.name = "cost",
                          .about = "least wait plus recomputation",
                          .choose = choose};

__attribute__((constructor)) static void
policy_cost_register(void)
{
    policy_register(&policy);
}
