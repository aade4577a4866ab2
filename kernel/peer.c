#include "local-socket.h"
#include "peer-codec.h"
#include "snapshot.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Communication between daemons: UDP datagrams for membership and for facts
 * (load reports and cache changes of backend servers), and framed requests and
 * replies over TCP for larger documents.  A frame is four bytes of length,
 * most significant first, and a msgpack array [kind, text]. */

#define FRAME_MAX (4 << 20)
#define IO_TIMEOUT_MS 1000
#define DIRECT_PEERS_MAX 16

struct peer {
    celeryspoold_t *daemon;
    int udp_fd;
    int tcp_fd;
    bool stop;
    pthread_t receive_thread;
    pthread_t accept_thread;
    /* Guards pending_facts; no other lock is taken while it is held. */
    pthread_mutex_t lock;
    peer_datagram_t pending_facts;
    int64_t next_tick_ms;
    uint64_t bytes_sent;
    uint64_t bytes_received;
};

static int
parse_addr(const char *addr, struct sockaddr_in *out)
{
    char host[CS_ADDR_MAX];
    str_copy(host, sizeof(host), addr);
    char *colon = strrchr(host, ':');
    if (colon == NULL) {
        return -1;
    }
    *colon = '\0';
    *out = (struct sockaddr_in){.sin_family = AF_INET};
    out->sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
    return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -1;
}

static void
set_timeouts(int fd, int ms)
{
    struct timeval timeout = {ms / 1000, (ms % 1000) * 1000};
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
}

/* The threads wait in calls on these sockets. */
static void
make_blocking(int fd)
{
    (void)fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    set_timeouts(fd, IO_TIMEOUT_MS / 2);
}

static void
send_to(peer_t *peer, const char *addr, const unsigned char *data, size_t len)
{
    struct sockaddr_in endpoint;
    if (parse_addr(addr, &endpoint) == 0) {
        (void)sendto(peer->udp_fd, data, len, 0, (struct sockaddr *)&endpoint,
                     sizeof(endpoint));
        (void)__atomic_add_fetch(&peer->bytes_sent, len, __ATOMIC_RELAXED);
    }
}

/* ---- received datagrams ---- */

static void
apply_fact(celeryspoold_t *daemon, const peer_fact_t *fact)
{
    uint16_t id = view_assign_id(daemon->view, fact->backend);
    if (fact->is_load) {
        feed_apply_load(daemon, fact->backend, &fact->load);
    }
    else if (fact->held) {
        (void)cache_map_add_holder(daemon->cache, id, fact->key,
                                   fact->prefix_tokens);
    }
    else {
        (void)cache_map_remove_holder(daemon->cache, id, fact->key);
    }
}

static void
send_members(peer_t *peer, const member_outbox_t *out)
{
    unsigned char data[PEER_DATAGRAM_MAX];
    peer_datagram_t *datagram = mem_zalloc(sizeof(*datagram));
    datagram->kind = PEER_MEMBERS;
    for (size_t i = 0; i < out->count; i++) {
        datagram->members = out->messages[i];
        size_t len =
            peer_encode(datagram, peer->daemon->settings.secret, data);
        if (len > 0) {
            send_to(peer, out->addrs[i], data, len);
        }
    }
    free(datagram);
}

static void
handle_datagram(peer_t *peer, const peer_datagram_t *datagram,
                member_outbox_t *out)
{
    celeryspoold_t *daemon = peer->daemon;
    switch (datagram->kind) {
        case PEER_MEMBERS:
            members_receive(daemon->members, &datagram->members,
                            time_mono_ms(), out);
            send_members(peer, out);
            return;
        case PEER_FACTS:
            for (size_t i = 0; i < datagram->fact_count; i++) {
                apply_fact(daemon, &datagram->facts[i]);
            }
            dispatch_run(daemon);
            return;
        case PEER_USAGES:
        case PEER_LOADS:
        case PEER_SIGNALS:
        case PEER_PARTS:
        case PEER_ORIGINS:
        case PEER_ORIGIN_QUERY:
        case PEER_SPEEDS:
        case PEER_ORIGIN_RECORDS:
            return;
    }
}

static void *
receive_datagrams(void *arg)
{
    peer_t *peer = arg;
    unsigned char data[PEER_DATAGRAM_MAX];
    peer_datagram_t *datagram = mem_zalloc(sizeof(*datagram));
    member_outbox_t *out = mem_zalloc(sizeof(*out));
    while (!__atomic_load_n(&peer->stop, __ATOMIC_ACQUIRE)) {
        ssize_t len = recv(peer->udp_fd, data, sizeof(data), 0);
        if (len <= 0) {
            continue;
        }
        (void)__atomic_add_fetch(&peer->bytes_received, (uint64_t)len,
                                 __ATOMIC_RELAXED);
        if (peer_decode(datagram, peer->daemon->settings.secret, data,
                        (size_t)len) == 0) {
            handle_datagram(peer, datagram, out);
        }
    }
    free(out);
    free(datagram);
    return NULL;
}

/* ---- requests over TCP ---- */

