#include "server-changes.h"

void
server_changes_init(server_changes_t *changes)
{
    CK_STAILQ_INIT(&changes->queue);
    changes->count = 0;
}

/* Adds a server at the end, unless it is queued. */
void
server_changes_add(server_changes_t *changes, server_change_t *change)
{
    if (change->queued) {
        return;
    }
    change->queued = true;
    CK_STAILQ_INSERT_TAIL(&changes->queue, change, entry);
    changes->count++;
}

/* Removes the first server and returns it, or NULL if there is none. */
struct server *
server_changes_take(server_changes_t *changes)
{
    server_change_t *change = CK_STAILQ_FIRST(&changes->queue);
    if (change == NULL) {
        return NULL;
    }
    CK_STAILQ_REMOVE_HEAD(&changes->queue, entry);
    change->queued = false;
    changes->count--;
    return change->server;
}

/* Removes a server that is to be freed.  Passes over the servers before it;
 * servers are seldom freed. */
void
server_changes_remove(server_changes_t *changes, server_change_t *change)
{
    if (change->queued) {
        CK_STAILQ_REMOVE(&changes->queue, change, server_change, entry);
        change->queued = false;
        changes->count--;
    }
}
