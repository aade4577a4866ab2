#include "peers.h"
#include "peer-discovery.h"
#include "peer-loads.h"
#include "peers-apply.h"
#include "watch-duty.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Daemons find each other by objects in the platform's store, one a daemon,
 * and then talk by datagrams on a port of their own: membership as in the
 * product's own deployments (kernel/members.c), and facts about servers.
 * Lost datagrams cost a recomputation or a detour, never an answer. */

/* Facts go straight to this many peers at most; the rest learn by their own
 * sends, and have servers read again what these hold.  Each fact costs 40
 * bytes a peer. */
#define DIRECT_MAX 64
/* Loads are announced this often, ms. */
#define LOADS_MS 50

/* Parts of one server that are sent to a daemon that starts, at most. */
#define SNAPSHOT_PARTS_MAX 256
/* Others that it asks, against lost datagrams. */
#define ASK_PEERS 2

struct peers {
    relay_t *relay;
    int fd;
    struct event *readable;
    struct event *loads;
    members_t *members;
    member_out_t out;
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

/* ---- datagrams ---- */

static int
addr_of(const char *text, struct sockaddr_in *out)
{
    int len = (int)sizeof(*out);
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &len);
}

static void
send_bytes(peers_t *peers, const struct sockaddr_in *to,
           const unsigned char *data, size_t len)
{
    (void)sendto(peers->fd, data, len, MSG_DONTWAIT,
                 (const struct sockaddr *)to, sizeof(*to));
    peers->bytes_sent += len;
}

static void
send_datagram(peers_t *peers, const char *addr,
              const peer_datagram_t *datagram)
{
    unsigned char data[PEER_DATAGRAM_MAX];
    struct sockaddr_in to;
    size_t len = peer_encode(datagram, peers->secret, data);
    if (len == 0 || addr_of(addr, &to) != 0) {
        return;
    }
    send_bytes(peers, &to, data, len);
}

/* A daemon as one number. */
static uint64_t
host_of(const struct sockaddr_in *addr)
{
    return (uint64_t)addr->sin_addr.s_addr << 16 | addr->sin_port;
}

static struct sockaddr_in
addr_of_host(uint64_t host)
{
    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = (in_port_t)host,
                                .sin_addr = {(in_addr_t)(host >> 16)}};
}

static void
send_members(peers_t *peers)
{
    peer_datagram_t *datagram = &peers->taken;
    for (size_t i = 0; i < peers->out.count; i++) {
        datagram->kind = PEER_MEMBERS;
        datagram->members = peers->out.messages[i];
        send_datagram(peers, peers->out.addrs[i], datagram);
    }
}

static peer_fact_t
held_fact(const char *holder, const cached_part_t *part)
{
    peer_fact_t fact = {.key = part->key,
                        .tokens = part->prompt_tokens,
                        .part = part->tokens,
                        .held = true};
    str_copy(fact.backend, sizeof(fact.backend), holder);
    return fact;
}

/* Tell one daemon what a server or a kv store is believed to hold,
 * the part used last at the end, as its own list wants them; how many
 * parts were told. */
static size_t
send_parts(peers_t *peers, const char *addr, const char *holder,
           const cached_parts_t *held)
{
    cached_part_t parts[SNAPSHOT_PARTS_MAX];
    size_t count = cached_parts_list(held, parts, SNAPSHOT_PARTS_MAX);
    peer_datagram_t *datagram = &peers->taken;
    memset(datagram, 0, sizeof(*datagram));
    datagram->kind = PEER_FACTS;
    for (size_t i = count; i > 0; i--) {
        peer_fact_t *fact = &datagram->facts[datagram->fact_count++];
        *fact = held_fact(holder, &parts[i - 1]);
        if (datagram->fact_count == PEER_FACTS_MAX || i == 1) {
            send_datagram(peers, addr, datagram);
            datagram->fact_count = 0;
        }
    }
    return count;
}

/* A daemon that has just started asks, by an empty list, for all that is
 * known: without it, it would have servers read again what they hold. */
