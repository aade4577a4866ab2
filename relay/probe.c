#include "cache-source.h"
#include "peers.h"
#include "request.h"

#include <stdlib.h>
#include <string.h>

/* Probes servers: whether they answer at all, and which weights they have
 * loaded, since the platform's list may be out of date. */

/* A server is probed at most once per interval, ms. */
#define PROBE_INTERVAL_MS 200
/* A notice that a server is silent is not sent while another host has just
 * sent one, ms. */
#define SILENCE_NOTICE_INTERVAL_MS 400
#define CONNECT_TIMEOUT_MS 250
/* A load report needs no slot of the engine and takes a few ms.  A plain
 * server answers a health check between two of its requests, which take tens
 * of ms each.  The timeouts leave a wide margin. */
#define REPORT_TIMEOUT_MS 350
#define HEALTH_TIMEOUT_MS 600
/* Servers probed at a time to find out whether this host reaches any. */
#define PATH_PROBES_MAX 8

typedef struct {
    relay_t *relay;
    char id[CS_NAME_MAX];
    bool engine;
    bool of_path; /* over a new connection, see reach.h */
} probe_t;

typedef struct {
    relay_t *relay;
    char id[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
} report_request_t;

struct software_check {
    relay_t *relay;
    char id[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
    bool new_connection;
    fetch_t *fetch;
    void (*on_checked)(void *arg, server_t *server);
    void *arg;
};

/* Applies a server's report; false if it cannot be parsed. */
static bool
apply_report(relay_t *relay, server_t *server, const fetch_result_t *result)
{
    server_report_t report;
    err_t err = {0};
    if (platform_report_read(&report, result->text, result->len, &err) != 0) {
        log_warn("servers", "Cannot parse the report of %s: %s.",
                 server->info.id, err.text);
        return false;
    }
    relay_apply_life(relay, server,
                     report.started_ms > server->info.started_ms
                         ? SERVER_RESTARTED
                         : SERVER_LIVES);
    const process_report_t process = {.sent_us = result->sent_us,
                                      .started_ms = report.started_ms};
    process_report_update(&server->report, &process);
    server_confirm_software(server, report.started_ms);
    requests_note_report(relay, server, &report);
    if (server->info.engine) {
        weights_note_seen(relay, server->info.model, report.weights);
    }
    if (server_update_weights(server, report.weights, report.started_ms)) {
        log_record(LOG_INFO, "servers", "reported",
                   "server=%s weights=%lld busy=%d", server->info.id,
                   (long long)report.weights, report.busy);
        cache_clear(relay, server);
    }
    return true;
}

/* Marks a server that did not answer: it gets no further requests, and its
 * requests that may run elsewhere are sent to other servers. */
static void
mark_unresponsive(relay_t *relay, server_t *server)
{
    if (!server->unresponsive) {
        log_record(LOG_WARN, "servers", "silent",
                   "server=%s running=%d busy_ms=%lld", server->info.id,
                   server->own_running,
                   (long long)(time_mono_ms() - server->busy_since_ms));
    }
    int64_t now = time_mono_ms();
    if (server_shares_silence(server) && !reach_is_lost(&relay->reach) &&
        now - server->silent_notice_ms >= SILENCE_NOTICE_INTERVAL_MS) {
        /* Of several hosts that notice the silence, one notifies the others.
         */
        peers_notify_silence(relay->peers, server);
    }
    /* The first failed probe comes after two thirds of a second. */
    bool again = server->unresponsive;
    server_mark_unresponsive(server);
    exchanges_close_idle(relay->exchanges, server->info.addr);
    requests_fail_over(relay, server, again);
}

static void
on_done(void *arg, const fetch_result_t *result)
{
    probe_t *probe = arg;
    relay_t *relay = probe->relay;
    server_t *server = servers_find(relay->servers, probe->id);
    if (server != NULL) {
        server->probing = false;
        if (result->complete) {
            if (server->unresponsive) {
                log_record(LOG_INFO, "servers", "back", "server=%s",
                           server->info.id);
            }
            relay_note_answer(relay, server, probe->of_path);
            if (probe->engine && result->status == 200 &&
                apply_report(relay, server, result)) {
                server->software_in_doubt = false;
            }
        }
        else if (probe->of_path) {
            relay_apply_life(relay, server, SERVER_UNREACHED);
            relay_note_failed_probe(relay, server);
        }
        else {
            relay_note_fault(relay, server, false);
            mark_unresponsive(relay, server);
        }
    }
    free(probe);
}

static void
build_call(const relay_t *relay, const server_t *server, buf_t *out)
{
    const relay_service_t *service =
        relay->config != NULL
            ? relay_config_find_service(relay->config, server->info.service)
            : NULL;
    if (server->info.engine) {
        platform_report_call(out, server->info.addr);
        return;
    }
    platform_health_call(out, server->info.addr,
                         service != NULL ? service->health_path : "/");
}

/* Whether what the server says of itself allows a probe.  A health check takes
 * a slot like a request, a load report does not. */
static bool
may_probe(const server_t *server, int64_t now)
{
    return server->info.engine ||
           (server_rest_allows(&server->rest, now) &&
            server_brittle_wait_ms(&server->brittle, server->own_running,
                                   now) == 0 &&
            server_limit_allows_probe(&server->limit, now));
}

/* Sends a probe, unless one is in flight or was sent just now. */
static void
send_probe(relay_t *relay, server_t *server, bool of_path)
{
    int64_t now = time_mono_ms();
    CLEAN_BUF buf_t head = {0};
    if (server->probing ||
        (server->probed_ms != 0 &&
         now - server->probed_ms < PROBE_INTERVAL_MS) ||
        !may_probe(server, now)) {
        return;
    }
    if (!server->info.engine) {
        server_take_request(server, now);
    }
    server->probed_ms = now;
    server->probing = true;
    probe_t *probe = mem_zalloc(sizeof(*probe));
    probe->relay = relay;
    probe->engine = server->info.engine;
    probe->of_path = of_path;
    str_copy(probe->id, sizeof(probe->id), server->info.id);
    build_call(relay, server, &head);
    fetch_options_t call_options = {
        .addr = server->info.addr,
        .request = &head,
        .new_connection = of_path,
        .other_header = wire_header_name(HEADER_REQUEST_ID),
        .connect_ms = CONNECT_TIMEOUT_MS,
        .total_ms = probe->engine ? REPORT_TIMEOUT_MS : HEALTH_TIMEOUT_MS,
        .on_done = on_done,
        .arg = probe};
    (void)fetch_start(relay->exchanges, &call_options);
}

/* Probes a server, unless a probe is in flight or was sent just now. */
void
probe_server(relay_t *relay, server_t *server)
{
    send_probe(relay, server, false);
}

/* A connection to the server broke: it may have started again, with other
 * software than its entry names.  Its report shows which start it is. */
void
relay_doubt_software(relay_t *relay, server_t *server)
{
    if (server->info.engine) {
        server_doubt_software(server);
        probe_server(relay, server);
    }
}

static void
on_software_checked(void *arg, const fetch_result_t *result)
{
    software_check_t *check = arg;
    relay_t *relay = check->relay;
    server_t *server = servers_find(relay->servers, check->id);
    bool answered = result->complete && result->status == 200;
    if (server != NULL && strcmp(server->info.addr, check->addr) != 0) {
        server = NULL;
    }
    if (server != NULL && answered) {
        relay_note_answer(relay, server, check->new_connection);
        answered = apply_report(relay, server, result);
    }
    if (server != NULL && answered) {
        server->software_in_doubt = false;
    }
    if (server != NULL && !answered) {
        relay_doubt_software(relay, server);
    }
    check->on_checked(check->arg, answered ? server : NULL);
    free(check);
}

/* Requests the report of an engine, which shows whether it has started again
 * since its entry, and calls on_checked with the server, or with NULL if it
 * does not answer or is gone.  The connection is idle then and the first to be
 * used again by the request of this id: what is sent over it reaches the same
 * process.
 *
 * An open connection may have ended unnoticed, so a new one is made unless
 * only open ones reach the servers. */
software_check_t *
relay_check_software(relay_t *relay, const server_t *server, const char *id,
                     void (*on_checked)(void *arg, server_t *server),
                     void *arg)
{
    CLEAN_BUF buf_t head = {0};
    software_check_t *check = mem_zalloc(sizeof(*check));
    check->relay = relay;
    check->new_connection = relay->reach.state == REACH_OK;
    check->on_checked = on_checked;
    check->arg = arg;
    str_copy(check->id, sizeof(check->id), server->info.id);
    str_copy(check->addr, sizeof(check->addr), server->info.addr);
    platform_report_call(&head, server->info.addr);
    fetch_options_t call_options = {
        .addr = server->info.addr,
        .request = &head,
        .new_connection = check->new_connection,
        .next_id = id,
        .other_header = wire_header_name(HEADER_REQUEST_ID),
        .connect_ms = CONNECT_TIMEOUT_MS,
        .total_ms = REPORT_TIMEOUT_MS,
        .on_done = on_software_checked,
        .arg = check};
    check->fetch = fetch_start(relay->exchanges, &call_options);
    return check;
}

/* Cancels a check; on_checked is not called any more. */
void
relay_cancel_software_check(software_check_t *check)
{
    fetch_cancel(check->fetch);
    free(check);
}

static void
on_report(void *arg, const fetch_result_t *result)
{
    report_request_t *call = arg;
    server_t *server = servers_find(call->relay->servers, call->id);
    if (server != NULL) {
        bool answered = result->complete && result->status == 200 &&
                        strcmp(server->info.addr, call->addr) == 0;
        server->report_pending = false;
        server->report_failed =
            !answered || !apply_report(call->relay, server, result);
    }
    free(call);
}

/* Requests the report of an engine, which shows which process is behind the
 * connections that are open now, unless a request for it is in flight.  No
 * answer has no consequences: the connection may have been an idle one that
 * the engine has closed. */
void
relay_request_report(relay_t *relay, server_t *server)
{
    CLEAN_BUF buf_t head = {0};
    if (server->report_pending) {
        return;
    }
    report_request_t *call = mem_zalloc(sizeof(*call));
    call->relay = relay;
    str_copy(call->id, sizeof(call->id), server->info.id);
    str_copy(call->addr, sizeof(call->addr), server->info.addr);
    server->report_pending = true;
    platform_report_call(&head, server->info.addr);
    fetch_options_t options = {
        .addr = server->info.addr,
        .request = &head,
        .other_header = wire_header_name(HEADER_REQUEST_ID),
        .connect_ms = CONNECT_TIMEOUT_MS,
        .total_ms = REPORT_TIMEOUT_MS,
        .on_done = on_report,
        .arg = call};
    relay->meter.origin_reports++;
    (void)fetch_start(relay->exchanges, &options);
}

/* Probes a few random servers to find out whether this host reaches any: in
 * doubt those that have not failed yet, and any once the path is lost. */
static void
probe_path(relay_t *relay, size_t count)
{
    server_t *chosen[PATH_PROBES_MAX];
    size_t kept = 0;
    uint64_t seen = 0;
    server_t *server;
    bool others = !reach_is_lost(&relay->reach) &&
                  relay->reach.failed.count < relay->reach.listed;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (server->removed || server->probing ||
            (others && reach_has_failed(&relay->reach, server->number))) {
            continue;
        }
        /* Reservoir sampling: each server is as likely as any other. */
        size_t slot =
            kept < count ? kept++ : (size_t)rng_below(&relay->rng, seen + 1);
        if (slot < count) {
            chosen[slot] = server;
        }
        seen++;
    }
    for (size_t i = 0; i < kept; i++) {
        send_probe(relay, chosen[i], true);
    }
}

/* Probes the servers at which requests were lost until it is known whether
 * they crashed. */
static void
probe_crashed(relay_t *relay)
{
    server_t *server;
    if (relay->server_crashes.count == 0) {
        return;
    }
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (server_crashes_has(&relay->server_crashes, server->number)) {
            send_probe(relay, server, true);
        }
    }
}

