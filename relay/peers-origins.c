#include "origin-store.h"
#include "peers-internal.h"

#include <string.h>

/* Origins of streams, exchanged between daemons: each is sent to a few others,
 * chosen by rendezvous hashing of the stream, before the first event leaves,
 * and the host at which a caller takes the stream up asks these. */

/* Most origins sent to a daemon that starts. */
#define SNAPSHOT_ORIGINS_MAX 512
/* The hosts that rank highest for a stream are also asked if the host itself
 * is one of them. */
#define OWNERS_MAX (STREAM_ORIGIN_ASKED_MAX + 1)

/* Lists the other daemons that rank highest for a stream; returns their
 * number. */
static size_t
list_owners(peers_t *peers, const stream_id_t *stream, size_t max,
            member_t out[OWNERS_MAX])
{
    char duty[32];
    member_t owners[OWNERS_MAX];
    size_t kept = 0;
    (void)snprintf(duty, sizeof(duty), "stream-%016llx",
                   (unsigned long long)stream->attempt);
    size_t count =
        members_list_duty_owners(peers->members, duty, owners, max + 1);
    for (size_t i = 0; i < count && kept < max; i++) {
        if (strcmp(owners[i].name, peers->relay->settings.name) != 0) {
            out[kept++] = owners[i];
        }
    }
    return kept;
}

static void
add_origin(peer_datagram_t *datagram, const stream_origin_t *origin,
           int64_t now)
{
    datagram->origins[datagram->origin_count++] =
        (peer_origin_t){.attempt = origin->stream.attempt,
                        .caller = stream_id_caller(&origin->stream),
                        .service = origin->service,
                        .software = origin->software,
                        .lifetime_ms = (uint32_t)(origin->expires_ms - now)};
}

static stream_id_t
get_id(const peer_origin_t *entry)
{
    return stream_id_join(entry->attempt, entry->caller);
}

static stream_origin_t
get_origin(const peer_origin_t *entry, int64_t now)
{
    return (stream_origin_t){.stream = get_id(entry),
                             .service = entry->service,
                             .software = entry->software,
                             .expires_ms = now + entry->lifetime_ms};
}

/* Sends the origin of a stream to the hosts that keep it. */
void
peers_announce_origin(peers_t *peers, const stream_origin_t *origin)
{
    member_t owners[OWNERS_MAX];
    peer_datagram_t *datagram = &peers->scratch;
    int64_t now = time_mono_ms();
    if (origin->expires_ms <= now) {
        return;
    }
    datagram->kind = PEER_ORIGINS;
    datagram->origin_count = 0;
    add_origin(datagram, origin, now);
    size_t count =
        list_owners(peers, &origin->stream, STREAM_ORIGIN_COPIES, owners);
    for (size_t i = 0; i < count; i++) {
        peers_send(peers, owners[i].peer_addr, datagram);
    }
}

/* Finds the host that records the origins of this one; false if this one does
 * so itself. */
static bool
find_recorder(peers_t *peers, member_t *out)
{
    member_t owners[ORIGIN_RECORDERS_MAX];
    const char *self = peers->relay->settings.name;
    size_t wanted = origin_recorder_count(peers_live_count(peers));
    size_t count = wanted == 0
                       ? 0
                       : members_list_duty_owners(
                             peers->members, "origin-records", owners, wanted);
    const member_t *best = NULL;
    uint64_t key = str_hash(self, 0);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(owners[i].name, self) == 0) {
            return false;
        }
        if (best == NULL || place_rendezvous_weight(key, owners[i].name) >
                                place_rendezvous_weight(key, best->name)) {
            best = &owners[i];
        }
    }
    if (best == NULL) {
        return false;
    }
    *out = *best;
    return true;
}

/* Sends the origin of a stream to the host that records it; false if this one
 * is to do so itself. */
bool
peers_send_to_recorder(peers_t *peers, const stream_origin_t *origin)
{
    member_t recorder;
    peer_datagram_t *datagram = &peers->scratch;
    if (!find_recorder(peers, &recorder)) {
        return false;
    }
    datagram->kind = PEER_ORIGIN_RECORDS;
    datagram->origin_count = 0;
    add_origin(datagram, origin, time_mono_ms());
    peers_send(peers, recorder.peer_addr, datagram);
    return true;
}

/* Records the origins that another host has sent for that. */
void
peers_apply_origin_records(peers_t *peers, int64_t now)
{
    const peer_datagram_t *datagram = &peers->scratch;
    for (size_t i = 0; i < datagram->origin_count; i++) {
        const stream_origin_t origin = get_origin(&datagram->origins[i], now);
        origin_store_add(peers->relay->origin_store, &origin);
    }
}

