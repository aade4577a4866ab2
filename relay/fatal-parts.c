#include "fatal-parts.h"

#include <string.h>

/* Crashes that block a part, at least MOMENT_MS apart: servers that lose power
 * together show nothing about the requests that they ran. */
#define BLOCK_CRASHES_MIN 3
/* The same for a part that an answer has cleared recently. */
#define BLOCK_CRASHES_CLEARED_MIN 6
/* The same for a part that is in more than this share of a host's requests. */
#define BLOCK_CRASHES_COMMON_MIN 12
#define COMMON_SHARE 0.75
#define MOMENT_MS 150
/* A part is blocked if it was involved in more than this share of all crashes
 * since its first one. */
#define BLOCK_SHARE 0.5
/* Maximum number of servers that are counted for that. */
#define SERVERS_COMPARED_MAX 64
/* Older crashes no longer count. */
#define CRASH_VALID_MS 60000
/* Time until the first trial of a blocked part, and the factor for each
 * further one: a part that goes on to crash servers crashes three in four
 * minutes. */
#define TRIAL_AFTER_MS 10000
#define TRIAL_FACTOR 5
#define TRIALS_MAX 4
/* Retry-After of a request with a blocked part. */
#define RETRY_AFTER_MS_MIN 1000
#define RETRY_AFTER_MS_MAX 30000

void
fatal_parts_init(fatal_parts_t *parts)
{
    memset(parts, 0, sizeof(*parts));
    CK_LIST_INIT(&parts->used);
}

static fatal_part_t *
find_part(fatal_parts_t *parts, uint64_t hash)
{
    fatal_part_t *part;
    CK_LIST_FOREACH (part, &parts->used, entry) {
        if (part->part == hash) {
            return part;
        }
    }
    return NULL;
}

/* Returns an element for a new part: a free one, or the one of a part that is
 * not blocked and was updated the longest ago.  NULL if all are blocked. */
static fatal_part_t *
take_element(fatal_parts_t *parts)
{
    fatal_part_t *oldest = NULL;
    for (size_t i = 0; i < FATAL_PARTS_MAX; i++) {
        fatal_part_t *part = &parts->items[i];
        if (part->part == 0) {
            return part;
        }
        if (!part->blocked &&
            (oldest == NULL || part->updated_ms < oldest->updated_ms)) {
            oldest = part;
        }
    }
    if (oldest != NULL) {
        CK_LIST_REMOVE(oldest, entry);
    }
    return oldest;
}

/* Returns when the latest known answer to a request with a part began, 0 if
 * none is known. */
static int64_t
find_answer_ms(const fatal_parts_t *parts, uint64_t hash)
{
    const fatal_answer_t *answer = &parts->answers[hash % FATAL_ANSWERS_MAX];
    return answer->part == hash ? answer->began_ms : 0;
}

static void
note_answer(fatal_parts_t *parts, uint64_t hash, int64_t began_ms)
{
    if (began_ms > find_answer_ms(parts, hash)) {
        parts->answers[hash % FATAL_ANSWERS_MAX] =
            (fatal_answer_t){hash, began_ms};
    }
}

static fatal_part_t *
get_part(fatal_parts_t *parts, uint64_t hash)
{
    fatal_part_t *part = find_part(parts, hash);
    if (part != NULL) {
        return part;
    }
    part = take_element(parts);
    if (part != NULL) {
        *part = (fatal_part_t){.part = hash,
                               .cleared_ms = find_answer_ms(parts, hash),
                               .clear_announced = true};
        CK_LIST_INSERT_HEAD(&parts->used, part, entry);
    }
    return part;
}

static bool
has_crash(const fatal_part_t *part, uint32_t server)
{
    for (size_t i = 0; i < part->crash_count; i++) {
        if (part->crashes[i].server == server) {
            return true;
        }
    }
    return false;
}

/* Removes the crashes before a time. */
static void
remove_crashes(fatal_part_t *part, int64_t before_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < part->crash_count; i++) {
        if (part->crashes[i].at_ms >= before_ms) {
            part->crashes[kept] = part->crashes[i];
            part->announced[kept] = part->announced[i];
            kept++;
        }
    }
    part->crash_count = kept;
}

