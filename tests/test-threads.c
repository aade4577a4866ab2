#include "../kernel/metrics.h"
#include "../kernel/tables.h"
#include "test.h"

#include <string.h>

/* Uses the shared tables from several threads at once.  Built with the thread
 * sanitizer this detects a missing lock; without it, lost updates. */

#define THREADS 6
#define ROUNDS 4000

typedef struct {
    view_t *view;
    cache_map_t *cache;
    sched_t *sched;
    members_t *members;
    metrics_t *metrics;
    uint64_t seed;
    size_t pushed;
    size_t popped;
} worker_context_t;

static void
use_tables(worker_context_t *context, rng_t *rng)
{
    uint16_t id = (uint16_t)rng_below(rng, 8);
    uint64_t key = rng_below(rng, 500);
    backend_state_t state;
    load_report_t load = {.running = 1, .prefill_rate = 1000};
    prefix_t prefix = {.count = 1, .levels = {{key, 16}}, .tokens = 16};
    (void)cache_map_add_holder(context->cache, id, key, 16);
    (void)cache_map_cached_tokens(context->cache, &prefix, id);
    (void)cache_map_remove_holder(context->cache, id, key);
    if (key == 7) {
        cache_map_clear_backend(context->cache, id);
    }
    view_add_request(context->view, id, 10);
    (void)view_apply_report(context->view, id, &load, 1);
    view_record_first_token(context->view, id, 10, 5, 5);
    view_remove_request(context->view, id, true, 10);
    (void)view_get(context->view, id, &state);
    (void)members_has_duty(context->members, "duty");
}

static void
use_queue(worker_context_t *context, rng_t *rng)
{
    sched_item_t *evicted;
    sched_item_t *item = mem_zalloc(sizeof(*item));
    (void)snprintf(item->workspace, sizeof(item->workspace), "w%llu",
                   (unsigned long long)rng_below(rng, 5));
    item->cost = 1;
    item->deadline_ms = 1 << 30;
    if (sched_push(context->sched, item, &evicted)) {
        context->pushed++;
    }
    else {
        free(item);
    }
    if (evicted != NULL) {
        context->pushed--;
        free(evicted);
    }
    item = sched_pop(context->sched);
    context->popped += item != NULL;
    free(item);
}

static void *
worker(void *arg)
{
    worker_context_t *context = arg;
    rng_t rng = {context->seed};
    series_t *series = metrics_get_series(context->metrics, "w", "m");
    for (int i = 0; i < ROUNDS; i++) {
        use_tables(context, &rng);
        use_queue(context, &rng);
        series_increment(series, METRIC_DONE, 1);
        series_observe(series, METRIC_TTFT, i);
    }
    return NULL;
}

START_TEST(tables_lose_no_updates_under_threads)
{
    member_t self = {.name = "a", .incarnation = 1};
    worker_context_t shared = {
        .view = view_new(),
        .cache = cache_map_new(256),
        .sched = sched_new(&(sched_opts_t){.total_max = 64}),
        .members = members_new(&self, 1),
        .metrics = metrics_new()};
    worker_context_t contexts[THREADS];
    pthread_t threads[THREADS];
    size_t pushed = 0;
    size_t popped = 0;
    for (int i = 0; i < 8; i++) {
        char name[8];
        (void)snprintf(name, sizeof(name), "e%d", i);
        (void)view_assign_id(shared.view, name);
    }
    for (int i = 0; i < THREADS; i++) {
        contexts[i] = shared;
        contexts[i].seed = (uint64_t)i;
        (void)pthread_create(&threads[i], NULL, worker, &contexts[i]);
    }
    for (int i = 0; i < THREADS; i++) {
        (void)pthread_join(threads[i], NULL);
        pushed += contexts[i].pushed;
        popped += contexts[i].popped;
    }
    sched_item_t *item;
    while ((item = sched_pop(shared.sched)) != NULL) {
        popped++;
        free(item);
    }
    ck_assert_uint_eq(pushed, popped);
    CLEAN_JSON json_t *rows = metrics_to_json(shared.metrics);
    ck_assert_int_eq(json_get_int(json_array_get(rows, 0), "done", 0),
                     THREADS * ROUNDS);
    backend_state_t state;
    (void)view_get(shared.view, 3, &state);
    ck_assert_int_eq(state.own_running, 0);
    view_free(shared.view);
    cache_map_free(shared.cache);
    sched_free(shared.sched);
    members_free(shared.members);
    metrics_free(shared.metrics);
}
END_TEST

TEST_MAIN("threads", tables_lose_no_updates_under_threads)
