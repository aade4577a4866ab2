#include "claim.h"

#include <stdlib.h>
#include <string.h>

/* Drives the shards over a store.  A shard's lock is held while its machine
 * is asked or told; it is let go before the store is called and before an
 * operation is handed back to its owner. */

typedef struct {
    pthread_mutex_t lock;
    claim_shard_t *shard;
    claim_log_t *log;
} slot_t;

struct claim_log {
    store_t *store;
    unsigned count;
    uint64_t writes;
    slot_t *slots;
};

static void slot_pump(slot_t *slot);

/* A log over so many shards; the number must be equal in a deployment. */
claim_log_t *
claim_log_new(store_t *store, unsigned shards)
{
    claim_log_t *log = mem_zalloc(sizeof(*log));
    log->store = store;
    log->count = shards;
    log->slots = mem_zalloc(shards * sizeof(slot_t));
    for (unsigned i = 0; i < shards; i++) {
        (void)pthread_mutex_init(&log->slots[i].lock, NULL);
        log->slots[i].shard = claim_shard_new(i);
        log->slots[i].log = log;
    }
    return log;
}

/* Free the log after its client has ended all exchanges. */
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
slot_deliver(slot_t *slot)
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
on_reply(void *arg, const store_reply_t *reply)
{
    slot_t *slot = arg;
    (void)pthread_mutex_lock(&slot->lock);
    claim_shard_apply_reply(slot->shard, reply, time_mono_ms());
    (void)pthread_mutex_unlock(&slot->lock);
    slot_pump(slot);
}

static void
slot_pump(slot_t *slot)
{
    (void)pthread_mutex_lock(&slot->lock);
    claim_action_t act =
        claim_shard_next_action(slot->shard, time_mono_ms(), time_wall_ms());
    (void)pthread_mutex_unlock(&slot->lock);
    slot_deliver(slot);
    switch (act.kind) {
        case CLAIM_ACTION_NONE:
            return;
        case CLAIM_ACTION_GET:
            store_get(slot->log->store, act.object, on_reply, slot);
            return;
        case CLAIM_ACTION_PUT:
            (void)__atomic_add_fetch(&slot->log->writes, 1, __ATOMIC_RELAXED);
            store_put(slot->log->store, act.object, act.version, act.value,
                      on_reply, slot);
            json_decref(act.value);
            return;
    }
}

/* Hand an operation in; its done function is called once, on any thread,
 * and the operation is freed behind it. */
void
claim_log_submit(claim_log_t *log, claim_op_t *op)
{
    char head[9] = {0};
    memcpy(head, op->key, 8);
    slot_t *slot = &log->slots[strtoul(head, NULL, 16) % log->count];
    (void)pthread_mutex_lock(&slot->lock);
    claim_shard_submit(slot->shard, op);
    (void)pthread_mutex_unlock(&slot->lock);
    slot_pump(slot);
}

/* Move what waits for a time; called every few milliseconds. */
void
claim_log_tick(claim_log_t *log)
{
    for (unsigned i = 0; i < log->count; i++) {
        slot_pump(&log->slots[i]);
    }
}

uint64_t
claim_log_write_count(claim_log_t *log)
{
    return __atomic_load_n(&log->writes, __ATOMIC_RELAXED);
}
