#include "stream-origins.h"

#include <stdlib.h>
#include <string.h>

/* Questions to other hosts in a row and a second, in bounded bytes whatever
 * callers send. */
#define QUERIES_BURST 64.0
#define QUERIES_PER_S 16.0
#define MS_PER_S 1000.0

void
stream_origins_init(stream_origins_t *origins)
{
    for (size_t i = 0; i < STREAM_ORIGIN_BUCKETS; i++) {
        CK_LIST_INIT(&origins->buckets[i]);
    }
    CK_LIST_INIT(&origins->free);
    for (size_t i = 0; i < STREAM_ORIGINS_MAX; i++) {
        origins->all[i].expires_ms = 0;
        CK_LIST_INSERT_HEAD(&origins->free, &origins->all[i], entry);
    }
    origins->count = 0;
    origins->queries_left = QUERIES_BURST;
    origins->queries_updated_ms = 0;
}

static stream_origin_list_t *
get_bucket(stream_origins_t *origins, const stream_id_t *stream)
{
    return &origins->buckets[stream->attempt % STREAM_ORIGIN_BUCKETS];
}

/* Returns the record of exactly this stream, or NULL. */
static stream_origin_t *
find(stream_origins_t *origins, const stream_id_t *stream)
{
    stream_origin_t *origin;
    CK_LIST_FOREACH (origin, get_bucket(origins, stream), entry) {
        if (stream_id_equal(&origin->stream, stream)) {
            return origin;
        }
    }
    return NULL;
}

static void
remove_origin(stream_origins_t *origins, stream_origin_t *origin)
{
    CK_LIST_REMOVE(origin, entry);
    origin->expires_ms = 0;
    origin->unrecorded = false;
    CK_LIST_INSERT_HEAD(&origins->free, origin, entry);
    origins->count--;
}

static void
remove_first_to_expire(stream_origins_t *origins)
{
    stream_origin_t *first = &origins->all[0];
    for (size_t i = 1; i < STREAM_ORIGINS_MAX; i++) {
        if (origins->all[i].expires_ms < first->expires_ms) {
            first = &origins->all[i];
        }
    }
    remove_origin(origins, first);
}

/* Records the origin of a stream, or that the stream is still in use, maybe at
 * another service of the same version.  If attempts with one id began at two
 * versions, it is not known which of them the caller has. */
stream_origin_t *
stream_origins_put(stream_origins_t *origins, const stream_origin_t *origin,
                   int64_t now_ms)
{
    stream_origin_t *known = find(origins, &origin->stream);
    if (known != NULL && known->expires_ms <= now_ms) {
        remove_origin(origins, known);
        known = NULL;
    }
    if (known != NULL) {
        if (known->software != origin->software) {
            known->software = SOFTWARE_UNKNOWN;
        }
        known->service = origin->service;
        if (origin->expires_ms > known->expires_ms) {
            known->expires_ms = origin->expires_ms;
        }
        return known;
    }
    if (CK_LIST_EMPTY(&origins->free)) {
        remove_first_to_expire(origins);
    }
    known = CK_LIST_FIRST(&origins->free);
    CK_LIST_REMOVE(known, entry);
    *known = *origin;
    CK_LIST_INSERT_HEAD(get_bucket(origins, &origin->stream), known, entry);
    origins->count++;
    return known;
}

/* Finds the origin of a stream that its caller takes up; false if it is not
 * known. */
bool
stream_origins_find(stream_origins_t *origins, const stream_id_t *wanted,
                    int64_t now_ms, stream_origin_t *out)
{
    stream_pick_t pick = {.match = STREAM_OTHER};
    const stream_origin_t *origin;
    CK_LIST_FOREACH (origin, get_bucket(origins, wanted), entry) {
        const stream_pick_t known = {
            .match = stream_id_match(&origin->stream, wanted),
            .service = origin->service,
            .software = origin->software,
            .expires_ms = origin->expires_ms};
        if (origin->expires_ms > now_ms) {
            stream_pick_add(&pick, &known);
        }
    }
    *out = (stream_origin_t){.stream = *wanted,
                             .service = pick.service,
                             .software = pick.software,
                             .expires_ms = pick.expires_ms};
    return pick.match != STREAM_OTHER;
}

