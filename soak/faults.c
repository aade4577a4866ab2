#include "faults.h"

#include <ck_queue.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Draws the faults, their times and durations from the seed.  Faults may
 * overlap. */

/* Time between the starts of two faults: minimum, and random part on top. */
#define INTERVAL_MS_MIN 150
#define INTERVAL_RANGE_MS 900
/* With versions, further time for relays and engines to be undisturbed. */
#define VERSIONS_INTERVAL_MS 300
/* Duration of a fault: minimum, and random part on top. */
#define DURATION_MS_MIN 200
#define DURATION_RANGE_MS 2500
/* A relay or server counts as disturbed for this long after a fault: requests
 * in flight, open circuit breakers and retries have ended by then. */
#define AFTEREFFECT_MS 3000
/* A sound server may say nothing for so long: minimum, and random part. */
#define SILENCE_MS_MIN 800
#define SILENCE_RANGE_MS 1000
/* A brittle server that ends is back after this time. */
#define BRITTLE_RESTART_MS 4000

static const char *const kind_names[FAULT_KINDS] = {"relay-kill",
                                                    "relay-stop",
                                                    "relay-pause",
                                                    "relay-reload",
                                                    "front-link",
                                                    "store-link",
                                                    "server-link",
                                                    "resets",
                                                    "stalls",
                                                    "server",
                                                    "store-down",
                                                    "store-silent",
                                                    "store-loses",
                                                    "store-forgets",
                                                    "config",
                                                    "weights",
                                                    "key",
                                                    "limit",
                                                    "rest",
                                                    "host-cut",
                                                    "brittle",
                                                    "fatal-part",
                                                    "one-relay",
                                                    "unframed",
                                                    "silence",
                                                    "engine-drain",
                                                    "engine-restart",
                                                    "roll",
                                                    "version-leaves",
                                                    "streams-end",
                                                    "in-turn",
                                                    "at-once",
                                                    "caller-resets"};

typedef struct fault {
    CK_LIST_ENTRY(fault) entry;
    fault_kind_t kind;
    size_t target; /* index of a relay or server, modulo their number */
    int64_t until_ms;
} fault_t;

static CK_LIST_HEAD(faults, fault)
    active_faults = CK_LIST_HEAD_INITIALIZER(active_faults);
static int64_t next_fault_ms;

static soak_relay_t *
relay_at(soak_t *soak, size_t target)
{
    return &soak->relays[target % soak->relay_count];
}

static soak_server_t *
server_at(soak_t *soak, size_t target)
{
    return &soak->servers[target % soak->server_count];
}

static int64_t
extend_until(int64_t current_ms, int64_t duration_ms)
{
    int64_t until = time_mono_ms() + duration_ms + AFTEREFFECT_MS;
    return until > current_ms ? until : current_ms;
}

void
disturb_relay(soak_relay_t *relay, int64_t duration_ms)
{
    relay->disturbances++;
    relay->disturbed_until_ms =
        extend_until(relay->disturbed_until_ms, duration_ms);
}

/* Disturbs one server, and for checks that do not tell servers apart all. */
void
disturb_server(soak_t *soak, soak_server_t *server, int64_t duration_ms)
{
    soak->server_disturbances++;
    soak->servers_disturbed_until_ms =
        extend_until(soak->servers_disturbed_until_ms, duration_ms);
    server->disturbed_until_ms =
        extend_until(server->disturbed_until_ms, duration_ms);
}

static void
disturb_servers(soak_t *soak, int64_t duration_ms)
{
    for (size_t i = 0; i < soak->server_count; i++) {
        disturb_server(soak, &soak->servers[i], duration_ms);
    }
}

static void
set_server_mode(soak_t *soak, size_t target, const char *mode)
{
    char path[CS_NAME_MAX * 2];
    char body[64];
    (void)snprintf(path, sizeof(path), "server/%s",
                   server_at(soak, target)->id);
    (void)snprintf(body, sizeof(body), "{\"mode\":\"%s\"}", mode);
    soak_post_admin(soak, path, body);
}

