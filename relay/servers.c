#include "servers.h"

#include <stdlib.h>
#include <string.h>

/* A server whose connections fail is left alone for a second, then for twice
 * as long each time, ms.  The bound keeps a server that came back from being
 * unused for long. */
#define CIRCUIT_FIRST_MS 500
#define CIRCUIT_LAST_MS 4000
/* Faults in a row that open the circuit.  A connection that cannot be made is
 * proof enough by itself; a single broken answer is not. */
#define CIRCUIT_FAULTS 2
/* A server that is silent for so long while it has work is probed, ms.
 * Engines send the events of a stream every few tens of ms; one
 * that only reads prompts can be silent for longer, and then answers. */
#define SILENCE_MS 300
/* A silent server is asked again this often, ms. */
#define SILENT_AGAIN_MS 500
/* Another host's load at a server is valid for so long, ms. */
#define OTHER_FRESH_MS 1000
/* A server that has answered no host for so long is not a source to fetch
 * from, ms. */
#define LIFE_MS 2000
/* A server's reported load is valid for so long, ms. */
#define LOAD_FRESH_MS 1000
/* Time that a request takes a slot where none was seen yet, ms. */
#define HOLD_UNKNOWN_MS 500.0
/* Weight of the newest one in the smoothed time. */
#define HOLD_WEIGHT 0.1
/* Peers are notified of a server with this part of its slots taken, and again
 * after so long, ms. */
#define CROWDED_PART 0.75
#define CROWDED_AGAIN_MS 200
/* How slow a server reads against what is expected of all: weight of the
 * newest answer, and bounds that keep one odd answer from moving much. */
#define SPEED_WEIGHT 0.15
#define SPEED_RATIO_LEAST 0.5
#define SPEED_RATIO_MOST 3.0
/* Part of its speed at which a server is expected to read what is booked: an
 * answer's tokens are made between the pieces of prompts, and with one behind
 * the other they take so long that long answers miss their deadlines. */
#define BOOKED_PART 0.85
/* Weight of the newest answer in the share of errors: about the last ten. */
#define ERROR_WEIGHT 0.1

servers_t *
servers_new(void)
{
    servers_t *servers = mem_zalloc(sizeof(*servers));
    CK_LIST_INIT(&servers->list);
    return servers;
}

void
servers_free(servers_t *servers)
{
    server_t *server;
    while ((server = CK_LIST_FIRST(&servers->list)) != NULL) {
        servers_remove(servers, server);
    }
    free(servers);
}

server_t *
servers_find(servers_t *servers, const char *id)
{
    server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (!server->removed && strcmp(server->info.id, id) == 0) {
            return server;
        }
    }
    return NULL;
}

/* The server with a key, or NULL. */
server_t *
servers_find_by_key(const servers_t *servers, uint32_t key)
{
    server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (server->key == key && !server->removed) {
            return server;
        }
    }
    return NULL;
}

/* The server with a number, or NULL for an unused one. */
server_t *
servers_find_by_number(const servers_t *servers, uint16_t number)
{
    return number < SERVER_NUMBERS_MAX ? servers->numbered[number] : NULL;
}

static int
number_free(const servers_t *servers)
{
    for (int i = 0; i < SERVER_NUMBERS_MAX; i++) {
        if (servers->numbered[i] == NULL) {
            return i;
        }
    }
    return -1;
}

/* Forget what was seen of an earlier start of a server. */
static void
server_renew(server_t *server)
{
    server->consecutive_faults = 0;
    server->circuit_open_until_ms = 0;
    server->full_until_ms = 0;
    server->reported_ms = 0;
    server->backlog_tokens = 0;
    server->error_share = 0;
    server->slowness = 1;
    server->address_taken = false;
    server->unresponsive = false;
}

