#include "servers.h"

#include <stdlib.h>
#include <string.h>

/* Time that the circuit stays open, doubled for each further fault in a row.
 * The maximum keeps a recovered server from staying unused for long. */
#define CIRCUIT_OPEN_MS_MIN 500
#define CIRCUIT_OPEN_MS_MAX 4000
/* Broken answers in a row that open the circuit.  A failed connect or a
 * timeout opens it at once. */
#define CIRCUIT_FAULTS_MIN 2
/* A server that sends nothing for this long while it has requests is probed.
 * Engines send the events of a stream every few tens of ms; one that only
 * prefills can be silent for longer, and then answers the probe. */
#define PROBE_SILENCE_MS 300
/* Interval between probes of an unresponsive server. */
#define PROBE_RETRY_MS 500
/* Another host's announced load expires after this time. */
#define PEER_LOAD_VALID_MS 1000
/* A server that has answered no host for this long is not a fetch source. */
#define SOURCE_ALIVE_MS 2000
/* A server's own load report expires after this time. */
#define REPORT_VALID_MS 1000
/* The same where requests are admitted by priority.  All hosts then avoid a
 * server that is believed to be full, so that no answer renews its report; the
 * hosts' announcements are never older than this. */
#define PRIORITY_REPORT_VALID_MS 400
/* Assumed time that a request occupies a slot before one was observed. */
#define SLOT_TIME_DEFAULT_MS 500.0
/* Weight of the newest observation in the smoothed slot time. */
#define SLOT_TIME_WEIGHT 0.1
/* A server's load report is passed on to peers if at least this share of its
 * slots is taken, once in an interval at most. */
#define ANNOUNCE_SLOTS_SHARE 0.75
#define ANNOUNCE_INTERVAL_MS 200
/* Weight of the newest observation in the smoothed slowness, and bounds of a
 * single observation that limit the effect of an outlier. */
#define SLOWNESS_WEIGHT 0.15
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 3.0
/* Share of its speed at which a server is assumed to prefill its backlog.
 * Decode steps run between the chunks of prompts; under uninterrupted prefill
 * they take so long that long answers miss their deadlines. */
#define BACKLOG_SPEED_SHARE 0.85
/* Weight of the newest answer in the smoothed share of errors, which covers
 * about the last ten answers. */
#define ERROR_WEIGHT 0.1
/* Weight of the newest observation in the smoothed work of plain servers, and
 * the factor of the present value by which one observation is bounded. */
#define PLAIN_WORK_WEIGHT 0.05
#define PLAIN_WORK_OUTLIER_FACTOR 4
/* A ratio is logged if it has changed by this factor. */
#define LOGGED_CHANGE 1.1

/* A notice of silence expires after this time: the host that sent it probes
 * the server twice as often, and repeats it after each failed probe. */
#define SILENCE_NOTICE_VALID_MS 1200
/* Share of its time that an engine spends on prefill while it decodes, at
 * least. */
#define PREFILL_TIME_SHARE_MIN 0.5
/* A server is mostly idle with fewer tokens to prefill than this, some ms of
 * work, and less than this share of its slots taken. */
#define IDLE_PREFILL_TOKENS 512
#define IDLE_SLOTS_SHARE 0.6

servers_t *
servers_new(void)
{
    servers_t *servers = mem_zalloc(sizeof(*servers));
    CK_LIST_INIT(&servers->list);
    server_index_init(&servers->index);
    server_queue_init(&servers->signal_changes);
    server_queue_init(&servers->stated_signals);
    server_queue_init(&servers->speed_changes);
    server_queue_init(&servers->load_changes);
    server_queue_init(&servers->probe_candidates);
    CK_SLIST_INIT(&servers->speeds);
    return servers;
}

void
servers_free(servers_t *servers)
{
    server_t *server;
    while ((server = CK_LIST_FIRST(&servers->list)) != NULL) {
        servers_remove(servers, server);
    }
    service_speed_t *speed;
    while ((speed = CK_SLIST_FIRST(&servers->speeds)) != NULL) {
        CK_SLIST_REMOVE_HEAD(&servers->speeds, entry);
        free(speed);
    }
    free(servers);
}

server_t *
servers_find(servers_t *servers, const char *id)
{
    return server_index_find(&servers->index, id);
}

/* Returns the server whose id has a hash, or NULL. */
server_t *
servers_find_by_id_hash(const servers_t *servers, uint32_t id_hash)
{
    return server_index_find_hash(&servers->index, id_hash);
}

static uint64_t
make_software(uint64_t hash)
{
    return hash == SOFTWARE_ANY || hash == SOFTWARE_UNKNOWN ? 1 : hash;
}

/* Returns the software version that an entry names. */
uint64_t
software_from_name(const char *version)
{
    return make_software(str_hash(version, 0));
}

/* Returns the software version of a server whose entry names none: no other
 * server's, nor its own after another start. */
uint64_t
software_of_unnamed(const server_entry_t *entry)
{
    uint64_t start = str_hash(entry->addr, (uint64_t)entry->started_ms);
    return make_software(str_hash(entry->id, start));
}

/* Returns the server with a number, or NULL if the number is unused. */
server_t *
servers_find_by_number(const servers_t *servers, uint16_t number)
{
    return number < SERVER_NUMBERS_MAX ? servers->numbered[number] : NULL;
}

