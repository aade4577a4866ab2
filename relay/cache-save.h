#ifndef CELERYSPOOL_CACHE_SAVE_H
#define CELERYSPOOL_CACHE_SAVE_H

/* Decides which prompts are saved to a kv store.  No I/O and no clock. */

#include "../kernel/base.h"

/* Token bucket for this host's transfers over one store's link. */
typedef struct {
    double credit_tokens; /* may be transferred now; negative if overdrawn */
    int64_t refilled_ms;
} save_bucket_t;

typedef struct {
    double link_tokens_per_ms; /* capacity of the store's link; 0 unknown */
    size_t hosts;              /* that save to the store */
    bool same_dc;              /* server and store share a data centre */
    uint32_t shared_tokens;    /* shared tokens that the store lacks */
    uint32_t unshared_tokens;  /* sent along; no other request has them */
} save_params_t;

bool cache_save_allowed(save_bucket_t *bucket, const save_params_t *params,
                        int64_t now_ms);

#endif
