#include "quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The load that this answers: one workspace sends many times its limit, over
 * all hosts, and the others must not pay for it.
 *
 * Each host keeps one token bucket for each workspace, for all hosts in touch
 * together: it subtracts what it spends itself and what the others announce.
 * What was spent twice in the time of an announcement makes the bucket
 * negative and is paid back, so the error does not add up.  Silent hosts
 * may be spending too: the others go on with their own part of the limit
 * until the silent ones are gone for good. */

/* Parts of what the bounds allow beyond a limit: added to each bucket, so that
 * requests within the limit are not refused for an estimate that is off; had
 * by a fleet of which all hosts have just started, before the first refill;
 * spent by all hosts without an announcement. */
#define EXTRA_PART 0.3
#define START_PART 0.4
#define UNANNOUNCED_PART 0.15
/* A request that exceeds the bucket is admitted to a full one up to this part
 * of what the bounds allow, else never. */
#define OVERSIZE_PART 0.5
/* A host that neither announces nor is a member counts for so long, ms: longer
 * than one that is cut off goes on spending its part. */
#define KNOWN_MS 15000
/* Until other hosts are listed, this many are assumed. */
#define HOSTS_UNKNOWN 32
#define LEARN_MS 2000
/* Announcements: at least so often, ms, and less often in large fleets, so
 * that the datagrams of a host are bounded; a host is silent behind several
 * lost ones. */
#define INTERVAL_LEAST_MS 200
#define INTERVAL_HOST_MS 8
#define SILENT_INTERVALS 4
/* Slice over which the others' rate is averaged, and weight of the newest. */
#define SLICE_MS 250
#define SLICE_WEIGHT 0.4
/* Bounds of the time to come back, ms. */
#define AFTER_LEAST_MS 50
#define AFTER_MOST_MS 5000

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
    quotas->part = 1.0 / HOSTS_UNKNOWN;
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

/* Units beyond a limit that all hosts may spend in a window. */
static double
allowance(const quotas_t *quotas, const quota_limit_t *limit)
{
    const quota_bounds_t *bounds = &quotas->bounds;
    return (limit->rate * bounds->window_s + limit->burst) * bounds->overage +
           bounds->slack;
}

/* The most that a bucket holds, of all hosts. */
static double
capacity(const quotas_t *quotas, const quota_limit_t *limit)
{
    return limit->burst + EXTRA_PART * allowance(quotas, limit);
}

/* ---- limits ---- */

static quota_t *
find_hash(const quotas_t *quotas, uint64_t workspace)
{
    quota_t *quota;
    CK_SLIST_FOREACH (quota, &quotas->buckets[workspace % QUOTA_BUCKETS],
                      entry) {
        if (quota->workspace == workspace) {
            return quota;
        }
    }
    return NULL;
}

/* The quota of a workspace, or NULL where it has no limit. */
quota_t *
quotas_find(const quotas_t *quotas, const char *workspace)
{
    return quotas->count == 0 ? NULL
                              : find_hash(quotas, str_hash(workspace, 0));
}

void
quotas_config_begin(quotas_t *quotas)
{
    quotas->round++;
}

/* A host that has just started does not know what others have spent: its
 * bucket is not full before it would have refilled. */
static void
quota_start(const quotas_t *quotas, quota_t *quota, int64_t now_ms)
{
    double age_s = (double)(now_ms - quotas->started_ms) / 1000;
    double most = capacity(quotas, &quota->limit);
    double level = START_PART * allowance(quotas, &quota->limit) +
                   quota->limit.rate * age_s;
    quota->level = (level < most ? level : most) * quotas->part;
    quota->level_ms = now_ms;
    quota->slice_ms = now_ms;
}

/* Sets the limit of a workspace; a rate of 0 is none. */
void
quotas_config_set(quotas_t *quotas, const char *workspace,
                  const quota_limit_t *limit, int64_t now_ms)
{
    if (limit->rate <= 0) {
        return;
    }
    uint64_t hash = str_hash(workspace, 0);
    quota_t *quota = find_hash(quotas, hash);
    if (quota == NULL) {
        quota = mem_zalloc(sizeof(*quota));
        quota->workspace = hash;
        str_copy(quota->name, sizeof(quota->name), workspace);
        quota->limit = *limit;
        quota_start(quotas, quota, now_ms);
        CK_SLIST_INSERT_HEAD(&quotas->buckets[hash % QUOTA_BUCKETS], quota,
                             entry);
        quotas->count++;
    }
    quota->limit = *limit;
    quota->round = quotas->round;
}

