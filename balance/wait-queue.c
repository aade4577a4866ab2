#include "wait-queue.h"

#include <math.h>
#include <string.h>

/* Orders waiting requests by priority class, then by start-time fair queueing
 * among workspaces (Goyal, Vin, Cheng), where the cost of a request is its
 * tokens, and within a workspace by total wait, longest first.
 *
 * Each class is one list sorted by start tag.  Start tags of a workspace's
 * items follow from the order within the workspace, so an item that does not
 * go last moves those behind it: its workspace is then taken out of the list
 * and merged in again, in one pass over at most WAIT_ITEMS_MAX items. */

/* An item without cost would not delay the next one of its workspace. */
#define COST_MIN 1.0
/* Time constant of recent costs.  A host of a large fleet gets two to five
 * requests a second of a long class; it needs some seconds to see which
 * workspace sends more than the others. */
#define RECENT_MS 3000.0
/* Capacity of a class is scarce if more than this part of its recent demand
 * was not placed. */
#define SCARCE_SHARE 0.02
/* Weights of recent costs grow with time; they are scaled down before they
 * exceed e^100. */
#define RESCALE_MS ((int64_t)(100 * RECENT_MS))

typedef struct {
    wait_item_t *items[WAIT_ITEMS_MAX];
    size_t count;
} flow_items_t;

/* Empties the queue without touching items. */
void
wait_queue_init(wait_queue_t *queue)
{
    memset(queue, 0, sizeof(*queue));
    for (size_t i = 0; i < PRIORITY_CLASSES; i++) {
        CK_LIST_INIT(&queue->classes[i].items);
    }
    for (size_t i = 0; i < WAIT_BUCKETS; i++) {
        CK_SLIST_INIT(&queue->buckets[i]);
    }
}

static double
item_cost(const wait_item_t *item)
{
    return fmax(item->cost, COST_MIN);
}

/* Returns when the caller's total wait began.  Comparing these compares total
 * waits at any moment. */
static int64_t
wait_began_ms(const wait_item_t *item)
{
    return item->arrived_ms - item->waited_ms;
}

/* ---- workspaces ---- */

static struct wait_bucket *
bucket_of(wait_queue_t *queue, uint64_t workspace, unsigned priority_class)
{
    return &queue->buckets[(workspace + priority_class) % WAIT_BUCKETS];
}

static wait_flow_t *
find_flow(wait_queue_t *queue, uint64_t workspace, unsigned priority_class)
{
    wait_flow_t *flow;
    CK_SLIST_FOREACH (flow, bucket_of(queue, workspace, priority_class),
                      entry) {
        if (flow->workspace == workspace &&
            flow->priority_class == priority_class) {
            return flow;
        }
    }
    return NULL;
}

/* By how much an empty workspace's next item would start behind that of a
 * workspace without state. */
static double
debt_of(const wait_queue_t *queue, const wait_flow_t *flow)
{
    return flow->next_tag - queue->classes[flow->priority_class].virtual_time;
}

/* Whether the state of one empty workspace is better dropped than that of
 * another: one whose next item would start at the virtual time anyway, else
 * the one with the least debt; of these, one with less recent demand. */
static bool
drops_before(const wait_queue_t *queue, const wait_flow_t *a,
             const wait_flow_t *b)
{
    double debt_a = fmax(0, debt_of(queue, a));
    double debt_b = fmax(0, debt_of(queue, b));
    return debt_a != debt_b ? debt_a < debt_b : a->demand < b->demand;
}

/* Makes room for a workspace by dropping the state of an empty one, and
 * returns that.  If its next item would not start at the virtual time, the
 * virtual time of its class advances to it: the order of known workspaces
 * stays, and unknown ones start slightly later. */
static wait_flow_t *
reclaim_flow(wait_queue_t *queue)
{
    wait_flow_t *least = NULL;
    for (size_t i = 0; i < WAIT_FLOWS_MAX; i++) {
        wait_flow_t *flow = &queue->flows[i];
        if (flow->count == 0 &&
            (least == NULL || drops_before(queue, flow, least))) {
            least = flow;
        }
    }
    wait_class_t *class = &queue->classes[least->priority_class];
    class->virtual_time = fmax(class->virtual_time, least->next_tag);
    class->demand -= least->demand;
    class->placed -= least->placed;
    class->share_version++;
    CK_SLIST_REMOVE(bucket_of(queue, least->workspace, least->priority_class),
                    least, wait_flow, entry);
    return least;
}

