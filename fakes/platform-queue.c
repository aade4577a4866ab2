#include "platform.h"

#include <stdlib.h>
#include <string.h>

/* Slots of a stand-in engine, limited on command.  Requests beyond them wait
 * and are admitted by priority, and in the order of their arrival within
 * one. */

/* Entry of the query that states a stream's number of events. */
#define EVENTS_QUERY "?events="

/* Records that a run takes a slot, and how many runs have one then. */
static void
record_slot(const run_t *run)
{
    const platform_server_t *server = run->server;
    (void)fprintf(server->record,
                  "slot server=%s uri=%s taken=%d of=%lld waiting=%d "
                  "at_ms=%lld\n",
                  server->id, evhttp_request_get_uri(run->req),
                  server->running - server_count_waiting(server),
                  (long long)server->slots, server_count_waiting(server),
                  (long long)time_wall_ms());
    (void)fflush(server->record);
}

/* Returns the number of requests that wait for a slot. */
int
server_count_waiting(const platform_server_t *server)
{
    const run_t *run;
    int count = 0;
    CK_LIST_FOREACH (run, &server->runs, entry) {
        count += run->waits_for_slot ? 1 : 0;
    }
    return count;
}

/* Returns the oldest of the most urgent requests that wait, or NULL. */
static run_t *
find_next(platform_server_t *server)
{
    run_t *run;
    run_t *next = NULL;
    CK_LIST_FOREACH (run, &server->runs, entry) {
        if (run->waits_for_slot && !run->closed &&
            (next == NULL || run->priority <= next->priority)) {
            next = run; /* the list has the newest first */
        }
    }
    return next;
}

/* Whether a new run, which is listed already, has to wait for a slot. */
bool
server_must_wait(run_t *run)
{
    const platform_server_t *server = run->server;
    if (server->slots == 0) {
        return false;
    }
    if (server->running - server_count_waiting(server) > server->slots) {
        run->waits_for_slot = true;
        run->paused = true;
        return true;
    }
    record_slot(run);
    return false;
}

/* Admits requests that wait while slots are free. */
void
server_admit_waiting(platform_server_t *server)
{
    run_t *run;
    while (!server->crashed &&
           (server->slots == 0 ||
            server->running - server_count_waiting(server) < server->slots) &&
           (run = find_next(server)) != NULL) {
        run->waits_for_slot = false;
        record_slot(run);
        server_continue_run(run);
    }
}

/* Returns the number of events that a request states in its query, or that of
 * all streams of the server. */
unsigned
server_stream_events(const platform_server_t *server,
                     struct evhttp_request *req)
{
    const char *query = strstr(evhttp_request_get_uri(req), EVENTS_QUERY);
    unsigned events =
        query != NULL
            ? (unsigned)strtoul(query + strlen(EVENTS_QUERY), NULL, 10)
            : 0;
    return events > 0 ? events : server->events;
}