static void
send_all(peers_t *peers, const struct sockaddr_in *to)
{
    relay_t *relay = peers->relay;
    char addr[CS_ADDR_MAX];
    char ip[INET_ADDRSTRLEN];
    (void)inet_ntop(AF_INET, &to->sin_addr, ip, sizeof(ip));
    (void)snprintf(addr, sizeof(addr), "%s:%u", ip, ntohs(to->sin_port));
    size_t count = 0;
    server_t *server;
    for (size_t i = 0; i < KV_STORES_MAX; i++) {
        const kv_store_t *store = &relay->stores.all[i];
        if (store->held != NULL) {
            count += send_parts(peers, addr, store->name, store->held);
        }
    }
    CK_LIST_FOREACH (server, &relay->servers->list, entry) {
        if (!server->gone && server->info.engine) {
            count += send_parts(peers, addr, server->info.id, server->held);
        }
    }
    log_record(LOG_INFO, "peers", "told", "to=%s facts=%zu", addr, count);
}

static void
on_readable(evutil_socket_t fd, short what, void *arg)
{
    peers_t *peers = arg;
    unsigned char data[PEER_DATAGRAM_MAX];
    struct sockaddr_in from = {0};
    socklen_t from_len = sizeof(from);
    ssize_t len;
    (void)what;
    while ((len = recvfrom(fd, data, sizeof(data), MSG_DONTWAIT,
                           (struct sockaddr *)&from, &from_len)) > 0) {
        uint64_t host = host_of(&from);
        peer_datagram_t *datagram = &peers->taken;
        if (peer_decode(datagram, peers->secret, data, (size_t)len) != 0) {
            log_warn("peers", "A datagram cannot be read.");
            continue;
        }
        if (datagram->kind == PEER_FACTS && datagram->fact_count == 0) {
            send_all(peers, &from);
            continue;
        }
        if (datagram->kind == PEER_LOADS) {
            peer_loads_apply(peers->relay->servers, host, datagram,
                             time_mono_ms());
            continue;
        }
        if (datagram->kind == PEER_QUOTAS) {
            quotas_apply(&peers->relay->quotas, host, datagram,
                         time_mono_ms());
            continue;
        }
        if (datagram->kind == PEER_FACTS) {
            for (size_t i = 0; i < datagram->fact_count; i++) {
                peers_apply(peers->relay, host, &datagram->facts[i]);
            }
            continue;
        }
        members_receive(peers->members, &datagram->members, time_mono_ms(),
                        &peers->out);
        send_members(peers);
    }
}

/* ---- facts ---- */

/* Sends a datagram to as many daemons as are notified directly. */
static void
send_direct(peers_t *peers, const peer_datagram_t *datagram)
{
    member_t live[DIRECT_MAX + 1];
    size_t count = members_list(peers->members, live, DIRECT_MAX + 1);
    for (size_t i = 0; i < count; i++) {
        if (live[i].health != MEMBER_DEAD &&
            strcmp(live[i].name, peers->relay->settings.name) != 0) {
            send_datagram(peers, live[i].peer, datagram);
        }
    }
}

static void
flush_facts(peers_t *peers)
{
    if (peers->pending.fact_count > 0) {
        peers->pending.kind = PEER_FACTS;
        send_direct(peers, &peers->pending);
        peers->pending.fact_count = 0;
    }
}

static peer_fact_t *
fact_add(peers_t *peers)
{
    if (peers->pending.fact_count == PEER_FACTS_MAX) {
        flush_facts(peers);
    }
    peer_fact_t *fact = &peers->pending.facts[peers->pending.fact_count++];
    memset(fact, 0, sizeof(*fact));
    return fact;
}

static void
notify_part(peers_t *peers, const char *holder, const cached_part_t *part,
            bool held)
{
    peer_fact_t *fact = fact_add(peers);
    *fact = held_fact(holder, part);
    fact->held = held;
}

static peer_fact_t *
load_add(peers_t *peers, const server_t *server)
{
    peer_fact_t *fact = fact_add(peers);
    fact->is_load = true;
    str_copy(fact->backend, sizeof(fact->backend), server->info.id);
    fact->load.running = server->own_running;
    fact->load.waiting_tokens = (int)server->own_unread;
    fact->load.filled = server->filled;
    fact->load.at_server = -1;
    return fact;
}

/* Notifies peers of a crowded server's reported load: each host gets too few
 * of its answers to know that others have taken its slots. */
void
peers_notify_crowded(peers_t *peers, const server_t *server)
{
    load_add(peers, server)->load.at_server =
        server->load_running + server->load_waiting;
}

/* ---- limits of workspaces ---- */

