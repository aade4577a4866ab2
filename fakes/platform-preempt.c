#include "platform.h"

/* Preemption of requests at a stand-in engine.  It happens on command, not
 * when memory runs out; the victims are the ones that the platform's engines
 * would choose. */

static run_t *
find_victim(platform_server_t *server)
{
    run_t *run;
    run_t *victim = NULL;
    CK_LIST_FOREACH (run, &server->runs, entry) {
        if (run->started && !run->preempted &&
            (victim == NULL || run->priority > victim->priority)) {
            victim = run;
        }
    }
    return victim;
}

/* Preempts the newest of the least urgent requests. */
void
server_preempt(platform_server_t *server, int64_t count)
{
    run_t *victim;
    while (count-- > 0 && (victim = find_victim(server)) != NULL) {
        victim->preempted = true;
        (void)fprintf(server->record, "preempted server=%s uri=%s\n",
                      server->id, evhttp_request_get_uri(victim->req));
    }
    (void)fflush(server->record);
}

/* Records that a run's prompt is prefilled again, and by which weights. */
static void
record_prefill(const run_t *run)
{
    (void)fprintf(run->server->record,
                  "prefilled-again server=%s uri=%s started=%lld made=%lld\n",
                  run->server->id, evhttp_request_get_uri(run->req),
                  (long long)run->version, (long long)run->server->version);
    (void)fflush(run->server->record);
}

/* Prefills all preempted requests again and lets them go on. */
void
server_readmit(platform_server_t *server)
{
    run_t *run;
    run_t *next;
    CK_LIST_FOREACH_SAFE (run, &server->runs, entry, next) {
        if (!run->preempted) {
            continue;
        }
        run->preempted = false;
        record_prefill(run);
        server_cache_provide_prompt(run);
        if (run->paused) {
            server_continue_run(run);
        }
    }
}

int
server_count_preempted(const platform_server_t *server)
{
    const run_t *run;
    int count = 0;
    CK_LIST_FOREACH (run, &server->runs, entry) {
        count += run->preempted ? 1 : 0;
    }
    return count;
}
