#include "engine-speed.h"

#include <math.h>

/* Constant part of the time to the first token that is assumed at first, ms: a
 * decode step and the first token take some 15 to 30 ms.  The second figure is
 * its standard deviation over kinds of engines, a share of it. */
#define FIRST_TOKEN_START_MS 20.0
#define FIRST_TOKEN_DEVIATION 0.5
#define FIRST_TOKEN_MS_MIN 0.5
#define FIRST_TOKEN_MS_MAX 200.0
/* Standard deviation of an observed time: a share of the time, as the batch
 * that runs beside a prompt varies, and a constant, as a step of the batch may
 * just have begun. */
#define TIME_DEVIATION_SHARE 0.25
#define TIME_DEVIATION_MS 10.0
/* Relative standard deviation of the rate that is assumed at first.  Engines
 * differ by more than this, but a few observations outweigh it. */
#define START_DEVIATION 1.0
/* A time is an outlier beyond this factor of the expected time. */
#define SERVICE_OUTLIER_FACTOR 3.0
/* A single observation of a service is bounded to the expected time divided by
 * SHORT_FACTOR or multiplied by LONG_FACTOR.  Nothing makes a prompt faster
 * than the engine is, but an unknown queue makes it slower, so that short
 * times are the better evidence. */
#define SHORT_FACTOR 3.0
#define LONG_FACTOR 1.1
/* After so many outliers in a row to the same side they are taken for the real
 * speed, and what was learned before is forgotten.  In overload long ones
 * follow each other. */
#define SHORT_OUTLIERS_MAX 2
#define LONG_OUTLIERS_MAX 20
/* Share of the earlier observations that each new one replaces. */
#define SERVICE_FORGETTING 0.01
/* A rate is known after so many observations; ratios relative to a rate that
 * is not known say nothing about the server.  The mean of so many servers
 * is within a sixth of that of all. */
#define SERVICE_OBSERVATIONS_MIN 10
/* Time per token, ms; only excludes absurd values. */
#define MS_PER_TOKEN_MIN 1e-4
#define MS_PER_TOKEN_MAX 1e3
/* A single observation of a server is bounded to this factor of the expected
 * time: a batch that is briefly crowded doubles it. */
#define SERVER_OUTLIER_FACTOR 2.5
/* The ratio 1 counts like so many observations: servers differ somewhat more
 * than observations of one server do. */
#define PRIOR_OBSERVATIONS 0.5
/* Observations count up to here, so that a ratio can still change. */
#define SHARED_OBSERVATIONS_MAX 32.0
/* This host's observations become part of the shared ratio once they add this
 * share to those that are behind it. */
#define OWN_SHARE_MIN 0.25
/* A ratio is announced again if so many times as many observations are behind
 * it, or if it has changed by a tenth. */
#define ANNOUNCE_GROWTH 2.0
#define ANNOUNCE_CHANGE 0.1
/* Share by which the ratios are centred in one step. */
#define CENTRE_SHARE 0.2
/* A reported pace has no effect any more after this time. */
#define PACE_VALID_MS 1000
/* A pace that was reported this long before an observation began still applies
 * to it: paces last for some hundred ms. */
#define PACE_BEFORE_MS 150
/* Ratios of other hosts outside of this range, thousandths, are invalid. */
#define RATIO_MILLI_MIN 10
#define RATIO_MILLI_MAX 100000
#define MILLI 1000.0

/* ---- a server's pace ---- */

/* Records the pace that a server reports. */
void
server_speed_state_pace(server_speed_t *server, int percent, int64_t now_ms)
{
    server->paces[server->pace_count++ % SERVER_PACES_KEPT] =
        (server_pace_t){percent, now_ms};
}

/* Returns the present pace as a factor of the time that work takes; a report
 * loses its effect within a second. */
double
server_speed_pace(const server_speed_t *server, int64_t now_ms)
{
    if (server->pace_count == 0) {
        return 1;
    }
    const server_pace_t *last =
        &server->paces[(server->pace_count - 1) % SERVER_PACES_KEPT];
    double age_ms = (double)(now_ms - last->reported_ms);
    if (age_ms >= PACE_VALID_MS) {
        return 1;
    }
    double left = age_ms > 0 ? 1 - age_ms / PACE_VALID_MS : 1;
    return 1 + left * ((double)last->percent / PACE_USUAL - 1);
}

/* Returns the mean of the paces that were reported while work took its time,
 * or shortly before; 1 if there is none. */
