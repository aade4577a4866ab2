#ifndef CELERYSPOOL_RETRY_RULE_H
#define CELERYSPOOL_RETRY_RULE_H

/* What a request comes to when a send of it has failed.  No I/O. */

#include "relay-config.h"

/* What is known of a send that did not bring a good answer. */
typedef enum {
    FATE_UNSENT,  /* nothing has left this host */
    FATE_REFUSED, /* the server says that it did not and will not run it */
    FATE_UNKNOWN, /* it may have run */
    FATE_FAILED   /* it ran, and a whole answer tells that it failed */
} send_fate_t;

typedef struct {
    route_kind_t kind;
    bool resumable;
    int attempts;    /* servers that may run it */
    int ran;         /* sends so far that may have run, this one included */
    int sends;       /* sends so far, this one included */
    bool begun;      /* the caller has a part of the answer */
    bool share_left; /* one more retry is within the host's share */
    int64_t left_ms; /* until the request's time is up */
} retry_ask_t;

typedef enum {
    RETRY_AGAIN,  /* send it to another server */
    RETRY_WAIT,   /* the same, but in a moment */
    RETRY_REFUSE, /* tell the caller that it has not run, and when to come */
    RETRY_FAIL,   /* tell the caller that it failed, and promise nothing */
    RETRY_PASS,   /* give the caller the server's own failure */
    RETRY_BREAK   /* break the answer off, so that it does not look whole */
} retry_verdict_t;

bool retry_may_repeat(route_kind_t kind, bool resumable);
const char *send_fate_word(send_fate_t fate);
const char *retry_verdict_word(retry_verdict_t verdict);
retry_verdict_t retry_decide(const retry_ask_t *ask, send_fate_t fate);

#endif
