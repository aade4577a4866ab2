#include "held-bytes.h"

#include <string.h>

/* Share of a host's memory that may be held for callers and servers.  The
 * rest is for the program itself, for copies of answers and bodies while they
 * are moved, and for memory that the allocator cannot reuse. */
#define BUDGET_SHARE 0.5
/* Share of the memory above which answers are ended: exceeded only if a great
 * many callers read nothing at all. */
#define HARD_SHARE 0.7
/* A holder may have this part of what is free.  A quarter leaves room for
 * several large holders beside each other: with 4 of them half of the budget
 * stays free, with 100 a 26th. */
#define FREE_DIVISOR 4
/* A stopped holder is read again once it has this part of what it may have, or
 * once this part of the budget is free for one that was stopped since the
 * budget was used up.  Without that distance, reading would be stopped and
 * resumed for each event. */
#define RESUME_DIVISOR 2
#define BUDGET_MARGIN 8
/* Bodies may fill at most two thirds of the budget, so that answers can always
 * be read, and may always use a quarter, so that slow callers do not cause
 * requests to be rejected. */
#define BODY_SHARE_MAX (2.0 / 3)
#define BODY_SHARE_MIN 0.25
/* Large bodies leave this share of their room to small ones, which would
 * otherwise be rejected while servers read large ones slowly: room for 80
 * bodies of the largest size that is small, on a host with 120 MB. */
#define SMALL_BODY_SHARE 0.125

/* Sets the bounds for a host with this memory; 0 if it is not known. */
void
held_bytes_init(held_bytes_t *held, size_t memory_bytes)
{
    memset(held, 0, sizeof(*held));
    held->budget = (size_t)((double)memory_bytes * BUDGET_SHARE);
    held->hard_max = (size_t)((double)memory_bytes * HARD_SHARE);
    CK_LIST_INIT(&held->holders);
}

/* Adds a holder without bytes. */
void
held_bytes_add(held_bytes_t *held, held_holder_t *holder)
{
    memset(holder, 0, sizeof(*holder));
    CK_LIST_INSERT_HEAD(&held->holders, holder, entry);
}

static size_t
bytes_of(const held_holder_t *holder)
{
    return holder->ready + holder->unready;
}

/* Sets the bytes of a holder; caller_read is true if its caller has read some
 * of them since the last call. */
void
held_bytes_set(held_bytes_t *held, held_holder_t *holder, size_t ready,
               size_t unready, bool caller_read, int64_t now_ms)
{
    if (caller_read || holder->ready == 0) {
        holder->read_ms = now_ms;
    }
    held->holding -= holder->ready > 0 ? 1 : 0;
    held->caller_bytes -= bytes_of(holder);
    holder->ready = ready;
    holder->unready = unready;
    held->holding += ready > 0 ? 1 : 0;
    held->caller_bytes += bytes_of(holder);
}

/* Removes a holder with all its bytes. */
void
held_bytes_remove(held_bytes_t *held, held_holder_t *holder)
{
    held_bytes_resume(held, holder);
    held_bytes_set(held, holder, 0, 0, false, 0);
    CK_LIST_REMOVE(holder, entry);
}

/* Sets the bytes held for servers: the bodies of all requests. */
void
held_bytes_set_servers(held_bytes_t *held, size_t bytes)
{
    held->server_bytes = bytes;
}

/* Returns what is held, including what the kernel holds at most.  The receive
 * buffers are charged to all holders, not only to those that are stopped: else
 * the total would rise with each stop. */
size_t
held_bytes_total(const held_bytes_t *held)
{
    return held->caller_bytes + held->server_bytes +
           held->holding * (HELD_UNSENT_BYTES + HELD_RECEIVE_BYTES * 2);
}

/* Returns how many bytes one holder may have before it is stopped. */
size_t
held_bytes_holder_max(const held_bytes_t *held)
{
    size_t total = held_bytes_total(held);
    size_t part =
        total < held->budget ? (held->budget - total) / FREE_DIVISOR : 0;
    part = part > HELD_FLOOR_BYTES ? part : HELD_FLOOR_BYTES;
    return part < HELD_HOLDER_BYTES_MAX ? part : HELD_HOLDER_BYTES_MAX;
}

