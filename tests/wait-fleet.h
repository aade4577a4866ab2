#ifndef CELERYSPOOL_WAIT_FLEET_H
#define CELERYSPOOL_WAIT_FLEET_H

/* Simulates hosts with a wait queue and return times each, which share engines
 * with slots, in virtual time.  A short urgent class and a long one compete;
 * one of three workspaces may send several times its usual load.  A rejected
 * caller retries once at another host after its retry-after, or comes back
 * early three times.  Admission is a stand-in: a fixed reserve of slots for
 * the urgent class. */

#include "../balance/return-times.h"
#include "../balance/wait-queue.h"
#include "test.h"

#include <math.h>
#include <string.h>

#define FLEET_RUN_MS 16000
#define FLEET_BURST_START_MS 3000
#define FLEET_BURST_END_MS 8000
#define FLEET_HOSTS_MAX 350
#define FLEET_WORKSPACES 3
#define FLEET_HEAVY 0
#define FLEET_SLOTS 16
#define FLEET_BIN_MS 100
#define FLEET_BINS (FLEET_RUN_MS / FLEET_BIN_MS)

typedef struct {
    unsigned priority_class;
    int64_t timeout_ms;
    int64_t wait_max_ms; /* at a host: half of the target */
    int64_t hold_min_ms; /* time that a request occupies a slot */
    int64_t hold_max_ms;
    double per_host_ms; /* usual arrivals */
    int reserve;        /* slots that stay free at an engine */
} fleet_kind_t;

static const fleet_kind_t fleet_kinds[] = {
    {0, 2500, 125, 100, 300, 0.0207, 0},
    {2, 12000, 400, 2000, 4000, 0.00214, 3}};
#define FLEET_KINDS (sizeof(fleet_kinds) / sizeof(fleet_kinds[0]))

typedef struct fleet_caller {
    wait_item_t item;
    CK_SLIST_ENTRY(fleet_caller) due; /* in arrivals */
    const fleet_kind_t *kind;
    size_t workspace;
    size_t host;
    int64_t first_ms;
    int64_t placed_ms;
    int64_t hold_ms;
    unsigned attempts;
    bool hasty; /* comes back early, three times */
    bool served;
} fleet_caller_t;

typedef struct {
    wait_queue_t queue;
    return_times_t times;
    bool down;
} fleet_host_t;

/* What callers of one kind and workspace that first arrived during the burst
 * got. */
typedef struct {
    double callers;
    double served;
    double delay_ms; /* sum; a caller that is not served counts its timeout */
} fleet_result_t;

typedef struct {
    size_t hosts;
    fleet_host_t host[FLEET_HOSTS_MAX];
    int busy[FLEET_HOSTS_MAX]; /* one engine per host */
    int least_busy;            /* a lower bound in the present moment */
    CK_SLIST_HEAD(fleet_due, fleet_caller) arrivals[FLEET_RUN_MS];
    int released[FLEET_RUN_MS][FLEET_HOSTS_MAX];
    unsigned returns[FLEET_KINDS][FLEET_BINS];
    fleet_result_t results[FLEET_KINDS][FLEET_WORKSPACES][2]; /* by hasty */
    double load;                    /* of all workspaces during the burst */
    double heavy_load[FLEET_KINDS]; /* of one of them, besides */
    double hasty_share;             /* of the callers */
    double hasty_after; /* part of the retry-after that these wait */
    int64_t down_ms;    /* when half of the hosts die; 0 for never */
    size_t longest_queue;
    rng_t rng;
} fleet_t;

static inline fleet_t *
fleet_new(size_t hosts, uint64_t seed)
{
    fleet_t *fleet = mem_zalloc(sizeof(*fleet));
    fleet->hosts = hosts;
    fleet->load = 1;
    for (size_t k = 0; k < FLEET_KINDS; k++) {
        fleet->heavy_load[k] = 1;
    }
    fleet->rng.state = seed;
    for (size_t i = 0; i < hosts; i++) {
        rng_t rng = {rng_next(&fleet->rng)};
        wait_queue_init(&fleet->host[i].queue);
        return_times_init(&fleet->host[i].times, rng, 0);
    }
    return fleet;
}

/* Adds up what a caller got, and frees it. */
static inline void
fleet_settle(fleet_t *fleet, fleet_caller_t *caller)
{
    bool burst = caller->first_ms >= FLEET_BURST_START_MS &&
                 caller->first_ms < FLEET_BURST_END_MS;
    if (burst) {
        fleet_result_t *result =
            &fleet->results[caller->kind - fleet_kinds][caller->workspace]
                           [caller->hasty];
        result->callers++;
        result->served += caller->served;
        result->delay_ms +=
            (double)(caller->served ? caller->placed_ms - caller->first_ms
                                    : caller->kind->timeout_ms);
    }
    free(caller);
}

/* A caller that comes after the end of the run is counted as rejected. */
static inline void
fleet_come(fleet_t *fleet, fleet_caller_t *caller, int64_t at_ms)
{
    if (at_ms >= FLEET_RUN_MS) {
        fleet_settle(fleet, caller);
        return;
    }
    CK_SLIST_INSERT_HEAD(&fleet->arrivals[at_ms], caller, due);
}

