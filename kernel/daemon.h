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

typedef enum { STATE_WARMING, STATE_READY, STATE_DRAINING } daemon_state_t;

/* The outcome of a request, reported to its caller in each answer. */
typedef enum { OUTCOME_DONE, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN } outcome_t;

typedef struct backend_queue backend_queue_t;
typedef struct peer peer_t;
typedef struct pool pool_t;
typedef struct call call_t;
typedef CK_LIST_HEAD(call_list, call) call_list_t;

typedef struct celeryspoold {
    settings_t settings;
    uint64_t incarnation;
    daemon_state_t state;
    bool stopping;            /* the threads are to end */
    bool stop_requested;      /* a graceful shutdown has begun */
    bool draining_for_window; /* maintenance window; tick thread only */
    int64_t started_ms;

    pthread_mutex_t config_lock;
    config_t *config;
    int64_t config_version; /* version of the store's object; 0: never read */
    int64_t config_confirmed_ms; /* last confirmation by the store or a peer */

    view_t *view;
    cache_map_t *cache;
    members_t *members;
    metrics_t *metrics;
    http_client_t *http_client;
    http_server_t *http_server;
    store_t *store;
    claim_log_t *claims;
    peer_t *peer;
    pool_t *pool;

    pthread_mutex_t queues_lock;
    backend_queue_t *queues[BACKENDS_MAX]; /* index: view_assign_id() */

    pthread_mutex_t calls_lock;
    call_list_t calls;
    size_t call_count;
    uint64_t placement_count;
    retry_budget_t retry_budget;

    pthread_t tick_thread;
    pthread_t feed_thread;
    pthread_t config_thread;
    pthread_t order_thread;
} celeryspoold_t;

/* The sockets on a daemon's addresses, in the order they are opened. */
enum { DAEMON_DATAGRAMS, DAEMON_PEERS, DAEMON_CALLERS, DAEMON_SOCKETS };

celeryspoold_t *daemon_start(const settings_t *settings, err_t *err);
void daemon_drain(celeryspoold_t *daemon);
bool daemon_is_drained(celeryspoold_t *daemon);
void daemon_stop(celeryspoold_t *daemon);
config_t *daemon_config(celeryspoold_t *daemon);
daemon_state_t daemon_state(const celeryspoold_t *daemon);
size_t daemon_call_count(celeryspoold_t *daemon);
const char *outcome_name(outcome_t outcome);

/* ---- calls ---- */

typedef enum { CALL_CHAT, CALL_SERVICE } call_kind_t;

typedef enum {
    CALL_QUEUED,
    CALL_SENT,      /* sent to a backend server, no token received yet */
    CALL_STREAMING, /* the first token has been received */
    CALL_ENDED
} call_phase_t;

/* State of a chat call. */
typedef struct {
    json_t *body;
    prefix_t prefix;
    char salt[CS_ID_LEN + 1];
    uint64_t prompt_hash;
    bool stream;
    bool resumed;      /* the caller reconnected with Last-Event-ID */
    uint32_t emitted;  /* answer tokens so far */
    buf_t text;        /* answer text that this daemon has */
    buf_t sse_pending; /* bytes of an incomplete upstream event */
    buf_t event_out;   /* buffer for one event to the caller, reused */
    char resume_token[RESUME_TOKEN_MAX];
    bool has_gap;  /* upstream skipped tokens that the caller lacks */
    bool finished; /* upstream sent [DONE] and no token is missing */
    uint32_t prompt_tokens;
    uint32_t cached_tokens;
} chat_t;

