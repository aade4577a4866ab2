#include "load.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* The load tool's client.  Sends requests, reads streamed answers, resumes
 * at the next target when a connection breaks, and compares each answer with
 * the one that the model version must produce. */

#define HTTP_THREADS 2
#define SLOW_REFUSAL_MS 3000
#define EVENT_ID_MAX 640
#define CONNECT_TIMEOUT_MS 2000

struct load_client {
    load_opts_t opts;
    load_test_report_t *report;
    http_client_t *http;
    pthread_mutex_t lock;
    size_t running;
    unsigned next_target;
    int64_t started_us;
    json_t *keyed; /* idempotency key -> list of outcomes */
    FILE *history;
};

typedef struct {
    load_client_t *client;
    load_chat_t chat;
    char *body;
    uint64_t seeds[LOAD_VERSIONS_MAX];
    unsigned target;
    int64_t started_us;
    int64_t first_token_us;
    unsigned resumes;
    char last_event_id[EVENT_ID_MAX];
    char outcome[16];
    char key[64]; /* idempotency key of a service call; empty for a chat */
    bool retry_after;
    bool done_marker_seen; /* the stream's closing [DONE] was read */
    uint32_t tokens_received;
    buf_t line_buffer;
    buf_t answer_text;
    buf_t response_body;
} request_t;

static void start_attempt(request_t *request);

/* Create a client that sends to the targets in the options. */
load_client_t *
load_client_new(const load_opts_t *opts, load_test_report_t *report)
{
    load_client_t *client = mem_zalloc(sizeof(*client));
    client->opts = *opts;
    client->report = report;
    client->http = http_client_new(HTTP_THREADS);
    client->started_us = time_mono_us();
    client->keyed = json_object();
    (void)pthread_mutex_init(&client->lock, NULL);
    if (opts->history[0] != '\0') {
        client->history = fopen(opts->history, "we");
    }
    return client;
}

/* Abort the requests that are still running and free the client. */
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
load_client_running_count(load_client_t *client)
{
    LOCK_SCOPE(&client->lock);
    return client->running;
}

/* The outcomes of all attempts, by idempotency key. */
json_t *
load_client_keyed_json(load_client_t *client)
{
    LOCK_SCOPE(&client->lock);
    return json_deep_copy(client->keyed);
}

static void
request_free(request_t *request)
{
    free(request->body);
    buf_free(&request->line_buffer);
    buf_free(&request->answer_text);
    buf_free(&request->response_body);
    free(request);
}

static bool
answer_matches(const request_t *request, unsigned version)
{
    const char *at = buf_text(&request->answer_text);
    for (uint32_t i = 0; i < request->client->opts.max_tokens; i++) {
        char token[16];
        answer_format_token(request->seeds[version], i, token);
        if (strncmp(at, token, strlen(token)) != 0) {
            return false;
        }
        at += strlen(token);
    }
    return *at == '\0';
}

