#ifndef CELERYSPOOL_LINK_H
#define CELERYSPOOL_LINK_H

/* A TCP link between two processes of a test that injects network faults, for
 * all connections or for those from one IP address. */

#include "../kernel/base.h"

#include <event2/event.h>
#include <netinet/in.h>

#define LINK_SOURCES_MAX 32

typedef enum {
    LINK_OK,
    LINK_DELAYED,          /* bytes are delayed */
    LINK_HOLD_TO_TARGET,   /* bytes to the target are held back */
    LINK_HOLD_FROM_TARGET, /* bytes from the target are held back */
    LINK_HOLD_BOTH,        /* bytes in both directions are held back */
    LINK_RESET_NEW         /* new connections are reset once accepted */
} link_state_t;

typedef struct link link_t;

/* Bytes that a link sends to the client in front of the answers to requests
 * that begin with a text, on connections that have carried one before. */
typedef struct {
    const char *text; /* empty for none */
    const char *before;
    int64_t every;
} link_extra_t;

/* A text that a link replaces in the heads from its target. */
typedef struct {
    const char *text; /* empty for none */
    const char *with;
} link_rewrite_t;

link_t *link_open(struct event_base *base, const char *listen,
                  const char *target, err_t *err);
int link_set_listening(link_t *link, bool listening);
void link_set_state(link_t *link, link_state_t state);
void link_set_source_state(link_t *link, struct in_addr source,
                           link_state_t state);
void link_reset(link_t *link);
void link_reset_source(link_t *link, struct in_addr source);
void link_stall(link_t *link);
void link_set_extra(link_t *link, const link_extra_t *extra);
void link_set_rewrite(link_t *link, const link_rewrite_t *rewrite);
unsigned link_extra_count(const link_t *link);

#endif
