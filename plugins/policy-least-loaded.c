#include "../kernel/tables.h"

/* Baseline: the shortest expected wait, regardless of cached prefixes.  Ties
 * are broken by the fewest running requests, then round robin. */
static size_t
choose(const candidate_t *candidates, size_t count, const place_query_t *query)
{
    size_t best = query->placement_count % count;
    for (size_t i = 0; i < count; i++) {
        if (candidates[i].wait_ms < candidates[best].wait_ms ||
            (candidates[i].wait_ms <= candidates[best].wait_ms &&
             candidates[i].running < candidates[best].running)) {
            best = i;
        }
    }
    return best;
}

static policy_t policy = {.name = "least-loaded",
                          .about = "the shortest expected wait",
                          .choose = choose};

__attribute__((constructor)) static void
policy_least_loaded_register(void)
{
    policy_register(&policy);
}
