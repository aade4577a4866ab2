#include "daemon.h"
#include "local-socket.h"
#include "snapshot.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Starting, running and stopping the daemon. */

#define TICK_MS 10
#define CHECK_INTERVAL_TICKS 5
#define PULL_INTERVAL_TICKS 25
#define CACHE_ENTRIES_MAX 65536
#define CLAIM_SHARDS 16
#define POOL_THREADS 4
#define SNAPSHOT_INTERVAL_MS 5000
#define CONFIG_WAIT_MAX_MS 3000
#define PEER_PULL_TIMEOUT_MS 1000

static void
daemon_set_state(celeryspoold_t *daemon, daemon_state_t state)
{
    __atomic_store_n(&daemon->state, state, __ATOMIC_RELEASE);
}

static void
init_tables(celeryspoold_t *daemon)
{
    const settings_t *settings = &daemon->settings;
    member_t self = {.incarnation = daemon->incarnation,
                     .health = MEMBER_ALIVE};
    CLEAN_JSON json_t *doc = config_empty();
    err_t err = {0};
    str_copy(self.name, sizeof(self.name), settings->name);
    str_copy(self.dc, sizeof(self.dc), settings->dc);
    str_copy(self.peer_addr, sizeof(self.peer_addr), settings->peer_addr);
    str_copy(self.http_addr, sizeof(self.http_addr), settings->http_addr);
    (void)pthread_mutex_init(&daemon->config_lock, NULL);
    (void)pthread_mutex_init(&daemon->queues_lock, NULL);
    (void)pthread_mutex_init(&daemon->calls_lock, NULL);
    daemon->config = config_parse(doc, &err);
    daemon->config_confirmed_ms = time_mono_ms();
    retry_budget_init(&daemon->retry_budget);
    daemon->view = view_new();
    daemon->cache = cache_map_new(CACHE_ENTRIES_MAX);
    daemon->members =
        members_new(&self, str_hash(self.name, daemon->incarnation));
    daemon->metrics = metrics_new();
    for (unsigned i = 0; i < settings->seed_count; i++) {
        members_add_seed(daemon->members, settings->seeds[i]);
    }
}

static void
init_services(celeryspoold_t *daemon)
{
    const settings_t *settings = &daemon->settings;
    daemon->http_client = http_client_new((unsigned)settings->relay_threads);
    daemon->store = store_new(daemon->http_client, settings->store_addr,
                              settings->store_timeout_ms);
    daemon->claims = claim_log_new(daemon->store, CLAIM_SHARDS);
    daemon->pool = pool_new(POOL_THREADS);
}

/* Run the tick of each chat call, which probes a silent stream or starts a
 * failover that is due.  A reference to each call is held meanwhile, so that
 * no call's lock is taken under the lock of the list. */
static void
check_chat_calls(celeryspoold_t *daemon)
{
    int64_t now = time_mono_us();
    (void)pthread_mutex_lock(&daemon->calls_lock);
    size_t count = 0;
    call_t **calls = mem_zalloc((daemon->call_count + 1) * sizeof(call_t *));
    call_t *call;
    CK_LIST_FOREACH (call, &daemon->calls, entry) {
        if (call->kind == CALL_CHAT) {
            call_ref(call);
            calls[count++] = call;
        }
    }
    (void)pthread_mutex_unlock(&daemon->calls_lock);
    for (size_t i = 0; i < count; i++) {
        chat_tick(calls[i], now);
        call_unref(calls[i]);
    }
    free(calls);
}

/* Fetch the configuration from a peer that has a newer one, so that changes
 * reach this daemon even while the store is down. */
static void
pull_config(void *arg)
{
    celeryspoold_t *daemon = arg;
    char peer[CS_ADDR_MAX];
    err_t err = {0};
    config_t *config = daemon_config(daemon);
    int64_t own_generation = config->generation;
    config_release(config);
    int64_t peer_generation = members_newest_generation(daemon->members, peer);
    if (peer_generation >= 0) {
        (void)pthread_mutex_lock(&daemon->config_lock);
        daemon->config_confirmed_ms = time_mono_ms();
        (void)pthread_mutex_unlock(&daemon->config_lock);
    }
    if (peer_generation <= own_generation) {
        return;
    }
    CLEAN_JSON json_t *doc =
        peer_fetch(peer, "config", PEER_PULL_TIMEOUT_MS, &err);
    if (doc != NULL) {
        (void)config_sync_adopt(daemon, doc, 0, peer);
    }
}

