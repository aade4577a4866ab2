#include "quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Keeps a workspace that sends many times its limit, over all hosts, from
 * slowing down the others.
 *
 * Each host keeps one token bucket per workspace on behalf of all reachable
 * hosts: it subtracts what it spends itself and what the others announce.
 * Units that two hosts spend before an announcement arrives make the level
 * negative and are repaid by the refill, so the error does not accumulate.
 * Hosts that don't announce may be spending too: the others use only their own
 * share of the limit until the silent hosts expire. */

/* Shares of the excess that the bounds allow over a limit.  EXTRA is added to
 * the capacity of each bucket, so that requests within the limit are not
 * rejected because an estimate is inexact.  START is available after all hosts
 * have just started, before the first refill.  UNANNOUNCED may be spent by all
 * hosts together before an early announcement is due. */
#define EXTRA_SHARE 0.3
#define START_SHARE 0.4
#define UNANNOUNCED_SHARE 0.15
/* A request that costs more than a full bucket holds is allowed when the
 * bucket is full; one that exceeds the burst by more than this share of the
 * excess never is. */
#define OVERSIZE_SHARE 0.5
/* A host expires this long after the later of its last announcement and its
 * last confirmation by membership or the store's list.  A host that is cut off
 * stops spending its share sooner than this. */
#define HOST_EXPIRY_MS 15000
/* Number of hosts that is assumed until other hosts are found, or until
 * DISCOVERY_MS have passed without finding one. */
#define HOSTS_ASSUMED 32
#define DISCOVERY_MS 2000
/* Interval of announcements.  It grows with the number of hosts, so that the
 * rate of datagrams per host is bounded.  Several announcements must be lost
 * before a host counts as silent. */
#define INTERVAL_MIN_MS 200
#define INTERVAL_PER_HOST_MS 8
#define SILENT_INTERVALS 4
/* Slice over which the rate of the other hosts is measured, and the weight of
 * the newest slice in the moving average. */
#define SLICE_MS 250
#define SLICE_WEIGHT 0.4
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 5000

void
quotas_init(quotas_t *quotas, const quota_bounds_t *bounds,
            uint64_t incarnation, int64_t now_ms)
{
    memset(quotas, 0, sizeof(*quotas));
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        CK_SLIST_INIT(&quotas->buckets[i]);
    }
    quotas->bounds = *bounds;
    quotas->incarnation = incarnation;
    quotas->started_ms = now_ms;
    quotas->share = 1.0 / HOSTS_ASSUMED;
}

static void
quota_free(quota_t *quota)
{
    free(quota->reports);
    free(quota);
}

void
quotas_free(quotas_t *quotas)
{
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        quota_t *quota;
        while ((quota = CK_SLIST_FIRST(&quotas->buckets[i])) != NULL) {
            CK_SLIST_REMOVE_HEAD(&quotas->buckets[i], entry);
            quota_free(quota);
        }
    }
}

/* Returns by how many units all hosts together may exceed a limit in a
 * window. */
static double
max_excess(const quotas_t *quotas, const quota_limit_t *limit)
{
    const quota_bounds_t *bounds = &quotas->bounds;
    return (limit->rate * bounds->window_s + limit->burst) * bounds->overage +
           bounds->slack;
}

/* Returns the capacity of a bucket that all hosts share. */
static double
capacity(const quotas_t *quotas, const quota_limit_t *limit)
{
    return limit->burst + EXTRA_SHARE * max_excess(quotas, limit);
}

/* ---- limits ---- */

static quota_t *
find_by_hash(const quotas_t *quotas, uint64_t workspace)
{
    quota_t *quota;
    CK_SLIST_FOREACH (quota, &quotas->buckets[workspace % QUOTA_BUCKETS],
                      entry) {
        if (quota->workspace_hash == workspace) {
            return quota;
        }
    }
    return NULL;
}

/* Returns the quota of a workspace, or NULL if it has no limit. */
quota_t *
quotas_find(const quotas_t *quotas, const char *workspace)
{
    return quotas->count == 0 ? NULL
                              : find_by_hash(quotas, str_hash(workspace, 0));
}

void
quotas_config_begin(quotas_t *quotas)
{
    quotas->config_count++;
}

/* Sets the level of a new bucket.  A host that has just started does not know
 * what others have spent, so it only has the start share and what the limit
 * has allowed since it started. */
static void
set_start_level(const quotas_t *quotas, quota_t *quota, int64_t now_ms)
{
    double age_s = (double)(now_ms - quotas->started_ms) / 1000;
    double max_level = capacity(quotas, &quota->limit);
    double level = START_SHARE * max_excess(quotas, &quota->limit) +
                   quota->limit.rate * age_s;
    quota->level = (level < max_level ? level : max_level) * quotas->share;
    quota->updated_ms = now_ms;
    quota->slice_started_ms = now_ms;
}