/* Sends a server a command with one number. */
static void
set_server_number(soak_t *soak, size_t target, const char *mode,
                  const char *name, int64_t number)
{
    char path[CS_NAME_MAX * 2];
    char body[96];
    (void)snprintf(path, sizeof(path), "server/%s",
                   server_at(soak, target)->id);
    (void)snprintf(body, sizeof(body), "{\"mode\":\"%s\",\"%s\":%lld}", mode,
                   name, (long long)number);
    soak_post_admin(soak, path, body);
}

/* Cuts a relay off from all servers, or ends that: its connections hang, are
 * reset, or live on while new ones are reset. */
static void
cut_host(soak_t *soak, const soak_relay_t *relay, bool reset,
         link_state_t state)
{
    for (size_t i = 0; i < soak->server_count; i++) {
        link_set_source_state(soak->servers[i].link, relay->source, state);
        if (reset) {
            link_reset_source(soak->servers[i].link, relay->source);
        }
    }
}

/* Sets the part that ends the engines that answer it. */
static void
set_fatal_part(soak_t *soak, const char *part)
{
    char path[CS_NAME_MAX * 2];
    char body[64];
    (void)snprintf(body, sizeof(body), "{\"fatal_part\":\"%s\"}", part);
    for (size_t i = 0; i < soak->server_count; i++) {
        if (soak->servers[i].is_engine) {
            (void)snprintf(path, sizeof(path), "server/%s",
                           soak->servers[i].id);
            soak_post_admin(soak, path, body);
        }
    }
}

static void
start_host_cut(soak_t *soak, soak_relay_t *relay, int64_t duration_ms)
{
    uint64_t way = rng_below(soak->fault_rng, 3);
    disturb_relay(relay, duration_ms);
    cut_host(soak, relay, way == 1,
             way == 0 ? LINK_HOLD_BOTH : LINK_RESET_NEW);
}

/* Sets the links of one engine, two or all.  Nothing is lost, so that this
 * counts as no disturbance. */
static void
set_silence(soak_t *soak, size_t target, link_state_t state)
{
    size_t engines = soak->server_count - PLAIN_SERVERS;
    size_t count = target % 3 == 0 ? 1 : target % 3 == 1 ? 2 : engines;
    for (size_t i = 0; i < count; i++) {
        link_set_state(soak->servers[(target + i) % engines].link, state);
    }
}

static link_state_t
random_link_fault(soak_t *soak)
{
    return LINK_DELAYED + (link_state_t)rng_below(soak->fault_rng, 5);
}

static void
start_relay_fault(fault_kind_t kind, soak_relay_t *relay, int64_t duration_ms)
{
    process_t *process = &relay->process;
    if (process->pid == 0 || process->stopping || process->paused) {
        return; /* one process fault per relay at a time */
    }
    if (kind == FAULT_RELAY_RELOAD) {
        process_signal(process, SIGHUP);
        return;
    }
    if (kind == FAULT_RELAY_STOP) {
        process->stopping = true;
        process->stop_requested_ms = time_mono_ms();
        relay->stopping_until_ms = process->stop_requested_ms + 10000;
        process_signal(process, SIGTERM);
        return;
    }
    disturb_relay(relay, duration_ms);
    if (kind == FAULT_RELAY_PAUSE) {
        process->paused = true;
    }
    process_signal(process, kind == FAULT_RELAY_PAUSE ? SIGSTOP : SIGKILL);
}

static void
remove_old_key(soak_t *soak)
{
    if (soak->old_key_removed_ms == 0) {
        soak->old_key_removed_ms = time_mono_ms();
        deployment_publish_config(soak);
    }
}