static wait_flow_t *
find_or_add_flow(wait_queue_t *queue, const wait_item_t *item)
{
    wait_flow_t *flow =
        find_flow(queue, item->workspace, item->priority_class);
    if (flow != NULL) {
        return flow;
    }
    flow = queue->flows_used < WAIT_FLOWS_MAX
               ? &queue->flows[queue->flows_used++]
               : reclaim_flow(queue);
    *flow = (wait_flow_t){.workspace = item->workspace,
                          .priority_class = item->priority_class};
    CK_SLIST_INSERT_HEAD(
        bucket_of(queue, item->workspace, item->priority_class), flow, entry);
    return flow;
}

/* ---- shares of workspaces ---- */

static double
weight_now(const wait_queue_t *queue)
{
    return exp((double)(queue->now_ms - queue->origin_ms) / RECENT_MS);
}

/* Moves the origin of the weights to the present. */
static void
rescale(wait_queue_t *queue)
{
    double factor = 1 / weight_now(queue);
    for (size_t i = 0; i < WAIT_FLOWS_MAX; i++) {
        queue->flows[i].demand *= factor;
        queue->flows[i].placed *= factor;
    }
    for (size_t i = 0; i < PRIORITY_CLASSES; i++) {
        queue->classes[i].demand *= factor;
        queue->classes[i].placed *= factor;
    }
    queue->origin_ms = queue->now_ms;
}

static void
advance_clock(wait_queue_t *queue, int64_t now_ms)
{
    if (now_ms > queue->now_ms) {
        queue->now_ms = now_ms;
    }
    if (queue->now_ms - queue->origin_ms > RESCALE_MS) {
        rescale(queue);
    }
}

/* Counts an item that leaves into the recent costs of its workspace. */
static void
count_cost(wait_queue_t *queue, wait_flow_t *flow, double cost, bool placed)
{
    wait_class_t *class = &queue->classes[flow->priority_class];
    double weighted = cost * weight_now(queue);
    flow->demand += weighted;
    class->demand += weighted;
    flow->placed += placed ? weighted : 0;
    class->placed += placed ? weighted : 0;
    class->share_version++;
}

/* Whether an item's workspace has recently had more than its max-min fair
 * share of what this host placed in the class, while capacity was scarce.
 * Hosts compete for capacity with short queues each, so the order within a
 * queue alone does not keep a workspace from taking most of it; a request that
 * is over its share should therefore be placed only if a slot more than usual
 * stays free.  The fair share is the level up to which the demands of all
 * workspaces add up to what was placed. */
bool
wait_queue_over_share(wait_queue_t *queue, const wait_item_t *item)
{
    wait_flow_t *own = item->flow;
    const wait_class_t *class = &queue->classes[item->priority_class];
    double up_to_own = 0;
    if (own == NULL || class->placed >= class->demand * (1 - SCARCE_SHARE)) {
        return false;
    }
    if (own->share_version == class->share_version) {
        return own->over_share;
    }
    for (size_t i = 0; i < queue->flows_used; i++) {
        const wait_flow_t *flow = &queue->flows[i];
        if (flow->priority_class == item->priority_class) {
            up_to_own += fmin(flow->demand, own->placed);
        }
    }
    own->over_share = up_to_own > class->placed;
    own->share_version = class->share_version;
    return own->over_share;
}

/* ---- the order within a class ---- */

/* Whether an item goes before another of its class.  Workspaces with equal
 * start tags are ordered by total wait. */
static bool
goes_before(const wait_item_t *a, const wait_item_t *b)
{
    if (a->start_tag != b->start_tag) {
        return a->start_tag < b->start_tag;
    }
    return wait_began_ms(a) < wait_began_ms(b);
}

/* Inserts an item into the list of its class, at or behind a given item
 * (NULL: from the start). */
static void
insert_from(wait_class_t *class, wait_item_t *from, wait_item_t *item)
{
    wait_item_t *previous = from;
    wait_item_t *next = from == NULL ? CK_LIST_FIRST(&class->items)
                                     : CK_LIST_NEXT(from, entry);
    while (next != NULL && !goes_before(item, next)) {
        previous = next;
        next = CK_LIST_NEXT(next, entry);
    }
    if (previous == NULL) {
        CK_LIST_INSERT_HEAD(&class->items, item, entry);
    }
    else {
        CK_LIST_INSERT_AFTER(previous, item, entry);
    }
}

/* Takes the items of a workspace out of the list, in their order. */
static void
detach_items(wait_class_t *class, const wait_flow_t *flow, flow_items_t *out)
{
    wait_item_t *item = CK_LIST_FIRST(&class->items);
    out->count = 0;
    while (item != NULL && out->count < flow->count) {
        wait_item_t *next = CK_LIST_NEXT(item, entry);
        if (item->flow == flow) {
            CK_LIST_REMOVE(item, entry);
            out->items[out->count++] = item;
        }
        item = next;
    }
}

