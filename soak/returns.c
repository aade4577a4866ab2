#include "../kernel/local-socket.h"
#include "faults.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

/* Kills in series, and what daemons that have ended find when they are started
 * again: another program holds one of their addresses, or their settings file
 * is being written. */

/* How long that lasts after the end: minimum, and random part on top. */
#define HOLD_MS_MIN 200
#define HOLD_RANGE_MS 2500
/* From then on a daemon serves within this time. */
#define START_MS 3000

/* Daemons are killed at this interval: minimum, and random part on top. */
#define KILL_INTERVAL_MS_MIN 1000
#define KILL_INTERVAL_RANGE_MS 3000

/* The address or file that is kept from a relay. */
typedef struct {
    char addr[CS_ADDR_MAX];
    int fd;         /* a socket that has the address; -1 if none is held */
    char *settings; /* the whole file, while it is cut off; or NULL */
    int64_t until_ms;
} held_t;

static held_t held[RELAYS_MAX];
static int64_t next_kill_ms;
/* Its own, so that the other faults of a seed stay as they are. */
static rng_t rng;

static void
hold_address(const soak_t *soak, held_t *hold, size_t relay, size_t address)
{
    soak_addr(soak, PORT_RELAY + PORTS_PER_RELAY * (int)relay + (int)address,
              hold->addr);
    local_socket_t local = {
        .use = "soak",
        .addr = hold->addr,
        .kind = address == 2 ? LOCAL_DATAGRAMS : LOCAL_LISTENER};
    hold->fd = local_socket_open(&local, NULL) == 0 ? local.fd : -1;
}

static void
cut_settings(held_t *hold, const char *path, uint64_t share)
{
    struct stat file;
    hold->settings = format_string("%s.whole", path);
    if (stat(path, &file) != 0 || rename(path, hold->settings) != 0) {
        return;
    }
    /* Nothing of the file, or a part of it. */
    FILE *from = fopen(hold->settings, "re");
    FILE *to = share == 0 ? NULL : fopen(path, "we");
    for (int64_t i = 0; to != NULL && i < file.st_size * (int64_t)share / 4;
         i++) {
        (void)fputc(fgetc(from), to);
    }
    (void)fclose(from);
    if (to != NULL) {
        (void)fclose(to);
    }
}

/* A relay has exited: keeps something from it. */
void
returns_relay_exited(soak_t *soak, size_t number)
{
    soak_relay_t *relay = &soak->relays[number];
    held_t *hold = &held[number];
    if (!soak->returns || hold->until_ms != 0 ||
        time_mono_ms() >= soak->faults_end_ms) {
        return;
    }
    int64_t hold_ms = HOLD_MS_MIN + (int64_t)rng_below(&rng, HOLD_RANGE_MS);
    uint64_t what = rng_below(&rng, PORTS_PER_RELAY + 4);
    hold->fd = -1;
    hold->until_ms = time_mono_ms() + hold_ms;
    if (what < PORTS_PER_RELAY) {
        hold_address(soak, hold, number, what);
    }
    else {
        cut_settings(hold, relay->process.argv[2], what - PORTS_PER_RELAY);
    }
    disturb_relay(relay, hold_ms + START_MS);
}

static void
release(held_t *hold, const char *path)
{
    if (hold->fd >= 0) {
        (void)close(hold->fd);
    }
    if (hold->settings != NULL) {
        (void)rename(hold->settings, path);
        free(hold->settings);
    }
    *hold = (held_t){.fd = -1};
}

/* Kills one daemon, some of them or, one time in three, all at once. */
static void
kill_relays(soak_t *soak)
{
    size_t first = (size_t)rng_below(&rng, soak->relay_count);
    size_t count = rng_below(&rng, 3) == 0
                       ? soak->relay_count
                       : 1 + (size_t)rng_below(&rng, soak->relay_count);
    for (size_t i = 0; i < count; i++) {
        soak_relay_t *relay = &soak->relays[(first + i) % soak->relay_count];
        if (relay->process.pid != 0 && !relay->process.stopping) {
            disturb_relay(relay, START_MS);
            process_signal(&relay->process, SIGKILL);
        }
    }
}

static void
kill_in_series(soak_t *soak)
{
    int64_t now = time_mono_ms();
    if (rng.state == 0) {
        rng.state = soak->seed + 1;
    }
    if (now < next_kill_ms || now >= soak->faults_end_ms) {
        return;
    }
    if (next_kill_ms != 0) {
        kill_relays(soak);
    }
    next_kill_ms = now + KILL_INTERVAL_MS_MIN +
                   (int64_t)rng_below(&rng, KILL_INTERVAL_RANGE_MS);
}

/* Kills daemons, and gives back what has been held for long enough. */
void
returns_tick(soak_t *soak)
{
    if (soak->returns) {
        kill_in_series(soak);
    }
    for (size_t i = 0; soak->returns && i < soak->relay_count; i++) {
        if (held[i].until_ms != 0 && time_mono_ms() >= held[i].until_ms) {
            release(&held[i], soak->relays[i].process.argv[2]);
        }
    }
}
