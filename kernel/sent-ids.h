#ifndef CELERYSPOOL_SENT_IDS_H
#define CELERYSPOOL_SENT_IDS_H

/* The ids of the requests that a connection has carried, as hashes. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    uint64_t *hashes;
    size_t count;
    size_t size;
} sent_ids_t;

uint64_t sent_ids_hash(const char *id);
bool sent_ids_has(const sent_ids_t *ids, uint64_t hash);
void sent_ids_add(sent_ids_t *ids, uint64_t hash);
bool sent_ids_is_full(const sent_ids_t *ids);
void sent_ids_free(sent_ids_t *ids);

#endif
