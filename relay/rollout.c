#include "cache-source.h"
#include "lease.h"
#include "peers.h"
#include "record-read.h"
#include "relay.h"
#include "rollout-plan.h"

#include <stdlib.h>
#include <string.h>

/* Brings engines to the newest weights.  One daemon sends the load orders,
 * under a lease in the platform's store.  Every order carries the lease's
 * fencing token, the server's id and the count of orders that the server had
 * accepted, so that an order that arrives late or twice has no effect. */

#define LEASE_NAME "orders"
#define STORE_CONNECT_MS 300
#define STORE_CALL_MS 1000
#define ORDER_CONNECT_MS 300
#define ORDER_CALL_MS 800
/* Reports lag by a few hundred ms: the effect of an order shows after this
 * time. */
#define REPORT_LAG_MS 400
/* Interval between reports of a server that drains or loads. */
#define REPORT_INTERVAL_MS 250
/* Interval between notices to peers that a server drains or loads, which they
 * forget after some seconds. */
#define NOTICE_INTERVAL_MS 1000
/* A server that could not be ordered to load is not tried again for this time.
 */
#define JOB_RETRY_MS 500
/* A job is abandoned, so that the server is ordered again, if the server has
 * not said for this long that it carries out an order.  A load takes less than
 * a second. */
#define JOB_TIMEOUT_MS 6000

typedef enum {
    JOB_REPORT,   /* requesting its weights and count of accepted orders */
    JOB_DRAINING, /* it gets no new requests while running ones finish */
    JOB_DECIDING, /* requesting the report that decides on the order */
    JOB_ORDER,    /* the order was sent */
    JOB_LOADING   /* polling its report until it has the version */
} job_state_t;

typedef struct job {
    CK_LIST_ENTRY(job) entry;
    rollout_t *rollout;
    char server[CS_NAME_MAX];
    char model[SERVER_MODEL_MAX];
    int64_t version;
    job_state_t state;
    int64_t started_ms;
    int64_t expires_ms;       /* when the job is abandoned */
    int64_t next_poll_ms;     /* when to request the next report */
    int64_t drain_started_ms; /* when JOB_DRAINING began */
    int64_t notified_ms;      /* when peers were last notified of it */
    int64_t accepted_orders;  /* count in the server's last report */
    drain_mode_t drain_mode;  /* of the order that was sent */
    fetch_t *fetch;
} job_t;

struct rollout {
    relay_t *relay;
    lease_t lease;
    fetch_t *lease_fetch;
    lease_step_t lease_step;
    record_read_t record_read;
    bool was_held;
    CK_LIST_HEAD(jobs, job) jobs;
};

/* ---- the lease ---- */

/* Applies the publication times of versions that the holder recorded. */
static void
apply_published(relay_t *relay, const json_t *rows)
{
    size_t index;
    json_t *row;
    json_array_foreach (rows, index, row) {
        const char *model = json_string_value(json_array_get(row, 0));
        int64_t version = json_integer_value(json_array_get(row, 1));
        int64_t published_ms = json_integer_value(json_array_get(row, 2));
        if (model != NULL && version > 0 && published_ms > 0) {
            if (json_is_true(json_array_get(row, 3))) {
                weights_record_estimate(relay, model, version, published_ms);
            }
            else {
                weights_record(relay, model, version, published_ms);
            }
        }
    }
}

/* Returns until when the record of software versions covers the streams that
 * have begun.  Hosts rely on it until it is replaced, so its latest state
 * covers the time up to the read. */
static int64_t
covered_until(const record_read_t *read, const lease_object_t *object)
{
    return read->latest && object->unlisted_recorded
               ? read->sent_wall_ms
               : object->software_until_ms;
}

/* Returns a version of the record.  One that was listed last may be in use
 * until the record is replaced. */
static software_sighting_t
read_sighting(const json_t *row, const lease_object_t *object,
              int64_t read_wall_ms)
{
    software_sighting_t sighting = {
        .service = (uint64_t)json_integer_value(json_array_get(row, 0)),
        .software = (uint64_t)json_integer_value(json_array_get(row, 1)),
        .seen_ms = json_integer_value(json_array_get(row, 2))};
    if (sighting.seen_ms >= object->software_until_ms &&
        sighting.seen_ms < read_wall_ms) {
        sighting.seen_ms = read_wall_ms;
    }
    return sighting;
}

/* Applies the software versions that the holder has seen, so that a daemon
 * that has just started knows which there were before.  What the holder reads
 * is its own. */