double
server_speed_mean_pace(const server_speed_t *server, double ms, int64_t now_ms)
{
    double sum = 0;
    int count = 0;
    for (size_t i = 0; i < SERVER_PACES_KEPT && i < server->pace_count; i++) {
        const server_pace_t *pace = &server->paces[i];
        if ((double)(now_ms - pace->reported_ms) <= ms + PACE_BEFORE_MS) {
            sum += (double)pace->percent / PACE_USUAL;
            count++;
        }
    }
    return count > 0 ? sum / count : 1;
}

/* ---- a server's ratio ---- */

/* Returns the number of observations behind a server's ratio. */
double
server_speed_observations(const server_speed_t *server)
{
    return server->shared.observations + server->own.observations;
}

static double
log_ratio(const server_speed_t *server)
{
    double sum = server->shared.log_ratio * server->shared.observations +
                 server->own.log_ratio * server->own.observations;
    return sum / (PRIOR_OBSERVATIONS + server_speed_observations(server));
}

/* Returns the ratio of the time that the server takes to the mean of its
 * service. */
double
server_speed_ratio(const server_speed_t *server)
{
    return exp(log_ratio(server));
}

static void
add_to_average(speed_average_t *average, double value, double observations)
{
    average->observations += observations;
    average->log_ratio +=
        (value - average->log_ratio) * observations / average->observations;
}

/* Schedules an announcement of the shared ratio if it has become more certain
 * or has changed since the last one.  Returns whether it has. */
static bool
schedule_announcement(server_speed_t *server)
{
    const speed_average_t *shared = &server->shared;
    const speed_average_t *announced = &server->announced;
    bool changed =
        announced->observations <= 0 ||
        shared->observations >= announced->observations * ANNOUNCE_GROWTH ||
        fabs(shared->log_ratio - announced->log_ratio) >
            log(1 + ANNOUNCE_CHANGE);
    server->unannounced |= changed;
    return changed;
}

/* Makes this host's observations part of the shared ratio once there are
 * enough of them.  Until then no other host knows them, so a ratio that
 * another host announces never contains them. */
static void
share_own(server_speed_t *server)
{
    double enough = server->shared.observations * OWN_SHARE_MIN;
    /* Less than the weight of one observation is not announced. */
    if (server->own.observations < (enough > 1 ? enough : 1)) {
        return;
    }
    add_to_average(&server->shared, server->own.log_ratio,
                   server->own.observations);
    if (server->shared.observations > SHARED_OBSERVATIONS_MAX) {
        server->shared.observations = SHARED_OBSERVATIONS_MAX;
    }
    server->own = (speed_average_t){0};
    (void)schedule_announcement(server);
}

/* Returns the announcement of the shared ratio; with 0 observations if there
 * is none. */
speed_notice_t
server_speed_notice(const server_speed_t *server)
{
    return (speed_notice_t){
        .ratio_milli = (uint32_t)(exp(server->shared.log_ratio) * MILLI + 0.5),
        .observations = (uint32_t)server->shared.observations};
}

/* Returns the announcement and marks it as sent. */
speed_notice_t
server_speed_take_notice(server_speed_t *server)
{
    server->unannounced = false;
    server->announced = server->shared;
    return server_speed_notice(server);
}

/* Applies another host's announcement.  Notices are not summed up: two hosts
 * may have the same observations behind their ratios, and would count them as
 * more with each exchange.  The ratio with more observations replaces the
 * other, and of two with as many the mean is taken.  What this host has
 * observed and not shared yet is kept, as no other host can have counted it.
 * Returns whether the ratio has changed, which is then passed on. */
bool
server_speed_apply(server_speed_t *server, const speed_notice_t *notice)
{
    if (notice->ratio_milli < RATIO_MILLI_MIN ||
        notice->ratio_milli > RATIO_MILLI_MAX || notice->observations == 0 ||
        notice->observations > SHARED_OBSERVATIONS_MAX) {
        return false;
    }
    uint32_t known = (uint32_t)server->shared.observations;
    double announced = log(notice->ratio_milli / MILLI);
    if (notice->observations < known) {
        return false;
    }
    if (notice->observations == known) {
        server->shared.log_ratio = (server->shared.log_ratio + announced) / 2;
    }
    else {
        server->shared = (speed_average_t){announced, notice->observations};
    }
    return schedule_announcement(server);
}

