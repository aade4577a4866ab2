#include "daemon.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

/* From the fair queues to the backend servers.  There is one lane for each
 * model or service, so that one does not wait behind another. */

#define LANE_WAITING_MAX 2000
#define GATE_MS 150.0
#define RATE_UNKNOWN 20000.0

struct lane {
    CK_LIST_ENTRY(lane) entry;
    char target[CS_NAME_MAX];
    sched_t *sched;
    pthread_mutex_t running; /* one thread at a time moves a lane */
};

static lane_t *
lane_of(celeryspoold_t *daemon, const char *target)
{
    LOCK_SCOPE(&daemon->lanes_lock);
    lane_t *lane;
    CK_LIST_FOREACH (lane, &daemon->lanes, entry) {
        if (strcmp(lane->target, target) == 0) {
            return lane;
        }
    }
    sched_opts_t opts = {.total_max = LANE_WAITING_MAX};
    lane = mem_zalloc(sizeof(*lane));
    str_copy(lane->target, sizeof(lane->target), target);
    lane->sched = sched_new(&opts);
    (void)pthread_mutex_init(&lane->running, NULL);
    CK_LIST_INSERT_HEAD(&daemon->lanes, lane, entry);
    return lane;
}

/* Tokens a second that all open servers of a target prefill. */
static double
target_rate(celeryspoold_t *daemon, const char *target)
{
    config_t *config = daemon_config(daemon);
    double rate = 0;
    for (size_t i = 0; i < config->backend_count; i++) {
        const backend_t *backend = &config->backends[i];
        backend_state_t state;
        if (strcmp(backend->serves, target) == 0 &&
            view_get(daemon->view, view_id(daemon->view, backend->name),
                     &state)) {
            rate += view_rate(&state);
        }
    }
    config_release(config);
    size_t daemons = members_live(daemon->members);
    return rate > 0 ? rate / (double)daemons : RATE_UNKNOWN;
}

static void
give_up_on(celeryspoold_t *daemon, lane_t *lane, sched_item_t *item,
           const char *code, const char *text)
{
    call_t *call = item->owner;
    double rate = target_rate(daemon, lane->target);
    int retry_after = sched_retry_after_s(lane->sched, rate);
    (void)pthread_mutex_lock(&call->lock);
    call->queued = false;
    call_refuse(call, 429, code, retry_after, text);
    (void)pthread_mutex_unlock(&call->lock);
    call_release(call);
}

/* Whether the queue before this call will take longer than its caller waits;
 * then it is refused now rather than held until its deadline. */
static bool
comes_too_late(celeryspoold_t *daemon, lane_t *lane, const call_t *call)
{
    double waiting = sched_waiting_cost(lane->sched);
    if (waiting <= 0 || call->kind != CALL_CHAT) {
        return false;
    }
    double wait_ms = waiting * 1000.0 / target_rate(daemon, lane->target);
    return wait_ms > (double)(call->deadline_ms - time_mono_ms());
}

/* Queue a call and move its lane.  The queue holds one share of the call. */
void
dispatch_push(call_t *call)
{
    celeryspoold_t *daemon = call->daemon;
    lane_t *lane = lane_of(daemon, call->target);
    sched_item_t *evicted = NULL;
    call_hold(call);
    call->queued = true;
    if (comes_too_late(daemon, lane, call)) {
        give_up_on(daemon, lane, &call->item, "overloaded",
                   "the queue is longer than the request's deadline");
        return;
    }
    if (!sched_push(lane->sched, &call->item, &evicted)) {
        give_up_on(daemon, lane, &call->item, "overloaded",
                   "the queue of this workspace is full");
        return;
    }
    if (evicted != NULL) {
        give_up_on(daemon, lane, evicted, "overloaded",
                   "the queue is full and this workspace is over its share");
    }
    dispatch_run(daemon);
}

