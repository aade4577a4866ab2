#include "../relay/servers.h"
#include "test.h"

static const server_entry_t on_old = {.id = "a",
                                      .service = "llm",
                                      .addr = "127.0.0.1:1",
                                      .engine = true,
                                      .model = "m",
                                      .weights = 1};

/* Callers wait at few servers while a third of the fleet stands idle: a host
 * was told that a server loads weights, the platform's list told both it and
 * the host that gives the orders that the load was over, so nobody said so,
 * and the server stayed unused until the word expired. */
START_TEST(a_server_that_has_loaded_is_used_at_once)
{
    servers_t *servers = servers_new();
    server_entry_t entry = on_old;
    server_t *server = servers_put(servers, &entry);
    server->loading_ms = 5000;
    (void)servers_put(servers, &entry);
    ck_assert_int_eq(server->loading_ms, 5000);
    entry.weights = 2;
    (void)servers_put(servers, &entry);
    ck_assert_int_eq(server->loading_ms, 0);
    servers_free(servers);
}
END_TEST

TEST_MAIN("servers", a_server_that_has_loaded_is_used_at_once)
