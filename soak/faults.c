#include "soak.h"

#include <ck_queue.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* What goes wrong, when, and for how long: drawn from the seed, in series that
 * overlap. */

/* Pause between the begins of two faults, ms. */
#define PAUSE_LEAST_MS 150
#define PAUSE_SPREAD_MS 900
/* A fault lasts so long, ms. */
#define LAST_LEAST_MS 200
#define LAST_SPREAD_MS 2500
/* Behind a fault of its own a relay counts as disturbed for so long, ms: what
 * was in flight, circuits and retries are over by then. */
#define AFTER_MS 3000

typedef enum {
    FAULT_RELAY_KILL,
    FAULT_RELAY_STOP,
    FAULT_RELAY_PAUSE,
    FAULT_RELAY_RELOAD,
    FAULT_FRONT,  /* the link from callers to a relay */
    FAULT_UPLINK, /* the link from a relay to the store */
    FAULT_LINK,   /* the link to a server */
    FAULT_RESETS, /* open connections on a link are reset */
    FAULT_STALLS, /* or go silent for good */
    FAULT_SERVER, /* a server misbehaves */
    FAULT_STORE_DOWN,
    FAULT_STORE_SILENT,
    FAULT_STORE_LOSES, /* writes are done and not answered */
    FAULT_STORE_FORGETS,
    FAULT_CONFIG,
    FAULT_WEIGHTS,
    FAULT_KEY, /* a key is taken away */
    FAULT_KINDS
} fault_kind_t;

static const char *const words[FAULT_KINDS] = {
    "relay-kill", "relay-stop",   "relay-pause", "relay-reload",  "front-link",
    "store-link", "server-link",  "resets",      "stalls",        "server",
    "store-down", "store-silent", "store-loses", "store-forgets", "config",
    "weights",    "key"};

typedef struct fault {
    CK_LIST_ENTRY(fault) entry;
    fault_kind_t kind;
    size_t which;
    int64_t until_ms;
} fault_t;

static CK_LIST_HEAD(faults, fault) running = CK_LIST_HEAD_INITIALIZER(running);
static int64_t next_ms;

static soak_relay_t *
relay_of(soak_t *soak, size_t which)
{
    return &soak->relays[which % soak->relay_count];
}

static soak_server_t *
server_of(soak_t *soak, size_t which)
{
    return &soak->servers[which % soak->server_count];
}

static int64_t
later_of(int64_t known_ms, int64_t last_ms)
{
    int64_t until = time_mono_ms() + last_ms + AFTER_MS;
    return until > known_ms ? until : known_ms;
}

static void
disturb_relay(soak_relay_t *relay, int64_t last_ms)
{
    relay->troubles++;
    relay->disturbed_ms = later_of(relay->disturbed_ms, last_ms);
}

static void
disturb_servers(soak_t *soak, int64_t last_ms)
{
    soak->servers_troubles++;
    soak->servers_disturbed_ms = later_of(soak->servers_disturbed_ms, last_ms);
}

static void
set_mode(soak_t *soak, size_t which, const char *mode)
{
    char path[CS_NAME_MAX * 2];
    char body[64];
    (void)snprintf(path, sizeof(path), "server/%s",
                   server_of(soak, which)->id);
    (void)snprintf(body, sizeof(body), "{\"mode\":\"%s\"}", mode);
    soak_admin(soak, path, body);
}

static link_state_t
bad_link(soak_t *soak)
{
    return LINK_SLOW + (link_state_t)rng_below(&soak->rng, 5);
}

static void
relay_fault(fault_kind_t kind, soak_relay_t *relay, int64_t last_ms)
{
    process_t *process = &relay->process;
    if (process->pid == 0 || process->stopping || process->paused) {
        return; /* one at a time */
    }
    if (kind == FAULT_RELAY_RELOAD) {
        process_signal(process, SIGHUP);
        return;
    }
    if (kind == FAULT_RELAY_STOP) {
        process->stopping = true;
        process->stop_ms = time_mono_ms();
        relay->stopped_ms = process->stop_ms + 10000;
        process_signal(process, SIGTERM);
        return;
    }
    disturb_relay(relay, last_ms);
    if (kind == FAULT_RELAY_PAUSE) {
        process->paused = true;
    }
    process_signal(process, kind == FAULT_RELAY_PAUSE ? SIGSTOP : SIGKILL);
}

static void
key_fault(soak_t *soak)
{
    if (soak->old_key_until_ms == 0) {
        soak->old_key_until_ms = time_mono_ms();
        deployment_config(soak);
    }
}

static void
weights_fault(soak_t *soak)
{
    char body[96];
    (void)snprintf(body, sizeof(body), "{\"model\":\"m1\",\"version\":%lld}",
                   (long long)++soak->weights);
    soak_admin(soak, "object/versions/m1", body);
    /* Loads take servers away one after the other. */
    disturb_servers(soak, 3000);
}

