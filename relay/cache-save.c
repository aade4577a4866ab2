#include "cache-save.h"

/* The load that this answers: in a large fleet, prompts come many times faster
 * than the link of a kv store takes them in.  A server sends all of a
 * prompt, the part that no other request asks for too, and gives up a transfer
 * that would wait long.  Were all prompts saved, most transfers would be given
 * up, the store would lack what daemons believe that it holds, and fetches
 * from it would wait behind transfers of no use. */

/* Part of the link that saves may take; the rest is for fetches. */
#define LINK_PART 0.5
/* A transfer between data centres takes so many times longer. */
#define OTHER_DC_COST 2.0
/* Credit that is kept at most: of so many ms, and no less than a long prompt.
 */
#define CREDIT_MS 4000
#define CREDIT_LEAST_TOKENS 20000.0

static double
credit_max(double rate)
{
    double most = rate * CREDIT_MS;
    return most > CREDIT_LEAST_TOKENS ? most : CREDIT_LEAST_TOKENS;
}

static void
fill(save_bucket_t *share, double rate, int64_t now_ms)
{
    double most = credit_max(rate);
    if (share->refilled_ms == 0) {
        share->credit_tokens = most;
    }
    else {
        share->credit_tokens += rate * (double)(now_ms - share->refilled_ms);
    }
    share->credit_tokens =
        share->credit_tokens > most ? most : share->credit_tokens;
    share->refilled_ms = now_ms;
}

/* Whether the store is to take a prompt; if so, its transfer is counted.  The
 * less credit is left, the larger the part of the transfer must be that other
 * requests can use. */
bool
cache_save_allowed(save_bucket_t *share, const save_params_t *ask,
                   int64_t now_ms)
{
    size_t hosts = ask->hosts > 0 ? ask->hosts : 1;
    double rate = ask->link_tokens_per_ms * LINK_PART / (double)hosts;
    double sent = (double)ask->shared_tokens + (double)ask->unshared_tokens;
    if (ask->shared_tokens == 0) {
        return false;
    }
    if (ask->link_tokens_per_ms <= 0) {
        return true; /* not configured */
    }
    fill(share, rate, now_ms);
    if (share->credit_tokens <= 0 ||
        ask->shared_tokens / sent <
            1 - share->credit_tokens / credit_max(rate)) {
        return false;
    }
    share->credit_tokens -= ask->same_dc ? sent : sent * OTHER_DC_COST;
    return true;
}
