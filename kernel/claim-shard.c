#include "claim.h"

#include <stdlib.h>
#include <string.h>

/* Why at most one host sends.  A claim is won only when its token was read, or
 * is known to be written, in the head or in a sealed chunk that the head
 * names.  Heads change only by conditional update, so two hosts cannot both
 * append to the same version.  After a write whose answer was lost, the head
 * is read: the token is there or not.  If it is not and the version has not
 * changed, the lost write may still take effect later; the next write to the
 * same version fences it.  A claim without an outcome is never taken over by
 * another token: whether it ran is unknown. */

typedef enum {
    PHASE_IDLE,
    PHASE_READ_HEAD,
    PHASE_READ_CHUNK,
    PHASE_WRITE_CHUNK,
    PHASE_WRITE_HEAD
} phase_t;

struct claim_shard {
    unsigned index;
    phase_t phase;
    bool head_known;
    int64_t version;     /* of the head */
    uint64_t head_reads; /* number of successful reads */
    json_t *head;
    json_t *pending_head; /* the head that the current put writes */
    json_t *claims;       /* key -> its entry, from the chunks and the head */
    json_t *chunks;       /* name -> entries, of the sealed chunks read */
    char reading_object[96];
    bool head_sealed; /* the full head has been copied to a sealed chunk */
    claim_ops_t pending;
    claim_ops_t completed;
};

static json_t *
empty_head(void)
{
    return json_pack("{s:i,s:[],s:[]}", "chunk", 0, "sealed", "entries");
}

