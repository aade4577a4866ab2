#include "cache-source.h"
#include "lease.h"
#include "peers.h"
#include "relay.h"
#include "rollout-plan.h"

#include <stdlib.h>
#include <string.h>

/* Brings engines to the newest weights.  One daemon gives the orders, under a
 * lease in the platform's store; every order carries the lease's fencing
 * number, the server's identity and the count of orders that the server had
 * accepted, so that one that arrives late or twice does nothing. */

#define LEASE_NAME "orders"
#define STORE_CONNECT_MS 300
#define STORE_CALL_MS 1000
#define ORDER_CONNECT_MS 300
#define ORDER_CALL_MS 800
/* A report is a few hundred ms behind, so what an order did shows in it only
 * after this, ms. */
#define REPORT_LAG_MS 400
/* While a server loads it is asked this often, ms. */
#define LOADING_ASK_MS 250
/* A server that could not be ordered is left for this long, ms. */
#define AGAIN_MS 500
/* An order that has shown no effect for so long is given anew, ms: a load
 * takes under a second, behind it runs finish within a few. */
#define ORDER_SPAN_MS 6000

typedef enum {
    JOB_REPORT, /* how many orders has it accepted, and is it there already */
    JOB_QUIET,  /* nothing new goes there while what runs there ends */
    JOB_ORDER,
    JOB_LOADING
} job_state_t;

typedef struct job {
    CK_LIST_ENTRY(job) entry;
    rollout_t *rollout;
    char server[CS_NAME_MAX];
    char model[SERVER_MODEL_MAX];
    int64_t version;
    job_state_t state;
    int64_t began_ms;
    int64_t next_ms;  /* when to ask again */
    int64_t quiet_ms; /* since when nothing new goes there */
    int64_t orders;   /* that the server had accepted by its report */
    fetch_t *fetch;
} job_t;

struct rollout {
    relay_t *relay;
    lease_t lease;
    fetch_t *lease_call;
    lease_step_t lease_step;
    bool was_held;
    CK_LIST_HEAD(jobs, job) jobs;
};

/* ---- the lease ---- */

/* When versions were named, as the holder has written it down. */
static void
take_named(relay_t *relay, const json_t *named)
{
    size_t index;
    json_t *row;
    json_array_foreach (named, index, row) {
        const char *model = json_string_value(json_array_get(row, 0));
        int64_t version = json_integer_value(json_array_get(row, 1));
        int64_t named_ms = json_integer_value(json_array_get(row, 2));
        if (model != NULL && version > 0 && named_ms > 0) {
            if (json_is_true(json_array_get(row, 3))) {
                weights_note_bound(relay, model, version, named_ms);
            }
            else {
                weights_note(relay, model, version, named_ms);
            }
        }
    }
}

static json_t *
named_rows(const relay_t *relay)
{
    json_t *rows = json_array();
    for (size_t i = 0; i < relay->weights_count; i++) {
        const weights_t *weights = &relay->weights[i];
        for (size_t at = 0; at < weights->named_count; at++) {
            (void)json_array_append_new(
                rows, json_pack("[s,I,I,b]", weights->model,
                                (json_int_t)weights->named[at].version,
                                (json_int_t)weights->named[at].named_ms,
                                weights->named[at].guessed));
        }
    }
    return rows;
}

static void
take_lease(rollout_t *rollout, const fetch_result_t *result)
{
    store_page_t page;
    err_t err = {0};
    lease_object_t object = {0};
    if (platform_object_read(&page, result->text, result->len, &err) != 0) {
        log_warn("orders", "The lease cannot be read: %s.", err.text);
        lease_unanswered(&rollout->lease);
        return;
    }
    if (platform_lease_read(&page.objects[0], &object, &err) != 0) {
        log_warn("orders", "The lease cannot be read: %s.", err.text);
    }
    lease_view_t view = {.revision = page.objects[0].revision,
                         .holder = object.holder,
                         .fence = object.fence,
                         .writes = object.writes};
    lease_observe(&rollout->lease, &view, time_boot_ms());
    take_named(rollout->relay, object.named);
    platform_page_free(&page);
}

static void
on_lease_done(void *arg, const fetch_result_t *result)
{
    rollout_t *rollout = arg;
    bool wrote = rollout->lease_step != LEASE_READ;
    rollout->lease_call = NULL;
    if (!result->whole) {
        lease_failed(&rollout->lease, time_boot_ms());
        if (wrote && result->sent) {
            lease_unanswered(&rollout->lease);
        }
        return;
    }
    switch (result->status) {
        case 200:
        case 201:
        case 409: /* with the object as it is */
            take_lease(rollout, result);
            return;
        case 404:
            lease_observe_absent(&rollout->lease);
            return;
        default:
            lease_failed(&rollout->lease, time_boot_ms());
            return; /* nothing was done */
    }
}

