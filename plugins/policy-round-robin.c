#include "../kernel/tables.h"

/* Baseline: each candidate in turn, regardless of cached prefixes. */
static size_t
choose(const candidate_t *candidates, size_t count, const place_query_t *query)
{
    (void)candidates;
    return query->placement_count % count;
}

static policy_t policy = {.name = "round-robin",
                          .about = "each backend server in turn",
                          .choose = choose};

__attribute__((constructor)) static void
policy_round_robin_register(void)
{
    policy_register(&policy);
}
