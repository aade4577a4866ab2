#include "streams.h"
#include "../relay/wire.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Checks at the end: all requests against what the backend servers
 * recorded. */

/* A relay rejects a removed key at the latest this long after the removal,
 * if it reaches the store or another relay that reaches the store.  The
 * check allows 10 s. */
#define KEY_REMOVAL_MS 2000
/* At least this share of the requests in the recovery phase must succeed. */
#define RECOVERY_SUCCESS_SHARE 0.95
/* A request that no server ran may end without an answer as soon as this: it
 * crossed the close of a kept connection. */
#define LOSS_SLACK_MS 300
/* A request that ends so close to its timeout has reached it. */
#define TIMEOUT_MARGIN_MS 150

static soak_request_t *
find_request(const json_t *by_id, const char *id)
{
    const json_t *value = json_object_get(by_id, id);
    return value != NULL
               ? (soak_request_t *)(uintptr_t)json_integer_value(value)
               : NULL;
}

static const char *
parse_field(char *line, const char *name, char *out, size_t size)
{
    char key[96];
    (void)snprintf(key, sizeof(key), " %s=", name);
    const char *value = strstr(line, key);
    out[0] = '\0';
    if (value != NULL) {
        value += strlen(key);
        size_t len = strcspn(value, " \n");
        len = len < size - 1 ? len : size - 1;
        memcpy(out, value, len);
        out[len] = '\0';
    }
    return out;
}

static void
note_run_server(const soak_t *soak, soak_request_t *request, char *line)
{
    char id[CS_NAME_MAX];
    (void)parse_field(line, "server", id, sizeof(id));
    for (size_t i = 0; i < soak->server_count; i++) {
        if (strcmp(soak->servers[i].id, id) == 0) {
            request->ran_servers |= (uint32_t)1 << i;
        }
    }
}

static void
check_run(callers_t *callers, json_t *by_id, char *line)
{
    soak_t *soak = callers->soak;
    char id[96];
    char workspace[64];
    char key[64];
    (void)parse_field(line, wire_header_name(HEADER_REQUEST_ID), id,
                      sizeof(id));
    (void)parse_field(line, wire_header_name(HEADER_WORKSPACE), workspace,
                      sizeof(workspace));
    (void)parse_field(line, wire_header_name(HEADER_ACCESS_KEY), key,
                      sizeof(key));
    soak_request_t *request = find_request(by_id, id);
    if (request == NULL) {
        soak_report_violation(soak, "servers run only requests of callers",
                              "%s", line);
        return;
    }
    request->runs++;
    note_run_server(soak, request, line);
    if (strcmp(key, "-") != 0 || strcmp(workspace, request->workspace) != 0) {
        soak_report_violation(soak, "servers receive the workspace and no key",
                              "%s", line);
    }
}

/* Checks that the fencing tokens of the orders to each server never decrease,
 * and that each token belongs to one lease holder. */
static void
check_order(soak_t *soak, json_t *fences, json_t *holders, char *line)
{
    char server[CS_NAME_MAX];
    char status[16];
    const char *text = strchr(line, '{');
    (void)parse_field(line, "server", server, sizeof(server));
    (void)parse_field(line, "status", status, sizeof(status));
    CLEAN_JSON json_t *order =
        text != NULL ? json_loads(text, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    int64_t fence = json_get_int(order, "fencing_token", 0);
    const char *holder = json_get_string(order, "holder");
    char number[32];
    (void)snprintf(number, sizeof(number), "%" PRId64, fence);
    if (holder == NULL || fence < json_get_int(fences, server, 0)) {
        soak_report_violation(soak, "fencing tokens never decrease", "%s",
                              line);
        return;
    }
    (void)json_object_set_new(fences, server, json_integer(fence));
    const char *known_holder = json_get_string(holders, number);
    if (known_holder != NULL && strcmp(known_holder, holder) != 0) {
        soak_report_violation(soak,
                              "a fencing token belongs to one lease holder",
                              "%s and %s: %s", known_holder, holder, number);
    }
    (void)json_object_set_new(holders, number, json_string(holder));
}

static void
read_record(callers_t *callers, json_t *by_id)
{
    CLEAN_JSON json_t *fences = json_object();
    CLEAN_JSON json_t *holders = json_object();
    char line[4096];
    FILE *file = fopen(callers->soak->record_path, "re");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "run ", 4) == 0) {
            check_run(callers, by_id, line);
        }
        else if (strncmp(line, "order ", 6) == 0) {
            check_order(callers->soak, fences, holders, line);
        }
    }
    if (file != NULL) {
        (void)fclose(file);
    }
}

