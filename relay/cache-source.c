#include "cache-source.h"
#include "peers.h"

#include <string.h>

/* Share of an engine's configured memory that holds cached parts. */
#define CAPACITY_SHARE 0.95
/* Time to request and start a fetch. */
#define FETCH_START_MS 8.0
/* A transfer between data centres takes this many times longer. */
#define FETCH_OTHER_DC_RATIO 2.0
/* Transfer time of a token if the configuration lacks sizes or links. */
#define FETCH_DEFAULT_MS_PER_TOKEN 0.01
#define BITS_PER_BYTE 8.0
#define SOURCES_MAX 8
/* A prompt that was not prefilled within this time after it was sent is no
 * longer counted as pending: its server is overloaded or failing. */
#define PENDING_MS 1500

static const relay_service_t *
service_of(const relay_t *relay, const server_t *server)
{
    return relay->config != NULL
               ? relay_config_find_service(relay->config, server->info.service)
               : NULL;
}

/* Returns the number of levels that other prompts can share: all but the last.
 */
static unsigned
shared_levels(const prefix_t *prefix)
{
    return prefix->count > 1 ? prefix->count - 1 : 0;
}

/* Returns the service of the kv store with a number, or NULL. */
static const relay_service_t *
store_service(const relay_t *relay, uint16_t number)
{
    const kv_store_t *store =
        &relay->kv_stores.all[number - KV_STORE_NUMBER_MIN];
    return relay->config != NULL && store->cached_parts != NULL
               ? relay_config_find_service(relay->config, store->name)
               : NULL;
}

/* Returns the service of the kv store for a prompt's shared parts and sets its
 * number; NULL if there is no store or no shared part. */
const relay_service_t *
cache_find_store(const relay_t *relay, const prefix_t *prefix,
                 uint16_t *number)
{
    unsigned shared = shared_levels(prefix);
    int store = shared > 0 ? kv_stores_choose(&relay->kv_stores,
                                              prefix->levels[shared - 1].key)
                           : -1;
    if (store < 0) {
        return NULL;
    }
    *number = (uint16_t)(KV_STORE_NUMBER_MIN + store);
    return store_service(relay, *number);
}

/* Returns the transfer time of one token from a store or server of a service
 * to a server of another, over the slower of their configured links. */
static double
link_ms_per_token(const relay_service_t *from, const relay_service_t *to,
                  bool same_dc)
{
    if (from == NULL || to == NULL || to->bytes_per_token <= 0 ||
        from->link_bits_per_ms <= 0 || to->link_bits_per_ms <= 0) {
        return FETCH_DEFAULT_MS_PER_TOKEN;
    }
    double link = from->link_bits_per_ms < to->link_bits_per_ms
                      ? from->link_bits_per_ms
                      : to->link_bits_per_ms;
    double ms = (double)to->bytes_per_token * BITS_PER_BYTE / link;
    return same_dc ? ms : ms * FETCH_OTHER_DC_RATIO;
}

/* Describes a holder as a source for a server; false if the server cannot
 * fetch from it. */
static bool
fill_source(const relay_t *relay, const server_t *to, uint16_t number,
            cache_source_t *out)
{
    if (number >= KV_STORE_NUMBER_MIN) {
        const relay_service_t *store = store_service(relay, number);
        if (store == NULL) {
            return false;
        }
        str_copy(out->addr, sizeof(out->addr), store->addr);
        out->same_dc = strcmp(store->dc, to->info.dc) == 0;
        out->kv_store = true;
        return true;
    }
    const server_t *from = servers_find_by_number(relay->servers, number);
    /* A request that continued through a weights load may have stored parts
     * of the new weights under the salt of the old ones. */
    if (from == NULL || from == to || from->info.weights != to->info.weights ||
        !server_is_fetch_source(from, time_mono_ms())) {
        return false;
    }
    str_copy(out->addr, sizeof(out->addr), from->info.addr);
    out->same_dc = strcmp(from->info.dc, to->info.dc) == 0;
    out->kv_store = false;
    return true;
}

/* Returns whether source a, listed after b, is preferred to it: a server to a
 * kv store, then the same data centre to another one.  Between equals a wins:
 * it was usually noted later, so its copy is less likely to have been evicted.
 */
static bool
is_better(const cache_source_t *a, const cache_source_t *b)
{
    if (a->kv_store != b->kv_store) {
        return !a->kv_store;
    }
    return a->same_dc || !b->same_dc;
}

/* Returns the estimated cache contents of a server or kv store; NULL for an
 * unused number. */
