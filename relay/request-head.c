#include "cache-source.h"
#include "request.h"

#include <stdlib.h>
#include <string.h>

/* Writes the head of a request as it is sent on. */

/* Adds a header.  A control character in a name from the configuration, or in
 * the id of a server's event, would end it. */
static void
add_header(buf_t *out, wire_header_t header, const char *value)
{
    buf_fmt(out, "%s: ", wire_header_name(header));
    for (; *value != '\0'; value++) {
        bool control = (unsigned char)*value < ' ' || *value == 0x7f;
        buf_add(out, control ? "?" : value, 1);
    }
    buf_str(out, "\r\n");
}

/* Whether a header is listed in the caller's Connection header, which makes it
 * hop-by-hop. */
static bool
is_hop_by_hop(const http_head_t *head, const header_t *header)
{
    for (unsigned i = 0; i < head->count; i++) {
        if (!http_head_is(head, head->headers[i].name, "Connection")) {
            continue;
        }
        char list[256];
        char *rest = list;
        char *word;
        http_head_copy(head, head->headers[i].value, list, sizeof(list));
        while ((word = strsep(&rest, ", \t")) != NULL) {
            if (word[0] != '\0' && http_head_is(head, header->name, word)) {
                return true;
            }
        }
    }
    return false;
}

/* Whether a caller's header is forwarded unchanged. */
static bool
is_forwarded(wire_header_t kind, bool resumes)
{
    switch (kind) {
        case HEADER_CONNECTION:
        case HEADER_CONTENT_LENGTH:
        case HEADER_EXPECT:
        case HEADER_DEADLINE:
        case HEADER_ACCESS_KEY:
        case HEADER_WORKSPACE:
        case HEADER_PRIORITY:
        case HEADER_EXPECT_SERVER:
        case HEADER_EXPECT_VERSION:
        case HEADER_CACHE_SALT:
        case HEADER_CACHE_FETCH_FROM:
        case HEADER_CACHE_SAVE_TO:
        case HEADER_CACHE_PIN:
        case HEADER_CACHE_HOLD:
        case HEADER_CACHE_BACKUP:
        case HEADER_KV_FROM:
        case HEADER_FORWARDED:
            return false;
        case HEADER_LAST_EVENT_ID:
            return !resumes;
        default:
            return true;
    }
}

/* Adds the caller's headers that are passed on unchanged, and the event after
 * which a stream is to be resumed. */
void
request_add_caller_headers(const request_t *request, buf_t *out)
{
    const http_head_t *head = request->head;
    bool resumes = request->stream.last_id[0] != '\0';
    bool has_connection = http_head_find(head, "Connection") != NULL;
    for (unsigned i = 0; i < head->count; i++) {
        const header_t *header = &head->headers[i];
        wire_header_t kind = wire_header_find(http_head_at(head, header->name),
                                              header->name.len);
        if (!is_forwarded(kind, resumes) ||
            (has_connection && is_hop_by_hop(head, header))) {
            continue;
        }
        buf_add(out, http_head_at(head, header->name), header->name.len);
        buf_str(out, ": ");
        buf_add(out, http_head_at(head, header->value), header->value.len);
        buf_str(out, "\r\n");
    }
    if (resumes) {
        add_header(out, HEADER_LAST_EVENT_ID, request->stream.last_id);
    }
}

/* Adds the headers that name the cache to fetch missing parts from, and the kv
 * store to save the shared parts to. */
static void
add_cache_headers(request_t *request, const server_t *server, buf_t *out)
{
    cache_transfer_t transfer;
    cache_plan_transfer(request->relay, &request->prefix, server,
                        request_may_use_kv_stores(request, server), &transfer);
    request->cached_tokens = transfer.cached_tokens;
    str_copy(request->fetch_addr, sizeof(request->fetch_addr),
             transfer.fetch_addr);
    request->saves_to_kv_store = transfer.save_addr[0] != '\0';
    if (transfer.fetch_addr[0] != '\0') {
        add_header(out, HEADER_CACHE_FETCH_FROM, transfer.fetch_addr);
    }
    if (request->saves_to_kv_store) {
        add_header(out, HEADER_CACHE_SAVE_TO, transfer.save_addr);
    }
}

/* Writes the cache salt of the request's prompt for a weights version.  The
 * newest configuration says who shares cached parts, not the one with which
 * the request came: it may have isolated a workspace since. */
void
request_cache_salt(const request_t *request, int64_t weights,
                   char out[CS_ID_LEN + 1])
{
    char group[SHARING_GROUP_MAX];
    const relay_config_t *newest = request->relay->config;
    if (request->workspace == NULL || request->config == newest) {
        relay_config_sharing_group(newest, request->workspace, group);
    }
    else {
        relay_config_sharing_group_of(newest, request->workspace->name, group);
    }
    prompt_format_salt(request->prompt.model, weights, group, out);
}

/* Adds the headers for engines alone: cache salt, expected weights version,
 * cache sources and priority in the engine's queue. */
static void
add_engine_headers(request_t *request, server_t *server, buf_t *out)
{
    char text[32];
    char salt[CS_ID_LEN + 1];
    request_cache_salt(request, request->weights_version, salt);
    prompt_to_levels(&request->prompt, salt, &request->prefix);
    add_header(out, HEADER_CACHE_SALT, salt);
    (void)snprintf(text, sizeof(text), "%lld",
                   (long long)request->weights_version);
    add_header(out, HEADER_EXPECT_VERSION, text);
    add_cache_headers(request, server, out);
    (void)snprintf(text, sizeof(text), "%d",
                   request_engine_priority(request, server));
    add_header(out, HEADER_PRIORITY, text);
}

/* Writes the request line. */
void
request_add_line(const request_t *request, buf_t *out)
{
    const http_head_t *head = request->head;
    buf_fmt(out, "%s ", http_head_method(head));
    buf_add(out, http_head_at(head, head->target), head->target.len);
    buf_str(out, " HTTP/1.1\r\n");
}

/* Writes the length of the body and ends the head. */
void
request_end_head(const request_t *request, buf_t *out)
{
    if (request->body->len > 0 || request->head->method != HTTP_GET) {
        buf_fmt(out, "%s: %zu\r\n", wire_header_name(HEADER_CONTENT_LENGTH),
                request->body->len);
    }
    buf_str(out, "\r\n");
}

/* Writes the head of the request for a server. */
void
request_build_head(request_t *request, server_t *server, buf_t *out)
{
    char text[32];
    request_add_line(request, out);
    request_add_caller_headers(request, out);
    (void)snprintf(text, sizeof(text), "%lld",
                   (long long)(request->deadline_ms - request->sent_ms));
    add_header(out, HEADER_DEADLINE, text);
    add_header(out, HEADER_EXPECT_SERVER, server->info.id);
    if (request->workspace != NULL) {
        add_header(out, HEADER_WORKSPACE, request->workspace->name);
    }
    if (request->engine) {
        add_engine_headers(request, server, out);
    }
    request_end_head(request, out);
}
