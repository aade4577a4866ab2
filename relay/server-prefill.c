#include "servers.h"

#include <math.h>

/* Feeds the loads that hosts announce into the estimate of each engine's
 * speed; see balance/prefill-load.c.  Only for services whose servers report a
 * pace: the machines of others are taken to be alike. */

/* Weight of the newest prompt in the mean number of tokens to prefill. */
#define PROMPT_WEIGHT 0.02
/* A ratio is logged if it has changed by this factor. */
#define LOGGED_CHANGE 1.1

/* Whether the loads of all hosts decide how fast a server is believed to be.
 */
static bool
uses_prefill_load(const server_t *server)
{
    return server->info.engine && server->service_speed != NULL &&
           server->service_speed->reports_pace && !server->learned_speed;
}

/* Records the tokens that are outstanding at the server from now on. */
void
server_track_prefill(server_t *server, int64_t now_ms)
{
    if (!uses_prefill_load(server)) {
        return;
    }
    bool silent = !server_is_reachable(server, now_ms) ||
                  server_is_suspected(server, now_ms);
    if (silent || server->prefill_paused) {
        prefill_load_skip(&server->prefill_load, now_ms);
    }
    server->prefill_paused = silent;
    prefill_load_set(&server->prefill_load,
                     server->own_prefill_tokens + server->peer_prefill_tokens,
                     now_ms);
}

/* Counts tokens that this host or another one has sent to the server. */
void
server_count_prefill(server_t *server, double tokens)
{
    if (uses_prefill_load(server) && !server->prefill_paused && tokens > 0) {
        prefill_load_add_sent(&server->prefill_load, tokens);
    }
}

/* Counts a prompt that this host sends to the server, with the tokens that it
 * has to prefill.  Their mean is known before a pace is stated, so that a host
 * with few prompts of its own can use what others announce; that may be
 * several prompts together. */
void
server_count_prompt(server_t *server, double tokens)
{
    if (server->service_speed != NULL && tokens > 0) {
        double *mean = &server->service_speed->prefill.prompt_tokens;
        *mean = *mean > 0 ? *mean + PROMPT_WEIGHT * (tokens - *mean) : tokens;
    }
    server_count_prefill(server, tokens);
}

/* Takes out a prompt of this host that the server will not prefill. */
void
server_cancel_prefill(server_t *server, double tokens, int64_t sent_ms,
                      int64_t now_ms)
{
    server_subtract_prefill(server, tokens, now_ms);
    if (uses_prefill_load(server) && tokens > 0) {
        prefill_load_cancel(&server->prefill_load, tokens,
                            (double)(now_ms - sent_ms));
    }
}

/* Returns the ratio of the time that the server takes for work to the mean of
 * its service: the better known of what the loads of all hosts show and what
 * prompts that found the server idle have shown. */
double
server_work_ratio(const server_t *server)
{
    double observations =
        uses_prefill_load(server)
            ? prefill_load_observations(&server->prefill_load,
                                        &server->service_speed->prefill)
            : 0;
    return observations > server_speed_observations(&server->speed)
               ? exp(server->prefill_load.log_ratio)
               : server_speed_ratio(&server->speed);
}

/* Returns what a prompt costs the callers whose answers run at the engine, ms.
 */
double
server_delay_cost_ms(const server_t *server, double prefill_ms, int64_t now_ms)
{
    return uses_prefill_load(server)
               ? decode_delay_cost_ms(server_count_in_flight(server, now_ms),
                                      prefill_ms)
               : 0;
}

/* Logs the server's ratio if it has changed by a tenth since it was last
 * logged. */
static void
log_ratio(server_t *server)
{
    double ratio = exp(server->prefill_load.log_ratio);
    double logged =
        server->logged_load_ratio > 0 ? server->logged_load_ratio : 1;
    if (ratio < logged * LOGGED_CHANGE && logged < ratio * LOGGED_CHANGE) {
        return;
    }
    server->logged_load_ratio = ratio;
    log_record(LOG_INFO, "servers", "load-speed",
               "server=%s ratio=%.2f prompts=%.0f", server->info.id, ratio,
               prefill_load_observations(&server->prefill_load,
                                         &server->service_speed->prefill));
}

/* Compares the engines of one service. */
static void
compare_service(servers_t *servers, service_speed_t *speed, int64_t now_ms)
{
    prefill_load_t *loads[SERVER_NUMBERS_MAX];
    size_t count = 0;
    server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (server->service_speed != speed || server->removed ||
            !uses_prefill_load(server)) {
            continue;
        }
        server_expire_peer_prefill(server, now_ms);
        server_track_prefill(server, now_ms);
        loads[count++] = &server->prefill_load;
    }
    speed->prefill.first_token_ms = speed->engine.first_token_ms;
    prefill_loads_compare(loads, count, &speed->prefill);
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (server->service_speed == speed && !server->removed &&
            uses_prefill_load(server)) {
            log_ratio(server);
        }
    }
}

/* Compares the engines of all services whose servers report a pace. */
void
servers_compare_prefill(servers_t *servers, int64_t now_ms)
{
    service_speed_t *speed;
    CK_SLIST_FOREACH (speed, &servers->speeds, entry) {
        if (speed->reports_pace) {
            compare_service(servers, speed, now_ms);
        }
    }
}
