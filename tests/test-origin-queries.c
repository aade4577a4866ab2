#include "../relay/peers-internal.h"
#include "../relay/request.h"
#include "test.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOST 5
#define ATTEMPT 77
#define CALLER 9

/* Applies an answer of a host that does not know the stream, to the question
 * of this number. */
static void
answer_unknown(peers_t *peers, uint64_t number)
{
    peers->scratch.kind = PEER_ORIGINS;
    peers->scratch.origin_count = 1;
    peers->scratch.origins[0] = (peer_origin_t){
        .attempt = ATTEMPT, .caller = CALLER, .software = number};
    peers_apply_origins(peers, HOST, time_mono_ms());
}

/* Guards against a late answer to an earlier question, taken for that of a
 * host which has learned the stream since. */
START_TEST(an_answer_counts_for_its_own_question)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    peers_t *peers = mem_zalloc(sizeof(*peers));
    request_t request = {
        .relay = relay,
        .resumes = stream_id_join(ATTEMPT, CALLER),
        .origin_pending = true,
        .origin_query = {.number = 3, .hosts = {HOST, HOST + 1}, .count = 2}};
    peers->relay = relay;
    stream_origins_init(&relay->stream_origins);
    CK_LIST_INSERT_HEAD(&relay->requests, &request, entry);
    answer_unknown(peers, 2);
    ck_assert(!request.origin_query.answered[0]);
    answer_unknown(peers, 3);
    ck_assert(request.origin_query.answered[0]);
    ck_assert(!request.origin_query.answered[1]);
    ck_assert(request.origin_pending);
    free(peers);
    free(relay);
}
END_TEST

/* Opens a UDP socket on a free port of the loopback address. */
static int
open_socket(struct sockaddr_in *addr)
{
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    socklen_t len = sizeof(*addr);
    *addr = (struct sockaddr_in){.sin_family = AF_INET};
    addr->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)addr, sizeof(*addr)), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)addr, &len), 0);
    return fd;
}

/* Guards against answers that name no question, which count for none: each
 * take-up of an unknown stream would wait for the full time. */
START_TEST(a_host_that_knows_no_origin_returns_the_number)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    peers_t *peers = mem_zalloc(sizeof(*peers));
    peer_datagram_t *answer = mem_zalloc(sizeof(*answer));
    unsigned char data[PEER_DATAGRAM_MAX];
    struct sockaddr_in from;
    struct sockaddr_in to;
    const uint64_t number = UINT64_MAX - 3;
    int asking = open_socket(&from);
    peers->fd = open_socket(&to);
    peers->relay = relay;
    stream_origins_init(&relay->stream_origins);
    peers->scratch.kind = PEER_ORIGIN_QUERY;
    peers->scratch.origin_count = 1;
    peers->scratch.origins[0] = (peer_origin_t){
        .attempt = ATTEMPT, .caller = CALLER, .software = number};
    peers_answer_origin_query(peers, &from, time_mono_ms());
    ssize_t len = recv(asking, data, sizeof(data), 0);
    ck_assert_int_gt(len, 0);
    ck_assert_int_eq(peer_decode(answer, peers->secret, data, (size_t)len), 0);
    ck_assert_int_eq(answer->kind, PEER_ORIGINS);
    ck_assert_uint_eq(answer->origin_count, 1);
    ck_assert_uint_eq(answer->origins[0].lifetime_ms, 0);
    ck_assert_uint_eq(answer->origins[0].software, number);
    (void)close(asking);
    (void)close(peers->fd);
    free(answer);
    free(peers);
    free(relay);
}
END_TEST

TEST_MAIN("origin-queries", an_answer_counts_for_its_own_question,
          a_host_that_knows_no_origin_returns_the_number)
