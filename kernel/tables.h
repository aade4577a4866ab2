#ifndef CELERYSPOOL_TABLES_H
#define CELERYSPOOL_TABLES_H

/* The shared tables and the decisions based on them.  Nothing here does I/O
 * or reads a clock: callers pass in events and the current time.
 *
 * Lock order of the whole program: a call's lock, then the lock of one table
 * (view, cache map, scheduler, members, configuration), then the leaf locks
 * of the HTTP client and server, logs, events and metrics.  No two tables'
 * locks are held at once. */

#include "config.h"
#include "prefix.h"

#include <ck_queue.h>

#define BACKENDS_MAX 1024

/* ---- cache map: which backend servers hold which prompt prefixes ---- */

typedef struct cache_map cache_map_t;

/* A prefix level and a backend server that holds it. */
typedef struct {
    uint64_t key;
    uint32_t tokens;
    uint16_t backend;
} cached_level_t;

cache_map_t *cache_map_new(size_t entries_max);
void cache_map_free(cache_map_t *map);
bool cache_map_add_holder(cache_map_t *map, uint16_t backend, uint64_t key,
                          uint32_t tokens);
bool cache_map_add_holder_at(cache_map_t *map, uint16_t backend, uint64_t key,
                             uint32_t tokens, int64_t now_ms);
bool cache_map_remove_holder(cache_map_t *map, uint16_t backend, uint64_t key);
void cache_map_clear_backend(cache_map_t *map, uint16_t backend);
uint32_t cache_map_cached_tokens(cache_map_t *map, const prefix_t *prefix,
                                 uint16_t backend);
uint32_t cache_map_cached_tokens_since(cache_map_t *map,
                                       const prefix_t *prefix,
                                       uint16_t backend, int64_t since_ms);
size_t cache_map_list_holders(cache_map_t *map, uint64_t key, int64_t since_ms,
                              uint16_t *out, size_t max);
bool cache_map_has_key(cache_map_t *map, uint64_t key);
size_t cache_map_size(cache_map_t *map);
size_t cache_map_list_levels(cache_map_t *map, cached_level_t *levels,
                             size_t max);
size_t cache_map_memory_bytes(cache_map_t *map);

/* ---- view: the known state of each backend server ---- */

#define LOAD_SILENT (-2)

typedef struct {
    char incarnation[CS_ID_LEN + 1];
    char version[CS_NAME_MAX];
    char loading[CS_NAME_MAX]; /* weights version being loaded, or empty */
    int running;
    int slots;
    int waiting_tokens;
    int prefill_rate; /* tokens per second */
    /* Running total of prompt tokens outside shared prefixes; wraps. */
    uint32_t unshared_tokens;
    /* Requests of all hosts at the server, by its own report; -1: unknown,
     * LOAD_SILENT: it does not answer the sender. */
    int total_requests;
} load_report_t;

typedef struct {
    char name[CS_NAME_MAX];
    load_report_t load_report;
    bool reported;
    load_report_t announced; /* the load that peers were last sent */
    int64_t announced_ms;
    bool host_leaving; /* according to the platform's host list */
    int64_t reported_ms;
    /* Own uncached tokens sent since the last report and not yet prefilled. */
    double sent_tokens_since_report;
    /* Own uncached tokens of requests without a first token yet. */
    double own_waiting_tokens;
    int own_running;
    unsigned consecutive_failures;
    int64_t circuit_open_until_ms; /* monotonic */
    double slowness;     /* smoothed observed / expected time, at least 1 */
    uint64_t last_event; /* number of the last cache event read */
    char events_incarnation[CS_ID_LEN + 1];
} backend_state_t;

typedef struct view view_t;

view_t *view_new(void);
void view_free(view_t *view);
uint16_t view_assign_id(view_t *view, const char *name);
bool view_get(view_t *view, uint16_t id, backend_state_t *out);
bool view_apply_report(view_t *view, uint16_t id, const load_report_t *report,
                       int64_t now_ms);
