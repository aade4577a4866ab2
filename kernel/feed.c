#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* Polls backend servers for load reports and cache events.  Each server is
 * polled by one daemon, chosen by rendezvous hashing over the live ones, which
 * announces to its peers what they need: the load, and which known levels were
 * stored or evicted.  If for a moment two daemons or none poll a server, only
 * accuracy suffers. */

#define POLL_INTERVAL_MS 100
#define EVENT_POLL_ROUNDS 2
#define POLL_TIMEOUT_MS 1000
#define ANNOUNCE_WAITING_CHANGE_TOKENS 100
#define ANNOUNCE_RUNNING_CHANGE 3
#define ANNOUNCE_INTERVAL_MAX_MS 1000

/* A poll of a backend server; freed when its request ends. */
typedef struct {
    celeryspoold_t *daemon;
    char backend[CS_NAME_MAX];
    bool events;
    buf_t body;
} poll_t;

static void
on_data(void *arg, int status, const char *data, size_t len)
{
    (void)status;
    poll_t *poll = arg;
    buf_add(&poll->body, data, len);
}

/* Applies a load report, from the server itself or from a peer.  A changed
 * incarnation or weights version means that the server's cache is empty. */
void
feed_apply_load(celeryspoold_t *daemon, const char *backend,
                const load_report_t *report)
{
    uint16_t id = view_assign_id(daemon->view, backend);
    if (view_apply_report(daemon->view, id, report, time_mono_ms())) {
        cache_map_clear_backend(daemon->cache, id);
        event_emit(&(event_t){.kind = "backend-renewed",
                              .backend = backend,
                              .detail = report->version});
    }
}

/* A load is announced to peers when it has changed enough to affect placement,
 * and at least every ANNOUNCE_INTERVAL_MAX_MS, since datagrams get lost. */
static bool
should_announce(const backend_state_t *state, const load_report_t *report,
                int64_t now_ms)
{
    const load_report_t *announced = &state->announced;
    int waiting = report->waiting_tokens - announced->waiting_tokens;
    int running = report->running - announced->running;
    return strcmp(announced->incarnation, report->incarnation) != 0 ||
           strcmp(announced->version, report->version) != 0 ||
           strcmp(announced->loading, report->loading) != 0 ||
           abs(waiting) > ANNOUNCE_WAITING_CHANGE_TOKENS ||
           abs(running) > ANNOUNCE_RUNNING_CHANGE ||
           now_ms - state->announced_ms > ANNOUNCE_INTERVAL_MAX_MS;
}

static void
announce_load(celeryspoold_t *daemon, const char *backend,
              const load_report_t *report)
{
    backend_state_t state;
    uint16_t id = view_assign_id(daemon->view, backend);
    int64_t now_ms = time_mono_ms();
    if (view_get(daemon->view, id, &state) &&
        should_announce(&state, report, now_ms)) {
        view_record_announced(daemon->view, id, report, now_ms);
        peer_announce_load(daemon->peer, backend, report);
    }
}

static void
process_load(celeryspoold_t *daemon, const char *backend, const json_t *body)
{
    load_report_t report = {
        .running = (int)json_get_int(body, "running", 0),
        .slots = (int)json_get_int(body, "slots", 0),
        .waiting_tokens = (int)json_get_int(body, "waiting_tokens", 0),
        .prefill_rate = (int)json_get_int(body, "prefill_rate", 0)};
    const char *incarnation = json_get_string(body, "incarnation");
    const char *version = json_get_string(body, "version");
    str_copy(report.loading, sizeof(report.loading),
             json_get_string(body, "loading"));
    if (incarnation == NULL || version == NULL) {
        return;
    }
    str_copy(report.incarnation, sizeof(report.incarnation), incarnation);
    str_copy(report.version, sizeof(report.version), version);
    feed_apply_load(daemon, backend, &report);
    announce_load(daemon, backend, &report);
}

static void
apply_cache_event(celeryspoold_t *daemon, const char *backend, uint16_t id,
                  const json_t *event)
{
    bool stored = json_is_true(json_array_get(event, 1));
    uint64_t key = (uint64_t)json_integer_value(json_array_get(event, 2));
    bool changed = false;
    if (!cache_map_has_key(daemon->cache, key)) {
        return;
    }
    changed = stored ? cache_map_add_holder(daemon->cache, id, key, 0)
                     : cache_map_remove_holder(daemon->cache, id, key);
    if (changed) {
        peer_announce_cached(daemon->peer, backend, key, 0, stored);
    }
}

