#ifndef CELERYSPOOL_FAKE_PLATFORM_H
#define CELERYSPOOL_FAKE_PLATFORM_H

/* Stand-in for the users' platform: its store and its servers, in one process
 * and one event loop.  It speaks what the platform publishes, as far as the
 * tests need it, and misbehaves on command. */

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
    int64_t from;
} watcher_t;

typedef CK_LIST_HEAD(watchers, watcher) watchers_t;

/* What the store does wrong. */
typedef struct {
    bool down;          /* 503 to everything */
    bool silent;        /* no answer at all */
    int lose;           /* so many writes are done and not answered */
    int64_t history_at; /* what is older is forgotten: 410 */
} store_faults_t;

typedef struct platform_store {
    struct event_base *base;
    json_t *kinds;  /* kind -> name -> object */
    json_t *events; /* [{revision, kind, object, tombstone}] */
    int64_t revision;
    watchers_t watchers;
    store_faults_t faults;
} platform_store_t;

void store_open(platform_store_t *store, struct event_base *base);
void store_handle(struct evhttp_request *req, void *arg);
json_t *store_object(platform_store_t *store, const char *kind,
                     const char *name);
void store_set(platform_store_t *store, const char *kind, const char *name,
               json_t *spec);
void store_remove(platform_store_t *store, const char *kind, const char *name);

/* ---- servers ---- */

typedef enum {
    MODE_WELL,
    MODE_SHED,   /* 503, not executed */
    MODE_ERROR,  /* runs, answers 500 */
    MODE_RESET,  /* runs, then closes without an answer */
    MODE_SILENT, /* runs, and never answers */
    MODE_CUT,    /* breaks off in the middle of its answer */
    MODE_FOREIGN /* an answer to somebody else first, then the right one */
} server_mode_t;

typedef struct platform_server {
    CK_LIST_ENTRY(platform_server) entry;
    platform_store_t *store;
    struct evhttp *http;
    struct event *beat;
    char id[CS_NAME_MAX];
    char service[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
    char dc[CS_NAME_MAX];
    bool engine;
    bool draining;
    bool gone;
    server_mode_t mode;
    int64_t version;
    json_t *cache_held;   /* of an engine: salt/id -> part */
    json_t *cache_events; /* the oldest first */
    int64_t cache_next;   /* number of the newest */
    int64_t orders;
    int64_t fence;
    bool loading;
    int64_t beats;
    int running;
    unsigned events; /* of each stream */
    unsigned gap_ms; /* between them */
    FILE *record;    /* a line for each request that it runs */
} platform_server_t;

typedef CK_LIST_HEAD(platform_servers, platform_server) platform_servers_t;

void server_cache_run(platform_server_t *server, struct evhttp_request *req);
void server_cache_clear(platform_server_t *server);
bool server_cache_answer(const platform_server_t *server,
                         struct evhttp_request *req, const char *path);
platform_server_t *server_open(platform_store_t *store, const char *words,
                               FILE *record);
int server_command(platform_server_t *server, const json_t *command);

/* Helpers of both. */
void answer_json(struct evhttp_request *req, int status, const json_t *body);
json_t *body_json(struct evhttp_request *req);
const char *header_of(struct evhttp_request *req, const char *name);
void later(struct event_base *base, int64_t ms,
           void (*run)(evutil_socket_t, short, void *), void *arg);

#endif
