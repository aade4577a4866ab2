#include "platform.h"

#include "../relay/wire.h"

#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_MS 300
#define EXECUTION_MS 15
#define STARTED_MS 1000
#define SLOTS 8
#define MEMORY_TOKENS 90000
/* Of a request that states none. */
#define PRIORITY_DEFAULT 5
#define MODEL "m1"
#define EVENT_TEXT_MAX 128
/* Interval at which the rest of a stream is checked, ms. */
#define UNREAD_POLL_MS 50
/* The attempt that brought a resumed stream's first event. */
#define HEADER_RESUMES_NAME "Resumes"
#define SOFTWARE_DEFAULT "v1"

/* ---- the entry in the store ---- */

static int
stated_slots(const platform_server_t *server)
{
    return server->slots > 0 ? (int)server->slots : SLOTS;
}

static json_t *
make_entry(const platform_server_t *server)
{
    json_t *entry = json_pack(
        "{s:s,s:s,s:s,s:s*,s:i,s:s,s:i,s:I,s:I}", "service", server->service,
        "address", server->addr, "zone", server->dc, "version",
        server->software[0] != '\0' ? server->software : NULL, "slots",
        stated_slots(server), "state", server->draining ? "draining" : "ready",
        "cold_remaining_ms", 0, "sequence", (json_int_t)1, "born",
        (json_int_t)server->started_ms);
    if (server->engine) {
        (void)json_object_set_new(
            entry, "models",
            json_pack("[{s:s,s:I,s:[]}]", "name", MODEL, "version",
                      (json_int_t)server->version, "adapters"));
    }
    return entry;
}

void
server_write_entry(platform_server_t *server)
{
    server->heartbeat_count++;
    if (!server->removed && !server->crashed && !server->store->faults.down &&
        !server->store->faults.silent) {
        store_set(server->store, "servers", server->id, make_entry(server));
    }
}

/* Writes or removes a second entry of the server, under another id, as of one
 * that started again while its former entry is still listed. */
static void
apply_entry_command(const platform_server_t *server, const json_t *command)
{
    const char *former = json_get_string(command, "former_entry");
    const char *gone = json_get_string(command, "former_entry_gone");
    if (former != NULL) {
        store_set(server->store, "servers", former, make_entry(server));
    }
    if (gone != NULL) {
        store_remove(server->store, "servers", gone);
    }
}

static void
on_heartbeat(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    server_write_entry(arg);
}

/* ---- requests ---- */

/* Records a request with the headers that tests check. */
static void
record_run(platform_server_t *server, struct evhttp_request *req)
{
    static const wire_header_t shown[] = {
        HEADER_REQUEST_ID,     HEADER_WORKSPACE,  HEADER_ACCESS_KEY,
        HEADER_LAST_EVENT_ID,  HEADER_CACHE_SALT, HEADER_CACHE_FETCH_FROM,
        HEADER_EXPECT_VERSION, HEADER_PRIORITY,   HEADER_CACHE_PIN,
        HEADER_PROMPT_PREFIX};
    struct evbuffer *body = evhttp_request_get_input_buffer(req);
    (void)fprintf(server->record, "run server=%s uri=%s body=%zu at_ms=%lld",
                  server->id, evhttp_request_get_uri(req),
                  evbuffer_get_length(body), (long long)time_wall_ms());
    for (size_t i = 0; i < sizeof(shown) / sizeof(shown[0]); i++) {
        const char *value = find_header(req, wire_header_name(shown[i]));
        (void)fprintf(server->record, " %s=%s", wire_header_name(shown[i]),
                      value != NULL ? value : "-");
    }
    const char *resumes = find_header(req, HEADER_RESUMES_NAME);
    (void)fprintf(server->record,
                  " software=%s " HEADER_RESUMES_NAME "=%.128s\n",
                  server->software[0] != '\0' ? server->software : "-",
                  resumes != NULL ? resumes : "-");
    (void)fflush(server->record);
}

/* Records the arrival of a request that takes a slot or is rejected. */
static void
record_arrival(const platform_server_t *server)
{
    (void)fprintf(server->record, "arrival server=%s at_ms=%lld\n", server->id,
                  (long long)time_wall_ms());
    (void)fflush(server->record);
}

