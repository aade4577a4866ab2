#include "cache-save.h"

/* In a large fleet prompts arrive many times faster than the link of a kv
 * store can transfer them.  A server sends all of a prompt, including its
 * unshared part, and gives up a transfer that would wait long.  If all prompts
 * were saved, most transfers would be given up, the store would lack parts
 * that daemons count on, and fetches from it would wait behind useless
 * transfers. */

/* Share of the link that saves may use; the rest is for fetches. */
#define LINK_SHARE 0.5
/* A transfer between data centres takes this many times longer. */
#define OTHER_DC_RATIO 2.0
/* Maximum credit: what accrues in this time, but no less than a long prompt.
 */
#define CREDIT_MS 4000
#define CREDIT_TOKENS_MIN 20000.0

static double
credit_max(double rate)
{
    double max = rate * CREDIT_MS;
    return max > CREDIT_TOKENS_MIN ? max : CREDIT_TOKENS_MIN;
}

static void
refill(save_bucket_t *bucket, double rate, int64_t now_ms)
{
    double max = credit_max(rate);
    if (bucket->refilled_ms == 0) {
        bucket->credit_tokens = max;
    }
    else {
        bucket->credit_tokens += rate * (double)(now_ms - bucket->refilled_ms);
    }
    bucket->credit_tokens =
        bucket->credit_tokens > max ? max : bucket->credit_tokens;
    bucket->refilled_ms = now_ms;
}

/* Returns whether to save a prompt; if so, its transfer is charged.  The less
 * credit is left, the larger the share of the transfer must be that other
 * requests can use. */
bool
cache_save_allowed(save_bucket_t *bucket, const save_params_t *params,
                   int64_t now_ms)
{
    size_t hosts = params->hosts > 0 ? params->hosts : 1;
    double rate = params->link_tokens_per_ms * LINK_SHARE / (double)hosts;
    double sent =
        (double)params->shared_tokens + (double)params->unshared_tokens;
    if (params->shared_tokens == 0) {
        return false;
    }
    if (params->link_tokens_per_ms <= 0) {
        return true; /* not configured */
    }
    refill(bucket, rate, now_ms);
    if (bucket->credit_tokens <= 0 ||
        params->shared_tokens / sent <
            1 - bucket->credit_tokens / credit_max(rate)) {
        return false;
    }
    bucket->credit_tokens -= params->same_dc ? sent : sent * OTHER_DC_RATIO;
    return true;
}
