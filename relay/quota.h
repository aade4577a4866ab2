#ifndef CELERYSPOOL_QUOTA_H
#define CELERYSPOOL_QUOTA_H

/* Rate limits of workspaces, in tokens or requests, enforced over all hosts
 * together.  No I/O and no clock. */

#include "../kernel/peer-codec.h"

#include <ck_queue.h>

#define QUOTA_HOSTS_MAX 512
#define QUOTA_BUCKETS 1024

typedef struct {
    double rate;  /* units a second; 0 for no limit */
    double burst; /* units */
} quota_limit_t;

/* In any window all hosts together may spend (rate * window_s + burst) *
 * (1 + overage) + slack units. */
typedef struct {
    double window_s;
    double overage;
    double slack; /* units */
} quota_bounds_t;

typedef struct {
    bool allowed;
    int64_t retry_after_ms; /* 0 if the cost can never be allowed */
} quota_decision_t;

/* What another host last announced for a workspace. */
typedef struct {
    uint32_t total_spent; /* by that host, modulo 2^32 */
    unsigned session;     /* session of the announcement; 0 for none */
} quota_report_t;

typedef struct quota {
    CK_SLIST_ENTRY(quota) entry;
    uint64_t workspace_hash; /* hash of its name */
    char name[CS_NAME_MAX];
    quota_limit_t limit;
    unsigned config_seen;     /* config_count when the limit was last set */
    double level;             /* units in the bucket; negative for a debt */
    int64_t updated_ms;       /* when the level was last computed */
    uint32_t total_spent;     /* by this host, modulo 2^32 */
    uint32_t announced_spent; /* total_spent last announced */
    double reserved;          /* units for the retries of rejected callers */
    double others_rate;       /* units per ms that other hosts spend */
    double others_spent;      /* units of other hosts in the current slice */
    int64_t slice_started_ms;
    quota_report_t *reports; /* by index of the host; NULL before the first */
    uint64_t allowed;
    uint64_t rejected;
} quota_t;

/* Another host that may spend units of the limits. */
typedef struct {
    uint64_t id; /* its address and port; 0 for a free slot */
    /* When it last announced, was listed or was a member. */
    int64_t confirmed_ms;
    int64_t received_ms; /* time of its last announcement; 0 for never */
    uint64_t incarnation;
    uint64_t previous_incarnation;
    uint64_t sequence; /* of its last announcement */
    unsigned session;  /* unique; a new one after silence or a restart */
    bool reachable;    /* it announced recently */
} quota_host_t;

typedef struct {
    CK_SLIST_HEAD(quota_bucket, quota) buckets[QUOTA_BUCKETS];
    quota_bounds_t bounds;
    quota_host_t hosts[QUOTA_HOSTS_MAX];
    size_t host_count; /* slots of hosts in use */
    size_t reachable_count;
    int64_t received_sum_ms; /* sum of received_ms of the reachable hosts */
    double share; /* of each limit, for this host and the reachable ones */
    int64_t started_ms;
    unsigned last_session; /* highest session number given out */
    size_t count;          /* workspaces with a limit */
    unsigned config_count; /* configurations applied so far */
    uint64_t incarnation;
    uint64_t sequence;  /* of this host's last announcement */
    size_t next_bucket; /* hash bucket where the next announcement starts */
    int64_t announced_ms;
} quotas_t;

void quotas_init(quotas_t *quotas, const quota_bounds_t *bounds,
                 uint64_t incarnation, int64_t now_ms);
void quotas_free(quotas_t *quotas);

/* Applying a configuration: begin, set for each workspace with a limit, end.
 * Workspaces that are not set lose their limit. */
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

/* Sharing the limits with other hosts. */
void quotas_confirm_host(quotas_t *quotas, uint64_t host, int64_t now_ms);
void quotas_tick(quotas_t *quotas, int64_t now_ms);
int64_t quotas_announce_interval_ms(const quotas_t *quotas);
bool quotas_announce(quotas_t *quotas, peer_datagram_t *out, int64_t now_ms);
void quotas_apply(quotas_t *quotas, uint64_t host,
                  const peer_datagram_t *datagram, int64_t now_ms);

#endif
