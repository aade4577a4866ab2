#include "streams.h"

static const char *const end_names[STREAM_END_COUNT] = {
    "running", "complete", "broken", "refused", "late"};

static void
print_stream(const stream_t *stream)
{
    const stream_events_t *events = &stream->events;
    (void)printf(
        "stream %s tries=%u events=%u versions=%s servers=%s "
        "order_errors=%u end=%s status=%d\n",
        stream->attempt, stream->tries, events->last_event,
        buf_text(&events->versions), buf_text(&events->servers),
        events->order_errors, end_names[stream->end], stream->status);
}

static void
print_refusals(const char *name, const unsigned counts[STREAMS_STATUS_MAX])
{
    for (int status = 0; status < STREAMS_STATUS_MAX; status++) {
        if (counts[status] > 0) {
            (void)printf("%s_%d %u\n", name, status, counts[status]);
        }
    }
}

static void
print_take_ups(const streams_t *streams)
{
    (void)printf("taken_up %u\nwent_on %u\n", streams->take_ups.taken_up,
                 streams->take_ups.went_on);
    (void)printf("taken_up_in_touch %u\nwent_on_in_touch %u\n",
                 streams->in_touch.taken_up, streams->in_touch.went_on);
    (void)printf("broken_wait_ms %lld\nrefused_wait_ms %lld\n",
                 (long long)streams->broken_wait_ms,
                 (long long)streams->refused_wait_ms);
    print_refusals("refused_begin", streams->begin_refusals);
    print_refusals("refused_take_up", streams->take_up_refusals);
}

/* Prints the streams that got something wrong, and all counts, a line each. */
void
streams_print(const streams_t *streams)
{
    const stream_t *stream;
    unsigned ends[STREAM_END_COUNT] = {0};
    unsigned begun = 0;
    unsigned mixed = 0;
    unsigned order_errors = 0;
    unsigned moved = 0;
    CK_STAILQ_FOREACH (stream, &streams->all, entry) {
        const stream_events_t *events = &stream->events;
        ends[stream->end]++;
        begun += stream->first_attempt[0] != '\0' ? 1 : 0;
        mixed += events->version_count > 1 ? 1 : 0;
        order_errors += events->order_errors;
        moved += events->moves;
        if (streams->opts.verbose || events->version_count > 1 ||
            events->order_errors > 0) {
            print_stream(stream);
        }
    }
    (void)printf("opened %u\nbegun %u\nmixed %u\norder_errors %u\n",
                 streams->opened, begun, mixed, order_errors);
    (void)printf("moved_inside %u\n", moved);
    for (unsigned i = 0; i < STREAM_END_COUNT; i++) {
        (void)printf("%s %u\n", end_names[i], ends[i]);
    }
    print_take_ups(streams);
}
