#ifndef CELERYSPOOL_REQUEST_H
#define CELERYSPOOL_REQUEST_H

/* The life of one request, from its last byte read to its answer. */

#include "prompt.h"
#include "relay.h"
#include "retry-rule.h"

#define REQUEST_ID_MAX 96
#define REQUEST_TRIED_MAX 5

typedef enum {
    REQUEST_WAITING, /* no server can take it now */
    REQUEST_SENT,
    REQUEST_STREAMING /* the caller has a part of the answer */
} request_phase_t;

/* What is done with the answer that is being read. */
typedef enum {
    ANSWER_NONE,    /* no head yet */
    ANSWER_BUFFER,  /* the caller gets it when it is whole */
    ANSWER_STREAM,  /* the caller gets each event */
    ANSWER_FAILED,  /* whole and signed, but a failure of the server */
    ANSWER_REFUSED, /* the server has not run the request */
    ANSWER_BAD      /* nothing that may be passed on */
} answer_t;

struct request {
    CK_LIST_ENTRY(request) entry;
    relay_t *relay;
    caller_t *caller;
    const http_head_t *head; /* the caller's, as long as it waits */
    const buf_t *body;
    relay_config_t *config;
    const route_t *route;
    const workspace_entry_t *workspace; /* NULL on an open route */
    char id[REQUEST_ID_MAX];
    char service[CS_NAME_MAX];
    bool engine;
    prompt_t prompt;
    uint64_t home; /* of the prompt, among servers */

    int64_t came_ms;
    int64_t came_us;  /* the same, for what the router itself adds */
    int64_t added_us; /* until the first send had left */
    meter_outcome_t outcome;
    int64_t until_ms;       /* the caller's deadline or the route's timeout */
    double wait_ms;         /* expected at its server, when it was placed */
    double read_ms;         /* expected for its own prompt */
    double slowness;        /* of its server, when it was sent */
    int64_t not_before_ms;  /* it is not tried again before */
    int64_t waits_until_ms; /* for a server to be there at all */
    struct event *timer;
    request_phase_t phase;

    /* The send that is under way. */
    exchange_t *exchange;
    server_t *server;
    int64_t weights; /* that it is to be made with, of an engine */
    int64_t sent_ms;
    int64_t began_ms; /* its first event from this server was there */
    prefix_t prefix;
    double charged;  /* of its workspace's limit */
    double unread;   /* tokens of its prompt that the server must read */
    uint32_t cached; /* tokens that it need not read, as far as is known */
    bool saves;      /* it has the kv store take the prompt */
    answer_t answer;
    int status;
    buf_t headers; /* of the answer, as the caller gets them */
    buf_t answer_body;
    stream_t stream;
    bool moved; /* the server says that another is at its address */

    int ran;
    int sends;
    uint16_t tried[REQUEST_TRIED_MAX];
    unsigned tried_count;
    int64_t first_ms; /* when the first event or the answer was there */
};

/* Tries to send a waiting request; false if it must go on waiting. */
bool request_place(request_t *request);
void request_send(request_t *request, server_t *server);
void request_sent_over(request_t *request);
void request_failed(request_t *request, send_result_t fate);
void request_end(request_t *request, const char *outcome);
void request_deliver(request_t *request, meter_outcome_t outcome,
                     const char *word);
void request_refuse(request_t *request, const char *why, int64_t after_ms);
quota_decision_t request_ask_quota(request_t *request);
void request_charge_again(request_t *request);
void request_return_charge(request_t *request);
void request_fail(request_t *request, int status, const char *why);
void request_salt(const request_t *request, int64_t weights,
                  char out[CS_ID_LEN + 1]);
server_t *request_choose(request_t *request, int64_t now);
void request_first_answer(request_t *request);

#endif
