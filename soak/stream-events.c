#include "streams.h"

#include <stdlib.h>
#include <string.h>

/* Reads events and checks each against those that its caller has already. */

/* What an event says. */
typedef struct {
    unsigned id;
    char data[64];
    char server[CS_NAME_MAX];
    char version[CS_NAME_MAX]; /* of the server's software */
} stream_event_t;

static void
copy_word(const char *text, const char *key, char *out, size_t size)
{
    const char *at = strstr(text, key);
    out[0] = '\0';
    if (at != NULL) {
        at += strlen(key);
        (void)snprintf(out, size, "%.*s", (int)strcspn(at, " \n"), at);
    }
}

static void
parse_event(const char *text, stream_event_t *event)
{
    char id[24];
    copy_word(text, "id: ", id, sizeof(id));
    event->id = (unsigned)strtoul(id, NULL, 10);
    copy_word(text, "data: ", event->data, sizeof(event->data));
    copy_word(text, " server=", event->server, sizeof(event->server));
    copy_word(text, " software=", event->version, sizeof(event->version));
}

/* Checks that an event is the next one of its stream. */
static bool
check_order(const stream_reader_t *reader, const stream_event_t *event)
{
    char id[REQUEST_ID_MAX];
    char expected[64];
    unsigned next = reader->stream->last_event + 1;
    (void)snprintf(expected, sizeof(expected), "token-%u", next);
    if (event->id == next && strcmp(event->data, expected) == 0) {
        return true;
    }
    request_format_id(reader->soak, reader->request->number, id);
    soak_report_violation(
        reader->soak, "no event of a stream is missing or comes twice",
        "%s: event %u (%s) instead of %u", id, event->id, event->data, next);
    if (event->id > next) {
        reader->stream->last_event = event->id; /* report it once */
    }
    return false;
}

/* Notes which server made an event, for the check against its record. */
static void
note_server(const stream_reader_t *reader, const stream_event_t *event)
{
    soak_t *soak = reader->soak;
    for (size_t i = 0; i < soak->server_count; i++) {
        if (strcmp(soak->servers[i].id, event->server) == 0) {
            versions_note_event(&soak->servers[i], event->version);
            reader->request->shown_servers |= (uint32_t)1 << i;
            return;
        }
    }
    soak_report_violation(reader->soak, "events name the server of their run",
                          "event %u: %s", event->id, event->data);
}

/* Checks that an event comes from the software version that began its stream,
 * and if the stream may not be resumed, from the same server. */
static void
check_version(const stream_reader_t *reader, const stream_event_t *event)
{
    stream_t *stream = reader->stream;
    const soak_t *soak = reader->soak;
    bool resumable = reader->request->kind == REQUEST_REVIEW;
    char id[REQUEST_ID_MAX];
    char first_id[REQUEST_ID_MAX];
    request_format_id(soak, reader->request->number, id);
    request_format_id(soak, stream->first_number, first_id);
    if (!stream->mixed && strcmp(event->version, stream->first_version) != 0) {
        stream->mixed = true;
        soak_report_violation(
            reader->soak, "a stream goes on only at the version that began it",
            "%s began at %s %s by %s, event %u of %s at %s is of %s by %s",
            first_id, soak->relays[stream->first_relay].process.name,
            stream->first_version, stream->first_server, event->id, id,
            soak->relays[reader->request->relay].process.name, event->version,
            event->server);
    }
    if (!resumable && strcmp(event->server, stream->first_server) != 0) {
        soak_report_violation(
            reader->soak, "a stream that may not be resumed is of one server",
            "%s: event %u by %s after %s", id, event->id, event->server,
            stream->first_server);
    }
}

static void
take_event(stream_reader_t *reader, const char *text)
{
    stream_t *stream = reader->stream;
    stream_event_t event;
    parse_event(text, &event);
    reader->events++;
    if (!check_order(reader, &event)) {
        return;
    }
    if (stream->first_version[0] == '\0') {
        stream->first_number = reader->request->number;
        stream->first_relay = reader->request->relay;
        str_copy(stream->first_server, sizeof(stream->first_server),
                 event.server);
        str_copy(stream->first_version, sizeof(stream->first_version),
                 event.version);
    }
    stream->last_event = event.id;
    note_server(reader, &event);
    check_version(reader, &event);
}

/* Reads the complete events of the next part of an answer. */
void
stream_reader_feed(stream_reader_t *reader, const char *data, size_t len)
{
    buf_add(&reader->text, data, len);
    const char *end;
    while ((end = strstr(buf_text(&reader->text), "\n\n")) != NULL) {
        size_t event_len = (size_t)(end - reader->text.data);
        reader->text.data[event_len] = '\0';
        take_event(reader, reader->text.data);
        buf_consume(&reader->text, event_len + 2);
    }
}
