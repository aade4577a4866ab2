#include "callers.h"
#include "../relay/wire.h"

#include <inttypes.h>
#include <string.h>

/* What all callers have in common: how requests are written, and what is noted
 * and checked of each when it ends. */

/* A final answer may arrive this long after the route's timeout. */
#define ANSWER_MARGIN_MS 500

static const request_route_t routes[REQUEST_KINDS] = {
    {"/read/r", "GET", false, 800, 2},
    {"/strike/s", "POST", false, 800, 1},
    {"/review/v", "POST", true, DEADLINE_MS, 2},
    {"/flag/f", "POST", true, 3000, 1},
};

const request_route_t *
request_route(const soak_request_t *request)
{
    return &routes[request->kind];
}

/* Returns when a request times out: by its route, or by what its caller
 * states. */
int
request_timeout_ms(const soak_request_t *request)
{
    int by_route = request_route(request)->timeout_ms;
    return request->deadline_ms < by_route ? request->deadline_ms : by_route;
}

void
request_format_id(const soak_t *soak, uint64_t number,
                  char out[REQUEST_ID_MAX])
{
    (void)snprintf(out, REQUEST_ID_MAX, "s%" PRIu64 "-%" PRIu64, soak->seed,
                   number);
}

/* Adds a request with the next number; its caller fills in the rest. */
soak_request_t *
request_new(callers_t *callers)
{
    soak_request_t *request = mem_zalloc(sizeof(*request));
    request->number = ++callers->request_count;
    request->subject = request->number;
    request->deadline_ms = DEADLINE_MS;
    CK_STAILQ_INSERT_TAIL(&callers->requests, request, entry);
    return request;
}

/* Writes a request; `more` are further header lines. */
void
request_write(const soak_t *soak, const soak_request_t *request,
              const char *more, buf_t *out)
{
    const request_route_t *route = request_route(request);
    bool has_body = strcmp(route->method, "POST") == 0;
    char id[REQUEST_ID_MAX];
    request_format_id(soak, request->number, id);
    buf_fmt(out,
            "%s %s%" PRIu64
            " HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n"
            "%s: %d\r\n%s: Token %s\r\n%s",
            route->method, route->path, request->subject,
            wire_header_name(HEADER_REQUEST_ID), id,
            wire_header_name(HEADER_DEADLINE), request->deadline_ms,
            wire_header_name(HEADER_ACCESS_KEY), request->key, more);
    if (route->stream) {
        buf_fmt(out,
                "%s: m1\r\n%s: 1460,80\r\n%s: aa:800,%s%d:410,%" PRIx64
                ":250\r\n",
                wire_header_name(HEADER_MODEL),
                wire_header_name(HEADER_TOKEN_USAGE),
                wire_header_name(HEADER_PROMPT_PREFIX),
                request->fatal ? CALLERS_FATAL_PART ":1,b" : "b",
                (int)(request->subject % 7), 0x10000 + request->subject);
    }
    buf_str(out, has_body ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

static unsigned
disturbance_count(const soak_t *soak, size_t relay)
{
    return soak->relays[relay].disturbances + soak->server_disturbances;
}

static unsigned
count_all_disturbances(const soak_t *soak)
{
    unsigned count = soak->server_disturbances;
    for (size_t i = 0; i < soak->relay_count; i++) {
        count += soak->relays[i].disturbances;
    }
    return count;
}

static bool
is_disturbed(const soak_t *soak, size_t relay)
{
    int64_t now = time_mono_ms();
    return now < soak->relays[relay].disturbed_until_ms ||
           now < soak->servers_disturbed_until_ms;
}

static bool
is_calm(const soak_t *soak)
{
    for (size_t i = 0; i < soak->relay_count; i++) {
        if (is_disturbed(soak, i)) {
            return false;
        }
    }
    return true;
}

void
request_note_sent(const soak_t *soak, soak_request_t *request)
{
    request->sent_ms = time_mono_ms();
    request->disturbed = is_disturbed(soak, request->relay);
    request->disturbances = disturbance_count(soak, request->relay);
    request->calm = is_calm(soak);
    request->all_disturbances = count_all_disturbances(soak);
    request->relay_stopping =
        request->sent_ms < soak->relays[request->relay].stopping_until_ms;
}

/* Notes the end of a request and checks what holds for all of them. */
void
request_note_end(soak_t *soak, soak_request_t *request, exchange_end_t end)
{
    const soak_relay_t *relay = &soak->relays[request->relay];
    char id[REQUEST_ID_MAX];
    request_format_id(soak, request->number, id);
    request->end = end;
    request->ended_ms = time_mono_ms();
    request->disturbed |=
        is_disturbed(soak, request->relay) ||
        request->disturbances != disturbance_count(soak, request->relay);
    request->calm &= is_calm(soak) &&
                     request->all_disturbances == count_all_disturbances(soak);
    request->relay_stopping |= request->ended_ms < relay->stopping_until_ms;
    if (end == EXCHANGE_MALFORMED) {
        soak_report_violation(soak, "answers are valid HTTP", "%s", id);
    }
    int64_t elapsed_ms = request->ended_ms - request->sent_ms;
    if (!request->disturbed && !request->relay_stopping &&
        elapsed_ms > request_timeout_ms(request) + ANSWER_MARGIN_MS) {
        soak_report_violation(soak, "final answers arrive in time",
                              "%s at %s after %" PRId64 " ms", id,
                              relay->process.name, elapsed_ms);
    }
}

/* Copies the server that signed an answer.  Returns whether the signature is
 * one of this request. */
bool
request_read_signature(const soak_t *soak, const soak_request_t *request,
                       const http_head_t *head, char server[CS_NAME_MAX])
{
    char id[REQUEST_ID_MAX];
    char expected[192];
    char text[192] = "";
    const header_t *signature =
        http_head_find(head, wire_header_name(HEADER_SIGNATURE));
    if (signature == NULL) {
        return false;
    }
    request_format_id(soak, request->number, id);
    http_head_copy(head, signature->value, text, sizeof(text));
    (void)sscanf(text, "sig.%63[^.]", server);
    (void)snprintf(expected, sizeof(expected), "sig.%s.%s", server, id);
    return strcmp(text, expected) == 0;
}
