#include "request-cost.h"

#include <math.h>

/* Lengths of responses differ by a factor of ten and hints are wrong by
 * factors, so both are compared as logarithms: there an error of the same
 * factor weighs the same for short and long responses, and outliers have
 * little effect.  Per route, estimates that give the hint different weights
 * are compared, and the weight with the smallest error is used. */

/* Observations that an average of tokens covers: few enough to follow a change
 * of load within a minute on a host with several requests a second, enough
 * that its own noise is small beside the spread of lengths. */
#define OUTPUT_MEMORY 64
/* Observations that an average of holds covers.  Holds change faster than
 * lengths, with the load of the servers. */
#define HOLD_MEMORY 32
/* Logarithmic differences are clamped to a factor of 16.  Lengths differ by
 * ten within a route, so larger factors are outliers. */
#define LOG_ERROR_MAX 2.77
/* An average of fewer observations does not show what an outlier is: the first
 * one may be. */
#define SETTLED_COUNT 8
/* An observation counts at most this many times the mean where totals matter.
 * Few lengths or holds of one route exceed four times their mean. */
#define OUTLIER_RATIO 4.0
/* Observations of a workspace that count as much as its route's mean.  With
 * fewer, workspaces that don't differ would get worse estimates from their own
 * first answers; at four the loss is at most 3 %. */
#define ROUTE_MEAN_COUNT 4.0
/* Before there are observations, a hint is assumed to be off by a factor of
 * e^0.5 and the mean by e, as if from so many observations. */
#define HINT_PRIOR_COUNT 8
#define HINT_PRIOR_ERROR 0.5
#define MEAN_PRIOR_ERROR 1.0
/* Scaling starts at 1, as if from so many observations, and is bounded: a
 * spread of lengths by a factor of ten calls for up to 1.5. */
#define SCALE_PRIOR_COUNT 8
#define SCALE_MIN 0.5
#define SCALE_MAX 2.0
/* Bound on an observation, tokens or ms, so that sums stay finite. */
#define OBSERVATION_MAX 1e9

/* ---- averages ---- */

static void
mean_add(cost_mean_t *mean, double value, unsigned memory)
{
    mean->count += mean->count < memory ? 1 : 0;
    mean->value += (value - mean->value) / mean->count;
}

/* Adds a value, reduced if it is an outlier. */
static void
mean_add_bounded(cost_mean_t *mean, double value, unsigned memory)
{
    double bound = mean->count > 0 ? mean->value * OUTLIER_RATIO : value;
    mean_add(mean, fmin(value, bound), memory);
}

static double
clamp(double value, double low, double high)
{
    return fmin(fmax(value, low), high);
}

/* Adds a logarithm, reduced if it is an outlier. */
static void
mean_add_log(cost_mean_t *mean, double log_value)
{
    double difference = log_value - mean->value;
    if (mean->count >= SETTLED_COUNT) {
        difference = clamp(difference, -LOG_ERROR_MAX, LOG_ERROR_MAX);
    }
    mean_add(mean, mean->value + difference, OUTPUT_MEMORY);
}

/* ---- tables ---- */

static const cost_route_t *
find_route(const request_costs_t *costs, uint64_t route)
{
    for (size_t i = 0; i < COST_ROUTES_MAX; i++) {
        if (costs->routes[i].used_at != 0 && costs->routes[i].route == route) {
            return &costs->routes[i];
        }
    }
    return NULL;
}

static double
weight_at(size_t index)
{
    return (double)index / (COST_HINT_WEIGHTS - 1);
}

static void
route_init(cost_route_t *entry, uint64_t route)
{
    *entry = (cost_route_t){.route = route};
    for (size_t i = 0; i < COST_HINT_WEIGHTS; i++) {
        entry->hint_errors[i] = (cost_mean_t){
            .value = MEAN_PRIOR_ERROR +
                     weight_at(i) * (HINT_PRIOR_ERROR - MEAN_PRIOR_ERROR),
            .count = HINT_PRIOR_COUNT};
    }
}

/* Returns the entry of a route, in place of the least recently used one if it
 * is new. */
static cost_route_t *
use_route(request_costs_t *costs, uint64_t route)
{
    cost_route_t *oldest = &costs->routes[0];
    cost_route_t *entry = NULL;
    for (size_t i = 0; i < COST_ROUTES_MAX && entry == NULL; i++) {
        cost_route_t *other = &costs->routes[i];
        if (other->used_at != 0 && other->route == route) {
            entry = other;
        }
        oldest = other->used_at < oldest->used_at ? other : oldest;
    }
    if (entry == NULL) {
        entry = oldest;
        route_init(entry, route);
    }
    entry->used_at = ++costs->uses;
    return entry;
}

