#include "stream-origins.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Questions to other hosts in a row and a second, in bounded bytes whatever
 * callers send. */
#define QUERIES_BURST 64.0
#define QUERIES_PER_S 16.0
#define MS_PER_S 1000.0

/* Returns the key of a stream.  The hash is cryptographic, so that no id can
 * be found that has the key of another workspace's stream. */
uint64_t
stream_origin_key(const stream_name_t *name)
{
    crypto_generichash_state state;
    unsigned char digest[crypto_generichash_BYTES_MIN];
    uint64_t key;
    (void)crypto_generichash_init(&state, NULL, 0, sizeof(digest));
    /* With the final zero, so that the texts cannot run together. */
    (void)crypto_generichash_update(&state,
                                    (const unsigned char *)name->workspace,
                                    strlen(name->workspace) + 1);
    (void)crypto_generichash_update(
        &state, (const unsigned char *)name->attempt, name->attempt_len);
    (void)crypto_generichash_final(&state, digest, sizeof(digest));
    memcpy(&key, digest, sizeof(key));
    return key;
}

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

static stream_origin_t *
find(const stream_origins_t *origins, uint64_t stream)
{
    stream_origin_t *origin;
    CK_LIST_FOREACH (origin, &origins->buckets[stream % STREAM_ORIGIN_BUCKETS],
                     entry) {
        if (origin->stream == stream) {
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
    stream_origin_t *known = find(origins, origin->stream);
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
    CK_LIST_INSERT_HEAD(
        &origins->buckets[origin->stream % STREAM_ORIGIN_BUCKETS], known,
        entry);
    origins->count++;
    return known;
}

/* Replaces a software version that was recorded by mistake.  Returns the
 * origin, or NULL if it is not known. */
const stream_origin_t *
stream_origins_correct(stream_origins_t *origins, uint64_t stream,
                       uint64_t older, uint64_t software, int64_t now_ms)
{
    stream_origin_t *known = find(origins, stream);
    if (known == NULL || known->expires_ms <= now_ms) {
        return NULL;
    }
    known->software = known->software == older ? software : SOFTWARE_UNKNOWN;
    return known;
}

/* Returns the origin of a stream, or NULL if it is not known. */
const stream_origin_t *
stream_origins_find(const stream_origins_t *origins, uint64_t stream,
                    int64_t now_ms)
{
    const stream_origin_t *origin = find(origins, stream);
    return origin != NULL && origin->expires_ms > now_ms ? origin : NULL;
}

/* Sets whether a stream that this host has begun is to be recorded in the
 * store. */
void
stream_origins_set_unrecorded(stream_origins_t *origins, uint64_t stream,
                              bool unrecorded)
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

/* Records that a host does not know the stream. */
void
stream_query_note_unknown(stream_query_t *query, uint64_t host)
{
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
