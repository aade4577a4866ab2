#include "daemon.h"

#include <string.h>

/* Orders to load weights.  The configuration names the desired version and
 * each server reports the version that it has loaded.  The daemon that has the
 * duty for a server repeats the order until the two agree, so a late order
 * from a previous issuer is corrected.
 *
 * A server that honours fencing gets the configuration's generation as the
 * fencing token.  For one that does not, the issuer first acquires a lease in
 * the platform's store.  The lease time counts from before the request for it,
 * and a successor waits ORDER_TIMEOUT_MS past its end, so that an order still
 * in flight has ended. */

#define ORDER_INTERVAL_MS 200
#define ORDER_TIMEOUT_MS 1000
#define LEASE_MS 4000

static bool
needs_order(celeryspoold_t *daemon, const model_t *model,
            const backend_t *backend)
{
    backend_state_t state;
    return backend->kind == BACKEND_ENGINE &&
           strcmp(backend->serves, model->name) == 0 &&
           view_get(daemon->view, view_assign_id(daemon->view, backend->name),
                    &state) &&
           state.reported &&
           strcmp(state.load_report.version, model->version) != 0;
}

/* Reads the lease and its object version; 0 if this daemon may acquire it. */
static int
lease_check(celeryspoold_t *daemon, const char *object, int64_t *version)
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
    const char *holder = json_get_string(value, "holder");
    int64_t takeover_ms =
        json_get_int(value, "until_ms", 0) + ORDER_TIMEOUT_MS;
    bool is_holder =
        holder != NULL && strcmp(holder, daemon->settings.name) == 0 &&
        json_get_int(value, "incarnation", 0) == (int64_t)daemon->incarnation;
    return is_holder || time_wall_ms() > takeover_ms ? 0 : -1;
}

/* Acquires the lease for a server.  Returns when it expires, in wall time, or
 * 0 if it was not acquired. */
static int64_t
lease_acquire(celeryspoold_t *daemon, const backend_t *backend,
              const char *version)
{
    char object[CS_NAME_MAX + 16];
    int64_t object_version = 0;
    int64_t requested_ms = time_wall_ms();
    (void)snprintf(object, sizeof(object), "orders/%s", backend->name);
    if (lease_check(daemon, object, &object_version) != 0) {
        return 0;
    }
    CLEAN_JSON json_t *lease =
        json_pack("{s:s,s:I,s:I,s:s}", "holder", daemon->settings.name,
                  "incarnation", (json_int_t)daemon->incarnation, "until_ms",
                  (json_int_t)(requested_ms + LEASE_MS), "intent", version);
    int64_t new_version = 0;
    store_result_t result = store_put_wait(
        daemon->store, object, object_version, lease, &new_version);
    return result == STORE_OK ? requested_ms + LEASE_MS : 0;
}

/* Whether this daemon may send an order now.  The remaining lease time is
 * checked after the last blocking step, so an issuer that was suspended
 * meanwhile finds its lease expired and sends nothing. */
static bool
can_send_order(celeryspoold_t *daemon, const backend_t *backend,
               const char *version)
{
    if (backend->honours_fencing) {
        return true;
    }
    int64_t expires_ms = lease_acquire(daemon, backend, version);
    return expires_ms != 0 && time_wall_ms() + ORDER_TIMEOUT_MS < expires_ms;
}

static void
send_order(celeryspoold_t *daemon, const config_t *config,
           const model_t *model, const backend_t *backend)
{
    char url[CS_ADDR_MAX + 32];
    CLEAN_BUF buf_t reply = {0};
    int status = 0;
    if (!can_send_order(daemon, backend, model->version)) {
        return;
    }
    CLEAN_JSON json_t *order =
        json_pack("{s:s,s:s,s:I,s:s}", "order", "load", "version",
                  model->version, "fence", (json_int_t)config->generation,
                  "issuer", daemon->settings.name);
    CLEAN_TEXT char *text = json_dumps(order, JSON_COMPACT);
    (void)snprintf(url, sizeof(url), "http://%s/orders", backend->addr);
    http_client_request_t request = {.method = "POST",
                                     .url = url,
                                     .body = text,
                                     .body_len = strlen(text),
                                     .connect_ms = ORDER_TIMEOUT_MS,
                                     .total_ms = ORDER_TIMEOUT_MS,
                                     .new_connection = true};
    http_end_t end = http_fetch(&request, &status, &reply);
    event_emit(&(event_t){
        .kind = "order", .backend = backend->name, .detail = model->version});
    log_info("order", "Ordered %s to load %s: %s %d.", backend->name,
             model->version,
             end == HTTP_END_COMPLETE ? "answered" : "no answer", status);
}

/* Sends orders to the servers that still need the version.  Only the first
 * loads_max of them, in the configuration's order, load at a time; the others
 * follow once these report the version. */
static void
roll_out(celeryspoold_t *daemon, const config_t *config, const model_t *model)
{
    int pending = 0;
    for (size_t i = 0; i < config->backend_count; i++) {
        const backend_t *backend = &config->backends[i];
        char duty[CS_NAME_MAX + 8];
        if (!needs_order(daemon, model, backend)) {
            continue;
        }
        if (++pending > model->concurrent_loads_max) {
            return;
        }
        (void)snprintf(duty, sizeof(duty), "order/%s", backend->name);
        if (members_has_duty(daemon->members, duty)) {
            send_order(daemon, config, model, backend);
        }
    }
}

/* The thread that brings all servers to the desired weights version. */
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
        time_sleep_ms(ORDER_INTERVAL_MS);
    }
    return NULL;
}
