#include "../kernel/claim.h"
#include "../fakes/history.h"
#include "test.h"

#include <string.h>

/* The claim shards of several daemons against one object store, in virtual
 * time with seeded faults: replies lost after the write took effect, delayed
 * writes, a store that is down, daemons that freeze, or are killed between
 * claim, send and outcome.  The checker verifies the history of each run. */

#define DAEMONS 3
#define KEYS 12
#define ATTEMPTS_MAX 3
#define STEPS 4000
#define RUNS 1500
#define EXCHANGES_MAX 64

/* An exchange with the store in flight. */
typedef struct {
    bool live;
    int daemon;
    int incarnation; /* of the sending daemon; -1 after its timeout */
    int64_t effect_ms;
    int64_t answer_ms;
    bool applied;
    bool lost;
    claim_action_t action;
    store_reply_t reply;
    json_t *value;
} exchange_t;

typedef struct {
    claim_shard_t *shard;
    int incarnation;
    int64_t frozen_until_ms;
    bool awaiting_reply;
} sim_host_t;

typedef struct {
    rng_t rng;
    int64_t now_ms;
    json_t *objects; /* name -> {"version","value"} */
    int64_t version;
    int64_t down_until_ms;
    bool conditional; /* false: the store ignores expected versions */
    sim_host_t hosts[DAEMONS];
    exchange_t exchanges[EXCHANGES_MAX];
    json_t *answers;    /* key -> outcomes reported to callers */
    json_t *run_counts; /* key -> how often it ran */
    int attempt_counts[KEYS];
} sim_t;

static void
store_apply(sim_t *sim, exchange_t *exchange)
{
    claim_action_t *action = &exchange->action;
    json_t *object = json_object_get(sim->objects, action->object);
    int64_t current_version = json_get_int(object, "version", 0);
    exchange->applied = true;
    if (sim->now_ms < sim->down_until_ms) {
        exchange->reply.result = STORE_REFUSED;
        return;
    }
    if (action->kind == CLAIM_ACTION_GET) {
        exchange->reply.result = object == NULL ? STORE_ABSENT : STORE_OK;
        exchange->reply.version = current_version;
        exchange->value = json_deep_copy(json_object_get(object, "value"));
        return;
    }
    if (sim->conditional && action->version != current_version) {
        exchange->reply.result = STORE_CONFLICT;
        return;
    }
    sim->version++;
    (void)json_object_set_new(
        sim->objects, action->object,
        json_pack("{s:I,s:O}", "version", (json_int_t)sim->version, "value",
                  action->value));
    exchange->reply.result = STORE_OK;
    exchange->reply.version = sim->version;
}

static void
record_outcome(sim_t *sim, const char *key, const char *outcome)
{
    json_t *list = json_object_get(sim->answers, key);
    (void)json_array_append_new(list, json_string(outcome));
}

/* Sends a won claim, unless the host dies first, and then records its outcome,
 * unless the host dies before that. */
static void
send_claimed(sim_t *sim, int daemon, const claim_op_t *won)
{
    sim_host_t *host = &sim->hosts[daemon];
    if (rng_below(&sim->rng, 12) == 0) {
        record_outcome(sim, won->key, "unknown");
        return;
    }
    int64_t count = json_get_int(sim->run_counts, won->key, 0);
    (void)json_object_set_new(sim->run_counts, won->key,
                              json_integer(count + 1));
    if (rng_below(&sim->rng, 12) == 0) {
        record_outcome(sim, won->key, "unknown");
        return;
    }
    record_outcome(sim, won->key, "done");
    claim_op_t *record = claim_op_new(CLAIM_OP_DONE, won->key, won->token);
    record->status = 200;
    record->deadline_ms = sim->now_ms + 100000;
    record->not_before_ms = sim->now_ms + 50;
    claim_shard_submit(host->shard, record);
}

