#include "host-count.h"

/* For how long a host that is gone still counts: one that is cut off still
 * uses its part, and data centres may lose each other for minutes. */
#define PEAK_HOLD_MS 600000
/* For DISCOVERY_MS after its start a host knows nothing of the others, and may
 * then still not know all of them: until SETTLED_MS it assumes HOSTS_ASSUMED
 * at least. */
#define DISCOVERY_MS 2000
#define SETTLED_MS 5000
#define HOSTS_ASSUMED 32

void
host_count_init(host_count_t *count, int64_t now_ms)
{
    *count = (host_count_t){.started_ms = now_ms, .peak_seen_ms = now_ms};
}

/* Returns how many hosts to assume, given the number of live hosts, this one
 * included, and a minimum; 0 if it is not known yet.  One more host than
 * the recent peak is assumed.  The peak is used so that two halves of a
 * partition don't both use the whole amount. */
size_t
host_count_update(host_count_t *count, size_t live, size_t hosts_min,
                  int64_t now_ms)
{
    if (live >= count->peak_live ||
        now_ms - count->peak_seen_ms > PEAK_HOLD_MS) {
        count->peak_live = live;
        count->peak_seen_ms = now_ms;
    }
    int64_t age_ms = now_ms - count->started_ms;
    if (age_ms < DISCOVERY_MS) {
        return 0;
    }
    if (age_ms < SETTLED_MS && hosts_min < HOSTS_ASSUMED) {
        hosts_min = HOSTS_ASSUMED;
    }
    size_t assumed = count->peak_live + 1;
    return assumed > hosts_min ? assumed : hosts_min;
}
