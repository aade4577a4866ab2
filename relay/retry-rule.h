#ifndef CELERYSPOOL_RETRY_RULE_H
#define CELERYSPOOL_RETRY_RULE_H

/* What a request comes to when a send of it has failed.  No I/O. */

#include "relay-config.h"

/* What is known of a send that did not bring a good answer. */
typedef enum {
    SEND_UNSENT,   /* nothing has left this host */
    SEND_REJECTED, /* the server says that it did not and will not run it */
    SEND_UNKNOWN,  /* it may have run */
    SEND_FAILED    /* it ran, and a whole answer tells that it failed */
} send_result_t;

typedef struct {
    route_kind_t kind;
    bool resumable;
    int attempts_max; /* servers that may run it */
    int ran;          /* sends so far that may have run, this one included */
    int sends;        /* sends so far, this one included */
    bool answer_started;  /* the caller has a part of the answer */
    bool within_share;    /* one more retry is within the host's share */
    int64_t remaining_ms; /* until the request's time is up */
} retry_state_t;

typedef enum {
    RETRY_NOW,    /* send it to another server */
    RETRY_LATER,  /* the same, but in a moment */
    RETRY_REJECT, /* tell the caller that it has not run, and when to come */
    RETRY_FAIL,   /* tell the caller that it failed, and promise nothing */
    RETRY_PASS,   /* give the caller the server's own failure */
    RETRY_ABORT   /* break the answer off, so that it does not look whole */
} retry_decision_t;

bool retry_can_rerun(route_kind_t kind, bool resumable);
const char *send_result_name(send_result_t fate);
const char *retry_decision_name(retry_decision_t verdict);
retry_decision_t retry_decide(const retry_state_t *ask, send_result_t fate);

#endif