static cached_parts_t *
holder_parts(const relay_t *relay, uint16_t number)
{
    if (number >= KV_STORE_NUMBER_MIN) {
        return relay->kv_stores.all[number - KV_STORE_NUMBER_MIN].cached_parts;
    }
    const server_t *server = servers_find_by_number(relay->servers, number);
    return server != NULL ? server->cached_parts : NULL;
}

/* Returns the first level from a given one on that is not held, or the end:
 * parts after a missing one cannot be used. */
static unsigned
levels_held_until(const cached_parts_t *parts, const prefix_t *prefix,
                  unsigned from, unsigned to)
{
    unsigned level = from;
    while (level < to && cached_parts_has(parts, prefix->levels[level].key)) {
        level++;
    }
    return level;
}

static bool
holder_has_levels(const relay_t *relay, uint16_t number,
                  const prefix_t *prefix, unsigned from, unsigned to)
{
    const cached_parts_t *parts = holder_parts(relay, number);
    return parts != NULL && levels_held_until(parts, prefix, from, to) == to;
}

static const relay_service_t *
holder_service(const relay_t *relay, uint16_t number)
{
    if (number >= KV_STORE_NUMBER_MIN) {
        return store_service(relay, number);
    }
    const server_t *server = servers_find_by_number(relay->servers, number);
    return server != NULL ? service_of(relay, server) : NULL;
}

/* Finds the best source that holds the levels of a prompt between those that a
 * server holds itself and a last one. */
static bool
find_source(relay_t *relay, const prefix_t *prefix, unsigned from,
            unsigned last, const server_t *to, cache_source_t *out)
{
    const prefix_level_t *level = &prefix->levels[last - 1];
    uint16_t numbers[SOURCES_MAX];
    uint16_t best = 0;
    bool found = false;
    size_t count = cache_map_list_holders(relay->cache_map, level->key, 0,
                                          numbers, SOURCES_MAX);
    for (size_t i = 0; i < count; i++) {
        cache_source_t source = {.tokens = level->tokens};
        if (holder_has_levels(relay, numbers[i], prefix, from, last) &&
            fill_source(relay, to, numbers[i], &source) &&
            (!found || is_better(&source, out))) {
            *out = source;
            best = numbers[i];
            found = true;
        }
    }
    if (found) {
        out->ms_per_token = link_ms_per_token(
            holder_service(relay, best), service_of(relay, to), out->same_dc);
    }
    return found;
}

/* Returns the key of a part that a server is still prefilling.  It differs
 * from the part's own key: the next request at the server can use the part,
 * but other servers cannot fetch it yet. */
static uint64_t
pending_key(uint64_t key)
{
    return ~key;
}

/* Returns the tokens of a prompt that a server is prefilling for another
 * request. */
static uint32_t
pending_tokens(relay_t *relay, const prefix_t *prefix, const server_t *server,
               int64_t now)
{
    prefix_t pending = {.count = shared_levels(prefix)};
    for (unsigned i = 0; i < pending.count; i++) {
        pending.levels[i] = prefix->levels[i];
        pending.levels[i].key = pending_key(prefix->levels[i].key);
    }
    return cache_map_cached_tokens_since(relay->cache_map, &pending,
                                         server->number, now - PENDING_MS);
}

/* Returns whether a server holds all shared parts of a prompt, as far as is
 * known. */
bool
cache_holds_shared(const prefix_t *prefix, const server_t *server)
{
    unsigned shared = shared_levels(prefix);
    return shared > 0 && levels_held_until(server->cached_parts, prefix, 0,
                                           shared) == shared;
}

/* Looks up what a server holds of a prompt and where it can fetch more. */
void
cache_lookup(relay_t *relay, const prefix_t *prefix, const server_t *server,
             cache_view_t *out)
{
    int64_t now = time_mono_ms();
    unsigned shared = shared_levels(prefix);
    unsigned held_levels =
        levels_held_until(server->cached_parts, prefix, 0, shared);
    memset(out, 0, sizeof(*out));
    out->shared_tokens = shared > 0 ? prefix->levels[shared - 1].tokens : 0;
    out->held_tokens =
        held_levels > 0 ? prefix->levels[held_levels - 1].tokens : 0;
    uint32_t pending = pending_tokens(relay, prefix, server, now);
    out->held_tokens = pending > out->held_tokens ? pending : out->held_tokens;
    for (unsigned i = shared; i > held_levels && !out->found; i--) {
        if (prefix->levels[i - 1].tokens <= out->held_tokens) {
            return;
        }
        out->found =
            find_source(relay, prefix, held_levels, i, server, &out->source);
    }
}

/* Returns the estimated time to fetch what a server lacks, 0 without a source.
 */
