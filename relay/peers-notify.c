#include "peer-loads.h"
#include "peers-internal.h"

#include <string.h>

/* Notifications to other daemons: parts that caches hold, requests at servers,
 * usage of workspaces' limits. */

/* Facts are requested from this many peers, since a datagram may be lost. */
#define FACT_REQUESTS_MAX 2

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
            peers_parse_addr(live[i].peer_addr, &to) == 0) {
            peers_send_bytes(peers, &to, data, len);
        }
    }
}

/* Sends the pending facts. */
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
add_fact(peers_t *peers)
{
    if (peers->pending.fact_count == PEER_FACTS_MAX) {
        peers_flush_facts(peers);
    }
    peer_fact_t *fact = &peers->pending.facts[peers->pending.fact_count++];
    memset(fact, 0, sizeof(*fact));
    return fact;
}

/* Adds a pending fact: a holder, a server or a kv store, has a part or no
 * longer has it. */
void
peers_notify_part(peers_t *peers, const char *holder,
                  const cached_part_t *part, bool held)
{
    peer_fact_t *fact = add_fact(peers);
    *fact = peers_make_held_fact(holder, part);
    fact->held = held;
}

static peer_fact_t *
add_load_fact(peers_t *peers, const server_t *server)
{
    peer_fact_t *fact = add_fact(peers);
    fact->is_load = true;
    str_copy(fact->backend, sizeof(fact->backend), server->info.id);
    fact->load.running = server->own_running;
    fact->load.waiting_tokens = (int)server->own_prefill_tokens;
    fact->load.unshared_tokens = server->unshared_tokens;
    fact->load.total_requests = -1;
    return fact;
}

/* Adds a pending fact: the load that a busy server reported.  Each host gets
 * too few of the server's answers to know that other hosts use its slots. */
void
peers_notify_reported_load(peers_t *peers, const server_t *server)
{
    add_load_fact(peers, server)->load.total_requests =
        server->reported_running + server->reported_waiting;
}

/* Adds a pending fact: the server does not answer this host.  Otherwise each
 * host would lose a request to it before it knows. */
void
peers_notify_silence(peers_t *peers, const server_t *server)
{
    add_load_fact(peers, server)->load.total_requests = LOAD_SILENT;
}

/* ---- limits of workspaces ---- */

/* Confirms that the daemon at an address may use the workspaces' limits. */
void
peers_confirm_quota_host(void *arg, const char *addr)
{
    peers_t *peers = arg;
    struct sockaddr_in sockaddr;
    if (peers_parse_addr(addr, &sockaddr) == 0 &&
        strcmp(addr, peers->relay->settings.peer_addr) != 0) {
        quotas_confirm_host(&peers->relay->quotas, peers_host_id(&sockaddr),
                            time_mono_ms());
    }
}

/* Confirms that all members that are not dead may use the workspaces' limits.
 */
void
peers_confirm_quota_hosts(peers_t *peers)
{
    member_t members[QUOTA_HOSTS_MAX];
    size_t count = members_list(peers->members, members, QUOTA_HOSTS_MAX);
    for (size_t i = 0; i < count; i++) {
        if (members[i].health != MEMBER_DEAD) {
            peers_confirm_quota_host(peers, members[i].peer_addr);
        }
    }
}

/* Announces this host's usage of the workspaces' limits to all hosts that may
 * use them. */
void
peers_announce_quotas(peers_t *peers, int64_t now)
{
    quotas_t *quotas = &peers->relay->quotas;
    unsigned char data[PEER_DATAGRAM_MAX];
    quotas_tick(quotas, now);
    if (!quotas_announce(quotas, &peers->scratch, now)) {
        return;
    }
    size_t len = peer_encode(&peers->scratch, peers->secret, data);
    for (size_t i = 0; i < QUOTA_HOSTS_MAX && len > 0; i++) {
        if (quotas->hosts[i].id != 0) {
            struct sockaddr_in to =
                peers_addr_from_host_id(quotas->hosts[i].id);
            peers_send_bytes(peers, &to, data, len);
        }
    }
}

/* ---- facts and loads ---- */

/* Requests the known facts from a few live peers, if there are any. */
void
peers_request_facts(peers_t *peers)
{
    member_t live[PEERS_DIRECT_MAX + 1];
    size_t requested = 0;
    size_t count = members_list(peers->members, live, PEERS_DIRECT_MAX + 1);
    memset(&peers->scratch, 0, sizeof(peers->scratch));
    peers->scratch.kind = PEER_FACTS;
    for (size_t i = 0; i < count && requested < FACT_REQUESTS_MAX; i++) {
        if (live[i].health == MEMBER_ALIVE &&
            strcmp(live[i].name, peers->relay->settings.name) != 0) {
            peers_send(peers, live[i].peer_addr, &peers->scratch);
            requested++;
        }
    }
    peers->facts_requested = requested > 0;
}

/* Announces this host's requests at servers: a server's load header does not
 * count the prompt tokens that are still to be prefilled. */
void
peers_notify_loads(peers_t *peers, int64_t now)
{
    if (peer_loads_collect(peers->relay->servers, &peers->scratch, now)) {
        send_direct(peers, &peers->scratch);
    }
}

/* Notifies peers of a server's weights and of those that it is loading (0 for
 * none).  Peers learn this sooner than from the platform's list, and do not
 * send the server requests that it would reject. */
void
peers_notify_weights(peers_t *peers, const server_t *server, int64_t loading)
{
    peer_fact_t *fact = add_load_fact(peers, server);
    (void)snprintf(fact->load.version, sizeof(fact->load.version), "%lld",
                   (long long)server->info.weights);
    if (loading > 0) {
        (void)snprintf(fact->load.loading, sizeof(fact->load.loading), "%lld",
                       (long long)loading);
    }
    peers_flush_facts(peers);
}
