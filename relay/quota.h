#ifndef CELERYSPOOL_QUOTA_H
#define CELERYSPOOL_QUOTA_H

/* Rate limits of workspaces, in tokens or requests, over all hosts together.
 * No I/O and no clock. */

#include "../kernel/peer-codec.h"

#include <ck_queue.h>

#define QUOTA_HOSTS_MAX 512
#define QUOTA_BUCKETS 1024

typedef struct {
    double rate;  /* units a second; 0 for no limit */
    double burst; /* units */
} quota_limit_t;

/* How far all hosts together may exceed a limit: in any window, the limit
 * times (1 + overage), plus slack. */
typedef struct {
    double window_s;
    double overage;
    double slack; /* units */
} quota_bounds_t;

typedef struct {
    bool allowed;
    int64_t retry_after_ms; /* when to come back, 0 where it never fits */
} quota_decision_t;

/* The last announcement of one other host for a workspace. */
typedef struct {
    uint32_t spent;   /* of its lifetime, wraps */
    unsigned session; /* in which that was received; 0 for none */
} quota_report_t;

typedef struct quota {
    CK_SLIST_ENTRY(quota) entry;
    uint64_t workspace; /* hash of its name */
    char name[CS_NAME_MAX];
    quota_limit_t limit;
    unsigned config_seen; /* of the configuration that it was last in */
    double level;        /* left for the hosts in touch; negative for a debt */
    int64_t updated_ms;  /* when that was */
    uint32_t spent;      /* by this host, of its lifetime, wraps */
    uint32_t announced;  /* the same, as last announced */
    double reserved;     /* of callers that were given a time to come back */
    double others_rate;  /* spent by other hosts, units a ms */
    double others_spent; /* the same, of the present slice */
    int64_t slice_started_ms; /* begin of that slice */
    quota_report_t *reports; /* by number of host; NULL until one has spoken */
    uint64_t allowed;
    uint64_t rejected;
} quota_t;

/* Another host that may spend. */
typedef struct {
    uint64_t host; /* its address; 0 for a free place */
    int64_t confirmed_ms;
    int64_t received_ms; /* 0 for never */
    uint64_t incarnation;
    uint64_t previous_incarnation; /* incarnation before this one */
    uint64_t sequence;
    unsigned session; /* span without silence or restart, unique */
    bool reachable;
} quota_host_t;

typedef struct {
    CK_SLIST_HEAD(quota_bucket, quota) buckets[QUOTA_BUCKETS];
    quota_bounds_t bounds;
    quota_host_t hosts[QUOTA_HOSTS_MAX];
    size_t host_count; /* known ones */
    size_t reachable_count;
    int64_t received_sum_ms; /* of the hosts in touch */
    double share; /* of each limit that the hosts in touch may spend */
    int64_t started_ms;
    unsigned last_session; /* so far */
    size_t count;
    unsigned config_count;
    uint64_t incarnation;
    uint64_t sequence;
    size_t next_bucket; /* of the next announcement */
    int64_t announced_ms;
} quotas_t;

void quotas_init(quotas_t *quotas, const quota_bounds_t *bounds,
                 uint64_t incarnation, int64_t now_ms);
void quotas_free(quotas_t *quotas);

/* A configuration is in force: begin, set for each limited workspace, end.
 * Workspaces that were not set have no limit any more. */
void quotas_config_begin(quotas_t *quotas);
void quotas_config_set(quotas_t *quotas, const char *workspace,
                       const quota_limit_t *limit, int64_t now_ms);
void quotas_config_end(quotas_t *quotas);

quota_t *quotas_find(const quotas_t *quotas, const char *workspace);
quota_decision_t quota_try_spend(quotas_t *quotas, quota_t *quota, double cost,
                                 int64_t now_ms);
void quota_spend(quotas_t *quotas, quota_t *quota, double cost,
                 int64_t now_ms);
void quota_refund(quotas_t *quotas, quota_t *quota, double cost,
                  int64_t now_ms);
double quota_available(quotas_t *quotas, quota_t *quota, int64_t now_ms);
double quota_estimate_unreported(const quotas_t *quotas, const quota_t *quota,
                                 int64_t now_ms);

/* Other hosts. */
void quotas_confirm_host(quotas_t *quotas, uint64_t host, int64_t now_ms);
void quotas_tick(quotas_t *quotas, int64_t now_ms);
int64_t quotas_announce_interval_ms(const quotas_t *quotas);
bool quotas_announce(quotas_t *quotas, peer_datagram_t *out, int64_t now_ms);
void quotas_apply(quotas_t *quotas, uint64_t host,
                  const peer_datagram_t *datagram, int64_t now_ms);

#endif
