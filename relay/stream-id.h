#ifndef CELERYSPOOL_STREAM_ID_H
#define CELERYSPOOL_STREAM_ID_H

/* The identity of a stream, by what its caller sends: a configuration may
 * change the route, its host name and whether it needs an access key, the
 * caller's key and the workspace that it belongs to.  No I/O and no clock. */

#include "../kernel/base.h"

/* A software version, see server_entry_t; these are never those of a server.
 */
#define SOFTWARE_ANY 0
#define SOFTWARE_UNKNOWN UINT64_MAX
/* In place of the hash of a service. */
#define SERVICE_UNKNOWN 0

/* The attempt that brought the first event of a stream, and its caller. */
typedef struct {
    const char *attempt; /* its id */
    size_t attempt_len;
    const char *workspace; /* of the access key; NULL if none */
    const char *access_key;
    size_t access_key_len; /* 0 if none */
} stream_name_t;

/* Hashes of the name.  Workspace and access key are hashed together with the
 * attempt. */
typedef struct {
    uint64_t attempt;
    uint16_t workspace;  /* 0 if none */
    uint16_t access_key; /* 0 if none */
} stream_id_t;

/* Whether a caller takes up its own stream, the better the higher. */
typedef enum {
    STREAM_OTHER,       /* another attempt, or another workspace's */
    STREAM_POSSIBLE,    /* the workspace of one of them is not known */
    STREAM_SAME_CALLER, /* of one workspace, or with one access key */
    STREAM_SAME         /* with the same workspace and access key */
} stream_match_t;

/* The origin of a stream among those that match it. */
typedef struct {
    stream_match_t match; /* STREAM_OTHER if there is none */
    uint64_t service;
    uint64_t software; /* SOFTWARE_UNKNOWN if those that match best differ */
    int64_t expires_ms;
} stream_pick_t;

stream_id_t stream_id_make(const stream_name_t *name);
uint32_t stream_id_caller(const stream_id_t *id);
stream_id_t stream_id_join(uint64_t attempt, uint32_t caller);
bool stream_id_equal(const stream_id_t *a, const stream_id_t *b);
stream_match_t stream_id_match(const stream_id_t *origin,
                               const stream_id_t *wanted);
void stream_pick_add(stream_pick_t *pick, const stream_pick_t *other);

#endif
