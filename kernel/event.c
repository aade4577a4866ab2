#include "base.h"

#include <stdlib.h>
#include <string.h>

/* The event log keeps the most recent lines in memory for the administration
 * API and, if a path is set, appends every line to a file.  The schema is
 * fixed: t (wall clock, ms), p (process), n (sequence number within the
 * process), kind, and the optional request, workspace, backend, sent,
 * received, detail. */

#define EVENT_RING_SIZE 4096

static pthread_mutex_t event_lock = PTHREAD_MUTEX_INITIALIZER;
static char event_process[CS_NAME_MAX];
static FILE *event_file;
static char *event_ring[EVENT_RING_SIZE];
static uint64_t event_sequence;

/* Set the process name and open the file; with an empty path events are kept
 * in memory only. */
int
event_setup(const char *process, const char *path)
{
    LOCK_SCOPE(&event_lock);
    str_copy(event_process, sizeof(event_process), process);
    if (path == NULL || path[0] == '\0') {
        return 0;
    }
    event_file = fopen(path, "ae");
    return event_file == NULL ? -1 : 0;
}

static void
event_add_field(json_t *line, const char *key, const char *value)
{
    if (value != NULL && value[0] != '\0') {
        (void)json_object_set_new(line, key, json_string(value));
    }
}

/* Append one event.  Each line is flushed to the file, so that killing the
 * process loses no event. */
void
event_emit(const event_t *event)
{
    CLEAN_JSON json_t *line = json_object();
    LOCK_SCOPE(&event_lock);
    event_sequence++;
    (void)json_object_set_new(line, "t", json_integer(time_wall_ms()));
    event_add_field(line, "p", event_process);
    (void)json_object_set_new(line, "n",
                              json_integer((json_int_t)event_sequence));
    event_add_field(line, "kind", event->kind);
    event_add_field(line, "request", event->request);
    event_add_field(line, "workspace", event->workspace);
    event_add_field(line, "backend", event->backend);
    event_add_field(line, "sent", event->sent);
    event_add_field(line, "received", event->received);
    event_add_field(line, "detail", event->detail);
    char *text = json_dumps(line, JSON_COMPACT);
    if (text == NULL) {
        return;
    }
    if (event_file != NULL) {
        (void)fprintf(event_file, "%s\n", text);
        (void)fflush(event_file);
    }
    size_t slot = event_sequence % EVENT_RING_SIZE;
    free(event_ring[slot]);
    event_ring[slot] = text;
}

static bool
event_matches(const json_t *line, const char *key, const char *expected)
{
    if (expected == NULL || expected[0] == '\0') {
        return true;
    }
    const char *value = json_get_string(line, key);
    return value != NULL && strcmp(value, expected) == 0;
}

/* The most recent events, oldest first, of one request and one backend server;
 * for either, NULL or an empty string matches every event. */
json_t *
event_list_recent(const char *request, const char *backend, size_t max)
{
    json_t *found = json_array();
    LOCK_SCOPE(&event_lock);
    for (uint64_t age = 0; age < EVENT_RING_SIZE && age < event_sequence;
         age++) {
        const char *text =
            event_ring[(event_sequence - age) % EVENT_RING_SIZE];
        CLEAN_JSON json_t *line = json_loads(text, 0, NULL);
        if (line == NULL || !event_matches(line, "request", request) ||
            !event_matches(line, "backend", backend)) {
            continue;
        }
        (void)json_array_insert(found, 0, line);
        if (json_array_size(found) >= max) {
            break;
        }
    }
    return found;
}

/* Close the file and free the events in memory. */
void
event_close(void)
{
    LOCK_SCOPE(&event_lock);
    if (event_file != NULL) {
        (void)fclose(event_file);
        event_file = NULL;
    }
    for (size_t i = 0; i < EVENT_RING_SIZE; i++) {
        free(event_ring[i]);
        event_ring[i] = NULL;
    }
    event_sequence = 0;
}
