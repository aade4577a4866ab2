#include "faults.h"
#include "streams.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Engines of several software versions, which replace each other, and relays
 * that are killed in a row. */

/* Time between the ends of two engines, or of two relays, in a row. */
#define ENGINE_INTERVAL_MS 600
#define RELAY_INTERVAL_MS 900
/* An engine that ends starts again after this time. */
#define ENGINE_DOWN_MS 300
/* An engine that drains stays for the longest request that it may have. */
#define DRAIN_MS 4800
#define RELAY_DOWN_MS 400
#define VERSIONS_MAX 3

typedef enum {
    STEP_RESTART, /* an engine ends, and starts with another version */
    STEP_DRAIN,   /* an engine takes no new requests */
    STEP_LEAVE,   /* it ends after those that it had */
    STEP_RETURN,  /* one of another version starts */
    STEP_KILL     /* a relay */
} step_kind_t;

/* A part of a fault that takes place later. */
typedef struct step {
    CK_LIST_ENTRY(step) entry;
    step_kind_t kind;
    size_t target;
    int64_t at_ms;
    char version[CS_NAME_MAX];
} step_t;

static CK_LIST_HEAD(steps, step) steps = CK_LIST_HEAD_INITIALIZER(steps);

static size_t
engine_count(const soak_t *soak)
{
    return soak->server_count - PLAIN_SERVERS;
}

static void
add_step(step_kind_t kind, size_t target, int64_t after_ms,
         const char *version)
{
    step_t *step = mem_zalloc(sizeof(*step));
    step->kind = kind;
    step->target = target;
    step->at_ms = time_mono_ms() + after_ms;
    str_copy(step->version, sizeof(step->version), version);
    CK_LIST_INSERT_HEAD(&steps, step, entry);
}

static void
post_engine(soak_t *soak, const soak_server_t *engine, const char *body)
{
    char path[CS_NAME_MAX * 2];
    (void)snprintf(path, sizeof(path), "server/%s", engine->id);
    soak_post_admin(soak, path, body);
}

/* Makes the engines send streams that last long enough to be broken off, and
 * name the run that made each event. */
void
versions_open(soak_t *soak)
{
    char body[96];
    (void)snprintf(body, sizeof(body),
                   "{\"events\":%d,\"gap_ms\":%d,\"show_runs\":true}",
                   STREAM_EVENTS, STREAM_GAP_MS);
    for (size_t i = 0; i < engine_count(soak); i++) {
        post_engine(soak, &soak->servers[i], body);
    }
}

static size_t
count_sound(const soak_t *soak, const char *version)
{
    size_t count = 0;
    for (size_t i = 0; i < engine_count(soak); i++) {
        const soak_server_t *engine = &soak->servers[i];
        count += !engine->draining &&
                         time_mono_ms() >= engine->disturbed_until_ms &&
                         strcmp(engine->version, version) == 0
                     ? 1
                     : 0;
    }
    return count;
}

/* Counts the undisturbed engines of a version, or if none is named, those of
 * the version that has most. */
size_t
versions_count_sound(const soak_t *soak, const char *version)
{
    size_t most = 0;
    if (version[0] != '\0') {
        return count_sound(soak, version);
    }
    for (size_t i = 0; i < engine_count(soak); i++) {
        size_t count = count_sound(soak, soak->servers[i].version);
        most = count > most ? count : most;
    }
    return most;
}

/* Notes that an event came from an engine: one that left has returned. */
void
versions_note_event(soak_server_t *engine, const char *version)
{
    if (strcmp(engine->version, version) == 0) {
        engine->draining = false;
    }
}

/* Draws another version than an engine has: one of two, later of three. */
static void
choose_version(soak_t *soak, const soak_server_t *engine,
               char out[CS_NAME_MAX])
{
    int64_t middle_ms = (soak->start_ms + soak->faults_end_ms) / 2;
    uint64_t known =
        time_mono_ms() < middle_ms ? VERSIONS_MAX - 1 : VERSIONS_MAX;
    uint64_t own = strtoull(engine->version + 1, NULL, 10);
    uint64_t number =
        1 + (own + rng_below(soak->fault_rng, known - 1)) % known;
    (void)snprintf(out, CS_NAME_MAX, "v%u", (unsigned)number);
}

static void
start_engine(soak_t *soak, soak_server_t *engine, const char *version,
             int down_ms)
{
    char body[128];
    (void)snprintf(body, sizeof(body), "{\"software\":\"%s\",\"restart\":%d}",
                   version, down_ms);
    str_copy(engine->version, sizeof(engine->version), version);
    post_engine(soak, engine, body);
}

