#include "admit.h"
#include "cache-source.h"
#include "request-explain.h"
#include "request.h"

#include <string.h>

/* Chooses the server for a request.  Engines are compared by the expected time
 * until the prompt is prefilled: the queue there, and the part of the prompt
 * that is not cached there.  Plain servers are compared by the requests that
 * run there. */

/* Estimated prefill of a request that is queued at a server, tokens: none of
 * its prompt has been prefilled. */
#define QUEUED_PREFILL_TOKENS 2000.0
/* Cost of each request that runs at a plain server, ms: while a slot is free
 * it is only a tie-break, otherwise the new request waits for a slot. */
#define RUNNING_COST_MS 1.0
#define NO_SLOT_COST_MS 20.0
/* Cost of a server per unit of its error rate, ms: each error costs the caller
 * a retry. */
#define ERROR_COST_MS 400.0
/* Cost of a server that does not answer another host, ms: more than the wait
 * at any other, but it is used if there is no other. */
#define SUSPECTED_COST_MS 4000.0
/* Cost of a server on older weights, ms: an answer on them is worth a fifth
 * less to the caller, so they are only used if this much faster. */
#define OLD_WEIGHTS_COST_MS 150.0
/* Share of the time allowed for older weights during which new requests are
 * sent to them: a request that is queued at the server must still begin
 * within that time. */
#define OLD_WEIGHTS_SHARE 0.8
/* Cost of a server that has just rejected a request, ms, while it is believed
 * to be full. */
#define FULL_COST_MS 300.0
/* A stream may try a server that has rejected requests after this time, ms. */
#define REJECTED_TRIAL_MS 1000
/* Share of the prompts ahead at an engine that a request of the most urgent
 * class waits for: it overtakes those of other classes. */
#define URGENT_QUEUE_SHARE 0.5
/* Cost of a server that has no room for a less urgent request, ms: more than
 * any wait, so that servers with room are chosen first. */
#define NO_ROOM_COST_MS 5000.0
/* A server that has sent nothing to this host for this long, ms, may have
 * fallen silent: the events of a stream come more often. */
#define ANSWERED_LATELY_MS 300
/* Expected number of randomly sampled servers per request. */
#define SAMPLE_SERVERS 4
/* Added to the Retry-After of a request that limits or rests exclude: a
 * margin, and a random part, so that not all callers return at the end of a
 * rest. */
#define RETRY_AFTER_MARGIN_MS 50
#define RETRY_AFTER_SPREAD_MS 250

static bool
is_tried(const request_t *request, const server_t *server)
{
    for (unsigned i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == server->number) {
            return true;
        }
    }
    return false;
}

/* Whether a new request may be sent to an engine on its present weights. */
static bool
are_weights_allowed(const request_t *request, const server_t *server)
{
    const weights_t *weights =
        relay_find_weights(request->relay, request->prompt.model);
    if (weights == NULL || server->info.weights >= weights->newest_version) {
        return true;
    }
    return weights_superseded_for_ms(weights, server->info.weights,
                                     time_wall_ms()) <
           (int64_t)(OLD_WEIGHTS_SHARE *
                     request->relay->settings.old_weights_max_ms);
}

/* Returns what keeps the request from a server even if this host reaches it,
 * apart from its rate limit and the rest that it asks for; NULL if nothing. */
static const char *
find_obstacle(const request_t *request, const server_t *server, int64_t now)
{
    if (strcmp(server->info.service, request->service) != 0) {
        return "other-service";
    }
    if (!server_is_usable(server, now)) {
        return server_unusable_reason(server, now);
    }
    if (is_tried(request, server)) {
        return "tried";
    }
    if (!request_fits_version(request, server)) {
        return "other-software";
    }
    if (request_avoids_doubt(request, server)) {
        return "software-in-doubt";
    }
    if (request_avoids_unrecorded(request, server)) {
        return "software-unrecorded";
    }
    if (!request->engine) {
        return NULL;
    }
    if (!server->info.engine) {
        return "no-engine";
    }
    if (now < server->loading_until_ms) {
        return "loading";
    }
    if (strcmp(server->info.model, request->prompt.model) != 0) {
        return "other-model";
    }
    return are_weights_allowed(request, server) ? NULL : "old-weights";
}

