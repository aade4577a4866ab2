#include "stream.h"

#include <stdlib.h>
#include <string.h>

/* Longest event, bytes: far more than one step of a model produces, far less
 * than what would exhaust a host's memory. */
#define EVENT_BYTES_MAX (256 * 1024)

/* Bytes of events that the caller already has, from one server: far more than
 * an answer that is repeated from its start. */
#define REPEATED_BYTES_MAX (4u << 20)

/* Starts a stream whose caller has received the events up to this id; empty
 * for none. */
void
stream_init(stream_t *stream, const char *last_id)
{
    memset(stream, 0, sizeof(*stream));
    str_copy(stream->last_id, sizeof(stream->last_id), last_id);
    stream->continued = last_id[0] != '\0';
}

void
stream_free(stream_t *stream)
{
    buf_free(&stream->partial);
}

/* Continues with the answer of another attempt: drops the incomplete event of
 * the previous one. */
void
stream_restart(stream_t *stream)
{
    stream->partial.len = 0;
    stream->repeated_bytes = 0;
    stream->continued = stream->continued || stream->events > 0;
}

/* Returns the length of the first event in the text, including the empty line
 * that ends it, or 0 if it is incomplete. */
static size_t
find_event_length(const char *text, size_t len, size_t from)
{
    for (size_t i = from; i + 1 < len; i++) {
        if (text[i] != '\n') {
            continue;
        }
        if (text[i + 1] == '\n') {
            return i + 2;
        }
        if (text[i + 1] == '\r' && i + 2 < len && text[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

/* Copies the value of an event's id line; false if it has none. */
static bool
read_event_id(const char *text, size_t len, char *out, size_t size)
{
    const char *line = text;
    const char *end = text + len;
    while (line < end) {
        const char *line_end = memchr(line, '\n', (size_t)(end - line));
        size_t line_len = (size_t)((line_end != NULL ? line_end : end) - line);
        if (line_len > 3 && memcmp(line, "id:", 3) == 0) {
            const char *value = line + 3;
            size_t value_len = line_len - 3;
            while (value_len > 0 && *value == ' ') {
                value++;
                value_len--;
            }
            while (value_len > 0 && value[value_len - 1] == '\r') {
                value_len--;
            }
            value_len = value_len < size - 1 ? value_len : size - 1;
            memcpy(out, value, value_len);
            out[value_len] = '\0';
            return true;
        }
        line += line_len + 1;
    }
    return false;
}

/* Whether an event follows the last one.  A server that resumes a stream may
 * start too early; events that the caller already has are not sent again. */
static bool
is_new_event(const stream_t *stream, const char *id)
{
    return stream->last_id[0] == '\0' ||
           strtoll(id, NULL, 10) > strtoll(stream->last_id, NULL, 10);
}

/* Takes bytes and appends the events that they complete to out.  Returns the
 * number of events appended. */
size_t
stream_feed(stream_t *stream, const char *data, size_t len, buf_t *out)
{
    size_t events = 0;
    size_t from = stream->partial.len > 2 ? stream->partial.len - 2 : 0;
    buf_add(&stream->partial, data, len);
    size_t event_len;
    size_t consumed = 0;
    while ((event_len =
                find_event_length(stream->partial.data + consumed,
                                  stream->partial.len - consumed, from)) > 0) {
        char id[EVENT_ID_MAX];
        const char *text = stream->partial.data + consumed;
        bool has_id = read_event_id(text, event_len, id, sizeof(id));
        if (!has_id || is_new_event(stream, id)) {
            buf_add(out, text, event_len);
            events++;
        }
        else {
            stream->repeated_bytes += event_len;
        }
        if (has_id && is_new_event(stream, id)) {
            str_copy(stream->last_id, sizeof(stream->last_id), id);
        }
        consumed += event_len;
        from = 0;
    }
    buf_consume(&stream->partial, consumed);
    stream->events += events;
    stream->overflow = stream->partial.len > EVENT_BYTES_MAX ||
                       stream->repeated_bytes > REPEATED_BYTES_MAX;
    return events;
}