static void
handle_completed(sim_t *sim, int daemon)
{
    claim_op_t *op;
    while ((op = claim_shard_take_completed(sim->hosts[daemon].shard)) !=
           NULL) {
        if (op->kind == CLAIM_OP_CLAIM) {
            switch (op->state) {
                case CLAIM_WON:
                    send_claimed(sim, daemon, op);
                    break;
                case CLAIM_DONE:
                    record_outcome(sim, op->key, "done");
                    break;
                case CLAIM_TAKEN:
                    record_outcome(sim, op->key, "unknown");
                    break;
                default:
                    record_outcome(sim, op->key, "not_run");
                    break;
            }
        }
        claim_op_free(op);
    }
}

static void
exchange_end(sim_t *sim, exchange_t *exchange)
{
    sim_host_t *host = &sim->hosts[exchange->daemon];
    if (host->incarnation == exchange->incarnation) {
        if (exchange->lost) {
            exchange->reply = (store_reply_t){.result = STORE_UNKNOWN};
        }
        exchange->reply.value = exchange->value;
        claim_shard_apply_reply(host->shard, &exchange->reply, sim->now_ms);
        host->awaiting_reply = false;
    }
    json_decref(exchange->value);
    json_decref(exchange->action.value);
    memset(exchange, 0, sizeof(*exchange));
}

static void
advance_exchanges(sim_t *sim)
{
    for (int i = 0; i < EXCHANGES_MAX; i++) {
        exchange_t *exchange = &sim->exchanges[i];
        if (!exchange->live) {
            continue;
        }
        if (!exchange->applied && sim->now_ms >= exchange->effect_ms) {
            store_apply(sim, exchange);
        }
        sim_host_t *host = &sim->hosts[exchange->daemon];
        bool is_awake = sim->now_ms >= host->frozen_until_ms;
        if (exchange->live && sim->now_ms >= exchange->answer_ms && is_awake &&
            exchange->applied) {
            exchange_end(sim, exchange);
        }
        else if (exchange->live && sim->now_ms >= exchange->answer_ms &&
                 is_awake && host->awaiting_reply &&
                 host->incarnation == exchange->incarnation) {
            /* The daemon times out; the write may still take effect later.
             */
            store_reply_t lost = {.result = STORE_UNKNOWN};
            claim_shard_apply_reply(host->shard, &lost, sim->now_ms);
            host->awaiting_reply = false;
            exchange->incarnation = -1;
        }
    }
}

static void
start_exchange(sim_t *sim, int daemon, claim_action_t action)
{
    for (int i = 0; i < EXCHANGES_MAX; i++) {
        exchange_t *exchange = &sim->exchanges[i];
        if (exchange->live) {
            continue;
        }
        uint64_t draw = rng_below(&sim->rng, 20);
        int64_t delay_ms = draw == 0 ? 300 : 0;
        *exchange = (exchange_t){.live = true,
                                 .daemon = daemon,
                                 .incarnation = sim->hosts[daemon].incarnation,
                                 .action = action,
                                 .lost = draw == 1 || draw == 2};
        exchange->effect_ms = sim->now_ms + 1 + delay_ms;
        exchange->answer_ms =
            sim->now_ms + 2 + (int64_t)rng_below(&sim->rng, 5);
        sim->hosts[daemon].awaiting_reply = true;
        return;
    }
    ck_abort_msg("too many exchanges");
}

static void
restart(sim_t *sim, int daemon)
{
    sim_host_t *host = &sim->hosts[daemon];
    claim_shard_free(host->shard);
    host->shard = claim_shard_new(0);
    host->incarnation++;
    host->awaiting_reply = false;
}

static void
submit_claim(sim_t *sim)
{
    char key[CLAIM_KEY_LEN + 1];
    char token[CS_ID_LEN + 1];
    int number = (int)rng_below(&sim->rng, KEYS);
    int daemon = (int)rng_below(&sim->rng, DAEMONS);
    if (sim->attempt_counts[number] == ATTEMPTS_MAX) {
        return;
    }
    sim->attempt_counts[number]++;
    (void)snprintf(key, sizeof(key), "key-%d", number);
    (void)snprintf(token, sizeof(token), "%016llx",
                   (unsigned long long)rng_next(&sim->rng));
    if (json_object_get(sim->answers, key) == NULL) {
        (void)json_object_set_new(sim->answers, key, json_array());
    }
    claim_op_t *op = claim_op_new(CLAIM_OP_CLAIM, key, token);
    op->deadline_ms = sim->now_ms + 20 + (int64_t)rng_below(&sim->rng, 80);
    claim_shard_submit(sim->hosts[daemon].shard, op);
}

