#include "server-limit.h"

#include <math.h>

/* A limit binds all hosts together, but a host only reads the answers to its
 * own requests.  So the hosts notify each other of changes alone, and each
 * derives its part from the number of hosts:
 *
 * - Only a few hosts use a limited server, those that rank first for it.  An
 *   equal part for each of hundreds of hosts would be a request in minutes,
 *   and all of them could send one at the same moment.
 * - Each of these has a token bucket that is filled at its part of the limit.
 *   The buckets of all hosts together hold few enough requests to be sent at
 *   once.
 * - Every other host sends a single request at long, random intervals: it
 *   would otherwise never learn that the limit has ended, if the notice is
 *   lost.
 * - No host uses a server that states 0.  The first few send it the single
 *   requests more often, and notify the others when the limit has ended. */

/* Hosts that use a limited server, at least, and per request a second. */
#define USERS_MIN 4
#define USERS_PER_RATE 2.0
/* Shares of the limit for the hosts that use the server and for the single
 * requests of the others. */
#define USERS_SHARE (1 - RECHECK_SHARE)
#define RECHECK_SHARE 0.1
/* A bucket holds what is filled in within BURST_S, at least one request. */
#define BURST_S 0.4
/* When a limit begins, nothing is sent for this long, s: the requests that
 * were sent before count too. */
#define START_PAUSE_S 1.0
/* The hosts' first requests are spread over this part of the time that a
 * token takes. */
#define START_SPREAD 0.5
/* Limit that the single requests are derived from at least: a server that
 * states 0 would otherwise never be asked again. */
#define RECHECK_PER_S_MIN 1.0
/* A single request that is not sent within this time waits for the next
 * interval; otherwise it could be sent with those of many other hosts. */
#define RECHECK_WINDOW_MS 2000
/* A change by a smaller share, or sooner after the last one, is not announced:
 * a limit may follow the server's load. */
#define ANNOUNCED_CHANGE 0.1
#define ANNOUNCE_INTERVAL_MS 1000
/* Longest Retry-After of a rejected caller. */
#define RESERVATION_MS_MAX 5000
/* Cost of sending a prompt below the mean size to a limited server: about that
 * of a server that has just rejected a request. */
#define SMALL_PROMPT_COST_MS 300.0
/* Tokens that probes may take from an empty bucket. */
#define PROBE_DEBT 1.0

/* Highest limit that is kept; a higher one limits nothing. */
#define PER_S_MAX 1e6

static size_t
count_users(const server_limit_t *limit)
{
    double wanted = ceil(limit->current.per_s * USERS_PER_RATE);
    size_t live = limit->hosts.live > 0 ? limit->hosts.live : 1;
    wanted = wanted > USERS_MIN ? wanted : USERS_MIN;
    return wanted < (double)live ? (size_t)wanted : live;
}

/* Whether this host is one of those that use the server. */
static bool
is_user(const server_limit_t *limit)
{
    return limit->hosts.assumed > 0 && limit->current.per_s > 0 &&
           limit->hosts.rank < count_users(limit);
}

/* Returns this host's part of the limit, requests a second, as one of those
 * that use the server.  Hosts that are assumed but not live may be using
 * theirs. */
static double
part_per_s(const server_limit_t *limit)
{
    const server_limit_hosts_t *hosts = &limit->hosts;
    double live_share = hosts->assumed > hosts->live
                            ? (double)hosts->live / (double)hosts->assumed
                            : 1;
    size_t users = count_users(limit);
    double share = users < hosts->live ? USERS_SHARE : 1;
    return limit->current.per_s * share * live_share / (double)users;
}

static double
capacity(const server_limit_t *limit)
{
    double burst = part_per_s(limit) * BURST_S;
    return burst > 1 ? burst : 1;
}

/* Returns the level of the bucket at a time. */
static double
level_at(const server_limit_t *limit, int64_t now_ms)
{
    double seconds = (double)(now_ms - limit->updated_ms) / 1000;
    double level = limit->level + seconds * part_per_s(limit);
    double max = capacity(limit);
    return level < max ? level : max;
}

static void
advance(server_limit_t *limit, int64_t now_ms)
{
    if (is_user(limit)) {
        limit->level = level_at(limit, now_ms);
    }
    limit->updated_ms = now_ms;
}

/* Whether this host is one of those that rank first for a server that states
 * 0. */
static bool
is_first(const server_limit_t *limit)
{
    return limit->current.stated && limit->current.per_s <= 0 &&
           limit->hosts.live > 0 && limit->hosts.rank < count_users(limit);
}

