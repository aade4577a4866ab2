#include "sent-ids.h"

#include "base.h"

#include <stdlib.h>

/* Ids that are kept.  None may be forgotten while the connection is open, so a
 * connection that has carried as many is not used again. */
#define SENT_IDS_MAX 4096
#define SENT_IDS_FIRST_SIZE 8

/* Returns the hash by which an id is kept. */
uint64_t
sent_ids_hash(const char *id)
{
    return str_hash(id, 0);
}

/* Whether the connection may have carried a request whose id has this hash: of
 * two ids with the same hash, one that it has not carried is taken for the
 * other. */
bool
sent_ids_has(const sent_ids_t *ids, uint64_t hash)
{
    for (size_t i = 0; i < ids->count; i++) {
        if (ids->hashes[i] == hash) {
            return true;
        }
    }
    return false;
}

static void
grow(sent_ids_t *ids)
{
    size_t size = ids->size > 0 ? ids->size * 2 : SENT_IDS_FIRST_SIZE;
    uint64_t *hashes = realloc(ids->hashes, size * sizeof(*hashes));
    if (hashes == NULL) {
        abort();
    }
    ids->hashes = hashes;
    ids->size = size;
}

/* Adds the hash of the id of a request that is sent over the connection. */
void
sent_ids_add(sent_ids_t *ids, uint64_t hash)
{
    if (ids->count == ids->size) {
        grow(ids);
    }
    ids->hashes[ids->count++] = hash;
}

/* Whether no further request may be sent over the connection. */
bool
sent_ids_is_full(const sent_ids_t *ids)
{
    return ids->count >= SENT_IDS_MAX;
}

/* Frees the ids; none is kept afterwards. */
void
sent_ids_free(sent_ids_t *ids)
{
    free(ids->hashes);
    *ids = (sent_ids_t){0};
}
