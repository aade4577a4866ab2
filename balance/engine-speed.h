#ifndef CELERYSPOOL_ENGINE_SPEED_H
#define CELERYSPOOL_ENGINE_SPEED_H

/* Estimates how long engines take to prefill tokens.  A service (engines of
 * one model) has a prefill rate; each server has a ratio to the service's
 * mean, and a pace that it reports.  All of them are factors of the time that
 * work takes: ratio 1.7 or pace 170 mean 1.7 times as long.  No I/O; times are
 * passed in. */

#include "../kernel/base.h"

/* Prefill rate that is assumed before the first observation, tokens/ms. */
#define ENGINE_PREFILL_RATE_START 48.0

/* Pace of a server that works at its usual speed, percent. */
#define PACE_USUAL 100

/* The regression of the time to the first token over the tokens to prefill,
 * as weighted sums with forgetting; see engine_speed_observe. */
typedef struct {
    double ms_per_token;
    double first_token_ms; /* constant part of the time to the first token */
    double assumed_first_token_ms; /* to which the regression draws it */
    double sum_weight;
    double sum_tokens;
    double sum_tokens_squared;
    double sum_ms;
    double sum_tokens_ms;
    unsigned observations; /* until the rate is known */
    int outliers; /* successive ones; negative if they were too short */
} engine_speed_t;

#define SERVER_PACES_KEPT 4

/* Pace that a server reported at a time. */
typedef struct {
    int percent;
    int64_t reported_ms;
} server_pace_t;

/* The logarithm of a server's ratio, averaged over a number of observations.
 */
typedef struct {
    double log_ratio;
    double observations;
} speed_average_t;

typedef struct {
    /* Agreed on by announcements of hosts, this one included. */
    speed_average_t shared;
    /* Observations of this host that are not part of `shared` yet. */
    speed_average_t own;
    speed_average_t announced; /* `shared` when it was last sent */
    bool unannounced;          /* `shared` is to be sent to other hosts */
    server_pace_t paces[SERVER_PACES_KEPT]; /* ring */
    size_t pace_count;                      /* reports so far */
} server_speed_t;

/* Announcement of a server's speed to other hosts. */
typedef struct {
    uint32_t ratio_milli;
    uint32_t observations;
} speed_notice_t;

void engine_speed_init(engine_speed_t *service);
double engine_speed_rate(const engine_speed_t *service);
bool engine_speed_is_known(const engine_speed_t *service);
bool engine_speed_observe(engine_speed_t *service, server_speed_t *server,
                          double tokens, double ms, int64_t now_ms);
double engine_speed_prefill_ms(const engine_speed_t *service,
                               const server_speed_t *server, double tokens,
                               int64_t now_ms);
void engine_speed_centre(engine_speed_t *service, server_speed_t **servers,
                         size_t count);

double server_speed_ratio(const server_speed_t *server);
double server_speed_observations(const server_speed_t *server);
double server_speed_pace(const server_speed_t *server, int64_t now_ms);
void server_speed_state_pace(server_speed_t *server, int percent,
                             int64_t now_ms);
double server_speed_mean_pace(const server_speed_t *server, double ms,
                              int64_t now_ms);

/* Sharing ratios with other hosts. */
speed_notice_t server_speed_notice(const server_speed_t *server);
speed_notice_t server_speed_take_notice(server_speed_t *server);
bool server_speed_apply(server_speed_t *server, const speed_notice_t *notice);

/* Bounds the rate at which a host sends notices of speeds. */
typedef struct {
    int64_t sent_ms; /* time of the last datagram */
} speed_budget_t;

/* Servers in a datagram of notices, hosts that it is sent to, and the interval
 * between two datagrams: 16 entries of up to 17 bytes to 4 hosts every 500 ms
 * are at most 2.6 kB/s with all headers, and only while many ratios are new.
 */
#define SPEED_NOTICES_MAX 16
#define SPEED_RECEIVERS 4
#define SPEED_INTERVAL_MS 500

bool speed_budget_allows(const speed_budget_t *budget, int64_t now_ms);
void speed_budget_take(speed_budget_t *budget, int64_t now_ms);

#endif