static void
add_header(struct evhttp_request *req, wire_header_t header, const char *value)
{
    (void)evhttp_add_header(evhttp_request_get_output_headers(req),
                            wire_header_name(header), value);
}

/* Adds what the server says of itself, in rejections too. */
static void
add_signals(const platform_server_t *server, struct evhttp_request *req)
{
    char text[32];
    if (server->limit_per_s >= 0) {
        (void)snprintf(text, sizeof(text), "%.2f", server->limit_per_s);
        add_header(req, HEADER_SERVER_LIMIT, text);
    }
    if (server->leaving) {
        add_header(req, HEADER_SERVER_LEAVING, "1");
    }
    if (server->brittle >= 0) {
        (void)snprintf(text, sizeof(text), "%lld", (long long)server->brittle);
        (void)evhttp_add_header(evhttp_request_get_output_headers(req),
                                "Server-Brittle", text);
    }
}

/* Sets the header that states the server's load at this moment. */
static void
set_load(const platform_server_t *server, struct evhttp_request *req)
{
    char load[64];
    int waiting = server_count_waiting(server);
    int len =
        snprintf(load, sizeof(load), "%d,%d,%d", server->running - waiting,
                 waiting, stated_slots(server));
    if (server->pace > 0) {
        (void)snprintf(load + len, sizeof(load) - (size_t)len, ",%lld",
                       (long long)server->pace);
    }
    (void)evhttp_remove_header(evhttp_request_get_output_headers(req),
                               wire_header_name(HEADER_LOAD));
    add_header(req, HEADER_LOAD, load);
}

static void
add_identity(const platform_server_t *server, struct evhttp_request *req)
{
    char signature[CS_NAME_MAX * 2];
    const char *id = find_header(req, wire_header_name(HEADER_REQUEST_ID));
    (void)snprintf(signature, sizeof(signature), "sig.%s.%s", server->id,
                   id != NULL ? id : "-");
    add_header(req, HEADER_REQUEST_ID, id != NULL ? id : "-");
    add_header(req, HEADER_SIGNATURE, signature);
    set_load(server, req);
    add_signals(server, req);
}

static void
reject(platform_server_t *server, struct evhttp_request *req, int status)
{
    const char *id = find_header(req, wire_header_name(HEADER_REQUEST_ID));
    add_header(req, HEADER_REQUEST_ID, id != NULL ? id : "-");
    add_header(req, HEADER_NOT_EXECUTED, "1");
    add_header(req, HEADER_SERVER_ID, server->id);
    add_signals(server, req);
    if (status == 503 && server->rest_s > 0) {
        char text[32];
        (void)snprintf(text, sizeof(text), "%.2f", server->rest_s);
        add_header(req, HEADER_RETRY_AFTER, text);
    }
    server_keep_rejection(server, req, status);
    evhttp_send_reply(req, status, NULL, NULL);
}

/* Records, if that is wanted, that a server works on a request no more. */
static void
record_end(const run_t *run)
{
    if (!run->server->record_ends) {
        return;
    }
    (void)fprintf(run->server->record, "end server=%s id=%s at_ms=%lld\n",
                  run->server->id, run->id, (long long)time_wall_ms());
    (void)fflush(run->server->record);
}

void
server_free_run(run_t *run)
{
    platform_server_t *server = run->server;
    if (!run->closed) {
        record_end(run);
    }
    CK_LIST_REMOVE(run, entry);
    server->running--;
    if (run->deadline_timer != NULL) {
        event_free(run->deadline_timer);
    }
    free(run);
    server_order_check(server);
    server_admit_waiting(server);
}

static void
on_closed(struct evhttp_connection *connection, void *arg)
{
    run_t *run = arg;
    (void)connection;
    record_end(run);
    run->closed = true;
    if (run->paused) {
        server_free_run(run);
    }
}

/* Lets the run end with its connection: evhttp stops reading once it has the
 * request, and would not see the close before its first write. */
