#include "peer-codec.h"
#include "snapshot.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Talk between daemons: datagrams for heartbeats and facts, and a framed
 * question and answer over TCP for what is larger.  A frame is four bytes of
 * length, most significant first, and a msgpack array [kind, text]. */

#define FRAME_MAX (4 << 20)
#define IO_TIMEOUT_MS 1000
#define DIRECT_PEERS_MAX 16

struct peer {
    celeryspoold_t *daemon;
    int udp;
    int tcp;
    bool stop;
    pthread_t receiver;
    pthread_t listener;
    pthread_mutex_t lock; /* over the pending facts; a leaf */
    peer_datagram_t pending;
    int64_t next_beat_ms;
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
    struct timeval span = {ms / 1000, (ms % 1000) * 1000};
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &span, sizeof(span));
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &span, sizeof(span));
}

static int
open_socket(const char *addr, int type)
{
    struct sockaddr_in at;
    int on = 1;
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    /* For TCP this is for restarts; for UDP it would let two daemons share an
     * address unnoticed. */
    if (type == SOCK_STREAM) {
        (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    if (parse_addr(addr, &at) != 0 ||
        bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        (void)close(fd);
        return -1;
    }
    set_timeouts(fd, IO_TIMEOUT_MS / 2);
    return fd;
}

static void
send_to(peer_t *peer, const char *addr, const unsigned char *data, size_t len)
{
    struct sockaddr_in at;
    if (parse_addr(addr, &at) == 0) {
        (void)sendto(peer->udp, data, len, 0, (struct sockaddr *)&at,
                     sizeof(at));
        (void)__atomic_add_fetch(&peer->bytes_sent, len, __ATOMIC_RELAXED);
    }
}

/* ---- datagrams in ---- */

static void
take_fact(celeryspoold_t *daemon, const peer_fact_t *fact)
{
    uint16_t id = view_id(daemon->view, fact->backend);
    if (fact->is_load) {
        feed_take_load(daemon, fact->backend, &fact->load);
    }
    else if (fact->held) {
        (void)cache_map_note(daemon->cache, id, fact->key, fact->tokens);
    }
    else {
        (void)cache_map_drop(daemon->cache, id, fact->key);
    }
}

static void
send_members(peer_t *peer, const member_out_t *out)
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
take_datagram(peer_t *peer, const peer_datagram_t *datagram, member_out_t *out)
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
                take_fact(daemon, &datagram->facts[i]);
            }
            dispatch_run(daemon);
            return;
        case PEER_QUOTAS:
        case PEER_LOADS:
            return;
    }
}

static void *
receive_run(void *arg)
{
    peer_t *peer = arg;
    unsigned char data[PEER_DATAGRAM_MAX];
    peer_datagram_t *datagram = mem_zalloc(sizeof(*datagram));
    member_out_t *out = mem_zalloc(sizeof(*out));
    while (!__atomic_load_n(&peer->stop, __ATOMIC_ACQUIRE)) {
        ssize_t len = recv(peer->udp, data, sizeof(data), 0);
        if (len <= 0) {
            continue;
        }
        (void)__atomic_add_fetch(&peer->bytes_received, (uint64_t)len,
                                 __ATOMIC_RELAXED);
        if (peer_decode(datagram, peer->daemon->settings.secret, data,
                        (size_t)len) == 0) {
            take_datagram(peer, datagram, out);
        }
    }
    free(out);
    free(datagram);
    return NULL;
}

/* ---- questions over TCP ---- */

static int
read_all(int fd, void *out, size_t len)
{
    char *at = out;
    while (len > 0) {
        ssize_t got = recv(fd, at, len, 0);
        if (got <= 0) {
            return -1;
        }
        at += got;
        len -= (size_t)got;
    }
    return 0;
}

