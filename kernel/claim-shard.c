#include "claim.h"

#include <stdlib.h>
#include <string.h>

/* Why this holds.  A claim is won only when its token is read back, or known
 * written, in the head or a sealed chunk that the head names.  Heads change
 * only by a conditional update, so two hosts cannot both append over the same
 * version.  An answer that was lost is settled by reading: the token is there
 * or not; if it is not and the version has not moved, the lost write may
 * still come, and the next write over the same version fences it.  Once an
 * outcome-less claim is seen, nobody else sends: it is unknown. */

typedef enum {
    PHASE_IDLE,
    PHASE_HEAD,
    PHASE_SEALED,
    PHASE_SEAL,
    PHASE_PUT
} phase_t;

struct claim_shard {
    unsigned index;
    phase_t phase;
    bool known;
    int64_t version;
    uint64_t reads; /* of the head */
    json_t *head;
    json_t *writing; /* the head that a put carries */
    json_t *fold;    /* key -> {"t","s","st","b"} over chunks and entries */
    json_t *chunks;  /* sealed chunks that are in the fold, by name */
    char waiting[96];
    bool sealed_now; /* the full head has been copied to a sealed chunk */
    claim_ops_t ops;
    claim_ops_t ended;
};

static json_t *
head_empty(void)
{
    return json_pack("{s:i,s:[],s:[]}", "chunk", 0, "sealed", "entries");
}

/* A shard that has read nothing yet. */
claim_shard_t *
claim_shard_new(unsigned index)
{
    claim_shard_t *shard = mem_zalloc(sizeof(*shard));
    shard->index = index;
    shard->head = head_empty();
    shard->fold = json_object();
    shard->chunks = json_object();
    CK_STAILQ_INIT(&shard->ops);
    CK_STAILQ_INIT(&shard->ended);
    return shard;
}

static void
free_ops(claim_ops_t *ops)
{
    claim_op_t *op;
    while ((op = CK_STAILQ_FIRST(ops)) != NULL) {
        CK_STAILQ_REMOVE_HEAD(ops, entry);
        claim_op_free(op);
    }
}

/* Free the shard and all operations that it still has. */
void
claim_shard_free(claim_shard_t *shard)
{
    free_ops(&shard->ops);
    free_ops(&shard->ended);
    json_decref(shard->head);
    json_decref(shard->writing);
    json_decref(shard->fold);
    json_decref(shard->chunks);
    free(shard);
}

/* Hand an operation in; it comes back by claim_shard_take_completed. */
void
claim_shard_submit(claim_shard_t *shard, claim_op_t *op)
{
    op->state = CLAIM_PENDING;
    op->head_reads_at_submit = shard->reads;
    CK_STAILQ_INSERT_TAIL(&shard->ops, op, entry);
}

/* The next operation that has ended, or NULL. */
claim_op_t *
claim_shard_take_completed(claim_shard_t *shard)
{
    claim_op_t *op = CK_STAILQ_FIRST(&shard->ended);
    if (op != NULL) {
        CK_STAILQ_REMOVE_HEAD(&shard->ended, entry);
    }
    return op;
}

static void
op_end(claim_shard_t *shard, claim_op_t *op, claim_state_t state)
{
    CK_STAILQ_REMOVE(&shard->ops, op, claim_op, entry);
    op->state = state;
    CK_STAILQ_INSERT_TAIL(&shard->ended, op, entry);
}

/* Chunks are folded in the order in which the head names them, then the
 * head's own entries. */
static void
fold_all(claim_shard_t *shard)
{
    size_t i;
    const json_t *chunk;
    json_decref(shard->fold);
    shard->fold = json_object();
    json_array_foreach (json_object_get(shard->head, "sealed"), i, chunk) {
        const char *name = json_text(chunk, "n");
        claim_apply_entries(shard->fold, json_object_get(shard->chunks, name));
    }
    claim_apply_entries(shard->fold, json_object_get(shard->head, "entries"));
}

/* The first sealed chunk that has not been read, or NULL. */
static const char *
chunk_missing(const claim_shard_t *shard)
{
    size_t i;
    const json_t *chunk;
    json_array_foreach (json_object_get(shard->head, "sealed"), i, chunk) {
        const char *name = json_text(chunk, "n");
        if (json_object_get(shard->chunks, name) == NULL) {
            return name;
        }
    }
    return NULL;
}

