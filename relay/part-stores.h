#ifndef CELERYSPOOL_PART_STORES_H
#define CELERYSPOOL_PART_STORES_H

/* The stores of kept parts that the configuration names, and what each is
 * believed to hold.  A prompt's parts are kept in one of them, chosen by
 * rendezvous hashing, so that all daemons agree and the stores' room adds up.
 * No I/O and no clock. */

#include "../kernel/prefix.h"
#include "cache-save.h"
#include "held-parts.h"
#include "relay-config.h"

#define PART_STORES_MAX 8

typedef struct {
    char name[CS_NAME_MAX]; /* of its service; empty for a free place */
    held_parts_t *held;
    save_share_t saves; /* of this host */
} part_store_t;

typedef struct {
    part_store_t all[PART_STORES_MAX];
} part_stores_t;

void part_stores_sync(part_stores_t *stores, const relay_config_t *config);
void part_stores_free(part_stores_t *stores);
int part_stores_for(const part_stores_t *stores, uint64_t key);
int part_stores_named(const part_stores_t *stores, const char *name);

#endif
