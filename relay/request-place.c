#include "admit.h"
#include "cache-source.h"
#include "request.h"

#include <string.h>

/* Which server a request goes to.  Engines are weighed by the time until they
 * would have read the prompt: what waits there, and what of the prompt they
 * do not hold.  Plain services are weighed by what runs there. */

/* A request that waits at a server is not read at all yet. */
#define WAITING_UNREAD_TOKENS 2000.0
/* Time that one more request at a plain server costs, ms: while there is a
 * free slot it only matters as a tie-break, behind that it waits for one. */
#define SLOT_FREE_MS 1.0
#define SLOT_TAKEN_MS 20.0
/* An error costs the caller a retry, so a server that fails half of its
 * answers is worth this many ms less. */
#define ERROR_MS 400.0
/* An answer on older weights is worth a fifth less to its caller; they are
 * used when the newer ones would take this much longer, ms. */
#define OLD_WEIGHTS_MS 150.0
/* Older weights are not used any more in this last part of the time that they
 * may be, so that a request that waits at the server still begins in time. */
#define OLD_WEIGHTS_PART 0.8
/* A server that has just refused is full: it costs so much more, ms, until its
 * next answers show otherwise. */
#define FULL_MS 300.0
/* Servers that are weighed at random for each request. */
#define SAMPLE_SERVERS 4
#define CHOOSE_MAX 512

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

/* Whether an engine's weights may still begin an answer. */
static bool
weights_allowed(const request_t *request, const server_t *server)
{
    const weights_t *newest =
        relay_weights(request->relay, request->prompt.model);
    if (newest == NULL || server->info.weights >= newest->version) {
        return true;
    }
    return weights_older_ms(newest, server->info.weights, time_wall_ms()) <
           (int64_t)(OLD_WEIGHTS_PART *
                     request->relay->settings.old_weights_max_ms);
}

static bool
may_serve(const request_t *request, const server_t *server, int64_t now)
{
    if (strcmp(server->info.service, request->service) != 0 ||
        !server_usable(server, now) || is_tried(request, server)) {
        return false;
    }
    if (!request->engine) {
        return true;
    }
    return server->info.engine && now >= server->loading_ms &&
           strcmp(server->info.model, request->prompt.model) == 0 &&
           weights_allowed(request, server);
}

static double
engine_wait_ms(server_t *server, int64_t now)
{
    double tokens = server->own_unread + server_others_unread(server, now);
    if (server_load_fresh(server, now)) {
        tokens += server->load_waiting * WAITING_UNREAD_TOKENS;
    }
    double booked = server_booked(server, now);
    tokens = booked > tokens ? booked : tokens;
    return tokens * server->slowness / SERVER_READ_TOKENS_PER_MS +
           server_slot_wait_ms(server, now);
}

static double
plain_wait_ms(const server_t *server, int64_t now)
{
    int running = server_places_taken(server, now);
    int over = running - server->info.slots + 1;
    return running * SLOT_FREE_MS + (over > 0 ? over * SLOT_TAKEN_MS : 0);
}

/* The levels of a request's prompt under the weights of the server that was
 * looked at last: most servers are on the same, and working them out
 * for each server anew takes a part of a daemon's processor time. */
typedef struct {
    bool known;
    int64_t weights;
    prefix_t prefix;
} place_levels_t;

static const prefix_t *
levels_for(const request_t *request, int64_t weights, place_levels_t *levels)
{
    if (!levels->known || levels->weights != weights) {
        char salt[CS_ID_LEN + 1];
        request_salt(request, weights, salt);
        prompt_levels(&request->prompt, salt, &levels->prefix);
        levels->weights = weights;
        levels->known = true;
    }
    return &levels->prefix;
}

/* What a server is worth less than another that would answer as soon, in ms.
 */
static double
preference_ms(const request_t *request, const server_t *server)
{
    double ms = server->error_share * ERROR_MS;
    const weights_t *newest =
        request->engine ? relay_weights(request->relay, request->prompt.model)
                        : NULL;
    if (newest != NULL && server->info.weights < newest->version) {
        ms += OLD_WEIGHTS_MS;
    }
    return ms;
}

/* Fills a candidate; returns how long the request would wait there, ms. */
static double
fill_candidate(const request_t *request, server_t *server, int64_t now,
               place_levels_t *levels, candidate_t *out)
{
    relay_t *relay = request->relay;
    memset(out, 0, sizeof(*out));
    out->id = server->number;
    out->rate = SERVER_READ_TOKENS_PER_MS * 1000 / server->slowness;
    out->running = server->own_running;
    out->same_dc = strcmp(server->info.dc, relay->settings.dc) == 0;
    double wait = request->engine ? engine_wait_ms(server, now)
                                  : plain_wait_ms(server, now);
    wait += now < server->full_ms ? FULL_MS : 0;
    if (!request->engine) {
        out->rank = place_weight(0, server->info.id);
        out->wait_ms = wait + preference_ms(request, server);
        return wait;
    }
    cache_view_t view;
    cache_look(relay, levels_for(request, server->info.weights, levels),
               server, &view);
    out->cached = view.found ? view.source.tokens : view.here;
    wait += cache_fetch_ms(&view);
    /* The request's own part is read wherever it goes; what a slower server
     * takes longer for it counts as waiting. */
    wait += (request->prompt.prompt_tokens - view.shared) *
            (server->slowness - 1) / SERVER_READ_TOKENS_PER_MS;
    out->rank = place_weight(request->home, server->info.id);
    out->wait_ms = wait + preference_ms(request, server);
    return wait;
}

