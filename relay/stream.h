#ifndef CELERYSPOOL_STREAM_H
#define CELERYSPOOL_STREAM_H

/* Cuts a stream of events (text/event-stream) into whole events.  No I/O. */

#include "../kernel/base.h"

#define EVENT_ID_MAX 64

typedef struct {
    buf_t partial;              /* bytes of an event that is not whole yet */
    char last_id[EVENT_ID_MAX]; /* id of the last event that was given out */
    bool overflow;              /* an event is longer than any should be */
} stream_t;

void stream_init(stream_t *stream, const char *last);
void stream_free(stream_t *stream);
void stream_restart(stream_t *stream);
size_t stream_feed(stream_t *stream, const char *data, size_t len, buf_t *out);

#endif
