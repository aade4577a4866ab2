#include "relay.h"

#include <string.h>

/* Published versions of each model's weights and when they were published.
 * Older versions may be used for a limited time after that, so a daemon that
 * restarts reads the times from the lease object, where the holder stores
 * them. */

/* A version of unknown age is assumed to have been published 1/this of the
 * allowed time for older weights ago. */
#define UNKNOWN_AGE_DIVISOR 2
/* Share of the allowed time for older weights in which an answer may start on
 * them. */
#define START_SHARE 0.95

const weights_t *
relay_find_weights(const relay_t *relay, const char *model)
{
    for (size_t i = 0; i < relay->weights_count; i++) {
        if (strcmp(relay->weights[i].model, model) == 0) {
            return &relay->weights[i];
        }
    }
    return NULL;
}

static weights_t *
weights_find_or_add(relay_t *relay, const char *model)
{
    weights_t *weights = (weights_t *)relay_find_weights(relay, model);
    if (weights != NULL) {
        return weights;
    }
    if (relay->weights_count == WEIGHTS_MODELS_MAX) {
        log_error("weights",
                  "Too many models: the weights of %s are not tracked.",
                  model);
        return NULL;
    }
    weights = &relay->weights[relay->weights_count++];
    memset(weights, 0, sizeof(*weights));
    str_copy(weights->model, sizeof(weights->model), model);
    return weights;
}

/* Notes a version that the list has no room for: those before it count as
 * replaced since the earliest time, never for a shorter time than they are. */
static void
forget_version(weights_t *weights, int64_t version, int64_t published_ms)
{
    if (version > weights->forgotten_version) {
        weights->forgotten_version = version;
    }
    if (weights->forgotten_published_ms == 0 ||
        published_ms < weights->forgotten_published_ms) {
        weights->forgotten_published_ms = published_ms;
    }
}

/* Inserts a version into the list, which has the newest first.  Of several
 * publication times the earliest is kept; a known time replaces an estimate.
 */
static void
insert_version(weights_t *weights, int64_t version, int64_t published_ms,
               bool estimated)
{
    size_t position = 0;
    while (position < weights->version_count &&
           weights->versions[position].version > version) {
        position++;
    }
    if (position < weights->version_count &&
        weights->versions[position].version == version) {
        weights_version_t *entry = &weights->versions[position];
        bool better = entry->estimated != estimated
                          ? entry->estimated
                          : published_ms < entry->published_ms;
        if (better) {
            *entry = (weights_version_t){version, published_ms, estimated};
        }
        return;
    }
    if (position == WEIGHTS_VERSIONS_MAX) {
        forget_version(weights, version, published_ms);
        return;
    }
    size_t last = weights->version_count;
    if (last == WEIGHTS_VERSIONS_MAX) {
        const weights_version_t *oldest = &weights->versions[--last];
        forget_version(weights, oldest->version, oldest->published_ms);
    }
    memmove(&weights->versions[position + 1], &weights->versions[position],
            (last - position) * sizeof(weights->versions[0]));
    weights->versions[position] =
        (weights_version_t){version, published_ms, estimated};
    weights->version_count = last + 1;
}

static void
weights_insert(relay_t *relay, const char *model, int64_t version,
               int64_t published_ms, bool estimated)
{
    weights_t *weights = weights_find_or_add(relay, model);
    if (weights == NULL) {
        return;
    }
    insert_version(weights, version, published_ms, estimated);
    weights_note_seen(relay, model, version);
    if (version > weights->newest_version) {
        weights->newest_version = version;
        log_record(LOG_INFO, "weights", "named", "model=%s version=%lld",
                   model, (long long)version);
    }
}

/* Notes that a server has a version or is loading it, so that the version has
 * been published, whether or not this daemon has read it from the store. */
void
weights_note_seen(relay_t *relay, const char *model, int64_t version)
{
    weights_t *weights = weights_find_or_add(relay, model);
    if (weights != NULL && version > weights->newest_seen) {
        weights->newest_seen = version;
    }
}

/* Returns the newest version of a model that is known to be published, 0 if
 * none is. */
int64_t
weights_newest_seen(const relay_t *relay, const char *model)
{
    const weights_t *weights = relay_find_weights(relay, model);
    return weights != NULL ? weights->newest_seen : 0;
}

/* Whether no newer version of a model is known to be published. */
bool
weights_are_newest(const relay_t *relay, const char *model, int64_t version)
{
    return version >= weights_newest_seen(relay, model);
}

/* Records a version of a model and the wall-clock time of its publication. */
void
weights_record(relay_t *relay, const char *model, int64_t version,
               int64_t published_ms)
{
    weights_insert(relay, model, version, published_ms, false);
}

/* Records a version with a publication time that another daemon estimated.
 * The estimate is kept until the time is known; otherwise a daemon that starts
 * later would make a later estimate of its own. */
void
weights_record_estimate(relay_t *relay, const char *model, int64_t version,
                        int64_t published_ms)
{
    weights_insert(relay, model, version, published_ms, true);
}

/* Records a version that was read from the store.  A version in the daemon's
 * first list, or one that the list has not reached, may have been published
 * long before.  The lease object has its time, except for versions published
 * while no host held the lease, as in a rolling restart.  So it is estimated
 * that half of the allowed time for older weights has passed: otherwise a
 * daemon that restarts after a publication would use replaced weights for too
 * long. */
void
weights_record_from_store(relay_t *relay, const char *model, int64_t version,
                          int64_t wall_ms)
{
    bool is_new = relay->weights_listed && !relay->weights_partial;
    int64_t before_ms = is_new ? 0
                               : (int64_t)relay->settings.old_weights_max_ms /
                                     UNKNOWN_AGE_DIVISOR;
    weights_insert(relay, model, version, wall_ms - before_ms, before_ms > 0);
}

/* Whether it is too late to start an answer on a version, if older weights may
 * be used for allowed_ms.  The rest of that time covers the delay until the
 * server sees a closed connection, and clock differences. */
bool
weights_expired(const weights_t *weights, int64_t version, int64_t wall_ms,
                int64_t allowed_ms)
{
    return weights_superseded_for_ms(weights, version, wall_ms) >=
           (int64_t)(START_SHARE * (double)allowed_ms);
}

/* Returns the time since the first newer version was published; 0 if there is
 * none. */
int64_t
weights_superseded_for_ms(const weights_t *weights, int64_t version,
                          int64_t wall_ms)
{
    int64_t since = version < weights->forgotten_version
                        ? weights->forgotten_published_ms
                        : 0;
    for (size_t i = 0; i < weights->version_count; i++) {
        if (weights->versions[i].version > version &&
            (since == 0 || weights->versions[i].published_ms < since)) {
            since = weights->versions[i].published_ms;
        }
    }
    return since != 0 && wall_ms > since ? wall_ms - since : 0;
}
