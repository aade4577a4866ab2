#include "server-index.h"

#include "servers.h"

#include <string.h>

/* Returns the chain of the servers with a hash. */
static const struct server_chain *
find_chain(const server_index_t *index, uint32_t id_hash)
{
    return &index->chains[id_hash % SERVER_INDEX_CHAINS];
}

void
server_index_init(server_index_t *index)
{
    for (size_t i = 0; i < SERVER_INDEX_CHAINS; i++) {
        CK_LIST_INIT(&index->chains[i]);
    }
}

/* Adds a server under its id_hash, which must not change until it is removed.
 * Of several servers with a hash, the one added last is found first. */
void
server_index_add(server_index_t *index, server_t *server)
{
    struct server_chain *chain =
        &index->chains[server->id_hash % SERVER_INDEX_CHAINS];
    CK_LIST_INSERT_HEAD(chain, server, index_entry);
}

void
server_index_remove(server_t *server)
{
    CK_LIST_REMOVE(server, index_entry);
}

/* Returns the listed server with an id, or NULL.  A removed server with the
 * same id may remain in the table while requests use it. */
server_t *
server_index_find(const server_index_t *index, const char *id)
{
    uint32_t id_hash = (uint32_t)str_hash(id, 0);
    server_t *server;
    CK_LIST_FOREACH (server, find_chain(index, id_hash), index_entry) {
        if (server->id_hash == id_hash && !server->removed &&
            strcmp(server->info.id, id) == 0) {
            return server;
        }
    }
    return NULL;
}

/* Returns the listed server whose id has a hash, or NULL. */
server_t *
server_index_find_hash(const server_index_t *index, uint32_t id_hash)
{
    server_t *server;
    CK_LIST_FOREACH (server, find_chain(index, id_hash), index_entry) {
        if (server->id_hash == id_hash && !server->removed) {
            return server;
        }
    }
    return NULL;
}