/* Sets the limit of a workspace; a rate of 0 means none. */
void
quotas_config_set(quotas_t *quotas, const char *workspace,
                  const quota_limit_t *limit, int64_t now_ms)
{
    if (limit->rate <= 0) {
        return;
    }
    uint64_t hash = str_hash(workspace, 0);
    quota_t *quota = find_by_hash(quotas, hash);
    if (quota == NULL) {
        quota = mem_zalloc(sizeof(*quota));
        quota->workspace_hash = hash;
        str_copy(quota->name, sizeof(quota->name), workspace);
        quota->limit = *limit;
        /* Until their announcements arrive, the others are assumed to spend
         * the whole refill: hosts that start together in a flood would each
         * spend it at once. */
        quota->others_rate = limit->rate / 1000;
        set_start_level(quotas, quota, now_ms);
        CK_SLIST_INSERT_HEAD(&quotas->buckets[hash % QUOTA_BUCKETS], quota,
                             entry);
        quotas->count++;
    }
    quota->limit = *limit;
    quota->config_seen = quotas->config_count;
}

/* Removes the limits that the new configuration does not have. */
void
quotas_config_end(quotas_t *quotas)
{
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        quota_t *quota;
        quota_t *next;
        CK_SLIST_FOREACH_SAFE(quota, &quotas->buckets[i], entry, next)
        {
            if (quota->config_seen != quotas->config_count) {
                CK_SLIST_REMOVE(&quotas->buckets[i], quota, quota, entry);
                quota_free(quota);
                quotas->count--;
            }
        }
    }
}

/* ---- the bucket ---- */

/* Returns the mean time since the last announcements of the reachable hosts,
 * in ms. */
static double
mean_silence_ms(const quotas_t *quotas, int64_t now_ms)
{
    if (quotas->reachable_count == 0) {
        return 0;
    }
    double mean =
        (double)quotas->received_sum_ms / (double)quotas->reachable_count;
    return fmax(0, (double)now_ms - mean);
}

/* Updates the rate at which the other hosts spend.  While announcements are
 * missing the rate is kept: the hosts may only be cut off and still spend. */
static void
update_others_rate(const quotas_t *quotas, quota_t *quota, int64_t now_ms)
{
    int64_t span = now_ms - quota->slice_started_ms;
    bool silent = mean_silence_ms(quotas, now_ms) >
                  (double)quotas_announce_interval_ms(quotas);
    if (span < SLICE_MS) {
        return;
    }
    if (!silent) {
        double newest = quota->others_spent / (double)span;
        double weight = 1 - pow(1 - SLICE_WEIGHT, (double)span / SLICE_MS);
        quota->others_rate += weight * (newest - quota->others_rate);
        quota->others_rate = fmax(0, quota->others_rate);
    }
    quota->others_spent = 0;
    quota->slice_started_ms = now_ms;
}

/* Estimates the units that the reachable hosts have spent since their last
 * announcements. */
double
quota_estimate_unreported(const quotas_t *quotas, const quota_t *quota,
                          int64_t now_ms)
{
    return quota->others_rate * mean_silence_ms(quotas, now_ms);
}

/* Refills a bucket up to now. */
static void
quota_advance(quotas_t *quotas, quota_t *quota, int64_t now_ms)
{
    if (now_ms <= quota->updated_ms) {
        return;
    }
    update_others_rate(quotas, quota, now_ms);
    double max_level = capacity(quotas, &quota->limit) * quotas->share;
    double refill = quota->limit.rate * quotas->share *
                    (double)(now_ms - quota->updated_ms) / 1000;
    quota->level = fmin(quota->level + refill, max_level);
    quota->reserved = fmax(0, quota->reserved - refill);
    quota->updated_ms = now_ms;
}

/* Returns the units that may be spent now. */
double
quota_available(quotas_t *quotas, quota_t *quota, int64_t now_ms)
{
    quota_advance(quotas, quota, now_ms);
    return quota->level - quota_estimate_unreported(quotas, quota, now_ms);
}

/* Returns when a rejected caller should retry: after the bucket has gained the
 * lacking units and those reserved for callers that were rejected before.
 * Reserves the cost too, so that callers don't all retry at the same time. */
static int64_t
reserve_retry_ms(const quotas_t *quotas, quota_t *quota, double lacking,
                 double cost)
{
    double per_ms = quota->limit.rate * quotas->share / 1000;
    double after = (lacking + quota->reserved) / per_ms;
    if (quota->reserved < per_ms * RETRY_AFTER_MAX_MS) {
        quota->reserved += cost;
    }
    return (int64_t)fmax(RETRY_AFTER_MIN_MS, fmin(after, RETRY_AFTER_MAX_MS));
}