/* Whether a server may serve the request if this host reaches it, apart from
 * its rate limit and the rest that it asks for. */
static bool
could_serve(const request_t *request, const server_t *server, int64_t now)
{
    return find_obstacle(request, server, now) == NULL;
}

/* Returns the expected time until an engine prefills a request that goes by
 * priority.  The slots that are in use keep a request of the most urgent class
 * waiting; one of another class is not sent while too few are free. */
static double
expected_priority_wait_ms(request_t *request, server_t *server, int64_t now)
{
    double tokens =
        server->own_prefill_tokens + server_sum_peer_prefill(server, now);
    double prefill_ms = tokens / server_prefill_rate(server, now);
    if (request->most_urgent) {
        return prefill_ms * URGENT_QUEUE_SHARE +
               server_slot_wait_ms(server, now);
    }
    return prefill_ms;
}

/* Whether a server may serve the request, apart from its rate limit and the
 * rest that it asks for. */
static bool
can_serve(const request_t *request, const server_t *server, int64_t now)
{
    return could_serve(request, server, now) &&
           relay_reaches(request->relay, server, request->id);
}

/* Whether this server can take the request now. */
bool
request_can_use(const request_t *request, const server_t *server)
{
    int64_t now = time_mono_ms();
    return can_serve(request, server, now) &&
           server_allows_request(server, now);
}

/* Returns what excludes a server now, or NULL if it is usable for the request.
 */
const char *
request_server_obstacle(const request_t *request, const server_t *server,
                        int64_t now)
{
    const char *obstacle = find_obstacle(request, server, now);
    if (obstacle != NULL) {
        return obstacle;
    }
    if (!relay_reaches(request->relay, server, request->id)) {
        return "not-reached";
    }
    return server_allows_request(server, now)
               ? NULL
               : server_limiting_reason(server, now);
}

/* Whether a server can take the request now. */
bool
request_has_server(const request_t *request, int64_t now)
{
    const server_t *server;
    CK_LIST_FOREACH (server, &request->relay->servers->list, entry) {
        if (can_serve(request, server, now) &&
            server_allows_request(server, now)) {
            return true;
        }
    }
    return false;
}

/* Whether only kept connections reach the servers, and one that the request
 * could use is busy with another request of this host. */
bool
request_lacks_kept_connection(const request_t *request, int64_t now)
{
    const server_t *server;
    if (request->relay->reach.state != REACH_KEPT) {
        return false;
    }
    CK_LIST_FOREACH (server, &request->relay->servers->list, entry) {
        if (server->own_running > 0 && could_serve(request, server, now) &&
            server_allows_request(server, now)) {
            return true;
        }
    }
    return false;
}

static double
expected_engine_wait_ms(const request_t *request, server_t *server,
                        int64_t now)
{
    double tokens =
        server->own_prefill_tokens + server_sum_peer_prefill(server, now);
    if (server_has_recent_load(server, now)) {
        tokens += server->reported_waiting * QUEUED_PREFILL_TOKENS;
    }
    double backlog_tokens = request->explained
                                ? server_backlog(server, now)
                                : server_update_backlog(server, now);
    tokens = backlog_tokens > tokens ? backlog_tokens : tokens;
    return tokens / server_prefill_rate(server, now) +
           server_slot_wait_ms(server, now);
}

static double
expected_plain_wait_ms(const server_t *server, int64_t now)
{
    int running = server_count_in_flight(server, now);
    int excess = running - server->info.slots + 1;
    double wait = running * RUNNING_COST_MS +
                  (excess > 0 ? excess * NO_SLOT_COST_MS : 0);
    return wait * server_speed_pace(&server->speed, now);
}

/* Caches the prefix levels of the prompt for one weights version.  Most
 * servers are on the same version, and hashing the levels again for each of
 * them would take a noticeable share of the daemon's CPU time. */
typedef struct {
    bool known;
    int64_t weights;
    prefix_t prefix;
} levels_cache_t;