static void
remove_oldest_crash(fatal_part_t *part)
{
    size_t oldest = 0;
    for (size_t i = 1; i < part->crash_count; i++) {
        if (part->crashes[i].at_ms < part->crashes[oldest].at_ms) {
            oldest = i;
        }
    }
    part->crash_count--;
    part->crashes[oldest] = part->crashes[part->crash_count];
    part->announced[oldest] = part->announced[part->crash_count];
}

/* Adds the crash of a server unless it is known or the part was cleared since.
 */
static void
add_crash(fatal_part_t *part, uint32_t server, int64_t at_ms, int64_t now_ms)
{
    if (!part->blocked) {
        remove_crashes(part, now_ms - CRASH_VALID_MS);
    }
    if (has_crash(part, server) || at_ms <= part->cleared_ms) {
        return;
    }
    if (part->crash_count == FATAL_CRASHES_MAX) {
        remove_oldest_crash(part);
    }
    part->crashes[part->crash_count] = (fatal_crash_t){server, at_ms};
    part->announced[part->crash_count] = false;
    part->crash_count++;
    part->updated_ms = now_ms;
}

/* Returns the time of the earliest evidence against a part; INT64_MAX if there
 * is none. */
static int64_t
evidence_since_ms(const fatal_part_t *part)
{
    int64_t since_ms = part->blocked ? part->blocked_ms : INT64_MAX;
    for (size_t i = 0; i < part->crash_count; i++) {
        int64_t at_ms = part->crashes[i].at_ms;
        since_ms = at_ms < since_ms ? at_ms : since_ms;
    }
    return since_ms;
}

/* Clears a part by an answer that began at a time. */
static void
clear_part(fatal_part_t *part, int64_t began_ms, int64_t now_ms)
{
    if (began_ms <= part->cleared_ms || began_ms < evidence_since_ms(part)) {
        return;
    }
    part->cleared_ms = began_ms;
    part->clear_announced = false;
    part->updated_ms = now_ms;
    if (part->blocked) {
        part->blocked = false;
        part->crash_count = 0;
        return;
    }
    remove_crashes(part, began_ms);
}

/* Whether a blocked part was involved in a server's crash, which explains it.
 */
static bool
is_explained(const fatal_parts_t *parts, uint32_t server)
{
    const fatal_part_t *part;
    CK_LIST_FOREACH (part, &parts->used, entry) {
        if (part->blocked && has_crash(part, server)) {
            return true;
        }
    }
    return false;
}

/* Returns the number of crashes, at least MOMENT_MS apart, that no blocked
 * part explains. */
static size_t
count_moments(const fatal_parts_t *parts, const fatal_part_t *part)
{
    size_t count = 0;
    for (size_t i = 0; i < part->crash_count; i++) {
        bool own = !is_explained(parts, part->crashes[i].server);
        for (size_t j = 0; j < i; j++) {
            int64_t apart = part->crashes[i].at_ms - part->crashes[j].at_ms;
            own = own && (apart >= MOMENT_MS || apart <= -MOMENT_MS);
        }
        count += own ? 1 : 0;
    }
    return count;
}

/* Returns the number of servers that have crashed since a time, at most
 * SERVERS_COMPARED_MAX. */
static size_t
count_crashed_servers(const fatal_parts_t *parts, int64_t since_ms)
{
    uint32_t servers[SERVERS_COMPARED_MAX];
    size_t count = 0;
    const fatal_part_t *part;
    CK_LIST_FOREACH (part, &parts->used, entry) {
        for (size_t i = 0; i < part->crash_count; i++) {
            bool known = part->crashes[i].at_ms < since_ms;
            for (size_t j = 0; j < count && !known; j++) {
                known = servers[j] == part->crashes[i].server;
            }
            if (!known && count < SERVERS_COMPARED_MAX) {
                servers[count++] = part->crashes[i].server;
            }
        }
    }
    return count;
}

static bool
was_cleared(const fatal_part_t *part, int64_t now_ms)
{
    return part->cleared_ms != 0 && now_ms - part->cleared_ms < CRASH_VALID_MS;
}

/* Whether most requests of this host have a part.  Then almost every crash
 * involves it. */