/* Drops the limits that the configuration no longer has. */
void
quotas_config_end(quotas_t *quotas)
{
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        quota_t *quota;
        quota_t *next;
        CK_SLIST_FOREACH_SAFE(quota, &quotas->buckets[i], entry, next)
        {
            if (quota->round != quotas->round) {
                CK_SLIST_REMOVE(&quotas->buckets[i], quota, quota, entry);
                quota_free(quota);
                quotas->count--;
            }
        }
    }
}

/* ---- the bucket ---- */

/* Mean time since the last announcements of the hosts in touch, ms. */
static double
silence_ms(const quotas_t *quotas, int64_t now_ms)
{
    if (quotas->in_touch_count == 0) {
        return 0;
    }
    double mean =
        (double)quotas->received_sum_ms / (double)quotas->in_touch_count;
    return fmax(0, (double)now_ms - mean);
}

/* Measures what the other hosts spend in a ms.  Hosts that have fallen silent
 * are expected to go on as before: they may be cut off only. */
static void
measure_others(const quotas_t *quotas, quota_t *quota, int64_t now_ms)
{
    int64_t span = now_ms - quota->slice_ms;
    bool silent =
        silence_ms(quotas, now_ms) > (double)quotas_interval_ms(quotas);
    if (span < SLICE_MS) {
        return;
    }
    if (!silent) {
        double newest = quota->others_sum / (double)span;
        double weight = 1 - pow(1 - SLICE_WEIGHT, (double)span / SLICE_MS);
        quota->others_rate += weight * (newest - quota->others_rate);
        quota->others_rate = fmax(0, quota->others_rate);
    }
    quota->others_sum = 0;
    quota->slice_ms = now_ms;
}

/* Units that the hosts in touch are expected to have spent since they were
 * last announcements. */
double
quota_unseen(const quotas_t *quotas, const quota_t *quota, int64_t now_ms)
{
    return quota->others_rate * silence_ms(quotas, now_ms);
}

/* Moves a bucket on to now. */
static void
quota_advance(quotas_t *quotas, quota_t *quota, int64_t now_ms)
{
    if (now_ms <= quota->level_ms) {
        return;
    }
    measure_others(quotas, quota, now_ms);
    double most = capacity(quotas, &quota->limit) * quotas->part;
    double refill = quota->limit.rate * quotas->part *
                    (double)(now_ms - quota->level_ms) / 1000;
    quota->level = fmin(quota->level + refill, most);
    quota->booked = fmax(0, quota->booked - refill);
    quota->level_ms = now_ms;
}

/* Units that may be spent now. */
double
quota_available(quotas_t *quotas, quota_t *quota, int64_t now_ms)
{
    quota_advance(quotas, quota, now_ms);
    return quota->level - quota_unseen(quotas, quota, now_ms);
}

/* When a bucket that lacks so much will have it, behind the callers that were
 * given a time before. */
static int64_t
after_ms(const quotas_t *quotas, quota_t *quota, double missing, double cost)
{
    double per_ms = quota->limit.rate * quotas->part / 1000;
    double after = (missing + quota->booked) / per_ms;
    if (quota->booked < per_ms * AFTER_MOST_MS) {
        quota->booked += cost;
    }
    return (int64_t)fmax(AFTER_LEAST_MS, fmin(after, AFTER_MOST_MS));
}

/* Whether a request of this cost may run now; it is spent if so. */
quota_verdict_t
quota_ask(quotas_t *quotas, quota_t *quota, double cost, int64_t now_ms)
{
    double available = quota_available(quotas, quota, now_ms);
    double extra = allowance(quotas, &quota->limit);
    double want = fmin(cost, capacity(quotas, &quota->limit) * quotas->part);
    if (cost > quota->limit.burst + OVERSIZE_PART * extra) {
        quota->refused++;
        return (quota_verdict_t){.after_ms = 0};
    }
    if (available < want) {
        quota->refused++;
        return (quota_verdict_t){
            .after_ms = after_ms(quotas, quota, want - available, cost)};
    }
    quota_spend(quotas, quota, cost, now_ms);
    quota->allowed++;
    return (quota_verdict_t){.allowed = true};
}

