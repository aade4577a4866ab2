#include "software-seen.h"

#include "stream-origins.h"

/* Longest gap between two spans that are taken for one, ms: the entry of a
 * server is listed for longer, whatever ends it. */
#define GAP_MS_MAX 4000

/* Records that a server of a service with a version is listed. */
void
software_seen_note(software_seen_t *seen, const software_sighting_t *sighting)
{
    for (size_t i = 0; i < seen->count; i++) {
        software_sighting_t *known = &seen->list[i];
        if (known->service == sighting->service &&
            known->software == sighting->software) {
            if (sighting->seen_ms > known->seen_ms) {
                known->seen_ms = sighting->seen_ms;
            }
            return;
        }
    }
    if (seen->count == SOFTWARE_SEEN_MAX) {
        seen->overflow = true;
        return;
    }
    seen->list[seen->count++] = *sighting;
}

/* Records that all versions of a span of time are known, by this host or by
 * another one before it. */
void
software_seen_cover(software_seen_t *seen, int64_t since_ms, int64_t until_ms)
{
    if (since_ms <= seen->blind_until_ms) {
        since_ms = seen->blind_until_ms + 1;
    }
    if (until_ms < since_ms) {
        return;
    }
    bool joins = seen->since_ms != 0 &&
                 since_ms <= seen->until_ms + GAP_MS_MAX &&
                 seen->since_ms <= until_ms + GAP_MS_MAX;
    if (!joins) {
        if (seen->since_ms == 0 || until_ms > seen->until_ms) {
            seen->since_ms = since_ms;
            seen->until_ms = until_ms;
        }
        return;
    }
    seen->since_ms = since_ms < seen->since_ms ? since_ms : seen->since_ms;
    seen->until_ms = until_ms > seen->until_ms ? until_ms : seen->until_ms;
}

/* Forgets versions that no server has had since a time. */
void
software_seen_forget(software_seen_t *seen, int64_t before_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < seen->count; i++) {
        if (seen->list[i].seen_ms >= before_ms) {
            seen->list[kept++] = seen->list[i];
        }
    }
    seen->count = kept;
    if (seen->overflow && kept < SOFTWARE_SEEN_MAX) {
        seen->overflow = false;
        seen->since_ms = seen->until_ms;
        seen->blind_until_ms = seen->until_ms - 1;
    }
    if (seen->since_ms != 0 && seen->since_ms < before_ms) {
        seen->since_ms = before_ms;
    }
}

/* Whether a service had more than one version since a time, as far as is
 * known. */
bool
software_seen_several(const software_seen_t *seen, uint64_t service,
                      int64_t since_ms)
{
    size_t versions = 0;
    for (size_t i = 0; i < seen->count; i++) {
        const software_sighting_t *known = &seen->list[i];
        versions += known->service == service && known->seen_ms >= since_ms;
    }
    return versions > 1;
}

static bool
contains(const uint64_t *list, size_t count, uint64_t value)
{
    for (size_t i = 0; i < count; i++) {
        if (list[i] == value) {
            return true;
        }
    }
    return false;
}

/* Finds out how many versions some services had since a time, and sets the
 * only one if it was one, otherwise SOFTWARE_UNKNOWN. */
versions_verdict_t
software_seen_judge(const software_seen_t *seen, const uint64_t *services,
                    size_t count, int64_t since_ms, int64_t now_ms,
                    uint64_t *only)
{
    versions_verdict_t verdict = VERSIONS_NONE;
    *only = SOFTWARE_UNKNOWN;
    if (seen->overflow || seen->since_ms == 0 || seen->since_ms > since_ms ||
        seen->until_ms + GAP_MS_MAX < now_ms) {
        return VERSIONS_NOT_COVERED;
    }
    for (size_t i = 0; i < seen->count; i++) {
        const software_sighting_t *known = &seen->list[i];
        if (known->seen_ms < since_ms ||
            !contains(services, count, known->service)) {
            continue;
        }
        if (verdict == VERSIONS_ONE && *only != known->software) {
            *only = SOFTWARE_UNKNOWN;
            return VERSIONS_SEVERAL;
        }
        verdict = VERSIONS_ONE;
        *only = known->software;
    }
    return verdict;
}

/* Returns the only version that some services had since a time, or
 * SOFTWARE_UNKNOWN if they had several or what they had is not known. */
uint64_t
software_seen_only(const software_seen_t *seen, const uint64_t *services,
                   size_t count, int64_t since_ms, int64_t now_ms)
{
    uint64_t only;
    (void)software_seen_judge(seen, services, count, since_ms, now_ms, &only);
    return only;
}

/* Returns the name of a verdict for logs. */
const char *
versions_verdict_name(versions_verdict_t verdict)
{
    switch (verdict) {
        case VERSIONS_ONE:
            return "one";
        case VERSIONS_SEVERAL:
            return "several";
        case VERSIONS_NONE:
            return "none";
        case VERSIONS_NOT_COVERED:
            return "not-covered";
    }
    return "none";
}