static void
op_take_outcome(claim_op_t *op, const json_t *have)
{
    const char *body = json_text(have, "b");
    op->status = (int)json_int(have, "st", 0);
    free(op->body);
    op->body = body == NULL ? NULL : strdup(body);
}

/* What the log says of a claim that is asked for: PENDING where it is to be
 * written, or where a fresh read is needed first. */
static claim_state_t
judge_claim(const claim_shard_t *shard, claim_op_t *op, bool *stale)
{
    const json_t *have = json_object_get(shard->fold, op->key);
    if (have == NULL || json_text_is(have, "s", "not_run")) {
        return CLAIM_PENDING;
    }
    if (json_text_is(have, "t", op->token)) {
        return CLAIM_WON;
    }
    if (json_text_is(have, "s", "done")) {
        op_take_outcome(op, have);
        return CLAIM_DONE;
    }
    if (shard->reads == op->head_reads_at_submit) {
        *stale = true;
        return CLAIM_PENDING;
    }
    return CLAIM_TAKEN;
}

static claim_state_t
judge(const claim_shard_t *shard, claim_op_t *op, bool *stale)
{
    if (op->kind == CLAIM_OP_CLAIM) {
        return judge_claim(shard, op, stale);
    }
    const json_t *have = json_object_get(shard->fold, op->key);
    bool mine = have != NULL && json_text_is(have, "t", op->token);
    if (mine && !json_text_is(have, "s", "claim")) {
        return CLAIM_RECORDED;
    }
    /* A claim that is not there: the note that it did not run is still
     * written once, because that write fences the claim's own lost one. */
    if (!mine && !op->may_be_written) {
        return CLAIM_RECORDED;
    }
    return CLAIM_PENDING;
}

static json_t *
entry_of(const claim_op_t *op, int64_t wall_ms)
{
    static const char *const words[] = {"claim", "done", "not_run"};
    json_t *entry =
        json_pack("{s:s,s:s,s:s,s:I}", "k", op->key, "t", op->token, "s",
                  words[op->kind], "at", (json_int_t)wall_ms);
    if (op->kind == CLAIM_OP_DONE) {
        (void)json_object_set_new(entry, "st", json_integer(op->status));
        if (op->body != NULL) {
            (void)json_object_set_new(entry, "b", json_string(op->body));
        }
    }
    return entry;
}

/* End what the log already decides; say whether a fresh read is needed and
 * whether anything is due to be written. */
static void
judge_all(claim_shard_t *shard, int64_t now_ms, bool *stale, bool *due)
{
    claim_op_t *op;
    claim_op_t *next;
    CK_STAILQ_FOREACH_SAFE (op, &shard->ops, entry, next) {
        claim_state_t state = judge(shard, op, stale);
        if (state != CLAIM_PENDING) {
            op_end(shard, op, state);
        }
        else if (op->not_before_ms <= now_ms) {
            *due = true;
        }
    }
}

static bool
appended(const json_t *entries, size_t from, const char *key)
{
    for (size_t i = from; i < json_array_size(entries); i++) {
        if (json_text_is(json_array_get(entries, i), "k", key)) {
            return true;
        }
    }
    return false;
}

/* The head with all that waits appended; of several claims on one key only
 * the first goes in, the others are judged afterwards. */
static json_t *
head_next(claim_shard_t *shard, int64_t wall_ms)
{
    json_t *head = json_deep_copy(shard->head);
    json_t *entries = json_object_get(head, "entries");
    size_t from = json_array_size(entries);
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->ops, entry) {
        if (!appended(entries, from, op->key)) {
            (void)json_array_append_new(entries, entry_of(op, wall_ms));
        }
    }
    return head;
}

static void
chunk_name(const claim_shard_t *shard, char *out, size_t size)
{
    (void)snprintf(out, size, "claims/%u-%lld-%lld", shard->index,
                   (long long)json_int(shard->head, "chunk", 0),
                   (long long)shard->version);
}