double
cache_fetch_ms(const cache_view_t *view)
{
    if (!view->found) {
        return 0;
    }
    double ms =
        (view->source.tokens - view->held_tokens) * view->source.ms_per_token;
    return FETCH_START_MS + ms;
}

/* Returns the address from which a server should fetch what it lacks of a
 * prompt, or NULL.  Fetching is faster than prefill.  If no holder of more is
 * known, the address is the kv store's (NULL if there is none): a miss costs a
 * millisecond, another host may have had the part saved, and a server that has
 * evicted parts contrary to the estimate would prefill them again. */
const char *
cache_fetch_address(const cache_view_t *view, const relay_service_t *store)
{
    if (view->found) {
        return view->source.addr;
    }
    return store != NULL && view->shared_tokens > 0 ? store->addr : NULL;
}

/* Returns the name of a holder that other daemons know it by. */
static const char *
holder_name(const relay_t *relay, uint16_t number)
{
    if (number >= KV_STORE_NUMBER_MIN) {
        return relay->kv_stores.all[number - KV_STORE_NUMBER_MIN].name;
    }
    const server_t *server = servers_find_by_number(relay->servers, number);
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

/* Records that a server or kv store has used or stored the shared parts of a
 * prompt, and notifies peers of those that were not recorded recently.  The
 * first part is evicted last, so it is recorded last. */
void
cache_note_held(relay_t *relay, const prefix_t *prefix, uint16_t number)
{
    int64_t now = time_mono_ms();
    cached_parts_t *parts = holder_parts(relay, number);
    for (unsigned i = shared_levels(prefix); i > 0 && parts != NULL; i--) {
        const cached_part_t part = part_of(prefix, i - 1);
        cached_parts_use(parts, &part);
        if (cache_map_add_holder_at(relay->cache_map, number, part.key,
                                    part.prompt_tokens, now)) {
            relay->notify_part(relay->peers, holder_name(relay, number), &part,
                               true);
        }
    }
}

/* Returns the number of a server or kv store by its name; -1 if it is unknown.
 */
static int
holder_number(const relay_t *relay, const char *holder)
{
    const server_t *server = servers_find(relay->servers, holder);
    int store = kv_stores_find(&relay->kv_stores, holder);
    if (holder[0] == '\0' || (server == NULL && store < 0)) {
        return -1;
    }
    return server != NULL ? server->number : KV_STORE_NUMBER_MIN + store;
}

/* Records a part that a holder has by its own list or events, and notifies
 * peers if it was not known. */
void
cache_note_appeared(relay_t *relay, const char *holder,
                    const cached_part_t *part)
{
    int number = holder_number(relay, holder);
    cached_parts_t *parts =
        number >= 0 ? holder_parts(relay, (uint16_t)number) : NULL;
    if (parts == NULL || cached_parts_has(parts, part->key)) {
        return;
    }
    cached_parts_use(parts, part);
    (void)cache_map_add_holder_at(relay->cache_map, (uint16_t)number,
                                  part->key, part->prompt_tokens,
                                  time_mono_ms());
    relay->meter.cache_parts_appeared++;
    relay->notify_part(relay->peers, holder, part, true);
}

/* Records that a holder evicted a part; false if it was not known to hold it.
 */
bool
cache_note_evicted(relay_t *relay, const char *holder, uint64_t key)
{
    int number = holder_number(relay, holder);
    cached_parts_t *parts =
        number >= 0 ? holder_parts(relay, (uint16_t)number) : NULL;
    if (parts == NULL || !cached_parts_has(parts, key)) {
        return false;
    }
    cached_parts_remove(parts, key);
    (void)cache_map_remove_holder(relay->cache_map, (uint16_t)number, key);
    return true;
}

/* Applies a peer's notice that a holder has used or is prefilling a part. */
void
cache_apply_notice(relay_t *relay, const char *holder,
                   const cached_part_t *part)
{
    server_t *server = servers_find(relay->servers, holder);
    int store = kv_stores_find(&relay->kv_stores, holder);
    if (holder[0] == '\0' || (server == NULL && store < 0)) {
        return;
    }
    uint16_t number = server != NULL ? server->number
                                     : (uint16_t)(KV_STORE_NUMBER_MIN + store);
    int64_t now = time_mono_ms();
    (void)cache_map_add_holder_at(relay->cache_map, number, part->key,
                                  part->prompt_tokens, now);
    if (part->tokens == 0) {
        cache_follower_note_request(relay->cache_follower,
                                    pending_key(part->key));
        return; /* still being prefilled */
    }
    cache_follower_note_request(relay->cache_follower, part->key);
    cached_parts_use(holder_parts(relay, number), part);
    if (server != NULL) {
        server_confirm_alive(server, now);
    }
}

/* Clears the estimated cache contents of a server that restarted, changed
 * weights or was removed. */
void
cache_clear(relay_t *relay, const server_t *server)
{
    cache_map_clear_backend(relay->cache_map, server->number);
    cached_parts_clear(server->cached_parts);
}

/* Sets the capacity of a server's cache from the configuration. */
void
cache_set_capacity(const relay_t *relay, const server_t *server)
{
    const relay_service_t *service = service_of(relay, server);
    if (service != NULL) {
        cached_parts_set_capacity(
            server->cached_parts,
            (int64_t)(CAPACITY_SHARE * (double)service->cache_tokens));
    }
}

/* Applies a new configuration to the kv stores and the capacities of all
 * caches. */
void
cache_apply_config(relay_t *relay)
{
    server_t *server;
    kv_stores_sync(&relay->kv_stores, relay->config);
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        cache_set_capacity(relay, server);
    }
}