/* Spends the cost of a request if it may run now, else returns when to retry.
 */
quota_decision_t
quota_try_spend(quotas_t *quotas, quota_t *quota, double cost, int64_t now_ms)
{
    double available = quota_available(quotas, quota, now_ms);
    double excess = max_excess(quotas, &quota->limit);
    double required =
        fmin(cost, capacity(quotas, &quota->limit) * quotas->share);
    if (cost > quota->limit.burst + OVERSIZE_SHARE * excess) {
        quota->rejected++;
        return (quota_decision_t){.retry_after_ms = 0};
    }
    if (available < required) {
        quota->rejected++;
        return (quota_decision_t){
            .retry_after_ms =
                reserve_retry_ms(quotas, quota, required - available, cost)};
    }
    quota_spend(quotas, quota, cost, now_ms);
    quota->allowed++;
    return (quota_decision_t){.allowed = true};
}

/* Spends the cost of a request that runs, or runs once more. */
void
quota_spend(quotas_t *quotas, quota_t *quota, double cost, int64_t now_ms)
{
    quota_advance(quotas, quota, now_ms);
    quota->level -= cost;
    quota->total_spent += (uint32_t)cost;
}

/* Gives back the cost of a request that has not run and never will. */
void
quota_refund(quotas_t *quotas, quota_t *quota, double cost, int64_t now_ms)
{
    quota_spend(quotas, quota, 0, now_ms);
    quota->level += cost;
    quota->total_spent -= (uint32_t)cost;
}

/* ---- other hosts ---- */

/* Returns the time between two announcements. */
int64_t
quotas_announce_interval_ms(const quotas_t *quotas)
{
    int64_t interval = (int64_t)quotas->host_count * INTERVAL_PER_HOST_MS;
    return interval > INTERVAL_MIN_MS ? interval : INTERVAL_MIN_MS;
}

static quota_host_t *
find_or_add_host(quotas_t *quotas, uint64_t host)
{
    quota_host_t *free_slot = NULL;
    for (size_t i = 0; i < QUOTA_HOSTS_MAX; i++) {
        quota_host_t *slot = &quotas->hosts[i];
        if (slot->id == host) {
            return slot;
        }
        if (slot->id == 0 && free_slot == NULL) {
            free_slot = slot;
        }
    }
    if (free_slot != NULL) {
        *free_slot = (quota_host_t){.id = host};
        quotas->host_count++;
    }
    return free_slot;
}

/* Notes that another host is a member or is listed, so that it may be
 * spending. */
void
quotas_confirm_host(quotas_t *quotas, uint64_t host, int64_t now_ms)
{
    quota_host_t *slot = find_or_add_host(quotas, host);
    if (slot != NULL) {
        slot->confirmed_ms = now_ms;
    }
}

/* Sets the share of each limit that this host and the reachable ones may
 * spend.  A smaller share reduces the level of each bucket in proportion,
 * since the unreachable hosts may spend the rest. */
static void
set_share(quotas_t *quotas, double share, int64_t now_ms)
{
    double before = quotas->share;
    if (share == before) {
        return;
    }
    for (size_t i = 0; i < QUOTA_BUCKETS && quotas->count > 0; i++) {
        quota_t *quota;
        CK_SLIST_FOREACH (quota, &quotas->buckets[i], entry) {
            quota_advance(quotas, quota, now_ms);
            if (share < before && quota->level > 0) {
                quota->level *= share / before;
            }
        }
    }
    quotas->share = share;
}

static void
update_share(quotas_t *quotas, int64_t now_ms)
{
    bool alone = quotas->host_count == 0;
    if (alone && now_ms - quotas->started_ms < DISCOVERY_MS) {
        return;
    }
    set_share(quotas,
              (double)(quotas->reachable_count + 1) /
                  (double)(quotas->host_count + 1),
              now_ms);
}

/* Marks silent hosts as unreachable and removes expired ones. */
void
quotas_tick(quotas_t *quotas, int64_t now_ms)
{
    int64_t silent = quotas_announce_interval_ms(quotas) * SILENT_INTERVALS;
    for (size_t i = 0; i < QUOTA_HOSTS_MAX; i++) {
        quota_host_t *host = &quotas->hosts[i];
        if (host->id == 0) {
            continue;
        }
        if (host->reachable && now_ms - host->received_ms > silent) {
            host->reachable = false;
            quotas->reachable_count--;
            quotas->received_sum_ms -= host->received_ms;
        }
        if (!host->reachable && now_ms - host->received_ms > HOST_EXPIRY_MS &&
            now_ms - host->confirmed_ms > HOST_EXPIRY_MS) {
            host->id = 0;
            quotas->host_count--;
        }
    }
    update_share(quotas, now_ms);
}

