#ifndef CELERYSPOOL_EXPLAIN_HEAD_H
#define CELERYSPOOL_EXPLAIN_HEAD_H

/* The head of a request that is to be explained, as text.  No I/O. */

#include "../kernel/http-reader.h"

#define EXPLAIN_PATH "/explain"

/* What is wrong with a head.  Neither text contains a value of the head, which
 * may be an access key. */
typedef struct {
    unsigned line;  /* from 1; 0 if it is the whole head */
    char field[64]; /* a header, or a part of the request line */
    char message[128];
} explain_error_t;

/* A head that was read.  The reader must not be moved. */
typedef struct {
    http_reader_t reader;
    struct evbuffer *input;
} explained_head_t;

/* The values from which a head is built; NULL for none. */
typedef struct {
    const char *key;
    const char *host;
    const char *path; /* NULL: / */
    const char *model;
    const char *tokens;
    const char *parts;
    const char *deadline;
} explain_query_t;

bool explain_head_read(explained_head_t *head, const char *text, size_t len,
                       size_t head_max, explain_error_t *error);
void explain_head_free(explained_head_t *head);
bool explain_head_build(const explain_query_t *query, buf_t *out,
                        explain_error_t *error);

#endif