/* Returns the number of hosts that share the single requests.  The first ones
 * for a server that states 0 send them as if alone, or half as often if other
 * hosts are assumed, of which some may do the same. */
static size_t
count_sharing(const server_limit_t *limit)
{
    const server_limit_hosts_t *hosts = &limit->hosts;
    if (!is_first(limit)) {
        return hosts->assumed;
    }
    return hosts->assumed > hosts->live ? 2 : 1;
}

/* Sets the time of the next single request: after about one interval, since
 * all hosts learn of a limit at the same moment. */
static void
plan_recheck(server_limit_t *limit, int64_t now_ms)
{
    double per_s = limit->current.per_s > RECHECK_PER_S_MIN
                       ? limit->current.per_s
                       : RECHECK_PER_S_MIN;
    double interval_ms =
        (double)count_sharing(limit) * 1000 / (per_s * RECHECK_SHARE);
    limit->recheck_ms =
        now_ms + (int64_t)(interval_ms * (0.5 + rng_unit(&limit->rng)));
}

static void
begin(server_limit_t *limit, int64_t now_ms)
{
    limit->level = -START_PAUSE_S * part_per_s(limit) -
                   START_SPREAD * rng_unit(&limit->rng);
    limit->updated_ms = now_ms;
    limit->reserved_until_ms = now_ms;
    plan_recheck(limit, now_ms);
}

void
server_limit_init(server_limit_t *limit, uint64_t seed)
{
    *limit = (server_limit_t){.rng = {seed}};
}

static void
set_current(server_limit_t *limit, bool stated, double per_s, int64_t now_ms)
{
    bool begins = stated && !limit->current.stated;
    bool becomes_zero = stated && per_s <= 0 && limit->current.per_s > 0;
    advance(limit, now_ms);
    limit->current.stated = stated;
    limit->current.per_s = per_s;
    if (begins) {
        begin(limit, now_ms);
    }
    else if (becomes_zero) {
        plan_recheck(limit, now_ms);
    }
}

/* Whether to announce a limit that an answer states: it is new, or differs
 * enough from the announced one. */
static bool
is_notable(const server_limit_t *limit, double per_s, int64_t now_ms)
{
    if (!limit->current.stated) {
        return true;
    }
    return now_ms - limit->announced_ms >= ANNOUNCE_INTERVAL_MS &&
           fabs(per_s - limit->announced_per_s) >
               ANNOUNCED_CHANGE * limit->announced_per_s;
}

static void
set_announced(server_limit_t *limit, int64_t now_ms)
{
    limit->announced_per_s = limit->current.per_s;
    limit->announced_ms = now_ms;
    limit->unannounced = true;
}

/* Applies a limit that an answer of the server states.  Returns whether it is
 * new or has changed enough to notify others. */
bool
server_limit_hear(server_limit_t *limit, double per_s, int64_t now_ms)
{
    per_s = per_s < PER_S_MAX ? per_s : PER_S_MAX;
    bool notable = is_notable(limit, per_s, now_ms);
    set_current(limit, true, per_s, now_ms);
    limit->learned_ms = now_ms;
    if (notable) {
        limit->current.revision++;
        set_announced(limit, now_ms);
    }
    return notable;
}

/* Applies an answer that states no limit; sent_ms is when the request was
 * sent.  Answers may overtake each other: only one to a request that was sent
 * after the limit was last stated shows that it has ended.  Returns whether it
 * has. */
bool
server_limit_hear_none(server_limit_t *limit, int64_t sent_ms)
{
    if (!limit->current.stated || sent_ms <= limit->learned_ms) {
        return false;
    }
    limit->current = (server_limit_notice_t){
        .revision = limit->current.revision + 1, .stated = false};
    limit->unannounced = true;
    return true;
}

/* Whether a notice replaces what is known.  Of two hosts' changes with the
 * same revision the stricter one counts. */
static bool
is_newer(const server_limit_notice_t *notice,
         const server_limit_notice_t *current)
{
    int32_t ahead = (int32_t)(notice->revision - current->revision);
    if (ahead != 0) {
        return ahead > 0;
    }
    return notice->stated &&
           (!current->stated || notice->per_s < current->per_s);
}

/* Applies another host's notice; returns whether it is newer.  A host that
 * knows less than this one, as after a restart, is answered: its later changes
 * would be ignored by all others. */