static void
drop_old_chunks(json_t *sealed, int64_t wall_ms)
{
    while (json_array_size(sealed) > 0 &&
           json_int(json_array_get(sealed, 0), "at", 0) <
               wall_ms - CLAIM_RETENTION_MS) {
        (void)json_array_remove(sealed, 0);
    }
}

/* Turn a full head whose copy is sealed into an empty one that names it.
 * The sealed name holds the head's version, so it can only be the copy of
 * just this head; the put over that version then makes it count. */
static void
head_roll(claim_shard_t *shard, int64_t wall_ms)
{
    char name[96];
    json_t *sealed = json_object_get(shard->head, "sealed");
    json_t *entries = json_object_get(shard->head, "entries");
    chunk_name(shard, name, sizeof(name));
    (void)json_object_set(shard->chunks, name, entries);
    drop_old_chunks(sealed, wall_ms);
    (void)json_array_append_new(
        sealed, json_pack("{s:s,s:I}", "n", name, "at", (json_int_t)wall_ms));
    (void)json_object_set_new(
        shard->head, "chunk",
        json_integer(json_int(shard->head, "chunk", 0) + 1));
    (void)json_object_set_new(shard->head, "entries", json_array());
}

static claim_action_t
act_get(claim_shard_t *shard, phase_t phase, const char *object)
{
    claim_action_t act = {.kind = CLAIM_ACTION_GET};
    shard->phase = phase;
    str_copy(act.object, sizeof(act.object), object);
    str_copy(shard->waiting, sizeof(shard->waiting), object);
    return act;
}

static claim_action_t
act_read_head(claim_shard_t *shard)
{
    char name[96];
    (void)snprintf(name, sizeof(name), "claims/%u", shard->index);
    return act_get(shard, PHASE_HEAD, name);
}

static claim_action_t
act_seal(claim_shard_t *shard)
{
    claim_action_t act = {.kind = CLAIM_ACTION_PUT, .version = 0};
    shard->phase = PHASE_SEAL;
    chunk_name(shard, act.object, sizeof(act.object));
    act.value = json_deep_copy(json_object_get(shard->head, "entries"));
    return act;
}

/* From here on a write that holds these operations may take effect. */
static void
mark_maybe(claim_shard_t *shard)
{
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->ops, entry) {
        op->may_be_written = true;
    }
}

static claim_action_t
act_put_head(claim_shard_t *shard, int64_t wall_ms)
{
    claim_action_t act = {.kind = CLAIM_ACTION_PUT, .version = shard->version};
    shard->phase = PHASE_PUT;
    mark_maybe(shard);
    if (shard->sealed_now) {
        head_roll(shard, wall_ms);
    }
    (void)snprintf(act.object, sizeof(act.object), "claims/%u", shard->index);
    json_decref(shard->writing);
    shard->writing = head_next(shard, wall_ms);
    act.value = json_deep_copy(shard->writing); /* leaves the lock */
    return act;
}

/* Give up on claims whose time is up.  One that may have been written leaves
 * a note behind that it did not run, because it will never be sent. */
static void
expire(claim_shard_t *shard, int64_t now_ms)
{
    claim_op_t *op;
    claim_op_t *next;
    CK_STAILQ_FOREACH_SAFE (op, &shard->ops, entry, next) {
        if (op->deadline_ms > now_ms) {
            continue;
        }
        if (op->kind == CLAIM_OP_CLAIM && op->may_be_written) {
            claim_op_t *note =
                claim_op_new(CLAIM_OP_NOT_RUN, op->key, op->token);
            note->may_be_written = true;
            note->deadline_ms = now_ms + 600000;
            claim_shard_submit(shard, note);
        }
        op_end(shard, op, CLAIM_UNAVAILABLE);
    }
}

static bool
any_due(const claim_shard_t *shard, int64_t now_ms)
{
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->ops, entry) {
        if (op->not_before_ms <= now_ms) {
            return true;
        }
    }
    return false;
}

/* What is to be asked of the store next; NONE while an answer is awaited or
 * nothing is due.  now_ms is monotonic, wall_ms goes into the log. */
