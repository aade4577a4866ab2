#include "../fakes/history.h"
#include "../kernel/daemon.h"
#include "test.h"

#include <stdlib.h>
#include <unistd.h>

#define THREADS 8
#define GENERATIONS 400

typedef struct {
    celeryspoold_t *daemon;
    int64_t next; /* shared by all threads */
} adopters_t;

/* Adopts the next generation until all have been taken. */
static void *
adopt(void *arg)
{
    adopters_t *adopters = arg;
    for (;;) {
        int64_t generation =
            __atomic_fetch_add(&adopters->next, 1, __ATOMIC_RELAXED);
        if (generation > GENERATIONS) {
            return NULL;
        }
        CLEAN_JSON json_t *doc = config_empty();
        (void)json_object_set_new(doc, "generation", json_integer(generation));
        (void)config_sync_adopt(adopters->daemon, doc, generation, "a test");
    }
}

static void
adopt_from_threads(celeryspoold_t *daemon)
{
    adopters_t adopters = {.daemon = daemon, .next = 1};
    pthread_t threads[THREADS];
    for (int i = 0; i < THREADS; i++) {
        ck_assert_int_eq(pthread_create(&threads[i], NULL, adopt, &adopters),
                         0);
    }
    for (int i = 0; i < THREADS; i++) {
        (void)pthread_join(threads[i], NULL);
    }
}

static json_t *
read_events(const char *path)
{
    char line[1024];
    json_t *events = json_array();
    FILE *file = fopen(path, "re");
    ck_assert_ptr_nonnull(file);
    while (fgets(line, sizeof(line), file) != NULL) {
        (void)json_array_append_new(events, json_loads(line, 0, NULL));
    }
    (void)fclose(file);
    return events;
}

/* Guards against an event log that shows an older generation after a newer
 * one, when a command and the watch adopt at the same time. */
START_TEST(generations_are_recorded_in_the_order_of_adoption)
{
    char path[] = "/tmp/test-config-sync-XXXXXX";
    int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    (void)close(fd);
    ck_assert_int_eq(event_setup("host-1", path), 0);
    err_t err = {0};
    CLEAN_JSON json_t *empty = config_empty();
    celeryspoold_t daemon = {.config = config_parse(empty, &err)};
    (void)pthread_mutex_init(&daemon.config_lock, NULL);

    adopt_from_threads(&daemon);
    event_close();

    CLEAN_JSON json_t *events = read_events(path);
    CLEAN_BUF buf_t problems = {0};
    ck_assert_int_eq(daemon.config->generation, GENERATIONS);
    ck_assert_uint_gt(json_array_size(events), 0);
    ck_assert_msg(history_check_generations(events, &problems) == 0, "%s",
                  buf_text(&problems));
    (void)unlink(path);
    config_release(daemon.config);
    (void)pthread_mutex_destroy(&daemon.config_lock);
}
END_TEST

TEST_MAIN("config sync", generations_are_recorded_in_the_order_of_adoption)
