#include "server-queue.h"

void
server_queue_init(server_queue_t *queue)
{
    CK_STAILQ_INIT(&queue->list);
    queue->count = 0;
}

/* Adds a server at the end, unless it is queued. */
void
server_queue_add(server_queue_t *queue, server_queue_entry_t *entry)
{
    if (entry->queued) {
        return;
    }
    entry->queued = true;
    CK_STAILQ_INSERT_TAIL(&queue->list, entry, entry);
    queue->count++;
}

/* Removes the first server and returns it, or NULL if there is none. */
struct server *
server_queue_take(server_queue_t *queue)
{
    server_queue_entry_t *entry = CK_STAILQ_FIRST(&queue->list);
    if (entry == NULL) {
        return NULL;
    }
    CK_STAILQ_REMOVE_HEAD(&queue->list, entry);
    entry->queued = false;
    queue->count--;
    return entry->server;
}

/* Removes a server that is to be freed.  Passes over the servers before it;
 * servers are seldom freed. */
void
server_queue_remove(server_queue_t *queue, server_queue_entry_t *entry)
{
    if (entry->queued) {
        CK_STAILQ_REMOVE(&queue->list, entry, server_queue_entry, entry);
        entry->queued = false;
        queue->count--;
    }
}