static void
update_host(quotas_t *quotas, quota_host_t *host,
            const peer_datagram_t *datagram, int64_t now_ms)
{
    quotas->received_sum_ms +=
        now_ms - (host->reachable ? host->received_ms : 0);
    host->received_ms = now_ms;
    host->confirmed_ms = now_ms;
    host->sequence = datagram->sequence;
    bool restarted = host->incarnation != datagram->incarnation;
    if (!host->reachable || restarted) {
        host->session = ++quotas->last_session;
    }
    if (restarted) {
        host->previous_incarnation = host->incarnation;
        host->incarnation = datagram->incarnation;
    }
    if (host->reachable) {
        return;
    }
    host->reachable = true;
    quotas->reachable_count++;
    update_share(quotas, now_ms);
}

/* Subtracts what a host has spent since its last announcement.  What it spent
 * while it was unreachable came from its own share. */
static void
apply_usage(quotas_t *quotas, const quota_host_t *host,
            const peer_usage_t *usage, int64_t now_ms)
{
    quota_t *quota = find_by_hash(quotas, usage->workspace_hash);
    if (quota == NULL) {
        return;
    }
    if (quota->reports == NULL) {
        quota->reports = mem_zalloc(QUOTA_HOSTS_MAX * sizeof(*quota->reports));
    }
    quota_report_t *last = &quota->reports[host - quotas->hosts];
    uint32_t since = last->session == host->session
                         ? usage->total_spent - last->total_spent
                         : usage->recent_spent;
    double delta = (double)(int32_t)since;
    *last = (quota_report_t){usage->total_spent, host->session};
    quota_advance(quotas, quota, now_ms);
    quota->level -= delta;
    quota->others_spent += delta;
}

/* Applies an announcement; duplicates and reordered ones are ignored.
 * Incarnations are not compared by order, since a host's clock may have gone
 * back between two starts. */
void
quotas_apply(quotas_t *quotas, uint64_t from, const peer_datagram_t *datagram,
             int64_t now_ms)
{
    quota_host_t *host = find_or_add_host(quotas, from);
    bool same = host != NULL && host->incarnation == datagram->incarnation;
    if (host == NULL || (same && datagram->sequence <= host->sequence) ||
        datagram->incarnation == host->previous_incarnation) {
        return;
    }
    update_host(quotas, host, datagram, now_ms);
    for (size_t i = 0; i < datagram->usage_count; i++) {
        apply_usage(quotas, host, &datagram->usages[i], now_ms);
    }
}

/* Whether this host has spent more than may go unannounced until the next
 * interval. */
static bool
must_announce_early(const quotas_t *quotas)
{
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        const quota_t *quota;
        CK_SLIST_FOREACH (quota, &quotas->buckets[i], entry) {
            double unannounced = fabs((
                double)(int32_t)(quota->total_spent - quota->announced_spent));
            if (unannounced > UNANNOUNCED_SHARE *
                                  max_excess(quotas, &quota->limit) /
                                  (double)(quotas->host_count + 1)) {
                return true;
            }
        }
    }
    return false;
}

/* Fills an announcement of what this host has spent; false if none is due.
 * One without usages is a heartbeat. */
bool
quotas_announce(quotas_t *quotas, peer_datagram_t *out, int64_t now_ms)
{
    int64_t since = now_ms - quotas->announced_ms;
    int64_t interval = quotas_announce_interval_ms(quotas);
    bool due = since >= interval ||
               (since >= interval / 2 && must_announce_early(quotas));
    if (quotas->count == 0 || quotas->host_count == 0 || !due) {
        return false;
    }
    quotas->announced_ms = now_ms;
    out->kind = PEER_USAGES;
    out->incarnation = quotas->incarnation;
    out->sequence = ++quotas->sequence;
    out->usage_count = 0;
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        size_t bucket = (quotas->next_bucket + i) % QUOTA_BUCKETS;
        quota_t *quota;
        CK_SLIST_FOREACH (quota, &quotas->buckets[bucket], entry) {
            if (quota->total_spent == quota->announced_spent) {
                continue;
            }
            if (out->usage_count == PEER_USAGES_MAX) {
                quotas->next_bucket = bucket;
                return true;
            }
            out->usages[out->usage_count++] =
                (peer_usage_t){quota->workspace_hash, quota->total_spent,
                               quota->total_spent - quota->announced_spent};
            quota->announced_spent = quota->total_spent;
        }
    }
    return true;
}
