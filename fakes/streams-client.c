#include "streams.h"

#include "../relay/wire.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_MS 1000
/* Until a host that cannot be connected to is passed over. */
#define UNREACHED_DELAY_MS 50
#define FAILED_DELAY_MS 20
/* An answer may end this long after the deadline. */
#define DEADLINE_MARGIN_MS 500
#define LONG_ID_BYTES 3000
#define HEADER_RESUMES_NAME "Resumes"

/* ---- requests ---- */

/* Whether the stream has brought an event, so that its next try is a take-up.
 */
static bool
has_begun(const stream_t *stream)
{
    return stream->first_attempt[0] != '\0';
}

static const char *
choose_host(stream_t *stream)
{
    streams_t *streams = stream->streams;
    const host_list_t *hosts = has_begun(stream) ? &streams->opts.take_up_hosts
                                                 : &streams->opts.begin_hosts;
    if (stream->tries == 0) {
        return hosts->addrs[stream->number % hosts->count];
    }
    size_t at = (size_t)rng_below(&streams->rng, hosts->count);
    if (stream->host != NULL && strcmp(hosts->addrs[at], stream->host) == 0) {
        at = (at + 1) % hosts->count;
    }
    return hosts->addrs[at];
}

static void
write_resumes(const stream_t *stream, buf_t *out)
{
    buf_str(out, HEADER_RESUMES_NAME ": ");
    switch (stream->streams->opts.resumes) {
        case RESUMES_UNKNOWN:
            buf_fmt(out, "nobody-%u", stream->number);
            break;
        case RESUMES_LONG:
            for (unsigned i = 0; i < LONG_ID_BYTES; i++) {
                buf_str(out, "x");
            }
            break;
        case RESUMES_ODD:
            buf_str(out, "a\"b',; %00=\xc3\x28\xff\x80{}");
            break;
        default:
            buf_str(out, stream->first_attempt);
    }
    buf_str(out, "\r\n");
}

/* Writes the headers of a take-up. */
static void
write_take_up(const stream_t *stream, buf_t *out)
{
    resumes_t resumes = stream->streams->opts.resumes;
    if (resumes != RESUMES_ALONE) {
        buf_fmt(out, "%s: %u\r\n", wire_header_name(HEADER_LAST_EVENT_ID),
                stream->events.last_event);
    }
    if (resumes != RESUMES_NONE) {
        write_resumes(stream, out);
    }
}

/* Writes the access key, unless it is empty. */
static void
write_access_key(const char *key, buf_t *out)
{
    if (key[0] != '\0') {
        buf_fmt(out, "%s: Token %s\r\n", wire_header_name(HEADER_ACCESS_KEY),
                key);
    }
}

static void
write_request(const stream_t *stream, int64_t left_ms, buf_t *out)
{
    const streams_opts_t *opts = &stream->streams->opts;
    bool take_up = has_begun(stream);
    buf_fmt(
        out,
        "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %lld\r\n"
        "%s: m1\r\n%s: 1460,80\r\n"
        "%s: aa:800,b%u:410,%llx%06x:250\r\n",
        opts->path, take_up ? opts->take_up_host_name : opts->host_name,
        wire_header_name(HEADER_REQUEST_ID), stream->attempt,
        wire_header_name(HEADER_DEADLINE), (long long)left_ms,
        wire_header_name(HEADER_MODEL), wire_header_name(HEADER_TOKEN_USAGE),
        wire_header_name(HEADER_PROMPT_PREFIX), stream->number % 7,
        (unsigned long long)(str_hash(opts->name, 0) >> 40), stream->number);
    write_access_key(take_up ? opts->take_up_key : opts->key, out);
    if (take_up) {
        write_take_up(stream, out);
    }
    buf_str(out, "Content-Length: 1\r\n\r\nx");
}

/* ---- answers ---- */

static head_action_t
on_head(void *arg, const http_head_t *head)
{
    stream_t *stream = arg;
    char text[32];
    const header_t *after =
        http_head_find(head, wire_header_name(HEADER_RETRY_AFTER));
    stream->status = head->status;
    if (after != NULL) {
        http_head_copy(head, after->value, text, sizeof(text));
        stream->retry_after_s = strtod(text, NULL);
    }
    return HEAD_ACCEPT;
}

/* Counts a stream that goes on after it was taken up. */
static void
note_went_on(stream_t *stream)
{
    streams_t *streams = stream->streams;
    if (stream->taking_up) {
        stream->taking_up = false;
        streams->take_ups.went_on++;
        streams->in_touch.went_on += stream->taken_in_touch ? 1 : 0;
    }
}

static bool
is_leaving(const stream_t *stream)
{
    unsigned after = stream->streams->opts.leave_after;
    return after > 0 && stream->events.last_event >= after &&
           strcmp(stream->attempt, stream->first_attempt) == 0;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    stream_t *stream = arg;
    if (stream->status != 200) {
        return;
    }
    stream_events_add(&stream->events, data, len);
    if (!stream->events.answer_begun) {
        return;
    }
    stream->heard_ms = time_mono_ms();
    stream->failures = 0;
    if (!has_begun(stream)) {
        str_copy(stream->first_attempt, sizeof(stream->first_attempt),
                 stream->attempt);
    }
    note_went_on(stream);
    if (is_leaving(stream)) {
        event_active(stream->timer, 0, 0);
    }
}

static void
end_stream(stream_t *stream, stream_end_t end)
{
    streams_t *streams = stream->streams;
    stream->end = end;
    event_free(stream->timer);
    stream->timer = NULL;
    if (--streams->running == 0 && streams->opener == NULL) {
        (void)event_base_loopbreak(streams->base);
    }
}