/* Creates a shard that has read nothing yet. */
claim_shard_t *
claim_shard_new(unsigned index)
{
    claim_shard_t *shard = mem_zalloc(sizeof(*shard));
    shard->index = index;
    shard->head = empty_head();
    shard->claims = json_object();
    shard->chunks = json_object();
    CK_STAILQ_INIT(&shard->pending);
    CK_STAILQ_INIT(&shard->completed);
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

/* Frees the shard and all operations that it still has. */
void
claim_shard_free(claim_shard_t *shard)
{
    free_ops(&shard->pending);
    free_ops(&shard->completed);
    json_decref(shard->head);
    json_decref(shard->pending_head);
    json_decref(shard->claims);
    json_decref(shard->chunks);
    free(shard);
}

/* Submits an operation; claim_shard_take_completed returns it. */
void
claim_shard_submit(claim_shard_t *shard, claim_op_t *op)
{
    op->state = CLAIM_PENDING;
    op->head_reads_at_submit = shard->head_reads;
    CK_STAILQ_INSERT_TAIL(&shard->pending, op, entry);
}

/* The next completed operation, or NULL. */
claim_op_t *
claim_shard_take_completed(claim_shard_t *shard)
{
    claim_op_t *op = CK_STAILQ_FIRST(&shard->completed);
    if (op != NULL) {
        CK_STAILQ_REMOVE_HEAD(&shard->completed, entry);
    }
    return op;
}

static void
complete_op(claim_shard_t *shard, claim_op_t *op, claim_state_t state)
{
    CK_STAILQ_REMOVE(&shard->pending, op, claim_op, entry);
    op->state = state;
    CK_STAILQ_INSERT_TAIL(&shard->completed, op, entry);
}

/* Applies the chunks in the order in which the head lists them, then the
 * head's own entries. */
static void
rebuild_claims(claim_shard_t *shard)
{
    size_t i;
    const json_t *chunk;
    json_decref(shard->claims);
    shard->claims = json_object();
    json_array_foreach (json_object_get(shard->head, "sealed"), i, chunk) {
        const char *name = json_get_string(chunk, "n");
        claim_apply_entries(shard->claims,
                            json_object_get(shard->chunks, name));
    }
    claim_apply_entries(shard->claims,
                        json_object_get(shard->head, "entries"));
}

/* The first sealed chunk that has not been read, or NULL. */
static const char *
next_unread_chunk(const claim_shard_t *shard)
{
    size_t i;
    const json_t *chunk;
    json_array_foreach (json_object_get(shard->head, "sealed"), i, chunk) {
        const char *name = json_get_string(chunk, "n");
        if (json_object_get(shard->chunks, name) == NULL) {
            return name;
        }
    }
    return NULL;
}

static void
copy_outcome(claim_op_t *op, const json_t *current)
{
    const char *body = json_get_string(current, "b");
    op->status = (int)json_get_int(current, "st", 0);
    free(op->body);
    op->body = body == NULL ? NULL : strdup(body);
}

/* The state of a claim according to the log; CLAIM_PENDING if the claim has to
 * be written, or if the head has to be read again first. */
static claim_state_t
resolve_claim(const claim_shard_t *shard, claim_op_t *op, bool *needs_read)
{
    const json_t *current = json_object_get(shard->claims, op->key);
    if (current == NULL || json_string_equals(current, "s", "not_run")) {
        return CLAIM_PENDING;
    }
    if (json_string_equals(current, "t", op->token)) {
        return CLAIM_WON;
    }
    if (json_string_equals(current, "s", "done")) {
        copy_outcome(op, current);
        return CLAIM_DONE;
    }
    if (shard->head_reads == op->head_reads_at_submit) {
        *needs_read = true;
        return CLAIM_PENDING;
    }
    return CLAIM_TAKEN;
}

static claim_state_t
resolve(const claim_shard_t *shard, claim_op_t *op, bool *needs_read)
{
    if (op->kind == CLAIM_OP_CLAIM) {
        return resolve_claim(shard, op, needs_read);
    }
    const json_t *current = json_object_get(shard->claims, op->key);
    bool is_own =
        current != NULL && json_string_equals(current, "t", op->token);
    if (is_own && !json_string_equals(current, "s", "claim")) {
        return CLAIM_RECORDED;
    }
    /* The claim may have been written although its answer was lost.  A not-run
     * entry is therefore written anyway: it changes the head's version, so a
     * late write of the claim fails. */
    if (!is_own && !op->may_be_written) {
        return CLAIM_RECORDED;
    }
    return CLAIM_PENDING;
}

static json_t *
make_entry(const claim_op_t *op, int64_t wall_ms)
{
    static const char *const names[] = {"claim", "done", "not_run"};
    json_t *entry =
        json_pack("{s:s,s:s,s:s,s:I}", "k", op->key, "t", op->token, "s",
                  names[op->kind], "at", (json_int_t)wall_ms);
    if (op->kind == CLAIM_OP_DONE) {
        (void)json_object_set_new(entry, "st", json_integer(op->status));
        if (op->body != NULL) {
            (void)json_object_set_new(entry, "b", json_string(op->body));
        }
    }
    return entry;
}

/* Completes the operations that the log already decides; sets needs_read if
 * the head has to be read again, and has_due if one is due to be written. */
static void
resolve_all(claim_shard_t *shard, int64_t now_ms, bool *needs_read,
            bool *has_due)
{
    claim_op_t *op;
    claim_op_t *next;
    CK_STAILQ_FOREACH_SAFE (op, &shard->pending, entry, next) {
        claim_state_t state = resolve(shard, op, needs_read);
        if (state != CLAIM_PENDING) {
            complete_op(shard, op, state);
        }
        else if (op->not_before_ms <= now_ms) {
            *has_due = true;
        }
    }
}

static bool
contains_key(const json_t *entries, size_t first, const char *key)
{
    for (size_t i = first; i < json_array_size(entries); i++) {
        if (json_string_equals(json_array_get(entries, i), "k", key)) {
            return true;
        }
    }
    return false;
}

/* The head with the pending operations appended.  Of several with the same key
 * only the first is appended; the others are resolved after the write. */
static json_t *
append_pending(claim_shard_t *shard, int64_t wall_ms)
{
    json_t *head = json_deep_copy(shard->head);
    json_t *entries = json_object_get(head, "entries");
    size_t old_count = json_array_size(entries);
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->pending, entry) {
        if (!contains_key(entries, old_count, op->key)) {
            (void)json_array_append_new(entries, make_entry(op, wall_ms));
        }
    }
    return head;
}

static void
format_chunk_name(const claim_shard_t *shard, char *out, size_t size)
{
    (void)snprintf(out, size, "claims/%u-%lld-%lld", shard->index,
                   (long long)json_get_int(shard->head, "chunk", 0),
                   (long long)shard->version);
}

static void
drop_old_chunks(json_t *sealed, int64_t wall_ms)
{
    while (json_array_size(sealed) > 0 &&
           json_get_int(json_array_get(sealed, 0), "at", 0) <
               wall_ms - CLAIM_RETENTION_MS) {
        (void)json_array_remove(sealed, 0);
    }
}

