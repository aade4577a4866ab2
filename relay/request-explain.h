#ifndef CELERYSPOOL_REQUEST_EXPLAIN_H
#define CELERYSPOOL_REQUEST_EXPLAIN_H

/* Explains where a request would go now, by the decisions that requests of
 * callers take, without sending it or changing the state of the daemon. */

#include "../kernel/tables.h"
#include "admit.h"
#include "request.h"

#define CANDIDATES_MAX 512

/* How a server was chosen. */
typedef struct {
    server_t *usable[CANDIDATES_MAX];
    size_t usable_count;
    server_t *excluded[CANDIDATES_MAX]; /* by their limit or rest alone */
    size_t excluded_count;
    server_t *sampled[CANDIDATES_MAX];
    size_t sampled_count;
    size_t compared_count; /* more than sampled if these have no room */
    candidate_t best;      /* the chosen server */
} placement_t;

/* What a request would meet at a server. */
typedef struct {
    double wait_ms;
    double prefill_ms;
    double cost_ms;      /* both, and what counts against the server */
    double prefill_rate; /* tokens/ms */
    uint32_t cached_tokens;
} server_outlook_t;

/* What the limit of a workspace says of a request. */
typedef struct {
    bool limited;
    double cost; /* units */
    double left; /* units */
    quota_decision_t decision;
} quota_preview_t;

int request_begin_explained(request_t *request, relay_t *relay,
                            const http_head_t *head);
quota_preview_t request_preview_quota(const request_t *request);
bool request_may_try_part(const request_t *request, const fatal_part_t *part,
                          int64_t now);
const char *request_server_obstacle(const request_t *request,
                                    const server_t *server, int64_t now);
server_outlook_t request_server_outlook(request_t *request, server_t *server,
                                        int64_t now);
server_t *request_decide_server(request_t *request, int64_t now,
                                placement_t *out);
server_t *request_find_exclusion(const request_t *request, int64_t now,
                                 const char **reason, int64_t *after_ms,
                                 int64_t *spread_ms);
bool request_is_unreached(const request_t *request, int64_t now);
admit_input_t request_admit_input(const request_t *request, int64_t now);
admission_t request_decide_admission(const request_t *request,
                                     const admission_input_t *input);
json_t *request_explain(relay_t *relay, const http_head_t *head);

#endif