static void
kill_relay(soak_t *soak, size_t target)
{
    soak_relay_t *relay = &soak->relays[target % soak->relay_count];
    disturb_relay(relay, RELAY_DOWN_MS);
    process_signal(&relay->process, SIGKILL);
}

static void
run_step(soak_t *soak, const step_t *step)
{
    soak_server_t *engine = &soak->servers[step->target % engine_count(soak)];
    switch (step->kind) {
        case STEP_RESTART:
            if (!engine->draining) {
                disturb_server(soak, engine, ENGINE_DOWN_MS);
                start_engine(soak, engine, step->version, ENGINE_DOWN_MS);
            }
            return;
        case STEP_DRAIN:
            engine->draining = true;
            engine->version[0] = '\0';
            post_engine(soak, engine, "{\"draining\":true}");
            return;
        case STEP_LEAVE:
            post_engine(soak, engine, "{\"gone\":true}");
            return;
        case STEP_RETURN:
            start_engine(soak, engine, step->version, 0);
            return;
        case STEP_KILL:
            kill_relay(soak, step->target);
            return;
    }
}

/* Replaces all engines of a version by others, at intervals. */
static void
replace_version(soak_t *soak, const soak_server_t *engine, int interval_ms)
{
    char version[CS_NAME_MAX];
    int64_t after_ms = 0;
    choose_version(soak, engine, version);
    for (size_t i = 0; i < engine_count(soak); i++) {
        if (strcmp(soak->servers[i].version, engine->version) == 0) {
            add_step(STEP_RESTART, i, after_ms, version);
            after_ms += interval_ms;
        }
    }
}

/* Lets an engine leave once its requests have ended, and one of another
 * version take its place.  No request is broken off. */
static void
drain_engine(soak_t *soak, size_t target)
{
    char version[CS_NAME_MAX];
    const soak_server_t *engine = &soak->servers[target % engine_count(soak)];
    for (size_t i = 0; i < engine_count(soak); i++) {
        if (soak->servers[i].draining) {
            return; /* one at a time */
        }
    }
    choose_version(soak, engine, version);
    add_step(STEP_DRAIN, target, 0, version);
    add_step(STEP_LEAVE, target, DRAIN_MS, version);
    add_step(STEP_RETURN, target, DRAIN_MS + ENGINE_DOWN_MS, version);
}

static void
kill_relays(const soak_t *soak, size_t first, int64_t interval_ms)
{
    for (size_t i = 0; i < soak->relay_count; i++) {
        add_step(STEP_KILL, first + i, (int64_t)i * interval_ms, "");
    }
}

/* Starts a fault of the kinds that --versions adds. */
void
versions_start_fault(soak_t *soak, fault_kind_t kind, size_t target)
{
    char version[CS_NAME_MAX];
    soak_server_t *engine = &soak->servers[target % engine_count(soak)];
    soak_relay_t *relay = &soak->relays[target % soak->relay_count];
    switch (kind) {
        case FAULT_ENGINE_DRAIN:
            drain_engine(soak, target);
            return;
        case FAULT_ENGINE_RESTART:
            choose_version(soak, engine, version);
            add_step(STEP_RESTART, target, 0, version);
            return;
        case FAULT_ENGINES_ROLL:
            replace_version(soak, engine, ENGINE_INTERVAL_MS);
            return;
        case FAULT_VERSION_LEAVES:
            replace_version(soak, engine, 0);
            return;
        case FAULT_STREAMS_END:
            disturb_server(soak, engine, 0);
            post_engine(soak, engine, "{\"end_streams\":0.5}");
            return;
        case FAULT_RELAYS_IN_TURN:
            kill_relays(soak, target, RELAY_INTERVAL_MS);
            return;
        case FAULT_RELAYS_AT_ONCE:
            kill_relays(soak, target, 0);
            return;
        case FAULT_CALLER_RESETS:
            disturb_relay(relay, 0);
            link_reset(relay->caller_link);
            return;
        default:
            return;
    }
}

/* Carries out the steps that are due.  After the end of the faults, nothing
 * more is broken off. */
void
versions_tick(soak_t *soak)
{
    int64_t now = time_mono_ms();
    step_t *step;
    step_t *next;
    CK_LIST_FOREACH_SAFE (step, &steps, entry, next) {
        if (now < step->at_ms) {
            continue;
        }
        bool breaks = step->kind == STEP_RESTART || step->kind == STEP_KILL;
        if (!breaks || now < soak->faults_end_ms) {
            run_step(soak, step);
        }
        CK_LIST_REMOVE(step, entry);
        free(step);
    }
}