static void
step(sim_t *sim)
{
    sim->now_ms++;
    if (rng_below(&sim->rng, 40) == 0) {
        submit_claim(sim);
    }
    if (rng_below(&sim->rng, 600) == 0) {
        restart(sim, (int)rng_below(&sim->rng, DAEMONS));
    }
    if (rng_below(&sim->rng, 400) == 0) {
        int daemon = (int)rng_below(&sim->rng, DAEMONS);
        sim->hosts[daemon].frozen_until_ms =
            sim->now_ms + (int64_t)rng_below(&sim->rng, 500);
    }
    if (rng_below(&sim->rng, 800) == 0) {
        sim->down_until_ms = sim->now_ms + (int64_t)rng_below(&sim->rng, 200);
    }
    advance_exchanges(sim);
    for (int i = 0; i < DAEMONS; i++) {
        sim_host_t *host = &sim->hosts[i];
        if (sim->now_ms < host->frozen_until_ms || host->awaiting_reply) {
            continue;
        }
        claim_action_t action =
            claim_shard_next_action(host->shard, sim->now_ms, sim->now_ms);
        handle_completed(sim, i);
        if (action.kind != CLAIM_ACTION_NONE) {
            start_exchange(sim, i, action);
        }
    }
}

/* Runs one seed; returns the number of rules that its history violates. */
static size_t
run_seed(uint64_t seed, bool conditional, buf_t *problems)
{
    sim_t *sim = mem_zalloc(sizeof(*sim));
    sim->rng.state = seed;
    sim->conditional = conditional;
    sim->objects = json_object();
    sim->answers = json_object();
    sim->run_counts = json_object();
    for (int i = 0; i < DAEMONS; i++) {
        sim->hosts[i].shard = claim_shard_new(0);
    }
    for (int i = 0; i < STEPS; i++) {
        step(sim);
    }
    size_t violations =
        history_check_keys(sim->answers, sim->run_counts, problems);
    for (int i = 0; i < DAEMONS; i++) {
        claim_shard_free(sim->hosts[i].shard);
    }
    for (int i = 0; i < EXCHANGES_MAX; i++) {
        json_decref(sim->exchanges[i].value);
        json_decref(sim->exchanges[i].action.value);
    }
    json_decref(sim->objects);
    json_decref(sim->answers);
    json_decref(sim->run_counts);
    free(sim);
    return violations;
}

static uint64_t
seed_from_env(void)
{
    const char *text = getenv("SEED");
    return text == NULL ? 1 : strtoull(text, NULL, 10);
}

/* Guards against a call that runs twice for one key.  Hosts claim the same
 * key while replies of the store are lost, a claim's write is delayed, and
 * hosts freeze or die between claim, send and outcome.  The conditional update
 * of the head must let only one token win. */
START_TEST(a_key_never_runs_twice)
{
    uint64_t from = seed_from_env();
    uint64_t to = getenv("SEED") == NULL ? from + RUNS : from + 1;
    for (uint64_t seed = from; seed < to; seed++) {
        CLEAN_BUF buf_t problems = {0};
        size_t violations = run_seed(seed, true, &problems);
        ck_assert_msg(violations == 0, "SEED=%llu build/tests/test-claim: %s",
                      (unsigned long long)seed, buf_text(&problems));
    }
}
END_TEST

/* The same with a store that ignores expected versions: the checker must find
 * second runs, or the test above would prove nothing. */
START_TEST(without_conditional_updates_the_checker_finds_second_runs)
{
    size_t violations = 0;
    for (uint64_t seed = 1; seed < 200; seed++) {
        CLEAN_BUF buf_t problems = {0};
        violations += run_seed(seed, false, &problems) > 0;
    }
    ck_assert_uint_gt(violations, 20);
}
END_TEST