/* Replaces a software version that was recorded by mistake, in all records of
 * the stream's caller.  False if the stream is not known. */
bool
stream_origins_correct(stream_origins_t *origins, const stream_id_t *stream,
                       uint64_t older, uint64_t software, int64_t now_ms,
                       stream_origin_t *out)
{
    stream_origin_t *origin;
    if (!stream_origins_find(origins, stream, now_ms, out)) {
        return false;
    }
    out->software = out->software == older ? software : SOFTWARE_UNKNOWN;
    CK_LIST_FOREACH (origin, get_bucket(origins, stream), entry) {
        if (origin->expires_ms > now_ms &&
            stream_id_match(&origin->stream, stream) >= STREAM_SAME_CALLER) {
            origin->software = out->software;
        }
    }
    return true;
}

/* Sets whether a stream that this host has begun is to be recorded in the
 * store. */
void
stream_origins_set_unrecorded(stream_origins_t *origins,
                              const stream_id_t *stream, bool unrecorded)
{
    stream_origin_t *origin = find(origins, stream);
    if (origin != NULL) {
        origin->unrecorded = unrecorded;
    }
}

/* Lists the streams that are to be recorded; returns their number, at most
 * STREAM_ORIGINS_MAX. */
size_t
stream_origins_list_unrecorded(const stream_origins_t *origins,
                               const stream_origin_t **out, int64_t now_ms)
{
    size_t count = 0;
    for (size_t i = 0; i < STREAM_ORIGINS_MAX; i++) {
        const stream_origin_t *origin = &origins->all[i];
        if (origin->unrecorded && origin->expires_ms > now_ms) {
            out[count++] = origin;
        }
    }
    return count;
}

/* Forgets the origins that have expired. */
void
stream_origins_sweep(stream_origins_t *origins, int64_t now_ms)
{
    for (size_t i = 0; i < STREAM_ORIGIN_BUCKETS; i++) {
        stream_origin_t *origin;
        stream_origin_t *next;
        CK_LIST_FOREACH_SAFE (origin, &origins->buckets[i], entry, next) {
            if (origin->expires_ms <= now_ms) {
                remove_origin(origins, origin);
            }
        }
    }
}

static int
compare_expiry(const void *a, const void *b)
{
    const stream_origin_t *first = *(const stream_origin_t *const *)a;
    const stream_origin_t *second = *(const stream_origin_t *const *)b;
    return (first->expires_ms < second->expires_ms) -
           (first->expires_ms > second->expires_ms);
}

/* Lists the known origins, at most max: those that expire last, these first.
 * Returns their number. */
size_t
stream_origins_list(const stream_origins_t *origins,
                    const stream_origin_t **out, size_t max, int64_t now_ms)
{
    const stream_origin_t *all[STREAM_ORIGINS_MAX];
    size_t count = 0;
    for (size_t i = 0; i < STREAM_ORIGINS_MAX; i++) {
        if (origins->all[i].expires_ms > now_ms) {
            all[count++] = &origins->all[i];
        }
    }
    qsort(all, count, sizeof(all[0]), compare_expiry);
    count = count < max ? count : max;
    memcpy(out, all, count * sizeof(all[0]));
    return count;
}

/* Whether other hosts may be asked once more. */
bool
stream_origins_take_query(stream_origins_t *origins, int64_t now_ms)
{
    double earned = (double)(now_ms - origins->queries_updated_ms) *
                    QUERIES_PER_S / MS_PER_S;
    double left = origins->queries_left + earned;
    origins->queries_left = left < QUERIES_BURST ? left : QUERIES_BURST;
    origins->queries_updated_ms = now_ms;
    if (origins->queries_left < 1) {
        return false;
    }
    origins->queries_left -= 1;
    return true;
}

/* Records that a host does not know the stream, if that is its answer to this
 * question. */
void
stream_query_note_unknown(stream_query_t *query, uint64_t number,
                          uint64_t host)
{
    if (number != query->number) {
        return;
    }
    for (size_t i = 0; i < query->count; i++) {
        query->answered[i] |= query->hosts[i] == host;
    }
}

/* Whether all hosts that were asked have answered. */
bool
stream_query_is_answered(const stream_query_t *query)
{
    for (size_t i = 0; i < query->count; i++) {
        if (!query->answered[i]) {
            return false;
        }
    }
    return true;
}
