#include "http-reader.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

static http_reader_t *
reader_of(http_parser *parser)
{
    return parser->data;
}

static span_t
span_of(const http_head_t *head, const char *at, size_t len)
{
    return (span_t){(uint32_t)(at - head->text.data), (uint32_t)len};
}

static int
reject(http_reader_t *reader, int status, const char *reason)
{
    reader->state = READER_INVALID;
    reader->status = status;
    reader->reason = reason;
    return -1;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    http_head_t *head = &reader_of(parser)->head;
    head->target = span_of(head, at, len);
    return 0;
}

/* http-parser accepts a space inside a header name.  The next hop could read
 * such a line as a different header, so it is rejected. */
static int
on_field(http_parser *parser, const char *at, size_t len)
{
    http_reader_t *reader = reader_of(parser);
    http_head_t *head = &reader->head;
    if (memchr(at, ' ', len) != NULL) {
        return reject(reader, 400, "a blank in a header's name");
    }
    if (reader->state != READER_HEAD) {
        return 0; /* a trailer, which is dropped: it is not in the head's text
                   */
    }
    if (head->count == HTTP_HEAD_HEADERS_MAX) {
        return reject(reader, 431, "too many headers");
    }
    if (len == 0) {
        return reject(reader, 400, "a header without a name");
    }
    head->headers[head->count].name = span_of(head, at, len);
    head->headers[head->count].value = span_of(head, at + len, 0);
    head->count++;
    return 0;
}

/* The head is parsed in one call and no header is folded, so a value arrives
 * in one piece. */
static int
on_value(http_parser *parser, const char *at, size_t len)
{
    http_reader_t *reader = reader_of(parser);
    http_head_t *head = &reader->head;
    if (reader->state != READER_HEAD) {
        return 0;
    }
    while (len > 0 && (at[len - 1] == ' ' || at[len - 1] == '\t')) {
        len--;
    }
    head->headers[head->count - 1].value = span_of(head, at, len);
    return 0;
}

static int
on_headers_complete(http_parser *parser)
{
    http_reader_t *reader = reader_of(parser);
    http_head_t *head = &reader->head;
    head->method = parser->method;
    head->status = parser->status_code;
    head->keep_alive = http_should_keep_alive(parser) != 0;
    reader->state = READER_BODY;
    return reader->no_body ? 1 : 0;
}

/* Checks the lines between the data of chunks, up to an address of the piece
 * that is being parsed. */
static bool
check_chunk_lines(http_reader_t *reader, const char *end)
{
    const char *reason = http_lines_check(&reader->lines, reader->unchecked,
                                          (size_t)(end - reader->unchecked));
    if (reason != NULL) {
        (void)reject(reader, 400, reason);
    }
    return reason == NULL;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    http_reader_t *reader = reader_of(parser);
    if (reader->chunked) {
        if (!check_chunk_lines(reader, at)) {
            return -1;
        }
        http_lines_skip_data(&reader->lines);
        reader->unchecked = at + len;
    }
    reader->on_body(reader->arg, at, len);
    return reader->state == READER_INVALID ? -1 : 0;
}

/* Stops after the message, so that later bytes stay in the buffer. */
static int
on_message_complete(http_parser *parser)
{
    reader_of(parser)->state = READER_COMPLETE;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* Initializes a reader for the requests or the responses of a connection. */
void
http_reader_init(http_reader_t *reader, bool response, size_t head_max,
                 reader_body_t on_body_piece, void *arg)
{
    memset(reader, 0, sizeof(*reader));
    reader->response = response;
    reader->head_max = head_max;
    reader->on_body = on_body_piece;
    reader->arg = arg;
    http_reader_next(reader);
}

/* Resets the reader for the next message. */
void
http_reader_next(http_reader_t *reader)
{
    http_parser_init(&reader->parser,
                     reader->response ? HTTP_RESPONSE : HTTP_REQUEST);
    reader->parser.data = reader;
    reader->state = READER_HEAD;
    reader->status = 0;
    reader->reason = NULL;
    reader->chunked = false;
    reader->head_checked = 0;
    http_lines_begin_head(&reader->lines);
    reader->head.text.len = 0;
    reader->head.count = 0;
    reader->head.status = 0;
    reader->head.until_close = false;
    reader->head.target = (span_t){0};
}

void
http_reader_free(http_reader_t *reader)
{
    buf_free(&reader->head.text);
}

static void
check_parser_error(http_reader_t *reader)
{
    enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);
    if (error != HPE_OK && error != HPE_PAUSED &&
        reader->state != READER_INVALID) {
        (void)reject(reader, 400, http_errno_description(error));
    }
}

/* Rejects a message whose coding is not exactly "chunked", which http-parser
 * takes for one that ends with its connection. */
