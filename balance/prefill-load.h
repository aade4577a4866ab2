#ifndef CELERYSPOOL_PREFILL_LOAD_H
#define CELERYSPOOL_PREFILL_LOAD_H

/* Estimates how fast an engine prefills from the prompts that all hosts have
 * at it.  Zeroed memory is a valid empty state.  No I/O; times are passed in.
 */

#include "../kernel/base.h"

typedef struct {
    double outstanding; /* tokens sent, without a first output token yet */
    double token_ms;    /* outstanding over time, with forgetting */
    double sent;        /* tokens, with the same forgetting */
    double span_ms;     /* time that was observed, with the same */
    int64_t updated_ms; /* 0 if nothing was observed */
    double log_ratio;   /* of its time for work to the mean of its service */
} prefill_load_t;

/* What is known of a service's engines. */
typedef struct {
    double prompt_tokens;  /* mean number that an engine has to prefill */
    double first_token_ms; /* constant part of the time to a first token */
} prefill_service_t;

void prefill_load_set(prefill_load_t *load, double outstanding,
                      int64_t now_ms);
void prefill_load_skip(prefill_load_t *load, int64_t now_ms);
void prefill_load_add_sent(prefill_load_t *load, double tokens);
void prefill_load_cancel(prefill_load_t *load, double tokens,
                         double waited_ms);
double prefill_load_observations(const prefill_load_t *load,
                                 const prefill_service_t *service);
void prefill_loads_compare(prefill_load_t **loads, size_t count,
                           const prefill_service_t *service);

#endif