/* Returns the index of the set of a pair (finalizer of splitmix64). */
static size_t
pair_set(uint64_t route, uint64_t workspace)
{
    uint64_t hash = route * 0x9e3779b97f4a7c15U + workspace;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebU;
    return (hash ^ (hash >> 31)) % COST_PAIR_SETS;
}

static const cost_pair_t *
find_pair(const request_costs_t *costs, const cost_query_t *query)
{
    const cost_pair_t *set =
        costs->pairs[pair_set(query->route, query->workspace)];
    for (size_t i = 0; i < COST_PAIRS_IN_SET; i++) {
        if (set[i].used_at != 0 && set[i].route == query->route &&
            set[i].workspace == query->workspace) {
            return &set[i];
        }
    }
    return NULL;
}

/* Returns the entry of a pair, in place of the least recently used one of its
 * set if it is new. */
static cost_pair_t *
use_pair(request_costs_t *costs, const cost_query_t *query)
{
    cost_pair_t *set = costs->pairs[pair_set(query->route, query->workspace)];
    cost_pair_t *oldest = &set[0];
    cost_pair_t *entry = NULL;
    for (size_t i = 0; i < COST_PAIRS_IN_SET && entry == NULL; i++) {
        if (set[i].used_at != 0 && set[i].route == query->route &&
            set[i].workspace == query->workspace) {
            entry = &set[i];
        }
        oldest = set[i].used_at < oldest->used_at ? &set[i] : oldest;
    }
    if (entry == NULL) {
        entry = oldest;
        *entry = (cost_pair_t){.route = query->route,
                               .workspace = query->workspace};
    }
    entry->used_at = ++costs->uses;
    return entry;
}

/* ---- estimates ---- */

/* Returns the mean logarithm of the output of a workspace, or of a route that
 * has been observed if its workspace has not. */
static double
mean_log(const request_costs_t *costs, const cost_route_t *route,
         const cost_query_t *query)
{
    const cost_pair_t *pair =
        query->workspace != 0 ? find_pair(costs, query) : NULL;
    if (pair == NULL) {
        return route->log_output.value;
    }
    return (pair->log_output.count * pair->log_output.value +
            ROUTE_MEAN_COUNT * route->log_output.value) /
           (pair->log_output.count + ROUTE_MEAN_COUNT);
}

/* Returns the factor from estimates without a hint to the mean output.  Means
 * of logarithms estimate a median, which is below the mean. */
static double
scale_factor(const cost_route_t *route)
{
    if (route->scale_estimate.count == 0) {
        return 1;
    }
    return clamp(route->scale_output.value / route->scale_estimate.value,
                 SCALE_MIN, SCALE_MAX);
}

/* Returns the logarithm of an estimate from the mean and a hint. */
static double
blend(double log_mean, uint32_t hint, double weight)
{
    double difference = log((double)hint) - log_mean;
    return log_mean +
           weight * clamp(difference, -LOG_ERROR_MAX, LOG_ERROR_MAX);
}

/* Returns the weight of the hint that has had the smallest error. */
static double
hint_weight(const cost_route_t *route)
{
    size_t best = 0;
    for (size_t i = 1; i < COST_HINT_WEIGHTS; i++) {
        if (route->hint_errors[i].value <= route->hint_errors[best].value) {
            best = i;
        }
    }
    return weight_at(best);
}

/* Returns the expected output of a route that has been observed. */
static double
estimate_output(const request_costs_t *costs, const cost_route_t *route,
                const cost_query_t *query)
{
    double log_tokens =
        mean_log(costs, route, query) + log(scale_factor(route));
    if (query->length_hint != 0) {
        log_tokens = blend(log_tokens, query->length_hint, hint_weight(route));
    }
    return fmax(1, exp(log_tokens));
}

/* Returns the expected output tokens of a request; 0 if nothing is known. */
double
request_cost_output(const request_costs_t *costs, const cost_query_t *query)
{
    const cost_route_t *route = find_route(costs, query->route);
    double tokens = query->length_hint;
    if (route != NULL && route->log_output.count > 0) {
        tokens = estimate_output(costs, route, query);
    }
    else if (query->length_hint == 0) {
        tokens = query->output_max / 2.0;
    }
    return query->output_max > 0 ? fmin(tokens, query->output_max) : tokens;
}

/* ---- observations ---- */

/* Updates the scaling.  Of an estimate and an output that differ by more than
 * OUTLIER_RATIO, the larger one is reduced. */
