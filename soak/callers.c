#include "soak.h"
#include "../relay/wire.h"

#include <ck_queue.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Callers ask one request after the other over connections that they keep as
 * long as they work, and see to what they were promised: by the answer at
 * once, by what servers recorded at the end. */

/* Callers wait this long between two requests, ms at most. */
#define THINK_MS 60
#define DEADLINE_MS 4000
/* A final answer is due so long behind the route's time at most, ms. */
#define LATE_MS 500
/* A key that was taken away is in force nowhere behind this, ms, on a relay
 * that reaches the store or another that does. */
#define KEY_GONE_MS 2000
/* In the calm at the end, this part of the requests is answered well. */
#define CALM_PART 0.95
#define EVENTS 8 /* of the stand-in's streams */

typedef enum {
    ASK_READ,
    ASK_STRIKE,
    ASK_REVIEW,
    ASK_FLAG,
    ASK_KINDS
} ask_kind_t;

typedef struct {
    const char *path;
    const char *method;
    bool stream;
    int timeout_ms;
    int runs_max; /* of one request */
} route_facts_t;

static const route_facts_t facts[ASK_KINDS] = {
    {"/read/r", "GET", false, 800, 2},
    {"/strike/s", "POST", false, 800, 1},
    {"/review/v", "POST", true, DEADLINE_MS, 2},
    {"/flag/f", "POST", true, 3000, 1},
};

/* One request, kept until the end. */
typedef struct ask {
    CK_STAILQ_ENTRY(ask) entry;
    uint64_t number;
    ask_kind_t kind;
    size_t relay;
    const char *key;
    const char *workspace;
    int64_t sent_ms;
    int64_t ended_ms;
    bool disturbed;    /* the relay or the servers, at any time of it */
    unsigned troubles; /* of both before it was sent */
    bool stopped;      /* the relay was told to stop */
    exchange_end_t end;
    int status;
    int runs; /* as servers recorded them */
} ask_t;

typedef CK_STAILQ_HEAD(asks, ask) asks_t;

typedef struct {
    callers_t *owner;
    exchange_t *exchange;
    struct event *timer;
    ask_t *ask;
    char server[CS_NAME_MAX]; /* by the signature */
    bool signed_right;
    buf_t body;
} caller_seat_t;

struct callers {
    soak_t *soak;
    caller_seat_t *seats;
    size_t count;
    asks_t asks;
    uint64_t next;
    bool stopping;
};

static void ask_next(caller_seat_t *seat);

static void
id_of(const soak_t *soak, uint64_t number, char *out, size_t size)
{
    (void)snprintf(out, size, "s%" PRIu64 "-%" PRIu64, soak->seed, number);
}

static unsigned
troubles_of(const soak_t *soak, size_t relay)
{
    return soak->relays[relay].troubles + soak->servers_troubles;
}

static bool
disturbed_now(const soak_t *soak, size_t relay)
{
    int64_t now = time_mono_ms();
    return now < soak->relays[relay].disturbed_ms ||
           now < soak->servers_disturbed_ms;
}

/* ---- the answer ---- */

static head_verdict_t
on_head(void *arg, const http_head_t *head)
{
    caller_seat_t *seat = arg;
    char id[64];
    char wanted[192];
    char text[192] = "";
    const header_t *signature =
        http_head_find(head, wire_header_name(HEADER_SIGNATURE));
    seat->ask->status = head->status;
    seat->signed_right = false;
    if (signature == NULL) {
        return HEAD_ACCEPT;
    }
    id_of(seat->owner->soak, seat->ask->number, id, sizeof(id));
    http_head_copy(head, signature->value, text, sizeof(text));
    (void)sscanf(text, "sig.%63[^.]", seat->server);
    (void)snprintf(wanted, sizeof(wanted), "sig.%s.%s", seat->server, id);
    seat->signed_right = strcmp(text, wanted) == 0;
    return HEAD_ACCEPT;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    caller_seat_t *seat = arg;
    buf_add(&seat->body, data, len);
}