static void
publish_next_weights(soak_t *soak)
{
    char body[96];
    (void)snprintf(body, sizeof(body), "{\"model\":\"m1\",\"version\":%lld}",
                   (long long)++soak->weights);
    soak_post_admin(soak, "object/versions/m1", body);
    /* Servers are unavailable one after the other while they load. */
    disturb_servers(soak, 3000);
}

/* Starts a fault of the kinds that --cuts, --planned and --versions
 * add. */
static void
start_further_fault(soak_t *soak, const fault_t *fault, int64_t duration_ms)
{
    soak_relay_t *relay = relay_at(soak, fault->target);
    soak_server_t *server = server_at(soak, fault->target);
    switch (fault->kind) {
        case FAULT_HOST_CUT:
            start_host_cut(soak, relay, duration_ms);
            return;
        case FAULT_FATAL_PART:
            disturb_servers(soak, duration_ms + BRITTLE_RESTART_MS);
            soak->fatal_parts++;
            set_fatal_part(soak, CALLERS_FATAL_PART);
            return;
        case FAULT_ONE_RELAY:
            soak->one_relay++;
            soak->used_relay = fault->target % soak->relay_count;
            return;
        case FAULT_UNFRAMED:
            disturb_server(soak, server, duration_ms);
            set_server_mode(
                soak, fault->target,
                rng_below(soak->fault_rng, 2) == 0 ? "until-close" : "torn");
            return;
        case FAULT_SILENCE:
            set_silence(soak, fault->target, LINK_HOLD_FROM_TARGET);
            return;
        case FAULT_SERVER_BRITTLE:
            disturb_server(soak, server, duration_ms + BRITTLE_RESTART_MS);
            set_server_number(soak, fault->target, "well", "room", 2);
            set_server_number(soak, fault->target, "well", "brittle",
                              1 + (int64_t)rng_below(soak->fault_rng, 5));
            return;
        default:
            versions_start_fault(soak, fault->kind, fault->target);
            return;
    }
}

static void
start_fault(soak_t *soak, const fault_t *fault, int64_t duration_ms)
{
    static const char *const modes[] = {"shed",   "error", "reset",
                                        "silent", "cut",   "foreign"};
    soak_relay_t *relay = relay_at(soak, fault->target);
    soak_server_t *server = server_at(soak, fault->target);
    switch (fault->kind) {
        case FAULT_RELAY_KILL:
        case FAULT_RELAY_STOP:
        case FAULT_RELAY_PAUSE:
        case FAULT_RELAY_RELOAD:
            start_relay_fault(fault->kind, relay, duration_ms);
            return;
        case FAULT_CALLER_LINK:
            disturb_relay(relay, duration_ms);
            link_set_state(relay->caller_link, random_link_fault(soak));
            return;
        case FAULT_STORE_LINK:
            link_set_state(relay->store_link, random_link_fault(soak));
            return;
        case FAULT_SERVER_LINK:
            disturb_server(soak, server, duration_ms);
            link_set_state(server->link, random_link_fault(soak));
            return;
        case FAULT_RESET_CONNECTIONS:
            disturb_server(soak, server, 0);
            link_reset(server->link);
            link_reset(relay->store_link);
            return;
        case FAULT_STALL_CONNECTIONS:
            disturb_server(soak, server, 0);
            link_stall(server->link);
            link_stall(relay->store_link);
            return;
        case FAULT_SERVER:
            disturb_server(soak, server, duration_ms);
            set_server_mode(soak, fault->target,
                            modes[rng_below(soak->fault_rng, 6)]);
            return;
        case FAULT_STORE_DOWN:
            soak_post_admin(soak, "store", "{\"down\":true}");
            return;
        case FAULT_STORE_SILENT:
            soak_post_admin(soak, "store", "{\"silent\":true}");
            return;
        case FAULT_STORE_LOSES_ANSWERS:
            soak_post_admin(soak, "store", "{\"lose\":3}");
            return;
        case FAULT_STORE_LOSES_HISTORY:
            soak_post_admin(soak, "store", "{\"forget\":true}");
            return;
        case FAULT_NEW_CONFIG:
            deployment_publish_config(soak);
            return;
        case FAULT_NEW_WEIGHTS:
            publish_next_weights(soak);
            return;
        case FAULT_REMOVE_KEY:
            remove_old_key(soak);
            return;
        case FAULT_SERVER_LIMIT:
            disturb_server(soak, server, duration_ms);
            set_server_number(soak, fault->target, "well", "limit_per_s",
                              (int64_t)rng_below(soak->fault_rng, 10));
            return;
        case FAULT_SERVER_REST:
            disturb_server(soak, server, duration_ms);
            set_server_number(soak, fault->target, "shed", "rest_s",
                              1 + (int64_t)rng_below(soak->fault_rng, 2));
            return;
        default:
            start_further_fault(soak, fault, duration_ms);
            return;
    }
}

