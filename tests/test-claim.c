#include "../kernel/claim.h"
#include "../fakes/history.h"
#include "test.h"

#include <string.h>

/* Several daemons' claim shards against one object store, in virtual time
 * with seeded faults: answers lost after their effect, writes that come
 * late, a store that is down, daemons frozen, killed between claim, send and
 * outcome.  Every run is a history that the checker reads. */

#define DAEMONS 3
#define KEYS 12
#define ATTEMPTS 3
#define STEPS 4000
#define RUNS 1500
#define FLIGHT_MAX 64

/* One exchange with the store that is under way. */
typedef struct {
    bool live;
    int daemon;
    int life; /* the daemon's at the time; an answer to a dead one is lost */
    int64_t effect_at;
    int64_t answer_at;
    bool applied;
    bool lost;
    claim_action_t act;
    store_reply_t reply;
    json_t *value;
} flight_t;

typedef struct {
    claim_shard_t *shard;
    int life;
    int64_t frozen_until;
    bool asking;
} host_t;

typedef struct {
    rng_t rng;
    int64_t now;
    json_t *objects; /* name -> {"version","value"} */
    int64_t version;
    int64_t down_until;
    bool conditional; /* the guard: off shows what it is for */
    host_t hosts[DAEMONS];
    flight_t flights[FLIGHT_MAX];
    json_t *answers; /* key -> outcomes told to callers */
    json_t *effects; /* key -> how often it ran */
    int asked[KEYS];
} world_t;

static void
store_apply(world_t *world, flight_t *flight)
{
    claim_action_t *act = &flight->act;
    json_t *object = json_object_get(world->objects, act->object);
    int64_t have = json_int(object, "version", 0);
    flight->applied = true;
    if (world->now < world->down_until) {
        flight->reply.result = STORE_REFUSED;
        return;
    }
    if (act->kind == CLAIM_ACTION_GET) {
        flight->reply.result = object == NULL ? STORE_ABSENT : STORE_OK;
        flight->reply.version = have;
        flight->value = json_deep_copy(json_object_get(object, "value"));
        return;
    }
    if (world->conditional && act->version != have) {
        flight->reply.result = STORE_CONFLICT;
        return;
    }
    world->version++;
    (void)json_object_set_new(
        world->objects, act->object,
        json_pack("{s:I,s:O}", "version", (json_int_t)world->version, "value",
                  act->value));
    flight->reply.result = STORE_OK;
    flight->reply.version = world->version;
}

static void
told(world_t *world, const char *key, const char *outcome)
{
    json_t *list = json_object_get(world->answers, key);
    (void)json_array_append_new(list, json_string(outcome));
}

/* A won claim is sent, unless the host dies first; then its outcome is
 * recorded, unless the host dies before. */
static void
send_once(world_t *world, int daemon, const claim_op_t *won)
{
    host_t *host = &world->hosts[daemon];
    if (rng_below(&world->rng, 12) == 0) {
        told(world, won->key, "unknown");
        return;
    }
    int64_t count = json_int(world->effects, won->key, 0);
    (void)json_object_set_new(world->effects, won->key,
                              json_integer(count + 1));
    if (rng_below(&world->rng, 12) == 0) {
        told(world, won->key, "unknown");
        return;
    }
    told(world, won->key, "done");
    claim_op_t *record = claim_op_new(CLAIM_OP_DONE, won->key, won->token);
    record->status = 200;
    record->deadline_ms = world->now + 100000;
    record->not_before_ms = world->now + 50;
    claim_shard_submit(host->shard, record);
}

static void
take_ended(world_t *world, int daemon)
{
    claim_op_t *op;
    while ((op = claim_shard_take_completed(world->hosts[daemon].shard)) !=
           NULL) {
        if (op->kind == CLAIM_OP_CLAIM) {
            switch (op->state) {
                case CLAIM_WON:
                    send_once(world, daemon, op);
                    break;
                case CLAIM_DONE:
                    told(world, op->key, "done");
                    break;
                case CLAIM_TAKEN:
                    told(world, op->key, "unknown");
                    break;
                default:
                    told(world, op->key, "not_run");
                    break;
            }
        }
        claim_op_free(op);
    }
}

static void
flight_end(world_t *world, flight_t *flight)
{
    host_t *host = &world->hosts[flight->daemon];
    if (host->life == flight->life) {
        if (flight->lost) {
            flight->reply = (store_reply_t){.result = STORE_LOST};
        }
        flight->reply.value = flight->value;
        claim_shard_apply_reply(host->shard, &flight->reply, world->now);
        host->asking = false;
    }
    json_decref(flight->value);
    json_decref(flight->act.value);
    memset(flight, 0, sizeof(*flight));
}