static void
watch_close(run_t *run)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(run->req);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    bufferevent_data_cb on_write;
    bufferevent_event_cb on_event;
    void *arg;
    evhttp_connection_set_closecb(connection, on_closed, run);
    bufferevent_getcb(bev, NULL, &on_write, &on_event, &arg);
    bufferevent_setcb(bev, NULL, on_write, on_event, arg);
    (void)bufferevent_enable(bev, EV_READ);
}

/* Shuts the connection down, whatever is still to be sent. */
void
server_shut_connection(struct evhttp_request *req)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(req));
    (void)shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static void
on_deadline(evutil_socket_t fd, short what, void *arg)
{
    const run_t *run = arg;
    (void)fd;
    (void)what;
    server_shut_connection(run->req);
}

/* Ends a run at its deadline, as its client may be unable to close it. */
static void
set_deadline(run_t *run)
{
    const char *text =
        find_header(run->req, wire_header_name(HEADER_DEADLINE));
    if (text == NULL) {
        return;
    }
    long ms = strtol(text, NULL, 10);
    struct timeval after = {ms / 1000, ms % 1000 * 1000};
    run->deadline_timer =
        event_new(run->server->store->base, -1, 0, on_deadline, run);
    (void)event_add(run->deadline_timer, &after);
}

static void on_event_due(evutil_socket_t fd, short what, void *arg);

/* Whether the server's answers have neither a length nor chunks. */
static bool
is_unframed(const platform_server_t *server)
{
    return server->mode == MODE_UNTIL_CLOSE || server->mode == MODE_TORN;
}

/* Returns the output of a request's connection, for bytes that evhttp does not
 * write itself. */
struct evbuffer *
server_raw_output(struct evhttp_request *req)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(req));
    bufferevent_data_cb on_read;
    bufferevent_event_cb on_event;
    void *arg;
    /* Its write callback would take the bytes for the end of a reply. */
    bufferevent_getcb(bev, &on_read, NULL, &on_event, &arg);
    bufferevent_setcb(bev, on_read, NULL, on_event, arg);
    (void)bufferevent_enable(bev, EV_WRITE);
    return bufferevent_get_output(bev);
}

/* Writes the head of an answer that ends with its connection. */
static void
write_unframed_head(const run_t *run)
{
    const struct evkeyval *header;
    struct evbuffer *out = server_raw_output(run->req);
    (void)evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n");
    for (header = evhttp_request_get_output_headers(run->req)->tqh_first;
         header != NULL; header = header->next.tqe_next) {
        (void)evbuffer_add_printf(out, "%s: %s\r\n", header->key,
                                  header->value);
    }
    (void)evbuffer_add_printf(out, "Connection: close\r\n\r\n");
}

static void
on_unframed_end(evutil_socket_t fd, short what, void *arg)
{
    run_t *run = arg;
    (void)fd;
    (void)what;
    if (!run->closed) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(run->req),
                                      NULL, NULL);
        server_shut_connection(run->req);
    }
    server_free_run(run);
}

/* Sends the next event of a stream that ends with its connection. */
static void
send_unframed_event(run_t *run, struct evbuffer *event)
{
    platform_server_t *server = run->server;
    struct evbuffer *out = server_raw_output(run->req);
    bool torn =
        server->mode == MODE_TORN && run->next_event == run->last_event / 2;
    (void)evbuffer_add_buffer(out, event);
    if (torn) {
        (void)evbuffer_add_printf(out, "id: %u\nda", run->next_event + 1);
    }
    /* Once the bytes are written. */
    if (torn || run->next_event++ == run->last_event) {
        run_later(server->store->base, server->event_interval_ms,
                  on_unframed_end, run);
        return;
    }
    run_later(server->store->base, server->event_interval_ms, on_event_due,
              run);
}

static void
add_event(const run_t *run, struct evbuffer *out)
{
    static const char filler[] = {
        "................................"
        "................................"};
    (void)evbuffer_add_printf(out, "id: %u\ndata: token-%u", run->next_event,
                              run->next_event);
    if (run->server->show_runs) {
        (void)evbuffer_add_printf(
            out, " server=%s software=%s", run->server->id,
            run->software[0] != '\0' ? run->software : "-");
    }
    for (size_t len = evbuffer_get_length(out);
         len < run->server->event_bytes;) {
        size_t more = run->server->event_bytes - len;
        more = more < sizeof(filler) - 1 ? more : sizeof(filler) - 1;
        (void)evbuffer_add(out, filler, more);
        len += more;
    }
    (void)evbuffer_add_printf(out, "\n\n");
}

