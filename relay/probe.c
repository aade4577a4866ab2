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
    int status;
    buf_t answer;
} probe_t;

static head_verdict_t
on_head(void *arg, const http_head_t *head)
{
    probe_t *probe = arg;
    probe->status = head->status;
    return HEAD_TAKE;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    probe_t *probe = arg;
    buf_add(&probe->answer, data, len);
}

static void
take_report(const probe_t *probe, server_t *server)
{
    server_report_t report;
    err_t err = {0};
    if (platform_report_read(&report, buf_text(&probe->answer),
                             probe->answer.len, &err) != 0) {
        log_warn("servers", "The report of %s cannot be read: %s.", probe->id,
                 err.text);
        return;
    }
    if (report.weights != server->said.weights) {
        log_record(LOG_INFO, "servers", "reported",
                   "server=%s weights=%lld busy=%d", server->said.id,
                   (long long)report.weights, report.busy);
        cache_map_forget(probe->relay->cache, server->number);
        server->said.weights = report.weights;
    }
}

/* It did not answer: nothing more goes there, and what can be done elsewhere
 * leaves it. */
static void
server_lost(relay_t *relay, server_t *server)
{
    if (!server->silent) {
        log_record(LOG_WARN, "servers", "silent",
                   "server=%s running=%d heard_ms_ago=%lld", server->said.id,
                   server->own_running,
                   (long long)(time_mono_ms() - server->heard_ms));
    }
    server->silent = true;
    exchanges_drop(relay->exchanges, server->said.addr);
    requests_leave(relay, server);
}

static void
on_end(void *arg, exchange_end_t end)
{
    probe_t *probe = arg;
    relay_t *relay = probe->relay;
    server_t *server = servers_find(relay->servers, probe->id);
    if (server != NULL) {
        server->probing = false;
        if (end == EXCHANGE_WHOLE) {
            if (server->silent) {
                log_record(LOG_INFO, "servers", "back", "server=%s",
                           server->said.id);
            }
            server_heard(server, time_mono_ms());
            if (probe->engine && probe->status == 200) {
                take_report(probe, server);
            }
        }
        else {
            server_lost(relay, server);
        }
    }
    buf_free(&probe->answer);
    free(probe);
}

static void
call_of(const relay_t *relay, const server_t *server, buf_t *out)
{
    const relay_service_t *service =
        relay->config != NULL
            ? relay_config_service(relay->config, server->said.service)
            : NULL;
    if (server->said.engine) {
        platform_report_call(out, server->said.addr);
        return;
    }
    platform_health_call(out, server->said.addr,
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
    probe->engine = server->said.engine;
    str_copy(probe->id, sizeof(probe->id), server->said.id);
    call_of(relay, server, &head);
    exchange_ask_t ask = {.addr = server->said.addr,
                          .head = head.data,
                          .head_len = head.len,
                          .connect_ms = CONNECT_MS,
                          .total_ms = probe->engine ? REPORT_MS : HEALTH_MS};
    exchange_hooks_t hooks = {on_head, on_body, on_end, probe};
    (void)exchange_start(relay->exchanges, &ask, &hooks);
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
