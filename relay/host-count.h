#ifndef CELERYSPOOL_HOST_COUNT_H
#define CELERYSPOOL_HOST_COUNT_H

/* How many hosts share a fixed amount, as assumed by one of them.  No I/O and
 * no clock. */

#include "../kernel/base.h"

typedef struct {
    int64_t started_ms;
    size_t peak_live; /* recent maximum of live hosts */
    int64_t peak_seen_ms;
} host_count_t;

void host_count_init(host_count_t *count, int64_t now_ms);
size_t host_count_update(host_count_t *count, size_t live, size_t hosts_min,
                         int64_t now_ms);

#endif
