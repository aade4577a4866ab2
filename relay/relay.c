#include "origin-store.h"
#include "peers.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* The event loop of the router, its signals, its tick and its shutdown. */

/* Interval of the work that no event triggers: waiting requests, leases,
 * sweeps of idle connections, centring of learned speeds. */
#define SWEEP_TICKS 5
/* Interval at which requests that wait for room are looked at, ms. */
#define QUEUE_INTERVAL_MS 25
/* Capacity of the cache map: with about 20 prompts of three levels on each
 * server, 9 servers hold 540 levels and 112 servers 6,700.  A level takes 104
 * bytes. */
#define CACHE_MAP_LEVELS_MAX 16384
/* After a stop signal callers are accepted until the load balancer has removed
 * this host, ms: it checks readiness every second and acts on the second
 * failure. */
#define BALANCER_DRAIN_MS 2600
/* Memory of a host whose settings do not state it. */
#define MEMORY_MB_DEFAULT 256
#define BYTES_PER_MB 1e6
#define MS_PER_S 1000
/* A tick that is so late, ms, is recorded. */
#define LATE_TICK_MS 500
/* Requests are ended this long before the process would be killed, ms, and the
 * process exits once their answers are written, or after this time. */
#define SHUTDOWN_MARGIN_MS 700
#define SHUTDOWN_WRITE_MS 200

/* Whether the load balancer may send callers here. */
bool
relay_is_ready(const relay_t *relay)
{
    return relay->stop_requested_ms == 0 && relay->config != NULL &&
           relay->servers_listed && relay->weights_listed;
}

/* Whether new requests are rejected: the load balancer has removed this host
 * since the stop was requested, and a request that started now might not end
 * in time. */
bool
relay_is_closed(const relay_t *relay)
{
    return relay->stop_requested_ms != 0 &&
           time_mono_ms() - relay->stop_requested_ms >= BALANCER_DRAIN_MS;
}

/* Returns the time from a stop signal until all requests are ended. */
static int64_t
grace_ms(const relay_t *relay)
{
    return (int64_t)(relay->settings.stop_timeout_s * MS_PER_S) -
           SHUTDOWN_MARGIN_MS;
}

/* Whether a request with this deadline may be cut by a stop that was
 * requested. */
bool
relay_stops_before(const relay_t *relay, int64_t deadline_ms)
{
    return relay->stop_requested_ms != 0 &&
           deadline_ms > relay->stop_requested_ms + grace_ms(relay);
}

/* Writes the metrics of one server. */
static void
write_server_metrics(const server_t *server, int64_t now, buf_t *out)
{
    buf_fmt(out,
            "celeryspool_server{server=\"%s\",service=\"%s\",weights=\"%lld\","
            "usable=\"%d\"} %d\n",
            str_escape(server->info.id), str_escape(server->info.service),
            (long long)server->info.weights, server_is_usable(server, now),
            server->own_running);
    if (server->limit.current.stated) {
        buf_fmt(out, "celeryspool_server_limit{server=\"%s\"} %.3f\n",
                str_escape(server->info.id), server->limit.current.per_s);
    }
    if (!server_rest_allows(&server->rest, now)) {
        buf_fmt(out, "celeryspool_server_rest_ms{server=\"%s\"} %lld\n",
                str_escape(server->info.id),
                (long long)server_rest_wait_ms(&server->rest, now));
    }
}

/* Writes the metrics of the workspaces' limits. */
static void
write_quota_metrics(const quotas_t *quotas, buf_t *out)
{
    meter_write_value(out, "quota_hosts", (double)quotas->host_count + 1);
    meter_write_value(out, "quota_hosts_in_touch",
                      (double)quotas->reachable_count + 1);
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        const quota_t *quota;
        CK_SLIST_FOREACH (quota, &quotas->buckets[i], entry) {
            buf_fmt(
                out,
                "celeryspool_quota_left{workspace=\"%s\"} %.0f\n"
                "celeryspool_quota_allowed_total{workspace=\"%s\"} %llu\n"
                "celeryspool_quota_refused_total{workspace=\"%s\"} %llu\n",
                str_escape(quota->name), quota->level, str_escape(quota->name),
                (unsigned long long)quota->allowed, str_escape(quota->name),
                (unsigned long long)quota->rejected);
        }
    }
}

