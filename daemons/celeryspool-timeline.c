#include "../kernel/base.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

/* Merges the event logs of several processes into one timeline.  The events of
 * one process keep the order of its log; a message is received after it was
 * sent, whatever the clocks say; otherwise the wall clock decides. */

#define LINE_SIZE 8192

const char *argp_program_version = "celeryspool-timeline " CS_VERSION;

typedef struct {
    const char *request;
    const char *workspace;
    const char *backend;
    const char *kind;
    bool json;
    bool columns;
    char **files;
    int file_count;
} timeline_args_t;

static const struct argp_option options[] = {
    {"request", 'r', "ID", 0, "only this request", 0},
    {"workspace", 'w', "NAME", 0, "only this workspace", 0},
    {"backend", 'b', "NAME", 0, "only this backend server", 0},
    {"kind", 'k', "KIND", 0, "only events of this kind", 0},
    {"json", 'j', NULL, 0, "print JSON lines", 0},
    {"picture", 'p', NULL, 0, "draw each process as a column of marks", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    timeline_args_t *args = state->input;
    switch (key) {
        case 'r':
            args->request = arg;
            return 0;
        case 'w':
            args->workspace = arg;
            return 0;
        case 'b':
            args->backend = arg;
            return 0;
        case 'k':
            args->kind = arg;
            return 0;
        case 'j':
            args->json = true;
            return 0;
        case 'p':
            args->columns = true;
            return 0;
        case ARGP_KEY_ARGS:
            args->files = state->argv + state->next;
            args->file_count = state->argc - state->next;
            return 0;
        case ARGP_KEY_NO_ARGS:
            argp_usage(state);
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option, "FILE…", "Merges event logs into one timeline.",
    NULL,    NULL,         NULL};

/* One event log, read line by line. */
typedef struct {
    FILE *file;
    json_t *next; /* the next event, or NULL at the end */
} source_t;

static void
source_advance(source_t *source)
{
    char line[LINE_SIZE];
    json_decref(source->next);
    source->next = NULL;
    while (source->next == NULL && source->file != NULL &&
           fgets(line, sizeof(line), source->file) != NULL) {
        source->next = json_loads(line, 0, NULL);
    }
}

/* Ids of all messages sent according to the logs, and of those whose sending
 * is already in the output. */
typedef struct {
    json_t *all_sent;
    json_t *emitted;
} messages_t;

static void
collect_sent(messages_t *messages, const char *path)
{
    source_t source = {.file = fopen(path, "re")};
    for (source_advance(&source); source.next != NULL;
         source_advance(&source)) {
        const char *id = json_get_string(source.next, "sent");
        if (id != NULL) {
            (void)json_object_set_new(messages->all_sent, id, json_true());
        }
    }
    if (source.file != NULL) {
        (void)fclose(source.file);
    }
}

static bool
must_wait(const messages_t *messages, const json_t *event)
{
    const char *id = json_get_string(event, "received");
    return id != NULL && json_object_get(messages->all_sent, id) != NULL &&
           json_object_get(messages->emitted, id) == NULL;
}

/* The log with the earliest next event that need not wait for the sending of
 * its message.  If all have to wait, which an incomplete log can cause, the
 * log with the earliest event. */
static source_t *
pick_source(source_t *sources, int count, const messages_t *messages)
{
    source_t *best = NULL;
    bool best_waits = true;
    for (int i = 0; i < count; i++) {
        source_t *source = &sources[i];
        if (source->next == NULL) {
            continue;
        }
        bool waits = must_wait(messages, source->next);
        bool earlier = best == NULL || json_get_int(source->next, "t", 0) <
                                           json_get_int(best->next, "t", 0);
        if (best == NULL || (best_waits && !waits) ||
            (waits == best_waits && earlier)) {
            best = source;
            best_waits = waits;
        }
    }
    return best;
}

static bool
field_is(const json_t *event, const char *key, const char *expected)
{
    const char *value = json_get_string(event, key);
    return expected == NULL || (value != NULL && strcmp(value, expected) == 0);
}

static bool
matches_filters(const timeline_args_t *args, const json_t *event)
{
    return field_is(event, "request", args->request) &&
           field_is(event, "workspace", args->workspace) &&
           field_is(event, "backend", args->backend) &&
           field_is(event, "kind", args->kind);
}

static const char *
text_or_empty(const json_t *event, const char *key)
{
    const char *text = json_get_string(event, key);
    return text == NULL ? "" : text;
}

static void
print_event(const timeline_args_t *args, const json_t *event, int64_t first_ms,
            int column)
{
    if (args->json) {
        CLEAN_TEXT char *line = json_dumps(event, JSON_COMPACT);
        (void)printf("%s\n", line);
        return;
    }
    long long offset_ms = (long long)(json_get_int(event, "t", 0) - first_ms);
    if (args->columns) {
        (void)printf("%8lld  %*s* %s %s %s\n", offset_ms, column * 4, "",
                     text_or_empty(event, "kind"),
                     text_or_empty(event, "backend"),
                     text_or_empty(event, "detail"));
        return;
    }
    (void)printf("%8lld  %-12s %-14s %-33s %-12s %s\n", offset_ms,
                 text_or_empty(event, "p"), text_or_empty(event, "kind"),
                 text_or_empty(event, "request"),
                 text_or_empty(event, "backend"),
                 text_or_empty(event, "detail"));
}

static void
merge(const timeline_args_t *args, source_t *sources, messages_t *messages)
{
    int64_t first_ms = -1;
    source_t *source;
    while ((source = pick_source(sources, args->file_count, messages)) !=
           NULL) {
        const char *sent = json_get_string(source->next, "sent");
        if (sent != NULL) {
            (void)json_object_set_new(messages->emitted, sent, json_true());
        }
        if (matches_filters(args, source->next)) {
            first_ms =
                first_ms < 0 ? json_get_int(source->next, "t", 0) : first_ms;
            print_event(args, source->next, first_ms, (int)(source - sources));
        }
        source_advance(source);
    }
}

int
main(int argc, char **argv)
{
    timeline_args_t args = {0};
    messages_t messages = {json_object(), json_object()};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    source_t *sources = mem_zalloc((size_t)args.file_count * sizeof(source_t));
    for (int i = 0; i < args.file_count; i++) {
        collect_sent(&messages, args.files[i]);
        sources[i].file = fopen(args.files[i], "re");
        if (sources[i].file == NULL) {
            (void)fprintf(stderr, "celeryspool-timeline: cannot open %s\n",
                          args.files[i]);
            return EXIT_FAILURE;
        }
        source_advance(&sources[i]);
    }
    merge(&args, sources, &messages);
    for (int i = 0; i < args.file_count; i++) {
        (void)fclose(sources[i].file);
    }
    free(sources);
    json_decref(messages.all_sent);
    json_decref(messages.emitted);
    return EXIT_SUCCESS;
}
