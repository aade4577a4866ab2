#ifndef CELERYSPOOL_SOAK_H
#define CELERYSPOOL_SOAK_H

/* A fault soak: real daemons and stand-ins as processes on this host, with
 * links between them that misbehave, and callers that check what they are
 * promised.  Everything here runs on one event loop. */

#include "../kernel/exchange.h"
#include "../kernel/fetch.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/types.h>

#define RELAYS_MAX 16
#define ENGINES_MAX 8
#define PLAINS_MAX 4
#define SERVERS_MAX (ENGINES_MAX + PLAINS_MAX)

/* ---- links: a proxy that the soak can disturb ---- */

typedef enum {
    LINK_WELL,
    LINK_SLOW,      /* bytes come later */
    LINK_MUTE_UP,   /* what goes to the target is held */
    LINK_MUTE_DOWN, /* what comes from the target is held */
    LINK_SILENT,    /* both are held */
    LINK_REFUSING   /* new connections are reset */
} link_state_t;

typedef struct proxy proxy_t;

proxy_t *proxy_open(struct event_base *base, const char *listen,
                    const char *target, err_t *err);
void proxy_set(proxy_t *proxy, link_state_t state);
void proxy_reset(proxy_t *proxy);
void proxy_stall(proxy_t *proxy);

/* ---- processes ---- */

typedef struct {
    char name[CS_NAME_MAX];
    char log[256];
    char *argv[40];
    pid_t pid; /* 0 while it does not run */
    bool stopping;
    bool paused;
    int64_t began_ms;
    int64_t stop_ms; /* when its stop was asked for */
    unsigned starts;
} process_t;

int process_start(process_t *process);
void process_signal(const process_t *process, int number);

/* ---- the deployment ---- */

typedef struct {
    process_t process;
    proxy_t *front; /* callers come through it */
    proxy_t *store; /* it reaches the store through it */
    char front_addr[CS_ADDR_MAX];
    int64_t disturbed_ms; /* trouble of its own until then */
    unsigned troubles;    /* of its own, so far */
    int64_t stopped_ms;   /* a planned stop until then */
} soak_relay_t;

typedef struct {
    char id[CS_NAME_MAX];
    bool engine;
    proxy_t *link;
} soak_server_t;

typedef struct callers callers_t;

typedef struct {
    struct event_base *base;
    exchanges_t *exchanges;
    rng_t rng;
    uint64_t seed;
    const char *build;
    char dir[128];
    char record[192];
    int port; /* first of those that are used */
    int64_t began_ms;
    int64_t calm_ms; /* no fault begins or lasts from then on */
    int64_t end_ms;
    process_t platform;
    char store_addr[CS_ADDR_MAX];
    soak_relay_t relays[RELAYS_MAX];
    size_t relay_count;
    soak_server_t servers[SERVERS_MAX];
    size_t server_count;
    int64_t servers_disturbed_ms; /* any server or its link until then */
    unsigned servers_troubles;    /* so far */
    int64_t config_version;
    int64_t weights;
    int64_t old_key_until_ms; /* when its removal was asked for, 0 before */
    callers_t *callers;
    size_t caller_count;
    unsigned broken; /* promises */
    unsigned faults;
} soak_t;

void soak_addr(const soak_t *soak, int offset, char out[CS_ADDR_MAX]);
void soak_broken(soak_t *soak, const char *promise, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void soak_admin(soak_t *soak, const char *path, const char *body);

int deployment_open(soak_t *soak, err_t *err);
void deployment_child_ended(soak_t *soak, pid_t pid, int status);
void deployment_tick(soak_t *soak);
void deployment_config(soak_t *soak);
void deployment_stop(soak_t *soak);

void faults_tick(soak_t *soak);

/* ---- callers and what they are promised ---- */

callers_t *callers_start(soak_t *soak, size_t count);
void callers_stop(callers_t *callers);
void callers_check(callers_t *callers);

#endif
