#ifndef CELERYSPOOL_SOFTWARE_RECORD_H
#define CELERYSPOOL_SOFTWARE_RECORD_H

/* The software versions that the store's record lists as current, as last
 * read.  The origin of a stream that begins at another version is recorded by
 * itself, so one that is recorded nowhere began at a version of the record.
 * No I/O and no clock. */

#include "software-seen.h"

typedef struct {
    software_sighting_t list[SOFTWARE_SEEN_MAX];
    size_t count;
    int64_t read_ms; /* when it was requested, monotonic; 0: never */
} software_record_t;

void software_record_begin(software_record_t *record, int64_t now_ms);
void software_record_add(software_record_t *record,
                         const software_sighting_t *sighting,
                         int64_t until_ms);
bool software_record_lists(const software_record_t *record, uint64_t service,
                           uint64_t software, int64_t now_ms);

#endif