static bool
is_common(const fatal_parts_t *parts, const fatal_part_t *part)
{
    size_t known = parts->request_count < FATAL_REQUESTS_MAX
                       ? parts->request_count
                       : FATAL_REQUESTS_MAX;
    size_t with_part = 0;
    for (size_t i = 0; i < known; i++) {
        const fatal_request_t *request = &parts->requests[i];
        for (size_t j = 0; j < request->count; j++) {
            with_part += request->parts[j] == part->part ? 1 : 0;
        }
    }
    return (double)with_part > (double)known * COMMON_SHARE;
}

/* Returns the number of crashes that block a part. */
static size_t
crashes_needed(const fatal_parts_t *parts, const fatal_part_t *part,
               int64_t now_ms)
{
    if (is_common(parts, part)) {
        return BLOCK_CRASHES_COMMON_MIN;
    }
    return was_cleared(part, now_ms) ? BLOCK_CRASHES_CLEARED_MIN
                                     : BLOCK_CRASHES_MIN;
}

/* Whether there is enough evidence that a part crashes servers. */
static bool
is_fatal(const fatal_parts_t *parts, const fatal_part_t *part, int64_t now_ms)
{
    size_t min = crashes_needed(parts, part, now_ms);
    if (part->blocked || part->crash_count < min ||
        count_moments(parts, part) < min) {
        return false;
    }
    size_t crashed = count_crashed_servers(parts, evidence_since_ms(part));
    return part->crash_count == FATAL_CRASHES_MAX ||
           (double)part->crash_count > (double)crashed * BLOCK_SHARE;
}

/* Returns the part that explains most crashes, of several the deepest one;
 * NULL if there is not enough evidence against any. */
static fatal_part_t *
find_fatal(fatal_parts_t *parts, int64_t now_ms)
{
    fatal_part_t *best = NULL;
    fatal_part_t *part;
    CK_LIST_FOREACH (part, &parts->used, entry) {
        if (!is_fatal(parts, part, now_ms)) {
            continue;
        }
        if (best == NULL || part->crash_count > best->crash_count ||
            (part->crash_count == best->crash_count &&
             part->depth > best->depth)) {
            best = part;
        }
    }
    return best;
}

static void
block_part(fatal_part_t *part, int64_t at_ms, int64_t now_ms)
{
    part->blocked = true;
    part->block_announced = false;
    part->blocked_ms = at_ms;
    part->updated_ms = now_ms;
    part->trials = 0;
    part->trial_due_ms = now_ms + TRIAL_AFTER_MS;
}

/* Unblocks the parts whose crashes all involved a part that has been blocked
 * since and was involved in more. */
static void
unblock_explained(fatal_parts_t *parts, const fatal_part_t *blocked,
                  int64_t now_ms)
{
    fatal_part_t *part;
    CK_LIST_FOREACH (part, &parts->used, entry) {
        size_t shared = 0;
        for (size_t i = 0; i < part->crash_count; i++) {
            shared += has_crash(blocked, part->crashes[i].server) ? 1 : 0;
        }
        if (part->blocked && part != blocked && shared == part->crash_count &&
            shared < blocked->crash_count) {
            clear_part(part, now_ms, now_ms);
        }
    }
}

/* Blocks the parts for which there is enough evidence, the most likely one
 * first, since it may explain the crashes of the others.  Returns whether any
 * was blocked. */
static bool
block_parts(fatal_parts_t *parts, int64_t now_ms)
{
    bool any = false;
    fatal_part_t *part;
    while ((part = find_fatal(parts, now_ms)) != NULL) {
        block_part(part, now_ms, now_ms);
        unblock_explained(parts, part, now_ms);
        any = true;
    }
    return any;
}

/* Moves the crash of a server to an earlier time, for all parts. */
static void
move_crash(fatal_parts_t *parts, uint32_t server, int64_t at_ms)
{
    fatal_part_t *part;
    CK_LIST_FOREACH (part, &parts->used, entry) {
        for (size_t i = 0; i < part->crash_count; i++) {
            fatal_crash_t *crash = &part->crashes[i];
            if (crash->server == server && at_ms < crash->at_ms) {
                crash->at_ms = at_ms;
            }
        }
        if (!part->blocked && part->cleared_ms != 0) {
            remove_crashes(part, part->cleared_ms + 1);
        }
    }
}

