#include "daemon.h"

#include <stdlib.h>
#include <string.h>

/* The caller's side of a chat: checks its request and sends the end of the
 * answer. */

#define MESSAGES_MAX 256
#define MAX_TOKENS_MAX 100000
#define OUTCOME_HEADER "X-Celeryspool-Outcome"

static int
check_message(const json_t *message, size_t index, err_t *err)
{
    if (!json_is_object(message)) {
        return err_set(err, ERR_CALL, 400, "messages[%zu] is not an object",
                       index);
    }
    if (json_get_string(message, "role") == NULL) {
        return err_set(err, ERR_CALL, 400,
                       "messages[%zu].role is missing or not a text", index);
    }
    if (json_get_string(message, "content") == NULL) {
        return err_set(err, ERR_CALL, 400,
                       "messages[%zu].content is missing or not a text",
                       index);
    }
    return 0;
}

static int
check_messages(const json_t *messages, err_t *err)
{
    size_t i;
    const json_t *message;
    if (!json_is_array(messages) || json_array_size(messages) == 0) {
        return err_set(err, ERR_CALL, 400,
                       "messages is missing or not a list with members");
    }
    if (json_array_size(messages) > MESSAGES_MAX) {
        return err_set(err, ERR_CALL, 400, "messages has over %d members",
                       MESSAGES_MAX);
    }
    json_array_foreach (messages, i, message) {
        if (check_message(message, i, err) != 0) {
            return -1;
        }
    }
    return 0;
}

static int
check_options(const json_t *body, err_t *err)
{
    const json_t *max = json_object_get(body, "max_tokens");
    const json_t *stream = json_object_get(body, "stream");
    json_int_t tokens = json_integer_value(max);
    if (max != NULL &&
        (!json_is_integer(max) || tokens < 1 || tokens > MAX_TOKENS_MAX)) {
        return err_set(err, ERR_CALL, 400,
                       "max_tokens is not a whole number from 1 to %d",
                       MAX_TOKENS_MAX);
    }
    if (stream != NULL && !json_is_boolean(stream)) {
        return err_set(err, ERR_CALL, 400, "stream is not true or false");
    }
    return 0;
}

/* Parse and check a body; NULL with an error that names the field. */
json_t *
chat_body_parse(const char *text, size_t len, err_t *err)
{
    json_error_t where;
    if (!utf8_is_valid(text, len)) {
        (void)err_set(err, ERR_CALL, 400, "the body is not valid UTF-8");
        return NULL;
    }
    json_t *body = json_loadb(text, len, JSON_REJECT_DUPLICATES, &where);
    if (!json_is_object(body)) {
        json_decref(body);
        (void)err_set(err, ERR_CALL, 400,
                      "the body is not a JSON object: %.120s at byte %d",
                      where.text, where.position);
        return NULL;
    }
    if (check_messages(json_object_get(body, "messages"), err) != 0 ||
        check_options(body, err) != 0) {
        json_decref(body);
        return NULL;
    }
    return body;
}

/* Move a partial answer, which the caller sent as the final message to be
 * continued, from the body to the answer text. */
static void
move_partial_answer(chat_t *chat)
{
    json_t *messages = json_object_get(chat->body, "messages");
    size_t count = json_array_size(messages);
    if (!json_get_bool(chat->body, "continue_final_message") || count == 0) {
        return;
    }
    (void)json_object_del(chat->body, "continue_final_message");
    const char *text =
        json_get_string(json_array_get(messages, count - 1), "content");
    buf_str(&chat->text, text);
    (void)json_array_remove(messages, count - 1);
}

static uint64_t
hash_prompt(const char *workspace, const chat_t *chat)
{
    CLEAN_BUF buf_t text = {0};
    prefix_render(json_object_get(chat->body, "messages"), &text);
    return str_hash(buf_text(&text), str_hash(workspace, 0));
}

static bool
token_matches_call(const call_t *call, const resume_t *resume)
{
    return strcmp(resume->workspace, call->workspace) == 0 &&
           resume->prompt_hash == call->u.chat.prompt_hash;
}

/* Resume a stream that began at this or another daemon.  A token of another
 * workspace or of another prompt is rejected. */
static void
resume_call(call_t *call, const char *last_event_id, const config_t *config)
{
    chat_t *chat = &call->u.chat;
    resume_t resume;
    uint32_t offset;
    err_t err = {0};
    if (resume_token_verify(&resume, call->daemon->settings.secret,
                            last_event_id, &offset, &err) != 0) {
        call_fail(call, 400, "bad_resume", OUTCOME_NOT_RUN, err.text);
        return;
    }
    const backend_t *backend = config_find_backend(config, resume.backend);
    if (!token_matches_call(call, &resume) || backend == NULL) {
        call_fail(call, 409, "other_stream", OUTCOME_NOT_RUN,
                  "Last-Event-ID belongs to another request");
        return;
    }
    chat->emitted = offset;
    chat->resumed = true;
    call->backend_id = view_assign_id(call->daemon->view, backend->name);
    str_copy(call->backend, sizeof(call->backend), backend->name);
    str_copy(call->addr, sizeof(call->addr), backend->addr);
    str_copy(call->incarnation, sizeof(call->incarnation), resume.incarnation);
    str_copy(call->stream_id, sizeof(call->stream_id), resume.stream);
    str_copy(call->version, sizeof(call->version), resume.version);
    str_copy(chat->resume_token, sizeof(chat->resume_token), last_event_id);
    *strrchr(chat->resume_token, '.') = '\0';
    event_emit(&(event_t){.kind = "resume-asked",
                          .request = call->id,
                          .workspace = call->workspace,
                          .backend = call->backend,
                          .received = call->stream_id});
    chat_attempt_resume(call);
}