static const prefix_t *
get_levels(const request_t *request, int64_t weights, levels_cache_t *levels)
{
    if (!levels->known || levels->weights != weights) {
        char salt[CS_ID_LEN + 1];
        request_cache_salt(request, weights, salt);
        prompt_to_levels(&request->prompt, salt, &levels->prefix);
        levels->weights = weights;
        levels->known = true;
    }
    return &levels->prefix;
}

/* Cost of a server besides its expected wait, ms: errors and old weights. */
static double
penalty_ms(const request_t *request, const server_t *server)
{
    double ms = server->error_share * ERROR_COST_MS;
    if (server_is_suspected(server, time_mono_ms())) {
        ms += SUSPECTED_COST_MS;
    }
    const weights_t *weights =
        request->engine
            ? relay_find_weights(request->relay, request->prompt.model)
            : NULL;
    if (weights != NULL && server->info.weights < weights->newest_version) {
        ms += OLD_WEIGHTS_COST_MS;
    }
    return ms;
}

/* Whether a server may exchange parts of the request's prompt with a kv store.
 *
 * Once newer weights are published, a request that started on older ones may
 * be continued on the newer ones.  If it is preempted there, its server
 * prefills it again and saves parts of the newer weights under the salt of the
 * older ones.  A kv store keeps them and does not show by which weights they
 * were made, so it is used for the newest weights alone. */
bool
request_may_use_kv_stores(const request_t *request, const server_t *server)
{
    return weights_are_newest(request->relay, request->prompt.model,
                              server->info.weights);
}

/* Fills a candidate and returns the expected wait there, ms.  Sets extra_ms to
 * what the speed of the server adds to it. */
static double
fill_candidate(request_t *request, server_t *server, int64_t now,
               levels_cache_t *levels, candidate_t *out, double *extra_ms)
{
    relay_t *relay = request->relay;
    memset(out, 0, sizeof(*out));
    *extra_ms = 0;
    out->id = server->number;
    double rate = server_prefill_rate(server, now);
    out->prefill_rate = rate * 1000;
    out->running = server->own_running;
    out->same_dc = strcmp(server->info.dc, relay->settings.dc) == 0;
    double wait = request->service_state != NULL
                      ? expected_priority_wait_ms(request, server, now)
                  : request->engine
                      ? expected_engine_wait_ms(request, server, now)
                      : expected_plain_wait_ms(server, now);
    bool rejects =
        now < server->full_until_ms ||
        (request->phase == REQUEST_STREAMING && server->rejected_ms != 0);
    wait += rejects ? FULL_COST_MS : 0;
    if (!request->engine) {
        out->rendezvous_weight = place_rendezvous_weight(0, server->info.id);
        out->wait_ms = wait + penalty_ms(request, server) +
                       server_plain_extra_ms(server, now);
        return wait;
    }
    cache_view_t view;
    cache_lookup(relay, get_levels(request, server->info.weights, levels),
                 server, &view);
    view.found = view.found && (!view.source.kv_store ||
                                request_may_use_kv_stores(request, server));
    out->cached_tokens = view.found ? view.source.tokens : view.held_tokens;
    wait += cache_fetch_ms(&view);
    /* The request's own part is prefilled on any server.  The extra time that
     * a slower server needs for it counts as wait. */
    *extra_ms = (request->prompt.prompt_tokens - view.shared_tokens) *
                (1 / rate - 1 / server_mean_prefill_rate(server));
    wait += *extra_ms;
    wait += server_limit_cost_ms(&server->limit, request->prompt.prompt_tokens,
                                 relay->mean_prompt_tokens);
    out->rendezvous_weight =
        place_rendezvous_weight(request->affinity_key, server->info.id);
    uint32_t tokens = request->prompt.prompt_tokens;
    double prefill_ms =
        tokens > out->cached_tokens ? (tokens - out->cached_tokens) / rate : 0;
    out->wait_ms =
        wait + penalty_ms(request, server) +
        server_delay_cost_ms(server, prefill_ms, now) +
        server_decode_extra_ms(server, request->expected_output, now) +
        (request_finds_room(request, server, now) ? 0 : NO_ROOM_COST_MS);
    return wait;
}