/* Take an entry in; NULL if there is no number left for a new one. */
server_t *
servers_put(servers_t *servers, const server_entry_t *entry)
{
    server_t *server = servers_find(servers, entry->id);
    if (server == NULL) {
        int number = number_free(servers);
        if (number < 0) {
            return NULL;
        }
        server = mem_zalloc(sizeof(*server));
        server->number = (uint16_t)number;
        server->key = (uint32_t)str_hash(entry->id, 0);
        servers->numbered[number] = server;
        server->slowness = 1;
        server->held = cached_parts_new();
        CK_LIST_INSERT_HEAD(&servers->list, server, entry);
        servers->count++;
    }
    if (entry->weights > server->info.weights) {
        /* Whoever ordered the load may have learnt of its end from this entry
         * too and notify nobody: without this the server would stay unused
         * here until the notice of its load expires. */
        server->loading_until_ms = 0;
    }
    bool renewed = server->info.started_ms != entry->started_ms ||
                   strcmp(server->info.addr, entry->addr) != 0;
    server->info = *entry;
    if (renewed) {
        server_renew(server);
    }
    server->missing_since_ms = 0;
    server->list_generation = servers->list_generation;
    return server;
}

void
servers_remove(servers_t *servers, server_t *server)
{
    servers->numbered[server->number] = NULL;
    servers->count--;
    CK_LIST_REMOVE(server, entry);
    cached_parts_free(server->held);
    free(server);
}

/* Free what is gone and no longer used by a request. */
void
servers_sweep(servers_t *servers)
{
    server_t *server;
    server_t *next;
    CK_LIST_FOREACH_SAFE (server, &servers->list, entry, next) {
        if (server->removed && server->own_running == 0) {
            servers_remove(servers, server);
        }
    }
}

/* Prompt tokens of all hosts that a server would still have to read if it kept
 * a part of its time for answers.  More than what is unread: it does not fall
 * to nothing where a server has just caught up. */
double
server_update_backlog(server_t *server, int64_t now_ms)
{
    double speed =
        SERVER_PREFILL_TOKENS_PER_MS * BOOKED_PART / server->slowness;
    double read = (double)(now_ms - server->backlog_updated_ms) * speed;
    server->backlog_tokens =
        server->backlog_tokens > read ? server->backlog_tokens - read : 0;
    server->backlog_updated_ms = now_ms;
    return server->backlog_tokens;
}

/* A request goes to it that makes it read so many tokens. */
void
server_add_request(server_t *server, double unread_tokens, int64_t now_ms)
{
    if (server->own_running == 0) {
        server->busy_since_ms = now_ms;
    }
    server->own_running++;
    server->backlog_tokens =
        server_update_backlog(server, now_ms) + unread_tokens;
    server->sent_tokens += (uint32_t)unread_tokens;
    server->own_prefill_tokens += unread_tokens;
}

/* So many tokens of a request's prompt are read, or will not be. */
void
server_subtract_prefill(server_t *server, double tokens)
{
    server->own_prefill_tokens -= tokens;
    if (server->own_prefill_tokens < 0) {
        server->own_prefill_tokens = 0;
    }
}

void
server_remove_request(server_t *server)
{
    server->own_running--;
}

void
server_set_load(server_t *server, int running, int waiting, int64_t now_ms)
{
    server->reported_running = running;
    server->reported_waiting = waiting;
    server->reported_ms = now_ms;
}

/* Whether the load that a server reported is recent. */
bool
server_has_recent_load(const server_t *server, int64_t now_ms)
{
    return server->reported_ms != 0 &&
           now_ms - server->reported_ms < LOAD_FRESH_MS;
}

/* Requests of all hosts at a server, waiting ones included: by its own report
 * while that is recent, and at least the sum of what the hosts announce. */
int
server_count_in_flight(const server_t *server, int64_t now_ms)
{
    int running = server_count_running(server, now_ms);
    if (server_has_recent_load(server, now_ms) &&
        server->reported_running + server->reported_waiting > running) {
        running = server->reported_running + server->reported_waiting;
    }
    return running;
}

/* Time until a slot is free for one more request, ms.  It answers servers with
 * few slots and short prompts: nothing there is unread for long, and yet
 * requests wait behind answers that are being made. */
double
server_slot_wait_ms(const server_t *server, int64_t now_ms)
{
    int slots = server->info.slots;
    int over = server_count_in_flight(server, now_ms) - slots + 1;
    double hold =
        server->slot_time_ms > 0 ? server->slot_time_ms : HOLD_UNKNOWN_MS;
    return slots > 0 && over > 0 ? over * hold / slots : 0;
}