static const policy_t *
policy_of(const config_t *config)
{
    const policy_t *policy = policy_find(config->policy);
    return policy != NULL ? policy : policy_find("cost");
}

static void
note_choice(call_t *call, const policy_t *policy, const candidate_t *chosen,
            size_t count)
{
    char detail[200];
    (void)snprintf(detail, sizeof(detail),
                   "policy %s chose of %zu: wait %.1f ms, cached %u of %u "
                   "tokens, version %s",
                   policy->name, count, chosen->wait_ms, chosen->cached,
                   call->kind == CALL_CHAT ? call->u.chat.prefix.tokens : 0,
                   chosen->version);
    event_emit(&(event_t){.kind = "placed",
                          .request = call->id,
                          .workspace = call->workspace,
                          .backend = chosen->backend->name,
                          .detail = detail});
}

/* Whether engines still load what is wanted: only they count then, so that a
 * version is asked for only where some server has it. */
static size_t
candidates_of(call_t *call, const place_scene_t *scene, candidate_t *all,
              char version[CS_NAME_MAX])
{
    static const prefix_t none = {0};
    if (call->kind == CALL_SERVICE) {
        return place_candidates(scene, call->target, &none, NULL, all,
                                CANDIDATES_MAX);
    }
    chat_t *chat = &call->u.chat;
    const model_t *model = config_model(scene->config, call->target);
    /* A stream that has begun stays on the weights that it began with. */
    str_copy(version, CS_NAME_MAX,
             chat->emitted > 0 ? call->version
             : model != NULL   ? model->version
                               : "");
    prefix_compute(&chat->prefix, json_object_get(chat->body, "messages"),
                   chat->salt, version);
    size_t count = place_candidates(scene, call->target, &chat->prefix,
                                    version, all, CANDIDATES_MAX);
    if (count > 0 || chat->emitted > 0) {
        return count;
    }
    /* Before the first server has loaded a new version, the others serve on
     * with the old one, each keyed by what it has. */
    count = place_candidates(scene, call->target, &chat->prefix, NULL, all,
                             CANDIDATES_MAX);
    if (count > 0) {
        str_copy(version, CS_NAME_MAX, all[0].version);
        prefix_compute(&chat->prefix, json_object_get(chat->body, "messages"),
                       chat->salt, version);
        count = place_candidates(scene, call->target, &chat->prefix, version,
                                 all, CANDIDATES_MAX);
    }
    return count;
}

/* Choose a backend server for a call.  With a gate, one whose expected wait
 * is long counts as busy: waiting here keeps the order fair and the choice
 * open.  The call's lock is held; out->backend is not valid after return. */
place_result_t
dispatch_place(call_t *call, bool gate, candidate_t *out)
{
    celeryspoold_t *daemon = call->daemon;
    candidate_t all[CANDIDATES_MAX];
    char version[CS_NAME_MAX] = "";
    config_t *config = daemon_config(daemon);
    place_scene_t scene = {.config = config,
                           .view = daemon->view,
                           .cache = daemon->cache,
                           .dc = daemon->settings.dc,
                           .now_ms = time_mono_ms(),
                           .wall_ms = time_wall_ms()};
    place_ask_t ask = {
        .objective = config->objective,
        .turn = __atomic_fetch_add(&daemon->turn, 1, __ATOMIC_RELAXED)};
    static const prefix_t none = {0};
    for (unsigned i = 0; i < call->tried && i < TRIED_MAX; i++) {
        scene.avoid[i] = call->tried_names[i];
    }
    size_t count = candidates_of(call, &scene, all, version);
    ask.prefix = call->kind == CALL_CHAT ? &call->u.chat.prefix : &none;
    place_result_t result = PLACE_NONE;
    if (count > 0) {
        const policy_t *policy = policy_of(config);
        size_t chosen = policy->choose(all, count, &ask);
        bool busy = gate && all[chosen].wait_ms > GATE_MS;
        result = busy ? PLACE_BUSY : PLACE_FOUND;
        *out = all[chosen];
        if (!busy) {
            str_copy(call->backend, sizeof(call->backend), out->backend->name);
            str_copy(call->addr, sizeof(call->addr), out->backend->addr);
            str_copy(call->version, sizeof(call->version), version);
            note_choice(call, policy, out, count);
        }
    }
    config_release(config);
    return result;
}

