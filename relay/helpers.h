#ifndef CELERYSPOOL_HELPERS_H
#define CELERYSPOOL_HELPERS_H

/* Chooses the host to which this one forwards a request while it reaches no
 * server itself.  No I/O and no clock. */

#include "../kernel/tables.h"

/* Hosts of which something is remembered; of more, the one that was used the
 * longest ago is forgotten. */
#define HELPERS_MAX 64
/* Hosts that one request may be forwarded to. */
#define HELPERS_TRIED_MAX 3

/* Services remembered per host that it reaches no server of; of more, the one
 * that expires first is forgotten. */
#define HELPER_SERVICES_MAX 4

/* A service, by the hash of its name, that a host reaches no server of. */
typedef struct {
    uint64_t service;
    int64_t until_ms;
} unreached_service_t;

typedef struct {
    char addr[CS_ADDR_MAX]; /* for datagrams and forwarded requests */
    int running;            /* requests forwarded there */
    int64_t used_ms;
    int64_t served_ms;      /* when it last answered for a server; 0: never */
    int64_t avoid_until_ms; /* it failed, or reaches no server either */
    unreached_service_t unreached[HELPER_SERVICES_MAX];
} helper_t;

typedef struct {
    helper_t list[HELPERS_MAX];
    size_t count;
} helpers_t;

/* The hosts that a request was forwarded to. */
typedef struct {
    char addrs[HELPERS_TRIED_MAX][CS_ADDR_MAX];
    char dcs[HELPERS_TRIED_MAX][CS_NAME_MAX];
    size_t count;
    char broken[CS_ADDR_MAX]; /* host whose answer broke off; empty for none */
} helpers_tried_t;

const member_t *helpers_choose(const helpers_t *helpers,
                               const member_t *members, size_t count,
                               const helpers_tried_t *tried, uint64_t service,
                               rng_t *rng, int64_t now_ms);
bool helpers_may_serve(const helpers_t *helpers, int64_t now_ms);
void helpers_tried_add(helpers_tried_t *tried, const member_t *member);
void helpers_tried_remove(helpers_tried_t *tried, const char *addr);
void helpers_tried_set_broken(helpers_tried_t *tried, const char *addr);
void helpers_begin(helpers_t *helpers, const char *addr, int64_t now_ms);
void helpers_end(helpers_t *helpers, const char *addr);
void helpers_note_served(helpers_t *helpers, const char *addr, int64_t now_ms);
void helpers_note_broken(helpers_t *helpers, const char *addr);
void helpers_avoid(helpers_t *helpers, const char *addr, int64_t now_ms);
void helpers_avoid_service(helpers_t *helpers, const char *addr,
                           uint64_t service, int64_t now_ms);

#endif