static void
check_coding(http_reader_t *reader)
{
    const http_head_t *head = &reader->head;
    unsigned codings = 0;
    for (unsigned i = 0; i < head->count; i++) {
        const header_t *header = &head->headers[i];
        if (!http_head_is(head, header->name, "Transfer-Encoding")) {
            continue;
        }
        codings++;
        if (codings > 1 || !http_head_is(head, header->value, "chunked")) {
            (void)reject(reader, 400, "an unknown transfer coding");
            return;
        }
    }
    reader->chunked = codings > 0;
}

/* Rejects a request without exactly one Host header, which two parsers could
 * attribute to different hosts, and a protocol upgrade. */
static void
check_request(http_reader_t *reader)
{
    const http_head_t *head = &reader->head;
    unsigned hosts = 0;
    for (unsigned i = 0; i < head->count; i++) {
        hosts += http_head_is(head, head->headers[i].name, "Host") ? 1 : 0;
    }
    if (hosts != 1) {
        (void)reject(reader, 400, "not exactly one Host header");
        return;
    }
    if (reader->parser.upgrade != 0) {
        (void)reject(reader, 400, "an upgrade is not served");
    }
}

/* The begin of a status line; #: a digit. */
static const char status_line[] = "HTTP/1.# ###";
#define STATUS_LINE_LEN (sizeof(status_line) - 1)
#define STATUS_MIN 100
#define STATUS_MAX 599

/* Whether the text begins with a version and a status. */
static bool
begins_status_line(const char *text, size_t len)
{
    if (len < STATUS_LINE_LEN) {
        return false;
    }
    for (size_t i = 0; i < STATUS_LINE_LEN; i++) {
        bool matches = status_line[i] == '#'
                           ? isdigit((unsigned char)text[i]) != 0
                           : text[i] == status_line[i];
        if (!matches) {
            return false;
        }
    }
    return true;
}

/* Whether a head begins with a status line whose status exists.  http-parser
 * takes any number below 1,000 for a status, however many digits it has. */
static bool
has_valid_status(const http_reader_t *reader)
{
    const buf_t *text = &reader->head.text;
    if (!begins_status_line(text->data, text->len) ||
        text->len == STATUS_LINE_LEN) {
        return false;
    }
    char next = text->data[STATUS_LINE_LEN];
    return (next == ' ' || next == '\r' || next == '\n') &&
           reader->head.status >= STATUS_MIN &&
           reader->head.status <= STATUS_MAX;
}

/* Rejects a response without a valid status, and one whose head has a second
 * status line in it.  A faulty server may begin a head that it does not end;
 * the head of its next response then continues the last line, and the fields
 * of both would be read as one. */
static void
check_response(http_reader_t *reader)
{
    const buf_t *text = &reader->head.text;
    if (!has_valid_status(reader)) {
        (void)reject(reader, 400, "no valid status");
        return;
    }
    for (size_t i = 1; i < text->len; i++) {
        if (begins_status_line(text->data + i, text->len - i)) {
            (void)reject(reader, 400, "a status line within the head");
            return;
        }
    }
}

/* Drops empty lines before a request: some clients send an extra CRLF after a
 * body. */
void
http_reader_skip_empty_lines(struct evbuffer *in)
{
    char two[2];
    while (evbuffer_copyout(in, two, 2) == 2 && memcmp(two, "\r\n", 2) == 0) {
        (void)evbuffer_drain(in, 2);
    }
}

/* Whether input whose head is incomplete begins as a response does, perhaps
 * after empty lines. */
static bool
begins_as_response(struct evbuffer *in)
{
    static const char version[] = "HTTP/";
    size_t at = 0;
    struct evbuffer_ptr from;
    (void)evbuffer_ptr_set(in, &from, 0, EVBUFFER_PTR_SET);
    char c;
    while (evbuffer_copyout_from(in, &from, &c, 1) == 1 &&
           version[at] != '\0') {
        if (c == version[at]) {
            at++;
        }
        else if (at > 0 || (c != '\r' && c != '\n')) {
            return false;
        }
        if (evbuffer_ptr_set(in, &from, 1, EVBUFFER_PTR_ADD) != 0) {
            break;
        }
    }
    return true;
}

/* Checks the lines in the first bytes of the input, which are part of a head;
 * empty lines before it are skipped. */
static bool
check_head_lines(http_reader_t *reader, struct evbuffer *in, size_t len)
{
    const char *raw = (const char *)evbuffer_pullup(in, (ev_ssize_t)len);
    size_t at = reader->head_checked;
    while (reader->head_checked == 0 && at < len &&
           (raw[at] == '\r' || raw[at] == '\n')) {
        at++;
    }
    const char *reason = http_lines_check(&reader->lines, raw + at, len - at);
    if (reason != NULL) {
        (void)reject(reader, 400, reason);
        return false;
    }
    if (at < len) {
        reader->head_checked = len;
    }
    return true;
}