static void
begin(soak_t *soak, const fault_t *fault, int64_t last_ms)
{
    static const char *const modes[] = {"shed",   "error", "reset",
                                        "silent", "cut",   "foreign"};
    soak_relay_t *relay = relay_of(soak, fault->which);
    soak_server_t *server = server_of(soak, fault->which);
    switch (fault->kind) {
        case FAULT_RELAY_KILL:
        case FAULT_RELAY_STOP:
        case FAULT_RELAY_PAUSE:
        case FAULT_RELAY_RELOAD:
            relay_fault(fault->kind, relay, last_ms);
            return;
        case FAULT_FRONT:
            disturb_relay(relay, last_ms);
            proxy_set(relay->front, bad_link(soak));
            return;
        case FAULT_UPLINK:
            proxy_set(relay->store, bad_link(soak));
            return;
        case FAULT_LINK:
            disturb_servers(soak, last_ms);
            proxy_set(server->link, bad_link(soak));
            return;
        case FAULT_RESETS:
            disturb_servers(soak, 0);
            proxy_reset(server->link);
            proxy_reset(relay->store);
            return;
        case FAULT_STALLS:
            disturb_servers(soak, 0);
            proxy_stall(server->link);
            proxy_stall(relay->store);
            return;
        case FAULT_SERVER:
            disturb_servers(soak, last_ms);
            set_mode(soak, fault->which, modes[rng_below(&soak->rng, 6)]);
            return;
        case FAULT_STORE_DOWN:
            soak_admin(soak, "store", "{\"down\":true}");
            return;
        case FAULT_STORE_SILENT:
            soak_admin(soak, "store", "{\"silent\":true}");
            return;
        case FAULT_STORE_LOSES:
            soak_admin(soak, "store", "{\"lose\":3}");
            return;
        case FAULT_STORE_FORGETS:
            soak_admin(soak, "store", "{\"forget\":true}");
            return;
        case FAULT_CONFIG:
            deployment_config(soak);
            return;
        case FAULT_WEIGHTS:
            weights_fault(soak);
            return;
        case FAULT_KEY:
            key_fault(soak);
            return;
        case FAULT_KINDS:
            return;
    }
}

static void
end(soak_t *soak, const fault_t *fault)
{
    soak_relay_t *relay = relay_of(soak, fault->which);
    switch (fault->kind) {
        case FAULT_RELAY_PAUSE:
            if (relay->process.paused) {
                relay->process.paused = false;
                process_signal(&relay->process, SIGCONT);
            }
            return;
        case FAULT_FRONT:
            proxy_set(relay->front, LINK_WELL);
            return;
        case FAULT_UPLINK:
            proxy_set(relay->store, LINK_WELL);
            return;
        case FAULT_LINK:
            proxy_set(server_of(soak, fault->which)->link, LINK_WELL);
            return;
        case FAULT_SERVER:
            set_mode(soak, fault->which, "well");
            return;
        case FAULT_STORE_DOWN:
            soak_admin(soak, "store", "{\"down\":false}");
            return;
        case FAULT_STORE_SILENT:
            soak_admin(soak, "store", "{\"silent\":false}");
            return;
        default:
            return;
    }
}

static void
begin_one(soak_t *soak, int64_t now)
{
    fault_t *fault = mem_zalloc(sizeof(*fault));
    int64_t last =
        LAST_LEAST_MS + (int64_t)rng_below(&soak->rng, LAST_SPREAD_MS);
    fault->kind = (fault_kind_t)rng_below(&soak->rng, FAULT_KINDS);
    fault->which = (size_t)rng_below(&soak->rng, 64);
    fault->until_ms = now + last;
    if (fault->until_ms > soak->calm_ms) {
        fault->until_ms = soak->calm_ms;
    }
    (void)printf("  %6lld ms  %s %zu for %lld ms\n",
                 (long long)(now - soak->began_ms), words[fault->kind],
                 fault->which, (long long)last);
    begin(soak, fault, last);
    soak->faults++;
    CK_LIST_INSERT_HEAD(&running, fault, entry);
}

/* One step: what is over ends, and the next begins. */
void
faults_tick(soak_t *soak)
{
    int64_t now = time_mono_ms();
    fault_t *fault;
    fault_t *next;
    CK_LIST_FOREACH_SAFE (fault, &running, entry, next) {
        if (now >= fault->until_ms) {
            end(soak, fault);
            CK_LIST_REMOVE(fault, entry);
            free(fault);
        }
    }
    if (now >= next_ms && now < soak->calm_ms) {
        begin_one(soak, now);
        next_ms = now + PAUSE_LEAST_MS +
                  (int64_t)rng_below(&soak->rng, PAUSE_SPREAD_MS);
    }
}