/* Rejects an attempt: the caller gives up or comes back to another host. */
static inline void
fleet_reject(fleet_t *fleet, fleet_caller_t *caller, int64_t now)
{
    int64_t waited = now - caller->first_ms;
    int64_t remaining = caller->kind->timeout_ms - waited;
    int64_t after =
        return_time_next(&fleet->host[caller->host].times,
                         caller->kind->priority_class, waited, remaining, now);
    ck_assert_int_le(after, remaining / 3);
    if (caller->attempts > (caller->hasty ? 3 : 1)) {
        fleet_settle(fleet, caller);
        return;
    }
    fleet_come(
        fleet, caller,
        now + 1 +
            (caller->hasty ? (int64_t)((double)after * fleet->hasty_after)
                           : after));
}

/* An attempt arrives at a host that is up. */
static inline void
fleet_arrive(fleet_t *fleet, fleet_caller_t *caller, int64_t now)
{
    size_t kind = (size_t)(caller->kind - fleet_kinds);
    wait_item_t *evicted;
    do {
        caller->host = rng_below(&fleet->rng, fleet->hosts);
    } while (fleet->host[caller->host].down);
    fleet_host_t *host = &fleet->host[caller->host];
    int64_t waited = now - caller->first_ms;
    if (caller->attempts++ > 0) {
        return_times_note_returned(&host->times, caller->kind->priority_class,
                                   waited, now);
        fleet->returns[kind][now / FLEET_BIN_MS]++;
    }
    caller->item.priority_class = caller->kind->priority_class;
    caller->item.workspace = caller->workspace + 1;
    caller->item.cost = (double)caller->hold_ms;
    caller->item.waited_ms = waited;
    caller->item.arrived_ms = now;
    /* One step more, in which it is placed if there is capacity. */
    caller->item.deadline_ms =
        now + 1 +
        return_wait_ms(&host->times, caller->kind->priority_class,
                       caller->kind->wait_max_ms, waited,
                       caller->kind->timeout_ms - waited);
    if (!wait_queue_push(&host->queue, &caller->item, now, &evicted)) {
        fleet_reject(fleet, caller, now);
    }
    if (evicted != NULL) {
        fleet_reject(fleet, (fleet_caller_t *)evicted, now);
    }
    if (wait_queue_total(&host->queue) > fleet->longest_queue) {
        fleet->longest_queue = wait_queue_total(&host->queue);
    }
}

/* Returns an engine that takes a request of a kind, or -1.  A host looks at
 * all engines, from a random one on. */
static inline int
fleet_choose_engine(fleet_t *fleet, const fleet_kind_t *kind, bool over_share)
{
    int limit = FLEET_SLOTS - kind->reserve - (over_share ? 1 : 0);
    size_t start = rng_below(&fleet->rng, fleet->hosts);
    for (size_t i = 0; i < fleet->hosts && limit > fleet->least_busy; i++) {
        size_t engine = (start + i) % fleet->hosts;
        if (fleet->busy[engine] < limit) {
            return (int)engine;
        }
    }
    /* None: later requests of this moment need not look. */
    fleet->least_busy = limit > fleet->least_busy ? limit : fleet->least_busy;
    return -1;
}

/* Checks that nobody waits past its deadline, and that no item of the same
 * class and workspace has waited longer. */
static inline void
fleet_check_order(fleet_host_t *host, wait_item_t *placed, int64_t now)
{
    wait_item_t *item = wait_queue_first(&host->queue);
    ck_assert_int_le(now, placed->deadline_ms);
    for (; item != NULL; item = wait_queue_next(&host->queue, item)) {
        ck_assert_uint_ge(item->priority_class, placed->priority_class);
        if (item->priority_class == placed->priority_class &&
            item->workspace == placed->workspace) {
            ck_assert_int_ge(item->arrived_ms - item->waited_ms,
                             placed->arrived_ms - placed->waited_ms);
        }
    }
}

/* Places a waiting request if there is capacity for it.  One whose workspace
 * is over its share leaves one more slot free. */
static inline bool
fleet_place(fleet_t *fleet, fleet_host_t *host, fleet_caller_t *caller,
            int64_t now)
{
    wait_item_t *item = &caller->item;
    bool over = wait_queue_over_share(&host->queue, item);
    int engine = fleet_choose_engine(fleet, caller->kind, over);
    if (engine < 0) {
        return false;
    }
    fleet_check_order(host, item, now);
    wait_queue_remove(&host->queue, item, true);
    return_times_note_admitted(&host->times, item->priority_class, now);
    fleet->busy[engine]++;
    if (now + caller->hold_ms < FLEET_RUN_MS) {
        fleet->released[now + caller->hold_ms][engine]++;
    }
    caller->placed_ms = now;
    caller->served = true;
    fleet_settle(fleet, caller);
    return true;
}

