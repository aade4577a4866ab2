#include "streams.h"
#include "../relay/wire.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Callers that ask for streams and, when one breaks, take it up again at
 * another relay, as the platform's users do; some ask in strange ways. */

#define THINK_MS_MAX 200
/* Tries to begin or to take up a stream. */
#define TRIES_MAX 6
/* Wait before another relay is asked: minimum, and random part on top. */
#define RETRY_MS_MIN 20
#define RETRY_RANGE_MS 100
/* A caller that has to wait longer gives up. */
#define RETRY_AFTER_MS_MAX 5000
/* One in so many broken streams is first asked for in a strange way. */
#define STRANGE_INTERVAL 5
/* The share of fewer streams that were taken up is not judged. */
#define TAKEN_UP_MIN 12

/* Streams that callers tried to begin, or to take up. */
typedef struct {
    unsigned asked;
    unsigned got; /* of these, streams of which a next event came */
    /* The same for those that were asked for at an undisturbed relay while two
     * undisturbed engines of the version served. */
    unsigned sound_asked;
    unsigned sound_got;
} stream_counts_t;

typedef struct {
    streams_t *streams;
    exchange_t *exchange;
    struct event *timer;
    soak_request_t *request;
    stream_reader_t reader;
    char server[CS_NAME_MAX]; /* named in the answer's signature */
    bool signature_valid;
    int64_t retry_after_ms; /* asked for by the answer; 0 if not */
    /* The stream as the caller has it, and what a strange request got. */
    stream_t stream;
    stream_t strange;
    request_kind_t kind;
    bool first_workspace;
    uint64_t subject;
    size_t relay;   /* of the latest try */
    int tries;      /* since the last event */
    bool sound;     /* one of them counts */
    bool try_sound; /* the running try counts */
    bool ended;
} stream_caller_t;

struct streams {
    callers_t *callers;
    stream_caller_t *items;
    size_t count;
    stream_counts_t begun;
    stream_counts_t taken_up;
    unsigned complete;
    unsigned mixed;
    unsigned strange_asked[STREAM_ASKS];
    unsigned strange_got[STREAM_ASKS];
};

static soak_t *
soak_of(const stream_caller_t *caller)
{
    return caller->streams->callers->soak;
}

/* The stream that the running request is for. */
static stream_t *
asked_stream(stream_caller_t *caller)
{
    return caller->strange.ask != STREAM_PROPER ? &caller->strange
                                                : &caller->stream;
}

/* Whether a try at a relay counts now: it is undisturbed, and two undisturbed
 * engines of the stream's version serve, or of any if it has not begun. */
static bool
is_sound(const stream_caller_t *caller)
{
    const soak_t *soak = soak_of(caller);
    const soak_relay_t *relay = &soak->relays[caller->relay];
    return time_mono_ms() >= relay->disturbed_until_ms &&
           time_mono_ms() >= relay->stopping_until_ms &&
           versions_count_sound(soak, caller->stream.first_version) >= 2;
}

/* ---- one try ---- */

static head_action_t
on_head(void *arg, const http_head_t *head)
{
    stream_caller_t *caller = arg;
    const header_t *after =
        http_head_find(head, wire_header_name(HEADER_RETRY_AFTER));
    char text[32] = "";
    caller->request->status = head->status;
    caller->signature_valid = request_read_signature(
        soak_of(caller), caller->request, head, caller->server);
    if (after != NULL) {
        http_head_copy(head, after->value, text, sizeof(text));
        caller->retry_after_ms = (int64_t)(strtod(text, NULL) * 1000);
    }
    return HEAD_ACCEPT;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    stream_caller_t *caller = arg;
    if (caller->request->status / 100 == 2) {
        stream_reader_feed(&caller->reader, data, len);
    }
}

