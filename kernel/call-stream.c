#include "daemon.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* The backend servers' side of a chat: one leg is one exchange with one
 * server.  Every callback names its leg; a leg that is not the newest has
 * been given up and changes nothing, so late or crossed bytes of an older
 * exchange cannot reach the caller. */

#define CONNECT_MS 300
#define ERROR_BODY_MAX 2048
#define BACKLOG_MAX (8 << 20)

typedef struct {
    call_t *call;
    unsigned number;
    char incarnation[CS_ID_LEN + 1];
    char version[CS_NAME_MAX];
    buf_t error;
    bool checked;
    bool wrong; /* another version or incarnation than this leg is for */
    bool resume;
} leg_t;

static leg_t *
leg_new(call_t *call, bool resume)
{
    leg_t *leg = mem_zalloc(sizeof(*leg));
    call_hold(call);
    leg->call = call;
    leg->number = ++call->leg;
    leg->resume = resume;
    call->started = false;
    call->last_us = time_mono_us();
    call->probe_failures = 0;
    buf_free(&call->u.chat.sse);
    return leg;
}

static void
leg_free(leg_t *leg)
{
    call_release(leg->call);
    buf_free(&leg->error);
    free(leg);
}

static void
on_header(void *arg, const char *name, const char *value)
{
    leg_t *leg = arg;
    if (strcasecmp(name, "X-Engine-Incarnation") == 0) {
        str_copy(leg->incarnation, sizeof(leg->incarnation), value);
    }
    else if (strcasecmp(name, "X-Model-Version") == 0) {
        str_copy(leg->version, sizeof(leg->version), value);
    }
}

/* Before the first byte is used: is this the engine, with the weights, that
 * the leg was meant for?  Otherwise the leg is thrown away whole. */
static void
check_identity(call_t *call, leg_t *leg)
{
    leg->checked = true;
    bool other_version =
        leg->version[0] != '\0' && strcmp(leg->version, call->version) != 0;
    bool other_life =
        leg->resume && strcmp(leg->incarnation, call->incarnation) != 0;
    leg->wrong = other_version || other_life;
    if (!leg->wrong) {
        str_copy(call->incarnation, sizeof(call->incarnation),
                 leg->incarnation);
    }
}

static void
seal_token(call_t *call)
{
    resume_t resume = {.ask = call->u.chat.ask};
    str_copy(resume.workspace, sizeof(resume.workspace), call->workspace);
    str_copy(resume.backend, sizeof(resume.backend), call->backend);
    str_copy(resume.incarnation, sizeof(resume.incarnation),
             call->incarnation);
    str_copy(resume.stream, sizeof(resume.stream), call->stream_id);
    str_copy(resume.version, sizeof(resume.version), call->version);
    resume_seal(&resume, call->daemon->settings.secret, call->u.chat.token);
}

/* The first thing that a leg brings: open the caller's stream, and learn
 * from how long it took. */
static void
note_start(call_t *call)
{
    chat_t *chat = &call->u.chat;
    int64_t now = time_mono_us();
    if (call->counted && !call->started) {
        view_first_token(call->daemon->view, call->backend_id, call->uncached,
                         call->expected_ms,
                         (double)(now - call->sent_us) / 1e3);
        view_succeeded(call->daemon->view, call->backend_id);
    }
    call->started = true;
    seal_token(call);
    if (call->phase != CALL_STREAMING) {
        call->phase = CALL_STREAMING;
        series_observe(call->series, METRIC_TTFT, now - call->began_us);
        call_event(call, "first-token", NULL);
        if (chat->stream) {
            http_req_stream(call->req, 200, "text/event-stream");
        }
    }
}

/* Pass one event on, under an id by which its caller can come back.  It goes
 * in one piece, since each write may wake the caller's connection. */
static void
emit(call_t *call, const char *data, size_t len)
{
    chat_t *chat = &call->u.chat;
    buf_t *out = &chat->out;
    out->len = 0;
    buf_fmt(out, "id: %s.%u\n", chat->token, chat->emitted);
    buf_add(out, data, len);
    buf_add(out, "\n\n", 2);
    http_req_write(call->req, buf_text(out), out->len);
}

static void
take_usage(chat_t *chat, const json_t *usage)
{
    const json_t *details = json_object_get(usage, "prompt_tokens_details");
    if (usage == NULL || chat->prompt_tokens > 0) {
        return;
    }
    chat->prompt_tokens = (uint32_t)json_int(usage, "prompt_tokens", 0);
    chat->cached_tokens = (uint32_t)json_int(details, "cached_tokens", 0);
}

