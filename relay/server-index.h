#ifndef CELERYSPOOL_SERVER_INDEX_H
#define CELERYSPOOL_SERVER_INDEX_H

/* Index of the server table by the hash of the servers' ids.  No I/O. */

#include "../kernel/base.h"

#include <ck_queue.h>

/* A power of two, above the number of servers, so that most chains hold one
 * server at most. */
#define SERVER_INDEX_CHAINS 2048

struct server;

typedef struct {
    CK_LIST_HEAD(server_chain, server) chains[SERVER_INDEX_CHAINS];
} server_index_t;

void server_index_init(server_index_t *index);
void server_index_add(server_index_t *index, struct server *server);
void server_index_remove(struct server *server);
struct server *server_index_find(const server_index_t *index, const char *id);
struct server *server_index_find_hash(const server_index_t *index,
                                      uint32_t id_hash);

#endif
