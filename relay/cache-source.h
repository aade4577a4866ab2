#ifndef CELERYSPOOL_CACHE_SOURCE_H
#define CELERYSPOOL_CACHE_SOURCE_H

/* Where a server can fetch cached parts of a prompt that it does not hold. */

#include "prompt.h"
#include "relay.h"

/* The cache map's first number of a kv store. */
#define KV_STORE_NUMBER_MIN SERVER_NUMBERS_MAX
_Static_assert(KV_STORE_NUMBER_MIN + KV_STORES_MAX == HOLDER_NUMBERS_MAX,
               "numbers of stores");

typedef struct {
    uint32_t tokens; /* prompt tokens that the source holds */
    char addr[CS_ADDR_MAX];
    bool same_dc;        /* in the data centre of the fetching server */
    bool kv_store;       /* a kv store; else a server */
    double ms_per_token; /* over the slower of the two links */
} cache_source_t;

typedef struct {
    uint32_t held_tokens;   /* held or being prefilled by the server */
    uint32_t shared_tokens; /* in the prompt's shared parts */
    bool found;             /* another holder has more of the prompt */
    cache_source_t source;  /* valid if found */
} cache_view_t;

/* What a server is asked to transfer for a prompt. */
typedef struct {
    char fetch_addr[CS_ADDR_MAX]; /* empty for no fetch */
    char save_addr[CS_ADDR_MAX];  /* of a kv store; empty for no save */
    uint32_t cached_tokens;       /* held by the server or its source */
} cache_transfer_t;

void cache_lookup(relay_t *relay, const prefix_t *prefix,
                  const server_t *server, cache_view_t *out);
void cache_note_held(relay_t *relay, const prefix_t *prefix, uint16_t number);
void cache_note_appeared(relay_t *relay, const char *holder,
                         const cached_part_t *part);
bool cache_note_evicted(relay_t *relay, const char *holder, uint64_t key);
void cache_apply_notice(relay_t *relay, const char *holder,
                        const cached_part_t *part);
void cache_clear(relay_t *relay, const server_t *server);
void cache_set_capacity(const relay_t *relay, const server_t *server);
void cache_apply_config(relay_t *relay);
void cache_note_pending(relay_t *relay, const prefix_t *prefix,
                        uint16_t number);
bool cache_holds_shared(const prefix_t *prefix, const server_t *server);
double cache_fetch_ms(const cache_view_t *view);
const relay_service_t *cache_find_store(const relay_t *relay,
                                        const prefix_t *prefix,
                                        uint16_t *number);
const char *cache_fetch_address(const cache_view_t *view,
                                const relay_service_t *store);
void cache_plan_transfer(relay_t *relay, const prefix_t *prefix,
                         const server_t *server, bool use_kv_stores,
                         cache_transfer_t *out);

#endif
