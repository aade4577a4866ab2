#include "claim.h"

#include <stdlib.h>
#include <string.h>

/* Runs the shards against a store.  A shard's lock is held while its state
 * machine is called, and released before the store is called and before an
 * operation is passed back to its owner. */

typedef struct {
    pthread_mutex_t lock;
    claim_shard_t *shard;
    claim_log_t *log;
} shard_slot_t;

struct claim_log {
    store_t *store;
    unsigned count;
    uint64_t writes;
    shard_slot_t *slots;
};

static void slot_advance(shard_slot_t *slot);

/* Creates a log; all hosts must use the same number of shards. */
claim_log_t *
claim_log_new(store_t *store, unsigned shards)
{
    claim_log_t *log = mem_zalloc(sizeof(*log));
    log->store = store;
    log->count = shards;
    log->slots = mem_zalloc(shards * sizeof(shard_slot_t));
    for (unsigned i = 0; i < shards; i++) {
        (void)pthread_mutex_init(&log->slots[i].lock, NULL);
        log->slots[i].shard = claim_shard_new(i);
        log->slots[i].log = log;
    }
    return log;
}

/* Frees the log; the store's HTTP client must have ended all exchanges. */
void
claim_log_free(claim_log_t *log)
{
    for (unsigned i = 0; i < log->count; i++) {
        claim_shard_free(log->slots[i].shard);
        (void)pthread_mutex_destroy(&log->slots[i].lock);
    }
    free(log->slots);
    free(log);
}

static void
slot_deliver_completed(shard_slot_t *slot)
{
    for (;;) {
        (void)pthread_mutex_lock(&slot->lock);
        claim_op_t *op = claim_shard_take_completed(slot->shard);
        (void)pthread_mutex_unlock(&slot->lock);
        if (op == NULL) {
            return;
        }
        if (op->on_done != NULL) {
            op->on_done(op, op->arg);
        }
        claim_op_free(op);
    }
}

static void
on_store_reply(void *arg, const store_reply_t *reply)
{
    shard_slot_t *slot = arg;
    (void)pthread_mutex_lock(&slot->lock);
    claim_shard_apply_reply(slot->shard, reply, time_mono_ms());
    (void)pthread_mutex_unlock(&slot->lock);
    slot_advance(slot);
}

static void
slot_advance(shard_slot_t *slot)
{
    (void)pthread_mutex_lock(&slot->lock);
    claim_action_t action =
        claim_shard_next_action(slot->shard, time_mono_ms(), time_wall_ms());
    (void)pthread_mutex_unlock(&slot->lock);
    slot_deliver_completed(slot);
    switch (action.kind) {
        case CLAIM_ACTION_NONE:
            return;
        case CLAIM_ACTION_GET:
            store_get(slot->log->store, action.object, on_store_reply, slot);
            return;
        case CLAIM_ACTION_PUT:
            (void)__atomic_add_fetch(&slot->log->writes, 1, __ATOMIC_RELAXED);
            store_put(slot->log->store, action.object, action.version,
                      action.value, on_store_reply, slot);
            json_decref(action.value);
            return;
    }
}

/* Submits an operation.  Its on_done function is called once, on any thread,
 * and the operation is freed after that. */
void
claim_log_submit(claim_log_t *log, claim_op_t *op)
{
    char key_prefix[9] = {0};
    memcpy(key_prefix, op->key, 8);
    shard_slot_t *slot =
        &log->slots[strtoul(key_prefix, NULL, 16) % log->count];
    (void)pthread_mutex_lock(&slot->lock);
    claim_shard_submit(slot->shard, op);
    (void)pthread_mutex_unlock(&slot->lock);
    slot_advance(slot);
}

/* Advances all shards past delays and deadlines; called every few
 * milliseconds. */
void
claim_log_tick(claim_log_t *log)
{
    for (unsigned i = 0; i < log->count; i++) {
        slot_advance(&log->slots[i]);
    }
}

uint64_t
claim_log_write_count(claim_log_t *log)
{
    return __atomic_load_n(&log->writes, __ATOMIC_RELAXED);
}