/* Serves a shard from a store without faults until it has no more actions. */
static void
run_until_idle(claim_shard_t *shard, sim_t *sim)
{
    for (int i = 0; i < 2000; i++) {
        sim->now_ms += 60;
        claim_action_t action =
            claim_shard_next_action(shard, sim->now_ms, sim->now_ms);
        if (action.kind == CLAIM_ACTION_NONE) {
            return;
        }
        exchange_t exchange = {.action = action};
        store_apply(sim, &exchange);
        exchange.reply.value = exchange.value;
        claim_shard_apply_reply(shard, &exchange.reply, sim->now_ms);
        json_decref(exchange.value);
        json_decref(action.value);
    }
    ck_abort_msg("the shard does not settle");
}

static claim_state_t
claim_and_settle(claim_shard_t *shard, sim_t *sim, const char *key,
                 const char *token)
{
    claim_op_t *op = claim_op_new(CLAIM_OP_CLAIM, key, token);
    op->deadline_ms = sim->now_ms + 1000000;
    claim_shard_submit(shard, op);
    run_until_idle(shard, sim);
    claim_op_t *ended = claim_shard_take_completed(shard);
    ck_assert_ptr_eq(ended, op);
    claim_state_t state = ended->state;
    claim_op_free(ended);
    return state;
}

/* Guards against a second run of a key whose claim is in a sealed chunk.  A
 * host that starts later has not read the chunks yet: it must read every chunk
 * that the head names before it decides. */
START_TEST(claims_in_sealed_chunks_are_found)
{
    sim_t sim = {.conditional = true, .objects = json_object()};
    claim_shard_t *shard = claim_shard_new(0);
    for (int i = 0; i < CLAIM_CHUNK_ENTRIES * 2 + 10; i++) {
        char key[32];
        (void)snprintf(key, sizeof(key), "k%d", i);
        ck_assert_int_eq(claim_and_settle(shard, &sim, key, "mine"),
                         CLAIM_WON);
    }
    claim_shard_t *fresh = claim_shard_new(0);
    ck_assert_int_eq(claim_and_settle(fresh, &sim, "k3", "other"),
                     CLAIM_TAKEN);
    ck_assert_int_eq(claim_and_settle(fresh, &sim, "k300", "other"),
                     CLAIM_TAKEN);
    ck_assert_int_eq(claim_and_settle(fresh, &sim, "new", "other"), CLAIM_WON);
    ck_assert_uint_ge(json_object_size(sim.objects), 3);
    claim_shard_free(shard);
    claim_shard_free(fresh);
    json_decref(sim.objects);
}
END_TEST

/* Guards against callers that wait for their whole deadline while the store is
 * down.  The head cannot be read, so no claim can be won; each must fail at
 * the first rejected read. */
START_TEST(claims_fail_at_once_while_the_store_is_down)
{
    claim_shard_t *shard = claim_shard_new(0);
    claim_op_t *op = claim_op_new(CLAIM_OP_CLAIM, "k", "t");
    store_reply_t refused = {.result = STORE_REFUSED};
    op->deadline_ms = 100000;
    claim_shard_submit(shard, op);
    claim_action_t action = claim_shard_next_action(shard, 10, 10);
    ck_assert_int_eq(action.kind, CLAIM_ACTION_GET);
    claim_shard_apply_reply(shard, &refused, 12);
    claim_op_t *ended = claim_shard_take_completed(shard);
    ck_assert_ptr_eq(ended, op);
    ck_assert_int_eq(ended->state, CLAIM_UNAVAILABLE);
    claim_op_free(ended);
    claim_shard_free(shard);
}
END_TEST

TEST_MAIN("claim", a_key_never_runs_twice,
          without_conditional_updates_the_checker_finds_second_runs,
          claims_in_sealed_chunks_are_found,
          claims_fail_at_once_while_the_store_is_down)
