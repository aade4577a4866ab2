#ifndef CELERYSPOOL_REACH_H
#define CELERYSPOOL_REACH_H

/* Whether this host reaches the backend servers at all.  A host can lose its
 * path to all of them while callers, the store and other hosts still reach it.
 * One failing server says nothing of the host, so others are probed before the
 * path counts as lost.  No I/O and no clock. */

#include "../kernel/base.h"

/* Distinct servers that are remembered at a time. */
#define REACH_SERVERS_MAX 4

typedef enum {
    REACH_OK,
    REACH_SUSPECT, /* a server failed; others are probed */
    REACH_KEPT,    /* open connections work, new ones do not */
    REACH_NONE     /* no server is reached */
} reach_state_t;

/* A few distinct servers, by number. */
typedef struct {
    uint16_t numbers[REACH_SERVERS_MAX];
    size_t count;
} reach_set_t;

typedef struct {
    reach_state_t state;
    size_t listed; /* servers that there are */
    /* Servers that failed since one last answered over a new connection, and
     * those of them that failed a probe over one. */
    reach_set_t failed;
    reach_set_t probed;
    size_t answers;        /* over new connections since the path was lost */
    bool kept_answered;    /* an open connection has worked since then */
    int64_t probes_due_ms; /* when probes may next be sent */
    /* The last answer over a new connection, and the first of those before it
     * that came at short intervals; 0 for none. */
    int64_t answered_ms;
    int64_t answered_since_ms;
} reach_t;

void reach_set_listed(reach_t *reach, size_t servers);
void reach_note_fault(reach_t *reach, uint16_t server, bool new_connection,
                      int64_t now_ms);
void reach_note_failed_probe(reach_t *reach, uint16_t server, int64_t now_ms);
void reach_note_answer(reach_t *reach, bool new_connection, int64_t now_ms);
size_t reach_take_probes(reach_t *reach, int64_t now_ms);
bool reach_has_failed(const reach_t *reach, uint16_t server);
bool reach_was_open(const reach_t *reach, int64_t at_ms);
bool reach_may_be_open(const reach_t *reach, int64_t now_ms);
bool reach_is_lost(const reach_t *reach);
const char *reach_state_name(reach_state_t state);

#endif
