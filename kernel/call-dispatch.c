#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* From the fair queues to the backend servers.  Each server has a lane: a
 * call is placed when it comes, waits in the lane of its server while that is
 * busy, and is placed anew at its turn, when more is known.  Waiting here and
 * not in the engine keeps the order fair among workspaces and the choice
 * open. */

#define LANE_WAITING_MAX 1000
#define GATE_MS 100.0
#define GATE_SLACK 4.0
#define HEADS_A_TICK 4
#define REPLACE_MS 100
#define COST_LEAST 16.0 /* tokens; decoding is not free either */

struct lane {
    uint16_t backend;
    sched_t *sched;
    pthread_mutex_t running; /* one thread at a time moves a lane */
};

static lane_t *
lane_of(celeryspoold_t *daemon, uint16_t backend)
{
    LOCK_SCOPE(&daemon->lanes_lock);
    lane_t *lane = daemon->lanes[backend];
    if (lane == NULL) {
        sched_opts_t opts = {.total_max = LANE_WAITING_MAX};
        lane = mem_zalloc(sizeof(*lane));
        lane->backend = backend;
        lane->sched = sched_new(&opts);
        (void)pthread_mutex_init(&lane->running, NULL);
        __atomic_store_n(&daemon->lanes[backend], lane, __ATOMIC_RELEASE);
    }
    return lane;
}

/* The lane of a server, or NULL where nothing ever waited for it. */
static lane_t *
lane_at(celeryspoold_t *daemon, size_t backend)
{
    return __atomic_load_n(&daemon->lanes[backend], __ATOMIC_ACQUIRE);
}

/* How long this daemon's share of a server needs for what waits here, in ms:
 * the other daemons' lanes take their turns too. */
static double
lane_wait_ms(celeryspoold_t *daemon, uint16_t backend, double rate)
{
    const lane_t *lane = lane_at(daemon, backend);
    if (lane == NULL) {
        return 0;
    }
    double daemons = (double)members_live(daemon->members);
    return sched_waiting_cost(lane->sched) * daemons * 1000.0 / rate;
}

static double
backend_rate(celeryspoold_t *daemon, uint16_t backend)
{
    backend_state_t state;
    (void)view_get(daemon->view, backend, &state);
    return view_rate(&state);
}

static void
give_up_on(lane_t *lane, sched_item_t *item, const char *code,
           const char *text)
{
    call_t *call = item->owner;
    celeryspoold_t *daemon = call->daemon;
    double rate = backend_rate(daemon, lane->backend) /
                  (double)members_live(daemon->members);
    int retry_after = sched_retry_after_s(lane->sched, rate);
    (void)pthread_mutex_lock(&call->lock);
    call_refuse(call, 429, code, retry_after, text);
    (void)pthread_mutex_unlock(&call->lock);
    call_release(call);
}

/* Whether the queue before a call will take longer than its caller waits;
 * then it is refused now rather than held until its deadline. */
static bool
comes_too_late(const call_t *call, const candidate_t *candidate)
{
    double left = (double)(call->deadline_ms - time_mono_ms());
    return call->kind == CALL_CHAT && candidate->wait_ms > left;
}

static const policy_t *
policy_of(const config_t *config)
{
    const policy_t *policy = policy_find(config->policy);
    return policy != NULL ? policy : policy_find("cost");
}

/* Keep the reason of a choice for the event of the sending: a call that waits
 * is placed many times. */
