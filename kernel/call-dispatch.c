#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* Dispatch of calls through fair queues to the backend servers.  Each server
 * has a queue.  A call is placed when it arrives, waits in its server's queue
 * while that server is busy, and is placed again when its turn comes, with
 * newer load reports.  Queueing here rather than in the engine keeps the order
 * fair among workspaces and lets a waiting call go to another server. */

#define QUEUE_CALLS_MAX 1000
/* Prefill time queued at one server, divided among all daemons. */
#define SERVER_BACKLOG_MAX_MS 100.0
#define REPORTED_BACKLOG_RATIO 4.0
#define PLACED_AGAIN_PER_TICK_MAX 4
#define PLACE_AGAIN_AFTER_MS 100
#define COST_MIN 16.0 /* tokens; a cached prompt still costs decoding */

struct backend_queue {
    uint16_t backend;
    sched_t *sched;
    pthread_mutex_t sending; /* held by the one thread that sends from it */
};

static backend_queue_t *
queue_get_or_create(celeryspoold_t *daemon, uint16_t backend)
{
    LOCK_SCOPE(&daemon->queues_lock);
    backend_queue_t *queue = daemon->queues[backend];
    if (queue == NULL) {
        sched_opts_t opts = {.total_max = QUEUE_CALLS_MAX};
        queue = mem_zalloc(sizeof(*queue));
        queue->backend = backend;
        queue->sched = sched_new(&opts);
        (void)pthread_mutex_init(&queue->sending, NULL);
        __atomic_store_n(&daemon->queues[backend], queue, __ATOMIC_RELEASE);
    }
    return queue;
}

/* The queue of a server, or NULL if it never had one. */
static backend_queue_t *
queue_get(celeryspoold_t *daemon, size_t backend)
{
    return __atomic_load_n(&daemon->queues[backend], __ATOMIC_ACQUIRE);
}

/* How long a server needs for the calls in this daemon's queue, in ms.  The
 * daemons share the server, so this one has 1/n of its rate. */
static double
queue_wait_ms(celeryspoold_t *daemon, uint16_t backend, double rate)
{
    const backend_queue_t *queue = queue_get(daemon, backend);
    if (queue == NULL) {
        return 0;
    }
    double daemons = (double)members_live_count(daemon->members);
    return sched_waiting_cost(queue->sched) * daemons * 1000.0 / rate;
}

static double
backend_rate(celeryspoold_t *daemon, uint16_t backend)
{
    backend_state_t state;
    (void)view_get(daemon->view, backend, &state);
    return view_prefill_rate(&state);
}

static void
reject_item(backend_queue_t *queue, sched_item_t *item, const char *code,
            const char *text)
{
    call_t *call = item->owner;
    celeryspoold_t *daemon = call->daemon;
    double rate = backend_rate(daemon, queue->backend) /
                  (double)members_live_count(daemon->members);
    int retry_after = sched_retry_after_s(queue->sched, rate);
    (void)pthread_mutex_lock(&call->lock);
    call_reject(call, 429, code, retry_after, text);
    (void)pthread_mutex_unlock(&call->lock);
    call_unref(call);
}

/* Whether a chat is expected to wait past its deadline.  It is then rejected
 * at once instead of queued until the deadline. */
static bool
exceeds_deadline(const call_t *call, const candidate_t *candidate)
{
    double remaining_ms = (double)(call->deadline_ms - time_mono_ms());
    return call->kind == CALL_CHAT && candidate->wait_ms > remaining_ms;
}

static const policy_t *
configured_policy(const config_t *config)
{
    const policy_t *policy = policy_find(config->policy);
    return policy != NULL ? policy : policy_find("cost");
}

/* Record the reason of a placement.  The event is written when the call is
 * sent, because a waiting call is placed many times. */
static void
record_placement(call_t *call, const policy_t *policy,
                 const candidate_t *chosen, size_t count)
{
    (void)snprintf(call->placement_reason, sizeof(call->placement_reason),
                   "policy %s chose of %zu: wait %.1f ms, cached %u of %u "
                   "tokens, version %s",
                   policy->name, count, chosen->wait_ms, chosen->cached_tokens,
                   call->kind == CALL_CHAT ? call->u.chat.prefix.tokens : 0,
                   chosen->version);
}

/* List the servers that can take a call.  For a chat, version is set to the
 * weights version to use and the prefix is computed for it. */
