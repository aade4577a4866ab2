#ifndef CELERYSPOOL_RETRY_SHARE_H
#define CELERYSPOOL_RETRY_SHARE_H

/* This host's share of the retries that all hosts together may send to a
 * service.  No I/O and no clock. */

#include "../kernel/base.h"

#include <ck_queue.h>

#define RETRY_WINDOW_SLICES 20 /* of a window */
#define RETRY_SLICES_KEPT (RETRY_WINDOW_SLICES + 1)

typedef struct retry_share {
    CK_SLIST_ENTRY(retry_share) entry;
    char service[CS_NAME_MAX];
    int64_t newest_slice; /* number of the newest one */
    unsigned requests[RETRY_SLICES_KEPT];
    unsigned retries[RETRY_SLICES_KEPT];
} retry_share_t;

typedef struct {
    CK_SLIST_HEAD(shares, retry_share) list;
    double ratio;      /* retries that a request earns */
    double slack;      /* besides, in each window, for this host alone */
    int64_t window_ms; /* that both are counted over */
} retry_shares_t;

/* How many hosts share the slack, as one of them sees it. */
typedef struct {
    int64_t started_ms;
    size_t peak_live; /* lately */
    int64_t peak_seen_ms;
} retry_hosts_t;

void retry_hosts_init(retry_hosts_t *hosts, int64_t now_ms);
double retry_hosts_slack_share(retry_hosts_t *hosts, size_t live, size_t least,
                               int64_t now_ms);

void retry_shares_init(retry_shares_t *shares, double ratio,
                       int64_t window_ms);
void retry_shares_free(retry_shares_t *shares);
void retry_share_earn(retry_shares_t *shares, const char *service,
                      int64_t now_ms);
bool retry_share_can_spend(retry_shares_t *shares, const char *service,
                           int64_t now_ms);
void retry_share_spend(retry_shares_t *shares, const char *service,
                       int64_t now_ms);

#endif
