#include "../fakes/fakes.h"
#include "../kernel/tables.h"
#include "../relay/cached-parts.h"
#include "../relay/servers.h"
#include "test.h"

#include <math.h>

#define BLOCK_TOKENS 16u

static cached_part_t
part(uint64_t key, uint32_t tokens)
{
    return (cached_part_t){
        .key = key, .prompt_tokens = tokens, .tokens = tokens};
}

static void
use(cached_parts_t *held, uint64_t key, uint32_t tokens)
{
    const cached_part_t used = part(key, tokens);
    cached_parts_use(held, &used);
}

/* Callers wait for prompts to be read again though the router placed them
 * where it believed them held: the engine had little memory and had dropped
 * what it used least recently, and the router believed by age alone. */
START_TEST(what_was_used_least_recently_is_gone_first)
{
    cached_parts_t *held = cached_parts_new();
    cached_parts_room(held, 1000);
    use(held, 1, 400);
    use(held, 2, 400);
    use(held, 1, 400);
    cached_parts_fill(held, 599);
    ck_assert(cached_parts_has(held, 1));
    ck_assert(cached_parts_has(held, 2));
    cached_parts_fill(held, 2);
    ck_assert(cached_parts_has(held, 1));
    ck_assert(!cached_parts_has(held, 2));
    cached_parts_fill(held, 100000);
    ck_assert(!cached_parts_has(held, 1));
    use(held, 3, 10);
    cached_parts_forget(held);
    ck_assert(!cached_parts_has(held, 3));
    cached_parts_free(held);
}
END_TEST

/* A configuration without a size, or with one that makes no sense, must not
 * make the list useless; one that shrinks the cache drops at once. */
START_TEST(a_size_that_says_nothing_is_left_out)
{
    cached_parts_t *held = cached_parts_new();
    use(held, 1, 400);
    cached_parts_room(held, 0);
    cached_parts_room(held, -7);
    ck_assert(cached_parts_has(held, 1));
    cached_parts_room(held, 500);
    use(held, 2, 300);
    use(held, 3, 300);
    ck_assert(!cached_parts_has(held, 1));
    for (uint64_t key = 100; key < 100000; key++) {
        use(held, key, 0);
    }
    cached_part_t *all = mem_zalloc(100000 * sizeof(*all));
    ck_assert_uint_le(cached_parts_list(held, all, 100000), 20000);
    ck_assert_uint_eq(all[0].key, 99999);
    free(all);
    cached_parts_free(held);
}
END_TEST

/* Another host's requests push parts out too: it tells how much they brought
 * in, as a count that only grows and wraps.  A host that is heard of for the
 * first time says nothing of what has changed, and one that starts anew counts
 * from nothing: its count goes back, which must not look like 4 billion. */
START_TEST(what_other_hosts_send_pushes_out_too)
{
    servers_t *servers = servers_new();
    server_entry_t entry = {.id = "a", .service = "s", .addr = "127.0.0.1:1"};
    server_t *server = servers_put(servers, &entry);
    cached_parts_room(server->held, 1000);
    use(server->held, 1, 500);
    other_load_t report = {
        .host = 9, .received_ms = 1, .filled = UINT32_MAX - 10};
    server_peer_load(server, &report);
    ck_assert(cached_parts_has(server->held, 1));
    report.filled += 400;
    server_peer_load(server, &report);
    ck_assert(cached_parts_has(server->held, 1));
    report.filled += 700;
    server_peer_load(server, &report);
    ck_assert(!cached_parts_has(server->held, 1));
    use(server->held, 2, 500);
    report.filled = 5;
    server_peer_load(server, &report);
    ck_assert(cached_parts_has(server->held, 2));
    servers_free(servers);
}
END_TEST

/* ---- against an engine that drops block by block ---- */

#define PARTS 60u
#define PART_BLOCKS 200u
#define ENGINE_BLOCKS 6000u

/* Whether an engine has all of a part. */
static bool
engine_holds(const engine_cache_t *engine, uint64_t key, uint64_t blocks)
{
    for (uint64_t i = 0; i < blocks; i++) {
        if (!engine_cache_contains(engine, key * 1000000 + i)) {
            return false;
        }
    }
    return true;
}

/* Reads a part; the last blocks are the first to be dropped. */
static void
engine_read(engine_cache_t *engine, uint64_t key, uint64_t blocks)
{
    for (uint64_t i = blocks; i > 0; i--) {
        engine_cache_store(engine, key * 1000000 + i - 1);
    }
}

/* Seeded histories of one engine: a fifth of the filling is heard of late.
 * What is believed at each use is right in 95 of 100 cases. */
START_TEST(beliefs_follow_an_engine)
{
    unsigned right = 0;
    unsigned asked = 0;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        rng_t rng = {.state = seed};
        engine_cache_t *engine = engine_cache_new(ENGINE_BLOCKS);
        cached_parts_t *held = cached_parts_new();
        uint32_t late = 0;
        uint64_t own = 1000;
        cached_parts_room(held, (int64_t)ENGINE_BLOCKS * BLOCK_TOKENS);
        for (unsigned i = 0; i < 600; i++) {
            uint64_t key = rng_next(&rng) % PARTS;
            uint64_t blocks = rng_next(&rng) % 300;
            bool believed = cached_parts_has(held, key);
            right +=
                believed == engine_holds(engine, key, PART_BLOCKS) ? 1 : 0;
            asked++;
            engine_read(engine, key, PART_BLOCKS);
            engine_read(engine, own++, blocks);
            use(held, key, PART_BLOCKS * BLOCK_TOKENS);
            late += (uint32_t)blocks * BLOCK_TOKENS;
            if (rng_next(&rng) % 5 != 0) {
                cached_parts_fill(held, late);
                late = 0;
            }
        }
        cached_parts_free(held);
        engine_cache_free(engine);
    }
    ck_assert_uint_ge(right * 100, asked * 95);
}
END_TEST