static bool
answer_is_correct(const request_t *request)
{
    for (unsigned i = 0; i < request->client->opts.version_count; i++) {
        if (answer_matches(request, i)) {
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
write_history(const request_t *request, load_outcome_t outcome, int status)
{
    load_client_t *client = request->client;
    if (client->history == NULL) {
        return;
    }
    CLEAN_JSON json_t *line =
        json_pack("{s:I,s:I,s:s,s:s,s:i,s:i,s:i}", "from_us",
                  (json_int_t)(request->started_us - client->started_us),
                  "to_us", (json_int_t)(time_mono_us() - client->started_us),
                  "key", request->key, "outcome", outcome_name(outcome),
                  "status", status, "tokens", (int)request->tokens_received,
                  "workspace", (int)request->chat.workspace);
    CLEAN_TEXT char *text = json_dumps(line, JSON_COMPACT);
    LOCK_SCOPE(&client->lock);
    (void)fprintf(client->history, "%s\n", text);
}

static void
finish_request(request_t *request, load_outcome_t outcome, int status)
{
    load_client_t *client = request->client;
    int64_t now = time_mono_us();
    load_result_t result = {
        .workspace = request->chat.workspace,
        .started_s = (double)(request->started_us - client->started_us) / 1e6,
        .ttft_ms =
            request->first_token_us == 0
                ? -1
                : (double)(request->first_token_us - request->started_us) /
                      1e3,
        .total_ms = (double)(now - request->started_us) / 1e3,
        .resumes = request->resumes,
        .outcome = outcome};
    result.slow_refusal =
        outcome == LOAD_REFUSED &&
        (!request->retry_after || result.total_ms > SLOW_REFUSAL_MS);
    write_history(request, outcome, status);
    if (request->key[0] == '\0') {
        load_report_add(client->report, &result);
    }
    (void)pthread_mutex_lock(&client->lock);
    client->running--;
    if (request->key[0] != '\0') {
        json_t *list = json_object_get(client->keyed, request->key);
        (void)json_array_append_new(list, json_string(outcome_name(outcome)));
    }
    (void)pthread_mutex_unlock(&client->lock);
    request_free(request);
}

static void
on_header(void *arg, const char *name, const char *value)
{
    request_t *request = arg;
    if (strcasecmp(name, "X-Celeryspool-Outcome") == 0) {
        str_copy(request->outcome, sizeof(request->outcome), value);
    }
    else if (strcasecmp(name, "Retry-After") == 0) {
        request->retry_after = true;
    }
}

static void
add_token(request_t *request, const char *data)
{
    CLEAN_JSON json_t *event = json_loads(data, 0, NULL);
    const json_t *choice =
        json_array_get(json_object_get(event, "choices"), 0);
    const char *content =
        json_get_string(json_object_get(choice, "delta"), "content");
    if (content == NULL) {
        return;
    }
    if (request->first_token_us == 0) {
        request->first_token_us = time_mono_us();
    }
    request->tokens_received++;
    buf_str(&request->answer_text, content);
}

static void
handle_line(request_t *request, const char *line)
{
    if (strncmp(line, "id: ", 4) == 0) {
        str_copy(request->last_event_id, sizeof(request->last_event_id),
                 line + 4);
    }
    else if (strcmp(line, "data: [DONE]") == 0) {
        request->done_marker_seen = true;
    }
    else if (strncmp(line, "data: {", 7) == 0) {
        add_token(request, line + 6);
    }
}

static void
on_data(void *arg, int status, const char *data, size_t len)
{
    request_t *request = arg;
    if (status != 200 || request->client->opts.unstreamed ||
        request->key[0] != '\0') {
        buf_add(&request->response_body, data, len);
        return;
    }
    buf_add(&request->line_buffer, data, len);
    char *end;
    size_t at = 0;
    while ((end = memchr(request->line_buffer.data + at, '\n',
                         request->line_buffer.len - at)) != NULL) {
        *end = '\0';
        handle_line(request, request->line_buffer.data + at);
        at = (size_t)(end - request->line_buffer.data) + 1;
    }
    buf_consume(&request->line_buffer, at);
}

static void
handle_complete_answer(request_t *request)
{
    CLEAN_JSON json_t *body = json_loadb(buf_text(&request->response_body),
                                         request->response_body.len, 0, NULL);
    const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
    const char *content =
        json_get_string(json_object_get(choice, "message"), "content");
    request->first_token_us = time_mono_us();
    buf_str(&request->answer_text, content == NULL ? "" : content);
}

/* Resume a broken stream at the next target.  An event id carries the index of
 * the token in the event that follows it, so the last id is one too low if
 * that event arrived completely.  Last-Event-ID is therefore sent with the
 * number of tokens received. */
static void
resume_stream(request_t *request)
{
    char *dot = strrchr(request->last_event_id, '.');
    if (dot != NULL) {
        (void)snprintf(dot,
                       sizeof(request->last_event_id) -
                           (size_t)(dot - request->last_event_id),
                       ".%u", request->tokens_received);
    }
    request->resumes++;
    request->target++;
    buf_free(&request->line_buffer);
    start_attempt(request);
}

static load_outcome_t
classify_outcome(const request_t *request, http_end_t end, int status)
{
    if (end == HTTP_END_UNSENT) {
        return LOAD_NOT_RUN;
    }
    if (end == HTTP_END_COMPLETE && status == 200) {
        bool complete =
            request->done_marker_seen || request->client->opts.unstreamed;
        if (request->key[0] != '\0') {
            return LOAD_DONE;
        }
        return complete && answer_is_correct(request) ? LOAD_DONE : LOAD_WRONG;
    }
    if (strcmp(request->outcome, "not_run") == 0) {
        return request->retry_after ? LOAD_REFUSED : LOAD_NOT_RUN;
    }
    return LOAD_UNKNOWN;
}

static void
on_end(void *arg, http_end_t end, int status)
{
    request_t *request = arg;
    const load_opts_t *opts = &request->client->opts;
    bool cut = end != HTTP_END_COMPLETE && end != HTTP_END_CANCELLED;
    bool is_chat = request->key[0] == '\0';
    if (opts->unstreamed && is_chat && end == HTTP_END_COMPLETE &&
        status == 200) {
        handle_complete_answer(request);
    }
    if (cut && is_chat && !request->done_marker_seen &&
        request->resumes < opts->resumes_max && !opts->bypass_router &&
        end != HTTP_END_TIMEOUT) {
        resume_stream(request);
        return;
    }
    finish_request(request, classify_outcome(request, end, status), status);
}

static void
start_attempt(request_t *request)
{
    char url[CS_ADDR_MAX + 96];
    char key[96];
    char deadline[64];
    char resume[EVENT_ID_MAX + 32];
    char idempotency[128];
    const load_opts_t *opts = &request->client->opts;
    const char *target = opts->targets[request->target % opts->target_count];
    http_client_request_t call = {.method = "POST",
                                  .url = url,
                                  .body = request->body,
                                  .body_len = strlen(request->body),
                                  .connect_ms = CONNECT_TIMEOUT_MS,
                                  .total_ms = (int)opts->deadline_ms + 5000,
                                  .on_header = on_header,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .arg = request};
    int header_count = 0;
    request->outcome[0] = '\0';
    buf_free(&request->response_body);
    if (request->key[0] != '\0') {
        (void)snprintf(url, sizeof(url), "http://%s/v1/services/%s/takedown",
                       target, opts->service);
        (void)snprintf(idempotency, sizeof(idempotency), "Idempotency-Key: %s",
                       request->key);
        call.headers[header_count++] = idempotency;
    }
    else {
        (void)snprintf(url, sizeof(url), "http://%s/v1/chat/completions",
                       target);
    }
    (void)snprintf(key, sizeof(key), "Authorization: Bearer key-%u",
                   request->chat.workspace);
    (void)snprintf(deadline, sizeof(deadline), "X-Deadline-Ms: %u",
                   opts->deadline_ms);
    call.headers[header_count++] = key;
    call.headers[header_count++] = deadline;
    call.headers[header_count++] = "Content-Type: application/json";
    if (request->last_event_id[0] != '\0') {
        (void)snprintf(resume, sizeof(resume), "Last-Event-ID: %s",
                       request->last_event_id);
        call.headers[header_count++] = resume;
    }
    (void)http_client_start(request->client->http, &call);
}

static request_t *
request_new(load_client_t *client)
{
    request_t *request = mem_zalloc(sizeof(*request));
    request->client = client;
    request->started_us = time_mono_us();
    LOCK_SCOPE(&client->lock);
    request->target = client->next_target++;
    client->running++;
    return request;
}

/* Send a chat completion request. */
void
load_client_send_chat(load_client_t *client, const load_chat_t *chat)
{
    const load_opts_t *opts = &client->opts;
    CLEAN_BUF buf_t prompt = {0};
    json_t *messages = load_plan_messages(opts, chat);
    request_t *request = request_new(client);
    request->chat = *chat;
    prefix_render(messages, &prompt);
    for (unsigned i = 0; i < opts->version_count; i++) {
        request->seeds[i] =
            answer_seed(buf_text(&prompt), prompt.len, opts->versions[i]);
    }
    CLEAN_JSON json_t *body = json_pack(
        "{s:s,s:o,s:b,s:i}", "model", opts->model, "messages", messages,
        "stream", !opts->unstreamed, "max_tokens", (int)opts->max_tokens);
    if (opts->bypass_router) {
        char salt[16];
        (void)snprintf(salt, sizeof(salt), "ws-%u", chat->workspace);
        (void)json_object_set_new(body, "cache_salt", json_string(salt));
    }
    request->body = json_dumps(body, JSON_COMPACT);
    start_attempt(request);
}

/* Send a service call key_attempts times with the same idempotency key, each
 * attempt to the next target and without waiting for the previous one. */
void
load_client_send_keyed(load_client_t *client, uint64_t number)
{
    char key[64];
    (void)snprintf(key, sizeof(key), "k%llu-%llu",
                   (unsigned long long)client->opts.seed,
                   (unsigned long long)number);
    (void)pthread_mutex_lock(&client->lock);
    (void)json_object_set_new(client->keyed, key, json_array());
    (void)pthread_mutex_unlock(&client->lock);
    for (unsigned i = 0; i < client->opts.key_attempts; i++) {
        request_t *request = request_new(client);
        str_copy(request->key, sizeof(request->key), key);
        CLEAN_JSON json_t *body = json_pack("{s:s}", "key", key);
        request->body = json_dumps(body, JSON_COMPACT);
        start_attempt(request);
    }
}
