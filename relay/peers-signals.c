#include "peers-internal.h"

/* What servers say of themselves, passed on between daemons.  A daemon that
 * learns of a change notifies a few others, which do the same. */

/* Daemons that are notified of a change: with 8 each, a notice misses one of
 * three thousand. */
#define NOTIFIED_MAX 8
#define MILLI 1000

static void
set_limit_hosts(peers_t *peers, server_t *server, size_t assumed, int64_t now)
{
    const server_limit_hosts_t hosts = {
        .live = peers_live_count(peers),
        .assumed = assumed,
        .rank = peers_duty_rank(peers, server->info.id)};
    server_limit_set_hosts(&server->limit, &hosts, now);
}

/* Returns the number of hosts that may send to servers. */
static size_t
assumed_hosts(peers_t *peers, int64_t now)
{
    return host_count_update(&peers->retry_hosts.count,
                             peers_live_count(peers),
                             (size_t)peers->relay->settings.hosts_min, now);
}

/* Returns the number of hosts that share the capacity of a brittle server.
 * Unlike a limit's, their number is corrected by what the server rejects, so
 * the live ones are counted. */
size_t
peers_count_sharing(peers_t *peers)
{
    size_t live = peers_live_count(peers);
    size_t min = (size_t)peers->relay->settings.hosts_min;
    return assumed_hosts(peers, time_mono_ms()) != 0 || live > min ? live
                                                                   : min;
}

/* Sets the hosts that share a server's limit, before it is used for the first
 * time. */
void
peers_set_limit_hosts(peers_t *peers, server_t *server)
{
    int64_t now = time_mono_ms();
    set_limit_hosts(peers, server, assumed_hosts(peers, now), now);
}

/* Updates the hosts that share the limits and capacities.  Before a server
 * states one, they are set as well, so other servers need no update. */
void
peers_update_limits(peers_t *peers, int64_t now)
{
    size_t assumed = assumed_hosts(peers, now);
    size_t sharing = peers_count_sharing(peers);
    server_queue_t *stated = &peers->relay->servers->stated_signals;
    for (size_t left = stated->count; left > 0; left--) {
        server_t *server = server_queue_take(stated);
        if (!server_states_signals(server)) {
            continue;
        }
        server_brittle_set_hosts(&server->brittle, sharing);
        if (server->limit.current.stated) {
            set_limit_hosts(peers, server, assumed, now);
        }
        server_queue_add(stated, &server->stated_signal);
    }
}

static void
add_signal(peer_datagram_t *datagram, const server_t *server)
{
    const server_limit_notice_t *limit = &server->limit.current;
    const server_brittle_notice_t *brittle = &server->brittle.current;
    datagram->signals[datagram->signal_count++] = (peer_signal_t){
        .server_hash = server->id_hash,
        .incarnation = server_incarnation(server),
        .limit_revision = limit->revision,
        .limit_stated = limit->stated,
        .limit_milli_per_s = (uint64_t)(limit->per_s * MILLI),
        .leaving = server->leaving,
        .brittle_revision = brittle->revision,
        .brittle_stated = brittle->stated,
        .brittle_milli_per_s = (uint64_t)(brittle->rejections_per_s * MILLI),
        .brittle_milli_capacity = (uint64_t)(brittle->capacity * MILLI),
        .brittle_hold_ms = (uint32_t)brittle->hold_ms};
}

/* Returns the number of daemons that peers_send_to_some reaches. */
size_t
peers_receivers(const peers_t *peers)
{
    size_t others = peers_live_count(peers) - 1;
    return others < NOTIFIED_MAX ? others : NOTIFIED_MAX;
}

/* Sends a datagram to a number of random daemons. */
void
peers_send_to_random(peers_t *peers, const peer_datagram_t *datagram,
                     size_t receivers)
{
    member_t members[QUOTA_HOSTS_MAX];
    size_t count = members_list(peers->members, members, QUOTA_HOSTS_MAX);
    size_t left = receivers;
    for (size_t i = 1; i < count && left > 0; i++) {
        size_t other = i + rng_below(&peers->relay->rng, count - i);
        member_t chosen = members[other];
        members[other] = members[i];
        if (chosen.health != MEMBER_DEAD) {
            peers_send(peers, chosen.peer_addr, datagram);
            left--;
        }
    }
}

