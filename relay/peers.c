#include "peers-table.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Daemons find each other by objects in the platform's store, one a daemon,
 * and then talk by datagrams on a port of their own: membership as in the
 * product's own deployments (kernel/members.c), and facts about servers.
 * Lost datagrams cost a recomputation or a detour, never an answer. */

/* Loads are announced this often, ms, and less often in fleets of more hosts
 * than this, each of which has fewer requests. */
#define LOADS_MS 50
#define LOADS_HOSTS 50

/* This host's part of the retries that all may send besides those that their
 * requests earn. */
static void
share_retries(peers_t *peers, int64_t now)
{
    relay_t *relay = peers->relay;
    double part = retry_hosts_part(&peers->hosts, peers_live(peers),
                                   (size_t)relay->settings.hosts_min, now);
    relay->retries.slack = part * relay->settings.retry_slack;
}

static void
on_loads(evutil_socket_t fd, short what, void *arg)
{
    peers_t *peers = arg;
    size_t steps = 1 + peers_live(peers) / LOADS_HOSTS;
    (void)fd;
    (void)what;
    if (++peers->load_steps >= steps) {
        peers->load_steps = 0;
        peers_notify_loads(peers, time_mono_ms());
    }
}

/* One step; membership has its own, slower one. */
void
peers_tick(peers_t *peers)
{
    int64_t now = time_mono_ms();
    const relay_t *relay = peers->relay;
    peer_discovery_tick(&peers->look, now);
    if (!peers->asked && peers->relay->servers_listed) {
        peers_ask_all(peers);
    }
    peers_flush_facts(peers);
    peers_announce_quotas(peers, now);
    if (now < peers->next_beat_ms) {
        return;
    }
    peers->next_beat_ms = now + members_interval_ms();
    share_retries(peers, now);
    peers_note_members(peers);
    members_tick(peers->members, now,
                 relay->config != NULL ? relay->config->revision : 0,
                 relay->stopping_ms != 0 ? MEMBER_LEAVING : MEMBER_LIVE,
                 &peers->out);
    peers_send_members(peers);
}

static int
socket_open(const char *addr)
{
    struct sockaddr_in at;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return -1;
    }
    if (peers_addr_of(addr, &at) != 0 ||
        bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

/* The settings name a few hosts by an address of theirs; daemons listen for
 * each other at the same port on all. */
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
        members_seed(peers->members, addr);
    }
}

/* Open the port and begin to look for others. */
peers_t *
peers_start(relay_t *relay, err_t *err)
{
    int fd = socket_open(relay->settings.peer_addr);
    if (fd < 0) {
        (void)err_set(err, ERR_PEER, 1, "cannot listen at %s",
                      relay->settings.peer_addr);
        return NULL;
    }
    member_t self = {.incarnation = (uint64_t)time_wall_ms()};
    str_copy(self.name, sizeof(self.name), relay->settings.name);
    str_copy(self.dc, sizeof(self.dc), relay->settings.dc);
    str_copy(self.peer, sizeof(self.peer), relay->settings.peer_addr);
    /* Where other daemons can ask: see object_cache_answer. */
    str_copy(self.http, sizeof(self.http), relay->settings.metrics_addr);
    peers_t *peers = mem_zalloc(sizeof(*peers));
    peers->relay = relay;
    peers->fd = fd;
    retry_hosts_init(&peers->hosts, time_mono_ms());
    peers->members = members_new(&self, rng_next(&relay->rng));
    peers->readable = event_new(relay->base, fd, EV_READ | EV_PERSIST,
                                peers_on_readable, peers);
    (void)event_add(peers->readable, NULL);
    static const struct timeval loads_step = {0, LOADS_MS * 1000};
    peers->loads = event_new(relay->base, -1, EV_PERSIST, on_loads, peers);
    (void)event_add(peers->loads, &loads_step);
    add_seeds(peers);
    relay->notify_part = peers_notify_part;
    peers->look = (peer_discovery_t){.settings = &relay->settings,
                                     .exchanges = relay->exchanges,
                                     .members = peers->members,
                                     .on_listed = peers_note_spender,
                                     .arg = peers};
    return peers;
}