/* Returns what the request would meet at a usable server. */
server_outlook_t
request_server_outlook(request_t *request, server_t *server, int64_t now)
{
    levels_cache_t levels = {0};
    candidate_t candidate;
    double extra_ms;
    double wait_ms =
        fill_candidate(request, server, now, &levels, &candidate, &extra_ms);
    uint32_t cached = candidate.cached_tokens;
    uint32_t tokens = request->prompt.prompt_tokens;
    double prefill_ms =
        request->engine && tokens > cached
            ? (tokens - cached) * 1000.0 / candidate.prefill_rate
            : 0;
    return (server_outlook_t){.wait_ms = wait_ms,
                              .prefill_ms = prefill_ms,
                              .cost_ms = candidate.wait_ms + prefill_ms,
                              .prefill_rate = candidate.prefill_rate / 1000,
                              .cached_tokens = cached};
}

/* Lists the servers that may serve a request, and those that only their limit
 * or rest excludes. */
static void
list_usable_servers(const request_t *request, int64_t now, placement_t *out)
{
    server_t *server;
    out->usable_count = 0;
    out->excluded_count = 0;
    CK_LIST_FOREACH (server, &request->relay->servers->list, entry) {
        if (out->usable_count == CANDIDATES_MAX ||
            !can_serve(request, server, now)) {
            continue;
        }
        if (!server_allows_request(server, now)) {
            if (out->excluded_count < CANDIDATES_MAX) {
                out->excluded[out->excluded_count++] = server;
            }
            continue;
        }
        out->usable[out->usable_count++] = server;
    }
}

/* Returns the time after which a caller that a server's limit or rest excludes
 * should return. */
static int64_t
return_after_ms(const server_t *server, int64_t now)
{
    int64_t rest_ms = server_rest_wait_ms(&server->rest, now);
    int64_t limit_ms = server->limit.current.stated
                           ? server_limit_reservation_ms(&server->limit, now)
                           : 0;
    int64_t brittle_ms =
        server_brittle_wait_ms(&server->brittle, server->own_running, now);
    int64_t ms = rest_ms > limit_ms ? rest_ms : limit_ms;
    return ms > brittle_ms ? ms : brittle_ms;
}

/* Returns, of the servers that only their limit or rest excludes, the one to
 * which a rejected caller should return first; NULL if there is none. */
static server_t *
find_excluded_server(const request_t *request, int64_t now)
{
    server_t *first = NULL;
    int64_t first_ms = INT64_MAX;
    server_t *server;
    CK_LIST_FOREACH (server, &request->relay->servers->list, entry) {
        if (!can_serve(request, server, now) ||
            server_allows_request(server, now)) {
            continue;
        }
        int64_t after_ms = return_after_ms(server, now);
        if (after_ms < first_ms) {
            first = server;
            first_ms = after_ms;
        }
    }
    return first;
}

/* Whether a server of the request's service may be able to take it before a
 * time: its limit and rest allow that, or something else excludes it, which
 * may end at any time. */
static bool
may_be_free_by(const request_t *request, int64_t now, int64_t by_ms)
{
    const server_t *server;
    CK_LIST_FOREACH (server, &request->relay->servers->list, entry) {
        if (strcmp(server->info.service, request->service) != 0 ||
            server->removed || server->info.draining || server->leaving ||
            is_tried(request, server) ||
            !request_fits_version(request, server)) {
            continue;
        }
        if (!can_serve(request, server, now) ||
            now + server_request_wait_ms(server, now) <= by_ms) {
            return true;
        }
    }
    return false;
}

/* Decides whether a request is rejected since nothing but limits and rests
 * keeps it from the servers, and none of them can take it in time.  Returns
 * the server to which its caller should return first, or NULL if it may keep
 * waiting.  A random part of up to *spread_ms is added to *after_ms. */
