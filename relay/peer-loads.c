#include "peer-loads.h"

/* The load that this answers: many hosts place small prompts at the same
 * servers.  Each has little at any one of them, and all of them together fill
 * it, so what is not announced adds up to most of a server's queue. */

/* Unread tokens that go without an announcement: a few ms of a server's time.
 */
#define STEP_TOKENS 256
/* Tokens brought into a server's cache that go without one: a small part of
 * the least room that an engine has. */
#define FILLED_STEP_TOKENS 4000
/* What has not changed is repeated, ms, before it is taken for outdated. */
#define REPEAT_MS 400

static bool
has_news(const server_t *server, int64_t now)
{
    double change = server->own_unread - server->announced_unread;
    uint32_t filled = server->filled - server->announced_filled;
    bool sent = server->sent - server->announced_sent >= STEP_TOKENS;
    bool emptied = server->own_unread <= 0 && server->announced_unread > 0;
    bool repeat =
        server->own_unread > 0 && now - server->announced_ms >= REPEAT_MS;
    return change >= STEP_TOKENS || change <= -STEP_TOKENS || emptied ||
           sent || repeat || filled >= FILLED_STEP_TOKENS ||
           (now < server->loading_ms &&
            server->own_running != server->announced_running);
}

/* Loads that find no room leave with the next datagram. */
bool
peer_loads_collect(servers_t *servers, peer_datagram_t *out, int64_t now_ms)
{
    server_t *server;
    out->kind = PEER_LOADS;
    out->load_count = 0;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (out->load_count == PEER_LOADS_MAX) {
            break;
        }
        if (server->gone || !server->info.engine ||
            !has_news(server, now_ms)) {
            continue;
        }
        server->announced_unread = server->own_unread;
        server->announced_running = server->own_running;
        server->announced_filled = server->filled;
        server->announced_ms = now_ms;
        server->announced_sent = server->sent;
        out->loads[out->load_count++] =
            (peer_load_t){.server_hash = server->key,
                          .prefill_tokens = (uint32_t)server->own_unread,
                          .running = (uint32_t)server->own_running,
                          .unshared_tokens = server->filled,
                          .sent_tokens = server->sent};
    }
    return out->load_count > 0;
}

/* Applies the loads of another daemon, named by its address. */
void
peer_loads_apply(servers_t *servers, uint64_t host,
                 const peer_datagram_t *datagram, int64_t now_ms)
{
    for (size_t i = 0; i < datagram->load_count; i++) {
        const peer_load_t *load = &datagram->loads[i];
        server_t *server = servers_keyed(servers, load->server_hash);
        if (server == NULL) {
            continue;
        }
        const other_load_t report = {.host = host,
                                     .received_ms = now_ms,
                                     .unread = load->prefill_tokens,
                                     .running = (int)load->running,
                                     .filled = load->unshared_tokens,
                                     .sent = load->sent_tokens};
        server_peer_load(server, &report);
    }
}
