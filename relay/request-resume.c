#include "config-former.h"
#include "origin-store.h"
#include "peers.h"
#include "request.h"

#include <string.h>

/* Streams go on at the software version that began them: inside their answer,
 * at other hosts, and when their callers take them up.  A caller names the
 * attempt that brought the first event; what is not known is never guessed. */

/* Other hosts are a few ms away; one that has just ended does not answer. */
#define ORIGIN_ANSWER_MS 300
/* The store is waited for so long, for the origin or the list of servers: it
 * answers in a few ms, and callers find other hosts. */
#define STORE_ANSWER_MS 1000
/* Retry-After if the hosts that may know the origin did not all answer, ms. */
#define RETRY_AFTER_UNKNOWN_MS 300

/* ---- streams that begin ---- */

/* Returns the identity of the stream whose first event an attempt brought. */
static stream_id_t
make_stream_id(const request_t *request, const header_t *attempt)
{
    const http_head_t *head = request->head;
    const header_t *key =
        http_head_find(head, wire_header_name(HEADER_ACCESS_KEY));
    const workspace_entry_t *workspace =
        request_find_workspace(request->config, head);
    const stream_name_t name = {
        .attempt = http_head_at(head, attempt->value),
        .attempt_len = attempt->value.len,
        .workspace = workspace != NULL ? workspace->name : NULL,
        .access_key = key != NULL ? http_head_at(head, key->value) : NULL,
        .access_key_len = key != NULL ? key->value.len : 0};
    return stream_id_make(&name);
}

/* Whether the caller has named the attempt of the stream that it takes up. */
bool
request_names_stream(const request_t *request)
{
    return request->resumes.attempt != 0;
}

/* Returns the identity of the stream that the request began or takes up. */
static stream_id_t
get_stream_id(const request_t *request)
{
    return request_names_stream(request)
               ? request->resumes
               : make_stream_id(
                     request,
                     http_head_find(request->head,
                                    wire_header_name(HEADER_REQUEST_ID)));
}

/* The first event of the stream is about to be passed on: from now on the
 * stream goes on at this version alone, wherever its caller takes it up.  The
 * host that forwarded a request records its origin itself. */
void
request_note_first_event(request_t *request)
{
    relay_t *relay = request->relay;
    int64_t now = time_mono_ms();
    request->software = request->current_software;
    request->origin_service = str_hash(request->service, 0);
    if (request->from_host || request->route->kind != ROUTE_STREAM ||
        !request->route->resumable) {
        return;
    }
    const stream_origin_t origin = {.stream = get_stream_id(request),
                                    .service = request->origin_service,
                                    .software = request->software,
                                    .expires_ms = request->origin_expires_ms};
    peers_announce_origin(
        relay->peers,
        stream_origins_put(&relay->stream_origins, &origin, now));
    request_record_origin(request);
}

/* Has the origin of the stream recorded in the store, once it is known which
 * process sent its first event.  Another host's server is not looked at. */
void
request_record_origin(const request_t *request)
{
    relay_t *relay = request->relay;
    if (request->proof.pending || request->from_host ||
        request->server == NULL || request->software == SOFTWARE_ANY) {
        return;
    }
    const stream_id_t stream = get_stream_id(request);
    stream_origin_t origin;
    if (stream_origins_find(&relay->stream_origins, &stream, time_mono_ms(),
                            &origin)) {
        origin_store_note(relay->origin_store, &origin);
    }
}

/* The software version that began the stream turns out to be another one.
 * Hosts that keep the older one then take the version for unknown. */
void
request_correct_origin(request_t *request, uint64_t software)
{
    relay_t *relay = request->relay;
    uint64_t older = request->software;
    request->software = software;
    if (request->from_host) {
        return;
    }
    const stream_id_t stream = get_stream_id(request);
    stream_origin_t origin;
    if (stream_origins_correct(&relay->stream_origins, &stream, older,
                               software, time_mono_ms(), &origin)) {
        peers_announce_origin(relay->peers, &origin);
    }
}