static void
fly(world_t *world)
{
    for (int i = 0; i < FLIGHT_MAX; i++) {
        flight_t *flight = &world->flights[i];
        if (!flight->live) {
            continue;
        }
        if (!flight->applied && world->now >= flight->effect_at) {
            store_apply(world, flight);
        }
        host_t *host = &world->hosts[flight->daemon];
        bool awake = world->now >= host->frozen_until;
        if (flight->live && world->now >= flight->answer_at && awake &&
            flight->applied) {
            flight_end(world, flight);
        }
        else if (flight->live && world->now >= flight->answer_at && awake &&
                 host->asking && host->life == flight->life) {
            /* The answer is not waited for any longer; the write may come
             * later all the same. */
            store_reply_t lost = {.result = STORE_LOST};
            claim_shard_apply_reply(host->shard, &lost, world->now);
            host->asking = false;
            flight->life = -1;
        }
    }
}

static void
launch(world_t *world, int daemon, claim_action_t act)
{
    for (int i = 0; i < FLIGHT_MAX; i++) {
        flight_t *flight = &world->flights[i];
        if (flight->live) {
            continue;
        }
        uint64_t dice = rng_below(&world->rng, 20);
        int64_t late = dice == 0 ? 300 : 0;
        *flight = (flight_t){.live = true,
                             .daemon = daemon,
                             .life = world->hosts[daemon].life,
                             .act = act,
                             .lost = dice == 1 || dice == 2};
        flight->effect_at = world->now + 1 + late;
        flight->answer_at =
            world->now + 2 + (int64_t)rng_below(&world->rng, 5);
        world->hosts[daemon].asking = true;
        return;
    }
    ck_abort_msg("too many exchanges");
}

static void
restart(world_t *world, int daemon)
{
    host_t *host = &world->hosts[daemon];
    claim_shard_free(host->shard);
    host->shard = claim_shard_new(0);
    host->life++;
    host->asking = false;
}

static void
ask_one(world_t *world)
{
    char key[CLAIM_KEY_LEN + 1];
    char token[CS_ID_LEN + 1];
    int number = (int)rng_below(&world->rng, KEYS);
    int daemon = (int)rng_below(&world->rng, DAEMONS);
    if (world->asked[number] == ATTEMPTS) {
        return;
    }
    world->asked[number]++;
    (void)snprintf(key, sizeof(key), "key-%d", number);
    (void)snprintf(token, sizeof(token), "%016llx",
                   (unsigned long long)rng_next(&world->rng));
    if (json_object_get(world->answers, key) == NULL) {
        (void)json_object_set_new(world->answers, key, json_array());
    }
    claim_op_t *op = claim_op_new(CLAIM_OP_CLAIM, key, token);
    op->deadline_ms = world->now + 20 + (int64_t)rng_below(&world->rng, 80);
    claim_shard_submit(world->hosts[daemon].shard, op);
}

static void
step(world_t *world)
{
    world->now++;
    if (rng_below(&world->rng, 40) == 0) {
        ask_one(world);
    }
    if (rng_below(&world->rng, 600) == 0) {
        restart(world, (int)rng_below(&world->rng, DAEMONS));
    }
    if (rng_below(&world->rng, 400) == 0) {
        int daemon = (int)rng_below(&world->rng, DAEMONS);
        world->hosts[daemon].frozen_until =
            world->now + (int64_t)rng_below(&world->rng, 500);
    }
    if (rng_below(&world->rng, 800) == 0) {
        world->down_until = world->now + (int64_t)rng_below(&world->rng, 200);
    }
    fly(world);
    for (int i = 0; i < DAEMONS; i++) {
        host_t *host = &world->hosts[i];
        if (world->now < host->frozen_until || host->asking) {
            continue;
        }
        claim_action_t act =
            claim_shard_next_action(host->shard, world->now, world->now);
        take_ended(world, i);
        if (act.kind != CLAIM_ACTION_NONE) {
            launch(world, i, act);
        }
    }
}

/* One run; the number of rules that its history breaks. */
static size_t
run_seed(uint64_t seed, bool conditional, buf_t *problems)
{
    world_t *world = mem_zalloc(sizeof(*world));
    world->rng.state = seed;
    world->conditional = conditional;
    world->objects = json_object();
    world->answers = json_object();
    world->effects = json_object();
    for (int i = 0; i < DAEMONS; i++) {
        world->hosts[i].shard = claim_shard_new(0);
    }
    for (int i = 0; i < STEPS; i++) {
        step(world);
    }
    size_t broken =
        history_check_keys(world->answers, world->effects, problems);
    for (int i = 0; i < DAEMONS; i++) {
        claim_shard_free(world->hosts[i].shard);
    }
    for (int i = 0; i < FLIGHT_MAX; i++) {
        json_decref(world->flights[i].value);
        json_decref(world->flights[i].act.value);
    }
    json_decref(world->objects);
    json_decref(world->answers);
    json_decref(world->effects);
    free(world);
    return broken;
}

static uint64_t
first_seed(void)
{
    const char *text = getenv("SEED");
    return text == NULL ? 1 : strtoull(text, NULL, 10);
}

