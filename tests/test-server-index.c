#include "../relay/servers.h"
#include "test.h"

#include <stdio.h>

/* Two ids with the same hash of 32 bits. */
#define COLLIDING_ID_1 "engine-162102"
#define COLLIDING_ID_2 "engine-251825"

static server_t *
add(servers_t *servers, const char *id)
{
    server_entry_t entry = {.service = "llm", .addr = "127.0.0.1:1"};
    str_copy(entry.id, sizeof(entry.id), id);
    return servers_put(servers, &entry, 0);
}

static server_t *
add_numbered(servers_t *servers, int i)
{
    char id[CS_NAME_MAX];
    (void)snprintf(id, sizeof(id), "engine-%d", i);
    return add(servers, id);
}

/* Returns whether lookups by id and by hash both find a server. */
static bool
is_found(servers_t *servers, const server_t *server)
{
    return servers_find(servers, server->info.id) == server &&
           servers_find_by_id_hash(servers, server->id_hash) == server;
}

/* Guards against servers of one chain that hide each other: a full table has
 * many chains of several. */
START_TEST(each_server_of_a_full_table_is_found)
{
    servers_t *servers = servers_new();
    for (int i = 0; i < SERVER_NUMBERS_MAX; i++) {
        ck_assert_ptr_nonnull(add_numbered(servers, i));
    }
    ck_assert_ptr_null(add_numbered(servers, SERVER_NUMBERS_MAX));
    ck_assert_ptr_null(servers_find(servers, "engine-9999"));
    server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        ck_assert(is_found(servers, server));
    }
    servers_free(servers);
}
END_TEST

/* Guards against a removed server that a lookup returns, or that hides its
 * successor: it stays in the table while a request uses it. */
START_TEST(a_removed_server_does_not_hide_one_with_its_id)
{
    servers_t *servers = servers_new();
    server_t *old = add(servers, "a");
    uint32_t id_hash = old->id_hash;
    server_add_request(old, 0, 0);
    servers_mark_removed(servers, old);
    ck_assert_ptr_null(servers_find(servers, "a"));
    ck_assert_ptr_null(servers_find_by_id_hash(servers, id_hash));
    server_t *new = add(servers, "a");
    ck_assert_ptr_ne(new, old);
    ck_assert_uint_eq(new->id_hash, id_hash);
    ck_assert(is_found(servers, new));
    servers_sweep(servers);
    ck_assert(is_found(servers, new));
    servers_mark_removed(servers, new);
    ck_assert_ptr_null(servers_find(servers, "a"));
    server_remove_request(old);
    servers_sweep(servers);
    ck_assert_uint_eq(servers->count, 0);
    ck_assert(is_found(servers, add(servers, "a")));
    servers_free(servers);
}
END_TEST

/* Guards against a freed server that stays in the index when its number and
 * its place in a chain are used again. */
START_TEST(a_number_is_used_again_by_another_server)
{
    servers_t *servers = servers_new();
    server_t *first = add(servers, "a");
    uint16_t number = first->number;
    uint32_t id_hash = first->id_hash;
    servers_mark_removed(servers, first);
    servers_sweep(servers);
    server_t *other = add(servers, "b");
    ck_assert_uint_eq(other->number, number);
    ck_assert_ptr_null(servers_find(servers, "a"));
    ck_assert_ptr_null(servers_find_by_id_hash(servers, id_hash));
    ck_assert(is_found(servers, other));
    servers_free(servers);
}
END_TEST

/* Guards against one server that is taken for another with the same hash.  A
 * lookup by hash finds the newer one, and the other once that is removed. */
START_TEST(ids_with_one_hash_are_told_apart)
{
    servers_t *servers = servers_new();
    server_t *first = add(servers, COLLIDING_ID_1);
    ck_assert_ptr_null(servers_find(servers, COLLIDING_ID_2));
    server_t *second = add(servers, COLLIDING_ID_2);
    ck_assert_ptr_ne(first, second);
    ck_assert_uint_eq(first->id_hash, second->id_hash);
    ck_assert_ptr_eq(servers_find(servers, COLLIDING_ID_1), first);
    ck_assert(is_found(servers, second));
    servers_mark_removed(servers, second);
    ck_assert_ptr_null(servers_find(servers, COLLIDING_ID_2));
    ck_assert(is_found(servers, first));
    servers_sweep(servers);
    ck_assert(is_found(servers, first));
    servers_free(servers);
}
END_TEST

TEST_MAIN("server-index", each_server_of_a_full_table_is_found,
          a_removed_server_does_not_hide_one_with_its_id,
          a_number_is_used_again_by_another_server,
          ids_with_one_hash_are_told_apart)
