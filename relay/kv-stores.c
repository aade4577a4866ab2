#include "kv-stores.h"
#include "../kernel/tables.h"

#include <string.h>

static bool
config_has_store(const relay_config_t *config, const char *name)
{
    const relay_service_t *service = relay_config_find_service(config, name);
    return service != NULL && service->kv_store;
}

static void
store_clear(kv_store_t *store)
{
    cached_parts_free(store->cached_parts);
    *store = (kv_store_t){0};
}

static void
store_put(kv_stores_t *stores, const relay_service_t *service)
{
    int index = kv_stores_find(stores, service->name);
    if (index < 0) {
        index = kv_stores_find(stores, "");
    }
    if (index < 0) {
        log_error("cache", "Too many kv stores: %s is not used.",
                  service->name);
        return;
    }
    kv_store_t *store = &stores->all[index];
    if (store->cached_parts == NULL) {
        store->cached_parts = cached_parts_new();
        str_copy(store->name, sizeof(store->name), service->name);
    }
    cached_parts_set_capacity(store->cached_parts, service->cache_tokens);
}

/* Applies the stores of a configuration; the estimated contents of those that
 * remain are kept. */
void
kv_stores_sync(kv_stores_t *stores, const relay_config_t *config)
{
    const relay_service_t *service;
    for (size_t i = 0; i < KV_STORES_MAX; i++) {
        kv_store_t *store = &stores->all[i];
        if (store->cached_parts != NULL &&
            !config_has_store(config, store->name)) {
            store_clear(store);
        }
    }
    CK_SLIST_FOREACH (service, &config->services, entry) {
        if (service->kv_store) {
            store_put(stores, service);
        }
    }
}

void
kv_stores_free(kv_stores_t *stores)
{
    for (size_t i = 0; i < KV_STORES_MAX; i++) {
        store_clear(&stores->all[i]);
    }
}

/* Returns the index of the store that keeps a part, or -1 if there is no
 * store. */
int
kv_stores_choose(const kv_stores_t *stores, uint64_t key)
{
    int best = -1;
    uint64_t best_weight = 0;
    for (int i = 0; i < KV_STORES_MAX; i++) {
        const kv_store_t *store = &stores->all[i];
        uint64_t weight = store->cached_parts != NULL
                              ? place_rendezvous_weight(key, store->name)
                              : 0;
        if (store->cached_parts != NULL &&
            (best < 0 || weight > best_weight)) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

/* Returns the index of the store with a name, or of a free element for an
 * empty name; -1 if there is none. */
int
kv_stores_find(const kv_stores_t *stores, const char *name)
{
    for (int i = 0; i < KV_STORES_MAX; i++) {
        if (strcmp(stores->all[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}
