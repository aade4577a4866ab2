#include "request-explain.h"
#include "request.h"

/* Charges requests to their workspace's limit: once on arrival, again for each
 * further attempt after one that may have run.  The charge is refunded if the
 * request certainly has not run. */

/* Returns the cost of the request in the unit of its workspace's limit. */
static double
request_cost(const request_t *request)
{
    const workspace_entry_t *workspace = request->workspace;
    const header_t *tokens =
        http_head_find(request->head, wire_header_name(HEADER_TOKEN_USAGE));
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
    prompt_parse_tokens(&prompt, http_head_at(request->head, tokens->value),
                        tokens->value.len);
    return (double)prompt.prompt_tokens + (double)prompt.output_tokens;
}

static quota_t *
find_quota(const request_t *request)
{
    return request->workspace == NULL ? NULL
                                      : quotas_find(&request->relay->quotas,
                                                    request->workspace->name);
}

/* Charges the request to its workspace's limit if it fits. */
quota_decision_t
request_charge_quota(request_t *request)
{
    quotas_t *quotas = &request->relay->quotas;
    quota_t *quota = find_quota(request);
    if (quota == NULL) {
        return (quota_decision_t){.allowed = true};
    }
    double cost = request_cost(request);
    int64_t now = time_mono_ms();
    quota_decision_t decision = quota_try_spend(quotas, quota, cost, now);
    if (decision.allowed) {
        request->quota_charge = cost;
        return decision;
    }
    log_record(LOG_WARN, "quota", "exceeded",
               "id=%s workspace=%s cost=%.0f left=%.0f unseen=%.0f rate=%.0f "
               "burst=%.0f hosts=%zu in_touch=%zu",
               request->id, quota->name, cost, quota->level,
               quota_estimate_unreported(quotas, quota, now),
               quota->limit.rate, quota->limit.burst, quotas->host_count + 1,
               quotas->reachable_count + 1);
    return decision;
}

/* Returns what the limit of the request's workspace says of it now, without
 * charging it: the decision is made on a copy. */
quota_preview_t
request_preview_quota(const request_t *request)
{
    quotas_t *quotas = &request->relay->quotas;
    const quota_t *quota = find_quota(request);
    quota_preview_t preview = {.decision = {.allowed = true}};
    if (quota == NULL) {
        return preview;
    }
    quota_t copy = *quota;
    int64_t now = time_mono_ms();
    preview.limited = true;
    preview.cost = request_cost(request);
    preview.left = quota_available(quotas, &copy, now);
    preview.decision = quota_try_spend(quotas, &copy, preview.cost, now);
    return preview;
}

/* Records the cost of a request that another host has charged. */
void
request_note_quota(request_t *request)
{
    if (find_quota(request) != NULL) {
        request->quota_charge = request_cost(request);
    }
}

/* Charges the request again for an attempt after one that may have run. */
void
request_recharge_quota(request_t *request)
{
    quota_t *quota = find_quota(request);
    if (quota != NULL && request->quota_charge > 0) {
        quota_spend(&request->relay->quotas, quota, request->quota_charge,
                    time_mono_ms());
    }
}

/* Refunds the charge if the request certainly has not run. */
void
request_refund_quota(request_t *request)
{
    quota_t *quota = find_quota(request);
    bool may_have_run = (request->sends > 0 || request->possible_runs > 0 ||
                         request->helpers_tried.count > 0) &&
                        request->outcome != METER_REJECTED;
    if (request->from_host) {
        return; /* the host that has charged it refunds it */
    }
    if (quota != NULL && request->quota_charge > 0 && !may_have_run) {
        quota_refund(&request->relay->quotas, quota, request->quota_charge,
                     time_mono_ms());
    }
}