/* Ends a stream that is cut off. */
static void
cut_run(run_t *run)
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(run->req),
                                  NULL, NULL);
    server_shut_connection(run->req);
    server_free_run(run);
}

/* Ends a stream once its client has read all events, so that it can still be
 * cut off before. */
static void
on_last_event_sent(evutil_socket_t fd, short what, void *arg)
{
    run_t *run = arg;
    (void)fd;
    (void)what;
    if (run->closed) {
        server_free_run(run);
        return;
    }
    if (server_check_unread(run)) {
        cut_run(run);
        return;
    }
    if (run->server->unread_ms > 0 && server_unread_bytes(run) > 0) {
        run_later(run->server->store->base, UNREAD_POLL_MS, on_last_event_sent,
                  run);
        return;
    }
    evhttp_connection_set_closecb(evhttp_request_get_connection(run->req),
                                  NULL, NULL);
    evhttp_send_reply_end(run->req);
    server_free_run(run);
}

static void
on_event_due(evutil_socket_t fd, short what, void *arg)
{
    run_t *run = arg;
    platform_server_t *server = run->server;
    (void)fd;
    (void)what;
    if (run->preempted && !run->closed) {
        run->paused = true;
        return;
    }
    struct evbuffer *out = evbuffer_new();
    if (run->closed || server->removed) {
        if (!run->closed) {
            evhttp_connection_set_closecb(
                evhttp_request_get_connection(run->req), NULL, NULL);
            server_shut_connection(run->req);
        }
        server_free_run(run);
        evbuffer_free(out);
        return;
    }
    if (run->fatal && run->next_event > 1) {
        evbuffer_free(out);
        server_crash(server);
        run_later(server->store->base, server->event_interval_ms, on_event_due,
                  run);
        return;
    }
    if (run->shown_version != server->version) {
        run->shown_version = server->version;
        (void)evbuffer_add_printf(out, "x-celeryspool-weight-versions: %lld\n",
                                  (long long)server->version);
    }
    add_event(run, out);
    if (run->unframed) {
        send_unframed_event(run, out);
        evbuffer_free(out);
        return;
    }
    if (server->mode == MODE_CUT && run->next_event == run->last_event / 2) {
        (void)evbuffer_add_printf(out, "id: %u\nda", run->next_event + 1);
        evhttp_send_reply_chunk(run->req, out);
        evhttp_connection_set_closecb(evhttp_request_get_connection(run->req),
                                      NULL, NULL);
        server_shut_connection(run->req);
        server_free_run(run);
        evbuffer_free(out);
        return;
    }
    run->queued += evbuffer_get_length(out);
    evhttp_send_reply_chunk(run->req, out);
    evbuffer_free(out);
    if (server_check_unread(run)) {
        cut_run(run);
        return;
    }
    if (run->next_event++ == run->last_event) {
        on_last_event_sent(-1, 0, run);
        return;
    }
    run_later(server->store->base, server->event_interval_ms, on_event_due,
              run);
}

static void
begin_stream(run_t *run)
{
    const char *last_id =
        find_header(run->req, wire_header_name(HEADER_LAST_EVENT_ID));
    char version[32];
    run->next_event =
        last_id != NULL ? (unsigned)strtoul(last_id, NULL, 10) + 1 : 1;
    run->last_event = server_stream_events(run->server, run->req);
    run->version = run->server->version;
    run->shown_version = run->version;
    run->read_ms = time_mono_ms();
    server_cache_provide_prompt(run);
    run->started = true;
    if (server_send_raw(run)) {
        return;
    }
    run->fatal = server_has_fatal_part(run->server, run->req);
    (void)snprintf(version, sizeof(version), "%lld",
                   (long long)run->server->version);
    add_header(run->req, HEADER_WEIGHTS_VERSION, version);
    (void)evhttp_add_header(evhttp_request_get_output_headers(run->req),
                            "Content-Type", "text/event-stream");
    run->unframed = is_unframed(run->server);
    if (run->unframed) {
        write_unframed_head(run);
    }
    else {
        evhttp_send_reply_start(run->req, 200, NULL);
    }
    on_event_due(-1, 0, run);
}

