#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* Load reports and cache events.  Each backend server's are read by one
 * daemon, by rendezvous over the live ones, which passes on what its peers
 * need: the load, and which known levels came or went.  That a duty is held
 * twice or by nobody for a moment costs accuracy only. */

#define FEED_MS 100
#define EVENTS_EVERY 2 /* rounds */
#define TIMEOUT_MS 1000
#define WAITING_STEP 100 /* tokens */
#define RUNNING_STEP 3
#define TELL_ANYWAY_MS 1000

/* One exchange; freed at its end. */
typedef struct {
    celeryspoold_t *daemon;
    char backend[CS_NAME_MAX];
    bool events;
    buf_t body;
} feed_t;

static void
on_data(void *arg, int status, const char *data, size_t len)
{
    (void)status;
    feed_t *feed = arg;
    buf_add(&feed->body, data, len);
}

/* Take a load report in, from the server itself or from a peer.  Another
 * incarnation or version means that its cache is gone. */
void
feed_take_load(celeryspoold_t *daemon, const char *backend,
               const load_report_t *report)
{
    uint16_t id = view_id(daemon->view, backend);
    if (view_report(daemon->view, id, report, time_mono_ms())) {
        cache_map_forget(daemon->cache, id);
        event_emit(&(event_t){.kind = "backend-renewed",
                              .backend = backend,
                              .detail = report->version});
    }
}

/* Peers are told of a load only where it would change a choice, and once in
 * a while all the same, since datagrams get lost. */
static bool
worth_telling(const backend_state_t *before, const load_report_t *now,
              int64_t now_ms)
{
    const load_report_t *told = &before->told;
    int waiting = now->waiting_tokens - told->waiting_tokens;
    int running = now->running - told->running;
    return strcmp(told->incarnation, now->incarnation) != 0 ||
           strcmp(told->version, now->version) != 0 ||
           strcmp(told->loading, now->loading) != 0 ||
           abs(waiting) > WAITING_STEP || abs(running) > RUNNING_STEP ||
           now_ms - before->told_ms > TELL_ANYWAY_MS;
}

static void
tell_load(celeryspoold_t *daemon, const char *backend,
          const load_report_t *report)
{
    backend_state_t state;
    uint16_t id = view_id(daemon->view, backend);
    int64_t now = time_mono_ms();
    if (view_get(daemon->view, id, &state) &&
        worth_telling(&state, report, now)) {
        view_told(daemon->view, id, report, now);
        peer_tell_load(daemon->peer, backend, report);
    }
}

static void
take_load(celeryspoold_t *daemon, const char *backend, const json_t *body)
{
    load_report_t report = {
        .running = (int)json_int(body, "running", 0),
        .slots = (int)json_int(body, "slots", 0),
        .waiting_tokens = (int)json_int(body, "waiting_tokens", 0),
        .prefill_rate = (int)json_int(body, "prefill_rate", 0)};
    const char *incarnation = json_text(body, "incarnation");
    const char *version = json_text(body, "version");
    str_copy(report.loading, sizeof(report.loading),
             json_text(body, "loading"));
    if (incarnation == NULL || version == NULL) {
        return;
    }
    str_copy(report.incarnation, sizeof(report.incarnation), incarnation);
    str_copy(report.version, sizeof(report.version), version);
    feed_take_load(daemon, backend, &report);
    tell_load(daemon, backend, &report);
}

static void
take_cache_event(celeryspoold_t *daemon, const char *backend, uint16_t id,
                 const json_t *event)
{
    bool stored = json_is_true(json_array_get(event, 1));
    uint64_t key = (uint64_t)json_integer_value(json_array_get(event, 2));
    bool news = false;
    if (!cache_map_knows(daemon->cache, key)) {
        return;
    }
    news = stored ? cache_map_note(daemon->cache, id, key, 0)
                  : cache_map_drop(daemon->cache, id, key);
    if (news) {
        peer_tell_cached(daemon->peer, backend, key, 0, stored);
    }
}

/* Events carry numbers; gaps are not asked for again, since a wrong belief
 * costs one recomputation and the answer's own usage corrects it. */