/* A request had a slot for so long. */
void
server_observe_slot_time(server_t *server, double ms)
{
    if (server->slot_time_ms <= 0) {
        server->slot_time_ms = ms;
        return;
    }
    server->slot_time_ms += HOLD_WEIGHT * (ms - server->slot_time_ms);
}

/* Whether other hosts are notified of the server's reported load: only
 * of one whose slots are nearly taken, and not too often. */
bool
server_should_announce_load(server_t *server, int64_t now_ms)
{
    int taken = server->reported_running + server->reported_waiting;
    if (taken < server->info.slots * CROWDED_PART ||
        now_ms - server->load_announced_ms < CROWDED_AGAIN_MS) {
        return false;
    }
    server->load_announced_ms = now_ms;
    return true;
}

/* Count a fault; enough of them leave the server alone for a while. */
void
server_record_fault(server_t *server, server_fault_t fault, int64_t now_ms)
{
    server->consecutive_faults++;
    switch (fault) {
        case SERVER_FAULT_ERROR:
            /* Its answers are good or bad one by one: only the share of bad
             * ones counts, see request-place.c. */
            server->error_share += ERROR_WEIGHT * (1 - server->error_share);
            server->consecutive_faults--;
            return;
        case SERVER_FAULT_BROKEN:
            server->error_share += ERROR_WEIGHT * (1 - server->error_share);
            if (server->consecutive_faults < CIRCUIT_FAULTS) {
                return;
            }
            break;
        case SERVER_FAULT_CONNECT:
        case SERVER_FAULT_TIMEOUT:
            break;
    }
    unsigned doublings = server->consecutive_faults - 1 < 3
                             ? server->consecutive_faults - 1
                             : 3;
    int64_t pause = (int64_t)CIRCUIT_FIRST_MS << doublings;
    server->circuit_open_until_ms =
        now_ms + (pause < CIRCUIT_LAST_MS ? pause : CIRCUIT_LAST_MS);
}

void
server_record_success(server_t *server)
{
    server->consecutive_faults = 0;
    server->error_share -= ERROR_WEIGHT * server->error_share;
}

/* Whether it is there, at its address, and answers, as far as is known. */
static bool
is_reachable(const server_t *server, int64_t now_ms)
{
    return !server->removed && !server->unresponsive &&
           !server->address_taken && now_ms >= server->circuit_open_until_ms;
}

/* Whether new work may go to it at all. */
bool
server_is_usable(const server_t *server, int64_t now_ms)
{
    return is_reachable(server, now_ms) && !server->info.draining;
}

/* The server has answered this host, or another that reports it. */
void
server_confirm_alive(server_t *server, int64_t now_ms)
{
    server->confirmed_alive_ms = now_ms;
}

/* Whether other servers may fetch from it.  A dark server takes
 * nothing in, so what it held is believed for as long as it is dark; whoever
 * is sent there waits some hundred ms and then reads the prompt all the same.
 */
bool
server_is_fetch_source(const server_t *server, int64_t now_ms)
{
    return is_reachable(server, now_ms) && server->confirmed_alive_ms != 0 &&
           now_ms - server->confirmed_alive_ms < LIFE_MS;
}

/* Something came from the server. */
void
server_note_answer(server_t *server, int64_t now_ms)
{
    server->answered_ms = now_ms;
    server->unresponsive = false;
    server_confirm_alive(server, now_ms);
}

/* Whether to ask a server if it is there at all.  A host that lost power or
 * its path refuses nothing and closes nothing: requests to it would wait for
 * their deadlines, and new ones would join them. */
bool
server_needs_probe(const server_t *server, int64_t now_ms)
{
    if (server->removed || server->probing) {
        return false;
    }
    if (server->unresponsive) {
        return now_ms - server->probed_ms >= SILENT_AGAIN_MS;
    }
    int64_t since = server->answered_ms > server->busy_since_ms
                        ? server->answered_ms
                        : server->busy_since_ms;
    return server->own_running > 0 && now_ms - since >= SILENCE_MS;
}

