#include "cache-source.h"
#include "peers.h"

#include <string.h>

/* A server drops the parts that it used least recently.  At 30,000 new tokens
 * a second and 200,000 of room that is after about seven seconds; what was
 * not noted for longer than this is taken for dropped, ms. */
#define BELIEF_MS 6000
/* The store of kept parts has three times the room and takes less in. */
#define KV_STORE_BELIEF_MS 12000
/* Time to fetch, ms: to ask and start, and for each 1,000 tokens over the
 * servers' links; a link between data centres takes twice as long, and the
 * store of kept parts has a slower one. */
#define FETCH_START_MS 8.0
#define FETCH_MS_PER_K 1.2
#define FETCH_OTHER_DC 2.0
#define FETCH_KV_STORE 5.0
#define SOURCES_MAX 8
/* A prompt that was sent is read within this time, ms, or its server is in
 * trouble. */
#define COMING_MS 1500

/* The store of kept parts that the configuration names, or NULL. */
const relay_service_t *
cache_kv_store(const relay_t *relay)
{
    const relay_service_t *service;
    if (relay->config == NULL) {
        return NULL;
    }
    CK_SLIST_FOREACH (service, &relay->config->services, entry) {
        if (service->kv_store) {
            return service;
        }
    }
    return NULL;
}

/* Levels that others can have too: all but the request's own part. */
static unsigned
shared_levels(const prefix_t *prefix)
{
    return prefix->count > 1 ? prefix->count - 1 : 0;
}

server_t *
server_numbered(const relay_t *relay, uint16_t number)
{
    server_t *server;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (server->number == number) {
            return server;
        }
    }
    return NULL;
}

static bool
take_source(const relay_t *relay, const server_t *to, uint16_t number,
            cache_source_t *out)
{
    if (number == KV_STORE_NUMBER) {
        const relay_service_t *store = cache_kv_store(relay);
        if (store == NULL) {
            return false;
        }
        str_copy(out->addr, sizeof(out->addr), store->addr);
        out->same_dc = strcmp(store->dc, to->said.dc) == 0;
        out->kv_store = true;
        return true;
    }
    const server_t *from = server_numbered(relay, number);
    if (from == NULL || from == to || from->gone || from->misplaced ||
        time_mono_ms() < from->closed_ms) {
        return false;
    }
    str_copy(out->addr, sizeof(out->addr), from->said.addr);
    out->same_dc = strcmp(from->said.dc, to->said.dc) == 0;
    out->kv_store = false;
    return true;
}

/* A server's copy is nearer than the store's, one of the same data centre
 * nearer than another's; among equals the one noted last is the surest. */
static bool
is_better(const cache_source_t *a, const cache_source_t *b)
{
    if (a->kv_store != b->kv_store) {
        return !a->kv_store;
    }
    return a->same_dc || !b->same_dc;
}

static bool
find_source(relay_t *relay, const prefix_level_t *level, const server_t *to,
            int64_t now, cache_source_t *out)
{
    uint16_t numbers[SOURCES_MAX];
    bool found = false;
    size_t count =
        cache_map_holders(relay->cache, level->key, now - KV_STORE_BELIEF_MS,
                          numbers, SOURCES_MAX);
    for (size_t i = 0; i < count; i++) {
        cache_source_t source = {.tokens = level->tokens};
        prefix_t one = {.levels = {*level}, .count = 1};
        bool fresh = numbers[i] == KV_STORE_NUMBER ||
                     cache_map_cached_since(relay->cache, &one, numbers[i],
                                            now - BELIEF_MS) > 0;
        if (fresh && take_source(relay, to, numbers[i], &source) &&
            (!found || is_better(&source, out))) {
            *out = source;
            found = true;
        }
    }
    return found;
}

/* A part that a server is still reading stands in the map under a key of its
 * own: whoever comes to that server next finds it read, but nobody can fetch
 * it yet. */
static uint64_t
coming_key(uint64_t key)
{
    return ~key;
}

