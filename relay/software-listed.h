#ifndef CELERYSPOOL_SOFTWARE_LISTED_H
#define CELERYSPOOL_SOFTWARE_LISTED_H

/* The software versions that the listed servers have, so that not every server
 * has to be looked at to record them again.  No I/O and no clock. */

#include "servers.h"
#include "software-seen.h"

typedef struct {
    software_sighting_t list[SERVER_NUMBERS_MAX];
    size_t count;
} software_listed_t;

void software_listed_update(software_listed_t *listed, servers_t *servers);
void software_listed_note(const software_listed_t *listed,
                          software_seen_t *seen, int64_t now_ms);

#endif