/* ---- streams that are taken up ---- */

static void
log_taken_up(const request_t *request, const char *source)
{
    log_record(LOG_INFO, "request", "taken-up",
               "id=%s stream=%016llx last_event=%s source=%s "
               "software=%016llx waited_ms=%lld",
               request->id, (unsigned long long)request->resumes.attempt,
               request->stream.last_id, source,
               (unsigned long long)request->software,
               (long long)(time_mono_ms() - request->received_ms));
}

/* Finds out which versions the services of the request's path had while
 * streams that are taken up now may have begun, and sets the only one if it
 * was one, otherwise SOFTWARE_UNKNOWN. */
static versions_verdict_t
judge_versions(const request_t *request, uint64_t *only)
{
    const relay_t *relay = request->relay;
    uint64_t services[ROUTE_SERVICES_MAX];
    int64_t now = time_mono_ms();
    int64_t wall = time_wall_ms();
    int64_t window_ms =
        config_former_timeout_ms(relay->config, now) + REQUEST_BEGAN_MARGIN_MS;
    size_t count = config_former_services(request->route, now, services);
    return software_seen_judge(&relay->software_seen, services, count,
                               wall - window_ms, wall, only);
}

static uint64_t
find_only_version(const request_t *request)
{
    uint64_t only;
    (void)judge_versions(request, &only);
    return only;
}

/* Logs what this host knows of the versions at which a stream of unknown
 * origin may have begun. */
static void
log_unknown(const request_t *request)
{
    const software_seen_t *seen = &request->relay->software_seen;
    int64_t wall = time_wall_ms();
    uint64_t only;
    const char *versions =
        versions_verdict_name(judge_versions(request, &only));
    log_record(LOG_INFO, "request", "origin-unknown",
               "id=%s versions=%s covered_ms=%lld covered_until_ms=%lld",
               request->id, versions,
               (long long)(seen->since_ms != 0 ? wall - seen->since_ms : 0),
               (long long)(seen->since_ms != 0 ? wall - seen->until_ms : 0));
}

/* Rejects the request, which has not run: the version of its stream is not
 * known. */
static void
reject_unknown(request_t *request, bool all_answered)
{
    request->relay->meter.resumes_unknown++;
    log_taken_up(request, "none");
    log_unknown(request);
    request_reject(request, "stream-unknown",
                   all_answered ? 0 : RETRY_AFTER_UNKNOWN_MS);
}

/* Whether a server of a service has a software version and takes new requests.
 */
static bool
has_version(const relay_t *relay, const char *service, uint64_t software)
{
    const server_t *server;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (server->info.software == software &&
            strcmp(server->info.service, service) == 0 && !server->removed &&
            !server->info.draining && !server->leaving &&
            !server->address_taken) {
            return true;
        }
    }
    return false;
}

/* Selects the service at which the stream goes on: the one where it began.  If
 * the route does not lead there any more, it is one that has the stream's
 * software version, if there is any: the one that was picked if it has. */
void
request_select_service(request_t *request)
{
    const route_t *route = request->route;
    for (unsigned i = 0; i < route->split_count; i++) {
        const char *service = route->split[i].service;
        if (str_hash(service, 0) == request->origin_service) {
            request_set_service(request, service);
            return;
        }
    }
    bool has =
        has_version(request->relay, request->service, request->software);
    for (unsigned i = 0; i < route->split_count && !has; i++) {
        const char *service = route->split[i].service;
        if (has_version(request->relay, service, request->software)) {
            request_set_service(request, service);
            return;
        }
    }
}

/* Applies a known origin; false if the request was rejected. */
static bool
apply_origin(request_t *request, const stream_origin_t *origin,
             const char *source)
{
    request->origin_pending = false;
    request->origin_confirming = false;
    if (origin->software == SOFTWARE_UNKNOWN) {
        reject_unknown(request, true);
        return false;
    }
    request->software = origin->software;
    request->origin_service = origin->service;
    request_select_service(request);
    request_renew_placement_deadline(request);
    log_taken_up(request, source);
    return true;
}