/* Records the crash of a server; returns when it was first observed. */
static int64_t
note_crashed_server(fatal_parts_t *parts, uint32_t server, int64_t at_ms)
{
    for (size_t i = 0; i < FATAL_SERVERS_MAX; i++) {
        fatal_crash_t *crash = &parts->crashed[i];
        if (crash->server != server || crash->at_ms == 0) {
            continue;
        }
        if (at_ms < crash->at_ms) {
            crash->at_ms = at_ms;
            move_crash(parts, server, at_ms);
        }
        return crash->at_ms;
    }
    parts->crashed[parts->crashed_next] = (fatal_crash_t){server, at_ms};
    parts->crashed_next = (parts->crashed_next + 1) % FATAL_SERVERS_MAX;
    return at_ms;
}

/* Records a request that this host has received. */
void
fatal_parts_note_request(fatal_parts_t *parts, const fatal_request_t *request)
{
    parts->requests[parts->request_count++ % FATAL_REQUESTS_MAX] = *request;
}

/* Records that a server crashed while it ran a request, unless the request was
 * sent after the crash was first observed.  Returns whether a part was
 * blocked.
 */
bool
fatal_parts_note_crash(fatal_parts_t *parts, const fatal_request_t *request,
                       uint32_t server, int64_t sent_ms, int64_t at_ms,
                       int64_t now_ms)
{
    int64_t crashed_ms = note_crashed_server(parts, server, at_ms);
    if (sent_ms > crashed_ms) {
        return false;
    }
    for (size_t i = 0; i < request->count; i++) {
        fatal_part_t *part = get_part(parts, request->parts[i]);
        if (part == NULL) {
            continue;
        }
        part->depth = i + 1 > part->depth ? (unsigned)i + 1 : part->depth;
        add_crash(part, server, crashed_ms, now_ms);
    }
    return block_parts(parts, now_ms);
}

/* Records a complete answer, or one that has been streaming for so long that
 * its parts cannot crash a server. */
void
fatal_parts_note_answer(fatal_parts_t *parts, const fatal_request_t *request,
                        int64_t began_ms, int64_t now_ms)
{
    for (size_t i = 0; i < request->count; i++) {
        fatal_part_t *part = find_part(parts, request->parts[i]);
        note_answer(parts, request->parts[i], began_ms);
        if (part != NULL) {
            clear_part(part, began_ms, now_ms);
        }
    }
}

static bool
apply_crash(fatal_parts_t *parts, const fatal_notice_t *notice, int64_t at_ms,
            int64_t now_ms)
{
    fatal_part_t *part = get_part(parts, notice->part);
    if (part == NULL) {
        return false;
    }
    part->depth = notice->depth > part->depth ? notice->depth : part->depth;
    int64_t crashed_ms = note_crashed_server(parts, notice->server, at_ms);
    add_crash(part, notice->server, crashed_ms, now_ms);
    return block_parts(parts, now_ms);
}

static bool
apply_block(fatal_parts_t *parts, const fatal_notice_t *notice, int64_t at_ms,
            int64_t now_ms)
{
    fatal_part_t *part = get_part(parts, notice->part);
    if (part == NULL || part->blocked || at_ms <= part->cleared_ms) {
        return false;
    }
    block_part(part, at_ms, now_ms);
    return true;
}

/* Applies a notice of another host; returns whether a part was blocked. */
bool
fatal_parts_apply(fatal_parts_t *parts, const fatal_notice_t *notice,
                  int64_t now_ms)
{
    int64_t at_ms = now_ms - (int64_t)notice->age_ms;
    fatal_part_t *known = find_part(parts, notice->part);
    if (notice->part == 0) {
        return false;
    }
    switch (notice->fact) {
        case FATAL_CRASHED:
            return at_ms >= now_ms - CRASH_VALID_MS &&
                   apply_crash(parts, notice, at_ms, now_ms);
        case FATAL_CLEARED:
            if (known != NULL) {
                clear_part(known, at_ms, now_ms);
            }
            return false;
        case FATAL_BLOCKED:
            return apply_block(parts, notice, at_ms, now_ms);
    }
    return false;
}