static void
end_fault(soak_t *soak, const fault_t *fault)
{
    soak_relay_t *relay = relay_at(soak, fault->target);
    switch (fault->kind) {
        case FAULT_RELAY_PAUSE:
            if (relay->process.paused) {
                relay->process.paused = false;
                process_signal(&relay->process, SIGCONT);
            }
            return;
        case FAULT_CALLER_LINK:
            link_set_state(relay->caller_link, LINK_OK);
            return;
        case FAULT_STORE_LINK:
            link_set_state(relay->store_link, LINK_OK);
            return;
        case FAULT_SERVER_LINK:
            link_set_state(server_at(soak, fault->target)->link, LINK_OK);
            return;
        case FAULT_SERVER:
            set_server_mode(soak, fault->target, "well");
            return;
        case FAULT_SERVER_LIMIT:
            set_server_number(soak, fault->target, "well", "limit_per_s", -1);
            return;
        case FAULT_SERVER_REST:
            set_server_number(soak, fault->target, "well", "rest_s", 0);
            return;
        case FAULT_HOST_CUT:
            cut_host(soak, relay, false, LINK_OK);
            return;
        case FAULT_SILENCE:
            set_silence(soak, fault->target, LINK_OK);
            return;
        case FAULT_FATAL_PART:
            if (--soak->fatal_parts == 0) {
                set_fatal_part(soak, "none");
            }
            return;
        case FAULT_ONE_RELAY:
            soak->one_relay--;
            return;
        case FAULT_UNFRAMED:
            set_server_mode(soak, fault->target, "well");
            return;
        case FAULT_SERVER_BRITTLE:
            set_server_number(soak, fault->target, "well", "brittle", -1);
            set_server_number(soak, fault->target, "well", "room", 0);
            return;
        case FAULT_STORE_DOWN:
            soak_post_admin(soak, "store", "{\"down\":false}");
            return;
        case FAULT_STORE_SILENT:
            soak_post_admin(soak, "store", "{\"silent\":false}");
            return;
        default:
            return;
    }
}

static fault_kind_t
random_planned_kind(soak_t *soak)
{
    static const fault_kind_t kinds[] = {FAULT_NEW_CONFIG, FAULT_NEW_CONFIG,
                                         FAULT_RELAY_RELOAD, FAULT_SILENCE,
                                         FAULT_ENGINE_DRAIN};
    size_t count = sizeof(kinds) / sizeof(kinds[0]);
    return kinds[rng_below(soak->fault_rng,
                           soak->versions ? count : count - 1)];
}

/* Most faults with --versions break off streams; the others are planned work
 * or of the kinds that are drawn always. */
