#ifndef CELERYSPOOL_SERVER_QUEUE_H
#define CELERYSPOOL_SERVER_QUEUE_H

/* A queue of servers that a tick has to look at, each at most once, in the
 * order in which they were added.  No I/O. */

#include "../kernel/base.h"

#include <ck_queue.h>

struct server;

/* A server's place in the queue. */
typedef struct server_queue_entry {
    CK_STAILQ_ENTRY(server_queue_entry) entry;
    struct server *server;
    bool queued;
} server_queue_entry_t;

typedef struct {
    CK_STAILQ_HEAD(server_queue_list, server_queue_entry) list;
    size_t count;
} server_queue_t;

void server_queue_init(server_queue_t *queue);
void server_queue_add(server_queue_t *queue, server_queue_entry_t *entry);
struct server *server_queue_take(server_queue_t *queue);
void server_queue_remove(server_queue_t *queue, server_queue_entry_t *entry);

#endif
