#ifndef CELERYSPOOL_RETRY_SHARE_H
#define CELERYSPOOL_RETRY_SHARE_H

/* A host's share of the retry budget that all hosts together have for each
 * service.  No I/O and no clock. */

#include "../kernel/base.h"
#include "host-count.h"

#include <ck_queue.h>

#define RETRY_WINDOW_SLICES 20
#define RETRY_SLICES_MAX (RETRY_WINDOW_SLICES + 1)

typedef struct retry_share {
    CK_SLIST_ENTRY(retry_share) entry;
    char service[CS_NAME_MAX];
    int64_t newest_slice;                /* its number, counted from time 0 */
    unsigned requests[RETRY_SLICES_MAX]; /* by slice number, as a ring */
    double slack_used[RETRY_SLICES_MAX]; /* by slice number, as a ring */
    double saved; /* content of the ratio's token bucket, in retries */
} retry_share_t;

typedef struct {
    CK_SLIST_HEAD(shares, retry_share) list;
    double ratio;      /* retries that a request adds to the budget */
    double slack;      /* retries per window of this host besides the ratio */
    int64_t window_ms; /* in which the retries of all hosts are limited */
} retry_shares_t;

/* The hosts that share the slack, as seen by one of them. */
typedef struct {
    int64_t window_ms; /* in which the retries of all hosts are limited */
    host_count_t count;
} retry_hosts_t;

void retry_hosts_init(retry_hosts_t *hosts, int64_t window_ms, int64_t now_ms);
double retry_hosts_slack_share(retry_hosts_t *hosts, size_t live,
                               size_t hosts_min, int64_t now_ms);

void retry_shares_init(retry_shares_t *shares, double ratio,
                       int64_t window_ms);
void retry_shares_free(retry_shares_t *shares);
void retry_share_count_request(retry_shares_t *shares, const char *service,
                               int64_t now_ms);
double retry_share_left(retry_shares_t *shares, const char *service,
                        int64_t now_ms);
bool retry_share_can_retry(retry_shares_t *shares, const char *service,
                           int64_t now_ms);
void retry_share_count_retry(retry_shares_t *shares, const char *service,
                             int64_t now_ms);

#endif
