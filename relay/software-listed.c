#include "software-listed.h"

/* Adds a server's version unless it is one of the first.  Only so many can be
 * recorded, and recording one twice has no effect, so later ones are not
 * compared. */
static void
add_version(software_listed_t *listed, const server_t *server)
{
    const software_sighting_t version = {
        .service = str_hash(server->info.service, 0),
        .software = server->info.software};
    for (size_t i = 0; i < listed->count && i < SOFTWARE_SEEN_MAX; i++) {
        if (listed->list[i].service == version.service &&
            listed->list[i].software == version.software) {
            return;
        }
    }
    listed->list[listed->count++] = version;
}

/* Lists the versions again if those of the servers have changed. */
void
software_listed_update(software_listed_t *listed, servers_t *servers)
{
    const server_t *server;
    if (!servers->software_changed) {
        return;
    }
    servers->software_changed = false;
    listed->count = 0;
    CK_LIST_FOREACH (server, &servers->list, entry) {
        if (!server->removed) {
            add_version(listed, server);
        }
    }
}

/* Records that the versions are listed now. */
void
software_listed_note(const software_listed_t *listed, software_seen_t *seen,
                     int64_t now_ms)
{
    for (size_t i = 0; i < listed->count; i++) {
        software_sighting_t sighting = listed->list[i];
        sighting.seen_ms = now_ms;
        software_seen_note(seen, &sighting);
    }
}
