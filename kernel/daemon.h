#ifndef CELERYSPOOL_DAEMON_H
#define CELERYSPOOL_DAEMON_H

/* The running daemon: the shared tables with the threads and sockets around
 * them.  See tables.h for the lock order. */

#include "claim.h"
#include "config.h"
#include "http.h"
#include "metrics.h"
#include "settings.h"
#include "store.h"
#include "tables.h"

#define CANDIDATES_MAX 256
#define TRIED_MAX 4
#define CALL_DEADLINE_MAX_MS 600000

typedef enum { STATE_WARMING, STATE_READY, STATE_LEAVING } daemon_state_t;

/* What a request came to, told to its caller in each answer. */
typedef enum { OUTCOME_DONE, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN } outcome_t;

typedef struct lane lane_t;
typedef struct peer peer_t;
typedef struct pool pool_t;
typedef struct call call_t;
typedef CK_LIST_HEAD(call_list, call) call_list_t;

typedef struct celeryspoold {
    settings_t settings;
    uint64_t incarnation;
    daemon_state_t state;
    bool stopping;
    bool stop_ordered;
    bool left_for_window; /* the ticker's own */
    int64_t started_ms;

    pthread_mutex_t config_lock;
    config_t *config;
    int64_t config_version;  /* of the store's object, 0 if never read */
    int64_t config_heard_ms; /* when store or a peer last confirmed it */

    view_t *view;
    cache_map_t *cache;
    members_t *members;
    metrics_t *metrics;
    http_client_t *client;
    http_server_t *server;
    store_t *store;
    claim_log_t *claims;
    peer_t *peer;
    pool_t *pool;

    pthread_mutex_t lanes_lock;
    lane_t *lanes[BACKENDS_MAX]; /* by the number in the view */

    pthread_mutex_t calls_lock;
    call_list_t calls;
    size_t call_count;
    uint64_t turn;
    retry_budget_t retries;

    pthread_t ticker;
    pthread_t feeder;
    pthread_t watcher;
    pthread_t orderer;
} celeryspoold_t;

celeryspoold_t *daemon_start(const settings_t *settings, err_t *err);
void daemon_leave(celeryspoold_t *daemon);
bool daemon_left(celeryspoold_t *daemon);
void daemon_stop(celeryspoold_t *daemon);
config_t *daemon_config(celeryspoold_t *daemon);
daemon_state_t daemon_state(const celeryspoold_t *daemon);
size_t daemon_running(celeryspoold_t *daemon);
const char *outcome_word(outcome_t outcome);

/* ---- calls ---- */

typedef enum { CALL_CHAT, CALL_SERVICE } call_kind_t;

typedef enum {
    CALL_QUEUED,
    CALL_SENT,      /* handed to a backend server, nothing back yet */
    CALL_STREAMING, /* the first token is there */
    CALL_ENDED
} call_phase_t;

/* What only a chat has. */
typedef struct {
    json_t *body;
    prefix_t prefix;
    char salt[CS_ID_LEN + 1];
    uint64_t ask;
    bool stream;
    bool resumed;     /* the caller came back with Last-Event-ID */
    uint32_t emitted; /* tokens that the caller has */
    buf_t text;       /* of those that this daemon has seen */
    buf_t sse;        /* bytes of an unfinished upstream event */
    buf_t out;        /* one event for the caller, its room used again */
    char token[RESUME_TEXT_MAX];
    bool gap;      /* upstream skipped tokens that the caller has not */
    bool finished; /* upstream said that the answer is whole */
    uint32_t prompt_tokens;
    uint32_t cached_tokens;
} chat_t;

/* What only a service call has. */
typedef struct {
    char *method;
    buf_t target; /* path and query at the service */
    char type[128];
    char reply_type[128];
    bool overflow; /* the answer is longer than is passed on */
    buf_t body;
    buf_t reply;
    bool idempotent;
    bool claimed;
    char key[CLAIM_KEY_LEN + 1];
    char token[CS_ID_LEN + 1];
} service_call_t;

struct call {
    CK_LIST_ENTRY(call) entry;
    pthread_mutex_t lock;
    unsigned refs;
    celeryspoold_t *daemon;
    http_req_t *req;
    char id[CS_ID_LEN + 1];
    char workspace[CS_NAME_MAX];
    char target[CS_NAME_MAX];
    int priority;
    call_kind_t kind;
    call_phase_t phase;
    union {
        chat_t chat;
        service_call_t service;
    } u;
    sched_item_t item;
    series_t *series;
    int64_t began_us;
    int64_t sent_us;
    int64_t last_us; /* when upstream last said anything */
    int64_t deadline_ms;

