#ifndef CELERYSPOOL_ORIGIN_STORE_H
#define CELERYSPOOL_ORIGIN_STORE_H

/* Keeps the origins of streams in the platform's store while a service has
 * servers of several software versions, or of one that the store's record does
 * not list, and reads them when no host knows the origin of a stream that is
 * taken up.  See origin-records.h and software-record.h. */

#include "relay.h"

/* What the store says of the origin of a stream. */
typedef enum {
    ORIGIN_STORE_FOUND,
    ORIGIN_STORE_NONE,   /* it has none, or cannot be asked now */
    ORIGIN_STORE_READING /* requests_apply_records is called at the end */
} origin_store_answer_t;

origin_store_t *origin_store_new(relay_t *relay);
void origin_store_note(origin_store_t *store, const stream_origin_t *origin);
void origin_store_add(origin_store_t *store, const stream_origin_t *origin);
void origin_store_tick(origin_store_t *store, int64_t now);
origin_store_answer_t origin_store_find(origin_store_t *store,
                                        const stream_id_t *stream,
                                        stream_origin_t *out);

#endif