/* State of a service call. */
typedef struct {
    char *method;
    buf_t request_target; /* path and query, without the service name */
    char content_type[128];
    char reply_content_type[128];
    bool reply_too_long; /* over REPLY_BYTES_MAX; the caller gets a 502 */
    buf_t body;
    buf_t reply;
    bool idempotent;
    bool claimed; /* the claim log granted the claim; no outcome recorded */
    char claim_key[CLAIM_KEY_LEN + 1];
    char claim_token[CS_ID_LEN + 1];
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
    sched_item_t queue_item;
    series_t *series;
    int64_t received_us;
    int64_t sent_us;
    int64_t last_activity_us; /* last data or probe reply from the server */
    int64_t deadline_ms;

    /* The current attempt: one exchange with one backend server.  Callbacks
     * of an older attempt carry a smaller number and are ignored. */
    unsigned attempt_number;
    uint64_t exchange_id;      /* for http_client_cancel */
    bool first_token_received; /* a new token arrived in this attempt */
    bool counted_in_view; /* this attempt is counted as load in the view */
    char placement_reason[200]; /* why the policy chose this server */
    bool may_have_run;          /* an attempt failed after it was sent */
    uint16_t backend_id;
    char backend[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
    char incarnation[CS_ID_LEN + 1];
    char version[CS_NAME_MAX];
    char stream_id[CS_ID_LEN + 1];
    double uncached_tokens;
    double expected_ttft_ms;
    unsigned sent_count; /* attempts that sent the request, without resumes */
    unsigned tried_count;
    char tried_names[TRIED_MAX][CS_NAME_MAX]; /* servers to avoid */
    bool probing;
    unsigned probe_failures;
    int64_t retry_at_ms; /* next try of a failover that found no server */
    int64_t recovery_deadline_ms; /* 0 before the first failover */
};

call_t *call_new(celeryspoold_t *daemon, http_req_t *req, call_kind_t kind,
                 const workspace_t *workspace, const char *target);
long call_timeout_ms(http_req_t *req);
void call_ref(call_t *call);
void call_unref(call_t *call);
void call_reject(call_t *call, int status, const char *code, int retry_after_s,
                 const char *text);
void call_fail(call_t *call, int status, const char *code, outcome_t outcome,
               const char *text);
outcome_t call_outcome_so_far(const call_t *call);
void call_end(call_t *call, outcome_t outcome);
void call_emit_event(call_t *call, const char *kind, const char *detail);
void call_remove_from_view(call_t *call);
void call_mark_tried(call_t *call);
json_t *calls_to_json(celeryspoold_t *daemon);

json_t *chat_body_parse(const char *text, size_t len, err_t *err);
void chat_handle(celeryspoold_t *daemon, http_req_t *req,
                 const workspace_t *workspace, const config_t *config);
void chat_attempt_start(call_t *call, const candidate_t *candidate);
void chat_attempt_resume(call_t *call);
void chat_finish(call_t *call);
void chat_feed(call_t *call, const char *data, size_t len);
void chat_recover(call_t *call, bool same_server);
void chat_place_again(call_t *call, bool may_use_same_server);
void chat_fail_over(call_t *call);
void chat_tick(call_t *call, int64_t now_us);

void service_handle(celeryspoold_t *daemon, http_req_t *req,
                    const workspace_t *workspace, const config_t *config);
void service_record_outcome(call_t *call, claim_op_kind_t kind, int status);
void service_attempt_start(call_t *call, const candidate_t *candidate);

/* ---- dispatch ---- */

void dispatch_submit(call_t *call);
void dispatch_run(celeryspoold_t *daemon);
void dispatch_tick(celeryspoold_t *daemon);
void dispatch_free(celeryspoold_t *daemon);
size_t dispatch_waiting_count(celeryspoold_t *daemon);
bool dispatch_place(call_t *call, candidate_t *out);

/* ---- configuration, feeds, orders ---- */

bool config_sync_adopt(celeryspoold_t *daemon, json_t *doc, int64_t version,
                       const char *source);
int config_sync_commit(celeryspoold_t *daemon, const change_t *change,
                       const char *operator_name, const char *description,
                       int64_t if_generation, json_t **result, err_t *err);
void *config_sync_run(void *arg);
void *feed_run(void *arg);
void feed_apply_load(celeryspoold_t *daemon, const char *backend,
                     const load_report_t *report);
void *order_run(void *arg);

/* ---- peers ---- */

peer_t *peer_start(celeryspoold_t *daemon, int udp_fd, int tcp_fd);
void peer_stop(peer_t *peer);
void peer_byte_counts(const peer_t *peer, uint64_t *sent, uint64_t *received);
void peer_tick(peer_t *peer);
void peer_announce_load(peer_t *peer, const char *backend,
                        const load_report_t *report);
void peer_announce_cached(peer_t *peer, const char *backend, uint64_t key,
                          uint32_t tokens, bool held);
json_t *peer_fetch(const char *addr, const char *document, int timeout_ms,
                   err_t *err);

/* ---- thread pool for jobs that may block ---- */

pool_t *pool_new(unsigned threads);
void pool_submit(pool_t *pool, void (*run)(void *arg), void *arg);
void pool_free(pool_t *pool);

/* ---- HTTP routes and administration ---- */

void route_handle(http_req_t *req, void *arg);
void admin_handle(celeryspoold_t *daemon, http_req_t *req);

#endif