static void
on_prefilled(evutil_socket_t fd, short what, void *arg)
{
    run_t *run = arg;
    (void)fd;
    (void)what;
    if (run->closed) {
        server_free_run(run);
        return;
    }
    begin_stream(run);
}

/* Starts a run that has its slot. */
static void
start_run(run_t *run)
{
    if (run->server->first_ms > 0) {
        run_later(run->server->store->base, run->server->first_ms,
                  on_prefilled, run);
        return;
    }
    begin_stream(run);
}

/* Goes on with a run that was paused. */
void
server_continue_run(run_t *run)
{
    run->paused = false;
    if (run->started) {
        on_event_due(-1, 0, run);
        return;
    }
    if (run->server->slots > 0) {
        set_load(run->server, run->req);
        start_run(run);
        return;
    }
    begin_stream(run);
}

/* Sends an answer that carries another request's id, as a late answer to an
 * earlier request on the connection would. */
static void
send_foreign(struct evhttp_request *req)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(req));
    (void)evbuffer_add_printf(bufferevent_get_output(bev),
                              "HTTP/1.1 200 OK\r\n%s: someone-else\r\n"
                              "%s: sig.x\r\nContent-Length: 5\r\n\r\nwrong",
                              wire_header_name(HEADER_REQUEST_ID),
                              wire_header_name(HEADER_SIGNATURE));
}

static void
on_work_done(evutil_socket_t fd, short what, void *arg)
{
    run_t *run = arg;
    platform_server_t *server = run->server;
    (void)fd;
    (void)what;
    if (run->closed) {
        server_free_run(run);
        return;
    }
    if (server_send_raw(run)) {
        return;
    }
    if (is_unframed(server)) {
        write_unframed_head(run);
        (void)evbuffer_add_printf(server_raw_output(run->req),
                                  "answer of %s\n", server->id);
        run_later(server->store->base, server->event_interval_ms,
                  on_unframed_end, run);
        return;
    }
    evhttp_connection_set_closecb(evhttp_request_get_connection(run->req),
                                  NULL, NULL);
    if (server->mode == MODE_RESET || server->removed) {
        server_shut_connection(run->req);
        server_free_run(run);
        return;
    }
    if (server->mode == MODE_FOREIGN) {
        send_foreign(run->req);
    }
    struct evbuffer *out = evbuffer_new();
    (void)evbuffer_add_printf(out, "answer of %s\n", server->id);
    evhttp_send_reply(run->req, server->mode == MODE_ERROR ? 500 : 200, NULL,
                      out);
    evbuffer_free(out);
    server_free_run(run);
}

/* Tells whether this is the server and weights version that the request's
 * headers expect. */
static bool
is_expected(const platform_server_t *server, struct evhttp_request *req)
{
    const char *id = find_header(req, wire_header_name(HEADER_EXPECT_SERVER));
    const char *version =
        find_header(req, wire_header_name(HEADER_EXPECT_VERSION));
    return (id == NULL || strcmp(id, server->id) == 0) &&
           (version == NULL || strtoll(version, NULL, 10) == server->version);
}

/* Rejects a request for which there is no room; a brittle server may end over
 * it. */
static bool
reject_for_room(platform_server_t *server, struct evhttp_request *req)
{
    if (server->room == 0 || server->running < server->room) {
        return false;
    }
    if (server_note_rejection(server)) {
        server_shut_connection(req);
        return true;
    }
    reject(server, req, 503);
    return true;
}