/* Whether a request ended at its timeout, which may break off its answer. */
static bool
has_timed_out(const soak_request_t *request)
{
    return request->ended_ms - request->sent_ms >
           request_timeout_ms(request) - TIMEOUT_MARGIN_MS;
}

/* Whether a request that was sent whole ended without a complete answer before
 * its time was over. */
static bool
was_cut_off(const soak_request_t *request)
{
    int64_t elapsed_ms = request->ended_ms - request->sent_ms;
    if (request->ended_ms == 0 || request->end == EXCHANGE_COMPLETE ||
        request->end == EXCHANGE_UNSENT || has_timed_out(request)) {
        return false;
    }
    return request->runs > 0 || elapsed_ms > LOSS_SLACK_MS;
}

static void
check_request(const callers_t *callers, const soak_request_t *request)
{
    soak_t *soak = callers->soak;
    char id[REQUEST_ID_MAX];
    request_format_id(soak, request->number, id);
    bool reported_not_run =
        request->end == EXCHANGE_COMPLETE &&
        (request->status == 503 || request->status == 429 ||
         request->status == 408 || request->status == 421);
    if (request->runs > request_route(request)->runs_max) {
        soak_report_violation(
            soak, "no request runs more often than its route allows",
            "%s ran %d times", id, request->runs);
    }
    if (reported_not_run && request->runs > 0) {
        soak_report_violation(
            soak, "a request reported as not run has not run",
            "%s status %d, ran %d times", id, request->status, request->runs);
    }
    if (request->runs > 0 && strcmp(request->key, "old-key") == 0 &&
        soak->old_key_removed_ms != 0 && !request->disturbed &&
        request->sent_ms > soak->old_key_removed_ms + 10000) {
        soak_report_violation(soak, "a removed key is rejected", "%s", id);
    }
    /* Only a request that ran was cut off: one that arrived while its
     * connection was being closed was not forwarded. */
    if (request->relay_stopping && !request->disturbed && request->runs > 0 &&
        !has_timed_out(request) &&
        (request->end == EXCHANGE_NO_ANSWER ||
         request->end == EXCHANGE_BROKEN)) {
        soak_report_violation(soak, "a graceful shutdown cuts off no request",
                              "%s ended %d", id, (int)request->end);
    }
    if ((request->shown_servers & ~request->ran_servers) != 0) {
        soak_report_violation(soak, "events come from runs of their request",
                              "%s: servers %x, ran at %x", id,
                              request->shown_servers, request->ran_servers);
    }
    if (request->calm && was_cut_off(request)) {
        soak_report_violation(
            soak, "planned work cuts off no request",
            "%s at %s ended %d after %" PRId64 " ms, ran %d times", id,
            soak->relays[request->relay].process.name, (int)request->end,
            request->ended_ms - request->sent_ms, request->runs);
    }
}

/* Checks all requests against what the backend servers recorded. */
void
callers_check(callers_t *callers)
{
    soak_t *soak = callers->soak;
    CLEAN_JSON json_t *by_id = json_object();
    unsigned recovery_successes = 0;
    unsigned recovery_requests = 0;
    unsigned succeeded_total = 0;
    unsigned calm_requests = 0;
    soak_request_t *request;
    char id[REQUEST_ID_MAX];
    CK_STAILQ_FOREACH (request, &callers->requests, entry) {
        request_format_id(soak, request->number, id);
        (void)json_object_set_new(
            by_id, id, json_integer((json_int_t)(uintptr_t)request));
    }
    read_record(callers, by_id);
    CK_STAILQ_FOREACH (request, &callers->requests, entry) {
        check_request(callers, request);
        bool succeeded =
            request->end == EXCHANGE_COMPLETE && request->status == 200;
        succeeded_total += succeeded ? 1 : 0;
        calm_requests += request->calm ? 1 : 0;
        if (request->sent_ms > soak->faults_end_ms + 6000 &&
            strcmp(request->key, "old-key") != 0) {
            recovery_requests++;
            recovery_successes += succeeded ? 1 : 0;
        }
    }
    (void)printf("  %u requests beside planned work alone\n", calm_requests);
    if (soak->priorities) {
        (void)printf("  %" PRIu64 " requests of callers that returned\n",
                     callers->returned);
    }
    (void)printf("  %" PRIu64
                 " requests, %u succeeded; %u of %u in the "
                 "recovery phase\n",
                 callers->request_count, succeeded_total, recovery_successes,
                 recovery_requests);
    if (callers->streams != NULL) {
        streams_check(callers->streams);
    }
    if (recovery_requests < 20 ||
        recovery_successes < recovery_requests * RECOVERY_SUCCESS_SHARE) {
        soak_report_violation(soak, "requests succeed again after the faults",
                              "%u of %u succeeded", recovery_successes,
                              recovery_requests);
    }
}