/* No host knows the stream: it began at the only version that its services had
 * lately, if that is certain.  False if the request was rejected. */
static bool
apply_only_version(request_t *request, bool all_answered)
{
    uint64_t only = find_only_version(request);
    if (only == SOFTWARE_UNKNOWN) {
        request->origin_pending = false;
        reject_unknown(request, all_answered);
        return false;
    }
    const stream_origin_t origin = {.service = SERVICE_UNKNOWN,
                                    .software = only};
    return apply_origin(request, &origin, "only");
}

/* Whether this host knows all servers that had an entry when the request came:
 * the stream may have begun at one that was added while this host was cut off
 * or stood still. */
static bool
knows_servers(const request_t *request)
{
    return watch_known_ms(request->relay->servers_watch) >=
           request->received_ms;
}

/* Whether this host does not know which versions there were, but will once it
 * has read the store's record of them. */
static bool
awaits_record(const request_t *request)
{
    uint64_t only;
    return rollout_awaits_record(request->relay->rollout) &&
           judge_versions(request, &only) == VERSIONS_NOT_COVERED;
}

/* Has the store asked for what the request waits for. */
static void
ask_store(const request_t *request)
{
    watch_confirm(request->relay->servers_watch);
    if (awaits_record(request)) {
        rollout_request_record(request->relay->rollout);
    }
}

/* Applies the only version of the service once the store has confirmed which
 * servers there are and which versions there were, unless several are known
 * anyway.  Returns whether the request may be placed now. */
static bool
resolve_by_only_version(request_t *request, bool all_answered)
{
    relay_t *relay = request->relay;
    bool knows = knows_servers(request);
    if (knows) {
        relay_note_software(relay);
    }
    if (!awaits_record(request) &&
        (knows || find_only_version(request) == SOFTWARE_UNKNOWN)) {
        return apply_only_version(request, all_answered);
    }
    request->origin_pending = true;
    request->origin_peers_done = true;
    request->origin_confirming = true;
    ask_store(request);
    return false;
}

/* Goes on with a request that waits for the list of servers or the record of
 * software versions. */
static void
tick_confirmation(request_t *request, int64_t now)
{
    if (knows_servers(request) && !awaits_record(request)) {
        request->origin_confirming = false;
        if (resolve_by_only_version(request, false)) {
            (void)request_place(request);
        }
        return;
    }
    if (now - request->origin_asked_ms >= STORE_ANSWER_MS) {
        request->origin_pending = false;
        reject_unknown(request, false);
        return;
    }
    ask_store(request);
}

/* No other host knows the stream: the store may, or else its service had one
 * version alone.  Returns whether the request may be placed now. */
static bool
resolve_without_peers(request_t *request, bool all_answered)
{
    stream_origin_t origin;
    switch (origin_store_find(request->relay->origin_store, &request->resumes,
                              &origin)) {
        case ORIGIN_STORE_FOUND:
            return apply_origin(request, &origin, "store");
        case ORIGIN_STORE_READING:
            if (awaits_record(request) ||
                find_only_version(request) != SOFTWARE_UNKNOWN) {
                /* What comes next, if the store has no origin either. */
                ask_store(request);
            }
            request->origin_pending = true;
            request->origin_peers_done = true;
            return false;
        case ORIGIN_STORE_NONE:
            break;
    }
    return resolve_by_only_version(request, all_answered);
}

/* Asks other hosts for the origin; false if there are none or too many
 * questions were asked lately. */
static bool
ask_for_origin(request_t *request)
{
    relay_t *relay = request->relay;
    int64_t now = time_mono_ms();
    if (!stream_origins_take_query(&relay->stream_origins, now)) {
        return false;
    }
    relay->meter.resumes_asked++;
    request->origin_query.stream = request->resumes;
    request->origin_asked_ms = now;
    peers_ask_origin(relay->peers, &request->origin_query);
    request->origin_pending = request->origin_query.count > 0;
    return request->origin_pending;
}