/* Whether the body is the whole answer to this request. */
static bool
body_is_right(const caller_seat_t *seat)
{
    CLEAN_BUF buf_t wanted = {0};
    if (facts[seat->ask->kind].stream) {
        for (int i = 1; i <= EVENTS; i++) {
            buf_fmt(&wanted, "id: %d\ndata: token-%d\n\n", i, i);
        }
    }
    else {
        buf_fmt(&wanted, "answer of %s\n", seat->server);
    }
    return strcmp(buf_text(&wanted), buf_text(&seat->body)) == 0;
}

static void
check_answer(caller_seat_t *seat)
{
    soak_t *soak = seat->owner->soak;
    const ask_t *ask = seat->ask;
    char id[64];
    id_of(soak, ask->number, id, sizeof(id));
    if (ask->end == EXCHANGE_MALFORMED) {
        soak_broken(soak, "answers are in the protocol", "%s", id);
    }
    if (ask->end == EXCHANGE_COMPLETE && ask->status / 100 == 2 &&
        (!seat->signed_right || !body_is_right(seat))) {
        soak_broken(soak, "each caller gets its own whole answer",
                    "%s status %d signed %d: %.80s", id, ask->status,
                    seat->signed_right, buf_text(&seat->body));
    }
    int64_t took = ask->ended_ms - ask->sent_ms;
    if (!ask->disturbed && !ask->stopped &&
        took > facts[ask->kind].timeout_ms + LATE_MS) {
        soak_broken(soak, "a final answer comes in time",
                    "%s at %s after %" PRId64 " ms", id,
                    soak->relays[ask->relay].process.name, took);
    }
}

static void
think(caller_seat_t *seat)
{
    int64_t ms = (int64_t)rng_below(&seat->owner->soak->rng, THINK_MS) + 1;
    struct timeval after = {0, ms * 1000};
    (void)event_add(seat->timer, &after);
}

static void
on_end(void *arg, exchange_end_t end)
{
    caller_seat_t *seat = arg;
    ask_t *ask = seat->ask;
    seat->exchange = NULL;
    ask->end = end;
    ask->ended_ms = time_mono_ms();
    ask->disturbed |=
        disturbed_now(seat->owner->soak, ask->relay) ||
        ask->troubles != troubles_of(seat->owner->soak, ask->relay);
    ask->stopped |=
        ask->ended_ms < seat->owner->soak->relays[ask->relay].stopped_ms;
    check_answer(seat);
    think(seat);
}

/* ---- the request ---- */

static void
choose(caller_seat_t *seat, ask_t *ask)
{
    soak_t *soak = seat->owner->soak;
    uint64_t luck = rng_below(&soak->rng, 10);
    ask->kind = (ask_kind_t)rng_below(&soak->rng, ASK_KINDS);
    ask->relay = (size_t)rng_below(&soak->rng, soak->relay_count);
    ask->key = luck == 0 ? "old-key" : luck < 6 ? "key1" : "key2";
    ask->workspace = luck < 6 ? "ws1" : "ws2";
}

