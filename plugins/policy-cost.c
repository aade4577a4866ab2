#include "../kernel/tables.h"

#include <stdlib.h>

/* The project's own policy: the least cost of waiting and recomputing.  What
 * is recomputed delays everybody who comes behind, by 1/(1 - utilisation) in
 * a queue; that factor is taken from the waits themselves, since a wait over
 * the time of service is utilisation/(1 - utilisation).  So the busier the
 * servers are, the less a request is sent where its prefix is not held.
 * Where waste weighs more than time, recomputation counts several times
 * over.  A home computed by rendezvous is favoured while nobody is known to
 * hold anything, so that daemons that know nothing still agree. */

#define WASTE_WEIGHT_TAIL 1.0
#define WASTE_WEIGHT_HITS 3.0
#define HOME_TRUST 0.5
#define OTHER_DC_MS 1.0
#define SERVICE_LEAST_MS 10.0
#define FACTOR_MAX 12.0
#define CANDIDATES_SORTED 256

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

static int
compare_waits(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* 1/(1 - utilisation), from the median wait, so that one server that is
 * crowded by a hot prefix does not keep others from sharing it. */
static double
crowd_factor(const candidate_t *all, size_t count, const prefix_t *prefix)
{
    double waits[CANDIDATES_SORTED];
    double service = 1e9;
    size_t taken = count < CANDIDATES_SORTED ? count : CANDIDATES_SORTED;
    for (size_t i = 0; i < taken; i++) {
        double recompute = place_recompute_ms(&all[i], prefix);
        waits[i] = all[i].wait_ms;
        service = recompute < service ? recompute : service;
    }
    service = service < SERVICE_LEAST_MS ? SERVICE_LEAST_MS : service;
    qsort(waits, taken, sizeof(double), compare_waits);
    double factor = 1.0 + waits[(taken - 1) / 2] / service;
    return factor > FACTOR_MAX ? FACTOR_MAX : factor;
}

static double
cost_of(const candidate_t *candidate, const place_ask_t *ask, bool is_home,
        double factor)
{
    double weight = ask->objective == OBJECTIVE_CACHE_HITS ? WASTE_WEIGHT_HITS
                                                           : WASTE_WEIGHT_TAIL;
    double recompute = place_recompute_ms(candidate, ask->prefix);
    if (is_home && candidate->cached == 0) {
        recompute *= HOME_TRUST;
    }
    return candidate->wait_ms + weight * factor * recompute +
           (candidate->same_dc ? 0 : OTHER_DC_MS);
}

static size_t
choose(const candidate_t *all, size_t count, const place_ask_t *ask)
{
    size_t home = home_of(all, count);
    size_t best = home;
    double factor = crowd_factor(all, count, ask->prefix);
    double best_cost = cost_of(&all[home], ask, true, factor);
    for (size_t i = 0; i < count; i++) {
        double cost = cost_of(&all[i], ask, i == home, factor);
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
