#include "peers.h"
#include "request.h"

/* Finds out which process of a server began a stream, see origin-proof.h.  The
 * server is asked for a report only if it has not been asked since the
 * connection was made, so that one report serves all open connections; again
 * if it has started since its entry, until a report lists the request. */

/* Reports requested for one attempt. */
#define REPORTS_MAX 5
/* What a report says may be some hundred ms old. */
#define REPORT_AGE_US 250000

static uint64_t
find_software(const request_t *request, const server_t *server,
              origin_verdict_t verdict)
{
    switch (verdict) {
        case ORIGIN_REPORTED:
            return server_software_of_start(server,
                                            request->proof.listed_start_ms);
        case ORIGIN_UNKNOWN:
            return SOFTWARE_UNKNOWN;
        case ORIGIN_OPEN:
        case ORIGIN_ENTRY:
            break;
    }
    return request->current_software;
}

/* Applies the verdict on the process that began the stream.  While it is
 * unknown, a later report may still list the request. */
static void
apply_verdict(request_t *request, const server_t *server,
              origin_verdict_t verdict)
{
    uint64_t software = find_software(request, server, verdict);
    request->proof.pending =
        verdict == ORIGIN_UNKNOWN && request->exchange != NULL;
    if (software == request->current_software) {
        request_record_origin(request);
        return;
    }
    log_record(LOG_INFO, "request", "origin-corrected",
               "id=%s server=%s origin=%s software=%016llx entry=%016llx",
               request->id, server->info.id, origin_verdict_name(verdict),
               (unsigned long long)software,
               (unsigned long long)request->current_software);
    request->current_software = software;
    if (request->software != SOFTWARE_ANY) {
        request_correct_origin(request, software);
        request_record_origin(request);
    }
}

/* Returns what is known of the process behind a connection to a server. */
static origin_evidence_t
collect_evidence(const request_t *request, const server_t *server, bool ended)
{
    return (origin_evidence_t){
        .entry_start_ms = request->proof.entry_start_ms,
        .opened_us = request->proof.opened_us,
        .report = server->report,
        .listed_start_ms = request->proof.listed_start_ms,
        .ended = ended};
}

/* Whether a report is worth its price: there is none since the connection was
 * made, or it may have been taken before the request ran. */
static bool
wants_report(const request_t *request, const origin_evidence_t *evidence)
{
    int64_t age_us = time_mono_us() - evidence->report.sent_us;
    return request->proof.reports < REPORTS_MAX &&
           (!origin_proof_covers(evidence) || age_us >= REPORT_AGE_US);
}

static void
update_proof(request_t *request, bool may_ask)
{
    server_t *server = request->server;
    const origin_evidence_t evidence =
        collect_evidence(request, server, false);
    origin_verdict_t verdict = origin_proof_decide(&evidence);
    if (verdict != ORIGIN_OPEN) {
        apply_verdict(request, server, verdict);
    }
    if (request->proof.pending && may_ask &&
        wants_report(request, &evidence)) {
        request->proof.reports++;
        relay_request_report(request->relay, server);
    }
}

/* A response begins: if it may begin a stream that can go on elsewhere, looks
 * for evidence of the process that sends it. */
void
request_begin_proof(request_t *request)
{
    if (request->answer != ANSWER_STREAM || !request->route->resumable ||
        request->software != SOFTWARE_ANY || !request->server->info.engine) {
        return;
    }
    request->proof.pending = true;
    request->proof.opened_us = exchange_opened_us(request->exchange);
    update_proof(request, true);
}

/* More data was read: a report may be due.  A server that did not answer is
 * asked again by the next stream only. */
void
request_continue_proof(request_t *request)
{
    if (request->proof.pending) {
        update_proof(request, !request->server->report_failed);
    }
}

static bool
report_lists(const server_report_t *report, uint64_t id_hash)
{
    for (size_t i = 0; i < report->run_count; i++) {
        if (report->runs[i] == id_hash) {
            return true;
        }
    }
    return false;
}

/* Whether a report says who runs the current attempt.  One that was requested
 * before may list an earlier attempt with the same id. */
static bool
report_proves(const request_t *request, const server_t *server,
              const server_report_t *report)
{
    const origin_evidence_t evidence =
        collect_evidence(request, server, false);
    return server->report.started_ms == report->started_ms &&
           origin_proof_covers(&evidence) &&
           report_lists(report, str_hash(request->id, 0));
}

/* A server reports which requests it runs: the process that began their
 * streams is known. */
void
requests_note_report(relay_t *relay, const server_t *server,
                     const server_report_t *report)
{
    CLEAN_WALK request_walk_t walk;
    request_t *request;
    request_walk_begin(&walk, &relay->walks, &relay->requests);
    while ((request = request_walk_next(&walk)) != NULL) {
        if (request->server == server && request->proof.pending &&
            report_proves(request, server, report)) {
            request->proof.listed_start_ms = report->started_ms;
            update_proof(request, false);
        }
    }
}

static void
on_report(void *arg, server_t *server)
{
    request_t *request = arg;
    request->software_check = NULL;
    if (server != NULL) {
        const origin_evidence_t evidence =
            collect_evidence(request, server, true);
        apply_verdict(request, server, origin_proof_decide(&evidence));
    }
    request->proof.pending = false;
    log_record(LOG_INFO, "request", "origin-checked",
               "id=%s server=%s software=%016llx waited_ms=%lld", request->id,
               server != NULL ? server->info.id : "-",
               (unsigned long long)request->software,
               (long long)(time_mono_ms() - request->check_started_ms));
    if (!request_place(request) && request->sends > 0) {
        request_wait_for_server(request);
    }
}

/* The stream broke off.  If the process that began it is not known yet, asks
 * the server for a report.  Returns whether the request waits for that. */
bool
request_end_proof(request_t *request)
{
    const proof_state_t *proof = &request->proof;
    if (!proof->pending || request->software == SOFTWARE_ANY) {
        return false;
    }
    const server_t *server =
        servers_find_by_id_hash(request->relay->servers, proof->server);
    if (server == NULL) {
        request->proof.pending = false;
        return false;
    }
    const origin_evidence_t evidence = collect_evidence(request, server, true);
    if (origin_proof_covers(&evidence)) {
        apply_verdict(request, server, origin_proof_decide(&evidence));
        return false;
    }
    request->check_started_ms = time_mono_ms();
    request->software_check =
        relay_check_software(request->relay, server, NULL, on_report, request);
    return true;
}
