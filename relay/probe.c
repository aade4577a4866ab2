#include "cache-source.h"
#include "relay.h"

#include <stdlib.h>
#include <string.h>

/* Questions to servers: whether they are there at all, and which weights they
 * are on where the platform's list may be behind. */

/* A server is asked for its report once in this time at most, ms. */
#define PROBE_EVERY_MS 200
#define CONNECT_MS 250
/* An engine answers its report without a slot, within a few ms; a plain server
 * answers between two of its requests, which take tens of ms. */
#define REPORT_MS 350
#define HEALTH_MS 600

typedef struct {
    relay_t *relay;
    char id[CS_NAME_MAX];
    bool engine;
} probe_t;

static void
take_report(const probe_t *probe, server_t *server,
            const fetch_result_t *result)
{
    server_report_t report;
    err_t err = {0};
    if (platform_report_read(&report, result->text, result->len, &err) != 0) {
        log_warn("servers", "The report of %s cannot be read: %s.", probe->id,
                 err.text);
        return;
    }
    if (report.weights != server->info.weights) {
        log_record(LOG_INFO, "servers", "reported",
                   "server=%s weights=%lld busy=%d", server->info.id,
                   (long long)report.weights, report.busy);
        cache_forget(probe->relay, server);
        server->info.weights = report.weights;
    }
}

/* It did not answer: nothing more goes there, and what can be done elsewhere
 * leaves it. */
static void
server_lost(relay_t *relay, server_t *server)
{
    if (!server->silent) {
        log_record(LOG_WARN, "servers", "silent",
                   "server=%s running=%d busy_ms=%lld", server->info.id,
                   server->own_running,
                   (long long)(time_mono_ms() - server->busy_ms));
    }
    server->silent = true;
    exchanges_close_idle(relay->exchanges, server->info.addr);
    requests_abandon(relay, server);
}

static void
on_done(void *arg, const fetch_result_t *result)
{
    probe_t *probe = arg;
    relay_t *relay = probe->relay;
    server_t *server = servers_find(relay->servers, probe->id);
    if (server != NULL) {
        server->probing = false;
        if (result->whole) {
            if (server->silent) {
                log_record(LOG_INFO, "servers", "back", "server=%s",
                           server->info.id);
            }
            server_note_answer(server, time_mono_ms());
            if (probe->engine && result->status == 200) {
                take_report(probe, server, result);
            }
        }
        else {
            server_lost(relay, server);
        }
    }
    free(probe);
}

static void
call_of(const relay_t *relay, const server_t *server, buf_t *out)
{
    const relay_service_t *service =
        relay->config != NULL
            ? relay_config_service(relay->config, server->info.service)
            : NULL;
    if (server->info.engine) {
        platform_report_call(out, server->info.addr);
        return;
    }
    platform_health_call(out, server->info.addr,
                         service != NULL ? service->health : "/");
}

/* Ask a server, unless it was just asked. */
void
probe_server(relay_t *relay, server_t *server)
{
    int64_t now = time_mono_ms();
    CLEAN_BUF buf_t head = {0};
    if (server->probing ||
        (server->asked_ms != 0 && now - server->asked_ms < PROBE_EVERY_MS)) {
        return;
    }
    server->asked_ms = now;
    server->probing = true;
    probe_t *probe = mem_zalloc(sizeof(*probe));
    probe->relay = relay;
    probe->engine = server->info.engine;
    str_copy(probe->id, sizeof(probe->id), server->info.id);
    call_of(relay, server, &head);
    fetch_ask_t ask = {.addr = server->info.addr,
                       .call = &head,
                       .connect_ms = CONNECT_MS,
                       .total_ms = probe->engine ? REPORT_MS : HEALTH_MS,
                       .on_done = on_done,
                       .arg = probe};
    (void)fetch_start(relay->exchanges, &ask);
}

void
probes_tick(relay_t *relay)
{
    int64_t now = time_mono_ms();
    server_t *server;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (server_wants_probe(server, now)) {
            probe_server(relay, server);
        }
    }
}