void view_record_announced(view_t *view, uint16_t id,
                           const load_report_t *report, int64_t now_ms);
void view_set_version(view_t *view, uint16_t id, const char *version);
void view_add_request(view_t *view, uint16_t id, double tokens);
void view_record_first_token(view_t *view, uint16_t id, double tokens,
                             double expected_ms, double observed_ms);
void view_remove_request(view_t *view, uint16_t id, bool started,
                         double tokens);
void view_record_failure(view_t *view, uint16_t id, int64_t now_ms);
void view_record_success(view_t *view, uint16_t id);
void view_set_host_leaving(view_t *view, uint16_t id, bool leaving);
void view_set_last_event(view_t *view, uint16_t id, const char *incarnation,
                         uint64_t last_event);
double view_expected_wait_ms(const backend_state_t *state);
double view_prefill_rate(const backend_state_t *state);
size_t view_count(view_t *view);

/* ---- placement ---- */

typedef struct {
    const backend_t *backend;
    uint16_t id;
    char incarnation[CS_ID_LEN + 1];
    char version[CS_NAME_MAX];
    double wait_ms;      /* expected, before its prefill starts */
    double prefill_rate; /* tokens per second */
    int running;
    uint32_t cached_tokens;     /* prompt tokens believed to be in its cache */
    uint64_t rendezvous_weight; /* the highest marks the preferred server */
    bool same_dc;
} candidate_t;

typedef struct {
    const prefix_t *prefix;
    objective_t objective;
    uint64_t placement_count; /* placements made so far by this daemon */
} place_query_t;

typedef struct policy {
    const char *name;
    const char *about;
    /* Returns the index of the chosen candidate.  The count is at least 1. */
    size_t (*choose)(const candidate_t *candidates, size_t count,
                     const place_query_t *query);
    CK_SLIST_ENTRY(policy) entry;
} policy_t;

void policy_register(policy_t *policy);
const policy_t *policy_find(const char *name);
const policy_t *policy_next(const policy_t *policy);

typedef struct {
    const config_t *config;
    view_t *view;
    cache_map_t *cache;
    const char *dc;
    int64_t now_ms;          /* monotonic */
    int64_t wall_ms;         /* for maintenance windows */
    const char *excluded[4]; /* backend servers already tried, or NULL */
} place_context_t;

size_t place_list_candidates(const place_context_t *context,
                             const char *serves, const prefix_t *prefix,
                             const char *version, candidate_t *out,
                             size_t max);
double place_prefill_ms(const candidate_t *candidate, const prefix_t *prefix);
uint64_t place_rendezvous_weight(uint64_t key, const char *name);

/* ---- fair queue in front of a backend server ---- */

typedef struct sched_item {
    CK_STAILQ_ENTRY(sched_item) entry;
    char workspace[CS_NAME_MAX];
    int share;               /* weight of the workspace */
    double cost;             /* tokens */
    int64_t deadline_ms;     /* monotonic */
    int64_t placed_ms;       /* when its server was last chosen; monotonic */
    bool first_of_workspace; /* its workspace had nothing queued at arrival */
    void *owner;
} sched_item_t;

typedef struct sched sched_t;

typedef struct {
    size_t total_max; /* limit of waiting items of all workspaces */
} sched_opts_t;

sched_t *sched_new(const sched_opts_t *opts);
void sched_free(sched_t *sched);
bool sched_push(sched_t *sched, sched_item_t *item, sched_item_t **evicted);
sched_item_t *sched_pop(sched_t *sched);
sched_item_t *sched_take_stale(sched_t *sched, int64_t before_ms);
void sched_put_back(sched_t *sched, sched_item_t *item);
sched_item_t *sched_take_expired(sched_t *sched, int64_t now_ms);
size_t sched_waiting_count(sched_t *sched);
double sched_waiting_cost(sched_t *sched);
int sched_retry_after_s(sched_t *sched, double tokens_per_s);

