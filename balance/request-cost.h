#ifndef CELERYSPOOL_REQUEST_COST_H
#define CELERYSPOOL_REQUEST_COST_H

/* Estimates what requests cost their servers, learned from the answers that
 * this host has passed on.  Zeroed memory is a valid empty state.  No I/O and
 * no clock. */

#include "../kernel/base.h"

/* Most routes with state; a configuration has a few dozen. */
#define COST_ROUTES_MAX 64
/* Pairs of a route and a workspace are kept in sets, so that a look-up takes
 * the same short time for any number of workspaces.  1,024 pairs are the
 * answers of more than a minute on a host with 13 requests a second. */
#define COST_PAIR_SETS 128
#define COST_PAIRS_IN_SET 8
/* Weights of the hint that are compared: 0, 1/4, 1/2, 3/4 and 1. */
#define COST_HINT_WEIGHTS 5

typedef struct {
    uint64_t route;     /* hash of its name */
    uint64_t workspace; /* hash of its name; 0 for none */
    uint32_t prompt_tokens;
    uint32_t output_max;  /* 0 if unknown */
    uint32_t length_hint; /* 0 for none */
} cost_query_t;

/* A moving average, at first the plain mean of the observations. */
typedef struct {
    double value;
    unsigned count; /* of observations, up to the length of the average */
} cost_mean_t;

typedef struct {
    uint64_t route;
    uint64_t used_at;       /* value of uses at the last use; 0: empty */
    cost_mean_t log_output; /* logarithm of the output tokens */
    /* Logarithmic errors of estimates with each weight of the hint. */
    cost_mean_t hint_errors[COST_HINT_WEIGHTS];
    /* Estimates without a hint, before scaling, and the outputs of the same
     * requests, tokens. */
    cost_mean_t scale_estimate;
    cost_mean_t scale_output;
    cost_mean_t error;    /* absolute, of the estimate, tokens */
    cost_mean_t estimate; /* tokens */
    cost_mean_t output;   /* tokens */
    cost_mean_t hold_ms;
} cost_route_t;

typedef struct {
    uint64_t route;
    uint64_t workspace;
    uint64_t used_at; /* as above */
    cost_mean_t log_output;
} cost_pair_t;

typedef struct {
    uint64_t uses; /* orders the entries by their last use */
    cost_route_t routes[COST_ROUTES_MAX];
    cost_pair_t pairs[COST_PAIR_SETS][COST_PAIRS_IN_SET];
} request_costs_t;

double request_cost_output(const request_costs_t *costs,
                           const cost_query_t *query);
void request_cost_observe(request_costs_t *costs, const cost_query_t *query,
                          double output_tokens);
void request_cost_inherit(request_costs_t *costs, uint64_t route,
                          uint64_t older);
double request_cost_error(const request_costs_t *costs, uint64_t route);
double request_cost_mean_estimate(const request_costs_t *costs,
                                  uint64_t route);
double request_cost_mean_output(const request_costs_t *costs, uint64_t route);
void request_cost_observe_hold(request_costs_t *costs, uint64_t route,
                               double ms);
double request_cost_hold_ms(const request_costs_t *costs, uint64_t route);

#endif
