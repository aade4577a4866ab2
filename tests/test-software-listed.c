#include "../relay/software-listed.h"
#include "test.h"

#include <stdio.h>

#define SERVERS 200
#define STEPS 3000

static server_t *
put(servers_t *servers, int i, const char *service, uint64_t software,
    int64_t started_ms)
{
    server_entry_t entry = {
        .addr = "127.0.0.1:1", .software = software, .started_ms = started_ms};
    (void)snprintf(entry.id, sizeof(entry.id), "e%d", i);
    str_copy(entry.service, sizeof(entry.service), service);
    return servers_put(servers, &entry, 0);
}

/* Records the versions of all servers by a scan. */
static void
note_all(const servers_t *servers, software_seen_t *seen, int64_t now_ms)
{
    const server_t *server;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (!server->removed) {
            const software_sighting_t sighting = {
                .service = str_hash(server->info.service, 0),
                .software = server->info.software,
                .seen_ms = now_ms};
            software_seen_note(seen, &sighting);
        }
    }
}

/* Changes the version, the service or the presence of a random server. */
static void
change_any(servers_t *servers, rng_t *rng, uint64_t versions, int64_t now_ms)
{
    static const char *const services[] = {"llm", "tts"};
    char id[CS_NAME_MAX];
    int i = (int)rng_below(rng, SERVERS);
    (void)snprintf(id, sizeof(id), "e%d", i);
    server_t *server = servers_find(servers, id);
    switch (rng_below(rng, 4)) {
        case 0:
            if (server != NULL) {
                servers_mark_removed(servers, server);
            }
            break;
        case 1:
            if (server != NULL) {
                server_confirm_software(server, now_ms);
            }
            break;
        default:
            (void)put(servers, i, services[rng_below(rng, 2)],
                      1 + rng_below(rng, versions), now_ms);
            break;
    }
}

static void
compare_with_scan(uint64_t versions)
{
    static software_seen_t by_scan;
    static software_seen_t by_list;
    static software_listed_t listed;
    servers_t *servers = servers_new();
    rng_t rng = {1};
    by_scan = (software_seen_t){0};
    by_list = (software_seen_t){0};
    listed = (software_listed_t){0};
    for (int64_t now = 1; now <= STEPS; now++) {
        if (rng_below(&rng, 2) == 0) {
            change_any(servers, &rng, versions, now);
        }
        note_all(servers, &by_scan, now);
        software_listed_update(&listed, servers);
        software_listed_note(&listed, &by_list, now);
        software_seen_cover(&by_scan, now, now);
        software_seen_cover(&by_list, now, now);
        software_seen_forget(&by_scan, now - 100);
        software_seen_forget(&by_list, now - 100);
        ck_assert_uint_eq(by_list.count, by_scan.count);
        ck_assert_mem_eq(by_list.list, by_scan.list,
                         by_scan.count * sizeof(by_scan.list[0]));
        ck_assert(by_list.overflow == by_scan.overflow);
        ck_assert_int_eq(by_list.since_ms, by_scan.since_ms);
        ck_assert_int_eq(by_list.blind_until_ms, by_scan.blind_until_ms);
        if (rng_below(&rng, 3) == 0) {
            servers_sweep(servers);
        }
    }
    servers_free(servers);
}

/* Guards against a version that is recorded although no server has it any
 * more, or not recorded although one has: a stream would be continued at
 * another version, or not at all. */
START_TEST(versions_are_those_of_a_scan)
{
    compare_with_scan(6);
}
END_TEST

/* The same with more versions than can be recorded. */
START_TEST(too_many_versions_are_those_of_a_scan)
{
    compare_with_scan(100000);
}
END_TEST

TEST_MAIN("software-listed", versions_are_those_of_a_scan,
          too_many_versions_are_those_of_a_scan)
