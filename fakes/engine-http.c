#include "fakes.h"

#include <string.h>

#define STREAMS_PATH "/v1/streams/"

static void
add_identity(engine_t *engine, http_req_t *req)
{
    http_req_reply_header(req, "X-Engine-Incarnation", engine->incarnation);
    http_req_reply_header(req, "X-Model-Version", engine->version);
}

/* POST /v1/chat/completions */
static void
handle_chat(engine_t *engine, http_req_t *req)
{
    CLEAN_JSON json_t *body = json_loads(http_req_body(req, NULL), 0, NULL);
    const char *requested_version =
        body == NULL ? NULL : json_get_string(body, "version");
    err_t err = {0};
    if (engine->loading[0] != '\0') {
        add_identity(engine, req);
        http_req_reply_error(req, 503, "loading", "%s is being loaded",
                             engine->loading);
        return;
    }
    if (requested_version != NULL &&
        strcmp(requested_version, engine->version) != 0) {
        add_identity(engine, req);
        http_req_reply_error(req, 409, "other_version", "%s is loaded",
                             engine->version);
        return;
    }
    http_req_ref(req);
    seq_t *seq = engine_admit(engine, body, req, &err);
    if (seq == NULL) {
        http_req_reply_error(req, 400, "bad_request", "%s", err.text);
        http_req_unref(req);
        return;
    }
    add_identity(engine, req);
    if (seq->stream) {
        http_req_stream(req, 200, "text/event-stream");
    }
}

/* GET /v1/streams/ID?offset=N resumes a stream on a new connection and ends
 * the previous one.  With status=1 it only returns the stream's progress. */
static void
handle_stream(engine_t *engine, http_req_t *req)
{
    seq_t *seq =
        engine_find(engine, http_req_path(req) + strlen(STREAMS_PATH));
    const char *offset = http_req_query(req, "offset");
    uint32_t first_token =
        offset == NULL ? 0 : (uint32_t)strtoul(offset, NULL, 10);
    if (seq == NULL || first_token > seq->emitted) {
        http_req_reply_error(req, 404, "no_stream", "no such stream");
        return;
    }
    add_identity(engine, req);
    if (http_req_query(req, "status") != NULL) {
        CLEAN_JSON json_t *body = json_pack(
            "{s:i,s:b}", "emitted", (int)seq->emitted, "done", seq->done);
        http_req_reply_json(req, 200, body);
        return;
    }
    if (seq->req != NULL) {
        http_req_end(seq->req, false);
        http_req_unref(seq->req);
    }
    http_req_ref(req);
    seq->req = req;
    seq->stalled = false;
    seq->stream = true;
    http_req_stream(req, 200, "text/event-stream");
    engine_emit_tokens(engine, seq, first_token, seq->emitted);
    if (seq->done) {
        engine_finish_response(engine, seq);
    }
}

/* DELETE /v1/streams/ID cancels a stream. */
static void
handle_cancel(engine_t *engine, http_req_t *req)
{
    seq_t *seq =
        engine_find(engine, http_req_path(req) + strlen(STREAMS_PATH));
    if (seq != NULL && !seq->done) {
        seq->done = true;
        seq->ended_ms = time_mono_ms();
        if (seq->req != NULL) {
            http_req_end(seq->req, false);
            http_req_unref(seq->req);
            seq->req = NULL;
        }
    }
    http_req_reply(req, 204, "text/plain", "", 0);
}

/* GET /kv_events?after=N */
static void
handle_events(engine_t *engine, http_req_t *req)
{
    const char *after = http_req_query(req, "after");
    uint64_t after_event = after == NULL ? 0 : strtoull(after, NULL, 10);
    CLEAN_JSON json_t *body =
        json_pack("{s:s,s:o}", "incarnation", engine->incarnation, "events",
                  engine_cache_list_events(engine->cache, after_event,
                                           engine->settings.event_drop_percent,
                                           &engine->rng));
    http_req_reply_json(req, 200, body);
}

/* POST /orders {"order":"load","version":V,"fence":N} */
static void
handle_order(engine_t *engine, http_req_t *req)
{
    CLEAN_JSON json_t *body = json_loads(http_req_body(req, NULL), 0, NULL);
    const char *version = json_get_string(body, "version");
    int64_t fencing_token = json_get_int(body, "fence", 0);
    if (version == NULL) {
        http_req_reply_error(req, 400, "bad_order", "version is missing");
        return;
    }
    if (engine->settings.honours_fencing &&
        fencing_token < engine->fencing_token) {
        http_req_reply_error(req, 409, "old_fence",
                             "fencing token %lld was seen",
                             (long long)engine->fencing_token);
        return;
    }
    engine->fencing_token = fencing_token;
    if (strcmp(engine->version, version) != 0 &&
        strcmp(engine->loading, version) != 0) {
        str_copy(engine->loading, sizeof(engine->loading), version);
        engine->loading_until_ms =
            time_mono_ms() + engine->settings.version_load_ms;
    }
    http_req_reply(req, 200, "application/json", "{}", 2);
}