static void
wait_and_try(stream_t *stream, int64_t ms)
{
    struct timeval delay = {ms / 1000, ms % 1000 * 1000};
    (void)event_add(stream->timer, &delay);
}

/* Notes that the stream broke off after an event, and is taken up. */
static void
note_taken_up(stream_t *stream)
{
    streams_t *streams = stream->streams;
    int64_t at = time_mono_ms() - streams->start_ms;
    stream->taking_up = true;
    stream->taken_in_touch =
        at >= streams->opts.touch_from_ms && at < streams->opts.touch_to_ms;
    streams->take_ups.taken_up++;
    streams->in_touch.taken_up += stream->taken_in_touch ? 1 : 0;
    if (streams->opts.resumes == RESUMES_ALONE) {
        stream_events_forget(&stream->events);
    }
}

static void
note_wait(const stream_t *stream)
{
    streams_t *streams = stream->streams;
    int64_t *longest = stream->status == 200 ? &streams->broken_wait_ms
                                             : &streams->refused_wait_ms;
    int64_t ms = time_mono_ms() - stream->heard_ms;
    *longest = ms > *longest ? ms : *longest;
}

static void
note_refusal(const stream_t *stream)
{
    streams_t *streams = stream->streams;
    unsigned *counts = has_begun(stream) ? streams->take_up_refusals
                                         : streams->begin_refusals;
    if (stream->status != 200 && stream->status > 0 &&
        stream->status < STREAMS_STATUS_MAX) {
        counts[stream->status]++;
    }
}

/* Whether clients try again after the status; 0 stands for no answer. */
static bool
may_retry(int status)
{
    return status == 0 || status == 200 || status == 408 || status == 421 ||
           status == 429 || status >= 500;
}

/* Tries again after a try that failed, or gives up. */
static void
retry(stream_t *stream)
{
    int64_t left_ms = stream->deadline_ms - time_mono_ms();
    int64_t delay_ms = (int64_t)(stream->retry_after_s * 1000);
    bool refused = stream->status != 0 && stream->status != 200;
    stream->failures++;
    if (!may_retry(stream->status) || delay_ms > left_ms / 3 ||
        stream->failures > stream->streams->opts.retries) {
        end_stream(stream, refused ? STREAM_REFUSED : STREAM_BROKEN);
        return;
    }
    wait_and_try(stream, delay_ms > 0 ? delay_ms : FAILED_DELAY_MS);
}

static void
on_end(void *arg, exchange_end_t end)
{
    stream_t *stream = arg;
    stream_events_t *events = &stream->events;
    stream->exchange = NULL;
    if (events->last_event == stream->streams->opts.events) {
        note_went_on(stream);
        end_stream(stream, STREAM_COMPLETE);
        return;
    }
    if (end == EXCHANGE_UNSENT) {
        wait_and_try(stream, UNREACHED_DELAY_MS);
        return;
    }
    if (stream->status == 200 && end == EXCHANGE_COMPLETE) {
        events->order_errors++; /* its last events are missing */
        end_stream(stream, STREAM_COMPLETE);
        return;
    }
    note_wait(stream);
    note_refusal(stream);
    if (time_mono_ms() >= stream->deadline_ms) {
        end_stream(stream, STREAM_LATE);
        return;
    }
    if (events->answer_begun) {
        note_taken_up(stream);
        wait_and_try(stream, FAILED_DELAY_MS);
        return;
    }
    retry(stream);
}

/* ---- streams ---- */

static void
send_try(stream_t *stream)
{
    static const exchange_hooks_t hooks = {on_head, on_body, on_end, NULL};
    streams_t *streams = stream->streams;
    int64_t left_ms = stream->deadline_ms - time_mono_ms();
    if (left_ms <= 0) {
        end_stream(stream, STREAM_LATE);
        return;
    }
    stream->host = choose_host(stream);
    stream->tries++;
    (void)snprintf(stream->attempt, sizeof(stream->attempt), "%.32s-%u-%u",
                   streams->opts.name, stream->number, stream->tries);
    stream->status = 0;
    stream->retry_after_s = 0;
    stream->heard_ms = time_mono_ms();
    stream_events_next_answer(&stream->events);
    CLEAN_BUF buf_t head = {0};
    write_request(stream, left_ms, &head);
    exchange_request_t call = {.addr = stream->host,
                               .head = head.data,
                               .head_len = head.len,
                               .new_connection = true,
                               .connect_ms = CONNECT_MS,
                               .total_ms = (int)left_ms + DEADLINE_MARGIN_MS};
    exchange_hooks_t stream_hooks = hooks;
    stream_hooks.arg = stream;
    stream->exchange =
        exchange_start(streams->exchanges, &call, &stream_hooks);
}

/* The time for the next try has come, or the client leaves this one. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    stream_t *stream = arg;
    (void)fd;
    (void)what;
    if (stream->exchange != NULL) {
        exchange_cancel(stream->exchange);
        stream->exchange = NULL;
        note_taken_up(stream);
    }
    send_try(stream);
}

void
stream_open(streams_t *streams)
{
    stream_t *stream = mem_zalloc(sizeof(*stream));
    stream->streams = streams;
    stream->number = streams->opened++;
    stream->timer = evtimer_new(streams->base, on_timer, stream);
    stream->deadline_ms = time_mono_ms() + streams->opts.deadline_ms;
    streams->running++;
    CK_STAILQ_INSERT_TAIL(&streams->all, stream, entry);
    send_try(stream);
}