bool
speed_budget_allows(const speed_budget_t *budget, int64_t now_ms)
{
    return now_ms - budget->sent_ms >= SPEED_INTERVAL_MS;
}

void
speed_budget_take(speed_budget_t *budget, int64_t now_ms)
{
    budget->sent_ms = now_ms;
}

/* ---- a service's rate ---- */

static void
forget_observations(engine_speed_t *service)
{
    service->sum_weight = 0;
    service->sum_tokens = 0;
    service->sum_tokens_squared = 0;
    service->sum_ms = 0;
    service->sum_tokens_ms = 0;
    service->observations = 0;
    service->outliers = 0;
    /* The estimate counts like an inexact observation of the slope. */
    double weight =
        TIME_DEVIATION_SHARE / (START_DEVIATION * service->ms_per_token);
    service->sum_tokens_squared = weight * weight;
    service->sum_tokens_ms = weight * weight * service->ms_per_token;
}

void
engine_speed_init(engine_speed_t *service)
{
    service->ms_per_token = 1 / ENGINE_PREFILL_RATE_START;
    service->first_token_ms = FIRST_TOKEN_START_MS;
    service->assumed_first_token_ms = FIRST_TOKEN_START_MS;
    forget_observations(service);
}

/* Returns the service's prefill rate, tokens/ms. */
double
engine_speed_rate(const engine_speed_t *service)
{
    return 1 / service->ms_per_token;
}

/* Returns whether the rate has been learned. */
bool
engine_speed_is_known(const engine_speed_t *service)
{
    return service->observations >= SERVICE_OBSERVATIONS_MIN;
}

static double
bound(double value, double min, double max)
{
    return value < min ? min : value > max ? max : value;
}

static double
expected_ms(const engine_speed_t *service, double tokens)
{
    return service->first_token_ms + tokens * service->ms_per_token;
}

/* Counts an outlier.  Returns whether there were so many in a row to the same
 * side that the estimate is wrong. */
static bool
note_outlier(engine_speed_t *service, double ms, double expected)
{
    if (ms > expected * SERVICE_OUTLIER_FACTOR) {
        service->outliers = service->outliers > 0 ? service->outliers + 1 : 1;
    }
    else if (ms < expected / SERVICE_OUTLIER_FACTOR) {
        service->outliers = service->outliers < 0 ? service->outliers - 1 : -1;
    }
    else {
        service->outliers = 0;
    }
    return service->outliers >= LONG_OUTLIERS_MAX ||
           service->outliers <= -SHORT_OUTLIERS_MAX;
}

/* Changes an estimate that has proved wrong, and forgets what it came from.
 * The part that makes up most of a time that was too long is made shorter; a
 * time that was too short is ascribed to the rate at first. */
static void
leave_estimate(engine_speed_t *service, double tokens)
{
    if (service->outliers > 0) {
        service->ms_per_token *= SERVICE_OUTLIER_FACTOR;
    }
    else if (tokens * service->ms_per_token > service->first_token_ms) {
        service->ms_per_token /= SERVICE_OUTLIER_FACTOR;
    }
    else {
        service->assumed_first_token_ms =
            bound(service->first_token_ms / SERVICE_OUTLIER_FACTOR,
                  FIRST_TOKEN_MS_MIN, FIRST_TOKEN_MS_MAX);
        service->first_token_ms = service->assumed_first_token_ms;
    }
    service->ms_per_token =
        bound(service->ms_per_token, MS_PER_TOKEN_MIN, MS_PER_TOKEN_MAX);
    forget_observations(service);
}

/* Solves the regression: the constant part is drawn to what is assumed at
 * first, so prompts of one size give a rate too. */
static void
solve(engine_speed_t *service)
{
    double assumed = service->assumed_first_token_ms;
    double deviation = assumed * FIRST_TOKEN_DEVIATION;
    double prior =
        TIME_DEVIATION_SHARE * TIME_DEVIATION_SHARE / (deviation * deviation);
    double weight = service->sum_weight + prior;
    double ms = service->sum_ms + prior * assumed;
    double determinant = weight * service->sum_tokens_squared -
                         service->sum_tokens * service->sum_tokens;
    double constant = (service->sum_tokens_squared * ms -
                       service->sum_tokens * service->sum_tokens_ms) /
                      determinant;
    service->first_token_ms = bound(constant, 0, FIRST_TOKEN_MS_MAX);
    double slope = (service->sum_tokens_ms -
                    service->first_token_ms * service->sum_tokens) /
                   service->sum_tokens_squared;
    service->ms_per_token = bound(slope, MS_PER_TOKEN_MIN, MS_PER_TOKEN_MAX);
}