static void
lease_call(rollout_t *rollout, lease_step_t step)
{
    relay_t *relay = rollout->relay;
    const char *addr = relay->settings.store_addr;
    lease_t *lease = &rollout->lease;
    CLEAN_BUF buf_t head = {0};
    lease_asked(lease, step, time_boot_ms());
    CLEAN_JSON json_t *spec =
        platform_lease_spec(lease_writes_holder(lease), lease->wanted_fence,
                            lease->writes, named_rows(relay));
    switch (step) {
        case LEASE_CREATE:
            platform_create_call(&head, addr, KIND_LEASES, LEASE_NAME, spec);
            break;
        case LEASE_WRITE:
            platform_replace_call(&head, addr, KIND_LEASES, LEASE_NAME,
                                  lease->revision, spec);
            break;
        case LEASE_READ:
        case LEASE_IDLE:
            platform_get_call(&head, addr, KIND_LEASES, LEASE_NAME);
            break;
    }
    fetch_ask_t ask = {.addr = addr,
                       .call = &head,
                       .connect_ms = STORE_CONNECT_MS,
                       .total_ms = STORE_CALL_MS,
                       .on_done = on_lease_done,
                       .arg = rollout};
    rollout->lease_step = step;
    rollout->lease_call = fetch_start(relay->exchanges, &ask);
}

static void
lease_tick(rollout_t *rollout)
{
    int64_t now = time_boot_ms();
    bool held = lease_held(&rollout->lease, now);
    if (held != rollout->was_held) {
        rollout->was_held = held;
        log_record(LOG_INFO, "orders", held ? "lease-held" : "lease-lost",
                   "fence=%lld revision=%lld holder=%s",
                   (long long)rollout->lease.fence,
                   (long long)rollout->lease.revision, rollout->lease.holder);
    }
    if (rollout->relay->stopping_ms != 0) {
        lease_leave(&rollout->lease);
    }
    if (rollout->lease_call != NULL) {
        return;
    }
    lease_take_turn(&rollout->lease,
                    peers_duty_rank(rollout->relay->peers, LEASE_NAME));
    lease_step_t step = lease_next(&rollout->lease, now);
    if (step != LEASE_IDLE) {
        lease_call(rollout, step);
    }
}

/* ---- jobs: one server each ---- */

static void
job_free(job_t *job, int64_t again_ms)
{
    server_t *server = servers_find(job->rollout->relay->servers, job->server);
    if (server != NULL) {
        server->ordered = false;
        server->loading_ms = 0;
        server->order_after_ms = time_mono_ms() + again_ms;
    }
    if (job->fetch != NULL) {
        fetch_cancel(job->fetch);
    }
    CK_LIST_REMOVE(job, entry);
    free(job);
}

static void on_job_done(void *arg, const fetch_result_t *result);

static void
job_call(job_t *job, const server_t *server, const buf_t *head)
{
    fetch_ask_t ask = {.addr = server->info.addr,
                       .call = head,
                       .connect_ms = ORDER_CONNECT_MS,
                       .total_ms = ORDER_CALL_MS,
                       .on_done = on_job_done,
                       .arg = job};
    job->fetch = fetch_start(job->rollout->relay->exchanges, &ask);
}

static void
job_ask_report(job_t *job, const server_t *server)
{
    CLEAN_BUF buf_t head = {0};
    platform_report_call(&head, server->info.addr);
    job_call(job, server, &head);
}

/* Give the order.  What still runs goes on beside the load: held back by one
 * long answer, a server would refuse all others for as long, and the rest of
 * the fleet would be on old weights.  The lease is looked at last, right
 * before the order leaves. */
static void
job_order(job_t *job, const server_t *server)
{
    rollout_t *rollout = job->rollout;
    CLEAN_BUF buf_t head = {0};
    weights_order_t order = {.server = server->info.id,
                             .model = job->model,
                             .version = job->version,
                             .runs = RUNS_GO_ON,
                             .holder = rollout->lease.self,
                             .fence = rollout->lease.fence,
                             .expected_orders = job->orders};
    platform_order_call(&head, server->info.addr, &order);
    if (!lease_held(&rollout->lease, time_boot_ms())) {
        job_free(job, AGAIN_MS);
        return;
    }
    log_record(LOG_INFO, "orders", "load",
               "server=%s model=%s version=%lld from=%lld fence=%lld "
               "expected=%lld running=%d",
               server->info.id, job->model, (long long)job->version,
               (long long)server->info.weights,
               (long long)rollout->lease.fence, (long long)job->orders,
               server_running(server, time_mono_ms()));
    job->state = JOB_ORDER;
    job_call(job, server, &head);
}