    /* The exchange with a backend server that counts now.  Callbacks of an
     * older one carry a smaller leg number and are ignored. */
    unsigned leg;
    uint64_t xfer;
    bool started;      /* this leg has brought something */
    bool counted;      /* this leg stands in the view */
    char why[200];     /* it was placed where it was */
    bool may_have_run; /* some leg broke after it had been sent */
    uint16_t backend_id;
    char backend[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
    char incarnation[CS_ID_LEN + 1];
    char version[CS_NAME_MAX];
    char stream_id[CS_ID_LEN + 1];
    double uncached;
    double expected_ms;
    unsigned attempts;
    unsigned tried;
    char tried_names[TRIED_MAX][CS_NAME_MAX];
    bool probing;
    unsigned probe_failures;
    int64_t retry_at_ms; /* a move that found no place is tried again then */
    int64_t recover_until_ms;
};

call_t *call_new(celeryspoold_t *daemon, http_req_t *req, call_kind_t kind,
                 const workspace_t *workspace, const char *target);
long call_deadline_span(http_req_t *req);
void call_hold(call_t *call);
void call_release(call_t *call);
void call_refuse(call_t *call, int status, const char *code, int retry_after_s,
                 const char *text);
void call_fail(call_t *call, int status, const char *code, outcome_t outcome,
               const char *text);
outcome_t call_outcome_so_far(const call_t *call);
void call_ended(call_t *call, outcome_t outcome);
void call_event(call_t *call, const char *kind, const char *detail);
void call_uncount(call_t *call);
void call_note_tried(call_t *call);
json_t *calls_rows(celeryspoold_t *daemon);

json_t *chat_body_read(const char *text, size_t len, err_t *err);
void chat_handle(celeryspoold_t *daemon, http_req_t *req,
                 const workspace_t *workspace, const config_t *config);
void chat_leg_start(call_t *call, const candidate_t *candidate);
void chat_resume_leg(call_t *call);
void chat_finish(call_t *call);
void chat_take(call_t *call, const char *data, size_t len);
void chat_recover(call_t *call, bool same_server);
void chat_redirect(call_t *call, bool same_server_too);
void chat_move(call_t *call);
void chat_watch(call_t *call, int64_t now_us);

void service_handle(celeryspoold_t *daemon, http_req_t *req,
                    const workspace_t *workspace, const config_t *config);
void service_record(call_t *call, claim_op_kind_t kind, int status);
void service_leg_start(call_t *call, const candidate_t *candidate);

/* ---- dispatch ---- */

void dispatch_push(call_t *call);
void dispatch_run(celeryspoold_t *daemon);
void dispatch_tick(celeryspoold_t *daemon);
void dispatch_free(celeryspoold_t *daemon);
size_t dispatch_waiting(celeryspoold_t *daemon);
bool dispatch_place(call_t *call, candidate_t *out);

/* ---- configuration, feeds, orders ---- */

bool config_sync_adopt(celeryspoold_t *daemon, json_t *doc, int64_t version,
                       const char *source);
int config_sync_commit(celeryspoold_t *daemon, const change_t *change,
                       const char *who, const char *what,
                       int64_t if_generation, json_t **result, err_t *err);
void *config_sync_run(void *arg);
void *feed_run(void *arg);
void feed_take_load(celeryspoold_t *daemon, const char *backend,
                    const load_report_t *report);
void *order_run(void *arg);

/* ---- peers ---- */

peer_t *peer_start(celeryspoold_t *daemon, err_t *err);
void peer_stop(peer_t *peer);
void peer_bytes(const peer_t *peer, uint64_t *sent, uint64_t *received);
void peer_tick(peer_t *peer);
void peer_tell_load(peer_t *peer, const char *backend,
                    const load_report_t *report);
void peer_tell_cached(peer_t *peer, const char *backend, uint64_t key,
                      uint32_t tokens, bool held);
json_t *peer_ask(const char *addr, const char *what, int timeout_ms,
                 err_t *err);

/* ---- pool of workers for what may block ---- */

pool_t *pool_new(unsigned threads);
void pool_submit(pool_t *pool, void (*run)(void *arg), void *arg);
void pool_free(pool_t *pool);

/* ---- HTTP routes and administration ---- */

void route_handle(http_req_t *req, void *arg);
void admin_handle(celeryspoold_t *daemon, http_req_t *req);

#endif
