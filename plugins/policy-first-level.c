#include "../kernel/tables.h"

/* Baseline: rendezvous hashing of the first level, regardless of load. */
static size_t
choose(const candidate_t *candidates, size_t count, const place_query_t *query)
{
    uint64_t key = query->prefix->count > 0 ? query->prefix->levels[0].key : 0;
    size_t best = 0;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < count; i++) {
        uint64_t weight =
            place_rendezvous_weight(key, candidates[i].backend->name);
        if (i == 0 || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

static policy_t policy = {
    .name = "first-level",
    .about = "the highest rendezvous weight for the first level",
    .choose = choose};

__attribute__((constructor)) static void
policy_first_level_register(void)
{
    policy_register(&policy);
}