static fatal_notice_t
make_notice(const fatal_part_t *part, fatal_fact_t fact, int64_t at_ms,
            int64_t now_ms)
{
    return (fatal_notice_t){.part = part->part,
                            .depth = part->depth,
                            .fact = fact,
                            .age_ms = (uint32_t)(now_ms - at_ms)};
}

/* Lists the crashes of a part that were not announced yet, and marks them. */
static size_t
take_crashes(fatal_part_t *part, fatal_notice_t *out, size_t max,
             int64_t now_ms)
{
    size_t count = 0;
    for (size_t i = 0; i < part->crash_count && count < max; i++) {
        if (!part->announced[i]) {
            part->announced[i] = true;
            out[count] = make_notice(part, FATAL_CRASHED,
                                     part->crashes[i].at_ms, now_ms);
            out[count++].server = part->crashes[i].server;
        }
    }
    return count;
}

/* Lists what was not announced to other hosts yet, and marks it as announced.
 */
size_t
fatal_parts_take_notices(fatal_parts_t *parts, fatal_notice_t *out, size_t max,
                         int64_t now_ms)
{
    size_t count = 0;
    fatal_part_t *part;
    CK_LIST_FOREACH (part, &parts->used, entry) {
        if (part->blocked && !part->block_announced && count < max) {
            part->block_announced = true;
            out[count++] =
                make_notice(part, FATAL_BLOCKED, part->blocked_ms, now_ms);
        }
        if (part->cleared_ms != 0 && !part->clear_announced && count < max) {
            part->clear_announced = true;
            out[count++] =
                make_notice(part, FATAL_CLEARED, part->cleared_ms, now_ms);
        }
    }
    /* The parts with most evidence first: max may be less than there is. */
    for (size_t crashes = FATAL_CRASHES_MAX; crashes > 0; crashes--) {
        CK_LIST_FOREACH (part, &parts->used, entry) {
            if (part->crash_count == crashes) {
                count += take_crashes(part, out + count, max - count, now_ms);
            }
        }
    }
    return count;
}

/* Returns how many notices a host may announce at once to a number of others.
 */
size_t
fatal_notices_max(size_t receivers)
{
    size_t max = FATAL_ANNOUNCEMENT_BYTES / FATAL_NOTICE_BYTES;
    return receivers < 2 ? max : max / receivers;
}

/* Lists the blocked parts, for a host that has just started. */
size_t
fatal_parts_list_blocked(const fatal_parts_t *parts, fatal_notice_t *out,
                         size_t max, int64_t now_ms)
{
    size_t count = 0;
    const fatal_part_t *part;
    CK_LIST_FOREACH (part, &parts->used, entry) {
        if (part->blocked && count < max) {
            out[count++] =
                make_notice(part, FATAL_BLOCKED, part->blocked_ms, now_ms);
        }
    }
    return count;
}

/* Returns the first blocked part of a request, or NULL. */
fatal_part_t *
fatal_parts_find_blocked(fatal_parts_t *parts, const fatal_request_t *request)
{
    for (size_t i = 0; i < request->count; i++) {
        fatal_part_t *part = find_part(parts, request->parts[i]);
        if (part != NULL && part->blocked) {
            return part;
        }
    }
    return NULL;
}

/* Whether one request with the blocked part may be sent as a trial. */
bool
fatal_part_trial_is_due(const fatal_part_t *part, int64_t now_ms)
{
    return now_ms >= part->trial_due_ms;
}

/* Records that a request is sent as a trial, and schedules the next one. */
void
fatal_part_take_trial(fatal_part_t *part, int64_t now_ms)
{
    int64_t after_ms = TRIAL_AFTER_MS;
    part->trials += part->trials < TRIALS_MAX ? 1 : 0;
    for (unsigned i = 0; i < part->trials; i++) {
        after_ms *= TRIAL_FACTOR;
    }
    part->trial_due_ms = now_ms + after_ms;
}

/* Returns the Retry-After time for a request with the blocked part. */
int64_t
fatal_part_retry_after_ms(const fatal_part_t *part, int64_t now_ms)
{
    int64_t ms = part->trial_due_ms - now_ms;
    return ms < RETRY_AFTER_MS_MIN   ? RETRY_AFTER_MS_MIN
           : ms > RETRY_AFTER_MS_MAX ? RETRY_AFTER_MS_MAX
                                     : ms;
}
