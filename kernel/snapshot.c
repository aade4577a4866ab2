#include "snapshot.h"

#include <stdlib.h>
#include <string.h>

#define ASK_TIMEOUT_MS 500
#define HERD_JITTER_MS 200

static json_t *
facts_json(celeryspoold_t *daemon, size_t max)
{
    json_t *list = json_array();
    cache_fact_t *facts = mem_zalloc(max * sizeof(*facts));
    size_t count = cache_map_hottest(daemon->cache, facts, max);
    for (size_t i = 0; i < count; i++) {
        backend_state_t state;
        if (view_get(daemon->view, facts[i].backend, &state)) {
            (void)json_array_append_new(
                list,
                json_pack("[s,I,i]", state.name, (json_int_t)facts[i].key,
                          (int)facts[i].tokens));
        }
    }
    free(facts);
    return list;
}

static json_t *
loads_json(celeryspoold_t *daemon)
{
    json_t *list = json_array();
    size_t count = view_count(daemon->view);
    for (size_t i = 0; i < count; i++) {
        backend_state_t state;
        if (!view_get(daemon->view, (uint16_t)i, &state) || !state.reported) {
            continue;
        }
        const load_report_t *load = &state.load;
        (void)json_array_append_new(
            list, json_pack("[s,s,s,i,i,i,i]", state.name, load->incarnation,
                            load->version, load->running, load->slots,
                            load->waiting_tokens, load->prefill_rate));
    }
    return list;
}

/* A bounded snapshot of what this daemon knows. */
json_t *
snapshot_make(celeryspoold_t *daemon, size_t facts_max)
{
    config_t *config = daemon_config(daemon);
    json_t *snapshot = json_pack(
        "{s:b,s:O,s:o,s:o}", "warm", daemon_state(daemon) != STATE_WARMING,
        "config", config->doc, "loads", loads_json(daemon), "facts",
        facts_json(daemon, facts_max));
    config_release(config);
    return snapshot;
}

static void
take_load(celeryspoold_t *daemon, const json_t *load)
{
    load_report_t report = {0};
    const char *name;
    const char *incarnation;
    const char *version;
    if (json_unpack((json_t *)load, "[s,s,s,i,i,i,i]", &name, &incarnation,
                    &version, &report.running, &report.slots,
                    &report.waiting_tokens, &report.prefill_rate) != 0) {
        return;
    }
    backend_state_t state;
    uint16_t id = view_id(daemon->view, name);
    if (view_get(daemon->view, id, &state) && state.reported) {
        return; /* what was heard since the start is newer */
    }
    str_copy(report.incarnation, sizeof(report.incarnation), incarnation);
    str_copy(report.version, sizeof(report.version), version);
    feed_take_load(daemon, name, &report);
}

static void
take_fact(celeryspoold_t *daemon, const json_t *fact)
{
    const char *name;
    json_int_t key;
    int tokens;
    if (json_unpack((json_t *)fact, "[s,I,i]", &name, &key, &tokens) == 0) {
        (void)cache_map_note(daemon->cache, view_id(daemon->view, name),
                             (uint64_t)key, (uint32_t)tokens);
    }
}

/* Take a snapshot in: loads first, so that a server that has changed since
 * is noticed and its facts are forgotten with the next report. */
void
snapshot_take(celeryspoold_t *daemon, json_t *snapshot, const char *source)
{
    size_t i;
    const json_t *item;
    json_t *doc = json_object_get(snapshot, "config");
    if (doc != NULL) {
        (void)config_sync_adopt(daemon, doc, 0, source);
    }
    json_array_foreach (json_object_get(snapshot, "loads"), i, item) {
        take_load(daemon, item);
    }
    json_t *facts = json_object_get(snapshot, "facts");
    for (size_t back = json_array_size(facts); back > 0; back--) {
        take_fact(daemon, json_array_get(facts, back - 1));
    }
    log_info("snapshot", "Took %zu facts from %s.", json_array_size(facts),
             source);
}

/* Keep a small snapshot in the store, for a restart of all daemons at once;
 * called on the one that has the duty.  Unconditional: the newest wins. */
void
snapshot_keep(celeryspoold_t *daemon)
{
    CLEAN_JSON json_t *snapshot = snapshot_make(daemon, SNAPSHOT_STORE_FACTS);
    int64_t version = 0;
    if (store_get_wait(daemon->store, SNAPSHOT_OBJECT, &version, NULL) <=
        STORE_ABSENT) {
        (void)store_put_wait(daemon->store, SNAPSHOT_OBJECT, version, snapshot,
                             &version);
    }
}

static bool
warm_from_peers(celeryspoold_t *daemon)
{
    const settings_t *settings = &daemon->settings;
    for (unsigned i = 0; i < settings->seed_count; i++) {
        err_t err = {0};
        if (strcmp(settings->seeds[i], settings->peer_addr) == 0) {
            continue;
        }
        CLEAN_JSON json_t *snapshot =
            peer_ask(settings->seeds[i], "snapshot", ASK_TIMEOUT_MS, &err);
        if (snapshot == NULL) {
            continue;
        }
        snapshot_take(daemon, snapshot, settings->seeds[i]);
        if (json_flag(snapshot, "warm")) {
            return true;
        }
    }
    return false;
}

/* Warm up: from a peer that is warm itself, else from the store, after a
 * random pause, so that a herd does not ask it all at once. */
void
snapshot_warm(celeryspoold_t *daemon)
{
    if (warm_from_peers(daemon)) {
        return;
    }
    rng_t rng = {daemon->incarnation};
    time_sleep_ms((int)rng_below(&rng, HERD_JITTER_MS));
    CLEAN_JSON json_t *snapshot = NULL;
    int64_t version = 0;
    if (store_get_wait(daemon->store, SNAPSHOT_OBJECT, &version, &snapshot) ==
        STORE_OK) {
        snapshot_take(daemon, snapshot, "the store");
    }
}