static void
save_snapshot(void *arg)
{
    celeryspoold_t *daemon = arg;
    if (members_has_duty(daemon->members, "snapshot")) {
        snapshot_save(daemon);
    }
}

static void
set_ready_when_warm(celeryspoold_t *daemon)
{
    config_t *config = daemon_config(daemon);
    bool has_config = config->generation > 0;
    config_release(config);
    int64_t uptime_ms = time_mono_ms() - daemon->started_ms;
    if (daemon_state(daemon) == STATE_WARMING &&
        (has_config || uptime_ms > CONFIG_WAIT_MAX_MS)) {
        daemon_set_state(daemon, STATE_READY);
        log_info("daemon", "Ready after %lld ms.", (long long)uptime_ms);
        event_emit(&(event_t){.kind = "daemon-ready"});
    }
}

/* Start draining: the daemon reports that it is not ready, so that the load
 * balancer stops sending requests; those that still arrive are served. */
static void
start_draining(celeryspoold_t *daemon)
{
    daemon_set_state(daemon, STATE_DRAINING);
    log_info("daemon", "Draining; %zu requests are running.",
             daemon_call_count(daemon));
    event_emit(&(event_t){.kind = "daemon-leaving"});
}

static bool
stop_is_requested(celeryspoold_t *daemon)
{
    return __atomic_load_n(&daemon->stop_requested, __ATOMIC_ACQUIRE);
}

/* Drain for a maintenance window of this host or its data centre.  Draining
 * starts one maximum request duration before the window, so that no request
 * runs when it begins, and lasts until the window ends.  A shutdown is not
 * undone, even if it is requested between the check and the change of state;
 * hence the second check. */
static void
drain_for_window(celeryspoold_t *daemon)
{
    config_t *config = daemon_config(daemon);
    bool clear = config_host_is_available(config, daemon->settings.name,
                                          daemon->settings.dc, time_wall_ms(),
                                          config_duration_max_ms(config));
    config_release(config);
    if (!clear && daemon_state(daemon) == STATE_READY) {
        daemon->draining_for_window = true;
        start_draining(daemon);
    }
    else if (clear && daemon->draining_for_window &&
             !stop_is_requested(daemon)) {
        daemon->draining_for_window = false;
        daemon_set_state(daemon, STATE_READY);
        log_info("daemon", "The maintenance window is over; ready again.");
        if (stop_is_requested(daemon)) {
            daemon_set_state(daemon, STATE_DRAINING);
        }
    }
}

static void *
tick_run(void *arg)
{
    celeryspoold_t *daemon = arg;
    unsigned tick = 0;
    int64_t snapshot_due_ms = time_mono_ms() + SNAPSHOT_INTERVAL_MS;
    while (!__atomic_load_n(&daemon->stopping, __ATOMIC_ACQUIRE)) {
        tick++;
        dispatch_tick(daemon);
        claim_log_tick(daemon->claims);
        peer_tick(daemon->peer);
        if (tick % CHECK_INTERVAL_TICKS == 0) {
            check_chat_calls(daemon);
            set_ready_when_warm(daemon);
            drain_for_window(daemon);
        }
        if (tick % PULL_INTERVAL_TICKS == 0) {
            pool_submit(daemon->pool, pull_config, daemon);
        }
        if (time_mono_ms() >= snapshot_due_ms) {
            snapshot_due_ms = time_mono_ms() + SNAPSHOT_INTERVAL_MS;
            pool_submit(daemon->pool, save_snapshot, daemon);
        }
        time_sleep_ms(TICK_MS);
    }
    return NULL;
}

/* Opens the sockets on the daemon's addresses, before anything else is done
 * under its name: a former process that still has them may be working under
 * it. */
static int
open_sockets(const settings_t *settings,
             local_socket_t sockets[DAEMON_SOCKETS], err_t *err)
{
    sockets[DAEMON_DATAGRAMS] = (local_socket_t){.use = "datagrams",
                                                 .addr = settings->peer_addr,
                                                 .kind = LOCAL_DATAGRAMS};
    sockets[DAEMON_PEERS] = (local_socket_t){
        .use = "peers", .addr = settings->peer_addr, .kind = LOCAL_LISTENER};
    sockets[DAEMON_CALLERS] = (local_socket_t){
        .use = "callers", .addr = settings->http_addr, .kind = LOCAL_LISTENER};
    return local_sockets_wait(sockets, DAEMON_SOCKETS, err);
}

