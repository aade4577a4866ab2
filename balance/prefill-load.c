#include "prefill-load.h"

#include <math.h>

/* Answers uneven servers under load.  The time to the first token of a prompt
 * that finds an engine idle shows its speed, but an engine that is slow for
 * its share of the prompts is hardly ever idle, and a long time may be
 * queueing.
 *
 * Hosts announce the tokens that they have sent to each engine and those that
 * are not prefilled yet.  By Little's law, the mean number outstanding is the
 * rate of tokens sent times the mean time that a token is outstanding,
 * whatever the arrivals and the order of service, and however seldom hosts
 * announce. In a queue with random arrivals, the mean number outstanding is b
 * u/(1 - u) for utilisation u and prompts of b tokens.  So u follows from it,
 * and the engine's rate is the rate of tokens sent divided by u. */

/* Time constant of the sums: some tens of prompts arrive at an engine in it,
 * and an engine that has become slow is avoided before callers give up. */
#define FORGETTING_MS 15000.0
/* Prompts at the mean rate that are assumed at each engine, so that a few slow
 * prompts do not exclude it. */
#define ASSUMED_PROMPTS 10.0
/* Least part of the time outstanding that is not the constant part. */
#define WORK_SHARE_MIN 0.1
/* Bounds of a ratio: outside of these it is a fault, not a speed. */
#define RATIO_MAX 8.0

static void
forget(prefill_load_t *load, double elapsed_ms)
{
    double keep = exp(-elapsed_ms / FORGETTING_MS);
    load->area *= keep;
    load->sent *= keep;
    load->span_ms *= keep;
}

/* Sets the tokens that are outstanding from now on. */
void
prefill_load_set(prefill_load_t *load, double outstanding, int64_t now_ms)
{
    double elapsed_ms =
        load->updated_ms == 0 ? 0 : (double)(now_ms - load->updated_ms);
    if (elapsed_ms > 0) {
        forget(load, elapsed_ms);
        load->area += load->outstanding * elapsed_ms;
        load->span_ms += elapsed_ms;
    }
    load->outstanding = outstanding > 0 ? outstanding : 0;
    load->updated_ms = now_ms;
}

/* Leaves out the time until now: the engine did not answer, which says nothing
 * of its speed. */
void
prefill_load_skip(prefill_load_t *load, int64_t now_ms)
{
    load->updated_ms = now_ms;
}

/* Counts tokens that a host has sent to the engine. */
void
prefill_load_add_sent(prefill_load_t *load, double tokens)
{
    load->sent += tokens;
}

/* Returns the number of prompts behind the estimate. */
double
prefill_load_observations(const prefill_load_t *load,
                          const prefill_service_t *service)
{
    return service->prompt_tokens > 0 ? load->sent / service->prompt_tokens
                                      : 0;
}

/* Returns the time that a load's tokens were outstanding, token ms, without
 * the constant part. */
static double
work_area(const prefill_load_t *load, const prefill_service_t *service)
{
    double constant = load->sent * service->first_token_ms;
    return fmax(load->area - constant, load->area * WORK_SHARE_MIN);
}

/* Returns the logarithm of an engine's estimated prefill rate, tokens/ms, or 0
 * if nothing is known. */
static double
log_rate(const prefill_load_t *load, const prefill_service_t *service)
{
    double area = work_area(load, service);
    if (!(load->sent > 0) || !(load->span_ms > 0) || !(area > 0)) {
        return 0;
    }
    return log(load->sent / load->span_ms +
               load->sent * service->prompt_tokens / area);
}

/* Returns the mean of the engines' logarithmic rates, by their prompts. */
static double
mean_log_rate(prefill_load_t **loads, size_t count,
              const prefill_service_t *service)
{
    double sum = 0;
    double weight = 0;
    for (size_t i = 0; i < count; i++) {
        double observations = prefill_load_observations(loads[i], service);
        sum += observations * log_rate(loads[i], service);
        weight += observations;
    }
    return weight > 0 ? sum / weight : 0;
}

/* Returns the logarithm of an engine's ratio to a rate, drawn to 0 while few
 * prompts are known. */
static double
drawn_log_ratio(const prefill_load_t *load, const prefill_service_t *service,
                double mean)
{
    double observations = prefill_load_observations(load, service);
    double share = observations / (observations + ASSUMED_PROMPTS);
    double ratio = mean - log_rate(load, service);
    return share * fmax(-log(RATIO_MAX), fmin(ratio, log(RATIO_MAX)));
}

/* Sets the ratio of each of a service's engines: 1.7 takes 1.7 times as long
 * for its work as the mean of them. */
void
prefill_loads_compare(prefill_load_t **loads, size_t count,
                      const prefill_service_t *service)
{
    double mean = mean_log_rate(loads, count, service);
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        loads[i]->log_ratio = drawn_log_ratio(loads[i], service, mean);
        sum += loads[i]->log_ratio;
    }
    for (size_t i = 0; i < count; i++) {
        loads[i]->log_ratio -= sum / (double)count;
    }
}
