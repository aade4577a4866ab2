#ifndef CELERYSPOOL_CACHE_SAVE_H
#define CELERYSPOOL_CACHE_SAVE_H

/* Which prompts a kv store is to take. No I/O and no clock. */

#include "../kernel/base.h"

/* This host's share of the transfers over one store's link. */
typedef struct {
    double credit_tokens; /* tokens that may be transferred now; below 0 in
                             debt */
    int64_t refilled_ms;
} save_bucket_t;

typedef struct {
    double link_tokens_per_ms; /* that the store takes in at most */
    size_t hosts;              /* that save to it */
    bool same_dc;              /* the server and the store */
    uint32_t shared_tokens;    /* tokens that the store lacks */
    uint32_t unshared_tokens;  /* of the request alone, sent along */
} save_params_t;

bool cache_save_allowed(save_bucket_t *share, const save_params_t *ask,
                        int64_t now_ms);

#endif
