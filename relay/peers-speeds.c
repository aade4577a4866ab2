#include "peers-internal.h"

/* Speeds of servers, passed on between daemons.  A host observes any one
 * server seldom, so what it learns is sent to a few others, which do the same
 * if it changed what they know. */

static void
add_speed(peer_datagram_t *datagram, const server_t *server,
          const speed_notice_t *notice)
{
    datagram->speeds[datagram->speed_count++] =
        (peer_speed_t){.server_hash = server->id_hash,
                       .incarnation = server_incarnation(server),
                       .ratio_milli = notice->ratio_milli,
                       .observations = notice->observations};
}

/* Adds the speeds that have changed, beginning after the server with a number,
 * so that all have their turn; returns the number of the last one. */
static uint16_t
add_changed_speeds(const peers_t *peers, peer_datagram_t *datagram,
                   uint16_t after)
{
    const servers_t *servers = peers->relay->servers;
    uint16_t last = after;
    for (size_t i = 1; i <= SERVER_NUMBERS_MAX; i++) {
        uint16_t number = (uint16_t)((after + i) % SERVER_NUMBERS_MAX);
        server_t *server = servers_find_by_number(servers, number);
        if (server == NULL || server->removed || !server->speed.unannounced ||
            !server_uses_learned_speed(server)) {
            continue;
        }
        if (datagram->speed_count == SPEED_NOTICES_MAX) {
            break;
        }
        const speed_notice_t notice = server_speed_take_notice(&server->speed);
        add_speed(datagram, server, &notice);
        last = number;
    }
    return last;
}

/* Notifies a few daemons of speeds that this one has learned of.  Those that
 * exceed the datagram are sent with the next one. */
void
peers_announce_speeds(peers_t *peers, int64_t now)
{
    peer_datagram_t *datagram = &peers->scratch;
    if (!speed_budget_allows(&peers->speed_budget, now)) {
        return;
    }
    datagram->kind = PEER_SPEEDS;
    datagram->speed_count = 0;
    peers->speed_cursor =
        add_changed_speeds(peers, datagram, peers->speed_cursor);
    if (datagram->speed_count > 0) {
        speed_budget_take(&peers->speed_budget, now);
        peers_send_to_random(peers, datagram, SPEED_RECEIVERS);
    }
}

/* Sends a daemon that has just started what is known. */
void
peers_send_speeds(peers_t *peers, const char *addr)
{
    peer_datagram_t *datagram = &peers->scratch;
    const server_t *server;
    datagram->kind = PEER_SPEEDS;
    datagram->speed_count = 0;
    CK_LIST_FOREACH (server, &peers->relay->servers->list, entry) {
        const speed_notice_t notice = server_speed_notice(&server->speed);
        if (server->removed || notice.observations == 0 ||
            !server_uses_learned_speed(server)) {
            continue;
        }
        add_speed(datagram, server, &notice);
        if (datagram->speed_count == PEER_SPEEDS_MAX) {
            peers_send(peers, addr, datagram);
            datagram->speed_count = 0;
        }
    }
    if (datagram->speed_count > 0) {
        peers_send(peers, addr, datagram);
    }
}

/* Applies the speeds of another daemon's datagram. */
void
peers_apply_speeds(peers_t *peers)
{
    for (size_t i = 0; i < peers->scratch.speed_count; i++) {
        const peer_speed_t *speed = &peers->scratch.speeds[i];
        server_t *server =
            servers_find_by_id_hash(peers->relay->servers, speed->server_hash);
        if (server == NULL ||
            speed->incarnation != server_incarnation(server)) {
            continue;
        }
        const speed_notice_t notice = {speed->ratio_milli,
                                       speed->observations};
        server_apply_speed(server, &notice);
    }
}