/* Returns how many bytes the bodies of all requests may have, for a small or
 * a large body that grows. */
size_t
held_bytes_body_max(const held_bytes_t *held, bool small)
{
    size_t most = (size_t)((double)held->budget * BODY_SHARE_MAX);
    size_t least = (size_t)((double)held->budget * BODY_SHARE_MIN);
    size_t others = held_bytes_total(held) - held->server_bytes;
    size_t left = others < held->budget ? held->budget - others : 0;
    size_t max = left < most ? left : most;
    max = max > least ? max : least;
    return small ? max : max - (size_t)((double)max * SMALL_BODY_SHARE);
}

/* Whether another holder has more bytes that its caller cannot read yet. */
static bool
has_larger_unready(const held_bytes_t *held, const held_holder_t *than)
{
    const held_holder_t *holder;
    bool listed_before = true;
    CK_LIST_FOREACH (holder, &held->holders, entry) {
        if (holder == than) {
            listed_before = false;
        }
        else if (holder->unready > than->unready ||
                 (listed_before && holder->unready == than->unready)) {
            return true;
        }
    }
    return false;
}

/* Whether the bytes that the caller cannot read yet exceed their bound. */
static bool
has_excess_unready(const held_bytes_t *held, const held_holder_t *holder,
                   size_t total_max)
{
    return holder->unready > HELD_FLOOR_BYTES &&
           held_bytes_total(held) >= total_max &&
           has_larger_unready(held, holder);
}

/* Whether reading from the server of a holder is to be stopped. */
bool
held_bytes_should_stop(const held_bytes_t *held, const held_holder_t *holder)
{
    if (held->budget == 0 || holder->stopped ||
        bytes_of(holder) < holder->reopen_end) {
        return false;
    }
    return holder->ready > held_bytes_holder_max(held) ||
           has_excess_unready(held, holder, held->budget);
}

static bool
has_room(const held_bytes_t *held, const held_holder_t *holder)
{
    size_t total_max = held->budget - held->budget / BUDGET_MARGIN;
    return holder->ready <= held_bytes_holder_max(held) / RESUME_DIVISOR &&
           !has_excess_unready(held, holder, total_max);
}

/* Whether the server of a stopped holder is to be read from again: its caller
 * has read enough, others have made room, or the server has waited for as
 * long as it may. */
bool
held_bytes_should_resume(const held_bytes_t *held, const held_holder_t *holder,
                         int64_t now_ms)
{
    return holder->stopped &&
           (has_room(held, holder) ||
            now_ms - holder->stopped_ms >= HELD_STOP_MS_MAX);
}

/* Reading from the server of a holder was stopped. */
void
held_bytes_stop(held_bytes_t *held, held_holder_t *holder, int64_t now_ms)
{
    held->stopped += holder->stopped ? 0 : 1;
    holder->stopped = true;
    holder->stopped_ms = now_ms;
    holder->reopen_end = 0;
}

/* Reading from the server of a holder was resumed, or its answer has ended.
 * A holder without room is stopped again after a few bytes. */
void
held_bytes_resume(held_bytes_t *held, held_holder_t *holder)
{
    if (!holder->stopped) {
        return;
    }
    held->stopped--;
    holder->stopped = false;
    holder->reopen_end =
        has_room(held, holder) ? 0 : bytes_of(holder) + HELD_REOPEN_BYTES;
}

/* Returns the holder whose answer is to be ended since the hard maximum is
 * exceeded, the one that was not read for the longest time; or NULL. */
held_holder_t *
held_bytes_find_excess(const held_bytes_t *held)
{
    held_holder_t *holder;
    held_holder_t *oldest = NULL;
    if (held->budget == 0 || held_bytes_total(held) <= held->hard_max) {
        return NULL;
    }
    CK_LIST_FOREACH (holder, &held->holders, entry) {
        if (holder->ready > HELD_FLOOR_BYTES &&
            (oldest == NULL || holder->read_ms < oldest->read_ms)) {
            oldest = holder;
        }
    }
    return oldest;
}
