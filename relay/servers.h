#ifndef CELERYSPOOL_SERVERS_H
#define CELERYSPOOL_SERVERS_H

/* The backend servers that the platform lists, and what this host has seen of
 * them.  No I/O and no clock: times go in. */

#include "../kernel/base.h"
#include "cached-parts.h"

#include <ck_queue.h>

/* Numbers that the cache map distinguishes; the last ones are not servers',
 * see cache-source.h. */
#define SERVERS_MAX 1024
#define SERVER_NUMBERS_MAX (SERVERS_MAX - 8)
#define SERVER_MODEL_MAX 64

/* Prompt tokens that an engine reads in a millisecond, steps of those that
 * generate included.  Each server's own speed is learned: see
 * server_update_slowness. */
#define SERVER_PREFILL_TOKENS_PER_MS 48.0

/* A server's entry on the platform, decoded by platform/server-read.c. */
typedef struct {
    char id[CS_NAME_MAX];
    char service[CS_NAME_MAX];
    char addr[CS_ADDR_MAX];
    char dc[CS_NAME_MAX];
    int slots;
    bool draining;
    bool engine;                  /* it serves a model */
    char model[SERVER_MODEL_MAX]; /* of an engine */
    int64_t weights;              /* version of its model's weights */
    int64_t started_ms;           /* wall clock, of its start; 0 unknown */
} server_entry_t;

/* Why a send came to nothing, for the circuit. */
typedef enum {
    SERVER_FAULT_CONNECT, /* no connection in time */
    SERVER_FAULT_BROKEN,  /* reset, cut or garbled */
    SERVER_FAULT_ERROR,   /* an error answer of its own */
    SERVER_FAULT_TIMEOUT  /* no answer in the time that it had */
} server_fault_t;

/* What another host has at a server, as it last announced. */
#define SERVER_PEERS_MAX 384

typedef struct {
    uint64_t host; /* hash of its address; 0 for none */
    int64_t received_ms;
    double prefill_tokens;
    int running;
    uint32_t unshared_tokens; /* tokens of requests' own parts, of all time,
                                 wraps */
    uint32_t
        sent_tokens; /* tokens to read, of all time, wraps; 0: not reported */
} server_peer_load_t;

typedef struct server {
    CK_LIST_ENTRY(server) entry;
    server_entry_t info;
    int64_t revision;         /* of its entry */
    bool ordered;             /* this host is bringing it to other weights */
    int64_t order_after_ms;   /* not ordered again before */
    int64_t loading_until_ms; /* it is reported to load weights until then */
    uint32_t key;             /* hash of its id, for other hosts */
    uint16_t number; /* in the cache map; used again when it is gone */
    int64_t
        missing_since_ms; /* since when its entry is gone, 0 if it is there */
    bool removed;         /* off the list for good; kept while it is used */
    bool address_taken;   /* another server answers at its address */
    unsigned list_generation;  /* count of the list that it was last on */
    int own_running;           /* requests of this host at it */
    double own_prefill_tokens; /* their prompt tokens that are not read yet */
    double announced_prefill_tokens; /* as other hosts were last notified */
    int announced_running;
    int64_t announced_ms;
    uint32_t announced_sent_tokens;
    uint32_t sent_tokens; /* tokens given to it to read, of all time, wraps */
    double
        backlog_tokens; /* tokens of all hosts, read at a part of its speed */
    int64_t backlog_updated_ms; /* when that was */
    cached_parts_t *held;       /* what its cache is believed to hold */
    uint32_t unshared_tokens;   /* tokens of own requests' own parts, of all
                                   time, wraps */
    uint32_t announced_unshared_tokens; /* the same, as last notified */
    server_peer_load_t peer_loads[SERVER_PEERS_MAX];
    size_t peer_load_count; /* places in use */
    int reported_running;   /* by its own report */
    int reported_waiting;
    int64_t reported_ms;       /* when it reported that, 0 for never */
    int64_t load_announced_ms; /* when others were last notified of its load */
    double slot_time_ms; /* that a request takes a slot from its first token
                          * on, smoothed; 0 unknown */
    unsigned consecutive_faults;   /* in a row */
    int64_t circuit_open_until_ms; /* the circuit is open until then */
    int64_t full_until_ms;         /* it refused a request: not before then */
    double error_share;            /* of its answers lately that were errors */
    double slowness;               /* observed over expected time, smoothed */
    int64_t probed_ms;             /* when its report was last asked for */
    int64_t answered_ms;           /* when anything last came from it */
    int64_t confirmed_alive_ms;    /* the same, to this host or another that
                                      reported it */
    int64_t busy_since_ms; /* since when requests of this host are at it */
    bool probing;          /* it is being asked whether it is there */
    bool unresponsive;     /* it was asked and did not answer */
} server_t;

typedef CK_LIST_HEAD(server_list, server) server_list_t;

typedef struct {
    server_list_t list;
    size_t count;
    unsigned list_generation; /* how many whole lists were read */
    server_t *numbered[SERVER_NUMBERS_MAX]; /* NULL for a free number */
} servers_t;

servers_t *servers_new(void);
void servers_free(servers_t *servers);
server_t *servers_find(servers_t *servers, const char *id);
server_t *servers_find_by_number(const servers_t *servers, uint16_t number);
server_t *servers_find_by_key(const servers_t *servers, uint32_t key);
server_t *servers_put(servers_t *servers, const server_entry_t *entry);
void servers_remove(servers_t *servers, server_t *server);
void servers_sweep(servers_t *servers);
void server_add_request(server_t *server, double unread_tokens,
                        int64_t now_ms);
void server_subtract_prefill(server_t *server, double tokens);
void server_remove_request(server_t *server);
void server_set_load(server_t *server, int running, int waiting,
                     int64_t now_ms);
bool server_has_recent_load(const server_t *server, int64_t now_ms);
int server_count_in_flight(const server_t *server, int64_t now_ms);
bool server_should_announce_load(server_t *server, int64_t now_ms);
double server_slot_wait_ms(const server_t *server, int64_t now_ms);
void server_observe_slot_time(server_t *server, double ms);
void server_record_fault(server_t *server, server_fault_t fault,
                         int64_t now_ms);
void server_record_success(server_t *server);
bool server_is_usable(const server_t *server, int64_t now_ms);
void server_add_unshared(server_t *server, uint32_t tokens);
void server_apply_peer_load(server_t *server,
                            const server_peer_load_t *report);
int server_count_running(const server_t *server, int64_t now_ms);
double server_update_backlog(server_t *server, int64_t now_ms);
double server_sum_peer_prefill(const server_t *server, int64_t now_ms);
void server_update_slowness(server_t *server, double expected_ms,
                            double observed_ms);
bool server_needs_probe(const server_t *server, int64_t now_ms);
void server_confirm_alive(server_t *server, int64_t now_ms);
bool server_is_fetch_source(const server_t *server, int64_t now_ms);
void server_note_answer(server_t *server, int64_t now_ms);

#endif
