#include "peers.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Wiring: the loop, its signals, its tick, the order of a stop. */

/* Steps of what no event brings about: waiting requests, leases, sweeps. */
#define TICK_MS 100
#define SWEEP_TICKS 5
/* Levels that the cache map holds: 9 servers hold about 20 prompts of three
 * levels each, 112 of them 6,700 levels; 104 B each. */
#define CACHE_LEVELS 16384
/* After a stop's signal the door stays open until the balancer has left: it
 * asks every second and believes two misses, ms. */
#define DOOR_MS 2600
/* The process ends this long before it would be killed, ms. */
#define END_MARGIN_MS 700

/* Whether the balancer may send callers here. */
bool
relay_ready(const relay_t *relay)
{
    return relay->stopping_ms == 0 && relay->config != NULL &&
           relay->servers_listed && relay->weights_listed;
}

/* Whether no request is taken in any more: a stop was asked for long enough
 * ago that the balancer has left, and what begins now might not end in time.
 */
bool
relay_shut(const relay_t *relay)
{
    return relay->stopping_ms != 0 &&
           time_mono_ms() - relay->stopping_ms >= DOOR_MS;
}

/* What is known of one server, as gauges. */
static void
server_metrics(const server_t *server, int64_t now, buf_t *out)
{
    buf_fmt(out,
            "celeryspool_server{server=\"%s\",service=\"%s\",weights=\"%lld\","
            "usable=\"%d\"} %d\n",
            server->info.id, server->info.service,
            (long long)server->info.weights, server_usable(server, now),
            server->own_running);
}

/* What this daemon knows of the workspaces' limits. */
static void
quota_metrics(const quotas_t *quotas, buf_t *out)
{
    meter_gauge(out, "quota_hosts", (double)quotas->host_count + 1);
    meter_gauge(out, "quota_hosts_in_touch",
                (double)quotas->in_touch_count + 1);
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        const quota_t *quota;
        CK_SLIST_FOREACH (quota, &quotas->buckets[i], entry) {
            buf_fmt(out,
                    "celeryspool_quota_left{workspace=\"%s\"} %.0f\n"
                    "celeryspool_quota_allowed_total{workspace=\"%s\"} %llu\n"
                    "celeryspool_quota_refused_total{workspace=\"%s\"} %llu\n",
                    quota->name, quota->level, quota->name,
                    (unsigned long long)quota->allowed, quota->name,
                    (unsigned long long)quota->refused);
        }
    }
}

/* Counters, histograms and what this daemon believes, as text. */
void
relay_metrics(const relay_t *relay, buf_t *out)
{
    int64_t now = time_mono_ms();
    const server_t *server;
    meter_text(&relay->meter, out);
    meter_gauge(out, "ready", relay_ready(relay));
    meter_gauge(out, "requests_running", (double)relay->request_count);
    meter_gauge(out, "callers", (double)http_door_callers(relay->door));
    meter_gauge(out, "body_bytes", (double)relay->body_bytes);
    meter_gauge(out, "server_connections_total",
                (double)exchanges_opened(relay->exchanges));
    meter_gauge(out, "config_version",
                relay->config != NULL ? (double)relay->config->version : 0);
    meter_gauge(out, "config_heard_ms_ago",
                (double)(now - watch_heard_ms(relay->config_watch)));
    meter_gauge(out, "servers_heard_ms_ago",
                (double)(now - watch_heard_ms(relay->servers_watch)));
    meter_gauge(out, "store_calls_total",
                (double)(watch_calls(relay->config_watch) +
                         watch_calls(relay->servers_watch) +
                         watch_calls(relay->weights_watch)));
    meter_gauge(out, "forecast_error_ms", relay->forecast.error_ms);
    meter_gauge(out, "forecast_spread_ms", relay->forecast.spread_ms);
    meter_gauge(out, "daemons", (double)peers_live(relay->peers));
    meter_gauge(out, "cache_levels", (double)cache_map_size(relay->cache));
    meter_gauge(out, "log_lines_left_out_total", (double)log_dropped_total());
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        server_metrics(server, now, out);
    }
    quota_metrics(&relay->quotas, out);
}

