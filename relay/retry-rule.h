#ifndef CELERYSPOOL_RETRY_RULE_H
#define CELERYSPOOL_RETRY_RULE_H

/* Decides whether a request is retried after a send has failed.  No I/O. */

#include "relay-config.h"

/* Result of a send that did not bring a successful answer. */
typedef enum {
    SEND_UNSENT,   /* nothing has left this host */
    SEND_REJECTED, /* the server states that it has not run and will not run */
    SEND_UNKNOWN,  /* it may have run */
    SEND_FAILED    /* it ran, and a complete answer reports a failure */
} send_result_t;

typedef struct {
    route_kind_t kind;
    bool resumable;
    int attempts_max;     /* maximum of possible_runs */
    int possible_runs;    /* sends that may have run, including this one */
    int sends;            /* all sends, including this one */
    bool answer_started;  /* part of the answer has been sent to the caller */
    bool within_share;    /* one more retry is within the host's share */
    int64_t remaining_ms; /* until the request times out */
} retry_state_t;

typedef enum {
    RETRY_NOW,    /* send it to another server */
    RETRY_LATER,  /* send it again after a delay */
    RETRY_REJECT, /* answer that it has not run, with a retry-after */
    RETRY_FAIL,   /* answer that it failed and may have run */
    RETRY_PASS,   /* pass the server's failure on to the caller */
    RETRY_ABORT   /* abort the answer, so that it does not look complete */
} retry_decision_t;

bool retry_can_rerun(route_kind_t kind, bool resumable);
const char *send_result_name(send_result_t result);
const char *retry_decision_name(retry_decision_t decision);
retry_decision_t retry_decide(const retry_state_t *state,
                              send_result_t result);

#endif