static void
resume_or_dispatch(call_t *call, const char *last_event_id,
                   const config_t *config)
{
    if (last_event_id != NULL && call->u.chat.stream) {
        (void)pthread_mutex_lock(&call->lock);
        resume_call(call, last_event_id, config);
        (void)pthread_mutex_unlock(&call->lock);
        return;
    }
    retry_budget_earn(&call->daemon->retry_budget);
    dispatch_submit(call);
}

/* Serve POST /v1/chat/completions. */
void
chat_handle(celeryspoold_t *daemon, http_req_t *req,
            const workspace_t *workspace, const config_t *config)
{
    err_t err = {0};
    size_t len;
    const char *text = http_req_body(req, &len);
    json_t *body = chat_body_parse(text, len, &err);
    if (body == NULL) {
        http_req_reply_header(req, OUTCOME_HEADER,
                              outcome_name(OUTCOME_NOT_RUN));
        http_req_reply_error(req, 400, "bad_request", "%s", err.text);
        return;
    }
    const char *model = json_get_string(body, "model");
    if (config_find_model(config, model) == NULL) {
        http_req_reply_header(req, OUTCOME_HEADER,
                              outcome_name(OUTCOME_NOT_RUN));
        http_req_reply_error(req, 404, "unknown_model",
                             "model %.64s is not declared",
                             model == NULL ? "(none)" : model);
        json_decref(body);
        return;
    }
    call_t *call = call_new(daemon, req, CALL_CHAT, workspace, model);
    chat_t *chat = &call->u.chat;
    chat->body = body;
    chat->stream = json_get_bool(body, "stream");
    move_partial_answer(chat);
    cache_salt_derive(daemon->settings.secret, workspace->name, model,
                      chat->salt);
    chat->prompt_hash = hash_prompt(workspace->name, chat);
    prefix_compute(&chat->prefix, json_object_get(body, "messages"),
                   chat->salt, config_find_model(config, model)->version);
    call->queue_item.cost = chat->prefix.tokens;
    call_emit_event(call, "received", NULL);
    resume_or_dispatch(call, http_req_header(req, "Last-Event-ID"), config);
    call_unref(call);
}

static void
finish_stream(call_t *call)
{
    CLEAN_BUF buf_t text = {0};
    /* Not open yet if the caller resumed with all tokens but not the end. */
    http_req_stream(call->req, 200, "text/event-stream");
    buf_fmt(&text,
            "event: outcome\ndata: {\"outcome\":\"done\",\"request\":\"%s\","
            "\"tokens\":%u}\n\ndata: [DONE]\n\n",
            call->id, call->u.chat.emitted);
    http_req_write(call->req, buf_text(&text), text.len);
    http_req_end(call->req, true);
}

static void
finish_response(call_t *call)
{
    const chat_t *chat = &call->u.chat;
    CLEAN_JSON json_t *body = json_pack(
        "{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:i,s:i,s:{s:i}}}", "id",
        call->id, "object", "chat.completion", "model", call->target,
        "choices", "index", 0, "message", "role", "assistant", "content",
        buf_text(&chat->text), "finish_reason", "stop", "usage",
        "prompt_tokens", (int)chat->prompt_tokens, "completion_tokens",
        (int)chat->emitted, "prompt_tokens_details", "cached_tokens",
        (int)chat->cached_tokens);
    http_req_reply_header(call->req, OUTCOME_HEADER,
                          outcome_name(OUTCOME_DONE));
    http_req_reply_json(call->req, 200, body);
}

/* Finish a call whose answer is complete: end its stream or send the whole
 * response.  The call's lock is held. */
void
chat_finish(call_t *call)
{
    const chat_t *chat = &call->u.chat;
    if (call->phase == CALL_ENDED) {
        return;
    }
    series_increment(call->series, METRIC_PROMPT_TOKENS, chat->prompt_tokens);
    series_increment(call->series, METRIC_CACHED_TOKENS, chat->cached_tokens);
    series_increment(call->series, METRIC_OUTPUT_TOKENS, chat->emitted);
    if (chat->stream) {
        finish_stream(call);
    }
    else {
        finish_response(call);
    }
    call_end(call, OUTCOME_DONE);
}