static void
run_request(platform_server_t *server, struct evhttp_request *req)
{
    record_arrival(server);
    if (!is_expected(server, req)) {
        reject(server, req, 421);
        return;
    }
    if (server->mode == MODE_SHED || server->loading) {
        reject(server, req, 503);
        return;
    }
    if (reject_for_room(server, req)) {
        return;
    }
    run_t *run = mem_zalloc(sizeof(*run));
    const char *priority = find_header(req, wire_header_name(HEADER_PRIORITY));
    const char *id = find_header(req, wire_header_name(HEADER_REQUEST_ID));
    run->server = server;
    run->req = req;
    str_copy(run->id, sizeof(run->id), id != NULL ? id : "-");
    run->priority =
        priority != NULL ? (int)strtol(priority, NULL, 10) : PRIORITY_DEFAULT;
    str_copy(run->software, sizeof(run->software), server->software);
    CK_LIST_INSERT_HEAD(&server->runs, run, entry);
    server->running++;
    record_run(server, req);
    add_identity(server, req);
    watch_close(run);
    if (server->mode == MODE_SILENT) {
        run->paused = true;
        set_deadline(run);
        return;
    }
    if (server->engine && server->hold_fetches) {
        run->paused = true;
        return;
    }
    if (server->engine && server->mode != MODE_RESET) {
        if (!server_must_wait(run)) {
            start_run(run);
        }
        return;
    }
    run_later(server->store->base, server->work_ms, on_work_done, run);
}

/* ---- reports ---- */

/* Lists the requests that have begun: id, tokens in memory, events made,
 * priority. */
static json_t *
list_runs(const platform_server_t *server)
{
    json_t *rows = json_array();
    const run_t *run;
    CK_LIST_FOREACH (run, &server->runs, entry) {
        const char *id =
            find_header(run->req, wire_header_name(HEADER_REQUEST_ID));
        if (run->started && !run->closed && id != NULL) {
            (void)json_array_append_new(
                rows, json_pack("[s,i,i,i]", id, 0, (int)run->next_event - 1,
                                run->priority));
        }
    }
    return rows;
}

static void
answer_report(const platform_server_t *server, struct evhttp_request *req)
{
    int queued = server_count_preempted(server) + server_count_waiting(server);
    CLEAN_JSON json_t *report = json_pack(
        "{s:s,s:[{s:s,s:I,s:[]}],s:b,s:I,s:i,s:i,s:I,s:I,s:I}", "stage",
        "both", "models", "name", MODEL, "version",
        (json_int_t)server->version, "adapters", "busy", server->loading,
        "sequence", (json_int_t)server->order_count, "queued_requests", queued,
        "active_requests", server->running - queued, "cache_used",
        (json_int_t)server->memory_used, "cache_total",
        (json_int_t)server->memory_total, "born",
        (json_int_t)server->started_ms);
    (void)json_object_set_new(report, "runs", list_runs(server));
    answer_json(req, 200, report);
}

static void
server_handle(struct evhttp_request *req, void *arg)
{
    platform_server_t *server = arg;
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    if (server->crashed) {
        server_shut_connection(req);
        return;
    }
    server_send_extra(server, req);
    server_send_copy(server, req);
    if (path != NULL && strcmp(path, "/report") == 0) {
        if (server->mode != MODE_SILENT && !server->mute_reports) {
            answer_report(server, req);
        }
    }
    else if (path != NULL && strcmp(path, "/order") == 0) {
        server_order_handle(server, req);
    }
    else if (path != NULL && strcmp(path, "/health") == 0) {
        record_arrival(server);
        if (reject_for_room(server, req)) {
            return;
        }
        add_header(req, HEADER_SERVER_ID, server->id);
        add_signals(server, req);
        evhttp_send_reply(req, server->draining ? 503 : 200, NULL, NULL);
    }
    else if ((!server->engine && !server->kv_store) || path == NULL ||
             !server_cache_handle(server, req, path)) {
        run_request(server, req);
    }
}

/* Sets the version of a server's software; "-" and NULL for none. */
static void
set_software(platform_server_t *server, const char *software)
{
    bool none = software == NULL || strcmp(software, "-") == 0;
    str_copy(server->software, sizeof(server->software), none ? "" : software);
}

/* Opens a server:
 * ID,SERVICE,IPV4:PORT,DC,engine|plain|kv[,[IPV4:PORT][,SOFTWARE]].  The
 * second address, if given, is the one in its entry, where clients reach it.
 * A kv store has no entry. */
