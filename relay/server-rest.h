#ifndef CELERYSPOOL_SERVER_REST_H
#define CELERYSPOOL_SERVER_REST_H

/* The rest that a server asks of this host: a time without requests.  No I/O
 * and no clock. */

#include "../kernel/base.h"

typedef enum {
    REST_NONE,
    REST_RESTING, /* nothing is sent until until_ms */
    REST_TRIAL    /* single requests until the server takes one */
} rest_state_t;

typedef struct {
    rest_state_t state;
    int64_t until_ms;      /* end of the rest */
    int64_t next_trial_ms; /* when the next single request may be sent */
} server_rest_t;

bool server_rest_begin(server_rest_t *rest, int64_t rest_ms, int64_t now_ms);
bool server_rest_end(server_rest_t *rest, int64_t sent_ms);
int64_t server_rest_wait_ms(const server_rest_t *rest, int64_t now_ms);
bool server_rest_allows(const server_rest_t *rest, int64_t now_ms);
void server_rest_take(server_rest_t *rest, int64_t now_ms);

#endif