static void
note_choice(call_t *call, const policy_t *policy, const candidate_t *chosen,
            size_t count)
{
    (void)snprintf(call->why, sizeof(call->why),
                   "policy %s chose of %zu: wait %.1f ms, cached %u of %u "
                   "tokens, version %s",
                   policy->name, count, chosen->wait_ms, chosen->cached,
                   call->kind == CALL_CHAT ? call->u.chat.prefix.tokens : 0,
                   chosen->version);
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
    const model_t *model = config_find_model(scene->config, call->target);
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

/* Choose a backend server for a call.  The call's lock is held; out->backend
 * is not valid after return. */
bool
dispatch_place(call_t *call, candidate_t *out)
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
    for (size_t i = 0; i < count; i++) {
        all[i].wait_ms += lane_wait_ms(daemon, all[i].id, all[i].rate);
    }
    ask.prefix = call->kind == CALL_CHAT ? &call->u.chat.prefix : &none;
    if (count > 0) {
        const policy_t *policy = policy_of(config);
        *out = all[policy->choose(all, count, &ask)];
        str_copy(call->backend, sizeof(call->backend), out->backend->name);
        str_copy(call->addr, sizeof(call->addr), out->backend->addr);
        str_copy(call->version, sizeof(call->version), version);
        note_choice(call, policy, out, count);
    }
    config_release(config);
    return count > 0;
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

/* Whether a server has enough work from here.  Each daemon keeps to its share
 * of the gate, by what it has sent itself: were it the reported load alone,
 * the daemon that reads the report first would fill every gap and callers of
 * the others would starve.  The report only bounds the sum. */
static bool
is_busy(celeryspoold_t *daemon, uint16_t backend)
{
    backend_state_t state;
    if (!view_get(daemon->view, backend, &state)) {
        return false;
    }
    double own_ms = state.own_waiting * 1000.0 / view_rate(&state);
    double share_ms = GATE_MS / (double)members_live(daemon->members);
    return own_ms >= share_ms || view_wait_ms(&state) > GATE_MS * GATE_SLACK;
}

/* No server takes the call now.  The call's lock is held. */
static void
refuse_unplaced(call_t *call)
{
    call_refuse(call, 503, "no_backend", 1,
                "no backend server takes this work now");
}

/* Send a call whose turn has come; its server may have changed since it was
 * queued, and another one may have become the better choice. */
static void
serve_item(sched_item_t *item)
{
    call_t *call = item->owner;
    candidate_t candidate;
    (void)pthread_mutex_lock(&call->lock);
    if (call->phase != CALL_ENDED && dispatch_place(call, &candidate)) {
        send_call(call, &candidate);
    }
    else {
        refuse_unplaced(call);
    }
    (void)pthread_mutex_unlock(&call->lock);
    call_release(call);
}

/* Serve a lane while its server is free. */
static void
lane_run(celeryspoold_t *daemon, lane_t *lane)
{
    if (pthread_mutex_trylock(&lane->running) != 0) {
        return;
    }
    sched_item_t *item;
    while (!is_busy(daemon, lane->backend) &&
           (item = sched_pop(lane->sched)) != NULL) {
        serve_item(item);
    }
    (void)pthread_mutex_unlock(&lane->running);
}

/* Send a call whose server is free and for which nobody waits; true if it was
 * sent. */
static bool
goes_at_once(celeryspoold_t *daemon, lane_t *lane, call_t *call,
             const candidate_t *candidate)
{
    if (sched_waiting(lane->sched) > 0 || is_busy(daemon, lane->backend)) {
        return false;
    }
    LOCK_SCOPE(&call->lock);
    call->item.first = true;
    send_call(call, candidate);
    return true;
}

/* Place a call, and send it or queue it in the lane of its server.  The queue
 * holds one share of the call.  No call's lock is held by the caller. */
void
dispatch_push(call_t *call)
{
    celeryspoold_t *daemon = call->daemon;
    candidate_t candidate;
    sched_item_t *evicted = NULL;
    (void)pthread_mutex_lock(&call->lock);
    bool found = dispatch_place(call, &candidate);
    (void)pthread_mutex_unlock(&call->lock);
    call_hold(call);
    if (!found) {
        (void)pthread_mutex_lock(&call->lock);
        refuse_unplaced(call);
        (void)pthread_mutex_unlock(&call->lock);
        call_release(call);
        return;
    }
    lane_t *lane = lane_of(daemon, candidate.id);
    double uncached =
        call->kind == CALL_CHAT
            ? (double)call->u.chat.prefix.tokens - (double)candidate.cached
            : 0;
    call->item.cost = uncached > COST_LEAST ? uncached : COST_LEAST;
    call->item.placed_ms = time_mono_ms();
    if (goes_at_once(daemon, lane, call, &candidate)) {
        call_release(call);
        return;
    }
    if (comes_too_late(call, &candidate)) {
        give_up_on(lane, &call->item, "overloaded",
                   "the queue is longer than the request's deadline");
        return;
    }
    if (!sched_push(lane->sched, &call->item, &evicted)) {
        give_up_on(lane, &call->item, "overloaded",
                   "the queue of this workspace is full");
        return;
    }
    if (evicted != NULL) {
        give_up_on(lane, evicted, "overloaded",
                   "the queue is full and this workspace is over its share");
    }
    lane_run(daemon, lane);
}

/* Move all lanes as far as the backend servers take work. */
void
dispatch_run(celeryspoold_t *daemon)
{
    size_t count = view_count(daemon->view);
    for (size_t i = 0; i < count; i++) {
        lane_t *lane = lane_at(daemon, i);
        if (lane != NULL && sched_waiting(lane->sched) > 0) {
            lane_run(daemon, lane);
        }
    }
}

/* The first of a lane may have a better place by now: another server became
 * idle, or its own is gone. */
static void
replace_heads(lane_t *lane, int64_t now_ms)
{
    for (int i = 0; i < HEADS_A_TICK; i++) {
        sched_item_t *item =
            sched_take_stale(lane->sched, now_ms - REPLACE_MS);
        if (item == NULL) {
            return;
        }
        call_t *call = item->owner;
        candidate_t candidate;
        (void)pthread_mutex_lock(&call->lock);
        bool found = dispatch_place(call, &candidate);
        (void)pthread_mutex_unlock(&call->lock);
        item->placed_ms = now_ms;
        if (found && candidate.id == lane->backend) {
            sched_put_back(lane->sched, item);
            continue;
        }
        dispatch_push(call);
        call_release(call);
    }
}

/* Refuse what cannot be served in time, place anew what waits first, then
 * move the lanes. */
void
dispatch_tick(celeryspoold_t *daemon)
{
    int64_t now = time_mono_ms();
    size_t count = view_count(daemon->view);
    for (size_t i = 0; i < count; i++) {
        lane_t *lane = lane_at(daemon, i);
        sched_item_t *item;
        if (lane == NULL || sched_waiting(lane->sched) == 0) {
            continue;
        }
        while ((item = sched_expired(lane->sched, now)) != NULL) {
            give_up_on(lane, item, "deadline",
                       "the deadline passed while the request waited");
        }
        replace_heads(lane, now);
    }
    dispatch_run(daemon);
}

/* How many calls wait in all lanes. */
size_t
dispatch_waiting(celeryspoold_t *daemon)
{
    size_t waiting = 0;
    for (size_t i = 0; i < BACKENDS_MAX; i++) {
        const lane_t *lane = lane_at(daemon, i);
        waiting += lane == NULL ? 0 : sched_waiting(lane->sched);
    }
    return waiting;
}

/* Free the lanes; no call waits any more. */
void
dispatch_free(celeryspoold_t *daemon)
{
    for (size_t i = 0; i < BACKENDS_MAX; i++) {
        lane_t *lane = daemon->lanes[i];
        if (lane != NULL) {
            sched_free(lane->sched);
            (void)pthread_mutex_destroy(&lane->running);
            free(lane);
        }
    }
}
