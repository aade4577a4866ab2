#include "../kernel/base.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

/* Merges the event logs of all processes into one time line.  Within a
 * process its own numbers give the order; between processes a message's
 * arrival comes behind its sending, whatever the clocks say; where neither
 * tells, the wall clock does. */

#define LINE_MAX_BYTES 8192

const char *argp_program_version = "celeryspool-timeline " CS_VERSION;

typedef struct {
    const char *request;
    const char *workspace;
    const char *backend;
    const char *kind;
    bool json;
    bool picture;
    char **files;
    int file_count;
} line_args_t;

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
    line_args_t *args = state->input;
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
            args->picture = true;
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
    options, parse_option, "FILE…", "Merges event logs into one time line.",
    NULL,    NULL,         NULL};

/* One event log, read line by line. */
typedef struct {
    FILE *file;
    json_t *head; /* the next event, or NULL at the end */
} source_t;

static void
source_advance(source_t *source)
{
    char line[LINE_MAX_BYTES];
    json_decref(source->head);
    source->head = NULL;
    while (source->head == NULL && source->file != NULL &&
           fgets(line, sizeof(line), source->file) != NULL) {
        source->head = json_loads(line, 0, NULL);
    }
}

/* Ids of messages that some log says were sent, and of those put out so far,
 * tell whether an arrival has to wait. */
typedef struct {
    json_t *known;
    json_t *sent;
} messages_t;

static void
collect_sent(messages_t *messages, const char *path)
{
    source_t source = {.file = fopen(path, "re")};
    for (source_advance(&source); source.head != NULL;
         source_advance(&source)) {
        const char *id = json_text(source.head, "sent");
        if (id != NULL) {
            (void)json_object_set_new(messages->known, id, json_true());
        }
    }
    if (source.file != NULL) {
        (void)fclose(source.file);
    }
}

static bool
must_wait(const messages_t *messages, const json_t *event)
{
    const char *id = json_text(event, "received");
    return id != NULL && json_object_get(messages->known, id) != NULL &&
           json_object_get(messages->sent, id) == NULL;
}

/* The log whose next event is the earliest that need not wait; if all wait,
 * which a torn log can bring about, the earliest of all. */
static source_t *
pick(source_t *sources, int count, const messages_t *messages)
{
    source_t *best = NULL;
    bool best_waits = true;
    for (int i = 0; i < count; i++) {
        source_t *source = &sources[i];
        if (source->head == NULL) {
            continue;
        }
        bool waits = must_wait(messages, source->head);
        bool earlier = best == NULL || json_int(source->head, "t", 0) <
                                           json_int(best->head, "t", 0);
        if (best == NULL || (best_waits && !waits) ||
            (waits == best_waits && earlier)) {
            best = source;
            best_waits = waits;
        }
    }
    return best;
}

static bool
field_is(const json_t *event, const char *key, const char *want)
{
    const char *have = json_text(event, key);
    return want == NULL || (have != NULL && strcmp(have, want) == 0);
}

static bool
is_wanted(const line_args_t *args, const json_t *event)
{
    return field_is(event, "request", args->request) &&
           field_is(event, "workspace", args->workspace) &&
           field_is(event, "backend", args->backend) &&
           field_is(event, "kind", args->kind);
}

static const char *
text_of(const json_t *event, const char *key)
{
    const char *text = json_text(event, key);
    return text == NULL ? "" : text;
}

static void
print_event(const line_args_t *args, const json_t *event, int64_t first_ms,
            int column)
{
    if (args->json) {
        CLEAN_TEXT char *line = json_dumps(event, JSON_COMPACT);
        (void)printf("%s\n", line);
        return;
    }
    long long at = (long long)(json_int(event, "t", 0) - first_ms);
    if (args->picture) {
        (void)printf("%8lld  %*s* %s %s %s\n", at, column * 4, "",
                     text_of(event, "kind"), text_of(event, "backend"),
                     text_of(event, "detail"));
        return;
    }
    (void)printf("%8lld  %-12s %-14s %-33s %-12s %s\n", at,
                 text_of(event, "p"), text_of(event, "kind"),
                 text_of(event, "request"), text_of(event, "backend"),
                 text_of(event, "detail"));
}

static void
merge(const line_args_t *args, source_t *sources, messages_t *messages)
{
    int64_t first_ms = -1;
    source_t *source;
    while ((source = pick(sources, args->file_count, messages)) != NULL) {
        const char *sent = json_text(source->head, "sent");
        if (sent != NULL) {
            (void)json_object_set_new(messages->sent, sent, json_true());
        }
        if (is_wanted(args, source->head)) {
            first_ms =
                first_ms < 0 ? json_int(source->head, "t", 0) : first_ms;
            print_event(args, source->head, first_ms, (int)(source - sources));
        }
        source_advance(source);
    }
}

int
main(int argc, char **argv)
{
    line_args_t args = {0};
    messages_t messages = {json_object(), json_object()};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    source_t *sources = mem_zalloc((size_t)args.file_count * sizeof(source_t));
    for (int i = 0; i < args.file_count; i++) {
        collect_sent(&messages, args.files[i]);
        sources[i].file = fopen(args.files[i], "re");
        if (sources[i].file == NULL) {
            (void)fprintf(stderr, "celeryspool-timeline: %s cannot be read\n",
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
    json_decref(messages.known);
    json_decref(messages.sent);
    return EXIT_SUCCESS;
}