/* Writes the header lines that ask for the rest of a stream. */
static void
write_resumption(const stream_caller_t *caller, const stream_t *asked,
                 buf_t *out)
{
    const stream_t *stream = &caller->stream;
    char id[REQUEST_ID_MAX];
    request_format_id(soak_of(caller), stream->first_number, id);
    if (stream->last_event > 0 && asked->ask != STREAM_ONLY_RESUMES) {
        buf_fmt(out, "%s: %u\r\n", wire_header_name(HEADER_LAST_EVENT_ID),
                stream->last_event);
    }
    if (stream->last_event > 0 && asked->ask != STREAM_WITHOUT_RESUMES) {
        buf_fmt(out, "Resumes: %s%s\r\n", id,
                asked->ask == STREAM_UNKNOWN_ATTEMPT ? "-~\"none\",;=" : "");
    }
}

static void send_try(stream_caller_t *caller);
static void on_end(void *arg, exchange_end_t end);

static soak_request_t *
make_request(stream_caller_t *caller)
{
    soak_t *soak = soak_of(caller);
    soak_request_t *request = request_new(caller->streams->callers);
    bool other = caller->strange.ask == STREAM_OTHER_WORKSPACE;
    bool first = caller->first_workspace != other;
    request->kind = caller->kind;
    request->subject = caller->subject;
    request->key = first ? "key1" : "key2";
    request->workspace = first ? "ws1" : "ws2";
    request->relay = caller->relay;
    request_note_sent(soak, request);
    return request;
}

/* Sends the request for the asked stream, over a new connection or one that
 * was kept. */
static void
send_request(stream_caller_t *caller)
{
    static const exchange_hooks_t hooks = {on_head, on_body, on_end, NULL};
    soak_t *soak = soak_of(caller);
    CLEAN_BUF buf_t more = {0};
    CLEAN_BUF buf_t head = {0};
    caller->request = make_request(caller);
    caller->server[0] = '\0';
    caller->signature_valid = false;
    caller->retry_after_ms = 0;
    caller->reader.soak = soak;
    caller->reader.request = caller->request;
    caller->reader.stream = asked_stream(caller);
    caller->reader.events = 0;
    caller->reader.text.len = 0;
    write_resumption(caller, asked_stream(caller), &more);
    request_write(soak, caller->request, buf_text(&more), &head);
    exchange_request_t call = {.addr = soak->relays[caller->relay].caller_addr,
                               .head = head.data,
                               .head_len = head.len,
                               .new_connection = rng_below(&soak->rng, 2) == 0,
                               .connect_ms = 1000,
                               .total_ms = DEADLINE_MS + 2000};
    exchange_hooks_t caller_hooks = hooks;
    caller_hooks.arg = caller;
    caller->exchange = exchange_start(soak->exchanges, &call, &caller_hooks);
}

/* ---- a stream's tries ---- */

static void
wait_then_try(stream_caller_t *caller, int64_t ms)
{
    struct timeval delay = {ms / 1000, ms % 1000 * 1000};
    (void)event_add(caller->timer, &delay);
}

static void
begin_stream(stream_caller_t *caller)
{
    soak_t *soak = soak_of(caller);
    memset(&caller->stream, 0, sizeof(caller->stream));
    memset(&caller->strange, 0, sizeof(caller->strange));
    caller->kind =
        rng_below(&soak->rng, 4) == 0 ? REQUEST_FLAG : REQUEST_REVIEW;
    caller->first_workspace = rng_below(&soak->rng, 2) == 0;
    caller->subject = caller->streams->callers->request_count + 1;
    caller->relay = (size_t)rng_below(&soak->rng, soak->relay_count);
    caller->tries = 0;
    caller->sound = false;
    caller->ended = false;
}

/* Chooses another relay than the last. */
static void
choose_other_relay(stream_caller_t *caller)
{
    soak_t *soak = soak_of(caller);
    size_t others = soak->relay_count - 1;
    size_t step = others > 0 ? 1 + (size_t)rng_below(&soak->rng, others) : 0;
    caller->relay = (caller->relay + step) % soak->relay_count;
}

