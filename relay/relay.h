#ifndef CELERYSPOOL_RELAY_H
#define CELERYSPOOL_RELAY_H

/* The request router: accepts callers' requests, forwards them to backend
 * servers and reads its configuration from the platform's store.  One thread
 * with one event loop: a host has a quarter to three quarters of one core, so
 * a second thread would add context switches and locks but no throughput. */

#include "../balance/held-bytes.h"
#include "../balance/request-cost.h"
#include "../kernel/exchange.h"
#include "../kernel/http-listener.h"
#include "../kernel/local-socket.h"
#include "../kernel/settings.h"
#include "../kernel/tables.h"
#include "meter.h"
#include "quota.h"
#include "forecast.h"
#include "helpers.h"
#include "kv-stores.h"
#include "reach.h"
#include "request-walk.h"
#include "relay-config.h"
#include "retry-share.h"
#include "server-crashes.h"
#include "service-state.h"
#include "servers.h"
#include "software-listed.h"
#include "software-record.h"
#include "software-seen.h"
#include "stream-origins.h"
#include "stream.h"
#include "watch.h"
#include "wire.h"

/* Interval of the periodic work, ms. */
#define RELAY_TICK_MS 100

typedef struct relay relay_t;
typedef struct request request_t;

typedef struct software_check software_check_t;
typedef struct rollout rollout_t;
typedef struct peers peers_t;
typedef struct origin_store origin_store_t;
typedef struct object_cache object_cache_t;
typedef struct cache_follower cache_follower_t;

/* Notifies the other daemons that a holder (a server or a kv store) has
 * cached or evicted a prompt part.  A part with 0 tokens is still being
 * prefilled there and is announced under a separate key. */
typedef void (*part_notify_t)(peers_t *peers, const char *holder,
                              const cached_part_t *part, bool held);

/* Kinds of objects that are cached for other daemons: the first of
 * object_kind_t. */
#define CACHED_KIND_COUNT 3

/* ---- published weights versions ---- */

#define WEIGHTS_MODELS_MAX 64

/* Versions of a model that are kept with their time of publication.  The
 * rollout of any older version is over. */
#define WEIGHTS_VERSIONS_MAX 32

typedef struct {
    int64_t version;
    int64_t published_ms; /* wall clock, when a host first learned of it */
    bool estimated;       /* published_ms is only an estimated bound */
} weights_version_t;

typedef struct {
    char model[SERVER_MODEL_MAX];
    int64_t newest_version;
    int64_t newest_seen; /* read from the store, or a server has or loads it */
    weights_version_t versions[WEIGHTS_VERSIONS_MAX]; /* newest first */
    size_t version_count;
    /* Of the versions that are no longer kept: the newest, and the earliest
     * publication. */
    int64_t forgotten_version;
    int64_t forgotten_published_ms;
} weights_t;

/* ---- priorities at engines ---- */

/* What has changed among the hosts, for priority-band.h. */
typedef struct {
    bool tracks;           /* a service keeps the order of its requests */
    int64_t since_wall_ms; /* since when loads are tracked, wall clock */
    int64_t changed_ms;    /* a host started, or loads may have been missed */
    int64_t longest_ms;    /* highest of the longest timeouts so far */
    int64_t ticked_ms;
    int64_t hosts_compared_ms;
    uint64_t hosts[QUOTA_HOSTS_MAX]; /* known processes of other hosts */
    size_t host_count;
    uint64_t hosts_digest;
} priority_watch_t;

/* The sockets that a host needs to serve, in the order they are opened. */
enum {
    RELAY_DATAGRAMS,
    RELAY_PEERS,
    RELAY_READY,
    RELAY_CALLERS,
    RELAY_SOCKETS
};

struct relay {
    settings_t settings;
    struct event_base *base;
    struct event *tick_timer;
    struct event *signals[3];
    bool reload_incomplete; /* the settings file was, and is read again */
    exchanges_t *exchanges;
    http_listener_t *caller_listener;
    http_listener_t *ready_listener;
    http_listener_t *metrics_listener; /* serves other daemons too */
    http_listener_t *peer_listener;    /* requests that other hosts forward */
    local_socket_t metrics_socket;
    request_list_t requests;
    request_walks_t walks; /* loops over them */
    size_t request_count;
    size_t body_bytes; /* bodies of all requests in flight */
    held_bytes_t held; /* for callers and servers that read slowly */
    int64_t held_logged_ms;
    unsigned held_logged; /* records since held_logged_ms */

    relay_config_t *config; /* NULL until the first one was read */
    int64_t config_adopted_ms;
    servers_t *servers;
    reach_t reach;             /* of the servers, from this host */
    fatal_parts_t fatal_parts; /* of prompts, that crash servers */
    server_crashes_t server_crashes;
    helpers_t helpers;      /* hosts that requests are forwarded to */
    cache_map_t *cache_map; /* servers and kv stores that have each part, or
                             * are prefilling it */
    kv_stores_t kv_stores;
    weights_t weights[WEIGHTS_MODELS_MAX];
    size_t weights_count;
    bool servers_listed;          /* the first list of servers was read */
    bool weights_listed;          /* the first list of weights was read */
    bool weights_partial;         /* that list could not be read to its end */
    object_cache_t *object_cache; /* serves other daemons */
    watch_t *config_watch;
    watch_t *servers_watch;
    watch_t *weights_watch;
    rollout_t *rollout;
    peers_t *peers;
    part_notify_t notify_part;
    cache_follower_t *cache_follower;
    stream_origins_t stream_origins;
    origin_store_t *origin_store;
    software_seen_t software_seen;
    software_listed_t software_listed;
    software_record_t software_record;
    retry_shares_t retry_shares;
    quotas_t quotas;
    request_costs_t costs;
    forecast_t forecast; /* error of the engines' expected latency */
    service_states_t service_states;
    struct event *queue_timer; /* pending while requests wait for room */
    priority_watch_t priority_watch;

