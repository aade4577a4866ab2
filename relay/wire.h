#ifndef CELERYSPOOL_WIRE_H
#define CELERYSPOOL_WIRE_H

/* Identifies HTTP headers by their meaning.  Their names on the wire are only
 * in platform/header-names.c. */

#include "../kernel/base.h"

typedef enum {
    HEADER_OTHER,          /* passed on unchanged */
    HEADER_CONNECTION,     /* hop-by-hop, never passed on */
    HEADER_CONTENT_LENGTH, /* the router writes its own */
    HEADER_HOST,
    HEADER_EXPECT, /* Expect: 100-continue */
    HEADER_CONTENT_ENCODING,
    HEADER_RETRY_AFTER,

    /* From callers, passed on unchanged. */
    HEADER_REQUEST_ID,
    HEADER_MODEL,
    HEADER_TOKEN_USAGE,   /* prompt tokens and most output tokens */
    HEADER_PROMPT_PREFIX, /* parts of the prompt, ID:TOKENS each */
    HEADER_LAST_EVENT_ID, /* resumes a stream after this event */
    HEADER_RESUMES, /* attempt that brought the first event of that stream */
    HEADER_LENGTH_HINT, /* expected output tokens */

    /* From callers, replaced or removed. */
    HEADER_DEADLINE,   /* ms until the caller's deadline */
    HEADER_ACCESS_KEY, /* of the caller, never shown to a server */

    /* Set by the router if at all; values from callers are dropped. */
    HEADER_WORKSPACE,
    HEADER_PRIORITY,
    HEADER_EXPECT_SERVER,
    HEADER_EXPECT_VERSION,
    HEADER_CACHE_SALT,
    HEADER_CACHE_FETCH_FROM,
    HEADER_CACHE_SAVE_TO,
    HEADER_CACHE_PIN,
    HEADER_CACHE_HOLD,
    HEADER_CACHE_BACKUP,
    HEADER_KV_FROM,

    /* Between hosts. */
    HEADER_FORWARDED, /* a request: RUNS,COUNTED,TRIED,SOFTWARE,MOVES,SERVICE;
                         an answer: TRIED,SOFTWARE, or why it was not taken */

    /* From servers. */
    HEADER_SIGNATURE,
    HEADER_SERVER_ID,
    HEADER_LOAD,
    HEADER_NOT_EXECUTED,
    HEADER_WEIGHTS_VERSION, /* weights version that produced the answer */
    HEADER_SERVER_LIMIT,    /* requests a second from all hosts together */
    HEADER_SERVER_LEAVING,  /* 1 if it takes no new requests */
    HEADER_SERVER_BRITTLE,  /* rejections a second that it bears */
    HEADER_COUNT
} wire_header_t;

wire_header_t wire_header_find(const char *name, size_t len);
const char *wire_header_name(wire_header_t header);

#endif
