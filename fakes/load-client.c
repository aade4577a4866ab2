#include "load.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* A caller: sends, reads the stream, comes back after a cut at the next
 * target, and compares the answer with what the weights must give. */

#define THREADS 2
#define SLOW_REFUSAL_MS 3000
#define ID_MAX 640
#define CONNECT_MS 2000

struct load_client {
    load_opts_t opts;
    load_report_out_t *report;
    http_client_t *http;
    pthread_mutex_t lock;
    size_t running;
    unsigned turn;
    int64_t began_us;
    json_t *keyed; /* key -> list of outcomes */
    FILE *history;
};

typedef struct {
    load_client_t *client;
    load_ask_t ask;
    char *body;
    uint64_t seeds[LOAD_VERSIONS_MAX];
    unsigned target;
    int64_t began_us;
    int64_t first_us;
    unsigned resumes;
    char last_id[ID_MAX];
    char outcome[16];
    char key[64]; /* of a service call */
    bool retry_after;
    bool done_mark; /* [DONE] was read */
    uint32_t tokens;
    buf_t line;
    buf_t text;
    buf_t whole;
} chat_run_t;

static void start(chat_run_t *run);

/* Start callers against the targets of the options. */
load_client_t *
load_client_new(const load_opts_t *opts, load_report_out_t *report)
{
    load_client_t *client = mem_zalloc(sizeof(*client));
    client->opts = *opts;
    client->report = report;
    client->http = http_client_new(THREADS);
    client->began_us = time_mono_us();
    client->keyed = json_object();
    (void)pthread_mutex_init(&client->lock, NULL);
    if (opts->history[0] != '\0') {
        client->history = fopen(opts->history, "we");
    }
    return client;
}

/* End what still runs and free. */
void
load_client_free(load_client_t *client)
{
    http_client_free(client->http);
    if (client->history != NULL) {
        (void)fclose(client->history);
    }
    json_decref(client->keyed);
    (void)pthread_mutex_destroy(&client->lock);
    free(client);
}

size_t
load_client_running(load_client_t *client)
{
    LOCK_SCOPE(&client->lock);
    return client->running;
}

/* What came of each key: the outcomes of all its attempts. */
json_t *
load_client_keyed_json(load_client_t *client)
{
    LOCK_SCOPE(&client->lock);
    return json_deep_copy(client->keyed);
}

static void
run_free(chat_run_t *run)
{
    free(run->body);
    buf_free(&run->line);
    buf_free(&run->text);
    buf_free(&run->whole);
    free(run);
}

static bool
answer_matches(const chat_run_t *run, unsigned version)
{
    const char *at = buf_text(&run->text);
    for (uint32_t i = 0; i < run->client->opts.max_tokens; i++) {
        char token[16];
        answer_format_token(run->seeds[version], i, token);
        if (strncmp(at, token, strlen(token)) != 0) {
            return false;
        }
        at += strlen(token);
    }
    return *at == '\0';
}

static bool
answer_is_right(const chat_run_t *run)
{
    for (unsigned i = 0; i < run->client->opts.version_count; i++) {
        if (answer_matches(run, i)) {
            return true;
        }
    }
    return false;
}

static const char *
outcome_name(load_outcome_t outcome)
{
    static const char *const names[] = {"done", "refused", "not_run",
                                        "unknown", "wrong"};
    return names[outcome];
}

static void
write_history(const chat_run_t *run, load_outcome_t outcome, int status)
{
    load_client_t *client = run->client;
    if (client->history == NULL) {
        return;
    }
    CLEAN_JSON json_t *line = json_pack(
        "{s:I,s:I,s:s,s:s,s:i,s:i,s:i}", "from_us",
        (json_int_t)(run->began_us - client->began_us), "to_us",
        (json_int_t)(time_mono_us() - client->began_us), "key", run->key,
        "outcome", outcome_name(outcome), "status", status, "tokens",
        (int)run->tokens, "workspace", (int)run->ask.workspace);
    CLEAN_TEXT char *text = json_dumps(line, JSON_COMPACT);
    LOCK_SCOPE(&client->lock);
    (void)fprintf(client->history, "%s\n", text);
}

