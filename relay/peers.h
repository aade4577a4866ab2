#ifndef CELERYSPOOL_PEERS_H
#define CELERYSPOOL_PEERS_H

/* The other daemons: their membership, and the facts that daemons exchange
 * about servers. */

#include "../kernel/peer-codec.h"
#include "relay.h"

void peers_notify_silence(peers_t *peers, const server_t *server);
void peers_notify_reported_load(peers_t *peers, const server_t *server);
void peers_notify_weights(peers_t *peers, const server_t *server,
                          int64_t loading);
void peers_set_limit_hosts(peers_t *peers, server_t *server);
size_t peers_duty_rank(const peers_t *peers, const char *duty);
bool peers_has_duty(const peers_t *peers, const char *duty);
size_t peers_count_sharing(peers_t *peers);
size_t peers_live_count(const peers_t *peers);
bool peers_are_known(const peers_t *peers, int64_t now);
size_t peers_recent_count(const peers_t *peers);
upstream_t peers_find_upstream(peers_t *peers, char addr[CS_ADDR_MAX]);
void peers_avoid_upstream(peers_t *peers, const char *addr, bool answered);
bool peers_choose_helper(peers_t *peers, const helpers_tried_t *tried,
                         const char *service, member_t *out);
void peers_announce_origin(peers_t *peers, const stream_origin_t *origin);
bool peers_send_to_recorder(peers_t *peers, const stream_origin_t *origin);
void peers_ask_origin(peers_t *peers, stream_query_t *query);
void peers_ask_origin_again(peers_t *peers, const stream_query_t *query);
bool peers_is_alive(peers_t *peers, const char *peer_addr);
size_t peers_list_processes(peers_t *peers, uint64_t *out, size_t max);
bool peers_next_http_addr(peers_t *peers, char addr[CS_ADDR_MAX]);

#endif