server_t *
request_find_exclusion(const request_t *request, int64_t now,
                       const char **reason, int64_t *after_ms,
                       int64_t *spread_ms)
{
    server_t *server = find_excluded_server(request, now);
    if (server == NULL || request->possible_runs > 0 ||
        may_be_free_by(request, now, request->placement_deadline_ms)) {
        return NULL;
    }
    bool rests = !server_rest_allows(&server->rest, now);
    *reason = rests                          ? "server-rest"
              : server->limit.current.stated ? "server-limit"
                                             : "server-brittle";
    *after_ms = return_after_ms(server, now) + RETRY_AFTER_MARGIN_MS;
    *spread_ms = RETRY_AFTER_SPREAD_MS;
    return server;
}

/* Rejects a request that only limits and rests exclude; false if it may keep
 * waiting. */
static bool
reject_if_excluded(request_t *request, int64_t now)
{
    const char *reason;
    int64_t after_ms;
    int64_t spread_ms;
    server_t *server =
        request_find_exclusion(request, now, &reason, &after_ms, &spread_ms);
    if (server == NULL) {
        return false;
    }
    after_ms += (int64_t)rng_below(&request->relay->rng, (uint64_t)spread_ms);
    if (server->limit.current.stated) {
        server_limit_reserve(&server->limit, now);
    }
    request_reject(request, reason, after_ms);
    return true;
}

/* Reduces the usable servers to those that are compared: the first choice by
 * rendezvous hashing, those that hold the shared part of the prompt, and a
 * random sample.  Load reports are slightly stale, so all hosts see the same
 * server idle; if each compared all servers, all would send their requests
 * there until the next report (herd effect). */
static size_t
sample_servers(const request_t *request, levels_cache_t *levels,
               server_t **servers, size_t count)
{
    size_t first_choice = 0;
    uint64_t highest_rank = 0;
    size_t kept = 0;
    double sample_share = (double)SAMPLE_SERVERS / (double)count;
    if (!request->engine || count <= SAMPLE_SERVERS) {
        return count;
    }
    for (size_t i = 0; i < count; i++) {
        uint64_t rank = place_rendezvous_weight(request->affinity_key,
                                                servers[i]->info.id);
        first_choice = rank > highest_rank ? i : first_choice;
        highest_rank = rank > highest_rank ? rank : highest_rank;
    }
    for (size_t i = 0; i < count; i++) {
        const prefix_t *prefix =
            get_levels(request, servers[i]->info.weights, levels);
        if (i == first_choice ||
            rng_unit(&request->relay->rng) < sample_share ||
            cache_holds_shared(prefix, servers[i])) {
            servers[kept++] = servers[i];
        }
    }
    return kept;
}

/* Fills the candidates, sets what the best of them is expected to take and
 * returns its index. */
static size_t
choose_best(request_t *request, server_t **servers, size_t count, int64_t now,
            levels_cache_t *levels, candidate_t *candidates)
{
    relay_t *relay = request->relay;
    double waits[CANDIDATES_MAX];
    double extras[CANDIDATES_MAX];
    for (size_t i = 0; i < count; i++) {
        waits[i] = fill_candidate(request, servers[i], now, levels,
                                  &candidates[i], &extras[i]);
    }
    /* Only the shared part of the prompt can be cached anywhere. */
    prefix_t prefix = {.tokens = prompt_shared_tokens(&request->prompt)};
    place_query_t query = {.prefix = &prefix,
                           .objective = relay->settings.objective != 0
                                            ? OBJECTIVE_CACHE_HITS
                                            : OBJECTIVE_TAIL_LATENCY,
                           .placement_count = relay->placement_count++};
    size_t best = policy_find("cost")->choose(candidates, count, &query);
    request->expected_wait_ms = waits[best];
    request->expected_queue_ms = waits[best] - extras[best];
    uint32_t cached_tokens = candidates[best].cached_tokens;
    uint32_t tokens = request->prompt.prompt_tokens;
    request->expected_prefill_tokens =
        tokens > cached_tokens ? tokens - cached_tokens : 0;
    request->expected_prefill_ms = request->expected_prefill_tokens * 1000.0 /
                                   candidates[best].prefill_rate;
    return best;
}

/* Picks a few random servers with room for a less urgent request; returns
 * their number.  Of all hosts that look for the last free slots, few then
 * choose the same server.  One that has sent this host nothing lately is left
 * out: if it has fallen silent, it seems to have room. */