/* Checks a head that is not complete, so that one that never will be is
 * rejected at once. */
static void
check_incomplete_head(http_reader_t *reader, struct evbuffer *in)
{
    size_t have = evbuffer_get_length(in);
    if (have > reader->head_max) {
        (void)reject(reader, 431, "the head is too long");
    }
    else if (reader->response && !begins_as_response(in)) {
        (void)reject(reader, 400, "not a response");
    }
    else if (have > 0) {
        (void)check_head_lines(reader, in, have);
    }
}

static void
check_head(http_reader_t *reader)
{
    check_coding(reader);
    if (reader->state == READER_INVALID) {
        return;
    }
    if (reader->response) {
        check_response(reader);
    }
    else {
        check_request(reader);
    }
}

static bool
read_head(http_reader_t *reader, struct evbuffer *in)
{
    if (!reader->response) {
        http_reader_skip_empty_lines(in);
    }
    struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    if (end.pos < 0) {
        check_incomplete_head(reader, in);
        return false;
    }
    size_t len = (size_t)end.pos + 4;
    if (len > reader->head_max) {
        (void)reject(reader, 431, "the head is too long");
        return false;
    }
    if (!check_head_lines(reader, in, len)) {
        return false;
    }
    buf_add(&reader->head.text, evbuffer_pullup(in, (ev_ssize_t)len), len);
    (void)evbuffer_drain(in, len);
    (void)http_parser_execute(&reader->parser, &parser_settings,
                              reader->head.text.data, len);
    check_parser_error(reader);
    if (reader->state == READER_HEAD) {
        /* Empty lines before a message, or a head that does not end here. */
        (void)reject(reader, 400, "the head is not one message");
    }
    if (reader->state != READER_INVALID) {
        check_head(reader);
    }
    http_lines_begin_chunks(&reader->lines);
    reader->head.until_close = reader->response &&
                               reader->state == READER_BODY &&
                               http_body_is_final(&reader->parser) == 0 &&
                               reader->parser.content_length == UINT64_MAX &&
                               (reader->parser.flags & F_CHUNKED) == 0;
    return reader->state != READER_INVALID;
}

/* Parses buffered input.  Stops after the head (the state is then BODY, or
 * COMPLETE if there is no body) so that the owner can inspect it; further
 * calls read the body. */
reader_state_t
http_reader_feed(http_reader_t *reader, struct evbuffer *in)
{
    if (reader->state == READER_HEAD) {
        (void)read_head(reader, in);
        return reader->state;
    }
    while (reader->state == READER_BODY) {
        struct evbuffer_iovec piece;
        if (evbuffer_peek(in, -1, NULL, &piece, 1) < 1 || piece.iov_len == 0) {
            break;
        }
        const char *data = piece.iov_base;
        reader->unchecked = data;
        size_t used = http_parser_execute(&reader->parser, &parser_settings,
                                          data, piece.iov_len);
        check_parser_error(reader);
        if (reader->chunked && reader->state != READER_INVALID) {
            (void)check_chunk_lines(reader, data + used);
        }
        (void)evbuffer_drain(in, used);
        if (used == 0) {
            break;
        }
    }
    return reader->state;
}

/* The peer has closed the connection, which completes a response without a
 * length. */
reader_state_t
http_reader_eof(http_reader_t *reader)
{
    if (reader->state == READER_BODY) {
        (void)http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
        check_parser_error(reader);
    }
    return reader->state;
}

/* Whether a complete response is followed by bytes that begin no other one
 * although it states its length: either its length or its body is wrong. */
bool
http_reader_has_excess(const http_reader_t *reader, struct evbuffer *in)
{
    return reader->state == READER_COMPLETE && !reader->no_body &&
           http_head_find(&reader->head, "Content-Length") != NULL &&
           !begins_as_response(in);
}

const char *
http_head_method(const http_head_t *head)
{
    return http_method_str((enum http_method)head->method);
}

const char *
http_head_at(const http_head_t *head, span_t span)
{
    return head->text.data + span.offset;
}

/* Whether a span equals a text, ignoring case. */
bool
http_head_is(const http_head_t *head, span_t span, const char *text)
{
    return strlen(text) == span.len &&
           strncasecmp(http_head_at(head, span), text, span.len) == 0;
}

const header_t *
http_head_find(const http_head_t *head, const char *name)
{
    for (unsigned i = 0; i < head->count; i++) {
        if (http_head_is(head, head->headers[i].name, name)) {
            return &head->headers[i];
        }
    }
    return NULL;
}

void
http_head_copy(const http_head_t *head, span_t span, char *out, size_t size)
{
    size_t len = span.len < size - 1 ? span.len : size - 1;
    memcpy(out, http_head_at(head, span), len);
    out[len] = '\0';
}