/* One event of the upstream: a token, the usage at the end, or [DONE]. */
static void
take_event(call_t *call, const char *line, size_t len)
{
    static const char mark[] = "data: ";
    chat_t *chat = &call->u.chat;
    if (len < sizeof(mark) - 1 || memcmp(line, mark, sizeof(mark) - 1) != 0) {
        return;
    }
    const char *data = line + sizeof(mark) - 1;
    size_t data_len = len - (sizeof(mark) - 1);
    if (data_len == 6 && memcmp(data, "[DONE]", 6) == 0) {
        chat->finished = !chat->gap;
        return;
    }
    CLEAN_JSON json_t *event = json_loadb(data, data_len, 0, NULL);
    const json_t *choice =
        json_array_get(json_object_get(event, "choices"), 0);
    const char *content =
        json_text(json_object_get(choice, "delta"), "content");
    take_usage(chat, json_object_get(event, "usage"));
    if (content == NULL) {
        return;
    }
    int64_t index = json_int(event, "token_index", chat->emitted);
    /* Tokens that the caller has already are passed over; one that is ahead
     * means that some are missing, and the answer must not look whole. */
    chat->gap = chat->gap || index > (int64_t)chat->emitted;
    if (index != (int64_t)chat->emitted) {
        return;
    }
    if (!call->started) {
        note_start(call);
    }
    else {
        series_observe(call->series, METRIC_TOKEN_GAP,
                       time_mono_us() - call->last_us);
    }
    chat->emitted++;
    buf_str(&chat->text, content);
    if (chat->stream) {
        emit(call, line, len);
    }
}

/* Take upstream bytes, event by event. */
void
chat_take(call_t *call, const char *data, size_t len)
{
    chat_t *chat = &call->u.chat;
    buf_add(&chat->sse, data, len);
    size_t at = 0;
    for (;;) {
        char *from = chat->sse.data + at;
        char *end = memmem(from, chat->sse.len - at, "\n\n", 2);
        if (end == NULL) {
            break;
        }
        take_event(call, from, (size_t)(end - from));
        at += (size_t)(end - from) + 2;
    }
    buf_consume(&chat->sse, at);
    call->last_us = time_mono_us();
}

static void
on_data(void *arg, int status, const char *data, size_t len)
{
    leg_t *leg = arg;
    call_t *call = leg->call;
    LOCK_SCOPE(&call->lock);
    if (leg->number != call->leg || call->phase == CALL_ENDED) {
        return;
    }
    if (status != 200) {
        if (leg->error.len + len < ERROR_BODY_MAX) {
            buf_add(&leg->error, data, len);
        }
        return;
    }
    if (!leg->checked) {
        check_identity(call, leg);
    }
    if (leg->wrong) {
        return;
    }
    chat_take(call, data, len);
    if (http_req_gone(call->req) ||
        http_req_backlog(call->req) > BACKLOG_MAX) {
        call_event(call, "caller-gone", NULL);
        http_client_cancel(call->daemon->client, call->xfer);
        call_fail(call, 499, "caller_gone", OUTCOME_UNKNOWN,
                  "the caller does not read");
    }
}

static void
learn(call_t *call)
{
    const chat_t *chat = &call->u.chat;
    celeryspoold_t *daemon = call->daemon;
    for (unsigned i = 0; i < chat->prefix.count; i++) {
        const prefix_level_t *level = &chat->prefix.levels[i];
        /* The last level is this request's own; peers learn of it only if
         * others follow it, as a further level of theirs. */
        bool shared = i + 1 < chat->prefix.count;
        if (cache_map_note(daemon->cache, call->backend_id, level->key,
                           level->tokens) &&
            shared) {
            peer_tell_cached(daemon->peer, call->backend, level->key,
                             level->tokens, true);
        }
    }
}

static bool
is_client_error(int status)
{
    return status >= 400 && status < 500 && status != 404 && status != 408 &&
           status != 409 && status != 429;
}

/* The engine answered that it has not begun the request: it has other
 * weights than were believed, is loading some, or is full. */
static bool
is_refusal(int status)
{
    return status == 409 || status == 429 || status == 503;
}

/* A refusal costs nothing from the retry budget, for nothing ran.  A server
 * that only has other weights may be asked again, by what it has. */
static void
leg_refused(call_t *call, const leg_t *leg, int status)
{
    celeryspoold_t *daemon = call->daemon;
    call_event(call, "leg-refused", buf_text(&leg->error));
    call_uncount(call);
    bool other_weights = status == 409 && leg->version[0] != '\0';
    if (other_weights) {
        view_version(daemon->view, call->backend_id, leg->version);
        cache_map_forget(daemon->cache, call->backend_id);
    }
    chat_redirect(call, other_weights);
}

/* A leg ended without the end of the answer. */
static void
leg_broke(call_t *call, leg_t *leg, http_end_t end, int status)
{
    bool answered = end == HTTP_END_WHOLE;
    if (answered && is_client_error(status)) {
        call_fail(call, status, "refused_by_engine", OUTCOME_NOT_RUN,
                  buf_text(&leg->error));
        return;
    }
    if (answered && is_refusal(status) && !leg->resume) {
        leg_refused(call, leg, status);
        return;
    }
    if (!answered) {
        view_failed(call->daemon->view, call->backend_id, time_mono_ms());
    }
    call->may_have_run = call->may_have_run || end != HTTP_END_UNSENT;
    call_event(call, "leg-broke",
               end == HTTP_END_UNSENT ? "unreachable"
               : answered             ? "refused"
                                      : "cut");
    call_uncount(call);
    bool resumable =
        !leg->resume && !leg->wrong && end == HTTP_END_CUT && call->started;
    chat_recover(call, resumable);
}

