#include "tables.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

/* A bounded queue that is fair among workspaces: start-time fair queueing
 * (Goyal, Vin, Cheng), where the cost of a request is its tokens.  When the
 * queue is full, the newest request of the workspace with the largest backlog
 * relative to its share is evicted. */

#define RETRY_AFTER_MAX_S 30

typedef struct flow {
    CK_LIST_ENTRY(flow) entry;
    CK_STAILQ_HEAD(items, sched_item) items;
    char workspace[CS_NAME_MAX];
    int share;
    double finish_tag; /* of the last item taken; start tag of the next */
    size_t count;
    double cost;
} flow_t;

struct sched {
    pthread_mutex_t lock;
    sched_opts_t opts;
    CK_LIST_HEAD(flows, flow) flows;
    double virtual_time; /* start tag of the last item taken */
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

/* Free the queue, but not its items, which belong to their owners. */
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
flow_get_or_create(sched_t *sched, const sched_item_t *item)
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

/* The flow with the largest waiting cost relative to its share, or NULL. */
static flow_t *
flow_most_backlogged(sched_t *sched)
{
    flow_t *largest = NULL;
    flow_t *flow;
    CK_LIST_FOREACH (flow, &sched->flows, entry) {
        if (flow->count > 0 &&
            (largest == NULL ||
             flow->cost / flow->share > largest->cost / largest->share)) {
            largest = flow;
        }
    }
    return largest;
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

/* Add an item.  False if it is rejected.  True with *evicted set if another
 * item was removed to make room. */
bool
sched_push(sched_t *sched, sched_item_t *item, sched_item_t **evicted)
{
    LOCK_SCOPE(&sched->lock);
    flow_t *flow = flow_get_or_create(sched, item);
    *evicted = NULL;
    flow->share = item->share > 0 ? item->share : 1;
    if (sched->count >= sched->opts.total_max) {
        flow_t *largest = flow_most_backlogged(sched);
        double ratio_with_item = (flow->cost + item->cost) / flow->share;
        if (largest == NULL || largest == flow ||
            largest->cost / largest->share <= ratio_with_item) {
            return false;
        }
        *evicted = flow_newest(largest);
        flow_remove(sched, largest, *evicted);
    }
    if (flow->count == 0 && flow->finish_tag < sched->virtual_time) {
        flow->finish_tag = sched->virtual_time;
    }
    item->first_of_workspace = flow->count == 0;
    CK_STAILQ_INSERT_TAIL(&flow->items, item, entry);
    flow->count++;
    flow->cost += item->cost;
    sched->count++;
    sched->cost += item->cost;
    return true;
}

/* The flow to take from next, or NULL. */
static flow_t *
flow_next(sched_t *sched)
{
    flow_t *next = NULL;
    flow_t *flow;
    CK_LIST_FOREACH (flow, &sched->flows, entry) {
        if (flow->count > 0 &&
            (next == NULL || flow->finish_tag < next->finish_tag)) {
            next = flow;
        }
    }
    return next;
}

/* Take the next item in fair order, or NULL. */
sched_item_t *
sched_pop(sched_t *sched)
{
    LOCK_SCOPE(&sched->lock);
    flow_t *next = flow_next(sched);
    if (next == NULL) {
        return NULL;
    }
    sched_item_t *item = CK_STAILQ_FIRST(&next->items);
    sched->virtual_time = next->finish_tag;
    next->finish_tag += item->cost / next->share;
    flow_remove(sched, next, item);
    return item;
}

/* Take the next item in fair order if it was last placed at or before a time,
 * to place it again.  Its workspace is not charged: an item that is taken and
 * put back many times would otherwise lose its turn. */
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

/* Put back, first in its workspace, an item taken by sched_take_stale. */
void
sched_put_back(sched_t *sched, sched_item_t *item)
{
    LOCK_SCOPE(&sched->lock);
    flow_t *flow = flow_get_or_create(sched, item);
    CK_STAILQ_INSERT_HEAD(&flow->items, item, entry);
    flow->count++;
    flow->cost += item->cost;
    sched->count++;
    sched->cost += item->cost;
}

/* Take an item whose deadline has passed, or NULL. */
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

/* The Retry-After of a rejected call, in whole seconds: the time that the
 * waiting items will take. */
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
#define BUDGET_PER_RETRY 1000

/* A budget starts full: if one of nine servers fails, a ninth of all requests
 * fail at once, and all of them may be retried on other servers. */
void
retry_budget_init(retry_budget_t *budget)
{
    __atomic_store_n(&budget->thousandths, BUDGET_MAX, __ATOMIC_RELAXED);
}

/* Earn a fifth of a retry for a first attempt, so that retries cannot multiply
 * the load on servers that already fail. */
void
retry_budget_earn(retry_budget_t *budget)
{
    uint64_t current;
    uint64_t next;
    do {
        current = __atomic_load_n(&budget->thousandths, __ATOMIC_RELAXED);
        next = current + BUDGET_PER_REQUEST;
        next = next > BUDGET_MAX ? BUDGET_MAX : next;
    } while (!ck_pr_cas_64(&budget->thousandths, current, next));
}

/* Spend a retry; false if the budget is exhausted. */
bool
retry_budget_try_spend(retry_budget_t *budget)
{
    uint64_t current;
    do {
        current = __atomic_load_n(&budget->thousandths, __ATOMIC_RELAXED);
        if (current < BUDGET_PER_RETRY) {
            return false;
        }
    } while (!ck_pr_cas_64(&budget->thousandths, current,
                           current - BUDGET_PER_RETRY));
    return true;
}
