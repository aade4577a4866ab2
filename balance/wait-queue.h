#ifndef CELERYSPOOL_WAIT_QUEUE_H
#define CELERYSPOOL_WAIT_QUEUE_H

/* The requests that wait at this host for free capacity, in the order in which
 * they are placed.  No I/O, no clock and no allocation. */

#include "../kernel/base.h"
#include "priority-class.h"

#include <ck_queue.h>

/* A host of the largest deployments gets about 13 requests a second and holds
 * each for at most a few seconds; a queue of this length is only reached by
 * bursts that can't all be served. */
#define WAIT_ITEMS_MAX 256
/* Workspaces with state, per priority class.  Larger than WAIT_ITEMS_MAX, so
 * that a full queue always has room for one more workspace. */
#define WAIT_FLOWS_MAX 512
#define WAIT_BUCKETS 512

/* A workspace in a priority class. */
typedef struct wait_flow {
    CK_SLIST_ENTRY(wait_flow) entry; /* in its bucket */
    uint64_t workspace;
    unsigned priority_class;
    double next_tag; /* start tag of its next item */
    double backlog;  /* cost of its waiting items */
    size_t count;
    double demand; /* recent cost of items that were placed or not */
    double placed; /* recent cost of items that were placed */
    bool over_share;
    uint64_t share_version; /* of its class when over_share was computed */
} wait_flow_t;

/* Embedded in a request.  Zeroed before its first use; the caller sets the
 * first group of fields and leaves them unchanged while the item waits. */
typedef struct wait_item {
    unsigned priority_class; /* 0 (most urgent) to PRIORITY_CLASSES - 1 */
    uint64_t workspace;      /* hash of its name; 0 for none */
    double cost;             /* tokens of work */
    int64_t waited_ms;       /* before this attempt */
    int64_t arrived_ms;      /* of this attempt */
    int64_t deadline_ms;     /* when its wait ends */

    CK_LIST_ENTRY(wait_item) entry;
    wait_flow_t *flow; /* NULL unless it waits */
    double start_tag;
} wait_item_t;

typedef struct {
    uint64_t pushed;
    uint64_t placed;
    uint64_t left;     /* removed without having been placed */
    uint64_t rejected; /* not accepted */
    uint64_t evicted;
} wait_counters_t;

typedef struct {
    CK_LIST_HEAD(wait_items, wait_item) items; /* by start tag */
    double virtual_time; /* largest start tag of the items placed */
    size_t count;
    double demand; /* sums over its workspaces with state */
    double placed;
    uint64_t share_version; /* number of changes of these sums */
    wait_counters_t counters;
} wait_class_t;

typedef struct {
    wait_class_t classes[PRIORITY_CLASSES];
    CK_SLIST_HEAD(wait_bucket, wait_flow) buckets[WAIT_BUCKETS];
    wait_flow_t flows[WAIT_FLOWS_MAX];
    size_t flows_used; /* those behind have never been used */
    size_t count;
    int64_t now_ms;    /* of the last push */
    int64_t origin_ms; /* when recent costs had weight 1 */
} wait_queue_t;

void wait_queue_init(wait_queue_t *queue);
bool wait_queue_push(wait_queue_t *queue, wait_item_t *item, int64_t now_ms,
                     wait_item_t **evicted);
wait_item_t *wait_queue_first(wait_queue_t *queue);
wait_item_t *wait_queue_next(wait_queue_t *queue, wait_item_t *item);
wait_item_t *wait_queue_expired(wait_queue_t *queue, int64_t now_ms);
wait_flow_t *wait_queue_find_flow(wait_queue_t *queue,
                                  const wait_item_t *item);
bool wait_queue_would_accept(wait_queue_t *queue, const wait_item_t *item,
                             int64_t now_ms);
size_t wait_queue_count_ahead(wait_queue_t *queue, const wait_item_t *item);
bool wait_queue_over_share(wait_queue_t *queue, const wait_item_t *item);
void wait_queue_remove(wait_queue_t *queue, wait_item_t *item, bool placed);
size_t wait_queue_count(const wait_queue_t *queue, unsigned priority_class);
size_t wait_queue_total(const wait_queue_t *queue);

#endif
