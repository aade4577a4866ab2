#include "tables.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

/* A bounded queue that is fair among workspaces: start-time fair queueing
 * (Goyal, Vin, Cheng), the cost of a request being its tokens.  Past the
 * bound the newest request of the workspace that waits with the most, by its
 * share, is given up on. */

#define RETRY_AFTER_MAX_S 30

typedef struct flow {
    CK_LIST_ENTRY(flow) entry;
    CK_STAILQ_HEAD(items, sched_item) items;
    char workspace[CS_NAME_MAX];
    int share;
    double finish; /* virtual time of its last item */
    size_t count;
    double cost;
} flow_t;

struct sched {
    pthread_mutex_t lock;
    sched_opts_t opts;
    CK_LIST_HEAD(flows, flow) flows;
    double now; /* virtual time */
    size_t count;
    double cost;
};

/* An empty queue. */
sched_t *
sched_new(const sched_opts_t *opts)
{
    sched_t *sched = mem_zalloc(sizeof(*sched));
    (void)pthread_mutex_init(&sched->lock, NULL);
    sched->opts = *opts;
    return sched;
}

/* Free the queue; its items belong to their owners. */
void
sched_free(sched_t *sched)
{
    flow_t *flow;
    while ((flow = CK_LIST_FIRST(&sched->flows)) != NULL) {
        CK_LIST_REMOVE(flow, entry);
        free(flow);
    }
    (void)pthread_mutex_destroy(&sched->lock);
    free(sched);
}

static flow_t *
flow_of(sched_t *sched, const sched_item_t *item)
{
    flow_t *flow;
    CK_LIST_FOREACH (flow, &sched->flows, entry) {
        if (strcmp(flow->workspace, item->workspace) == 0) {
            return flow;
        }
    }
    flow = mem_zalloc(sizeof(*flow));
    str_copy(flow->workspace, sizeof(flow->workspace), item->workspace);
    CK_STAILQ_INIT(&flow->items);
    CK_LIST_INSERT_HEAD(&sched->flows, flow, entry);
    return flow;
}

static void
flow_remove(sched_t *sched, flow_t *flow, sched_item_t *item)
{
    CK_STAILQ_REMOVE(&flow->items, item, sched_item, entry);
    flow->count--;
    flow->cost -= item->cost;
    sched->count--;
    sched->cost -= item->cost;
}

/* The flow that waits with the most cost for its share. */
static flow_t *
flow_greediest(sched_t *sched)
{
    flow_t *worst = NULL;
    flow_t *flow;
    CK_LIST_FOREACH (flow, &sched->flows, entry) {
        if (flow->count > 0 &&
            (worst == NULL ||
             flow->cost / flow->share > worst->cost / worst->share)) {
            worst = flow;
        }
    }
    return worst;
}

static sched_item_t *
flow_newest(flow_t *flow)
{
    sched_item_t *last = NULL;
    sched_item_t *item;
    CK_STAILQ_FOREACH (item, &flow->items, entry) {
        last = item;
    }
    return last;
}

/* Add an item.  False: it is given up on itself.  True with *evicted set:
 * another one is given up on in its place. */
bool
sched_push(sched_t *sched, sched_item_t *item, sched_item_t **evicted)
{
    LOCK_SCOPE(&sched->lock);
    flow_t *flow = flow_of(sched, item);
    *evicted = NULL;
    flow->share = item->share > 0 ? item->share : 1;
    if (sched->count >= sched->opts.total_max) {
        flow_t *worst = flow_greediest(sched);
        double after = (flow->cost + item->cost) / flow->share;
        if (worst == NULL || worst == flow ||
            worst->cost / worst->share <= after) {
            return false;
        }
        *evicted = flow_newest(worst);
        flow_remove(sched, worst, *evicted);
    }
    if (flow->count == 0 && flow->finish < sched->now) {
        flow->finish = sched->now;
    }
    item->first_of_workspace = flow->count == 0;
    CK_STAILQ_INSERT_TAIL(&flow->items, item, entry);
    flow->count++;
    flow->cost += item->cost;
    sched->count++;
    sched->cost += item->cost;
    return true;
}

/* The flow whose turn it is, or NULL. */
static flow_t *
flow_next(sched_t *sched)
{
    flow_t *best = NULL;
    flow_t *flow;
    CK_LIST_FOREACH (flow, &sched->flows, entry) {
        if (flow->count > 0 && (best == NULL || flow->finish < best->finish)) {
            best = flow;
        }
    }
    return best;
}

