#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* Adopts configurations from the store and from peers, and commits changes.
 * Only a generation higher than the current one is adopted, whatever its
 * source, so a late or stale read never reverts a change. */

#define WATCH_TIMEOUT_MS 4000
#define WATCH_RETRY_MS 300
#define COMMIT_ATTEMPTS_MAX 12
#define COMMIT_RETRY_MS 150

/* The current configuration; the caller releases it. */
config_t *
daemon_config(celeryspoold_t *daemon)
{
    LOCK_SCOPE(&daemon->config_lock);
    return config_hold(daemon->config);
}

static void
record_adoption(int64_t generation, const char *source)
{
    char detail[96];
    (void)snprintf(detail, sizeof(detail), "generation %lld from %s",
                   (long long)generation, source);
    log_info("config", "Configuration generation %lld from %s adopted.",
             (long long)generation, source);
    event_emit(&(event_t){.kind = "config-adopted", .detail = detail});
}

/* Replace the configuration if the candidate's generation is higher.  The
 * adoption is recorded under the lock, so that logs and events have adoptions
 * of several threads in the order in which they took effect. */
static bool
replace_if_newer(celeryspoold_t *daemon, config_t *candidate, int64_t version,
                 const char *source)
{
    LOCK_SCOPE(&daemon->config_lock);
    daemon->config_confirmed_ms = time_mono_ms();
    if (version > daemon->config_version) {
        daemon->config_version = version;
    }
    if (candidate->generation <= daemon->config->generation) {
        return false;
    }
    config_release(daemon->config);
    daemon->config = config_hold(candidate);
    record_adoption(candidate->generation, source);
    return true;
}

/* Adopt a document if its generation is higher than the current one.  The
 * version is that of the object in the store, or 0 if the document is from a
 * peer. */
bool
config_sync_adopt(celeryspoold_t *daemon, json_t *doc, int64_t version,
                  const char *source)
{
    err_t err = {0};
    config_t *candidate = config_parse(doc, &err);
    if (candidate == NULL) {
        log_error("config", "The configuration from %s is invalid: %s.",
                  source, err.text);
        return false;
    }
    bool adopted = replace_if_newer(daemon, candidate, version, source);
    config_release(candidate);
    return adopted;
}

static void
mark_confirmed(celeryspoold_t *daemon)
{
    LOCK_SCOPE(&daemon->config_lock);
    daemon->config_confirmed_ms = time_mono_ms();
}

static void
watch_store(celeryspoold_t *daemon)
{
    CLEAN_JSON json_t *doc = NULL;
    int64_t version = 0;
    (void)pthread_mutex_lock(&daemon->config_lock);
    int64_t after = daemon->config_version;
    (void)pthread_mutex_unlock(&daemon->config_lock);
    store_result_t result = store_watch_wait(
        daemon->store, CONFIG_OBJECT, after, WATCH_TIMEOUT_MS, &version, &doc);
    switch (result) {
        case STORE_OK:
            (void)config_sync_adopt(daemon, doc, version, "the store");
            return;
        case STORE_ABSENT:
            mark_confirmed(daemon);
            return;
        case STORE_CONFLICT:
        case STORE_REFUSED:
        case STORE_UNKNOWN:
            log_debug("config", "The watch on the configuration failed: %s.",
                      store_result_name(result));
            time_sleep_ms(WATCH_RETRY_MS);
            return;
    }
}

/* The thread that watches the configuration in the store. */
void *
config_sync_run(void *arg)
{
    celeryspoold_t *daemon = arg;
    while (!__atomic_load_n(&daemon->stopping, __ATOMIC_ACQUIRE)) {
        watch_store(daemon);
    }
    return NULL;
}

/* The outcome of one attempt to commit a change. */
typedef enum { COMMIT_ACCEPTED, COMMIT_RETRY, COMMIT_FAILED } commit_outcome_t;

typedef struct {
    celeryspoold_t *daemon;
    const change_t *change;
    const char *operator_name;
    const char *description;
    int64_t if_generation;
    char id[CS_ID_LEN + 1];
    bool may_be_accepted; /* set when the answer to a write was lost */
    json_t *doc;
    int64_t version;
    int64_t generation;
} commit_t;

