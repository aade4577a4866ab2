#include "fakes.h"

#include <stdlib.h>
#include <string.h>

/* Continuous batching: each step spends its prefill budget on the admitted
 * prompts in order of priority, then of arrival, and then decodes one token of
 * each sequence whose prefill is complete. */

#define MAX_TOKENS_DEFAULT 32
#define ENDED_RETENTION_MS 30000

/* Initializes an engine with default settings and an empty cache. */
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
    engine->loaded_versions = json_array();
    engine->rng.state = str_hash(name, 1);
    engine->settings = (engine_settings_t){.step_ms = 5,
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

/* Frees what an engine holds, except its sequences. */
void
engine_free(engine_t *engine)
{
    engine_cache_free(engine->cache);
    json_decref(engine->executed);
    json_decref(engine->loaded_versions);
    json_decref(engine->load_report);
    (void)pthread_mutex_destroy(&engine->lock);
}

/* Simulates a crash and restart: streams are cut off, the cache is empty, and
 * the engine has a new incarnation. */
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
seq_compute_blocks(engine_t *engine, seq_t *seq, const buf_t *text,
                   const char *salt)
{
    uint64_t key = prefix_root_key(salt, engine->version);
    seq->block_count = text->len / PREFIX_BLOCK_BYTES;
    seq->blocks = mem_zalloc((seq->block_count + 1) * sizeof(uint64_t));
    for (size_t i = 0; i < seq->block_count; i++) {
        key = prefix_block_key(key, text->data + i * PREFIX_BLOCK_BYTES);
        seq->blocks[i] = key;
    }
    seq->prompt_tokens = (uint32_t)(text->len / PREFIX_TOKEN_BYTES);
}

/* Looks up the cached prefix of a prompt whose prefill is about to start. */
static void
seq_lookup_prefix(engine_t *engine, seq_t *seq)
{
    size_t cached_count = 0;
    while (cached_count < seq->block_count &&
           engine_cache_lookup(engine->cache, seq->blocks[cached_count])) {
        cached_count++;
    }
    seq->cached_block_count = cached_count;
    seq->cached_tokens = (uint32_t)(cached_count * PREFIX_BLOCK_TOKENS);
    seq->prefill_remaining = (double)(seq->prompt_tokens - seq->cached_tokens);
    engine->tokens_cached += seq->cached_tokens;
    engine->tokens_prefilled += seq->prompt_tokens - seq->cached_tokens;
}

/* Stores the blocks from last to first, so that the start of a prompt, which
 * other prompts share, is the most recently used and is evicted last. */
static void
seq_store_blocks(engine_t *engine, const seq_t *seq)
{
    for (size_t i = seq->block_count; i > 0; i--) {
        engine_cache_store(engine->cache, seq->blocks[i - 1]);
    }
}

/* If the request continues its final message, removes that message from the
 * list and returns how many answer tokens it holds; otherwise returns 0. */
static uint32_t
remove_continued_message(json_t *messages, const json_t *body)
{
    size_t count = json_array_size(messages);
    if (!json_get_bool(body, "continue_final_message") || count == 0) {
        return 0;
    }
    const char *text =
        json_get_string(json_array_get(messages, count - 1), "content");
    uint32_t token_count = answer_count_tokens(text == NULL ? "" : text);
    (void)json_array_remove(messages, count - 1);
    return token_count;
}

/* Admits a chat request; it is queued until a slot is free. */
seq_t *
engine_admit(engine_t *engine, const json_t *body, http_req_t *req, err_t *err)
{
    json_t *list = json_object_get(body, "messages");
    CLEAN_JSON json_t *messages = json_deep_copy(list);
    if (!json_is_array(messages)) {
        (void)err_set(err, ERR_HTTP, 400, "messages is not a list");
        return NULL;
    }
    CLEAN_BUF buf_t full_prompt = {0};
    prefix_render(messages, &full_prompt);
    uint32_t continued_tokens = remove_continued_message(messages, body);
    CLEAN_BUF buf_t prompt = {0};
    prefix_render(messages, &prompt);

    const char *salt = json_get_string(body, "cache_salt");
    const char *id = json_get_string(body, "request_id");
    seq_t *seq = mem_zalloc(sizeof(*seq));
    seq_compute_blocks(engine, seq, &full_prompt, salt == NULL ? "" : salt);
    seq->seed = answer_seed(buf_text(&prompt), prompt.len, engine->version);
    seq->max_tokens =
        (uint32_t)json_get_int(body, "max_tokens", MAX_TOKENS_DEFAULT);
    seq->emitted = continued_tokens;
    seq->priority = (int)json_get_int(body, "priority", 0);
    seq->stream = json_get_bool(body, "stream");
    seq->arrival = engine->next_arrival++;
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

/* Returns the sequence with this id, or NULL. */
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

/* Sends the tokens [from, to) to the attached client, if any. */
void
engine_emit_tokens(engine_t *engine, seq_t *seq, uint32_t from, uint32_t to)
{
    (void)engine;
    if (seq->req == NULL || seq->stalled || !seq->stream) {
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
finish_response(seq_t *seq)
{
    CLEAN_BUF buf_t text = {0};
    for (uint32_t i = 0; i < seq->max_tokens; i++) {
        char token[16];
        answer_format_token(seq->seed, i, token);
        buf_str(&text, token);
    }
    CLEAN_JSON json_t *body = json_pack(
        "{s:[{s:i,s:{s:s,s:s},s:s}],s:{s:i,s:i,s:{s:i}}}", "choices", "index",
        0, "message", "role", "assistant", "content", buf_text(&text),
        "finish_reason", "stop", "usage", "prompt_tokens",
        (int)seq->prompt_tokens, "completion_tokens", (int)seq->max_tokens,
        "prompt_tokens_details", "cached_tokens", (int)seq->cached_tokens);
    http_req_reply_json(seq->req, 200, body);
}

/* Completes the answer for the attached client.  A stalled sequence is left
 * open: its client must not see the end of the answer. */
void
engine_finish_response(engine_t *engine, seq_t *seq)
{
    (void)engine;
    if (seq->req == NULL || seq->stalled) {
        return;
    }
    if (seq->stream) {
        finish_stream(seq);
    }
    else {
        finish_response(seq);
    }
    http_req_release(seq->req);
    seq->req = NULL;
}

/* Returns the next sequence to prefill: of those waiting or partly prefilled,
 * the one with the highest priority that arrived first. */
static seq_t *
next_to_prefill(engine_t *engine)
{
    seq_t *best = NULL;
    seq_t *seq;
    CK_LIST_FOREACH (seq, &engine->seqs, entry) {
        if (seq->done || (seq->started && seq->prefill_remaining <= 0)) {
            continue;
        }
        if (best == NULL || seq->priority > best->priority ||
            (seq->priority == best->priority &&
             seq->arrival < best->arrival)) {
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
prefill_prompts(engine_t *engine, double budget)
{
    unsigned started = count_started(engine);
    seq_t *seq;
    while (budget > 0 && (seq = next_to_prefill(engine)) != NULL) {
        if (!seq->started && started >= engine->settings.slots) {
            return;
        }
        if (!seq->started) {
            seq->started = true;
            started++;
            seq_lookup_prefix(engine, seq);
        }
        double prefilled =
            seq->prefill_remaining < budget ? seq->prefill_remaining : budget;
        seq->prefill_remaining -= prefilled;
        budget -= prefilled;
        if (seq->prefill_remaining <= 0) {
            seq_store_blocks(engine, seq);
        }
    }
}

static void
decode_token(engine_t *engine, seq_t *seq)
{
    if (seq->emitted < seq->max_tokens) {
        engine_emit_tokens(engine, seq, seq->emitted, seq->emitted + 1);
        seq->emitted++;
        engine->tokens_emitted++;
    }
    if (seq->emitted >= seq->max_tokens) {
        seq->done = true;
        seq->ended_ms = time_mono_ms();
        engine_finish_response(engine, seq);
    }
}

/* Detaches clients that have disconnected, and frees sequences that ended more
 * than ENDED_RETENTION_MS ago; until then their answers can be resumed. */
static void
free_ended_sequences(engine_t *engine)
{
    int64_t now = time_mono_ms();
    seq_t *seq;
    seq_t *next;
    CK_LIST_FOREACH_SAFE (seq, &engine->seqs, entry, next) {
        if (seq->req != NULL && !seq->stalled &&
            http_req_is_disconnected(seq->req)) {
            http_req_release(seq->req);
            seq->req = NULL;
        }
        if (seq->done && now - seq->ended_ms > ENDED_RETENTION_MS) {
            if (seq->req != NULL) {
                http_req_end(seq->req, false);
                http_req_release(seq->req);
            }
            seq_free(engine, seq);
        }
    }
}

/* Switches to the new weights when their load is complete. Running sequences
 * continue with the weights they were admitted with. */
static void
finish_loading(engine_t *engine)
{
    if (engine->loading[0] == '\0' ||
        time_mono_ms() < engine->loading_until_ms) {
        return;
    }
    str_copy(engine->version, sizeof(engine->version), engine->loading);
    engine->loading[0] = '\0';
    engine_cache_clear(engine->cache);
    (void)json_array_append_new(engine->loaded_versions,
                                json_string(engine->version));
}

/* Executes one step of the batch. The caller holds the lock. */
void
engine_step(engine_t *engine, double seconds)
{
    seq_t *seq;
    seq_t *next;
    if (engine->settings.frozen) {
        return;
    }
    finish_loading(engine);
    prefill_prompts(engine, engine->settings.prefill_rate * seconds);
    CK_LIST_FOREACH_SAFE (seq, &engine->seqs, entry, next) {
        if (seq->started && !seq->done && seq->prefill_remaining <= 0) {
            decode_token(engine, seq);
        }
    }
    free_ended_sequences(engine);
}

static json_t *
make_load_report(engine_t *engine)
{
    double waiting = 0;
    unsigned running = 0;
    seq_t *seq;
    CK_LIST_FOREACH (seq, &engine->seqs, entry) {
        if (seq->done) {
            continue;
        }
        running++;
        waiting += seq->started ? seq->prefill_remaining : seq->prompt_tokens;
    }
    return json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i}", "incarnation",
                     engine->incarnation, "version", engine->version,
                     "loading", engine->loading, "running", (int)running,
                     "waiting_tokens", (int)waiting, "prefill_rate",
                     (int)engine->settings.prefill_rate, "slots",
                     (int)engine->settings.slots, "blocks",
                     (int)engine_cache_size(engine->cache));
}

/* Returns the load report, which may be up to load_lag_ms old. */
json_t *
engine_get_load_report(engine_t *engine)
{
    int64_t now = time_mono_ms();
    if (engine->load_report == NULL ||
        now - engine->load_report_ms >=
            (int64_t)engine->settings.load_lag_ms) {
        json_decref(engine->load_report);
        engine->load_report = make_load_report(engine);
        engine->load_report_ms = now;
    }
    return json_incref(engine->load_report);
}