/* Asks other hosts once they are known.  Returns whether the request may be
 * placed now. */
static bool
resolve_by_peers(request_t *request)
{
    request->origin_awaits_peers =
        !peers_are_known(request->relay->peers, time_mono_ms());
    if (request->origin_awaits_peers) {
        request->origin_pending = true;
        return false;
    }
    return !ask_for_origin(request) && resolve_without_peers(request, false);
}

/* Whether all other hosts that may know the origin have said that they do not.
 */
static bool
is_unknown_to_peers(const request_t *request)
{
    const stream_query_t *query = &request->origin_query;
    return query->count > 0 ? stream_query_is_answered(query)
                            : peers_live_count(request->relay->peers) == 1;
}

/* Whether the caller takes up a stream of which it has events. */
static bool
is_taken_up(const request_t *request, const header_t *resumes)
{
    return request->route->kind == ROUTE_STREAM &&
           (request->stream.last_id[0] != '\0' || resumes != NULL);
}

/* Finds out at which version a stream that the caller takes up has to go on.
 * Returns whether the request may be placed now; otherwise it waits for the
 * answers of other hosts, or was rejected. */
bool
request_resolve_origin(request_t *request)
{
    relay_t *relay = request->relay;
    const header_t *resumes =
        http_head_find(request->head, wire_header_name(HEADER_RESUMES));
    if (request->software != SOFTWARE_ANY || !is_taken_up(request, resumes)) {
        return true;
    }
    relay->meter.resumes++;
    request->origin_asked_ms = time_mono_ms();
    if (resumes == NULL) {
        return resolve_by_only_version(request, true);
    }
    stream_origin_t origin;
    request->resumes = make_stream_id(request, resumes);
    if (stream_origins_find(&relay->stream_origins, &request->resumes,
                            time_mono_ms(), &origin)) {
        return apply_origin(request, &origin, "own");
    }
    return resolve_by_peers(request);
}

/* Asks again, or gives up asking. */
void
request_tick_origin(request_t *request, int64_t now)
{
    int64_t waited_ms = now - request->origin_asked_ms;
    if (request->origin_confirming) {
        tick_confirmation(request, now);
        return;
    }
    if (request->origin_awaits_peers) {
        if (resolve_by_peers(request)) {
            (void)request_place(request);
        }
        return;
    }
    if (request->origin_peers_done) {
        if (waited_ms >= STORE_ANSWER_MS) {
            tick_confirmation(request, now);
        }
        return;
    }
    if (waited_ms < ORIGIN_ANSWER_MS) {
        peers_ask_origin_again(request->relay->peers, &request->origin_query);
        return;
    }
    if (resolve_without_peers(request, false)) {
        (void)request_place(request);
    }
}

/* Goes on with the requests that wait for the origins in the store, which were
 * read, or could not be. */
void
requests_apply_records(relay_t *relay, bool read)
{
    CLEAN_WALK request_walk_t walk;
    request_t *request;
    request_walk_begin(&walk, &relay->walks, &relay->requests);
    while ((request = request_walk_next(&walk)) != NULL) {
        if (request->origin_pending && request->origin_peers_done &&
            !request->origin_confirming &&
            resolve_without_peers(request,
                                  read && is_unknown_to_peers(request))) {
            (void)request_place(request);
        }
    }
}

/* Goes on with the requests that wait for the origin of a stream, which has
 * been recorded. */
void
requests_apply_origin(relay_t *relay, const stream_id_t *stream)
{
    CLEAN_WALK request_walk_t walk;
    request_t *request;
    request_walk_begin(&walk, &relay->walks, &relay->requests);
    while ((request = request_walk_next(&walk)) != NULL) {
        stream_origin_t origin;
        if (request->origin_pending &&
            request->resumes.attempt == stream->attempt &&
            stream_origins_find(&relay->stream_origins, &request->resumes,
                                time_mono_ms(), &origin) &&
            apply_origin(request, &origin, "peers")) {
            (void)request_place(request);
        }
    }
}

