#include "relay.h"

#include <string.h>

/* Which weights of a model were named, and when.  How long older ones may
 * still be used counts from the naming, so a daemon that starts anew takes
 * the times from the lease's object, where the holder keeps them. */

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

/* Put a version in, the newest first; the earliest time that anybody knows of
 * its naming counts. */
static void
named_put(weights_t *weights, int64_t version, int64_t named_ms)
{
    size_t at = 0;
    while (at < weights->named_count && weights->named[at].version > version) {
        at++;
    }
    if (at < weights->named_count && weights->named[at].version == version) {
        if (named_ms < weights->named[at].named_ms) {
            weights->named[at].named_ms = named_ms;
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
    weights->named[at] = (weights_named_t){version, named_ms};
    weights->named_count = last + 1;
}

/* A version of a model was named at that time of day, as far as is known. */
void
weights_note(relay_t *relay, const char *model, int64_t version,
             int64_t named_ms)
{
    weights_t *weights = weights_get(relay, model);
    if (weights == NULL) {
        return;
    }
    named_put(weights, version, named_ms);
    if (version > weights->version) {
        weights->version = version;
        log_record(LOG_INFO, "weights", "named", "model=%s version=%lld",
                   model, (long long)version);
    }
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
