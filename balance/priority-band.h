#ifndef CELERYSPOOL_PRIORITY_BAND_H
#define CELERYSPOOL_PRIORITY_BAND_H

/* The priority that a request carries at an engine.  An engine whose memory
 * runs out preempts the newest of the least urgent requests.  One that has
 * gone on through a load of weights must not be preempted: it would be
 * prefilled again by the newer weights, but cached under the salt of the older
 * ones.  So requests after a load are sent in a band of less urgent priorities
 * than those before it.  No I/O and no clock. */

#include "../kernel/base.h"

/* The least urgent priority that an engine knows. */
#define PRIORITY_LEAST_URGENT 9
/* Bands of three priorities: 0 to 2, 3 to 5 and 6 to 8.  Requests beyond the
 * last band are of the least urgency. */
#define PRIORITY_BANDS 3
/* Hosts learn of a load, of a start of a server or of another host at times
 * that differ by less than half of this, ms. */
#define PRIORITY_SKEW_MS 3000

/* What a host knows of the loads at one server. */
typedef struct {
    /* Band of the requests after the last load; PRIORITY_BANDS: the least
     * urgency. */
    unsigned band;
    int64_t load_ms; /* the last load, or since when the server is known */
    /* How long before the last load no other load was noticed and nothing
     * started that may send requests of the least urgency. */
    int64_t quiet_ms;
} priority_band_t;

void priority_band_learn(priority_band_t *state, bool from_its_start,
                         int64_t now_ms);
void priority_band_load(priority_band_t *state, int64_t changed_ms,
                        int64_t longest_ms, int64_t now_ms);
int priority_band_choose(const priority_band_t *state, int priority,
                         int64_t longest_ms, int64_t now_ms);

#endif