static int
find_free_number(const servers_t *servers)
{
    if (servers->count == SERVER_NUMBERS_MAX) {
        return -1;
    }
    for (int i = 0; i < SERVER_NUMBERS_MAX; i++) {
        if (servers->numbered[i] == NULL) {
            return i;
        }
    }
    return -1;
}

/* Resets what was observed before the server restarted or changed address. */
static void
reset_observations(const servers_t *servers, server_t *server, int64_t now_ms)
{
    server_limit_init(&server->limit, servers->seed ^ server->id_hash);
    server->rest = (server_rest_t){0};
    server_brittle_restart(&server->brittle, now_ms);
    server->leaving = false;
    server->leaving_unannounced = false;
    server->consecutive_faults = 0;
    server->circuit_open_until_ms = 0;
    server->full_until_ms = 0;
    server->rejected_ms = 0;
    server->reported_ms = 0;
    server->backlog_tokens = 0;
    server->error_share = 0;
    server->slowness = 1;
    server->speed = (server_speed_t){0};
    server->logged_ratio = 0;
    server->prefill_load = (prefill_load_t){0};
    server->logged_load_ratio = 0;
    server->reported_slots = 0;
    server->address_taken = false;
    server->unresponsive = false;
    server->silent_notice_ms = 0;
    server->software_in_doubt = false;
}

/* A server that starts in place of one that was brittle, mostly under another
 * id, is taken to be brittle as well. */
static void
inherit_brittle(const servers_t *servers, server_t *server,
                const char *service, int64_t now_ms)
{
    const server_t *other;
    CK_LIST_FOREACH (other, &servers->list, entry) {
        if (other->brittle.current.stated &&
            strcmp(other->info.service, service) == 0) {
            server_brittle_inherit(&server->brittle, &other->brittle, now_ms);
            return;
        }
    }
}

/* Returns the software version of the process that started at a server at a
 * time, as long as no entry names it. */
uint64_t
server_software_of_start(const server_t *server, int64_t started_ms)
{
    server_entry_t start = server->info;
    start.started_ms = started_ms;
    return software_of_unnamed(&start);
}

/* Whether the server has started again since its entry. */
static bool
has_outdated_entry(const server_t *server)
{
    return server->info.started_ms != 0 &&
           server->reported_start_ms > server->info.started_ms;
}

/* Returns the latest known start of the server's process, or 0 if its entry
 * names none. */
int64_t
server_process_start_ms(const server_t *server)
{
    return has_outdated_entry(server) ? server->reported_start_ms
                                      : server->info.started_ms;
}

/* Returns the version that an entry names for the process that has a software
 * version of its own, or that version if no entry does. */
uint64_t
servers_name_software(const servers_t *servers, uint64_t software)
{
    const server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (!server->removed && !has_outdated_entry(server) &&
            software_of_unnamed(&server->info) == software) {
            return server->info.software;
        }
    }
    return software;
}

/* Gives a server that has started again since its entry a software version of
 * its own until an entry of that start arrives. */
static void
hide_old_software(server_t *server)
{
    if (has_outdated_entry(server)) {
        server->info.software =
            server_software_of_start(server, server->reported_start_ms);
    }
}

/* Returns the speed of a service's servers of one model.  There are as many as
 * configured services and models, so none is freed before the end. */
static service_speed_t *
find_service_speed(servers_t *servers, const server_entry_t *entry)
{
    service_speed_t *speed;
    CK_SLIST_FOREACH (speed, &servers->speeds, entry) {
        if (strcmp(speed->service, entry->service) == 0 &&
            strcmp(speed->model, entry->model) == 0) {
            return speed;
        }
    }
    speed = mem_zalloc(sizeof(*speed));
    str_copy(speed->service, sizeof(speed->service), entry->service);
    str_copy(speed->model, sizeof(speed->model), entry->model);
    engine_speed_init(&speed->engine);
    CK_SLIST_INSERT_HEAD(&servers->speeds, speed, entry);
    return speed;
}

/* Adds or updates a server by its entry.  Returns NULL if no number is free
 * for a new one. */
server_t *
servers_put(servers_t *servers, const server_entry_t *entry, int64_t now_ms)
{
    server_t *server = servers_find(servers, entry->id);
    if (server == NULL) {
        int number = find_free_number(servers);
        if (number < 0) {
            return NULL;
        }
        server = mem_zalloc(sizeof(*server));
        server->number = (uint16_t)number;
        server->id_hash = (uint32_t)str_hash(entry->id, 0);
        servers->numbered[number] = server;
        server->slowness = 1;
        server->cached_parts = cached_parts_new();
        server_limit_init(&server->limit, servers->seed ^ server->id_hash);
        server_brittle_init(&server->brittle, servers->seed ^ server->id_hash);
        inherit_brittle(servers, server, entry->service, now_ms);
        CK_LIST_INSERT_HEAD(&servers->list, server, entry);
        server_index_add(&servers->index, server);
        server->table = servers;
        server->signal_change.server = server;
        server->stated_signal.server = server;
        server->speed_change.server = server;
        server->load_change.server = server;
        server->probe_candidate.server = server;
        servers->count++;
        servers->software_changed = true;
    }
    if (entry->weights > server->info.weights) {
        /* The host that ordered the weights load may have learnt of its end
         * from the same entry, and then notifies no peer.  Without this the
         * server would stay unused here until the load notice expires. */
        server->loading_until_ms = 0;
    }
    bool renewed = server->info.started_ms != entry->started_ms ||
                   strcmp(server->info.addr, entry->addr) != 0;
    uint64_t software = server->info.software;
    if (strcmp(server->info.service, entry->service) != 0) {
        servers->software_changed = true;
    }
    server->info = *entry;
    server->service_speed = find_service_speed(servers, entry);
    hide_old_software(server);
    servers->software_changed |= server->info.software != software;
    if (renewed) {
        reset_observations(servers, server, now_ms);
    }
    /* A new server may have inherited that it is brittle.  The entry may have
     * made it an engine, or one of another service. */
    server_schedule_signals(server);
    server_schedule_load(server);
    server_schedule_speed(server);
    server->missing_since_ms = 0;
    server->list_generation = servers->list_generation;
    return server;
}