static int
read_document(commit_t *commit)
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
        if (json_get_int(change, "to", 0) > commit->if_generation) {
            (void)json_array_append(changes, change);
        }
    }
    return json_pack("{s:b,s:I,s:o}", "accepted", false, "generation",
                     (json_int_t)json_get_int(commit->doc, "generation", 0),
                     "changed_since", changes);
}

static commit_outcome_t
write_change(commit_t *commit, err_t *err)
{
    json_t *next = config_change_apply(commit->doc, commit->change, err);
    if (next == NULL) {
        return COMMIT_FAILED;
    }
    int64_t version = 0;
    next = config_change_record(next, commit->id, commit->operator_name,
                                commit->description);
    size_t size = json_dumpb(next, NULL, 0, JSON_COMPACT);
    if (size > STORE_VALUE_MAX) {
        json_decref(next);
        (void)err_set(err, ERR_CONFIG, 413,
                      "the configuration would have %zu bytes; the platform's "
                      "limit is %d",
                      size, STORE_VALUE_MAX);
        return COMMIT_FAILED;
    }
    store_result_t result = store_put_wait(
        commit->daemon->store, CONFIG_OBJECT, commit->version, next, &version);
    if (result == STORE_OK) {
        commit->generation = json_get_int(next, "generation", 0);
        (void)config_sync_adopt(commit->daemon, next, version, "a command");
    }
    json_decref(next);
    switch (result) {
        case STORE_OK:
            return COMMIT_ACCEPTED;
        case STORE_UNKNOWN:
            commit->may_be_accepted = true;
            return COMMIT_RETRY;
        case STORE_CONFLICT:
        case STORE_REFUSED:
        case STORE_ABSENT:
            return COMMIT_RETRY;
    }
    return COMMIT_RETRY;
}

/* Make one attempt.  The document is read first and searched for the change:
 * an earlier write may have been accepted although its answer was lost.  If
 * the change is not there, writing it again is safe: both writes are
 * conditional on the object's version, so at most one of them succeeds. */
static commit_outcome_t
commit_attempt(commit_t *commit, json_t **result, err_t *err)
{
    if (read_document(commit) != 0) {
        return COMMIT_RETRY;
    }
    if (config_has_change(commit->doc, commit->id, &commit->generation)) {
        (void)config_sync_adopt(commit->daemon, commit->doc, commit->version,
                                "a command");
        return COMMIT_ACCEPTED;
    }
    int64_t current = json_get_int(commit->doc, "generation", 0);
    if (commit->if_generation >= 0 && commit->if_generation != current) {
        *result = conflict_result(commit);
        (void)err_set(err, ERR_CONFIG, 409,
                      "the current generation is %lld, not %lld",
                      (long long)current, (long long)commit->if_generation);
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

/* Commit a change to the store and report its outcome: accepted, with its
 * generation; rejected as a conflict, with the current generation and the
 * changes since if_generation; failed without effect; or unknown, when the
 * answer to a write was lost and the store could not be read again.  Blocks.
 */
int
config_sync_commit(celeryspoold_t *daemon, const change_t *change,
                   const char *operator_name, const char *description,
                   int64_t if_generation, json_t **result, err_t *err)
{
    commit_t commit = {.daemon = daemon,
                       .change = change,
                       .operator_name = operator_name,
                       .description = description,
                       .if_generation = if_generation};
    commit_outcome_t outcome = COMMIT_RETRY;
    id_random(commit.id);
    for (int i = 0; i < COMMIT_ATTEMPTS_MAX && outcome == COMMIT_RETRY; i++) {
        if (i > 0) {
            time_sleep_ms(COMMIT_RETRY_MS);
        }
        outcome = commit_attempt(&commit, result, err);
    }
    json_decref(commit.doc);
    switch (outcome) {
        case COMMIT_ACCEPTED:
            *result = accepted_result(&commit);
            log_info("audit", "%s: %s, generation %lld to %lld.",
                     operator_name, description,
                     (long long)commit.generation - 1,
                     (long long)commit.generation);
            return 0;
        case COMMIT_FAILED:
            return -1;
        case COMMIT_RETRY:
            break;
    }
    return commit.may_be_accepted
               ? err_set(
                     err, ERR_CONFIG, 504,
                     "the store's answer was lost and the store could not be "
                     "read again; the change may have been accepted: check "
                     "before repeating it")
               : err_set(
                     err, ERR_CONFIG, 503,
                     "the store could not be read or written; the change was "
                     "not accepted");
}
