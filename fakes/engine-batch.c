#include "fakes.h"

#include <stdlib.h>
#include <string.h>

/* Continuous batching: each step shares the prefill rate among the admitted
 * prompts by priority and order, then gives one token to each started one. */

#define MAX_TOKENS_DEFAULT 32
#define ENDED_KEPT_MS 30000

/* Set an engine up with an empty cache. */
void
engine_init(engine_t *engine, const char *name, size_t blocks_max)
{
    memset(engine, 0, sizeof(*engine));
    (void)pthread_mutex_init(&engine->lock, NULL);
    str_copy(engine->name, sizeof(engine->name), name);
    str_copy(engine->version, sizeof(engine->version), "v1");
    id_random(engine->incarnation);
    engine->cache = engine_cache_new(blocks_max);
    engine->executed = json_array();
    engine->orders = json_array();
    engine->rng.state = str_hash(name, 1);
    engine->knobs = (engine_knobs_t){.step_ms = 5,
                                     .prefill_rate = 40000,
                                     .slots = 64,
                                     .slow_factor = 1,
                                     .version_load_ms = 800,
                                     .honours_fencing = true};
}

static void
seq_free(engine_t *engine, seq_t *seq)
{
    CK_LIST_REMOVE(seq, entry);
    engine->seq_count--;
    free(seq->blocks);
    free(seq);
}

/* Free what an engine holds; no reader is attached any more. */
void
engine_free(engine_t *engine)
{
    engine_cache_free(engine->cache);
    json_decref(engine->executed);
    json_decref(engine->orders);
    json_decref(engine->load_report);
    (void)pthread_mutex_destroy(&engine->lock);
}

/* Crash and come back empty: streams break, the cache is gone, a new
 * incarnation answers. */
void
engine_restart_empty(engine_t *engine)
{
    seq_t *seq;
    while ((seq = CK_LIST_FIRST(&engine->seqs)) != NULL) {
        if (seq->req != NULL) {
            http_req_stream(seq->req, 200, "text/event-stream");
            http_req_end(seq->req, false);
            http_req_release(seq->req);
        }
        seq_free(engine, seq);
    }
    engine_cache_clear(engine->cache);
    id_random(engine->incarnation);
}

static void
seq_blocks(engine_t *engine, seq_t *seq, const buf_t *text, const char *salt)
{
    uint64_t key = prefix_root(salt, engine->version);
    seq->block_count = text->len / PREFIX_BLOCK_BYTES;
    seq->blocks = mem_zalloc((seq->block_count + 1) * sizeof(uint64_t));
    for (size_t i = 0; i < seq->block_count; i++) {
        key = prefix_chain(key, text->data + i * PREFIX_BLOCK_BYTES);
        seq->blocks[i] = key;
    }
    seq->prompt_tokens = (uint32_t)(text->len / PREFIX_TOKEN_BYTES);
}

/* Find how much of the prompt is cached at the moment that it is begun. */
static void
seq_look_up(engine_t *engine, seq_t *seq)
{
    size_t held = 0;
    while (held < seq->block_count &&
           engine_cache_lookup(engine->cache, seq->blocks[held])) {
        held++;
    }
    seq->block_cached = held;
    seq->cached_tokens = (uint32_t)(held * PREFIX_BLOCK_TOKENS);
    seq->prefill_left = (double)(seq->prompt_tokens - seq->cached_tokens);
    engine->tokens_cached += seq->cached_tokens;
    engine->tokens_prefilled += seq->prompt_tokens - seq->cached_tokens;
}

/* Store from the last block to the first, so that the head of a prompt, which
 * others share, counts as used last and is evicted last. */
static void
seq_store_blocks(engine_t *engine, const seq_t *seq)
{
    for (size_t i = seq->block_count; i > 0; i--) {
        engine_cache_store(engine->cache, seq->blocks[i - 1]);
    }
}

/* The part of the answer that the prompt already holds, if the last message
 * is to be continued; it is removed from the list. */
static uint32_t
take_continued(json_t *messages, const json_t *body)
{
    size_t count = json_array_size(messages);
    if (!json_flag(body, "continue_final_message") || count == 0) {
        return 0;
    }
    const char *text =
        json_text(json_array_get(messages, count - 1), "content");
    uint32_t done = answer_count(text == NULL ? "" : text);
    (void)json_array_remove(messages, count - 1);
    return done;
}

