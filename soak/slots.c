#include "soak.h"

#include <string.h>

/* Engines with so few slots that streams wait for them while there are
 * faults. */

/* With 24 callers, a dozen streams at three engines. */
#define FEW_SLOTS 2
/* Eight events then hold a slot for 0.7 s. */
#define SLOW_GAP_MS 100
#define USUAL_GAP_MS 20

static void
set_slots(soak_t *soak, int slots, int gap_ms)
{
    char path[CS_NAME_MAX * 2];
    char body[96];
    (void)snprintf(body, sizeof(body), "{\"slots\":%d,\"gap_ms\":%d}", slots,
                   gap_ms);
    for (size_t i = 0; i < soak->server_count - PLAIN_SERVERS; i++) {
        (void)snprintf(path, sizeof(path), "server/%s", soak->servers[i].id);
        soak_post_admin(soak, path, body);
    }
}

/* Limits the slots until the faults end, so that in the recovery phase all
 * requests can be served. */
void
slots_tick(soak_t *soak)
{
    static bool limited;
    bool limit = soak->priorities && time_mono_ms() < soak->faults_end_ms;
    if (limit != limited) {
        limited = limit;
        set_slots(soak, limit ? FEW_SLOTS : 0,
                  limit ? SLOW_GAP_MS : USUAL_GAP_MS);
    }
}
