#ifndef CELERYSPOOL_ORIGIN_RECORDS_H
#define CELERYSPOOL_ORIGIN_RECORDS_H

/* Origins of streams that are kept in the platform's store, for the case that
 * all hosts that know them end together: the batch that is to be written, and
 * what was read.  No I/O and no clock; times are of the wall clock, so that
 * hosts can exchange them. */

#include "stream-id.h"

/* Origins that wait to be written; of more, the oldest is dropped. */
#define ORIGIN_BATCH_MAX 1024
/* Objects that each host writes in turn. */
#define ORIGIN_SLOTS 96
/* Hosts that write origins; the others send theirs to one of them. */
#define ORIGIN_RECORDERS_MAX 16

typedef struct {
    stream_id_t stream;
    uint64_t service;
    uint64_t software;
    int64_t expires_ms;
} origin_record_t;

typedef struct {
    origin_record_t all[ORIGIN_BATCH_MAX];
    size_t count;
} origin_batch_t;

typedef struct {
    origin_record_t *all; /* sorted by stream once they are complete */
    size_t count;
    size_t room;
    bool sorted;
} origin_records_t;

void origin_batch_add(origin_batch_t *batch, const origin_record_t *record);
void origin_batch_drop(origin_batch_t *batch, size_t count);
void origin_batch_expire(origin_batch_t *batch, int64_t now_ms);

void origin_records_clear(origin_records_t *records);
void origin_records_add(origin_records_t *records,
                        const origin_record_t *record, int64_t now_ms);
void origin_records_complete(origin_records_t *records);
bool origin_records_find(const origin_records_t *records,
                         const stream_id_t *wanted, int64_t now_ms,
                         origin_record_t *out);

int64_t origin_slot_ms(int64_t longest_ms);
void origin_segment_name(const char *host, int64_t slot_ms, int64_t slot,
                         char *out, size_t size);
size_t origin_recorder_count(size_t daemons);

#endif