/* Take a chat in; it is queued until a slot is free. */
seq_t *
engine_admit(engine_t *engine, const json_t *body, http_req_t *req, err_t *err)
{
    json_t *list = json_object_get(body, "messages");
    CLEAN_JSON json_t *messages = json_deep_copy(list);
    if (!json_is_array(messages)) {
        (void)err_set(err, ERR_HTTP, 400, "messages is not a list");
        return NULL;
    }
    CLEAN_BUF buf_t full = {0};
    prefix_render(messages, &full);
    uint32_t done = take_continued(messages, body);
    CLEAN_BUF buf_t prompt = {0};
    prefix_render(messages, &prompt);

    const char *salt = json_text(body, "cache_salt");
    const char *id = json_text(body, "request_id");
    seq_t *seq = mem_zalloc(sizeof(*seq));
    seq_blocks(engine, seq, &full, salt == NULL ? "" : salt);
    seq->seed = answer_seed(buf_text(&prompt), prompt.len, engine->version);
    seq->wanted = (uint32_t)json_int(body, "max_tokens", MAX_TOKENS_DEFAULT);
    seq->emitted = done;
    seq->priority = (int)json_int(body, "priority", 0);
    seq->stream = json_flag(body, "stream");
    seq->order = engine->next_order++;
    seq->req = req;
    str_copy(seq->id, sizeof(seq->id), id == NULL ? "" : id);
    if (seq->id[0] == '\0') {
        id_random(seq->id);
    }
    CK_LIST_INSERT_HEAD(&engine->seqs, seq, entry);
    engine->seq_count++;
    engine->requests++;
    (void)json_array_append_new(engine->executed, json_string(seq->id));
    return seq;
}

/* The sequence with this id, or NULL. */
seq_t *
engine_find(engine_t *engine, const char *id)
{
    seq_t *seq;
    CK_LIST_FOREACH (seq, &engine->seqs, entry) {
        if (strcmp(seq->id, id) == 0) {
            return seq;
        }
    }
    return NULL;
}

/* Send the tokens [from, to) to the reader that is attached. */
void
engine_emit(engine_t *engine, seq_t *seq, uint32_t from, uint32_t to)
{
    (void)engine;
    if (seq->req == NULL || seq->muted || !seq->stream) {
        return;
    }
    for (uint32_t i = from; i < to; i++) {
        char token[16];
        char line[160];
        answer_format_token(seq->seed, i, token);
        int len = snprintf(line, sizeof(line),
                           "data: {\"object\":\"chat.completion.chunk\","
                           "\"choices\":[{\"index\":0,\"delta\":{\"content\":"
                           "\"%s\"}}],\"token_index\":%u}\n\n",
                           token, i);
        http_req_write(seq->req, line, (size_t)len);
    }
}

static void
finish_stream(seq_t *seq)
{
    char line[256];
    int len = snprintf(
        line, sizeof(line),
        "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":"
        "\"stop\"}],\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
        "\"prompt_tokens_details\":{\"cached_tokens\":%u}}}\n\n"
        "data: [DONE]\n\n",
        seq->prompt_tokens, seq->emitted, seq->cached_tokens);
    http_req_write(seq->req, line, (size_t)len);
    http_req_end(seq->req, true);
}

static void
finish_whole(seq_t *seq)
{
    CLEAN_BUF buf_t text = {0};
    for (uint32_t i = 0; i < seq->wanted; i++) {
        char token[16];
        answer_format_token(seq->seed, i, token);
        buf_str(&text, token);
    }
    CLEAN_JSON json_t *body = json_pack(
        "{s:[{s:i,s:{s:s,s:s},s:s}],s:{s:i,s:i,s:{s:i}}}", "choices", "index",
        0, "message", "role", "assistant", "content", buf_text(&text),
        "finish_reason", "stop", "usage", "prompt_tokens",
        (int)seq->prompt_tokens, "completion_tokens", (int)seq->wanted,
        "prompt_tokens_details", "cached_tokens", (int)seq->cached_tokens);
    http_req_reply_json(seq->req, 200, body);
}

/* End the answer for the attached reader, unless its line is silent. */
void
engine_finish_reader(engine_t *engine, seq_t *seq)
{
    (void)engine;
    if (seq->req == NULL || seq->muted) {
        return;
    }
    if (seq->stream) {
        finish_stream(seq);
    }
    else {
        finish_whole(seq);
    }
    http_req_release(seq->req);
    seq->req = NULL;
}