/* Replaces a full head that was copied to a sealed chunk by an empty one that
 * names the chunk.  The chunk's name contains the head's version, so it can
 * only be a copy of exactly this head; the conditional put to that version
 * makes the chunk part of the log. */
static void
roll_head(claim_shard_t *shard, int64_t wall_ms)
{
    char name[96];
    json_t *sealed = json_object_get(shard->head, "sealed");
    json_t *entries = json_object_get(shard->head, "entries");
    format_chunk_name(shard, name, sizeof(name));
    (void)json_object_set(shard->chunks, name, entries);
    drop_old_chunks(sealed, wall_ms);
    (void)json_array_append_new(
        sealed, json_pack("{s:s,s:I}", "n", name, "at", (json_int_t)wall_ms));
    (void)json_object_set_new(
        shard->head, "chunk",
        json_integer(json_get_int(shard->head, "chunk", 0) + 1));
    (void)json_object_set_new(shard->head, "entries", json_array());
}

static claim_action_t
begin_get(claim_shard_t *shard, phase_t phase, const char *object)
{
    claim_action_t action = {.kind = CLAIM_ACTION_GET};
    shard->phase = phase;
    str_copy(action.object, sizeof(action.object), object);
    str_copy(shard->reading_object, sizeof(shard->reading_object), object);
    return action;
}

static claim_action_t
begin_head_read(claim_shard_t *shard)
{
    char name[96];
    (void)snprintf(name, sizeof(name), "claims/%u", shard->index);
    return begin_get(shard, PHASE_READ_HEAD, name);
}

static claim_action_t
begin_chunk_write(claim_shard_t *shard)
{
    claim_action_t action = {.kind = CLAIM_ACTION_PUT, .version = 0};
    shard->phase = PHASE_WRITE_CHUNK;
    format_chunk_name(shard, action.object, sizeof(action.object));
    action.value = json_deep_copy(json_object_get(shard->head, "entries"));
    return action;
}

/* Called before a put of the head: from then on a pending operation may be in
 * the log although the answer to the put is lost. */
static void
mark_may_be_written(claim_shard_t *shard)
{
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->pending, entry) {
        op->may_be_written = true;
    }
}

static claim_action_t
begin_head_write(claim_shard_t *shard, int64_t wall_ms)
{
    claim_action_t action = {.kind = CLAIM_ACTION_PUT,
                             .version = shard->version};
    shard->phase = PHASE_WRITE_HEAD;
    mark_may_be_written(shard);
    if (shard->head_sealed) {
        roll_head(shard, wall_ms);
    }
    (void)snprintf(action.object, sizeof(action.object), "claims/%u",
                   shard->index);
    json_decref(shard->pending_head);
    shard->pending_head = append_pending(shard, wall_ms);
    action.value = json_deep_copy(shard->pending_head); /* used unlocked */
    return action;
}

/* Ends the operations past their deadline.  For a claim that may have been
 * written, a "not_run" entry is submitted, because its call will never be
 * sent. */
static void
expire_ops(claim_shard_t *shard, int64_t now_ms)
{
    claim_op_t *op;
    claim_op_t *next;
    CK_STAILQ_FOREACH_SAFE (op, &shard->pending, entry, next) {
        if (op->deadline_ms > now_ms) {
            continue;
        }
        if (op->kind == CLAIM_OP_CLAIM && op->may_be_written) {
            claim_op_t *not_run =
                claim_op_new(CLAIM_OP_NOT_RUN, op->key, op->token);
            not_run->may_be_written = true;
            not_run->deadline_ms = now_ms + 600000;
            claim_shard_submit(shard, not_run);
        }
        complete_op(shard, op, CLAIM_UNAVAILABLE);
    }
}

static bool
has_due_op(const claim_shard_t *shard, int64_t now_ms)
{
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->pending, entry) {
        if (op->not_before_ms <= now_ms) {
            return true;
        }
    }
    return false;
}

/* The next call to the store; CLAIM_ACTION_NONE while an answer is awaited or
 * nothing is due.  now_ms is monotonic; wall_ms is stored in the entries. */