/* Writes what this host may still retry. */
static void
write_retry_metrics(retry_shares_t *shares, int64_t now, buf_t *out)
{
    const retry_share_t *share;
    meter_write_value(out, "retry_slack", shares->slack);
    CK_SLIST_FOREACH (share, &shares->list, entry) {
        buf_fmt(out, "celeryspool_retries_left{service=\"%s\"} %.1f\n",
                str_escape(share->service),
                retry_share_left(shares, share->service, now));
    }
}

/* Writes, by route, how long responses are expected to be and are, and how
 * long they occupy their servers. */
static void
write_cost_metrics(const relay_t *relay, buf_t *out)
{
    const request_costs_t *costs = &relay->costs;
    const meter_route_t *route;
    CK_SLIST_FOREACH (route, &relay->meter.routes, entry) {
        uint64_t hash = str_hash(route->name, 0);
        double hold_ms = request_cost_hold_ms(costs, hash);
        double output = request_cost_mean_output(costs, hash);
        if (hold_ms > 0) {
            buf_fmt(out, "celeryspool_hold_ms{route=\"%s\"} %.1f\n",
                    str_escape(route->name), hold_ms);
        }
        if (output > 0) {
            buf_fmt(out,
                    "celeryspool_output_tokens{route=\"%s\"} %.1f\n"
                    "celeryspool_output_tokens_expected{route=\"%s\"} %.1f\n"
                    "celeryspool_output_tokens_error{route=\"%s\"} %.1f\n",
                    str_escape(route->name), output, str_escape(route->name),
                    request_cost_mean_estimate(costs, hash),
                    str_escape(route->name), request_cost_error(costs, hash));
        }
    }
}

/* Writes the prefill rates of the services' engines. */
static void
write_speed_metrics(const servers_t *servers, buf_t *out)
{
    const service_speed_t *speed;
    CK_SLIST_FOREACH (speed, &servers->speeds, entry) {
        if (speed->model[0] != '\0') {
            buf_fmt(out,
                    "celeryspool_prefill_tokens_per_ms{service=\"%s\","
                    "model=\"%s\"} %.2f\n"
                    "celeryspool_token_ms_per_request{service=\"%s\","
                    "model=\"%s\"} %.3f\n"
                    "celeryspool_first_token_ms{service=\"%s\","
                    "model=\"%s\"} %.1f\n",
                    str_escape(speed->service), str_escape(speed->model),
                    engine_speed_rate(&speed->engine),
                    str_escape(speed->service), str_escape(speed->model),
                    decode_speed_ms_per_request(&speed->decode),
                    str_escape(speed->service), str_escape(speed->model),
                    speed->engine.first_token_ms);
        }
    }
}