/* The waiting or half-filled sequence that is served next. */
static seq_t *
next_to_fill(engine_t *engine)
{
    seq_t *best = NULL;
    seq_t *seq;
    CK_LIST_FOREACH (seq, &engine->seqs, entry) {
        if (seq->done || (seq->started && seq->prefill_left <= 0)) {
            continue;
        }
        if (best == NULL || seq->priority > best->priority ||
            (seq->priority == best->priority && seq->order < best->order)) {
            best = seq;
        }
    }
    return best;
}

static unsigned
count_started(engine_t *engine)
{
    unsigned count = 0;
    seq_t *seq;
    CK_LIST_FOREACH (seq, &engine->seqs, entry) {
        count += seq->started && !seq->done;
    }
    return count;
}

static void
fill_prompts(engine_t *engine, double budget)
{
    unsigned started = count_started(engine);
    seq_t *seq;
    while (budget > 0 && (seq = next_to_fill(engine)) != NULL) {
        if (!seq->started && started >= engine->knobs.slots) {
            return;
        }
        if (!seq->started) {
            seq->started = true;
            started++;
            seq_look_up(engine, seq);
        }
        double take = seq->prefill_left < budget ? seq->prefill_left : budget;
        seq->prefill_left -= take;
        budget -= take;
        if (seq->prefill_left <= 0) {
            seq_store_blocks(engine, seq);
        }
    }
}

static void
decode_one(engine_t *engine, seq_t *seq)
{
    if (seq->emitted < seq->wanted) {
        engine_emit(engine, seq, seq->emitted, seq->emitted + 1);
        seq->emitted++;
        engine->tokens_emitted++;
    }
    if (seq->emitted >= seq->wanted) {
        seq->done = true;
        seq->ended_ms = time_mono_ms();
        engine_finish_reader(engine, seq);
    }
}

/* A reader that hung up frees its place; an ended answer is kept for a
 * while, so that it can be resumed. */
static void
drop_ended(engine_t *engine)
{
    int64_t now = time_mono_ms();
    seq_t *seq;
    seq_t *next;
    CK_LIST_FOREACH_SAFE (seq, &engine->seqs, entry, next) {
        if (seq->req != NULL && !seq->muted && http_req_gone(seq->req)) {
            http_req_release(seq->req);
            seq->req = NULL;
        }
        if (seq->done && now - seq->ended_ms > ENDED_KEPT_MS) {
            if (seq->req != NULL) {
                http_req_end(seq->req, false);
                http_req_release(seq->req);
            }
            seq_free(engine, seq);
        }
    }
}

/* Put loaded weights in force; what runs goes on with those it began with. */
static void
finish_loading(engine_t *engine)
{
    if (engine->loading[0] == '\0' || time_mono_ms() < engine->loaded_ms) {
        return;
    }
    str_copy(engine->version, sizeof(engine->version), engine->loading);
    engine->loading[0] = '\0';
    engine_cache_clear(engine->cache);
    (void)json_array_append_new(engine->orders, json_string(engine->version));
}

/* One step of the batch; the lock is held. */
void
engine_step(engine_t *engine, double seconds)
{
    seq_t *seq;
    seq_t *next;
    if (engine->knobs.frozen) {
        return;
    }
    finish_loading(engine);
    fill_prompts(engine, engine->knobs.prefill_rate * seconds);
    CK_LIST_FOREACH_SAFE (seq, &engine->seqs, entry, next) {
        if (seq->started && !seq->done && seq->prefill_left <= 0) {
            decode_one(engine, seq);
        }
    }
    drop_ended(engine);
}

static json_t *
load_now(engine_t *engine)
{
    double waiting = 0;
    unsigned running = 0;
    seq_t *seq;
    CK_LIST_FOREACH (seq, &engine->seqs, entry) {
        if (seq->done) {
            continue;
        }
        running++;
        waiting += seq->started ? seq->prefill_left : seq->prompt_tokens;
    }
    return json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i}", "incarnation",
                     engine->incarnation, "version", engine->version,
                     "loading", engine->loading, "running", (int)running,
                     "waiting_tokens", (int)waiting, "prefill_rate",
                     (int)engine->knobs.prefill_rate, "slots",
                     (int)engine->knobs.slots, "blocks",
                     (int)engine_cache_size(engine->cache));
}

/* The load as it was up to load_lag_ms ago. */
json_t *
engine_load(engine_t *engine)
{
    int64_t now = time_mono_ms();
    if (engine->load_report == NULL ||
        now - engine->load_report_ms >= (int64_t)engine->knobs.load_lag_ms) {
        json_decref(engine->load_report);
        engine->load_report = load_now(engine);
        engine->load_report_ms = now;
    }
    return json_incref(engine->load_report);
}
