#include "relay.h"

#include <string.h>

/* Which weights of a model were named, and when.  How long older ones may
 * still be used counts from the naming, so a daemon that starts anew takes
 * the times from the lease's object, where the holder keeps them. */

/* Part of the time for older weights that is over for a version of unknown
 * age. */
#define UNKNOWN_PART 2
/* Part of the time for older weights in which an answer may begin on them. */
#define BEGIN_PART 0.95

const weights_t *
relay_weights(const relay_t *relay, const char *model)
{
    for (size_t i = 0; i < relay->weights_count; i++) {
        if (strcmp(relay->weights[i].model, model) == 0) {
            return &relay->weights[i];
        }
    }
    return NULL;
}

static weights_t *
weights_get(relay_t *relay, const char *model)
{
    weights_t *weights = (weights_t *)relay_weights(relay, model);
    if (weights != NULL) {
        return weights;
    }
    if (relay->weights_count == WEIGHTS_MODELS_MAX) {
        log_error("weights", "There is no room for model %s.", model);
        return NULL;
    }
    weights = &relay->weights[relay->weights_count++];
    memset(weights, 0, sizeof(*weights));
    str_copy(weights->model, sizeof(weights->model), model);
    return weights;
}

/* Put a version in, the newest first.  The earliest time that anybody knows of
 * its naming counts, and any that is known goes before a guess. */
static void
named_put(weights_t *weights, int64_t version, int64_t named_ms, bool guessed)
{
    size_t at = 0;
    while (at < weights->named_count && weights->named[at].version > version) {
        at++;
    }
    if (at < weights->named_count && weights->named[at].version == version) {
        weights_named_t *known = &weights->named[at];
        bool better = known->guessed != guessed ? known->guessed
                                                : named_ms < known->named_ms;
        if (better) {
            *known = (weights_named_t){version, named_ms, guessed};
        }
        return;
    }
    if (at == WEIGHTS_KEPT) {
        return;
    }
    size_t last = weights->named_count < WEIGHTS_KEPT ? weights->named_count
                                                      : WEIGHTS_KEPT - 1;
    memmove(&weights->named[at + 1], &weights->named[at],
            (last - at) * sizeof(weights->named[0]));
    weights->named[at] = (weights_named_t){version, named_ms, guessed};
    weights->named_count = last + 1;
}

static void
weights_put(relay_t *relay, const char *model, int64_t version,
            int64_t named_ms, bool guessed)
{
    weights_t *weights = weights_get(relay, model);
    if (weights == NULL) {
        return;
    }
    named_put(weights, version, named_ms, guessed);
    if (version > weights->version) {
        weights->version = version;
        log_record(LOG_INFO, "weights", "named", "model=%s version=%lld",
                   model, (long long)version);
    }
}

/* A version of a model was named at that time of day. */
void
weights_note(relay_t *relay, const char *model, int64_t version,
             int64_t named_ms)
{
    weights_put(relay, model, version, named_ms, false);
}

/* The same where the time is only a bound that another daemon estimated.  It
 * is kept until the time is known, or a daemon that starts later would
 * estimate a later one. */
void
weights_note_bound(relay_t *relay, const char *model, int64_t version,
                   int64_t named_ms)
{
    weights_put(relay, model, version, named_ms, true);
}

/* A daemon hears of a version by the store.  What stands in its first list may
 * have been named long before; the lease's object tells when, but for versions
 * that were named while nobody held the lease, as when hosts restart in turn.
 * So it takes half of the time that older weights may be used for over:
 * otherwise a daemon that restarts behind a naming would use replaced weights
 * too long. */
void
weights_observe(relay_t *relay, const char *model, int64_t version,
                int64_t wall_ms)
{
    int64_t before_ms =
        relay->weights_listed
            ? 0
            : (int64_t)relay->settings.old_weights_max_ms / UNKNOWN_PART;
    weights_put(relay, model, version, wall_ms - before_ms, before_ms > 0);
}

/* Whether an answer on a version may not begin any more, when older weights
 * may be used for so long.  The last part is left for the time that a closing
 * takes to reach the server and for clocks that differ. */
bool
weights_expired(const weights_t *weights, int64_t version, int64_t wall_ms,
                int64_t allowed_ms)
{
    return weights_older_ms(weights, version, wall_ms) >=
           (int64_t)(BEGIN_PART * (double)allowed_ms);
}

/* For how long a version has been replaced: since the first newer one was
 * named; 0 if there is none. */
int64_t
weights_older_ms(const weights_t *weights, int64_t version, int64_t wall_ms)
{
    int64_t since = 0;
    for (size_t i = 0; i < weights->named_count; i++) {
        if (weights->named[i].version > version &&
            (since == 0 || weights->named[i].named_ms < since)) {
            since = weights->named[i].named_ms;
        }
    }
    return since != 0 && wall_ms > since ? wall_ms - since : 0;
}
