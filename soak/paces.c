#include "soak.h"

/* Engines that state how long work takes on their machine, so that their
 * speeds are learned while hosts are cut off from them and killed. */

/* A pace lasts for less than the time between two answers of an engine to the
 * same host. */
#define PACE_MS 600
#define USUAL_PERCENT 100
#define SLOW_PERCENT 250

static void
state_pace(soak_t *soak, const char *server, int percent)
{
    char path[CS_NAME_MAX * 2];
    char body[32];
    (void)snprintf(path, sizeof(path), "server/%s", server);
    (void)snprintf(body, sizeof(body), "{\"pace\":%d}", percent);
    soak_post_admin(soak, path, body);
}

/* With --cuts, one engine after the other states that it is slow. */
void
paces_tick(soak_t *soak)
{
    static int64_t stated_ms;
    static size_t turn;
    int64_t now = time_mono_ms();
    if (!soak->cuts || now - stated_ms < PACE_MS) {
        return;
    }
    size_t engines = soak->server_count - PLAIN_SERVERS;
    turn++;
    stated_ms = now;
    for (size_t i = 0; i < engines; i++) {
        state_pace(soak, soak->servers[i].id,
                   i == turn % engines ? SLOW_PERCENT : USUAL_PERCENT);
    }
}