/* Writes all metrics as text. */
void
relay_write_metrics(relay_t *relay, buf_t *out)
{
    int64_t now = time_mono_ms();
    const server_t *server;
    meter_write(&relay->meter, out);
    write_cost_metrics(relay, out);
    meter_write_value(out, "ready", relay_is_ready(relay));
    meter_write_value(out, "servers_reached", !reach_is_lost(&relay->reach));
    meter_write_value(out, "requests_running", (double)relay->request_count);
    meter_write_value(
        out, "callers",
        (double)http_listener_connections(relay->caller_listener));
    meter_write_value(out, "body_bytes", (double)relay->body_bytes);
    meter_write_value(out, "held_caller_bytes",
                      (double)relay->held.caller_bytes);
    meter_write_value(out, "held_server_bytes",
                      (double)relay->held.server_bytes);
    meter_write_value(out, "held_budget_bytes", (double)relay->held.budget);
    meter_write_value(out, "held_stopped", (double)relay->held.stopped);
    meter_write_value(out, "server_connections_total",
                      (double)exchanges_connections_opened(relay->exchanges));
    meter_write_value(
        out, "config_version",
        relay->config != NULL ? (double)relay->config->version : 0);
    meter_write_value(out, "config_heard_ms_ago",
                      (double)(now - watch_answered_ms(relay->config_watch)));
    meter_write_value(out, "servers_heard_ms_ago",
                      (double)(now - watch_answered_ms(relay->servers_watch)));
    meter_write_value(out, "config_confirmed_ms_ago",
                      (double)watch_age_ms(relay->config_watch, now));
    meter_write_value(out, "servers_confirmed_ms_ago",
                      (double)watch_age_ms(relay->servers_watch, now));
    meter_write_value(out, "late_ticks_total", (double)relay->late_ticks);
    meter_write_value(out, "store_calls_total",
                      (double)(watch_store_call_count(relay->config_watch) +
                               watch_store_call_count(relay->servers_watch) +
                               watch_store_call_count(relay->weights_watch)));
    meter_write_value(out, "forecast_error_ms", relay->forecast.error_ms);
    meter_write_value(out, "forecast_spread_ms", relay->forecast.spread_ms);
    meter_write_value(out, "daemons", (double)peers_live_count(relay->peers));
    meter_write_value(out, "cache_levels",
                      (double)cache_map_size(relay->cache_map));
    meter_write_value(out, "log_lines_left_out_total",
                      (double)log_dropped_total());
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        write_server_metrics(server, now, out);
    }
    service_states_write_metrics(&relay->service_states, out);
    write_speed_metrics(relay->servers, out);
    write_quota_metrics(&relay->quotas, out);
    write_retry_metrics(&relay->retry_shares, now, out);
}

/* The grace is over: no request ends with a closed connection alone, which
 * would leave its caller without knowing whether it has run. */
static void
end_requests(relay_t *relay)
{
    relay->cut_by_stop = relay->request_count;
    requests_end_all(relay);
    http_listener_refuse_incomplete(relay->caller_listener);
    http_listener_refuse_incomplete(relay->peer_listener);
    relay->requests_ended = true;
}

static void
shutdown_step(relay_t *relay)
{
    int64_t elapsed_ms = time_mono_ms() - relay->stop_requested_ms;
    bool over = elapsed_ms >= grace_ms(relay);
    if (over && !relay->requests_ended) {
        end_requests(relay);
    }
    if (relay_is_closed(relay) || over) {
        http_listener_close_idle(relay->caller_listener);
        http_listener_close_idle(relay->peer_listener);
    }
    size_t callers = http_listener_connections(relay->caller_listener) +
                     http_listener_connections(relay->peer_listener);
    if ((elapsed_ms >= BALANCER_DRAIN_MS && callers == 0) ||
        elapsed_ms >= grace_ms(relay) + SHUTDOWN_WRITE_MS) {
        log_record(LOG_INFO, "daemon", "stopped",
                   "after_ms=%lld requests_left=%zu callers_left=%zu cut=%zu",
                   (long long)elapsed_ms, relay->request_count, callers,
                   relay->cut_by_stop);
        (void)event_base_loopbreak(relay->base);
    }
}

static void
on_idle_connection(void *arg)
{
    requests_place_repeat(arg);
}

/* Records ticks that come late: the process did not run, or one pass of its
 * event loop took long. */
static void
record_late_tick(relay_t *relay)
{
    int64_t now = time_mono_ms();
    int64_t late_ms = now - relay->ticked_ms - RELAY_TICK_MS;
    bool first = relay->ticked_ms == 0;
    relay->ticked_ms = now;
    if (first) {
        return;
    }
    if (late_ms >= LATE_TICK_MS) {
        relay->late_ticks++;
        log_record(LOG_WARN, "daemon", "late", "ms=%lld requests=%zu",
                   (long long)late_ms, relay->request_count);
    }
}

/* Reads the settings file again and applies those settings that may change at
 * run time.  A file that is invalid changes nothing; one that is incomplete is
 * read again with the next ticks. */