static size_t
sample_servers_with_room(request_t *request, server_t *const *servers,
                         size_t count, int64_t now, server_t **out)
{
    size_t seen = 0;
    size_t kept = 0;
    for (size_t i = 0; i < count; i++) {
        if (now - servers[i]->answered_ms >= ANSWERED_LATELY_MS ||
            !request_finds_room(request, servers[i], now)) {
            continue;
        }
        /* Reservoir sampling: each server is as likely as any other. */
        size_t slot = seen < SAMPLE_SERVERS
                          ? seen
                          : rng_below(&request->relay->rng, seen + 1);
        if (slot < SAMPLE_SERVERS) {
            out[slot] = servers[i];
        }
        seen++;
        kept = seen < SAMPLE_SERVERS ? seen : SAMPLE_SERVERS;
    }
    return kept;
}

/* Decides which server a request goes to; NULL if none can take it now.  If
 * none of the sampled servers has room for a less urgent request, others that
 * have are sampled.  Besides the request it changes the relay's random
 * generator and its count of placements alone. */
server_t *
request_decide_server(request_t *request, int64_t now, placement_t *out)
{
    candidate_t candidates[CANDIDATES_MAX];
    levels_cache_t levels = {0};
    request_set_reserve(request, now);
    request->expected_output =
        request->engine
            ? request_cost_output(&request->relay->costs, &request->cost_query)
            : 0;
    list_usable_servers(request, now, out);
    out->sampled_count = 0;
    out->compared_count = 0;
    if (out->usable_count == 0) {
        return NULL;
    }
    memcpy(out->sampled, out->usable,
           out->usable_count * sizeof(*out->usable));
    out->sampled_count =
        sample_servers(request, &levels, out->sampled, out->usable_count);
    out->compared_count = out->sampled_count;
    size_t best = choose_best(request, out->sampled, out->sampled_count, now,
                              &levels, candidates);
    server_t *server = out->sampled[best];
    if (!request_finds_room(request, server, now)) {
        server_t *others[SAMPLE_SERVERS];
        size_t count = sample_servers_with_room(
            request, out->usable, out->usable_count, now, others);
        if (count > 0) {
            out->compared_count = count;
            best =
                choose_best(request, others, count, now, &levels, candidates);
            server = others[best];
        }
    }
    out->best = candidates[best];
    return server;
}

/* Returns the server for a request, or NULL if none can take it now. */
server_t *
request_choose_server(request_t *request, int64_t now)
{
    placement_t placement;
    server_t *server = request_decide_server(request, now, &placement);
    for (size_t i = 0; i < placement.excluded_count; i++) {
        server_brittle_block(&placement.excluded[i]->brittle, now);
        server_schedule_signals(placement.excluded[i]);
    }
    if (server == NULL || (request->found_no_room &&
                           !request_finds_room(request, server, now))) {
        return server; /* it waits on, and its first choice was logged */
    }
    log_record(
        LOG_INFO, "place", "chosen",
        "id=%s server=%s among=%zu usable=%zu excluded=%zu wait_ms=%.0f "
        "held=%u of=%u weights=%lld config=%lld cost=%.0f speed=%.1f",
        request->id, server->info.id, placement.compared_count,
        placement.usable_count, placement.excluded_count,
        request->expected_wait_ms, placement.best.cached_tokens,
        prompt_shared_tokens(&request->prompt),
        (long long)server->info.weights, (long long)request->config->version,
        request->expected_output, placement.best.prefill_rate / 1000);
    return server;
}

/* Whether the request's service has servers, and none is reached from here. */
bool
request_is_unreached(const request_t *request, int64_t now)
{
    const server_t *server;
    bool listed = false;
    CK_LIST_FOREACH (server, &request->relay->servers->list, entry) {
        if (strcmp(server->info.service, request->service) != 0 ||
            server->removed || server->info.draining || server->leaving ||
            server->address_taken || !request_fits_version(request, server)) {
            continue;
        }
        if (server_is_reachable(server, now) &&
            relay_reaches(request->relay, server, request->id)) {
            return false;
        }
        listed = true;
    }
    return listed;
}

