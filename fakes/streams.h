#ifndef CELERYSPOOL_STREAMS_H
#define CELERYSPOOL_STREAMS_H

/* Clients of streams that take a broken stream up at another host, and checks
 * of what they got over all their tries.  The events must name the server and
 * the software version that made them (show_runs of the platform stand-in). */

#include "../kernel/exchange.h"

#define STREAMS_HOSTS_MAX 16
#define STREAMS_STATUS_MAX 600

/* What a take-up says of the attempt that it resumes. */
typedef enum {
    RESUMES_OWN,     /* the one that brought the stream's first event */
    RESUMES_NONE,    /* nothing */
    RESUMES_UNKNOWN, /* an id that no attempt had */
    RESUMES_LONG,    /* an id that is far too long */
    RESUMES_ODD,     /* bytes that are in no id */
    RESUMES_ALONE,   /* the right id, but no Last-Event-Id */
    RESUMES_COUNT
} resumes_t;

typedef struct {
    char addrs[STREAMS_HOSTS_MAX][CS_ADDR_MAX];
    size_t count;
} host_list_t;

typedef struct {
    host_list_t begin_hosts;
    host_list_t take_up_hosts;
    const char *path;
    const char *host_name; /* in the Host header */
    const char *take_up_host_name;
    const char *key; /* empty for none */
    const char *take_up_key;
    const char *name; /* prefix of attempt ids */
    double rate;      /* streams a second */
    double seconds;
    unsigned events;      /* of a complete stream */
    unsigned leave_after; /* clients close after this event; 0 for never */
    unsigned retries;     /* after a failure, until the next event */
    int deadline_ms;      /* of a stream with all its tries */
    int64_t touch_from_ms;
    int64_t touch_to_ms; /* take-ups in this time count as in touch */
    resumes_t resumes;
    uint64_t seed;
    bool verbose;
} streams_opts_t;

typedef enum {
    STREAM_RUNNING,
    STREAM_COMPLETE,
    STREAM_BROKEN,  /* the last try broke off or got no answer */
    STREAM_REFUSED, /* the last try got another status than 200 */
    STREAM_LATE,    /* its deadline passed */
    STREAM_END_COUNT
} stream_end_t;

/* What a client has received of its stream. */
typedef struct {
    unsigned last_event;
    unsigned order_errors; /* events missing or received again */
    unsigned moves;        /* to another server within an answer */
    unsigned version_count;
    buf_t versions;           /* all of them, separated by commas */
    buf_t servers;            /* in order */
    buf_t partial;            /* of the next event */
    bool answer_begun;        /* this answer has brought an event */
    char server[CS_NAME_MAX]; /* of the last event */
} stream_events_t;

typedef struct streams streams_t;

typedef struct stream {
    CK_STAILQ_ENTRY(stream) entry;
    streams_t *streams;
    struct event *timer;
    exchange_t *exchange;
    unsigned number;
    unsigned tries;
    unsigned failures; /* since the last event */
    const char *host;
    char attempt[CS_NAME_MAX];
    char first_attempt[CS_NAME_MAX]; /* that brought the first event */
    stream_events_t events;
    int64_t deadline_ms;
    int64_t heard_ms;     /* the last event, or the request if none came */
    double retry_after_s; /* of the last answer */
    int status;           /* of the last answer; 0 for none */
    bool taking_up;       /* no event has come since it broke off */
    bool taken_in_touch;
    bool leaving; /* the client closes after leave_after */
    stream_end_t end;
} stream_t;

typedef CK_STAILQ_HEAD(stream_list, stream) stream_list_t;

typedef struct {
    unsigned taken_up;
    unsigned went_on;
} take_ups_t;

struct streams {
    streams_opts_t opts;
    struct event_base *base;
    struct event *opener;
    exchanges_t *exchanges;
    rng_t rng;
    int64_t start_ms;
    stream_list_t all;
    unsigned opened;
    unsigned running;
    take_ups_t take_ups;
    take_ups_t in_touch;     /* those of them in the time given */
    int64_t broken_wait_ms;  /* longest from an event to the answer's break */
    int64_t refused_wait_ms; /* longest from a request to its refusal */
    unsigned begin_refusals[STREAMS_STATUS_MAX];
    unsigned take_up_refusals[STREAMS_STATUS_MAX];
};

void stream_events_add(stream_events_t *events, const char *data, size_t len);
void stream_events_next_answer(stream_events_t *events);
void stream_events_forget(stream_events_t *events);

void stream_open(streams_t *streams);
void streams_print(const streams_t *streams);

#endif