/* A daemon at an address may spend of the workspaces' limits. */
static void
note_spender(void *arg, const char *addr)
{
    peers_t *peers = arg;
    struct sockaddr_in at;
    if (addr_of(addr, &at) == 0 &&
        strcmp(addr, peers->relay->settings.peer) != 0) {
        quotas_host_known(&peers->relay->quotas, host_of(&at), time_mono_ms());
    }
}

static void
note_members(peers_t *peers)
{
    member_t members[QUOTA_HOSTS_MAX];
    size_t count = members_list(peers->members, members, QUOTA_HOSTS_MAX);
    for (size_t i = 0; i < count; i++) {
        if (members[i].health != MEMBER_DEAD) {
            note_spender(peers, members[i].peer);
        }
    }
}

/* Tells all hosts that may spend what this one has spent. */
static void
announce_quotas(peers_t *peers, int64_t now)
{
    quotas_t *quotas = &peers->relay->quotas;
    unsigned char data[PEER_DATAGRAM_MAX];
    quotas_tick(quotas, now);
    if (!quotas_announce(quotas, &peers->taken, now)) {
        return;
    }
    size_t len = peer_encode(&peers->taken, peers->secret, data);
    for (size_t i = 0; i < QUOTA_HOSTS_MAX && len > 0; i++) {
        if (quotas->hosts[i].host != 0) {
            struct sockaddr_in to = addr_of_host(quotas->hosts[i].host);
            send_bytes(peers, &to, data, len);
        }
    }
}

/* ---- what others know ---- */

/* Ask a few others for what they know, once they are found. */
static void
ask_all(peers_t *peers)
{
    member_t live[DIRECT_MAX + 1];
    size_t asked = 0;
    size_t count = members_list(peers->members, live, DIRECT_MAX + 1);
    memset(&peers->taken, 0, sizeof(peers->taken));
    peers->taken.kind = PEER_FACTS;
    for (size_t i = 0; i < count && asked < ASK_PEERS; i++) {
        if (live[i].health == MEMBER_ALIVE &&
            strcmp(live[i].name, peers->relay->settings.name) != 0) {
            send_datagram(peers, live[i].peer, &peers->taken);
            asked++;
        }
    }
    peers->asked = asked > 0;
}

/* Tell what this host has at the servers where that has changed: a server's
 * own word does not say how much of the prompts at it is still to be read. */
static void
notify_loads(peers_t *peers, int64_t now)
{
    if (peer_loads_collect(peers->relay->servers, &peers->taken, now)) {
        send_direct(peers, &peers->taken);
    }
}

/* Notifies peers of a server's weights and of those that it loads (0 for
 * none), sooner than the platform's list, so that no request is sent there in
 * vain. */
void
peers_notify_weights(peers_t *peers, const server_t *server, int64_t loading)
{
    peer_fact_t *fact = load_add(peers, server);
    (void)snprintf(fact->load.version, sizeof(fact->load.version), "%lld",
                   (long long)server->info.weights);
    if (loading > 0) {
        (void)snprintf(fact->load.loading, sizeof(fact->load.loading), "%lld",
                       (long long)loading);
    }
    flush_facts(peers);
}

/* Daemons that are alive, this one included. */
size_t
peers_live(const peers_t *peers)
{
    return members_live(peers->members);
}

/* Whether a duty falls to this daemon: see members_duty. */
bool
peers_duty(const peers_t *peers, const char *duty)
{
    return members_duty(peers->members, duty);
}

/* How many other live daemons come before this one for a duty. */
size_t
peers_duty_rank(const peers_t *peers, const char *duty)
{
    return members_duty_rank(peers->members, duty);
}

/* The address at which a live daemon serves its objects, in turn; false if
 * there is none. */
bool
peers_any(peers_t *peers, char addr[CS_ADDR_MAX])
{
    member_t live[DIRECT_MAX + 1];
    size_t count = members_list(peers->members, live, DIRECT_MAX + 1);
    for (size_t i = 0; i < count; i++) {
        const member_t *member = &live[(peers->turn + i) % count];
        if (member->health == MEMBER_ALIVE &&
            strcmp(member->name, peers->relay->settings.name) != 0) {
            str_copy(addr, CS_ADDR_MAX, member->http);
            peers->turn += i + 1;
            return true;
        }
    }
    return false;
}

static size_t
watchers(const peers_t *peers, member_t owners[WATCHERS_MAX])
{
    size_t want = watch_duty_count(peers_live(peers));
    return want == 0 ? 0
                     : members_duty_owners(peers->members, "store-watch",
                                           owners, want);
}

