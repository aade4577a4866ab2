#ifndef CELERYSPOOL_HTTP_READER_H
#define CELERYSPOOL_HTTP_READER_H

/* Reads HTTP/1.1 messages from an event buffer with the http-parser library.
 * It keeps the head as received, so that a relay can forward header names,
 * order and repetitions unchanged, and rejects messages that two parsers could
 * interpret differently. */

#include "base.h"
#include "http-lines.h"

#include <event2/buffer.h>
#include <http_parser.h>

#define HTTP_HEAD_HEADERS_MAX 128

/* A span of the head's text. */
typedef struct {
    uint32_t offset;
    uint32_t len;
} span_t;

typedef struct {
    span_t name;
    span_t value;
} header_t;

typedef struct {
    buf_t text; /* the head as received */
    header_t headers[HTTP_HEAD_HEADERS_MAX];
    unsigned count;
    span_t target; /* path and query of a request */
    unsigned method;
    int status;
    bool keep_alive;
    bool until_close; /* a response that ends with its connection */
} http_head_t;

typedef enum {
    READER_HEAD,
    READER_BODY,
    READER_COMPLETE,
    READER_INVALID /* see status and reason */
} reader_state_t;

typedef struct http_reader http_reader_t;

/* Called for each piece of a body. */
typedef void (*reader_body_t)(void *arg, const char *data, size_t len);

struct http_reader {
    http_parser parser;
    reader_state_t state;
    bool response;
    bool no_body; /* a response to a HEAD request */
    bool chunked; /* what follows the head */
    http_lines_t lines;
    size_t head_checked;   /* bytes of an incomplete head whose lines are
                              checked */
    const char *unchecked; /* while chunks are parsed: behind the last data */
    size_t head_max;
    int status; /* of READER_INVALID: the status to respond with, 400 or 431 */
    const char *reason; /* of READER_INVALID: for logs and error messages */
    http_head_t head;
    reader_body_t on_body;
    void *arg;
};

void http_reader_init(http_reader_t *reader, bool response, size_t head_max,
                      reader_body_t on_body, void *arg);
void http_reader_next(http_reader_t *reader);
void http_reader_free(http_reader_t *reader);
reader_state_t http_reader_feed(http_reader_t *reader, struct evbuffer *in);
void http_reader_skip_empty_lines(struct evbuffer *in);
reader_state_t http_reader_eof(http_reader_t *reader);
bool http_reader_has_excess(const http_reader_t *reader, struct evbuffer *in);

const char *http_head_method(const http_head_t *head);
const char *http_head_at(const http_head_t *head, span_t span);
bool http_head_is(const http_head_t *head, span_t span, const char *text);
const header_t *http_head_find(const http_head_t *head, const char *name);
void http_head_copy(const http_head_t *head, span_t span, char *out,
                    size_t size);

#endif