static void
apply_software(rollout_t *rollout, const lease_object_t *object)
{
    relay_t *relay = rollout->relay;
    const record_read_t *read = &rollout->record_read;
    bool is_own = strcmp(object->holder, rollout->lease.self) == 0;
    size_t index;
    json_t *row;
    software_record_begin(&relay->software_record, read->sent_ms);
    json_array_foreach (object->software, index, row) {
        const software_sighting_t sighting =
            read_sighting(row, object, read->sent_wall_ms);
        software_record_add(&relay->software_record, &sighting,
                            object->software_until_ms);
        if (!is_own) {
            software_seen_note(&relay->software_seen, &sighting);
        }
    }
    if (object->software_since_ms > 0) {
        software_seen_cover(&relay->software_seen, object->software_since_ms,
                            covered_until(read, object));
    }
}

/* There is no record: all streams that began before are recorded by
 * themselves. */
static void
apply_no_software(rollout_t *rollout)
{
    relay_t *relay = rollout->relay;
    const record_read_t *read = &rollout->record_read;
    software_record_begin(&relay->software_record, read->sent_ms);
    if (read->latest && !rollout->lease.known) {
        software_seen_cover(&relay->software_seen, 1, read->sent_wall_ms);
    }
}

static json_t *
published_rows(const relay_t *relay)
{
    json_t *rows = json_array();
    for (size_t i = 0; i < relay->weights_count; i++) {
        const weights_t *weights = &relay->weights[i];
        for (size_t j = 0; j < weights->version_count; j++) {
            (void)json_array_append_new(
                rows, json_pack("[s,I,I,b]", weights->model,
                                (json_int_t)weights->versions[j].version,
                                (json_int_t)weights->versions[j].published_ms,
                                weights->versions[j].estimated));
        }
    }
    return rows;
}

static void
apply_lease_object(rollout_t *rollout, const fetch_result_t *result)
{
    store_page_t page;
    err_t err = {0};
    lease_object_t object = {0};
    if (platform_object_read(&page, result->text, result->len, &err) != 0) {
        log_warn("orders", "The lease cannot be read: %s.", err.text);
        lease_set_outcome_unknown(&rollout->lease);
        return;
    }
    if (platform_lease_read(&page.objects[0], &object, &err) != 0) {
        log_warn("orders", "The lease cannot be read: %s.", err.text);
    }
    lease_record_t record = {.revision = page.objects[0].revision,
                             .holder = object.holder,
                             .fence = object.fence,
                             .writes = object.writes};
    lease_observe(&rollout->lease, &record, time_boot_ms());
    apply_published(rollout->relay, object.published);
    apply_software(rollout, &object);
    platform_page_free(&page);
}

/* Whether this host has still to read the latest record of the software
 * versions. */
bool
rollout_awaits_record(const rollout_t *rollout)
{
    return record_read_is_awaited(&rollout->record_read,
                                  &rollout->relay->software_seen);
}

/* Has the latest record read soon, as requests wait for it. */
void
rollout_request_record(rollout_t *rollout)
{
    record_read_request(&rollout->record_read);
}

static bool
is_latest_due(const rollout_t *rollout)
{
    return record_read_is_due(&rollout->record_read,
                              &rollout->relay->software_seen, time_mono_ms());
}

static void
on_lease_done(void *arg, const fetch_result_t *result)
{
    rollout_t *rollout = arg;
    bool wrote = rollout->lease_step != LEASE_READ;
    rollout->lease_fetch = NULL;
    record_read_done(
        &rollout->record_read,
        result->complete && (result->status == 200 || result->status == 404),
        time_mono_ms());
    if (!result->complete) {
        lease_call_failed(&rollout->lease, time_boot_ms());
        if (wrote && result->sent) {
            lease_set_outcome_unknown(&rollout->lease);
        }
        return;
    }
    switch (result->status) {
        case 200:
        case 201:
        case 409: /* carries the current object */
            apply_lease_object(rollout, result);
            return;
        case 404:
            apply_no_software(rollout);
            lease_observe_absent(&rollout->lease);
            return;
        default:
            lease_call_failed(&rollout->lease, time_boot_ms());
            return; /* the store has not done the call */
    }
}