static size_t
list_candidates(call_t *call, const place_context_t *context,
                candidate_t *candidates, char version[CS_NAME_MAX])
{
    static const prefix_t none = {0};
    if (call->kind == CALL_SERVICE) {
        return place_list_candidates(context, call->target, &none, NULL,
                                     candidates, CANDIDATES_MAX);
    }
    chat_t *chat = &call->u.chat;
    const model_t *model = config_find_model(context->config, call->target);
    /* A stream that has started stays on its weights version. */
    str_copy(version, CS_NAME_MAX,
             chat->emitted > 0 ? call->version
             : model != NULL   ? model->version
                               : "");
    prefix_compute(&chat->prefix, json_object_get(chat->body, "messages"),
                   chat->salt, version);
    size_t count = place_list_candidates(context, call->target, &chat->prefix,
                                         version, candidates, CANDIDATES_MAX);
    if (count > 0 || chat->emitted > 0) {
        return count;
    }
    /* Until the first server has loaded a new version, the servers go on with
     * the old one; the prefix is then computed for the old version. */
    count = place_list_candidates(context, call->target, &chat->prefix, NULL,
                                  candidates, CANDIDATES_MAX);
    if (count > 0) {
        str_copy(version, CS_NAME_MAX, candidates[0].version);
        prefix_compute(&chat->prefix, json_object_get(chat->body, "messages"),
                       chat->salt, version);
        count = place_list_candidates(context, call->target, &chat->prefix,
                                      version, candidates, CANDIDATES_MAX);
    }
    return count;
}

/* Choose a backend server for a call; false if there is none.  The call's lock
 * is held.  out->backend points into a configuration that may be freed before
 * this returns. */
bool
dispatch_place(call_t *call, candidate_t *out)
{
    celeryspoold_t *daemon = call->daemon;
    candidate_t candidates[CANDIDATES_MAX];
    char version[CS_NAME_MAX] = "";
    config_t *config = daemon_config(daemon);
    place_context_t context = {.config = config,
                               .view = daemon->view,
                               .cache = daemon->cache,
                               .dc = daemon->settings.dc,
                               .now_ms = time_mono_ms(),
                               .wall_ms = time_wall_ms()};
    place_query_t query = {.objective = config->objective,
                           .placement_count = __atomic_fetch_add(
                               &daemon->placement_count, 1, __ATOMIC_RELAXED)};
    static const prefix_t none = {0};
    for (unsigned i = 0; i < call->tried_count && i < TRIED_MAX; i++) {
        context.excluded[i] = call->tried_names[i];
    }
    size_t count = list_candidates(call, &context, candidates, version);
    for (size_t i = 0; i < count; i++) {
        candidates[i].wait_ms += queue_wait_ms(daemon, candidates[i].id,
                                               candidates[i].prefill_rate);
    }
    query.prefix = call->kind == CALL_CHAT ? &call->u.chat.prefix : &none;
    if (count > 0) {
        const policy_t *policy = configured_policy(config);
        *out = candidates[policy->choose(candidates, count, &query)];
        str_copy(call->backend, sizeof(call->backend), out->backend->name);
        str_copy(call->addr, sizeof(call->addr), out->backend->addr);
        str_copy(call->version, sizeof(call->version), version);
        record_placement(call, policy, out, count);
    }
    config_release(config);
    return count > 0;
}

static void
send_call(call_t *call, const candidate_t *candidate)
{
    series_observe(call->series, METRIC_OVERHEAD,
                   time_mono_us() - call->received_us);
    switch (call->kind) {
        case CALL_CHAT:
            chat_attempt_start(call, candidate);
            return;
        case CALL_SERVICE:
            service_attempt_start(call, candidate);
            return;
    }
}

/* Whether a server has enough work from this daemon.  Each daemon keeps to its
 * share of the backlog limit, measured by what it has sent itself.  With the
 * reported load alone, the daemon that reads a report first would fill every
 * gap and callers of the other daemons would starve.  The reported load only
 * bounds the sum. */
static bool
is_server_busy(celeryspoold_t *daemon, uint16_t backend)
{
    backend_state_t state;
    if (!view_get(daemon->view, backend, &state)) {
        return false;
    }
    double own_ms =
        state.own_waiting_tokens * 1000.0 / view_prefill_rate(&state);
    double share_ms =
        SERVER_BACKLOG_MAX_MS / (double)members_live_count(daemon->members);
    return own_ms >= share_ms ||
           view_expected_wait_ms(&state) >
               SERVER_BACKLOG_MAX_MS * REPORTED_BACKLOG_RATIO;
}

/* Reject a call for which no server was found.  The call's lock is held. */
static void
reject_unplaced(call_t *call)
{
    call_reject(call, 503, "no_backend", 1,
                "no backend server takes this work now");
}

/* Send a call that is next in its queue.  It is placed again, since its server
 * may have changed or another may have become the better choice. */
static void
send_item(sched_item_t *item)
{
    call_t *call = item->owner;
    candidate_t candidate;
    (void)pthread_mutex_lock(&call->lock);
    if (call->phase != CALL_ENDED && dispatch_place(call, &candidate)) {
        send_call(call, &candidate);
    }
    else {
        reject_unplaced(call);
    }
    (void)pthread_mutex_unlock(&call->lock);
    call_unref(call);
}

/* Send calls from a queue until its server is busy. */
static void
queue_run(celeryspoold_t *daemon, backend_queue_t *queue)
{
    if (pthread_mutex_trylock(&queue->sending) != 0) {
        return;
    }
    sched_item_t *item;
    while (!is_server_busy(daemon, queue->backend) &&
           (item = sched_pop(queue->sched)) != NULL) {
        send_item(item);
    }
    (void)pthread_mutex_unlock(&queue->sending);
}

