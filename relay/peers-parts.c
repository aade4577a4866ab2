#include "peers-internal.h"

/* Observations of parts of prompts, exchanged between daemons in the same way
 * as the signals of servers. */

static void
add_notices(peer_datagram_t *datagram, const fatal_notice_t *notices,
            size_t count)
{
    datagram->kind = PEER_PARTS;
    datagram->part_count = count;
    for (size_t i = 0; i < count; i++) {
        datagram->parts[i] = (peer_part_t){.part = notices[i].part,
                                           .depth = notices[i].depth,
                                           .fact = notices[i].fact,
                                           .server = notices[i].server,
                                           .age_ms = notices[i].age_ms};
    }
}

/* Announces new observations of parts to other daemons. */
void
peers_announce_parts(peers_t *peers)
{
    fatal_notice_t notices[PEER_PARTS_MAX];
    size_t count = fatal_parts_take_notices(
        &peers->relay->fatal_parts, notices,
        fatal_notices_max(peers_receivers(peers)), time_mono_ms());
    if (count > 0) {
        add_notices(&peers->scratch, notices, count);
        peers_send_to_some(peers, &peers->scratch);
    }
}

/* Sends a daemon that has just started the blocked parts. */
void
peers_send_parts(peers_t *peers, const char *addr)
{
    fatal_notice_t notices[PEER_PARTS_MAX];
    size_t count = fatal_parts_list_blocked(
        &peers->relay->fatal_parts, notices, PEER_PARTS_MAX, time_mono_ms());
    if (count > 0) {
        add_notices(&peers->scratch, notices, count);
        peers_send(peers, addr, &peers->scratch);
    }
}

/* Applies the parts of another daemon's datagram. */
void
peers_apply_parts(peers_t *peers, int64_t now)
{
    relay_t *relay = peers->relay;
    const peer_datagram_t *datagram = &peers->scratch;
    bool blocked = false;
    for (size_t i = 0; i < datagram->part_count; i++) {
        const peer_part_t *part = &datagram->parts[i];
        const fatal_notice_t notice = {.part = part->part,
                                       .depth = part->depth,
                                       .fact = (fatal_fact_t)part->fact,
                                       .server = part->server,
                                       .age_ms = part->age_ms};
        blocked |= fatal_parts_apply(&relay->fatal_parts, &notice, now);
    }
    if (blocked) {
        relay_log_blocked(relay, "peer");
        requests_drop_blocked(relay);
    }
}