/* Take the next item in fair order, or NULL. */
sched_item_t *
sched_pop(sched_t *sched)
{
    LOCK_SCOPE(&sched->lock);
    flow_t *best = flow_next(sched);
    if (best == NULL) {
        return NULL;
    }
    sched_item_t *item = CK_STAILQ_FIRST(&best->items);
    sched->now = best->finish;
    best->finish += item->cost / best->share;
    flow_remove(sched, best, item);
    return item;
}

/* Take the next item in fair order if its place was thought over before a
 * time, to think it over again.  Its workspace is not charged: an item that
 * is taken and put back many times would otherwise lose its turn. */
sched_item_t *
sched_take_stale(sched_t *sched, int64_t before_ms)
{
    LOCK_SCOPE(&sched->lock);
    flow_t *flow = flow_next(sched);
    sched_item_t *item = flow == NULL ? NULL : CK_STAILQ_FIRST(&flow->items);
    if (item == NULL || item->placed_ms > before_ms) {
        return NULL;
    }
    flow_remove(sched, flow, item);
    return item;
}

/* Put back, as the first of its workspace, what sched_take_stale took. */
void
sched_put_back(sched_t *sched, sched_item_t *item)
{
    LOCK_SCOPE(&sched->lock);
    flow_t *flow = flow_of(sched, item);
    CK_STAILQ_INSERT_HEAD(&flow->items, item, entry);
    flow->count++;
    flow->cost += item->cost;
    sched->count++;
    sched->cost += item->cost;
}

/* Take out one item whose deadline has passed, or NULL. */
sched_item_t *
sched_take_expired(sched_t *sched, int64_t now_ms)
{
    LOCK_SCOPE(&sched->lock);
    flow_t *flow;
    CK_LIST_FOREACH (flow, &sched->flows, entry) {
        sched_item_t *item;
        CK_STAILQ_FOREACH (item, &flow->items, entry) {
            if (item->deadline_ms <= now_ms) {
                flow_remove(sched, flow, item);
                return item;
            }
        }
    }
    return NULL;
}

size_t
sched_waiting_count(sched_t *sched)
{
    LOCK_SCOPE(&sched->lock);
    return sched->count;
}

double
sched_waiting_cost(sched_t *sched)
{
    LOCK_SCOPE(&sched->lock);
    return sched->cost;
}

/* When a refused caller should come back, in whole seconds: the time that
 * what waits now will take. */
int
sched_retry_after_s(sched_t *sched, double tokens_per_s)
{
    double cost = sched_waiting_cost(sched);
    int seconds =
        tokens_per_s > 0 ? (int)(cost / tokens_per_s) + 1 : RETRY_AFTER_MAX_S;
    return seconds > RETRY_AFTER_MAX_S ? RETRY_AFTER_MAX_S : seconds;
}

#define BUDGET_MAX 50000 /* thousandths of a retry */
#define BUDGET_PER_REQUEST 200
#define BUDGET_RETRY 1000

/* A budget begins full: one lost server out of nine takes a ninth of all
 * requests with it at once, and they may all be tried elsewhere. */
void
retry_budget_init(retry_budget_t *budget)
{
    __atomic_store_n(&budget->thousandths, BUDGET_MAX, __ATOMIC_RELAXED);
}

/* Each first try earns a fifth of a retry, so that retries cannot multiply a
 * load that is failing already. */
void
retry_budget_earn(retry_budget_t *budget)
{
    uint64_t have;
    uint64_t next;
    do {
        have = __atomic_load_n(&budget->thousandths, __ATOMIC_RELAXED);
        next = have + BUDGET_PER_REQUEST;
        next = next > BUDGET_MAX ? BUDGET_MAX : next;
    } while (!ck_pr_cas_64(&budget->thousandths, have, next));
}

/* Whether a retry may be made; it is paid for if so. */
bool
retry_budget_try_spend(retry_budget_t *budget)
{
    uint64_t have;
    do {
        have = __atomic_load_n(&budget->thousandths, __ATOMIC_RELAXED);
        if (have < BUDGET_RETRY) {
            return false;
        }
    } while (!ck_pr_cas_64(&budget->thousandths, have, have - BUDGET_RETRY));
    return true;
}
