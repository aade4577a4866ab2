#ifndef CELERYSPOOL_LEASE_H
#define CELERYSPOOL_LEASE_H

/* A lease held in one object of the platform's store, with a fencing token.
 * No I/O: the caller sends the calls that lease_next_step returns, and passes
 * in the store's answers.  Times are of a clock that also counts while the
 * host is suspended. */

#include "../kernel/base.h"

#define LEASE_HOLDER_MAX 160

typedef enum {
    LEASE_IDLE,   /* nothing to send now */
    LEASE_READ,   /* read the object */
    LEASE_CREATE, /* create the object, which does not exist */
    LEASE_WRITE   /* take, renew or release it if its revision is unchanged */
} lease_step_t;

/* The lease object as read from the store. */
typedef struct {
    int64_t revision;
    const char *holder; /* empty when it was released */
    int64_t fence;
    int64_t writes; /* count of the holder's writes, including this one */
} lease_record_t;

typedef struct {
    char self[LEASE_HOLDER_MAX]; /* name of this process as a holder */
    int64_t duration_ms;

    /* The object as it was last read. */
    bool known;  /* it has been read */
    bool absent; /* it does not exist */
    int64_t revision;
    int64_t fence;
    char holder[LEASE_HOLDER_MAX];
    int64_t unchanged_since_ms; /* when this revision was first read */

    int64_t takeover_delay_ms; /* by rank: wait before taking a free lease */
    int64_t read_sent_ms;      /* when the last read was sent; 0: read now */
    int64_t renewed_ms;       /* send time of the last effective write, or 0 */
    int64_t write_sent_ms;    /* when the last write was sent */
    int64_t backoff_until_ms; /* no call before this, after a failed call */
    int64_t requested_fence;  /* fencing token in the last write sent */
    int64_t writes;           /* writes sent; makes each write unique */
    bool outcome_unknown; /* the last write may or may not have taken effect */
    bool releasing;       /* shutting down: release the lease if held */
} lease_t;

void lease_init(lease_t *lease, const char *self, int64_t duration_ms);
lease_step_t lease_next_step(const lease_t *lease, int64_t now_ms);
lease_step_t lease_early_step(const lease_t *lease, int64_t now_ms);
void lease_set_rank(lease_t *lease, size_t rank);
void lease_call_failed(lease_t *lease, int64_t now_ms);
void lease_step_sent(lease_t *lease, lease_step_t step, int64_t now_ms);
void lease_observe(lease_t *lease, const lease_record_t *record,
                   int64_t now_ms);
void lease_observe_absent(lease_t *lease);
void lease_set_outcome_unknown(lease_t *lease);
void lease_release(lease_t *lease);
void lease_resume(lease_t *lease);
const char *lease_requested_holder(const lease_t *lease);
bool lease_is_held(const lease_t *lease, int64_t now_ms);

#endif
