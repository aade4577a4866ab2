#include "record-read.h"

/* Wait after a linearizable read, ms: one that failed is not repeated at once,
 * nor one that shows nothing new since a clock was set back. */
#define RETRY_MS 2000
/* The same while requests wait for the answer. */
#define RETRY_REQUESTED_MS 200

/* Whether this host has still to read the latest record: it has read none
 * since it started, or since its lists have had a gap. */
bool
record_read_is_awaited(const record_read_t *read, const software_seen_t *seen)
{
    return read->latest_wall_ms == 0 || read->latest_wall_ms < seen->since_ms;
}

/* Whether to read the latest record now. */
bool
record_read_is_due(const record_read_t *read, const software_seen_t *seen,
                   int64_t now_ms)
{
    int64_t retry_ms = read->requested ? RETRY_REQUESTED_MS : RETRY_MS;
    bool tried_lately =
        read->tried_ms != 0 && now_ms - read->tried_ms < retry_ms;
    return record_read_is_awaited(read, seen) && !tried_lately;
}

/* Has the latest record read soon, as requests wait for it. */
void
record_read_request(record_read_t *read)
{
    read->requested = true;
}

/* Notes a call for the record: a linearizable read or another one. */
void
record_read_sent(record_read_t *read, bool latest, int64_t now_ms,
                 int64_t wall_ms)
{
    read->latest = latest;
    read->sent_ms = now_ms;
    read->sent_wall_ms = wall_ms;
    if (latest) {
        read->requested = false;
    }
}

/* Notes the end of the call: whether it showed the record, or that there is
 * none. */
void
record_read_done(record_read_t *read, bool answered, int64_t now_ms)
{
    if (!read->latest) {
        return;
    }
    read->tried_ms = now_ms;
    if (answered) {
        read->latest_wall_ms = read->sent_wall_ms;
    }
}