platform_server_t *
server_open(platform_store_t *store, platform_servers_t *servers,
            const char *spec, FILE *record)
{
    char copy[512];
    char *rest = copy;
    platform_server_t *server = mem_zalloc(sizeof(*server));
    static const struct timeval interval = {0, HEARTBEAT_MS * 1000};
    str_copy(copy, sizeof(copy), spec);
    server->store = store;
    server->servers = servers;
    server->record = record;
    server->version = 1;
    server->memory_total = MEMORY_TOKENS;
    CK_LIST_INIT(&server->runs);
    CK_STAILQ_INIT(&server->kept_rejections);
    server->events = 8;
    server->event_interval_ms = 20;
    server->limit_per_s = -1;
    server->brittle = -1;
    server->work_ms = EXECUTION_MS;
    server->started_ms = STARTED_MS;
    const char *parts[7] = {"", "", "", "", "", "", SOFTWARE_DEFAULT};
    for (size_t i = 0; i < 7 && rest != NULL; i++) {
        parts[i] = strsep(&rest, ",");
    }
    str_copy(server->id, sizeof(server->id), parts[0]);
    str_copy(server->service, sizeof(server->service), parts[1]);
    str_copy(server->addr, sizeof(server->addr), parts[2]);
    str_copy(server->dc, sizeof(server->dc), parts[3]);
    server->engine = strcmp(parts[4], "engine") == 0;
    server->kv_store = strcmp(parts[4], "kv") == 0;
    char host[CS_ADDR_MAX];
    str_copy(host, sizeof(host), server->addr);
    if (parts[5][0] != '\0') {
        str_copy(server->addr, sizeof(server->addr), parts[5]);
    }
    set_software(server, parts[6]);
    char *colon = strchr(host, ':');
    server->http = evhttp_new(store->base);
    evhttp_set_gencb(server->http, server_handle, server);
    server->port = colon != NULL ? (uint16_t)strtoul(colon + 1, NULL, 10) : 0;
    if (server->port == 0 || server_listen(server) != 0) {
        free(server);
        return NULL;
    }
    if (server->kv_store) {
        return server;
    }
    server->heartbeat_timer =
        event_new(store->base, -1, EV_PERSIST, on_heartbeat, server);
    (void)event_add(server->heartbeat_timer, &interval);
    server_write_entry(server);
    return server;
}

static const char *const mode_names[MODE_COUNT] = {
    "well", "shed",    "error",       "reset", "silent",
    "cut",  "foreign", "until-close", "torn"};

/* Applies what a command says of a server's cache and of its orders: forget
 * (its cached parts), preempt (a number of requests), readmit (those that were
 * preempted), hold_fetches, refuse_orders, late_order_ms, memory_used. */
static void
apply_engine_command(platform_server_t *server, const json_t *command)
{
    if (json_get_bool(command, "forget")) {
        server_cache_clear(server);
    }
    server_preempt(server, json_get_int(command, "preempt", 0));
    if (json_get_bool(command, "readmit")) {
        server_readmit(server);
    }
    if (json_object_get(command, "refuse_orders") != NULL) {
        server->refuse_orders = json_get_bool(command, "refuse_orders");
    }
    server->late_order_ms =
        json_get_int(command, "late_order_ms", server->late_order_ms);
    server->memory_used =
        json_get_int(command, "memory_used", server->memory_used);
    if (json_object_get(command, "hold_fetches") == NULL) {
        return;
    }
    server->hold_fetches = json_get_bool(command, "hold_fetches");
    run_t *run;
    run_t *next;
    CK_LIST_FOREACH_SAFE (run, &server->runs, entry, next) {
        if (!server->hold_fetches && run->paused && !run->preempted &&
            !run->waits_for_slot) {
            server_continue_run(run);
        }
    }
}

/* Applies what a command says of a server's software and of the life of its
 * streams: software (null for an entry without a version), show_runs,
 * mute_reports, end_streams (the share of them that is broken off), restart
 * (after being down for so many ms). */