/* Puts the items of a workspace back into the list with new start tags. */
static void
attach_items(wait_class_t *class, const wait_flow_t *flow,
             const flow_items_t *items)
{
    double tag = flow->next_tag;
    wait_item_t *previous = NULL;
    for (size_t i = 0; i < items->count; i++) {
        items->items[i]->start_tag = tag;
        tag += item_cost(items->items[i]);
        insert_from(class, previous, items->items[i]);
        previous = items->items[i];
    }
}

/* Adds an item to a workspace whose items are detached, behind those that have
 * waited at least as long. */
static void
add_by_wait(flow_items_t *items, wait_item_t *item)
{
    size_t i = items->count++;
    while (i > 0 && wait_began_ms(items->items[i - 1]) > wait_began_ms(item)) {
        items->items[i] = items->items[i - 1];
        i--;
    }
    items->items[i] = item;
}

static void
link_item(wait_queue_t *queue, wait_item_t *item)
{
    wait_class_t *class = &queue->classes[item->priority_class];
    wait_flow_t *flow = find_or_add_flow(queue, item);
    flow_items_t items = {.count = 0};
    if (flow->count == 0) {
        flow->next_tag = fmax(flow->next_tag, class->virtual_time);
    }
    else {
        detach_items(class, flow, &items);
    }
    add_by_wait(&items, item);
    item->flow = flow;
    flow->count++;
    flow->backlog += item_cost(item);
    attach_items(class, flow, &items);
    class->count++;
    queue->count++;
}

/* Takes an item out of the queue and charges its workspace if it was placed.
 * The items behind it keep their tags if it was the first of its workspace and
 * is charged; else they move. */
static void
unlink_item(wait_queue_t *queue, wait_item_t *item, bool charge)
{
    wait_class_t *class = &queue->classes[item->priority_class];
    wait_flow_t *flow = item->flow;
    bool first = item->start_tag <= flow->next_tag;
    count_cost(queue, flow, item_cost(item), charge);
    CK_LIST_REMOVE(item, entry);
    item->flow = NULL;
    flow->count--;
    flow->backlog = flow->count == 0 ? 0 : flow->backlog - item_cost(item);
    class->count--;
    queue->count--;
    if (charge) {
        flow->next_tag += item_cost(item);
        class->virtual_time = fmax(class->virtual_time, item->start_tag);
    }
    if (flow->count > 0 && !(first && charge)) {
        flow_items_t items;
        detach_items(class, flow, &items);
        attach_items(class, flow, &items);
    }
}

/* ---- a full queue ---- */

/* Returns the last item of the workspace with the largest backlog of a
 * class. */
static wait_item_t *
last_of_largest_backlog(wait_class_t *class)
{
    wait_item_t *found = NULL;
    wait_item_t *item;
    CK_LIST_FOREACH (item, &class->items, entry) {
        if (found == NULL || item->flow == found->flow ||
            item->flow->backlog > found->flow->backlog) {
            found = item;
        }
    }
    return found;
}

/* Returns the item that makes room for another one, or NULL if that one is to
 * be rejected.  Expired items go first.  Then an item of the least urgent
 * class goes; if that is also the class of the new item, only one of a
 * workspace with a larger backlog, or one of its own workspace that has waited
 * less. */
static wait_item_t *
find_victim(wait_queue_t *queue, const wait_item_t *item, int64_t now_ms)
{
    unsigned least_urgent = PRIORITY_CLASSES - 1;
    wait_item_t *victim = wait_queue_expired(queue, now_ms);
    if (victim != NULL) {
        return victim;
    }
    while (least_urgent > 0 && queue->classes[least_urgent].count == 0) {
        least_urgent--;
    }
    if (item->priority_class > least_urgent) {
        return NULL;
    }
    victim = last_of_largest_backlog(&queue->classes[least_urgent]);
    if (item->priority_class < least_urgent) {
        return victim;
    }
    if (victim->workspace == item->workspace) {
        return wait_began_ms(item) < wait_began_ms(victim) ? victim : NULL;
    }
    const wait_flow_t *flow =
        find_flow(queue, item->workspace, item->priority_class);
    double backlog = (flow == NULL ? 0 : flow->backlog) + item_cost(item);
    return victim->flow->backlog > backlog ? victim : NULL;
}

/* ---- interface ---- */

/* Returns the state of the workspace of an item that is not in the queue, or
 * NULL if there is none. */
wait_flow_t *
wait_queue_find_flow(wait_queue_t *queue, const wait_item_t *item)
{
    return find_flow(queue, item->workspace, item->priority_class);
}