/* A host that was asked this question does not know the origin that requests
 * wait for. */
void
requests_note_origin_unknown(relay_t *relay, const stream_id_t *stream,
                             uint64_t number, uint64_t host)
{
    CLEAN_WALK request_walk_t walk;
    request_t *request;
    request_walk_begin(&walk, &relay->walks, &relay->requests);
    while ((request = request_walk_next(&walk)) != NULL) {
        if (!request->origin_pending ||
            !stream_id_equal(&request->resumes, stream)) {
            continue;
        }
        stream_query_note_unknown(&request->origin_query, number, host);
        if (!request->origin_peers_done && !request->origin_awaits_peers &&
            stream_query_is_answered(&request->origin_query) &&
            resolve_without_peers(request, true)) {
            (void)request_place(request);
        }
    }
}

/* ---- servers ---- */

/* Whether the request may go on at a server's software version. */
bool
request_fits_version(const request_t *request, const server_t *server)
{
    return request->software == SOFTWARE_ANY ||
           request->software == server->info.software;
}

/* Whether the server's software version is in doubt, and the request is a
 * stream that must not go on at another version. */
bool
request_avoids_doubt(const request_t *request, const server_t *server)
{
    return server->software_in_doubt && request->route->kind == ROUTE_STREAM &&
           request->route->resumable;
}

/* Whether the request is a stream that begins, and the store's record does not
 * list the server's software version yet. */
bool
request_avoids_unrecorded(const request_t *request, const server_t *server)
{
    const software_record_t *record = &request->relay->software_record;
    return record->avoided_count > 0 && request->software == SOFTWARE_ANY &&
           request->route->kind == ROUTE_STREAM && request->route->resumable &&
           software_record_avoids(record, str_hash(server->info.service, 0),
                                  server->info.software);
}

/* The engine at which a stream is to go on has shown which start it is, or has
 * not answered. */
static void
on_software_checked(void *arg, server_t *server)
{
    request_t *request = arg;
    bool usable = server != NULL && request_can_use(request, server);
    request->software_check = NULL;
    log_record(LOG_INFO, "request", "software-checked",
               "id=%s server=%s usable=%d waited_ms=%lld", request->id,
               server != NULL ? server->info.id : "-", usable,
               (long long)(time_mono_ms() - request->check_started_ms));
    if (usable) {
        request->connection_checked = true;
        request_send(request, server);
        return;
    }
    if (!request_place(request) && request->sends > 0) {
        request_wait_for_server(request);
    }
}

/* Sends a stream that goes on to an engine once that has shown that it has not
 * started again since its entry, or else to another one.  The entry of one
 * that starts again with another version is late by up to some hundred ms.
 * Such streams are few, and a report takes a few ms and no slot. */
void
request_check_software(request_t *request, const server_t *server)
{
    request->check_started_ms = time_mono_ms();
    request->software_check = relay_check_software(
        request->relay, server, request->id, on_software_checked, request);
}

/* Whether no server is left that has the version of the stream and takes new
 * requests. */
static bool
is_version_gone(const request_t *request)
{
    return request->software != SOFTWARE_ANY &&
           request->relay->servers_listed &&
           !has_version(request->relay, request->service, request->software);
}

/* Applies the version that an entry has named by now for the process that
 * began the stream; false if none has. */
static bool
adopt_named_version(request_t *request)
{
    uint64_t named =
        servers_name_software(request->relay->servers, request->software);
    if (named == request->software) {
        return false;
    }
    request_correct_origin(request, named);
    request_select_service(request);
    return true;
}

/* Ends the request if its stream can go on nowhere. */
bool
request_end_if_version_gone(request_t *request)
{
    if (!is_version_gone(request) || adopt_named_version(request)) {
        return false;
    }
    if (request->possible_runs > 0 || request->phase == REQUEST_STREAMING) {
        request_fail(request, 502, "version-gone");
    }
    else {
        request_reject(request, "version-gone", 0);
    }
    return true;
}
