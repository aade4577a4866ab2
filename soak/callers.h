#ifndef CELERYSPOOL_SOAK_CALLERS_H
#define CELERYSPOOL_SOAK_CALLERS_H

/* The requests of the callers, which are kept until the checks at the end. */

#include "soak.h"

#include <ck_queue.h>

#define DEADLINE_MS 4000
#define REQUEST_ID_MAX 64

typedef enum {
    REQUEST_READ,
    REQUEST_STRIKE,
    REQUEST_REVIEW,
    REQUEST_FLAG,
    REQUEST_KINDS
} request_kind_t;

typedef struct {
    const char *path;
    const char *method;
    bool stream;
    int timeout_ms;
    int runs_max; /* how often servers may run one request */
} request_route_t;

typedef struct soak_request {
    CK_STAILQ_ENTRY(soak_request) entry;
    uint64_t number;
    uint64_t subject; /* number in its path and its prompt */
    request_kind_t kind;
    size_t relay;
    const char *key;
    const char *workspace;
    int deadline_ms; /* that its caller states */
    int64_t sent_ms;
    int64_t ended_ms;
    bool disturbed;        /* relay or servers had faults during the request */
    unsigned disturbances; /* faults of relay and servers before it was sent */
    bool calm; /* no relay and no server had a fault during the request */
    unsigned all_disturbances; /* faults of all before it was sent */
    bool relay_stopping;       /* the relay was shutting down meanwhile */
    exchange_end_t end;
    int status;
    int runs;               /* executions that servers recorded */
    uint32_t ran_servers;   /* one bit a server that recorded one */
    uint32_t shown_servers; /* one bit a server that events name */
    bool fatal;             /* it has the part that ends engines */
} soak_request_t;

typedef CK_STAILQ_HEAD(soak_requests, soak_request) soak_requests_t;

typedef struct caller caller_t;
typedef struct streams streams_t;

struct callers {
    soak_t *soak;
    caller_t *items;
    size_t count;
    soak_requests_t requests;
    uint64_t request_count;
    uint64_t returned;  /* of these, by callers that were rejected before */
    streams_t *streams; /* NULL without software versions */
    bool stopping;
};

const request_route_t *request_route(const soak_request_t *request);
int request_timeout_ms(const soak_request_t *request);
void request_format_id(const soak_t *soak, uint64_t number,
                       char out[REQUEST_ID_MAX]);
soak_request_t *request_new(callers_t *callers);
void request_write(const soak_t *soak, const soak_request_t *request,
                   const char *more, buf_t *out);
void request_note_sent(const soak_t *soak, soak_request_t *request);
void request_note_end(soak_t *soak, soak_request_t *request,
                      exchange_end_t end);
bool request_read_signature(const soak_t *soak, const soak_request_t *request,
                            const http_head_t *head, char server[CS_NAME_MAX]);

#endif
