#include "tables.h"

#include <string.h>
#include <xxhash.h>

/* Placement: lists the candidates for a request.  A policy, which is a
 * plug-in, chooses one of them. */

#define AFFINITY_LEVEL 1

static CK_SLIST_HEAD(policies,
                     policy) policies = CK_SLIST_HEAD_INITIALIZER(policies);

/* Adds a policy.  Each policy's constructor calls this before main. */
void
policy_register(policy_t *policy)
{
    CK_SLIST_INSERT_HEAD(&policies, policy, entry);
}

/* Finds a policy by its name; NULL if there is none. */
const policy_t *
policy_find(const char *name)
{
    policy_t *policy;
    CK_SLIST_FOREACH (policy, &policies, entry) {
        if (strcmp(policy->name, name) == 0) {
            return policy;
        }
    }
    return NULL;
}

/* Returns the policy after this one, or the first one for NULL. */
const policy_t *
policy_next(const policy_t *policy)
{
    return policy == NULL ? CK_SLIST_FIRST(&policies)
                          : CK_SLIST_NEXT(policy, entry);
}

/* Computes the weight of a name for a key in rendezvous hashing (Thaler and
 * Ravishankar). */
uint64_t
place_rendezvous_weight(uint64_t key, const char *name)
{
    return str_hash(name, key);
}

static uint64_t
affinity_key(const prefix_t *prefix)
{
    if (prefix->count == 0) {
        return 0;
    }
    unsigned level =
        prefix->count > AFFINITY_LEVEL ? AFFINITY_LEVEL : prefix->count - 1;
    return prefix->levels[level].key;
}

static bool
is_excluded(const place_context_t *context, const char *name)
{
    for (size_t i = 0;
         i < sizeof(context->excluded) / sizeof(context->excluded[0]); i++) {
        if (context->excluded[i] != NULL &&
            strcmp(context->excluded[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_usable(const place_context_t *context, const backend_t *backend,
          const backend_state_t *state, const char *version)
{
    if (config_backend_availability(context->config, backend,
                                    context->wall_ms) != AVAILABILITY_OPEN ||
        state->host_leaving || state->load_report.loading[0] != '\0' ||
        context->now_ms < state->circuit_open_until_ms ||
        is_excluded(context, backend->name)) {
        return false;
    }
    return version == NULL || !state->reported ||
           strcmp(state->load_report.version, version) == 0;
}

/* Lists the backend servers that can serve a model or service now.  Left out
 * are servers that are drained, in or shortly before a maintenance window, on
 * a leaving host, loading weights, behind an open circuit breaker or excluded,
 * and, if a weights version is given, those that reported another one. */
size_t
place_list_candidates(const place_context_t *context, const char *serves,
                      const prefix_t *prefix, const char *version,
                      candidate_t *out, size_t max)
{
    size_t count = 0;
    uint64_t key = affinity_key(prefix);
    for (size_t i = 0; i < context->config->backend_count && count < max;
         i++) {
        const backend_t *backend = &context->config->backends[i];
        backend_state_t state;
        if (backend->kind == BACKEND_UNROUTED ||
            strcmp(backend->serves, serves) != 0) {
            continue;
        }
        uint16_t id = view_assign_id(context->view, backend->name);
        if (!view_get(context->view, id, &state) ||
            !is_usable(context, backend, &state, version)) {
            continue;
        }
        candidate_t *candidate = &out[count++];
        candidate->backend = backend;
        candidate->id = id;
        str_copy(candidate->incarnation, sizeof(candidate->incarnation),
                 state.load_report.incarnation);
        str_copy(candidate->version, sizeof(candidate->version),
                 state.load_report.version);
        candidate->wait_ms = view_expected_wait_ms(&state);
        candidate->prefill_rate = view_prefill_rate(&state);
        candidate->running = state.load_report.running > state.own_running
                                 ? state.load_report.running
                                 : state.own_running;
        candidate->cached_tokens =
            cache_map_cached_tokens(context->cache, prefix, id);
        candidate->rendezvous_weight =
            place_rendezvous_weight(key, backend->name);
        candidate->same_dc = strcmp(backend->dc, context->dc) == 0;
    }
    return count;
}

/* Estimates the time to prefill the tokens that a candidate has not cached, in
 * ms. */
double
place_prefill_ms(const candidate_t *candidate, const prefix_t *prefix)
{
    uint32_t cached = candidate->cached_tokens < prefix->tokens
                          ? candidate->cached_tokens
                          : prefix->tokens;
    return (prefix->tokens - cached) * 1000.0 / candidate->prefill_rate;
}