static void
send_query(peers_t *peers, const stream_query_t *query)
{
    peer_datagram_t *datagram = &peers->scratch;
    unsigned char data[PEER_DATAGRAM_MAX];
    datagram->kind = PEER_ORIGIN_QUERY;
    datagram->origin_count = 1;
    datagram->origins[0] =
        (peer_origin_t){.attempt = query->stream.attempt,
                        .caller = stream_id_caller(&query->stream),
                        .software = query->number};
    size_t len = peer_encode(datagram, peers->secret, data);
    for (size_t i = 0; i < query->count; i++) {
        if (!query->answered[i]) {
            struct sockaddr_in to = peers_addr_from_host_id(query->hosts[i]);
            peers_send_bytes(peers, &to, data, len);
        }
    }
}

/* Asks other hosts for the origin of a stream, and records which. */
void
peers_ask_origin(peers_t *peers, stream_query_t *query)
{
    member_t owners[OWNERS_MAX];
    size_t count =
        list_owners(peers, &query->stream, STREAM_ORIGIN_ASKED_MAX, owners);
    query->number = rng_next(&peers->relay->rng);
    query->count = 0;
    for (size_t i = 0; i < count; i++) {
        struct sockaddr_in to;
        if (peers_parse_addr(owners[i].peer_addr, &to) == 0) {
            query->answered[query->count] = false;
            query->hosts[query->count++] = peers_host_id(&to);
        }
    }
    send_query(peers, query);
}

/* Asks those hosts again that have not answered: datagrams are lost. */
void
peers_ask_origin_again(peers_t *peers, const stream_query_t *query)
{
    send_query(peers, query);
}

/* Answers another daemon's question with what this one knows, or returns its
 * number. */
void
peers_answer_origin_query(peers_t *peers, const struct sockaddr_in *from,
                          int64_t now)
{
    peer_datagram_t *datagram = &peers->scratch;
    unsigned char data[PEER_DATAGRAM_MAX];
    datagram->kind = PEER_ORIGINS;
    for (size_t i = 0; i < datagram->origin_count; i++) {
        peer_origin_t *entry = &datagram->origins[i];
        const stream_id_t stream = get_id(entry);
        stream_origin_t origin;
        entry->lifetime_ms = 0;
        if (stream_origins_find(&peers->relay->stream_origins, &stream, now,
                                &origin)) {
            entry->service = origin.service;
            entry->software = origin.software;
            entry->lifetime_ms = (uint32_t)(origin.expires_ms - now);
        }
    }
    size_t len = peer_encode(datagram, peers->secret, data);
    peers_send_bytes(peers, from, data, len);
}

/* Applies origins that another daemon sent, and its answers to questions. */
void
peers_apply_origins(peers_t *peers, uint64_t host, int64_t now)
{
    relay_t *relay = peers->relay;
    const peer_datagram_t *datagram = &peers->scratch;
    size_t count = datagram->origin_count;
    peer_origin_t entries[PEER_ORIGINS_MAX];
    /* Requests that go on now use the scratch datagram. */
    memcpy(entries, datagram->origins, count * sizeof(entries[0]));
    for (size_t i = 0; i < count; i++) {
        const stream_origin_t origin = get_origin(&entries[i], now);
        if (entries[i].lifetime_ms == 0) {
            requests_note_origin_unknown(relay, &origin.stream,
                                         entries[i].software, host);
            continue;
        }
        (void)stream_origins_put(&relay->stream_origins, &origin, now);
        requests_apply_origin(relay, &origin.stream);
    }
}

/* Sends a daemon that has just started the known origins, those that are
 * needed the longest if there are many. */
void
peers_send_origins(peers_t *peers, const char *addr)
{
    const stream_origin_t *origins[SNAPSHOT_ORIGINS_MAX];
    peer_datagram_t *datagram = &peers->scratch;
    int64_t now = time_mono_ms();
    size_t count = stream_origins_list(&peers->relay->stream_origins, origins,
                                       SNAPSHOT_ORIGINS_MAX, now);
    datagram->kind = PEER_ORIGINS;
    datagram->origin_count = 0;
    for (size_t i = 0; i < count; i++) {
        add_origin(datagram, origins[i], now);
        if (datagram->origin_count == PEER_ORIGINS_MAX || i + 1 == count) {
            peers_send(peers, addr, datagram);
            datagram->origin_count = 0;
        }
    }
}
