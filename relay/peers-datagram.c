#include "peer-loads.h"
#include "peers-apply.h"
#include "peers-table.h"

#include <arpa/inet.h>
#include <string.h>

/* The datagrams between daemons: how they leave and what is done with those
 * that come. */

/* Parts of one server that are sent to a daemon that starts, at most. */
#define SNAPSHOT_PARTS_MAX 256

/* An address in text, as IPV4:PORT; 0 if it is one. */
int
peers_addr_of(const char *text, struct sockaddr_in *out)
{
    int len = (int)sizeof(*out);
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &len);
}

/* Sends bytes to an address. */
void
peers_send_bytes(peers_t *peers, const struct sockaddr_in *to,
                 const unsigned char *data, size_t len)
{
    (void)sendto(peers->fd, data, len, MSG_DONTWAIT,
                 (const struct sockaddr *)to, sizeof(*to));
    peers->bytes_sent += len;
}

/* Sends a datagram to an address. */
void
peers_send(peers_t *peers, const char *addr, const peer_datagram_t *datagram)
{
    unsigned char data[PEER_DATAGRAM_MAX];
    size_t len = peer_encode(datagram, peers->secret, data);
    struct sockaddr_in to;
    if (len > 0 && peers_addr_of(addr, &to) == 0) {
        peers_send_bytes(peers, &to, data, len);
    }
}

/* A daemon as one number. */
uint64_t
peers_host_of(const struct sockaddr_in *addr)
{
    return (uint64_t)addr->sin_addr.s_addr << 16 | addr->sin_port;
}

/* The address of a daemon that is named by a number. */
struct sockaddr_in
peers_addr_of_host(uint64_t host)
{
    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = (in_port_t)host,
                                .sin_addr = {(in_addr_t)(host >> 16)}};
}

/* Sends the pending messages of membership. */
void
peers_send_members(peers_t *peers)
{
    peer_datagram_t *datagram = &peers->taken;
    for (size_t i = 0; i < peers->out.count; i++) {
        datagram->kind = PEER_MEMBERS;
        datagram->members = peers->out.messages[i];
        peers_send(peers, peers->out.addrs[i], datagram);
    }
}

/* That a holder has a part. */
peer_fact_t
peers_held_fact(const char *holder, const cached_part_t *part)
{
    peer_fact_t fact = {.key = part->key,
                        .prefix_tokens = part->prompt_tokens,
                        .part_tokens = part->tokens,
                        .held = true};
    str_copy(fact.backend, sizeof(fact.backend), holder);
    return fact;
}

/* Sends one daemon the parts that a server or a kv store is believed to hold,
 * the most recently used one last; returns their number. */
static size_t
send_parts(peers_t *peers, const char *addr, const char *holder,
           const cached_parts_t *held)
{
    cached_part_t parts[SNAPSHOT_PARTS_MAX];
    size_t count = cached_parts_list(held, parts, SNAPSHOT_PARTS_MAX);
    peer_datagram_t *datagram = &peers->taken;
    memset(datagram, 0, sizeof(*datagram));
    datagram->kind = PEER_FACTS;
    for (size_t i = count; i > 0; i--) {
        peer_fact_t *fact = &datagram->facts[datagram->fact_count++];
        *fact = peers_held_fact(holder, &parts[i - 1]);
        if (datagram->fact_count == PEER_FACTS_MAX || i == 1) {
            peers_send(peers, addr, datagram);
            datagram->fact_count = 0;
        }
    }
    return count;
}

/* A daemon that has just started asks, by an empty list, for all that is
 * known: without it, it would have servers read again what they hold. */
static void
send_all(peers_t *peers, const struct sockaddr_in *to)
{
    relay_t *relay = peers->relay;
    char addr[CS_ADDR_MAX];
    char ip[INET_ADDRSTRLEN];
    (void)inet_ntop(AF_INET, &to->sin_addr, ip, sizeof(ip));
    (void)snprintf(addr, sizeof(addr), "%s:%u", ip, ntohs(to->sin_port));
    size_t count = 0;
    server_t *server;
    for (size_t i = 0; i < KV_STORES_MAX; i++) {
        const kv_store_t *store = &relay->stores.all[i];
        if (store->held != NULL) {
            count += send_parts(peers, addr, store->name, store->held);
        }
    }
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (!server->gone && server->info.engine) {
            count += send_parts(peers, addr, server->info.id, server->held);
        }
    }
    log_record(LOG_INFO, "peers", "told", "to=%s facts=%zu", addr, count);
}

/* An empty list of facts asks for all that is known. */
static void
apply_facts(peers_t *peers, const struct sockaddr_in *from)
{
    const peer_datagram_t *datagram = &peers->taken;
    uint64_t host = peers_host_of(from);
    if (datagram->fact_count == 0) {
        send_all(peers, from);
        return;
    }
    for (size_t i = 0; i < datagram->fact_count; i++) {
        peers_apply(peers->relay, host, &datagram->facts[i]);
    }
}

static void
apply_datagram(peers_t *peers, const struct sockaddr_in *from)
{
    relay_t *relay = peers->relay;
    const peer_datagram_t *datagram = &peers->taken;
    uint64_t host = peers_host_of(from);
    int64_t now = time_mono_ms();
    switch (datagram->kind) {
        case PEER_MEMBERS:
            members_receive(peers->members, &datagram->members, now,
                            &peers->out);
            peers_send_members(peers);
            return;
        case PEER_FACTS:
            apply_facts(peers, from);
            return;
        case PEER_USAGES:
            quotas_apply(&relay->quotas, host, datagram, now);
            return;
        case PEER_LOADS:
            peer_loads_apply(relay->servers, host, datagram, now);
            return;
    }
}

/* Reads the datagrams that have arrived. */
void
peers_on_readable(evutil_socket_t fd, short what, void *arg)
{
    peers_t *peers = arg;
    unsigned char data[PEER_DATAGRAM_MAX];
    struct sockaddr_in from = {0};
    socklen_t from_len = sizeof(from);
    ssize_t len;
    (void)what;
    while ((len = recvfrom(fd, data, sizeof(data), MSG_DONTWAIT,
                           (struct sockaddr *)&from, &from_len)) > 0) {
        if (peer_decode(&peers->taken, peers->secret, data, (size_t)len) !=
            0) {
            log_warn("peers", "A datagram cannot be read.");
            continue;
        }
        apply_datagram(peers, &from);
    }
}