static void
on_end(void *arg, http_end_t end, int status)
{
    leg_t *leg = arg;
    call_t *call = leg->call;
    celeryspoold_t *daemon = call->daemon;
    (void)pthread_mutex_lock(&call->lock);
    if (leg->number == call->leg && call->phase != CALL_ENDED) {
        if (call->u.chat.finished) {
            learn(call);
            chat_finish(call);
        }
        else {
            leg_broke(call, leg, end, status);
        }
    }
    (void)pthread_mutex_unlock(&call->lock);
    leg_free(leg);
    dispatch_run(daemon);
}

/* Fair order must hold in the engine's queue too: between workspaces of equal
 * priority, one that keeps within its share, and so has nothing waiting here,
 * goes before one with a backlog. */
static int
engine_priority(const call_t *call)
{
    return call->priority * 2 + (call->item.first ? 1 : 0);
}

/* The body for an engine: the caller's, with what is ours added, and behind
 * the messages the part of the answer that is there already. */
static char *
upstream_body(call_t *call)
{
    chat_t *chat = &call->u.chat;
    CLEAN_JSON json_t *body = json_copy(chat->body);
    (void)json_object_set_new(body, "cache_salt", json_string(chat->salt));
    (void)json_object_set_new(body, "priority",
                              json_integer(engine_priority(call)));
    (void)json_object_set_new(body, "request_id",
                              json_string(call->stream_id));
    (void)json_object_set_new(body, "version", json_string(call->version));
    (void)json_object_set_new(body, "stream", json_true());
    if (chat->text.len > 0) {
        json_t *messages = json_copy(json_object_get(body, "messages"));
        (void)json_array_append_new(
            messages, json_pack("{s:s,s:s}", "role", "assistant", "content",
                                buf_text(&chat->text)));
        (void)json_object_set_new(body, "messages", messages);
        (void)json_object_set_new(body, "continue_final_message", json_true());
    }
    return json_dumps(body, JSON_COMPACT);
}

static void
leg_launch(call_t *call, leg_t *leg, const char *method, const char *url,
           const char *body)
{
    http_call_t ask = {.method = method,
                       .url = url,
                       .body = body,
                       .body_len = body == NULL ? 0 : strlen(body),
                       .connect_ms = CONNECT_MS,
                       .fresh = leg->resume,
                       .on_header = on_header,
                       .on_data = on_data,
                       .on_end = on_end,
                       .arg = leg};
    ask.headers[0] = "Content-Type: application/json";
    ask.headers[1] = "Accept: text/event-stream";
    call->xfer = http_client_start(call->daemon->client, &ask);
}

/* Send a chat to the chosen server.  The call's lock is held. */
void
chat_leg_start(call_t *call, const candidate_t *candidate)
{
    char url[CS_ADDR_MAX + 64];
    const chat_t *chat = &call->u.chat;
    leg_t *leg = leg_new(call, false);
    call->backend_id = candidate->id;
    call->attempts++;
    call->sent_us = time_mono_us();
    call->uncached = chat->prefix.tokens > candidate->cached
                         ? chat->prefix.tokens - candidate->cached
                         : 0;
    call->expected_ms =
        candidate->wait_ms + place_recompute_ms(candidate, &chat->prefix);
    call->phase = chat->emitted > 0 ? call->phase : CALL_SENT;
    call->counted = true;
    view_sent(call->daemon->view, call->backend_id, call->uncached);
    /* The server will hold these levels once it has begun, so requests that
     * come right behind should go there too. */
    learn(call);
    id_random(call->stream_id);
    call_event(call, "placed", call->why);
    event_emit(&(event_t){.kind = "sent",
                          .request = call->id,
                          .workspace = call->workspace,
                          .backend = call->backend,
                          .sent = call->stream_id});
    CLEAN_TEXT char *body = upstream_body(call);
    (void)snprintf(url, sizeof(url), "http://%s/v1/chat/completions",
                   call->addr);
    leg_launch(call, leg, "POST", url, body);
}

/* Go on with the stream at the same server, on a new connection.  The call's
 * lock is held. */
void
chat_resume_leg(call_t *call)
{
    char url[CS_ADDR_MAX + 128];
    leg_t *leg = leg_new(call, true);
    /* From now on the stream is watched, also if its server is frozen. */
    call->phase = call->phase == CALL_QUEUED ? CALL_SENT : call->phase;
    series_increment(call->series, METRIC_RESUMED, 1);
    call_event(call, "resumed", NULL);
    (void)snprintf(url, sizeof(url), "http://%s/v1/streams/%s?offset=%u",
                   call->addr, call->stream_id, call->u.chat.emitted);
    leg_launch(call, leg, "GET", url, NULL);
}
