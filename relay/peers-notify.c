#include "peer-loads.h"
#include "peers-table.h"

#include <string.h>

/* Notifications to other daemons: parts that caches hold, requests at servers,
 * units spent of workspaces' limits. */

/* Others that it asks, against lost datagrams. */
#define ASK_PEERS 2

/* Sends a datagram to as many daemons as are notified directly. */
static void
send_direct(peers_t *peers, const peer_datagram_t *datagram)
{
    unsigned char data[PEER_DATAGRAM_MAX];
    member_t live[PEERS_DIRECT_MAX + 1];
    size_t len = peer_encode(datagram, peers->secret, data);
    size_t count = members_list(peers->members, live, PEERS_DIRECT_MAX + 1);
    for (size_t i = 0; i < count && len > 0; i++) {
        struct sockaddr_in to;
        if (live[i].health != MEMBER_DEAD &&
            strcmp(live[i].name, peers->relay->settings.name) != 0 &&
            peers_addr_of(live[i].peer, &to) == 0) {
            peers_send_bytes(peers, &to, data, len);
        }
    }
}

/* Sends the facts that have gathered. */
void
peers_flush_facts(peers_t *peers)
{
    if (peers->pending.fact_count > 0) {
        peers->pending.kind = PEER_FACTS;
        send_direct(peers, &peers->pending);
        peers->pending.fact_count = 0;
    }
}

static peer_fact_t *
fact_add(peers_t *peers)
{
    if (peers->pending.fact_count == PEER_FACTS_MAX) {
        peers_flush_facts(peers);
    }
    peer_fact_t *fact = &peers->pending.facts[peers->pending.fact_count++];
    memset(fact, 0, sizeof(*fact));
    return fact;
}

/* Notifies peers that a holder has a part or has it no longer. */
void
peers_notify_part(peers_t *peers, const char *holder,
                  const cached_part_t *part, bool held)
{
    peer_fact_t *fact = fact_add(peers);
    *fact = peers_held_fact(holder, part);
    fact->held = held;
}

static peer_fact_t *
load_add(peers_t *peers, const server_t *server)
{
    peer_fact_t *fact = fact_add(peers);
    fact->is_load = true;
    str_copy(fact->backend, sizeof(fact->backend), server->info.id);
    fact->load.running = server->own_running;
    fact->load.waiting_tokens = (int)server->own_unread;
    fact->load.filled = server->filled;
    fact->load.at_server = -1;
    return fact;
}

/* Notifies peers of a crowded server's reported load: each host gets too few
 * of its answers to know that others have taken its slots. */
void
peers_notify_crowded(peers_t *peers, const server_t *server)
{
    load_add(peers, server)->load.at_server =
        server->load_running + server->load_waiting;
}

/* ---- limits of workspaces ---- */

/* A daemon at an address may spend of the workspaces' limits. */
void
peers_note_spender(void *arg, const char *addr)
{
    peers_t *peers = arg;
    struct sockaddr_in at;
    if (peers_addr_of(addr, &at) == 0 &&
        strcmp(addr, peers->relay->settings.peer_addr) != 0) {
        quotas_host_known(&peers->relay->quotas, peers_host_of(&at),
                          time_mono_ms());
    }
}

/* All live members may spend of the workspaces' limits. */
void
peers_note_members(peers_t *peers)
{
    member_t members[QUOTA_HOSTS_MAX];
    size_t count = members_list(peers->members, members, QUOTA_HOSTS_MAX);
    for (size_t i = 0; i < count; i++) {
        if (members[i].health != MEMBER_DEAD) {
            peers_note_spender(peers, members[i].peer);
        }
    }
}

/* Announces what this host has spent to all that may spend. */
void
peers_announce_quotas(peers_t *peers, int64_t now)
{
    quotas_t *quotas = &peers->relay->quotas;
    unsigned char data[PEER_DATAGRAM_MAX];
    quotas_tick(quotas, now);
    if (!quotas_announce(quotas, &peers->taken, now)) {
        return;
    }
    size_t len = peer_encode(&peers->taken, peers->secret, data);
    for (size_t i = 0; i < QUOTA_HOSTS_MAX && len > 0; i++) {
        if (quotas->hosts[i].host != 0) {
            struct sockaddr_in to = peers_addr_of_host(quotas->hosts[i].host);
            peers_send_bytes(peers, &to, data, len);
        }
    }
}

/* ---- what others know ---- */

/* Requests the known facts from a few others, once they are found. */
void
peers_ask_all(peers_t *peers)
{
    member_t live[PEERS_DIRECT_MAX + 1];
    size_t asked = 0;
    size_t count = members_list(peers->members, live, PEERS_DIRECT_MAX + 1);
    memset(&peers->taken, 0, sizeof(peers->taken));
    peers->taken.kind = PEER_FACTS;
    for (size_t i = 0; i < count && asked < ASK_PEERS; i++) {
        if (live[i].health == MEMBER_ALIVE &&
            strcmp(live[i].name, peers->relay->settings.name) != 0) {
            peers_send(peers, live[i].peer, &peers->taken);
            asked++;
        }
    }
    peers->asked = asked > 0;
}

/* Announces this host's requests at servers: a server's load header does not
 * count the prompt tokens that are still to be read. */
void
peers_notify_loads(peers_t *peers, int64_t now)
{
    if (peer_loads_collect(peers->relay->servers, &peers->taken, now)) {
        send_direct(peers, &peers->taken);
    }
}

/* Notifies peers of a server's weights and of those that it loads (0 for
 * none), sooner than the platform's list, so that no request is sent there in
 * vain. */
void
peers_notify_weights(peers_t *peers, const server_t *server, int64_t loading)
{
    peer_fact_t *fact = load_add(peers, server);
    (void)snprintf(fact->load.version, sizeof(fact->load.version), "%lld",
                   (long long)server->info.weights);
    if (loading > 0) {
        (void)snprintf(fact->load.loading, sizeof(fact->load.loading), "%lld",
                       (long long)loading);
    }
    peers_flush_facts(peers);
}
