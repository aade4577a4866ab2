#include "prefill-load.h"

#include <math.h>

/* Estimates the speed of engines under uneven load.  The time to the first
 * token of a prompt that finds an engine idle shows its speed, but an engine
 * that is slow for its share of the prompts is hardly ever idle, and a long
 * time may be queueing.
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
#define PRIOR_PROMPTS 10.0
/* Time of observation before an engine is compared: many hosts may send to one
 * that has just started. */
#define SPAN_MIN_MS 1000.0
/* Least mean time that a token is outstanding: clocks count milliseconds. */
#define OUTSTANDING_MIN_MS 1.0
/* Least part of the time outstanding that is not the constant part. */
#define WORK_SHARE_MIN 0.1
/* Bounds of a ratio: outside of these it is a fault, not a speed. */
#define RATIO_MAX 8.0

/* Sets the tokens that are outstanding from now on. */
void
prefill_load_set(prefill_load_t *load, double outstanding, int64_t now_ms)
{
    if (load->updated_ms != 0 && now_ms > load->updated_ms) {
        double keep =
            exp(-(double)(now_ms - load->updated_ms) / FORGETTING_MS);
        double elapsed_ms = FORGETTING_MS * (1 - keep);
        load->token_ms =
            load->token_ms * keep + load->outstanding * elapsed_ms;
        load->span_ms = load->span_ms * keep + elapsed_ms;
        load->sent *= keep;
    }
    load->outstanding = outstanding > 0 ? outstanding : 0;
    prefill_load_skip(load, now_ms);
}

/* Leaves out the time until now: the engine did not answer, which says nothing
 * of its speed. */
void
prefill_load_skip(prefill_load_t *load, int64_t now_ms)
{
    load->updated_ms = now_ms > load->updated_ms ? now_ms : load->updated_ms;
}

/* Counts tokens that a host has sent to the engine. */
void
prefill_load_add_sent(prefill_load_t *load, double tokens)
{
    load->sent += tokens;
}

/* Takes out tokens that the engine has not prefilled and no longer will, and
 * the time that they were outstanding.  A rejected prompt would count as one
 * that was prefilled in no time. */
void
prefill_load_cancel(prefill_load_t *load, double tokens, double waited_ms)
{
    load->sent = fmax(0, load->sent - tokens);
    load->token_ms = fmax(0, load->token_ms - tokens * waited_ms);
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
work_token_ms(const prefill_load_t *load, const prefill_service_t *service)
{
    double constant = load->sent * service->first_token_ms;
    double work =
        fmax(load->token_ms - constant, load->token_ms * WORK_SHARE_MIN);
    return fmax(work, load->sent * OUTSTANDING_MIN_MS);
}

/* Sets the logarithm of an engine's estimated prefill rate, tokens/ms; false
 * if it is not known. */
static bool
get_log_rate(const prefill_load_t *load, const prefill_service_t *service,
             double *log_rate)
{
    if (!(load->sent > 0) || load->span_ms < SPAN_MIN_MS ||
        !(service->prompt_tokens > 0)) {
        return false;
    }
    *log_rate =
        log(load->sent / load->span_ms + load->sent * service->prompt_tokens /
                                             work_token_ms(load, service));
    return true;
}

/* Returns the mean of the engines' logarithmic rates, by their prompts. */
static double
mean_log_rate(prefill_load_t **loads, size_t count,
              const prefill_service_t *service)
{
    double sum = 0;
    double weight = 0;
    for (size_t i = 0; i < count; i++) {
        double log_rate;
        if (get_log_rate(loads[i], service, &log_rate)) {
            double prompts = prefill_load_observations(loads[i], service);
            sum += prompts * log_rate;
            weight += prompts;
        }
    }
    return weight > 0 ? sum / weight : 0;
}

/* Returns the logarithm of an engine's ratio to a mean rate, shrunk to 0 while
 * few prompts are known. */
static double
shrunk_log_ratio(const prefill_load_t *load, const prefill_service_t *service,
                 double mean)
{
    double log_rate;
    if (!get_log_rate(load, service, &log_rate)) {
        return 0;
    }
    double prompts = prefill_load_observations(load, service);
    double ratio =
        fmax(-log(RATIO_MAX), fmin(mean - log_rate, log(RATIO_MAX)));
    return prompts / (prompts + PRIOR_PROMPTS) * ratio;
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
        loads[i]->log_ratio = shrunk_log_ratio(loads[i], service, mean);
        sum += loads[i]->log_ratio;
    }
    for (size_t i = 0; i < count; i++) {
        loads[i]->log_ratio -= sum / (double)count;
    }
}
