#ifndef CELERYSPOOL_STREAM_H
#define CELERYSPOOL_STREAM_H

/* Splits a text/event-stream into complete events.  No I/O. */

#include "../kernel/base.h"

#define EVENT_ID_MAX 64

typedef struct {
    buf_t partial;              /* bytes of an incomplete event */
    char last_id[EVENT_ID_MAX]; /* id of the last event passed on */
    uint64_t events;            /* passed on since stream_init */
    bool continued;             /* the first ones came from elsewhere */
    size_t repeated_bytes;      /* dropped since the stream was restarted */
    bool overflow;              /* an event, or what repeats, is too long */
} stream_t;

void stream_init(stream_t *stream, const char *last_id);
void stream_free(stream_t *stream);
void stream_restart(stream_t *stream);
size_t stream_feed(stream_t *stream, const char *data, size_t len, buf_t *out);

#endif
