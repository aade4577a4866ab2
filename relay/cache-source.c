#include "cache-source.h"
#include "peers.h"

#include <string.h>

/* Part of an engine's memory that holds parts of prompts. */
#define ROOM_PART 0.95
/* Time to ask for a fetch and to start it, ms. */
#define FETCH_START_MS 8.0
/* A link between data centres takes so much longer. */
#define FETCH_OTHER_DC 2.0
/* Where the configuration has no sizes or links, ms a token. */
#define FETCH_UNKNOWN_MS 0.01
#define BITS_PER_BYTE 8.0
#define SOURCES_MAX 8
/* A prompt that was sent is read within this time, ms, or its server is in
 * trouble. */
#define PENDING_MS 1500

static const relay_service_t *
service_of(const relay_t *relay, const server_t *server)
{
    return relay->config != NULL
               ? relay_config_service(relay->config, server->info.service)
               : NULL;
}

/* Levels that others can have too: all but the request's own part. */
static unsigned
shared_levels(const prefix_t *prefix)
{
    return prefix->count > 1 ? prefix->count - 1 : 0;
}

/* The service of the store with a number, or NULL. */
static const relay_service_t *
store_service(const relay_t *relay, uint16_t number)
{
    const kv_store_t *store = &relay->stores.all[number - KV_STORE_NUMBER];
    return relay->config != NULL && store->held != NULL
               ? relay_config_service(relay->config, store->name)
               : NULL;
}

/* The store that keeps what a prompt shares, and its number; NULL if there is
 * no store or nothing is shared. */
const relay_service_t *
cache_store_for(const relay_t *relay, const prefix_t *prefix, uint16_t *number)
{
    unsigned shared = shared_levels(prefix);
    int at = shared > 0 ? kv_stores_for(&relay->stores,
                                        prefix->levels[shared - 1].key)
                        : -1;
    if (at < 0) {
        return NULL;
    }
    *number = (uint16_t)(KV_STORE_NUMBER + at);
    return store_service(relay, *number);
}

/* Time that one token takes from a store or a server of a service to a server
 * of another, by what the configuration says of their links. */
static double
token_ms(const relay_service_t *from, const relay_service_t *to, bool same_dc)
{
    if (from == NULL || to == NULL || to->token_bytes <= 0 ||
        from->link_bits_per_ms <= 0 || to->link_bits_per_ms <= 0) {
        return FETCH_UNKNOWN_MS;
    }
    double link = from->link_bits_per_ms < to->link_bits_per_ms
                      ? from->link_bits_per_ms
                      : to->link_bits_per_ms;
    double ms = (double)to->token_bytes * BITS_PER_BYTE / link;
    return same_dc ? ms : ms * FETCH_OTHER_DC;
}

