#ifndef CELERYSPOOL_SERVER_CHANGES_H
#define CELERYSPOOL_SERVER_CHANGES_H

/* A queue of the servers that may have something to announce to other hosts,
 * each at most once, in the order in which they were added.  No I/O. */

#include "../kernel/base.h"

#include <ck_queue.h>

struct server;

/* A server's place in the queue. */
typedef struct server_change {
    CK_STAILQ_ENTRY(server_change) entry;
    struct server *server;
    bool queued;
} server_change_t;

typedef struct {
    CK_STAILQ_HEAD(server_change_queue, server_change) queue;
    size_t count;
} server_changes_t;

void server_changes_init(server_changes_t *changes);
void server_changes_add(server_changes_t *changes, server_change_t *change);
struct server *server_changes_take(server_changes_t *changes);
void server_changes_remove(server_changes_t *changes, server_change_t *change);

#endif