static void
observe_scale(cost_route_t *route, double log_estimate, double output)
{
    double estimate = fmin(exp(log_estimate), OUTLIER_RATIO * output);
    if (route->scale_estimate.count == 0) {
        const cost_mean_t prior = {.value = estimate,
                                   .count = SCALE_PRIOR_COUNT};
        route->scale_estimate = prior;
        route->scale_output = prior;
    }
    mean_add(&route->scale_estimate, estimate, OUTPUT_MEMORY);
    mean_add(&route->scale_output, fmin(output, OUTLIER_RATIO * estimate),
             OUTPUT_MEMORY);
}

/* Compares estimates with each weight of the hint to the output. */
static void
observe_hint(cost_route_t *route, double log_mean, uint32_t hint,
             double log_output)
{
    for (size_t i = 0; i < COST_HINT_WEIGHTS; i++) {
        double error = fabs(log_output - blend(log_mean, hint, weight_at(i)));
        mean_add(&route->hint_errors[i], fmin(error, LOG_ERROR_MAX),
                 OUTPUT_MEMORY);
    }
}

/* Adds the output of a complete response. */
void
request_cost_observe(request_costs_t *costs, const cost_query_t *query,
                     double output_tokens)
{
    double output = clamp(output_tokens, 1, OBSERVATION_MAX);
    double estimate = request_cost_output(costs, query);
    cost_route_t *route = use_route(costs, query->route);
    mean_add(&route->estimate, estimate, OUTPUT_MEMORY);
    mean_add(&route->output, output, OUTPUT_MEMORY);
    mean_add(&route->error, fabs(output - estimate), OUTPUT_MEMORY);
    if (route->log_output.count > 0) {
        double log_mean = mean_log(costs, route, query);
        if (query->length_hint != 0) {
            observe_hint(route, log_mean, query->length_hint, log(output));
        }
        observe_scale(route, log_mean, output);
    }
    mean_add_log(&route->log_output, log(output));
    if (query->workspace != 0) {
        mean_add_log(&use_pair(costs, query)->log_output, log(output));
    }
}

/* Starts a route that has not been observed with what is known of an older one
 * whose requests it gets. */
void
request_cost_inherit(request_costs_t *costs, uint64_t route, uint64_t older)
{
    const cost_route_t *known = find_route(costs, older);
    if (known == NULL || find_route(costs, route) != NULL) {
        return;
    }
    cost_route_t inherited = *known;
    cost_route_t *entry = use_route(costs, route);
    inherited.route = route;
    inherited.used_at = entry->used_at;
    *entry = inherited;
    for (size_t i = 0; i < COST_PAIR_SETS * COST_PAIRS_IN_SET; i++) {
        const cost_pair_t pair =
            costs->pairs[i / COST_PAIRS_IN_SET][i % COST_PAIRS_IN_SET];
        if (pair.used_at != 0 && pair.route == older) {
            const cost_query_t query = {.route = route,
                                        .workspace = pair.workspace};
            use_pair(costs, &query)->log_output = pair.log_output;
        }
    }
}

/* Returns the mean absolute error of the expected output of recent requests of
 * a route, tokens; 0 if there are none. */
double
request_cost_error(const request_costs_t *costs, uint64_t route)
{
    const cost_route_t *entry = find_route(costs, route);
    return entry != NULL ? entry->error.value : 0;
}

/* Returns the mean expected output of the same requests. */
double
request_cost_mean_estimate(const request_costs_t *costs, uint64_t route)
{
    const cost_route_t *entry = find_route(costs, route);
    return entry != NULL ? entry->estimate.value : 0;
}

/* Returns the mean output of the same requests. */
double
request_cost_mean_output(const request_costs_t *costs, uint64_t route)
{
    const cost_route_t *entry = find_route(costs, route);
    return entry != NULL ? entry->output.value : 0;
}

/* Adds the time that a request of a route has occupied its server: a slot of
 * an engine from the first event to the end, another server from the send to
 * the complete answer. */
void
request_cost_observe_hold(request_costs_t *costs, uint64_t route, double ms)
{
    mean_add_bounded(&use_route(costs, route)->hold_ms,
                     clamp(ms, 1, OBSERVATION_MAX), HOLD_MEMORY);
}

/* Returns the mean time that requests of a route occupy their server, ms; 0 if
 * it is unknown. */
double
request_cost_hold_ms(const request_costs_t *costs, uint64_t route)
{
    const cost_route_t *entry = find_route(costs, route);
    return entry != NULL ? entry->hold_ms.value : 0;
}