static fault_kind_t
random_versions_kind(soak_t *soak)
{
    static const fault_kind_t kinds[] = {
        FAULT_RELAY_KILL,     FAULT_RELAY_KILL,     FAULT_RELAY_KILL,
        FAULT_ENGINE_RESTART, FAULT_ENGINES_ROLL,   FAULT_VERSION_LEAVES,
        FAULT_STREAMS_END,    FAULT_RELAYS_IN_TURN, FAULT_RELAYS_AT_ONCE,
        FAULT_CALLER_RESETS,  FAULT_HOST_CUT};
    switch (rng_below(soak->fault_rng, 10)) {
        case 0:
            return (fault_kind_t)rng_below(soak->fault_rng,
                                           FAULT_SERVER_LIMIT);
        case 1:
        case 2:
            return random_planned_kind(soak);
        default:
            return kinds[rng_below(soak->fault_rng,
                                   sizeof(kinds) / sizeof(kinds[0]))];
    }
}

/* Half of the faults with --priorities are those that end requests which wait
 * at a host, or change how they are admitted. */
static fault_kind_t
random_priorities_kind(soak_t *soak)
{
    static const fault_kind_t kinds[] = {FAULT_NEW_CONFIG, FAULT_NEW_CONFIG,
                                         FAULT_RELAY_KILL, FAULT_RELAY_PAUSE,
                                         FAULT_HOST_CUT};
    return kinds[rng_below(soak->fault_rng, sizeof(kinds) / sizeof(kinds[0]))];
}

/* With --cuts, a third of the faults are of the kinds that it adds. */
static fault_kind_t
random_kind(soak_t *soak)
{
    if (soak->planned || time_mono_ms() >= soak->planned_from_ms) {
        return random_planned_kind(soak);
    }
    if (soak->versions) {
        return random_versions_kind(soak);
    }
    if (soak->priorities && rng_below(soak->fault_rng, 2) == 0) {
        return random_priorities_kind(soak);
    }
    if (soak->cuts && rng_below(soak->fault_rng, 3) == 0) {
        return FAULT_HOST_CUT +
               (fault_kind_t)rng_below(soak->fault_rng,
                                       FAULT_SILENCE - FAULT_HOST_CUT);
    }
    return (fault_kind_t)rng_below(
        soak->fault_rng, soak->signals ? FAULT_HOST_CUT : FAULT_SERVER_LIMIT);
}

static void
start_random_fault(soak_t *soak, int64_t now)
{
    fault_t *fault = mem_zalloc(sizeof(*fault));
    int64_t duration_ms =
        DURATION_MS_MIN +
        (int64_t)rng_below(soak->fault_rng, DURATION_RANGE_MS);
    fault->kind = random_kind(soak);
    fault->target = (size_t)rng_below(soak->fault_rng, 64);
    if (fault->kind == FAULT_SILENCE) {
        duration_ms = SILENCE_MS_MIN +
                      (int64_t)rng_below(soak->fault_rng, SILENCE_RANGE_MS);
    }
    fault->until_ms = now + duration_ms;
    if (fault->until_ms > soak->faults_end_ms) {
        fault->until_ms = soak->faults_end_ms;
    }
    (void)printf("  %6lld ms  %s %zu for %lld ms\n",
                 (long long)(now - soak->start_ms), kind_names[fault->kind],
                 fault->target, (long long)duration_ms);
    start_fault(soak, fault, duration_ms);
    soak->fault_count++;
    CK_LIST_INSERT_HEAD(&active_faults, fault, entry);
}

/* Ends the faults whose time is over and starts the next one when due. */
void
faults_tick(soak_t *soak)
{
    int64_t now = time_mono_ms();
    fault_t *fault;
    fault_t *next;
    CK_LIST_FOREACH_SAFE (fault, &active_faults, entry, next) {
        if (now >= fault->until_ms) {
            end_fault(soak, fault);
            CK_LIST_REMOVE(fault, entry);
            free(fault);
        }
    }
    if (now >= next_fault_ms && now < soak->faults_end_ms) {
        start_random_fault(soak, now);
        next_fault_ms = now + INTERVAL_MS_MIN +
                        (int64_t)rng_below(soak->fault_rng, INTERVAL_RANGE_MS);
        if (soak->versions) {
            next_fault_ms += VERSIONS_INTERVAL_MS;
        }
    }
}
