#include "daemon.h"

#include <string.h>

/* Orders to load weights.  The wanted version is the configuration's; what
 * is loaded is read back from each server's report, and whoever has the duty
 * goes on until the two agree, so a late order of an older issuer is
 * corrected rather than trusted not to happen.
 *
 * A server that honours fencing gets the configuration's generation as its
 * fence.  For one that does not, an issuer first takes a lease in the
 * platform; its time counts from before the request for it, and the
 * successor waits for the end of the longest order behind the lease. */

#define ORDER_STEP_MS 200
#define ORDER_TIMEOUT_MS 1000
#define LEASE_MS 4000

static bool
needs_order(celeryspoold_t *daemon, const model_t *model,
            const backend_t *backend)
{
    backend_state_t state;
    return backend->kind == BACKEND_ENGINE &&
           strcmp(backend->serves, model->name) == 0 &&
           view_get(daemon->view, view_id(daemon->view, backend->name),
                    &state) &&
           state.reported && strcmp(state.load.version, model->version) != 0;
}

/* Read the lease; 0 where it is free for this daemon. */
static int
lease_read(celeryspoold_t *daemon, const char *object, int64_t *version)
{
    CLEAN_JSON json_t *value = NULL;
    store_result_t result =
        store_get_wait(daemon->store, object, version, &value);
    if (result == STORE_ABSENT) {
        *version = 0;
        return 0;
    }
    if (result != STORE_OK) {
        return -1;
    }
    const char *holder = json_text(value, "holder");
    int64_t until = json_int(value, "until_ms", 0) + ORDER_TIMEOUT_MS;
    bool mine =
        holder != NULL && strcmp(holder, daemon->settings.name) == 0 &&
        json_int(value, "incarnation", 0) == (int64_t)daemon->incarnation;
    return mine || time_wall_ms() > until ? 0 : -1;
}

/* Take the lease for a server; its end by the wall clock, or 0. */
static int64_t
lease_take(celeryspoold_t *daemon, const backend_t *backend,
           const char *version)
{
    char object[CS_NAME_MAX + 16];
    int64_t have = 0;
    int64_t before = time_wall_ms();
    (void)snprintf(object, sizeof(object), "orders/%s", backend->name);
    if (lease_read(daemon, object, &have) != 0) {
        return 0;
    }
    CLEAN_JSON json_t *lease =
        json_pack("{s:s,s:I,s:I,s:s}", "holder", daemon->settings.name,
                  "incarnation", (json_int_t)daemon->incarnation, "until_ms",
                  (json_int_t)(before + LEASE_MS), "intent", version);
    int64_t now = 0;
    store_result_t result =
        store_put_wait(daemon->store, object, have, lease, &now);
    return result == STORE_OK ? before + LEASE_MS : 0;
}

/* The time left to an issuer is looked at behind the last step that blocks;
 * one that was frozen meanwhile finds its lease over and sends nothing. */
static bool
may_issue(celeryspoold_t *daemon, const backend_t *backend,
          const char *version)
{
    if (backend->honours_fencing) {
        return true;
    }
    int64_t until = lease_take(daemon, backend, version);
    return until != 0 && time_wall_ms() + ORDER_TIMEOUT_MS < until;
}

static void
issue(celeryspoold_t *daemon, const config_t *config, const model_t *model,
      const backend_t *backend)
{
    char url[CS_ADDR_MAX + 32];
    CLEAN_BUF buf_t reply = {0};
    int status = 0;
    if (!may_issue(daemon, backend, model->version)) {
        return;
    }
    CLEAN_JSON json_t *order =
        json_pack("{s:s,s:s,s:I,s:s}", "order", "load", "version",
                  model->version, "fence", (json_int_t)config->generation,
                  "issuer", daemon->settings.name);
    CLEAN_TEXT char *text = json_dumps(order, JSON_COMPACT);
    (void)snprintf(url, sizeof(url), "http://%s/orders", backend->addr);
    http_call_t call = {.method = "POST",
                        .url = url,
                        .body = text,
                        .body_len = strlen(text),
                        .connect_ms = ORDER_TIMEOUT_MS,
                        .total_ms = ORDER_TIMEOUT_MS,
                        .fresh = true};
    http_end_t end = http_fetch(&call, &status, &reply);
    event_emit(&(event_t){
        .kind = "order", .backend = backend->name, .detail = model->version});
    log_info("order", "%s was told to load %s: %s %d.", backend->name,
             model->version, end == HTTP_END_WHOLE ? "answered" : "no answer",
             status);
}

/* Of the servers that still need the version, in the configuration's order,
 * only the first loads_max are told; the others follow as these report. */
static void
roll_out(celeryspoold_t *daemon, const config_t *config, const model_t *model)
{
    int under_way = 0;
    for (size_t i = 0; i < config->backend_count; i++) {
        const backend_t *backend = &config->backends[i];
        char duty[CS_NAME_MAX + 8];
        if (!needs_order(daemon, model, backend)) {
            continue;
        }
        if (++under_way > model->concurrent_loads_max) {
            return;
        }
        (void)snprintf(duty, sizeof(duty), "order/%s", backend->name);
        if (members_duty(daemon->members, duty)) {
            issue(daemon, config, model, backend);
        }
    }
}

/* The thread that brings the servers to the wanted weights. */
void *
order_run(void *arg)
{
    celeryspoold_t *daemon = arg;
    while (!__atomic_load_n(&daemon->stopping, __ATOMIC_ACQUIRE)) {
        config_t *config = daemon_config(daemon);
        for (size_t i = 0; i < config->model_count; i++) {
            roll_out(daemon, config, &config->models[i]);
        }
        config_release(config);
        time_sleep_ms(ORDER_STEP_MS);
    }
    return NULL;
}
