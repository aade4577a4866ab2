#include "peers-internal.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Daemons find each other by objects in the platform's store, one per daemon,
 * and then exchange datagrams on a port of their own: membership, as in
 * deployments without the platform (kernel/members.c), and facts about
 * servers.  A lost datagram may cost a recomputation or a less suitable
 * server, but never an answer. */

/* Loads are announced at this interval, ms, and one more interval for every so
 * many hosts: in a larger fleet each host has fewer requests. */
#define LOADS_INTERVAL_MS 50
#define LOADS_HOSTS_PER_INTERVAL 50

/* Sets this host's part of the retry slack: the fixed number of retries per
 * window that all hosts together may send in addition to the ratio of their
 * requests. */
static void
update_retry_slack(peers_t *peers, int64_t now)
{
    relay_t *relay = peers->relay;
    double share =
        retry_hosts_slack_share(&peers->retry_hosts, peers_live_count(peers),
                                (size_t)relay->settings.hosts_min, now);
    double slack = share * relay->settings.retry_slack;
    if (slack != relay->retry_shares.slack) {
        log_record(LOG_INFO, "peers", "retry-slack",
                   "slack=%.2f before=%.2f live=%zu peak=%zu", slack,
                   relay->retry_shares.slack, peers_live_count(peers),
                   peers->retry_hosts.count.peak_live);
    }
    relay->retry_shares.slack = slack;
}

static void
on_load_timer(evutil_socket_t fd, short what, void *arg)
{
    peers_t *peers = arg;
    size_t intervals = 1 + peers_live_count(peers) / LOADS_HOSTS_PER_INTERVAL;
    int64_t now = time_mono_ms();
    (void)fd;
    (void)what;
    peers_announce_signals(peers);
    peers_announce_parts(peers);
    peers_announce_speeds(peers, now);
    if (++peers->load_intervals >= intervals) {
        peers->load_intervals = 0;
        peers_notify_loads(peers, now);
    }
}

/* Does the periodic work; membership messages have a longer interval. */
void
peers_tick(peers_t *peers)
{
    int64_t now = time_mono_ms();
    const relay_t *relay = peers->relay;
    peer_discovery_tick(&peers->discovery, now);
    if (!peers->facts_requested && peers->relay->servers_listed) {
        peers_request_facts(peers);
    }
    peers_flush_facts(peers);
    peers_announce_quotas(peers, now);
    if (now < peers->next_members_tick_ms) {
        return;
    }
    peers->next_members_tick_ms = now + members_tick_interval_ms();
    update_retry_slack(peers, now);
    peers_update_limits(peers, now);
    peers_confirm_quota_hosts(peers);
    members_tick(
        peers->members, now,
        relay->config != NULL ? relay->config->revision : 0,
        relay->stop_requested_ms != 0 ? MEMBER_LEAVING : MEMBER_SERVING,
        &peers->member_messages);
    peers_send_members(peers);
}

/* Adds the seed hosts of the settings to the membership.  All daemons
 * listen for datagrams on the same port, so each seed gets the port of this
 * one. */
static void
add_seeds(peers_t *peers)
{
    const settings_t *settings = &peers->relay->settings;
    const char *port = strrchr(settings->peer_addr, ':');
    for (unsigned i = 0; i < settings->seed_count && port != NULL; i++) {
        char addr[CS_ADDR_MAX * 2];
        const char *colon = strrchr(settings->seeds[i], ':');
        (void)snprintf(addr, sizeof(addr), "%.*s%s",
                       (int)(colon - settings->seeds[i]), settings->seeds[i],
                       port);
        members_add_seed(peers->members, addr);
    }
}

/* Starts to discover other daemons, with the socket for datagrams. */
peers_t *
peers_start(relay_t *relay, int fd)
{
    member_t self = {.incarnation = (uint64_t)time_wall_ms()};
    str_copy(self.name, sizeof(self.name), relay->settings.name);
    str_copy(self.dc, sizeof(self.dc), relay->settings.dc);
    str_copy(self.peer_addr, sizeof(self.peer_addr),
             relay->settings.peer_addr);
    /* Serves objects to other daemons: see object_cache_answer. */
    str_copy(self.http_addr, sizeof(self.http_addr),
             relay->settings.metrics_addr);
    peers_t *peers = mem_zalloc(sizeof(*peers));
    peers->relay = relay;
    peers->fd = fd;
    peers->started_ms = time_mono_ms();
    retry_hosts_init(&peers->retry_hosts, relay->retry_shares.window_ms,
                     time_mono_ms());
    peers->members = members_new(&self, rng_next(&relay->rng));
    peers->read_event = event_new(relay->base, fd, EV_READ | EV_PERSIST,
                                  peers_on_readable, peers);
    (void)event_add(peers->read_event, NULL);
    static const struct timeval loads_interval = {0, LOADS_INTERVAL_MS * 1000};
    peers->load_timer =
        event_new(relay->base, -1, EV_PERSIST, on_load_timer, peers);
    (void)event_add(peers->load_timer, &loads_interval);
    add_seeds(peers);
    relay->notify_part = peers_notify_part;
    peers->discovery =
        (peer_discovery_t){.settings = &relay->settings,
                           .exchanges = relay->exchanges,
                           .members = peers->members,
                           .on_listed = peers_confirm_quota_host,
                           .arg = peers};
    return peers;
}
