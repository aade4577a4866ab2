#ifndef CELERYSPOOL_FAKE_PLATFORM_H
#define CELERYSPOOL_FAKE_PLATFORM_H

/* Stand-in for the users' platform: its store and its servers, in one process
 * and one event loop.  It implements the platform's published interface as far
 * as the tests need it, and injects faults on command. */

#include "../kernel/base.h"

#include <ck_queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

/* ---- the store ---- */

typedef struct watcher {
    CK_LIST_ENTRY(watcher) entry;
    struct platform_store *store;
    struct evhttp_request *req;
    struct event *timer;
    char kind[CS_NAME_MAX];
    int64_t after_revision;
} watcher_t;

typedef CK_LIST_HEAD(watchers, watcher) watchers_t;

/* How a list goes on after a cursor. */
typedef enum {
    CURSOR_ORDER, /* with the first name that is greater, as bytes */
    CURSOR_EMPTY, /* behind the object of that name; without one: ends */
    CURSOR_FIRST, /* without one: from the first object on */
    CURSOR_REFUSE /* without one: 400 */
} cursor_mode_t;

/* An entry of another writer, as text: no JSON library holds some of them. */
typedef struct odd_entry {
    CK_LIST_ENTRY(odd_entry) entry;
    char *kind;
    char *key; /* the name as bytes: its place in the list, and its cursor */
    size_t key_len;
    char *name; /* in JSON */
    char *spec; /* in JSON */
    int64_t revision;
} odd_entry_t;

typedef CK_LIST_HEAD(odd_entries, odd_entry) odd_entries_t;

/* The store's injected faults. */
typedef struct {
    bool down;             /* answers 503 to every call */
    bool silent;           /* answers no call */
    int answers_to_drop;   /* next writes to apply but not answer */
    int64_t history_start; /* watches from older revisions: 410 */
    char *odd_spec; /* of an entry that another writer has added to all answers
                       about servers, as text; NULL for none */
    odd_entries_t odd_entries; /* in lists alone */
    size_t page_objects;       /* most objects in a page of a list */
    cursor_mode_t cursor_mode;
} store_faults_t;

typedef struct platform_store {
    struct event_base *base;
    json_t *kinds;  /* kind -> name -> object */
    json_t *events; /* [{revision, kind, object, tombstone}] */
    int64_t revision;
    watchers_t watchers;
    store_faults_t faults;
    json_t *list_calls; /* kind -> pages of lists that were asked for */
    int64_t removals;   /* DELETE calls */
} platform_store_t;

void answer_page(const platform_store_t *store, struct evhttp_request *req,
                 const char *kind, const char *text);
json_t *store_find_kind(platform_store_t *store, const char *kind);
void store_add_odd_entry(platform_store_t *store, const json_t *command);
void store_remove_odd_entries(platform_store_t *store);
int store_set_cursor_mode(platform_store_t *store, const char *name);
void store_answer_list(platform_store_t *store, struct evhttp_request *req,
                       const char *kind, const char *query);
void store_init(platform_store_t *store, struct event_base *base);
void store_handle(struct evhttp_request *req, void *arg);
json_t *store_find_object(platform_store_t *store, const char *kind,
                          const char *name);
void store_set(platform_store_t *store, const char *kind, const char *name,
               json_t *spec);
void store_remove(platform_store_t *store, const char *kind, const char *name);

/* ---- servers ---- */

/* How a server answers. MODE_ERROR and MODE_FOREIGN have no effect on an
 * engine, MODE_CUT and MODE_TORN have none on a plain server. */
typedef enum {
    MODE_NORMAL,
    MODE_SHED,        /* answers 503 without executing */
    MODE_ERROR,       /* executes, then answers 500 */
    MODE_RESET,       /* executes, then closes without an answer */
    MODE_SILENT,      /* executes, and never answers */
    MODE_CUT,         /* closes in the middle of its stream */
    MODE_FOREIGN,     /* sends another request's answer before its own */
    MODE_UNTIL_CLOSE, /* its answers have no length and end with their
                         connection */
    MODE_TORN,        /* the same, and its streams end within an event */
    MODE_COUNT
} server_mode_t;