static void
reload_settings(relay_t *relay)
{
    settings_t fresh;
    CLEAN_BUF buf_t problems = {0};
    settings_status_t status =
        settings_read(&fresh, relay->settings_path, &problems);
    bool was_incomplete = relay->reload_incomplete;
    relay->reload_incomplete = status == SETTINGS_INCOMPLETE;
    if (relay->reload_incomplete && was_incomplete) {
        return;
    }
    if (status != SETTINGS_VALID) {
        log_record(
            LOG_ERROR, "daemon",
            relay->reload_incomplete ? "reload-waits" : "reload-refused",
            "why=\"%.400s\"", buf_text(&problems));
        return;
    }
    relay->settings.objective = fresh.objective;
    relay->settings.stop_timeout_s = fresh.stop_timeout_s;
    relay->settings.old_weights_max_ms = fresh.old_weights_max_ms;
    log_setup(relay->settings.name, (log_level_t)fresh.log_level);
    log_record(LOG_INFO, "daemon", "reloaded", "file=%s",
               relay->settings_path);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    relay_t *relay = arg;
    (void)fd;
    (void)what;
    record_late_tick(relay);
    if (relay->reload_incomplete) {
        reload_settings(relay);
    }
    if (relay->tick_count++ % SWEEP_TICKS == 0) {
        exchanges_sweep(relay->exchanges);
        servers_centre_speeds(relay->servers);
        servers_compare_prefill(relay->servers, time_mono_ms());
        servers_log_speeds(relay->servers);
    }
    listeners_tick(relay);
    discovery_tick(relay);
    service_states_tick(&relay->service_states, time_mono_ms());
    priorities_tick(relay);
    relay_held_tick(relay);
    requests_tick(relay);
    rollout_tick(relay->rollout);
    origin_store_tick(relay->origin_store, time_mono_ms());
    cache_follower_tick(relay->cache_follower);
    peers_tick(relay->peers);
    if (relay->stop_requested_ms != 0) {
        shutdown_step(relay);
    }
    log_flush();
}

/* Looks at the requests that wait for room again after a short time.  A host
 * learns of an answer that ends at another host only by that one's next
 * announcement, so a shorter interval would not place them sooner. */
void
relay_schedule_queues(relay_t *relay)
{
    static const struct timeval interval = {0, QUEUE_INTERVAL_MS * 1000};
    if (!event_pending(relay->queue_timer, EV_TIMEOUT, NULL)) {
        (void)event_add(relay->queue_timer, &interval);
    }
}

static void
on_queue_timer(evutil_socket_t fd, short what, void *arg)
{
    relay_t *relay = arg;
    (void)fd;
    (void)what;
    requests_place_queued(relay);
}

static void
on_stop(evutil_socket_t number, short what, void *arg)
{
    relay_t *relay = arg;
    (void)what;
    if (relay->stop_requested_ms != 0) {
        return;
    }
    relay->stop_requested_ms = time_mono_ms();
    http_listener_drain(relay->caller_listener);
    http_listener_drain(relay->peer_listener);
    log_record(LOG_INFO, "daemon", "stopping",
               "signal=%d requests=%zu callers=%zu", (int)number,
               relay->request_count,
               http_listener_connections(relay->caller_listener));
}

static void
on_reload(evutil_socket_t number, short what, void *arg)
{
    (void)number;
    (void)what;
    reload_settings(arg);
}

/* Takes the messages of the event library, which would write them to standard
 * error and wait for its reader. */
static void
on_library_message(int severity, const char *text)
{
    log_msg(severity >= EVENT_LOG_WARN ? LOG_WARN : LOG_DEBUG, "loop", "%s",
            text);
    if (severity >= EVENT_LOG_ERR) {
        log_flush(); /* the library ends the process */
    }
}

