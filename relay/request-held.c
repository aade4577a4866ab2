#include "request-held.h"

#include <stddef.h>
#include <stdlib.h>

/* Records of stops and resumptions that are logged per second.  With many slow
 * callers there may be a hundred times as many. */
#define RECORDS_PER_S 10
#define MS_PER_S 1000

/* What is held for one connection of a caller: the answer to its current
 * request, and the rest of earlier ones that it has not read. */
struct caller_hold {
    held_holder_t holder;
    caller_t *caller;
    request_t *request; /* NULL between requests */
};

/* ---- accounts ---- */

static caller_hold_t *
hold_from(held_holder_t *holder)
{
    return (caller_hold_t *)((char *)holder - offsetof(caller_hold_t, holder));
}

static caller_hold_t *
hold_of(relay_t *relay, caller_t *caller)
{
    caller_hold_t *hold = caller_attached(caller);
    if (hold == NULL) {
        hold = mem_zalloc(sizeof(*hold));
        hold->caller = caller;
        held_bytes_add(&relay->held, &hold->holder);
        caller_attach(caller, hold);
    }
    return hold;
}

static void
update_bytes(relay_t *relay, caller_hold_t *hold, bool caller_read)
{
    const request_t *request = hold->request;
    /* A body that grows takes what is reserved for it, up to twice its length;
     * an event is dropped from its buffer as soon as it is complete. */
    size_t unready = request != NULL ? request->answer_body.cap +
                                           request->stream.partial.len
                                     : 0;
    held_bytes_set(&relay->held, &hold->holder,
                   caller_unsent_bytes(hold->caller), unready, caller_read,
                   time_mono_ms());
}

static void
update_bodies(relay_t *relay)
{
    held_bytes_set_servers(&relay->held,
                           http_listener_body_bytes(relay->caller_listener) +
                               http_listener_body_bytes(relay->peer_listener));
}

/* Returns how many bytes the bodies of one listener's requests may have. */
size_t
relay_body_bytes_max(relay_t *relay, const http_listener_t *listener,
                     size_t len)
{
    if (relay->held.budget == 0) {
        return BODY_BYTES_MAX;
    }
    update_bodies(relay);
    size_t others =
        relay->held.server_bytes - http_listener_body_bytes(listener);
    size_t max = held_bytes_body_max(&relay->held, len <= SMALL_BODY_BYTES);
    /* 0 would be no limit. */
    return max > others ? max - others : 1;
}

/* ---- decisions ---- */

/* Logs a stop or a resumption, a few per second. */
static void
log_change(relay_t *relay, const caller_hold_t *hold, const char *event,
           int64_t now)
{
    const request_t *request = hold->request;
    if (now - relay->held_logged_ms >= MS_PER_S) {
        relay->held_logged_ms = now;
        relay->held_logged = 0;
    }
    if (relay->held_logged++ >= RECORDS_PER_S) {
        return;
    }
    log_record(
        LOG_INFO, "request", event,
        "id=%s server=%s ready=%zu unready=%zu total=%zu max=%zu "
        "stopped=%zu stopped_ms=%lld unread_ms=%lld",
        request->id, request->server != NULL ? request->server->info.id : "-",
        hold->holder.ready, hold->holder.unready,
        held_bytes_total(&relay->held), held_bytes_holder_max(&relay->held),
        relay->held.stopped, (long long)(now - hold->holder.stopped_ms),
        (long long)(now - hold->holder.read_ms));
}

static void
stop_reading(relay_t *relay, caller_hold_t *hold)
{
    request_t *request = hold->request;
    int64_t now = time_mono_ms();
    exchange_pause(request->exchange);
    held_bytes_stop(&relay->held, &hold->holder, now);
    relay->meter.reads_stopped++;
    request->read_stopped = true;
    if (request->server != NULL) {
        server_stop_reading(request->server);
    }
    log_change(relay, hold, "reading-stopped", now);
}

/* Ends a stop; reading goes on if the attempt does. */
static void
end_stop(relay_t *relay, caller_hold_t *hold)
{
    if (!hold->holder.stopped) {
        return;
    }
    held_bytes_resume(&relay->held, &hold->holder);
    if (hold->request->server != NULL) {
        server_resume_reading(hold->request->server, time_mono_ms());
    }
}

static void
resume_reading(relay_t *relay, caller_hold_t *hold)
{
    end_stop(relay, hold);
    exchange_resume(hold->request->exchange);
    log_change(relay, hold, "reading-resumed", time_mono_ms());
}

static void
resume_if_due(relay_t *relay, caller_hold_t *hold)
{
    if (held_bytes_should_resume(&relay->held, &hold->holder,
                                 time_mono_ms())) {
        resume_reading(relay, hold);
    }
}

/* Ends answers that no one reads while the hard maximum is exceeded. */
static void
drop_excess(relay_t *relay)
{
    held_holder_t *holder;
    while ((holder = held_bytes_find_excess(&relay->held)) != NULL) {
        caller_hold_t *hold = hold_from(holder);
        relay->meter.answers_dropped++;
        log_record(LOG_WARN, "request", "unread-dropped",
                   "id=%s ready=%zu unread_ms=%lld total=%zu",
                   hold->request != NULL ? hold->request->id : "-",
                   holder->ready,
                   (long long)(time_mono_ms() - holder->read_ms),
                   held_bytes_total(&relay->held));
        caller_drop(hold->caller);
    }
}

/* Reads again from servers that have waited long enough, or whose callers'
 * bytes fit by now. */
void
relay_held_tick(relay_t *relay)
{
    held_holder_t *holder;
    update_bodies(relay);
    CK_LIST_FOREACH (holder, &relay->held.holders, entry) {
        resume_if_due(relay, hold_from(holder));
    }
    drop_excess(relay);
}

/* ---- events ---- */

/* Output for a caller was buffered or written. */
void
relay_note_output(relay_t *relay, caller_t *caller, bool written)
{
    caller_hold_t *hold = hold_of(relay, caller);
    update_bytes(relay, hold, written);
    if (written) {
        resume_if_due(relay, hold);
    }
}

/* A caller's connection is about to be freed; its request was. */
void
relay_note_closed(relay_t *relay, caller_t *caller)
{
    caller_hold_t *hold = caller_attached(caller);
    if (hold != NULL) {
        held_bytes_remove(&relay->held, &hold->holder);
        free(hold);
    }
}

void
request_hold_begin(request_t *request)
{
    hold_of(request->relay, request->caller)->request = request;
    request->hold = hold_of(request->relay, request->caller);
}

/* Some of the answer was read: stops reading if its caller holds too much. */
void
request_hold_update(request_t *request)
{
    relay_t *relay = request->relay;
    caller_hold_t *hold = request->hold;
    update_bytes(relay, hold, false);
    if (request->exchange != NULL &&
        held_bytes_should_stop(&relay->held, &hold->holder)) {
        stop_reading(relay, hold);
    }
}

/* The exchange of the current attempt has ended or is about to. */
void
request_hold_end_attempt(request_t *request)
{
    end_stop(request->relay, request->hold);
}

/* The request is about to be freed. */
void
request_hold_end(request_t *request)
{
    request->hold->request = NULL;
    if (request->caller != NULL) {
        update_bytes(request->relay, request->hold, false);
    }
}