/* Sends a datagram to a few random daemons. */
void
peers_send_to_some(peers_t *peers, const peer_datagram_t *datagram)
{
    peers_send_to_random(peers, datagram, NOTIFIED_MAX);
}

/* Notifies other daemons of the changes that this one has learned of.  Those
 * that exceed the datagram are sent with the next one. */
void
peers_announce_signals(peers_t *peers)
{
    peer_datagram_t *datagram = &peers->scratch;
    server_t *server;
    datagram->kind = PEER_SIGNALS;
    datagram->signal_count = 0;
    while (datagram->signal_count < PEER_SIGNALS_MAX &&
           (server = servers_take_signals(peers->relay->servers)) != NULL) {
        add_signal(datagram, server);
    }
    if (datagram->signal_count > 0) {
        peers_send_to_some(peers, datagram);
    }
}

/* Sends a daemon that has just started what is known. */
void
peers_send_signals(peers_t *peers, const char *addr)
{
    peer_datagram_t *datagram = &peers->scratch;
    const server_t *server;
    datagram->kind = PEER_SIGNALS;
    datagram->signal_count = 0;
    CK_LIST_FOREACH (server, &peers->relay->servers->list, entry) {
        if ((server->limit.current.revision != 0 ||
             server->brittle.current.revision != 0 || server->leaving) &&
            datagram->signal_count < PEER_SIGNALS_MAX) {
            add_signal(datagram, server);
        }
    }
    if (datagram->signal_count > 0) {
        peers_send(peers, addr, datagram);
    }
}

static void
apply_limit(peers_t *peers, server_t *server, const peer_signal_t *signal,
            int64_t now)
{
    const server_limit_notice_t notice = {
        .revision = signal->limit_revision,
        .stated = signal->limit_stated,
        .per_s = (double)signal->limit_milli_per_s / MILLI};
    peers_set_limit_hosts(peers, server);
    if (server_limit_apply(&server->limit, &notice, now)) {
        server_log_limit(server, "peer");
    }
}

static void
apply_brittle(peers_t *peers, server_t *server, const peer_signal_t *signal,
              int64_t now)
{
    const server_brittle_notice_t notice = {
        .revision = signal->brittle_revision,
        .stated = signal->brittle_stated,
        .rejections_per_s = (double)signal->brittle_milli_per_s / MILLI,
        .capacity = (double)signal->brittle_milli_capacity / MILLI,
        .hold_ms = signal->brittle_hold_ms};
    server_brittle_set_hosts(&server->brittle, peers_count_sharing(peers));
    if (server_brittle_apply(&server->brittle, &notice, now)) {
        server_log_brittle(server, "peer");
    }
}

static void
apply_signal(peers_t *peers, const peer_signal_t *signal, int64_t now)
{
    server_t *server =
        servers_find_by_id_hash(peers->relay->servers, signal->server_hash);
    if (server == NULL || signal->incarnation != server_incarnation(server)) {
        return;
    }
    if (signal->limit_revision != 0) {
        apply_limit(peers, server, signal, now);
    }
    if (signal->brittle_revision != 0) {
        apply_brittle(peers, server, signal, now);
    }
    server_schedule_signals(server);
    if (signal->leaving && server_set_leaving(server)) {
        log_record(LOG_INFO, "servers", "leaving", "server=%s source=peer",
                   server->info.id);
    }
}

/* Applies the signals of another daemon's datagram. */
void
peers_apply_signals(peers_t *peers, int64_t now)
{
    for (size_t i = 0; i < peers->scratch.signal_count; i++) {
        apply_signal(peers, &peers->scratch.signals[i], now);
    }
}