/* The servers that may take a request. */
static size_t
list_usable(const request_t *request, int64_t now, server_t **out)
{
    size_t count = 0;
    server_t *server;
    CK_LIST_FOREACH (server, &request->relay->servers->list, entry) {
        if (count < CHOOSE_MAX && may_serve(request, server, now)) {
            out[count++] = server;
        }
    }
    return count;
}

/* Which of the usable servers are weighed: the home of the prompt, those that
 * hold what it shares, and a few at random.  What is known of a server is a
 * little old, so that all hosts see the same one idle; if all weighed all
 * servers, all would send there until the next news. */
static size_t
keep_weighed(const request_t *request, place_levels_t *levels,
             server_t **servers, size_t count)
{
    size_t home = 0;
    uint64_t most = 0;
    size_t kept = 0;
    double part = (double)SAMPLE_SERVERS / (double)count;
    if (!request->engine || count <= SAMPLE_SERVERS) {
        return count;
    }
    for (size_t i = 0; i < count; i++) {
        uint64_t rank = place_weight(request->home, servers[i]->info.id);
        home = rank > most ? i : home;
        most = rank > most ? rank : most;
    }
    for (size_t i = 0; i < count; i++) {
        const prefix_t *prefix =
            levels_for(request, servers[i]->info.weights, levels);
        if (i == home || rng_unit(&request->relay->rng) < part ||
            cache_holds_shared(prefix, servers[i])) {
            servers[kept++] = servers[i];
        }
    }
    return kept;
}

/* The server for a request, or NULL if none can take it now. */
server_t *
request_choose(request_t *request, int64_t now)
{
    relay_t *relay = request->relay;
    candidate_t all[CHOOSE_MAX];
    server_t *servers[CHOOSE_MAX];
    double waits[CHOOSE_MAX];
    place_levels_t levels = {0};
    size_t usable = list_usable(request, now, servers);
    if (usable == 0) {
        return NULL;
    }
    size_t count = keep_weighed(request, &levels, servers, usable);
    for (size_t i = 0; i < count; i++) {
        waits[i] = fill_candidate(request, servers[i], now, &levels, &all[i]);
    }
    /* Only what is shared can be held here or there. */
    prefix_t prefix = {.tokens = prompt_shared(&request->prompt)};
    place_ask_t ask = {.prefix = &prefix,
                       .objective = relay->settings.objective != 0
                                        ? OBJECTIVE_CACHE_HITS
                                        : OBJECTIVE_TAIL_LATENCY,
                       .turn = relay->turn++};
    size_t best = policy_find("cost")->choose(all, count, &ask);
    request->wait_ms = waits[best];
    uint32_t held = all[best].cached;
    uint32_t tokens = request->prompt.prompt_tokens;
    request->read_ms =
        (tokens > held ? tokens - held : 0) * 1000.0 / all[best].rate;
    log_record(
        LOG_INFO, "place", "chosen",
        "id=%s server=%s among=%zu usable=%zu wait_ms=%.0f held=%u of=%u "
        "weights=%lld config=%lld",
        request->id, servers[best]->info.id, count, usable, waits[best],
        all[best].cached, prefix.tokens,
        (long long)servers[best]->info.weights,
        (long long)request->config->version);
    return servers[best];
}

/* Send a request that has no server yet, or refuse it; false if none can take
 * it now. */
bool
request_place(request_t *request)
{
    int64_t now = time_mono_ms();
    server_t *server = request_choose(request, now);
    if (server == NULL) {
        return false;
    }
    const admit_ask_t ask = {
        .wait_ms = request->wait_ms,
        .read_ms = request->read_ms,
        .margin_ms = forecast_margin_ms(&request->relay->forecast),
        .target_ms = request->route->target_ms,
        .left_ms = request->until_ms - now,
        .engine = request->engine};
    int64_t after_ms = admit_after_ms(&ask);
    if (after_ms > 0 && request->ran == 0) {
        log_record(LOG_INFO, "place", "too-busy",
                   "id=%s server=%s wait_ms=%.0f read_ms=%.0f margin_ms=%.0f "
                   "target_ms=%d",
                   request->id, server->info.id, ask.wait_ms, ask.read_ms,
                   ask.margin_ms, ask.target_ms);
        request_refuse(request, "too-busy", after_ms);
        return true;
    }
    request_send(request, server);
    return true;
}
