#ifndef CELERYSPOOL_KV_STORES_H
#define CELERYSPOOL_KV_STORES_H

/* The configured kv stores and their estimated contents.  A prompt's parts are
 * kept in one of them, chosen by rendezvous hashing, so that all daemons agree
 * and the stores' capacities add up.  No I/O and no clock. */

#include "../kernel/prefix.h"
#include "cache-save.h"
#include "cached-parts.h"
#include "relay-config.h"

#define KV_STORES_MAX 8

typedef struct {
    char name[CS_NAME_MAX]; /* of the service; empty for a free element */
    cached_parts_t *cached_parts;
    save_bucket_t save_bucket; /* limits this host's saves */
} kv_store_t;

typedef struct {
    kv_store_t all[KV_STORES_MAX];
} kv_stores_t;

void kv_stores_sync(kv_stores_t *stores, const relay_config_t *config);
void kv_stores_free(kv_stores_t *stores);
int kv_stores_choose(const kv_stores_t *stores, uint64_t key);
int kv_stores_find(const kv_stores_t *stores, const char *name);

#endif
