#ifndef CELERYSPOOL_WIRE_H
#define CELERYSPOOL_WIRE_H

/* What a header means, whatever it is called where the router runs.  The
 * names stand in platform/header-names.c alone. */

#include "../kernel/base.h"

typedef enum {
    HEADER_OTHER,          /* passed on as it is */
    HEADER_CONNECTION,     /* concerns one connection, never passed on */
    HEADER_CONTENT_LENGTH, /* of the body; the router writes its own */
    HEADER_HOST,
    HEADER_EXPECT,           /* 100-continue */
    HEADER_CONTENT_ENCODING, /* Content-Encoding */
    HEADER_RETRY_AFTER,

    /* From callers, passed on as they are. */
    HEADER_REQUEST_ID,
    HEADER_MODEL,
    HEADER_TOKEN_USAGE,   /* of the prompt, and of output at most */
    HEADER_PROMPT_PREFIX, /* parts of the prompt, ID:TOKENS each */
    HEADER_LAST_EVENT,    /* a stream goes on behind this event */
    HEADER_OUTPUT_HINT,

    /* From callers, replaced. */
    HEADER_DEADLINE,   /* how many ms the caller still waits */
    HEADER_ACCESS_KEY, /* the caller's, never shown to a server */

    /* The router's to set; a caller's own are dropped. */
    HEADER_WORKSPACE,
    HEADER_PRIORITY,
    HEADER_EXPECT_SERVER,
    HEADER_EXPECT_VERSION,
    HEADER_CACHE_SALT,
    HEADER_CACHE_FETCH,
    HEADER_CACHE_SAVE,
    HEADER_CACHE_PIN,
    HEADER_CACHE_HOLD,
    HEADER_CACHE_BACKUP,
    HEADER_KV_FROM,

    /* From servers. */
    HEADER_SIGNATURE,
    HEADER_SERVER_ID,
    HEADER_LOAD,
    HEADER_NOT_EXECUTED,
    HEADER_WEIGHTS, /* the version that an answer is made with */
    HEADER_COUNT
} wire_header_t;

wire_header_t wire_header_find(const char *name, size_t len);
const char *wire_header_name(wire_header_t header);

#endif