static void
write_request(const caller_seat_t *seat, buf_t *out)
{
    const ask_t *ask = seat->ask;
    const route_facts_t *route = &facts[ask->kind];
    bool has_body = strcmp(route->method, "POST") == 0;
    char id[64];
    id_of(seat->owner->soak, ask->number, id, sizeof(id));
    buf_fmt(out,
            "%s %s%" PRIu64
            " HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n"
            "%s: %d\r\n%s: Token %s\r\n",
            route->method, route->path, ask->number,
            wire_header_name(HEADER_REQUEST_ID), id,
            wire_header_name(HEADER_DEADLINE), DEADLINE_MS,
            wire_header_name(HEADER_ACCESS_KEY), ask->key);
    if (route->stream) {
        buf_fmt(out,
                "%s: m1\r\n%s: 1460,80\r\n%s: aa:800,b%d:410,%" PRIx64
                ":250\r\n",
                wire_header_name(HEADER_MODEL),
                wire_header_name(HEADER_TOKEN_USAGE),
                wire_header_name(HEADER_PROMPT_PREFIX), (int)(ask->number % 7),
                0x10000 + ask->number);
    }
    buf_str(out, has_body ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

static void
ask_next(caller_seat_t *seat)
{
    static const exchange_hooks_t hooks = {on_head, on_body, on_end, NULL};
    callers_t *callers = seat->owner;
    soak_t *soak = callers->soak;
    if (callers->stopping) {
        return;
    }
    ask_t *ask = mem_zalloc(sizeof(*ask));
    ask->number = ++callers->next;
    choose(seat, ask);
    CK_STAILQ_INSERT_TAIL(&callers->asks, ask, entry);
    seat->ask = ask;
    seat->body.len = 0;
    seat->server[0] = '\0';
    ask->sent_ms = time_mono_ms();
    ask->disturbed = disturbed_now(soak, ask->relay);
    ask->troubles = troubles_of(soak, ask->relay);
    ask->stopped = ask->sent_ms < soak->relays[ask->relay].stopped_ms;
    CLEAN_BUF buf_t head = {0};
    write_request(seat, &head);
    exchange_request_t call = {.addr = soak->relays[ask->relay].front_addr,
                               .head = head.data,
                               .head_len = head.len,
                               .connect_ms = 1000,
                               .total_ms = DEADLINE_MS + 2000};
    exchange_hooks_t own = hooks;
    own.arg = seat;
    seat->exchange = exchange_start(soak->exchanges, &call, &own);
}

static void
on_think_over(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    ask_next(arg);
}

callers_t *
callers_start(soak_t *soak, size_t count)
{
    callers_t *callers = mem_zalloc(sizeof(*callers));
    callers->soak = soak;
    callers->count = count;
    callers->seats = mem_zalloc(count * sizeof(caller_seat_t));
    CK_STAILQ_INIT(&callers->asks);
    for (size_t i = 0; i < count; i++) {
        caller_seat_t *seat = &callers->seats[i];
        seat->owner = callers;
        seat->timer = evtimer_new(soak->base, on_think_over, seat);
        ask_next(seat);
    }
    return callers;
}

/* No new requests; those that run end by themselves. */
void
callers_stop(callers_t *callers)
{
    callers->stopping = true;
}

/* ---- what servers recorded ---- */

static ask_t *
find(const json_t *by_id, const char *id)
{
    const json_t *at = json_object_get(by_id, id);
    return at != NULL ? (ask_t *)(uintptr_t)json_integer_value(at) : NULL;
}

static const char *
field(char *line, const char *name, char *out, size_t size)
{
    char key[96];
    (void)snprintf(key, sizeof(key), " %s=", name);
    const char *at = strstr(line, key);
    out[0] = '\0';
    if (at != NULL) {
        at += strlen(key);
        size_t len = strcspn(at, " \n");
        len = len < size - 1 ? len : size - 1;
        memcpy(out, at, len);
        out[len] = '\0';
    }
    return out;
}

static void
take_run(callers_t *callers, json_t *by_id, char *line)
{
    soak_t *soak = callers->soak;
    char id[96];
    char workspace[64];
    char key[64];
    (void)field(line, wire_header_name(HEADER_REQUEST_ID), id, sizeof(id));
    (void)field(line, wire_header_name(HEADER_WORKSPACE), workspace,
                sizeof(workspace));
    (void)field(line, wire_header_name(HEADER_ACCESS_KEY), key, sizeof(key));
    ask_t *ask = find(by_id, id);
    if (ask == NULL) {
        soak_broken(soak, "only what was asked runs", "%s", line);
        return;
    }
    ask->runs++;
    if (strcmp(key, "-") != 0 || strcmp(workspace, ask->workspace) != 0) {
        soak_broken(soak, "servers see the workspace and no key", "%s", line);
    }
}

/* Orders come under numbers that only grow, and one number is one holder's. */
static void
take_order(soak_t *soak, json_t *fences, json_t *holders, char *line)
{
    char server[CS_NAME_MAX];
    char status[16];
    const char *text = strchr(line, '{');
    (void)field(line, "server", server, sizeof(server));
    (void)field(line, "status", status, sizeof(status));
    CLEAN_JSON json_t *order =
        text != NULL ? json_loads(text, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    int64_t fence = json_int(order, "fencing_token", 0);
    const char *holder = json_text(order, "holder");
    char number[32];
    (void)snprintf(number, sizeof(number), "%" PRId64, fence);
    if (holder == NULL || fence < json_int(fences, server, 0)) {
        soak_broken(soak, "orders do not go back", "%s", line);
        return;
    }
    (void)json_object_set_new(fences, server, json_integer(fence));
    const char *known = json_text(holders, number);
    if (known != NULL && strcmp(known, holder) != 0) {
        soak_broken(soak, "one number is one holder's", "%s and %s: %s", known,
                    holder, number);
    }
    (void)json_object_set_new(holders, number, json_string(holder));
}

static void
read_record(callers_t *callers, json_t *by_id)
{
    CLEAN_JSON json_t *fences = json_object();
    CLEAN_JSON json_t *holders = json_object();
    char line[4096];
    FILE *file = fopen(callers->soak->record, "re");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "run ", 4) == 0) {
            take_run(callers, by_id, line);
        }
        else if (strncmp(line, "order ", 6) == 0) {
            take_order(callers->soak, fences, holders, line);
        }
    }
    if (file != NULL) {
        (void)fclose(file);
    }
}