/* Probes a server if it needs it; `lost` is whether the path to the servers
 * is. */
static void
probe_candidate(relay_t *relay, server_t *server, bool lost, int64_t now)
{
    if (!server_needs_probe(server, now)) {
        if (server->software_in_doubt && !server->removed && !lost) {
            probe_server(relay, server);
        }
    }
    else if (!lost) {
        probe_server(relay, server);
    }
    else if (server->own_running > 0) {
        server->probed_ms = now; /* probes of the path stand in for it */
        mark_unresponsive(relay, server);
    }
}

/* Sends the probes that are due.  While the path to the servers is lost, only
 * a few are probed, whatever their number. */
void
probes_tick(relay_t *relay)
{
    int64_t now = time_mono_ms();
    server_queue_t *candidates = &relay->servers->probe_candidates;
    reach_set_listed(&relay->reach, relay->servers->count);
    relay_confirm_crashes(relay);
    size_t count = reach_take_probes(&relay->reach, now);
    if (count > 0) {
        probe_path(relay, count < PATH_PROBES_MAX ? count : PATH_PROBES_MAX);
    }
    bool lost = reach_is_lost(&relay->reach);
    if (!lost) {
        probe_crashed(relay);
    }
    /* Those that are queued meanwhile are looked at in the next tick. */
    for (size_t left = candidates->count; left > 0; left--) {
        server_t *server = server_queue_take(candidates);
        probe_candidate(relay, server, lost, now);
        server_schedule_probe(server);
    }
}