/* Updates a server's weights by its own report; true if they changed.
 *
 * A report may show the state of some hundred ms ago, so it may come after the
 * entry or a peer's notice of newer weights.  Weights only become newer until
 * a server restarts.  If a server were believed to have older weights than it
 * has, others would fetch parts from it that its newer weights have made. */
bool
server_update_weights(server_t *server, int64_t weights, int64_t started_ms)
{
    bool restarted = started_ms > server->info.started_ms;
    if (weights == server->info.weights ||
        (weights < server->info.weights && !restarted)) {
        return false;
    }
    server->info.weights = weights;
    return true;
}

/* Records that a request is sent to the server on its present weights. Returns
 * the time since the first one that this host sent on them; the server has had
 * them for at least that long. */
int64_t
server_use_weights(server_t *server, int64_t now_ms)
{
    if (server->used_weights != server->info.weights) {
        server->used_weights = server->info.weights;
        server->used_weights_ms = now_ms;
    }
    return now_ms - server->used_weights_ms;
}

/* Replaces older weights in an entry of the same start by the known ones.  The
 * entry was written before a load whose end a peer or the server itself has
 * reported. */
void
server_keep_weights(const server_t *server, server_entry_t *entry)
{
    if (entry->started_ms == server->info.started_ms &&
        entry->weights < server->info.weights) {
        entry->weights = server->info.weights;
    }
}

/* Records that the entry of a server has disappeared from the platform. */
void
servers_mark_missing(servers_t *servers, server_t *server, int64_t now_ms)
{
    server->missing_since_ms = now_ms;
    servers->any_missing = true;
}

/* Records that a server is no longer listed; servers_sweep frees it. */
void
servers_mark_removed(servers_t *servers, server_t *server)
{
    if (!server->removed) {
        server->removed = true;
        servers->removed_count++;
        servers->software_changed = true;
    }
}

void
servers_remove(servers_t *servers, server_t *server)
{
    servers->numbered[server->number] = NULL;
    servers->count--;
    servers->removed_count -= server->removed ? 1 : 0;
    CK_LIST_REMOVE(server, entry);
    server_index_remove(server);
    server_queue_remove(&servers->signal_changes, &server->signal_change);
    server_queue_remove(&servers->stated_signals, &server->stated_signal);
    server_queue_remove(&servers->speed_changes, &server->speed_change);
    server_queue_remove(&servers->load_changes, &server->load_change);
    server_queue_remove(&servers->probe_candidates, &server->probe_candidate);
    cached_parts_free(server->cached_parts);
    free(server);
}

/* Frees removed servers that no request uses. */
void
servers_sweep(servers_t *servers)
{
    server_t *server;
    server_t *next;
    if (servers->removed_count == 0) {
        return;
    }
    CK_LIST_FOREACH_SAFE (server, &servers->list, entry, next) {
        if (server->removed && server->own_running == 0) {
            servers_remove(servers, server);
        }
    }
}

/* Returns the prompt tokens of all hosts that a server would still have to
 * prefill if it reserved a share of its time for decoding.  Unlike the tokens
 * that are not prefilled yet, this does not drop to 0 as soon as the server
 * has caught up. */
double
server_backlog(const server_t *server, int64_t now_ms)
{
    double speed = server_prefill_rate(server, now_ms) * BACKLOG_SPEED_SHARE;
    double done_tokens = (double)(now_ms - server->backlog_updated_ms) * speed;
    return server->backlog_tokens > done_tokens
               ? server->backlog_tokens - done_tokens
               : 0;
}

/* Returns the same, which is from now on computed from the present. */
double
server_update_backlog(server_t *server, int64_t now_ms)
{
    server->backlog_tokens = server_backlog(server, now_ms);
    server->backlog_updated_ms = now_ms;
    return server->backlog_tokens;
}

/* Counts a request that is sent to the server and the tokens of its prompt
 * that the server has to prefill. */
void
server_add_request(server_t *server, double prefill_tokens, int64_t now_ms)
{
    if (server->own_running == 0) {
        server->busy_since_ms = now_ms;
    }
    server_count_prompt(server, prefill_tokens);
    server->own_running++;
    server->backlog_tokens =
        server_update_backlog(server, now_ms) + prefill_tokens;
    server->sent_tokens += (uint32_t)prefill_tokens;
    server->own_prefill_tokens += prefill_tokens;
    server_track_prefill(server, now_ms);
    server_schedule_load(server);
    server_schedule_probe(server);
}