static void
check_runs(const callers_t *callers, const ask_t *ask)
{
    soak_t *soak = callers->soak;
    char id[64];
    id_of(soak, ask->number, id, sizeof(id));
    bool promised = ask->end == EXCHANGE_COMPLETE &&
                    (ask->status == 503 || ask->status == 429 ||
                     ask->status == 408 || ask->status == 421);
    if (ask->runs > facts[ask->kind].runs_max) {
        soak_broken(soak, "no request runs more often than it may",
                    "%s ran %d times", id, ask->runs);
    }
    if (promised && ask->runs > 0) {
        soak_broken(soak, "what is told not run has not run",
                    "%s status %d, ran %d times", id, ask->status, ask->runs);
    }
    if (ask->runs > 0 && strcmp(ask->key, "old-key") == 0 &&
        soak->old_key_until_ms != 0 && !ask->disturbed &&
        ask->sent_ms > soak->old_key_until_ms + 10000) {
        soak_broken(soak, "a key that is gone opens nothing", "%s", id);
    }
    /* A request that crossed the close of its connection was not passed on. */
    if (ask->stopped && !ask->disturbed && ask->runs > 0 &&
        (ask->end == EXCHANGE_NO_ANSWER || ask->end == EXCHANGE_BROKEN)) {
        soak_broken(soak, "a stop cuts nothing", "%s ended %d", id,
                    (int)ask->end);
    }
}

/* Hold everything that was answered against what servers recorded. */
void
callers_check(callers_t *callers)
{
    soak_t *soak = callers->soak;
    CLEAN_JSON json_t *by_id = json_object();
    unsigned good = 0;
    unsigned asked = 0;
    unsigned all_good = 0;
    ask_t *ask;
    char id[64];
    CK_STAILQ_FOREACH (ask, &callers->asks, entry) {
        id_of(soak, ask->number, id, sizeof(id));
        (void)json_object_set_new(by_id, id,
                                  json_integer((json_int_t)(uintptr_t)ask));
    }
    read_record(callers, by_id);
    CK_STAILQ_FOREACH (ask, &callers->asks, entry) {
        check_runs(callers, ask);
        bool well = ask->end == EXCHANGE_COMPLETE && ask->status == 200;
        all_good += well ? 1 : 0;
        if (ask->sent_ms > soak->calm_ms + 6000 &&
            strcmp(ask->key, "old-key") != 0) {
            asked++;
            good += well ? 1 : 0;
        }
    }
    (void)printf("  %" PRIu64
                 " requests, %u answered well; %u of %u in the "
                 "calm at the end\n",
                 callers->next, all_good, good, asked);
    if (asked < 20 || good < asked * CALM_PART) {
        soak_broken(soak, "all is well again when the faults are over",
                    "%u of %u answered well", good, asked);
    }
}