static void
send_try(stream_caller_t *caller)
{
    if (caller->ended) {
        begin_stream(caller);
    }
    else if (caller->request != NULL) {
        choose_other_relay(caller);
    }
    caller->try_sound = is_sound(caller);
    send_request(caller);
}

/* Counts a stream whose tries have led to an event, or to none. */
static void
count_tries(stream_caller_t *caller, stream_counts_t *counts, bool got)
{
    counts->asked++;
    counts->got += got ? 1 : 0;
    counts->sound_asked += caller->sound ? 1 : 0;
    counts->sound_got += caller->sound && got ? 1 : 0;
}

/* Whether another try may help.  One that is refused for now, that failed on
 * the way or that broke off may be repeated. */
static bool
may_try_again(const stream_caller_t *caller, exchange_end_t end)
{
    int status = caller->request->status;
    if (caller->tries >= TRIES_MAX ||
        caller->retry_after_ms > RETRY_AFTER_MS_MAX ||
        (caller->kind == REQUEST_FLAG && caller->stream.last_event > 0) ||
        caller->stream.last_event == STREAM_EVENTS) {
        return false;
    }
    return end != EXCHANGE_COMPLETE || status >= 500 || status == 429 ||
           status == 408 || status == 421 || status == 200;
}

static void
check_answer(stream_caller_t *caller, exchange_end_t end)
{
    const soak_request_t *request = caller->request;
    const stream_t *asked = asked_stream(caller);
    soak_t *soak = soak_of(caller);
    char id[REQUEST_ID_MAX];
    request_format_id(soak, request->number, id);
    if (request->status / 100 == 2 && !caller->signature_valid) {
        soak_report_violation(soak, "each caller gets its own answer",
                              "%s status %d", id, request->status);
    }
    if (end == EXCHANGE_COMPLETE && request->status / 100 == 2 &&
        (asked->last_event != STREAM_EVENTS || caller->reader.text.len > 0)) {
        soak_report_violation(
            soak, "a stream ends as complete only with its last event",
            "%s after event %u and %zu bytes", id, asked->last_event,
            caller->reader.text.len);
    }
}

/* Begins another stream after a pause. */
static void
end_stream(stream_caller_t *caller)
{
    streams_t *streams = caller->streams;
    streams->mixed += caller->stream.mixed ? 1 : 0;
    caller->ended = true;
    wait_then_try(caller,
                  1 + (int64_t)rng_below(&soak_of(caller)->rng, THINK_MS_MAX));
}

/* Chooses how a broken stream is asked for next. */
static void
choose_ask(stream_caller_t *caller)
{
    soak_t *soak = soak_of(caller);
    stream_t *strange = &caller->strange;
    memset(strange, 0, sizeof(*strange));
    if (caller->reader.events == 0 ||
        rng_below(&soak->rng, STRANGE_INTERVAL) != 0) {
        return;
    }
    strange->ask = 1 + (stream_ask_t)rng_below(&soak->rng, STREAM_ASKS - 1);
    if (strange->ask != STREAM_ONLY_RESUMES) {
        strange->last_event = caller->stream.last_event;
    }
}

static void
on_strange_end(stream_caller_t *caller)
{
    streams_t *streams = caller->streams;
    streams->strange_asked[caller->strange.ask]++;
    streams->strange_got[caller->strange.ask] +=
        caller->reader.events > 0 ? 1 : 0;
    caller->strange.ask = STREAM_PROPER;
    wait_then_try(caller, caller->retry_after_ms > RETRY_MS_MIN
                              ? caller->retry_after_ms
                              : RETRY_MS_MIN);
}

