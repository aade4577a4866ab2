#ifndef CELERYSPOOL_SERVERS_H
#define CELERYSPOOL_SERVERS_H

/* The backend servers that the platform lists, and what this host has observed
 * of them.  No I/O; times are passed in. */

#include "../balance/decode-speed.h"
#include "../balance/engine-speed.h"
#include "../balance/prefill-load.h"
#include "../balance/priority-band.h"
#include "../kernel/base.h"
#include "cached-parts.h"
#include "origin-proof.h"
#include "server-brittle.h"
#include "server-queue.h"
#include "server-index.h"
#include "server-limit.h"
#include "server-rest.h"
#include "stream-origins.h"

#include <ck_queue.h>

/* Numbers of holders in the cache map.  The last 8 belong to kv stores, see
 * cache-source.h. */
#define HOLDER_NUMBERS_MAX 1024
#define SERVER_NUMBERS_MAX (HOLDER_NUMBERS_MAX - 8)
#define SERVER_MODEL_MAX 64

/* Prefill rate of an engine, including the decode steps in between, where the
 * learned one is not used.  server_update_slowness measures by how much each
 * server deviates from it. */
#define SERVER_PREFILL_TOKENS_PER_MS 48.0

/* A server's entry on the platform, decoded by platform/server-read.c. */
typedef struct {
    char id[CS_NAME_MAX];
    char service[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
    char dc[CS_NAME_MAX];
    int slots;
    bool draining;
    bool engine;                  /* it serves a model */
    char model[SERVER_MODEL_MAX]; /* engines only */
    int64_t weights;              /* version of the model's weights */
    int64_t started_ms;           /* wall-clock start time; 0 if unknown */
    /* Version of the server's software: a hash, which alone of all is equal
     * for servers of one version.  One that names no version has a hash of
     * its own, other after each start. */
    uint64_t software;
} server_entry_t;

/* Why an attempt failed, for the circuit breaker. */
typedef enum {
    SERVER_FAULT_CONNECT, /* connect failed or timed out */
    SERVER_FAULT_BROKEN,  /* reset, truncated or malformed answer */
    SERVER_FAULT_ERROR,   /* the server answered with an error */
    SERVER_FAULT_TIMEOUT  /* no answer before the timeout */
} server_fault_t;

/* Speed of a service's servers. */
typedef struct service_speed {
    CK_SLIST_ENTRY(service_speed) entry;
    char service[CS_NAME_MAX];
    char model[SERVER_MODEL_MAX]; /* empty for plain servers */
    engine_speed_t engine;
    decode_speed_t decode;
    /* Smoothed time that a plain server takes for a request at its usual pace,
     * ms; 0 if unknown. */
    double plain_work_ms;
    bool
        reports_pace; /* one of its servers has reported a pace to this host */
    prefill_service_t prefill;
} service_speed_t;

#define SERVER_PEERS_MAX 384

/* A host's load at a server, as last announced by that host. */
typedef struct {
    uint64_t host_id; /* the host's address and port; 0 for none */
    int64_t received_ms;
    double prefill_tokens; /* not prefilled yet */
    int running;
    /* Total of tokens that no other request shares, modulo 2^32. */
    uint32_t unshared_tokens;
    /* Total of tokens sent for prefill, modulo 2^32; 0 if not reported. */
    uint32_t sent_tokens;
} server_peer_load_t;

typedef struct server {
    CK_LIST_ENTRY(server) entry;
    CK_LIST_ENTRY(server) index_entry;  /* in a chain of the index */
    struct servers *table;              /* that it belongs to */
    server_queue_entry_t signal_change; /* see servers_t */
    server_queue_entry_t stated_signal;
    server_queue_entry_t speed_change;
    server_queue_entry_t load_change;
    server_queue_entry_t probe_candidate;
    server_entry_t info;
    int64_t revision; /* of the platform's entry */
    bool updating;    /* this host is changing the server's weights */
    int64_t order_not_before_ms; /* no new weights order before this time */
    /* No new requests before this time: the server loads weights. */
    int64_t loading_until_ms;
    int64_t used_weights;    /* on which this host last sent a request */
    int64_t used_weights_ms; /* when it first sent one on them */
    /* Loads at the server, where requests keep their order behind these, and
     * the start and weights up to which they are known. */
    priority_band_t priority_band;
    bool loads_tracked;
    int64_t tracked_start_ms;
    int64_t tracked_weights;
    uint32_t id_hash; /* of the id; identifies the server to other hosts */
    uint16_t number;  /* in the cache map; reused after removal */
    /* When the entry disappeared from the platform; 0 if it is listed. */
    int64_t missing_since_ms;
    bool removed;       /* no longer listed; freed when no request uses it */
    bool address_taken; /* another server answers at this address */
    unsigned list_generation; /* of the last list that had this server */
    int own_running;          /* requests of this host at the server */
    int own_stopped; /* of these, whose answers are not read on for now */
    double own_prefill_tokens;       /* of this host, not prefilled yet */
    double announced_prefill_tokens; /* own_prefill_tokens last announced */
    int announced_running;           /* own_running last announced */
    int64_t announced_ms;            /* time of the last announcement */
    uint32_t announced_sent_tokens;  /* sent_tokens last announced */
    /* Total of tokens sent for prefill by this host, modulo 2^32. */
    uint32_t sent_tokens;
    /* Tokens of all hosts, prefilled at a share of the server's speed; see
     * server_update_backlog. */
    double backlog_tokens;
    int64_t backlog_updated_ms;
    cached_parts_t *cached_parts; /* estimated contents of the prefix cache */
    /* Total of tokens of this host's requests that no other request shares,
     * modulo 2^32. */
    uint32_t unshared_tokens;
    uint32_t announced_unshared_tokens; /* unshared_tokens last announced */
    server_peer_load_t peer_loads[SERVER_PEERS_MAX];
    size_t peer_load_count; /* used elements of peer_loads */
    /* Sum of prefill_tokens of peer_loads; expired ones are taken out from
     * time to time. */
    double peer_prefill_tokens;
    prefill_load_t prefill_load; /* of all hosts */
    bool prefill_paused;         /* it is left out: the server is silent */
    double logged_load_ratio;    /* of prefill_load; 0 if it was not logged */
    int reported_running;        /* from the server's own load report */
    int reported_waiting;        /* from the server's own load report */
    int64_t reported_ms; /* time of the last load report; 0 for never */
    int reported_slots;  /* from the server's own load report; 0 unknown */
    /* When peers were last notified of the server's load report. */
    int64_t load_announced_ms;
    /* Smoothed time that a request occupies a slot, from its first token on;
     * 0 if unknown. */
    double slot_time_ms;
    size_t longest_answer; /* of the complete ones that are buffered, bytes */
    int64_t oversized_until_ms; /* its answers are suspected to have no end */
    unsigned consecutive_faults;
    int64_t circuit_open_until_ms;
    int64_t full_until_ms; /* counts as full after a rejection until then */
    /* When it rejected this host's last request; 0 if it took that one. */
    int64_t rejected_ms;
    double error_share;   /* smoothed share of error answers */
    double slowness;      /* smoothed ratio of observed to expected time */
    server_speed_t speed; /* its ratio to the service's mean, and its pace */
    service_speed_t *service_speed; /* of its service; NULL if not listed */
    double logged_ratio;            /* of its speed; 0 if it was not logged */
    /* The last change of its ratio came from another host. */
    bool speed_from_peer;
    bool learned_speed;  /* the learned speed applies without a pace too */
    bool by_priority;    /* its service admits requests by priority */
    int64_t probed_ms;   /* time of the last probe */
    int64_t answered_ms; /* when data last arrived from the server */
    /* When the server last answered this host or a host that reported it. */
    int64_t confirmed_alive_ms;
    int64_t busy_since_ms;    /* when own_running last rose from 0 */
    server_limit_t limit;     /* that it states for all hosts together */
    server_rest_t rest;       /* that it asks of this host */
    server_brittle_t brittle; /* whether it bears few rejections */
    bool leaving;             /* it has said so since its start */
    bool leaving_unannounced; /* other hosts have to be notified of that */
    /* When another host last said that the server does not answer it. */
    int64_t silent_notice_ms;
    bool probing;      /* a probe is in flight */
    bool unresponsive; /* the last probe got no answer */
    /* It may have started again, with other software, since its entry. */
    bool software_in_doubt;
    int64_t reported_start_ms; /* latest start that its reports showed */
    process_report_t report;   /* the latest one */
    bool report_pending;       /* requested for the origins of streams */
    bool report_failed;        /* the last one requested got no answer */
} server_t;

typedef CK_LIST_HEAD(server_list, server) server_list_t;

typedef struct servers {
    server_list_t list;
    server_index_t index;
    /* Servers with a limit, brittleness or leaving that is unannounced. */
    server_queue_t signal_changes;
    /* Servers that state a limit or that they are brittle. */
    server_queue_t stated_signals;
    /* Servers with an unannounced speed, where the learned speed applies. */
    server_queue_t speed_changes;
    /* Servers whose load by this host may have to be announced. */
    server_queue_t load_changes;
    /* Servers that may have to be probed: see server_may_need_probe. */
    server_queue_t probe_candidates;
    size_t count;
    size_t removed_count;     /* of these, that are no longer listed */
    bool any_missing;         /* a listed one may have missing_since_ms set */
    bool software_changed;    /* software_listed_update has to be called */
    unsigned list_generation; /* number of complete lists read */
    uint64_t seed; /* of this host's random decisions about servers */
    server_t *numbered[SERVER_NUMBERS_MAX]; /* NULL for a free number */
    CK_SLIST_HEAD(service_speeds, service_speed) speeds; /* by service */
} servers_t;

uint64_t software_from_name(const char *version);
uint64_t software_of_unnamed(const server_entry_t *entry);
int64_t server_process_start_ms(const server_t *server);
uint64_t server_software_of_start(const server_t *server, int64_t started_ms);
uint64_t servers_name_software(const servers_t *servers, uint64_t software);
servers_t *servers_new(void);
void servers_free(servers_t *servers);
server_t *servers_find(servers_t *servers, const char *id);
server_t *servers_find_by_number(const servers_t *servers, uint16_t number);
server_t *servers_find_by_id_hash(const servers_t *servers, uint32_t key);
server_t *servers_put(servers_t *servers, const server_entry_t *entry,
                      int64_t now_ms);
void servers_mark_missing(servers_t *servers, server_t *server,
                          int64_t now_ms);
void servers_mark_removed(servers_t *servers, server_t *server);
void servers_remove(servers_t *servers, server_t *server);
void servers_sweep(servers_t *servers);
void server_add_request(server_t *server, double prefill_tokens,
                        int64_t now_ms);
void server_subtract_prefill(server_t *server, double tokens, int64_t now_ms);
void server_remove_request(server_t *server);
void server_set_load(server_t *server, int running, int waiting,
                     int64_t now_ms);
bool server_has_recent_load(const server_t *server, int64_t now_ms);
int server_count_in_flight(const server_t *server, int64_t now_ms);
bool server_should_announce_load(server_t *server, int64_t now_ms);
double server_slot_wait_ms(const server_t *server, int64_t now_ms);
void server_observe_slot_time(server_t *server, double ms);
void server_record_fault(server_t *server, server_fault_t fault,
                         int64_t now_ms);
void server_record_success(server_t *server);
void server_note_answer_length(server_t *server, size_t len);
bool server_is_reachable(const server_t *server, int64_t now_ms);
void server_forget_faults(server_t *server);
bool server_is_usable(const server_t *server, int64_t now_ms);
const char *server_unusable_reason(const server_t *server, int64_t now_ms);
const char *server_limiting_reason(const server_t *server, int64_t now_ms);
void server_add_unshared(server_t *server, uint32_t tokens);
void server_apply_peer_load(server_t *server,
                            const server_peer_load_t *report);
int server_count_running(const server_t *server, int64_t now_ms);
double server_backlog(const server_t *server, int64_t now_ms);
double server_update_backlog(server_t *server, int64_t now_ms);
double server_sum_peer_prefill(const server_t *server, int64_t now_ms);
void server_update_slowness(server_t *server, double expected_ms,
                            double observed_ms);
bool server_uses_learned_speed(const server_t *server);
bool server_shares_silence(const server_t *server);
void server_apply_silence(server_t *server, int64_t now_ms);
bool server_is_suspected(const server_t *server, int64_t now_ms);
double server_prefill_rate_max(const server_t *server);
double server_first_token_ms(const server_t *server);
void server_observe_decode(server_t *server, int in_flight, double tokens,
                           double ms);
double server_decode_extra_ms(const server_t *server, double tokens,
                              int64_t now_ms);
bool server_is_mostly_idle(const server_t *server, int64_t now_ms);
double server_prefill_rate(const server_t *server, int64_t now_ms);
double server_mean_prefill_rate(const server_t *server);
double server_plain_extra_ms(const server_t *server, int64_t now_ms);
void server_observe_prefill(server_t *server, double tokens, double ms,
                            int64_t now_ms);
void server_observe_plain_work(server_t *server, double ms, int64_t now_ms);
void server_state_pace(server_t *server, int percent, int64_t now_ms);
void server_apply_speed(server_t *server, const speed_notice_t *notice);
void servers_log_speeds(servers_t *servers);
void servers_centre_speeds(servers_t *servers);
void server_track_prefill(server_t *server, int64_t now_ms);
void server_count_prefill(server_t *server, double tokens);
void server_count_prompt(server_t *server, double tokens);
void server_cancel_prefill(server_t *server, double tokens, int64_t sent_ms,
                           int64_t now_ms);
void server_expire_peer_prefill(server_t *server, int64_t now_ms);
double server_work_ratio(const server_t *server);
double server_delay_cost_ms(const server_t *server, double prefill_ms,
                            int64_t now_ms);
void servers_compare_prefill(servers_t *servers, int64_t now_ms);
bool server_needs_probe(const server_t *server, int64_t now_ms);
bool server_may_need_probe(const server_t *server);
void server_schedule_probe(server_t *server);
void server_mark_unresponsive(server_t *server);
void server_doubt_software(server_t *server);
void server_confirm_alive(server_t *server, int64_t now_ms);
bool server_update_weights(server_t *server, int64_t weights,
                           int64_t started_ms);
void server_keep_weights(const server_t *server, server_entry_t *entry);
bool server_is_fetch_source(const server_t *server, int64_t now_ms);
bool server_set_leaving(server_t *server);
bool server_states_signals(const server_t *server);
void server_schedule_signals(server_t *server);
server_t *servers_take_signals(servers_t *servers);
void server_schedule_speed(server_t *server);
server_t *servers_take_speed(servers_t *servers);
void server_schedule_load(server_t *server);
bool server_allows_request(const server_t *server, int64_t now_ms);
int64_t server_use_weights(server_t *server, int64_t now_ms);
int64_t server_request_wait_ms(const server_t *server, int64_t now_ms);
void server_take_request(server_t *server, int64_t now_ms);
uint32_t server_incarnation(const server_t *server);
void server_log_brittle(const server_t *server, const char *source);
void server_log_limit(const server_t *server, const char *source);
void server_confirm_software(server_t *server, int64_t started_ms);
void server_stop_reading(server_t *server);
void server_resume_reading(server_t *server, int64_t now_ms);
void server_note_answer(server_t *server, int64_t now_ms);

#endif
