#include "../kernel/tables.h"

/* Baseline: the shortest expected wait, whatever it holds; equal waits go by
 * the fewest running, then in turn. */
static size_t
choose(const candidate_t *all, size_t count, const place_query_t *ask)
{
    size_t best = ask->placement_count % count;
    for (size_t i = 0; i < count; i++) {
        if (all[i].wait_ms < all[best].wait_ms ||
            (all[i].wait_ms <= all[best].wait_ms &&
             all[i].running < all[best].running)) {
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
