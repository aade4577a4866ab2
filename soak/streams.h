#ifndef CELERYSPOOL_SOAK_STREAMS_H
#define CELERYSPOOL_SOAK_STREAMS_H

/* Streams that callers take up again, and the events that they hold. */

#include "callers.h"

/* With software versions, engines send streams of so many events. */
#define STREAM_EVENTS 40
#define STREAM_GAP_MS 40

/* How a caller asks for a stream. */
typedef enum {
    STREAM_PROPER,          /* as the platform's users do */
    STREAM_WITHOUT_RESUMES, /* says only what its last event was */
    STREAM_OTHER_WORKSPACE, /* names an attempt of another workspace */
    STREAM_UNKNOWN_ATTEMPT, /* names an attempt that was never made */
    STREAM_ONLY_RESUMES,    /* names an attempt and no event */
    STREAM_ASKS
} stream_ask_t;

/* What one caller has of a stream after some tries. */
typedef struct {
    stream_ask_t ask;
    unsigned last_event;   /* 0 if it has none */
    uint64_t first_number; /* attempt that brought the first event */
    size_t first_relay;    /* and its relay */
    char first_server[CS_NAME_MAX];
    char first_version[CS_NAME_MAX]; /* of that server's software */
    bool mixed;                      /* it holds events of two versions */
} stream_t;

/* Reads the events of one answer into a stream. */
typedef struct {
    soak_t *soak;
    soak_request_t *request;
    stream_t *stream;
    buf_t text;      /* not yet read */
    unsigned events; /* read so far */
} stream_reader_t;

void stream_reader_feed(stream_reader_t *reader, const char *data, size_t len);

streams_t *streams_start(callers_t *callers, size_t count);
void streams_check(streams_t *streams);

#endif