static int
read_all(int fd, void *out, size_t len)
{
    char *next = out;
    while (len > 0) {
        ssize_t received = recv(fd, next, len, 0);
        if (received <= 0) {
            return -1;
        }
        next += received;
        len -= (size_t)received;
    }
    return 0;
}

static int
write_all(int fd, const void *data, size_t len)
{
    const char *next = data;
    while (len > 0) {
        ssize_t sent = send(fd, next, len, MSG_NOSIGNAL);
        if (sent <= 0) {
            return -1;
        }
        next += sent;
        len -= (size_t)sent;
    }
    return 0;
}

static int
send_frame(int fd, const char *kind, const char *text)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    (void)msgpack_pack_array(&packer, 2);
    (void)msgpack_pack_str(&packer, strlen(kind));
    (void)msgpack_pack_str_body(&packer, kind, strlen(kind));
    (void)msgpack_pack_str(&packer, strlen(text));
    (void)msgpack_pack_str_body(&packer, text, strlen(text));
    uint32_t net_len = htonl((uint32_t)buffer.size);
    int status = write_all(fd, &net_len, sizeof(net_len)) != 0 ||
                         write_all(fd, buffer.data, buffer.size) != 0
                     ? -1
                     : 0;
    msgpack_sbuffer_destroy(&buffer);
    return status;
}

static int
parse_frame(const char *data, size_t len, char *kind, size_t kind_size,
            buf_t *text)
{
    msgpack_unpacked result;
    int status = -1;
    msgpack_unpacked_init(&result);
    if (msgpack_unpack_next(&result, data, len, NULL) ==
            MSGPACK_UNPACK_SUCCESS &&
        result.data.type == MSGPACK_OBJECT_ARRAY &&
        result.data.via.array.size == 2) {
        const msgpack_object *fields = result.data.via.array.ptr;
        if (fields[0].type == MSGPACK_OBJECT_STR &&
            fields[1].type == MSGPACK_OBJECT_STR &&
            fields[0].via.str.size < kind_size) {
            memcpy(kind, fields[0].via.str.ptr, fields[0].via.str.size);
            kind[fields[0].via.str.size] = '\0';
            buf_add(text, fields[1].via.str.ptr, fields[1].via.str.size);
            status = 0;
        }
    }
    msgpack_unpacked_destroy(&result);
    return status;
}

static int
receive_frame(int fd, char *kind, size_t kind_size, buf_t *text)
{
    uint32_t net_len;
    if (read_all(fd, &net_len, sizeof(net_len)) != 0) {
        return -1;
    }
    size_t len = ntohl(net_len);
    if (len == 0 || len > FRAME_MAX) {
        return -1;
    }
    CLEAN_TEXT char *data = mem_zalloc(len);
    if (read_all(fd, data, len) != 0) {
        return -1;
    }
    return parse_frame(data, len, kind, kind_size, text);
}

/* A request of a peer, served by a worker of the pool. */
typedef struct {
    celeryspoold_t *daemon;
    int fd;
} peer_request_t;

static json_t *
make_reply(celeryspoold_t *daemon, const char *kind)
{
    if (strcmp(kind, "snapshot") == 0) {
        return snapshot_make(daemon, SNAPSHOT_PEER_FACTS_MAX);
    }
    if (strcmp(kind, "config") == 0) {
        config_t *config = daemon_config(daemon);
        json_t *doc = json_incref(config->doc);
        config_release(config);
        return doc;
    }
    if (strcmp(kind, "requests") == 0) {
        return calls_to_json(daemon);
    }
    return json_pack("{s:s}", "error", "unknown question");
}

static void
serve_request(void *arg)
{
    peer_request_t *request = arg;
    char kind[32];
    CLEAN_BUF buf_t text = {0};
    if (receive_frame(request->fd, kind, sizeof(kind), &text) == 0) {
        CLEAN_JSON json_t *reply = make_reply(request->daemon, kind);
        CLEAN_TEXT char *out = json_dumps(reply, JSON_COMPACT);
        (void)send_frame(request->fd, "answer", out == NULL ? "{}" : out);
    }
    (void)close(request->fd);
    free(request);
}