/* Places waiting requests of a host for which there is capacity, and rejects
 * those whose wait has ended. */
static inline void
fleet_serve_host(fleet_t *fleet, fleet_host_t *host, int64_t now)
{
    wait_item_t *item = wait_queue_first(&host->queue);
    while (item != NULL) {
        /* Placing one changes who is over its share: start again. */
        wait_item_t *next = wait_queue_next(&host->queue, item);
        bool placed = fleet_place(fleet, host, (fleet_caller_t *)item, now);
        item = placed ? wait_queue_first(&host->queue) : next;
    }
    while ((item = wait_queue_expired(&host->queue, now)) != NULL) {
        wait_queue_remove(&host->queue, item, false);
        fleet_reject(fleet, (fleet_caller_t *)item, now);
    }
}

/* Half of the hosts die with their queues.  Their callers' connections break,
 * and the callers come back at once. */
static inline void
fleet_kill_half(fleet_t *fleet, int64_t now)
{
    for (size_t i = 0; i < fleet->hosts / 2; i++) {
        wait_item_t *item;
        fleet->host[i].down = true;
        while ((item = wait_queue_first(&fleet->host[i].queue)) != NULL) {
            wait_queue_remove(&fleet->host[i].queue, item, false);
            fleet_come(fleet, (fleet_caller_t *)item, now + 1);
        }
    }
}

/* New callers of one millisecond. */
static inline void
fleet_add_callers(fleet_t *fleet, int64_t now)
{
    bool burst = now >= FLEET_BURST_START_MS && now < FLEET_BURST_END_MS;
    for (size_t k = 0; k < FLEET_KINDS; k++) {
        const fleet_kind_t *kind = &fleet_kinds[k];
        for (size_t w = 0; w < FLEET_WORKSPACES; w++) {
            double due =
                kind->per_host_ms * (double)fleet->hosts / FLEET_WORKSPACES *
                (burst ? fleet->load : 1) *
                (burst && w == FLEET_HEAVY ? fleet->heavy_load[k] : 1);
            /* Poisson arrivals: exponential gaps within the millisecond. */
            double at = -log(1 - rng_unit(&fleet->rng));
            while (at < due) {
                at -= log(1 - rng_unit(&fleet->rng));
                fleet_caller_t *caller = mem_zalloc(sizeof(*caller));
                caller->kind = kind;
                caller->workspace = w;
                caller->first_ms = now;
                caller->hold_ms =
                    kind->hold_min_ms +
                    (int64_t)rng_below(
                        &fleet->rng,
                        (uint64_t)(kind->hold_max_ms - kind->hold_min_ms));
                caller->hasty = rng_unit(&fleet->rng) < fleet->hasty_share;
                fleet_come(fleet, caller, now);
            }
        }
    }
}

static inline void
fleet_step(fleet_t *fleet, int64_t now)
{
    fleet_caller_t *caller;
    for (size_t i = 0; i < fleet->hosts; i++) {
        fleet->busy[i] -= fleet->released[now][i];
    }
    fleet->least_busy = 0;
    if (fleet->down_ms > 0 && now == fleet->down_ms) {
        fleet_kill_half(fleet, now);
    }
    fleet_add_callers(fleet, now);
    while ((caller = CK_SLIST_FIRST(&fleet->arrivals[now])) != NULL) {
        CK_SLIST_REMOVE_HEAD(&fleet->arrivals[now], due);
        fleet_arrive(fleet, caller, now);
    }
    size_t start = rng_below(&fleet->rng, fleet->hosts);
    for (size_t i = 0; i < fleet->hosts; i++) {
        fleet_host_t *host = &fleet->host[(start + i) % fleet->hosts];
        fleet_serve_host(fleet, host, now);
    }
}

/* Runs from the start, until all who came are served or rejected. */
static inline void
fleet_run(fleet_t *fleet)
{
    for (int64_t now = 0; now < FLEET_RUN_MS; now++) {
        fleet_step(fleet, now);
    }
    for (size_t i = 0; i < fleet->hosts; i++) {
        wait_item_t *item;
        while ((item = wait_queue_first(&fleet->host[i].queue)) != NULL) {
            wait_queue_remove(&fleet->host[i].queue, item, false);
            fleet_settle(fleet, (fleet_caller_t *)item);
        }
    }
}

static inline void
fleet_add(fleet_result_t *sum, const fleet_result_t *result)
{
    sum->callers += result->callers;
    sum->served += result->served;
    sum->delay_ms += result->delay_ms;
}

/* Returns the sum of the results of a kind, from some workspace on. */
static inline fleet_result_t
fleet_sum(const fleet_t *fleet, size_t kind, size_t from_workspace, bool hasty)
{
    fleet_result_t sum = {0};
    for (size_t w = from_workspace; w < FLEET_WORKSPACES; w++) {
        fleet_add(&sum, &fleet->results[kind][w][hasty]);
    }
    return sum;
}

static inline double
fleet_served_share(fleet_result_t result)
{
    return result.served / result.callers;
}

#endif
