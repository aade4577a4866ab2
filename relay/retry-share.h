#ifndef CELERYSPOOL_RETRY_SHARE_H
#define CELERYSPOOL_RETRY_SHARE_H

/* This host's share of the retries that all hosts together may send to a
 * service.  No I/O and no clock. */

#include "../kernel/base.h"

#include <ck_queue.h>

#define RETRY_SLICES 20

typedef struct retry_share {
    CK_SLIST_ENTRY(retry_share) entry;
    char service[CS_NAME_MAX];
    int64_t slice; /* number of the newest one */
    unsigned firsts[RETRY_SLICES];
    unsigned again[RETRY_SLICES];
} retry_share_t;

typedef struct {
    CK_SLIST_HEAD(shares, retry_share) list;
    double ratio;      /* retries for each request */
    double slack;      /* besides, in each window, for this host alone */
    int64_t window_ms; /* that both are counted over */
} retry_shares_t;

void retry_shares_init(retry_shares_t *shares, double ratio, double slack,
                       int64_t window_ms);
void retry_shares_free(retry_shares_t *shares);
void retry_share_earn(retry_shares_t *shares, const char *service,
                      int64_t now_ms);
bool retry_share_left(retry_shares_t *shares, const char *service,
                      int64_t now_ms);
void retry_share_spend(retry_shares_t *shares, const char *service,
                       int64_t now_ms);

#endif
