#include "retry-share.h"

#include <stdlib.h>
#include <string.h>

/* In any window, the number of retries that all hosts together send to a
 * service is limited to a ratio of its requests plus a fixed slack.  Each host
 * applies the ratio to its own requests and has an equal part of the slack.
 *
 * The limit must hold although a host that starts does not know what was spent
 * before, and although callers move from one host to another:
 *
 * - The ratio is a token bucket.  Each request adds (1 - BURST_SHARE) * ratio,
 *   and the bucket holds at most BURST_SHARE * ratio for each request of the
 *   last window.  So a host sends within a window at most
 *   BURST_SHARE * ratio for each request of the window before, which the limit
 *   counts too, and (1 - BURST_SHARE) * ratio for each request of the window
 *   itself.  The bucket is empty at a start, so a restart adds nothing.
 * - The slack is a number of retries per window.  For one window after a start
 *   a host uses START_SLACK_SHARE of it instead of SLACK_SHARE; both together
 *   are less than the slack.
 *
 * Counts are kept per slice of time.  As the newest slice is incomplete, as
 * many slices as make up a window cover slightly less than one.  Used slack is
 * therefore counted for one slice more; otherwise two outages nearly a window
 * apart could both use the whole slack within one window.  Requests are not,
 * since the budget must not be overestimated. */

/* Shares of the slack and of the ratio that are used.  The limit applies when
 * retries arrive and counts requests when callers send them; delays on the way
 * can add to a window what was spent slightly outside it. */
#define SLACK_SHARE 0.5
#define START_SLACK_SHARE 0.4
#define RATIO_SHARE 0.95
/* Share of the ratio that can be saved up and sent at once.  The rest of it is
 * the rate in an outage that lasts longer than a window. */
#define BURST_SHARE 0.25

void
retry_hosts_init(retry_hosts_t *hosts, int64_t window_ms, int64_t now_ms)
{
    hosts->window_ms = window_ms;
    host_count_init(&hosts->count, now_ms);
}

/* Returns this host's share of the total slack, given the number of live
 * hosts, this one included, and a minimum of hosts to assume. */
double
retry_hosts_slack_share(retry_hosts_t *hosts, size_t live, size_t hosts_min,
                        int64_t now_ms)
{
    size_t assumed = host_count_update(&hosts->count, live, hosts_min, now_ms);
    int64_t age_ms = now_ms - hosts->count.started_ms;
    double share = age_ms < hosts->window_ms ? START_SLACK_SHARE : SLACK_SHARE;
    return assumed > 0 ? share / (double)assumed : 0;
}

void
retry_shares_init(retry_shares_t *shares, double ratio, int64_t window_ms)
{
    CK_SLIST_INIT(&shares->list);
    shares->ratio = ratio * RATIO_SHARE;
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
    for (int64_t i = 1; i <= behind && i <= RETRY_SLICES_MAX; i++) {
        size_t index = (size_t)((share->newest_slice + i) % RETRY_SLICES_MAX);
        share->requests[index] = 0;
        share->slack_used[index] = 0;
    }
    if (behind > 0) {
        share->newest_slice = slice;
    }
}

/* Returns the share of a service, advanced to the current slice. */
static retry_share_t *
get_share(retry_shares_t *shares, const char *service, int64_t now_ms)
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

/* Returns the requests of the last window, slightly fewer while the newest
 * slice is incomplete. */
static unsigned
count_requests(const retry_share_t *share)
{
    size_t oldest = (size_t)((share->newest_slice + 1) % RETRY_SLICES_MAX);
    unsigned requests = 0;
    for (size_t i = 0; i < RETRY_SLICES_MAX; i++) {
        requests += i != oldest ? share->requests[i] : 0;
    }
    return requests;
}

/* Limits the bucket to what the requests of the last window allow. */
static void
limit_saved(const retry_shares_t *shares, retry_share_t *share)
{
    double max = BURST_SHARE * shares->ratio * count_requests(share);
    share->saved = share->saved < max ? share->saved : max;
}

/* Counts a request for a service. */
void
retry_share_count_request(retry_shares_t *shares, const char *service,
                          int64_t now_ms)
{
    retry_share_t *share = get_share(shares, service, now_ms);
    share->requests[share->newest_slice % RETRY_SLICES_MAX]++;
    share->saved += (1 - BURST_SHARE) * shares->ratio;
    limit_saved(shares, share);
}

/* Returns how many retries to a service are within the share now. */
double
retry_share_left(retry_shares_t *shares, const char *service, int64_t now_ms)
{
    retry_share_t *share = get_share(shares, service, now_ms);
    double slack = shares->slack;
    for (size_t i = 0; i < RETRY_SLICES_MAX; i++) {
        slack -= share->slack_used[i];
    }
    limit_saved(shares, share);
    return share->saved + (slack > 0 ? slack : 0);
}

/* Whether one more retry is within the share. */
bool
retry_share_can_retry(retry_shares_t *shares, const char *service,
                      int64_t now_ms)
{
    return retry_share_left(shares, service, now_ms) >= 1;
}

/* Counts a retry that was sent.  It is taken from the bucket as far as
 * possible, the rest from the slack. */
void
retry_share_count_retry(retry_shares_t *shares, const char *service,
                        int64_t now_ms)
{
    retry_share_t *share = get_share(shares, service, now_ms);
    limit_saved(shares, share);
    double from_saved = share->saved < 1 ? share->saved : 1;
    share->saved -= from_saved;
    share->slack_used[share->newest_slice % RETRY_SLICES_MAX] +=
        1 - from_saved;
}