/* A reader is struck twice for one comment.  Two hosts claim the same key,
 * answers of the store get lost, a claim's write arrives late, a host is
 * frozen or dies between claim, send and outcome.  The conditional update of
 * the head must let one token through and no other. */
START_TEST(no_history_has_a_second_effect)
{
    uint64_t from = first_seed();
    uint64_t to = getenv("SEED") == NULL ? from + RUNS : from + 1;
    for (uint64_t seed = from; seed < to; seed++) {
        CLEAN_BUF buf_t problems = {0};
        size_t broken = run_seed(seed, true, &problems);
        ck_assert_msg(broken == 0, "SEED=%llu build/tests/test-claim: %s",
                      (unsigned long long)seed, buf_text(&problems));
    }
}
END_TEST

/* The same without the guard: a store that ignores versions must show
 * second effects, or the runs would prove nothing. */
START_TEST(without_conditional_updates_the_checker_finds_second_effects)
{
    size_t broken = 0;
    for (uint64_t seed = 1; seed < 200; seed++) {
        CLEAN_BUF buf_t problems = {0};
        broken += run_seed(seed, false, &problems) > 0;
    }
    ck_assert_uint_gt(broken, 20);
}
END_TEST

/* Serve a shard from a store without faults until it wants nothing. */
static void
settle(claim_shard_t *shard, world_t *world)
{
    for (int i = 0; i < 2000; i++) {
        world->now += 60;
        claim_action_t act =
            claim_shard_next_action(shard, world->now, world->now);
        if (act.kind == CLAIM_ACTION_NONE) {
            return;
        }
        flight_t flight = {.act = act};
        store_apply(world, &flight);
        flight.reply.value = flight.value;
        claim_shard_apply_reply(shard, &flight.reply, world->now);
        json_decref(flight.value);
        json_decref(act.value);
    }
    ck_abort_msg("the shard does not settle");
}

static claim_state_t
claim_now(claim_shard_t *shard, world_t *world, const char *key,
          const char *token)
{
    claim_op_t *op = claim_op_new(CLAIM_OP_CLAIM, key, token);
    op->deadline_ms = world->now + 1000000;
    claim_shard_submit(shard, op);
    settle(shard, world);
    claim_op_t *ended = claim_shard_take_completed(shard);
    ck_assert_ptr_eq(ended, op);
    claim_state_t state = ended->state;
    claim_op_free(ended);
    return state;
}

/* A sale is made again the day after.  The log's head is full, is sealed and
 * rolled, and the host that is asked next has never read the old chunk.  It
 * must read every chunk that the head names before it decides. */
START_TEST(claims_in_sealed_chunks_are_still_seen)
{
    world_t world = {.conditional = true, .objects = json_object()};
    claim_shard_t *shard = claim_shard_new(0);
    for (int i = 0; i < CLAIM_CHUNK_ENTRIES * 2 + 10; i++) {
        char key[32];
        (void)snprintf(key, sizeof(key), "k%d", i);
        ck_assert_int_eq(claim_now(shard, &world, key, "mine"), CLAIM_WON);
    }
    claim_shard_t *fresh = claim_shard_new(0);
    ck_assert_int_eq(claim_now(fresh, &world, "k3", "other"), CLAIM_TAKEN);
    ck_assert_int_eq(claim_now(fresh, &world, "k300", "other"), CLAIM_TAKEN);
    ck_assert_int_eq(claim_now(fresh, &world, "new", "other"), CLAIM_WON);
    ck_assert_uint_ge(json_object_size(world.objects), 3);
    claim_shard_free(shard);
    claim_shard_free(fresh);
    json_decref(world.objects);
}
END_TEST

/* Callers wait while the store is down.  The head cannot be read, so no
 * claim can be won.  Each is refused at the first answer, not at its
 * deadline. */
START_TEST(a_store_that_is_down_refuses_at_once)
{
    claim_shard_t *shard = claim_shard_new(0);
    claim_op_t *op = claim_op_new(CLAIM_OP_CLAIM, "k", "t");
    store_reply_t refused = {.result = STORE_REFUSED};
    op->deadline_ms = 100000;
    claim_shard_submit(shard, op);
    claim_action_t act = claim_shard_next_action(shard, 10, 10);
    ck_assert_int_eq(act.kind, CLAIM_ACTION_GET);
    claim_shard_apply_reply(shard, &refused, 12);
    claim_op_t *ended = claim_shard_take_completed(shard);
    ck_assert_ptr_eq(ended, op);
    ck_assert_int_eq(ended->state, CLAIM_UNAVAILABLE);
    claim_op_free(ended);
    claim_shard_free(shard);
}
END_TEST

TEST_MAIN("claim", no_history_has_a_second_effect,
          without_conditional_updates_the_checker_finds_second_effects,
          claims_in_sealed_chunks_are_still_seen,
          a_store_that_is_down_refuses_at_once)