static int
relay_open(relay_t *relay, const local_socket_t sockets[RELAY_SOCKETS],
           err_t *err)
{
    static const struct timeval interval = {0, RELAY_TICK_MS * 1000};
    event_set_log_callback(on_library_message);
    struct event_config *base_config = event_config_new();
    (void)event_config_set_flag(base_config, EVENT_BASE_FLAG_NOLOCK);
    relay->base = event_base_new_with_config(base_config);
    event_config_free(base_config);
    if (relay->base == NULL) {
        return err_set(err, ERR_HTTP, 1, "cannot create an event loop");
    }
    relay->exchanges = exchanges_new(relay->base);
    exchanges_set_on_idle(relay->exchanges, on_idle_connection, relay);
    if (relay->settings.source_ip[0] != '\0') {
        exchanges_set_source(relay->exchanges, relay->settings.source_ip);
    }
    if (relay->held.budget > 0) {
        exchanges_set_buffers(relay->exchanges, HELD_RECEIVE_BYTES,
                              HELD_UNSENT_BYTES);
    }
    if (listeners_open(relay, sockets, err) != 0) {
        return -1;
    }
    relay->peers = peers_start(relay, sockets[RELAY_DATAGRAMS].fd);
    relay->tick_timer = event_new(relay->base, -1, EV_PERSIST, on_tick, relay);
    (void)event_add(relay->tick_timer, &interval);
    relay->queue_timer = evtimer_new(relay->base, on_queue_timer, relay);
    relay->signals[0] = evsignal_new(relay->base, SIGTERM, on_stop, relay);
    relay->signals[1] = evsignal_new(relay->base, SIGINT, on_stop, relay);
    relay->signals[2] = evsignal_new(relay->base, SIGHUP, on_reload, relay);
    for (size_t i = 0; i < 3; i++) {
        (void)event_add(relay->signals[i], NULL);
    }
    signals_unblock();
    return 0;
}

static void
relay_init(relay_t *relay, const settings_t *settings,
           const char *settings_path)
{
    relay->settings = *settings;
    relay->settings_path = settings_path;
    relay->rng.state = (uint64_t)time_mono_us() ^
                       str_hash(settings->name, (uint64_t)time_wall_ms());
    meter_init(&relay->meter);
    double memory_mb =
        settings->memory_mb > 0 ? settings->memory_mb : MEMORY_MB_DEFAULT;
    held_bytes_init(&relay->held, (size_t)(memory_mb * BYTES_PER_MB));
    CK_LIST_INIT(&relay->requests);
    CK_LIST_INIT(&relay->walks);
    CK_SLIST_INIT(&relay->service_states);
    fatal_parts_init(&relay->fatal_parts);
    server_crashes_init(&relay->server_crashes);
    stream_origins_init(&relay->stream_origins);
    relay->servers = servers_new();
    relay->servers->seed = rng_next(&relay->rng);
    relay->cache_map = cache_map_new(CACHE_MAP_LEVELS_MAX);
    const quota_bounds_t bounds = {.window_s = settings->quota_window_s,
                                   .overage = settings->quota_overage,
                                   .slack = settings->quota_slack};
    quotas_init(&relay->quotas, &bounds, (uint64_t)time_wall_ms(),
                time_mono_ms());
    retry_shares_init(&relay->retry_shares, settings->retry_ratio,
                      (int64_t)(settings->retry_window_s * 1000));
}

/* Runs the router until a signal stops it. */
int
relay_run(const settings_t *settings, const char *settings_path, err_t *err)
{
    local_socket_t sockets[RELAY_SOCKETS];
    if (sockets_open(settings, sockets, err) != 0) {
        return -1;
    }
    relay_t *relay = mem_zalloc(sizeof(*relay));
    relay_init(relay, settings, settings_path);
    if (relay_open(relay, sockets, err) != 0) {
        free(relay);
        return -1;
    }
    log_record(LOG_INFO, "daemon", "started",
               "version=%s dc=%s http=%s ready=%s store=%s", CS_VERSION,
               settings->dc, settings->http_addr, settings->ready_addr,
               settings->store_addr);
    discovery_start(relay);
    relay->rollout = rollout_new(relay);
    relay->origin_store = origin_store_new(relay);
    relay->cache_follower = cache_follower_new(relay);
    (void)event_base_dispatch(relay->base);
    log_flush();
    /* The process exits now, so nothing is freed. */
    return 0;
}
