#include "peer-loads.h"

/* Many hosts may send small prompts to the same servers.  Each host has little
 * load on any one server, but together they fill it, so unannounced load can
 * add up to most of a server's queue.  The steps are therefore small. */

/* Change that is announced, in tokens sent for prefill or tokens not prefilled
 * yet: a few ms of a server's time. */
#define PREFILL_STEP_TOKENS 256
/* Unshared tokens added to a server's cache that are announced: a small part
 * of the smallest cache of an engine. */
#define UNSHARED_STEP_TOKENS 4000
/* Interval at which an unchanged load is repeated: shorter than the time after
 * which peers discard it. */
#define REPEAT_MS 400
/* Share of a server's slots that must be taken before the number of requests
 * there is announced whenever it changes: below, there is room for a request
 * of any class. */
#define ANNOUNCED_SLOTS_SHARE 0.25

/* Whether the number of requests at the server has to be announced.  Admission
 * by priority keeps slots free, so that it has to know how many are taken;
 * while most are free it would not decide otherwise. */
static bool
must_announce_running(const server_t *server, int64_t now)
{
    bool changed = server->own_running != server->announced_running;
    bool repeat =
        server->own_running > 0 && now - server->announced_ms >= REPEAT_MS;
    if (now < server->loading_until_ms && changed) {
        return true;
    }
    return server->by_priority && (changed || repeat) &&
           server_count_in_flight(server, now) >=
               server->info.slots * ANNOUNCED_SLOTS_SHARE;
}

static bool
needs_announcement(const server_t *server, int64_t now)
{
    double change =
        server->own_prefill_tokens - server->announced_prefill_tokens;
    uint32_t unshared =
        server->unshared_tokens - server->announced_unshared_tokens;
    bool sent = server->sent_tokens - server->announced_sent_tokens >=
                PREFILL_STEP_TOKENS;
    bool prefill_done = server->own_prefill_tokens <= 0 &&
                        server->announced_prefill_tokens > 0;
    bool repeat = server->own_prefill_tokens > 0 &&
                  now - server->announced_ms >= REPEAT_MS;
    return change >= PREFILL_STEP_TOKENS || change <= -PREFILL_STEP_TOKENS ||
           prefill_done || sent || repeat ||
           unshared >= UNSHARED_STEP_TOKENS ||
           must_announce_running(server, now);
}

/* Whether time alone or a change of the server's state may call for another
 * announcement.  Otherwise this host's load there has to change first. */
static bool
stays_queued(const server_t *server)
{
    return server->own_prefill_tokens > 0 ||
           server->announced_prefill_tokens > 0 || server->own_running > 0 ||
           server->own_running != server->announced_running;
}

static void
add_load(peer_datagram_t *out, server_t *server, int64_t now_ms)
{
    server->announced_prefill_tokens = server->own_prefill_tokens;
    server->announced_running = server->own_running;
    server->announced_unshared_tokens = server->unshared_tokens;
    server->announced_ms = now_ms;
    server->announced_sent_tokens = server->sent_tokens;
    out->loads[out->load_count++] =
        (peer_load_t){.server_hash = server->id_hash,
                      .prefill_tokens = (uint32_t)server->own_prefill_tokens,
                      .running = (uint32_t)server->own_running,
                      .unshared_tokens = server->unshared_tokens,
                      .sent_tokens = server->sent_tokens};
}

/* Loads that exceed the datagram are sent with the next one. */
bool
peer_loads_collect(servers_t *servers, peer_datagram_t *out, int64_t now_ms)
{
    server_queue_t *changes = &servers->load_changes;
    out->kind = PEER_LOADS;
    out->load_count = 0;
    for (size_t left = changes->count;
         left > 0 && out->load_count < PEER_LOADS_MAX; left--) {
        server_t *server = server_queue_take(changes);
        if (server->removed || !server->info.engine) {
            continue;
        }
        if (needs_announcement(server, now_ms)) {
            add_load(out, server, now_ms);
        }
        if (stays_queued(server)) {
            server_queue_add(changes, &server->load_change);
        }
    }
    return out->load_count > 0;
}

/* Applies the loads of another daemon, identified by its address. */
void
peer_loads_apply(servers_t *servers, uint64_t host,
                 const peer_datagram_t *datagram, int64_t now_ms)
{
    for (size_t i = 0; i < datagram->load_count; i++) {
        const peer_load_t *load = &datagram->loads[i];
        server_t *server = servers_find_by_id_hash(servers, load->server_hash);
        if (server == NULL) {
            continue;
        }
        const server_peer_load_t report = {
            .host_id = host,
            .received_ms = now_ms,
            .prefill_tokens = load->prefill_tokens,
            .running = (int)load->running,
            .unshared_tokens = load->unshared_tokens,
            .sent_tokens = load->sent_tokens};
        server_apply_peer_load(server, &report);
    }
}
