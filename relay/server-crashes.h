#ifndef CELERYSPOOL_SERVER_CRASHES_H
#define CELERYSPOOL_SERVER_CRASHES_H

/* Requests whose connection to their server broke, until it is known whether
 * the server has crashed or only the connection was lost.  No I/O and no
 * clock.
 */

#include "fatal-parts.h"
#include "reach.h"

/* Maximum number of lost requests; further ones are not recorded. */
#define LOST_REQUESTS_MAX 256

typedef struct lost_request {
    CK_LIST_ENTRY(lost_request) entry;
    uint16_t server;    /* number */
    uint32_t server_id; /* identifies its incarnation */
    fatal_request_t parts;
    int64_t sent_ms;
    int64_t lost_ms;
    bool unreached;       /* the server has not answered a probe since */
    int64_t unreached_ms; /* when that probe was sent */
} lost_request_t;

typedef CK_LIST_HEAD(lost_requests, lost_request) lost_requests_t;

typedef struct {
    lost_requests_t list;
    size_t count;
} server_crashes_t;

/* Result of a probe of the server. */
typedef enum {
    SERVER_LIVES,     /* it answers */
    SERVER_RESTARTED, /* it answers and has just started */
    SERVER_UNREACHED  /* it has crashed, or the path to it is lost */
} server_life_t;

void server_crashes_init(server_crashes_t *crashes);
void server_crashes_add(server_crashes_t *crashes, uint16_t server,
                        uint32_t server_id, const fatal_request_t *parts,
                        int64_t sent_ms, int64_t now_ms);
bool server_crashes_has(const server_crashes_t *crashes, uint16_t server);
bool server_crashes_apply(server_crashes_t *crashes, uint16_t server,
                          uint32_t server_id, server_life_t life,
                          fatal_parts_t *parts, int64_t now_ms);
bool server_crashes_confirm(server_crashes_t *crashes, fatal_parts_t *parts,
                            int64_t now_ms);
bool server_crashes_confirm_open(server_crashes_t *crashes,
                                 const reach_t *reach, fatal_parts_t *parts,
                                 int64_t now_ms);
void server_crashes_reset_unreached(server_crashes_t *crashes);

#endif