static bool
take_source(const relay_t *relay, const server_t *to, uint16_t number,
            cache_source_t *out)
{
    if (number >= KV_STORE_NUMBER) {
        const relay_service_t *store = store_service(relay, number);
        if (store == NULL) {
            return false;
        }
        str_copy(out->addr, sizeof(out->addr), store->addr);
        out->same_dc = strcmp(store->dc, to->info.dc) == 0;
        out->kv_store = true;
        return true;
    }
    const server_t *from = servers_numbered(relay->servers, number);
    /* Parts under the name of other weights may have been made after a load,
     * by a run that went on beside it. */
    if (from == NULL || from == to || from->info.weights != to->info.weights ||
        !server_is_source(from, time_mono_ms())) {
        return false;
    }
    str_copy(out->addr, sizeof(out->addr), from->info.addr);
    out->same_dc = strcmp(from->info.dc, to->info.dc) == 0;
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

/* What a server, or a kv store, is believed to hold; NULL for a
 * unused number. */
static cached_parts_t *
held_by(const relay_t *relay, uint16_t number)
{
    if (number >= KV_STORE_NUMBER) {
        return relay->stores.all[number - KV_STORE_NUMBER].held;
    }
    const server_t *server = servers_numbered(relay->servers, number);
    return server != NULL ? server->held : NULL;
}

/* How many levels of a prompt are held without a gap, counted from one of
 * them on: behind a part that is missing the rest is of no use. */
static unsigned
levels_held(const cached_parts_t *held, const prefix_t *prefix, unsigned from,
            unsigned to)
{
    unsigned at = from;
    while (at < to && cached_parts_has(held, prefix->levels[at].key)) {
        at++;
    }
    return at;
}

static bool
holds(const relay_t *relay, uint16_t number, const prefix_t *prefix,
      unsigned from, unsigned to)
{
    const cached_parts_t *held = held_by(relay, number);
    return held != NULL && levels_held(held, prefix, from, to) == to;
}

static const relay_service_t *
holder_service(const relay_t *relay, uint16_t number)
{
    if (number >= KV_STORE_NUMBER) {
        return store_service(relay, number);
    }
    const server_t *server = servers_numbered(relay->servers, number);
    return server != NULL ? service_of(relay, server) : NULL;
}

/* The nearest holder of the levels of a prompt between those that a server
 * holds itself and a last one. */
static bool
find_source(relay_t *relay, const prefix_t *prefix, unsigned from,
            unsigned last, const server_t *to, cache_source_t *out)
{
    const prefix_level_t *level = &prefix->levels[last - 1];
    uint16_t numbers[SOURCES_MAX];
    uint16_t best = 0;
    bool found = false;
    size_t count = cache_map_list_holders(relay->cache, level->key, 0, numbers,
                                          SOURCES_MAX);
    for (size_t i = 0; i < count; i++) {
        cache_source_t source = {.tokens = level->tokens};
        if (holds(relay, numbers[i], prefix, from, last) &&
            take_source(relay, to, numbers[i], &source) &&
            (!found || is_better(&source, out))) {
            *out = source;
            best = numbers[i];
            found = true;
        }
    }
    if (found) {
        out->ms_per_token = token_ms(holder_service(relay, best),
                                     service_of(relay, to), out->same_dc);
    }
    return found;
}

/* A part that a server is still reading has a key of its own: the next request
 * there finds it read, but it cannot be fetched yet. */
static uint64_t
pending_key(uint64_t key)
{
    return ~key;
}

/* Tokens of a prompt that a server is reading now for another request. */
static uint32_t
pending_tokens(relay_t *relay, const prefix_t *prefix, const server_t *server,
               int64_t now)
{
    prefix_t coming = {.count = shared_levels(prefix)};
    for (unsigned i = 0; i < coming.count; i++) {
        coming.levels[i] = prefix->levels[i];
        coming.levels[i].key = pending_key(prefix->levels[i].key);
    }
    return cache_map_cached_tokens_since(relay->cache, &coming, server->number,
                                         now - PENDING_MS);
}

/* Whether a server is believed to hold all that a prompt shares. */
bool
cache_holds_shared(const prefix_t *prefix, const server_t *server)
{
    unsigned shared = shared_levels(prefix);
    return shared > 0 &&
           levels_held(server->held, prefix, 0, shared) == shared;
}

/* What a server holds of a prompt, and where it could fetch more. */
void
cache_look(relay_t *relay, const prefix_t *prefix, const server_t *server,
           cache_view_t *out)
{
    int64_t now = time_mono_ms();
    unsigned shared = shared_levels(prefix);
    unsigned held = levels_held(server->held, prefix, 0, shared);
    memset(out, 0, sizeof(*out));
    out->shared = shared > 0 ? prefix->levels[shared - 1].tokens : 0;
    out->here = held > 0 ? prefix->levels[held - 1].tokens : 0;
    uint32_t coming = pending_tokens(relay, prefix, server, now);
    out->here = coming > out->here ? coming : out->here;
    for (unsigned i = shared; i > held && !out->found; i--) {
        if (prefix->levels[i - 1].tokens <= out->here) {
            return;
        }
        out->found = find_source(relay, prefix, held, i, server, &out->source);
    }
}

/* Time that the fetch of what a server lacks takes, ms. */
double
cache_fetch_ms(const cache_view_t *view)
{
    if (!view->found) {
        return 0;
    }
    double ms = (view->source.tokens - view->here) * view->source.ms_per_token;
    return FETCH_START_MS + ms;
}

/* The address at which a server should fetch what it lacks of a prompt, or
 * NULL.  Fetching is quicker than reading.  Where no holder of more is
 * known, the kv store (NULL if there is none) is named all the same:
 * a miss costs a millisecond, another host may have had the part kept, and a
 * server that has dropped what it was believed to hold would read it again. */
const char *
cache_fetch_from(const cache_view_t *view, const relay_service_t *store)
{
    if (view->found) {
        return view->source.addr;
    }
    return store != NULL && view->shared > 0 ? store->addr : NULL;
}

/* The name by which other daemons know a holder. */
static const char *
holder_name(const relay_t *relay, uint16_t number)
{
    if (number >= KV_STORE_NUMBER) {
        return relay->stores.all[number - KV_STORE_NUMBER].name;
    }
    const server_t *server = servers_numbered(relay->servers, number);
    return server != NULL ? server->info.id : "";
}

static cached_part_t
part_of(const prefix_t *prefix, unsigned level)
{
    uint32_t before = level > 0 ? prefix->levels[level - 1].tokens : 0;
    return (cached_part_t){.key = prefix->levels[level].key,
                           .prompt_tokens = prefix->levels[level].tokens,
                           .tokens = prefix->levels[level].tokens - before};
}

/* A server, or a kv store, has used or taken in the parts of a
 * prompt.  Peers are notified of shared parts.  The first part is evicted
 * last, so it is noted last. */
void
cache_note(relay_t *relay, const prefix_t *prefix, uint16_t number)
{
    int64_t now = time_mono_ms();
    cached_parts_t *held = held_by(relay, number);
    for (unsigned i = shared_levels(prefix); i > 0 && held != NULL; i--) {
        const cached_part_t part = part_of(prefix, i - 1);
        cached_parts_use(held, &part);
        if (cache_map_add_holder_at(relay->cache, number, part.key,
                                    part.prompt_tokens, now)) {
            relay->notify_part(relay->peers, holder_name(relay, number), &part,
                               true);
        }
    }
}

/* The number of a server or kv store by its name; -1 if it is unknown. */
static int
holder_number(const relay_t *relay, const char *holder)
{
    const server_t *server = servers_find(relay->servers, holder);
    int store = kv_stores_named(&relay->stores, holder);
    if (holder[0] == '\0' || (server == NULL && store < 0)) {
        return -1;
    }
    return server != NULL ? server->number : KV_STORE_NUMBER + store;
}

/* A holder has a part by its own list or events.  Notifies the other daemons
 * if that was not known. */
void
cache_appeared(relay_t *relay, const char *holder, const cached_part_t *part)
{
    int number = holder_number(relay, holder);
    cached_parts_t *held =
        number >= 0 ? held_by(relay, (uint16_t)number) : NULL;
    if (held == NULL || cached_parts_has(held, part->key)) {
        return;
    }
    cached_parts_use(held, part);
    (void)cache_map_add_holder_at(relay->cache, (uint16_t)number, part->key,
                                  part->prompt_tokens, time_mono_ms());
    relay->meter.cache_appeared++;
    relay->notify_part(relay->peers, holder, part, true);
}

/* A holder evicted a part; false if it was not known to hold it. */
bool
cache_evicted(relay_t *relay, const char *holder, uint64_t key)
{
    int number = holder_number(relay, holder);
    cached_parts_t *held =
        number >= 0 ? held_by(relay, (uint16_t)number) : NULL;
    if (held == NULL || !cached_parts_has(held, key)) {
        return false;
    }
    cached_parts_drop(held, key);
    (void)cache_map_remove_holder(relay->cache, (uint16_t)number, key);
    return true;
}

/* Applies a peer's notice that a server uses or reads a part. */
void
cache_apply(relay_t *relay, const char *holder, const cached_part_t *part)
{
    server_t *server = servers_find(relay->servers, holder);
    int store = kv_stores_named(&relay->stores, holder);
    if (holder[0] == '\0' || (server == NULL && store < 0)) {
        return;
    }
    uint16_t number =
        server != NULL ? server->number : (uint16_t)(KV_STORE_NUMBER + store);
    int64_t now = time_mono_ms();
    (void)cache_map_add_holder_at(relay->cache, number, part->key,
                                  part->prompt_tokens, now);
    if (part->tokens == 0) {
        cache_follows_asked(relay->cache_follows, pending_key(part->key));
        return; /* it is only being read */
    }
    cache_follows_asked(relay->cache_follows, part->key);
    cached_parts_use(held_by(relay, number), part);
    if (server != NULL) {
        server_confirm_alive(server, now);
    }
}

/* What a server held is lost: it has started anew, or has other weights. */
void
cache_forget(relay_t *relay, const server_t *server)
{
    cache_map_clear_backend(relay->cache, server->number);
    cached_parts_forget(server->held);
}

/* Take the size of a server's cache from the configuration. */
void
cache_room(const relay_t *relay, const server_t *server)
{
    const relay_service_t *service = service_of(relay, server);
    if (service != NULL) {
        cached_parts_room(
            server->held,
            (int64_t)(ROOM_PART * (double)service->cache_tokens));
    }
}

/* The same for all caches, when there is a new configuration. */
void
cache_rooms(relay_t *relay)
{
    server_t *server;
    kv_stores_sync(&relay->stores, relay->config);
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        cache_room(relay, server);
    }
}