/* Whether this daemon follows another one's watches of the store, and which:
 * see watch_duty_choose. */
bool
peers_upstream(peers_t *peers, char addr[CS_ADDR_MAX])
{
    member_t owners[WATCHERS_MAX];
    const settings_t *settings = &peers->relay->settings;
    size_t count = watchers(peers, owners);
    const member_t *owner =
        watch_duty_choose(owners, count, settings->name, settings->dc,
                          &peers->avoided, time_mono_ms());
    if (owner == NULL) {
        return false;
    }
    str_copy(addr, CS_ADDR_MAX, owner->http);
    return true;
}

/* The watcher at an address does not serve this daemon.  One that answered so
 * has lost the store, and another may have it; one that is silent may be cut
 * off as this daemon is, and waiting for the next would take too long. */
void
peers_upstream_lost(peers_t *peers, const char *addr, bool answered)
{
    member_t owners[WATCHERS_MAX];
    size_t count = watchers(peers, owners);
    for (size_t i = 0; i < count; i++) {
        if (!answered || strcmp(owners[i].http, addr) == 0) {
            watch_duty_avoid(&peers->avoided, owners[i].name, time_mono_ms());
        }
    }
}

/* ---- all of it ---- */

/* This host's part of the retries that all may send besides those that their
 * requests earn. */
static void
share_retries(peers_t *peers, int64_t now)
{
    relay_t *relay = peers->relay;
    double part = retry_hosts_part(&peers->hosts, peers_live(peers),
                                   (size_t)relay->settings.hosts, now);
    relay->retries.slack = part * relay->settings.retry_slack;
}

static void
on_loads(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    notify_loads(arg, time_mono_ms());
}

/* One step; membership has its own, slower one. */
void
peers_tick(peers_t *peers)
{
    int64_t now = time_mono_ms();
    const relay_t *relay = peers->relay;
    peer_discovery_tick(&peers->look, now);
    if (!peers->asked && peers->relay->servers_listed) {
        ask_all(peers);
    }
    flush_facts(peers);
    announce_quotas(peers, now);
    if (now < peers->next_beat_ms) {
        return;
    }
    peers->next_beat_ms = now + members_interval_ms();
    share_retries(peers, now);
    note_members(peers);
    members_tick(peers->members, now,
                 relay->config != NULL ? relay->config->revision : 0,
                 relay->stopping_ms != 0 ? MEMBER_LEAVING : MEMBER_LIVE,
                 &peers->out);
    send_members(peers);
}

static int
socket_open(const char *addr)
{
    struct sockaddr_in at;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return -1;
    }
    if (addr_of(addr, &at) != 0 ||
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
    const char *port = strrchr(settings->peer, ':');
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
    int fd = socket_open(relay->settings.peer);
    if (fd < 0) {
        (void)err_set(err, ERR_PEER, 1, "cannot listen at %s",
                      relay->settings.peer);
        return NULL;
    }
    member_t self = {.incarnation = (uint64_t)time_wall_ms()};
    str_copy(self.name, sizeof(self.name), relay->settings.name);
    str_copy(self.dc, sizeof(self.dc), relay->settings.dc);
    str_copy(self.peer, sizeof(self.peer), relay->settings.peer);
    /* Where other daemons can ask: see object_cache_answer. */
    str_copy(self.http, sizeof(self.http), relay->settings.metrics);
    peers_t *peers = mem_zalloc(sizeof(*peers));
    peers->relay = relay;
    peers->fd = fd;
    retry_hosts_init(&peers->hosts, time_mono_ms());
    peers->members = members_new(&self, rng_next(&relay->rng));
    peers->readable =
        event_new(relay->base, fd, EV_READ | EV_PERSIST, on_readable, peers);
    (void)event_add(peers->readable, NULL);
    static const struct timeval loads_step = {0, LOADS_MS * 1000};
    peers->loads = event_new(relay->base, -1, EV_PERSIST, on_loads, peers);
    (void)event_add(peers->loads, &loads_step);
    add_seeds(peers);
    relay->notify_part = notify_part;
    peers->look = (peer_discovery_t){.settings = &relay->settings,
                                     .exchanges = relay->exchanges,
                                     .members = peers->members,
                                     .on_listed = note_spender,
                                     .arg = peers};
    return peers;
}