bool
server_limit_apply(server_limit_t *limit, const server_limit_notice_t *notice,
                   int64_t now_ms)
{
    if (!is_newer(notice, &limit->current)) {
        limit->unannounced |= notice->revision != limit->current.revision;
        return false;
    }
    set_current(limit, notice->stated, notice->per_s, now_ms);
    limit->current.revision = notice->revision;
    set_announced(limit, now_ms);
    if (notice->stated) {
        limit->learned_ms = now_ms;
    }
    return true;
}

/* Sets the hosts that share the limit.  Called at short intervals. */
void
server_limit_set_hosts(server_limit_t *limit,
                       const server_limit_hosts_t *hosts, int64_t now_ms)
{
    bool was_user = is_user(limit);
    bool was_first = is_first(limit);
    bool knew_hosts = limit->hosts.assumed > 0;
    advance(limit, now_ms);
    limit->hosts = *hosts;
    if (limit->current.stated && !was_user && is_user(limit)) {
        begin(limit, now_ms);
    }
    bool becomes_first = !was_first && is_first(limit);
    if (!knew_hosts || becomes_first ||
        now_ms >= limit->recheck_ms + RECHECK_WINDOW_MS) {
        plan_recheck(limit, now_ms);
    }
}

/* Whether a request may be sent to the server now. */
bool
server_limit_allows(const server_limit_t *limit, int64_t now_ms)
{
    return !limit->current.stated || server_limit_wait_ms(limit, now_ms) == 0;
}

/* Whether a probe may be sent.  It shows whether requests at the server have
 * to go elsewhere, so it may take a token in advance.  A host that does not
 * use the server has one such token for the whole limit. */
bool
server_limit_allows_probe(const server_limit_t *limit, int64_t now_ms)
{
    return server_limit_allows(limit, now_ms) ||
           level_at(limit, now_ms) > -PROBE_DEBT;
}

/* Returns the time until this host may send a request to a server whose limit
 * is stated. */
int64_t
server_limit_wait_ms(const server_limit_t *limit, int64_t now_ms)
{
    if (is_user(limit)) {
        double missing = 1 - level_at(limit, now_ms);
        return missing > 0 ? (int64_t)ceil(missing * 1000 / part_per_s(limit))
                           : 0;
    }
    if (limit->hosts.assumed == 0) {
        return INT32_MAX;
    }
    if (now_ms < limit->recheck_ms) {
        return limit->recheck_ms - now_ms;
    }
    return now_ms < limit->recheck_ms + RECHECK_WINDOW_MS ? 0 : INT32_MAX;
}

/* Returns the cost, ms, of one of the few requests that a server takes.  The
 * limit counts requests, whatever they need, so the larger ones relieve the
 * other servers most. */
double
server_limit_cost_ms(const server_limit_t *limit, double prompt_tokens,
                     double mean_prompt_tokens)
{
    return limit->current.stated && prompt_tokens < mean_prompt_tokens
               ? SMALL_PROMPT_COST_MS
               : 0;
}

/* Counts a request or a probe that is sent to the server. */
void
server_limit_take(server_limit_t *limit, int64_t now_ms)
{
    if (!limit->current.stated) {
        return;
    }
    advance(limit, now_ms);
    limit->level -= 1;
    if (is_user(limit)) {
        return;
    }
    if (limit->level < -PROBE_DEBT) {
        limit->level = -PROBE_DEBT;
    }
    plan_recheck(limit, now_ms);
}

/* Returns the time after which a rejected caller should return: when an even
 * part of the limit has served those who were rejected before.  It may return
 * to any host. */
int64_t
server_limit_reservation_ms(const server_limit_t *limit, int64_t now_ms)
{
    int64_t own_ms = server_limit_wait_ms(limit, now_ms);
    int64_t reserved_ms = limit->reserved_until_ms - now_ms;
    int64_t after_ms =
        is_user(limit) && own_ms > reserved_ms ? own_ms : reserved_ms;
    after_ms = after_ms > 0 ? after_ms : 0;
    return after_ms < RESERVATION_MS_MAX ? after_ms : RESERVATION_MS_MAX;
}

/* Promises the next request of an even part of the limit to a caller. */
void
server_limit_reserve(server_limit_t *limit, int64_t now_ms)
{
    size_t hosts = limit->hosts.live > 0 ? limit->hosts.live : 1;
    int64_t from_ms = now_ms + server_limit_reservation_ms(limit, now_ms);
    double interval_ms =
        limit->current.per_s > 0
            ? (double)hosts * 1000 / (limit->current.per_s * USERS_SHARE)
            : RESERVATION_MS_MAX;
    limit->reserved_until_ms =
        from_ms + (int64_t)(interval_ms < RESERVATION_MS_MAX
                                ? interval_ms
                                : RESERVATION_MS_MAX);
}