static void
lease_send(rollout_t *rollout, lease_step_t step)
{
    relay_t *relay = rollout->relay;
    const char *addr = relay->settings.store_addr;
    lease_t *lease = &rollout->lease;
    CLEAN_BUF buf_t call = {0};
    lease_step_sent(lease, step, time_boot_ms());
    record_read_sent(&rollout->record_read,
                     step == LEASE_READ && is_latest_due(rollout),
                     time_mono_ms(), time_wall_ms());
    CLEAN_JSON json_t *spec = platform_lease_spec(
        lease_requested_holder(lease), lease->requested_fence, lease->writes,
        published_rows(relay), &relay->software_seen);
    switch (step) {
        case LEASE_CREATE:
            platform_create_call(&call, addr, KIND_LEASES, LEASE_NAME, spec);
            break;
        case LEASE_WRITE:
            platform_replace_call(&call, addr, KIND_LEASES, LEASE_NAME,
                                  lease->revision, spec);
            break;
        case LEASE_READ:
        case LEASE_IDLE:
            if (rollout->record_read.latest) {
                platform_get_latest_call(&call, addr, KIND_LEASES, LEASE_NAME);
                break;
            }
            platform_get_call(&call, addr, KIND_LEASES, LEASE_NAME);
            break;
    }
    fetch_options_t call_options = {.addr = addr,
                                    .request = &call,
                                    .connect_ms = STORE_CONNECT_MS,
                                    .total_ms = STORE_CALL_MS,
                                    .on_done = on_lease_done,
                                    .arg = rollout};
    rollout->lease_step = step;
    rollout->lease_fetch = fetch_start(relay->exchanges, &call_options);
}

static void
lease_tick(rollout_t *rollout)
{
    int64_t now = time_boot_ms();
    bool held = lease_is_held(&rollout->lease, now);
    if (held != rollout->was_held) {
        rollout->was_held = held;
        log_record(LOG_INFO, "orders", held ? "lease-held" : "lease-lost",
                   "fence=%lld revision=%lld holder=%s",
                   (long long)rollout->lease.fence,
                   (long long)rollout->lease.revision, rollout->lease.holder);
    }
    /* A host that reaches no server cannot carry out a rollout. */
    if (rollout->relay->stop_requested_ms != 0 ||
        reach_is_lost(&rollout->relay->reach)) {
        lease_release(&rollout->lease);
    }
    else {
        lease_resume(&rollout->lease);
    }
    if (rollout->lease_fetch != NULL) {
        return;
    }
    lease_set_rank(&rollout->lease,
                   peers_duty_rank(rollout->relay->peers, LEASE_NAME));
    bool early = software_record_lacks(&rollout->relay->software_record,
                                       time_mono_ms());
    lease_step_t step = early ? lease_early_step(&rollout->lease, now)
                              : lease_next_step(&rollout->lease, now);
    if (step == LEASE_IDLE && rollout->relay->stop_requested_ms == 0 &&
        is_latest_due(rollout)) {
        step = LEASE_READ;
    }
    if (step != LEASE_IDLE) {
        lease_send(rollout, step);
    }
}

/* ---- jobs, each of which loads weights on one server ---- */

static void
job_free(job_t *job, int64_t retry_ms)
{
    server_t *server = servers_find(job->rollout->relay->servers, job->server);
    if (server != NULL) {
        server->updating = false;
        server->loading_until_ms = 0;
        server->order_not_before_ms = time_mono_ms() + retry_ms;
    }
    if (job->fetch != NULL) {
        fetch_cancel(job->fetch);
    }
    CK_LIST_REMOVE(job, entry);
    free(job);
}

static void on_job_done(void *arg, const fetch_result_t *result);

/* Sends a report's or an order's call.  An order gets a connection of its own:
 * its answer bears no id, and what a connection brings for an earlier request
 * must not be taken for it. */
static void
job_send(job_t *job, const server_t *server, const buf_t *call, bool is_order)
{
    fetch_options_t call_options = {
        .addr = server->info.addr,
        .request = call,
        .new_connection = is_order,
        .other_header = wire_header_name(HEADER_REQUEST_ID),
        .connect_ms = ORDER_CONNECT_MS,
        .total_ms = ORDER_CALL_MS,
        .on_done = on_job_done,
        .arg = job};
    job->fetch = fetch_start(job->rollout->relay->exchanges, &call_options);
}

static void
job_request_report(job_t *job, const server_t *server)
{
    CLEAN_BUF buf_t call = {0};
    platform_report_call(&call, server->info.addr);
    job_send(job, server, &call, false);
}

/* Keeps new requests from the server, here and at the peers. */
static void
job_hold_requests(job_t *job, server_t *server)
{
    int64_t now = time_mono_ms();
    server->loading_until_ms = now + JOB_TIMEOUT_MS;
    if (now - job->notified_ms >= NOTICE_INTERVAL_MS) {
        job->notified_ms = now;
        peers_notify_weights(job->rollout->relay->peers, server, job->version);
    }
}

/* Sends the load order.  The lease is checked last, right before the order is
 * sent. */