/* Returns whether wait_queue_push would accept an item. */
bool
wait_queue_would_accept(wait_queue_t *queue, const wait_item_t *item,
                        int64_t now_ms)
{
    return item->deadline_ms > now_ms &&
           (queue->count < WAIT_ITEMS_MAX ||
            find_victim(queue, item, now_ms) != NULL);
}

/* Returns how many waiting items would be before an item that is not in the
 * queue if it were added now. */
size_t
wait_queue_count_ahead(wait_queue_t *queue, const wait_item_t *item)
{
    const wait_class_t *class = &queue->classes[item->priority_class];
    const wait_flow_t *flow = wait_queue_find_flow(queue, item);
    wait_item_t added = *item;
    size_t ahead = 0;
    const wait_item_t *other;
    for (unsigned i = 0; i < item->priority_class; i++) {
        ahead += queue->classes[i].count;
    }
    added.start_tag = flow == NULL ? class->virtual_time
                      : flow->count > 0
                          ? flow->next_tag
                          : fmax(flow->next_tag, class->virtual_time);
    CK_LIST_FOREACH (other, &class->items, entry) {
        if (flow != NULL && other->flow == flow &&
            wait_began_ms(other) <= wait_began_ms(item)) {
            added.start_tag += item_cost(other);
        }
    }
    CK_LIST_FOREACH (other, &class->items, entry) {
        bool own = flow != NULL && other->flow == flow;
        ahead += own ? wait_began_ms(other) <= wait_began_ms(item)
                     : !goes_before(&added, other);
    }
    return ahead;
}

/* Adds an item.  False if it is rejected: the queue is full or its wait has
 * ended already.  True with *evicted set if another item was removed to make
 * room; the caller rejects that one. */
bool
wait_queue_push(wait_queue_t *queue, wait_item_t *item, int64_t now_ms,
                wait_item_t **evicted)
{
    *evicted = NULL;
    advance_clock(queue, now_ms);
    if (item->priority_class >= PRIORITY_CLASSES) {
        item->priority_class = PRIORITY_CLASSES - 1;
    }
    wait_counters_t *counters = &queue->classes[item->priority_class].counters;
    if (item->deadline_ms <= now_ms) {
        counters->rejected++;
        return false;
    }
    if (queue->count >= WAIT_ITEMS_MAX) {
        wait_item_t *victim = find_victim(queue, item, now_ms);
        if (victim == NULL) {
            counters->rejected++;
            return false;
        }
        unlink_item(queue, victim, false);
        queue->classes[victim->priority_class].counters.evicted++;
        *evicted = victim;
    }
    link_item(queue, item);
    counters->pushed++;
    return true;
}

/* Returns the first item of a class or of the next less urgent one that has
 * any. */
static wait_item_t *
first_from_class(wait_queue_t *queue, unsigned priority_class)
{
    for (unsigned i = priority_class; i < PRIORITY_CLASSES; i++) {
        wait_item_t *item = CK_LIST_FIRST(&queue->classes[i].items);
        if (item != NULL) {
            return item;
        }
    }
    return NULL;
}

/* Returns the item to place next, which stays in the queue, or NULL. */
wait_item_t *
wait_queue_first(wait_queue_t *queue)
{
    return first_from_class(queue, 0);
}

/* Returns the item that would be placed after another one, or NULL.  To look
 * past an item that is to be removed, get the next one first. */
wait_item_t *
wait_queue_next(wait_queue_t *queue, wait_item_t *item)
{
    wait_item_t *next = CK_LIST_NEXT(item, entry);
    return next != NULL ? next
                        : first_from_class(queue, item->priority_class + 1);
}

/* Returns an item whose wait has ended, which stays in the queue, or NULL. */
wait_item_t *
wait_queue_expired(wait_queue_t *queue, int64_t now_ms)
{
    wait_item_t *item = wait_queue_first(queue);
    while (item != NULL && item->deadline_ms > now_ms) {
        item = wait_queue_next(queue, item);
    }
    return item;
}

/* Removes an item.  Its workspace is charged only if it was placed.  Does
 * nothing for an item that does not wait. */
void
wait_queue_remove(wait_queue_t *queue, wait_item_t *item, bool placed)
{
    if (item->flow == NULL) {
        return;
    }
    unlink_item(queue, item, placed);
    wait_counters_t *counters = &queue->classes[item->priority_class].counters;
    counters->placed += placed ? 1 : 0;
    counters->left += placed ? 0 : 1;
}

size_t
wait_queue_count(const wait_queue_t *queue, unsigned priority_class)
{
    return priority_class < PRIORITY_CLASSES
               ? queue->classes[priority_class].count
               : 0;
}

size_t
wait_queue_total(const wait_queue_t *queue)
{
    return queue->count;
}
