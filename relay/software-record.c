#include "software-record.h"

/* A record that was read longer ago is not relied on, ms: all hosts read it
 * each few seconds. */
#define RECORD_AGE_MS_MAX 10000
/* A version that is missing from the record for longer, ms, is used
 * nevertheless: the record may not be writable. */
#define AVOID_MS_MAX 5000

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

static bool
has_listed_version(const software_record_t *record,
                   const software_listed_t *listed, uint64_t service,
                   int64_t now_ms)
{
    for (size_t i = 0; i < listed->count && i < SOFTWARE_SEEN_MAX; i++) {
        const software_sighting_t *version = &listed->list[i];
        if (version->service == service &&
            software_record_lists(record, service, version->software,
                                  now_ms)) {
            return true;
        }
    }
    return false;
}

/* Compares the record with the versions of the listed servers. */
void
software_record_compare(software_record_t *record,
                        const software_listed_t *listed, int64_t now_ms)
{
    bool lacks = false;
    record->avoided_count = 0;
    for (size_t i = 0; i < listed->count && i < SOFTWARE_SEEN_MAX; i++) {
        const software_sighting_t *version = &listed->list[i];
        if (software_record_lists(record, version->service, version->software,
                                  now_ms)) {
            continue;
        }
        lacks = true;
        if (has_listed_version(record, listed, version->service, now_ms)) {
            record->avoided[record->avoided_count++] = *version;
        }
    }
    if (!lacks) {
        record->lacks_since_ms = 0;
    }
    else if (record->lacks_since_ms == 0) {
        record->lacks_since_ms = now_ms;
    }
    if (lacks && !software_record_lacks(record, now_ms)) {
        record->avoided_count = 0;
    }
}

/* Whether the record has lately begun to lack a listed version, so that it is
 * to be written, or read, early. */
bool
software_record_lacks(const software_record_t *record, int64_t now_ms)
{
    return record->lacks_since_ms != 0 &&
           now_ms - record->lacks_since_ms < AVOID_MS_MAX;
}

/* Whether streams do not begin at a version of a service yet. */
bool
software_record_avoids(const software_record_t *record, uint64_t service,
                       uint64_t software)
{
    for (size_t i = 0; i < record->avoided_count; i++) {
        if (record->avoided[i].software == software &&
            record->avoided[i].service == service) {
            return true;
        }
    }
    return false;
}