/* Send nothing more to a server that is about to be ordered, so that what it
 * runs ends on the weights that it began with. */
static void
job_quiet(job_t *job, server_t *server, int64_t orders)
{
    int64_t now = time_mono_ms();
    job->orders = orders;
    job->state = JOB_QUIET;
    job->quiet_ms = now;
    server->loading_ms = now + ROLLOUT_QUIET_MS + ORDER_CALL_MS;
    peers_notify_weights(job->rollout->relay->peers, server, job->version);
}

static void
take_job_report(job_t *job, server_t *server, const fetch_result_t *result)
{
    server_report_t report;
    err_t err = {0};
    if (result->status != 200 ||
        platform_report_read(&report, result->text, result->len, &err) != 0) {
        job_free(job, AGAIN_MS);
        return;
    }
    if (report.weights != server->info.weights) {
        cache_forget(job->rollout->relay, server);
        server->info.weights = report.weights;
    }
    if (report.weights >= job->version) {
        log_record(LOG_INFO, "orders", "loaded",
                   "server=%s version=%lld after_ms=%lld", server->info.id,
                   (long long)report.weights,
                   (long long)(time_mono_ms() - job->began_ms));
        peers_notify_weights(job->rollout->relay->peers, server, 0);
        job_free(job, 0);
        return;
    }
    if (report.busy || job->state == JOB_LOADING) {
        job->state = JOB_LOADING;
        job->next_ms = time_mono_ms() + LOADING_ASK_MS;
        return;
    }
    job_quiet(job, server, report.orders);
}

static void
take_job_answer(job_t *job, server_t *server, int status)
{
    switch (status) {
        case 202:
            job->state = JOB_LOADING;
            job->next_ms = time_mono_ms() + REPORT_LAG_MS;
            server->loading_ms = time_mono_ms() + ORDER_SPAN_MS;
            peers_notify_weights(job->rollout->relay->peers, server,
                                 job->version);
            return;
        case 200:
            job->state = JOB_REPORT;
            job->next_ms = time_mono_ms() + REPORT_LAG_MS;
            return;
        default:
            log_record(LOG_WARN, "orders", "refused",
                       "server=%s status=%d fence=%lld", server->info.id,
                       status, (long long)job->rollout->lease.fence);
            job_free(job, AGAIN_MS);
            return;
    }
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
    if (!result->whole) {
        log_record(LOG_WARN, "orders", "no-answer", "server=%s state=%d",
                   job->server, (int)job->state);
        job_free(job, AGAIN_MS);
        return;
    }
    if (job->state == JOB_ORDER) {
        take_job_answer(job, server, result->status);
        return;
    }
    take_job_report(job, server, result);
}

static void
jobs_tick(rollout_t *rollout, int64_t now)
{
    job_t *job;
    job_t *next;
    CK_LIST_FOREACH_SAFE (job, &rollout->jobs, entry, next) {
        server_t *server = servers_find(rollout->relay->servers, job->server);
        if (server == NULL || server->info.weights >= job->version ||
            now - job->began_ms > ORDER_SPAN_MS) {
            job_free(job, 0);
            continue;
        }
        if (job->state == JOB_QUIET) {
            if (rollout_may_order(server, job->quiet_ms, now)) {
                job_order(job, server);
            }
            continue;
        }
        if (job->fetch == NULL && now >= job->next_ms) {
            job_ask_report(job, server);
        }
    }
}

static void
jobs_begin(rollout_t *rollout, const weights_t *weights, int64_t now)
{
    servers_t *servers = rollout->relay->servers;
    size_t loading;
    size_t count = rollout_count(servers, weights->model, &loading);
    server_t *server;
    while (loading < rollout_limit(count) &&
           (server = rollout_pick(servers, weights->model, weights->version,
                                  now)) != NULL) {
        job_t *job = mem_zalloc(sizeof(*job));
        job->rollout = rollout;
        job->began_ms = now;
        job->version = weights->version;
        str_copy(job->server, sizeof(job->server), server->info.id);
        str_copy(job->model, sizeof(job->model), weights->model);
        CK_LIST_INSERT_HEAD(&rollout->jobs, job, entry);
        server->ordered = true;
        loading++;
        job_ask_report(job, server);
    }
}

/* One step: look after the lease, and while it is held, after the orders. */
void
rollout_tick(rollout_t *rollout)
{
    relay_t *relay = rollout->relay;
    int64_t now = time_mono_ms();
    lease_tick(rollout);
    jobs_tick(rollout, now);
    if (!relay->servers_listed || !relay->weights_listed ||
        relay->stopping_ms != 0 ||
        !lease_held(&rollout->lease, time_boot_ms())) {
        return;
    }
    for (size_t i = 0; i < relay->weights_count; i++) {
        jobs_begin(rollout, &relay->weights[i], now);
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
