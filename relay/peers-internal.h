#ifndef CELERYSPOOL_PEERS_INTERNAL_H
#define CELERYSPOOL_PEERS_INTERNAL_H

/* The state and functions that the peers-*.c files share. */

#include "peer-discovery.h"
#include "peers.h"
#include "watch-duty.h"

#include <netinet/in.h>

/* Facts are sent directly to this many peers at most. The others learn what a
 * server's cache holds only from their own requests, and until then send
 * requests to servers that must prefill again what another one holds. Each
 * fact costs 40 bytes per peer. */
#define PEERS_DIRECT_MAX 64

struct peers {
    relay_t *relay;
    int fd;
    struct event *read_event;
    struct event *load_timer;
    size_t load_intervals; /* timer intervals since loads were announced */
    members_t *members;
    member_outbox_t member_messages;
    peer_datagram_t pending;            /* facts to send with the next tick */
    peer_datagram_t scratch;            /* the datagram being built or read */
    unsigned char secret[SECRET_BYTES]; /* all zero: the network is private */
    peer_discovery_t discovery;
    watch_avoided_t avoided_watchers;
    int64_t started_ms;
    int64_t next_members_tick_ms; /* when members_tick is next due */
    bool facts_requested;         /* known facts were requested from peers */
    size_t http_rotation; /* offset at which peers_next_http_addr starts */
    retry_hosts_t retry_hosts; /* live hosts that share the retry slack */
    speed_budget_t speed_budget;
    uint64_t bytes_sent;
};

/* Datagrams. */
int peers_parse_addr(const char *text, struct sockaddr_in *out);
uint64_t peers_host_id(const struct sockaddr_in *addr);
struct sockaddr_in peers_addr_from_host_id(uint64_t host);
void peers_send_bytes(peers_t *peers, const struct sockaddr_in *to,
                      const unsigned char *data, size_t len);
void peers_send(peers_t *peers, const char *addr,
                const peer_datagram_t *datagram);
void peers_send_members(peers_t *peers);
peer_fact_t peers_make_held_fact(const char *holder,
                                 const cached_part_t *part);
void peers_on_readable(evutil_socket_t fd, short what, void *arg);

/* Notifications. */
void peers_flush_facts(peers_t *peers);
void peers_notify_part(peers_t *peers, const char *holder,
                       const cached_part_t *part, bool held);
void peers_notify_loads(peers_t *peers, int64_t now);
void peers_confirm_quota_host(void *arg, const char *addr);
void peers_confirm_quota_hosts(peers_t *peers);
void peers_announce_quotas(peers_t *peers, int64_t now);
void peers_request_facts(peers_t *peers);

/* Signals of servers. */
void peers_update_limits(peers_t *peers, int64_t now);
void peers_announce_signals(peers_t *peers);
void peers_send_signals(peers_t *peers, const char *addr);
void peers_apply_signals(peers_t *peers, int64_t now);
size_t peers_receivers(const peers_t *peers);
void peers_send_to_some(peers_t *peers, const peer_datagram_t *datagram);
void peers_send_to_random(peers_t *peers, const peer_datagram_t *datagram,
                          size_t receivers);

/* Speeds of servers. */
void peers_announce_speeds(peers_t *peers, int64_t now);
void peers_send_speeds(peers_t *peers, const char *addr);
void peers_apply_speeds(peers_t *peers);

/* Origins of streams. */
void peers_send_origins(peers_t *peers, const char *addr);
void peers_apply_origins(peers_t *peers, uint64_t host, int64_t now);
void peers_apply_origin_records(peers_t *peers, int64_t now);
void peers_answer_origin_query(peers_t *peers, const struct sockaddr_in *from,
                               int64_t now);

/* Parts of prompts. */
void peers_announce_parts(peers_t *peers);
void peers_send_parts(peers_t *peers, const char *addr);
void peers_apply_parts(peers_t *peers, int64_t now);

#endif