static void *
accept_requests(void *arg)
{
    peer_t *peer = arg;
    while (!__atomic_load_n(&peer->stop, __ATOMIC_ACQUIRE)) {
        int fd = accept4(peer->tcp_fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        set_timeouts(fd, IO_TIMEOUT_MS);
        peer_request_t *request = mem_zalloc(sizeof(*request));
        request->daemon = peer->daemon;
        request->fd = fd;
        pool_submit(peer->daemon->pool, serve_request, request);
    }
    return NULL;
}

/* Requests a document from a peer: "config", "snapshot" or "requests".
 * Returns NULL, with an error if the peer cannot be reached. */
json_t *
peer_fetch(const char *addr, const char *document, int timeout_ms, err_t *err)
{
    struct sockaddr_in endpoint;
    char kind[32];
    CLEAN_BUF buf_t text = {0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0 || parse_addr(addr, &endpoint) != 0) {
        (void)err_set(err, ERR_PEER, 0, "cannot open a socket for %s", addr);
        return NULL;
    }
    set_timeouts(fd, timeout_ms);
    bool failed =
        connect(fd, (struct sockaddr *)&endpoint, sizeof(endpoint)) != 0;
    if (!failed) {
        local_socket_release(fd);
        failed = send_frame(fd, document, "") != 0 ||
                 receive_frame(fd, kind, sizeof(kind), &text) != 0;
    }
    (void)close(fd);
    if (failed) {
        (void)err_set(err, ERR_PEER, 0, "%s does not answer", addr);
        return NULL;
    }
    return json_loadb(buf_text(&text), text.len, 0, NULL);
}

/* ---- sent datagrams ---- */

static void
flush_facts(peer_t *peer)
{
    static __thread unsigned char data[PEER_DATAGRAM_MAX];
    member_t list[DIRECT_PEERS_MAX + 1];
    (void)pthread_mutex_lock(&peer->lock);
    size_t len = peer->pending_facts.fact_count == 0
                     ? 0
                     : peer_encode(&peer->pending_facts,
                                   peer->daemon->settings.secret, data);
    peer->pending_facts.fact_count = 0;
    (void)pthread_mutex_unlock(&peer->lock);
    if (len == 0) {
        return;
    }
    size_t count =
        members_list(peer->daemon->members, list, DIRECT_PEERS_MAX + 1);
    for (size_t i = 1; i < count; i++) {
        if (list[i].health != MEMBER_DEAD) {
            send_to(peer, list[i].peer_addr, data, len);
        }
    }
}

static void
add_fact(peer_t *peer, const peer_fact_t *fact)
{
    if (peer == NULL) {
        return;
    }
    (void)pthread_mutex_lock(&peer->lock);
    bool full = peer->pending_facts.fact_count == PEER_FACTS_MAX;
    if (!full) {
        peer->pending_facts.kind = PEER_FACTS;
        peer->pending_facts.facts[peer->pending_facts.fact_count++] = *fact;
    }
    (void)pthread_mutex_unlock(&peer->lock);
    if (full) {
        flush_facts(peer); /* the fact is dropped; datagrams may be lost too */
    }
}

/* Queues a load report for the next datagram to the peers. */
void
peer_announce_load(peer_t *peer, const char *backend,
                   const load_report_t *report)
{
    peer_fact_t fact = {.is_load = true, .load = *report};
    str_copy(fact.backend, sizeof(fact.backend), backend);
    add_fact(peer, &fact);
}

/* Queues a cache change: a server has cached an entry or evicted it. */
void
peer_announce_cached(peer_t *peer, const char *backend, uint64_t key,
                     uint32_t tokens, bool held)
{
    peer_fact_t fact = {.key = key, .prefix_tokens = tokens, .held = held};
    str_copy(fact.backend, sizeof(fact.backend), backend);
    add_fact(peer, &fact);
}

static void
membership_tick(peer_t *peer)
{
    celeryspoold_t *daemon = peer->daemon;
    member_outbox_t *out = mem_zalloc(sizeof(*out));
    config_t *config = daemon_config(daemon);
    members_tick(daemon->members, time_mono_ms(), config->generation,
                 daemon_state(daemon) == STATE_DRAINING ? MEMBER_LEAVING
                                                        : MEMBER_SERVING,
                 out);
    config_release(config);
    send_members(peer, out);
    free(out);
}

/* Sends the queued facts and, when due, runs a membership tick; called every
 * few milliseconds. */
void
peer_tick(peer_t *peer)
{
    int64_t now = time_mono_ms();
    flush_facts(peer);
    if (now >= peer->next_tick_ms) {
        peer->next_tick_ms = now + members_tick_interval_ms();
        membership_tick(peer);
    }
}

/* Starts the threads that receive datagrams and accept connections. */
peer_t *
peer_start(celeryspoold_t *daemon, int udp_fd, int tcp_fd)
{
    peer_t *peer = mem_zalloc(sizeof(*peer));
    peer->daemon = daemon;
    peer->udp_fd = udp_fd;
    peer->tcp_fd = tcp_fd;
    make_blocking(udp_fd);
    make_blocking(tcp_fd);
    (void)pthread_mutex_init(&peer->lock, NULL);
    (void)pthread_create(&peer->receive_thread, NULL, receive_datagrams, peer);
    (void)pthread_create(&peer->accept_thread, NULL, accept_requests, peer);
    return peer;
}

/* Bytes of datagrams sent and received since the start. */
void
peer_byte_counts(const peer_t *peer, uint64_t *sent, uint64_t *received)
{
    *sent = __atomic_load_n(&peer->bytes_sent, __ATOMIC_RELAXED);
    *received = __atomic_load_n(&peer->bytes_received, __ATOMIC_RELAXED);
}

/* Stops the threads and closes the sockets. */
void
peer_stop(peer_t *peer)
{
    __atomic_store_n(&peer->stop, true, __ATOMIC_RELEASE);
    (void)pthread_join(peer->receive_thread, NULL);
    (void)pthread_join(peer->accept_thread, NULL);
    (void)close(peer->udp_fd);
    (void)close(peer->tcp_fd);
    (void)pthread_mutex_destroy(&peer->lock);
    free(peer);
}
