#include "origin-records.h"

#include <stdlib.h>
#include <string.h>

/* A slot is written at most so often, ms. */
#define SLOT_MS_MIN 250
/* An object is written again only after this time and the longest lifetime of
 * a stream: clocks of hosts differ by seconds. */
#define CLOCKS_DIFFER_MS 8000
/* Up to this many hosts all write their own origins; in a larger fleet one
 * more for every so many hosts, so that writes and bytes stay bounded. */
#define ALL_RECORD_MAX 8
#define HOSTS_PER_RECORDER 44

/* Adds an origin that is to be written. */
void
origin_batch_add(origin_batch_t *batch, const origin_record_t *record)
{
    if (batch->count == ORIGIN_BATCH_MAX) {
        origin_batch_drop(batch, 1);
    }
    batch->all[batch->count++] = *record;
}

/* Drops the oldest origins, which were written. */
void
origin_batch_drop(origin_batch_t *batch, size_t count)
{
    size_t dropped = count < batch->count ? count : batch->count;
    batch->count -= dropped;
    memmove(batch->all, batch->all + dropped,
            batch->count * sizeof(batch->all[0]));
}

/* Drops what has expired before it could be written. */
void
origin_batch_expire(origin_batch_t *batch, int64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < batch->count; i++) {
        if (batch->all[i].expires_ms > now_ms) {
            batch->all[kept++] = batch->all[i];
        }
    }
    batch->count = kept;
}

void
origin_records_clear(origin_records_t *records)
{
    free(records->all);
    memset(records, 0, sizeof(*records));
}

/* Adds an origin that was read, unless it has expired. */
void
origin_records_add(origin_records_t *records, const origin_record_t *record,
                   int64_t now_ms)
{
    if (record->expires_ms <= now_ms) {
        return;
    }
    if (records->count == records->room) {
        size_t room = records->room == 0 ? 256 : records->room * 2;
        origin_record_t *grown =
            realloc(records->all, room * sizeof(records->all[0]));
        if (grown == NULL) {
            abort();
        }
        records->all = grown;
        records->room = room;
    }
    records->all[records->count++] = *record;
    records->sorted = false;
}

static int
compare(const void *a, const void *b)
{
    const origin_record_t *first = a;
    const origin_record_t *second = b;
    return (first->stream.attempt > second->stream.attempt) -
           (first->stream.attempt < second->stream.attempt);
}

/* All origins were added: they can be found now. */
void
origin_records_complete(origin_records_t *records)
{
    if (records->count > 0) {
        qsort(records->all, records->count, sizeof(records->all[0]), compare);
    }
    records->sorted = true;
}

/* Returns the first record of an attempt, or its end. */
static size_t
lower_bound(const origin_records_t *records, uint64_t attempt)
{
    size_t low = 0;
    size_t high = records->count;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (records->all[middle].stream.attempt < attempt) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Finds the origin of a stream.  If its records differ on the version, that is
 * not known, whichever of them is younger. */
bool
origin_records_find(const origin_records_t *records, const stream_id_t *wanted,
                    int64_t now_ms, origin_record_t *out)
{
    stream_pick_t pick = {.match = STREAM_OTHER};
    if (!records->sorted) {
        return false;
    }
    for (size_t i = lower_bound(records, wanted->attempt);
         i < records->count &&
         records->all[i].stream.attempt == wanted->attempt;
         i++) {
        const origin_record_t *record = &records->all[i];
        const stream_pick_t known = {
            .match = stream_id_match(&record->stream, wanted),
            .service = record->service,
            .software = record->software,
            .expires_ms = record->expires_ms};
        if (record->expires_ms > now_ms) {
            stream_pick_add(&pick, &known);
        }
    }
    *out = (origin_record_t){.stream = *wanted,
                             .service = pick.service,
                             .software = pick.software,
                             .expires_ms = pick.expires_ms};
    return pick.match != STREAM_OTHER;
}

/* Returns the time that each of the ORIGIN_SLOTS objects of a host covers, so
 * that none is written again while its origins are needed.  It is one of a
 * few, so that a host has few sets of objects. */
int64_t
origin_slot_ms(int64_t longest_ms)
{
    int64_t ms = SLOT_MS_MIN;
    while (ms * (ORIGIN_SLOTS - 1) < longest_ms + CLOCKS_DIFFER_MS) {
        ms *= 2;
    }
    return ms;
}

/* Writes the name of the object that a host writes in a slot.  Slots of
 * another length have other objects: a change of the longest timeout renumbers
 * them. */
void
origin_segment_name(const char *host, int64_t slot_ms, int64_t slot, char *out,
                    size_t size)
{
    (void)snprintf(out, size, "%s-%lld-%d", host, (long long)slot_ms,
                   (int)(slot % ORIGIN_SLOTS));
}

/* Returns how many hosts of a fleet write origins; 0 for all. */
size_t
origin_recorder_count(size_t daemons)
{
    if (daemons <= ALL_RECORD_MAX) {
        return 0;
    }
    size_t count = ALL_RECORD_MAX + daemons / HOSTS_PER_RECORDER;
    return count < ORIGIN_RECORDERS_MAX ? count : ORIGIN_RECORDERS_MAX;
}
