#ifndef CELERYSPOOL_SERVER_BRITTLE_H
#define CELERYSPOOL_SERVER_BRITTLE_H

/* Admission of requests to a server that crashes when it has to reject too
 * many in a second.  The hosts share an estimate of the server's capacity,
 * which shrinks with rejections and grows while requests have to wait for it;
 * each host uses its share.  No I/O and no clock. */

#include "../kernel/base.h"

/* The state that hosts exchange.  Each change that a server's answer shows to
 * a host gets the next revision. */
typedef struct {
    uint32_t revision; /* 0: nothing was ever stated */
    bool stated;
    double rejections_per_s; /* that it tolerates from all hosts together */
    double capacity; /* requests that all hosts together may have there */
    double hold_ms;  /* smoothed duration of a request at the server; 0 if
                        unknown */
} server_brittle_notice_t;

typedef struct {
    server_brittle_notice_t current;
    bool unannounced;  /* other hosts have to be notified of the change */
    int64_t stated_ms; /* when an answer or a notice last stated it */
    size_t hosts;      /* that share the capacity */
    rng_t rng;
    double rounding; /* from 0 to 1: rounds a fractional share up or down */
    double hold_ms;  /* smoothed duration of a request */
    unsigned hold_count;    /* observations of hold_ms */
    bool restarted;         /* it has crashed and not answered since */
    bool grown;             /* the last change was a step up */
    double capacity_before; /* that step */
    unsigned steps;         /* up in a row without a rejection, up to a few */
    unsigned doublings;     /* of the time between two steps */
    int64_t step_due_ms;    /* no step before this time */
    int64_t sent_ms;        /* when this host last sent a request */
    int64_t reduced_until_ms; /* half of the share is used until then */
    int64_t paused_until_ms;  /* nothing is sent until then */
} server_brittle_t;

void server_brittle_init(server_brittle_t *brittle, uint64_t seed);
void server_brittle_set_hosts(server_brittle_t *brittle, size_t hosts);
bool server_brittle_note_stated(server_brittle_t *brittle,
                                double rejections_per_s, int slots,
                                int64_t now_ms);
bool server_brittle_note_unstated(server_brittle_t *brittle, int64_t sent_ms);
bool server_brittle_apply(server_brittle_t *brittle,
                          const server_brittle_notice_t *notice,
                          int64_t now_ms);
void server_brittle_inherit(server_brittle_t *brittle,
                            const server_brittle_t *other, int64_t now_ms);
void server_brittle_restart(server_brittle_t *brittle, int64_t now_ms);
void server_brittle_reject(server_brittle_t *brittle, int64_t now_ms);
void server_brittle_observe_hold(server_brittle_t *brittle, double ms);
void server_brittle_take(server_brittle_t *brittle, int64_t now_ms);
void server_brittle_block(server_brittle_t *brittle, int64_t now_ms);
int64_t server_brittle_wait_ms(const server_brittle_t *brittle, int running,
                               int64_t now_ms);

#endif