/* Send a call at once if its server is free and the server's queue is empty;
 * true if it was sent. */
static bool
send_if_idle(celeryspoold_t *daemon, backend_queue_t *queue, call_t *call,
             const candidate_t *candidate)
{
    if (sched_waiting_count(queue->sched) > 0 ||
        is_server_busy(daemon, queue->backend)) {
        return false;
    }
    LOCK_SCOPE(&call->lock);
    call->queue_item.first_of_workspace = true;
    send_call(call, candidate);
    return true;
}

/* Place a call, then send it or put it in its server's queue, which holds a
 * reference to it.  The caller holds no call's lock. */
void
dispatch_submit(call_t *call)
{
    celeryspoold_t *daemon = call->daemon;
    candidate_t candidate;
    sched_item_t *evicted = NULL;
    (void)pthread_mutex_lock(&call->lock);
    bool found = dispatch_place(call, &candidate);
    (void)pthread_mutex_unlock(&call->lock);
    call_ref(call);
    if (!found) {
        (void)pthread_mutex_lock(&call->lock);
        reject_unplaced(call);
        (void)pthread_mutex_unlock(&call->lock);
        call_unref(call);
        return;
    }
    backend_queue_t *queue = queue_get_or_create(daemon, candidate.id);
    double uncached = call->kind == CALL_CHAT
                          ? (double)call->u.chat.prefix.tokens -
                                (double)candidate.cached_tokens
                          : 0;
    call->queue_item.cost = uncached > COST_MIN ? uncached : COST_MIN;
    call->queue_item.placed_ms = time_mono_ms();
    if (send_if_idle(daemon, queue, call, &candidate)) {
        call_unref(call);
        return;
    }
    if (exceeds_deadline(call, &candidate)) {
        reject_item(queue, &call->queue_item, "overloaded",
                    "the queue is longer than the request's deadline");
        return;
    }
    if (!sched_push(queue->sched, &call->queue_item, &evicted)) {
        reject_item(queue, &call->queue_item, "overloaded",
                    "the queue of this workspace is full");
        return;
    }
    if (evicted != NULL) {
        reject_item(queue, evicted, "overloaded",
                    "the queue is full and this workspace is over its share");
    }
    queue_run(daemon, queue);
}

/* Send calls from all queues whose servers are not busy. */
void
dispatch_run(celeryspoold_t *daemon)
{
    size_t count = view_count(daemon->view);
    for (size_t i = 0; i < count; i++) {
        backend_queue_t *queue = queue_get(daemon, i);
        if (queue != NULL && sched_waiting_count(queue->sched) > 0) {
            queue_run(daemon, queue);
        }
    }
}

/* Place the calls at the head of a queue again: another server may have become
 * idle, or their own may no longer be available. */
static void
place_first_calls_again(backend_queue_t *queue, int64_t now_ms)
{
    for (int i = 0; i < PLACED_AGAIN_PER_TICK_MAX; i++) {
        sched_item_t *item =
            sched_take_stale(queue->sched, now_ms - PLACE_AGAIN_AFTER_MS);
        if (item == NULL) {
            return;
        }
        call_t *call = item->owner;
        candidate_t candidate;
        (void)pthread_mutex_lock(&call->lock);
        bool found = dispatch_place(call, &candidate);
        (void)pthread_mutex_unlock(&call->lock);
        item->placed_ms = now_ms;
        if (found && candidate.id == queue->backend) {
            sched_put_back(queue->sched, item);
            continue;
        }
        dispatch_submit(call);
        call_unref(call);
    }
}

/* Reject calls whose deadline has passed, place the first of each queue again,
 * then send calls to the servers that are not busy. */
void
dispatch_tick(celeryspoold_t *daemon)
{
    int64_t now = time_mono_ms();
    size_t count = view_count(daemon->view);
    for (size_t i = 0; i < count; i++) {
        backend_queue_t *queue = queue_get(daemon, i);
        sched_item_t *item;
        if (queue == NULL || sched_waiting_count(queue->sched) == 0) {
            continue;
        }
        while ((item = sched_take_expired(queue->sched, now)) != NULL) {
            reject_item(queue, item, "deadline",
                        "the deadline passed while the request waited");
        }
        place_first_calls_again(queue, now);
    }
    dispatch_run(daemon);
}

/* The number of calls in all queues. */
size_t
dispatch_waiting_count(celeryspoold_t *daemon)
{
    size_t waiting = 0;
    for (size_t i = 0; i < BACKENDS_MAX; i++) {
        const backend_queue_t *queue = queue_get(daemon, i);
        waiting += queue == NULL ? 0 : sched_waiting_count(queue->sched);
    }
    return waiting;
}

/* Free the queues, which are empty. */
void
dispatch_free(celeryspoold_t *daemon)
{
    for (size_t i = 0; i < BACKENDS_MAX; i++) {
        backend_queue_t *queue = daemon->queues[i];
        if (queue != NULL) {
            sched_free(queue->sched);
            (void)pthread_mutex_destroy(&queue->sending);
            free(queue);
        }
    }
}