/* Applies cache events in order.  Missing event numbers are not requested
 * again: a wrong entry costs one prefill, and the map is corrected when that
 * chat ends.  After a server restart the batch is skipped, and events are read
 * again from 0. */
static void
apply_events(celeryspoold_t *daemon, const char *backend, const json_t *body)
{
    uint16_t id = view_assign_id(daemon->view, backend);
    const char *incarnation = json_get_string(body, "incarnation");
    size_t i;
    const json_t *event;
    backend_state_t state;
    if (incarnation == NULL || !view_get(daemon->view, id, &state)) {
        return;
    }
    bool restarted = strcmp(state.events_incarnation, incarnation) != 0;
    uint64_t last_event = restarted ? 0 : state.last_event;
    if (restarted && state.last_event > 0) {
        view_set_last_event(daemon->view, id, incarnation, 0);
        return;
    }
    json_array_foreach (json_object_get(body, "events"), i, event) {
        apply_cache_event(daemon, backend, id, event);
        last_event = (uint64_t)json_integer_value(json_array_get(event, 0));
    }
    view_set_last_event(daemon->view, id, incarnation, last_event);
}

static void
on_end(void *arg, http_end_t end, int status)
{
    poll_t *poll = arg;
    if (end == HTTP_END_COMPLETE && status == 200) {
        CLEAN_JSON json_t *body =
            json_loadb(buf_text(&poll->body), poll->body.len, 0, NULL);
        if (poll->events) {
            apply_events(poll->daemon, poll->backend, body);
        }
        else {
            process_load(poll->daemon, poll->backend, body);
            dispatch_run(poll->daemon);
        }
    }
    buf_free(&poll->body);
    free(poll);
}

static void
send_poll(celeryspoold_t *daemon, const backend_t *backend, const char *path,
          bool events)
{
    char url[CS_ADDR_MAX + 96];
    poll_t *poll = mem_zalloc(sizeof(*poll));
    poll->daemon = daemon;
    poll->events = events;
    str_copy(poll->backend, sizeof(poll->backend), backend->name);
    (void)snprintf(url, sizeof(url), "http://%s%s", backend->addr, path);
    http_client_request_t request = {.method = "GET",
                                     .url = url,
                                     .connect_ms = POLL_TIMEOUT_MS,
                                     .total_ms = POLL_TIMEOUT_MS,
                                     .on_data = on_data,
                                     .on_end = on_end,
                                     .arg = poll};
    (void)http_client_start(daemon->http_client, &request);
}

static void
poll_backend(celeryspoold_t *daemon, const backend_t *backend, bool events)
{
    char path[64];
    char duty[CS_NAME_MAX + 8];
    backend_state_t state;
    (void)snprintf(duty, sizeof(duty), "feed/%s", backend->name);
    if (backend->kind != BACKEND_ENGINE ||
        !members_has_duty(daemon->members, duty) ||
        !view_get(daemon->view, view_assign_id(daemon->view, backend->name),
                  &state)) {
        return;
    }
    (void)snprintf(path, sizeof(path), "/kv_events?after=%llu",
                   (unsigned long long)state.last_event);
    send_poll(daemon, backend, "/load", false);
    if (events) {
        send_poll(daemon, backend, path, true);
    }
}

static void
update_hosts(celeryspoold_t *daemon)
{
    CLEAN_JSON json_t *hosts = store_list_hosts_wait(daemon->store);
    size_t i;
    const json_t *host;
    json_array_foreach (hosts, i, host) {
        const char *name = json_get_string(host, "name");
        const char *state = json_get_string(host, "state");
        if (name != NULL && state != NULL) {
            view_set_host_leaving(daemon->view,
                                  view_assign_id(daemon->view, name),
                                  strcmp(state, "leaving") == 0);
        }
    }
}

/* The thread that polls the servers assigned to this daemon and, less often,
 * the platform's host list. */
void *
feed_run(void *arg)
{
    celeryspoold_t *daemon = arg;
    unsigned round = 0;
    while (!__atomic_load_n(&daemon->stopping, __ATOMIC_ACQUIRE)) {
        config_t *config = daemon_config(daemon);
        for (size_t i = 0; i < config->backend_count; i++) {
            poll_backend(daemon, &config->backends[i],
                         round % EVENT_POLL_ROUNDS == 0);
        }
        config_release(config);
        if (round++ % 10 == 0) {
            update_hosts(daemon);
        }
        time_sleep_ms(POLL_INTERVAL_MS);
    }
    return NULL;
}
