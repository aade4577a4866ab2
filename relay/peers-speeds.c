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

/* Notifies a few daemons of speeds that this one has learned of.  Those that
 * exceed the datagram are sent with the next one. */
void
peers_announce_speeds(peers_t *peers, int64_t now)
{
    peer_datagram_t *datagram = &peers->scratch;
    server_t *server;
    if (!speed_budget_allows(&peers->speed_budget, now)) {
        return;
    }
    datagram->kind = PEER_SPEEDS;
    datagram->speed_count = 0;
    while (datagram->speed_count < SPEED_NOTICES_MAX &&
           (server = servers_take_speed(peers->relay->servers)) != NULL) {
        const speed_notice_t notice = server_speed_take_notice(&server->speed);
        add_speed(datagram, server, &notice);
    }
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