typedef CK_LIST_HEAD(platform_servers, platform_server) platform_servers_t;

/* A request in execution. */
typedef struct run {
    CK_LIST_ENTRY(run) entry;
    struct platform_server *server;
    struct evhttp_request *req;
    char id[CS_NAME_MAX];       /* of its request */
    unsigned next_event;        /* number of the next event to send */
    unsigned last_event;        /* number of the last event of the stream */
    int64_t version;            /* of the weights on which it started */
    int64_t shown_version;      /* of the weights last shown in the stream */
    char software[CS_NAME_MAX]; /* of the server when it started */
    int priority;               /* 0 is the most urgent */
    bool started;               /* its stream has begun */
    bool fatal;                 /* it ends the server after its first event */
    bool preempted;             /* waits to be prefilled again */
    bool waits_for_slot;        /* paused until the server has a free slot */
    bool paused;   /* no event is due: preempted, silent, held or waiting */
    bool closed;   /* the client has closed the connection */
    bool unframed; /* its answer ends with its connection */
    struct event *deadline_timer; /* NULL except of a silent one */
    size_t queued;                /* bytes of events so far */
    size_t most_read;             /* of these, read by the client at most */
    int64_t read_ms;              /* when most_read last grew */
} run_t;

typedef CK_LIST_HEAD(runs, run) runs_t;

#define REJECTIONS_MAX 64

typedef struct kept_rejection kept_rejection_t;
typedef CK_STAILQ_HEAD(kept_rejections, kept_rejection) kept_rejections_t;