static void
job_send_order(job_t *job, const server_t *server, drain_mode_t drain_mode)
{
    rollout_t *rollout = job->rollout;
    CLEAN_BUF buf_t call = {0};
    weights_order_t order = {.server = server->info.id,
                             .model = job->model,
                             .version = job->version,
                             .drain_mode = drain_mode,
                             .holder = rollout->lease.self,
                             .fence = rollout->lease.fence,
                             .expected_orders = job->accepted_orders};
    platform_order_call(&call, server->info.addr, &order);
    if (!lease_is_held(&rollout->lease, time_boot_ms())) {
        job_free(job, JOB_RETRY_MS);
        return;
    }
    log_record(LOG_INFO, "orders", "load",
               "server=%s model=%s version=%lld from=%lld fence=%lld "
               "expected=%lld running=%d waits=%d",
               server->info.id, job->model, (long long)job->version,
               (long long)server->info.weights,
               (long long)rollout->lease.fence,
               (long long)job->accepted_orders,
               server_count_running(server, time_mono_ms()),
               drain_mode == DRAIN_WAIT);
    job->state = JOB_ORDER;
    job->drain_mode = drain_mode;
    job_send(job, server, &call, true);
}

/* Stops sending requests to a server that is about to be ordered to load, so
 * that its running requests end on the weights on which they started. */
static void
job_drain(job_t *job, server_t *server)
{
    job->state = JOB_DRAINING;
    job->drain_started_ms = time_mono_ms();
    job_hold_requests(job, server);
}

/* Orders the server to load, or lets it drain on, by its report. */
static void
job_decide(job_t *job, server_t *server, const server_report_t *report)
{
    int64_t now = time_mono_ms();
    switch (rollout_decide(report, server->info.slots,
                           server_prefill_rate_max(server),
                           now - job->drain_started_ms)) {
        case ROLLOUT_ORDER_KEEP:
            job_send_order(job, server, DRAIN_KEEP);
            return;
        case ROLLOUT_ORDER_WAIT:
            log_record(LOG_INFO, "orders", "no-room",
                       "server=%s running=%d waiting=%d used=%lld total=%lld",
                       server->info.id, report->running, report->waiting,
                       (long long)report->memory_used,
                       (long long)report->memory_total);
            job_send_order(job, server, DRAIN_WAIT);
            return;
        case ROLLOUT_DRAIN:
            job->state = JOB_DRAINING;
            job->next_poll_ms = now + REPORT_INTERVAL_MS;
            job_hold_requests(job, server);
            return;
    }
}

/* Advances a job whose server drains.  If nothing runs there, a load that
 * waits starts at once, and a request of a host that has missed the notice
 * does not go on through it. */
static void
job_drain_tick(job_t *job, server_t *server, int64_t now)
{
    if (now < job->next_poll_ms ||
        !rollout_can_order(server, job->drain_started_ms, now)) {
        return;
    }
    if (server_count_running(server, now) == 0) {
        job_send_order(job, server, DRAIN_WAIT);
        return;
    }
    job->state = JOB_DECIDING;
    job_request_report(job, server);
}

static void
job_apply_report(job_t *job, server_t *server, const fetch_result_t *result)
{
    server_report_t report;
    err_t err = {0};
    if (result->status != 200 ||
        platform_report_read(&report, result->text, result->len, &err) != 0) {
        job_free(job, JOB_RETRY_MS);
        return;
    }
    if (server_update_weights(server, report.weights, report.started_ms)) {
        cache_clear(job->rollout->relay, server);
    }
    if (report.weights >= job->version) {
        log_record(LOG_INFO, "orders", "loaded",
                   "server=%s version=%lld after_ms=%lld", server->info.id,
                   (long long)report.weights,
                   (long long)(time_mono_ms() - job->started_ms));
        peers_notify_weights(job->rollout->relay->peers, server, 0);
        job_free(job, 0);
        return;
    }
    if (report.busy) {
        job->expires_ms = time_mono_ms() + JOB_TIMEOUT_MS;
        job->state = JOB_LOADING;
    }
    job->accepted_orders = report.accepted_orders;
    switch (job->state) {
        case JOB_REPORT:
            job_drain(job, server);
            return;
        case JOB_DECIDING:
            job_decide(job, server, &report);
            return;
        case JOB_LOADING:
            job->next_poll_ms = time_mono_ms() + REPORT_INTERVAL_MS;
            job_hold_requests(job, server);
            return;
        case JOB_DRAINING:
        case JOB_ORDER:
            return;
    }
}

