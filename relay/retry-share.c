#include "retry-share.h"

#include <stdlib.h>
#include <string.h>

/* All hosts together may repeat a share of the requests for a service plus a
 * slack, over any window.  Each host spends the ratio on its own requests and
 * an equal part of the slack, so no message is needed to keep the sum. */

void
retry_shares_init(retry_shares_t *shares, double ratio, double slack,
                  int64_t window_ms)
{
    CK_SLIST_INIT(&shares->list);
    shares->ratio = ratio;
    shares->slack = slack;
    shares->window_ms = window_ms;
}

void
retry_shares_free(retry_shares_t *shares)
{
    retry_share_t *share;
    while ((share = CK_SLIST_FIRST(&shares->list)) != NULL) {
        CK_SLIST_REMOVE_HEAD(&shares->list, entry);
        free(share);
    }
}

static void
share_advance(retry_share_t *share, int64_t slice)
{
    int64_t behind = slice - share->slice;
    for (int64_t i = 1; i <= behind && i <= RETRY_SLICES; i++) {
        size_t at = (size_t)((share->slice + i) % RETRY_SLICES);
        share->firsts[at] = 0;
        share->again[at] = 0;
    }
    if (behind > 0) {
        share->slice = slice;
    }
}

/* The share of a service, its window moved on to now. */
static retry_share_t *
share_at(retry_shares_t *shares, const char *service, int64_t now_ms)
{
    int64_t slice = now_ms / (shares->window_ms / RETRY_SLICES);
    retry_share_t *share;
    CK_SLIST_FOREACH (share, &shares->list, entry) {
        if (strcmp(share->service, service) == 0) {
            share_advance(share, slice);
            return share;
        }
    }
    share = mem_zalloc(sizeof(*share));
    str_copy(share->service, sizeof(share->service), service);
    share->slice = slice;
    CK_SLIST_INSERT_HEAD(&shares->list, share, entry);
    return share;
}

/* Count a request that came for a service. */
void
retry_share_earn(retry_shares_t *shares, const char *service, int64_t now_ms)
{
    retry_share_t *share = share_at(shares, service, now_ms);
    share->firsts[share->slice % RETRY_SLICES]++;
}

/* Whether one more retry is within the share. */
bool
retry_share_left(retry_shares_t *shares, const char *service, int64_t now_ms)
{
    const retry_share_t *share = share_at(shares, service, now_ms);
    unsigned firsts = 0;
    unsigned again = 0;
    for (size_t i = 0; i < RETRY_SLICES; i++) {
        firsts += share->firsts[i];
        again += share->again[i];
    }
    return again + 1 <= shares->ratio * firsts + shares->slack;
}

/* Count a retry that was sent. */
void
retry_share_spend(retry_shares_t *shares, const char *service, int64_t now_ms)
{
    retry_share_t *share = share_at(shares, service, now_ms);
    share->again[share->slice % RETRY_SLICES]++;
}
