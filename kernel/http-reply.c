#include "http.h"

#include <stdarg.h>
#include <string.h>

/* JSON responses of the HTTP server. */

/* Responds with a JSON document. */
void
http_req_reply_json(http_req_t *req, int status, const json_t *body)
{
    CLEAN_TEXT char *text = json_dumps(body, JSON_COMPACT);
    if (text != NULL) {
        http_req_reply(req, status, "application/json", text, strlen(text));
    }
}

/* Responds with an error document: {"error":{"code","message"}}. */
void
http_req_reply_error(http_req_t *req, int status, const char *code,
                     const char *fmt, ...)
{
    char text[512];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    CLEAN_JSON json_t *body =
        json_pack("{s:{s:s,s:s}}", "error", "code", code, "message", text);
    http_req_reply_json(req, status, body);
}
