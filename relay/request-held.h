#ifndef CELERYSPOOL_REQUEST_HELD_H
#define CELERYSPOOL_REQUEST_HELD_H

/* Bytes held for callers and servers that read slowly: keeps the accounts of
 * balance/held-bytes.h and carries out its decisions. */

#include "request.h"

typedef struct caller_hold caller_hold_t;

void request_hold_begin(request_t *request);
void request_hold_end(request_t *request);
void request_hold_update(request_t *request);
void request_hold_end_attempt(request_t *request);

#endif
