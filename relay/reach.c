#include "reach.h"

#include <string.h>

/* Distinct servers that have to fail, and how many of them in a probe: probes
 * go to random servers, so a rack of servers that fails together does not
 * count as a lost path. */
#define FAILED_MIN 3
#define PROBED_MIN 2
/* Answers over new connections after which a lost path counts as back: a
 * single packet may get through a faulty path. */
#define ANSWERS_MIN 2
/* Servers probed at a time, and the time between probes. */
#define PROBES_AT_ONCE 3
#define SUSPECT_INTERVAL_MS 100
#define LOST_INTERVAL_MS 250
/* Between answers over new connections that are no further apart the path was
 * open. */
#define ANSWER_GAP_MS 1500

static void
set_add(reach_set_t *set, uint16_t server)
{
    for (size_t i = 0; i < set->count; i++) {
        if (set->numbers[i] == server) {
            return;
        }
    }
    if (set->count < REACH_SERVERS_MAX) {
        set->numbers[set->count++] = server;
    }
}

static bool
set_has(const reach_set_t *set, uint16_t server)
{
    for (size_t i = 0; i < set->count; i++) {
        if (set->numbers[i] == server) {
            return true;
        }
    }
    return false;
}

static size_t
at_most(size_t value, size_t max)
{
    return value < max ? value : max;
}

static void
set_state(reach_t *reach, reach_state_t state, int64_t now_ms)
{
    if (reach->state != state) {
        reach->state = state;
        reach->answers = 0;
        reach->probes_due_ms = now_ms;
    }
}

/* Sets the state by the faults since the last answer over a new connection. */
static void
apply_faults(reach_t *reach, int64_t now_ms)
{
    bool lost = reach->failed.count >= at_most(FAILED_MIN, reach->listed) &&
                reach->probed.count >= at_most(PROBED_MIN, reach->listed);
    if (lost) {
        set_state(reach, reach->kept_answered ? REACH_KEPT : REACH_NONE,
                  now_ms);
        return;
    }
    if (reach->state == REACH_OK) {
        reach->kept_answered = false;
        set_state(reach, REACH_SUSPECT, now_ms);
    }
}

/* Sets the number of listed servers. */
void
reach_set_listed(reach_t *reach, size_t servers)
{
    reach->listed = servers;
}

/* Records that a server did not accept a new connection, or failed a request
 * or a probe over a new or an open one. */
void
reach_note_fault(reach_t *reach, uint16_t server, bool new_connection,
                 int64_t now_ms)
{
    set_add(&reach->failed, server);
    if (!new_connection) {
        reach->kept_answered = false;
    }
    apply_faults(reach, now_ms);
}

/* Records that a server failed a probe over a new connection. */
void
reach_note_failed_probe(reach_t *reach, uint16_t server, int64_t now_ms)
{
    set_add(&reach->probed, server);
    reach_note_fault(reach, server, true, now_ms);
}

/* Records that a server answered, over a connection that was made for this
 * request or over one that was open before. */
void
reach_note_answer(reach_t *reach, bool new_connection, int64_t now_ms)
{
    if (!new_connection) {
        reach->kept_answered = true;
        if (reach->state == REACH_NONE) {
            set_state(reach, REACH_KEPT, now_ms);
        }
        return;
    }
    if (!reach_may_be_open(reach, now_ms)) {
        reach->answered_since_ms = now_ms;
    }
    reach->answered_ms = now_ms;
    if (reach_is_lost(reach) && ++reach->answers < ANSWERS_MIN) {
        return;
    }
    reach->failed.count = 0;
    reach->probed.count = 0;
    set_state(reach, REACH_OK, now_ms);
}

/* Returns how many servers to probe now over new connections. */
size_t
reach_take_probes(reach_t *reach, int64_t now_ms)
{
    if (reach->state == REACH_OK || now_ms < reach->probes_due_ms) {
        return 0;
    }
    reach->probes_due_ms =
        now_ms +
        (reach_is_lost(reach) ? LOST_INTERVAL_MS : SUSPECT_INTERVAL_MS);
    return PROBES_AT_ONCE;
}

/* Whether a server has failed since one last answered over a new connection.
 */
bool
reach_has_failed(const reach_t *reach, uint16_t server)
{
    return set_has(&reach->failed, server);
}

/* Whether a server has answered over a new connection so lately that the next
 * answer may show that the path was open all the while. */
bool
reach_may_be_open(const reach_t *reach, int64_t now_ms)
{
    return reach->answered_ms != 0 &&
           now_ms - reach->answered_ms <= ANSWER_GAP_MS;
}

/* Whether servers answered over new connections shortly before and after a
 * time: a server that did not answer then has failed itself. */
bool
reach_was_open(const reach_t *reach, int64_t at_ms)
{
    return reach->answered_ms != 0 && at_ms >= reach->answered_since_ms &&
           at_ms <= reach->answered_ms;
}

/* Whether new connections to servers do not work. */
bool
reach_is_lost(const reach_t *reach)
{
    return reach->state == REACH_KEPT || reach->state == REACH_NONE;
}

/* Returns the name used in logs. */
const char *
reach_state_name(reach_state_t state)
{
    switch (state) {
        case REACH_OK:
            return "ok";
        case REACH_SUSPECT:
            return "suspect";
        case REACH_KEPT:
            return "kept";
        case REACH_NONE:
            break;
    }
    return "none";
}