claim_action_t
claim_shard_next_action(claim_shard_t *shard, int64_t now_ms, int64_t wall_ms)
{
    claim_action_t none = {.kind = CLAIM_ACTION_NONE};
    bool needs_read = false;
    bool has_due = false;
    if (shard->phase != PHASE_IDLE) {
        return none;
    }
    if (!shard->head_known) {
        expire_ops(shard, now_ms);
        return has_due_op(shard, now_ms) ? begin_head_read(shard) : none;
    }
    const char *missing = next_unread_chunk(shard);
    if (missing != NULL) {
        return begin_get(shard, PHASE_READ_CHUNK, missing);
    }
    resolve_all(shard, now_ms, &needs_read, &has_due);
    expire_ops(shard, now_ms);
    if (needs_read && !CK_STAILQ_EMPTY(&shard->pending)) {
        return begin_head_read(shard);
    }
    if (!has_due || CK_STAILQ_EMPTY(&shard->pending)) {
        return none;
    }
    if (!shard->head_sealed &&
        json_array_size(json_object_get(shard->head, "entries")) >=
            CLAIM_CHUNK_ENTRIES) {
        return begin_chunk_write(shard);
    }
    return begin_head_write(shard, wall_ms);
}

/* The store is unavailable: claims fail at once, outcomes are kept and
 * retried. */
static void
handle_unavailable(claim_shard_t *shard, int64_t now_ms)
{
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->pending, entry) {
        if (op->kind == CLAIM_OP_CLAIM) {
            op->deadline_ms = now_ms;
        }
        else {
            op->not_before_ms = now_ms + CLAIM_RETRY_MS;
        }
    }
    shard->head_known = false;
    shard->head_sealed = false;
    expire_ops(shard, now_ms);
}

static void
apply_head(claim_shard_t *shard, const store_reply_t *reply, int64_t now_ms)
{
    if (reply->result != STORE_OK && reply->result != STORE_ABSENT) {
        handle_unavailable(shard, now_ms);
        return;
    }
    json_decref(shard->head);
    shard->head = reply->result == STORE_OK ? json_deep_copy(reply->value)
                                            : empty_head();
    shard->version = reply->version;
    shard->head_known = true;
    shard->head_sealed = false;
    shard->head_reads++;
    if (next_unread_chunk(shard) == NULL) {
        rebuild_claims(shard);
    }
}

static void
apply_chunk(claim_shard_t *shard, const store_reply_t *reply, int64_t now_ms)
{
    if (reply->result != STORE_OK) {
        handle_unavailable(shard, now_ms);
        return;
    }
    (void)json_object_set(shard->chunks, shard->reading_object, reply->value);
    if (next_unread_chunk(shard) == NULL) {
        rebuild_claims(shard);
    }
}

/* After a successful put of the head no older one can succeed.  The lost
 * writes that it fenced will never take effect, so an outcome need not be
 * written again. */
static void
clear_may_be_written(claim_shard_t *shard)
{
    claim_op_t *op;
    CK_STAILQ_FOREACH (op, &shard->pending, entry) {
        if (op->kind != CLAIM_OP_CLAIM) {
            op->may_be_written = false;
        }
    }
}

static void
apply_write(claim_shard_t *shard, const store_reply_t *reply, int64_t now_ms)
{
    switch (reply->result) {
        case STORE_OK:
            json_decref(shard->head);
            shard->head = json_deep_copy(shard->pending_head);
            shard->version = reply->version;
            shard->head_sealed = false;
            clear_may_be_written(shard);
            rebuild_claims(shard);
            return;
        case STORE_REFUSED:
            handle_unavailable(shard, now_ms);
            return;
        case STORE_UNKNOWN:
        case STORE_CONFLICT:
        case STORE_ABSENT:
            shard->head_known = false;
            return;
    }
}

/* Applies the store's reply to the action of claim_shard_next_action. */
void
claim_shard_apply_reply(claim_shard_t *shard, const store_reply_t *reply,
                        int64_t now_ms)
{
    phase_t phase = shard->phase;
    shard->phase = PHASE_IDLE;
    switch (phase) {
        case PHASE_READ_HEAD:
            apply_head(shard, reply, now_ms);
            return;
        case PHASE_READ_CHUNK:
            apply_chunk(shard, reply, now_ms);
            return;
        case PHASE_WRITE_CHUNK:
            /* A conflict means that the same copy already exists. */
            shard->head_sealed =
                reply->result == STORE_OK || reply->result == STORE_CONFLICT;
            if (!shard->head_sealed) {
                handle_unavailable(shard, now_ms);
            }
            return;
        case PHASE_WRITE_HEAD:
            apply_write(shard, reply, now_ms);
            return;
        case PHASE_IDLE:
            return;
    }
}