static void
stop_step(relay_t *relay)
{
    int64_t since = time_mono_ms() - relay->stopping_ms;
    int64_t last = (int64_t)(relay->settings.stop_s * 1000) - END_MARGIN_MS;
    if (relay_shut(relay) || since >= last) {
        http_door_shut(relay->door);
    }
    size_t callers = http_door_callers(relay->door);
    if ((since >= DOOR_MS && callers == 0) || since >= last) {
        log_record(LOG_INFO, "daemon", "stopped",
                   "after_ms=%lld requests_left=%zu callers_left=%zu",
                   (long long)since, relay->request_count, callers);
        (void)event_base_loopbreak(relay->base);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    relay_t *relay = arg;
    (void)fd;
    (void)what;
    if (relay->turn_ticks++ % SWEEP_TICKS == 0) {
        exchanges_sweep(relay->exchanges);
    }
    discovery_tick(relay);
    requests_tick(relay);
    rollout_tick(relay->rollout);
    cache_follows_tick(relay->cache_follows);
    peers_tick(relay->peers);
    if (relay->stopping_ms != 0) {
        stop_step(relay);
    }
    log_flush();
}

static void
on_stop(evutil_socket_t number, short what, void *arg)
{
    relay_t *relay = arg;
    (void)what;
    if (relay->stopping_ms != 0) {
        return;
    }
    relay->stopping_ms = time_mono_ms();
    http_door_leave(relay->door);
    log_record(LOG_INFO, "daemon", "stopping",
               "signal=%d requests=%zu callers=%zu", (int)number,
               relay->request_count, http_door_callers(relay->door));
}

/* The settings may have changed.  What may change while a process runs is
 * taken; an unreadable file changes nothing. */
static void
on_reload(evutil_socket_t number, short what, void *arg)
{
    relay_t *relay = arg;
    settings_t fresh;
    CLEAN_BUF buf_t problems = {0};
    (void)number;
    (void)what;
    if (settings_read(&fresh, relay->path, &problems) != 0) {
        log_record(LOG_ERROR, "daemon", "reload-refused", "why=\"%.400s\"",
                   buf_text(&problems));
        return;
    }
    relay->settings.objective = fresh.objective;
    relay->settings.stop_s = fresh.stop_s;
    relay->settings.weights_ms = fresh.weights_ms;
    log_setup(relay->settings.name, (log_level_t)fresh.log_level);
    log_record(LOG_INFO, "daemon", "reloaded", "file=%s", relay->path);
}

static int
relay_open(relay_t *relay, err_t *err)
{
    static const struct timeval step = {0, TICK_MS * 1000};
    struct event_config *config = event_config_new();
    (void)event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
    relay->base = event_base_new_with_config(config);
    event_config_free(config);
    if (relay->base == NULL) {
        return err_set(err, ERR_HTTP, 1, "no event loop can be had");
    }
    relay->exchanges = exchanges_new(relay->base);
    if (listeners_open(relay, err) != 0) {
        return -1;
    }
    relay->peers = peers_start(relay, err);
    if (relay->peers == NULL) {
        return -1;
    }
    relay->tick = event_new(relay->base, -1, EV_PERSIST, on_tick, relay);
    (void)event_add(relay->tick, &step);
    relay->signals[0] = evsignal_new(relay->base, SIGTERM, on_stop, relay);
    relay->signals[1] = evsignal_new(relay->base, SIGINT, on_stop, relay);
    relay->signals[2] = evsignal_new(relay->base, SIGHUP, on_reload, relay);
    for (size_t i = 0; i < 3; i++) {
        (void)event_add(relay->signals[i], NULL);
    }
    return 0;
}

static void
relay_init(relay_t *relay, const settings_t *settings, const char *path)
{
    relay->settings = *settings;
    relay->path = path;
    relay->rng.state = (uint64_t)time_mono_us() ^
                       str_hash(settings->name, (uint64_t)time_wall_ms());
    meter_init(&relay->meter);
    CK_LIST_INIT(&relay->requests);
    relay->servers = servers_new();
    relay->cache = cache_map_new(CACHE_LEVELS);
    const quota_bounds_t bounds = {.window_s = settings->quota_window_s,
                                   .overage = settings->quota_overage,
                                   .slack = settings->quota_slack};
    quotas_init(&relay->quotas, &bounds, (uint64_t)time_wall_ms(),
                time_mono_ms());
    retry_shares_init(&relay->retries, settings->retry_ratio,
                      (int64_t)(settings->retry_window_s * 1000));
}

/* Run until a signal ends it. */
int
relay_run(const settings_t *settings, const char *path, err_t *err)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    relay_init(relay, settings, path);
    if (relay_open(relay, err) != 0) {
        free(relay);
        return -1;
    }
    log_record(LOG_INFO, "daemon", "started",
               "version=%s dc=%s http=%s ready=%s store=%s", CS_VERSION,
               settings->dc, settings->http, settings->ready, settings->store);
    discovery_start(relay);
    relay->rollout = rollout_new(relay);
    relay->cache_follows = cache_follows_new(relay);
    (void)event_base_dispatch(relay->base);
    log_flush();
    /* What is left belongs to the process, which ends now. */
    return 0;
}
