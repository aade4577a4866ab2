#include "retry-share.h"

#include <stdlib.h>
#include <string.h>

/* All hosts together may repeat a share of the requests for a service plus a
 * slack, over any window.  Each host spends the ratio on its own requests and
 * an equal part of the slack, so no message is needed to keep the sum.
 *
 * Times are kept in slices.  The newest is not over yet, so as many slices as
 * a window has cover a little less than one; what was spent is kept for one
 * slice more, or two troubles nearly a window apart would both spend all the
 * slack within one.  What was earned is not: it may only be counted short. */

/* A host that is gone still counts among those that share the slack for so
 * long, ms: one that restarts is back by then, and one that is cut off spends
 * its part all the same. */
#define LIVE_HELD_MS 15000
/* A host that has just started does not know for so long how many there are,
 * ms, and only has the ratio of its own requests; then half of its part until
 * its window is a whole one, since it does not know what it spent before. */
#define LEARN_MS 2000
#define WINDOW_MS 10000
/* Part of the slack and of what is earned that is spent at all.  The sum is
 * judged over windows of all hosts together; each host spends when its own
 * last window was richest, so that together they could spend a little more
 * than any common window has earned. */
#define SLACK_PART 0.8
#define EARN_PART 0.95

void
retry_hosts_init(retry_hosts_t *hosts, int64_t now_ms)
{
    *hosts = (retry_hosts_t){.started_ms = now_ms, .peak_seen_ms = now_ms};
}

/* This host's part of the slack of all, when so many are alive and the
 * settings know of so many at least.  Hosts that were there lately count, so
 * that two halves that are cut off from each other do not both spend the
 * whole. */
double
retry_hosts_slack_share(retry_hosts_t *hosts, size_t live, size_t least,
                        int64_t now_ms)
{
    if (live >= hosts->peak_live ||
        now_ms - hosts->peak_seen_ms > LIVE_HELD_MS) {
        hosts->peak_live = live;
        hosts->peak_seen_ms = now_ms;
    }
    size_t count = hosts->peak_live + 1;
    int64_t age = now_ms - hosts->started_ms;
    double part = age < LEARN_MS ? 0 : age < WINDOW_MS ? 0.5 : 1;
    return part * SLACK_PART / (double)(count > least ? count : least);
}

void
retry_shares_init(retry_shares_t *shares, double ratio, int64_t window_ms)
{
    CK_SLIST_INIT(&shares->list);
    shares->ratio = ratio * EARN_PART;
    shares->slack = 0;
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
    int64_t behind = slice - share->newest_slice;
    for (int64_t i = 1; i <= behind && i <= RETRY_SLICES_KEPT; i++) {
        size_t at = (size_t)((share->newest_slice + i) % RETRY_SLICES_KEPT);
        share->requests[at] = 0;
        share->retries[at] = 0;
    }
    if (behind > 0) {
        share->newest_slice = slice;
    }
}

/* The share of a service, its window moved on to now. */
static retry_share_t *
share_at(retry_shares_t *shares, const char *service, int64_t now_ms)
{
    int64_t slice = now_ms / (shares->window_ms / RETRY_WINDOW_SLICES);
    retry_share_t *share;
    CK_SLIST_FOREACH (share, &shares->list, entry) {
        if (strcmp(share->service, service) == 0) {
            share_advance(share, slice);
            return share;
        }
    }
    share = mem_zalloc(sizeof(*share));
    str_copy(share->service, sizeof(share->service), service);
    share->newest_slice = slice;
    CK_SLIST_INSERT_HEAD(&shares->list, share, entry);
    return share;
}

/* Count a request that came for a service. */
void
retry_share_earn(retry_shares_t *shares, const char *service, int64_t now_ms)
{
    retry_share_t *share = share_at(shares, service, now_ms);
    share->requests[share->newest_slice % RETRY_SLICES_KEPT]++;
}

/* Whether one more retry is within the share. */
bool
retry_share_can_spend(retry_shares_t *shares, const char *service,
                      int64_t now_ms)
{
    const retry_share_t *share = share_at(shares, service, now_ms);
    size_t oldest = (size_t)((share->newest_slice + 1) % RETRY_SLICES_KEPT);
    unsigned firsts = 0;
    unsigned again = 0;
    for (size_t i = 0; i < RETRY_SLICES_KEPT; i++) {
        firsts += i != oldest ? share->requests[i] : 0;
        again += share->retries[i];
    }
    return again + 1 <= shares->ratio * firsts + shares->slack;
}

/* Count a retry that was sent. */
void
retry_share_spend(retry_shares_t *shares, const char *service, int64_t now_ms)
{
    retry_share_t *share = share_at(shares, service, now_ms);
    share->retries[share->newest_slice % RETRY_SLICES_KEPT]++;
}