static void
send_call(call_t *call, const candidate_t *candidate)
{
    series_observe(call->series, METRIC_OVERHEAD,
                   time_mono_us() - call->began_us);
    switch (call->kind) {
        case CALL_CHAT:
            chat_leg_start(call, candidate);
            return;
        case CALL_SERVICE:
            service_leg_start(call, candidate);
            return;
    }
}

/* Serve the head of a lane; false where the lane has to wait. */
static bool
lane_serve_one(lane_t *lane)
{
    sched_item_t *item = sched_pop(lane->sched);
    if (item == NULL) {
        return false;
    }
    call_t *call = item->owner;
    candidate_t candidate;
    (void)pthread_mutex_lock(&call->lock);
    place_result_t result = dispatch_place(call, true, &candidate);
    if (result == PLACE_BUSY) {
        sched_unpop(lane->sched, item);
        (void)pthread_mutex_unlock(&call->lock);
        return false;
    }
    call->queued = false;
    if (result == PLACE_FOUND) {
        send_call(call, &candidate);
    }
    else {
        call_refuse(call, 503, "no_backend", 1,
                    "no backend server takes this work now");
    }
    (void)pthread_mutex_unlock(&call->lock);
    call_release(call);
    return true;
}

static void
lane_run(lane_t *lane)
{
    if (pthread_mutex_trylock(&lane->running) != 0) {
        return;
    }
    while (lane_serve_one(lane)) {
    }
    (void)pthread_mutex_unlock(&lane->running);
}

/* Move all lanes as far as the backend servers take work. */
void
dispatch_run(celeryspoold_t *daemon)
{
    (void)pthread_mutex_lock(&daemon->lanes_lock);
    lane_t *lane = CK_LIST_FIRST(&daemon->lanes);
    (void)pthread_mutex_unlock(&daemon->lanes_lock);
    /* Lanes are only ever added, at the head, so the walk needs no lock. */
    while (lane != NULL) {
        lane_run(lane);
        lane = CK_LIST_NEXT(lane, entry);
    }
}

/* Refuse what cannot be served in time, then move the lanes. */
void
dispatch_tick(celeryspoold_t *daemon)
{
    int64_t now = time_mono_ms();
    (void)pthread_mutex_lock(&daemon->lanes_lock);
    lane_t *lane = CK_LIST_FIRST(&daemon->lanes);
    (void)pthread_mutex_unlock(&daemon->lanes_lock);
    for (; lane != NULL; lane = CK_LIST_NEXT(lane, entry)) {
        sched_item_t *item;
        while ((item = sched_expired(lane->sched, now)) != NULL) {
            give_up_on(daemon, lane, item, "deadline",
                       "the deadline passed while the request waited");
        }
    }
    dispatch_run(daemon);
}

/* How many calls wait in all lanes. */
size_t
dispatch_waiting(celeryspoold_t *daemon)
{
    size_t waiting = 0;
    LOCK_SCOPE(&daemon->lanes_lock);
    lane_t *lane;
    CK_LIST_FOREACH (lane, &daemon->lanes, entry) {
        waiting += sched_waiting(lane->sched);
    }
    return waiting;
}

/* Free the lanes; no call waits any more. */
void
dispatch_free(celeryspoold_t *daemon)
{
    lane_t *lane;
    while ((lane = CK_LIST_FIRST(&daemon->lanes)) != NULL) {
        CK_LIST_REMOVE(lane, entry);
        sched_free(lane->sched);
        (void)pthread_mutex_destroy(&lane->running);
        free(lane);
    }
}