/* Tokens of a prompt that a server is reading now for another request. */
static uint32_t
coming_tokens(relay_t *relay, const prefix_t *prefix, const server_t *server,
              int64_t now)
{
    prefix_t coming = {.count = shared_levels(prefix)};
    for (unsigned i = 0; i < coming.count; i++) {
        coming.levels[i] = prefix->levels[i];
        coming.levels[i].key = coming_key(prefix->levels[i].key);
    }
    return cache_map_cached_since(relay->cache, &coming, server->number,
                                  now - COMING_MS);
}

/* What a server holds of a prompt, and where it could fetch more. */
void
cache_look(relay_t *relay, const prefix_t *prefix, const server_t *server,
           cache_view_t *out)
{
    int64_t now = time_mono_ms();
    unsigned shared = shared_levels(prefix);
    memset(out, 0, sizeof(*out));
    out->shared = shared > 0 ? prefix->levels[shared - 1].tokens : 0;
    out->here = cache_map_cached_since(relay->cache, prefix, server->number,
                                       now - BELIEF_MS);
    uint32_t coming = coming_tokens(relay, prefix, server, now);
    out->here = coming > out->here ? coming : out->here;
    for (unsigned i = shared; i > 0 && !out->found; i--) {
        const prefix_level_t *level = &prefix->levels[i - 1];
        if (level->tokens <= out->here) {
            return;
        }
        out->found = find_source(relay, level, server, now, &out->source);
    }
}

/* Time that the fetch of what a server lacks takes, ms. */
double
cache_fetch_ms(const cache_view_t *view)
{
    if (!view->found) {
        return 0;
    }
    double ms = (view->source.tokens - view->here) / 1000.0 * FETCH_MS_PER_K;
    ms *= view->source.same_dc ? 1 : FETCH_OTHER_DC;
    ms *= view->source.kv_store ? FETCH_KV_STORE : 1;
    return FETCH_START_MS + ms;
}

/* A server, or the store of kept parts, now holds a prompt.  Peers are told
 * of the parts that they may be asked for too. */
void
cache_note(relay_t *relay, const prefix_t *prefix, uint16_t number)
{
    int64_t now = time_mono_ms();
    const server_t *server = server_numbered(relay, number);
    for (unsigned i = 0; i < prefix->count; i++) {
        const prefix_level_t *level = &prefix->levels[i];
        bool news = cache_map_note_at(relay->cache, number, level->key,
                                      level->tokens, now);
        if (news && i < shared_levels(prefix)) {
            peers_tell_held(relay->peers, server, level->key, level->tokens);
        }
    }
}

/* A prompt was sent to a server, which will hold its parts once it has read
 * them.  Without this two daemons that get prompts with the same part at the
 * same time have it read at two servers: half of what was read again on a day
 * with four changes of weights. */
void
cache_note_coming(relay_t *relay, const prefix_t *prefix, uint16_t number)
{
    int64_t now = time_mono_ms();
    const server_t *server = server_numbered(relay, number);
    for (unsigned i = 0; i < shared_levels(prefix); i++) {
        const prefix_level_t *level = &prefix->levels[i];
        uint64_t key = coming_key(level->key);
        if (cache_map_note_at(relay->cache, number, key, level->tokens, now)) {
            peers_tell_held(relay->peers, server, key, level->tokens);
        }
    }
}

/* All that a daemon that starts should know, at most max facts. */
size_t
cache_facts(relay_t *relay, cache_fact_t *facts, size_t max)
{
    return cache_map_recent(relay->cache, time_mono_ms() - BELIEF_MS, facts,
                            max);
}

/* Whether the store of kept parts holds all that a prompt shares. */
bool
cache_kept(const relay_t *relay, const prefix_t *prefix)
{
    unsigned shared = shared_levels(prefix);
    if (shared == 0) {
        return true;
    }
    prefix_t deepest = {.levels = {prefix->levels[shared - 1]}, .count = 1};
    return cache_map_cached_since(relay->cache, &deepest, KV_STORE_NUMBER,
                                  time_mono_ms() - KV_STORE_BELIEF_MS) > 0;
}