static void
apply_life_command(platform_server_t *server, const json_t *command)
{
    const json_t *software = json_object_get(command, "software");
    const json_t *share = json_object_get(command, "end_streams");
    int64_t down_ms = json_get_int(command, "restart", -1);
    if (json_object_get(command, "show_runs") != NULL) {
        server->show_runs = json_get_bool(command, "show_runs");
    }
    if (json_object_get(command, "mute_reports") != NULL) {
        server->mute_reports = json_get_bool(command, "mute_reports");
    }
    if (json_is_number(share)) {
        server_end_streams(server, json_number_value(share));
    }
    if (software != NULL) {
        set_software(server, json_string_value(software));
    }
    if (down_ms >= 0) {
        server_restart(server, down_ms);
    }
}

/* Removes the server's entry (gone), or has it written again (not gone). */
static void
apply_presence_command(platform_server_t *server, const json_t *command)
{
    const json_t *gone = json_object_get(command, "gone");
    if (gone == NULL) {
        return;
    }
    server->removed = json_is_true(gone);
    if (server->removed) {
        store_remove(server->store, "servers", server->id);
    }
}

/* Applies a command to a server: mode, draining, gone, events, gap_ms, and
 * limit_per_s, a negative one for none, rest_s, that rejections ask for, and
 * leaving, which its answers say though its entry does not; event_bytes,
 * unread_ms, read_rate (bytes of requests per second on each connection that
 * is accepted from then on); brittle, room, work_ms, pace, first_ms,
 * slots, fatal_part, raw_answer, raw_every, raw_reset, extra_answer,
 * extra_every, extra_path, extra_wait_ms, copy_rejections, record_ends, see
 * platform_server_t, and crash; see also apply_entry_command,
 * apply_engine_command and apply_life_command. */
int
server_command(platform_server_t *server, const json_t *command)
{
    const char *mode = json_get_string(command, "mode");
    for (size_t i = 0; mode != NULL && i < MODE_COUNT; i++) {
        if (strcmp(mode, mode_names[i]) == 0) {
            server->mode = (server_mode_t)i;
        }
    }
    server->events =
        (unsigned)json_get_int(command, "events", (int64_t)server->events);
    server->event_interval_ms = (unsigned)json_get_int(
        command, "gap_ms", (int64_t)server->event_interval_ms);
    const json_t *limit = json_object_get(command, "limit_per_s");
    if (json_is_number(limit)) {
        server->limit_per_s = json_number_value(limit);
    }
    const json_t *rest = json_object_get(command, "rest_s");
    if (json_is_number(rest)) {
        server->rest_s = json_number_value(rest);
    }
    server->event_bytes = (size_t)json_get_int(command, "event_bytes",
                                               (int64_t)server->event_bytes);
    server->unread_ms = json_get_int(command, "unread_ms", server->unread_ms);
    int64_t read_rate = json_get_int(command, "read_rate", 0);
    if (read_rate > 0) {
        server_set_read_rate(server, read_rate);
    }
    server->brittle = json_get_int(command, "brittle", server->brittle);
    server->room = json_get_int(command, "room", server->room);
    server->record_ends =
        server->record_ends || json_get_bool(command, "record_ends");
    server->work_ms = json_get_int(command, "work_ms", server->work_ms);
    server->pace = json_get_int(command, "pace", server->pace);
    server->first_ms = json_get_int(command, "first_ms", server->first_ms);
    server->slots = json_get_int(command, "slots", server->slots);
    server_admit_waiting(server);
    const char *fatal_part = json_get_string(command, "fatal_part");
    if (fatal_part != NULL) {
        str_copy(server->fatal_part, sizeof(server->fatal_part), fatal_part);
    }
    if (json_get_bool(command, "crash")) {
        server_crash(server);
    }
    apply_engine_command(server, command);
    apply_life_command(server, command);
    server_set_raw(server, command);
    server_set_copies(server, command);
    apply_entry_command(server, command);
    if (server->kv_store) {
        return 0;
    }
    server->leaving = server->leaving || json_get_bool(command, "leaving");
    server->draining = server->draining || json_get_bool(command, "draining");
    apply_presence_command(server, command);
    server_write_entry(server);
    return 0;
}