static void
finish(chat_run_t *run, load_outcome_t outcome, int status)
{
    load_client_t *client = run->client;
    int64_t now = time_mono_us();
    load_result_t result = {
        .workspace = run->ask.workspace,
        .at_s = (double)(run->began_us - client->began_us) / 1e6,
        .ttft_ms = run->first_us == 0
                       ? -1
                       : (double)(run->first_us - run->began_us) / 1e3,
        .total_ms = (double)(now - run->began_us) / 1e3,
        .resumes = run->resumes,
        .outcome = outcome};
    result.slow_refusal =
        outcome == LOAD_REFUSED &&
        (!run->retry_after || result.total_ms > SLOW_REFUSAL_MS);
    write_history(run, outcome, status);
    if (run->key[0] == '\0') {
        load_report_add(client->report, &result);
    }
    (void)pthread_mutex_lock(&client->lock);
    client->running--;
    if (run->key[0] != '\0') {
        json_t *list = json_object_get(client->keyed, run->key);
        (void)json_array_append_new(list, json_string(outcome_name(outcome)));
    }
    (void)pthread_mutex_unlock(&client->lock);
    run_free(run);
}

static void
on_header(void *arg, const char *name, const char *value)
{
    chat_run_t *run = arg;
    if (strcasecmp(name, "X-Celeryspool-Outcome") == 0) {
        str_copy(run->outcome, sizeof(run->outcome), value);
    }
    else if (strcasecmp(name, "Retry-After") == 0) {
        run->retry_after = true;
    }
}

static void
take_token(chat_run_t *run, const char *data)
{
    CLEAN_JSON json_t *event = json_loads(data, 0, NULL);
    const json_t *choice =
        json_array_get(json_object_get(event, "choices"), 0);
    const char *content =
        json_text(json_object_get(choice, "delta"), "content");
    if (content == NULL) {
        return;
    }
    if (run->first_us == 0) {
        run->first_us = time_mono_us();
    }
    run->tokens++;
    buf_str(&run->text, content);
}

static void
take_line(chat_run_t *run, const char *line)
{
    if (strncmp(line, "id: ", 4) == 0) {
        str_copy(run->last_id, sizeof(run->last_id), line + 4);
    }
    else if (strcmp(line, "data: [DONE]") == 0) {
        run->done_mark = true;
    }
    else if (strncmp(line, "data: {", 7) == 0) {
        take_token(run, line + 6);
    }
}

static void
on_data(void *arg, int status, const char *data, size_t len)
{
    chat_run_t *run = arg;
    if (status != 200 || run->client->opts.whole || run->key[0] != '\0') {
        buf_add(&run->whole, data, len);
        return;
    }
    buf_add(&run->line, data, len);
    char *end;
    size_t at = 0;
    while ((end = memchr(run->line.data + at, '\n', run->line.len - at)) !=
           NULL) {
        *end = '\0';
        take_line(run, run->line.data + at);
        at = (size_t)(end - run->line.data) + 1;
    }
    buf_consume(&run->line, at);
}

static void
take_whole(chat_run_t *run)
{
    CLEAN_JSON json_t *body =
        json_loadb(buf_text(&run->whole), run->whole.len, 0, NULL);
    const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
    const char *content =
        json_text(json_object_get(choice, "message"), "content");
    run->first_us = time_mono_us();
    buf_str(&run->text, content == NULL ? "" : content);
}

/* An id names the number of the event that follows it, so the caller has
 * one more token than the last id says where that event arrived whole. */
static void
come_back(chat_run_t *run)
{
    char *dot = strrchr(run->last_id, '.');
    if (dot != NULL) {
        (void)snprintf(dot,
                       sizeof(run->last_id) - (size_t)(dot - run->last_id),
                       ".%u", run->tokens);
    }
    run->resumes++;
    run->target++;
    buf_free(&run->line);
    start(run);
}

static load_outcome_t
outcome_of(const chat_run_t *run, http_end_t end, int status)
{
    if (end == HTTP_END_UNSENT) {
        return LOAD_NOT_RUN;
    }
    if (end == HTTP_END_COMPLETE && status == 200) {
        bool whole = run->done_mark || run->client->opts.whole;
        if (run->key[0] != '\0') {
            return LOAD_DONE;
        }
        return whole && answer_is_right(run) ? LOAD_DONE : LOAD_WRONG;
    }
    if (strcmp(run->outcome, "not_run") == 0) {
        return run->retry_after ? LOAD_REFUSED : LOAD_NOT_RUN;
    }
    return LOAD_UNKNOWN;
}

