#ifndef CELERYSPOOL_SERVER_LIMIT_H
#define CELERYSPOOL_SERVER_LIMIT_H

/* A rate limit that a server states for all hosts together, and this host's
 * part of it.  No I/O and no clock. */

#include "../kernel/base.h"

/* The hosts that share the limits, as seen by this one. */
typedef struct {
    size_t live;    /* hosts that are not dead, this one included */
    size_t assumed; /* hosts that may send; 0 if not known yet */
    size_t rank;    /* live hosts that rank before this one for the server */
} server_limit_hosts_t;

/* The state of a limit that hosts exchange.  Each change that a server's
 * answer shows to a host gets the next revision. */
typedef struct {
    uint32_t revision; /* 0: nothing was ever stated */
    bool stated;
    double per_s; /* if stated */
} server_limit_notice_t;

typedef struct {
    server_limit_notice_t current;
    double announced_per_s;
    int64_t announced_ms; /* when the announced value was learned */
    bool unannounced;     /* other hosts have to be notified of the change */
    int64_t learned_ms;   /* when an answer or a notice last stated it */
    server_limit_hosts_t hosts;
    rng_t rng;

    /* Of a host that uses the limit: a token bucket of requests. */
    double level;
    int64_t updated_ms;

    /* Of any other host: when it may send a single request. */
    int64_t recheck_ms;

    /* Until when this host's part is promised to rejected callers. */
    int64_t reserved_until_ms;
} server_limit_t;

void server_limit_init(server_limit_t *limit, uint64_t seed);
bool server_limit_hear(server_limit_t *limit, double per_s, int64_t now_ms);
bool server_limit_hear_none(server_limit_t *limit, int64_t sent_ms);
bool server_limit_apply(server_limit_t *limit,
                        const server_limit_notice_t *notice, int64_t now_ms);
void server_limit_set_hosts(server_limit_t *limit,
                            const server_limit_hosts_t *hosts, int64_t now_ms);
bool server_limit_allows(const server_limit_t *limit, int64_t now_ms);
bool server_limit_allows_probe(const server_limit_t *limit, int64_t now_ms);
int64_t server_limit_wait_ms(const server_limit_t *limit, int64_t now_ms);
double server_limit_cost_ms(const server_limit_t *limit, double prompt_tokens,
                            double mean_prompt_tokens);
void server_limit_take(server_limit_t *limit, int64_t now_ms);
int64_t server_limit_reservation_ms(const server_limit_t *limit,
                                    int64_t now_ms);
void server_limit_reserve(server_limit_t *limit, int64_t now_ms);

#endif