/* A prompt was sent to a server, which will hold its parts once it has read
 * them.  Without this two daemons that get prompts with the same part at the
 * same time have it read at two servers, as whenever weights change. */
void
cache_note_pending(relay_t *relay, const prefix_t *prefix, uint16_t number)
{
    int64_t now = time_mono_ms();
    for (unsigned i = 0; i < shared_levels(prefix); i++) {
        const prefix_level_t *level = &prefix->levels[i];
        const cached_part_t part = {.key = pending_key(level->key),
                                    .prompt_tokens = level->tokens};
        cache_follows_asked(relay->cache_follows, level->key);
        if (cache_map_add_holder_at(relay->cache, number, part.key,
                                    level->tokens, now)) {
            relay->notify_part(relay->peers, holder_name(relay, number), &part,
                               true);
        }
    }
}

/* Whether the store that a prompt belongs to, by its number, has all that the
 * prompt shares. */
bool
cache_kept(const relay_t *relay, const prefix_t *prefix, uint16_t number)
{
    return holds(relay, number, prefix, 0, shared_levels(prefix));
}

/* Whether a server that a prompt goes to is to have a store, by its number,
 * take what the prompt shares. */
bool
cache_save(relay_t *relay, const prefix_t *prefix, const server_t *server,
           uint16_t number)
{
    kv_store_t *store = &relay->stores.all[number - KV_STORE_NUMBER];
    const relay_service_t *to = store_service(relay, number);
    const relay_service_t *from = service_of(relay, server);
    unsigned shared = shared_levels(prefix);
    if (to == NULL || shared == 0) {
        return false;
    }
    unsigned kept = levels_held(store->held, prefix, 0, shared);
    uint32_t total = prefix->levels[shared - 1].tokens;
    bool told = from != NULL && from->token_bytes > 0;
    save_ask_t ask = {
        .link_tokens_per_ms =
            told ? (double)to->link_bits_per_ms /
                       ((double)from->token_bytes * BITS_PER_BYTE)
                 : 0,
        .hosts = peers_live(relay->peers),
        .same_dc = strcmp(to->dc, server->info.dc) == 0,
        .shared = total - (kept > 0 ? prefix->levels[kept - 1].tokens : 0),
        .own = prefix->tokens - total};
    return cache_save_allowed(&store->saves, &ask, time_mono_ms());
}
