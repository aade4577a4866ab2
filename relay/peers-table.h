#ifndef CELERYSPOOL_PEERS_TABLE_H
#define CELERYSPOOL_PEERS_TABLE_H

/* What the parts of the talk between daemons share: the table behind
 * peers_t. */

#include "peer-discovery.h"
#include "peers.h"
#include "watch-duty.h"

#include <netinet/in.h>

/* Facts go straight to this many peers at most; the rest learn by their own
 * sends, and have servers read again what these hold.  Each fact costs 40
 * bytes a peer. */
#define PEERS_DIRECT_MAX 64

struct peers {
    relay_t *relay;
    int fd;
    struct event *readable;
    struct event *loads;
    size_t load_steps; /* since loads were last announced */
    members_t *members;
    member_outbox_t out;
    peer_datagram_t pending; /* facts that leave with the next tick */
    peer_datagram_t taken;
    unsigned char secret[SECRET_BYTES]; /* none: the network is private */
    peer_discovery_t look;
    watch_avoided_t avoided;
    int64_t next_beat_ms;
    bool asked;          /* others for what they know */
    size_t turn;         /* of the daemon that is asked next */
    retry_hosts_t hosts; /* that share the retries */
    uint64_t bytes_sent;
};

/* Datagrams. */
int peers_addr_of(const char *text, struct sockaddr_in *out);
uint64_t peers_host_of(const struct sockaddr_in *addr);
struct sockaddr_in peers_addr_of_host(uint64_t host);
void peers_send_bytes(peers_t *peers, const struct sockaddr_in *to,
                      const unsigned char *data, size_t len);
void peers_send(peers_t *peers, const char *addr,
                const peer_datagram_t *datagram);
void peers_send_members(peers_t *peers);
peer_fact_t peers_held_fact(const char *holder, const cached_part_t *part);
void peers_on_readable(evutil_socket_t fd, short what, void *arg);

/* Notifications. */
void peers_flush_facts(peers_t *peers);
void peers_notify_part(peers_t *peers, const char *holder,
                       const cached_part_t *part, bool held);
void peers_notify_loads(peers_t *peers, int64_t now);
void peers_note_spender(void *arg, const char *addr);
void peers_note_members(peers_t *peers);
void peers_announce_quotas(peers_t *peers, int64_t now);
void peers_ask_all(peers_t *peers);

#endif
