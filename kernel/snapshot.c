#include "snapshot.h"

#include <stdlib.h>
#include <string.h>

#define FETCH_TIMEOUT_MS 500
#define STORE_READ_JITTER_MS 200

static json_t *
facts_to_json(celeryspoold_t *daemon, size_t max)
{
    json_t *list = json_array();
    cached_level_t *facts = mem_zalloc(max * sizeof(*facts));
    size_t count = cache_map_list_levels(daemon->cache, facts, max);
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
loads_to_json(celeryspoold_t *daemon)
{
    json_t *list = json_array();
    size_t count = view_count(daemon->view);
    for (size_t i = 0; i < count; i++) {
        backend_state_t state;
        if (!view_get(daemon->view, (uint16_t)i, &state) || !state.reported) {
            continue;
        }
        const load_report_t *load = &state.load_report;
        (void)json_array_append_new(
            list, json_pack("[s,s,s,i,i,i,i]", state.name, load->incarnation,
                            load->version, load->running, load->slots,
                            load->waiting_tokens, load->prefill_rate));
    }
    return list;
}

/* Makes a snapshot of this daemon's state with at most facts_max facts. */
json_t *
snapshot_make(celeryspoold_t *daemon, size_t facts_max)
{
    config_t *config = daemon_config(daemon);
    json_t *snapshot = json_pack(
        "{s:b,s:O,s:o,s:o}", "warm", daemon_state(daemon) != STATE_WARMING,
        "config", config->doc, "loads", loads_to_json(daemon), "facts",
        facts_to_json(daemon, facts_max));
    config_release(config);
    return snapshot;
}

static void
apply_load(celeryspoold_t *daemon, const json_t *load)
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
    uint16_t id = view_assign_id(daemon->view, name);
    if (view_get(daemon->view, id, &state) && state.reported) {
        return; /* a report received since the start is newer */
    }
    str_copy(report.incarnation, sizeof(report.incarnation), incarnation);
    str_copy(report.version, sizeof(report.version), version);
    feed_apply_load(daemon, name, &report);
}

static void
apply_fact(celeryspoold_t *daemon, const json_t *fact)
{
    const char *name;
    json_int_t key;
    int tokens;
    if (json_unpack((json_t *)fact, "[s,I,i]", &name, &key, &tokens) == 0) {
        (void)cache_map_add_holder(daemon->cache,
                                   view_assign_id(daemon->view, name),
                                   (uint64_t)key, (uint32_t)tokens);
    }
}

/* Applies a snapshot.  Loads come first: if a server has changed since, the
 * next report differs from its load here and the facts about it are dropped.
 */
void
snapshot_apply(celeryspoold_t *daemon, json_t *snapshot, const char *source)
{
    size_t i;
    const json_t *item;
    json_t *doc = json_object_get(snapshot, "config");
    if (doc != NULL) {
        (void)config_sync_adopt(daemon, doc, 0, source);
    }
    json_array_foreach (json_object_get(snapshot, "loads"), i, item) {
        apply_load(daemon, item);
    }
    json_t *facts = json_object_get(snapshot, "facts");
    for (size_t remaining = json_array_size(facts); remaining > 0;
         remaining--) {
        apply_fact(daemon, json_array_get(facts, remaining - 1));
    }
    log_info("snapshot", "Applied %zu facts from %s.", json_array_size(facts),
             source);
}

/* Saves a small snapshot in the store, for a restart of all daemons at once;
 * called on the daemon with the duty "snapshot".  The put is conditional; a
 * conflict with another daemon is ignored. */
void
snapshot_save(celeryspoold_t *daemon)
{
    CLEAN_JSON json_t *snapshot =
        snapshot_make(daemon, SNAPSHOT_STORE_FACTS_MAX);
    int64_t version = 0;
    if (store_get_wait(daemon->store, SNAPSHOT_OBJECT, &version, NULL) <=
        STORE_ABSENT) {
        (void)store_put_wait(daemon->store, SNAPSHOT_OBJECT, version, snapshot,
                             &version);
    }
}

static bool
apply_peer_snapshot(celeryspoold_t *daemon)
{
    const settings_t *settings = &daemon->settings;
    for (unsigned i = 0; i < settings->seed_count; i++) {
        err_t err = {0};
        if (strcmp(settings->seeds[i], settings->peer_addr) == 0) {
            continue;
        }
        CLEAN_JSON json_t *snapshot =
            peer_fetch(settings->seeds[i], "snapshot", FETCH_TIMEOUT_MS, &err);
        if (snapshot == NULL) {
            continue;
        }
        snapshot_apply(daemon, snapshot, settings->seeds[i]);
        if (json_get_bool(snapshot, "warm")) {
            return true;
        }
    }
    return false;
}

/* Warms up from a peer that is warm itself, else from the store, after a
 * random delay so that daemons that start together do not all read at once. */
void
snapshot_warm_up(celeryspoold_t *daemon)
{
    if (apply_peer_snapshot(daemon)) {
        return;
    }
    rng_t rng = {daemon->incarnation};
    time_sleep_ms((int)rng_below(&rng, STORE_READ_JITTER_MS));
    CLEAN_JSON json_t *snapshot = NULL;
    int64_t version = 0;
    if (store_get_wait(daemon->store, SNAPSHOT_OBJECT, &version, &snapshot) ==
        STORE_OK) {
        snapshot_apply(daemon, snapshot, "the store");
    }
}
