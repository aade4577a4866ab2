#include "../kernel/tables.h"

/* The project's own policy: the least expected time to the first token, that
 * is the wait plus the time to recompute what is not held.  Where waste
 * weighs more than time, recomputation counts several times over.  A home
 * computed by rendezvous is favoured while nobody is known to hold anything,
 * so that daemons that know nothing still agree. */

#define WASTE_WEIGHT_TAIL 1.0
#define WASTE_WEIGHT_HITS 3.0
#define HOME_TRUST 0.5
#define OTHER_DC_MS 1.0

static size_t
home_of(const candidate_t *all, size_t count)
{
    size_t home = 0;
    for (size_t i = 1; i < count; i++) {
        if (all[i].rank > all[home].rank) {
            home = i;
        }
    }
    return home;
}

static double
cost_of(const candidate_t *candidate, const place_ask_t *ask, bool is_home)
{
    double weight = ask->objective == OBJECTIVE_HITS ? WASTE_WEIGHT_HITS
                                                     : WASTE_WEIGHT_TAIL;
    double recompute = place_recompute_ms(candidate, ask->prefix);
    if (is_home && candidate->cached == 0) {
        recompute *= HOME_TRUST;
    }
    return candidate->wait_ms + weight * recompute +
           (candidate->same_dc ? 0 : OTHER_DC_MS);
}

static size_t
choose(const candidate_t *all, size_t count, const place_ask_t *ask)
{
    size_t home = home_of(all, count);
    size_t best = home;
    double best_cost = cost_of(&all[home], ask, true);
    for (size_t i = 0; i < count; i++) {
        double cost = cost_of(&all[i], ask, i == home);
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