/* Returns whether another server than the request's, which does not answer, or
 * another host could take it now.  A server that rejected the last request may
 * reject the next ones: streams would spend their retries there, and lack them
 * when their own server answers again. */
alternative_t
request_find_alternative(const request_t *request)
{
    int64_t now = time_mono_ms();
    relay_t *relay = request->relay;
    alternative_t best = ALTERNATIVE_NONE;
    if (fatal_parts_find_blocked(&relay->fatal_parts, &request->fatal) !=
        NULL) {
        return ALTERNATIVE_NONE; /* request_place would reject it */
    }
    const server_t *server;
    CK_LIST_FOREACH (server, &request->relay->servers->list, entry) {
        if (server == request->server || !can_serve(request, server, now) ||
            !server_allows_request(server, now)) {
            continue;
        }
        if (server->rejected_ms == 0) {
            return ALTERNATIVE_LIKELY;
        }
        if (now - server->rejected_ms >= REJECTED_TRIAL_MS) {
            best = ALTERNATIVE_DOUBTFUL;
        }
    }
    return best == ALTERNATIVE_NONE && request_is_unreached(request, now) &&
                   request_may_forward(request, now)
               ? ALTERNATIVE_LIKELY
               : best;
}

/* Forwards a request whose servers this host does not reach to another host,
 * or rejects it if no host can serve it.  False if it may keep waiting. */
static bool
place_elsewhere(request_t *request)
{
    if (request_forward(request)) {
        return true;
    }
    if (request_own_runs(request) > 0) {
        return false;
    }
    if (request->from_host) {
        request_reject_unreached(request);
        return true;
    }
    if (!reach_is_lost(&request->relay->reach)) {
        return false;
    }
    request_reject(request, "no-server-reached", RETRY_AFTER_UNREACHED_MS);
    return true;
}

/* Returns what the decision to send a request to the chosen server depends on
 * where requests are not admitted by priority. */
admit_input_t
request_admit_input(const request_t *request, int64_t now)
{
    int64_t remaining_ms = request->deadline_ms - now;
    return (admit_input_t){
        .wait_ms = request->expected_wait_ms,
        .prefill_ms = request->expected_prefill_ms,
        .margin_ms = forecast_margin_ms(&request->relay->forecast),
        /* A stream that goes on is late, but not lost. */
        .target_ms = request->software != SOFTWARE_ANY
                         ? (int)remaining_ms
                         : request->route->target_latency_ms,
        .remaining_ms = remaining_ms,
        .engine = request->engine};
}

/* Sends the request to the best server, a stream that goes on once the server
 * has shown which start it is, or rejects it if the expected time to its
 * answer there is too long.  False if there is no usable server; the request
 * then keeps waiting. */
bool
request_place(request_t *request)
{
    int64_t now = time_mono_ms();
    if (request_reject_if_fatal(request)) {
        return true;
    }
    if (request_end_proof(request)) {
        return true;
    }
    if (request_must_queue(request)) {
        request_enqueue(request, now);
        return true;
    }
    server_t *server = request_choose_server(request, now);
    if (server == NULL && request_end_if_version_gone(request)) {
        return true;
    }
    if (server == NULL) {
        return request_is_unreached(request, now)
                   ? place_elsewhere(request)
                   : reject_if_excluded(request, now);
    }
    if (request->service_state != NULL && request->software == SOFTWARE_ANY) {
        return request_admit(request, server, now);
    }
    const admit_input_t input = request_admit_input(request, now);
    int64_t after_ms = admit_retry_after_ms(&input);
    if (after_ms > 0 && request->possible_runs == 0) {
        log_record(LOG_INFO, "place", "too-busy",
                   "id=%s server=%s wait_ms=%.0f read_ms=%.0f margin_ms=%.0f "
                   "target_ms=%d",
                   request->id, server->info.id, input.wait_ms,
                   input.prefill_ms, input.margin_ms, input.target_ms);
        request_reject(request, "too-busy", after_ms);
        return true;
    }
    bool goes_on = request->software != SOFTWARE_ANY;
    if (goes_on && request->route->resumable && server->info.engine) {
        request_check_software(request, server);
        return true;
    }
    request_send(request, server);
    return true;
}