/* Subtracts tokens of a request's prompt that have been prefilled or no longer
 * will be. */
void
server_subtract_prefill(server_t *server, double tokens, int64_t now_ms)
{
    server->own_prefill_tokens -= tokens;
    if (server->own_prefill_tokens < 0) {
        server->own_prefill_tokens = 0;
    }
    server_track_prefill(server, now_ms);
    server_schedule_load(server);
}

void
server_remove_request(server_t *server)
{
    server->own_running--;
    server_schedule_load(server);
}

/* Records that this host's load at the server may have to be announced.
 * Called with each change of it. */
void
server_schedule_load(server_t *server)
{
    server_queue_add(&server->table->load_changes, &server->load_change);
}

void
server_set_load(server_t *server, int running, int waiting, int64_t now_ms)
{
    server->reported_running = running;
    server->reported_waiting = waiting;
    server->reported_ms = now_ms;
}

/* Returns whether the server's own load report has not expired. */
bool
server_has_recent_load(const server_t *server, int64_t now_ms)
{
    int64_t valid_ms =
        server->by_priority ? PRIORITY_REPORT_VALID_MS : REPORT_VALID_MS;
    return server->reported_ms != 0 && now_ms - server->reported_ms < valid_ms;
}

/* Returns the requests of all hosts at a server, running or waiting: the
 * larger of its own recent report and the sum of the hosts' announcements. */
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

/* Returns the estimated time until a slot is free for one more request.  This
 * covers servers with few slots and short prompts, where prefill is quick but
 * requests wait for running answers to end. */
double
server_slot_wait_ms(const server_t *server, int64_t now_ms)
{
    int slots = server->info.slots;
    int over = server_count_in_flight(server, now_ms) - slots + 1;
    double hold =
        server->slot_time_ms > 0 ? server->slot_time_ms : SLOT_TIME_DEFAULT_MS;
    return slots > 0 && over > 0 ? over * hold / slots : 0;
}

/* Records how long a request occupied a slot. */
void
server_observe_slot_time(server_t *server, double ms)
{
    if (server->slot_time_ms <= 0) {
        server->slot_time_ms = ms;
        return;
    }
    server->slot_time_ms += SLOT_TIME_WEIGHT * (ms - server->slot_time_ms);
}

/* Returns whether to pass the server's load report on to peers now: only if
 * most of its slots are taken, and once in an interval at most. */
bool
server_should_announce_load(server_t *server, int64_t now_ms)
{
    int taken = server->reported_running + server->reported_waiting;
    if (taken < server->info.slots * ANNOUNCE_SLOTS_SHARE ||
        now_ms - server->load_announced_ms < ANNOUNCE_INTERVAL_MS) {
        return false;
    }
    server->load_announced_ms = now_ms;
    return true;
}

/* Whether hosts notify each other if the server does not answer. */
bool
server_shares_silence(const server_t *server)
{
    return server_uses_learned_speed(server);
}

/* Applies another host's notice that the server does not answer it. */
void
server_apply_silence(server_t *server, int64_t now_ms)
{
    bool just_answered = server->answered_ms != 0 &&
                         now_ms - server->answered_ms < PROBE_SILENCE_MS;
    if (server_shares_silence(server) && !just_answered) {
        server->silent_notice_ms = now_ms;
    }
}

/* Whether another host has said lately that the server does not answer, and
 * this one has got nothing from it since. */
bool
server_is_suspected(const server_t *server, int64_t now_ms)
{
    return server->silent_notice_ms != 0 &&
           now_ms - server->silent_notice_ms < SILENCE_NOTICE_VALID_MS &&
           server->answered_ms < server->silent_notice_ms;
}

