#include "stream.h"

#include <stdlib.h>
#include <string.h>

/* Longest event, bytes: far over what a model's step makes, far under what a
 * broken server could fill a host's memory with. */
#define EVENT_MAX (256 * 1024)

/* A stream whose caller has the events up to this id; empty for none. */
void
stream_init(stream_t *stream, const char *last)
{
    memset(stream, 0, sizeof(*stream));
    str_copy(stream->last, sizeof(stream->last), last);
}

void
stream_free(stream_t *stream)
{
    buf_free(&stream->part);
}

/* Another server goes on: what the one before left unfinished is dropped. */
void
stream_restart(stream_t *stream)
{
    stream->part.len = 0;
}

/* The length of the first event in the text with the empty line that ends
 * it, or 0. */
static size_t
event_length(const char *text, size_t len, size_t from)
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

/* Copy the value of an event's id line, if it has one. */
static bool
event_id(const char *text, size_t len, char *out, size_t size)
{
    const char *at = text;
    const char *end = text + len;
    while (at < end) {
        const char *line_end = memchr(at, '\n', (size_t)(end - at));
        size_t line = (size_t)((line_end != NULL ? line_end : end) - at);
        if (line > 3 && memcmp(at, "id:", 3) == 0) {
            const char *value = at + 3;
            size_t value_len = line - 3;
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
        at += line + 1;
    }
    return false;
}

/* Whether an event comes behind the last one.  A server that goes on for
 * another may begin too early; what the caller has is not sent again. */
static bool
event_is_new(const stream_t *stream, const char *id)
{
    return stream->last[0] == '\0' ||
           strtoll(id, NULL, 10) > strtoll(stream->last, NULL, 10);
}

/* Take bytes in and append the events that are whole now to out; tells how
 * many there are. */
size_t
stream_take(stream_t *stream, const char *data, size_t len, buf_t *out)
{
    size_t events = 0;
    size_t from = stream->part.len > 2 ? stream->part.len - 2 : 0;
    buf_add(&stream->part, data, len);
    size_t event;
    size_t done = 0;
    while ((event = event_length(stream->part.data + done,
                                 stream->part.len - done, from)) > 0) {
        char id[EVENT_ID_MAX];
        const char *text = stream->part.data + done;
        bool named = event_id(text, event, id, sizeof(id));
        if (!named || event_is_new(stream, id)) {
            buf_add(out, text, event);
            events++;
        }
        if (named && event_is_new(stream, id)) {
            str_copy(stream->last, sizeof(stream->last), id);
        }
        done += event;
        from = 0;
    }
    buf_consume(&stream->part, done);
    stream->overflow = stream->part.len > EVENT_MAX;
    return events;
}
