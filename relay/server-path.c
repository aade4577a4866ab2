#include "relay.h"

/* Passes the observations of requests and probes to reach.c and
 * server-crashes.c, and applies the resulting state changes. */

/* The path to the servers is back: faults that the lost path caused are reset.
 */
static void
forget_faults(relay_t *relay)
{
    server_t *server;
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        server_forget_faults(server);
    }
}

static void
apply_state(relay_t *relay, reach_state_t before)
{
    const reach_t *reach = &relay->reach;
    bool was_lost = before == REACH_KEPT || before == REACH_NONE;
    if (reach->state == before) {
        return;
    }
    if (was_lost && !reach_is_lost(reach)) {
        forget_faults(relay);
    }
    log_record(reach_is_lost(reach) || was_lost ? LOG_WARN : LOG_INFO,
               "servers", "reach",
               "state=%s before=%s listed=%zu failed=%zu probed=%zu",
               reach_state_name(reach->state), reach_state_name(before),
               reach->listed, reach->failed.count, reach->probed.count);
}

/* Records that data arrived from a server, over a connection that was made for
 * this call or over one that was open before. */
void
relay_note_answer(relay_t *relay, server_t *server, bool new_connection)
{
    reach_state_t before = relay->reach.state;
    int64_t now = time_mono_ms();
    server_note_answer(server, now);
    reach_note_answer(&relay->reach, new_connection, now);
    apply_state(relay, before);
}

/* Records that a server failed a request or a probe. */
void
relay_note_fault(relay_t *relay, const server_t *server, bool new_connection)
{
    reach_state_t before = relay->reach.state;
    reach_note_fault(&relay->reach, server->number, new_connection,
                     time_mono_ms());
    apply_state(relay, before);
}

/* Records that a server failed a probe over a new connection. */
void
relay_note_failed_probe(relay_t *relay, const server_t *server)
{
    reach_state_t before = relay->reach.state;
    reach_note_failed_probe(&relay->reach, server->number, time_mono_ms());
    apply_state(relay, before);
}

/* Logs the blocked parts. */
void
relay_log_blocked(const relay_t *relay, const char *source)
{
    const fatal_part_t *part;
    CK_LIST_FOREACH (part, &relay->fatal_parts.used, entry) {
        if (part->blocked) {
            log_record(LOG_WARN, "servers", "part-blocked",
                       "part=%016llx depth=%u crashes=%zu source=%s",
                       (unsigned long long)part->part, part->depth,
                       part->crash_count, source);
        }
    }
}

static void
apply_blocks(relay_t *relay, bool blocked)
{
    if (blocked) {
        relay_log_blocked(relay, "own");
        requests_drop_blocked(relay);
    }
}

/* Applies the result of a probe to the requests that were lost at a server. */
void
relay_apply_life(relay_t *relay, const server_t *server, server_life_t life)
{
    bool failed = life == SERVER_UNREACHED && server->probed_ms != 0;
    apply_blocks(relay,
                 server_crashes_apply(
                     &relay->server_crashes, server->number,
                     server_incarnation(server), life, &relay->fatal_parts,
                     failed ? server->probed_ms : time_mono_ms()));
}

/* Confirms the crashes of servers that do not answer, once others have
 * answered. */
void
relay_confirm_crashes(relay_t *relay)
{
    int64_t now = time_mono_ms();
    if (reach_is_lost(&relay->reach)) {
        if (!reach_may_be_open(&relay->reach, now)) {
            server_crashes_reset_unreached(&relay->server_crashes);
            return;
        }
        apply_blocks(relay, server_crashes_confirm_open(
                                &relay->server_crashes, &relay->reach,
                                &relay->fatal_parts, now));
    }
    else if (relay->reach.state == REACH_OK) {
        apply_blocks(relay, server_crashes_confirm(&relay->server_crashes,
                                                   &relay->fatal_parts, now));
    }
}

/* Whether the request of this id may be sent to a server as far as the path to
 * the servers is concerned. */
bool
relay_reaches(const relay_t *relay, const server_t *server, const char *id)
{
    switch (relay->reach.state) {
        case REACH_OK:
        case REACH_SUSPECT:
            return true;
        case REACH_KEPT:
            return exchanges_has_idle(relay->exchanges, server->info.addr, id);
        case REACH_NONE:
            break;
    }
    return false;
}