static void
on_end(void *arg, http_end_t end, int status)
{
    chat_run_t *run = arg;
    const load_opts_t *opts = &run->client->opts;
    bool cut = end != HTTP_END_COMPLETE && end != HTTP_END_CANCELLED;
    bool chat = run->key[0] == '\0';
    if (opts->whole && chat && end == HTTP_END_COMPLETE && status == 200) {
        take_whole(run);
    }
    if (cut && chat && !run->done_mark && run->resumes < opts->resumes_max &&
        !opts->direct && end != HTTP_END_TIMEOUT) {
        come_back(run);
        return;
    }
    finish(run, outcome_of(run, end, status), status);
}

static void
start(chat_run_t *run)
{
    char url[CS_ADDR_MAX + 96];
    char key[96];
    char deadline[64];
    char resume[ID_MAX + 32];
    char idempotency[128];
    const load_opts_t *opts = &run->client->opts;
    const char *target = opts->targets[run->target % opts->target_count];
    http_call_t call = {.method = "POST",
                        .url = url,
                        .body = run->body,
                        .body_len = strlen(run->body),
                        .connect_ms = CONNECT_MS,
                        .total_ms = (int)opts->deadline_ms + 5000,
                        .on_header = on_header,
                        .on_data = on_data,
                        .on_end = on_end,
                        .arg = run};
    int at = 0;
    run->outcome[0] = '\0';
    buf_free(&run->whole);
    if (run->key[0] != '\0') {
        (void)snprintf(url, sizeof(url), "http://%s/v1/services/%s/takedown",
                       target, opts->service);
        (void)snprintf(idempotency, sizeof(idempotency), "Idempotency-Key: %s",
                       run->key);
        call.headers[at++] = idempotency;
    }
    else {
        (void)snprintf(url, sizeof(url), "http://%s/v1/chat/completions",
                       target);
    }
    (void)snprintf(key, sizeof(key), "Authorization: Bearer key-%u",
                   run->ask.workspace);
    (void)snprintf(deadline, sizeof(deadline), "X-Deadline-Ms: %u",
                   opts->deadline_ms);
    call.headers[at++] = key;
    call.headers[at++] = deadline;
    call.headers[at++] = "Content-Type: application/json";
    if (run->last_id[0] != '\0') {
        (void)snprintf(resume, sizeof(resume), "Last-Event-ID: %s",
                       run->last_id);
        call.headers[at++] = resume;
    }
    (void)http_client_start(run->client->http, &call);
}

static chat_run_t *
run_new(load_client_t *client)
{
    chat_run_t *run = mem_zalloc(sizeof(*run));
    run->client = client;
    run->began_us = time_mono_us();
    LOCK_SCOPE(&client->lock);
    run->target = client->turn++;
    client->running++;
    return run;
}

/* Send a chat. */
void
load_client_chat(load_client_t *client, const load_ask_t *ask)
{
    const load_opts_t *opts = &client->opts;
    CLEAN_BUF buf_t prompt = {0};
    json_t *messages = load_messages(opts, ask);
    chat_run_t *run = run_new(client);
    run->ask = *ask;
    prefix_render(messages, &prompt);
    for (unsigned i = 0; i < opts->version_count; i++) {
        run->seeds[i] =
            answer_seed(buf_text(&prompt), prompt.len, opts->versions[i]);
    }
    CLEAN_JSON json_t *body = json_pack(
        "{s:s,s:o,s:b,s:i}", "model", opts->model, "messages", messages,
        "stream", !opts->whole, "max_tokens", (int)opts->max_tokens);
    if (opts->direct) {
        char salt[16];
        (void)snprintf(salt, sizeof(salt), "ws-%u", ask->workspace);
        (void)json_object_set_new(body, "cache_salt", json_string(salt));
    }
    run->body = json_dumps(body, JSON_COMPACT);
    start(run);
}

/* Send a service call with a key, as often as the options say, each attempt
 * at another target without waiting for the one before. */
void
load_client_keyed(load_client_t *client, uint64_t number)
{
    char key[64];
    (void)snprintf(key, sizeof(key), "k%llu-%llu",
                   (unsigned long long)client->opts.seed,
                   (unsigned long long)number);
    (void)pthread_mutex_lock(&client->lock);
    (void)json_object_set_new(client->keyed, key, json_array());
    (void)pthread_mutex_unlock(&client->lock);
    for (unsigned i = 0; i < client->opts.key_repeats; i++) {
        chat_run_t *run = run_new(client);
        str_copy(run->key, sizeof(run->key), key);
        CLEAN_JSON json_t *body = json_pack("{s:s}", "key", key);
        run->body = json_dumps(body, JSON_COMPACT);
        start(run);
    }
}
