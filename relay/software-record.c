#include "software-record.h"

/* A record that was read longer ago is not relied on, ms: all hosts read it
 * each few seconds. */
#define RECORD_AGE_MS_MAX 10000

/* Starts over with a record that was requested at a time. */
void
software_record_begin(software_record_t *record, int64_t now_ms)
{
    record->count = 0;
    record->read_ms = now_ms;
}

/* Adds a version of the record, which is complete until a time, if it was
 * listed then. */
void
software_record_add(software_record_t *record,
                    const software_sighting_t *sighting, int64_t until_ms)
{
    if (sighting->seen_ms < until_ms || record->count == SOFTWARE_SEEN_MAX) {
        return;
    }
    record->list[record->count++] = *sighting;
}

/* Whether the record lists a version of a service as current. */
bool
software_record_lists(const software_record_t *record, uint64_t service,
                      uint64_t software, int64_t now_ms)
{
    if (record->read_ms == 0 || now_ms - record->read_ms > RECORD_AGE_MS_MAX) {
        return false;
    }
    for (size_t i = 0; i < record->count; i++) {
        if (record->list[i].service == service &&
            record->list[i].software == software) {
            return true;
        }
    }
    return false;
}
