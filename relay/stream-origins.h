#ifndef CELERYSPOOL_STREAM_ORIGINS_H
#define CELERYSPOOL_STREAM_ORIGINS_H

/* The software version of the server that began each stream, so that a stream
 * that its caller takes up at another host goes on at that version.  No I/O
 * and no clock. */

#include "stream-id.h"

#include <ck_queue.h>

/* Streams that one host remembers; of more, the one that expires first is
 * forgotten. */
#define STREAM_ORIGINS_MAX 4096
/* Other hosts that keep the origin of a stream. */
#define STREAM_ORIGIN_COPIES 3
/* Other hosts that are asked for the origin of a stream: more than keep it,
 * since some of them may have ended or be new since. */
#define STREAM_ORIGIN_ASKED_MAX 6

typedef struct stream_origin {
    CK_LIST_ENTRY(stream_origin) entry; /* in its bucket, or a free one */
    stream_id_t stream;
    uint64_t service;   /* hash of its name */
    uint64_t software;  /* SOFTWARE_UNKNOWN if two streams have the key */
    int64_t expires_ms; /* 0 if it is free */
    bool unrecorded;    /* this host began it, at a process that is known, and
                           the store does not have it */
} stream_origin_t;

#define STREAM_ORIGIN_BUCKETS 1024

typedef CK_LIST_HEAD(stream_origin_list, stream_origin) stream_origin_list_t;

typedef struct {
    stream_origin_list_t buckets[STREAM_ORIGIN_BUCKETS];
    stream_origin_list_t free;
    stream_origin_t all[STREAM_ORIGINS_MAX];
    size_t count;
    double queries_left; /* that may be asked now */
    int64_t queries_updated_ms;
} stream_origins_t;

/* A question to other hosts for the origin of a stream.  Its number
 * distinguishes their answers from late ones to earlier questions. */
typedef struct {
    stream_id_t stream;
    uint64_t number;
    uint64_t hosts[STREAM_ORIGIN_ASKED_MAX]; /* that were asked */
    bool answered[STREAM_ORIGIN_ASKED_MAX];
    size_t count;
} stream_query_t;

void stream_origins_init(stream_origins_t *origins);
stream_origin_t *stream_origins_put(stream_origins_t *origins,
                                    const stream_origin_t *origin,
                                    int64_t now_ms);
bool stream_origins_find(stream_origins_t *origins, const stream_id_t *wanted,
                         int64_t now_ms, stream_origin_t *out);
bool stream_origins_correct(stream_origins_t *origins,
                            const stream_id_t *stream, uint64_t older,
                            uint64_t software, int64_t now_ms,
                            stream_origin_t *out);
void stream_origins_set_unrecorded(stream_origins_t *origins,
                                   const stream_id_t *stream, bool unrecorded);
size_t stream_origins_list_unrecorded(const stream_origins_t *origins,
                                      const stream_origin_t **out,
                                      int64_t now_ms);
void stream_origins_sweep(stream_origins_t *origins, int64_t now_ms);
size_t stream_origins_list(const stream_origins_t *origins,
                           const stream_origin_t **out, size_t max,
                           int64_t now_ms);
bool stream_origins_take_query(stream_origins_t *origins, int64_t now_ms);
void stream_query_note_unknown(stream_query_t *query, uint64_t number,
                               uint64_t host);
bool stream_query_is_answered(const stream_query_t *query);

#endif
