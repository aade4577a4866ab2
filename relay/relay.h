#ifndef CELERYSPOOL_RELAY_H
#define CELERYSPOOL_RELAY_H

/* The router on the users' platform: callers on one side, backend servers on
 * the other, the platform's store behind.  One thread and one event loop: a
 * host has a quarter to three quarters of one core, so a second thread would
 * add switches and locks and no work done. */

#include "../kernel/exchange.h"
#include "../kernel/http-listener.h"
#include "../kernel/settings.h"
#include "../kernel/tables.h"
#include "meter.h"
#include "quota.h"
#include "forecast.h"
#include "kv-stores.h"
#include "relay-config.h"
#include "retry-share.h"
#include "servers.h"
#include "stream.h"
#include "watch.h"
#include "wire.h"

typedef struct relay relay_t;
typedef struct request request_t;

typedef struct rollout rollout_t;
typedef struct peers peers_t;
typedef struct object_cache object_cache_t;
typedef struct cache_follows cache_follows_t;

/* Notifies the other daemons that a holder, a server or a kv store, has a
 * part of prompts, or has it no longer. A part of no tokens of its own is
 * being read there, under a key of its own. */
typedef void (*part_notify_t)(peers_t *peers, const char *holder,
                              const cached_part_t *part, bool held);

/* Kinds of object that other daemons may ask for: the first of kind_t. */
#define KINDS_CACHED 3

/* ---- the newest weights that were named ---- */

#define WEIGHTS_MODELS_MAX 64

/* Versions of a model that are remembered with the time of their naming; a
 * rollout that is older than all of these is over. */
#define WEIGHTS_KEPT 8

typedef struct {
    int64_t version;
    int64_t named_ms; /* by the time of day, when a host first knew it */
    bool guessed;     /* that time is not known, only a bound */
} weights_named_t;

typedef struct {
    char model[SERVER_MODEL_MAX];
    int64_t version;                     /* the newest */
    weights_named_t named[WEIGHTS_KEPT]; /* the newest first */
    size_t named_count;
} weights_t;

typedef CK_LIST_HEAD(request_list, request) request_list_t;

struct relay {
    settings_t settings;
    struct event_base *base;
    struct event *tick;
    struct event *signals[3];
    exchanges_t *exchanges;
    http_listener_t *door; /* of callers */
    http_listener_t *ready_door;
    http_listener_t *metrics_door;
    request_list_t requests;
    size_t request_count;
    size_t body_bytes; /* of all requests that are held */

    relay_config_t *config; /* NULL until one was read */
    servers_t *servers;
    cache_map_t *cache; /* who may hold or is reading a part */
    kv_stores_t stores; /* of kept parts */
    weights_t weights[WEIGHTS_MODELS_MAX];
    size_t weights_count;
    bool servers_listed;
    bool weights_listed;
    object_cache_t *objects; /* for other daemons */
    watch_t *config_watch;
    watch_t *servers_watch;
    watch_t *weights_watch;
    rollout_t *rollout;
    peers_t *peers;
    part_notify_t notify_part;
    cache_follows_t *cache_follows;
    retry_shares_t retries;
    quotas_t quotas;
    forecast_t forecast; /* of first answers of engines */

    rng_t rng;
    uint64_t turn;
    unsigned turn_ticks;
    const char *path;    /* of the settings file */
    int64_t stopping_ms; /* when the stop was asked for, 0 if it was not */
    meter_t meter;
};

int relay_run(const settings_t *settings, const char *path, err_t *err);
bool relay_ready(const relay_t *relay);
bool relay_shut(const relay_t *relay);
const weights_t *relay_weights(const relay_t *relay, const char *model);
void weights_note(relay_t *relay, const char *model, int64_t version,
                  int64_t named_ms);
void weights_note_bound(relay_t *relay, const char *model, int64_t version,
                        int64_t named_ms);
void weights_observe(relay_t *relay, const char *model, int64_t version,
                     int64_t wall_ms);
bool weights_expired(const weights_t *weights, int64_t version,
                     int64_t wall_ms, int64_t allowed_ms);
int64_t weights_older_ms(const weights_t *weights, int64_t version,
                         int64_t wall_ms);

void relay_metrics(const relay_t *relay, buf_t *out);

/* ---- callers ---- */

int listeners_open(relay_t *relay, err_t *err);

/* ---- requests ---- */

void request_begin(relay_t *relay, caller_t *caller, const http_head_t *head,
                   buf_t *body);
void request_caller_left(request_t *request);
void requests_tick(relay_t *relay);
void requests_abandon(relay_t *relay, const server_t *server);

/* ---- what the platform holds ---- */

void discovery_start(relay_t *relay);
void discovery_stop(relay_t *relay);
void discovery_tick(relay_t *relay);

void probes_tick(relay_t *relay);
void probe_server(relay_t *relay, server_t *server);

/* ---- other daemons ---- */

peers_t *peers_start(relay_t *relay, err_t *err);
void peers_tick(peers_t *peers);

/* ---- caches ---- */

cache_follows_t *cache_follows_new(relay_t *relay);
size_t cache_follows_count(const cache_follows_t *follows);
void cache_follows_tick(cache_follows_t *follows);
void cache_follows_asked(cache_follows_t *follows, uint64_t key);

/* ---- orders ---- */

rollout_t *rollout_new(relay_t *relay);
void rollout_tick(rollout_t *rollout);

#endif
