#include "../relay/peers-internal.h"
#include "../relay/request.h"
#include "test.h"

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

TEST_MAIN("origin-queries", an_answer_counts_for_its_own_question)