/* A request of this host brought tokens into the server's cache that no other
 * request will ask for. */
void
server_add_unshared(server_t *server, uint32_t tokens)
{
    server->unshared_tokens += tokens;
    cached_parts_add_unshared(server->held, tokens);
}

/* What a host's requests have brought in since its last announcement.  A count
 * that goes back is of a host that has started anew, or of a datagram that
 * came late; taken for a wrap it would empty the list. */
static void
fill_since(server_t *server, const server_peer_load_t *before,
           const server_peer_load_t *report)
{
    int32_t more =
        (int32_t)(report->unshared_tokens - before->unshared_tokens);
    if (more > 0) {
        cached_parts_add_unshared(server->held, (uint32_t)more);
    }
}

/* Tokens that a host has given the server to read since its last announcement;
 * for its first one, those that are not read yet. */
static double
sent_since(const server_peer_load_t *before, const server_peer_load_t *report)
{
    int32_t more = (int32_t)(report->sent_tokens - before->sent_tokens);
    if (before->host != report->host || before->sent_tokens == 0 || more < 0) {
        return report->prefill_tokens;
    }
    return more;
}

/* The place of a host's announcement, or the oldest one to be replaced. */
static server_peer_load_t *
other_place(server_t *server, uint64_t host)
{
    server_peer_load_t *oldest = &server->peer_loads[0];
    for (size_t i = 0; i < server->peer_load_count; i++) {
        server_peer_load_t *other = &server->peer_loads[i];
        if (other->host == host) {
            return other;
        }
        if (other->received_ms < oldest->received_ms) {
            oldest = other;
        }
    }
    return server->peer_load_count < SERVER_PEERS_MAX
               ? &server->peer_loads[server->peer_load_count++]
               : oldest;
}

/* Applies another host's announcement.  What its requests have brought into
 * the cache since the last one pushes out what was used before. */
void
server_apply_peer_load(server_t *server, const server_peer_load_t *report)
{
    server_peer_load_t *place = other_place(server, report->host);
    bool known = place->host == report->host;
    uint32_t sent = known ? place->sent_tokens : 0;
    if (known) {
        fill_since(server, place, report);
    }
    if (report->sent_tokens != 0) {
        server->backlog_tokens =
            server_update_backlog(server, report->received_ms) +
            sent_since(place, report);
        sent = report->sent_tokens;
    }
    *place = *report;
    place->sent_tokens = sent;
}

static bool
is_fresh(const server_peer_load_t *other, int64_t now_ms)
{
    return other->host != 0 && now_ms - other->received_ms < OTHER_FRESH_MS;
}

/* Prompt tokens of other hosts that are not read yet, as far as they have
 * reported. */
double
server_sum_peer_prefill(const server_t *server, int64_t now_ms)
{
    double unread = 0;
    for (size_t i = 0; i < server->peer_load_count; i++) {
        const server_peer_load_t *other = &server->peer_loads[i];
        if (is_fresh(other, now_ms)) {
            unread += other->prefill_tokens;
        }
    }
    return unread;
}

/* Requests of all hosts at it, as far as they have reported. */
int
server_count_running(const server_t *server, int64_t now_ms)
{
    int running = server->own_running;
    for (size_t i = 0; i < server->peer_load_count; i++) {
        const server_peer_load_t *other = &server->peer_loads[i];
        if (is_fresh(other, now_ms)) {
            running += other->running;
        }
    }
    return running;
}

/* A prompt that found nothing ahead of it was read in so much time.  Servers
 * of one service differ in speed, and one that is nearly full slows down. */
void
server_update_slowness(server_t *server, double expected_ms,
                       double observed_ms)
{
    double ratio = observed_ms / expected_ms;
    if (ratio < SPEED_RATIO_LEAST) {
        ratio = SPEED_RATIO_LEAST;
    }
    if (ratio > SPEED_RATIO_MOST) {
        ratio = SPEED_RATIO_MOST;
    }
    server->slowness += SPEED_WEIGHT * (ratio - server->slowness);
}
