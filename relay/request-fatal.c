#include "peers.h"
#include "request.h"

#include <string.h>

/* Rejects requests whose prompts have a blocked part, and passes the
 * observations of requests to fatal-parts.c. */

/* An answer that has been streaming for this long has not crashed its server.
 */
#define HARMLESS_AFTER_MS 500

/* Lists the shared parts of the request's prompt; the last one is its own. */
void
request_list_parts(request_t *request)
{
    const prompt_t *prompt = &request->prompt;
    fatal_request_t *fatal = &request->fatal;
    for (unsigned i = 0;
         i + 1 < prompt->count && fatal->count < FATAL_REQUEST_PARTS_MAX;
         i++) {
        fatal->parts[fatal->count++] = prompt->parts[i];
    }
}

/* Lists the shared parts of the request's prompt and records the request. */
void
request_note_parts(request_t *request)
{
    request_list_parts(request);
    if (request->fatal.count > 0) {
        fatal_parts_note_request(&request->relay->fatal_parts,
                                 &request->fatal);
    }
}

/* The request got a complete answer. */
void
request_note_answered(const request_t *request)
{
    fatal_parts_note_answer(&request->relay->fatal_parts, &request->fatal,
                            request->answer_started_ms, time_mono_ms());
}

/* The connection to the request's server broke before the answer was complete.
 */
void
request_note_lost(const request_t *request)
{
    relay_t *relay = request->relay;
    server_t *server = request->server;
    int64_t now = time_mono_ms();
    bool started = request->answer_started_ms >= request->sent_ms;
    if (!server->info.engine || !request->server_was_sound) {
        return;
    }
    if (started && now - request->answer_started_ms >= HARMLESS_AFTER_MS) {
        request_note_answered(request);
        return;
    }
    server_crashes_add(&relay->server_crashes, server->number,
                       server_incarnation(server), &request->fatal,
                       request->sent_ms, now);
}

/* A part has been blocked: fails the requests with it whose answers have not
 * begun, so that their servers do not run them. */
void
requests_drop_blocked(relay_t *relay)
{
    CLEAN_WALK request_walk_t walk;
    request_t *request;
    request_walk_begin(&walk, &relay->walks, &relay->requests);
    while ((request = request_walk_next(&walk)) != NULL) {
        const fatal_part_t *part =
            fatal_parts_find_blocked(&relay->fatal_parts, &request->fatal);
        if (part == NULL || request->server == NULL || request->tries_part ||
            request->phase != REQUEST_SENT) {
            continue;
        }
        log_record(LOG_WARN, "request", "part-blocked",
                   "id=%s server=%s part=%016llx", request->id,
                   request->server->info.id, (unsigned long long)part->part);
        request->possible_runs++;
        request_fail(request, 502, "fatal-part");
    }
}

/* Whether a request can be sent as the trial of a blocked part.  One host, the
 * owner of a duty, sends it for all. */
bool
request_may_try_part(const request_t *request, const fatal_part_t *part,
                     int64_t now)
{
    char duty[32];
    (void)snprintf(duty, sizeof(duty), "part-%016llx",
                   (unsigned long long)part->part);
    return request->possible_runs == 0 && fatal_part_trial_is_due(part, now) &&
           peers_has_duty(request->relay->peers, duty);
}

/* Whether this request is sent as the trial of a blocked part. */
static bool
takes_trial(request_t *request, fatal_part_t *part, int64_t now)
{
    if (request->tries_part) {
        return request->possible_runs == 0;
    }
    if (!request_may_try_part(request, part, now)) {
        return false;
    }
    fatal_part_take_trial(part, now);
    request->tries_part = true;
    log_record(LOG_INFO, "request", "part-trial", "id=%s part=%016llx",
               request->id, (unsigned long long)part->part);
    return true;
}

/* Rejects or fails a request with a blocked part before it is sent; false if
 * it may be sent. */
bool
request_reject_if_fatal(request_t *request)
{
    int64_t now = time_mono_ms();
    fatal_part_t *part = fatal_parts_find_blocked(&request->relay->fatal_parts,
                                                  &request->fatal);
    if (part == NULL || takes_trial(request, part, now)) {
        return false;
    }
    if (request_own_runs(request) > 0) {
        request_fail(request, 502, "fatal-part");
        return true;
    }
    request_reject(request, "fatal-part",
                   fatal_part_retry_after_ms(part, now));
    return true;
}
