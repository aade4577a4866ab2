#ifndef CELERYSPOOL_REQUEST_H
#define CELERYSPOOL_REQUEST_H

/* A caller's request, from its receipt to the end of its answer. */

#include "helpers.h"
#include "prompt.h"
#include "relay.h"
#include "retry-rule.h"

#define REQUEST_ID_MAX 96
#define REQUEST_TRIED_MAX 5
/* Requests of a queue that are tried without success in one round: less urgent
 * ones behind them find room hardly more often.  Those of the most urgent
 * class need no room, and a workspace's priority may put others before them.
 */
#define REQUEST_QUEUE_FAILURES_MAX 3
/* Retry-After if neither this host nor those that it asked reach a server, ms.
 */
#define RETRY_AFTER_UNREACHED_MS 500

typedef enum {
    REQUEST_WAITING, /* no server can take it at the moment */
    REQUEST_SENT,
    REQUEST_STREAMING /* the caller has received part of the answer */
} request_phase_t;

/* How the answer that is being read is handled. */
typedef enum {
    ANSWER_NONE,     /* its head has not been received */
    ANSWER_BUFFER,   /* passed to the caller when it is complete */
    ANSWER_STREAM,   /* passed to the caller event by event */
    ANSWER_FAILED,   /* an error response with a signature header */
    ANSWER_REJECTED, /* the server has not run the request */
    ANSWER_INVALID   /* must not be passed on */
} answer_class_t;

/* Whose id an answer carries. */
typedef enum { ANSWER_ID_OWN, ANSWER_ID_OTHER, ANSWER_ID_NONE } answer_id_t;

/* What a host that does not take a forwarded request refuses. */
typedef enum {
    REFUSED_ALL,     /* it failed, reaches no server or cannot serve */
    REFUSED_SERVICE, /* it reaches no server of the request's service */
    REFUSED_REQUEST  /* its configuration does not allow this request */
} refusal_scope_t;

/* Why it does not take it, in its answer. */
#define REASON_UNREACHED "unreached"
#define REASON_SERVICE_UNREACHED "service-unreached"
#define REASON_NOT_LET_IN "not-let-in"
#define REASON_NOT_READY "not-ready"
#define REASON_NO_ROOM "no-room"

/* What could take a request whose server does not answer. */
typedef enum {
    ALTERNATIVE_NONE,
    ALTERNATIVE_DOUBTFUL, /* only servers that may reject it */
    ALTERNATIVE_LIKELY
} alternative_t;

/* Evidence of which process of a server began a stream, see origin-proof.h. */
typedef struct {
    bool pending;            /* it is not known yet */
    uint32_t server;         /* id_hash of the server of the attempt */
    int64_t entry_start_ms;  /* latest known start of the server at the send */
    int64_t opened_us;       /* when the connection was made */
    int64_t listed_start_ms; /* of a process that reports to run it; or 0 */
    unsigned reports;        /* requested for this attempt */
} proof_state_t;

struct request {
    CK_LIST_ENTRY(request) entry;
    relay_t *relay;
    bool explained; /* never sent, has no caller: see request-explain.h */
    caller_t *caller;
    struct caller_hold *hold; /* what is held for the caller */
    /* Head and body belong to the caller's connection, which keeps them until
     * the request is answered. */
    const http_head_t *head;
    const buf_t *body;
    relay_config_t *config;
    const route_t *route;
    const workspace_entry_t *workspace; /* NULL if no access key is required */
    char id[REQUEST_ID_MAX];
    char service[CS_NAME_MAX];
    bool engine;     /* the service runs a model */
    unsigned stride; /* output tokens in an event of the service */
    /* NULL unless the service's engines admit requests by priority. */
    service_state_t *service_state;
    unsigned priority_class;
    bool most_urgent; /* no class of the service is more urgent */
    bool raised;      /* sent with the priority of the most urgent class */
    bool counted_in_flight;   /* in service_state */
    int64_t waits_since_ms;   /* for room at an engine; 0 if it does not */
    int64_t waited_before_ms; /* since the caller's first attempt, if known */
    bool found_no_room;       /* at least once */
    wait_item_t wait_item;    /* in the queue of service_state */
    double reserve;           /* slots that it leaves to more urgent ones */
    prompt_t prompt;
    cost_query_t cost_query;
    fatal_request_t fatal; /* the shared parts of the prompt */
    bool tries_part;       /* it is the trial of a blocked part */
    uint64_t affinity_key; /* of the prompt, for rendezvous hashing */