    rng_t rng;
    uint64_t placement_count;
    double mean_prompt_tokens; /* smoothed, of requests for engines */
    unsigned tick_count;
    int64_t ticked_ms;   /* when the last tick ran */
    uint64_t late_ticks; /* that came LATE_TICK_MS late */
    const char *settings_path;
    int64_t stop_requested_ms; /* 0 while no shutdown was requested */
    bool requests_ended;       /* by it, as its grace was over */
    size_t cut_by_stop;        /* requests that were ended then */
    meter_t meter;
};

int relay_run(const settings_t *settings, const char *settings_path,
              err_t *err);
bool relay_is_ready(const relay_t *relay);
bool relay_is_closed(const relay_t *relay);
bool relay_stops_before(const relay_t *relay, int64_t deadline_ms);
const weights_t *relay_find_weights(const relay_t *relay, const char *model);
void weights_record(relay_t *relay, const char *model, int64_t version,
                    int64_t published_ms);
void weights_record_estimate(relay_t *relay, const char *model,
                             int64_t version, int64_t published_ms);
void weights_record_from_store(relay_t *relay, const char *model,
                               int64_t version, int64_t wall_ms);
bool weights_expired(const weights_t *weights, int64_t version,
                     int64_t wall_ms, int64_t allowed_ms);
void weights_note_seen(relay_t *relay, const char *model, int64_t version);
int64_t weights_newest_seen(const relay_t *relay, const char *model);
bool weights_are_newest(const relay_t *relay, const char *model,
                        int64_t version);
int64_t weights_superseded_for_ms(const weights_t *weights, int64_t version,
                                  int64_t wall_ms);

void relay_write_metrics(relay_t *relay, buf_t *out);

/* ---- callers ---- */

/* Bound on the bodies of all requests in flight, bytes: a quarter of the
 * smallest host's memory. */
#define BODY_BYTES_MAX (40u << 20)
/* Bodies up to this length may use all of the bodies' share of the memory. */
#define SMALL_BODY_BYTES 65536

size_t relay_body_bytes_max(relay_t *relay, const http_listener_t *listener,
                            size_t len);
void relay_note_output(relay_t *relay, caller_t *caller, bool written);
void relay_note_closed(relay_t *relay, caller_t *caller);
void relay_held_tick(relay_t *relay);
int sockets_open(const settings_t *settings,
                 local_socket_t sockets[RELAY_SOCKETS], err_t *err);
int listeners_open(relay_t *relay, const local_socket_t sockets[RELAY_SOCKETS],
                   err_t *err);
void listeners_tick(relay_t *relay);

/* ---- requests ---- */

void request_begin(relay_t *relay, caller_t *caller, const http_head_t *head,
                   buf_t *body, bool from_host);
void request_answer_no_room(caller_t *caller);
void request_caller_disconnected(request_t *request);
void requests_tick(relay_t *relay);
void requests_place_queued(relay_t *relay);
void relay_schedule_queues(relay_t *relay);
void requests_place_repeat(relay_t *relay);
void priorities_tick(relay_t *relay);
void relay_note_software(relay_t *relay);
void requests_drop_blocked(relay_t *relay);
void requests_end_all(relay_t *relay);
void requests_apply_origin(relay_t *relay, const stream_id_t *stream);
void requests_note_origin_unknown(relay_t *relay, const stream_id_t *stream,
                                  uint64_t number, uint64_t host);
void requests_apply_records(relay_t *relay, bool read);
void requests_fail_over(relay_t *relay, const server_t *server,
                        bool with_started);

/* ---- the platform's objects and servers ---- */

void discovery_start(relay_t *relay);
void discovery_stop(relay_t *relay);
void discovery_tick(relay_t *relay);

void probes_tick(relay_t *relay);
void relay_note_answer(relay_t *relay, server_t *server, bool new_connection);
void relay_note_fault(relay_t *relay, const server_t *server,
                      bool new_connection);
void relay_note_failed_probe(relay_t *relay, const server_t *server);
void relay_confirm_crashes(relay_t *relay);
void relay_log_blocked(const relay_t *relay, const char *source);
void relay_apply_life(relay_t *relay, const server_t *server,
                      server_life_t life);
software_check_t *relay_check_software(
    relay_t *relay, const server_t *server, const char *id,
    void (*on_checked)(void *arg, server_t *server), void *arg);
void relay_cancel_software_check(software_check_t *check);
void relay_doubt_software(relay_t *relay, server_t *server);
void relay_request_report(relay_t *relay, server_t *server);
bool relay_reaches(const relay_t *relay, const server_t *server,
                   const char *id);
void probe_server(relay_t *relay, server_t *server);

/* ---- other daemons ---- */

peers_t *peers_start(relay_t *relay, int fd);
void peers_tick(peers_t *peers);

/* ---- servers' caches ---- */

cache_follower_t *cache_follower_new(relay_t *relay);
size_t cache_follower_cache_count(const cache_follower_t *follower);
void cache_follower_tick(cache_follower_t *follower);
void cache_follower_note_request(cache_follower_t *follower, uint64_t key);

/* ---- weights rollouts ---- */

rollout_t *rollout_new(relay_t *relay);
void rollout_tick(rollout_t *rollout);
bool rollout_awaits_record(const rollout_t *rollout);
void rollout_request_record(rollout_t *rollout);

#endif