/* Adds a time to the regression, in which ratio and pace have no part any
 * more. */
static void
observe_service(engine_speed_t *service, double tokens, double ms)
{
    double expected = expected_ms(service, tokens);
    if (note_outlier(service, ms, expected)) {
        leave_estimate(service, tokens);
        expected = expected_ms(service, tokens);
    }
    double bounded =
        bound(ms, expected / SHORT_FACTOR, expected * LONG_FACTOR);
    /* Relative to the variance of an observation whose deviation is
     * TIME_DEVIATION_SHARE of 1 ms. */
    double deviation = TIME_DEVIATION_MS / TIME_DEVIATION_SHARE;
    double weight = 1 / (expected * expected + deviation * deviation);
    double keep = 1 - SERVICE_FORGETTING;
    service->sum_weight = keep * service->sum_weight + weight;
    service->sum_tokens = keep * service->sum_tokens + weight * tokens;
    service->sum_tokens_squared =
        keep * service->sum_tokens_squared + weight * tokens * tokens;
    service->sum_ms = keep * service->sum_ms + weight * bounded;
    service->sum_tokens_ms =
        keep * service->sum_tokens_ms + weight * tokens * bounded;
    if (service->observations < SERVICE_OBSERVATIONS_MIN) {
        service->observations++;
    }
    solve(service);
}

/* Adds a time to the server's own observations.  A short one has less weight,
 * as constant deviations are a larger part of it. */
static void
observe_server(const engine_speed_t *service, server_speed_t *server,
               double tokens, double ms)
{
    double expected = expected_ms(service, tokens);
    double deviation = TIME_DEVIATION_MS / TIME_DEVIATION_SHARE;
    double weight =
        expected * expected / (expected * expected + deviation * deviation);
    double present = log_ratio(server);
    double limit = log(SERVER_OUTLIER_FACTOR);
    double value = bound(log(ms / expected), present - limit, present + limit);
    add_to_average(&server->own, value, weight);
    share_own(server);
}

/* Learns from the time that a server took from a request to its first token,
 * with a number of tokens to prefill and little queued ahead of them.  Returns
 * whether the server's ratio was learned: not before the service's rate is
 * known. */
bool
engine_speed_observe(engine_speed_t *service, server_speed_t *server,
                     double tokens, double ms, int64_t now_ms)
{
    if (!(ms > 0) || !(tokens > 0) || !isfinite(ms) || !isfinite(tokens)) {
        return false;
    }
    double usual_ms = ms / server_speed_mean_pace(server, ms, now_ms);
    observe_service(service, tokens, usual_ms / server_speed_ratio(server));
    if (!engine_speed_is_known(service)) {
        return false;
    }
    observe_server(service, server, tokens, usual_ms);
    return true;
}

/* Returns the time that a server is expected to take to prefill tokens. */
double
engine_speed_prefill_ms(const engine_speed_t *service,
                        const server_speed_t *server, double tokens,
                        int64_t now_ms)
{
    return tokens * service->ms_per_token * server_speed_ratio(server) *
           server_speed_pace(server, now_ms);
}

static void
shift(speed_average_t *average, double by)
{
    if (average->observations > 0) {
        average->log_ratio += by;
    }
}

/* Moves the rate towards the mean of the service's servers and their ratios
 * accordingly, so that expected times stay the same.  Otherwise rate and
 * ratios could drift apart, and a server whose ratio is not known would be
 * expected to be faster or slower than the mean. */
void
engine_speed_centre(engine_speed_t *service, server_speed_t **servers,
                    size_t count)
{
    double sum = 0;
    for (size_t i = 0; i < count; i++) {
        sum += log_ratio(servers[i]);
    }
    if (count == 0 || !engine_speed_is_known(service)) {
        return;
    }
    double by = sum / (double)count * CENTRE_SHARE;
    double factor = exp(by);
    for (size_t i = 0; i < count; i++) {
        shift(&servers[i]->shared, -by);
        shift(&servers[i]->own, -by);
        shift(&servers[i]->announced, -by);
    }
    service->ms_per_token *= factor;
    service->first_token_ms *= factor;
    service->sum_ms *= factor;
    service->sum_tokens_ms *= factor;
}
