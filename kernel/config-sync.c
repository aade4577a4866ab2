#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* How the configuration reaches this daemon and how a change is accepted.
 * Generations only grow here: from the store or from any peer, an older or
 * equal one is ignored, so a late or stale reading takes nothing back. */

#define WATCH_MS 4000
#define RETRY_MS 300
#define COMMIT_TRIES 12
#define COMMIT_STEP_MS 150

/* The configuration in force; the caller releases it. */
config_t *
daemon_config(celeryspoold_t *daemon)
{
    LOCK_SCOPE(&daemon->config_lock);
    return config_hold(daemon->config);
}

static bool
swap_if_newer(celeryspoold_t *daemon, config_t *fresh, int64_t version)
{
    LOCK_SCOPE(&daemon->config_lock);
    daemon->config_heard_ms = time_mono_ms();
    if (version > daemon->config_version) {
        daemon->config_version = version;
    }
    if (fresh->generation <= daemon->config->generation) {
        return false;
    }
    config_release(daemon->config);
    daemon->config = config_hold(fresh);
    return true;
}

/* Adopt a document if its generation is higher than the one in force.  A
 * version is that of the store's object, or 0 from a peer. */
bool
config_sync_adopt(celeryspoold_t *daemon, json_t *doc, int64_t version,
                  const char *source)
{
    err_t err = {0};
    config_t *fresh = config_parse(doc, &err);
    if (fresh == NULL) {
        log_error("config", "The configuration from %s is bad: %s.", source,
                  err.text);
        return false;
    }
    bool adopted = swap_if_newer(daemon, fresh, version);
    if (adopted) {
        char detail[96];
        (void)snprintf(detail, sizeof(detail), "generation %lld from %s",
                       (long long)fresh->generation, source);
        log_info("config", "Generation %lld is in force, from %s.",
                 (long long)fresh->generation, source);
        event_emit(&(event_t){.kind = "config-adopted", .detail = detail});
    }
    config_release(fresh);
    return adopted;
}

static void
heard(celeryspoold_t *daemon)
{
    LOCK_SCOPE(&daemon->config_lock);
    daemon->config_heard_ms = time_mono_ms();
}

static void
watch_once(celeryspoold_t *daemon)
{
    CLEAN_JSON json_t *doc = NULL;
    int64_t version = 0;
    (void)pthread_mutex_lock(&daemon->config_lock);
    int64_t after = daemon->config_version;
    (void)pthread_mutex_unlock(&daemon->config_lock);
    store_result_t result = store_watch_wait(daemon->store, CONFIG_OBJECT,
                                             after, WATCH_MS, &version, &doc);
    switch (result) {
        case STORE_OK:
            (void)config_sync_adopt(daemon, doc, version, "the store");
            return;
        case STORE_ABSENT:
            heard(daemon);
            return;
        case STORE_CONFLICT:
        case STORE_REFUSED:
        case STORE_LOST:
            log_debug("config", "The watch ended: %s.",
                      store_result_word(result));
            time_sleep_ms(RETRY_MS);
            return;
    }
}

/* The thread that watches the store's object. */
void *
config_sync_run(void *arg)
{
    celeryspoold_t *daemon = arg;
    while (!__atomic_load_n(&daemon->stopping, __ATOMIC_ACQUIRE)) {
        watch_once(daemon);
    }
    return NULL;
}

/* One attempt to commit a change. */
typedef enum { COMMIT_ACCEPTED, COMMIT_AGAIN, COMMIT_FAILED } commit_step_t;

typedef struct {
    celeryspoold_t *daemon;
    const change_t *change;
    const char *who;
    const char *what;
    int64_t if_generation;
    char id[CS_ID_LEN + 1];
    bool maybe; /* a write whose answer was lost may have been accepted */
    json_t *doc;
    int64_t version;
    int64_t generation;
} commit_t;

static int
read_current(commit_t *commit)
{
    json_decref(commit->doc);
    commit->doc = NULL;
    commit->version = 0;
    store_result_t result = store_get_wait(
        commit->daemon->store, CONFIG_OBJECT, &commit->version, &commit->doc);
    if (result == STORE_ABSENT) {
        commit->doc = config_empty();
        return 0;
    }
    return result == STORE_OK ? 0 : -1;
}

static json_t *
conflict_result(const commit_t *commit)
{
    json_t *changes = json_array();
    size_t i;
    json_t *change;
    json_array_foreach (json_object_get(commit->doc, "changes"), i, change) {
        if (json_int(change, "to", 0) > commit->if_generation) {
            (void)json_array_append(changes, change);
        }
    }
    return json_pack("{s:b,s:I,s:o}", "accepted", false, "generation",
                     (json_int_t)json_int(commit->doc, "generation", 0),
                     "changed_since", changes);
}