    int64_t received_ms;
    int64_t received_us; /* received_ms in us, to measure overhead_us */
    int64_t overhead_us; /* time from receipt to the first send */
    meter_outcome_t outcome;
    int64_t deadline_ms;     /* the caller's deadline or the route's timeout */
    double expected_wait_ms; /* wait at the chosen server */
    double expected_output;  /* tokens, at the last placement */
    double expected_queue_ms;   /* the same without what its speed adds */
    double expected_prefill_ms; /* prefill of this prompt after that wait */
    uint32_t expected_prefill_tokens; /* behind expected_prefill_ms */
    double server_slowness;        /* of the server at the time of the send */
    int64_t not_before_ms;         /* no further attempt before this time */
    int64_t placement_deadline_ms; /* a server must be available by then */
    struct event *timer;           /* expires at deadline_ms */
    request_phase_t phase;

    /* The current attempt. */
    exchange_t *exchange;
    int in_flight_at_send;  /* requests at the server when it was sent */
    bool server_was_idle;   /* mostly, when the request was sent */
    bool server_was_sound;  /* it had no faults when the request was sent */
    bool connection_reused; /* its connection was open before */
    uint64_t connection;    /* serial of that connection */
    server_t *server;
    int64_t weights_version; /* that an engine must answer with */
    int64_t sent_ms;
    int64_t answer_started_ms; /* first event or whole answer of this server */
    prefix_t prefix;
    double quota_charge;    /* charged to the workspace's limit */
    double prefill_tokens;  /* prompt tokens still to be prefilled */
    uint32_t cached_tokens; /* prompt tokens believed to be cached */
    bool saves_to_kv_store; /* the server is asked to save the prompt there */
    char fetch_addr[CS_ADDR_MAX]; /* it is asked to fetch from; may be empty */
    int64_t newest_weights;       /* known when it was sent */
    int64_t servers_age_ms; /* age of the list of servers when it was sent */
    answer_class_t answer;
    int status;
    buf_t headers; /* of the answer, as passed to the caller */
    buf_t answer_body;
    stream_t stream;
    bool read_stopped; /* reading the answer was stopped at times */

    /* A stream goes on only at the software version that began it. */
    uint64_t software;         /* SOFTWARE_ANY before the first event */
    uint64_t origin_service;   /* where it began: hash of its name */
    uint64_t current_software; /* of the server of the current attempt */
    software_check_t *software_check; /* before it goes on; NULL for none */
    proof_state_t proof;
    int64_t check_started_ms;
    bool connection_checked; /* an idle one leads to the checked process */
    stream_id_t resumes; /* the stream that is taken up; 0 if none is named */
    bool origin_pending; /* its origin was asked for */
    bool origin_awaits_peers;  /* other hosts are not known yet */
    bool origin_peers_done;    /* of other hosts, and they do not know it */
    bool origin_confirming;    /* the store is asked which servers and software
                                  versions there are */
    int64_t origin_asked_ms;   /* when that was */
    int64_t origin_expires_ms; /* the caller does not return after this */
    stream_query_t origin_query;

    /* The host that it is forwarded to instead of a server; empty if none. */
    char helper[CS_ADDR_MAX];
    helpers_tried_t helpers_tried;
    int64_t helper_retry_after_ms; /* of its answer */
    refusal_scope_t refusal_scope; /* if it does not take the request */
    bool from_host;           /* another host has forwarded it to this one */
    int runs_before;          /* possible_runs when it was forwarded */
    bool first_host_can_move; /* that host could send it once more */
    bool shares_counted; /* as a request in the retry shares, here or there */
    bool shares_counted_before; /* the same before it was forwarded */

    int possible_runs;                 /* attempts that ran or may have run */
    int sends;                         /* attempts so far */
    uint16_t tried[REQUEST_TRIED_MAX]; /* numbers of the servers tried */
    unsigned tried_count;
    uint32_t last_tried;     /* id_hash of the last of them; 0 for none */
    int64_t first_answer_ms; /* first event or answer of any server */
};

/* Sends or rejects a waiting request; false if it must keep waiting. */
bool request_place(request_t *request);
int request_own_runs(const request_t *request);
bool request_can_move(const request_t *request);
int request_silence_ms(const request_t *request);
bool request_needs_new_connection(const request_t *request);
void request_send(request_t *request, server_t *server);
void request_release_server(request_t *request);
void request_handle_failed_attempt(request_t *request, send_result_t result);
void request_end(request_t *request, const char *outcome);
void request_deliver(request_t *request, meter_outcome_t outcome,
                     const char *outcome_name);
