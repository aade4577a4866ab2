#ifndef CELERYSPOOL_SOAK_H
#define CELERYSPOOL_SOAK_H

/* A fault-injection soak test: real daemons and stand-ins run as processes on
 * this host, connected by proxies that inject network faults, and callers
 * check the guarantees of the router.  The soak runs on one event loop. */

#include "../kernel/exchange.h"
#include "../kernel/fetch.h"
#include "../fakes/link.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/types.h>

#define RELAYS_MAX 16
#define ENGINES_MAX 8
#define PLAIN_SERVERS 2
/* A part of prompts that callers send while it ends the engines. */
#define CALLERS_FATAL_PART "dead"

/* Offset of the relays' ports from the first port, and how many each has:
 * callers, readiness, other daemons, metrics. */
#define PORT_RELAY 100
#define PORTS_PER_RELAY 4

#define SERVERS_MAX (ENGINES_MAX + PLAIN_SERVERS)

/* ---- processes ---- */

typedef struct {
    char name[CS_NAME_MAX];
    char log[256];
    char *argv[40];
    pid_t pid; /* 0 while the process is not running */
    bool stopping;
    bool paused;
    int64_t state_changed_ms;  /* last start or exit */
    int64_t stop_requested_ms; /* SIGTERM was sent */
    unsigned starts;
} process_t;

int process_start(process_t *process);
void process_signal(const process_t *process, int number);

/* ---- the deployment ---- */

typedef struct {
    process_t process;
    struct in_addr source; /* of its connections to servers */
    link_t *caller_link;   /* callers connect to the relay through it */
    link_t *store_link;    /* the relay connects to the store through it */
    char caller_addr[CS_ADDR_MAX];
    int64_t disturbed_until_ms; /* end of this relay's faults' effects */
    unsigned disturbances;      /* faults of this relay so far */
    int64_t stopping_until_ms;  /* latest end of a graceful shutdown */
} soak_relay_t;

typedef struct {
    char id[CS_NAME_MAX];
    bool is_engine;
    link_t *link;
    int64_t disturbed_until_ms; /* end of its own faults' effects */
    char version[CS_NAME_MAX];  /* of its software; empty while it leaves */
    bool draining;              /* it leaves, or has left */
} soak_server_t;

typedef struct callers callers_t;

typedef struct {
    struct event_base *base;
    exchanges_t *exchanges;
    rng_t rng;
    rng_t own_fault_rng;
    rng_t *fault_rng; /* of the callers too, or the faults' own */
    uint64_t seed;
    const char *build;
    char dir[128];
    char record_path[192]; /* what the backend servers recorded */
    int first_port;        /* the soak uses 240 ports from this one */
    int64_t start_ms;      /* callers and faults start */
    bool signals;    /* servers also state rate limits and ask for rest */
    bool cuts;       /* besides, hosts are cut off from all servers */
    bool versions;   /* engines have several software versions */
    bool priorities; /* engines have few slots, the configuration turns
                        admission by priority on and off, and callers that
                        are rejected return */
    int64_t planned_from_ms; /* then planned work and silence alone */
    bool planned;            /* planned work and silence alone */
    bool extras;  /* servers send answers that belong to no request */
    bool returns; /* addresses and settings are kept from daemons that start */
    int fatal_parts;       /* running faults in which a part ends servers */
    int one_relay;         /* running faults in which callers use one relay */
    size_t used_relay;     /* that one */
    int64_t faults_end_ms; /* end of all faults, start of the recovery phase */
    int64_t end_ms;        /* callers send no further request */
    process_t platform;
    char store_addr[CS_ADDR_MAX];
    soak_relay_t relays[RELAYS_MAX];
    size_t relay_count;
    soak_server_t servers[SERVERS_MAX];
    size_t server_count;
    int64_t servers_disturbed_until_ms; /* end of servers' faults' effects */
    unsigned server_disturbances;       /* faults of servers so far */
    int64_t config_version;
    int64_t weights;
    int64_t old_key_removed_ms; /* removal of "old-key"; 0 before */
    callers_t *callers;
    size_t caller_count;
    unsigned violations; /* of guarantees */
    unsigned fault_count;
} soak_t;

void soak_addr(const soak_t *soak, int offset, char out[CS_ADDR_MAX]);
void soak_report_violation(soak_t *soak, const char *guarantee,
                           const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void soak_post_admin(soak_t *soak, const char *path, const char *body);

int deployment_open(soak_t *soak, err_t *err);
void deployment_child_exited(soak_t *soak, pid_t pid, int status);
void deployment_tick(soak_t *soak);
void deployment_publish_config(soak_t *soak);
void deployment_stop(soak_t *soak);

void faults_tick(soak_t *soak);
void returns_relay_exited(soak_t *soak, size_t number);
void returns_tick(soak_t *soak);
char *format_string(const char *fmt, ...)
    __attribute__((format(printf, 1, 2)));

/* ---- engines with few slots ---- */

void slots_tick(soak_t *soak);
void paces_tick(soak_t *soak);

/* ---- the software versions of engines ---- */

void versions_open(soak_t *soak);
void versions_tick(soak_t *soak);
void versions_note_event(soak_server_t *engine, const char *version);
size_t versions_count_sound(const soak_t *soak, const char *version);

/* ---- callers and the guarantees that they check ---- */

callers_t *callers_start(soak_t *soak, size_t count);
void callers_stop(callers_t *callers);
void callers_check(callers_t *callers);

#endif