static void
on_proper_end(stream_caller_t *caller, exchange_end_t end)
{
    streams_t *streams = caller->streams;
    const stream_t *stream = &caller->stream;
    soak_t *soak = soak_of(caller);
    bool got = caller->reader.events > 0;
    bool begins = got ? stream->first_number == caller->request->number
                      : stream->last_event == 0;
    bool complete = end == EXCHANGE_COMPLETE && caller->request->status == 200;
    stream_counts_t *counts = begins ? &streams->begun : &streams->taken_up;
    caller->tries++;
    caller->sound |= caller->try_sound && (got || is_sound(caller));
    bool again = !complete && may_try_again(caller, end);
    if (got || !again) {
        count_tries(caller, counts, got);
        caller->tries = 0;
        caller->sound = false;
    }
    streams->complete += complete ? 1 : 0;
    if (!again) {
        end_stream(caller);
        return;
    }
    choose_ask(caller);
    int64_t pause_ms =
        RETRY_MS_MIN + (int64_t)rng_below(&soak->rng, RETRY_RANGE_MS);
    wait_then_try(caller, caller->retry_after_ms > pause_ms
                              ? caller->retry_after_ms
                              : pause_ms);
}

static void
on_end(void *arg, exchange_end_t end)
{
    stream_caller_t *caller = arg;
    caller->exchange = NULL;
    request_note_end(soak_of(caller), caller->request, end);
    check_answer(caller, end);
    if (caller->strange.ask != STREAM_PROPER) {
        on_strange_end(caller);
        return;
    }
    on_proper_end(caller, end);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    stream_caller_t *caller = arg;
    (void)fd;
    (void)what;
    if (!caller->streams->callers->stopping) {
        send_try(caller);
    }
}

streams_t *
streams_start(callers_t *callers, size_t count)
{
    streams_t *streams = mem_zalloc(sizeof(*streams));
    streams->callers = callers;
    streams->count = count;
    streams->items = mem_zalloc(count * sizeof(stream_caller_t));
    for (size_t i = 0; i < count; i++) {
        stream_caller_t *caller = &streams->items[i];
        caller->streams = streams;
        caller->timer = evtimer_new(callers->soak->base, on_timer, caller);
        caller->ended = true;
        send_try(caller);
    }
    return streams;
}

/* ---- the checks at the end ---- */

static void
print_counts(const char *what, const stream_counts_t *counts)
{
    (void)printf(
        "  streams %s: %u of %u; at undisturbed relays while two "
        "undisturbed engines of the version served %u of %u\n",
        what, counts->got, counts->asked, counts->sound_got,
        counts->sound_asked);
}

static void
print_strange(const streams_t *streams)
{
    static const char *const names[STREAM_ASKS] = {
        "", "no Resumes", "another workspace", "unknown attempt",
        "no Last-Event-Id"};
    for (size_t i = 1; i < STREAM_ASKS; i++) {
        (void)printf("  asked for with %s: %u, events came for %u\n", names[i],
                     streams->strange_asked[i], streams->strange_got[i]);
    }
}

/* Checks that of the streams that were taken up where they could go on, at
 * least half as many did as new ones began. */
void
streams_check(streams_t *streams)
{
    const stream_counts_t *begun = &streams->begun;
    const stream_counts_t *taken_up = &streams->taken_up;
    for (size_t i = 0; i < streams->count; i++) {
        const stream_caller_t *caller = &streams->items[i];
        streams->mixed += !caller->ended && caller->stream.mixed ? 1 : 0;
    }
    print_counts("begun", begun);
    print_counts("that went on after they were taken up", taken_up);
    print_strange(streams);
    (void)printf("  %u streams complete, %u with events of two versions\n",
                 streams->complete, streams->mixed);
    if (taken_up->sound_asked >= TAKEN_UP_MIN && begun->sound_asked > 0 &&
        2.0 * taken_up->sound_got / taken_up->sound_asked <
            (double)begun->sound_got / begun->sound_asked) {
        soak_report_violation(
            streams->callers->soak, "streams that are taken up go on",
            "%u of %u; %u of %u new ones began", taken_up->sound_got,
            taken_up->sound_asked, begun->sound_got, begun->sound_asked);
    }
}