static int
start_services(celeryspoold_t *daemon,
               const local_socket_t sockets[DAEMON_SOCKETS], err_t *err)
{
    const settings_t *settings = &daemon->settings;
    daemon->peer = peer_start(daemon, sockets[DAEMON_DATAGRAMS].fd,
                              sockets[DAEMON_PEERS].fd);
    snapshot_warm_up(daemon);
    (void)pthread_create(&daemon->tick_thread, NULL, tick_run, daemon);
    (void)pthread_create(&daemon->feed_thread, NULL, feed_run, daemon);
    (void)pthread_create(&daemon->config_thread, NULL, config_sync_run,
                         daemon);
    (void)pthread_create(&daemon->order_thread, NULL, order_run, daemon);
    http_server_opts_t opts = {
        .addr = settings->http_addr,
        .fd = sockets[DAEMON_CALLERS].fd,
        .threads = (unsigned)settings->http_threads,
        .body_max = (size_t)settings->body_max_kib * 1024,
        .connections_max = (unsigned)settings->connections_max,
        .idle_seconds = (unsigned)settings->idle_timeout_s,
        .handler = route_handle,
        .arg = daemon};
    daemon->http_server = http_server_start(&opts, err);
    return daemon->http_server == NULL
               ? err_wrap(err, ERR_SETTINGS, 0, "cannot start the HTTP server")
               : 0;
}

/* Start a daemon once its addresses are available.  Returns NULL with an error
 * if it cannot listen on one of them, or, with the code ECANCELED, if a signal
 * stops it first. */
celeryspoold_t *
daemon_start(const settings_t *settings, err_t *err)
{
    local_socket_t sockets[DAEMON_SOCKETS];
    if (open_sockets(settings, sockets, err) != 0) {
        return NULL;
    }
    celeryspoold_t *daemon = mem_zalloc(sizeof(*daemon));
    daemon->settings = *settings;
    daemon->incarnation = (uint64_t)time_wall_ms();
    daemon->started_ms = time_mono_ms();
    event_emit(&(event_t){.kind = "daemon-started"});
    init_tables(daemon);
    init_services(daemon);
    if (start_services(daemon, sockets, err) != 0) {
        return NULL;
    }
    log_info("daemon", "Listening on %s, peers on %s.", settings->http_addr,
             settings->peer_addr);
    return daemon;
}

/* Whether the daemon is warming up, ready or draining. */
daemon_state_t
daemon_state(const celeryspoold_t *daemon)
{
    return __atomic_load_n(&daemon->state, __ATOMIC_ACQUIRE);
}

/* Requests that have no final answer yet. */
size_t
daemon_call_count(celeryspoold_t *daemon)
{
    LOCK_SCOPE(&daemon->calls_lock);
    return daemon->call_count;
}

/* Start a graceful shutdown.  Later calls only log how many requests ending
 * the process now would abort. */
void
daemon_drain(celeryspoold_t *daemon)
{
    if (__atomic_exchange_n(&daemon->stop_requested, true, __ATOMIC_ACQ_REL)) {
        log_warn(
            "daemon",
            "Still draining; ending the process now would abort %zu requests.",
            daemon_call_count(daemon));
        return;
    }
    start_draining(daemon);
}

/* Whether all requests have ended. */
bool
daemon_is_drained(celeryspoold_t *daemon)
{
    return daemon_call_count(daemon) == 0;
}

/* Stop the threads and free everything, after all requests have ended. */
void
daemon_stop(celeryspoold_t *daemon)
{
    http_server_drain(daemon->http_server);
    __atomic_store_n(&daemon->stopping, true, __ATOMIC_RELEASE);
    (void)pthread_join(daemon->tick_thread, NULL);
    (void)pthread_join(daemon->feed_thread, NULL);
    (void)pthread_join(daemon->config_thread, NULL);
    (void)pthread_join(daemon->order_thread, NULL);
    pool_free(daemon->pool);
    http_client_free(daemon->http_client);
    http_server_stop(daemon->http_server);
    peer_stop(daemon->peer);
    claim_log_free(daemon->claims);
    store_free(daemon->store);
    dispatch_free(daemon);
    config_release(daemon->config);
    view_free(daemon->view);
    cache_map_free(daemon->cache);
    members_free(daemon->members);
    metrics_free(daemon->metrics);
    free(daemon);
}
