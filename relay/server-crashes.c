#include "server-crashes.h"

#include <stdlib.h>

/* A crash that is not confirmed by then is discarded. */
#define CONFIRM_TIMEOUT_MS 15000

void
server_crashes_init(server_crashes_t *crashes)
{
    CK_LIST_INIT(&crashes->list);
    crashes->count = 0;
}

static void
remove_request(server_crashes_t *crashes, lost_request_t *request)
{
    CK_LIST_REMOVE(request, entry);
    crashes->count--;
    free(request);
}

/* Records a request that was lost at a server. */
void
server_crashes_add(server_crashes_t *crashes, uint16_t server,
                   uint32_t server_id, const fatal_request_t *parts,
                   int64_t sent_ms, int64_t now_ms)
{
    if (parts->count == 0 || crashes->count == LOST_REQUESTS_MAX) {
        return;
    }
    lost_request_t *request = mem_zalloc(sizeof(*request));
    request->server = server;
    request->server_id = server_id;
    request->parts = *parts;
    request->sent_ms = sent_ms;
    request->lost_ms = now_ms;
    CK_LIST_INSERT_HEAD(&crashes->list, request, entry);
    crashes->count++;
}

/* Whether the server has to be probed because requests were lost there. */
bool
server_crashes_has(const server_crashes_t *crashes, uint16_t server)
{
    const lost_request_t *request;
    CK_LIST_FOREACH (request, &crashes->list, entry) {
        if (request->server == server && !request->unreached) {
            return true;
        }
    }
    return false;
}

/* Records the crash as evidence against the parts of a request; returns
 * whether a part was blocked. */
static bool
record_crash(server_crashes_t *crashes, lost_request_t *request,
             fatal_parts_t *parts, int64_t now_ms)
{
    bool blocked =
        fatal_parts_note_crash(parts, &request->parts, request->server_id,
                               request->sent_ms, request->lost_ms, now_ms);
    remove_request(crashes, request);
    return blocked;
}

/* Applies the result of a probe of a server, with its current incarnation; of
 * one that failed, now_ms is when it was sent.  Returns whether a part was
 * blocked. */
bool
server_crashes_apply(server_crashes_t *crashes, uint16_t server,
                     uint32_t server_id, server_life_t life,
                     fatal_parts_t *parts, int64_t now_ms)
{
    bool blocked = false;
    lost_request_t *request;
    lost_request_t *next;
    CK_LIST_FOREACH_SAFE (request, &crashes->list, entry, next) {
        if (request->server != server) {
            continue;
        }
        switch (life) {
            case SERVER_LIVES:
                if (request->server_id != server_id) {
                    blocked |= record_crash(crashes, request, parts, now_ms);
                    break;
                }
                remove_request(crashes, request);
                break;
            case SERVER_RESTARTED:
                blocked |= record_crash(crashes, request, parts, now_ms);
                break;
            case SERVER_UNREACHED:
                request->unreached = true;
                request->unreached_ms = now_ms;
                break;
        }
    }
    return blocked;
}

/* Confirms the crashes of unreached servers while this host reaches others;
 * returns whether a part was blocked. */
bool
server_crashes_confirm(server_crashes_t *crashes, fatal_parts_t *parts,
                       int64_t now_ms)
{
    bool blocked = false;
    lost_request_t *request;
    lost_request_t *next;
    CK_LIST_FOREACH_SAFE (request, &crashes->list, entry, next) {
        if (request->unreached) {
            blocked |= record_crash(crashes, request, parts, now_ms);
        }
        else if (now_ms - request->lost_ms >= CONFIRM_TIMEOUT_MS) {
            remove_request(crashes, request);
        }
    }
    return blocked;
}

/* Confirms the crashes of servers that failed a probe while others answered,
 * though so few of them that the path counts as lost; returns whether a part
 * was blocked.  Other failed probes are discarded once an answer has come. */
bool
server_crashes_confirm_open(server_crashes_t *crashes, const reach_t *reach,
                            fatal_parts_t *parts, int64_t now_ms)
{
    bool blocked = false;
    lost_request_t *request;
    lost_request_t *next;
    CK_LIST_FOREACH_SAFE (request, &crashes->list, entry, next) {
        if (!request->unreached) {
            continue;
        }
        if (reach_was_open(reach, request->unreached_ms)) {
            blocked |= record_crash(crashes, request, parts, now_ms);
        }
        else if (request->unreached_ms < reach->answered_since_ms) {
            request->unreached = false;
        }
    }
    return blocked;
}

/* Discards failed probes, because this host has lost its path to all servers.
 * The servers are probed again once the path is back. */
void
server_crashes_reset_unreached(server_crashes_t *crashes)
{
    lost_request_t *request;
    CK_LIST_FOREACH (request, &crashes->list, entry) {
        request->unreached = false;
    }
}
