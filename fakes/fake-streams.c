#include "streams.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Opens streams at a rate, takes them up at other hosts when they break off,
 * and prints what the clients got. */

#define EVENTS_DEFAULT 60
#define DEADLINE_MS_DEFAULT 8000
#define RETRIES_DEFAULT 2

static const char *const resumes_names[RESUMES_COUNT] = {
    "own", "none", "unknown", "long", "odd", "alone"};

static const struct argp_option options[] = {
    {"hosts", 'h', "IPV4:PORT,…", 0, "where streams begin", 0},
    {"take-up-hosts", 't', "IPV4:PORT,…", 0,
     "where they are taken up (where they begin)", 0},
    {"path", 'p', "PATH", 0, "path of a streaming route", 0},
    {"host-name", 'H', "NAME", 0, "host name of requests (a.example)", 0},
    {"take-up-host-name", 'T', "NAME", 0, "host name of take-ups (the same)",
     0},
    {"key", 'k', "KEY", 0, "access key; empty for none", 0},
    {"take-up-key", 'K', "KEY", 0, "access key of take-ups (the same)", 0},
    {"name", 'n', "TEXT", 0, "prefix of attempt ids", 0},
    {"rate", 'r', "NUMBER", 0, "streams opened in a second", 0},
    {"seconds", 's', "NUMBER", 0, "time for which streams are opened", 0},
    {"events", 'e', "NUMBER", 0, "events of a complete stream (60)", 0},
    {"leave-after", 'l', "NUMBER", 0,
     "clients close after this event and take the stream up", 0},
    {"retries", 'R', "NUMBER", 0, "tries after one that failed (2)", 0},
    {"deadline", 'd', "MS", 0, "of a stream with all its tries (8000)", 0},
    {"touch-from", 'f', "MS", 0,
     "take-ups from this time on also count as in touch (0)", 0},
    {"touch-to", 'u', "MS", 0, "and until this time", 0},
    {"resumes", 'w', "own|none|unknown|long|odd|alone", 0,
     "what take-ups name as the attempt that they resume", 0},
    {"seed", 'S', "NUMBER", 0, "of the choice of hosts", 0},
    {"verbose", 'v', NULL, 0, "print all streams", 0},
    {0},
};

static void
read_hosts(host_list_t *hosts, char *text, struct argp_state *state)
{
    char *addr;
    hosts->count = 0;
    while ((addr = strsep(&text, ",")) != NULL) {
        if (hosts->count == STREAMS_HOSTS_MAX || !addr_is_valid(addr)) {
            argp_error(state, "bad host, or too many: %s", addr);
        }
        str_copy(hosts->addrs[hosts->count++], CS_ADDR_MAX, addr);
    }
}

static resumes_t
read_resumes(const char *text, struct argp_state *state)
{
    for (int i = 0; i < RESUMES_COUNT; i++) {
        if (strcmp(text, resumes_names[i]) == 0) {
            return (resumes_t)i;
        }
    }
    argp_error(state, "unknown: %s", text);
    return RESUMES_OWN;
}

static void
check_opts(streams_opts_t *opts, struct argp_state *state)
{
    if (opts->begin_hosts.count == 0 || opts->rate <= 0) {
        argp_error(state, "--hosts and --rate are required");
    }
    if (opts->take_up_hosts.count == 0) {
        opts->take_up_hosts = opts->begin_hosts;
    }
    if (opts->take_up_key == NULL) {
        opts->take_up_key = opts->key;
    }
    if (opts->take_up_host_name == NULL) {
        opts->take_up_host_name = opts->host_name;
    }
}

static error_t
parse_number(int key, const char *arg, streams_opts_t *opts)
{
    unsigned number = (unsigned)strtoul(arg, NULL, 10);
    switch (key) {
        case 'e':
            opts->events = number;
            return 0;
        case 'l':
            opts->leave_after = number;
            return 0;
        case 'R':
            opts->retries = number;
            return 0;
        case 'd':
            opts->deadline_ms = (int)number;
            return 0;
        case 'f':
            opts->touch_from_ms = number;
            return 0;
        case 'u':
            opts->touch_to_ms = number;
            return 0;
        case 'S':
            opts->seed = number;
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    streams_opts_t *opts = state->input;
    switch (key) {
        case 'h':
            read_hosts(&opts->begin_hosts, arg, state);
            return 0;
        case 't':
            read_hosts(&opts->take_up_hosts, arg, state);
            return 0;
        case 'p':
            opts->path = arg;
            return 0;
        case 'H':
            opts->host_name = arg;
            return 0;
        case 'T':
            opts->take_up_host_name = arg;
            return 0;
        case 'k':
            opts->key = arg;
            return 0;
        case 'K':
            opts->take_up_key = arg;
            return 0;
        case 'n':
            opts->name = arg;
            return 0;
        case 'r':
            opts->rate = strtod(arg, NULL);
            return 0;
        case 's':
            opts->seconds = strtod(arg, NULL);
            return 0;
        case 'w':
            opts->resumes = read_resumes(arg, state);
            return 0;
        case 'v':
            opts->verbose = true;
            return 0;
        case ARGP_KEY_END:
            check_opts(opts, state);
            return 0;
        default:
            return arg != NULL ? parse_number(key, arg, opts)
                               : ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option,
    NULL,    "Clients of streams, which take broken ones up at other hosts.",
    NULL,    NULL,
    NULL};

static void
on_open_due(evutil_socket_t fd, short what, void *arg)
{
    streams_t *streams = arg;
    (void)fd;
    (void)what;
    int64_t elapsed_ms = time_mono_ms() - streams->start_ms;
    if ((double)elapsed_ms < streams->opts.seconds * 1000) {
        stream_open(streams);
        return;
    }
    event_free(streams->opener);
    streams->opener = NULL;
    if (streams->running == 0) {
        (void)event_base_loopbreak(streams->base);
    }
}

int
main(int argc, char **argv)
{
    streams_t *streams = mem_zalloc(sizeof(*streams));
    streams->opts = (streams_opts_t){.path = "/review/s",
                                     .host_name = "a.example",
                                     .key = "key1",
                                     .name = "stream",
                                     .seconds = 1,
                                     .events = EVENTS_DEFAULT,
                                     .retries = RETRIES_DEFAULT,
                                     .deadline_ms = DEADLINE_MS_DEFAULT,
                                     .touch_to_ms = INT64_MAX,
                                     .seed = 1};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &streams->opts);
    (void)signal(SIGPIPE, SIG_IGN);
    streams->base = event_base_new();
    streams->exchanges = exchanges_new(streams->base);
    streams->rng.state = streams->opts.seed;
    streams->start_ms = time_mono_ms();
    CK_STAILQ_INIT(&streams->all);
    streams->opener =
        event_new(streams->base, -1, EV_PERSIST, on_open_due, streams);
    int64_t interval_us = (int64_t)(1e6 / streams->opts.rate);
    struct timeval interval = {interval_us / 1000000, interval_us % 1000000};
    (void)event_add(streams->opener, &interval);
    (void)event_base_dispatch(streams->base);
    streams_print(streams);
    (void)fflush(stdout);
    /* Exits without freeing: the report refers to all streams. */
    _Exit(EXIT_SUCCESS);
}