static void
take_events(celeryspoold_t *daemon, const char *backend, const json_t *body)
{
    uint16_t id = view_id(daemon->view, backend);
    const char *incarnation = json_text(body, "incarnation");
    size_t i;
    const json_t *event;
    backend_state_t state;
    if (incarnation == NULL || !view_get(daemon->view, id, &state)) {
        return;
    }
    bool other = strcmp(state.events_incarnation, incarnation) != 0;
    uint64_t after = other ? 0 : state.events_after;
    if (other && state.events_after > 0) {
        view_events_at(daemon->view, id, incarnation, 0);
        return;
    }
    json_array_foreach (json_object_get(body, "events"), i, event) {
        take_cache_event(daemon, backend, id, event);
        after = (uint64_t)json_integer_value(json_array_get(event, 0));
    }
    view_events_at(daemon->view, id, incarnation, after);
}

static void
on_end(void *arg, http_end_t end, int status)
{
    feed_t *feed = arg;
    if (end == HTTP_END_WHOLE && status == 200) {
        CLEAN_JSON json_t *body =
            json_loadb(buf_text(&feed->body), feed->body.len, 0, NULL);
        if (feed->events) {
            take_events(feed->daemon, feed->backend, body);
        }
        else {
            take_load(feed->daemon, feed->backend, body);
            dispatch_run(feed->daemon);
        }
    }
    buf_free(&feed->body);
    free(feed);
}

static void
ask(celeryspoold_t *daemon, const backend_t *backend, const char *path,
    bool events)
{
    char url[CS_ADDR_MAX + 96];
    feed_t *feed = mem_zalloc(sizeof(*feed));
    feed->daemon = daemon;
    feed->events = events;
    str_copy(feed->backend, sizeof(feed->backend), backend->name);
    (void)snprintf(url, sizeof(url), "http://%s%s", backend->addr, path);
    http_call_t call = {.method = "GET",
                        .url = url,
                        .connect_ms = TIMEOUT_MS,
                        .total_ms = TIMEOUT_MS,
                        .on_data = on_data,
                        .on_end = on_end,
                        .arg = feed};
    (void)http_client_start(daemon->client, &call);
}

static void
ask_backend(celeryspoold_t *daemon, const backend_t *backend, bool events)
{
    char path[64];
    char duty[CS_NAME_MAX + 8];
    backend_state_t state;
    (void)snprintf(duty, sizeof(duty), "feed/%s", backend->name);
    if (backend->kind != BACKEND_ENGINE ||
        !members_duty(daemon->members, duty) ||
        !view_get(daemon->view, view_id(daemon->view, backend->name),
                  &state)) {
        return;
    }
    (void)snprintf(path, sizeof(path), "/kv_events?after=%llu",
                   (unsigned long long)state.events_after);
    ask(daemon, backend, "/load", false);
    if (events) {
        ask(daemon, backend, path, true);
    }
}

static void
take_hosts(celeryspoold_t *daemon)
{
    CLEAN_JSON json_t *hosts = store_list_hosts_wait(daemon->store);
    size_t i;
    const json_t *host;
    json_array_foreach (hosts, i, host) {
        const char *name = json_text(host, "name");
        const char *state = json_text(host, "state");
        if (name != NULL && state != NULL) {
            view_host_leaving(daemon->view, view_id(daemon->view, name),
                              strcmp(state, "leaving") == 0);
        }
    }
}

/* The thread that asks the servers whose duty falls to this daemon, and now
 * and then the platform for its hosts. */
void *
feed_run(void *arg)
{
    celeryspoold_t *daemon = arg;
    unsigned round = 0;
    while (!__atomic_load_n(&daemon->stopping, __ATOMIC_ACQUIRE)) {
        config_t *config = daemon_config(daemon);
        for (size_t i = 0; i < config->backend_count; i++) {
            ask_backend(daemon, &config->backends[i],
                        round % EVENTS_EVERY == 0);
        }
        config_release(config);
        if (round++ % 10 == 0) {
            take_hosts(daemon);
        }
        time_sleep_ms(FEED_MS);
    }
    return NULL;
}
