#include "tables.h"

#include <string.h>
#include <xxhash.h>

/* Placement: gathering the candidates for a request.  The choice among them
 * is a policy's, and policies are plug-ins. */

#define HOME_LEVEL 1

static CK_SLIST_HEAD(policies,
                     policy) policies = CK_SLIST_HEAD_INITIALIZER(policies);

/* Called by each policy's constructor before main. */
void
policy_register(policy_t *policy)
{
    CK_SLIST_INSERT_HEAD(&policies, policy, entry);
}

/* The policy of this name, or NULL. */
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

/* Walk all policies; NULL begins. */
const policy_t *
policy_next(const policy_t *policy)
{
    return policy == NULL ? CK_SLIST_FIRST(&policies)
                          : CK_SLIST_NEXT(policy, entry);
}

/* Rendezvous weight of a name for a key (Thaler and Ravishankar). */
uint64_t
place_weight(uint64_t key, const char *name)
{
    return str_hash(name, key);
}

static uint64_t
home_key(const prefix_t *prefix)
{
    if (prefix->count == 0) {
        return 0;
    }
    unsigned level =
        prefix->count > HOME_LEVEL ? HOME_LEVEL : prefix->count - 1;
    return prefix->levels[level].key;
}

static bool
is_avoided(const place_scene_t *scene, const char *name)
{
    for (size_t i = 0; i < sizeof(scene->avoid) / sizeof(scene->avoid[0]);
         i++) {
        if (scene->avoid[i] != NULL && strcmp(scene->avoid[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_usable(const place_scene_t *scene, const backend_t *backend,
          const backend_state_t *state, const char *version)
{
    if (config_backend_availability(scene->config, backend, scene->wall_ms) !=
            AVAILABILITY_OPEN ||
        state->host_leaving || state->load.loading[0] != '\0' ||
        scene->now_ms < state->broken_until ||
        is_avoided(scene, backend->name)) {
        return false;
    }
    return version == NULL || !state->reported ||
           strcmp(state->load.version, version) == 0;
}

/* List the backend servers that may serve a model or service now: open by
 * configuration and windows, not leaving, circuit closed, not tried before,
 * and on the wanted weights where a version is asked for. */
size_t
place_candidates(const place_scene_t *scene, const char *serves,
                 const prefix_t *prefix, const char *version, candidate_t *out,
                 size_t max)
{
    size_t count = 0;
    uint64_t home = home_key(prefix);
    for (size_t i = 0; i < scene->config->backend_count && count < max; i++) {
        const backend_t *backend = &scene->config->backends[i];
        backend_state_t state;
        if (backend->kind == BACKEND_UNROUTED ||
            strcmp(backend->serves, serves) != 0) {
            continue;
        }
        uint16_t id = view_id(scene->view, backend->name);
        if (!view_get(scene->view, id, &state) ||
            !is_usable(scene, backend, &state, version)) {
            continue;
        }
        candidate_t *found = &out[count++];
        found->backend = backend;
        found->id = id;
        str_copy(found->incarnation, sizeof(found->incarnation),
                 state.load.incarnation);
        str_copy(found->version, sizeof(found->version), state.load.version);
        found->wait_ms = view_wait_ms(&state);
        found->rate = view_rate(&state);
        found->running = state.load.running > state.own_running
                             ? state.load.running
                             : state.own_running;
        found->cached = cache_map_cached(scene->cache, prefix, id);
        found->rank = place_weight(home, backend->name);
        found->same_dc = strcmp(backend->dc, scene->dc) == 0;
    }
    return count;
}

/* Time to prefill what a candidate does not hold, in ms. */
double
place_recompute_ms(const candidate_t *candidate, const prefix_t *prefix)
{
    uint32_t held = candidate->cached < prefix->tokens ? candidate->cached
                                                       : prefix->tokens;
    return (prefix->tokens - held) * 1000.0 / candidate->rate;
}