static commit_step_t
write_change(commit_t *commit, err_t *err)
{
    json_t *next = config_change_apply(commit->doc, commit->change, err);
    if (next == NULL) {
        return COMMIT_FAILED;
    }
    int64_t version = 0;
    next = config_change_record(next, commit->id, commit->who, commit->what);
    size_t size = json_dumpb(next, NULL, 0, JSON_COMPACT);
    if (size > STORE_VALUE_MAX) {
        json_decref(next);
        (void)err_set(err, ERR_CONFIG, 413,
                      "the configuration would have %zu bytes; the platform "
                      "holds %d",
                      size, STORE_VALUE_MAX);
        return COMMIT_FAILED;
    }
    store_result_t result = store_put_wait(
        commit->daemon->store, CONFIG_OBJECT, commit->version, next, &version);
    if (result == STORE_OK) {
        commit->generation = json_int(next, "generation", 0);
        (void)config_sync_adopt(commit->daemon, next, version, "a command");
    }
    json_decref(next);
    switch (result) {
        case STORE_OK:
            return COMMIT_ACCEPTED;
        case STORE_LOST:
            commit->maybe = true;
            return COMMIT_AGAIN;
        case STORE_CONFLICT:
        case STORE_REFUSED:
        case STORE_ABSENT:
            return COMMIT_AGAIN;
    }
    return COMMIT_AGAIN;
}

/* Read, and first look for the change itself: a lost answer may have hidden
 * that it was accepted.  If it is not there, writing it again over the
 * version that was read is safe, because the two writes fence each other. */
static commit_step_t
commit_step(commit_t *commit, json_t **result, err_t *err)
{
    if (read_current(commit) != 0) {
        return COMMIT_AGAIN;
    }
    if (config_has_change(commit->doc, commit->id, &commit->generation)) {
        (void)config_sync_adopt(commit->daemon, commit->doc, commit->version,
                                "a command");
        return COMMIT_ACCEPTED;
    }
    int64_t have = json_int(commit->doc, "generation", 0);
    if (commit->if_generation >= 0 && commit->if_generation != have) {
        *result = conflict_result(commit);
        (void)err_set(err, ERR_CONFIG, 409,
                      "generation %lld is in force, not %lld", (long long)have,
                      (long long)commit->if_generation);
        return COMMIT_FAILED;
    }
    return write_change(commit, err);
}

static json_t *
accepted_result(const commit_t *commit)
{
    json_t *warnings = json_array();
    config_t *config = daemon_config(commit->daemon);
    config_list_warnings(config, time_wall_ms(), warnings);
    config_release(config);
    return json_pack("{s:b,s:I,s:s,s:o}", "accepted", true, "generation",
                     (json_int_t)commit->generation, "change", commit->id,
                     "warnings", warnings);
}

/* Commit a change to the platform and tell what came of it: accepted with
 * its generation; refused, with the generation that won and what changed;
 * or not known, when the store could not be read back.  Blocks. */
int
config_sync_commit(celeryspoold_t *daemon, const change_t *change,
                   const char *who, const char *what, int64_t if_generation,
                   json_t **result, err_t *err)
{
    commit_t commit = {.daemon = daemon,
                       .change = change,
                       .who = who,
                       .what = what,
                       .if_generation = if_generation};
    commit_step_t step = COMMIT_AGAIN;
    id_random(commit.id);
    for (int i = 0; i < COMMIT_TRIES && step == COMMIT_AGAIN; i++) {
        if (i > 0) {
            time_sleep_ms(COMMIT_STEP_MS);
        }
        step = commit_step(&commit, result, err);
    }
    json_decref(commit.doc);
    switch (step) {
        case COMMIT_ACCEPTED:
            *result = accepted_result(&commit);
            log_info("audit", "%s: %s, generation %lld to %lld.", who, what,
                     (long long)commit.generation - 1,
                     (long long)commit.generation);
            return 0;
        case COMMIT_FAILED:
            return -1;
        case COMMIT_AGAIN:
            break;
    }
    return commit.maybe
               ? err_set(err, ERR_CONFIG, 504,
                         "the store's answer was lost and it cannot be read; "
                         "the change may be in force: look before repeating")
               : err_set(err, ERR_CONFIG, 503,
                         "the store cannot be reached; the change was not "
                         "accepted");
}