void request_reject(request_t *request, const char *reason,
                    int64_t retry_after_ms);
quota_decision_t request_charge_quota(request_t *request);
void request_recharge_quota(request_t *request);
void request_refund_quota(request_t *request);
void request_fail(request_t *request, int status, const char *reason);
void request_cache_salt(const request_t *request, int64_t weights,
                        char out[CS_ID_LEN + 1]);
bool request_may_use_kv_stores(const request_t *request,
                               const server_t *server);
answer_id_t request_answer_id(const request_t *request,
                              const http_head_t *head);
bool request_uses_body(const request_t *request);
void request_copy_answer_headers(request_t *request, const http_head_t *head);
void request_pass_events(request_t *request, const char *data, size_t len);
void request_finish_stream(request_t *request);
void request_begin_answer(request_t *request);
void request_take_body(request_t *request, const char *data, size_t len);
void request_add_line(const request_t *request, buf_t *out);
void request_add_caller_headers(const request_t *request, buf_t *out);
void request_end_head(const request_t *request, buf_t *out);
void request_build_head(request_t *request, server_t *server, buf_t *out);
void request_read_forwarded(request_t *request);
void request_add_last_tried(const request_t *request, buf_t *headers);
void request_note_tried(request_t *request, const server_t *server);
void request_reject_with_status(request_t *request, int status,
                                const char *reason, int64_t retry_after_ms);
bool request_forward(request_t *request);
bool request_may_forward(const request_t *request, int64_t now);
bool request_can_leave_helper(const request_t *request);
bool request_helper_is_lost(const request_t *request, int64_t now);
void request_release_helper(request_t *request);
void request_reject_unreached(request_t *request);
void request_list_parts(request_t *request);
void request_note_parts(request_t *request);
void request_note_answered(const request_t *request);
void request_note_lost(const request_t *request);
bool request_reject_if_fatal(request_t *request);
void request_note_quota(request_t *request);
void request_count_in_shares(request_t *request);
bool request_keeps_priority_order(const request_t *request);
int request_engine_priority(const request_t *request, server_t *server);
bool request_has_server(const request_t *request, int64_t now);
bool request_lacks_kept_connection(const request_t *request, int64_t now);
server_t *request_choose_server(request_t *request, int64_t now);
bool request_fits_version(const request_t *request, const server_t *server);
bool request_avoids_doubt(const request_t *request, const server_t *server);
bool request_avoids_unrecorded(const request_t *request,
                               const server_t *server);
void request_check_software(request_t *request, const server_t *server);
void request_wait_for_server(request_t *request);
bool request_can_use(const request_t *request, const server_t *server);
const workspace_entry_t *request_find_workspace(const relay_config_t *config,
                                                const http_head_t *head);
bool request_names_stream(const request_t *request);
bool request_resolve_origin(request_t *request);
void request_record_origin(const request_t *request);
void request_tick_origin(request_t *request, int64_t now);
void request_note_first_event(request_t *request);
void request_correct_origin(request_t *request, uint64_t software);
void request_begin_proof(request_t *request);
void request_continue_proof(request_t *request);
void requests_note_report(relay_t *relay, const server_t *server,
                          const server_report_t *report);
bool request_end_proof(request_t *request);
bool request_end_if_version_gone(request_t *request);
void request_select_service(request_t *request);
void request_set_service(request_t *request, const char *service);
void request_renew_placement_deadline(request_t *request);
alternative_t request_find_alternative(const request_t *request);
void request_set_admission(request_t *request);
void request_set_reserve(request_t *request, int64_t now);
void request_count_in_flight(request_t *request, bool in_flight);
admission_input_t request_admission_input(request_t *request,
                                          const server_t *server, int64_t now);
bool request_finds_room(request_t *request, const server_t *server,
                        int64_t now);
bool request_admit(request_t *request, server_t *server, int64_t now);
void request_note_caller_wait(request_t *request, int64_t stated_ms);
void request_note_engine_wait(const request_t *request, double first_ms);
void request_leave_queue(request_t *request, bool placed);
bool request_is_queued(const request_t *request);
bool request_must_queue(const request_t *request);
void request_prepare_wait(request_t *request, int64_t now);
void request_enqueue(request_t *request, int64_t now);
void request_record_signals(const request_t *request, const http_head_t *head);
void request_record_first_answer(request_t *request);

#endif