/* ---- retry budget ---- */

typedef struct {
    uint64_t thousandths; /* retries left, in 1/1000; changed atomically */
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget);
void retry_budget_earn(retry_budget_t *budget);
bool retry_budget_try_spend(retry_budget_t *budget);

/* ---- resume tokens ---- */

/* Identifies the stream that a caller resumes. */
typedef struct {
    char workspace[CS_NAME_MAX];
    char backend[CS_NAME_MAX];
    char incarnation[CS_ID_LEN + 1];
    char stream[CS_ID_LEN + 1];
    char version[CS_NAME_MAX];
    uint64_t prompt_hash; /* of the prompt that the stream answers */
} resume_t;

#define RESUME_TOKEN_MAX 600

void resume_token_sign(const resume_t *resume, const unsigned char *secret,
                       char out[RESUME_TOKEN_MAX]);
int resume_token_verify(resume_t *resume, const unsigned char *secret,
                        const char *text, uint32_t *offset, err_t *err);
void cache_salt_derive(const unsigned char *secret, const char *workspace,
                       const char *model, char out[CS_ID_LEN + 1]);

/* ---- membership ---- */

typedef enum { MEMBER_SERVING, MEMBER_LEAVING } member_intent_t;
typedef enum { MEMBER_ALIVE, MEMBER_SUSPECT, MEMBER_DEAD } member_health_t;

typedef struct {
    char name[CS_NAME_MAX];
    char dc[CS_NAME_MAX];
    char peer_addr[CS_ADDR_MAX];
    char http_addr[CS_ADDR_MAX];
    uint64_t incarnation; /* of the process; the highest one is current */
    uint64_t version; /* of this record; only the member itself raises it */
    member_intent_t intent;
    member_health_t health;
    int64_t config_generation; /* last known generation of its configuration */
    int64_t updated_ms; /* when this daemon last set its record or health */
} member_t;

#define MEMBER_RECORDS_MAX 12
#define MEMBER_OUTBOX_MAX 48

/* PING requests an ACK; PING_REQ requests that a third member ping a target
 * and relay its ACK; SYNC only carries records. */
typedef enum {
    MEMBER_PING = 1,
    MEMBER_ACK,
    MEMBER_PING_REQ,
    MEMBER_SYNC
} member_message_kind_t;

typedef struct {
    member_message_kind_t kind;
    uint64_t sequence;
    char target[CS_NAME_MAX];             /* of PING_REQ */
    member_t records[MEMBER_RECORDS_MAX]; /* the first is the sender's own */
    size_t count;
} member_message_t;

/* Messages to send, each with its address. */
typedef struct {
    member_message_t messages[MEMBER_OUTBOX_MAX];
    char addrs[MEMBER_OUTBOX_MAX][CS_ADDR_MAX];
    size_t count;
} member_outbox_t;

/* A duty is a named task that one live member, or the few that rank highest in
 * rendezvous hashing of its name, performs for all. */
typedef struct members members_t;

members_t *members_new(const member_t *self, uint64_t seed);
void members_free(members_t *members);
void members_add_seed(members_t *members, const char *peer);
void members_tick(members_t *members, int64_t now_ms, int64_t generation,
                  member_intent_t intent, member_outbox_t *out);
void members_receive(members_t *members, const member_message_t *message,
                     int64_t now_ms, member_outbox_t *out);
size_t members_list(members_t *members, member_t *out, size_t max);
bool members_has_duty(members_t *members, const char *duty);
size_t members_duty_rank(members_t *members, const char *duty);
size_t members_list_duty_owners(members_t *members, const char *duty,
                                member_t *out, size_t max);
size_t members_live_count(members_t *members);
int64_t members_newest_generation(members_t *members, char peer[CS_ADDR_MAX]);
int members_tick_interval_ms(void);

#endif