/* ---- what callers get ---- */

#define SERVERS 6u
#define FAMILIES 60u
#define FAMILY_BLOCKS 240u
#define OWN_BLOCKS 180u
#define SMALL_BLOCKS 2400u
#define PER_SECOND 20.0
#define PLAYED 2400u
#define READ_TOKENS_PER_S 48000.0
#define WAIT_MEAN_MS 40.0
/* Belief by age: what was noted in this time is taken for held. */
#define AGE_S 6.0

typedef struct {
    engine_cache_t *engine;
    cached_parts_t *held;
    double noted_s[FAMILIES];
} play_server_t;

static double
uniform(rng_t *rng)
{
    return (double)(rng_next(rng) % 1000000 + 1) / 1000001.0;
}

/* How what a server holds is known. */
typedef enum { BELIEF_AGE, BELIEF_USE, BELIEF_ORACLE } belief_t;

/* Blocks of shared parts that a server still has, counted from the first. */
static uint64_t
blocks_kept(play_server_t *server, uint64_t family)
{
    uint64_t i = 0;
    while (i < FAMILY_BLOCKS &&
           engine_cache_lookup(server->engine, family * 1000000 + i)) {
        i++;
    }
    return i;
}

static bool
believes(const play_server_t *server, uint64_t family, double now,
         belief_t belief)
{
    switch (belief) {
        case BELIEF_AGE:
            return now - server->noted_s[family] < AGE_S;
        case BELIEF_USE:
            return cached_parts_has(server->held, family);
        case BELIEF_ORACLE:
            return engine_holds(server->engine, family, FAMILY_BLOCKS);
    }
    return false;
}

/* Prompts of many families come to servers with room for a few seconds' worth
 * of them, whose queues differ from moment to moment; each goes where the
 * placement policy wants it.  The tokens of shared parts that are read. */
static double
play(uint64_t seed, belief_t belief)
{
    rng_t rng = {.state = seed};
    play_server_t servers[SERVERS] = {0};
    double read = 0;
    uint64_t own = 1000;
    for (unsigned i = 0; i < SERVERS; i++) {
        servers[i].engine = engine_cache_new(SMALL_BLOCKS);
        servers[i].held = cached_parts_new();
        cached_parts_room(servers[i].held,
                          (int64_t)SMALL_BLOCKS * BLOCK_TOKENS);
        for (unsigned f = 0; f < FAMILIES; f++) {
            servers[i].noted_s[f] = -AGE_S;
        }
    }
    for (unsigned n = 0; n < PLAYED; n++) {
        double now = n / PER_SECOND;
        uint64_t family = rng_next(&rng) % FAMILIES;
        candidate_t all[SERVERS] = {0};
        prefix_t shared = {.tokens = FAMILY_BLOCKS * BLOCK_TOKENS};
        for (unsigned i = 0; i < SERVERS; i++) {
            bool believed = believes(&servers[i], family, now, belief);
            all[i].id = (uint16_t)i;
            all[i].wait_ms = -WAIT_MEAN_MS * log(uniform(&rng));
            all[i].rate = READ_TOKENS_PER_S;
            all[i].cached = believed ? shared.tokens : 0;
            all[i].rank = place_weight(family, i % 2 == 0 ? "a" : "b") + i;
            all[i].same_dc = true;
        }
        place_ask_t ask = {.prefix = &shared, .objective = OBJECTIVE_TAIL};
        size_t best = policy_find("cost")->choose(all, SERVERS, &ask);
        play_server_t *server = &servers[best];
        read += (double)(FAMILY_BLOCKS - blocks_kept(server, family)) *
                BLOCK_TOKENS;
        engine_read(server->engine, family, FAMILY_BLOCKS);
        engine_read(server->engine, own++, OWN_BLOCKS);
        use(server->held, family, FAMILY_BLOCKS * BLOCK_TOKENS);
        cached_parts_fill(server->held, OWN_BLOCKS * BLOCK_TOKENS);
        server->noted_s[family] = now;
    }
    for (unsigned i = 0; i < SERVERS; i++) {
        engine_cache_free(servers[i].engine);
        cached_parts_free(servers[i].held);
    }
    return read;
}

/* The load: a customer whose engines have room for about three seconds of
 * their prompts.  Callers wait for every token that is read again.  Of what
 * belief by age has read beyond a router that sees into every cache, at most
 * a third may be left. */
START_TEST(less_is_read_again_where_memory_is_short)
{
    double read[3] = {0};
    for (uint64_t seed = 1; seed <= 5; seed++) {
        for (belief_t belief = BELIEF_AGE; belief <= BELIEF_ORACLE; belief++) {
            read[belief] += play(seed, belief);
        }
    }
    printf("shared tokens read: by age %.0f, by use %.0f, seen %.0f\n",
           read[BELIEF_AGE], read[BELIEF_USE], read[BELIEF_ORACLE]);
    ck_assert(read[BELIEF_USE] - read[BELIEF_ORACLE] <=
              (read[BELIEF_AGE] - read[BELIEF_ORACLE]) / 3);
}
END_TEST

TEST_MAIN("cached-parts", what_was_used_least_recently_is_gone_first,
          a_size_that_says_nothing_is_left_out,
          what_other_hosts_send_pushes_out_too, beliefs_follow_an_engine,
          less_is_read_again_where_memory_is_short)