static int
write_all(int fd, const void *data, size_t len)
{
    const char *at = data;
    while (len > 0) {
        ssize_t put = send(fd, at, len, MSG_NOSIGNAL);
        if (put <= 0) {
            return -1;
        }
        at += put;
        len -= (size_t)put;
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
    uint32_t head = htonl((uint32_t)buffer.size);
    int status = write_all(fd, &head, sizeof(head)) != 0 ||
                         write_all(fd, buffer.data, buffer.size) != 0
                     ? -1
                     : 0;
    msgpack_sbuffer_destroy(&buffer);
    return status;
}

static int
take_frame(const char *data, size_t len, char *kind, size_t kind_size,
           buf_t *text)
{
    msgpack_unpacked result;
    int status = -1;
    msgpack_unpacked_init(&result);
    if (msgpack_unpack_next(&result, data, len, NULL) ==
            MSGPACK_UNPACK_SUCCESS &&
        result.data.type == MSGPACK_OBJECT_ARRAY &&
        result.data.via.array.size == 2) {
        const msgpack_object *at = result.data.via.array.ptr;
        if (at[0].type == MSGPACK_OBJECT_STR &&
            at[1].type == MSGPACK_OBJECT_STR &&
            at[0].via.str.size < kind_size) {
            memcpy(kind, at[0].via.str.ptr, at[0].via.str.size);
            kind[at[0].via.str.size] = '\0';
            buf_add(text, at[1].via.str.ptr, at[1].via.str.size);
            status = 0;
        }
    }
    msgpack_unpacked_destroy(&result);
    return status;
}

static int
receive_frame(int fd, char *kind, size_t kind_size, buf_t *text)
{
    uint32_t head;
    if (read_all(fd, &head, sizeof(head)) != 0) {
        return -1;
    }
    size_t len = ntohl(head);
    if (len == 0 || len > FRAME_MAX) {
        return -1;
    }
    CLEAN_TEXT char *data = mem_zalloc(len);
    if (read_all(fd, data, len) != 0) {
        return -1;
    }
    return take_frame(data, len, kind, kind_size, text);
}

/* A question that is being answered by a worker of the pool. */
typedef struct {
    celeryspoold_t *daemon;
    int fd;
} question_t;

static json_t *
answer_of(celeryspoold_t *daemon, const char *kind)
{
    if (strcmp(kind, "snapshot") == 0) {
        return snapshot_make(daemon, SNAPSHOT_PEER_FACTS);
    }
    if (strcmp(kind, "config") == 0) {
        config_t *config = daemon_config(daemon);
        json_t *doc = json_incref(config->doc);
        config_release(config);
        return doc;
    }
    if (strcmp(kind, "requests") == 0) {
        return calls_rows(daemon);
    }
    return json_pack("{s:s}", "error", "unknown question");
}

static void
answer(void *arg)
{
    question_t *question = arg;
    char kind[32];
    CLEAN_BUF buf_t text = {0};
    if (receive_frame(question->fd, kind, sizeof(kind), &text) == 0) {
        CLEAN_JSON json_t *reply = answer_of(question->daemon, kind);
        CLEAN_TEXT char *out = json_dumps(reply, JSON_COMPACT);
        (void)send_frame(question->fd, "answer", out == NULL ? "{}" : out);
    }
    (void)close(question->fd);
    free(question);
}

static void *
listen_run(void *arg)
{
    peer_t *peer = arg;
    while (!__atomic_load_n(&peer->stop, __ATOMIC_ACQUIRE)) {
        int fd = accept4(peer->tcp, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        set_timeouts(fd, IO_TIMEOUT_MS);
        question_t *question = mem_zalloc(sizeof(*question));
        question->daemon = peer->daemon;
        question->fd = fd;
        pool_submit(peer->daemon->pool, answer, question);
    }
    return NULL;
}

/* Ask a peer: "config", "snapshot" or "requests"; NULL with an error. */
json_t *
peer_ask(const char *addr, const char *what, int timeout_ms, err_t *err)
{
    struct sockaddr_in at;
    char kind[32];
    CLEAN_BUF buf_t text = {0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0 || parse_addr(addr, &at) != 0) {
        (void)err_set(err, ERR_PEER, 0, "no socket for %s", addr);
        return NULL;
    }
    set_timeouts(fd, timeout_ms);
    int failed = connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
                 send_frame(fd, what, "") != 0 ||
                 receive_frame(fd, kind, sizeof(kind), &text) != 0;
    (void)close(fd);
    if (failed) {
        (void)err_set(err, ERR_PEER, 0, "%s does not answer", addr);
        return NULL;
    }
    return json_loadb(buf_text(&text), text.len, 0, NULL);
}

/* ---- datagrams out ---- */

static void
flush_facts(peer_t *peer)
{
    static __thread unsigned char data[PEER_DATAGRAM_MAX];
    member_t list[DIRECT_PEERS_MAX + 1];
    (void)pthread_mutex_lock(&peer->lock);
    size_t len =
        peer->pending.fact_count == 0
            ? 0
            : peer_encode(&peer->pending, peer->daemon->settings.secret, data);
    peer->pending.fact_count = 0;
    (void)pthread_mutex_unlock(&peer->lock);
    if (len == 0) {
        return;
    }
    size_t count =
        members_list(peer->daemon->members, list, DIRECT_PEERS_MAX + 1);
    for (size_t i = 1; i < count; i++) {
        if (list[i].health != MEMBER_DEAD) {
            send_to(peer, list[i].peer, data, len);
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
    bool full = peer->pending.fact_count == PEER_FACTS_MAX;
    if (!full) {
        peer->pending.kind = PEER_FACTS;
        peer->pending.facts[peer->pending.fact_count++] = *fact;
    }
    (void)pthread_mutex_unlock(&peer->lock);
    if (full) {
        flush_facts(peer); /* this fact is lost, as datagrams may be */
    }
}

/* Pass a load report on with the next datagram. */
void
peer_tell_load(peer_t *peer, const char *backend, const load_report_t *report)
{
    peer_fact_t fact = {.is_load = true, .load = *report};
    str_copy(fact.backend, sizeof(fact.backend), backend);
    add_fact(peer, &fact);
}

/* Pass on that a server holds a level, or no longer does. */
void
peer_tell_cached(peer_t *peer, const char *backend, uint64_t key,
                 uint32_t tokens, bool held)
{
    peer_fact_t fact = {.key = key, .tokens = tokens, .held = held};
    str_copy(fact.backend, sizeof(fact.backend), backend);
    add_fact(peer, &fact);
}

static void
beat(peer_t *peer)
{
    celeryspoold_t *daemon = peer->daemon;
    member_out_t *out = mem_zalloc(sizeof(*out));
    config_t *config = daemon_config(daemon);
    members_tick(
        daemon->members, time_mono_ms(), config->generation,
        daemon_state(daemon) == STATE_LEAVING ? MEMBER_LEAVING : MEMBER_LIVE,
        out);
    config_release(config);
    send_members(peer, out);
    free(out);
}

/* Send what waits; called every few milliseconds by the ticker. */
void
peer_tick(peer_t *peer)
{
    int64_t now = time_mono_ms();
    flush_facts(peer);
    if (now >= peer->next_beat_ms) {
        peer->next_beat_ms = now + members_interval_ms();
        beat(peer);
    }
}

/* Open both sockets and start their threads. */
peer_t *
peer_start(celeryspoold_t *daemon, err_t *err)
{
    peer_t *peer = mem_zalloc(sizeof(*peer));
    peer->daemon = daemon;
    (void)pthread_mutex_init(&peer->lock, NULL);
    peer->udp = open_socket(daemon->settings.peer_addr, SOCK_DGRAM);
    peer->tcp = open_socket(daemon->settings.peer_addr, SOCK_STREAM);
    if (peer->udp < 0 || peer->tcp < 0 || listen(peer->tcp, 64) != 0) {
        (void)err_set(err, ERR_PEER, 0, "cannot listen on %s",
                      daemon->settings.peer_addr);
        free(peer);
        return NULL;
    }
    (void)pthread_create(&peer->receiver, NULL, receive_run, peer);
    (void)pthread_create(&peer->listener, NULL, listen_run, peer);
    return peer;
}

/* Bytes of datagrams so far. */
void
peer_bytes(const peer_t *peer, uint64_t *sent, uint64_t *received)
{
    *sent = __atomic_load_n(&peer->bytes_sent, __ATOMIC_RELAXED);
    *received = __atomic_load_n(&peer->bytes_received, __ATOMIC_RELAXED);
}

/* Stop the threads and close the sockets. */
void
peer_stop(peer_t *peer)
{
    __atomic_store_n(&peer->stop, true, __ATOMIC_RELEASE);
    (void)pthread_join(peer->receiver, NULL);
    (void)pthread_join(peer->listener, NULL);
    (void)close(peer->udp);
    (void)close(peer->tcp);
    (void)pthread_mutex_destroy(&peer->lock);
    free(peer);
}
