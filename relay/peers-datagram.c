#include "peer-loads.h"
#include "peers-apply.h"
#include "peers-internal.h"

#include <arpa/inet.h>
#include <string.h>

/* Sends, receives and dispatches the datagrams between daemons. */

/* At most this many parts per server or kv store are sent to a daemon that
 * starts. */
#define SNAPSHOT_PARTS_MAX 256

/* Parses an address as IPV4:PORT; 0 if it is valid. */
int
peers_parse_addr(const char *text, struct sockaddr_in *out)
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
    if (len > 0 && peers_parse_addr(addr, &to) == 0) {
        peers_send_bytes(peers, &to, data, len);
    }
}

/* Returns the number that identifies a daemon: its address and port. */
uint64_t
peers_host_id(const struct sockaddr_in *addr)
{
    return (uint64_t)addr->sin_addr.s_addr << 16 | addr->sin_port;
}

/* Returns the address of the daemon that a number identifies. */
struct sockaddr_in
peers_addr_from_host_id(uint64_t host)
{
    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = (in_port_t)host,
                                .sin_addr = {(in_addr_t)(host >> 16)}};
}

/* Sends the pending messages of membership. */
void
peers_send_members(peers_t *peers)
{
    peer_datagram_t *datagram = &peers->scratch;
    for (size_t i = 0; i < peers->member_messages.count; i++) {
        datagram->kind = PEER_MEMBERS;
        datagram->members = peers->member_messages.messages[i];
        peers_send(peers, peers->member_messages.addrs[i], datagram);
    }
}

/* Builds the fact that a holder, a server or a kv store, has a part. */
peer_fact_t
peers_make_held_fact(const char *holder, const cached_part_t *part)
{
    peer_fact_t fact = {.key = part->key,
                        .prefix_tokens = part->prompt_tokens,
                        .part_tokens = part->tokens,
                        .held = true};
    str_copy(fact.backend, sizeof(fact.backend), holder);
    return fact;
}

/* Sends a daemon the parts that a server or a kv store is assumed to hold,
 * the most recently used one last; returns their count. */
static size_t
send_parts(peers_t *peers, const char *addr, const char *holder,
           const cached_parts_t *held)
{
    cached_part_t parts[SNAPSHOT_PARTS_MAX];
    size_t count = cached_parts_list(held, parts, SNAPSHOT_PARTS_MAX);
    peer_datagram_t *datagram = &peers->scratch;
    memset(datagram, 0, sizeof(*datagram));
    datagram->kind = PEER_FACTS;
    for (size_t i = count; i > 0; i--) {
        peer_fact_t *fact = &datagram->facts[datagram->fact_count++];
        *fact = peers_make_held_fact(holder, &parts[i - 1]);
        if (datagram->fact_count == PEER_FACTS_MAX || i == 1) {
            peers_send(peers, addr, datagram);
            datagram->fact_count = 0;
        }
    }
    return count;
}

/* Sends the known parts to a daemon that has just started and requests them.
 * Without them it would send requests to servers that must prefill again what
 * others hold. */
static void
send_snapshot(peers_t *peers, const struct sockaddr_in *to)
{
    relay_t *relay = peers->relay;
    char addr[CS_ADDR_MAX];
    char ip[INET_ADDRSTRLEN];
    (void)inet_ntop(AF_INET, &to->sin_addr, ip, sizeof(ip));
    (void)snprintf(addr, sizeof(addr), "%s:%u", ip, ntohs(to->sin_port));
    size_t count = 0;
    server_t *server;
    for (size_t i = 0; i < KV_STORES_MAX; i++) {
        const kv_store_t *store = &relay->kv_stores.all[i];
        if (store->cached_parts != NULL) {
            count += send_parts(peers, addr, store->name, store->cached_parts);
        }
    }
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (!server->removed && server->info.engine) {
            count +=
                send_parts(peers, addr, server->info.id, server->cached_parts);
        }
    }
    peers_send_signals(peers, addr);
    peers_send_speeds(peers, addr);
    peers_send_parts(peers, addr);
    peers_send_origins(peers, addr);
    log_record(LOG_INFO, "peers", "told", "to=%s facts=%zu", addr, count);
}

/* Applies facts; an empty list requests the known parts. */
static void
apply_facts(peers_t *peers, const struct sockaddr_in *from)
{
    const peer_datagram_t *datagram = &peers->scratch;
    uint64_t host = peers_host_id(from);
    if (datagram->fact_count == 0) {
        send_snapshot(peers, from);
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
    const peer_datagram_t *datagram = &peers->scratch;
    uint64_t host = peers_host_id(from);
    int64_t now = time_mono_ms();
    switch (datagram->kind) {
        case PEER_MEMBERS:
            members_receive(peers->members, &datagram->members, now,
                            &peers->member_messages);
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
        case PEER_SIGNALS:
            peers_apply_signals(peers, now);
            return;
        case PEER_SPEEDS:
            peers_apply_speeds(peers);
            return;
        case PEER_PARTS:
            peers_apply_parts(peers, now);
            return;
        case PEER_ORIGINS:
            peers_apply_origins(peers, host, now);
            return;
        case PEER_ORIGIN_RECORDS:
            peers_apply_origin_records(peers, now);
            return;
        case PEER_ORIGIN_QUERY:
            peers_answer_origin_query(peers, from, now);
            return;
    }
}

/* Reads and applies all datagrams that have arrived. */
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
        if (peer_decode(&peers->scratch, peers->secret, data, (size_t)len) !=
            0) {
            log_warn("peers", "Dropped a datagram that cannot be decoded.");
            continue;
        }
        apply_datagram(peers, &from);
    }
}
