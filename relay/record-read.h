#ifndef CELERYSPOOL_RECORD_READ_H
#define CELERYSPOOL_RECORD_READ_H

/* When the latest record of software versions has to be read from the store:
 * once after each time for which this host's own lists do not show which
 * versions there were.  No I/O and no clock. */

#include "software-seen.h"

typedef struct {
    bool requested;         /* requests wait for the latest record */
    bool latest;            /* the last call was a linearizable read */
    int64_t sent_ms;        /* when it was sent, monotonic */
    int64_t sent_wall_ms;   /* the same by the wall clock */
    int64_t latest_wall_ms; /* when the last such read with an answer was sent;
                               0: none was */
    int64_t tried_ms;       /* when the last such read ended; 0: none has */
} record_read_t;

bool record_read_is_awaited(const record_read_t *read,
                            const software_seen_t *seen);
bool record_read_is_due(const record_read_t *read, const software_seen_t *seen,
                        int64_t now_ms);
void record_read_request(record_read_t *read);
void record_read_sent(record_read_t *read, bool latest, int64_t now_ms,
                      int64_t wall_ms);
void record_read_done(record_read_t *read, bool answered, int64_t now_ms);

#endif