static void
update_setting(const json_t *body, const char *key, unsigned *setting)
{
    *setting = (unsigned)json_get_int(body, key, (json_int_t)*setting);
}

static void
stall_streams(engine_t *engine)
{
    seq_t *seq;
    CK_LIST_FOREACH (seq, &engine->seqs, entry) {
        seq->stalled = seq->req != NULL;
    }
}

/* POST /control changes settings and injects faults. */
static void
handle_control(engine_t *engine, http_req_t *req)
{
    CLEAN_JSON json_t *body = json_loads(http_req_body(req, NULL), 0, NULL);
    engine_settings_t *settings = &engine->settings;
    update_setting(body, "step_ms", &settings->step_ms);
    update_setting(body, "prefill_rate", &settings->prefill_rate);
    update_setting(body, "slots", &settings->slots);
    update_setting(body, "load_lag_ms", &settings->load_lag_ms);
    update_setting(body, "slow_factor", &settings->slow_factor);
    update_setting(body, "version_load_ms", &settings->version_load_ms);
    update_setting(body, "event_drop_percent", &settings->event_drop_percent);
    if (json_object_get(body, "frozen") != NULL) {
        settings->frozen = json_get_bool(body, "frozen");
    }
    if (json_object_get(body, "honours_fencing") != NULL) {
        settings->honours_fencing = json_get_bool(body, "honours_fencing");
    }
    if (json_get_bool(body, "silence_streams")) {
        stall_streams(engine);
    }
    if (json_get_bool(body, "crash_empty")) {
        engine_restart_empty(engine);
    }
    http_req_reply(req, 200, "application/json", "{}", 2);
}

/* GET /truth returns what this engine executed, for checkers. */
static void
handle_truth(engine_t *engine, http_req_t *req)
{
    CLEAN_JSON json_t *body =
        json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:O,s:O}", "incarnation",
                  engine->incarnation, "version", engine->version,
                  "tokens_prefilled", (json_int_t)engine->tokens_prefilled,
                  "tokens_cached", (json_int_t)engine->tokens_cached,
                  "tokens_emitted", (json_int_t)engine->tokens_emitted,
                  "requests", (json_int_t)engine->requests, "executed",
                  engine->executed, "orders", engine->loaded_versions);
    http_req_reply_json(req, 200, body);
}

static void
handle_load(engine_t *engine, http_req_t *req)
{
    CLEAN_JSON json_t *body = engine_get_load_report(engine);
    http_req_reply_json(req, 200, body);
}

typedef struct {
    const char *method;
    const char *path;
    bool prefix;
    void (*handle)(engine_t *engine, http_req_t *req);
} engine_route_t;

static const engine_route_t engine_routes[] = {
    {"POST", "/v1/chat/completions", false, handle_chat},
    {"GET", STREAMS_PATH, true, handle_stream},
    {"DELETE", STREAMS_PATH, true, handle_cancel},
    {"GET", "/kv_events", false, handle_events},
    {"GET", "/load", false, handle_load},
    {"POST", "/orders", false, handle_order},
    {"POST", "/control", false, handle_control},
    {"GET", "/truth", false, handle_truth},
};

static bool
route_matches(const engine_route_t *route, http_req_t *req)
{
    const char *path = http_req_path(req);
    if (strcmp(route->method, http_req_method(req)) != 0) {
        return false;
    }
    return route->prefix ? strncmp(path, route->path, strlen(route->path)) == 0
                         : strcmp(path, route->path) == 0;
}

/* Handles one HTTP request to the engine. */
void
engine_handle(http_req_t *req, void *arg)
{
    engine_t *engine = arg;
    LOCK_SCOPE(&engine->lock);
    for (size_t i = 0; i < sizeof(engine_routes) / sizeof(engine_routes[0]);
         i++) {
        if (route_matches(&engine_routes[i], req)) {
            engine_routes[i].handle(engine, req);
            return;
        }
    }
    http_req_reply_error(req, 404, "not_found", "no such path");
}
