#ifndef CELERYSPOOL_LEASE_H
#define CELERYSPOOL_LEASE_H

/* A lease that is one object of the platform's store, with a fencing number.
 * No I/O: what the store answered goes in, what to ask it comes out.  Times
 * are of a clock that also counts while the host is suspended. */

#include "../kernel/base.h"

#define LEASE_HOLDER_MAX 160

typedef enum {
    LEASE_IDLE,   /* nothing to ask now */
    LEASE_READ,   /* see who holds it */
    LEASE_CREATE, /* there is no object yet */
    LEASE_WRITE   /* take or renew, if the revision still is the one known */
} lease_step_t;

/* The object as the store has it. */
typedef struct {
    int64_t revision;
    const char *holder; /* empty when it was given back */
    int64_t fence;
    int64_t writes; /* the holder's count of its writes, this one included */
} lease_record_t;

typedef struct {
    char self[LEASE_HOLDER_MAX];
    int64_t duration_ms;

    /* The object as it was last seen. */
    bool known;
    bool absent;
    int64_t revision;
    int64_t fence;
    char holder[LEASE_HOLDER_MAX];
    int64_t unchanged_since_ms; /* since when it has been seen unchanged */

    int64_t takeover_delay_ms; /* that it leaves others to take a free lease */
    int64_t read_sent_ms;      /* when it was last asked for */
    int64_t renewed_ms;    /* when the last good write was sent; 0 for none */
    int64_t write_sent_ms; /* when the write under way was sent */
    int64_t backoff_until_ms; /* nothing is asked before, behind a failure */
    int64_t requested_fence;  /* that the last write sets */
    int64_t writes;           /* so far; in each, so that no two are equal */
    bool outcome_unknown;     /* a write whose answer did not come */
    bool releasing;           /* it is to be given back */
} lease_t;

void lease_init(lease_t *lease, const char *self, int64_t span_ms);
lease_step_t lease_next_step(const lease_t *lease, int64_t now_ms);
void lease_set_rank(lease_t *lease, size_t rank);
void lease_call_failed(lease_t *lease, int64_t now_ms);
void lease_step_sent(lease_t *lease, lease_step_t step, int64_t now_ms);
void lease_observe(lease_t *lease, const lease_record_t *view, int64_t now_ms);
void lease_observe_absent(lease_t *lease);
void lease_set_outcome_unknown(lease_t *lease);
void lease_release(lease_t *lease);
const char *lease_requested_holder(const lease_t *lease);
bool lease_is_held(const lease_t *lease, int64_t now_ms);

#endif