/* A request runs, or runs once more. */
void
quota_spend(quotas_t *quotas, quota_t *quota, double cost, int64_t now_ms)
{
    quota_advance(quotas, quota, now_ms);
    quota->level -= cost;
    quota->spent += (uint32_t)cost;
}

/* A request that was counted has not run and never will. */
void
quota_return(quotas_t *quotas, quota_t *quota, double cost, int64_t now_ms)
{
    quota_spend(quotas, quota, 0, now_ms);
    quota->level += cost;
    quota->spent -= (uint32_t)cost;
}

/* ---- other hosts ---- */

/* Time between announcements, ms. */
int64_t
quotas_interval_ms(const quotas_t *quotas)
{
    int64_t interval = (int64_t)quotas->host_count * INTERVAL_HOST_MS;
    return interval > INTERVAL_LEAST_MS ? interval : INTERVAL_LEAST_MS;
}

static quota_host_t *
host_find(quotas_t *quotas, uint64_t host)
{
    quota_host_t *free_place = NULL;
    for (size_t i = 0; i < QUOTA_HOSTS_MAX; i++) {
        quota_host_t *place = &quotas->hosts[i];
        if (place->host == host) {
            return place;
        }
        if (place->host == 0 && free_place == NULL) {
            free_place = place;
        }
    }
    if (free_place != NULL) {
        *free_place = (quota_host_t){.host = host};
        quotas->host_count++;
    }
    return free_place;
}

/* Another host is a member or is listed: it may be spending. */
void
quotas_host_known(quotas_t *quotas, uint64_t host, int64_t now_ms)
{
    quota_host_t *place = host_find(quotas, host);
    if (place != NULL) {
        place->known_ms = now_ms;
    }
}

/* Sets the part of each limit that the hosts in touch may spend.  Less of it
 * leaves less of what is in each bucket, since the hosts that are out of touch
 * may spend the rest. */
static void
set_part(quotas_t *quotas, double part, int64_t now_ms)
{
    double before = quotas->part;
    if (part == before) {
        return;
    }
    for (size_t i = 0; i < QUOTA_BUCKETS && quotas->count > 0; i++) {
        quota_t *quota;
        CK_SLIST_FOREACH (quota, &quotas->buckets[i], entry) {
            quota_advance(quotas, quota, now_ms);
            if (part < before && quota->level > 0) {
                quota->level *= part / before;
            }
        }
    }
    quotas->part = part;
}

static void
count_hosts(quotas_t *quotas, int64_t now_ms)
{
    bool alone = quotas->host_count == 0;
    if (alone && now_ms - quotas->started_ms < LEARN_MS) {
        return;
    }
    set_part(quotas,
             (double)(quotas->in_touch_count + 1) /
                 (double)(quotas->host_count + 1),
             now_ms);
}

/* Drops hosts that are gone and counts those that are silent. */
void
quotas_tick(quotas_t *quotas, int64_t now_ms)
{
    int64_t silent = quotas_interval_ms(quotas) * SILENT_INTERVALS;
    for (size_t i = 0; i < QUOTA_HOSTS_MAX; i++) {
        quota_host_t *host = &quotas->hosts[i];
        if (host->host == 0) {
            continue;
        }
        if (host->in_touch && now_ms - host->received_ms > silent) {
            host->in_touch = false;
            quotas->in_touch_count--;
            quotas->received_sum_ms -= host->received_ms;
        }
        if (!host->in_touch && now_ms - host->received_ms > KNOWN_MS &&
            now_ms - host->known_ms > KNOWN_MS) {
            host->host = 0;
            quotas->host_count--;
        }
    }
    count_hosts(quotas, now_ms);
}

/* A share of what a started fleet may spend comes with each host that has
 * started with this one. */
static void
join_start(quotas_t *quotas, int64_t now_ms)
{
    for (size_t i = 0; i < QUOTA_BUCKETS && quotas->count > 0; i++) {
        quota_t *quota;
        CK_SLIST_FOREACH (quota, &quotas->buckets[i], entry) {
            quota_advance(quotas, quota, now_ms);
            quota->level += START_PART * allowance(quotas, &quota->limit) /
                            (double)(quotas->host_count + 1);
        }
    }
}

