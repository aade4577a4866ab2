#ifndef CELERYSPOOL_SOFTWARE_RECORD_H
#define CELERYSPOOL_SOFTWARE_RECORD_H

/* The software versions that the store's record lists as current, as last
 * read.  The origin of a stream that begins at another version is recorded by
 * itself, so one that is recorded nowhere began at a version of the record.
 * Streams do not begin at a version that is new to the record while their
 * service has others: their host might end before their origins are written.
 * No I/O and no clock. */

#include "software-listed.h"

typedef struct {
    software_sighting_t list[SOFTWARE_SEEN_MAX];
    size_t count;
    int64_t read_ms; /* when it was requested, monotonic; 0: never */

    software_sighting_t avoided[SOFTWARE_SEEN_MAX];
    size_t avoided_count;
    int64_t lacks_since_ms; /* a listed version is missing since; 0: none is */
} software_record_t;

void software_record_begin(software_record_t *record, int64_t now_ms);
void software_record_add(software_record_t *record,
                         const software_sighting_t *sighting,
                         int64_t until_ms);
bool software_record_lists(const software_record_t *record, uint64_t service,
                           uint64_t software, int64_t now_ms);
void software_record_compare(software_record_t *record,
                             const software_listed_t *listed, int64_t now_ms);
bool software_record_lacks(const software_record_t *record, int64_t now_ms);
bool software_record_avoids(const software_record_t *record, uint64_t service,
                            uint64_t software);

#endif