/* Records a fault and opens the circuit if there were enough in a row. */
void
server_record_fault(server_t *server, server_fault_t fault, int64_t now_ms)
{
    server->consecutive_faults++;
    switch (fault) {
        case SERVER_FAULT_ERROR:
            /* The server works, so the circuit stays closed; placement takes
             * the share of errors into account, see request-place.c. */
            server->error_share += ERROR_WEIGHT * (1 - server->error_share);
            server->consecutive_faults--;
            return;
        case SERVER_FAULT_BROKEN:
            server->error_share += ERROR_WEIGHT * (1 - server->error_share);
            if (server->consecutive_faults < CIRCUIT_FAULTS_MIN) {
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
    int64_t pause = (int64_t)CIRCUIT_OPEN_MS_MIN << doublings;
    server->circuit_open_until_ms =
        now_ms + (pause < CIRCUIT_OPEN_MS_MAX ? pause : CIRCUIT_OPEN_MS_MAX);
}

/* Learns from a complete answer how long those of the server are. */
void
server_note_answer_length(server_t *server, size_t len)
{
    if (len > server->longest_answer) {
        server->longest_answer = len;
    }
}

void
server_record_success(server_t *server)
{
    server->consecutive_faults = 0;
    server->error_share -= ERROR_WEIGHT * server->error_share;
}

/* Returns whether the server is listed, has its address to itself and is not
 * known to be unresponsive. */
bool
server_is_reachable(const server_t *server, int64_t now_ms)
{
    return !server->removed && !server->unresponsive &&
           !server->address_taken && now_ms >= server->circuit_open_until_ms;
}

/* Forgets that the server could not be reached. */
void
server_forget_faults(server_t *server)
{
    server->consecutive_faults = 0;
    server->circuit_open_until_ms = 0;
    server->unresponsive = false;
}

/* Returns whether new requests may go to the server. */
bool
server_is_usable(const server_t *server, int64_t now_ms)
{
    return server_is_reachable(server, now_ms) && !server->info.draining &&
           !server->leaving;
}

/* Returns why server_is_usable is false. */
const char *
server_unusable_reason(const server_t *server, int64_t now_ms)
{
    return server->removed                          ? "removed"
           : server->address_taken                  ? "address-taken"
           : server->unresponsive                   ? "unresponsive"
           : now_ms < server->circuit_open_until_ms ? "circuit-open"
           : server->info.draining                  ? "draining"
                                                    : "leaving";
}

/* Returns why server_allows_request is false. */
const char *
server_limiting_reason(const server_t *server, int64_t now_ms)
{
    return server_rest_wait_ms(&server->rest, now_ms) > 0 ? "server-rest"
           : !server_limit_allows(&server->limit, now_ms) ? "server-limit"
                                                          : "server-brittle";
}

/* Records that the server answered this host or a host that reported it. */
void
server_confirm_alive(server_t *server, int64_t now_ms)
{
    server->confirmed_alive_ms = now_ms;
}

/* Returns whether other servers may fetch cached parts from this one.  An
 * unreachable server takes in nothing new, so its estimated cache contents
 * never change; a server that is to fetch from it waits some hundred ms and
 * then prefills the prompt anyway. */
bool
server_is_fetch_source(const server_t *server, int64_t now_ms)
{
    return server_is_reachable(server, now_ms) &&
           server->confirmed_alive_ms != 0 &&
           now_ms - server->confirmed_alive_ms < SOURCE_ALIVE_MS;
}

/* Records that the server has said that it leaves, which holds until its next
 * start; returns whether that is news. */
bool
server_set_leaving(server_t *server)
{
    if (server->leaving) {
        return false;
    }
    server->leaving = true;
    server->leaving_unannounced = true;
    server_schedule_signals(server);
    return true;
}

static bool
has_unannounced_signals(const server_t *server)
{
    return server->limit.unannounced || server->brittle.unannounced ||
           server->leaving_unannounced;
}

/* Whether the hosts share the server's limit or capacity. */
bool
server_states_signals(const server_t *server)
{
    return server->limit.current.stated || server->brittle.current.stated;
}

/* Schedules the announcement of what the server says of itself if that is
 * unannounced, and updates of the hosts that share it.  Called after each
 * change of its limit or brittleness: these do not know the server that they
 * belong to. */
void
server_schedule_signals(server_t *server)
{
    if (server_states_signals(server)) {
        server_queue_add(&server->table->stated_signals,
                         &server->stated_signal);
    }
    if (has_unannounced_signals(server)) {
        server_queue_add(&server->table->signal_changes,
                         &server->signal_change);
    }
}

/* Returns the next server whose signals are to be announced, and marks them as
 * announced; NULL if there is none.  A restart withdraws them. */
server_t *
servers_take_signals(servers_t *servers)
{
    server_t *server;
    while ((server = server_queue_take(&servers->signal_changes)) != NULL) {
        if (has_unannounced_signals(server)) {
            server->limit.unannounced = false;
            server->brittle.unannounced = false;
            server->leaving_unannounced = false;
            return server;
        }
    }
    return NULL;
}

/* Returns whether what the server says of itself allows a request now. */
bool
server_allows_request(const server_t *server, int64_t now_ms)
{
    return server_request_wait_ms(server, now_ms) == 0;
}

/* Returns the time until what the server says of itself allows a request. */
int64_t
server_request_wait_ms(const server_t *server, int64_t now_ms)
{
    int64_t rest_ms = server_rest_wait_ms(&server->rest, now_ms);
    int64_t brittle_ms =
        server_brittle_wait_ms(&server->brittle, server->own_running, now_ms);
    int64_t limit_ms = server_limit_allows(&server->limit, now_ms)
                           ? 0
                           : server_limit_wait_ms(&server->limit, now_ms);
    int64_t ms = rest_ms > limit_ms ? rest_ms : limit_ms;
    return ms > brittle_ms ? ms : brittle_ms;
}

/* Counts a request, or a probe that takes a slot, that is sent to the server.
 */
void
server_take_request(server_t *server, int64_t now_ms)
{
    server_limit_take(&server->limit, now_ms);
    server_rest_take(&server->rest, now_ms);
    server_brittle_take(&server->brittle, now_ms);
}

/* Returns a number that identifies the server's start. */
uint32_t
server_incarnation(const server_t *server)
{
    return (uint32_t)str_hash(server->info.addr,
                              (uint64_t)server->info.started_ms);
}

/* Applies the start time that a server reports: if it is that of its entry,
 * the software is as well. */
void
server_confirm_software(server_t *server, int64_t started_ms)
{
    if (started_ms > server->reported_start_ms) {
        server->reported_start_ms = started_ms;
    }
    uint64_t software = server->info.software;
    hide_old_software(server);
    server->table->software_changed |= server->info.software != software;
}

/* Logs whether the server states that it is brittle. */
void
server_log_brittle(const server_t *server, const char *source)
{
    const server_brittle_t *brittle = &server->brittle;
    log_record(LOG_INFO, "servers",
               brittle->current.stated ? "brittle" : "brittle-ended",
               "server=%s per_s=%.1f capacity=%.1f revision=%u source=%s "
               "hosts=%zu",
               server->info.id, brittle->current.rejections_per_s,
               brittle->current.capacity, brittle->current.revision, source,
               brittle->hosts);
}

/* Logs a change of the limit that the server states. */
void
server_log_limit(const server_t *server, const char *source)
{
    const server_limit_notice_t *limit = &server->limit.current;
    log_record(LOG_INFO, "servers",
               limit->stated ? "limit-stated" : "limit-ended",
               "server=%s per_s=%.3f revision=%u source=%s rank=%zu live=%zu "
               "assumed=%zu",
               server->info.id, limit->per_s, limit->revision, source,
               server->limit.hosts.rank, server->limit.hosts.live,
               server->limit.hosts.assumed);
}

/* The answer to one of the host's requests is not read on for now, so nothing
 * of it can arrive. */
void
server_stop_reading(server_t *server)
{
    server->own_stopped++;
}

/* An answer is read on or has ended.  Silence counts from now: nothing could
 * arrive before. */
void
server_resume_reading(server_t *server, int64_t now_ms)
{
    server->own_stopped--;
    server->busy_since_ms = now_ms;
}

/* Records that data arrived from the server. */
void
server_note_answer(server_t *server, int64_t now_ms)
{
    server->answered_ms = now_ms;
    server->unresponsive = false;
    server_confirm_alive(server, now_ms);
}

/* Returns whether to probe the server now.  A machine that lost power or its
 * network path neither refuses nor closes connections: without a probe
 * requests to it would wait until their deadlines, and more would follow. */
bool
server_needs_probe(const server_t *server, int64_t now_ms)
{
    if (server->removed || server->probing) {
        return false;
    }
    if (server->unresponsive) {
        return now_ms - server->probed_ms >= PROBE_RETRY_MS;
    }
    int64_t since = server->answered_ms > server->busy_since_ms
                        ? server->answered_ms
                        : server->busy_since_ms;
    return server->own_running > server->own_stopped &&
           now_ms - since >= PROBE_SILENCE_MS;
}

/* Whether time alone may make the server need a probe. */
bool
server_may_need_probe(const server_t *server)
{
    return server->own_running > 0 || server->unresponsive ||
           server->software_in_doubt;
}

/* Has the next tick of the probes look at the server if it may need one.
 * Called when it begins to. */
void
server_schedule_probe(server_t *server)
{
    if (server_may_need_probe(server)) {
        server_queue_add(&server->table->probe_candidates,
                         &server->probe_candidate);
    }
}

/* Records that the server did not answer a probe. */
void
server_mark_unresponsive(server_t *server)
{
    server->unresponsive = true;
    server_schedule_probe(server);
}

/* Records that the server may have started again since its entry. */
void
server_doubt_software(server_t *server)
{
    server->software_in_doubt = true;
    server_schedule_probe(server);
}

/* Records tokens that a request of this host brought into the server's cache
 * and that no other request shares. */
void
server_add_unshared(server_t *server, uint32_t tokens)
{
    server->unshared_tokens += tokens;
    cached_parts_add_unshared(server->cached_parts, tokens);
    server_schedule_load(server);
}

/* Applies the unshared tokens that a host's requests have brought into the
 * cache since its last announcement.  A total that decreases comes from a
 * restarted host or a late datagram; treated as a wrap it would evict every
 * part. */
static void
apply_unshared_delta(server_t *server, const server_peer_load_t *before,
                     const server_peer_load_t *report)
{
    int32_t more =
        (int32_t)(report->unshared_tokens - before->unshared_tokens);
    if (more > 0) {
        cached_parts_add_unshared(server->cached_parts, (uint32_t)more);
    }
}

/* Returns the tokens that a host has sent the server for prefill since its
 * last announcement; if there is none to compare with, or the total decreased,
 * those that are not prefilled yet. */
static double
sent_tokens_delta(const server_peer_load_t *before,
                  const server_peer_load_t *report)
{
    int32_t more = (int32_t)(report->sent_tokens - before->sent_tokens);
    if (before->host_id != report->host_id || before->sent_tokens == 0 ||
        more < 0) {
        return report->prefill_tokens;
    }
    return more;
}

/* Returns the element for a host's announcement: its own, a free one, or the
 * oldest one, which is replaced. */
static server_peer_load_t *
find_peer_load(server_t *server, uint64_t host)
{
    server_peer_load_t *oldest = &server->peer_loads[0];
    for (size_t i = 0; i < server->peer_load_count; i++) {
        server_peer_load_t *other = &server->peer_loads[i];
        if (other->host_id == host) {
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

/* Applies another host's announcement.  Tokens that its requests have brought
 * into the cache since the last one evict older parts. */
void
server_apply_peer_load(server_t *server, const server_peer_load_t *report)
{
    server_peer_load_t *last = find_peer_load(server, report->host_id);
    bool known = last->host_id == report->host_id;
    uint32_t sent = known ? last->sent_tokens : 0;
    if (known) {
        apply_unshared_delta(server, last, report);
    }
    if (report->sent_tokens != 0) {
        double tokens = sent_tokens_delta(last, report);
        server->backlog_tokens =
            server_update_backlog(server, report->received_ms) + tokens;
        server_count_prefill(server, tokens);
        sent = report->sent_tokens;
    }
    server->peer_prefill_tokens +=
        report->prefill_tokens - last->prefill_tokens;
    *last = *report;
    last->sent_tokens = sent;
    server_track_prefill(server, report->received_ms);
}

static bool
is_recent(const server_peer_load_t *other, int64_t now_ms)
{
    return other->host_id != 0 &&
           now_ms - other->received_ms < PEER_LOAD_VALID_MS;
}

/* Returns the prompt tokens of other hosts that are not prefilled yet, by
 * their recent announcements. */
double
server_sum_peer_prefill(const server_t *server, int64_t now_ms)
{
    double tokens = 0;
    for (size_t i = 0; i < server->peer_load_count; i++) {
        const server_peer_load_t *other = &server->peer_loads[i];
        if (is_recent(other, now_ms)) {
            tokens += other->prefill_tokens;
        }
    }
    return tokens;
}

/* Forgets tokens that other hosts announced too long ago. */
void
server_expire_peer_prefill(server_t *server, int64_t now_ms)
{
    for (size_t i = 0; i < server->peer_load_count; i++) {
        if (!is_recent(&server->peer_loads[i], now_ms)) {
            server->peer_loads[i].prefill_tokens = 0;
        }
    }
    server->peer_prefill_tokens = server_sum_peer_prefill(server, now_ms);
}

/* Returns the requests of this host at the server and those of other hosts by
 * their recent announcements. */
int
server_count_running(const server_t *server, int64_t now_ms)
{
    int running = server->own_running;
    for (size_t i = 0; i < server->peer_load_count; i++) {
        const server_peer_load_t *other = &server->peer_loads[i];
        if (is_recent(other, now_ms)) {
            running += other->running;
        }
    }
    return running;
}

/* Updates the smoothed slowness with the prefill time of a prompt that had
 * nothing queued ahead of it.  Servers of one service differ in speed, and one
 * that is nearly full slows down. */
void
server_update_slowness(server_t *server, double expected_ms,
                       double observed_ms)
{
    double ratio = observed_ms / expected_ms;
    if (ratio < SLOWNESS_MIN) {
        ratio = SLOWNESS_MIN;
    }
    if (ratio > SLOWNESS_MAX) {
        ratio = SLOWNESS_MAX;
    }
    server->slowness += SLOWNESS_WEIGHT * (ratio - server->slowness);
}

/* ---- speed ---- */

/* Returns whether the learned speed applies to a server: its service's servers
 * report their pace, or a setting says so. */
bool
server_uses_learned_speed(const server_t *server)
{
    return server->learned_speed || (server->service_speed != NULL &&
                                     server->service_speed->reports_pace);
}

static bool
has_unannounced_speed(const server_t *server)
{
    return !server->removed && server->speed.unannounced &&
           server_uses_learned_speed(server);
}

/* Schedules the announcement of the server's speed if that is unannounced and
 * the learned speed applies.  Called after each change of either. */
void
server_schedule_speed(server_t *server)
{
    if (has_unannounced_speed(server)) {
        server_queue_add(&server->table->speed_changes, &server->speed_change);
    }
}

/* Returns the next server whose speed is to be announced, or NULL. */
server_t *
servers_take_speed(servers_t *servers)
{
    server_t *server;
    while ((server = server_queue_take(&servers->speed_changes)) != NULL) {
        if (has_unannounced_speed(server)) {
            return server;
        }
    }
    return NULL;
}

/* Schedules the announcements of a service's speeds, once the learned speed
 * applies to its servers. */
static void
schedule_speeds(servers_t *servers, const service_speed_t *speed)
{
    server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (server->service_speed == speed) {
            server_schedule_speed(server);
        }
    }
}

/* Whether the learned rate applies to an engine. */
static bool
uses_learned_rate(const server_t *server)
{
    return server->service_speed != NULL && server_uses_learned_speed(server);
}

/* Whether a prompt that is sent to the engine now is prefilled at once: most
 * slots are free, and almost nothing is left to prefill.  In overload the time
 * to the first token is mostly queueing, which says nothing of the speed. */
bool
server_is_mostly_idle(const server_t *server, int64_t now_ms)
{
    double tokens =
        server->own_prefill_tokens + server_sum_peer_prefill(server, now_ms);
    return tokens < IDLE_PREFILL_TOKENS &&
           (server->info.slots <= 0 ||
            server_count_in_flight(server, now_ms) <
                server->info.slots * IDLE_SLOTS_SHARE);
}

/* Returns the rate at which an engine is expected to prefill now, tokens/ms.
 */
double
server_prefill_rate(const server_t *server, int64_t now_ms)
{
    if (!uses_learned_rate(server)) {
        return SERVER_PREFILL_TOKENS_PER_MS / server->slowness;
    }
    if (!server->learned_speed) {
        return SERVER_PREFILL_TOKENS_PER_MS /
               (server_work_ratio(server) *
                server_speed_pace(&server->speed, now_ms));
    }
    return 1 / engine_speed_prefill_ms(&server->service_speed->engine,
                                       &server->speed, 1, now_ms);
}

/* Returns the highest rate at which an engine may prefill, tokens/ms, for
 * decisions that have to be safe.  The learned rate is that of an engine that
 * also decodes; without that it is up to twice as high. */
double
server_prefill_rate_max(const server_t *server)
{
    double rate = server->learned_speed && server->service_speed != NULL
                      ? engine_speed_rate(&server->service_speed->engine) /
                            PREFILL_TIME_SHARE_MIN
                      : 0;
    return rate > SERVER_PREFILL_TOKENS_PER_MS ? rate
                                               : SERVER_PREFILL_TOKENS_PER_MS;
}

/* Learns from a complete answer how requests beside it slow it down. */
void
server_observe_decode(server_t *server, int in_flight, double tokens,
                      double ms)
{
    if (server->service_speed != NULL) {
        decode_speed_observe(&server->service_speed->decode, in_flight, tokens,
                             ms);
    }
}

/* Returns how much longer an answer of so many tokens takes at the engine than
 * at an idle one, ms. */
double
server_decode_extra_ms(const server_t *server, double tokens, int64_t now_ms)
{
    return uses_learned_rate(server)
               ? decode_speed_extra_ms(&server->service_speed->decode, tokens,
                                       server_count_in_flight(server, now_ms))
               : 0;
}

/* Returns the constant part of the time to the first token, ms. */
double
server_first_token_ms(const server_t *server)
{
    return server->service_speed != NULL
               ? server->service_speed->engine.first_token_ms
               : 0;
}

/* Returns the prefill rate of an engine's service, tokens/ms. */
double
server_mean_prefill_rate(const server_t *server)
{
    return uses_learned_rate(server) && server->learned_speed
               ? engine_speed_rate(&server->service_speed->engine)
               : SERVER_PREFILL_TOKENS_PER_MS;
}

/* Returns the time that a plain server takes longer for a request than at its
 * usual pace, by the pace that it reports, ms. */
double
server_plain_extra_ms(const server_t *server, int64_t now_ms)
{
    double pace = server_speed_pace(&server->speed, now_ms);
    return server->service_speed != NULL && pace > 1
               ? server->service_speed->plain_work_ms * (pace - 1)
               : 0;
}

/* Learns from the time to the first token of a prompt that had little queued
 * ahead of it.  Services whose speed is not used are learned as well: the
 * metrics show it. */
void
server_observe_prefill(server_t *server, double tokens, double ms,
                       int64_t now_ms)
{
    if (server->service_speed == NULL) {
        return;
    }
    if (engine_speed_observe(&server->service_speed->engine, &server->speed,
                             tokens, ms, now_ms)) {
        server->speed_from_peer = false;
    }
    server_schedule_speed(server);
}

/* Learns from the time that a plain server took for a request. */
void
server_observe_plain_work(server_t *server, double ms, int64_t now_ms)
{
    if (server->service_speed == NULL || !(ms > 0)) {
        return;
    }
    double *work_ms = &server->service_speed->plain_work_ms;
    ms /= server_speed_mean_pace(&server->speed, ms, now_ms);
    if (*work_ms <= 0) {
        *work_ms = ms;
        return;
    }
    double most = *work_ms * PLAIN_WORK_OUTLIER_FACTOR;
    *work_ms += PLAIN_WORK_WEIGHT * ((ms < most ? ms : most) - *work_ms);
}

/* Records the pace that a server reports. */
void
server_state_pace(server_t *server, int percent, int64_t now_ms)
{
    server_speed_state_pace(&server->speed, percent, now_ms);
    if (server->service_speed != NULL &&
        !server->service_speed->reports_pace) {
        server->service_speed->reports_pace = true;
        schedule_speeds(server->table, server->service_speed);
    }
}

/* Logs a server's ratio if it has changed by a tenth since it was last logged.
 */
static void
log_speed(server_t *server)
{
    double ratio = server_speed_ratio(&server->speed);
    double logged = server->logged_ratio > 0 ? server->logged_ratio : 1;
    if (ratio < logged * LOGGED_CHANGE && logged < ratio * LOGGED_CHANGE) {
        return;
    }
    server->logged_ratio = ratio;
    log_record(LOG_INFO, "servers", "speed",
               "server=%s ratio=%.2f observations=%.1f rate=%.1f source=%s",
               server->info.id, ratio,
               server_speed_observations(&server->speed),
               engine_speed_rate(&server->service_speed->engine),
               server->speed_from_peer ? "peer" : "own");
}

/* Logs the changed ratios of the servers to which the learned speed applies.
 */
void
servers_log_speeds(servers_t *servers)
{
    server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (!server->removed && server->info.engine &&
            uses_learned_rate(server)) {
            log_speed(server);
        }
    }
}

/* Applies another host's notice of a server's ratio. */
void
server_apply_speed(server_t *server, const speed_notice_t *notice)
{
    if (server_speed_apply(&server->speed, notice)) {
        server->speed_from_peer = true;
    }
    server_schedule_speed(server);
}

/* Centres the ratios of each service's servers around 1. */
void
servers_centre_speeds(servers_t *servers)
{
    service_speed_t *speed;
    CK_SLIST_FOREACH (speed, &servers->speeds, entry) {
        server_speed_t *of_service[SERVER_NUMBERS_MAX];
        size_t count = 0;
        server_t *server;
        CK_LIST_FOREACH (server, &servers->list, entry) {
            if (server->service_speed == speed && !server->removed &&
                server->info.engine) {
                of_service[count++] = &server->speed;
            }
        }
        engine_speed_centre(&speed->engine, of_service, count);
    }
}
