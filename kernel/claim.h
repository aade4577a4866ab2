#ifndef CELERYSPOOL_CLAIM_H
#define CELERYSPOOL_CLAIM_H

/* The claim log: decides which host may send a call that must run at most
 * once.  A shard of the log is one object in the platform's store, its head,
 * to which entries are appended by conditional update.  The entries of a full
 * head are copied to a sealed chunk, an object that never changes.  The state
 * machine of a shard does no I/O. */

#include "store.h"

#include <ck_queue.h>

#define CLAIM_KEY_LEN 32
#define CLAIM_CHUNK_ENTRIES 256 /* a head with this many is sealed */
#define CLAIM_BODY_MAX 1024     /* bytes of a response kept for repeats */
#define CLAIM_RETENTION_MS (24LL * 3600 * 1000)
#define CLAIM_RECORD_DELAY_MS 50 /* so that outcomes share one write */
#define CLAIM_RETRY_MS 200 /* for outcomes, while the store is unavailable */

typedef enum {
    CLAIM_OP_CLAIM,
    CLAIM_OP_DONE,
    CLAIM_OP_NOT_RUN
} claim_op_kind_t;

typedef enum {
    CLAIM_PENDING,
    CLAIM_WON,         /* this token alone may send */
    CLAIM_TAKEN,       /* claimed by another token, outcome unknown */
    CLAIM_DONE,        /* it ran; status and body are its response */
    CLAIM_UNAVAILABLE, /* timeout or no store; nothing may be sent */
    CLAIM_RECORDED     /* the outcome is in the log, or need not be */
} claim_state_t;

typedef struct claim_op {
    CK_STAILQ_ENTRY(claim_op) entry;
    claim_op_kind_t kind;
    char key[CLAIM_KEY_LEN + 1];
    char token[CS_ID_LEN + 1];
    int status; /* of the response; input of CLAIM_OP_DONE, result of a claim
                   that ends as CLAIM_DONE */
    char *body; /* of the response; NULL if not kept; owned */
    int64_t deadline_ms;
    int64_t not_before_ms; /* earliest write, so that operations share one */
    uint64_t head_reads_at_submit; /* how often the shard had read its head */
    bool may_be_written; /* a write of this entry may have taken effect */
    claim_state_t state;
    void (*on_done)(struct claim_op *op, void *arg); /* NULL: not called */
    void *arg;
} claim_op_t;

typedef CK_STAILQ_HEAD(claim_ops, claim_op) claim_ops_t;

typedef enum {
    CLAIM_ACTION_NONE,
    CLAIM_ACTION_GET,
    CLAIM_ACTION_PUT
} claim_action_kind_t;

typedef struct {
    claim_action_kind_t kind;
    char object[96];
    int64_t version; /* expected by a put, 0: no such object */
    json_t *value;   /* to put; the caller releases it */
} claim_action_t;

typedef struct claim_shard claim_shard_t;

claim_shard_t *claim_shard_new(unsigned index);
void claim_shard_free(claim_shard_t *shard);
void claim_shard_submit(claim_shard_t *shard, claim_op_t *op);
claim_action_t claim_shard_next_action(claim_shard_t *shard, int64_t now_ms,
                                       int64_t wall_ms);
void claim_shard_apply_reply(claim_shard_t *shard, const store_reply_t *reply,
                             int64_t now_ms);
claim_op_t *claim_shard_take_completed(claim_shard_t *shard);
claim_op_t *claim_op_new(claim_op_kind_t kind, const char *key,
                         const char *token);
void claim_op_free(claim_op_t *op);
void claim_apply_entries(json_t *claims, const json_t *entries);
void claim_key_derive(const char *workspace, const char *service,
                      const char *key, char out[CLAIM_KEY_LEN + 1]);

/* Runs the shards against a store. */
typedef struct claim_log claim_log_t;

claim_log_t *claim_log_new(store_t *store, unsigned shards);
void claim_log_free(claim_log_t *log);
void claim_log_submit(claim_log_t *log, claim_op_t *op);
void claim_log_tick(claim_log_t *log);
uint64_t claim_log_write_count(claim_log_t *log);

#endif