/* Records that a prompt was sent to a server, which will hold its parts after
 * prefill, and notifies peers.  Without this two daemons that receive prompts
 * with the same part at the same time have it prefilled at two servers, as
 * happens after every change of weights. */
void
cache_note_pending(relay_t *relay, const prefix_t *prefix, uint16_t number)
{
    int64_t now = time_mono_ms();
    for (unsigned i = 0; i < shared_levels(prefix); i++) {
        const prefix_level_t *level = &prefix->levels[i];
        const cached_part_t part = {.key = pending_key(level->key),
                                    .prompt_tokens = level->tokens};
        cache_follower_note_request(relay->cache_follower, level->key);
        if (cache_map_add_holder_at(relay->cache_map, number, part.key,
                                    level->tokens, now)) {
            relay->notify_part(relay->peers, holder_name(relay, number), &part,
                               true);
        }
    }
}

/* Returns whether the kv store with a number has all shared parts of a prompt.
 */
static bool
store_has_shared(const relay_t *relay, const prefix_t *prefix, uint16_t number)
{
    return holder_has_levels(relay, number, prefix, 0, shared_levels(prefix));
}

/* Returns whether a server that a prompt is sent to should save its shared
 * parts to the kv store with a number. */
static bool
should_save(relay_t *relay, const prefix_t *prefix, const server_t *server,
            uint16_t number)
{
    kv_store_t *store = &relay->kv_stores.all[number - KV_STORE_NUMBER_MIN];
    const relay_service_t *to = store_service(relay, number);
    const relay_service_t *from = service_of(relay, server);
    unsigned shared = shared_levels(prefix);
    if (to == NULL || shared == 0) {
        return false;
    }
    unsigned held_levels =
        levels_held_until(store->cached_parts, prefix, 0, shared);
    uint32_t total = prefix->levels[shared - 1].tokens;
    bool known_size = from != NULL && from->bytes_per_token > 0;
    save_params_t params = {
        .link_tokens_per_ms =
            known_size ? (double)to->link_bits_per_ms /
                             ((double)from->bytes_per_token * BITS_PER_BYTE)
                       : 0,
        .hosts = peers_live_count(relay->peers),
        .same_dc = strcmp(to->dc, server->info.dc) == 0,
        .shared_tokens =
            total -
            (held_levels > 0 ? prefix->levels[held_levels - 1].tokens : 0),
        .unshared_tokens = prefix->tokens - total};
    return cache_save_allowed(&store->save_bucket, &params, time_mono_ms());
}

/* Plans the transfers for a prompt that is sent to a server: where the server
 * fetches what it lacks and where it saves the shared parts. */
void
cache_plan_transfer(relay_t *relay, const prefix_t *prefix,
                    const server_t *server, bool use_kv_stores,
                    cache_transfer_t *out)
{
    uint16_t number;
    cache_view_t view;
    memset(out, 0, sizeof(*out));
    cache_lookup(relay, prefix, server, &view);
    view.found = view.found && (use_kv_stores || !view.source.kv_store);
    const relay_service_t *store =
        use_kv_stores ? cache_find_store(relay, prefix, &number) : NULL;
    const char *from = cache_fetch_address(&view, store);
    out->cached_tokens = view.found ? view.source.tokens : view.held_tokens;
    if (from != NULL) {
        str_copy(out->fetch_addr, sizeof(out->fetch_addr), from);
    }
    if (store != NULL && !store_has_shared(relay, prefix, number) &&
        should_save(relay, prefix, server, number)) {
        str_copy(out->save_addr, sizeof(out->save_addr), store->addr);
    }
}
