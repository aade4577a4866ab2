#include "request.h"

/* What a request counts of its workspace's limit: charged when it comes, given
 * back if it surely has not run, charged again if it runs once more. */

/* What the request counts of its workspace's limit. */
static double
quota_cost(const request_t *request)
{
    const workspace_entry_t *workspace = request->workspace;
    const header_t *tokens =
        http_head_find(request->head, wire_header_name(HEADER_TOKENS));
    prompt_t prompt = {0};
    switch (workspace->limit_unit) {
        case LIMIT_REQUESTS:
            return 1;
        case LIMIT_TOKENS:
            break;
    }
    if (tokens == NULL) {
        return workspace->default_tokens;
    }
    prompt_read_tokens(&prompt, http_head_at(request->head, tokens->value),
                       tokens->value.len);
    return (double)prompt.prompt_tokens + (double)prompt.output_tokens;
}

static quota_t *
quota_of(const request_t *request)
{
    return request->workspace == NULL ? NULL
                                      : quotas_find(&request->relay->quotas,
                                                    request->workspace->name);
}

/* Whether the request is within its workspace's limit, of which it then has a
 * part. */
quota_verdict_t
request_ask_quota(request_t *request)
{
    quotas_t *quotas = &request->relay->quotas;
    quota_t *quota = quota_of(request);
    if (quota == NULL) {
        return (quota_verdict_t){.allowed = true};
    }
    double cost = quota_cost(request);
    int64_t now = time_mono_ms();
    quota_verdict_t verdict = quota_ask(quotas, quota, cost, now);
    if (verdict.allowed) {
        request->charged = cost;
        return verdict;
    }
    log_record(LOG_WARN, "quota", "exceeded",
               "id=%s workspace=%s cost=%.0f left=%.0f unseen=%.0f rate=%.0f "
               "burst=%.0f hosts=%zu in_touch=%zu",
               request->id, quota->name, cost, quota->level,
               quota_unseen(quotas, quota, now), quota->limit.rate,
               quota->limit.burst, quotas->host_count + 1,
               quotas->in_touch_count + 1);
    return verdict;
}

/* A request that has run already runs once more. */
void
request_charge_again(request_t *request)
{
    quota_t *quota = quota_of(request);
    if (quota != NULL && request->charged > 0) {
        quota_spend(&request->relay->quotas, quota, request->charged,
                    time_mono_ms());
    }
}

/* A request that has surely not run gives back what it was charged. */
void
request_return_charge(request_t *request)
{
    quota_t *quota = quota_of(request);
    bool ran = request->sends > 0 && request->outcome != METER_REFUSED;
    if (quota != NULL && request->charged > 0 && !ran) {
        quota_return(&request->relay->quotas, quota, request->charged,
                     time_mono_ms());
    }
}
