#include "streams.h"

#include <stdlib.h>
#include <string.h>

/* Copies the word after a name in an event; empty if it is not there. */
static void
read_word(const char *event, const char *name, char out[CS_NAME_MAX])
{
    const char *word = strstr(event, name);
    out[0] = '\0';
    if (word != NULL) {
        word += strlen(name);
        size_t len = strcspn(word, " \n");
        len = len < CS_NAME_MAX - 1 ? len : CS_NAME_MAX - 1;
        memcpy(out, word, len);
        out[len] = '\0';
    }
}

static bool
list_has(const buf_t *list, const char *word)
{
    size_t len = strlen(word);
    const char *at = list->len > 0 ? buf_text(list) : NULL;
    while (at != NULL) {
        size_t item = strcspn(at, ",");
        if (item == len && strncmp(at, word, len) == 0) {
            return true;
        }
        at = at[item] == ',' ? at + item + 1 : NULL;
    }
    return false;
}

static void
list_add(buf_t *list, const char *word)
{
    buf_fmt(list, "%s%s", list->len > 0 ? "," : "", word);
}

static void
note_server(stream_events_t *events, const char *event)
{
    char server[CS_NAME_MAX];
    read_word(event, " server=", server);
    if (strcmp(server, events->server) == 0) {
        return;
    }
    events->moves += events->answer_begun ? 1 : 0;
    str_copy(events->server, sizeof(events->server), server);
    list_add(&events->servers, server);
}

/* Servers that name no version may differ, so each counts as one of its own.
 */
static void
note_version(stream_events_t *events, const char *event)
{
    char version[CS_NAME_MAX];
    read_word(event, " software=", version);
    if (strcmp(version, "-") == 0) {
        (void)snprintf(version, sizeof(version), "-%.60s", events->server);
    }
    if (!list_has(&events->versions, version)) {
        list_add(&events->versions, version);
        events->version_count++;
    }
}

static void
add_event(stream_events_t *events, const char *event)
{
    const char *id = strstr(event, "id: ");
    unsigned number = id != NULL ? (unsigned)strtoul(id + 4, NULL, 10) : 0;
    events->order_errors += number != events->last_event + 1 ? 1 : 0;
    note_server(events, event);
    note_version(events, event);
    events->last_event = number;
    events->answer_begun = true;
}

/* Takes in a piece of an answer. */
void
stream_events_add(stream_events_t *events, const char *data, size_t len)
{
    char *end;
    buf_add(&events->partial, data, len);
    while (events->partial.len > 0 &&
           (end = strstr(events->partial.data, "\n\n")) != NULL) {
        *end = '\0';
        add_event(events, events->partial.data);
        buf_consume(&events->partial,
                    (size_t)(end - events->partial.data) + 2);
    }
}

/* Begins with another answer, which repeats an event that was incomplete. */
void
stream_events_next_answer(stream_events_t *events)
{
    events->partial.len = 0;
    events->answer_begun = false;
}

/* Begins anew, as a client that asks for the whole stream again. */
void
stream_events_forget(stream_events_t *events)
{
    buf_free(&events->versions);
    buf_free(&events->servers);
    events->versions = (buf_t){0};
    events->servers = (buf_t){0};
    events->version_count = 0;
    events->last_event = 0;
    events->server[0] = '\0';
    stream_events_next_answer(events);
}