static void
job_apply_order_status(job_t *job, server_t *server, int status)
{
    switch (status) {
        case 202:
            job->state = JOB_LOADING;
            job->next_poll_ms = time_mono_ms() + REPORT_LAG_MS;
            job->notified_ms = 0;
            job_hold_requests(job, server);
            return;
        case 200:
            job->state = JOB_REPORT;
            job->next_poll_ms = time_mono_ms() + REPORT_LAG_MS;
            return;
        default:
            log_record(LOG_WARN, "orders", "refused",
                       "server=%s status=%d fence=%lld", server->info.id,
                       status, (long long)job->rollout->lease.fence);
            job_free(job, JOB_RETRY_MS);
            return;
    }
}

/* A call got no answer.  If it was an order, the server may still carry it
 * out, seconds later.  If its requests would then go on, it drains until an
 * order is answered: otherwise it might have preempted some by then. */
static void
job_call_failed(job_t *job, server_t *server)
{
    int64_t now = time_mono_ms();
    log_record(LOG_WARN, "orders", "no-answer", "server=%s state=%d",
               job->server, (int)job->state);
    if (job->state != JOB_ORDER || job->drain_mode != DRAIN_KEEP) {
        job_free(job, JOB_RETRY_MS);
        return;
    }
    job->state = JOB_DRAINING;
    job->next_poll_ms = now + JOB_RETRY_MS;
    job->expires_ms = now + JOB_TIMEOUT_MS;
    job_hold_requests(job, server);
}

static void
on_job_done(void *arg, const fetch_result_t *result)
{
    job_t *job = arg;
    server_t *server = servers_find(job->rollout->relay->servers, job->server);
    job->fetch = NULL;
    if (server == NULL || server->info.weights >= job->version) {
        job_free(job, 0);
        return;
    }
    if (!result->complete) {
        job_call_failed(job, server);
        return;
    }
    if (job->state == JOB_ORDER) {
        job_apply_order_status(job, server, result->status);
        return;
    }
    job_apply_report(job, server, result);
}

static void
jobs_tick(rollout_t *rollout, int64_t now)
{
    job_t *job;
    job_t *next;
    CK_LIST_FOREACH_SAFE (job, &rollout->jobs, entry, next) {
        server_t *server = servers_find(rollout->relay->servers, job->server);
        if (server == NULL || server->info.weights >= job->version ||
            now > job->expires_ms) {
            job_free(job, 0);
            continue;
        }
        if (job->state == JOB_DRAINING) {
            job_drain_tick(job, server, now);
            continue;
        }
        if (job->fetch == NULL && now >= job->next_poll_ms) {
            job_request_report(job, server);
        }
    }
}

static void
jobs_start(rollout_t *rollout, const weights_t *weights, int64_t now)
{
    servers_t *servers = rollout->relay->servers;
    size_t ordered;
    size_t count = rollout_count(servers, weights->model, &ordered);
    server_t *server;
    while (ordered < rollout_limit(count) &&
           (server = rollout_pick(servers, weights->model,
                                  weights->newest_version, now)) != NULL) {
        job_t *job = mem_zalloc(sizeof(*job));
        job->rollout = rollout;
        job->started_ms = now;
        job->expires_ms = now + JOB_TIMEOUT_MS;
        job->version = weights->newest_version;
        str_copy(job->server, sizeof(job->server), server->info.id);
        str_copy(job->model, sizeof(job->model), weights->model);
        CK_LIST_INSERT_HEAD(&rollout->jobs, job, entry);
        server->updating = true;
        ordered++;
        job_request_report(job, server);
    }
}

/* Advances the lease and the jobs, and starts jobs while the lease is held. */
void
rollout_tick(rollout_t *rollout)
{
    relay_t *relay = rollout->relay;
    int64_t now = time_mono_ms();
    lease_tick(rollout);
    jobs_tick(rollout, now);
    if (!relay->servers_listed || !relay->weights_listed ||
        relay->stop_requested_ms != 0 ||
        !lease_is_held(&rollout->lease, time_boot_ms())) {
        return;
    }
    for (size_t i = 0; i < relay->weights_count; i++) {
        jobs_start(rollout, &relay->weights[i], now);
    }
}

rollout_t *
rollout_new(relay_t *relay)
{
    rollout_t *rollout = mem_zalloc(sizeof(*rollout));
    char self[LEASE_HOLDER_MAX];
    (void)snprintf(self, sizeof(self), "%s/%s/%08llx", relay->settings.name,
                   relay->settings.http_addr,
                   (unsigned long long)(rng_next(&relay->rng) & 0xffffffffu));
    rollout->relay = relay;
    CK_LIST_INIT(&rollout->jobs);
    lease_init(&rollout->lease, self, (int64_t)relay->settings.lease_ms);
    return rollout;
}