claim_action_t
claim_shard_next_action(claim_shard_t *shard, int64_t now_ms, int64_t wall_ms)
{
    claim_action_t none = {.kind = CLAIM_ACTION_NONE};
    bool stale = false;
    bool due = false;
    if (shard->phase != PHASE_IDLE) {
        return none;
    }
    if (!shard->known) {
        expire(shard, now_ms);
        return any_due(shard, now_ms) ? act_read_head(shard) : none;
    }
    const char *missing = chunk_missing(shard);
    if (missing != NULL) {
        return act_get(shard, PHASE_SEALED, missing);
    }
    judge_all(shard, now_ms, &stale, &due);
    expire(shard, now_ms);
    if (stale && !CK_STAILQ_EMPTY(&shard->ops)) {
        return act_read_head(shard);
    }
    if (!due || CK_STAILQ_EMPTY(&shard->ops)) {
        return none;
    }
    if (!shard->sealed_now &&
        json_array_size(json_object_get(shard->head, "entries")) >=
            CLAIM_CHUNK_ENTRIES) {
        return act_seal(shard);
    }
    return act_put_head(shard, wall_ms);
}

/* The store cannot be asked: claims are refused at once, outcomes are kept
 * and tried again. */
static void
give_up(claim_shard_t *shard, int64_t now_ms)
{
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->ops, entry) {
        if (op->kind == CLAIM_OP_CLAIM) {
            op->deadline_ms = now_ms;
        }
        else {
            op->not_before_ms = now_ms + CLAIM_RETRY_MS;
        }
    }
    shard->known = false;
    shard->sealed_now = false;
    expire(shard, now_ms);
}

static void
reply_head(claim_shard_t *shard, const store_reply_t *reply, int64_t now_ms)
{
    if (reply->result != STORE_OK && reply->result != STORE_ABSENT) {
        give_up(shard, now_ms);
        return;
    }
    json_decref(shard->head);
    shard->head = reply->result == STORE_OK ? json_deep_copy(reply->value)
                                            : head_empty();
    shard->version = reply->version;
    shard->known = true;
    shard->sealed_now = false;
    shard->reads++;
    if (chunk_missing(shard) == NULL) {
        fold_all(shard);
    }
}

static void
reply_sealed(claim_shard_t *shard, const store_reply_t *reply, int64_t now_ms)
{
    if (reply->result != STORE_OK) {
        give_up(shard, now_ms);
        return;
    }
    (void)json_object_set(shard->chunks, shard->waiting, reply->value);
    if (chunk_missing(shard) == NULL) {
        fold_all(shard);
    }
}

/* Once a put has succeeded, no older one can: what it fenced is settled, so
 * an outcome or a note needs no second writing. */
static void
mark_written(claim_shard_t *shard)
{
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->ops, entry) {
        if (op->kind != CLAIM_OP_CLAIM) {
            op->may_be_written = false;
        }
    }
}

static void
reply_put(claim_shard_t *shard, const store_reply_t *reply, int64_t now_ms)
{
    switch (reply->result) {
        case STORE_OK:
            json_decref(shard->head);
            shard->head = json_deep_copy(shard->writing);
            shard->version = reply->version;
            shard->sealed_now = false;
            mark_written(shard);
            fold_all(shard);
            return;
        case STORE_REFUSED:
            give_up(shard, now_ms);
            return;
        case STORE_LOST:
        case STORE_CONFLICT:
        case STORE_ABSENT:
            shard->known = false;
            return;
    }
}

/* Take in the store's answer to what claim_shard_next_action asked for. */
void
claim_shard_apply_reply(claim_shard_t *shard, const store_reply_t *reply,
                        int64_t now_ms)
{
    phase_t phase = shard->phase;
    shard->phase = PHASE_IDLE;
    switch (phase) {
        case PHASE_HEAD:
            reply_head(shard, reply, now_ms);
            return;
        case PHASE_SEALED:
            reply_sealed(shard, reply, now_ms);
            return;
        case PHASE_SEAL:
            /* A conflict means that the same copy is there already. */
            shard->sealed_now =
                reply->result == STORE_OK || reply->result == STORE_CONFLICT;
            if (!shard->sealed_now) {
                give_up(shard, now_ms);
            }
            return;
        case PHASE_PUT:
            reply_put(shard, reply, now_ms);
            return;
        case PHASE_IDLE:
            return;
    }
}