typedef struct platform_server {
    CK_LIST_ENTRY(platform_server) entry;
    platform_store_t *store;
    platform_servers_t *servers; /* all, for transfers between caches */
    struct evhttp *http;
    struct evhttp_bound_socket *socket; /* NULL while it is ended */
    uint16_t port;
    struct event *heartbeat_timer;
    char id[CS_NAME_MAX];
    char service[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
    char dc[CS_NAME_MAX];
    bool engine;
    bool kv_store; /* caches parts and runs no requests */
    bool draining;
    bool removed;
    server_mode_t mode;
    int64_t version;
    json_t *cached_parts;       /* salt/id -> part */
    json_t *part_versions;      /* salt/id -> version that prefilled it */
    json_t *cache_events;       /* oldest first */
    int64_t newest_cache_event; /* number of the newest cache event */
    int64_t order_count;
    int64_t fencing_token;
    bool loading;          /* an order is being carried out */
    bool load_started;     /* the order does not wait for requests any more */
    int64_t loads_version; /* of the order that is being carried out */
    int64_t heartbeat_count;
    int running;                /* length of runs */
    runs_t runs;                /* newest first */
    unsigned events;            /* number of events of each stream */
    unsigned event_interval_ms; /* between events of a stream */
    size_t event_bytes;         /* to which events are filled up */
    int64_t unread_ms; /* a stream that is left unread for so long is cut off;
                          0: none is */
    struct ev_token_bucket_cfg *read_rate; /* of new connections; or NULL */
    double limit_per_s; /* stated in answers if not negative */
    double rest_s;      /* asked for in rejections if positive */
    bool leaving;       /* said in answers */
    int64_t brittle;    /* rejections a second that it bears; -1 for any */
    bool record_ends;   /* the end of each run is recorded */
    int64_t room;       /* requests that it takes at once; 0 for any number */
    int64_t work_ms;    /* of a plain server's request */
    int64_t pace;       /* stated in its load header; 0 for none */
    int64_t first_ms;   /* an engine's time to the first event */
    int64_t slots;      /* an engine's runs at once, others wait; 0 for any
                           number, and SLOTS are stated */
    /* A request with this part ends the server once its answer has begun;
     * empty for none. */
    char fatal_part[CS_NAME_MAX];
    char *raw_answer; /* bytes that answer each raw_every-th request, with {id}
                         for the request's id; or NULL */
    int64_t raw_every;
    int64_t raw_count;  /* requests while one was set */
    bool raw_reset;     /* the connection is then reset, not closed */
    char *extra_answer; /* bytes sent before the answer to each extra_every-th
                           request of connections that carried one before, with
                           {id}, {earlier} for the id of the connection's
                           request before, and {wait} where the rest comes
                           extra_wait_ms later; NULL for none */
    char *extra_path;   /* begin of the paths before whose answers it is sent;
                           NULL for all */
    int64_t extra_wait_ms;
    int64_t extra_every;
    int64_t extra_count;  /* such requests while one was set */
    bool copy_rejections; /* a request that it has rejected and that comes
                             again on the same connection is preceded by a copy
                             of the rejection */
    kept_rejections_t kept_rejections; /* oldest first */
    size_t kept_rejection_count;
    uint8_t
        ports_seen[8192];  /* of clients that have sent a request: a bit each
                            */
    char *ids_seen[65536]; /* of these, the id of their last request */
    bool crashed;          /* it has ended and starts again later */
    int64_t started_ms;    /* start time that it states */
    char software[CS_NAME_MAX]; /* version in its entry; empty for none */
    bool mute_reports;          /* requests of its report get no answer */
    bool show_runs; /* events name the server and software of their run */
    int64_t rejections_ms[REJECTIONS_MAX];
    size_t rejection_count;
    bool hold_fetches;     /* new requests wait before they fetch */
    bool refuse_orders;    /* answers 409 to orders */
    int64_t late_order_ms; /* if positive, orders are carried out so late and
                              never answered */
    int64_t memory_used;   /* reported */
    int64_t memory_total;  /* reported */
    FILE *record;          /* one line per request and order */
} platform_server_t;

void server_cache_provide_prompt(const run_t *run);
void server_cache_clear(platform_server_t *server);
bool server_cache_handle(const platform_server_t *server,
                         struct evhttp_request *req, const char *path);
platform_server_t *server_open(platform_store_t *store,
                               platform_servers_t *servers, const char *spec,
                               FILE *record);
int server_command(platform_server_t *server, const json_t *command);
void server_continue_run(run_t *run);
void server_write_entry(platform_server_t *server);

bool server_check_unread(run_t *run);
size_t server_unread_bytes(const run_t *run);
void server_set_read_rate(platform_server_t *server, int64_t bytes_per_s);
void server_shut_connection(struct evhttp_request *req);
int server_listen(platform_server_t *server);
void server_crash(platform_server_t *server);
void server_restart(platform_server_t *server, int64_t down_ms);
void server_end_streams(platform_server_t *server, double share);
bool server_has_fatal_part(const platform_server_t *server,
                           struct evhttp_request *req);
bool server_note_rejection(platform_server_t *server);

struct evbuffer *server_raw_output(struct evhttp_request *req);
void server_free_run(run_t *run);
void server_set_raw(platform_server_t *server, const json_t *command);
bool server_send_raw(run_t *run);
void server_send_extra(platform_server_t *server, struct evhttp_request *req);

void server_set_copies(platform_server_t *server, const json_t *command);
void server_keep_rejection(platform_server_t *server,
                           struct evhttp_request *req, int status);
void server_send_copy(platform_server_t *server, struct evhttp_request *req);

void server_order_handle(platform_server_t *server,
                         struct evhttp_request *req);
void server_order_check(platform_server_t *server);

void server_preempt(platform_server_t *server, int64_t count);
void server_readmit(platform_server_t *server);
int server_count_preempted(const platform_server_t *server);

int server_count_waiting(const platform_server_t *server);
bool server_must_wait(run_t *run);
void server_admit_waiting(platform_server_t *server);
unsigned server_stream_events(const platform_server_t *server,
                              struct evhttp_request *req);

/* ---- helpers for the store and the servers ---- */
void answer_json(struct evhttp_request *req, int status, const json_t *body);
json_t *parse_body(struct evhttp_request *req);
const char *find_header(struct evhttp_request *req, const char *name);
void run_later(struct event_base *base, int64_t ms,
               void (*run)(evutil_socket_t, short, void *), void *arg);

#endif