static void
host_received(quotas_t *quotas, quota_host_t *host,
              const peer_datagram_t *datagram, int64_t now_ms)
{
    bool first = host->received_ms == 0;
    quotas->received_sum_ms +=
        now_ms - (host->in_touch ? host->received_ms : 0);
    host->received_ms = now_ms;
    host->known_ms = now_ms;
    host->sequence = datagram->sequence;
    bool restarted = host->incarnation != datagram->incarnation;
    if (!host->in_touch || restarted) {
        host->contact = ++quotas->contacts;
    }
    if (restarted) {
        host->previous = host->incarnation;
        host->incarnation = datagram->incarnation;
    }
    if (host->in_touch) {
        return;
    }
    host->in_touch = true;
    quotas->in_touch_count++;
    if (first && now_ms - quotas->started_ms < LEARN_MS) {
        join_start(quotas, now_ms);
    }
    count_hosts(quotas, now_ms);
}

/* Subtracts what a host has spent since its last announcement.  What it spent
 * while it was out of touch was of its own part. */
static void
apply_usage(quotas_t *quotas, const quota_host_t *host,
            const peer_usage_t *usage, int64_t now_ms)
{
    quota_t *quota = find_hash(quotas, usage->workspace_hash);
    if (quota == NULL) {
        return;
    }
    if (quota->reports == NULL) {
        quota->reports = mem_zalloc(QUOTA_HOSTS_MAX * sizeof(*quota->reports));
    }
    quota_report_t *last = &quota->reports[host - quotas->hosts];
    uint32_t since = last->contact == host->contact
                         ? usage->total_spent - last->spent
                         : usage->recent_spent;
    double delta = (double)(int32_t)since;
    *last = (quota_report_t){usage->total_spent, host->contact};
    quota_advance(quotas, quota, now_ms);
    quota->level -= delta;
    quota->others_sum += delta;
}

/* Applies an announcement; repeated and overtaken ones change nothing.  A
 * host's clock may go back between two lives, so that incarnations have no
 * order. */
void
quotas_apply(quotas_t *quotas, uint64_t from, const peer_datagram_t *datagram,
             int64_t now_ms)
{
    quota_host_t *host = host_find(quotas, from);
    bool same = host != NULL && host->incarnation == datagram->incarnation;
    if (host == NULL || (same && datagram->sequence <= host->sequence) ||
        datagram->incarnation == host->previous) {
        return;
    }
    host_received(quotas, host, datagram, now_ms);
    for (size_t i = 0; i < datagram->usage_count; i++) {
        apply_usage(quotas, host, &datagram->usages[i], now_ms);
    }
}

/* Whether more was spent here than may go without an announcement. */
static bool
has_news(const quotas_t *quotas)
{
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        const quota_t *quota;
        CK_SLIST_FOREACH (quota, &quotas->buckets[i], entry) {
            double unannounced =
                fabs((double)(int32_t)(quota->spent - quota->announced));
            if (unannounced > UNANNOUNCED_PART *
                                  allowance(quotas, &quota->limit) /
                                  (double)(quotas->host_count + 1)) {
                return true;
            }
        }
    }
    return false;
}

/* Fills an announcement of what this host has spent, for all known hosts;
 * false if none is due.  Without news it only shows that this host lives. */
bool
quotas_announce(quotas_t *quotas, peer_datagram_t *out, int64_t now_ms)
{
    int64_t since = now_ms - quotas->announced_ms;
    int64_t interval = quotas_interval_ms(quotas);
    bool due =
        since >= interval || (since >= interval / 2 && has_news(quotas));
    if (quotas->count == 0 || quotas->host_count == 0 || !due) {
        return false;
    }
    quotas->announced_ms = now_ms;
    out->kind = PEER_USAGES;
    out->incarnation = quotas->incarnation;
    out->sequence = ++quotas->sequence;
    out->usage_count = 0;
    for (size_t i = 0; i < QUOTA_BUCKETS; i++) {
        size_t at = (quotas->next_bucket + i) % QUOTA_BUCKETS;
        quota_t *quota;
        CK_SLIST_FOREACH (quota, &quotas->buckets[at], entry) {
            if (quota->spent == quota->announced) {
                continue;
            }
            if (out->usage_count == PEER_USAGES_MAX) {
                quotas->next_bucket = at;
                return true;
            }
            out->usages[out->usage_count++] =
                (peer_usage_t){quota->workspace, quota->spent,
                               quota->spent - quota->announced};
            quota->announced = quota->spent;
        }
    }
    return true;
}
