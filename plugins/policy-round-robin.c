#include "../kernel/tables.h"

/* Baseline: each candidate in turn, whatever it holds. */
static size_t
choose(const candidate_t *all, size_t count, const place_query_t *ask)
{
    (void)all;
    return ask->placement_count % count;
}

static policy_t policy = {.name = "round-robin",
                          .about = "each backend server in turn",
                          .choose = choose};

__attribute__((constructor)) static void
policy_round_robin_register(void)
{
    policy_register(&policy);
}
