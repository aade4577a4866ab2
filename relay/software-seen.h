#ifndef CELERYSPOOL_SOFTWARE_SEEN_H
#define CELERYSPOOL_SOFTWARE_SEEN_H

/* The software versions that each service had lately.  Where it was one alone,
 * all its streams began at it.  No I/O and no clock; times are of the wall
 * clock, so that hosts can exchange them. */

#include "../kernel/base.h"

/* Versions of all services that are remembered. */
#define SOFTWARE_SEEN_MAX 128

typedef struct {
    uint64_t service; /* hash of its name */
    uint64_t software;
    int64_t seen_ms; /* when a server with it was last listed */
} software_sighting_t;

typedef struct {
    software_sighting_t list[SOFTWARE_SEEN_MAX];
    size_t count;
    bool overflow;          /* some versions were not recorded */
    int64_t since_ms;       /* all since then are recorded; 0: nothing is */
    int64_t until_ms;       /* all until then are recorded */
    int64_t blind_until_ms; /* until then some were not recorded */
} software_seen_t;

/* What is known of the versions that some services had since a time. */
typedef enum {
    VERSIONS_ONE,
    VERSIONS_SEVERAL,
    VERSIONS_NONE,       /* no server of them was listed */
    VERSIONS_NOT_COVERED /* not all of that time is covered */
} versions_verdict_t;

void software_seen_note(software_seen_t *seen,
                        const software_sighting_t *sighting);
void software_seen_cover(software_seen_t *seen, int64_t since_ms,
                         int64_t until_ms);
void software_seen_forget(software_seen_t *seen, int64_t before_ms);
bool software_seen_several(const software_seen_t *seen, uint64_t service,
                           int64_t since_ms);
versions_verdict_t software_seen_judge(const software_seen_t *seen,
                                       const uint64_t *services, size_t count,
                                       int64_t since_ms, int64_t now_ms,
                                       uint64_t *only);
uint64_t software_seen_only(const software_seen_t *seen,
                            const uint64_t *services, size_t count,
                            int64_t since_ms, int64_t now_ms);
const char *versions_verdict_name(versions_verdict_t verdict);

#endif
